"""Measures the cost of the log line of a request: ``PYTHONPATH=src python benchmarks/logs.py``.

Logs lines like those of served requests with the log set-up of a node, once into a pipe that is
read and once into a pipe that is not, and prints processor time and bytes per line.
"""

from __future__ import annotations

import os
import sys
import threading
import time

from acaciasaddle.observe import BoundedWriter
from acaciasaddle.observe import configure_node_logging
from acaciasaddle.observe import get_logger

LINES = 20_000
LINE_INTERVAL_S = 1 / 350
"""Time by which the clock advances per line, so that lines stay below the limit of 400 a second."""


def _log_request(log: object, number: int) -> None:
    log.info(  # type: ignore[attr-defined]
        "request",
        request=f"{number:016x}",
        status=200,
        ms=231.4,
        route="r-sn5c6v7",
        service="mino9a",
        key=number % 65_536,
        upstream="i-b829a11213",
        sends=1,
        outcome="completed",
        reason="",
        step="",
        configuration=20,
        owners=199,
        registry_age_s=0.212,
    )


def measure(*, read: bool) -> tuple[float, float, int]:
    """Return processor time in µs and bytes received per line, and the number of dropped lines.

    The processor time is that of the process, including the thread that reads the pipe. The writer
    counts dropped lines only until it can write again.
    """
    reader, writer = os.pipe()
    received = 0

    def read_pipe() -> None:
        nonlocal received
        while data := os.read(reader, 1 << 20):
            received += len(data)

    reader_thread = threading.Thread(target=read_pipe, daemon=True)
    if read:
        reader_thread.start()
    saved_stdout, real_monotonic = os.dup(1), time.monotonic
    os.dup2(writer, 1)
    try:
        log_writer: BoundedWriter = configure_node_logging(level="info", host="edge-karachi-a-1")
        log = get_logger("forward")
        _log_request(log, 0)
        now = 0.0
        time.monotonic = lambda: now  # type: ignore[assignment]
        cpu_before = time.process_time()
        for number in range(LINES):
            now = number * LINE_INTERVAL_S
            _log_request(log, number)
        cpu_s = time.process_time() - cpu_before
        dropped = log_writer.dropped
    finally:
        time.monotonic = real_monotonic  # type: ignore[assignment]
        os.dup2(saved_stdout, 1)
    os.close(writer)
    if read:
        reader_thread.join(5)
    return cpu_s / LINES * 1e6, received / LINES, dropped


def main() -> None:
    """Measure with a pipe that is read and with one that is not, and print the figures."""
    for read in (True, False):
        cost_us, size, dropped = measure(read=read)
        label = "read" if read else "not read"
        sys.stdout.write(
            f"{label}: {cost_us:.1f} us a line, {size:.0f} bytes, {dropped} of {LINES} dropped\n"
        )
        sys.stdout.flush()


if __name__ == "__main__":
    main()

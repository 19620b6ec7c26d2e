"""Cost of the log line of a request: ``PYTHONPATH=src python benchmarks/logs.py``.

Writes lines like those of served requests through the node's own set-up into a pipe that is read,
and into one that nobody reads, and prints processor time and bytes for each line.
"""

from __future__ import annotations

import os
import sys
import threading
import time

from acaciasaddle.observe import BoundedWriter
from acaciasaddle.observe import configure_node_logs
from acaciasaddle.observe import get_logger

LINES = 20_000
SPACING_S = 1 / 350
"""The limit of request lines is 400 a second; the clock is moved on to stay below it."""


def _line(log: object, number: int) -> None:
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
    """Return microseconds and bytes for each line, and the lines that were dropped."""
    reader, writer = os.pipe()
    received = 0

    def drain() -> None:
        nonlocal received
        while data := os.read(reader, 1 << 20):
            received += len(data)

    thread = threading.Thread(target=drain, daemon=True)
    if read:
        thread.start()
    saved, clock = os.dup(1), time.monotonic
    os.dup2(writer, 1)
    try:
        bounded: BoundedWriter = configure_node_logs(level="info", host="edge-karachi-a-1")
        log = get_logger("forward")
        _line(log, 0)
        offset = 0.0
        time.monotonic = lambda: offset  # type: ignore[assignment]
        started = time.process_time()
        for number in range(LINES):
            offset = number * SPACING_S
            _line(log, number)
        took = time.process_time() - started
        dropped = bounded.dropped
    finally:
        time.monotonic = clock  # type: ignore[assignment]
        os.dup2(saved, 1)
    os.close(writer)
    if read:
        thread.join(5)
    return took / LINES * 1e6, received / LINES, dropped


def main() -> None:
    """Print both measurements."""
    for read in (True, False):
        microseconds, size, dropped = measure(read=read)
        kind = "read" if read else "not read"
        sys.stdout.write(
            f"{kind}: {microseconds:.1f} us a line, {size:.0f} bytes, {dropped} of {LINES} dropped\n"
        )
        sys.stdout.flush()


if __name__ == "__main__":
    main()

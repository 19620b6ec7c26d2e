"""Runs an entry host that counts its bytes or profiles itself. Other benchmarks start it.

Usage: ``python benchmarks/_entry_process.py SETTINGS REPORT [profile]``. Without ``profile``, each
SIGUSR1 writes a JSON object with the bytes of all TCP streams so far to REPORT. With ``profile``,
the first SIGUSR1 starts cProfile and the next one stops it and writes its statistics to REPORT.
"""

from __future__ import annotations

import cProfile
import json
import os
import signal
import sys
from pathlib import Path
from typing import Any

import trio

from acaciasaddle.config import load_settings
from acaciasaddle.entry import run_entry_host

byte_counts = {"sent": 0, "received": 0}


def count_bytes() -> None:
    """Make all TCP streams of this process count the bytes that they carry."""
    send_all, receive_some = trio.SocketStream.send_all, trio.SocketStream.receive_some

    async def counted_send(self: trio.SocketStream, data: bytes) -> None:
        byte_counts["sent"] += len(data)
        await send_all(self, data)

    async def counted_receive(self: trio.SocketStream, max_bytes: int | None = None) -> Any:
        data = await receive_some(self, max_bytes)
        byte_counts["received"] += len(data)
        return data

    trio.SocketStream.send_all = counted_send  # type: ignore[assignment]
    trio.SocketStream.receive_some = counted_receive  # type: ignore[assignment]


def main() -> None:
    """Run the entry host."""
    report_path = Path(sys.argv[2])
    profile = cProfile.Profile() if sys.argv[3:] == ["profile"] else None
    profiling = False

    def write_counts(*_: object) -> None:
        temporary_path = report_path.with_suffix(".part")
        temporary_path.write_text(json.dumps(byte_counts))
        os.replace(temporary_path, report_path)

    def toggle_profile(*_: object) -> None:
        nonlocal profiling
        assert profile is not None
        if profiling:
            profile.disable()
            profile.dump_stats(report_path)
        else:
            profile.enable()
        profiling = True

    if profile is None:
        count_bytes()
    signal.signal(signal.SIGUSR1, write_counts if profile is None else toggle_profile)
    run_entry_host(load_settings(sys.argv[1]))


if __name__ == "__main__":
    main()

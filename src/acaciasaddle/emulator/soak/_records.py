"""Records of a soak as lines of JSON, flushed line by line so that a killed process loses none."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from pathlib import Path

Record = dict[str, Any]


class RecordFile:
    """A file of records.

    ``at`` in a record is its time in seconds of the monotonic clock, which all processes share.
    """

    def __init__(self, *, path: Path) -> None:
        self._file = path.open("a", encoding="utf-8", buffering=1)

    def add(self, kind: str, **fields: Any) -> None:
        """Append a record."""
        line = {"kind": kind, "at": time.monotonic(), **fields}
        self._file.write(json.dumps(line) + "\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def read_records(directory: Path) -> list[Record]:
    """Return all records in a directory, sorted by time. Incomplete last lines are left out."""
    lines = [
        line for path in directory.glob("*.records") for line in path.read_bytes().split(b"\n")[:-1]
    ]
    return sorted((json.loads(line) for line in lines), key=lambda record: float(record["at"]))

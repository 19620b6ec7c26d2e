"""The record of what was sent, answered and run."""

from __future__ import annotations

import json
import time
from pathlib import Path


class Record:
    """Writes one JSON line an event to a file, and keeps the events in memory for the check."""

    def __init__(self, path: Path) -> None:
        self._started = time.monotonic()
        self._file = path.open("w", encoding="utf-8")
        self.events: list[dict] = []

    def at(self, now: float | None = None) -> float:
        """Return seconds since the start of the record."""
        return round((time.monotonic() if now is None else now) - self._started, 4)

    def add(self, event: str, **fields: object) -> None:
        line = {"at": self.at(), "event": event, **fields}
        self.events.append(line)
        self._file.write(json.dumps(line) + "\n")

    def of(self, event: str) -> list[dict]:
        return [line for line in self.events if line["event"] == event]

    def close(self) -> None:
        self._file.close()

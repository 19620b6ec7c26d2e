"""Log output that is bounded and never blocks."""

from __future__ import annotations

import os
import time
from typing import Any

import structlog

MAX_PENDING_BYTES = 65_536
"""Bytes kept while the reader of standard output is behind; later lines are dropped."""
LINES_PER_SECOND = 20
"""Lines of one event in one second; the others are counted in the next line of that event."""
REQUEST_LINES_PER_SECOND = 400
"""Served requests write one line each, up to this rate."""
REQUEST_EVENT = "request"


class BoundedWriter:
    """Writes lines to a descriptor without blocking; what does not fit is dropped and counted."""

    def __init__(self, *, fd: int) -> None:
        self._fd = fd
        self._pending = b""
        self.dropped = 0
        os.set_blocking(fd, False)

    def write(self, text: str) -> int:
        """Write a text that ends a line, or drop it whole."""
        data = text.encode("utf-8", "replace")
        self._send(b"")
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self.dropped += 1
        else:
            if self.dropped:
                note = f'{{"event": "[log] lines dropped", "count": {self.dropped}}}\n'
                self.dropped = 0
                self._send(note.encode())
            self._send(data)
        return len(text)

    def flush(self) -> None:
        """Write what the reader takes."""
        self._send(b"")

    def _send(self, data: bytes) -> None:
        self._pending += data
        while self._pending:
            try:
                written = os.write(self._fd, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone; there is nowhere to tell that.
                self._pending = b""
                return
            self._pending = self._pending[written:]


class RateLimiter:
    """A structlog processor that lets a few lines of each event pass in a second."""

    def __init__(self) -> None:
        self._second = 0
        self._counts: dict[str, int] = {}
        self._suppressed: dict[str, int] = {}

    def __call__(
        self, _: Any, __: str, event: structlog.types.EventDict
    ) -> structlog.types.EventDict:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            for name, count in self._counts.items():
                over = count - _limit(name)
                if over > 0:
                    self._suppressed[name] = self._suppressed.get(name, 0) + over
            self._counts.clear()
        name = f"{event.get('part', '')}.{event['event']}"
        self._counts[name] = self._counts.get(name, 0) + 1
        if self._counts[name] > _limit(name):
            raise structlog.DropEvent
        suppressed = self._suppressed.pop(name, 0)
        if suppressed:
            event["suppressed"] = suppressed
        return event


def _limit(name: str) -> int:
    if name.endswith(f".{REQUEST_EVENT}"):
        return REQUEST_LINES_PER_SECOND
    return LINES_PER_SECOND

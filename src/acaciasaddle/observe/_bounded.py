"""Log output that is limited in volume and never blocks."""

from __future__ import annotations

import os
import time
from typing import Any

import structlog

MAX_PENDING_BYTES = 65_536
"""Maximum number of bytes that wait for a slow reader; lines beyond this are dropped."""
EVENT_LINES_PER_SECOND = 20
"""Limit for each event; its next line in a later second has the number of suppressed lines."""
REQUEST_LINES_PER_SECOND = 400
"""Limit for the event ``request``, which is logged once for each request."""
REQUEST_EVENT = "request"


class BoundedWriter:
    """Writes lines to a file descriptor without blocking.

    Lines for which the buffer has no space are dropped and counted.
    """

    def __init__(self, *, fd: int) -> None:
        self._fd = fd
        self._pending = b""
        self.dropped = 0
        os.set_blocking(fd, False)

    def write(self, text: str) -> int:
        """Write or buffer a text that ends with a line break, or drop it if there is no space.

        Return the length of the text in each case.
        """
        data = text.encode("utf-8", "replace")
        self._send(b"")
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self.dropped += 1
        else:
            if self.dropped:
                notice = f'{{"event": "[log] lines dropped", "count": {self.dropped}}}\n'
                self.dropped = 0
                self._send(notice.encode())
            self._send(data)
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts."""
        self._send(b"")

    def _send(self, data: bytes) -> None:
        self._pending += data
        while self._pending:
            try:
                written = os.write(self._fd, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # Writing fails, for example, if the reader has closed the pipe. There is no other
                # output for reporting the error.
                self._pending = b""
                return
            self._pending = self._pending[written:]


class RateLimiter:
    """A structlog processor that limits the lines per second of each event."""

    def __init__(self) -> None:
        self._current_second = 0
        self._counts: dict[str, int] = {}
        self._suppressed: dict[str, int] = {}

    def __call__(
        self, _: Any, __: str, event: structlog.types.EventDict
    ) -> structlog.types.EventDict:
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second = second
            for name, count in self._counts.items():
                excess = count - _lines_per_second(name)
                if excess > 0:
                    self._suppressed[name] = self._suppressed.get(name, 0) + excess
            self._counts.clear()
        name = f"{event.get('part', '')}.{event['event']}"
        self._counts[name] = self._counts.get(name, 0) + 1
        if self._counts[name] > _lines_per_second(name):
            raise structlog.DropEvent
        suppressed = self._suppressed.pop(name, 0)
        if suppressed:
            event["suppressed"] = suppressed
        return event


def _lines_per_second(name: str) -> int:
    if name.endswith(f".{REQUEST_EVENT}"):
        return REQUEST_LINES_PER_SECOND
    return EVENT_LINES_PER_SECOND

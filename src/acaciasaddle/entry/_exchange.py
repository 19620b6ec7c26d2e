"""The two directions of a caller's exchange over ASGI."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any

import trio

from acaciasaddle.errors import Outcome
from acaciasaddle.errors import RequestError
from acaciasaddle.model import BodySource
from acaciasaddle.model import ReplySink

if TYPE_CHECKING:
    from acaciasaddle.model import Headers

Receive = Callable[[], Awaitable[Any]]
Send = Callable[[Any], Awaitable[None]]

# A body up to this size is kept until the answer begins, so that it can be sent again.
REPLAY_LIMIT_BYTES = 65_536
HOP_BY_HOP = frozenset(
    ("connection", "keep-alive", "proxy-connection", "transfer-encoding", "te", "upgrade")
)


class CallerBody(BodySource):
    """A caller's body. ``pump`` feeds it and notices that the caller went away."""

    def __init__(self, *, receive: Receive, max_bytes: int, stall_timeout: float) -> None:
        self._receive = receive
        self._max_bytes = max_bytes
        self._stall_timeout = stall_timeout
        self._send_chunk, self._chunks = trio.open_memory_channel[bytes](1)
        self._kept: list[bytes] | None = []
        self._next = 0
        self._size = 0
        self._failure: RequestError | None = None

    async def pump(self, caller_gone: trio.CancelScope) -> None:
        """Read the body from ASGI, then wait for the caller to go away and cancel the scope."""
        more = True
        async with self._send_chunk:
            while more:
                with trio.move_on_after(self._stall_timeout) as timeout:
                    message = await self._receive()
                if timeout.cancelled_caught:
                    self._failure = self._error("the body stalled", 408)
                    return
                if message["type"] == "http.disconnect":
                    caller_gone.cancel()
                    return
                chunk = message.get("body", b"")
                self._size += len(chunk)
                if self._size > self._max_bytes:
                    self._failure = self._error(f"the body exceeds {self._max_bytes} bytes", 413)
                    return
                if chunk:
                    await self._pass_on(chunk)
                more = message.get("more_body", False)
        while (await self._receive())["type"] != "http.disconnect":
            continue
        caller_gone.cancel()

    def discard(self) -> None:
        """Drop the rest of the body, since the answer is complete without it.

        Hypercorn ends an exchange only after the application has read all messages; a body that
        nobody reads would keep the connection, and a graceful stop, waiting for ever.
        """
        self._chunks.close()

    async def _pass_on(self, chunk: bytes) -> None:
        try:
            await self._send_chunk.send(chunk)
        except trio.BrokenResourceError:
            return

    @property
    def begun(self) -> bool:
        """Whether a part of the body has been passed on, so that its request may have started."""
        return self._kept is None or bool(self._kept)

    async def receive(self) -> bytes:
        if self._kept is not None and self._next < len(self._kept):
            self._next += 1
            return self._kept[self._next - 1]
        try:
            chunk = await self._chunks.receive()
        except trio.EndOfChannel:
            if self._failure is not None:
                raise self._failure from None
            return b""
        if self._kept is not None:
            self._kept.append(chunk)
            self._next = len(self._kept)
            if sum(map(len, self._kept)) > REPLAY_LIMIT_BYTES:
                self._kept = None
        return chunk

    def rewind(self) -> bool:
        """Start again from the first byte; returns whether that is still possible."""
        if self._kept is None:
            return False
        self._next = 0
        return True

    def _error(self, message: str, status: int) -> RequestError:
        return RequestError(message, status=status, step="caller.body")


class CallerReply(ReplySink):
    """Sends the answer to the caller."""

    def __init__(self, *, send: Send, request_id: str, body: CallerBody) -> None:
        self._send = send
        self._body = body
        self._request_id = request_id
        self._started = False
        self._ended = False
        self.status = 0

    @property
    def started(self) -> bool:
        return self._started

    @property
    def ended(self) -> bool:
        """Whether the answer is complete."""
        return self._ended

    async def head(self, status: int, headers: Headers) -> None:
        self._started = True
        self.status = status
        own = {"acaciasaddle-request-id": self._request_id}
        if not any(name.lower() == "acaciasaddle-outcome" for name, _ in headers):
            own["acaciasaddle-outcome"] = Outcome.COMPLETED.value
        raw = [
            (name.lower().encode("latin-1"), value.encode("latin-1"))
            for name, value in (*headers, *own.items())
            if name.lower() not in HOP_BY_HOP
        ]
        await self._send({"type": "http.response.start", "status": status, "headers": raw})

    async def data(self, chunk: bytes) -> None:
        await self._send({"type": "http.response.body", "body": chunk, "more_body": True})

    async def end(self) -> None:
        self._ended = True
        self._body.discard()
        await self._send({"type": "http.response.body", "body": b"", "more_body": False})

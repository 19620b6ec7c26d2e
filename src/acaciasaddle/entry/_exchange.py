"""Request body and response of a caller's exchange over ASGI."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any

import trio

from acaciasaddle.errors import Outcome
from acaciasaddle.errors import RequestError
from acaciasaddle.model import BodySource
from acaciasaddle.model import ResponseSink

if TYPE_CHECKING:
    from acaciasaddle.model import Headers

Receive = Callable[[], Awaitable[Any]]
Send = Callable[[Any], Awaitable[None]]

# A body up to this size is buffered, so that the request can be sent again.
REPLAY_LIMIT_BYTES = 65_536
HOP_BY_HOP = frozenset(
    ("connection", "keep-alive", "proxy-connection", "transfer-encoding", "te", "upgrade")
)


class CallerBody(BodySource):
    """A caller's request body.

    ``read_from_asgi`` runs beside the reader, fills the body and detects that the caller has
    disconnected.
    """

    def __init__(self, *, receive: Receive, max_bytes: int, stall_timeout: float) -> None:
        self._receive = receive
        self._max_bytes = max_bytes
        self._stall_timeout = stall_timeout
        self._chunk_sender, self._chunk_receiver = trio.open_memory_channel[bytes](1)
        self._replay_chunks: list[bytes] | None = []
        self._replay_index = 0
        self._size = 0
        self._failure: RequestError | None = None

    async def read_from_asgi(self, request_scope: trio.CancelScope) -> None:
        """Read the body from ASGI, and cancel ``request_scope`` when the caller disconnects.

        Return early, without watching for a disconnect, if the body stalls or is too large.
        ``receive`` then raises the error.
        """
        more = True
        async with self._chunk_sender:
            while more:
                with trio.move_on_after(self._stall_timeout) as timeout:
                    message = await self._receive()
                if timeout.cancelled_caught:
                    self._failure = self._error("the body stalled", 408)
                    return
                if message["type"] == "http.disconnect":
                    request_scope.cancel()
                    return
                chunk = message.get("body", b"")
                self._size += len(chunk)
                if self._size > self._max_bytes:
                    self._failure = self._error(f"the body exceeds {self._max_bytes} bytes", 413)
                    return
                if chunk:
                    await self._forward_chunk(chunk)
                more = message.get("more_body", False)
        while (await self._receive())["type"] != "http.disconnect":
            continue
        request_scope.cancel()

    def discard_rest(self) -> None:
        """Discard the rest of the body once the response is complete without it.

        Hypercorn ends an exchange only after the application has read all messages. A body that is
        never read would block the connection, and with it a graceful stop, for ever.
        """
        self._chunk_receiver.close()

    async def _forward_chunk(self, chunk: bytes) -> None:
        try:
            await self._chunk_sender.send(chunk)
        except trio.BrokenResourceError:
            return

    @property
    def partly_read(self) -> bool:
        """Whether a part of the body has been read, so that the request may have been started."""
        return self._replay_chunks is None or bool(self._replay_chunks)

    async def receive(self) -> bytes:
        if self._replay_chunks is not None and self._replay_index < len(self._replay_chunks):
            self._replay_index += 1
            return self._replay_chunks[self._replay_index - 1]
        try:
            chunk = await self._chunk_receiver.receive()
        except trio.EndOfChannel:
            if self._failure is not None:
                raise self._failure from None
            return b""
        if self._replay_chunks is not None:
            self._replay_chunks.append(chunk)
            self._replay_index = len(self._replay_chunks)
            if sum(map(len, self._replay_chunks)) > REPLAY_LIMIT_BYTES:
                self._replay_chunks = None
        return chunk

    def rewind(self) -> bool:
        """Rewind to the start. Return ``False`` once more than ``REPLAY_LIMIT_BYTES`` was read."""
        if self._replay_chunks is None:
            return False
        self._replay_index = 0
        return True

    def _error(self, message: str, status: int) -> RequestError:
        return RequestError(message, status=status, step="caller.body")


class CallerResponseSink(ResponseSink):
    """Sends the response to the caller."""

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
        """Whether ``end`` has been called."""
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
        self._body.discard_rest()
        await self._send({"type": "http.response.body", "body": b"", "more_body": False})

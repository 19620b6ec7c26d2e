"""Bodies streamed between caller and upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NoReturn

import trio

from acaciasaddle.errors import Outcome
from acaciasaddle.errors import PeerError
from acaciasaddle.errors import RefusedError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from acaciasaddle.model import BodySource
    from acaciasaddle.model import Headers
    from acaciasaddle.model import ResponseSink

STALL_TIMEOUT_S = 30.0
"""Time without progress after which a body is cut off."""

MAX_KEPT_BODY_BYTES = 65_536
"""Largest response body that is kept to answer repeats."""


CALLER_ERRORS = (
    PeerError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


class Upload:
    """The body of a request as it is sent, checked for its length and for stalls.

    ``length`` is -1 if it is not known in advance. ``consumed`` is true once a chunk was requested
    from the source, so that the request cannot be sent again; ``complete`` once the body has
    ended.
    """

    def __init__(self, *, source: BodySource, length: int, stall_timeout: float) -> None:
        self._source = source
        self._length = length
        self._stall_timeout = stall_timeout
        self._sent = 0
        self.consumed = False
        self.complete = length == 0
        self._on_complete: Callable[[], None] | None = None

    def set_on_complete(self, on_complete: Callable[[], None]) -> None:
        """Set the function that is called at the end of the body."""
        self._on_complete = on_complete

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        if self.complete:
            self._end()
        self.consumed = True
        try:
            with trio.fail_after(self._stall_timeout):
                chunk = await self._source.receive()
        except trio.TooSlowError:
            raise _unknown_outcome(
                f"no byte of the body was received for {self._stall_timeout:.0f} s", 408
            ) from None
        except PeerError as exc:
            raise _unknown_outcome(f"the body was cut off: {exc.message}", 400) from exc
        self._sent += len(chunk)
        if chunk and (self._length < 0 or self._sent <= self._length):
            return chunk
        if self._length >= 0 and self._sent != self._length:
            raise _unknown_outcome(
                f"the body does not have the announced {self._length} bytes", 400
            )
        self._end()

    def _end(self) -> NoReturn:
        self.complete = True
        if self._on_complete is not None:
            self._on_complete()
        raise StopAsyncIteration


class CallerResponse:
    """The response as it is sent to the caller.

    With ``keep`` a copy of the body is kept to answer repeats. After ``detach`` nothing is sent
    to the caller any more, and the copy alone is completed.
    """

    def __init__(self, *, sink: ResponseSink, keep: bool) -> None:
        self._sink = sink
        self._keep = keep
        self._detached = False
        self._scope: trio.CancelScope | None = None
        self._kept = bytearray()
        self.status = 0
        self.headers: Headers = ()
        self.complete = False

    @property
    def started(self) -> bool:
        """Whether the response has begun."""
        return self.status != 0

    @property
    def body(self) -> bytes | None:
        """The kept body, ``None`` if it exceeds ``MAX_KEPT_BODY_BYTES``."""
        return bytes(self._kept) if len(self._kept) <= MAX_KEPT_BODY_BYTES else None

    def detach(self) -> None:
        """Stop sending to the caller."""
        self._detached = True
        if self._scope is not None:
            self._scope.cancel()

    async def head(self, status: int, headers: Headers) -> None:
        """Send the status and the headers."""
        self.status = status
        self.headers = headers
        await self._forward(self._sink.head, status, headers)

    async def data(self, chunk: bytes) -> None:
        """Send a chunk of the body."""
        if self._keep and len(self._kept) <= MAX_KEPT_BODY_BYTES:
            self._kept += chunk
        await self._forward(self._sink.data, chunk)

    async def end(self) -> None:
        """Complete the response."""
        self.complete = True
        await self._forward(self._sink.end)

    async def _forward(self, send: Callable[..., Awaitable[None]], *args: object) -> None:
        if self._detached:
            return
        try:
            with trio.move_on_after(STALL_TIMEOUT_S) as self._scope:
                await send(*args)
            if self._scope.cancelled_caught and not self._detached:
                raise PeerError("the response was not read in time", step="dispatch.answer")
        except CALLER_ERRORS as exc:
            # The result of at-most-once work is kept for repeats even if the caller has gone.
            if not self._keep:
                raise _unknown_outcome(
                    f"the response cannot be sent to the caller: {exc}", 504
                ) from exc
            self._detached = True
        finally:
            self._scope = None


def _unknown_outcome(reason: str, status: int) -> RefusedError:
    return RefusedError(reason, outcome=Outcome.UNKNOWN, status=status, step="dispatch.upload")

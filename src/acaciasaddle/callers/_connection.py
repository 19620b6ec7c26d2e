"""One connection of a caller: requests are answered in their order, one at a time.

hypercorn hands over a request before it is complete and does not tell when a caller leaves while
requests are waiting behind the current one; so h11, its parser, is used directly.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11
import trio

from acaciasaddle.forward import CallerRequest
from acaciasaddle.forward import Reply
from acaciasaddle.observe import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from acaciasaddle.routing import CallerLimits

RECEIVE_BYTES = 65_536
READ_AHEAD_BYTES = 262_144
"""Bytes of later requests that are kept while one is served."""
LINGER_S = 1.0
"""Time for a caller to read the last response before unread bytes reset the connection."""
BODY_TIMEOUT_S = 30.0
SEND_TIMEOUT_S = 30.0

log = get_logger("caller")


class CallerConnection:
    """Reads requests from a stream and writes their replies."""

    def __init__(
        self,
        *,
        stream: trio.SocketStream,
        limits: CallerLimits,
        handle: Callable[[CallerRequest], Awaitable[Reply]],
    ) -> None:
        self._stream = stream
        self._limits = limits
        self._handle = handle
        self._parser = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.max_header_bytes)
        self._received = trio.Event()
        self._room = trio.Event()
        self._buffered = 0
        self._ended = False
        self._work = trio.CancelScope()
        self._idle_scope = trio.CancelScope()
        self.closing = False
        self.busy = False

    async def run(self) -> None:
        """Serve the connection until either side ends it."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive)
                try:
                    await self._serve()
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    log.debug("connection broken")
                nursery.cancel_scope.cancel()
        finally:
            with trio.move_on_after(LINGER_S, shield=True):
                await self._close()

    def close_soon(self) -> None:
        """Close the connection after the request in progress, or at once if there is none."""
        self.closing = True
        self._idle_scope.cancel()

    async def _close(self) -> None:
        try:
            await self._stream.send_eof()
            while not self._ended and await self._stream.receive_some(RECEIVE_BYTES):
                pass
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            log.debug("connection broken while closing")
        finally:
            await trio.aclose_forcefully(self._stream)

    # Receiving.

    async def _receive(self) -> None:
        """Pass bytes to the parser, and end the work in progress when the caller leaves."""
        while True:
            try:
                data = await self._stream.receive_some(RECEIVE_BYTES)
            except trio.BrokenResourceError:
                data = b""
            if not data:
                break
            try:
                self._parser.receive_data(data)
            except h11.RemoteProtocolError:
                break
            self._buffered += len(data)
            self._signal()
            while self.busy and self._buffered > READ_AHEAD_BYTES:
                self._room = trio.Event()
                await self._room.wait()
        self._ended = True
        self._signal()
        self._work.cancel()

    def _signal(self) -> None:
        self._received.set()
        self._received = trio.Event()

    async def _next_event(self) -> h11.Event | type[h11.PAUSED] | None:
        """Return the next event, or ``None`` once the caller has ended the connection."""
        while True:
            received = self._received
            event = self._parser.next_event()
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            if self._ended:
                return None
            await received.wait()

    # Serving.

    async def _serve(self) -> None:
        while not self.closing:
            try:
                req = await self._read_request()
            except h11.RemoteProtocolError as exc:
                log.info("bad request", reason=str(exc), status=exc.error_status_hint)
                await self._send(Reply(status=exc.error_status_hint, headers=[]), close=True)
                return
            if req is None:
                return
            self.busy = True
            reply = await self._reply_to(req)
            if reply is None:
                return
            await self._send(reply, close=self.closing)
            self.busy = False
            if self._parser.our_state is not h11.DONE:
                return
            self._parser.start_next_cycle()
            self._buffered = len(self._parser.trailing_data[0])
            self._room.set()

    async def _reply_to(self, req: CallerRequest) -> Reply | None:
        """Return the reply, or ``None`` if the caller left before."""
        if len(req.body) > self._limits.max_body_bytes:
            return Reply(status=413, headers=[])
        if self._ended:
            return None
        reply: Reply | None = None
        self._work = trio.CancelScope()
        with self._work:
            reply = await self._handle(req)
        if reply is None:
            log.info("caller left", target=req.target)
        return reply

    async def _read_request(self) -> CallerRequest | None:
        """Return the next request, or ``None`` if the connection ends or stays idle."""
        head = await self._read_head()
        if head is None:
            return None
        received_at = trio.current_time()
        fields = {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}
        if "content-length" in fields and "transfer-encoding" in fields:
            raise h11.RemoteProtocolError("both Content-Length and Transfer-Encoding")
        if fields.get("expect", "").lower() == "100-continue":
            await self._send_event(h11.InformationalResponse(status_code=100, headers=[]))
        body = await self._read_body()
        if body is None:
            return None
        return CallerRequest(
            method=head.method.decode("latin-1"),
            target=head.target.decode("latin-1"),
            headers=list(head.headers.raw_items()),
            fields=fields,
            body=body,
            received_at=received_at,
        )

    async def _read_head(self) -> h11.Request | None:
        self._idle_scope = trio.CancelScope(
            deadline=trio.current_time() + self._limits.idle_timeout_s
        )
        if self.closing:
            self._idle_scope.cancel()
        with self._idle_scope:
            while not self._parser.trailing_data[0] and not self._ended:
                await self._received.wait()
        if not self._parser.trailing_data[0]:
            return None
        with trio.move_on_after(self._limits.header_timeout_s):
            event = await self._next_event()
            return event if isinstance(event, h11.Request) else None
        raise h11.RemoteProtocolError("the head took too long", error_status_hint=408)

    async def _read_body(self) -> bytes | None:
        body = bytearray()
        with trio.move_on_after(BODY_TIMEOUT_S):
            while True:
                event = await self._next_event()
                if isinstance(event, h11.Data):
                    body += event.data
                    if len(body) > self._limits.max_body_bytes:
                        raise h11.RemoteProtocolError("body too large", error_status_hint=413)
                elif isinstance(event, h11.EndOfMessage):
                    return bytes(body)
                else:
                    return None
        raise h11.RemoteProtocolError("the body took too long", error_status_hint=408)

    async def _send(self, reply: Reply, *, close: bool) -> None:
        headers = list(reply.headers)
        if reply.status not in (204, 304):
            headers.append((b"Content-Length", str(len(reply.body)).encode()))
        if close:
            headers.append((b"Connection", b"close"))
        try:
            head = self._parser.send(
                h11.Response(status_code=reply.status, headers=headers, reason=reply.reason)
            )
            body = self._parser.send(h11.Data(data=reply.body)) if reply.body else b""
            end = self._parser.send(h11.EndOfMessage())
        except h11.LocalProtocolError as exc:
            log.warning("reply cannot be sent", reason=str(exc), status=reply.status)
            self.closing = True
            return
        with trio.move_on_after(SEND_TIMEOUT_S) as scope:
            await self._stream.send_all((head or b"") + (body or b"") + (end or b""))
        if scope.cancelled_caught:
            raise trio.BrokenResourceError("the caller does not read")

    async def _send_event(self, event: h11.Event) -> None:
        await self._stream.send_all(self._parser.send(event) or b"")

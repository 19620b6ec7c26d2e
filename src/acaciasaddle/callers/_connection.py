"""A caller's HTTP/1.1 connection with pipelining; responses are sent in the order of the requests.

hypercorn passes a request on before it is complete, and does not report a caller that disconnects
while requests are queued behind the current one. Therefore h11, its parser, is used directly.
"""

from __future__ import annotations

import math
import socket
import sys
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import h11
import trio

from acaciasaddle.callers._input import has_input
from acaciasaddle.forward import CallerRequest
from acaciasaddle.forward import CallerResponse
from acaciasaddle.observe import NullMetrics
from acaciasaddle.observe import describe_error
from acaciasaddle.observe import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from acaciasaddle.observe import Metrics
    from acaciasaddle.routing import CallerLimits

RECEIVE_BYTES = 65_536
MAX_PIPELINED = 16
"""Largest number of requests of one connection that are in progress at the same time."""
READ_AHEAD_BYTES = 262_144
"""While ``MAX_PIPELINED`` requests are in progress, or a request's body is not read yet because
earlier responses are due, receiving pauses if more unread bytes than this are buffered."""
LINGER_S = 1.0
"""Time for a caller to read the last response; closing with unread input would reset the connection
and could discard that response."""
NEXT_REQUEST_S = 0.2
"""A connection is not closed sooner than this after a response that did not announce the close: the
caller's next request is probably on its way."""
BODILESS_STATUSES = frozenset({204, 304})
BODY_TIMEOUT_S = 30.0
SEND_TIMEOUT_S = 30.0

log = get_logger("caller")


@dataclass(slots=True, eq=False)
class _Exchange:
    """A request in progress, and the parser that read it and frames its response."""

    parser: h11.Connection
    method: str = ""
    done: trio.Event = field(default_factory=trio.Event)
    response: CallerResponse | None = None


class CallerConnection:
    """Reads requests from a stream and writes their responses in the same order.

    Pipelined requests are served concurrently. An h11 parser reads no further request until the
    current one is answered, so each request has a parser of its own.

    Once ``closing`` is set, the connection closes after the requests in progress. With
    ``close_after_next`` it closes after the next response.

    A connection closes in one of two ways. Either the last response announces it; a caller sends
    requests behind such a response again. Or the connection is unused: then the check that no input
    has arrived and the shutdown are one step, and input that arrives later stays unread, which
    tells the caller that its request was not taken.
    """

    def __init__(
        self,
        *,
        stream: trio.SocketStream,
        limits: Callable[[], CallerLimits],
        handle: Callable[[CallerRequest], Awaitable[CallerResponse]],
        metrics: Metrics | None = None,
    ) -> None:
        """``limits`` returns the limits in force, which may change while the connection is open."""
        self._metrics = metrics or NullMetrics()
        self._stream = stream
        self._limits = limits
        self._handle = handle
        self._parser = self._new_parser()
        self._received = trio.Event()
        self._has_taken_input = False
        self._is_reading_request = False
        self._holds_body_back = False
        self._is_shut_down = False
        self._progress = trio.Event()
        self._unread = 0
        self._eof_received = False
        self._reading_done = False
        self._pending: deque[_Exchange] = deque()
        self._idle_scope = trio.CancelScope()
        self._note_idle()
        self._close_reason = ""
        self._discarded = 0
        self._unread_request = False
        self._requests = 0
        self.closing = False
        self.close_after_next = False
        self.unexpected_errors = 0

    @property
    def busy(self) -> bool:
        """Whether requests are in progress."""
        return bool(self._pending)

    async def run(self) -> None:
        """Serve the connection until either side closes it."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, nursery.cancel_scope)
                nursery.start_soon(self._write_responses, nursery.cancel_scope)
                await self._read_requests(nursery)
        finally:
            with trio.move_on_after(LINGER_S, shield=True):
                await self._close()
            self._log_close()

    def close_soon(self) -> None:
        """Close the connection after the requests in progress, or at once if there are none.

        A request that is being read is still served.
        """
        self.closing = True
        self._idle_scope.deadline = self._close_at

    async def _close(self) -> None:
        try:
            if self._is_shut_down:
                await self._wait_for_unread_input()
            elif self._reading_done and not self._eof_received:
                await self._stream.send_eof()
                while data := await self._stream.receive_some(RECEIVE_BYTES):
                    self._discarded += len(data)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            log.debug("connection to caller broken while closing")
        finally:
            await trio.aclose_forcefully(self._stream)

    async def _wait_for_unread_input(self) -> None:
        """Wait until the caller closes its side, or has sent a request, which is left unread."""
        sock = self._stream.socket
        await trio.lowlevel.wait_readable(sock)
        self._unread_request = bool(await sock.recv(1, socket.MSG_PEEK))
        if self._unread_request:
            # Closing resets the connection now, so leave time for reading the last response.
            await trio.sleep_until(self._idle_since + LINGER_S)

    def _log_close(self) -> None:
        """Log and count a close that this host decided on."""
        if not self._close_reason:
            return
        if not self._is_shut_down:
            self._discarded += len(self._parser.trailing_data[0])
        self._metrics.count(f"callers.closed.{self._close_reason.replace(' ', '_')}")
        if self._discarded:
            self._metrics.count("callers.input_discarded")
        if self._unread_request:
            self._metrics.count("callers.request_unread")
        log.info(
            "connection closed",
            reason=self._close_reason,
            requests=self._requests,
            idle_s=round(trio.current_time() - self._idle_since, 3),
            discarded_bytes=self._discarded,
            unread_request=self._unread_request,
        )

    @staticmethod
    def _new_parser() -> h11.Connection:
        # The limit in force may change while the parser is in use, see ``_available_event``.
        return h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)

    # Receiving.

    async def _receive(self, scope: trio.CancelScope) -> None:
        """Pass input to the parser; when the input ends, cancel the connection's tasks."""
        while True:
            try:
                data = await self._take_input()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                break
            if self._reading_done:
                self._discarded += len(data)
            else:
                self._parser.receive_data(data)
            self._has_taken_input = False
            self._unread += len(data)
            self._notify_received()
            while self._unread > READ_AHEAD_BYTES and (
                self._holds_body_back or len(self._pending) >= MAX_PIPELINED
            ):
                await self._progress.wait()
        self._eof_received = True
        if self._pending:
            log.info(
                "caller disconnected, requests in progress cancelled", pending=len(self._pending)
            )
        scope.cancel()

    async def _take_input(self) -> bytes:
        """Return the next input, or nothing at its end.

        ``_has_taken_input`` is set while the input is neither in the socket nor in the parser:
        ``receive_some`` lets other tasks run before it returns what it has read.
        """
        sock = getattr(self._stream, "socket", None)
        if sock is not None:
            while not has_input(sock):
                await trio.lowlevel.wait_readable(sock)
            if self._is_shut_down:
                # What has arrived since stays unread. The tasks of the connection are cancelled.
                await trio.sleep_forever()
            self._has_taken_input = True
        return bytes(await self._stream.receive_some(RECEIVE_BYTES))

    def _notify_received(self) -> None:
        self._received.set()
        self._received = trio.Event()

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        while True:
            received = self._received
            event = self._available_event()
            if event is not None:
                return event
            await received.wait()

    def _available_event(self) -> h11.Event | type[h11.PAUSED] | None:
        """Return the next event, or ``None`` if it needs more input."""
        event = self._parser.next_event()
        if event is not h11.NEED_DATA:
            return event  # type: ignore[return-value]
        if len(self._parser.trailing_data[0]) > self._limits().max_header_bytes:
            raise h11.RemoteProtocolError("the request head is too large", error_status_hint=431)
        return None

    # Serving.

    async def _read_requests(self, nursery: trio.Nursery) -> None:
        """Read requests and serve each in a task of its own, until the connection closes."""
        while not self.closing:
            try:
                req = await self._read_request()
            except h11.RemoteProtocolError as exc:
                log.info("request rejected", reason=str(exc), status=exc.error_status_hint)
                self._close_reason = "rejected request"
                self.closing = self._reading_done = True
                exchange = _Exchange(self._parser)
                exchange.response = CallerResponse(status=exc.error_status_hint, headers=[])
                exchange.done.set()
                self._enqueue(exchange)
                return
            if req is None:
                break
            self._requests += 1
            exchange = _Exchange(self._parser, method=req.method)
            rest, _ = self._parser.trailing_data
            self._unread = len(rest)
            if self.close_after_next or self._parser.their_state is not h11.DONE:
                # The host is stopping, or the caller marked this request as its last one.
                self.closing = True
            self._parser = self._new_parser()
            if rest:
                self._parser.receive_data(rest)
            self._is_reading_request = False
            self._enqueue(exchange)
            if self.closing:
                self._close_reason = "last request"
            nursery.start_soon(self._serve, exchange, req)
            while len(self._pending) >= MAX_PIPELINED:
                await self._progress.wait()
        self.closing = self._reading_done = True
        self._notify_progress()

    def _enqueue(self, exchange: _Exchange) -> None:
        self._pending.append(exchange)
        self._notify_progress()

    def _notify_progress(self) -> None:
        self._progress.set()
        self._progress = trio.Event()

    async def _serve(self, exchange: _Exchange, req: CallerRequest) -> None:
        try:
            exchange.response = await self._handle(req)
        except Exception as exc:
            # The request may have run, so the response promises nothing.
            self.unexpected_errors += 1
            log.error("unexpected error, request answered with 502", reason=describe_error(exc))
            exchange.response = CallerResponse(status=502, headers=[])
        exchange.done.set()

    async def _write_responses(self, scope: trio.CancelScope) -> None:
        """Write the responses in the order of the requests.

        Cancel the scope after the last one once no further request is read.
        """
        try:
            while True:
                while not self._pending:
                    if self._reading_done:
                        scope.cancel()
                    await self._progress.wait()
                exchange = self._pending[0]
                await exchange.done.wait()
                if exchange.response is not None:
                    # Requests that arrived after this one are answered before closing.
                    last = (self.closing or self.close_after_next) and len(self._pending) == 1
                    last = last and (self._reading_done or not self._has_input())
                    self._reading_done = self._reading_done or last
                    await self._send(exchange, exchange.response, close=last)
                self._pending.popleft()
                self._note_idle()
                self._idle_scope.deadline = self._close_at
                self._notify_progress()
                if self._reading_done and not self._pending:
                    scope.cancel()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            log.debug("connection to caller broken")
            scope.cancel()

    async def _read_request(self) -> CallerRequest | None:
        """Return the next request, or ``None`` if the connection closes or stays idle."""
        head = await self._read_head()
        if head is None:
            return None
        received_at = trio.current_time()
        if _head_size(head) > self._limits().max_header_bytes:
            # ``_available_event`` only checks heads that are not complete.
            raise h11.RemoteProtocolError("the request head is too large", error_status_hint=431)
        fields = {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}
        if "content-length" in fields and "transfer-encoding" in fields:
            raise h11.RemoteProtocolError(
                "the request has both Content-Length and Transfer-Encoding"
            )
        if self._parser.they_are_waiting_for_100_continue:
            while self._pending:
                # Responses are sent in the order of the requests, and this one is no exception.
                self._holds_body_back = True
                await self._progress.wait()
            self._holds_body_back = False
            self._notify_progress()
            data = self._parser.send(h11.InformationalResponse(status_code=100, headers=[]))
            await self._stream.send_all(data or b"")
        body = await self._read_body()
        return CallerRequest(
            method=head.method.decode("latin-1"),
            target=head.target.decode("latin-1"),
            headers=list(head.headers.raw_items()),
            fields=fields,
            body=body,
            received_at=received_at,
        )

    async def _read_head(self) -> h11.Request | None:
        self._note_idle()
        while not self._parser.trailing_data[0]:
            self._idle_scope = trio.CancelScope(deadline=self._close_at)
            with self._idle_scope:
                await self._wait_for_input()
            if trio.current_time() >= self._close_at and self._shut_down_if_unused():
                return None
        self._is_reading_request = True
        event = None
        with trio.move_on_after(self._limits().header_timeout_s):
            event = await self._next_event()
        if event is None:
            event = self._available_event()
        while event is None and self._has_unread_input():
            # A process that is busy is late itself; this input may have arrived in time.
            await self._received.wait()
            event = self._available_event()
        if event is not None:
            return event if isinstance(event, h11.Request) else None
        raise h11.RemoteProtocolError(
            "the request head did not arrive in time", error_status_hint=408
        )

    def _shut_down_if_unused(self) -> bool:
        """Shut this side down and return true, or return false if input has arrived.

        No other task runs between the check and the shutdown.
        """
        if self._has_input():
            return False
        self._close_reason = "stopping" if self.closing else "idle"
        self._reading_done = True
        sock = getattr(self._stream, "socket", None)
        if sock is not None:
            self._is_shut_down = True
            try:
                sock.shutdown(socket.SHUT_WR)
            except OSError as exc:
                log.debug("connection to caller broken while closing", reason=str(exc))
        return True

    def _note_idle(self) -> None:
        """Note that the connection is idle from now on, and the limit that the caller may know."""
        self._idle_since = trio.current_time()
        self._limit_when_idle_s = self._limits().idle_timeout_s

    @property
    def _close_at(self) -> float:
        """When the connection may be closed if nothing arrives, on trio's clock.

        A shorter idle limit that comes into force meanwhile does not bind a caller that knows the
        previous one. A longer one binds this host.
        """
        if self._pending:
            return math.inf
        if self.closing:
            return self._idle_since + NEXT_REQUEST_S
        return self._idle_since + max(self._limit_when_idle_s, self._limits().idle_timeout_s)

    def _has_input(self) -> bool:
        """Return whether a request has arrived at least in part and is not passed on yet."""
        if self._is_reading_request or self._parser.trailing_data[0]:
            return True
        return self._has_unread_input()

    def _has_unread_input(self) -> bool:
        """Return whether input has arrived that is not in the parser yet."""
        if self._has_taken_input:
            return True
        sock = getattr(self._stream, "socket", None)
        if sock is None:
            # Input that waits in a stream in memory, as in tests, cannot be looked for.
            return False
        return has_input(sock)

    async def _wait_for_input(self) -> None:
        while not self._parser.trailing_data[0]:
            await self._received.wait()

    async def _read_body(self) -> bytes:
        body = bytearray()
        with trio.move_on_after(BODY_TIMEOUT_S):
            while True:
                event = await self._next_event()
                if isinstance(event, h11.Data):
                    body += event.data
                    if len(body) > self._limits().max_body_bytes:
                        raise h11.RemoteProtocolError(
                            "the request body is too large", error_status_hint=413
                        )
                else:
                    return bytes(body)
        raise h11.RemoteProtocolError(
            "the request body did not arrive in time", error_status_hint=408
        )

    async def _send(self, exchange: _Exchange, response: CallerResponse, *, close: bool) -> None:
        headers = list(response.headers)
        if response.status not in BODILESS_STATUSES:
            headers.append((b"Content-Length", str(len(response.body)).encode()))
        if close:
            headers.append((b"Connection", b"close"))
        parser = exchange.parser
        try:
            head = h11.Response(
                status_code=response.status, headers=headers, reason=response.reason
            )
        except h11.LocalProtocolError as exc:
            log.warning(
                "response violates HTTP, answered with 502", reason=str(exc), status=response.status
            )
            await self._send(exchange, CallerResponse(status=502, headers=[]), close=close)
            return
        data = parser.send(head) or b""
        if exchange.method != "HEAD" and response.status not in BODILESS_STATUSES:
            data += parser.send(h11.Data(data=response.body)) or b""
        data += parser.send(h11.EndOfMessage()) or b""
        with trio.move_on_after(SEND_TIMEOUT_S) as scope:
            await self._stream.send_all(data)
        if scope.cancelled_caught:
            raise trio.BrokenResourceError("the caller did not read the response in time")


def _head_size(head: h11.Request) -> int:
    fields = sum(len(name) + len(value) + 4 for name, value in head.headers)
    return len(head.method) + len(head.target) + fields

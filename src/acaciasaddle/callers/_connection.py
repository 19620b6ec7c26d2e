"""A caller's HTTP/1.1 connection with pipelining; responses are sent in the order of the requests.

hypercorn passes a request on before it is complete, and does not report a caller that disconnects
while requests are queued behind the current one. Therefore h11, its parser, is used directly.
"""

from __future__ import annotations

import math
import random
import socket
import sys
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from typing import TYPE_CHECKING
from typing import Protocol

import h11
import trio

from acaciasaddle.callers._input import has_input
from acaciasaddle.errors import RefusedError
from acaciasaddle.forward import CallerRequest
from acaciasaddle.forward import CallerResponse
from acaciasaddle.memory import SMALL_BODY_BYTES
from acaciasaddle.memory import BodyTerms
from acaciasaddle.memory import Hold
from acaciasaddle.memory import LargeBody
from acaciasaddle.memory import MemoryBound
from acaciasaddle.observe import NullMetrics
from acaciasaddle.observe import describe_error
from acaciasaddle.observe import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Mapping

    from acaciasaddle.memory import Body
    from acaciasaddle.observe import Metrics
    from acaciasaddle.routing import CallerLimits

RECEIVE_BYTES = 65_536
"""Bytes received at a time while a body is read."""
HEAD_RECEIVE_BYTES = 16_384
"""Bytes received at a time otherwise: all connections may have that much input in memory before any
of them is given memory for a body."""
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
STEP_BYTES = 1_048_576
"""Memory that a large body without length takes at a time."""
REFUSED_BODY_S = 5.0
"""The rest of a refused body is discarded until none of it has arrived for this long."""
RETRY_JITTER = 0.3
"""Largest random addition to Retry-After, as a share of it."""
SEND_TIMEOUT_S = 30.0

log = get_logger("caller")


class ReadBodyTerms(Protocol):
    """Returns the terms of a request with a large body."""

    def __call__(
        self, target: str, fields: Mapping[str, str], *, received_at: float
    ) -> BodyTerms: ...


@dataclass(slots=True, eq=False)
class _Exchange:
    """A request in progress, and the parser that read it and frames its response."""

    parser: h11.Connection
    method: str = ""
    done: trio.Event = field(default_factory=trio.Event)
    response: CallerResponse | None = None
    hold: Hold | None = None
    """Memory of the request's body."""

    def discard(self) -> None:
        """Give back the memory of the response."""
        if self.response is not None and self.response.hold is not None:
            if isinstance(self.response.body, LargeBody):
                self.response.body.clear()
            self.response.hold.release()


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
        memory: MemoryBound | None = None,
        body_terms: ReadBodyTerms | None = None,
    ) -> None:
        """Create a connection.

        ``limits`` returns the limits in force, which may change while the connection is open.
        ``memory`` and ``body_terms`` are those of ``HttpServer``.
        """
        self._metrics = metrics or NullMetrics()
        self._memory = memory or MemoryBound()
        self._body_terms = body_terms or _default_terms
        self._waits_for_memory = False
        self._refused = False
        self._hold: Hold | None = None
        self._terms: Callable[[], BodyTerms] | None = None
        self._stream = stream
        self._limits = limits
        self._handle = handle
        self._parser = self._new_parser()
        self._received = trio.Event()
        self._has_taken_input = False
        self._is_reading_request = False
        self._is_reading_body = False
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
            if self._hold is not None:
                self._hold.release()
            for exchange in self._pending:
                exchange.discard()
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
            elif self._reading_done and not self._eof_received and not self._refused:
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
            # Otherwise this task keeps it until the next input arrives.
            data = b""
            self._notify_received()
            while self._waits_for_memory or (
                self._unread > READ_AHEAD_BYTES
                and (self._holds_body_back or len(self._pending) >= MAX_PIPELINED)
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
            while self._waits_for_memory:
                await self._progress.wait()
            if self._is_shut_down:
                # What has arrived since stays unread. The tasks of the connection are cancelled.
                await trio.sleep_forever()
            self._has_taken_input = True
        size = RECEIVE_BYTES if self._is_reading_body else HEAD_RECEIVE_BYTES
        return bytes(await self._stream.receive_some(size))

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

    async def _next_data(self) -> bytes | bytearray | None:
        """Return the next part of a body, or ``None`` at its end."""
        event = await self._next_event()
        return event.data if isinstance(event, h11.Data) else None

    # Serving.

    async def _read_requests(self, nursery: trio.Nursery) -> None:
        """Read requests and serve each in a task of its own, until the connection closes."""
        while not self.closing:
            try:
                req = await self._read_request()
            except h11.RemoteProtocolError as exc:
                log.info("request rejected", reason=str(exc), status=exc.error_status_hint)
                self._refused = exc.error_status_hint == 413
                self._reject(CallerResponse(status=exc.error_status_hint, headers=[]))
                return
            except RefusedError as exc:
                # The bound on memory has logged it. The body stays unread.
                wait_s = (exc.retry_after or 0.0) * (1.0 + RETRY_JITTER * random.random())
                headers = [(b"Retry-After", f"{wait_s:.3f}".encode())]
                self._refused = True
                self._reject(CallerResponse(status=exc.status, headers=headers))
                return
            if req is None:
                break
            self._requests += 1
            exchange = _Exchange(self._parser, method=req.method)
            exchange.hold, self._hold = self._hold, None
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

    def _reject(self, response: CallerResponse) -> None:
        """Answer the request that is being read, and close the connection after that."""
        self._close_reason = "rejected request"
        self.closing = self._reading_done = True
        if self._hold is not None:
            # The part of the body that has been read is dropped with the error.
            self._hold.release()
            self._hold = None
        exchange = _Exchange(self._parser)
        exchange.response = response
        exchange.done.set()
        self._enqueue(exchange)

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
        finally:
            if exchange.hold is not None:
                if isinstance(req.body, LargeBody):
                    req.body.clear()
                exchange.hold.release()
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
                self._pending.popleft().discard()
                if self._pending:
                    self._memory.notify_next()
                self._note_idle()
                self._idle_scope.deadline = self._close_at
                self._notify_progress()
                if self._reading_done and not self._pending:
                    if self._refused:
                        await self._discard_refused_body()
                    scope.cancel()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            log.debug("connection to caller broken")
            scope.cancel()

    async def _discard_refused_body(self) -> None:
        """Leave the connection open while the rest of a refused body arrives.

        The caller may only read the response once it has sent its body. The task that receives
        discards it, and cancels this one at its end.
        """
        await self._stream.send_eof()
        discarded = -1
        with trio.move_on_after(BODY_TIMEOUT_S):
            while discarded != self._discarded:
                discarded = self._discarded
                await trio.sleep(REFUSED_BODY_S)

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
            read_until = await self._hold_memory(head, fields, received_at)
            await self._send_interim(read_until)
        elif "content-length" in fields or "transfer-encoding" in fields:
            read_until = await self._hold_memory(head, fields, received_at)
        else:
            read_until = received_at + BODY_TIMEOUT_S
        self._is_reading_body = True
        body = await self._read_body(read_until)
        self._is_reading_body = False
        return CallerRequest(
            method=head.method.decode("latin-1"),
            target=head.target.decode("latin-1"),
            headers=list(head.headers.raw_items()),
            fields=fields,
            body=body,
            received_at=received_at,
            is_next=partial(self._is_next, self._parser),
        )

    def _is_next(self, parser: h11.Connection) -> bool:
        """Return whether the response to the request that a parser has read is sent next."""
        return bool(self._pending) and self._pending[0].parser is parser

    async def _send_interim(self, send_until: float) -> None:
        """Ask the caller for its body. Input is limited meanwhile: the caller may not read this."""
        data = self._parser.send(h11.InformationalResponse(status_code=100, headers=[]))
        self._holds_body_back = True
        with trio.move_on_at(send_until) as scope:
            await self._stream.send_all(data or b"")
        if scope.cancelled_caught:
            raise trio.BrokenResourceError("the caller did not read the interim response in time")
        self._holds_body_back = False
        self._notify_progress()

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

    async def _hold_memory(
        self, head: h11.Request, fields: dict[str, str], received_at: float
    ) -> float:
        """Take memory for a body before it is read, and return until when it may be read.

        Raises ``RefusedError`` if there is no memory, and ``RemoteProtocolError`` if the body is
        too large.
        """
        self._terms = None
        read_until = trio.current_time() + BODY_TIMEOUT_S
        length = int(fields["content-length"]) if "content-length" in fields else SMALL_BODY_BYTES
        if "content-length" in fields and length > self._limits().max_body_bytes:
            raise _too_large()
        if length <= SMALL_BODY_BYTES:
            if length:
                self._hold = self._memory.hold_small(length)
            if "transfer-encoding" in fields:
                self._terms = partial(
                    self._body_terms, head.target.decode("latin-1"), fields, received_at=received_at
                )
            return read_until
        terms = self._body_terms(head.target.decode("latin-1"), fields, received_at=received_at)
        self._hold = await self._wait_for_memory(length, terms)
        return min(trio.current_time() + BODY_TIMEOUT_S, terms.ends_at)

    async def _wait_for_memory(self, size: int, terms: BodyTerms) -> Hold:
        """Take memory for a large body. Input that arrives until then is not read."""
        self._waits_for_memory = True
        try:
            return await self._memory.hold_upload(size, terms)
        finally:
            self._waits_for_memory = False
            self._notify_progress()

    async def _grow_hold(self, size: int) -> None:
        """Take more memory for a body without length, which is ``size`` bytes long so far.

        It waits once, while it is still small, so that no two such bodies wait for each other.
        Raises ``RefusedError`` if there is no memory.
        """
        hold, terms = self._hold, self._terms
        assert hold is not None and terms is not None
        if hold.size < size and hold.size > SMALL_BODY_BYTES:
            if not hold.try_grow(size + STEP_BYTES):
                self._memory.refuse_growth(size, terms())
        elif hold.size < size:
            self._hold = await self._wait_for_memory(size + STEP_BYTES, terms())
            hold.release()

    async def _read_body(self, read_until: float) -> Body:
        small, large = bytearray(), None
        with trio.move_on_at(read_until):
            while (data := await self._next_data()) is not None:
                size = len(data) + (len(small) if large is None else len(large))
                if size > self._limits().max_body_bytes:
                    raise _too_large()
                if self._hold is not None and size > self._hold.size:
                    await self._grow_hold(size)
                if large is None and size <= SMALL_BODY_BYTES:
                    small += data
                else:
                    if large is None:
                        large = LargeBody()
                        large.append(small)
                    large.append(data)
                # Otherwise it is kept until more of the body arrives.
                del data
            if self._hold is not None:
                self._hold.resize(len(small) if large is None else len(large))
            return bytes(small) if large is None else large
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
        if exchange.method == "HEAD" or response.status in BODILESS_STATUSES:
            body: Body = b""
        else:
            body = response.body
        with trio.move_on_after(SEND_TIMEOUT_S) as scope:
            if isinstance(body, LargeBody):
                await self._stream.send_all(data)
                await self._send_pieces(parser, body, response.hold)
            else:
                data += parser.send(h11.Data(data=body)) or b""
                data += parser.send(h11.EndOfMessage()) or b""
                await self._stream.send_all(data)
        if scope.cancelled_caught:
            raise trio.BrokenResourceError("the caller did not read the response in time")

    async def _send_pieces(
        self, parser: h11.Connection, body: LargeBody, hold: Hold | None
    ) -> None:
        """Send a body and the end of the message, and give back the memory of what is sent."""
        while (piece := body.pop()) is not None:
            for part in parser.send_with_data_passthrough(h11.Data(data=piece)) or []:
                await self._stream.send_all(part)
            if hold is not None:
                hold.resize(len(body))
        await self._stream.send_all(parser.send(h11.EndOfMessage()) or b"")


def _too_large() -> h11.RemoteProtocolError:
    return h11.RemoteProtocolError("the request body is too large", error_status_hint=413)


def _default_terms(_: str, __: Mapping[str, str], *, received_at: float) -> BodyTerms:
    return BodyTerms(request_id="", rank=0, ends_at=received_at + BODY_TIMEOUT_S)


def _head_size(head: h11.Request) -> int:
    fields = sum(len(name) + len(value) + 4 for name, value in head.headers)
    return len(head.method) + len(head.target) + fields

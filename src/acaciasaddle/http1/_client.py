"""One HTTP/1.1 client connection over a trio stream.

Errors state whether the request may have run, and responses to earlier requests can be recognised
and dropped. httpcore offers neither, so h11, its parser, is used directly.
"""

from __future__ import annotations

import select
import socket
import struct
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import h11
import trio

from acaciasaddle.errors import Outcome
from acaciasaddle.errors import UpstreamError
from acaciasaddle.errors import UpstreamUnreachableError
from acaciasaddle.http1._heads import response_problem
from acaciasaddle.memory import SMALL_BODY_BYTES
from acaciasaddle.memory import Body
from acaciasaddle.memory import Hold
from acaciasaddle.memory import LargeBody

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from acaciasaddle.memory import MemoryBound

RECEIVE_BYTES = 65_536
MAX_RESPONSE_HEADER_BYTES = 65_536
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Responses are held in memory until they are complete; hosts have about 200 MB."""
UNCOUNTED_BYTES = 16_384
"""Bytes received at a time, too, until a response has memory: all of them may wait at once."""
STEP_BYTES = 1_048_576
MAX_DROPPED_RESPONSES = 8
"""Interim responses and responses to earlier requests that are dropped while one is awaited."""
UNSPLIT_BYTES = 8_192
"""A body up to this size fits the socket buffers of both ends, so it is sent completely before the
response is read. A larger one is sent in a task of its own while the response is read."""
UPLOAD_END_S = 1.0
"""Time in which the rest of a request must be sent after a response without length has ended."""

MAX_KEEP_ALIVE_DIGITS = 9
"""Digits read of a ``Keep-Alive`` timeout."""

RawHeaders = list[tuple[bytes, bytes]]


def always() -> bool:
    """Return true: a response that is not behind another one is the next one."""
    return True


@dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """A complete response. Header names in ``fields`` are in lower case.

    ``hold`` is the memory of its body, which is given back with the response.
    """

    status: int
    reason: bytes
    headers: RawHeaders
    fields: dict[str, str]
    body: Body
    hold: Hold | None = None

    @property
    def content(self) -> bytes:
        """The body as one object, which copies a large one."""
        return bytes(self.body)


class _ReceiveBuffer:
    """The body of one response while it is received.

    Of a body up to ``UNCOUNTED_BYTES``, no memory is accounted for. Of a larger one, that of its
    whole length is, if the length is known, or else ``STEP_BYTES`` at a time.
    """

    def __init__(
        self, *, memory: MemoryBound | None, length: int, is_next: Callable[[], bool]
    ) -> None:
        self._memory = memory
        self._is_next = is_next
        self._length = length
        self._small = bytearray()
        self._large: LargeBody | None = None
        self.hold: Hold | None = None

    async def add(self, data: bytes | bytearray) -> bool:
        """Append data and return true, or return false if that would exceed the limit.

        Waits until memory is free for it.
        """
        size = len(self._small) + len(data) if self._large is None else len(self._large) + len(data)
        if max(size, self._length) > MAX_RESPONSE_BYTES:
            return False
        if self._memory is not None and size > UNCOUNTED_BYTES:
            held = self.hold.size if self.hold is not None else 0
            if size > held:
                wanted = max(size, self._length) if self._length else size + STEP_BYTES
                wanted = size if max(size, self._length) <= SMALL_BODY_BYTES else wanted
                self.hold = await self._memory.grow_response(
                    self.hold, wanted, is_next=self._is_next
                )
        if self._large is None and size <= SMALL_BODY_BYTES:
            self._small += data
            return True
        if self._large is None:
            self._large = LargeBody()
            self._large.append(self._small)
            self._small.clear()
        self._large.append(data)
        return True

    def take(self) -> Body:
        """Return the complete body."""
        body = bytes(self._small) if self._large is None else self._large
        if self.hold is not None:
            self.hold.resize(len(body))
        return body

    def discard(self) -> None:
        """Give the memory back."""
        self._small.clear()
        if self._large is not None:
            self._large.clear()
        if self.hold is not None:
            self.hold.release()


class ClientConnection:
    """A connection that carries one request at a time.

    Errors are raised as ``UpstreamError`` with the outcome as far as known. Large responses wait
    for memory of the bound, if there is one.
    """

    def __init__(
        self, *, stream: trio.SocketStream, peer: str, memory: MemoryBound | None = None
    ) -> None:
        self._memory = memory
        self._stream = stream
        self._peer = peer
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEADER_BYTES
        )
        self.reusable = False
        self.keep_alive_s: float | None = None
        self.idle_since = trio.current_time()
        self.requests = 0
        self._dropped = 0
        self._is_next = always

    @classmethod
    async def connect(
        cls, *, address: str, timeout_s: float, memory: MemoryBound | None = None
    ) -> ClientConnection:
        """Return a new connection to ``ip:port``.

        Raises ``UpstreamUnreachableError`` if it cannot be opened within ``timeout_s``.
        """
        host, _, port = address.rpartition(":")
        try:
            with trio.fail_after(timeout_s):
                stream = await trio.open_tcp_stream(host, int(port), happy_eyeballs_delay=timeout_s)
        except (OSError, trio.TooSlowError) as exc:
            raise UpstreamUnreachableError(
                f"cannot connect: {str(exc) or 'timed out'}",
                outcome=Outcome.NOT_RUN,
                step="http1.connect",
                peer=address,
            ) from exc
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(stream=stream, peer=address, memory=memory)

    def is_open_and_idle(self) -> bool:
        """Return whether the idle connection is open and has no unread input."""
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLIN | select.POLLHUP)
        return not poll.poll(0)

    def abort(self) -> None:
        """Reset the connection, which discards bytes that are still in transit."""
        linger = struct.pack("ii", 1, 0)
        try:
            self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        except OSError:
            # The socket is closed already; there is nothing left to discard.
            return
        self._stream.socket.close()

    async def exchange(
        self,
        *,
        method: str,
        target: str,
        headers: Sequence[tuple[bytes, bytes]],
        body: Body = b"",
        matches: Callable[[Response], bool] | None = None,
        is_next: Callable[[], bool] = always,
    ) -> Response:
        """Send a request and return its response.

        ``is_next`` returns whether the response is passed on next on the caller's connection.
        Responses for which ``matches`` returns false belong to earlier requests and are dropped.
        """
        self.reusable = False
        self.requests += 1
        self._dropped = 0
        self._is_next = is_next
        try:
            request = h11.Request(method=method, target=target, headers=list(headers))
            head = self._parser.send(request) or b""
            pieces = [body] if isinstance(body, bytes) else body
            data = [part for piece in pieces if piece for part in self._frame(piece)]
            self._parser.send(h11.EndOfMessage())
        except (h11.LocalProtocolError, UnicodeEncodeError) as exc:
            raise UpstreamError(
                f"cannot send the request: {exc}",
                outcome=Outcome.NOT_RUN,
                step="http1.send",
                peer=self._peer,
            ) from exc
        try:
            if len(body) <= UNSPLIT_BYTES:
                await self._stream.send_all(b"".join([head, *data]))
                response, _ = await self._receive(request, matches)
                return response
            return await self._send_and_receive(request, deque([head, *data]), matches)
        except h11.RemoteProtocolError as exc:
            raise self._unknown_outcome(f"malformed response: {exc}") from exc
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise self._unknown_outcome("connection reset") from exc

    def _frame(self, piece: bytes) -> list[bytes]:
        """Return a piece of a body as it is sent, without a copy of it."""
        return self._parser.send_with_data_passthrough(h11.Data(data=piece)) or []

    async def _send_and_receive(
        self,
        request: h11.Request,
        parts: deque[bytes],
        matches: Callable[[Response], bool] | None,
    ) -> Response:
        sent = False
        send_ended = trio.Event()

        async def send() -> None:
            nonlocal sent
            try:
                # What has been sent is dropped here, so that it takes no memory beside the body.
                while parts:
                    await self._stream.send_all(parts.popleft())
                sent = True
            except trio.BrokenResourceError:
                # The upstream stopped reading the body, but may still send a response.
                pass
            send_ended.set()

        response: Response | None = None
        failure: Exception | None = None
        ends_with_connection = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            try:
                response, framed = await self._receive(request, matches)
                ends_with_connection = not framed and request.method != b"HEAD"
            except (UpstreamError, h11.RemoteProtocolError, trio.BrokenResourceError) as exc:
                failure = exc
            if ends_with_connection:
                with trio.move_on_after(UPLOAD_END_S):
                    await send_ended.wait()
            nursery.cancel_scope.cancel()
        if failure is not None or response is None:
            try:
                raise failure or self._unknown_outcome("no response")
            finally:
                # The traceback refers to this frame. In a cycle it would keep the body.
                del failure
        if not sent:
            # The body was not sent completely, so the connection cannot carry another request.
            self.reusable = False
            if ends_with_connection:
                # A socket reports a reset once. If sending takes it, receiving sees a plain end.
                raise self._unknown_outcome(
                    "the connection ended during the request, after a response without length"
                )
        return response

    async def _receive(
        self, request: h11.Request, matches: Callable[[Response], bool] | None
    ) -> tuple[Response, bool]:
        """Return the next response that matches, and whether its framing marked its end."""
        while True:
            response, framed = await self._receive_one()
            if matches is None or matches(response):
                break
            # A new parser reads the next response, beginning with the bytes already received after
            # this one. The request that it is given is not sent; its method decides how a response
            # is framed.
            # Its memory must be free before the next one, which may wait for memory.
            del response
            self._note_dropped()
            rest, closed = self._parser.trailing_data
            if closed or not framed:
                raise self._unknown_outcome(
                    "the connection closed after a response to another request"
                )
            self._parser = h11.Connection(
                h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEADER_BYTES
            )
            self._parser.send(
                h11.Request(method=request.method, target="/", headers=[("Host", "x")])
            )
            self._parser.send(h11.EndOfMessage())
            if rest:
                self._parser.receive_data(rest)
        self._note_reusability(response, framed)
        return response, framed

    def _note_reusability(self, response: Response, framed: bool) -> None:
        self.idle_since = trio.current_time()
        self.keep_alive_s = _keep_alive_s(response.fields.get("keep-alive", ""))
        done = self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE
        if done and framed and not self._parser.trailing_data[0]:
            self._parser.start_next_cycle()
            self.reusable = True
            # An idle connection keeps nothing of the caller.
            self._is_next = always

    def _note_dropped(self) -> None:
        """Count a dropped response; raise ``UpstreamError`` if there are too many of them."""
        self._dropped += 1
        if self._dropped > MAX_DROPPED_RESPONSES:
            raise self._unknown_outcome("too many responses that answer no request")

    async def _receive_one(self) -> tuple[Response, bool]:
        """Return the next final response, and whether its framing marked its end."""
        head = await self._receive_head()
        length = next((int(value) for name, value in head.headers if name == b"content-length"), 0)
        buffer = _ReceiveBuffer(memory=self._memory, length=length, is_next=self._is_next)
        try:
            await self._receive_body(buffer)
        except BaseException:
            buffer.discard()
            raise
        fields = {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}
        framed = "content-length" in fields or "transfer-encoding" in fields
        framed = framed or head.status_code in (204, 304)
        response = Response(
            status=head.status_code,
            reason=bytes(head.reason),
            headers=list(head.headers.raw_items()),
            fields=fields,
            body=buffer.take(),
            hold=buffer.hold,
        )
        return response, framed

    async def _receive_event(self, *, holds_memory: bool = False) -> object:
        """Return the next event; raise ``UpstreamError`` if the connection ends instead."""
        size = RECEIVE_BYTES if holds_memory else UNCOUNTED_BYTES
        while (event := self._parser.next_event()) is h11.NEED_DATA:
            self._parser.receive_data(await self._stream.receive_some(size))
        if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            raise self._unknown_outcome("connection closed before the end of the response")
        return event

    async def _receive_head(self) -> h11.Response:
        """Return the head of a final response."""
        while True:
            event = await self._receive_event()
            if isinstance(event, h11.InformationalResponse):
                self._note_dropped()
            elif isinstance(event, h11.Response):
                problem = response_problem(
                    version=event.http_version, status=event.status_code, headers=event.headers
                )
                if problem:
                    raise self._unknown_outcome(f"malformed response: {problem}")
                return event

    async def _receive_body(self, buffer: _ReceiveBuffer) -> None:
        """Append the body of a response to the buffer."""
        while True:
            holds_memory = self._memory is None or buffer.hold is not None
            event = await self._receive_event(holds_memory=holds_memory)
            if isinstance(event, h11.EndOfMessage):
                return
            if isinstance(event, h11.Data) and not await buffer.add(event.data):
                raise self._unknown_outcome("the response exceeds the size limit")
            # Otherwise it is kept until more of the body arrives.
            del event

    def _unknown_outcome(self, reason: str) -> UpstreamError:
        return UpstreamError(reason, outcome=Outcome.UNKNOWN, step="http1.receive", peer=self._peer)


def _keep_alive_s(value: str) -> float | None:
    """Return the timeout in a ``Keep-Alive`` header in seconds, or ``None``."""
    for part in value.split(","):
        name, _, seconds = part.strip().partition("=")
        seconds = seconds.strip()
        if name.lower() == "timeout" and seconds.isascii() and seconds.isdigit():
            return float(seconds[:MAX_KEEP_ALIVE_DIGITS])
    return None

"""Steps of callers/connection.feature, on loopback."""

from __future__ import annotations

import select
import socket
import time
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

import h11
import trio
import trio.testing
from behave import given
from behave import then
from behave import when

from acaciasaddle.callers import HttpServer
from acaciasaddle.callers._connection import CallerConnection
from acaciasaddle.forward import CallerResponse
from acaciasaddle.memory import MemoryBound
from acaciasaddle.routing import CallerLimits

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from acaciasaddle.forward import CallerRequest

LIMITS = CallerLimits(
    max_header_bytes=4096, max_body_bytes=1000, header_timeout_s=0.2, idle_timeout_s=0.3
)
ADDRESS = "127.0.0.1:0"
BUSY_S = 0.03
"""Longer than a connection that is to close waits for input."""


UNUSUAL_RESPONSES = {
    "a header with a line feed": CallerResponse(status=200, headers=[(b"X-Note", b"a\nb")]),
    "a status of 1000": CallerResponse(status=1000, headers=[]),
    "status 204 with a body": CallerResponse(status=204, headers=[], body=b"text"),
}
MIN_STEPS_OF_CLOSE = 3
"""Steps that the tasks of a connection take at least between the decision and the close."""
PART_PAUSE_S = 0.05
"""Pause between two parts of a request, so that the first has been read."""
REST_S = 0.3
"""Longer than a host leaves a caller for its next request."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _RunningServer:
    server: HttpServer
    address: tuple[str, int]


class _SendAtStep(trio.abc.Instrument):
    """Sends a request on a socket at a given step of the scheduler, each of which takes 4 ms."""

    def __init__(self, *, caller: socket.socket, steps: int) -> None:
        self._caller = caller
        self._steps = steps
        self.sent = False

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        if self.sent or "CallerConnection" not in task.name:
            return
        self._steps -= 1
        time.sleep(0.004)
        if self._steps == 0:
            self._caller.sendall(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
            self.sent = True


class _SendAfterShutdown(trio.abc.Instrument):
    """Sends a request on each socket right after the step that shuts its other end down.

    The step then takes 10 ms more, so that the request has arrived before the next one.
    """

    def __init__(self, *, callers: list[socket.socket]) -> None:
        self.waiting = set(callers)

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        for caller in list(self.waiting):
            try:
                ended = not caller.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            except BlockingIOError:
                continue
            if ended:
                caller.sendall(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
                self.waiting.discard(caller)
                time.sleep(0.01)


def _free_address() -> tuple[str, int]:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()


@asynccontextmanager
async def _running_server(context: Any, limits: CallerLimits) -> AsyncIterator[_RunningServer]:
    """Run a server until the end of the block; it answers as the scenario says."""

    async def handle(req: CallerRequest) -> CallerResponse:
        return await CallerSteps._handle(context, req)

    address = _free_address()
    server = HttpServer(address=f"{address[0]}:{address[1]}", limits=lambda: limits, handle=handle)
    async with trio.open_nursery() as nursery:
        await nursery.start(server.serve)
        yield _RunningServer(server=server, address=address)
        nursery.cancel_scope.cancel()


async def _answer_or_reset(stream: trio.SocketStream) -> str:
    """Return "answered", "unread" if the connection was reset, or "lost" if it only ended.

    The kernel resets a connection that is closed while its input has not been read.
    """
    poll = select.poll()
    poll.register(stream.socket.fileno(), 0)
    try:
        data = await stream.receive_some(100)
        if data:
            return "answered" if data.startswith(b"HTTP/1.1 200") else repr(data)
        with trio.move_on_after(2.0):
            while not poll.poll(0):
                await trio.sleep(0.01)
            return "unread"
    except trio.BrokenResourceError:
        return "unread"
    return "lost"


class CallerSteps:
    """Guards against responses that are swapped, cut off or given to smuggled requests."""

    @staticmethod
    @given('a listener whose handler takes "{durations}" s')
    def listener(context: Any, durations: str) -> None:
        context.durations = [float(value) for value in durations.split(", ")]
        context.handled_requests = []
        context.cancelled_at = None

    @staticmethod
    @given("a listener whose handler returns {response}")
    def listener_with_response(context: Any, response: str) -> None:
        CallerSteps.listener(context, "0")
        context.response = UNUSUAL_RESPONSES[response]

    @staticmethod
    @given(
        "the idle limit changes from {before:g} to {after:g} s, {at:g} s after a caller has "
        "connected"
    )
    def changing_limit(context: Any, before: float, after: float, at: float) -> None:
        context.idle_limits = (before, after, at)

    @staticmethod
    @given(
        "the limit of a request head changes from {before:d} to {after:d} bytes, {at:g} s after a "
        "caller has connected"
    )
    def changing_head_limit(context: Any, before: int, after: int, at: float) -> None:
        context.head_limits = (before, after, at)

    @staticmethod
    def _limits(context: Any) -> CallerLimits:
        elapsed_s = time.monotonic() - getattr(context, "started", time.monotonic())
        limits = LIMITS
        if hasattr(context, "idle_limits"):
            before, after, at = context.idle_limits
            limits = replace(limits, idle_timeout_s=after if elapsed_s >= at else before)
        if hasattr(context, "head_limits"):
            before, after, at = context.head_limits
            limits = replace(limits, max_header_bytes=after if elapsed_s >= at else before)
        return limits

    @staticmethod
    @when("a caller sends a request head of {size:d} bytes in two parts after {seconds:g} s")
    def head_in_parts(context: Any, size: int, seconds: float) -> None:
        before, after = b"GET /1 HTTP/1.1\r\nHost: a\r\nX-Note: ", b"\r\nConnection: close\r\n\r\n"
        head = before + b"x" * (size - len(before) - len(after)) + after
        CallerSteps._exchange(context, head[:-10], pause_s=seconds, rest=head[-10:])

    @staticmethod
    @when("a caller sends its first request after {seconds:g} s")
    def late_request(context: Any, seconds: float) -> None:
        request = b"GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        CallerSteps._exchange(context, request, pause_s=seconds)

    @staticmethod
    async def _handle(context: Any, req: CallerRequest) -> CallerResponse:
        seconds = context.durations[min(len(context.handled_requests), len(context.durations) - 1)]
        context.handled_requests.append(req)
        try:
            await trio.sleep(seconds)
        except trio.Cancelled:
            context.cancelled_at = time.monotonic()
            raise
        if hasattr(context, "response"):
            return context.response
        body = req.target.encode()
        if req.body:
            body += b" " + req.body
        return CallerResponse(status=200, headers=[], body=body)

    @staticmethod
    def _exchange(
        context: Any,
        data: bytes,
        *,
        rest: bytes = b"",
        pause_s: float = 0.0,
        disconnect_s: float | None = None,
        stop_s: float | None = None,
    ) -> None:
        async def handle(req: CallerRequest) -> CallerResponse:
            return await CallerSteps._handle(context, req)

        async def main() -> None:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            listeners[0].socket.close()
            server = HttpServer(
                address=address, limits=lambda: CallerSteps._limits(context), handle=handle
            )
            async with trio.open_nursery() as nursery:
                await nursery.start(server.serve)
                host, _, port = address.rpartition(":")
                stream = await trio.open_tcp_stream(host, int(port))
                context.started = time.monotonic()
                await trio.sleep(pause_s)
                if data:
                    await stream.send_all(data)
                if rest:
                    await trio.sleep(PART_PAUSE_S)
                    await stream.send_all(rest)
                if stop_s is not None:
                    await trio.sleep(stop_s)
                    server.announce_close()
                    server.close_idle()
                if disconnect_s is not None:
                    await trio.sleep(disconnect_s)
                    context.disconnected_at = time.monotonic()
                    await stream.aclose()
                    await trio.sleep(0.3)
                else:
                    await CallerSteps._read(context, stream)
                    context.duration_s = time.monotonic() - context.started
                try:
                    await trio.open_tcp_stream(host, int(port))
                    context.accepts_connections = True
                except OSError:
                    context.accepts_connections = False
                nursery.cancel_scope.cancel()

        trio.run(main)

    @staticmethod
    @when("a request is sent on {connection}, and the listener stops before it could read it")
    def request_and_stop(context: Any, connection: str) -> None:
        async def handle(req: CallerRequest) -> CallerResponse:
            return await CallerSteps._handle(context, req)

        async def main() -> None:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                address = probe.getsockname()
            server = HttpServer(
                address=f"127.0.0.1:{address[1]}", limits=lambda: LIMITS, handle=handle
            )
            async with trio.open_nursery() as nursery:
                await nursery.start(server.serve)
                # Nothing of the server runs between these calls, except in the pause.
                caller = socket.create_connection(address)
                if connection == "a kept connection":
                    await trio.sleep(0.05)
                caller.sendall(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
                server.announce_close()
                server.close_idle()
                caller.setblocking(False)
                stream = trio.SocketStream(trio.socket.from_stdlib_socket(caller))
                await CallerSteps._read(context, stream)
                nursery.cancel_scope.cancel()

        trio.run(main)

    @staticmethod
    @when(
        "{count:d} requests each arrive while the process is busy and their idle connection is "
        "to close"
    )
    def requests_while_busy(context: Any, count: int) -> None:
        async def handle(req: CallerRequest) -> CallerResponse:
            return await CallerSteps._handle(context, req)

        async def main() -> None:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                address = probe.getsockname()
            server = HttpServer(
                address=f"127.0.0.1:{address[1]}", limits=lambda: LIMITS, handle=handle
            )
            async with trio.open_nursery() as nursery:
                await nursery.start(server.serve)
                for _ in range(count):
                    caller = socket.create_connection(address)
                    await trio.sleep(0.05)
                    for conn in list(server._connections):
                        conn.close_soon()
                    # The connection is now about to close unless input arrives.
                    await trio.testing.wait_all_tasks_blocked()
                    caller.sendall(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
                    time.sleep(BUSY_S)
                    caller.setblocking(False)
                    stream = trio.SocketStream(trio.socket.from_stdlib_socket(caller))
                    with trio.move_on_after(2.0):
                        context.answers.append(await stream.receive_some(100))
                    await stream.aclose()
                nursery.cancel_scope.cancel()

        context.answers = []
        trio.run(main)

    @staticmethod
    @when(
        "requests arrive after 1 to {most:d} steps of the scheduler while their connections close "
        "{reason}"
    )
    def requests_at_close(context: Any, most: int, reason: str) -> None:
        async def main() -> None:
            limits = replace(LIMITS, idle_timeout_s=REST_S if "idle" in reason else 60.0)
            async with _running_server(context, limits) as running:
                for steps in range(1, most + 1):
                    caller = socket.create_connection(running.address)
                    await trio.sleep(REST_S * 0.9)
                    sender = _SendAtStep(caller=caller, steps=steps)
                    trio.lowlevel.add_instrument(sender)
                    if "stops" in reason:
                        for conn in list(running.server._connections):
                            conn.close_soon()
                    with trio.move_on_after(0.5):
                        while not sender.sent:
                            await trio.sleep(0.001)
                    trio.lowlevel.remove_instrument(sender)
                    if not sender.sent:
                        # The connection has closed in fewer steps.
                        caller.close()
                        continue
                    caller.setblocking(False)
                    stream = trio.SocketStream(trio.socket.from_stdlib_socket(caller))
                    context.answers.append(await _answer_or_reset(stream))
                    await stream.aclose()

        context.answers = []
        trio.run(main)

    @staticmethod
    @when(
        "{count:d} requests arrive in the step of the scheduler that shuts their connection down "
        "{reason}"
    )
    def requests_after_shutdown(context: Any, count: int, reason: str) -> None:
        async def answer(caller: socket.socket) -> None:
            caller.setblocking(False)
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(caller))
            context.answers.append(await _answer_or_reset(stream))
            await stream.aclose()

        async def main() -> None:
            limits = replace(LIMITS, idle_timeout_s=REST_S if "idle" in reason else 60.0)
            async with _running_server(context, limits) as running:
                callers = [socket.create_connection(running.address) for _ in range(count)]
                sender = _SendAfterShutdown(callers=callers)
                trio.lowlevel.add_instrument(sender)
                await trio.sleep(REST_S * 0.9)
                if "stops" in reason:
                    for conn in list(running.server._connections):
                        conn.close_soon()
                with trio.move_on_after(2.0):
                    while sender.waiting:
                        await trio.sleep(0.01)
                trio.lowlevel.remove_instrument(sender)
                async with trio.open_nursery() as answers:
                    for caller in callers:
                        answers.start_soon(answer, caller)

        context.answers = []
        trio.run(main)

    @staticmethod
    @then("all of them are left unread")
    def all_unread(context: Any) -> None:
        assert context.answers == ["unread"] * 20, context.answers

    @staticmethod
    @then("each of them is answered or left unread")
    def answered_or_unread(context: Any) -> None:
        allowed = ("answered", "unread")
        assert all(result in allowed for result in context.answers), context.answers
        assert len(context.answers) >= MIN_STEPS_OF_CLOSE, context.answers

    @staticmethod
    @when(
        "a caller sends its next request {seconds:g} s after a response, and the listener has "
        "stopped meanwhile"
    )
    def request_after_stop(context: Any, seconds: float) -> None:
        async def main() -> None:
            async with _running_server(context, LIMITS) as running:
                stream = await trio.open_tcp_stream(*running.address)
                await stream.send_all(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
                await stream.receive_some(65_536)
                running.server.announce_close()
                running.server.close_idle()
                await trio.sleep(seconds)
                await stream.send_all(b"GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
                await CallerSteps._read(context, stream)

        trio.run(main)

    @staticmethod
    @when(
        "{count:d} callers send a request before the listener stops, and each takes the process "
        "{milliseconds:d} ms"
    )
    def waiting_callers(context: Any, count: int, milliseconds: int) -> None:
        async def handle(req: CallerRequest) -> CallerResponse:
            time.sleep(milliseconds / 1000)
            return await CallerSteps._handle(context, req)

        async def main() -> None:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                address = probe.getsockname()
            server = HttpServer(
                address=f"127.0.0.1:{address[1]}", limits=lambda: LIMITS, handle=handle
            )
            async with trio.open_nursery() as nursery:
                await nursery.start(server.serve)
                callers = [socket.create_connection(address) for _ in range(count)]
                for caller in callers:
                    caller.sendall(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
                server.announce_close()
                server.close_idle()
                for caller in callers:
                    caller.setblocking(False)
                    stream = trio.SocketStream(trio.socket.from_stdlib_socket(caller))
                    with trio.move_on_after(2.0):
                        try:
                            context.answers.append(await stream.receive_some(100))
                        except trio.BrokenResourceError:
                            context.answers.append(b"reset")
                    await stream.aclose()
                nursery.cancel_scope.cancel()

        context.answers = []
        trio.run(main)

    @staticmethod
    @when(
        "{count:d} callers end their request heads in time, and the process is busy beyond the "
        "limit"
    )
    def heads_while_busy(context: Any, count: int) -> None:
        async def main() -> None:
            async with _running_server(context, LIMITS) as running:
                callers = [socket.create_connection(running.address) for _ in range(count)]
                for caller in callers:
                    caller.sendall(b"GET /1 HTTP/1.1\r\nHost: a\r\n")
                await trio.sleep(PART_PAUSE_S)
                for caller in callers:
                    caller.sendall(b"\r\n")
                time.sleep(LIMITS.header_timeout_s)
                for caller in callers:
                    caller.setblocking(False)
                    stream = trio.SocketStream(trio.socket.from_stdlib_socket(caller))
                    with trio.move_on_after(2.0):
                        context.answers.append(await stream.receive_some(100))
                    await stream.aclose()

        context.answers = []
        trio.run(main)

    @staticmethod
    @then("all of them are answered")
    def all_answered(context: Any) -> None:
        assert all(raw.startswith(b"HTTP/1.1 200") for raw in context.answers), context.answers

    @staticmethod
    async def _read(context: Any, stream: trio.SocketStream) -> None:
        raw = b""
        with trio.move_on_after(2.0):
            while True:
                try:
                    part = await stream.receive_some(65_536)
                except trio.BrokenResourceError:
                    break
                if not part:
                    break
                raw += part
        context.ended = True
        context.responses = []
        context.last_response_closes = False
        while raw:
            parser = h11.Connection(h11.CLIENT)
            methods = getattr(context, "methods", [])
            method = methods.pop(0) if methods else "GET"
            parser.send(h11.Request(method=method, target="/", headers=[("Host", "a")]))
            parser.send(h11.EndOfMessage())
            parser.receive_data(raw)
            head = parser.next_event()
            while isinstance(head, h11.InformationalResponse):
                context.responses.append(str(head.status_code))
                head = parser.next_event()
            body = b""
            while isinstance(event := parser.next_event(), h11.Data):
                body += bytes(event.data)
            assert isinstance(event, h11.EndOfMessage), event
            context.responses.append(f"{head.status_code} {body.decode()}".strip())
            context.last_response_closes = (b"connection", b"close") in list(head.headers)
            raw = parser.trailing_data[0]

    @staticmethod
    def _requests(text: str) -> bytes:
        lines = (f"{item} HTTP/1.1\r\nHost: a\r\n\r\n" for item in text.split(", "))
        return "".join(lines).encode()

    @staticmethod
    @when(
        "a caller sends a request and then, without waiting, a body without end that waits to be "
        "asked for"
    )
    def send_endless_body(context: Any) -> None:
        async def main() -> None:
            async with _running_server(context, LIMITS) as running:
                stream = await trio.open_tcp_stream(*running.address)
                await stream.send_all(
                    b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\nPOST /2 HTTP/1.1\r\nHost: a\r\n"
                    b"Expect: 100-continue\r\nContent-Length: 1000000000\r\n\r\n"
                )
                with trio.move_on_after(0.3):
                    while True:
                        await stream.send_all(bytes(65_536))
                        context.sent_bytes += 65_536

        context.sent_bytes = 0
        trio.run(main)

    @staticmethod
    @then("the caller could send less than {megabytes:d} MB in 0.3 s")
    def sent_less_than(context: Any, megabytes: int) -> None:
        assert context.sent_bytes < megabytes * 1_000_000, context.sent_bytes

    @staticmethod
    @when('a caller sends "{requests}" at once')
    def send(context: Any, requests: str) -> None:
        context.methods = [item.split()[0] for item in requests.split(", ")]
        CallerSteps._exchange(context, CallerSteps._requests(requests))

    @staticmethod
    @when('a caller sends "{requests}" at once and disconnects after {seconds:g} s')
    def send_and_disconnect(context: Any, requests: str, seconds: float) -> None:
        CallerSteps._exchange(context, CallerSteps._requests(requests), disconnect_s=seconds)

    @staticmethod
    @when('a caller sends "{requests}" at once and the listener stops after {seconds:g} s')
    def send_and_stop(context: Any, requests: str, seconds: float) -> None:
        CallerSteps._exchange(context, CallerSteps._requests(requests), stop_s=seconds)

    @staticmethod
    @when('a caller sends a chunked body "{body}"')
    def send_chunked(context: Any, body: str) -> None:
        half = len(body) // 2
        chunks = "".join(f"{len(part):x}\r\n{part}\r\n" for part in (body[:half], body[half:]))
        head = "POST /upload HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        CallerSteps._exchange(context, f"{head}{chunks}0\r\n\r\n".encode())

    @staticmethod
    @when('a caller sends the raw request "{text}"')
    @when('a caller sends the raw request "{text}" and waits')
    def send_raw(context: Any, text: str) -> None:
        for count in (2000, 5000):
            text = text.replace(f"{{{count}}}", "x" * count)
        CallerSteps._exchange(context, text.replace("~", "\r\n").encode())

    @staticmethod
    @when("a caller sends nothing for {seconds:g} s")
    def send_nothing(context: Any, seconds: float) -> None:
        CallerSteps._exchange(context, b"")


class CallerOutcomeSteps:
    """Checks what the caller received and what the handler saw."""

    @staticmethod
    @then('the responses are "{expected}"')
    def responses(context: Any, expected: str) -> None:
        assert ", ".join(context.responses) == expected, context.responses

    @staticmethod
    @then("the first response has status {status:d}")
    def first_status(context: Any, status: int) -> None:
        assert context.responses, "no response"
        assert context.responses[0].startswith(str(status)), context.responses

    @staticmethod
    @then("all responses came in less than {seconds:g} s")
    def response_time(context: Any, seconds: float) -> None:
        # One after the other they would take 1.4 s. The idle timeout, which starts with the last
        # response, closes the connection.
        assert context.duration_s - LIMITS.idle_timeout_s < seconds, context.duration_s

    @staticmethod
    @then("the handler saw {count:d} requests")
    def handled(context: Any, count: int) -> None:
        assert len(context.handled_requests) == count, context.handled_requests

    @staticmethod
    @then("the connection has been closed")
    def connection_closed(context: Any) -> None:
        assert context.ended
        assert context.duration_s < 1.5, context.duration_s

    @staticmethod
    @then("the handler was cancelled within {seconds:g} s")
    def cancelled(context: Any, seconds: float) -> None:
        assert context.cancelled_at is not None
        assert context.cancelled_at - context.disconnected_at < seconds

    @staticmethod
    @then("the last response closes the connection")
    def last_response_closes(context: Any) -> None:
        assert context.last_response_closes

    @staticmethod
    @then("no new connection is accepted")
    def accepts_none(context: Any) -> None:
        assert not context.accepts_connections


class RefusedUploadSteps:
    """Guards against a connection that is closed while its caller still sends a refused body."""

    @staticmethod
    @when(
        "a caller sends an upload for which there is no memory for {seconds:d} s, and reads the "
        "answer then"
    )
    def upload(context: Any, seconds: int) -> None:
        async def main() -> bytes:
            caller, host = trio.testing.memory_stream_pair()
            stream: Any = host
            conn = CallerConnection(
                stream=stream,
                limits=CallerLimits,
                handle=lambda req: CallerSteps._handle(context, req),
                memory=MemoryBound(host_bytes=1_000_000),
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(conn.run)
                size = 100_000 * seconds
                await caller.send_all(
                    f"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n\r\n".encode()
                )
                for _ in range(seconds):
                    await trio.sleep(1)
                    await caller.send_all(bytes(100_000))
                answer = bytes(await caller.receive_some())
                await caller.aclose()
            return answer

        context.upload_answer = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    @staticmethod
    @then("the answer to the upload is 503 with a time to retry")
    def refused(context: Any) -> None:
        head = context.upload_answer
        assert head.startswith(b"HTTP/1.1 503 ") and b"retry-after:" in head.lower(), head
        assert not context.handled_requests, context.handled_requests

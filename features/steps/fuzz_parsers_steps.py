"""Steps of fuzz/parsers.feature: arbitrary input from hypothesis, the same at every run."""

from __future__ import annotations

import base64
import json
import socket
import struct
import zlib
from typing import TYPE_CHECKING
from typing import Any

import trio
import trio.testing
from behave import given
from behave import then
from behave import when
from hypothesis import HealthCheck
from hypothesis import given as arbitrary
from hypothesis import settings
from hypothesis import strategies as st
from structlog.testing import capture_logs

from acaciasaddle.callers import CallerConnection
from acaciasaddle.callers import HttpServer
from acaciasaddle.errors import ConfigError
from acaciasaddle.errors import PeerError
from acaciasaddle.errors import PlatformError
from acaciasaddle.errors import UpstreamError
from acaciasaddle.forward import CallerResponse
from acaciasaddle.http1 import ClientConnection
from acaciasaddle.keyspace import KeyMap
from acaciasaddle.links._messages import ANSWER_DECODER
from acaciasaddle.links._messages import FrameStream
from acaciasaddle.links._messages import State
from acaciasaddle.links._messages import decode_configuration
from acaciasaddle.platform import PlatformDialect
from acaciasaddle.platform._decode import ConfigurationDecoder
from acaciasaddle.platform._decode import decode_entry
from acaciasaddle.platform._store import _row
from acaciasaddle.platform._store import _StoredRow
from acaciasaddle.routing import CallerLimits

if TYPE_CHECKING:
    from collections.abc import Callable

    from acaciasaddle.forward import CallerRequest

REPEATABLE = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    suppress_health_check=list(HealthCheck),
)
LIMITS = CallerLimits(header_timeout_s=0.2, idle_timeout_s=0.2)
HTTP_TOKENS = [
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 100 Continue\r\n",
    b"GET / HTTP/1.1\r\nHost: a\r\n",
    b"POST / HTTP/1.0\r\n",
    b"Content-Length: 4\r\n",
    b"Content-Length: 999999999999999999999\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: gzip\r\n",
    b"Keep-Alive: timeout=\xb2\r\n",
    b"Keep-Alive: timeout=1e999\r\n",
    b"Expect: 100-continue\r\n",
    b"Upgrade: x\r\nConnection: upgrade\r\n",
    b"\r\n",
    b"ffffffffffffffff\r\n",
    b"4\r\ndone\r\n0\r\n\r\n",
    b"done",
]
HTTP_BYTES = st.lists(st.one_of(st.sampled_from(HTTP_TOKENS), st.binary(max_size=12))).map(b"".join)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda children: st.lists(children, max_size=6)
    | st.dictionaries(st.sampled_from(["fence", "owners", "spans", "version"]), children),
    max_leaves=12,
)


def _read_headers(fields: dict[str, str]) -> None:
    PlatformDialect().read_request(fields)


def _read_entry(data: bytes) -> None:
    try:
        decode_entry("u1", data)
    except ConfigError:
        return


def _read_configuration(data: bytes) -> None:
    try:
        trio.run(ConfigurationDecoder().decode, data)
    except ConfigError:
        return


def _read_row(data: bytes) -> None:
    value = base64.b64encode(data).decode()
    try:
        _row("t", _StoredRow(key="k", ver=1, value=value))
    except PlatformError:
        return


def _read_key_map(value: Any) -> None:
    try:
        KeyMap.from_json(value, version=1)
    except PlatformError:
        return


def _read_frame(data: bytes) -> None:
    async def main() -> None:
        near, far = trio.testing.memory_stream_pair()
        await far.send_all(data)
        await far.send_eof()
        try:
            answer = await FrameStream(stream=near, peer="p").receive(ANSWER_DECODER)
            if isinstance(answer, State):
                await decode_configuration(answer.configuration, peer="p")
        except PeerError:
            return

    trio.run(main)


def _read_response(data: bytes) -> None:
    async def main() -> None:
        near, far = trio.testing.memory_stream_pair()
        conn = ClientConnection(stream=near, peer="p")
        await far.send_all(data)
        await far.send_eof()
        try:
            await conn.exchange(method="GET", target="/", headers=[(b"Host", b"a")])
        except UpstreamError:
            return

    trio.run(main)


def _write_request(target: str) -> None:
    async def main() -> None:
        near, _ = trio.testing.memory_stream_pair()
        conn = ClientConnection(stream=near, peer="p")
        try:
            await conn.exchange(method="GET", target=target, headers=[(b"Host", b"a")])
        except UpstreamError:
            return

    trio.run(main)


def _read_requests(data: bytes) -> None:
    async def handle(req: CallerRequest) -> CallerResponse:
        return CallerResponse(status=200, headers=[], body=req.body)

    async def main() -> None:
        near, far = trio.testing.memory_stream_pair()
        await far.send_all(data)
        await far.send_eof()
        await CallerConnection(stream=near, limits=lambda: LIMITS, handle=handle).run()

    trio.run(main)


PARSERS: dict[str, tuple[Callable[[Any], None], st.SearchStrategy[Any]]] = {
    "the dialect": (
        _read_headers,
        st.fixed_dictionaries(
            {},
            optional={
                name: st.text(max_size=30) | st.integers().map(str)
                for name in ("request-id", "request-deadline", "shard-key")
            },
        ),
    ),
    "the entry decoder": (
        _read_entry,
        st.binary() | JSON_VALUES.map(lambda value: json.dumps(value).encode()),
    ),
    "the route decoder": (
        _read_configuration,
        st.binary() | JSON_VALUES.map(lambda value: json.dumps(value).encode()),
    ),
    "the row decoder": (
        _read_row,
        st.binary() | JSON_VALUES.map(lambda value: zlib.compress(json.dumps(value).encode())),
    ),
    "the key map": (_read_key_map, JSON_VALUES),
    "the link decoder": (
        _read_frame,
        st.binary().map(lambda data: struct.pack(">I", len(data)) + data) | st.binary(),
    ),
    "the response reader": (_read_response, HTTP_BYTES),
    "the request reader": (_read_requests, HTTP_BYTES),
    "the request writer": (_write_request, st.text()),
}
NESTED_LISTS = b"[" * 4000
DANGEROUS_INPUT: dict[str, Any] = {
    "a key of 5000 digits": {"shard-key": "9" * 5000},
    "a deadline of 5000 digits": {"request-deadline": "9" * 5000},
    "a keep-alive timeout of ²": (
        b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=\xb2\r\nContent-Length: 0\r\n\r\n"
    ),
    "a keep-alive timeout of 400 digits": (
        b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=" + b"9" * 400 + b"\r\nContent-Length: 0\r\n\r\n"
    ),
    "a span of an owner that is not there": {
        "fence": 1,
        "owners": [],
        "spans": [[0, 9, 3, 1, 0, -1]],
    },
    "a field that is nested 4000 deep": b'{"more":' + NESTED_LISTS,
    "a compressed list of 4000 levels": zlib.compress(NESTED_LISTS),
    "a path that is not ASCII": "/gesundheit/ü",
    "a row that is not an object": zlib.compress(b"[1]"),
    # MessagePack for a list of one element, 4000 times.
    "a message of 4000 levels": struct.pack(">I", 4000) + b"\x91" * 4000,
}


class ParserSteps:
    """Guards against exceptions that no caller of a parser handles."""

    @staticmethod
    @when("{parser} gets arbitrary input")
    def arbitrary_input(context: Any, parser: str) -> None:
        read, inputs = PARSERS[parser]
        context.error = None
        try:
            REPEATABLE(arbitrary(inputs)(read))()
        except Exception as exc:
            context.error = exc

    @staticmethod
    @when("{parser} gets a {name}")
    def dangerous_input(context: Any, parser: str, name: str) -> None:
        read, _ = PARSERS[parser]
        context.error = None
        try:
            read(DANGEROUS_INPUT[f"a {name}"])
        except Exception as exc:
            context.error = exc

    @staticmethod
    @then("only declared errors are raised")
    def declared_errors(context: Any) -> None:
        assert context.error is None, repr(context.error)


class ContainmentSteps:
    """Guards against one connection's error that ends the listener, and with it the process."""

    @staticmethod
    @given("a listener on loopback")
    def listener(context: Any) -> None:
        context.raises_first = False

    @staticmethod
    @given("a listener on loopback whose first request raises an unexpected error")
    def failing_listener(context: Any) -> None:
        context.raises_first = True

    @staticmethod
    @when("a caller asks for 100-continue and resets its connection")
    def reset(context: Any) -> None:
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n"
        ContainmentSteps._run(context, head * 40)

    @staticmethod
    @when("a caller sends a request")
    def request(context: Any) -> None:
        ContainmentSteps._run(context, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")

    @staticmethod
    def _run(context: Any, data: bytes) -> None:
        handled: list[CallerRequest] = []

        async def handle(req: CallerRequest) -> CallerResponse:
            handled.append(req)
            if context.raises_first and len(handled) == 1:
                raise ZeroDivisionError("unexpected")
            return CallerResponse(status=200, headers=[])

        async def main() -> None:
            sock = socket.socket()
            sock.bind(("127.0.0.1", 0))
            port = sock.getsockname()[1]
            sock.close()
            server = HttpServer(address=f"127.0.0.1:{port}", limits=lambda: LIMITS, handle=handle)
            async with trio.open_nursery() as nursery:
                await nursery.start(server.serve)
                caller = await trio.open_tcp_stream("127.0.0.1", port)
                await caller.send_all(data)
                linger = struct.pack("ii", 1, 0)
                if not context.raises_first:
                    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    caller.socket.close()
                await trio.sleep(0.3)
                second = await trio.open_tcp_stream("127.0.0.1", port)
                await second.send_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                with trio.fail_after(2.0):
                    context.answer = await second.receive_some(100)
                context.unexpected_errors = server.unexpected_errors
                nursery.cancel_scope.cancel()

        context.answer = b""
        with capture_logs() as context.log_lines:
            try:
                trio.run(main)
            except* Exception as group:
                context.group = group

    @staticmethod
    @then("the listener still serves requests")
    def still_serves(context: Any) -> None:
        assert context.answer.startswith(b"HTTP/1.1 200"), getattr(context, "group", None)

    @staticmethod
    @then("the error has been logged and counted")
    def logged(context: Any) -> None:
        assert context.unexpected_errors == 1, context.unexpected_errors
        lines = [line for line in context.log_lines if line["log_level"] == "error"]
        assert len(lines) == 1, context.log_lines
        assert "ZeroDivisionError" in lines[0]["reason"], lines

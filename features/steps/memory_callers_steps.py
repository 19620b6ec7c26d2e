"""Steps of memory/callers.feature, on loopback and streams in memory."""

from __future__ import annotations

import socket
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from typing import Any

import trio
import trio.testing
from behave import given
from behave import then
from behave import when

from acaciasaddle.callers import HttpServer
from acaciasaddle.callers._connection import CallerConnection
from acaciasaddle.forward import CallerResponse
from acaciasaddle.memory import BodyTerms
from acaciasaddle.memory import MemoryBound
from acaciasaddle.routing import CallerLimits

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Mapping

    from acaciasaddle.forward import CallerRequest

MB = 1_000_000
CHUNK_BYTES = 50_000
LIMITS = CallerLimits(
    max_header_bytes=4096, max_body_bytes=60 * MB, header_timeout_s=5.0, idle_timeout_s=5.0
)


class CallerMemorySteps:
    """Guards against memory that is held for bodies that nobody reads."""

    @staticmethod
    @given("a listener on a host with {size:d} MB")
    def listener(context: Any, size: int) -> None:
        context.upload_s = 30.0
        context.host_bytes = size * MB

    @staticmethod
    @given("a listener on a host with {size:d} MB, whose uploads have {seconds:g} s")
    def listener_with_deadline(context: Any, size: int, seconds: float) -> None:
        context.host_bytes = size * MB
        context.upload_s = seconds

    @staticmethod
    async def _handle(req: CallerRequest) -> CallerResponse:
        await trio.sleep(float(req.target[1:] or 0))
        return CallerResponse(status=200, headers=[], body=b"done")

    @staticmethod
    @asynccontextmanager
    async def _connected(context: Any) -> AsyncIterator[trio.SocketStream]:
        """Run a server and yield a connection to it."""
        upload_s = context.upload_s

        def terms(_: str, __: Mapping[str, str], *, received_at: float) -> BodyTerms:
            return BodyTerms(request_id="", rank=0, ends_at=received_at + upload_s)

        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            host, port = probe.getsockname()
        context.bound = MemoryBound(host_bytes=context.host_bytes)
        server = HttpServer(
            address=f"{host}:{port}",
            limits=lambda: LIMITS,
            handle=CallerMemorySteps._handle,
            memory=context.bound,
            body_terms=terms,
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(server.serve)
            async with await trio.open_tcp_stream(host, port) as stream:
                yield stream
            nursery.cancel_scope.cancel()

    @staticmethod
    @when("a caller sends {size:d} MB in chunks, and waits for {seconds:g} s after the response")
    def chunks(context: Any, size: int, seconds: float) -> None:
        async def send(stream: trio.SocketStream) -> None:
            await stream.send_all(
                b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            for _ in range(size * MB // CHUNK_BYTES):
                await stream.send_all(b"%x\r\n%b\r\n" % (CHUNK_BYTES, bytes(CHUNK_BYTES)))

        async def main() -> None:
            async with (
                CallerMemorySteps._connected(context) as stream,
                trio.open_nursery() as nursery,
            ):
                nursery.start_soon(send, stream)
                context.received = await stream.receive_some(1000)
                await trio.sleep(seconds)
                context.used = context.bound.used
                nursery.cancel_scope.cancel()

        trio.run(main)

    @staticmethod
    @when("a caller sends {part:d} MB of an upload of {size:d} MB behind a request that takes 2 s")
    def late(context: Any, part: int, size: int) -> None:
        async def main() -> None:
            async with CallerMemorySteps._connected(context) as stream:
                await stream.send_all(b"GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
                head = f"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {size * MB}\r\n\r\n"
                await stream.send_all(head.encode() + bytes(part * MB))
                await trio.sleep(1.0)
                context.used = context.bound.used

        trio.run(main)

    @staticmethod
    @then("the response is {status:d}")
    def response(context: Any, status: int) -> None:
        assert context.received.startswith(b"HTTP/1.1 %d " % status), context.received

    @staticmethod
    @then("no memory was held {_:g} s after the response")
    @then("no memory was held {_:g} s after the upload began")
    def none_held(context: Any, _: float) -> None:
        assert context.used == 0, context.used

    @staticmethod
    @when("a caller that reads nothing sends {size:d} MB after a request with Expect: 100-continue")
    def never_reads(context: Any, size: int) -> None:
        async def main() -> None:
            caller, stream = trio.testing.memory_stream_pair()
            stream.send_stream.send_all_hook = trio.sleep_forever
            conn = CallerConnection(
                stream=stream,  # type: ignore[arg-type]
                limits=lambda: LIMITS,
                handle=CallerMemorySteps._handle,
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(conn.run)
                await caller.send_all(
                    b"PUT / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
                    b"Content-Length: 1000\r\n\r\n"
                )
                for _ in range(size * MB // CHUNK_BYTES):
                    await caller.send_all(bytes(CHUNK_BYTES))
                    await trio.testing.wait_all_tasks_blocked()
                context.buffered = len(conn._parser.trailing_data[0])
                nursery.cancel_scope.cancel()

        trio.run(main)

    @staticmethod
    @then("the connection has received at most {size:g} MB")
    def received_at_most(context: Any, size: float) -> None:
        assert context.buffered <= size * MB, context.buffered

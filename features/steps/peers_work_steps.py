"""Steps of work.feature."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import Any

import trio
from behave import then
from behave import when
from peers_connections_steps import CALL
from peers_connections_steps import ConnectionSteps
from peers_connections_steps import timed
from peers_support import REQUEST
from peers_support import UPLOAD
from peers_support import Body
from peers_support import Caller
from peers_support import Raw

from acaciasaddle.errors import NotOwnerError
from acaciasaddle.errors import Outcome
from acaciasaddle.errors import PeerError
from acaciasaddle.errors import PeerUnreachableError
from acaciasaddle.errors import RefusedError
from acaciasaddle.wire import OpenWork
from acaciasaddle.wire import WorkCredit
from acaciasaddle.wire import WorkData
from acaciasaddle.wire import WorkEnd
from acaciasaddle.wire import WorkHead
from acaciasaddle.wire import WorkReset

if TYPE_CHECKING:
    from collections.abc import Callable

    from peers_support import Hosts

REFUSED = RefusedError(
    "queue full", outcome=Outcome.NOT_RUN, status=503, retry_after=0.25, step="dispatch.queue"
)
CHUNK = bytes(65_536)


class Handler:
    """Serves requests: answers ``quick`` keys at once and does as told with the others."""

    def __init__(self, action: Callable[[Any, Any], Any] | None = None) -> None:
        self.action = action
        self.calls = 0
        self.cancelled = 0
        self.cancelled_at = -1.0

    async def __call__(self, req: Any, body: Any, reply: Any) -> None:
        self.calls += 1
        try:
            if self.action is not None:
                await self.action(body, reply)
                return
            await reply.head(200, (("a", "b"),))
            while chunk := await body.receive():
                await reply.data(chunk)
            await reply.end()
        except trio.Cancelled:
            self.cancelled += 1
            self.cancelled_at = trio.current_time()
            raise


async def endless(body: Any, reply: Any) -> None:
    """Read the body and never answer."""
    while await body.receive():
        pass
    await trio.sleep_forever()


class WorkSteps:
    """Guards against lost, mixed or falsely complete answers and against handlers left behind."""

    @staticmethod
    def run(context: Any, script: Callable[[Hosts, Any], Any]) -> None:
        """Run a script that is given the hosts and a function that sends work to "b"."""
        context.caller = Caller()
        context.handler = Handler()

        async def prepared(hosts: Hosts) -> None:
            async def send(body: Any = None, caller: Any = None) -> None:
                req = REQUEST if body is None else UPLOAD
                target = caller or context.caller
                await hosts.hubs["a"].work("b@1", req, body or Body(), target)

            for hub in hosts.hubs.values():
                hub.on_work(context.handler)
            await script(hosts, send)

        ConnectionSteps.run(context, prepared)

    @staticmethod
    async def answered_at_once(context: Any, hosts: Hosts, send: Any) -> None:
        """Check that a request beside the others is answered without delay."""
        action, context.handler.action = context.handler.action, None
        caller = Caller()
        await timed(context, lambda: send(None, caller))
        context.handler.action = action
        context.other = caller.complete and context.took < 0.01

    @staticmethod
    @when("work with a body of 3 MiB in uneven chunks is echoed")
    def echo(context: Any) -> None:
        rng = random.Random(2)
        chunks = []
        while sum(map(len, chunks)) < 3 * 2**20:
            chunks.append(rng.randbytes(rng.choice((1, 700, 65_536, 200_000))))

        async def script(hosts: Hosts, send: Any) -> None:
            await send(Body(*chunks))

        context.body = b"".join(chunks)
        WorkSteps.run(context, script)

    @staticmethod
    @then("the work's answer is the body, complete, with its head")
    def echoed(context: Any) -> None:
        assert context.caller.complete
        assert (context.caller.status, context.caller.headers) == (200, (("a", "b"),))
        assert context.caller.body == context.body

    @staticmethod
    @when("work meets a handler that {fault}")
    def fault(context: Any, fault: str) -> None:
        async def action(body: Any, reply: Any) -> None:
            if "head" in fault or "data" in fault or "the end" in fault:
                await reply.head(200, ())
            if "data" in fault:
                await reply.data(b"some")
            if "70000" in fault:
                await reply.head(70_000, ())
            if "RefusedError" in fault:
                raise REFUSED
            if "NotOwnerError" in fault:
                raise NotOwnerError("moved", step="dispatch.grant")
            if "ValueError" in fault:
                raise ValueError("fault")

        async def script(hosts: Hosts, send: Any) -> None:
            context.handler.action = action
            await timed(context, send)
            context.fault_error = context.error
            await WorkSteps.answered_at_once(context, hosts, send)

        WorkSteps.run(context, script)

    @staticmethod
    @then("the work raises {error} and the answer is not complete")
    def raises(context: Any, error: str) -> None:
        exc = context.fault_error
        found = type(exc).__name__
        if isinstance(exc, RefusedError):
            found += f" {exc.outcome} {exc.status}"
            found += "" if exc.retry_after is None else f" after {exc.retry_after} s"
        elif isinstance(exc, PeerUnreachableError):
            found += " sent" if exc.sent else " not sent"
        assert found == error, (found, exc)
        assert not context.caller.complete

    @staticmethod
    @then("work after that is answered")
    @then("the other work was answered at once")
    @then("other work was answered at once")
    def other_answered(context: Any) -> None:
        assert context.other

    @staticmethod
    @when("work with a body that stalls runs beside other work")
    def stalls(context: Any) -> None:
        async def script(hosts: Hosts, send: Any) -> None:
            context.handler.action = endless
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, Body(CHUNK, CHUNK, stalls=True))
                await trio.sleep(5)
                await WorkSteps.answered_at_once(context, hosts, send)
                context.gave_up = trio.current_time()
                nursery.cancel_scope.cancel()
            await trio.sleep(0.01)

        WorkSteps.run(context, script)

    @staticmethod
    @then("the work's handler was cancelled when its caller gave up")
    def cancelled(context: Any) -> None:
        assert context.handler.cancelled == 1
        assert 0 <= context.handler.cancelled_at - context.gave_up < 0.01

    @staticmethod
    @when("work has a body that fails half-way")
    def body_fails(context: Any) -> None:
        context.raised = PeerError("the caller is gone", step="entry.body")

        async def script(hosts: Hosts, send: Any) -> None:
            context.handler.action = endless
            await timed(context, lambda: send(Body(CHUNK, error=context.raised)))
            context.gave_up = trio.current_time()
            await trio.sleep(0.01)

        WorkSteps.run(context, script)

    @staticmethod
    @then("the work raises the error of its body")
    @then("the work raises the caller's error")
    def own_error(context: Any) -> None:
        assert context.error is context.raised, context.error

    @staticmethod
    @when("work is answered with 4 MiB to a caller that takes 1 chunk per second")
    def slow_caller(context: Any) -> None:
        context.ahead = 0

        async def answer(body: Any, reply: Any) -> None:
            await reply.head(200, ())
            for number in range(64):
                await reply.data(CHUNK)
                sent = (number + 1) * len(CHUNK)
                context.ahead = max(context.ahead, sent - len(context.caller.body))
            await reply.end()

        async def script(hosts: Hosts, send: Any) -> None:
            context.handler.action = answer
            context.caller.pace = 1.0
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send)
                await trio.sleep(20)
                await WorkSteps.answered_at_once(context, hosts, send)

        WorkSteps.run(context, script)

    @staticmethod
    @then("the work's handler was never more than 400 KiB ahead of the caller")
    def window(context: Any) -> None:
        assert context.caller.complete and len(context.caller.body) == 64 * len(CHUNK)
        assert 65_536 < context.ahead <= 400 * 1024, context.ahead

    @staticmethod
    @when("work with a body that stalls is answered at once")
    def early(context: Any) -> None:
        async def answer(body: Any, reply: Any) -> None:
            await reply.head(413, ())
            await reply.end()

        async def script(hosts: Hosts, send: Any) -> None:
            context.handler.action = answer
            await timed(context, lambda: send(Body(CHUNK, stalls=True)))
            assert context.error is None and context.took < 0.01

        WorkSteps.run(context, script)

    @staticmethod
    @then("the work is complete")
    def is_complete(context: Any) -> None:
        assert context.caller.complete

    @staticmethod
    @when("work is cancelled while its request is still in the queue")
    def cancel_queued(context: Any) -> None:
        async def script(hosts: Hosts, send: Any) -> None:
            await hosts.hubs["a"].call("b@1", CALL, timeout=1)
            hosts.network.bytes_per_second = 100
            with trio.move_on_after(0.1):
                async with trio.open_nursery() as nursery:
                    call = hosts.hubs["a"].call
                    nursery.start_soon(lambda: call("b@1", CALL, timeout=9))
                    await trio.sleep(0.01)
                    nursery.start_soon(send)
            hosts.network.bytes_per_second = 0
            await trio.sleep(5)

        WorkSteps.run(context, script)

    @staticmethod
    @then("the work's handler was never called")
    def never_called(context: Any) -> None:
        assert context.handler.calls == 0

    @staticmethod
    @when("work has a caller that fails at the first data")
    def caller_fails(context: Any) -> None:
        context.raised = trio.BrokenResourceError("the caller is gone")

        class FailingCaller(Caller):
            async def data(self, chunk: bytes) -> None:
                raise context.raised

        async def answer(body: Any, reply: Any) -> None:
            await reply.head(200, ())
            await reply.data(b"some")
            await trio.sleep_forever()

        async def script(hosts: Hosts, send: Any) -> None:
            context.handler.action = answer
            await timed(context, lambda: send(None, FailingCaller()))
            context.gave_up = trio.current_time()
            await trio.sleep(0.01)

        WorkSteps.run(context, script)

    @staticmethod
    @when("work is cancelled and its answer arrives during the next request")
    def late_frames(context: Any) -> None:
        def answer(stream: int, text: bytes) -> list[Any]:
            head = WorkHead(stream=stream, status=200, headers=(("text", text.decode()),))
            return [head, WorkData(stream=stream, chunk=text), WorkEnd(stream=stream)]

        async def script(hosts: Hosts, send: Any) -> None:
            accept = await hosts.raw_listener("b")
            hosts.meet("b")

            async def serve() -> None:
                raw = await accept()
                first = await raw.receive(OpenWork)
                reset = await raw.receive(WorkReset)
                second = await raw.receive(OpenWork)
                assert reset.stream == first.stream != second.stream
                late, own = answer(first.stream, b"late"), answer(second.stream, b"own")
                for pair in zip(late, own, strict=True):
                    await raw.send(*pair)
                await raw.receive(WorkReset)

            hosts.nursery.start_soon(serve)
            with trio.move_on_after(0.1):
                await send(None, Caller())
            await send()

        WorkSteps.run(context, script)

    @staticmethod
    @then("the work's second answer holds only its own frames")
    def only_own(context: Any) -> None:
        caller = context.caller
        assert caller.complete
        assert (caller.headers, caller.body) == ((("text", "own"),), b"own"), caller.body

    @staticmethod
    @when("work from a scripted peer {fault}")
    def scripted(context: Any, fault: str) -> None:
        opening = OpenWork(stream=1, request=UPLOAD)
        data = WorkData(stream=1, chunk=CHUNK)
        frames = {
            "reuses a stream number": [opening],
            "sends data beyond the window": [data] * 5,
            "sends data after the end": [WorkEnd(stream=1), data],
            "gives credit beyond the window": [WorkCredit(stream=1, size=1)],
            "sends an answer": [WorkHead(stream=1, status=200, headers=())],
        }[fault]

        async def hang(body: Any, reply: Any) -> None:
            await trio.sleep_forever()

        async def script(hosts: Hosts, send: Any) -> None:
            context.handler.action = hang
            raw = Raw(stream=await hosts.network.connect_from("x:1")("a:1"))
            await raw.hello("x@1")
            await raw.send(opening)
            await trio.sleep(0.1)
            assert context.handler.calls == 1 and not context.handler.cancelled
            await raw.send(*frames)
            context.closed = await raw.receive(WorkEnd) is None

        WorkSteps.run(context, script)

    @staticmethod
    @then("the work's connection was closed and its handlers were cancelled")
    def disconnected(context: Any) -> None:
        assert context.closed
        assert context.handler.cancelled == context.handler.calls == 1

    @staticmethod
    @when('work is sent to "b" while it stops')
    def while_stopping(context: Any) -> None:
        async def slow(body: Any, reply: Any) -> None:
            await trio.sleep(1)
            await reply.head(200, ())
            await reply.end()

        async def script(hosts: Hosts, send: Any) -> None:
            context.handler.action = slow
            first = Caller()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, None, first)
                await trio.sleep(0.1)
                nursery.start_soon(hosts.hubs["b"].stop)
                await trio.sleep(0.1)
                await timed(context, send)
                context.fault_error = context.error
            assert first.complete and context.handler.calls == 1

        WorkSteps.run(context, script)

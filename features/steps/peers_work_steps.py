"""Steps of peers/work.feature."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import Any

import trio
from peers_support import CALL
from peers_support import REQUEST
from peers_support import UPLOAD
from peers_support import Body
from peers_support import Caller
from peers_support import PeersSteps
from peers_support import peers_when

from acaciasaddle import errors
from acaciasaddle import wire

if TYPE_CHECKING:
    from collections.abc import Callable


REFUSED = errors.RefusedError(
    "queue full",
    outcome=errors.Outcome.NOT_RUN,
    status=503,
    retry_after=0.25,
    step="dispatch.queue",
)
CHUNK = bytes(65_536)


class Handler:
    """Handler that echoes bodies, or runs an action with body and response."""

    def __init__(self, action: Callable[[Any, Any], Any] | None = None) -> None:
        self.action = action
        self.calls = 0
        self.cancelled = 0
        self.cancelled_at = -1.0

    async def __call__(self, req: Any, body: Any, response: Any) -> None:
        self.calls += 1
        try:
            if self.action is not None:
                await self.action(body, response)
                return
            await response.head(200, (("a", "b"),))
            while chunk := await body.receive():
                await response.data(chunk)
            await response.end()
        except trio.Cancelled:
            self.cancelled += 1
            self.cancelled_at = trio.current_time()
            raise


async def endless(body: Any, response: Any) -> None:
    """Read the body and never answer."""
    while await body.receive():
        pass
    await trio.sleep_forever()


class WorkSteps(PeersSteps):
    """Guards against lost, mixed-up and truncated responses and against handlers left running."""

    def serve(self, action: Any = None) -> None:
        """Make one handler serve the requests to all hubs."""
        self.handler = Handler(action)
        self.caller = Caller()
        for hub in self.hubs.values():
            hub.on_work(self.handler)

    async def send(self, body: Any = None, caller: Any = None, name: str = "request") -> None:
        """Send a request from "a" to "b"."""
        req = REQUEST if body is None else UPLOAD
        to = caller or self.caller
        await self.attempt(name, lambda: self.a.work("b@1", req, body or Body(), to))
        self.results["complete"] = to.complete

    async def send_other(self) -> None:
        """Send a request that the handler answers at once."""
        action, self.handler.action = self.handler.action, None
        await self.send(None, Caller(), "other request")
        self.handler.action = action

    async def note_cancellation(self, gave_up_at: float) -> None:
        """Store how long after the caller gave up the handler was cancelled."""
        await trio.sleep(0.01)
        assert self.handler.cancelled == 1
        after = self.handler.cancelled_at - gave_up_at
        self.results["cancellation after the caller gave up"] = after

    @peers_when("a forwarded request with a body of 3 MiB in uneven chunks is echoed")
    async def echo(self) -> None:
        rng = random.Random(2)
        chunks: list[bytes] = []
        while sum(map(len, chunks)) < 3 * 2**20:
            chunks.append(rng.randbytes(rng.choice((1, 700, 65_536, 200_000))))
        self.serve()
        await self.send(Body(*chunks))
        caller = self.caller
        same = caller.body == b"".join(chunks)
        self.results["response"] = (caller.status, caller.headers, caller.complete, same)

    @peers_when("a forwarded request meets a handler that {fault}")
    async def fault(self, fault: str) -> None:
        async def action(body: Any, response: Any) -> None:
            if "head" in fault or "data" in fault or "the end" in fault:
                await response.head(200, ())
            if "data" in fault:
                await response.data(b"some")
            if "70000" in fault:
                await response.head(70_000, ())
            if "RefusedError" in fault:
                raise REFUSED
            if "NotOwnerError" in fault:
                raise errors.NotOwnerError("moved", step="dispatch.grant")
            if "ValueError" in fault:
                raise ValueError("fault")

        self.serve(action)
        await self.send_other()
        await self.send()

    @peers_when("a forwarded request with a body that stalls runs beside another one")
    async def stall_beside_other(self) -> None:
        self.serve(endless)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.send, Body(CHUNK, CHUNK, stalls=True))
            await trio.sleep(5)
            await self.send_other()
            gave_up_at = trio.current_time()
            nursery.cancel_scope.cancel()
        await self.note_cancellation(gave_up_at)

    @peers_when("a forwarded request has a {part} that fails half-way")
    async def fail_half_way(self, part: str) -> None:
        async def answer(body: Any, response: Any) -> None:
            await response.head(200, ())
            while chunk := await body.receive():
                await response.data(chunk)
            await trio.sleep_forever()

        error = trio.BrokenResourceError("the caller is gone")
        self.serve(answer)
        if part == "body":
            await self.send(Body(CHUNK, error=error))
        else:
            await self.send(Body(CHUNK, stalls=True), Caller(error=error))
        self.results["error unchanged"] = self.error is error
        await self.note_cancellation(trio.current_time())

    @peers_when(
        "a forwarded request is answered with 4 MiB to a caller that takes 1 chunk per second"
    )
    async def slow_caller(self) -> None:
        async def answer(body: Any, response: Any) -> None:
            await response.head(200, ())
            for number in range(64):
                await response.data(CHUNK)
                ahead.append((number + 1) * 64 - len(self.caller.body) / 1024)
            await response.end()

        ahead: list[float] = []
        self.serve(answer)
        self.caller.pace = 1.0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.send)
            await trio.sleep(20)
            await self.send_other()
        self.results["KiB ahead of the caller"] = max(ahead)
        assert len(self.caller.body) == 64 * len(CHUNK)

    @peers_when("a forwarded request with a body that stalls is answered at once")
    async def answer_early(self) -> None:
        async def answer(body: Any, response: Any) -> None:
            await response.head(413, ())
            await response.end()

        self.serve(answer)
        await self.send(Body(CHUNK, stalls=True))

    @peers_when("a forwarded request is cancelled while it is still in the queue")
    async def cancel_queued(self) -> None:
        self.serve()
        await self.a.call("b@1", CALL, timeout=1)
        self.network.bytes_per_second = 100
        with trio.move_on_after(0.1):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(lambda: self.a.call("b@1", CALL, timeout=9))
                await trio.sleep(0.01)
                nursery.start_soon(self.send)
        self.network.bytes_per_second = 0
        await trio.sleep(5)
        self.results["calls of the handler"] = self.handler.calls

    @peers_when("a forwarded request is cancelled and its response arrives during the next one")
    async def late_frames(self) -> None:
        def answer(stream: int, text: bytes) -> list[Any]:
            head = wire.WorkHead(stream=stream, status=200, headers=(("text", text.decode()),))
            return [head, wire.WorkData(stream=stream, chunk=text), wire.WorkEnd(stream=stream)]

        async def serve() -> None:
            scripted = await accept()
            first = await scripted.receive(wire.OpenWork)
            reset = await scripted.receive(wire.WorkReset)
            second = await scripted.receive(wire.OpenWork)
            assert reset.stream == first.stream != second.stream
            late, own = answer(first.stream, b"late"), answer(second.stream, b"own")
            for pair in zip(late, own, strict=True):
                await scripted.send(*pair)
            await scripted.receive(wire.WorkReset)

        self.serve()
        accept = await self.listen_scripted("b")
        self.announce_members("b")
        self.nursery.start_soon(serve)
        with trio.move_on_after(0.1):
            await self.send(None, Caller())
        await self.send()
        self.results["response"] = (self.caller.headers, self.caller.body, self.caller.complete)

    @peers_when("a scripted peer forwards a request and {fault}")
    async def scripted(self, fault: str) -> None:
        async def hang(body: Any, response: Any) -> None:
            await trio.sleep_forever()

        opening = wire.OpenWork(stream=1, request=UPLOAD)
        data = wire.WorkData(stream=1, chunk=CHUNK)
        frames = {
            "reuses a stream number": [opening],
            "sends data beyond the window": [data] * 5,
            "sends data after the end": [wire.WorkEnd(stream=1), data],
            "gives credit beyond the window": [wire.WorkCredit(stream=1, size=1)],
            "sends a response": [wire.WorkHead(stream=1, status=200, headers=())],
        }[fault]
        self.serve(hang)
        handler = self.handler
        scripted = await self.connect_scripted("a:1")
        await scripted.send(opening)
        await trio.sleep(0.1)
        assert handler.calls == 1 and not handler.cancelled
        await scripted.send(*frames)
        start = trio.current_time()
        self.results["next message"] = await scripted.receive(wire.WorkEnd)
        # A connection that is only silent would be closed too, but later.
        self.results["time to the end"] = trio.current_time() - start
        self.results["handlers cancelled"] = f"{handler.cancelled} of {handler.calls}"

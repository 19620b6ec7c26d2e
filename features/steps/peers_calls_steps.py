"""Steps of peers/calls.feature."""

from __future__ import annotations

import dataclasses
from typing import Any

import trio
from peers_support import CALL
from peers_support import REQUEST
from peers_support import PeersSteps
from peers_support import peers_when
from peers_support import table_rows

from acaciasaddle import model
from acaciasaddle import wire
from acaciasaddle.errors import PlatformError
from acaciasaddle.peers._queue import Priority

HANDOVER = wire.Handover(upstream=REQUEST.upstream, term=3)
RECORD = model.OnceRecord(
    unit=REQUEST.unit,
    caller="c",
    idempotency_key="k",
    state=model.OnceState.COMPLETED,
    body=bytes(1024),
)


class CallSteps(PeersSteps):
    """Guards against replies that reach the wrong call and handler errors that stop the hub."""

    @peers_when("calls with the revisions 1 to 5 are answered in reverse order")
    async def reverse_order(self) -> None:
        async def reply_later(member: str, call: Any) -> wire.RowsPart:
            await trio.sleep(1 - call.revision / 100)
            return wire.RowsPart(rows=(), revision=call.revision)

        async def ask(revision: int) -> None:
            reply: Any = await self.a.call("b@1", wire.RowsSince(revision=revision), timeout=9)
            replies.append((revision, reply.revision))

        replies = self.results["calls and replies"] = []
        self.b.on_call(wire.RowsSince, reply_later)
        async with trio.open_nursery() as nursery:
            for revision in range(1, 6):
                nursery.start_soon(ask, revision)

    @peers_when("calls meet a handler that {fault}")
    async def fault(self, fault: str) -> None:
        async def handler(*_: Any) -> Any:
            if fault == "raises ValueError":
                raise ValueError("fault")
            if fault == "raises PlatformError":
                raise PlatformError("down", step="table.read")

        if fault != "does not exist":
            self.b.on_call(wire.Handover, handler)
        reply: Any = await self.a.call("b@1", HANDOVER, timeout=1)
        self.results["reply"] = f"{type(reply).__name__} {reply.step}"
        await self.attempt("next call", lambda: self.a.call("b@1", CALL, timeout=1))

    @peers_when("calls of a host to itself are made")
    async def call_self(self) -> None:
        async def handler(member: str, _: wire.Call) -> wire.Failed:
            return wire.Failed(reason=member, step="own")

        self.a.on_call(wire.Handover, handler)
        reply: Any = await self.a.call("a@1", HANDOVER, timeout=1)
        self.results["reply"] = f"{reply.reason} {reply.step}"

        async def failing(*_: Any) -> Any:
            raise PlatformError("down", step="table.read")

        self.a.on_call(wire.Handover, failing)
        reply = await self.a.call("a@1", HANDOVER, timeout=1)
        self.results["failed reply"] = f"{reply.reason} {reply.step}"

    @peers_when("a call to a scripted peer times out and its reply arrives during the next call")
    async def late_reply(self) -> None:
        async def serve() -> None:
            scripted = await accept()
            envelopes = [
                await scripted.receive(wire.CallEnvelope),
                await scripted.receive(wire.CallEnvelope),
            ]
            for revision, envelope in enumerate(envelopes, 1):
                reply = wire.RowsPart(rows=(), revision=revision)
                await scripted.send(wire.ReplyEnvelope(call_id=envelope.call_id, reply=reply))
            await scripted.receive(wire.CallEnvelope)

        accept = await self.listen_scripted("r")
        self.announce_members("r")
        self.nursery.start_soon(serve)
        await self.attempt("first call", lambda: self.a.call("r@1", CALL, timeout=0.5))
        second: Any = await self.a.call("r@1", CALL, timeout=0.5)
        self.results["second reply"] = second.revision

    @peers_when("two calls with 3000 records of 1 KB and 100 small ones are made at once")
    async def concurrent_calls(self) -> None:
        keep = wire.KeepRecords(
            upstream=REQUEST.upstream,
            term=1,
            records=tuple(dataclasses.replace(RECORD, age_ms=n) for n in range(3000)),
            complete=True,
            memory_since_ms=0,
        )
        made = [keep, *(wire.RowsSince(revision=n) for n in range(100)), keep]
        undelivered = list(made)

        async def take(member: str, call: Any) -> wire.Done:
            undelivered.remove(call)
            return wire.Done()

        async def ask(call: Any) -> None:
            assert await self.a.call("b@1", call, timeout=9) == wire.Done()

        self.b.on_call(wire.RowsSince, take)
        self.b.on_call(wire.KeepRecords, take)
        async with trio.open_nursery() as nursery:
            for call in made:
                nursery.start_soon(ask, call)
        self.results["calls lost or changed"] = len(undelivered)


class RowsSteps(PeersSteps):
    """Guards against rows out of order, and a mirror that counts as complete without all rows."""

    @peers_when('48 rows up to revision 48 and then 1 row are pushed by "a"')
    async def push(self) -> None:
        rows = table_rows(49, 10)
        pushed: list[list[Any]] = [[], []]
        for name, got in zip("bc", pushed, strict=True):
            self.hubs[name].on_rows(lambda *args, got=got: got.append(args))
            await self.a.call(f"{name}@1", CALL, timeout=1)
        self.a.push_rows(rows[:48], revision=48)
        self.a.push_rows(rows[48:])
        await trio.sleep(0.01)
        self.results["rows in order"] = [
            tuple(row for _, part, _ in got for row in part) == rows for got in pushed
        ]
        self.results["revisions"] = [[revision for _, _, revision in got] for got in pushed]

    @peers_when("5000 rows of 4 KB are pushed to a peer that reads slowly")
    async def flood(self) -> None:
        scripted = await self.connect_scripted("a:1")
        self.network.bytes_per_second = 10_000
        self.a.push_rows(table_rows(5000, 4096), revision=5000)
        await trio.sleep(0.5)
        (conn,) = self.a._connections
        self.results["queued bytes"] = conn.queue.size(Priority.ROWS)
        self.network.bytes_per_second = 0
        await trio.sleep(4)
        self.a.push_rows(table_rows(1, 10), revision=5001)
        received: list[Any] = []
        while not received or len(received[-1].rows) > 1:
            received.append(await scripted.receive(wire.Rows))
        self.results["revisions"] = {message.revision for message in received}

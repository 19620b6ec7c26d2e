"""Steps of calls.feature."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import Any

import trio
from behave import then
from behave import when
from peers_connections_steps import CALL
from peers_connections_steps import ConnectionSteps
from peers_connections_steps import failed
from peers_connections_steps import timed
from peers_support import REQUEST
from peers_support import Raw
from peers_support import table_rows

from acaciasaddle.errors import PlatformError
from acaciasaddle.model import OnceRecord
from acaciasaddle.model import OnceState
from acaciasaddle.peers._queue import Priority
from acaciasaddle.wire import CallEnvelope
from acaciasaddle.wire import Done
from acaciasaddle.wire import Failed
from acaciasaddle.wire import Handover
from acaciasaddle.wire import KeepRecords
from acaciasaddle.wire import ReplyEnvelope
from acaciasaddle.wire import Rows
from acaciasaddle.wire import RowsPart
from acaciasaddle.wire import RowsSince

if TYPE_CHECKING:
    from peers_support import Hosts

    from acaciasaddle.wire import Call
    from acaciasaddle.wire import Reply

HANDOVER = Handover(upstream=REQUEST.upstream, term=3)


class CallSteps:
    """Guards against replies that reach another call and handlers that end the hub."""

    @staticmethod
    @when("calls with the revisions 1 to 20 are answered in reverse order")
    def reverse(context: Any) -> None:
        async def script(hosts: Hosts) -> None:
            async def later(member: str, call: Any) -> Reply:
                await trio.sleep(1 - call.revision / 100)
                return RowsPart(rows=(), revision=call.revision)

            async def ask(revision: int) -> None:
                call = RowsSince(revision=revision)
                reply: Any = await hosts.hubs["a"].call("b@1", call, timeout=9)
                context.replies.append((revision, reply.revision))

            context.replies = []
            hosts.hubs["b"].on_call(RowsSince, later)
            async with trio.open_nursery() as nursery:
                for revision in range(1, 21):
                    nursery.start_soon(ask, revision)

        ConnectionSteps.run(context, script)

    @staticmethod
    @then("each of the calls has the reply to its own revision")
    def own_reply(context: Any) -> None:
        assert context.replies == [(n, n) for n in range(20, 0, -1)], context.replies

    @staticmethod
    @when("calls meet a handler that {fault}")
    def fault(context: Any, fault: str) -> None:
        async def handler(member: str, call: Call) -> Any:
            if fault == "raises ValueError":
                raise ValueError("fault")
            if fault == "raises PlatformError":
                raise PlatformError("down", step="table.read")

        async def script(hosts: Hosts) -> None:
            if fault != "does not exist":
                hosts.hubs["b"].on_call(Handover, handler)
            context.reply = await hosts.hubs["a"].call("b@1", HANDOVER, timeout=1)
            context.next = await hosts.hubs["a"].call("b@1", CALL, timeout=1)

        ConnectionSteps.run(context, script)

    @staticmethod
    @then('the calls are answered Failed with the step "{step}"')
    def answered_failed(context: Any, step: str) -> None:
        assert isinstance(context.reply, Failed), context.reply
        assert context.reply.step == step, context.reply

    @staticmethod
    @then("the calls after that succeed")
    def go_on(context: Any) -> None:
        assert context.next == Done()

    @staticmethod
    @when("calls to a scripted peer time out, and their replies come late")
    def late(context: Any) -> None:
        async def script(hosts: Hosts) -> None:
            accept = await hosts.raw_listener("r")
            hosts.meet("r")
            hub = hosts.hubs["a"]

            async def serve() -> None:
                raw = await accept()
                first = await raw.receive(CallEnvelope)
                second = await raw.receive(CallEnvelope)
                for envelope, revision in ((first, 1), (second, 2)):
                    reply = RowsPart(rows=(), revision=revision)
                    await raw.send(ReplyEnvelope(call_id=envelope.call_id, reply=reply))
                await raw.receive(CallEnvelope)

            hosts.nursery.start_soon(serve)
            await timed(context, lambda: hub.call("r@1", CALL, timeout=0.5))
            context.reply = await hub.call("r@1", CALL, timeout=0.5)

        ConnectionSteps.run(context, script)

    @staticmethod
    @then("the calls that timed out fail as sent, and the later one has its own reply")
    def late_ignored(context: Any) -> None:
        failed(context, sent=True)
        assert context.reply.revision == 2, context.reply

    @staticmethod
    @when("calls with 3000 records of 1 KB and 100 small ones are made at once")
    def large(context: Any) -> None:
        record = OnceRecord(
            unit=REQUEST.unit,
            caller="c",
            idempotency_key="k",
            state=OnceState.COMPLETED,
            body=bytes(1024),
        )
        records = tuple(dataclasses.replace(record, age_ms=n) for n in range(3000))
        keep = KeepRecords(
            upstream=REQUEST.upstream, term=1, records=records, complete=True, memory_since_ms=0
        )
        small = [RowsSince(revision=n) for n in range(100)]
        context.made = [keep, *small, keep]
        context.arrived = []

        async def script(hosts: Hosts) -> None:
            async def take(member: str, call: Call) -> Reply:
                context.arrived.append(call)
                return Done()

            async def ask(call: Call) -> None:
                assert await hosts.hubs["a"].call("b@1", call, timeout=9) == Done()

            hosts.hubs["b"].on_call(RowsSince, take)
            hosts.hubs["b"].on_call(KeepRecords, take)
            async with trio.open_nursery() as nursery:
                for call in context.made:
                    nursery.start_soon(ask, call)

        ConnectionSteps.run(context, script)

    @staticmethod
    @then("the calls all arrive unchanged")
    def unchanged(context: Any) -> None:
        assert len(context.arrived) == len(context.made)
        assert all(call in context.arrived for call in context.made)


class RowsSteps:
    """Guards against a mirror that counts as complete while rows are missing."""

    @staticmethod
    @when('50 rows up to revision 50 and then 1 row are pushed by "a"')
    def push(context: Any) -> None:
        rows = table_rows(51, 10)
        context.pushed = {}

        async def script(hosts: Hosts) -> None:
            for name in "bc":
                got = context.pushed[name] = []
                hosts.hubs[name].on_rows(
                    lambda member, rows, revision, got=got: got.append((member, rows, revision))
                )
                await hosts.hubs["a"].call(f"{name}@1", CALL, timeout=1)
            hosts.hubs["a"].push_rows(rows[:50], revision=50)
            hosts.hubs["a"].push_rows(rows[50:])
            await trio.sleep(0.01)

        ConnectionSteps.run(context, script)
        context.rows = rows

    @staticmethod
    @then('the rows pushed reach "b" and "c" in order with revision 50 after the 50th')
    def in_order(context: Any) -> None:
        for got in context.pushed.values():
            assert {member for member, _, _ in got} == {"a@1"}
            assert tuple(row for _, rows, _ in got for row in rows) == context.rows
            assert [bool(revision) for _, _, revision in got] == [False] * 6 + [True, False]
            assert got[-2][1][-1].revision == got[-2][2] == 50

    @staticmethod
    @when("5000 rows of 4 KB are pushed to a peer that does not read")
    def flood(context: Any) -> None:
        async def script(hosts: Hosts) -> None:
            raw = Raw(stream=await hosts.network.connect_from("x:1")("a:1"))
            await raw.hello("x@1")
            hub = hosts.hubs["a"]
            hosts.network.bytes_per_second = 10_000
            hub.push_rows(table_rows(5000, 4096), revision=5000)
            await trio.sleep(0.5)
            (conn,) = hub._connections
            context.queued = conn.queue.size(Priority.ROWS)
            hosts.network.bytes_per_second = 0
            await trio.sleep(4)
            hub.push_rows(table_rows(1, 10), revision=5001)
            context.received = []
            while not context.received or len(context.received[-1].rows) > 1:
                context.received.append(await raw.receive(Rows))

        ConnectionSteps.run(context, script)

    @staticmethod
    @then("the rows pushed beyond 8 MiB are dropped, and a later revision is not claimed")
    def dropped(context: Any) -> None:
        assert 8_000_000 < context.queued <= 8_388_608, context.queued
        assert 1 < len(context.received) < 300, len(context.received)
        assert {message.revision for message in context.received} == {0}

"""Steps of vouching.feature."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Any

import trio
from behave import then
from behave import when
from peers_connections_steps import CALL
from peers_connections_steps import ConnectionSteps
from peers_support import UPLOAD
from peers_support import Body
from peers_support import Caller
from peers_support import table_rows

from acaciasaddle.wire import Heartbeat
from acaciasaddle.wire import HeartbeatAck
from acaciasaddle.wire import RowsPart
from acaciasaddle.wire import RowsSince

if TYPE_CHECKING:
    from peers_support import Hosts

    from acaciasaddle.wire import Call
    from acaciasaddle.wire import Reply


async def watch(context: Any, hosts: Hosts, seconds: float) -> None:
    """Sample the readings of vouching each millisecond."""
    end = trio.current_time() + seconds
    while trio.current_time() < end:
        vouched = hosts.hubs["a"].vouched_at("b@1")
        context.oldest = max(context.oldest, trio.current_time() - vouched)
        context.lead = max(context.lead, vouched - hosts.hubs["b"].answered_at("a@1"))
        await trio.sleep(0.001)


class VouchingSteps:
    """Guards against two holders that both believe that they may order an upstream."""

    @staticmethod
    @when("vouching runs for 3 s over a network that takes 10 ms")
    def runs(context: Any) -> None:
        async def script(hosts: Hosts) -> None:
            hosts.network.bytes_per_second = 2700  # A heartbeat frame has 26 to 27 bytes.
            await trio.sleep(1)
            context.oldest, context.lead = 0.0, -math.inf
            await watch(context, hosts, 3)

        ConnectionSteps.run(context, script)

    @staticmethod
    @then('the vouched reading was never later than the reading at which "b" answered')
    def not_later(context: Any) -> None:
        assert -0.1 < context.lead <= 0, context.lead

    @staticmethod
    @then("vouching was never older than {limit:f} s")
    def never_older(context: Any, limit: float) -> None:
        assert 0.08 <= context.oldest <= limit, context.oldest

    @staticmethod
    @when('vouching is withheld by "b" for 1 s and then restored')
    def withheld(context: Any) -> None:
        async def script(hosts: Hosts) -> None:
            one, other = hosts.hubs["a"], hosts.hubs["b"]

            def readings() -> tuple[float, float]:
                return one.vouched_at("b@1"), other.answered_at("a@1")

            await trio.sleep(1)
            context.before = readings()
            other.withhold_vouch("a@1")
            await trio.sleep(1)
            context.meanwhile = readings()
            context.heard = trio.current_time() - one.heard_at("b@1")
            other.restore_vouch("a@1")
            await trio.sleep(0.2)
            context.after = readings()

        ConnectionSteps.run(context, script)

    @staticmethod
    @then("the readings of vouching stood still meanwhile and went on afterwards")
    def stood_still(context: Any) -> None:
        assert context.meanwhile == context.before, (context.before, context.meanwhile)
        assert min(context.after) - max(context.before) > 0.9
        assert context.heard <= 0.09, context.heard

    @staticmethod
    @when("vouching goes on during 40 uploads of 1 MiB and a mirror of 1100 rows at 10 MB/s")
    def bulk(context: Any) -> None:
        async def script(hosts: Hosts) -> None:
            async def echo(req: Any, body: Any, reply: Any) -> None:
                await reply.head(200, ())
                while chunk := await body.receive():
                    await reply.data(chunk)
                await reply.end()

            async def mirror(member: str, call: Call) -> Reply:
                return RowsPart(rows=table_rows(1100, 4096), revision=1100)

            async def fetch() -> None:
                reply: Any = await hosts.hubs["a"].call("b@1", CALL, timeout=60)
                assert reply.revision == 1100
                context.rows = len(reply.rows)

            hub = hosts.hubs["b"]
            hub.on_work(echo)
            hub.on_call(RowsSince, mirror)
            await trio.sleep(1)
            hosts.network.bytes_per_second = 10_000_000
            context.oldest, context.lead = 0.0, -math.inf
            context.callers = [Caller() for _ in range(40)]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fetch)
                for caller in context.callers:
                    body = Body(*[bytes(65_536)] * 16)
                    nursery.start_soon(hosts.hubs["a"].work, "b@1", UPLOAD, body, caller)
                nursery.start_soon(watch, context, hosts, 5)

        ConnectionSteps.run(context, script)

    @staticmethod
    @then("vouching was accompanied by 40 complete answers and 1100 rows")
    def accompanied(context: Any) -> None:
        assert context.rows == 1100
        assert all(caller.complete for caller in context.callers)
        assert {len(caller.body) for caller in context.callers} == {1_048_576}

    @staticmethod
    @when('vouching is answered by "r" with a reading of its own')
    def invented(context: Any) -> None:
        async def script(hosts: Hosts) -> None:
            accept = await hosts.raw_listener("r")
            hosts.meet("r")
            raw = await accept()
            beat = await raw.receive(Heartbeat, answer=False)
            later = beat.clock_us + 1_000_000
            await raw.send(HeartbeatAck(echo_us=later, vouch=True, config_version=0, revision=0))
            context.closed = await raw.receive(HeartbeatAck) is None
            context.vouched = hosts.hubs["a"].vouched_at("r@1")

        ConnectionSteps.run(context, script)

    @staticmethod
    @then('vouching has no reading of "r" and its connection was closed')
    def no_reading(context: Any) -> None:
        assert context.closed
        assert context.vouched == -math.inf, context.vouched

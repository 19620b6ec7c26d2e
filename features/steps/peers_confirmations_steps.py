"""Steps of peers/confirmations.feature."""

from __future__ import annotations

import math
from typing import Any

import trio
from peers_support import CALL
from peers_support import UPLOAD
from peers_support import Body
from peers_support import Caller
from peers_support import PeersSteps
from peers_support import peers_when
from peers_support import table_rows

from acaciasaddle import wire


class ConfirmationSteps(PeersSteps):
    """Guards against two holders that both believe they may send orders to an upstream."""

    @peers_when("confirmations run for 3 s over a network that takes up to 10 ms")
    async def run_confirmations(self) -> None:
        # A heartbeat or its answer with a frame of 20 to 27 bytes takes 10 ms at most. Here the
        # frames have 17 to 19 bytes, as the configuration version and the revision are 0.
        self.network.bytes_per_second = 2700
        await trio.sleep(1)
        await self.sample_readings(3)

    @peers_when('confirmations are withheld by "b" for 1 s and then restored')
    async def withheld(self) -> None:
        def readings() -> tuple[float, float]:
            return self.a.confirmed_at("b@1"), self.b.confirmation_sent_at("a@1")

        await trio.sleep(1)
        before = readings()
        self.b.withhold_confirmation("a@1")
        await trio.sleep(1)
        meanwhile = tuple(new - old for new, old in zip(readings(), before, strict=True))
        self.results["advance of the readings while withheld"] = meanwhile
        self.results["time since the last message from b"] = trio.current_time() - self.a.heard_at(
            "b@1"
        )
        self.b.restore_confirmation("a@1")
        await trio.sleep(0.2)
        self.results["advance of the readings after restoring"] = min(readings()) - max(before)

    @peers_when(
        "confirmations go on during 40 uploads of 1 MiB and a fetch of 1100 rows at 10 MB/s"
    )
    async def bulk_data(self) -> None:
        async def echo(req: Any, body: Any, response: Any) -> None:
            await response.head(200, ())
            while chunk := await body.receive():
                await response.data(chunk)
            await response.end()

        async def mirror(*_: Any) -> wire.RowsPart:
            return wire.RowsPart(rows=table_rows(1100, 4096), revision=1100)

        async def fetch() -> None:
            reply: Any = await self.a.call("b@1", CALL, timeout=60)
            assert reply.revision == 1100
            self.results["rows"] = len(reply.rows)

        self.b.on_work(echo)
        self.b.on_call(wire.RowsSince, mirror)
        await trio.sleep(1)
        self.network.bytes_per_second = 10_000_000
        callers = [Caller() for _ in range(40)]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fetch)
            for caller in callers:
                body = Body(*[bytes(65_536)] * 16)
                nursery.start_soon(self.a.work, "b@1", UPLOAD, body, caller)
            nursery.start_soon(self.sample_readings, 5)
        complete = [x for x in callers if x.complete and len(x.body) == 1_048_576]
        self.results["complete responses"] = len(complete)

    @peers_when('a heartbeat is answered by "r" with a clock reading that was not sent')
    async def echo_unsent_reading(self) -> None:
        accept = await self.listen_scripted("r")
        self.announce_members("r")
        scripted = await accept()
        heartbeat = await scripted.receive(wire.Heartbeat, answer=False)
        later = heartbeat.clock_us + 1_000_000
        await scripted.send(
            wire.HeartbeatAck(echo_us=later, confirmed=True, config_version=0, revision=0)
        )
        self.results["next message"] = await scripted.receive(wire.HeartbeatAck)
        self.results["reading"] = self.a.confirmed_at("r@1")

    async def sample_readings(self, seconds: float) -> None:
        """Sample the confirmed reading every millisecond, and store its extremes."""
        oldest, lead = 0.0, -math.inf
        for _ in range(round(seconds * 1000)):
            confirmed_at = self.a.confirmed_at("b@1")
            oldest = max(oldest, trio.current_time() - confirmed_at)
            lead = max(lead, confirmed_at - self.b.confirmation_sent_at("a@1"))
            await trio.sleep(0.001)
        self.results |= {
            "greatest age of the confirmed reading": oldest,
            "confirmed reading minus sending time": lead,
        }

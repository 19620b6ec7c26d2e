"""Steps of dispatch/moves.feature."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import Any

import trio
from behave import then
from behave import when
from dispatch_failures_steps import DispatchPlan
from dispatch_support import UNIT
from dispatch_support import UPSTREAM
from dispatch_support import Body

if TYPE_CHECKING:
    from dispatch_support import World


async def _fill(plan: DispatchPlan, world: World) -> None:
    """Have two requests run and three wait, for 50 ms."""
    plan.replies = [world.start(world.request("lookup")) for _ in range(5)]
    await trio.sleep(0.05)


class DispatchMoveSteps:
    """Guards against requests that run at a former owner or are lost in a move."""

    @staticmethod
    @when('a dispatch unit is held, {count:d} requests arrive and it is "{end}" after {ms:d} ms')
    def held(context: Any, count: int, end: str, ms: int) -> None:
        plan = DispatchPlan.of(context)

        async def act(world: World) -> None:
            dispatcher = world.dispatcher
            dispatcher.pause(UNIT)
            plan.replies = [world.start(world.request("lookup")) for _ in range(count)]
            await trio.sleep(ms / 1000)
            if end == "lost":
                world.authority.rejected_units.add(UNIT)
            if end == "rejected":
                dispatcher.reject(UNIT)
            elif end == "given up":
                dispatcher.upstream_released(UPSTREAM)
            elif end != "kept":
                dispatcher.resume(UNIT)
            for reply in plan.replies:
                await reply.done.wait()

        plan.add(act)

    @staticmethod
    @when("a dispatch unit is held while 2 requests run and 3 are queued")
    def held_later(context: Any) -> None:
        plan = DispatchPlan.of(context)

        async def act(world: World) -> None:
            await _fill(plan, world)
            world.dispatcher.pause(UNIT)
            begun = trio.current_time()
            await world.dispatcher.drained(UNIT)
            context.drained_ms = (trio.current_time() - begun) * 1000
            await trio.sleep(0.2)
            context.queued = world.dispatcher.load(UPSTREAM).queued

        plan.add(act)

    @staticmethod
    @then("the dispatch unit was drained after {ms:d} ms and {count:d} requests were still queued")
    def drained(context: Any, ms: int, count: int) -> None:
        world = DispatchPlan.of(context).played()
        assert abs(context.drained_ms - ms) < 5, context.drained_ms
        assert context.queued == count, context.queued
        assert len(world.upstream.seen) == 2, world.upstream.seen

    @staticmethod
    @when("a dispatch unit has an upload and a lookup in progress")
    def uploading(context: Any) -> None:
        async def act(world: World) -> None:
            body = Body(b"x", b"y", pause=1)
            world.start(world.request("upload", body_length=2, budget_ms=9000), body)
            await trio.sleep(0.5)
            world.start(world.request("lookup"))
            await trio.sleep(0.005)
            context.bulky = world.dispatcher.bulky_running(UNIT)

        DispatchPlan.of(context).add(act)

    @staticmethod
    @then("dispatch reports {count:d} bulky request running")
    def bulky(context: Any, count: int) -> None:
        DispatchPlan.of(context).played()
        assert context.bulky == count, context.bulky

    @staticmethod
    @when("the dispatch authority withdraws the unit while 2 requests run and 3 are queued")
    def withdrawn(context: Any) -> None:
        plan = DispatchPlan.of(context)

        async def act(world: World) -> None:
            await _fill(plan, world)
            world.authority.rejected_units.add(UNIT)

        plan.add(act)

    @staticmethod
    @when('the dispatch upstream is lost {ms:d} ms after a "{kind}" request arrived')
    def lost(context: Any, ms: int, kind: str) -> None:
        plan = DispatchPlan.of(context)

        async def act(world: World) -> None:
            plan.replies = [world.start(world.request(kind))]
            await trio.sleep(ms / 1000)
            world.dispatcher.upstream_lost(UPSTREAM)

        plan.add(act)

    @staticmethod
    @when("dispatch is stopped while 2 requests run and 3 are queued")
    def stopped(context: Any) -> None:
        plan = DispatchPlan.of(context)

        async def act(world: World) -> None:
            await _fill(plan, world)
            await world.dispatcher.stop()
            assert all(r.done.is_set() for r in plan.replies), "stopped before the end"

        plan.add(act)

    @staticmethod
    @then('the dispatch results are all "{result}" after {sends:d} sends')
    def all_results(context: Any, result: str, sends: int) -> None:
        plan = DispatchPlan.of(context)
        world = plan.played()
        assert {r.result for r in plan.replies} == {result}, [r.result for r in plan.replies]
        assert len(world.upstream.seen) == sends, world.upstream.seen

    @staticmethod
    @then('the dispatch results are {first:d} times "{result}" and {second:d} times "{other}"')
    def mixed(context: Any, first: int, result: str, second: int, other: str) -> None:
        plan = DispatchPlan.of(context)
        plan.played()
        counts = Counter(r.result for r in plan.replies)
        assert counts == {result: first, other: second}, counts

    @staticmethod
    @then("no dispatch request was sent in the first {ms:d} ms")
    def none_early(context: Any, ms: int) -> None:
        seen = DispatchPlan.of(context).played().upstream.seen
        assert all(s.at >= ms / 1000 for s in seen), seen

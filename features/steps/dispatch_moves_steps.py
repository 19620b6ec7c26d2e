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
    from dispatch_support import Harness


async def _fill_slots_and_queue(plan: DispatchPlan, harness: Harness) -> None:
    """Start five requests, of which two run and three wait, and let 50 ms pass."""
    plan.responses = [harness.start(harness.request("lookup")) for _ in range(5)]
    await trio.sleep(0.05)


class DispatchMoveSteps:
    """Guards against requests that run at a previous owner or are lost during a move."""

    @staticmethod
    @when('a dispatch unit is paused, {count:d} requests arrive and it is "{end}" after {ms:d} ms')
    def paused(context: Any, count: int, end: str, ms: int) -> None:
        plan = DispatchPlan.of(context)

        async def act(harness: Harness) -> None:
            dispatcher = harness.dispatcher
            dispatcher.pause(UNIT)
            plan.responses = [harness.start(harness.request("lookup")) for _ in range(count)]
            await trio.sleep(ms / 1000)
            if end == "lost":
                harness.authority.rejected_units.add(UNIT)
            if end == "rejected":
                dispatcher.reject(UNIT)
            elif end == "released":
                dispatcher.upstream_released(UPSTREAM)
            elif end != "kept paused":
                dispatcher.resume(UNIT)
            for response in plan.responses:
                await response.done.wait()

        plan.add(act)

    @staticmethod
    @when("a dispatch unit is paused while 2 requests run and 3 are queued")
    def paused_with_queue(context: Any) -> None:
        plan = DispatchPlan.of(context)

        async def act(harness: Harness) -> None:
            await _fill_slots_and_queue(plan, harness)
            harness.dispatcher.pause(UNIT)
            begun = trio.current_time()
            await harness.dispatcher.wait_drained(UNIT)
            context.drained_ms = (trio.current_time() - begun) * 1000
            await trio.sleep(0.2)
            context.queued = harness.dispatcher.load(UPSTREAM).queued

        plan.add(act)

    @staticmethod
    @then("the dispatch unit was drained after {ms:d} ms and {count:d} requests were still queued")
    def drained(context: Any, ms: int, count: int) -> None:
        harness = DispatchPlan.of(context).ensure_run()
        assert abs(context.drained_ms - ms) < 5, context.drained_ms
        assert context.queued == count, context.queued
        assert len(harness.upstream.received) == 2, harness.upstream.received

    @staticmethod
    @when("a dispatch unit has an upload and a lookup in progress")
    def upload_and_lookup(context: Any) -> None:
        async def act(harness: Harness) -> None:
            body = Body(b"x", b"y", pause=1)
            harness.start(harness.request("upload", body_length=2, budget_ms=9000), body)
            await trio.sleep(0.5)
            harness.start(harness.request("lookup"))
            await trio.sleep(0.005)
            context.bulky_running = harness.dispatcher.bulky_running(UNIT)

        DispatchPlan.of(context).add(act)

    @staticmethod
    @then("dispatch reports {count:d} bulky request running")
    def bulky_running(context: Any, count: int) -> None:
        DispatchPlan.of(context).ensure_run()
        assert context.bulky_running == count, context.bulky_running

    @staticmethod
    @when("the dispatch authority withdraws the unit while 2 requests run and 3 are queued")
    def withdrawn(context: Any) -> None:
        plan = DispatchPlan.of(context)

        async def act(harness: Harness) -> None:
            await _fill_slots_and_queue(plan, harness)
            harness.authority.rejected_units.add(UNIT)

        plan.add(act)

    @staticmethod
    @when('the dispatch upstream is lost {ms:d} ms after a "{kind}" request arrived')
    def lost(context: Any, ms: int, kind: str) -> None:
        plan = DispatchPlan.of(context)

        async def act(harness: Harness) -> None:
            plan.responses = [harness.start(harness.request(kind))]
            await trio.sleep(ms / 1000)
            harness.dispatcher.upstream_lost(UPSTREAM)

        plan.add(act)

    @staticmethod
    @when("dispatch is stopped while 2 requests run and 3 are queued")
    def stopped(context: Any) -> None:
        plan = DispatchPlan.of(context)

        async def act(harness: Harness) -> None:
            await _fill_slots_and_queue(plan, harness)
            await harness.dispatcher.stop()
            assert all(r.done.is_set() for r in plan.responses), "stopped before all had ended"

        plan.add(act)

    @staticmethod
    @then('the dispatch results are all "{result}" after {sends:d} sends')
    def all_results(context: Any, result: str, sends: int) -> None:
        plan = DispatchPlan.of(context)
        harness = plan.ensure_run()
        assert {r.result for r in plan.responses} == {result}, [r.result for r in plan.responses]
        assert len(harness.upstream.received) == sends, harness.upstream.received

    @staticmethod
    @then(
        'the dispatch results are {count:d} times "{result}" '
        'and {other_count:d} times "{other_result}"'
    )
    def counted_results(
        context: Any, count: int, result: str, other_count: int, other_result: str
    ) -> None:
        plan = DispatchPlan.of(context)
        plan.ensure_run()
        counts = Counter(r.result for r in plan.responses)
        assert counts == {result: count, other_result: other_count}, counts

    @staticmethod
    @then("no dispatch request was sent in the first {ms:d} ms")
    def none_sent_before(context: Any, ms: int) -> None:
        received = DispatchPlan.of(context).ensure_run().upstream.received
        assert all(req.at >= ms / 1000 for req in received), received

"""Steps of dispatch/once.feature."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import trio
from behave import given
from behave import then
from behave import when
from dispatch_failures_steps import DispatchPlan
from dispatch_support import UNIT
from dispatch_support import UPSTREAM
from dispatch_support import run

from acaciasaddle.model import UnitId

if TYPE_CHECKING:
    from dispatch_support import Harness

    from acaciasaddle.model import OnceRecord
    from acaciasaddle.model import WorkRequest

RECORD_BYTES = 900


class DispatchOnceSteps:
    """Guards against work that runs twice and against repeats that are refused needlessly."""

    @staticmethod
    @given("a dispatch authority whose at-most-once records go back {seconds:d} s")
    def memory_since(context: Any, seconds: int) -> None:
        async def act(harness: Harness) -> None:
            harness.authority.since = harness.clock.wall() - seconds

        DispatchPlan.of(context).add(act)

    @staticmethod
    @given("a dispatch successor that confirms after {ms:d} ms")
    def slow_successor(context: Any, ms: int) -> None:
        async def act(harness: Harness) -> None:
            harness.authority.copy_delay = ms / 1000

        DispatchPlan.of(context).add(act)

    @staticmethod
    @given("a dispatch successor that refuses copies")
    def refusing_successor(context: Any) -> None:
        async def act(harness: Harness) -> None:
            harness.authority.copy_fails = True

        DispatchPlan.of(context).add(act)

    @staticmethod
    @given("a dispatch memory limit for {count:d} at-most-once records")
    def memory_limit(context: Any, count: int) -> None:
        DispatchPlan.of(context).options["once_memory"] = count * RECORD_BYTES

    @staticmethod
    @when("a dispatch at-most-once request and its repeat are served")
    def serve_with_repeat(context: Any) -> None:
        plan = DispatchPlan.of(context)

        async def act(harness: Harness) -> None:
            req = harness.request("deposit")
            plan.responses.append(await harness.serve(req))
            plan.responses.append(await harness.serve(req))

        plan.add(act)

    @staticmethod
    @when("a dispatch at-most-once request is served and repeated at once with {budget:d} ms left")
    def repeat_during_run(context: Any, budget: int) -> None:
        plan = DispatchPlan.of(context)

        async def act(harness: Harness) -> None:
            key = harness.key()
            harness.start(harness.request("deposit", idempotency_key=key))
            await trio.sleep(0.01)
            again = harness.request("deposit", idempotency_key=key, budget_ms=budget)
            plan.responses.append(await harness.serve(again))

        plan.add(act)

    @staticmethod
    @when("a dispatch at-most-once request is abandoned after {ms:d} ms and repeated later")
    def abandoned(context: Any, ms: int) -> None:
        plan = DispatchPlan.of(context)

        async def act(harness: Harness) -> None:
            req = harness.request("deposit")
            first = harness.start(req)
            await trio.sleep(ms / 1000)
            first.scope.cancel()
            await trio.sleep(1)
            plan.responses.append(await harness.serve(req))

        plan.add(act)

    @staticmethod
    @when('a dispatch at-most-once request with the key "{key}" is served')
    def with_key(context: Any, key: str) -> None:
        plan = DispatchPlan.of(context)

        async def act(harness: Harness) -> None:
            await trio.sleep(1)
            text = "" if key == "none" else key
            if key.endswith(" s"):
                text = harness.key(age=float(key.removesuffix(" s")))
            plan.responses.append(
                await harness.serve(harness.request("deposit", idempotency_key=text))
            )

        plan.add(act)

    @staticmethod
    @when('two dispatch requests of kind "{kind}" wait while a "{served_kind}" is served')
    def wait_while_served(context: Any, kind: str, served_kind: str) -> None:
        plan = DispatchPlan.of(context)

        async def act(harness: Harness) -> None:
            for _ in range(2):
                harness.start(harness.request(kind))
            await trio.sleep(0.01)
            plan.responses.append(await harness.serve(harness.request(served_kind, budget_ms=200)))

        plan.add(act)

    @staticmethod
    @when("dispatch at-most-once records are exported during a run")
    def export_during_run(context: Any) -> None:
        async def act(harness: Harness) -> None:
            harness.start(harness.request("deposit"))
            await trio.sleep(0.005)
            context.exported = harness.dispatcher.export_records(UPSTREAM, [UNIT])

        DispatchPlan.of(context).add(act)

    @staticmethod
    @when(
        'a dispatch at-most-once request of "{unit}" is served and records of "{wanted}" exported'
    )
    def export_unit(context: Any, unit: str, wanted: str) -> None:
        async def act(harness: Harness) -> None:
            await harness.serve(harness.request("deposit", unit=UnitId.parse(unit), key="k1"))
            units = [UnitId.parse(wanted)]
            context.exported = harness.dispatcher.export_records(UPSTREAM, units)

        DispatchPlan.of(context).add(act)

    @staticmethod
    @when("dispatch at-most-once records are exported while a copy takes long")
    def export_during_copy(context: Any) -> None:
        async def act(harness: Harness) -> None:
            copied: list[float] = []
            harness.authority.on_copy = lambda: copied.append(trio.current_time())
            response = harness.start(harness.request("deposit"))
            await trio.sleep(0.055)
            assert harness.dispatcher.export_records(UPSTREAM, None) == ()
            await response.done.wait()
            sent = harness.upstream.received[0].at
            context.copies = sum(at <= sent for at in copied)

        DispatchPlan.of(context).add(act)

    @staticmethod
    @then("the dispatch successor got {count:d} copies before the send")
    def copies(context: Any, count: int) -> None:
        DispatchPlan.of(context).ensure_run()
        assert context.copies == count, context.copies

    @staticmethod
    @when("{count:d} dispatch at-most-once requests are served 1 s apart and all repeated")
    def serve_all_and_repeat(context: Any, count: int) -> None:
        plan = DispatchPlan.of(context)

        async def act(harness: Harness) -> None:
            reqs = []
            for _ in range(count):
                reqs.append(harness.request("deposit"))
                await harness.serve(reqs[-1])
                await trio.sleep(1)
            for req in reqs:
                plan.responses.append(await harness.serve(req))
            context.sends_before_new = len(harness.upstream.received)
            context.new_response = await harness.serve(harness.request("deposit"))

        plan.add(act)

    @staticmethod
    @then('the dispatch successor has the record "{copy}"')
    def copied_record(context: Any, copy: str) -> None:
        copies = list(DispatchPlan.of(context).ensure_run().authority.copies.values())
        assert len(copies) == 1, copies
        assert f"{copies[0].state.value} {copies[0].status}" == copy, copies

    @staticmethod
    @then("the dispatch result is marked as replayed with the first body")
    def replayed(context: Any) -> None:
        plan = DispatchPlan.of(context)
        plan.ensure_run()
        first, second = plan.responses
        assert ("Acaciasaddle-Replayed", "true") not in first.headers
        assert ("Acaciasaddle-Replayed", "true") in second.headers
        assert first.body == second.body == b"answer 1", second.body

    @staticmethod
    @then("the dispatch upstream was sent nothing before {ms:d} ms")
    def nothing_sent_before(context: Any, ms: int) -> None:
        received = DispatchPlan.of(context).ensure_run().upstream.received
        assert len(received) == 1, received
        assert received[0].at >= ms / 1000, received

    @staticmethod
    @then('the dispatch upstream was sent "{methods}", the first within {ms:d} ms')
    def methods_sent(context: Any, methods: str, ms: int) -> None:
        received = DispatchPlan.of(context).ensure_run().upstream.received
        assert ",".join(req.method for req in received) == methods, received
        assert received[0].at <= ms / 1000, received

    @staticmethod
    @then("a dispatcher that takes over from the copies runs the repeat")
    def runs_at_successor(context: Any) -> None:
        DispatchOnceSteps._take_over(context, "copies", "200 complete", runs=1)

    @staticmethod
    @then('a dispatcher that takes over from the {source} answers the repeat with "{result}"')
    def answers_at_successor(context: Any, source: str, result: str) -> None:
        DispatchOnceSteps._take_over(context, source, result, runs=0)

    @staticmethod
    def _take_over(context: Any, source: str, result: str, *, runs: int) -> None:
        first = DispatchPlan.of(context).ensure_run()
        sent: list[WorkRequest] = [r for r in first.requests if r.once]
        records: tuple[OnceRecord, ...] = tuple(first.authority.copies.values())
        if source == "exports":
            records = DispatchPlan.of(context).exported

        async def main(harness: Harness) -> None:
            harness.dispatcher.import_records(UPSTREAM, records)
            response = await harness.serve(sent[0])
            assert response.result == result, response.result
            assert len(harness.upstream.received) == runs, harness.upstream.received

        run(main)

    @staticmethod
    @then('the dispatch export contains "{state}"')
    def exported(context: Any, state: str) -> None:
        DispatchPlan.of(context).ensure_run()
        states = ", ".join(r.state.value for r in context.exported)
        assert (states or "none") == state, context.exported

    @staticmethod
    @then(
        'the dispatch repeats were answered with the response, "completed" or "unknown", '
        "and nothing ran twice"
    )
    def repeat_results(context: Any) -> None:
        plan = DispatchPlan.of(context)
        plan.ensure_run()
        results = [response.result for response in plan.responses]
        allowed = {"200 complete", "409 completed", "504 unknown"}
        assert set(results) == allowed, results
        assert context.sends_before_new == len(results), context.sends_before_new

    @staticmethod
    @then("the memory of dispatch at-most-once records stays within its limit")
    def within_limit(context: Any) -> None:
        plan = DispatchPlan.of(context)
        memory = plan.ensure_run().dispatcher._once.memory_bytes
        assert 0 < memory <= plan.options["once_memory"], memory

    @staticmethod
    @then("a dispatch at-most-once request with a new key still runs")
    def new_key_runs(context: Any) -> None:
        DispatchPlan.of(context).ensure_run()
        assert context.new_response.result == "200 complete", context.new_response.result

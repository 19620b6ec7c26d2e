"""Steps of dispatch/admission.feature."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

import trio
from behave import given
from behave import then
from behave import when
from dispatch_failures_steps import DispatchPlan
from dispatch_support import RULES
from dispatch_support import UNIT
from dispatch_support import UPSTREAM
from dispatch_support import Body

from acaciasaddle.errors import RefusedError

if TYPE_CHECKING:
    from dispatch_support import Harness
    from dispatch_support import RecordedResponse

RANKS = {"u": "urgent", "n": "normal", "b": "bulk"}
BUDGETS_MS = {"lookup": 400, "slow": 2000}
SERVICE_S = 0.02


def _request(harness: Harness, word: str, **changes: Any) -> Any:
    """Return a request written as in the features: rank letter and budget in units of 100 ms."""
    budget = int(word[1:]) * 100
    return harness.request(
        "lookup", rank=RANKS[word[0]], target=f"/{word}", budget_ms=budget, **changes
    )


class DispatchAdmissionSteps:
    """Guards against starved ranks, more requests than slots, late responses and useless waits."""

    @staticmethod
    @given('the dispatch policy "{policy}" and an upstream with {slots:d} slot')
    @given('the dispatch policy "{policy}" and an upstream with {slots:d} slots')
    def policy(context: Any, policy: str, slots: int) -> None:
        async def act(harness: Harness) -> None:
            harness.rules = replace(RULES, admission=policy)
            harness.authority.slots = slots

        DispatchPlan.of(context).add(act)

    @staticmethod
    @when('{count:d} dispatch requests "{kind}" arrive at once with {budget:d} ms each')
    @when(
        '{count:d} dispatch requests "{kind}" arrive at once with {budget:d} ms each '
        "after {before:d} in turn"
    )
    def arrive_together(context: Any, count: int, kind: str, budget: int, before: int = 0) -> None:
        plan = DispatchPlan.of(context)

        async def act(harness: Harness) -> None:
            for _ in range(before):
                await harness.serve(harness.request(kind, budget_ms=budget))
            plan.responses = [
                harness.start(harness.request(kind, budget_ms=budget)) for _ in range(count)
            ]
            if budget <= 10_000:
                with trio.move_on_after(budget / 1000 + 1):
                    for response in plan.responses:
                        await response.done.wait()
            else:
                await trio.sleep(0.01)

        plan.add(act)

    @staticmethod
    @when('a dispatch request "{kind}" with {budget:d} ms arrives')
    def arrive(context: Any, kind: str, budget: int) -> None:
        plan = DispatchPlan.of(context)

        async def act(harness: Harness) -> None:
            plan.responses.append(harness.start(harness.request(kind, budget_ms=budget)))
            await trio.sleep(0.01)
            context.queued = harness.dispatcher.load(UPSTREAM).queued
            context.last_error = plan.responses[-1].error

        plan.add(act)

    @staticmethod
    @when('the dispatch requests "{words}" arrive behind a running one')
    @when(
        'the dispatch requests "{words}" arrive behind a running one '
        'and the policy becomes "{policy}"'
    )
    def arrive_behind(context: Any, words: str, policy: str = "") -> None:
        async def act(harness: Harness) -> None:
            harness.start(harness.request("lookup"))
            await trio.sleep(0.005)
            for word in words.split():
                harness.start(_request(harness, word))
                await trio.sleep(0.0001)
            if policy:
                harness.rules = replace(RULES, admission=policy)
                harness.start(_request(harness, "b90"))

        DispatchPlan.of(context).add(act)

    @staticmethod
    @then('the dispatch upstream saw the order "{words}"')
    def order(context: Any, words: str) -> None:
        received = [
            req.target[1:] for req in DispatchPlan.of(context).ensure_run().upstream.received[1:]
        ]
        assert [word for word in received if word != "b90"] == words.split(), received

    @staticmethod
    @when(
        'dispatch is flooded with "{flood}" at {flood_load:g} times capacity '
        'and "{other}" at {other_load:g} times for {seconds:d} s'
    )
    def flood(
        context: Any, flood: str, flood_load: float, other: str, other_load: float, seconds: int
    ) -> None:
        context.flood_responses = {flood: [], other: []}
        context.flood_seconds = seconds

        async def arrive(harness: Harness, kind: str, load: float, until: float) -> None:
            rank = "bulk" if kind == "slow" else "urgent"
            pause = SERVICE_S / 2 / load
            while trio.current_time() < until:
                budget = BUDGETS_MS[kind]
                req = replace(harness.request("lookup", rank=rank, budget_ms=budget), kind=kind)
                context.flood_responses[kind].append(harness.start(req))
                await trio.sleep(pause)

        async def act(harness: Harness) -> None:
            harness.upstream.service_time = SERVICE_S
            until = trio.current_time() + seconds
            async with trio.open_nursery() as nursery:
                nursery.start_soon(arrive, harness, flood, flood_load, until)
                nursery.start_soon(arrive, harness, other, other_load, until)
            await trio.sleep(3)

        DispatchPlan.of(context).add(act)

    @staticmethod
    @then('dispatch answered at least {percent:d} % of "{kind}" within its budget')
    def answered_in_time(context: Any, percent: int, kind: str) -> None:
        DispatchPlan.of(context).ensure_run()
        responses: list[RecordedResponse] = context.flood_responses[kind]
        in_time = sum(r.ended and r.seconds <= BUDGETS_MS[kind] / 1000 for r in responses)
        assert in_time >= len(responses) * percent / 100, (in_time, len(responses))

    @staticmethod
    @then("dispatch answered at least {percent:d} % of the requests that its slots can serve")
    def answered_of_capacity(context: Any, percent: int) -> None:
        DispatchPlan.of(context).ensure_run()
        done = sum(r.ended for responses in context.flood_responses.values() for r in responses)
        possible = context.flood_seconds * 2 / SERVICE_S
        assert done >= possible * percent / 100, (done, possible)

    @staticmethod
    @then(
        "at most one percent of the dispatch requests of each kind "
        "were answered later than their budget"
    )
    def answered_late(context: Any) -> None:
        DispatchPlan.of(context).ensure_run()
        for kind, responses in context.flood_responses.items():
            late = [r.seconds for r in responses if r.ended and r.seconds > BUDGETS_MS[kind] / 1000]
            assert len(late) <= len(responses) / 100, (kind, late)

    @staticmethod
    @then(
        "dispatch answered {answered:d} of them within {answered_ms:d} ms "
        'and refused {refused:d} within {refused_ms:d} ms as "{result}"'
    )
    def answered_and_refused(
        context: Any, answered: int, answered_ms: int, refused: int, refused_ms: int, result: str
    ) -> None:
        plan = DispatchPlan.of(context)
        plan.ensure_run()
        times = [r.seconds for r in plan.responses if r.ended]
        refusals = [r for r in plan.responses if not r.ended]
        assert (len(times), len(refusals)) == (answered, refused), (len(times), len(refusals))
        assert max(times) <= answered_ms / 1000 + 0.002, times
        assert {r.result for r in refusals} == {result}, [r.error for r in refusals]
        assert max(r.seconds for r in refusals) <= refused_ms / 1000, [r.seconds for r in refusals]

    @staticmethod
    @then("the last dispatch refusal asks to retry after {seconds:g} s")
    def retry_after(context: Any, seconds: float) -> None:
        plan = DispatchPlan.of(context)
        plan.ensure_run()
        errors = [r.error for r in plan.responses if isinstance(r.error, RefusedError)]
        assert errors, "nothing was refused"
        assert errors[-1].retry_after == seconds, errors[-1].retry_after

    @staticmethod
    @then("the dispatch upstream never ran more than {count:d} at once")
    def max_running(context: Any, count: int) -> None:
        harness = DispatchPlan.of(context).ensure_run()
        assert len(harness.upstream.received) == 20, len(harness.upstream.received)
        assert harness.upstream.max_running == count, harness.upstream.max_running

    @staticmethod
    @then('dispatch has {count:d} requests queued, one of them a "{kind}"')
    def queued(context: Any, count: int, kind: str) -> None:
        DispatchPlan.of(context).ensure_run()
        assert context.queued == count, context.queued
        assert context.last_error is None, context.last_error

    @staticmethod
    @when("{uploads:d} dispatch uploads of {seconds:d} s each arrive before {count:d} lookups")
    def uploads(context: Any, uploads: int, seconds: int, count: int) -> None:
        plan = DispatchPlan.of(context)

        async def act(harness: Harness) -> None:
            context.uploads = [
                harness.start(
                    harness.request("upload", body_length=-1, budget_ms=100_000),
                    Body(*[b"x" * 100] * 10, pause=seconds / 10),
                )
                for _ in range(uploads)
            ]
            await trio.sleep(0.5)
            for _ in range(count):
                plan.responses.append(harness.start(harness.request("lookup")))
            for response in (*context.uploads, *plan.responses):
                await response.done.wait()

        plan.add(act)

    @staticmethod
    @then("dispatch answered all lookups within {ms:d} ms")
    def lookups_answered(context: Any, ms: int) -> None:
        plan = DispatchPlan.of(context)
        plan.ensure_run()
        assert all(r.ended and r.seconds <= ms / 1000 for r in plan.responses), plan.responses

    @staticmethod
    @then("all dispatch uploads are complete")
    def uploads_complete(context: Any) -> None:
        DispatchPlan.of(context).ensure_run()
        assert all(r.ended for r in context.uploads), [r.result for r in context.uploads]

    @staticmethod
    @when("dispatch keeps 1 of 2 slots busy for {seconds:d} s")
    def keep_slot_busy(context: Any, seconds: int) -> None:
        async def act(harness: Harness) -> None:
            until = trio.current_time() + seconds
            while trio.current_time() < until:
                await harness.serve(harness.request("lookup"))
            context.load = harness.dispatcher.load(UPSTREAM)

        DispatchPlan.of(context).add(act)

    @staticmethod
    @then("the dispatch load is {busy:g} with {used:g} of the slots used by the unit")
    def load(context: Any, busy: float, used: float) -> None:
        DispatchPlan.of(context).ensure_run()
        assert abs(context.load.busy - busy) < 0.02, context.load
        assert abs(context.load.unit_busy[UNIT] - used * 2) < 0.1, context.load

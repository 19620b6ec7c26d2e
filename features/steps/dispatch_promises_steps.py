"""Steps of dispatch/promises.feature."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

import trio
from behave import then
from behave import when
from dispatch_failures_steps import DispatchPlan
from dispatch_support import RULES
from dispatch_support import UNIT
from dispatch_support import UPSTREAM
from dispatch_support import Body
from dispatch_support import FakeAuthority

from acaciasaddle.dispatch import LocalDispatcher
from acaciasaddle.errors import AuthorityLostError
from acaciasaddle.observe import NullMetrics

if TYPE_CHECKING:
    from dispatch_support import Harness

    from acaciasaddle.model import OnceRecord
    from acaciasaddle.model import UpstreamId

FAULTS = (
    *("silent", "reset", "head then reset", "cut", "refuse term", "shed", "late", "large"),
    *("answer",) * 6,
)
KEYS = 60


class LossyAuthority(FakeAuthority):
    """Copies records to a successor, sometimes slowly, and loses some calls and replies."""

    def __init__(self, *, successor: LocalDispatcher, rng: random.Random) -> None:
        super().__init__()
        self._successor = successor
        self._rng = rng

    async def replicate(self, upstream: UpstreamId, records: tuple[OnceRecord, ...]) -> None:
        await trio.sleep(self._rng.choice((0.001, 0.002, 0.08)))
        draw = self._rng.random()
        if draw < 0.05 or UNIT in self.rejected_units:
            raise AuthorityLostError("the call was lost", step="test")
        self._successor.import_records(upstream, records)
        if draw < 0.1:
            raise AuthorityLostError("the reply was lost", step="test")


class RandomFaults:
    """Sends random requests and repeats.

    Some callers leave, the upstream fails at random, and a successor takes over.
    """

    def __init__(self, *, harness: Harness, rng: random.Random) -> None:
        self._harness = harness
        self._rng = rng
        self.outcomes: list[tuple[str, str]] = []

    async def run(self, requests: int) -> None:
        """Send the requests and have the successor take over at a random one."""
        harness, rng = self._harness, self._rng
        harness.upstream.service_time = 0.01
        harness.upstream.chunk_delay = 0.005
        harness.upstream.script = [rng.choice(FAULTS) for _ in range(10 * requests)]
        successor = self._make_dispatcher(FakeAuthority())
        authority = LossyAuthority(successor=successor, rng=rng)
        authority.slots = 6
        harness.dispatcher = first = self._make_dispatcher(authority)
        for dispatcher in (successor, first):
            await harness.nursery.start(dispatcher.run)
        keys = [harness.key() for _ in range(KEYS)]
        takeover = rng.randrange(requests)
        for number in range(requests):
            harness.nursery.start_soon(self._send_request, rng.choice(keys))
            await trio.sleep(rng.random() * 0.03)
            if number == takeover:
                authority.rejected_units.add(UNIT)
                if rng.random() < 0.5:
                    first.upstream_lost(UPSTREAM)
                harness.dispatcher = successor
        await trio.sleep(12)

    def _make_dispatcher(self, authority: FakeAuthority) -> LocalDispatcher:
        return LocalDispatcher(
            authority=authority,
            clock=self._harness.clock,
            metrics=NullMetrics(),
            rules=lambda: RULES,
            backend=self._harness.upstream,
        )

    async def _send_request(self, key: str) -> None:
        harness, rng = self._harness, self._rng
        budget = rng.choice((50, 200, 1000))
        kind = rng.choice(("deposit", "deposit", "lookup", "note"))
        req = harness.request(kind, budget_ms=budget)
        body = Body()
        if kind == "deposit":
            headers = (("Idempotency-Key", key),)
            req = replace(req, idempotency_key=key, headers=headers, body_length=4)
            cut = rng.random() < 0.05
            body = Body(b"ab", None if cut else b"cd", pause=rng.choice((0, 0, 0.02)))
        response = harness.start(req, body)
        if rng.random() < 0.25:
            await trio.sleep(rng.random() * 0.15)
            response.scope.cancel()
        await response.done.wait()
        if response.error is not None:
            self.outcomes.append((req.request_id, response.result))


class DispatchPromiseSteps:
    """Guards against double runs and wrong outcomes that occur only in some order of faults."""

    @staticmethod
    @when("{count:d} dispatch requests meet random faults and a takeover with seed {seed:d}")
    def meet_faults(context: Any, count: int, seed: int) -> None:
        async def act(harness: Harness) -> None:
            context.faults = RandomFaults(harness=harness, rng=random.Random(seed))
            await context.faults.run(count)

        plan = DispatchPlan.of(context)
        plan.options["seed"] = seed
        plan.add(act)

    @staticmethod
    @then("no dispatch at-most-once work ran twice")
    def no_double_run(context: Any) -> None:
        upstream = DispatchPlan.of(context).ensure_run().upstream
        runs = Counter(req.headers["idempotency-key"] for req in upstream.ran if req.body)
        assert len(runs) > KEYS / 2, f"work ran for only {len(runs)} of {KEYS} keys"
        assert max(runs.values()) == 1, runs

    @staticmethod
    @then("no dispatch request that ran was refused as not run")
    def refused_did_not_run(context: Any) -> None:
        upstream = DispatchPlan.of(context).ensure_run().upstream
        ran = {req.headers["acaciasaddle-request-id"].split(".")[0] for req in upstream.ran}
        refused = [
            (request, result)
            for request, result in context.faults.outcomes
            if "not-run" in result or result == "not owner"
        ]
        assert refused, "nothing was refused"
        wrong = [entry for entry in refused if entry[0] in ran]
        assert not wrong, wrong

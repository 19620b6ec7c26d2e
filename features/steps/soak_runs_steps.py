"""Steps of soak/runs.feature."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import trio
from behave import then
from behave import when

from acaciasaddle.emulator.soak import Fault
from acaciasaddle.emulator.soak import SoakTerms
from acaciasaddle.emulator.soak import run_soak

if TYPE_CHECKING:
    from acaciasaddle.emulator.soak import SoakResult

FAIL_SHARE = 0.1
LOAD_S = 3.0
RECOVERY_S = 5.0
AT_ONCE = 4
"""Soaks of six processes each that run at the same time."""


def _fault(target: str, name: str) -> Fault:
    return Fault(at_s=1.0, length_s=LOAD_S - 1.0, target=target, name=name)


# A relay's reset without connections passes the time of the load without another effect.
IDLE = Fault(at_s=0.0, length_s=LOAD_S, target="way to u1", name="delay")
PLANS = {
    "upstreams that fail often": (IDLE,),
    "an upstream that leaves": (_fault("u2", "stop"),),
    "a change of configuration": (_fault("operator", "change"),),
    "a store that fails": (_fault("store", "unavailable"),),
    "no faults": (IDLE,),
}


class SoakRunSteps:
    """Guards against defects of the system, or of the soak, that the soak does not show."""

    @staticmethod
    async def _run(terms: SoakTerms) -> SoakResult:
        with tempfile.TemporaryDirectory() as directory:
            return await run_soak(terms, Path(directory))

    @staticmethod
    @when("the soak runs with seed {seed:d} and {faults:d} faults within {within:g} s")
    def seeded(context: Any, seed: int, faults: int, within: float) -> None:
        terms = SoakTerms(seed=seed, faults=faults, within_s=within)
        context.soak = trio.run(SoakRunSteps._run, terms)

    @staticmethod
    @when("the soak runs with each of these defects of the nodes")
    def defective(context: Any) -> None:
        context.soaks = {}
        limit = trio.CapacityLimiter(AT_ONCE)

        async def run_one(defect: str, faults: str, rule: str) -> None:
            often = faults == "upstreams that fail often"
            terms = SoakTerms(
                seed=1,
                hosts=2,
                upstreams=3,
                node=("-m", "features.support.defective_node", defect),
                plan=PLANS[faults],
                fail_share=FAIL_SHARE if often else 0.0,
                recovery_s=RECOVERY_S,
            )
            async with limit:
                context.soaks[defect] = rule, await SoakRunSteps._run(terms)

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                for row in context.table:
                    nursery.start_soon(run_one, row["defect"], row["faults"], row["rule"])

        trio.run(main)

    @staticmethod
    @then("the soak has no finding, and at least {count:d} requests were completed")
    def clean(context: Any, count: int) -> None:
        assert not context.soak.findings, context.soak.findings[:5]
        assert context.soak.outcomes["completed"] >= count, context.soak.outcomes

    @staticmethod
    @then("the soak finds the rule of each defect broken")
    def found(context: Any) -> None:
        missed = {
            defect: (rule, result.findings[:3], result.outcomes)
            for defect, (rule, result) in context.soaks.items()
            if rule not in {finding.rule for finding in result.findings}
        }
        assert not missed, missed

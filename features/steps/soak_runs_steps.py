"""Steps of soak/runs.feature."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import time
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
START_LIMIT_S = 30.0
POLL_S = 0.05


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


class StoppedSoakSteps:
    """Guards against processes that go on after the soak that started them."""

    @staticmethod
    def _commands(mark: str) -> list[str]:
        """Return the command lines of processes that name a path."""
        found = []
        for path in Path("/proc").glob("[0-9]*/cmdline"):
            try:
                found.append(path.read_bytes().replace(b"\0", b" ").decode("utf-8", "replace"))
            except OSError:
                continue
        return [command for command in found if mark in command]

    @staticmethod
    @when("the command soak gets SIGTERM while its processes run")
    def stopped(context: Any) -> None:
        steps = StoppedSoakSteps
        with tempfile.TemporaryDirectory() as directory:
            command = [sys.executable, "-m", "acaciasaddle.emulator", "soak", "--hosts", "1"]
            process = subprocess.Popen(
                [*command, "--upstreams", "1", "--directory", directory],
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
            )
            ends_at = time.monotonic() + START_LIMIT_S
            while time.monotonic() < ends_at and not steps._commands(f"{directory}/1/host-1.json"):
                time.sleep(POLL_S)
            context.running = steps._commands(f"{directory}/1/")
            process.terminate()
            context.said = process.communicate(timeout=START_LIMIT_S)[0].decode()
            context.exit_code, context.left = process.returncode, steps._commands(directory)

    @staticmethod
    @then("it ends with 1 and says so, and no process of it is left")
    def nothing_left(context: Any) -> None:
        assert len(context.running) == 2, context.running
        assert (context.exit_code, context.left) == (1, []), (context.exit_code, context.left)
        assert "stopped by signal 15" in context.said, context.said

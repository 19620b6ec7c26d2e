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

from acaciasaddle.emulator.soak import RESTORE
from acaciasaddle.emulator.soak import RESTORE_WITH_LATE_WRITES
from acaciasaddle.emulator.soak import Fault
from acaciasaddle.emulator.soak import SoakOptions
from acaciasaddle.emulator.soak import run_soak

if TYPE_CHECKING:
    from acaciasaddle.emulator.soak import SoakResult

FAIL_SHARE = 0.1
LOAD_S = 3.0
RECOVERY_LIMIT_S = 5.0
PARALLEL_SOAKS = 4
"""Soaks that run at the same time, with six processes each."""
START_LIMIT_S = 30.0
POLL_INTERVAL_S = 0.05


def _fault(target: str, name: str) -> Fault:
    return Fault(at_s=1.0, length_s=LOAD_S - 1.0, target=target, name=name)


# Keeps a soak without timed faults under load for ``LOAD_S``. The delay of 0.2 s in front of one
# upstream breaks no promise.
HARMLESS_FAULT = Fault(at_s=0.0, length_s=LOAD_S, target="way to u1", name="delay")
FAULTS = {
    "upstreams that fail often": (HARMLESS_FAULT,),
    "an upstream that leaves": (_fault("u2", "stop"),),
    "a change of configuration": (_fault("operator", "change"),),
    "a store that fails": (_fault("store", "unavailable"),),
    "no faults": (HARMLESS_FAULT,),
    "an upstream that leaves quietly": (_fault("u2", "stop"),),
    "upstreams that ask to wait": (HARMLESS_FAULT,),
    "a stop under slow work": (_fault("host-1", "stop"),),
}
STORE_DISTURBANCES = ("unavailable", "forgets", "slow", "loses answers", "throttled", "late writes")
DISTURBANCE_S = 1.5
RESTORE_INTERVAL_S = 10.0
QUIET_LEAVE_S = 4.5
PAUSE_SHARE = 0.05
SLOW_SHARE = 0.3
MIN_PAUSES = 12
"""Pauses that have ended before a soak may end. Otherwise most of a short soak under a busy machine
are excused: the stop of the hosts comes before their end, or the way to u1 is delayed."""


class SoakRunSteps:
    """Guards against promises that the nodes break, and against checks that do not detect this."""

    @staticmethod
    async def _run(options: SoakOptions) -> SoakResult:
        with tempfile.TemporaryDirectory() as directory:
            return await run_soak(options, Path(directory))

    @staticmethod
    @when("the soak runs with seed {seed:d} and {faults:d} faults within {window_s:g} s")
    def seeded(context: Any, seed: int, faults: int, window_s: float) -> None:
        options = SoakOptions(seed=seed, faults=faults, fault_window_s=window_s)
        context.soak = trio.run(SoakRunSteps._run, options)

    @staticmethod
    @when("the soak runs with each of these defects of the nodes")
    def defective(context: Any) -> None:
        context.soaks = {}
        limit = trio.CapacityLimiter(PARALLEL_SOAKS)

        async def run_one(defect: str, faults: str, rule: str) -> None:
            fails_often = faults == "upstreams that fail often"
            options = SoakOptions(
                seed=1,
                hosts=2,
                upstreams=3,
                node_args=("-m", "features.support.defective_node", defect),
                fixed_faults=FAULTS[faults],
                fail_share=FAIL_SHARE if fails_often else 0.0,
                quiet_leave_s=QUIET_LEAVE_S if faults.endswith("leaves quietly") else 0.0,
                slow_share=SLOW_SHARE if faults.endswith("slow work") else 0.0,
                pause_share=PAUSE_SHARE if faults.endswith("ask to wait") else 0.0,
                min_pauses=MIN_PAUSES if faults.endswith("ask to wait") else 0,
                recovery_limit_s=RECOVERY_LIMIT_S,
            )
            async with limit:
                context.soaks[defect] = rule, await SoakRunSteps._run(options)

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                for row in context.table:
                    nursery.start_soon(run_one, row["defect"], row["faults"], row["rule"])

        trio.run(main)

    @staticmethod
    @when("the soak runs beside upstreams that leave quietly and ask to wait")
    def wishes(context: Any) -> None:
        leaving = tuple(
            Fault(at_s=1.0 + 4.0 * index, length_s=1.0, target=f"u{index + 1}", name="stop")
            for index in range(2)
        )
        options = SoakOptions(
            seed=1,
            hosts=3,
            upstreams=4,
            fixed_faults=leaving,
            pause_share=PAUSE_SHARE,
            quiet_leave_s=QUIET_LEAVE_S,
        )
        context.soak = trio.run(SoakRunSteps._run, options)

    @staticmethod
    @when(
        "the soak runs with {count:d} restores of the store, each {join_s:g} s after an upstream "
        "has joined"
    )
    def restored(context: Any, count: int, join_s: float) -> None:
        faults = []
        for index in range(count):
            at_s = index * RESTORE_INTERVAL_S
            leaving = Fault(at_s=at_s, length_s=1.0, target=f"u{index + 1}", name="stop")
            restore = Fault(
                # An upstream that stops serves for ``drain_s`` of its settings first.
                at_s=at_s + 2.0 + leaving.length_s + join_s,
                length_s=1.0 + index,
                target="store",
                name=(RESTORE_WITH_LATE_WRITES, RESTORE)[index % 2],
                age_s=join_s + 0.5,
            )
            faults += [leaving, restore]
        options = SoakOptions(seed=1, hosts=3, upstreams=4, fixed_faults=tuple(faults))
        context.soak = trio.run(SoakRunSteps._run, options)
        assert len(context.soak.restores) == count, context.soak.restores

    @staticmethod
    @when(
        "the soak runs with seed {seed:d} and {stops:d} planned stops within {window_s:g} s "
        "under slow work"
    )
    def planned_stops(context: Any, seed: int, stops: int, window_s: float) -> None:
        options = SoakOptions(
            seed=seed,
            faults=stops,
            fault_window_s=window_s,
            only_stops=True,
            callers=16,
            slots=12,
            slow_share=0.3,
            deadline_s=4.0,
        )
        context.soak = trio.run(SoakRunSteps._run, options)

    @staticmethod
    @when(
        "the soak runs with seed {seed:d} and {stops:d} planned stops within {window_s:g} s "
        "beside configurations with {routes:d} routes"
    )
    def planned_work(context: Any, seed: int, stops: int, window_s: float, routes: int) -> None:
        options = SoakOptions(
            seed=seed,
            hosts=3,
            upstreams=2,
            faults=stops,
            fault_window_s=window_s,
            only_stops=True,
            routes=routes,
            callers=12,
            resting_callers=30,
            slots=24,
        )
        context.soak = trio.run(SoakRunSteps._run, options)

    @staticmethod
    @when("the soak runs with {count:d} planned stops beside a store that is disturbed in turn")
    def disturbed_store(context: Any, count: int) -> None:
        disturbances = [
            Fault(
                at_s=DISTURBANCE_S * 1.2 * index, length_s=DISTURBANCE_S, target="store", name=name
            )
            for index, name in enumerate(STORE_DISTURBANCES)
        ]
        window_s = disturbances[-1].at_s
        stops = [
            Fault(
                at_s=window_s * index / count,
                length_s=0.5,
                target=f"host-{index % 3 + 1}",
                name="stop",
            )
            for index in range(count)
        ]
        refused = Fault(at_s=1.0, length_s=3.0, target="store of host-3", name="refuse")
        options = SoakOptions(
            seed=1,
            hosts=3,
            upstreams=2,
            open_upstreams=2,
            fixed_faults=tuple(
                sorted((*disturbances, *stops, refused), key=lambda fault: fault.at_s)
            ),
            callers=12,
            slots=12,
            slow_share=SLOW_SHARE,
            deadline_s=4.0,
        )
        context.soak = trio.run(SoakRunSteps._run, options)

    @staticmethod
    @then("the soak has no finding, and at least {count:d} requests were completed")
    def no_finding(context: Any, count: int) -> None:
        assert not context.soak.findings, context.soak.findings[:5]
        assert context.soak.outcomes["completed"] >= count, context.soak.outcomes

    @staticmethod
    @then("the soak reports the rule that each defect breaks")
    def detected(context: Any) -> None:
        missed = {
            defect: (rule, result.findings[:3], result.outcomes)
            for defect, (rule, result) in context.soaks.items()
            if rule not in {finding.rule for finding in result.findings}
        }
        assert not missed, missed


class StoppedSoakSteps:
    """Guards against upstreams and hosts that keep running after the soak that started them."""

    @staticmethod
    def _command_lines(text: str) -> list[str]:
        """Return those command lines of running processes that contain a text."""
        found = []
        for path in Path("/proc").glob("[0-9]*/cmdline"):
            try:
                found.append(path.read_bytes().replace(b"\0", b" ").decode("utf-8", "replace"))
            except OSError:
                continue
        return [command for command in found if text in command]

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
            while time.monotonic() < ends_at and not steps._command_lines(
                f"{directory}/1/host-1.json"
            ):
                time.sleep(POLL_INTERVAL_S)
            # The upstream and the host. The store's command line does not contain the directory, so
            # the steps do not see whether the store still runs.
            context.running = steps._command_lines(f"{directory}/1/")
            process.terminate()
            context.output = process.communicate(timeout=START_LIMIT_S)[0].decode()
            context.exit_code, context.left = process.returncode, steps._command_lines(directory)

    @staticmethod
    @then("it reports the signal and exits with 1, and its upstream and its host no longer run")
    def no_process_left(context: Any) -> None:
        assert len(context.running) == 2, context.running
        assert (context.exit_code, context.left) == (1, []), (context.exit_code, context.left)
        assert "stopped by signal 15" in context.output, context.output

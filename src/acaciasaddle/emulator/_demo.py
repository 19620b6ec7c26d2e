"""Demonstration: runs a deployment under load while upstreams and entry hosts fail or stop."""

from __future__ import annotations

import itertools
from collections import Counter
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING
from typing import Any

import click
import trio

from acaciasaddle.emulator._checker import check_records
from acaciasaddle.emulator._deployments import indus_floe_plan
from acaciasaddle.emulator._deployments import utility_plan
from acaciasaddle.emulator._deployments import workload_for
from acaciasaddle.emulator._fleet import running_fleet
from acaciasaddle.emulator._load import LoadRunner
from acaciasaddle.emulator._records import CallerOutcome

if TYPE_CHECKING:
    from acaciasaddle.emulator._fleet import Fleet
    from acaciasaddle.emulator._records import UpstreamRecord

DEPLOYMENTS = {"utility": utility_plan, "indus-floe": indus_floe_plan}
LOAD_SETTLE_S = 3.0
EVENT_INTERVAL_S = 4.0
PAUSE_S = 3.0
BALANCER_LAG_S = 0.5
"""Time after which the balancer stops sending requests to a killed host."""

IN_FORCE_TARGET_S = 9.0
FAILOVER_TARGET_S = 1.0
LEAVING_LIMIT_S = 5.0
"""Time after which a leaving upstream must not start any request.

The time begins when the configuration that drains it is in force on all hosts.
"""


@dataclass(slots=True, kw_only=True)
class DemoReport:
    """Results of a demonstration.

    ``broken`` lists broken promises, ``missed`` lists missed targets.
    """

    lines: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    missed: list[str] = field(default_factory=list)
    results: dict[str, Any] = field(default_factory=dict)

    def print_progress(self, text: str) -> None:
        """Print a progress message immediately and keep it in ``lines``."""
        self.lines.append(text)
        click.echo(text, err=True)


async def run_demo(
    deployment: str, *, rate: float, seed: int, logs: Path | None = None
) -> DemoReport:
    """Run the demonstration of a deployment and return its report.

    ``rate`` is in requests per second. If ``logs`` is given, the logs of all processes are kept in
    that directory.
    """
    report = DemoReport()
    plan = DEPLOYMENTS[deployment]()
    with TemporaryDirectory(prefix="acaciasaddle-demo-") as temporary:
        directory = logs or Path(temporary)
        directory.mkdir(parents=True, exist_ok=True)
        report.print_progress(
            f"Starting the platform, {len(plan.upstreams)} upstreams and {len(plan.hosts)} entry "
            f"hosts of {deployment} on loopback."
        )
        async with running_fleet(plan, directory) as fleet:
            await _run_scenario(fleet, report, rate=rate, seed=seed)
    return report


async def _run_scenario(fleet: Fleet, report: DemoReport, *, rate: float, seed: int) -> None:
    version = await fleet.apply()
    elapsed_s = await fleet.wait_in_force(version)
    report.print_progress(
        f"Configuration {version} is in force on all hosts after {elapsed_s:.2f} s."
    )
    elapsed_s = await fleet.wait_all_units_served()
    report.print_progress(
        f"All units are owned and each upstream has a successor after {elapsed_s:.2f} s."
    )
    duration = LOAD_SETTLE_S + 6 * EVENT_INTERVAL_S
    workload = workload_for(fleet.plan.rules, duration_s=duration, rate=rate, seed=seed)
    runner = LoadRunner(workload=workload, addresses=[h.address for h in fleet.live_hosts()])
    report.print_progress(f"Sending {rate:.0f} requests/s for {duration:.0f} s.")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(runner.run)
        await trio.sleep(LOAD_SETTLE_S)
        killed = await _inject_faults(fleet, report, runner)
    records = await fleet.records()
    _report_results(report, runner, records)
    _report_failover(report, records, killed)
    _report_balance(report, fleet, records)


async def _inject_faults(fleet: Fleet, report: DemoReport, runner: LoadRunner) -> dict[str, float]:
    """Kill, pause, stop and drain upstreams and entry hosts in turn.

    Returns the times at which killed upstreams were frozen, in seconds of CLOCK_BOOTTIME.
    """
    killed: dict[str, float] = {}
    upstreams = [plan.id for plan in fleet.plan.upstreams]
    hosts = [plan.host_id for plan in fleet.plan.hosts]

    report.print_progress(f"Killing upstream {upstreams[0]}.")
    killed[upstreams[0]] = await fleet.kill_upstream(upstreams[0])
    await trio.sleep(EVENT_INTERVAL_S)

    report.print_progress(f"Pausing upstream {upstreams[1]} for {PAUSE_S:.0f} s.")
    fleet.pause(fleet.upstreams[upstreams[1]])
    await trio.sleep(PAUSE_S)
    fleet.resume(fleet.upstreams[upstreams[1]])
    await trio.sleep(EVENT_INTERVAL_S - PAUSE_S)

    report.print_progress(f"Killing entry host {hosts[0]}.")
    await fleet.kill_host(hosts[0])
    await _remove_after_balancer_lag(fleet, runner, hosts[0])

    report.print_progress(f"Stopping entry host {hosts[1]} gracefully.")
    runner.remove(fleet.hosts[hosts[1]].address)
    code = await fleet.stop_host(hosts[1])
    if code != 0:
        report.broken.append(f"entry host {hosts[1]} stopped with exit code {code}")
    await trio.sleep(EVENT_INTERVAL_S / 2)

    leaving = frozenset((upstreams[0], upstreams[2]))
    report.print_progress(f"Draining upstream {upstreams[2]}.")
    version = await fleet.apply(leaving=leaving)
    elapsed_s = await fleet.wait_in_force(version)
    report.print_progress(
        f"Configuration {version} is in force on all hosts after {elapsed_s:.2f} s."
    )
    if elapsed_s > IN_FORCE_TARGET_S:
        report.missed.append(f"configuration {version} was in force after {elapsed_s:.1f} s")
    await trio.sleep(LEAVING_LIMIT_S)
    record = await fleet.record(fleet.upstreams[upstreams[2]])
    drain_limit_ms = record.boot_ms
    await trio.sleep(EVENT_INTERVAL_S / 2)
    later = await fleet.record(fleet.upstreams[upstreams[2]])
    late = [run for run in later.runs if run.boot_start_ms > drain_limit_ms]
    report.print_progress(
        f"Upstream {upstreams[2]} started {len(late)} requests more than "
        f"{LEAVING_LIMIT_S:.0f} s after configuration {version} was in force."
    )
    if late:
        report.broken.append(
            f"leaving upstream {upstreams[2]} started {len(late)} requests after the limit of "
            f"{LEAVING_LIMIT_S:.0f} s"
        )
    return killed


async def _remove_after_balancer_lag(fleet: Fleet, runner: LoadRunner, host_id: str) -> None:
    """Stop sending requests to a killed host after ``BALANCER_LAG_S``, as a balancer would.

    Returns ``EVENT_INTERVAL_S`` after the call.
    """
    await trio.sleep(BALANCER_LAG_S)
    runner.remove(fleet.hosts[host_id].address)
    await trio.sleep(EVENT_INTERVAL_S - BALANCER_LAG_S)


def _report_results(report: DemoReport, runner: LoadRunner, records: list[UpstreamRecord]) -> None:
    for violation in check_records(upstreams=records, callers=runner.records):
        report.broken.append(f"{violation.kind.value}: {violation.subject}: {violation.detail}")
    for row in runner.results.rows():
        foreign = row.outcomes.get(CallerOutcome.FOREIGN, 0)
        if foreign:
            report.broken.append(f"{row.kind}: {foreign} responses to other requests")
    report.results = runner.results.to_json()
    report.print_progress("")
    report.print_progress(runner.results.table())
    report.print_progress("")


def _report_failover(
    report: DemoReport, records: list[UpstreamRecord], killed: dict[str, float]
) -> None:
    """Report how long the units of killed upstreams had no owner."""
    by_name = {record.name: record for record in records}
    for name, killed_at_s in killed.items():
        orphaned = {
            owned.unit
            for owned in by_name[name].owned
            if owned.boot_until_ms >= killed_at_s * 1000 - 1
        }
        starts: dict[str, list[float]] = defaultdict(list)
        for record in records:
            for owned in record.owned:
                if record.name != name and owned.boot_from_ms > killed_at_s * 1000:
                    starts[owned.unit].append(owned.boot_from_ms)
        unowned_s = [min(starts[unit]) / 1000 - killed_at_s for unit in orphaned if starts[unit]]
        missing = sum(not starts[unit] for unit in orphaned)
        longest = max(unowned_s, default=0.0)
        report.print_progress(
            f"Upstream {name} owned {len(orphaned)} units when it was killed. They had a new owner "
            f"after at most {longest * 1000:.0f} ms, except for {missing} that never had one."
        )
        if missing:
            report.broken.append(f"{missing} units of {name} never had a new owner")
        if longest > FAILOVER_TARGET_S:
            report.missed.append(f"units of {name} had no owner for {longest:.2f} s")


def _report_balance(report: DemoReport, fleet: Fleet, records: list[UpstreamRecord]) -> None:
    """Report the changes of owner, and how evenly runs per slot are spread over upstreams."""
    owners: dict[str, list[tuple[float, str]]] = defaultdict(list)
    runs: Counter[str] = Counter()
    for record in records:
        runs[record.name] += len(record.runs)
        for owned in record.owned:
            owners[owned.unit].append((owned.boot_from_ms, record.name))
    changes = 0
    for history in owners.values():
        names = [name for _, name in sorted(history)]
        changes += sum(a != b for a, b in itertools.pairwise(names))
    report.print_progress(f"Ownership: {len(owners)} units, {changes} changes of owner.")
    slots = {plan.id: plan.slots for plan in fleet.plan.upstreams}
    for service in sorted({plan.service for plan in fleet.plan.upstreams}):
        loads = [
            runs[upstream_id] / slots[upstream_id]
            for upstream_id in slots
            if upstream_id.startswith(f"{service}/")
        ]
        mean = sum(loads) / len(loads)
        report.print_progress(
            f"Load of {service}: the busiest upstream had {max(loads) / mean:.2f} times the mean "
            "number of runs per slot."
        )

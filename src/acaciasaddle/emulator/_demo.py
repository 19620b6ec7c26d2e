"""The demonstration: a deployment under load that loses an upstream and an entry host."""

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

from acaciasaddle.emulator._checker import check
from acaciasaddle.emulator._deployments import indus_floe_plan
from acaciasaddle.emulator._deployments import utility_plan
from acaciasaddle.emulator._deployments import workload_for
from acaciasaddle.emulator._fleet import running_fleet
from acaciasaddle.emulator._load import LoadRunner
from acaciasaddle.emulator._records import SeenOutcome

if TYPE_CHECKING:
    from acaciasaddle.emulator._fleet import Fleet
    from acaciasaddle.emulator._records import UpstreamRecord

DEPLOYMENTS = {"utility": utility_plan, "indus-floe": indus_floe_plan}
LOAD_SETTLE_S = 3.0
EVENT_GAP_S = 4.0
PAUSE_S = 3.0
BALANCER_LAG_S = 0.5
IN_FORCE_TARGET_S = 9.0
SERVED_AGAIN_TARGET_S = 1.0
LEAVING_LIMIT_S = 5.0


@dataclass(slots=True, kw_only=True)
class DemoReport:
    """What happened. ``broken`` lists broken promises, ``missed`` targets that were missed."""

    lines: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    missed: list[str] = field(default_factory=list)
    results: dict[str, Any] = field(default_factory=dict)

    def say(self, text: str) -> None:
        """Print a line of progress at once and keep it."""
        self.lines.append(text)
        click.echo(text, err=True)


async def run_demo(
    deployment: str, *, rate: float, seed: int, logs: Path | None = None
) -> DemoReport:
    """Run the demonstration of a deployment; ``rate`` is in requests per second.

    The logs of all processes are kept in the directory ``logs`` if one is given.
    """
    report = DemoReport()
    plan = DEPLOYMENTS[deployment]()
    with TemporaryDirectory(prefix="acaciasaddle-demo-") as temporary:
        directory = logs or Path(temporary)
        directory.mkdir(parents=True, exist_ok=True)
        report.say(
            f"Starting the platform, {len(plan.upstreams)} upstreams and {len(plan.hosts)} entry "
            f"hosts of {deployment} on loopback."
        )
        async with running_fleet(plan, directory) as fleet:
            await _run_events(fleet, report, rate=rate, seed=seed)
    return report


async def _run_events(fleet: Fleet, report: DemoReport, *, rate: float, seed: int) -> None:
    version = await fleet.apply()
    took = await fleet.wait_in_force(version)
    report.say(f"Configuration {version} is in force on all hosts after {took:.2f} s.")
    took = await fleet.wait_served()
    report.say(f"All units are owned, and each upstream has a successor, after {took:.2f} s.")
    duration = LOAD_SETTLE_S + 6 * EVENT_GAP_S
    workload = workload_for(fleet.plan.rules, duration_s=duration, rate=rate, seed=seed)
    runner = LoadRunner(workload=workload, addresses=[h.address for h in fleet.live_hosts()])
    report.say(f"Sending {rate:.0f} requests/s for {duration:.0f} s.")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(runner.run)
        await trio.sleep(LOAD_SETTLE_S)
        killed = await _events(fleet, report, runner)
    records = await fleet.records()
    _judge(report, runner, records)
    _report_loss(report, records, killed)
    _report_balance(report, fleet, records)


async def _events(fleet: Fleet, report: DemoReport, runner: LoadRunner) -> dict[str, float]:
    killed: dict[str, float] = {}
    upstreams = [plan.id for plan in fleet.plan.upstreams]
    hosts = [plan.host_id for plan in fleet.plan.hosts]

    report.say(f"Killing upstream {upstreams[0]}.")
    killed[upstreams[0]] = await fleet.kill_upstream(upstreams[0])
    await trio.sleep(EVENT_GAP_S)

    report.say(f"Freezing upstream {upstreams[1]} for {PAUSE_S:.0f} s.")
    fleet.pause(fleet.upstreams[upstreams[1]])
    await trio.sleep(PAUSE_S)
    fleet.resume(fleet.upstreams[upstreams[1]])
    await trio.sleep(EVENT_GAP_S - PAUSE_S)

    report.say(f"Killing entry host {hosts[0]}.")
    await fleet.kill_host(hosts[0])
    await _leave_balancer(fleet, runner, hosts[0])

    report.say(f"Stopping entry host {hosts[1]} gracefully.")
    runner.remove(fleet.hosts[hosts[1]].address)
    code = await fleet.stop_host(hosts[1])
    if code != 0:
        report.broken.append(f"entry host {hosts[1]} stopped with exit code {code}")
    await trio.sleep(EVENT_GAP_S / 2)

    leaving = frozenset((upstreams[0], upstreams[2]))
    report.say(f"Draining upstream {upstreams[2]}.")
    version = await fleet.apply(leaving=leaving)
    took = await fleet.wait_in_force(version)
    report.say(f"Configuration {version} is in force on all hosts after {took:.2f} s.")
    if took > IN_FORCE_TARGET_S:
        report.missed.append(f"configuration {version} was in force after {took:.1f} s")
    await trio.sleep(LEAVING_LIMIT_S)
    record = await fleet.record(fleet.upstreams[upstreams[2]])
    drained_ms = record.boot_ms
    await trio.sleep(EVENT_GAP_S / 2)
    later = await fleet.record(fleet.upstreams[upstreams[2]])
    late = [run for run in later.runs if run.boot_start_ms > drained_ms]
    report.say(f"Upstream {upstreams[2]} got {len(late)} requests after {LEAVING_LIMIT_S:.0f} s.")
    if late:
        report.broken.append(f"leaving upstream {upstreams[2]} got {len(late)} requests")
    return killed


async def _leave_balancer(fleet: Fleet, runner: LoadRunner, host_id: str) -> None:
    """Act as the platform's balancer, which notices a lost host after a while."""
    await trio.sleep(BALANCER_LAG_S)
    runner.remove(fleet.hosts[host_id].address)
    await trio.sleep(EVENT_GAP_S - BALANCER_LAG_S)


def _judge(report: DemoReport, runner: LoadRunner, records: list[UpstreamRecord]) -> None:
    for found in check(upstreams=records, callers=runner.records):
        report.broken.append(f"{found.rule.value}: {found.subject}: {found.detail}")
    for row in runner.results.rows():
        foreign = row.outcomes.get(SeenOutcome.FOREIGN, 0)
        if foreign:
            report.broken.append(f"{row.kind}: {foreign} answers to other requests")
    report.results = runner.results.to_json()
    report.say("")
    report.say(runner.results.table())
    report.say("")


def _report_loss(
    report: DemoReport, records: list[UpstreamRecord], killed: dict[str, float]
) -> None:
    """Report for how long the units of killed upstreams had no owner."""
    by_name = {record.name: record for record in records}
    for name, at_s in killed.items():
        lost = {
            owned.unit for owned in by_name[name].owned if owned.boot_until_ms >= at_s * 1000 - 1
        }
        starts: dict[str, list[float]] = defaultdict(list)
        for record in records:
            for owned in record.owned:
                if record.name != name and owned.boot_from_ms > at_s * 1000:
                    starts[owned.unit].append(owned.boot_from_ms)
        gaps = [min(starts[unit]) / 1000 - at_s for unit in lost if starts[unit]]
        missing = sum(not starts[unit] for unit in lost)
        longest = max(gaps, default=0.0)
        report.say(
            f"Upstream {name} was lost with {len(lost)} units; they were owned again after at "
            f"most {longest * 1000:.0f} ms, {missing} never."
        )
        if missing:
            report.broken.append(f"{missing} units of {name} were never owned again")
        if longest > SERVED_AGAIN_TARGET_S:
            report.missed.append(f"units of {name} were without owner for {longest:.2f} s")


def _report_balance(report: DemoReport, fleet: Fleet, records: list[UpstreamRecord]) -> None:
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
    report.say(f"Ownership: {len(owners)} units, {changes} changes of owner.")
    slots = {plan.id: plan.slots for plan in fleet.plan.upstreams}
    for service in sorted({plan.service for plan in fleet.plan.upstreams}):
        loads = [runs[uid] / slots[uid] for uid in slots if uid.startswith(f"{service}/")]
        mean = sum(loads) / len(loads)
        report.say(f"Load of {service}: busiest upstream at {max(loads) / mean:.2f} of the mean.")

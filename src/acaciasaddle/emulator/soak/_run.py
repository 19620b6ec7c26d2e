"""Runs one soak: start of the processes, faults under load, recovery, and the checks."""

from __future__ import annotations

import signal
import time
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from typing import TYPE_CHECKING

import msgspec
import trio

from acaciasaddle.emulator._fleet import FleetError
from acaciasaddle.emulator.soak._callers import DEADLINE_S
from acaciasaddle.emulator.soak._callers import KEY_COUNT
from acaciasaddle.emulator.soak._callers import Connection
from acaciasaddle.emulator.soak._callers import classify_outcome
from acaciasaddle.emulator.soak._callers import run_caller
from acaciasaddle.emulator.soak._callers import send_request
from acaciasaddle.emulator.soak._checks import Finding
from acaciasaddle.emulator.soak._checks import check_records
from acaciasaddle.emulator.soak._checks import judged_pauses
from acaciasaddle.emulator.soak._faults import FORGET_HISTORY
from acaciasaddle.emulator.soak._faults import RELAY_FAULTS
from acaciasaddle.emulator.soak._faults import RELOAD
from acaciasaddle.emulator.soak._faults import RESET
from acaciasaddle.emulator.soak._faults import RESTORE
from acaciasaddle.emulator.soak._faults import RESTORE_WITH_LATE_WRITES
from acaciasaddle.emulator.soak._faults import STORE_FAULTS
from acaciasaddle.emulator.soak._faults import Fault
from acaciasaddle.emulator.soak._faults import draw_changes
from acaciasaddle.emulator.soak._faults import draw_faults
from acaciasaddle.emulator.soak._faults import draw_reloads
from acaciasaddle.emulator.soak._faults import draw_restores
from acaciasaddle.emulator.soak._faults import draw_stops
from acaciasaddle.emulator.soak._processes import NODE_ARGS
from acaciasaddle.emulator.soak._processes import Deployment
from acaciasaddle.emulator.soak._records import RecordFile
from acaciasaddle.emulator.soak._records import read_records
from acaciasaddle.emulator.soak._relay import RelayFaults
from acaciasaddle.emulator.soak._restores import RestoreSummary
from acaciasaddle.emulator.soak._restores import summarize_restores
from acaciasaddle.observe import get_logger
from acaciasaddle.platform.standins import ROUTE_TIMEOUT_S
from acaciasaddle.platform.standins import SLOW_WORK_S
from acaciasaddle.platform.standins import caller_headers
from acaciasaddle.platform.standins import extra_path

if TYPE_CHECKING:
    from pathlib import Path

FAIL_SHARE = 0.01
RECOVERY_LIMIT_S = 15.0
"""Covers the longest lease, 10 s on a clock that is 2% slow, and the coordinator's rounds that move
the keys."""
CONFIGURATION_LIMIT_S = 9.0
"""Each host must serve the newest configuration within this time of the start of a recovery check.
A host that serves the probed keys only later is asked for the configuration once. No fault is
active during the check, so every host can reach the store."""
DELAY_POLL_S = 0.01
MIN_DELAY_S = 0.02
PAUSES_LIMIT_S = 60.0
"""Time in which ``min_pauses`` must have ended after the recovery check."""
PAUSES_POLL_S = 0.5
PROBED_KEY_COUNT = 32
OPEN_SHARE = 0.5
PROBE_PAUSE_S = 0.1
"""Pause after a probe that was not served. The probes of one host follow one another."""

log = get_logger("soak")


@dataclass(frozen=True, slots=True, kw_only=True)
class SoakOptions:
    """Options of a soak.

    Faults begin within the first ``fault_window_s`` seconds under load. Those that follow another
    fault of the same target may begin later.

    ``fixed_faults`` replace the faults drawn from the seed. ``fail_share`` is the share of the
    upstreams' runs that end in each of the three ways that ``standins.UpstreamSettings`` lists,
    ``slow_share`` that of their slow runs, and ``slots`` the number of runs at a time.
    ``pause_share`` and ``quiet_leave_s`` say how upstreams ask hosts to wait and leave. The load
    lasts until ``min_pauses`` have ended that the checks judge. If
    ``only_stops`` is true, all faults are planned stops of hosts. With ``routes``, the operator
    changes the configuration, which has as many unused routes, and its idle limit all the time
    until the faults have ended, and planned stops come with SIGHUPs. ``resting_callers`` are
    callers besides the others that let their connections rest. ``open_upstreams`` is the number of
    upstreams of a service without keys; if there are any, half of the requests go to that service.
    ``restores`` is the number of times that the store comes back from an older copy.
    ``node_args`` are the interpreter's arguments that run a node, before the path of its settings.
    ``recovery_limit_s`` is the time in which each host must serve the probed keys after the start
    and after the faults, besides the time that slow runs take.
    """

    seed: int
    hosts: int = 4
    upstreams: int = 6
    callers: int = 8
    faults: int = 10
    fault_window_s: float = 12.0
    node_args: tuple[str, ...] = NODE_ARGS
    fixed_faults: tuple[Fault, ...] = ()
    fail_share: float = FAIL_SHARE
    slow_share: float = 0.0
    slots: int = 2
    pause_share: float = 0.0
    min_pauses: int = 0
    quiet_leave_s: float = 0.0
    deadline_s: float = DEADLINE_S
    only_stops: bool = False
    routes: int = 0
    resting_callers: int = 0
    open_upstreams: int = 0
    restores: int = 0
    recovery_limit_s: float = RECOVERY_LIMIT_S

    @property
    def probe_limit_s(self) -> float:
        """Time in which one host must have served all probes."""
        return self.recovery_limit_s + PROBED_KEY_COUNT * self.slow_share * SLOW_WORK_S[1]


@dataclass(slots=True, kw_only=True)
class SoakResult:
    """Broken promises, the callers' attempts by outcome, the faults, and what followed restores."""

    findings: list[Finding] = field(default_factory=list)
    outcomes: dict[str, int] = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)
    restores: list[RestoreSummary] = field(default_factory=list)


async def run_soak(options: SoakOptions, directory: Path) -> SoakResult:
    """Run a soak and return its result.

    The soak writes its files to ``directory``, which must be empty.

    Raises an exception group that contains ``FleetError`` if a process does not start, if the store
    stand-in refuses a control request, if fewer than ``min_pauses`` end within ``PAUSES_LIMIT_S``,
    or on SIGTERM and SIGINT, and ``OSError`` if the stand-in
    does not respond to a control request.
    """
    hosts = [f"host-{index + 1}" for index in range(options.hosts)]
    upstreams = [f"u{index + 1}" for index in range(options.upstreams)]
    open_upstreams = [f"o{index + 1}" for index in range(options.open_upstreams)]
    result = SoakResult(
        faults=list(options.fixed_faults) or _draw(options, hosts=hosts, upstreams=upstreams)
    )
    records = RecordFile(path=directory / "soak.records")
    async with trio.open_nursery() as nursery:
        deployment = Deployment(
            directory=directory,
            records=records,
            nursery=nursery,
            node_args=options.node_args,
            fail_share=options.fail_share,
            slow_share=options.slow_share,
            slots=options.slots,
            pause_share=options.pause_share,
            quiet_leave_s=options.quiet_leave_s,
            route_timeout_s=max(options.deadline_s, ROUTE_TIMEOUT_S),
            unused_routes=options.routes,
        )

        def idle_limit_s() -> float:
            return deployment.idle_timeout_s

        nursery.start_soon(_fail_on_signal)
        nursery.start_soon(_record_delays, records)
        try:
            await deployment.start(hosts=hosts, upstreams=upstreams, open_upstreams=open_upstreams)
            await _wait_for_recovery(deployment, result, "start", options.probe_limit_s)
            with trio.CancelScope() as load_scope:
                async with trio.open_nursery() as caller_nursery:
                    for number in range(options.callers + options.resting_callers):
                        rests = number >= options.callers
                        caller_nursery.start_soon(
                            partial(
                                run_caller,
                                number=number,
                                seed=options.seed,
                                running_hosts=deployment.running_hosts,
                                records=records,
                                deadline_s=options.deadline_s,
                                idle_limit_s=idle_limit_s if rests else None,
                                open_share=OPEN_SHARE if options.open_upstreams else 0.0,
                            )
                        )
                    async with trio.open_nursery() as operator_nursery:
                        if options.routes:
                            operator_nursery.start_soon(_change_often, deployment, options.seed)
                        await _inject_faults(deployment, result)
                        operator_nursery.cancel_scope.cancel()
                    await _wait_for_recovery(deployment, result, "recovery", options.probe_limit_s)
                    await _wait_for_pauses(directory, options.min_pauses)
                    await trio.sleep_until(max(deployment.measured_until, trio.current_time()))
                    store_calls = (await deployment.control_store("calls", None))["calls"]
                    load_scope.cancel()
            result.findings += [
                Finding(rule="exited", detail=text) for text in deployment.unexpected_exits()
            ]
            async with trio.open_nursery() as stop_nursery:
                for name in hosts:
                    stop_nursery.start_soon(_stop_host, deployment, result, name)
        finally:
            await deployment.stop()
        nursery.cancel_scope.cancel()
    records.close()
    all_records = read_records(directory)
    result.findings += check_records(all_records)
    result.restores = summarize_restores(all_records, store_calls=store_calls)
    result.outcomes = Counter(rec["outcome"] for rec in all_records if rec["kind"] == "attempt")
    return result


def _draw(options: SoakOptions, *, hosts: list[str], upstreams: list[str]) -> list[Fault]:
    seed, count, window_s = options.seed, options.faults, options.fault_window_s
    if options.only_stops:
        stops = draw_stops(seed=seed, count=count, window_s=window_s, hosts=hosts)
        reloads = draw_reloads(seed=seed, stops=stops, hosts=hosts) if options.routes else []
        return sorted(stops + reloads, key=lambda fault: (fault.at_s, fault.target))
    faults = draw_faults(
        seed=seed, count=count, window_s=window_s, hosts=hosts, upstreams=upstreams
    )
    faults += draw_restores(
        seed=seed, count=options.restores, window_s=window_s, upstreams=upstreams
    )
    return sorted(faults, key=lambda fault: (fault.at_s, fault.target))


async def _fail_on_signal() -> None:
    """Raise ``FleetError`` on SIGTERM or SIGINT, which ends the soak and all its processes."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for signum in signals:
            raise FleetError(f"stopped by signal {signum}", step="soak.run")


async def _change_often(deployment: Deployment, seed: int) -> None:
    """Change the configuration and its idle limit again and again until cancelled."""
    for pause_s, idle_timeout_s in draw_changes(seed=seed):
        await trio.sleep(pause_s)
        with trio.CancelScope(shield=True):
            await deployment.change_configuration(idle_timeout_s=idle_timeout_s)


async def _record_delays(records: RecordFile) -> None:
    """Record by how much this process, which runs the callers, was late, until cancelled."""
    while True:
        due = trio.current_time() + DELAY_POLL_S
        await trio.sleep_until(due)
        late_s = trio.current_time() - due
        if late_s > MIN_DELAY_S:
            records.add("delayed", late_s=late_s)


async def _inject_faults(deployment: Deployment, result: SoakResult) -> None:
    started = trio.current_time()
    locks = {fault.target: trio.Lock() for fault in result.faults}
    async with trio.open_nursery() as nursery:
        for fault in result.faults:
            await trio.sleep_until(started + fault.at_s)
            lock = trio.Lock() if fault.name == RELOAD else locks[fault.target]
            nursery.start_soon(_apply_in_turn, deployment, fault, result, lock)


async def _apply_in_turn(
    deployment: Deployment, fault: Fault, result: SoakResult, lock: trio.Lock
) -> None:
    """Apply a fault once the previous one of its target has ended, which may be after ``at_s``."""
    async with lock:
        log.info("fault", target=fault.target, name=fault.name, length_s=fault.length_s)
        deployment.records.add(
            "fault", target=fault.target, name=fault.name, length_s=fault.length_s
        )
        await _apply(deployment, fault, result)


async def _apply(deployment: Deployment, fault: Fault, result: SoakResult) -> None:
    target = fault.target
    if target == "operator":
        await deployment.change_configuration()
    elif target == "store" and fault.name == FORGET_HISTORY:
        await deployment.control_store("forget", None)
    elif fault.name in (RESTORE, RESTORE_WITH_LATE_WRITES):
        await deployment.restore_store(fault)
    elif target == "store":
        await deployment.control_store("faults", msgspec.structs.asdict(STORE_FAULTS[fault.name]))
        await trio.sleep(fault.length_s)
        await deployment.control_store("faults", {})
    elif target in deployment.relays:
        relay = deployment.relays[target]
        relay.set_faults(RELAY_FAULTS[fault.name])
        if fault.name == RESET:
            relay.reset()
        await trio.sleep(fault.length_s)
        relay.set_faults(RelayFaults())
    elif fault.name == RELOAD:
        deployment.reload(target)
    elif fault.name == "pause":
        deployment.pause(target)
        await trio.sleep(fault.length_s)
        deployment.resume(target)
    else:
        if fault.name == "kill":
            await deployment.end(target, signal.SIGKILL)
        elif target in deployment.host_addresses:
            await _stop_host(deployment, result, target)
        else:
            await deployment.end(target, signal.SIGTERM)
        await trio.sleep(fault.length_s)
        await deployment.start_process(target)


async def _stop_host(deployment: Deployment, result: SoakResult, name: str) -> None:
    stopped_in_time = await deployment.end(name, signal.SIGTERM)
    process = deployment.processes[name].process
    code = process.returncode if process is not None else None
    if not stopped_in_time:
        result.findings.append(Finding(rule="does-not-stop", detail=name))
    elif code:
        result.findings.append(
            Finding(rule="exited", detail=f"{name} stopped with exit code {code}")
        )


async def _wait_for_recovery(
    deployment: Deployment, result: SoakResult, step: str, limit_s: float
) -> None:
    """Wait until every host serves the probed keys and the newest configuration, or time is up.

    Adds a finding for what a host does not serve by then.
    """
    started = trio.current_time()
    async with trio.open_nursery() as nursery:
        for name in deployment.host_addresses:
            nursery.start_soon(_probe_host, deployment, result, name, step, limit_s)
    log.info("recovery check ended", step=step, seconds=round(trio.current_time() - started, 2))


async def _wait_for_pauses(directory: Path, count: int) -> None:
    """Wait until a number of pauses have ended.

    Raises ``FleetError`` if that takes longer than ``PAUSES_LIMIT_S``.
    """
    ends_at = trio.current_time() + PAUSES_LIMIT_S
    while count:
        now = time.monotonic()
        pauses = judged_pauses(read_records(directory))
        ended = sum(pause.at + pause.length_s <= now for pause in pauses)
        if ended >= count:
            return
        if trio.current_time() > ends_at:
            raise FleetError(f"only {ended} of {count} pauses have ended", step="soak.pauses")
        await trio.sleep(PAUSES_POLL_S)


async def _probe_host(
    deployment: Deployment, result: SoakResult, name: str, step: str, limit_s: float
) -> None:
    """Wait until a host serves the probed keys, and then until it knows the newest extra route.

    It responds to a request for a route that it does not know with status 404.
    """
    started = trio.current_time()
    conn = Connection(address=deployment.host_addresses[name])
    unserved = [round(index * KEY_COUNT / PROBED_KEY_COUNT) for index in range(PROBED_KEY_COUNT)]
    number = 0
    try:
        while unserved and trio.current_time() < started + limit_s:
            remaining = []
            for key in unserved:
                number += 1
                request_id = f"probe-{step}-{name}-{number}"
                resp = await send_request(conn, request_id=request_id, key=key, once=False)
                if classify_outcome(request_id, b"", resp) != "completed":
                    remaining.append(key)
                    await trio.sleep(PROBE_PAUSE_S)
            unserved = remaining
        if unserved:
            detail = f"{name} does not serve keys {unserved} after {limit_s:g} s ({step})"
            result.findings.append(Finding(rule="unserved", detail=detail))
        target = f"{extra_path(deployment.extra_routes - 1)}probe"
        while True:
            headers = caller_headers(request_id=f"route-{step}-{name}", key=0, deadline_s=1.0)
            resp = await conn.send("GET", target, headers, b"")
            if resp is not None and resp.status != 404:
                return
            if trio.current_time() > started + CONFIGURATION_LIMIT_S:
                break
            await trio.sleep(PROBE_PAUSE_S)
        result.findings.append(
            Finding(
                rule="configuration-late",
                detail=f"{name} does not serve version {deployment.configuration_version}",
            )
        )
    finally:
        await conn.aclose()

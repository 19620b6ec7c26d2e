"""One soak: start, faults under load, recovery, and the checks."""

from __future__ import annotations

import signal
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from typing import TYPE_CHECKING

import msgspec
import trio

from acaciasaddle.emulator._fleet import FleetError
from acaciasaddle.emulator.soak._callers import KEYS
from acaciasaddle.emulator.soak._callers import Connection
from acaciasaddle.emulator.soak._callers import call
from acaciasaddle.emulator.soak._callers import outcome
from acaciasaddle.emulator.soak._callers import send
from acaciasaddle.emulator.soak._checks import Finding
from acaciasaddle.emulator.soak._checks import check_records
from acaciasaddle.emulator.soak._faults import FORGETS
from acaciasaddle.emulator.soak._faults import RELAY_FAULTS
from acaciasaddle.emulator.soak._faults import RESET
from acaciasaddle.emulator.soak._faults import STORE_FAULTS
from acaciasaddle.emulator.soak._faults import Fault
from acaciasaddle.emulator.soak._faults import draw_faults
from acaciasaddle.emulator.soak._processes import NODE
from acaciasaddle.emulator.soak._processes import Deployment
from acaciasaddle.emulator.soak._records import RecordFile
from acaciasaddle.emulator.soak._records import read_records
from acaciasaddle.emulator.soak._relay import RelayFaults
from acaciasaddle.observe import get_logger
from acaciasaddle.platform.standins import caller_headers
from acaciasaddle.platform.standins import extra_path

if TYPE_CHECKING:
    from pathlib import Path

FAIL_SHARE = 0.01
RECOVERY_S = 15.0
"""The longest lease of 10 s at a 2% slow clock, and the rounds that move the keys."""
IN_FORCE_S = 9.0
"""A change of the configuration is in force at all hosts within this, once they reach the store."""
PROBED_KEYS = 32
PROBE_PAUSE_S = 0.1

log = get_logger("soak")


@dataclass(frozen=True, slots=True, kw_only=True)
class SoakTerms:
    """What a soak consists of. Faults begin within ``within_s`` seconds.

    A ``plan`` takes the place of the faults drawn from the seed. ``fail_share`` is the share of the
    upstreams' runs with each kind of bad answer. ``node`` are the interpreter's arguments that run
    a node, before the path of its settings.
    """

    seed: int
    hosts: int = 4
    upstreams: int = 6
    callers: int = 8
    faults: int = 10
    within_s: float = 12.0
    node: tuple[str, ...] = NODE
    plan: tuple[Fault, ...] = ()
    fail_share: float = FAIL_SHARE
    recovery_s: float = RECOVERY_S


@dataclass(slots=True, kw_only=True)
class SoakResult:
    """What was found, and how the callers' attempts ended."""

    findings: list[Finding] = field(default_factory=list)
    outcomes: dict[str, int] = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)


async def run_soak(terms: SoakTerms, directory: Path) -> SoakResult:
    """Run a soak whose files go into an empty directory. Raises ``FleetError``."""
    hosts = [f"host-{index + 1}" for index in range(terms.hosts)]
    upstreams = [f"u{index + 1}" for index in range(terms.upstreams)]
    result = SoakResult(
        faults=list(terms.plan)
        or draw_faults(
            seed=terms.seed,
            count=terms.faults,
            within_s=terms.within_s,
            hosts=hosts,
            upstreams=upstreams,
        )
    )
    records = RecordFile(path=directory / "soak.records")
    async with trio.open_nursery() as nursery:
        deployment = Deployment(
            directory=directory,
            records=records,
            nursery=nursery,
            node=terms.node,
            fail_share=terms.fail_share,
        )
        nursery.start_soon(_fail_on_signal)
        try:
            await deployment.start(hosts=hosts, upstreams=upstreams)
            await _recovered(deployment, result, "start", terms.recovery_s)
            with trio.CancelScope() as load:
                async with trio.open_nursery() as callers:
                    for number in range(terms.callers):
                        callers.start_soon(
                            partial(
                                call,
                                number=number,
                                seed=terms.seed,
                                hosts=deployment.hosts,
                                records=records,
                            )
                        )
                    await _inject(deployment, result)
                    await _recovered(deployment, result, "recovery", terms.recovery_s)
                    load.cancel()
            result.findings += [Finding(rule="exited", detail=gone) for gone in deployment.gone()]
            async with trio.open_nursery() as stopping:
                for name in hosts:
                    stopping.start_soon(_stop_host, deployment, result, name)
        finally:
            await deployment.stop()
        nursery.cancel_scope.cancel()
    records.close()
    found = read_records(directory)
    result.findings += check_records(found)
    result.outcomes = Counter(rec["outcome"] for rec in found if rec["kind"] == "attempt")
    return result


async def _fail_on_signal() -> None:
    """Let a signal end the soak with all its processes."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for signum in signals:
            raise FleetError(f"stopped by signal {signum}", step="soak.run")


async def _inject(deployment: Deployment, result: SoakResult) -> None:
    started = trio.current_time()
    locks = {fault.target: trio.Lock() for fault in result.faults}
    async with trio.open_nursery() as nursery:
        for fault in result.faults:
            await trio.sleep_until(started + fault.at_s)
            nursery.start_soon(_apply, deployment, fault, result, locks[fault.target])


async def _apply(deployment: Deployment, fault: Fault, result: SoakResult, lock: trio.Lock) -> None:
    """Apply one fault until its end, after an earlier one of the target that lasts longer."""
    async with lock:
        log.info("fault", target=fault.target, name=fault.name, length_s=fault.length_s)
        await _hold(deployment, fault, result)


async def _hold(deployment: Deployment, fault: Fault, result: SoakResult) -> None:
    target = fault.target
    if target == "operator":
        await deployment.change_configuration()
    elif target == "store" and fault.name == FORGETS:
        await deployment.order_store("forget", None)
    elif target == "store":
        await deployment.order_store("faults", msgspec.structs.asdict(STORE_FAULTS[fault.name]))
        await trio.sleep(fault.length_s)
        await deployment.order_store("faults", {})
    elif target in deployment.relays:
        relay = deployment.relays[target]
        relay.set(RELAY_FAULTS[fault.name])
        if fault.name == RESET:
            relay.reset()
        await trio.sleep(fault.length_s)
        relay.set(RelayFaults())
    elif fault.name == "pause":
        deployment.pause(target)
        await trio.sleep(fault.length_s)
        deployment.resume(target)
    else:
        if fault.name == "kill":
            await deployment.end(target, signal.SIGKILL)
        elif target in deployment.addresses:
            await _stop_host(deployment, result, target)
        else:
            await deployment.end(target, signal.SIGTERM)
        await trio.sleep(fault.length_s)
        await deployment.start_member(target)


async def _stop_host(deployment: Deployment, result: SoakResult, name: str) -> None:
    in_time = await deployment.end(name, signal.SIGTERM)
    process = deployment.members[name].process
    code = process.returncode if process is not None else None
    if not in_time:
        result.findings.append(Finding(rule="does-not-stop", detail=name))
    elif code:
        result.findings.append(Finding(rule="exited", detail=f"{name} stopped with {code}"))


async def _recovered(deployment: Deployment, result: SoakResult, step: str, limit_s: float) -> None:
    """Wait until every host serves every key and the newest configuration."""
    started = trio.current_time()
    async with trio.open_nursery() as nursery:
        for name in deployment.addresses:
            nursery.start_soon(_probe, deployment, result, name, step, limit_s)
    log.info("served again", step=step, seconds=round(trio.current_time() - started, 2))


async def _probe(
    deployment: Deployment, result: SoakResult, name: str, step: str, limit_s: float
) -> None:
    started = trio.current_time()
    conn = Connection(address=deployment.addresses[name])
    unserved = [round(index * KEYS / PROBED_KEYS) for index in range(PROBED_KEYS)]
    number = 0
    try:
        while unserved and trio.current_time() < started + limit_s:
            left = []
            for key in unserved:
                number += 1
                request_id = f"probe-{step}-{name}-{number}"
                resp = await send(conn, request_id=request_id, key=key, once=False)
                if outcome(request_id, b"", resp) != "completed":
                    left.append(key)
                    await trio.sleep(PROBE_PAUSE_S)
            unserved = left
        if unserved:
            detail = f"{name} does not serve keys {unserved} after {limit_s:g} s ({step})"
            result.findings.append(Finding(rule="unserved", detail=detail))
        target = f"{extra_path(deployment.extra_routes - 1)}probe"
        while True:
            headers = caller_headers(request_id=f"route-{step}-{name}", key=0, deadline_s=1.0)
            resp = await conn.send("GET", target, headers, b"")
            if resp is not None and resp.status != 404:
                return
            if trio.current_time() > started + IN_FORCE_S:
                break
            await trio.sleep(PROBE_PAUSE_S)
        result.findings.append(
            Finding(rule="configuration-late", detail=f"{name}: version {deployment.version}")
        )
    finally:
        await conn.aclose()

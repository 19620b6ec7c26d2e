"""One trial: a scenario with faults injected at steps, and the checks of what was recorded."""

from __future__ import annotations

import logging
import random
import signal
import uuid
from collections import Counter
from contextlib import contextmanager
from contextlib import nullcontext
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any
from unittest import mock

import structlog
import trio
from features.support.callers import Callers
from features.support.domains import domains_enabled
from features.support.domains import outside_domains
from features.support.faults import Fault
from features.support.scenarios import ScenarioContext
from features.support.system import SERVICE
from features.support.system import SHARDS
from features.support.system import SimulatedSystem
from trio._core import _run
from trio.testing import MockClock

from acaciasaddle.emulator._checker import Checker
from acaciasaddle.emulator._checker import DrainPeriod
from acaciasaddle.emulator._checker import Refusal
from acaciasaddle.emulator._records import CallerOutcome

if TYPE_CHECKING:
    from collections.abc import Iterator
    from contextlib import AbstractContextManager

    from features.support.scenarios import Scenario
    from features.support.step_events import StepEvent
    from features.support.system import SimulatedHost
    from features.support.system import SystemParts

RECOVERY_LIMIT_S = 10.0
"""Time within which every host that accepts requests has to complete a lookup of every unit.

It counts from the end of scenario and faults, and after a drain from the end of ``DRAIN_LIMIT_S``
if that is later. Isolated units are not looked up.
"""

CONFIG_LIMIT_S = 9.0
"""Time within which the last accepted change has to be in force.

It counts from the acceptance or from the end of all faults, whichever is later.
"""

DRAIN_LIMIT_S = 4.0
"""Time after which a leaving upstream must not begin work.

It counts from the start of the drain. If a configuration change drains the upstream, it counts from
the end of all faults if that is later.
"""

SCENARIO_LIMIT_S = 60.0
CONFIG_POLL_INTERVAL_S = 0.5
REAL_TIME_LIMIT_S = 30.0
"""Limit of the real time of a trial, which takes 1 to 4 s."""

FAULTS_THAT_CUT_NO_RESPONSE = frozenset(
    (
        "store down",
        "store slow",
        "store answer lost",
        "host cut from the store",
        "upstream cold",
        "upstream sheds",
    )
)
"""Faults that cut no response by themselves. Promise 7 is checked only with these or none."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Injection:
    """A fault at the given occurrence of a step, counted from 0."""

    step: str
    occurrence: int
    fault: Fault


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """A violation that a check found.

    ``promise`` is the number of the violated promise. It is 0 if a unit is not served after the
    faults, or if the scenario or a graceful stop did not end.
    """

    promise: int
    rule: str
    detail: str


PROMISE_OF_RULE = {
    "two-owners": 1,
    "run-by-other": 1,
    "assignment-lost": 2,
    "foreign-answer": 3,
    "completed-without-run": 3,
    "not-run-but-ran": 4,
    "run-twice": 5,
    "late-work": 6,
    "cut-by-stop": 7,
    "config-reverted": 8,
    "config-late": 8,
    "unserved": 0,
    "stuck": 0,
}


@dataclass(slots=True, kw_only=True)
class Trial:
    """The result of a trial.

    ``steps`` counts the steps up to the end of the scenario, ``injected`` the faults that began,
    ``runs`` the runs of requests by upstreams, and ``isolated`` the checks that were skipped
    because their unit was isolated. ``recovery_s`` is the duration of the checks that units
    are served and that the last change is in force. ``checked`` is true once all checks are made.
    """

    steps: Counter[str] = field(default_factory=Counter)
    findings: list[Finding] = field(default_factory=list)
    injected: int = 0
    recovery_s: float = 0.0
    runs: int = 0
    isolated: int = 0
    checked: bool = False

    def add(self, rule: str, detail: str) -> None:
        """Add a finding."""
        self.findings.append(Finding(promise=PROMISE_OF_RULE[rule], rule=rule, detail=detail))


@contextmanager
def _deterministic(seed: int) -> Iterator[None]:
    """Seed the random numbers and UUIDs of a trial, and the order in which trio runs tasks."""
    rng = random.Random(seed)
    random.seed(seed)
    _run._r.seed(seed)
    with (
        mock.patch.object(_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True),
        mock.patch.object(uuid, "uuid4", lambda: uuid.UUID(int=rng.getrandbits(128), version=4)),
    ):
        yield


def run_trial(
    scenario: Scenario,
    *,
    seed: int,
    injections: tuple[Injection, ...] = (),
    parts: SystemParts | None = None,
    patches: AbstractContextManager[Any] | None = None,
) -> Trial:
    """Run a scenario once, within the context manager ``patches``, and return the result.

    Raise the exceptions of the trial, but no ``Exception`` once all checks have been made.
    """
    trial = Trial()
    runner = _TrialRunner(scenario, seed, injections, parts, trial)
    clock = MockClock(autojump_threshold=0)
    with _deterministic(seed), domains_enabled(), _real_time_limit(), _logging_disabled():
        try:
            with patches or nullcontext():
                trio.run(runner.main, clock=clock)
        except Exception:
            # After the checks, the tasks of killed hosts run again to be cancelled, and may fail.
            if not trial.checked:
                raise
    return trial


class TrialStuckError(BaseException):
    """A trial exceeded ``REAL_TIME_LIMIT_S``.

    This happens, for example, when a task loops while the mock clock stands still.
    """


@contextmanager
def _real_time_limit() -> Iterator[None]:
    def raise_stuck(signal_number: int, frame: Any) -> None:
        frame_names = []
        while frame is not None and len(frame_names) < 40:
            name = frame.f_code.co_filename
            if "acaciasaddle" in name or "features" in name:
                frame_names.append(f"{frame.f_code.co_name}:{frame.f_lineno}")
            frame = frame.f_back
        raise TrialStuckError(
            f"the trial did not end within {REAL_TIME_LIMIT_S} s; innermost frames: "
            f"{' < '.join(frame_names[:6])}"
        )

    previous = signal.signal(signal.SIGALRM, raise_stuck)
    signal.setitimer(signal.ITIMER_REAL, REAL_TIME_LIMIT_S)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, previous)


@contextmanager
def _logging_disabled() -> Iterator[None]:
    """Drop log lines below critical; a trial writes thousands."""
    previous = structlog.get_config()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL),
        cache_logger_on_first_use=False,
    )
    try:
        yield
    finally:
        structlog.configure(**previous)


class _TrialRunner:
    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        injections: tuple[Injection, ...],
        parts: SystemParts | None,
        trial: Trial,
    ) -> None:
        self._scenario = scenario
        self._seed = seed
        self._injections = list(injections)
        self._parts = parts
        self._trial = trial
        self._fault_names = {injection.fault.name for injection in injections}
        self._active_faults = 0
        self._last_fault_ended_at = 0.0
        self._observed_versions: list[tuple[float, SimulatedHost, int]] = []

    async def main(self) -> None:
        self._system = system = SimulatedSystem(
            layout=self._scenario.layout, seed=self._seed, parts=self._parts
        )
        self._callers = Callers(system)
        self._context = ScenarioContext(system=system, callers=self._callers)
        async with trio.open_nursery() as self._nursery:
            await system.start(self._nursery)
            system.on_step = self._on_step
            self._nursery.start_soon(self._poll_configurations)
            with trio.move_on_after(SCENARIO_LIMIT_S) as scope:
                await self._scenario.run(self._context)
            if scope.cancelled_caught:
                self._trial.add("stuck", f"the scenario took more than {SCENARIO_LIMIT_S} s")
            self._trial.steps = Counter(system.steps)
            self._injections.clear()
            while self._active_faults:
                await trio.sleep(0.05)
            for period in self._drain_periods():
                # Wait, so that the checks send requests while the upstream must not begin any.
                if period.boot_until_ms == float("inf"):
                    await trio.sleep_until(period.boot_from_ms / 1000)
            await self._check_recovery()
            self._check()
            self._trial.checked = True
            self._nursery.cancel_scope.cancel()
            system.resume_all()

    # Faults

    def _on_step(self, event: StepEvent, occurrence: int) -> None:
        for injection in list(self._injections):
            if injection.step == event.name and injection.occurrence == occurrence:
                self._injections.remove(injection)
                self._inject(injection.fault, event)

    def _inject(self, fault: Fault, event: StepEvent) -> None:
        self._trial.injected += 1
        self._active_faults += 1
        with outside_domains():
            end = fault.begin(self._system, event)
            self._nursery.start_soon(self._end_fault_after, fault.duration_s, end)

    async def _end_fault_after(self, duration_s: float, end: Any) -> None:
        await trio.sleep(duration_s)
        end()
        self._active_faults -= 1
        self._last_fault_ended_at = trio.current_time()

    # Recovery

    async def _check_recovery(self) -> None:
        started_at = trio.current_time()
        deadline = max(started_at, self._last_fault_ended_at) + RECOVERY_LIMIT_S
        async with trio.open_nursery() as nursery:
            for host in self._system.hosts.values():
                if host.accepts_requests:
                    for shard in range(SHARDS):
                        nursery.start_soon(self._check_served, host, shard, deadline)
            nursery.start_soon(self._check_configurations, deadline)
        self._trial.recovery_s = trio.current_time() - started_at

    def _is_isolated(self, shard: int) -> bool:
        """Return whether a unit may be unserved by design ("Not proved" in docs/fault-matrix.md).

        If holder and successor of an upstream that checks no orders are dead, no other host can
        know whether they still use it, so ``isolation_limit_s`` has to pass. A unit that moves away
        from such an upstream waits for the same time before it is granted to its next owner.
        """
        owner, previous, *_ = self._system.assignments()[shard]
        if self._unchecked_without_members(owner):
            return True
        upstream = self._system.upstreams[owner.split("/")[1]]
        unit = f"{SERVICE}/default/{shard}"
        awaits_release = (
            upstream.plan.checks_orders and unit not in upstream.model._ownership_log.units
        )
        return bool(previous) and awaits_release and self._unchecked_without_members(previous)

    def _unchecked_without_members(self, upstream_id: str) -> bool:
        """Return whether an upstream checks no orders and the members that used it are dead.

        These are its holder and successor, or those from which the present holder took over.
        """
        upstream = self._system.upstreams[upstream_id.split("/")[1]]
        row = self._system.store.read(upstream.id.row_key)
        assert row is not None
        dead = {h.host.member for h in self._system.all_hosts() if not h.alive}
        members = {m for m in (row.value["holder"], row.value["successor"]) if m}
        earlier_members = self._system.members_before_takeover(upstream.id.row_key)
        members_dead = members <= dead or (bool(earlier_members) and earlier_members <= dead)
        return members_dead and not upstream.plan.checks_orders

    async def _check_served(self, host: SimulatedHost, shard: int, deadline: float) -> None:
        if self._is_isolated(shard):
            self._trial.isolated += 1
            return
        key = self._system.key_of(shard)
        reason = ""
        while trio.current_time() < deadline:
            request = self._callers.lookup(key)
            with trio.move_on_at(deadline):
                attempt = await self._callers.attempt(request, host)
                if attempt.outcome is CallerOutcome.COMPLETED:
                    return
                reason = f"{attempt.outcome} {attempt.status} {attempt.reason}"
            await trio.sleep(0.1)
        self._trial.add("unserved", f"shard {shard} through {host.id}: {reason}")

    async def _check_configurations(self, deadline: float) -> None:
        """Check that the last accepted change is in force at every host that accepts requests."""
        expected_version = max(self._context.accepted_at, default=0)
        if not expected_version:
            return
        accepted_at = self._context.accepted_at[expected_version]
        deadline = max(accepted_at, self._last_fault_ended_at) + CONFIG_LIMIT_S
        for host in list(self._system.hosts.values()):
            while (
                host.accepts_requests and await self._version_in_force_at(host) < expected_version
            ):
                if trio.current_time() > deadline:
                    self._trial.add(
                        "config-late", f"version {expected_version} is not in force at {host.id}"
                    )
                    break
                await trio.sleep(0.1)

    async def _poll_configurations(self) -> None:
        while True:
            await trio.sleep(CONFIG_POLL_INTERVAL_S)
            if not self._context.accepted_at:
                continue
            for host in list(self._system.hosts.values()):
                if host.accepts_requests:
                    self._nursery.start_soon(self._version_in_force_at, host)

    async def _version_in_force_at(self, host: SimulatedHost) -> int:
        """Return the version of the newest change whose path a host does not answer with 404, or 1.

        The version is also recorded for ``_check_versions``. If the host sends no response, nothing
        is recorded and the result is 0.
        """
        started_at = trio.current_time()
        changes = [
            (int(row.value["version"]), str(row.value["change_id"]))
            for _, row in self._system.store.history
            if row.key == "config/current" and int(row.value["version"]) > 1
        ]
        for version, change_id in reversed(changes):
            request = self._callers.new_request(change_id, "k0", "GET", f"/{change_id}/k0")
            attempt = await self._callers.attempt(request, host)
            if attempt.status == 404:
                continue
            if attempt.status:
                self._observed_versions.append((started_at, host, version))
                return version
            return 0
        self._observed_versions.append((started_at, host, 1))
        return 1

    # Checks

    def _check(self) -> None:
        system, callers = self._system, self._callers
        records = [
            record for upstream in system.upstreams.values() for record in upstream.records()
        ]
        self._trial.runs = sum(len(record.runs) for record in records)
        once_requests = [
            request for request in callers.requests if request.idempotency_key and request.attempts
        ]
        checker = Checker(
            upstreams=records,
            callers=[request.record() for request in once_requests],
            shards={f"{SERVICE}/default": SHARDS},
            refusals=[
                Refusal(request_id=attempt.request_id, subject=request.target)
                for request in callers.requests
                for attempt in request.attempts
                if attempt.outcome is CallerOutcome.NOT_RUN
            ],
            drain_periods=self._drain_periods(),
            writes=[row for _, row in system.store.history],
        )
        for violation in checker.violations():
            self._trial.add(violation.kind.value, f"{violation.subject}: {violation.detail}")
        self._check_idempotent_requests()
        self._check_versions()
        self._check_stop()

    def _drain_periods(self) -> list[DrainPeriod]:
        periods = []
        for name, started_at in self._context.drain_started_at.items():
            checked_from_s = max(started_at, self._last_fault_ended_at) + DRAIN_LIMIT_S
            periods.append(
                DrainPeriod(
                    upstream=name, boot_from_ms=checked_from_s * 1000, boot_until_ms=float("inf")
                )
            )
        for name, since, until in self._system.leave_periods:
            checked_from_s = since + DRAIN_LIMIT_S
            periods.append(
                DrainPeriod(
                    upstream=name, boot_from_ms=checked_from_s * 1000, boot_until_ms=until * 1000
                )
            )
        return periods

    def _check_idempotent_requests(self) -> None:
        for request in self._callers.requests:
            for attempt in request.attempts:
                if not request.idempotency_key and attempt.outcome is CallerOutcome.FOREIGN:
                    self._trial.add("foreign-answer", f"{request.target} through {attempt.host}")

    def _check_versions(self) -> None:
        highest: dict[int, int] = {}
        for _, host, version in sorted(self._observed_versions, key=lambda item: item[0]):
            if version < highest.get(id(host), 0):
                self._trial.add(
                    "config-reverted",
                    f"{host.id} went back from version {highest[id(host)]} to {version}",
                )
            highest[id(host)] = max(version, highest.get(id(host), 0))

    def _check_stop(self) -> None:
        if not self._fault_names <= FAULTS_THAT_CUT_NO_RESPONSE:
            return
        for host_id, since in self._context.stop_started_at.items():
            for request in self._callers.requests:
                for attempt in request.attempts:
                    cut = attempt.outcome in (CallerOutcome.CUT, CallerOutcome.NO_ANSWER)
                    if cut and attempt.started_at < since:
                        self._trial.add(
                            "cut-by-stop",
                            f"{request.kind} {request.target} through {attempt.host} at "
                            f"{attempt.started_at:.3f}; {host_id} stops at {since:.3f}",
                        )
            if host_id not in self._context.stopped:
                self._trial.add("stuck", f"{host_id} did not stop")

"""Queue and slots of one upstream."""

from __future__ import annotations

import itertools
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from acaciasaddle.dispatch._api import UpstreamLoad
from acaciasaddle.dispatch._load import LoadAverage
from acaciasaddle.dispatch._load import ServiceTimes
from acaciasaddle.dispatch._policies import make_policy
from acaciasaddle.dispatch._waiting import WaitState
from acaciasaddle.errors import NotOwnerError
from acaciasaddle.errors import Outcome
from acaciasaddle.errors import RefusedError

if TYPE_CHECKING:
    from acaciasaddle.clock import Clock
    from acaciasaddle.config import Rules
    from acaciasaddle.dispatch._policies import AdmissionPolicy
    from acaciasaddle.dispatch._waiting import Waiting
    from acaciasaddle.model import UnitId
    from acaciasaddle.model import UpstreamId
    from acaciasaddle.observe import Metrics

MIN_RETRY_AFTER_S = 1.0
"""Smallest Retry-After: the header counts whole seconds."""

STEP = "dispatch.queue"


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionLimits:
    """Constants of admission; docs/decisions/admission.md has the figures behind them.

    ``max_queued`` bounds the waiting requests of an upstream; 6 slots with 50 ms of service
    time answer 360 requests within a target of 3 s. ``bulky_fraction`` is the part of the slots
    that bulky requests may use, rounded up, but never all of two or more. A request is not
    started with less time left than ``hopeless_factor`` expected service times.
    ``share_credit_s`` is the slot time that a rank may save up, and ``share_debt_s`` what it
    may use in advance, against its share.
    """

    max_queued: int = 512
    bulky_fraction: float = 0.5
    hopeless_factor: float = 1.0
    share_credit_s: float = 0.25
    share_debt_s: float = 1.0

    def bulky_slots(self, slots: int) -> int:
        """Return how many of the slots bulky requests may use at the same time."""
        if slots <= 1:
            return slots
        return min(slots - 1, math.ceil(slots * self.bulky_fraction))


DEFAULT_LIMITS = AdmissionLimits()


class UpstreamQueue:
    """Orders waiting requests and hands out the slots of an upstream."""

    def __init__(
        self,
        *,
        upstream: UpstreamId,
        clock: Clock,
        metrics: Metrics,
        rules: Rules,
        limits: AdmissionLimits = DEFAULT_LIMITS,
    ) -> None:
        self._upstream = upstream
        self._clock = clock
        self._metrics = metrics
        self._rules = rules
        self._limits = limits
        self._policy = self._make_policy(rules)
        self._slots = 0
        self._seq = itertools.count()
        self._held: dict[UnitId, dict[Waiting, None]] = {}
        self._running: dict[Waiting, None] = {}
        self._times = ServiceTimes()
        self._load = LoadAverage(now=clock.now())

    @property
    def queued(self) -> int:
        """Number of waiting requests."""
        return len(self._policy) + sum(len(items) for items in self._held.values())

    def expected(self, kind: str) -> float:
        """Return the observed service time of a kind in seconds, 0 if unknown."""
        return self._times.expected(kind)

    def configure(self, *, rules: Rules, slots: int) -> None:
        """Apply the rules in force and the number of slots."""
        if rules is not self._rules:
            if (rules.ranks, rules.admission) != (self._rules.ranks, self._rules.admission):
                waiting = sorted(self._policy, key=lambda item: item.seq)
                self._policy = self._make_policy(rules)
                for item in (
                    *waiting,
                    *self._running,
                    *(i for h in self._held.values() for i in h),
                ):
                    item.rank = min(item.rank, max(0, len(rules.ranks) - 1))
                for item in waiting:
                    self._policy.add(item)
            self._rules = rules
        if slots != self._slots:
            self._slots = slots
            self._start_next()

    async def acquire(self, item: Waiting, *, held: bool) -> None:
        """Wait for a slot.

        Raises ``RefusedError`` (not run) if the request cannot start before its deadline or the
        queue is full, and ``NotOwnerError`` if its unit moves away meanwhile.
        """
        item.seq = next(self._seq)
        item.rank = min(item.rank, max(0, len(self._rules.ranks) - 1))
        item.expected = self._times.expected(item.kind)
        if held:
            self._bound(item)
            self._held.setdefault(item.unit, {})[item] = None
        else:
            self._refuse_hopeless(item)
            self._bound(item)
            self._policy.add(item)
            self._start_next()
        if item.state is not WaitState.GRANTED:
            try:
                with trio.move_on_after(max(0.0, item.deadline - self._clock.now())):
                    await item.decided.wait()
            except trio.Cancelled:
                self._abandon(item)
                raise
        if item.state is WaitState.WAITING:
            self._remove(item)
            raise self._deadline_passed(item)
        if item.error is not None:
            raise item.error
        self._metrics.timing("dispatch.queue_time", (item.started - item.arrived) * 1000)

    def release(self, item: Waiting, *, observed: bool) -> None:
        """Free the slot of a request. ``observed``: its time in the slot was a service time."""
        if item not in self._running:
            return
        now = self._clock.now()
        seconds = now - item.started
        del self._running[item]
        self._load.add_running(now, -1)
        self._load.add_slot_time(now, item.unit, item.key, seconds)
        self._policy.finished(item, seconds)
        if observed:
            self._times.observe(item.kind, seconds)
            self._metrics.timing("dispatch.service_time", seconds * 1000)
        self._start_next()

    def hold(self, unit: UnitId) -> None:
        """Keep the waiting requests of a unit from starting."""
        items = self._held.setdefault(unit, {})
        for item in [item for item in self._policy if item.unit == unit]:
            self._policy.remove(item)
            items[item] = None

    def holds(self, unit: UnitId) -> bool:
        """Return whether requests of a unit are kept waiting."""
        return unit in self._held

    def resume(self, unit: UnitId) -> None:
        """Let the waiting requests of a unit go on."""
        for item in self._held.pop(unit, {}):
            self._policy.add(item)
        self._start_next()

    def reject(self, unit: UnitId) -> None:
        """Fail the waiting requests of a unit."""
        self.hold(unit)
        for item in self._held.pop(unit, {}):
            item.refuse(
                NotOwnerError(f"unit {unit} has moved away", step=STEP, peer=str(self._upstream))
            )

    def units(self) -> set[UnitId]:
        """Return the units that have waiting requests or are held."""
        return {item.unit for item in self._policy} | set(self._held)

    def load(self) -> UpstreamLoad:
        """Return the observed load."""
        now = self._clock.now()
        return UpstreamLoad(
            busy=self._load.busy(now, self._slots),
            queued=self.queued,
            unit_busy=self._load.units(now),
            key_busy=self._load.keys(now),
        )

    def predicted_wait(self, item: Waiting) -> float:
        """Return the time in seconds until a request that arrives now would get a slot."""
        if not self._policy and len(self._running) < self._slots:
            return 0.0
        now = self._clock.now()
        bulky_limit = self._limits.bulky_slots(self._slots)
        slots = bulky_limit
        if not item.bulky:
            slots = self._slots - min(bulky_limit, sum(other.bulky for other in self._running))
        # A request past its expected time is as likely as a new one to go on.
        left = [
            (
                other.started + other.expected - now
                if now < other.started + other.expected
                else other.expected / 2
            )
            for other in self._running
            if other.bulky == item.bulky
        ]
        first_free = min(left) if left and len(left) >= slots else 0.0
        return first_free + self._policy.work_ahead(item) / max(1, slots)

    def retry_after(self, item: Waiting) -> float:
        """Return the time in seconds after which a repeat of ``item`` has a chance."""
        budget = item.deadline - item.arrived
        late = self.predicted_wait(item) + item.expected - budget
        return max(MIN_RETRY_AFTER_S, float(math.ceil(late)))

    def _make_policy(self, rules: Rules) -> AdmissionPolicy:
        limits = self._limits
        return make_policy(rules, credit=limits.share_credit_s, debt=limits.share_debt_s)

    def _refuse_hopeless(self, item: Waiting) -> None:
        wait = self.predicted_wait(item)
        # With a free slot the request is tried in any case: otherwise a kind that was slow
        # once would never be measured again.
        if wait <= 0.0 or self._clock.now() + wait + item.expected <= item.deadline:
            return
        raise self._too_late(item, wait)

    def _too_late(self, item: Waiting, wait: float) -> RefusedError:
        self._metrics.count("dispatch.refused.predicted_wait")
        needed = (wait + item.expected) * 1000
        left = (item.deadline - self._clock.now()) * 1000
        return RefusedError(
            f"an answer would probably take {needed:.0f} ms, with {left:.0f} ms left",
            outcome=Outcome.NOT_RUN,
            status=503,
            retry_after=self.retry_after(item),
            step=STEP,
            peer=str(self._upstream),
        )

    def _bound(self, item: Waiting) -> None:
        if self.queued < self._limits.max_queued:
            return
        self._metrics.count("dispatch.refused.queue_full")
        error = RefusedError(
            f"{self._limits.max_queued} requests are waiting already",
            outcome=Outcome.NOT_RUN,
            status=503,
            retry_after=self.retry_after(item),
            step=STEP,
            peer=str(self._upstream),
        )
        # The longest lane gives way, so that a flood of one rank does not shut out the others.
        last = self._policy.longest_last()
        if last is None or (last.rank, last.bulky) == (item.rank, item.bulky):
            raise error
        self._policy.remove(last)
        last.refuse(error)

    def _start_next(self) -> None:
        bulky_limit = self._limits.bulky_slots(self._slots)
        self._policy.advance(self._clock.now(), self._slots)
        while len(self._running) < self._slots:
            bulky_running = sum(item.bulky for item in self._running)
            item = self._policy.pop(allow_bulky=bulky_running < bulky_limit)
            if item is None:
                return
            now = self._clock.now()
            if now >= item.deadline:
                item.refuse(self._deadline_passed(item))
                continue
            expected = self._times.expected(item.kind)
            if now > item.arrived and now + self._limits.hopeless_factor * expected > item.deadline:
                item.refuse(self._too_late(item, 0.0))
                continue
            item.grant(now)
            self._running[item] = None
            self._load.add_running(now, 1)
            self._policy.started(item)

    def _deadline_passed(self, item: Waiting) -> RefusedError:
        self._metrics.count("dispatch.refused.deadline")
        return RefusedError(
            "the deadline passed in the queue",
            outcome=Outcome.NOT_RUN,
            status=504,
            retry_after=self.retry_after(item),
            step=STEP,
            peer=str(self._upstream),
        )

    def _abandon(self, item: Waiting) -> None:
        if item.state is WaitState.GRANTED:
            self.release(item, observed=False)
        else:
            self._remove(item)

    def _remove(self, item: Waiting) -> None:
        if self._policy.remove(item):
            return
        self._held.get(item.unit, {}).pop(item, None)

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
from acaciasaddle.dispatch._waiting import SlotRequestState
from acaciasaddle.errors import NotOwnerError
from acaciasaddle.errors import Outcome
from acaciasaddle.errors import RefusedError

if TYPE_CHECKING:
    from acaciasaddle.clock import Clock
    from acaciasaddle.config import Rules
    from acaciasaddle.dispatch._policies import AdmissionPolicy
    from acaciasaddle.dispatch._waiting import SlotRequest
    from acaciasaddle.model import UnitId
    from acaciasaddle.model import UpstreamId
    from acaciasaddle.observe import Metrics

MIN_RETRY_AFTER_S = 1.0
"""Smallest Retry-After: the header holds whole seconds."""

STEP = "dispatch.queue"


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionLimits:
    """Constants of admission. The measurements behind them are in docs/decisions/admission.md.

    ``max_queued`` bounds the waiting requests of an upstream. It is more than the 360 requests that
    6 slots with 50 ms of service time answer within a target of 3 s. ``bulky_fraction`` is the
    fraction of the slots that bulky requests may use, rounded up; of two or more slots, at least
    one is kept for other requests. A request that had to wait is refused if less time is left than
    ``min_time_factor`` times its expected service time. ``share_credit_s`` is the slot time that a
    rank may save up, ``share_debt_s`` the most slot time beyond its share that is charged to it.
    """

    max_queued: int = 512
    bulky_fraction: float = 0.5
    min_time_factor: float = 1.0
    share_credit_s: float = 0.25
    share_debt_s: float = 1.0

    def bulky_slots(self, slots: int) -> int:
        """Return how many of the slots bulky requests may occupy at the same time."""
        if slots <= 1:
            return slots
        return min(slots - 1, math.ceil(slots * self.bulky_fraction))


DEFAULT_LIMITS = AdmissionLimits()


class UpstreamQueue:
    """Queues the requests for an upstream and grants them its slots."""

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
        self._paused: dict[UnitId, dict[SlotRequest, None]] = {}
        self._running: dict[SlotRequest, None] = {}
        self._service_times = ServiceTimes()
        self._load = LoadAverage(now=clock.now())

    @property
    def queued(self) -> int:
        """Number of waiting requests, including those of paused units."""
        return len(self._policy) + sum(len(items) for items in self._paused.values())

    def expected(self, kind: str) -> float:
        """Return the average service time of a kind in seconds, 0 if none was measured."""
        return self._service_times.expected(kind)

    def configure(self, *, rules: Rules, slots: int) -> None:
        """Apply the rules in force and the number of slots."""
        if rules is not self._rules:
            if (rules.ranks, rules.admission) != (self._rules.ranks, self._rules.admission):
                waiting = sorted(self._policy, key=lambda item: item.seq)
                self._policy = self._make_policy(rules)
                for item in (
                    *waiting,
                    *self._running,
                    *(i for items in self._paused.values() for i in items),
                ):
                    item.rank = min(item.rank, max(0, len(rules.ranks) - 1))
                for item in waiting:
                    self._policy.add(item)
            self._rules = rules
        if slots != self._slots:
            self._slots = slots
            self._start_next()

    async def acquire(self, item: SlotRequest, *, paused: bool) -> None:
        """Wait for a slot. ``paused`` is true if the request's unit is paused.

        Raises ``RefusedError`` (not run) if the request cannot be answered before its deadline
        or the queue is full, and ``NotOwnerError`` if this host may no longer send requests of
        its unit.
        """
        item.seq = next(self._seq)
        item.rank = min(item.rank, max(0, len(self._rules.ranks) - 1))
        item.expected = self._service_times.expected(item.kind)
        if paused:
            self._enforce_queue_limit(item)
            self._paused.setdefault(item.unit, {})[item] = None
        else:
            self._refuse_if_too_late(item)
            self._enforce_queue_limit(item)
            self._policy.add(item)
            self._start_next()
        if item.state is not SlotRequestState.GRANTED:
            try:
                with trio.move_on_after(max(0.0, item.deadline - self._clock.now())):
                    await item.decided.wait()
            except trio.Cancelled:
                self._abandon(item)
                raise
        if item.state is SlotRequestState.WAITING:
            self._remove(item)
            raise self._deadline_error(item)
        if item.error is not None:
            raise item.error
        self._metrics.timing("dispatch.queue_time", (item.started - item.arrived) * 1000)

    def release(self, item: SlotRequest, *, observed: bool) -> None:
        """Free the slot of a request.

        ``observed`` is true if the time in the slot is a valid measure of service time. Does
        nothing if the slot was freed before.
        """
        if item not in self._running:
            return
        now = self._clock.now()
        seconds = now - item.started
        del self._running[item]
        self._load.add_running(now, -1)
        self._load.add_slot_time(now, item.unit, item.key, seconds)
        self._policy.finished(item, seconds)
        if observed:
            self._service_times.observe(item.kind, seconds)
            self._metrics.timing("dispatch.service_time", seconds * 1000)
        self._start_next()

    def pause(self, unit: UnitId) -> None:
        """Keep the waiting requests of a unit from starting until they are resumed or rejected."""
        items = self._paused.setdefault(unit, {})
        for item in [item for item in self._policy if item.unit == unit]:
            self._policy.remove(item)
            items[item] = None

    def is_paused(self, unit: UnitId) -> bool:
        """Return whether a unit is paused in this queue."""
        return unit in self._paused

    def resume(self, unit: UnitId) -> None:
        """Put the paused requests of a unit back in the queue."""
        for item in self._paused.pop(unit, {}):
            self._policy.add(item)
        self._start_next()

    def reject(self, unit: UnitId) -> None:
        """Fail the waiting requests of a unit with ``NotOwnerError``."""
        self.pause(unit)
        for item in self._paused.pop(unit, {}):
            item.refuse(
                NotOwnerError(
                    f"this host may no longer send requests of unit {unit}",
                    step=STEP,
                    peer=str(self._upstream),
                )
            )

    def units(self) -> set[UnitId]:
        """Return the units that have waiting requests or are paused."""
        return {item.unit for item in self._policy} | set(self._paused)

    def load(self) -> UpstreamLoad:
        """Return the measured load."""
        now = self._clock.now()
        return UpstreamLoad(
            busy=self._load.busy(now, self._slots),
            queued=self.queued,
            unit_busy=self._load.units(now),
            key_busy=self._load.keys(now),
        )

    def predicted_wait(self, item: SlotRequest) -> float:
        """Return the time in seconds until ``item`` would probably get a slot if it arrived now."""
        if not self._policy and len(self._running) < self._slots:
            return 0.0
        now = self._clock.now()
        bulky_limit = self._limits.bulky_slots(self._slots)
        slots = bulky_limit
        if not item.bulky:
            slots = self._slots - min(bulky_limit, sum(other.bulky for other in self._running))
        # A request that exceeds its expected time is assumed to need another half of that time.
        remaining = [
            (
                other.started + other.expected - now
                if now < other.started + other.expected
                else other.expected / 2
            )
            for other in self._running
            if other.bulky == item.bulky
        ]
        first_free = min(remaining) if remaining and len(remaining) >= slots else 0.0
        return first_free + self._policy.work_ahead(item) / max(1, slots)

    def retry_after(self, item: SlotRequest) -> float:
        """Return the time in seconds after which a repeat of ``item`` could be answered in time."""
        budget = item.deadline - item.arrived
        overrun = self.predicted_wait(item) + item.expected - budget
        return max(MIN_RETRY_AFTER_S, float(math.ceil(overrun)))

    def _make_policy(self, rules: Rules) -> AdmissionPolicy:
        limits = self._limits
        return make_policy(rules, credit=limits.share_credit_s, debt=limits.share_debt_s)

    def _refuse_if_too_late(self, item: SlotRequest) -> None:
        wait = self.predicted_wait(item)
        # With a free slot the request is always tried. Otherwise a kind that was slow once
        # could be refused forever, since its service time would never be measured again.
        if wait <= 0.0 or self._clock.now() + wait + item.expected <= item.deadline:
            return
        raise self._too_late_error(item, wait)

    def _too_late_error(self, item: SlotRequest, wait: float) -> RefusedError:
        self._metrics.count("dispatch.refused.predicted_wait")
        needed = (wait + item.expected) * 1000
        remaining = (item.deadline - self._clock.now()) * 1000
        return RefusedError(
            f"a response would probably take {needed:.0f} ms, with {remaining:.0f} ms left",
            outcome=Outcome.NOT_RUN,
            status=503,
            retry_after=self.retry_after(item),
            step=STEP,
            peer=str(self._upstream),
        )

    def _enforce_queue_limit(self, item: SlotRequest) -> None:
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
        # The longest lane loses a request, so that a flood of one rank cannot shut out the others.
        last = self._policy.last_of_longest_lane()
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
                item.refuse(self._deadline_error(item))
                continue
            expected = self._service_times.expected(item.kind)
            if now > item.arrived and now + self._limits.min_time_factor * expected > item.deadline:
                item.refuse(self._too_late_error(item, 0.0))
                continue
            item.grant(now)
            self._running[item] = None
            self._load.add_running(now, 1)
            self._policy.started(item)

    def _deadline_error(self, item: SlotRequest) -> RefusedError:
        self._metrics.count("dispatch.refused.deadline")
        return RefusedError(
            "the deadline passed in the queue",
            outcome=Outcome.NOT_RUN,
            status=504,
            retry_after=self.retry_after(item),
            step=STEP,
            peer=str(self._upstream),
        )

    def _abandon(self, item: SlotRequest) -> None:
        if item.state is SlotRequestState.GRANTED:
            self.release(item, observed=False)
        else:
            self._remove(item)

    def _remove(self, item: SlotRequest) -> None:
        if self._policy.remove(item):
            return
        self._paused.get(item.unit, {}).pop(item, None)

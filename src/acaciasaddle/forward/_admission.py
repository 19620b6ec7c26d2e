"""Refusal of requests that their upstream cannot serve in time. No network, no clock.

Patterns answered:

* A flood at one owner (a hot key, or an owner that has turned slow). Its slots are full and no
  other upstream may help. A request whose turn would come after it is given up is refused at once,
  so that its caller may return when there is room, and takes no place in the queue.
* A flood of bulky work at a service that more urgent work shares. Bulky work has long deadlines and
  would fill every queue, so that urgent work with short ones finds no place. While urgent work
  arrives, bulky work is served where slots are free or nearly so.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field

SERVICE_TIME_WEIGHT = 0.1
"""Weight of the newest sample in the moving average of the time in a slot."""
MIN_RETRY_AFTER_S = 0.1
PRESSURE_WINDOW_S = 5.0
"""Urgent work that arrived within this time is expected to go on; a host of a large fleet gets only
a few requests a second of each kind."""
BULKY_QUEUE = 1.0
"""Places in an upstream's queue for bulky work, in parts of its slots, so that a slot that
becomes free finds work in spite of counts that are up to 0.4 s old."""


@dataclass(slots=True, kw_only=True)
class RankPressure:
    """Which ranks of work have lately arrived for each service. Rank 0 is the most urgent."""

    arrivals: dict[str, deque[tuple[float, int]]] = field(default_factory=dict)

    def note(self, service: str, rank: int, *, now: float) -> None:
        """Note an arrival."""
        arrivals = self.arrivals.setdefault(service, deque())
        arrivals.append((now, rank))
        while arrivals[0][0] < now - PRESSURE_WINDOW_S:
            arrivals.popleft()

    def more_urgent(self, service: str, rank: int) -> bool:
        """Whether more urgent work shares the service."""
        return any(seen < rank for _, seen in self.arrivals.get(service, ()))


@dataclass(slots=True, kw_only=True)
class SlotTimes:
    """Moving averages of the time that a request spends in a slot, by upstream.

    Upstreams without samples are taken to be like all together.
    """

    typical_s: float = 0.2
    by_upstream: dict[str, float] = field(default_factory=dict)

    def of(self, upstream_id: str) -> float:
        """Return the expected time in a slot in seconds."""
        return self.by_upstream.get(upstream_id, self.typical_s)

    def note(self, upstream_id: str, *, seconds: float, busy: int, slots: int) -> None:
        """Take a response time into account that began with ``busy`` requests at the upstream."""
        in_slot = seconds / max(1.0, busy / slots)
        known = self.of(upstream_id)
        self.by_upstream[upstream_id] = known + SERVICE_TIME_WEIGHT * (in_slot - known)
        self.typical_s += SERVICE_TIME_WEIGHT * (in_slot - self.typical_s) / 4


def expected_response_s(*, slot_s: float, busy: int, slots: int) -> float:
    """Return the response time of one more request at an upstream with ``busy`` requests."""
    waiting = max(0, busy + 1 - slots)
    return slot_s * (1.0 + waiting / slots)


def retry_after_s(
    *, slot_s: float, busy: int, slots: int, left_s: float, yields: bool = False
) -> float | None:
    """Return ``None`` to admit a request, or the seconds after which room is expected.

    ``left_s`` is the time until the request is given up; work that ``yields`` leaves the
    queue to other work.
    """
    if busy < slots:
        return None
    places = slots * (1.0 + BULKY_QUEUE)
    if yields and busy >= places:
        return max(MIN_RETRY_AFTER_S, slot_s * (busy + 1 - places) / slots)
    excess = expected_response_s(slot_s=slot_s, busy=busy, slots=slots) - left_s
    if excess <= 0:
        return None
    return max(MIN_RETRY_AFTER_S, excess)

"""Admission control for upstreams: functions and statistics that use no network and no clock.

It handles two kinds of overload:

* Overload of a single owner (a hot key, or an owner that has become slow). Its slots are full and
  no other upstream may serve the key. A request whose response is expected only after its deadline
  is refused at once: the caller can retry when there is room, and the queue stays shorter.
* Overload of a shared service by bulky requests. They have long deadlines and would fill every
  queue, leaving no place for urgent requests with short deadlines. While urgent requests arrive,
  bulky ones are only admitted where fewer requests are queued than there are slots.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field

SLOT_TIME_WEIGHT = 0.1
"""Weight of the newest sample in the moving average of an upstream's slot time."""
MIN_RETRY_AFTER_S = 0.1
ARRIVAL_WINDOW_S = 5.0
"""Urgent requests are expected to continue for this long after the last one. A host of a large
fleet gets only a few requests per second of each kind."""
BULKY_QUEUE_PER_SLOT = 1.0
"""Queued requests per slot at which an upstream gets no more bulky requests while urgent requests
arrive. With a queue this long, a slot that becomes free gets a queued request at once, although the
known numbers of requests are out of date: hosts report them only every 0.4 s."""


@dataclass(slots=True, kw_only=True)
class RecentArrivals:
    """Ranks of the requests of the last ``ARRIVAL_WINDOW_S`` seconds, by service.

    Rank 0 is the most urgent.
    """

    arrivals: dict[str, deque[tuple[float, int]]] = field(default_factory=dict)

    def note(self, service: str, rank: int, *, now: float) -> None:
        """Record an arrival and drop those that have left the window."""
        arrivals = self.arrivals.setdefault(service, deque())
        arrivals.append((now, rank))
        while arrivals[0][0] < now - ARRIVAL_WINDOW_S:
            arrivals.popleft()

    def has_more_urgent(self, service: str, rank: int) -> bool:
        """Return whether a request of a more urgent rank is in the service's window.

        Only ``note`` drops arrivals that have left the window.
        """
        return any(seen < rank for _, seen in self.arrivals.get(service, ()))


@dataclass(slots=True, kw_only=True)
class SlotTimes:
    """Moving averages of the time that a request occupies a slot, by upstream.

    An upstream without samples gets the average over all upstreams, in which each sample has a
    quarter of the weight ``SLOT_TIME_WEIGHT``.
    """

    typical_s: float = 0.2
    by_upstream: dict[str, float] = field(default_factory=dict)

    def of(self, upstream_id: str) -> float:
        """Return the expected slot time of an upstream in seconds."""
        return self.by_upstream.get(upstream_id, self.typical_s)

    def note(self, upstream_id: str, *, seconds: float, busy: int, slots: int) -> None:
        """Add a sample that is estimated from the response time of a request.

        ``busy`` is the number of requests at the upstream when it was sent, itself included. If
        that exceeds ``slots``, the slot time is taken to be ``slots / busy`` of the response time.
        """
        slot_s = seconds / max(1.0, busy / slots)
        average = self.of(upstream_id)
        self.by_upstream[upstream_id] = average + SLOT_TIME_WEIGHT * (slot_s - average)
        self.typical_s += SLOT_TIME_WEIGHT * (slot_s - self.typical_s) / 4


def expected_response_s(*, slot_s: float, busy: int, slots: int) -> float:
    """Return the expected response time of a new request at an upstream with ``busy`` requests."""
    waiting = max(0, busy + 1 - slots)
    return slot_s * (1.0 + waiting / slots)


def retry_after_s(
    *, slot_s: float, busy: int, slots: int, remaining_s: float, yields: bool = False
) -> float | None:
    """Return ``None`` to admit a request, or the seconds after which room is expected.

    ``busy`` is the number of requests at the upstream, and ``remaining_s`` the time until the
    deadline. A request that ``yields`` is only admitted while fewer than ``BULKY_QUEUE_PER_SLOT``
    requests per slot are queued.
    """
    if busy < slots:
        return None
    places = slots * (1.0 + BULKY_QUEUE_PER_SLOT)
    if yields and busy >= places:
        return max(MIN_RETRY_AFTER_S, slot_s * (busy + 1 - places) / slots)
    excess = expected_response_s(slot_s=slot_s, busy=busy, slots=slots) - remaining_s
    if excess <= 0:
        return None
    return max(MIN_RETRY_AFTER_S, excess)

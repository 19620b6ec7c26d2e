"""Refusal of requests that their only upstream would serve too late. No network, no clock.

Pattern answered: a flood at one owner (a hot key, or an owner that has turned slow). Its slots are
full and no other upstream may help. If everything is sent to it, its queue grows until every
request is late; if the queue is kept as short as the latency objective allows, the owner serves as
many requests, and most of them in time.
"""

from __future__ import annotations

from dataclasses import dataclass

OBJECTIVE_FACTOR = 1.0
"""Expected response times up to this part of the latency objective are accepted."""
SERVICE_TIME_WEIGHT = 0.1
"""Weight of the newest sample in the moving average of the time in a slot."""
MIN_RETRY_AFTER_S = 0.1


@dataclass(slots=True, kw_only=True)
class SlotTimes:
    """Moving averages of the time that a request spends in a slot, by upstream.

    Upstreams without samples are taken to be like all together.
    """

    typical_s: float = 0.2
    by_upstream: dict[str, float] | None = None

    def of(self, upstream_id: str) -> float:
        """Return the expected time in a slot in seconds."""
        return (self.by_upstream or {}).get(upstream_id, self.typical_s)

    def note(self, upstream_id: str, *, seconds: float, busy: int, slots: int) -> None:
        """Take a response time into account that began with ``busy`` requests at the upstream."""
        in_slot = seconds / max(1.0, busy / slots)
        if self.by_upstream is None:
            self.by_upstream = {}
        known = self.by_upstream.get(upstream_id, self.typical_s)
        self.by_upstream[upstream_id] = known + SERVICE_TIME_WEIGHT * (in_slot - known)
        self.typical_s += SERVICE_TIME_WEIGHT * (in_slot - self.typical_s) / 4


def expected_response_s(*, slot_s: float, busy: int, slots: int) -> float:
    """Return the response time of one more request at an upstream with ``busy`` requests."""
    waiting = max(0, busy + 1 - slots)
    return slot_s * (1.0 + waiting / slots)


def retry_after_s(
    *, slot_s: float, busy: int, slots: int, elapsed_s: float, objective_s: float, left_s: float
) -> float | None:
    """Return ``None`` to admit a request, or the seconds after which room is expected.

    ``elapsed_s`` is the age of the request and ``left_s`` the time until it is given up.
    """
    if busy < slots:
        return None
    expected = expected_response_s(slot_s=slot_s, busy=busy, slots=slots)
    limit = min(objective_s * OBJECTIVE_FACTOR, elapsed_s + left_s)
    excess = elapsed_s + expected - limit
    if excess <= 0:
        return None
    return max(MIN_RETRY_AFTER_S, excess)

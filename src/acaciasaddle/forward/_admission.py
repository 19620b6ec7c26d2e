"""Refusal of requests that their only upstream cannot serve in time. No network, no clock.

Pattern answered: a flood at one owner (a hot key, or an owner that has turned slow). Its slots are
full and no other upstream may help. A request whose turn would come after it is given up is
refused at once, so that its caller may return when there is room, and takes no place in the queue.
"""

from __future__ import annotations

from dataclasses import dataclass

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


def retry_after_s(*, slot_s: float, busy: int, slots: int, left_s: float) -> float | None:
    """Return ``None`` to admit a request, or the seconds after which room is expected.

    ``left_s`` is the time until the request is given up.
    """
    if busy < slots:
        return None
    excess = expected_response_s(slot_s=slot_s, busy=busy, slots=slots) - left_s
    if excess <= 0:
        return None
    return max(MIN_RETRY_AFTER_S, excess)

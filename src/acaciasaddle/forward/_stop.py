"""Which requests a host that stops still takes. This module uses no network and no clock."""

from __future__ import annotations

from dataclasses import dataclass

EARLY_S = 3.0
"""A request that a stopping host takes later than this after the signal must not be broken off."""
SAFETY_FACTOR = 3.0
"""A repeatable request is taken early in a stop if this many times its expected response time is
left."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannedStop:
    """A planned stop of this host; times are on trio's clock.

    ``announced_at`` is the time of the signal. Requests that are still in progress at ``ends_at``
    are broken off.
    """

    announced_at: float
    ends_at: float

    def allows(
        self, *, now: float, request_ends_at: float, expected_s: float, repeatable: bool
    ) -> bool:
        """Return whether a request may be sent to an upstream now.

        ``request_ends_at`` is when it is given up, and ``expected_s`` its expected response time. A
        request that is given up before the stop ends is never broken off. Another host can serve
        the others for their whole time, but early in the stop a repeatable one that will probably
        be answered in time need not go there.
        """
        if request_ends_at <= self.ends_at:
            return True
        if not repeatable or now > self.announced_at + EARLY_S:
            return False
        return now + SAFETY_FACTOR * expected_s <= self.ends_at

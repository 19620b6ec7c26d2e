"""The end of leases, and what the coordinator knows of each owner of keys."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

import trio

CLOCK_DRIFT_FACTOR = 1.02
"""An upstream's clock may run 2% slow, so its leases may last 2% longer."""
TIMER_MARGIN_S = 0.15
"""Allows for the rounding of timers on both sides."""

MIN_LEASE_S = 0.1

MAX_CONCURRENT_RELEASES = 24
"""Concurrent releases at one upstream, each on its own connection. Upstreams of the smallest
deployment accept 130 connections from all hosts together."""


def lease_end(arrives_by: float, lease_s: float) -> float:
    """Return when a lease has certainly ended if its grant arrived at a given time or before."""
    return arrives_by + lease_s * CLOCK_DRIFT_FACTOR + TIMER_MARGIN_S


@dataclass(slots=True, kw_only=True)
class OwnerState:
    """What the coordinator knows of one incarnation of an upstream that holds or held keys.

    Leases whose grants were answered or given up have certainly ended by ``settled_until``.
    ``grants_in_progress`` has the end of the lease of each other grant, by its number.
    ``failing_since`` is the time of the first failed grant since the last success, or ``None``. A
    ``lost`` upstream is given no keys. An incarnation that has ``ended`` holds no keys any more.
    ``renewing`` is true while a task renews its leases. ``release_slots`` limits concurrent
    releases; at a lost upstream, ``lost_release_lock`` allows only one at a time.
    """

    settled_until: float
    grant_count: int = 0
    grants_in_progress: dict[int, float] = field(default_factory=dict)
    failing_since: float | None = None
    lost: bool = False
    ended: bool = False
    renewing: bool = False
    lost_release_lock: trio.Lock = field(default_factory=trio.Lock)
    release_slots: trio.Semaphore = field(
        default_factory=lambda: trio.Semaphore(MAX_CONCURRENT_RELEASES)
    )

    @property
    def held_until(self) -> float:
        """Time by which all leases granted so far, and those being granted, have ended."""
        return max(self.settled_until, *self.grants_in_progress.values(), 0.0)

    def record_grant(self, *, now: float, timeout_s: float, lease_s: float) -> int:
        """Record a grant that is about to be sent, and that arrives within its timeout or never.

        Return a number to be passed to ``settle_grant``.
        """
        self.grant_count += 1
        self.grants_in_progress[self.grant_count] = lease_end(now + timeout_s, lease_s)
        return self.grant_count

    def lease_without_extension(self, *, now: float, timeout_s: float, longest_s: float) -> float:
        """Return the longest lease, up to ``longest_s``, that leaves ``held_until`` as it is."""
        remaining_s = self.held_until - lease_end(now + timeout_s, 0.0)
        return min(longest_s, max(MIN_LEASE_S, remaining_s / CLOCK_DRIFT_FACTOR))

    def settle_grant(self, number: int, *, carried_out: bool) -> None:
        """Record that a grant has been answered or given up.

        One that was certainly not ``carried_out`` no longer counts; other grants are not affected.
        """
        until = self.grants_in_progress.pop(number)
        if carried_out:
            self.settled_until = max(self.settled_until, until)

    def record_success(self) -> None:
        """Record a successful grant or probe, so that the upstream is not lost."""
        self.failing_since = None
        self.lost = False

    def record_failure(self, *, now: float, lost_after_s: float) -> bool:
        """Record a failed grant. Return whether it makes the upstream lost."""
        if self.failing_since is None:
            self.failing_since = now
        became_lost = not self.lost and now - self.failing_since >= lost_after_s
        self.lost = self.lost or became_lost
        return became_lost

"""When the leases of keys have surely ended."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

import trio

CLOCK_DRIFT = 1.02
"""An upstream's clock may run 2% slow, so its leases last longer by that."""
MARGIN_S = 0.15
"""Covers the rounding of timers on both sides."""

MAX_RELEASES = 24
"""Releases at one upstream at a time, each on a connection of its own. Upstreams of the smallest
deployment accept 130 connections from all hosts together."""


def lease_end(arrived_by: float, lease_s: float) -> float:
    """Return when a lease has surely ended whose grant arrived at the latest at a given time."""
    return arrived_by + lease_s * CLOCK_DRIFT + MARGIN_S


@dataclass(slots=True, kw_only=True)
class Tenure:
    """What the coordinator knows of one incarnation of an upstream that holds keys.

    ``held_until`` is the time by which all leases granted so far have surely ended.
    ``failing_since`` is the time of the first of the failures in a row, or ``None``. An
    incarnation that has ``ended`` holds nothing any more. One release at a time is tried at a lost
    upstream, and ``releases`` bounds those at any other.
    """

    held_until: float
    failing_since: float | None = None
    lost: bool = False
    ended: bool = False
    renewing: bool = False
    releasing: trio.Lock = field(default_factory=trio.Lock)
    releases: trio.Semaphore = field(default_factory=lambda: trio.Semaphore(MAX_RELEASES))

    def sending(self, *, now: float, timeout_s: float, lease_s: float) -> float:
        """Note that a grant is about to be sent; it arrives within its timeout or never.

        Returns what ``not_sent`` takes.
        """
        before = self.held_until
        self.held_until = max(before, lease_end(now + timeout_s, lease_s))
        return before

    def not_sent(self, before: float) -> None:
        """Take back ``sending``: the grant did not leave this host."""
        self.held_until = before

    def answered(self) -> None:
        """Note that the upstream answered."""
        self.failing_since = None
        self.lost = False

    def failed(self, *, now: float, lost_after_s: float) -> bool:
        """Note a failure; returns whether the upstream is lost from now on."""
        if self.failing_since is None:
            self.failing_since = now
        became_lost = not self.lost and now - self.failing_since >= lost_after_s
        self.lost = self.lost or became_lost
        return became_lost

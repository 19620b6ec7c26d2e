"""Times that leases and authority are built on, in seconds."""

from __future__ import annotations

LEASE_S = 0.4
RENEW_INTERVAL_S = 0.13
# One renewal may take longer than the interval; a late one extends nothing, so it is abandoned.
ORDER_TIMEOUT_S = 0.2
AUTHORITY_S = 0.25
# Bound on the difference in rate between two machines' clocks over the times above.
CLOCK_DRIFT = 0.01
# Wait after a lease has expired before the units move: a host under load answers late.
LOSS_GRACE_S = 0.15
SUCCESSOR_SILENT_S = 0.16
# A host that acts as holder before the row names it must have asked all other hosts of its data
# centre for newer rows within this time.
ACTING_S = 1.0
ACTING_CHECK_S = 0.3
# After a new successor knows its row, a replaced one has stopped acting, and the lease that it
# last renewed has expired.
REPLACED_STOPS_S = (ACTING_S + LEASE_S + ORDER_TIMEOUT_S) * (1 + CLOCK_DRIFT)
CALL_TIMEOUT_S = 0.5
HOLDER_SUSPECT_S = 2.0
MOVE_BATCH = 16
REBALANCE_INTERVAL_S = 0.3
DRAIN_LIMIT_S = 2.0
# The averages of load need this time to show the effect of a move; moving earlier overshoots.
SETTLE_S = 10.0


def at_most(duration: float) -> float:
    """Return the longest time that another clock may take for a duration."""
    return duration * (1 + CLOCK_DRIFT)


def at_least(duration: float) -> float:
    """Return the shortest time that another clock may take for a duration."""
    return duration * (1 - CLOCK_DRIFT)

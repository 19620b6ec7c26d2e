"""Timing constants and limits of leases, authority and moves.

Names of times end in ``_S``, for seconds.
"""

from __future__ import annotations

LEASE_S = 0.4
RENEW_INTERVAL_S = 0.13
# A renewal may take longer than the interval. One that takes longer than this is abandoned, since
# the lease that it confirms is counted from the renewal before it and has then almost expired.
ORDER_TIMEOUT_S = 0.2
# A holder may send orders to an upstream for this time after it sent a heartbeat that its successor
# confirmed.
AUTHORITY_S = 0.25
# Upper bound on the relative difference in rate between two clocks, of hosts or of a host and an
# upstream.
CLOCK_DRIFT = 0.01
# An upstream that does not answer is treated as lost, and its units are moved, this long after its
# last lease expired. The wait is needed because an answer comes late if the upstream or this host
# is under load.
LOSS_GRACE_S = 0.15
# A successor whose last confirmation is older than this is replaced.
SUCCESSOR_SILENT_S = 0.16
# A host that acts as holder before the row names it may send orders to the upstream for this time
# after it began to act, or after it last asked all other live hosts of its data centre, except the
# former holder, for newer rows and all of them replied.
ACTING_LIMIT_S = 1.0
ACTING_CHECK_S = 0.3
# Longest time from the moment when a new successor has the row that names it until the replaced one
# has stopped acting and the last lease that it renewed has expired.
REPLACED_SUCCESSOR_STOPS_S = (ACTING_LIMIT_S + LEASE_S + ORDER_TIMEOUT_S) * (1 + CLOCK_DRIFT)
CALL_TIMEOUT_S = 0.5
# If neither holder nor successor has responded for this time, the preferred host takes over through
# the table. Other hosts wait three times as long. A host counts as responding for this time after
# its last message.
HOLDER_SUSPECT_S = 2.0
MOVE_BATCH_UNITS = 16
REBALANCE_INTERVAL_S = 0.3
DRAIN_LIMIT_S = 2.0
# Time until the load averages show the effect of a move. Moving again earlier would overshoot.
LOAD_SETTLE_S = 10.0


def at_most(duration: float) -> float:
    """Return the longest time that may pass here while another clock counts a duration."""
    return duration * (1 + CLOCK_DRIFT)


def at_least(duration: float) -> float:
    """Return the shortest time that may pass here while another clock counts a duration."""
    return duration * (1 - CLOCK_DRIFT)

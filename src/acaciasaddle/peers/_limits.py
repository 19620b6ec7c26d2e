"""Timeouts, periods and size limits of peer connections."""

from __future__ import annotations

HEARTBEAT_PERIOD_S = 0.08
PARTNER_MAX_SILENCE_S = 0.24
"""Three heartbeat periods, and less than the 250 ms for which the confirmation of a successor is
valid."""

MAX_SILENCE_S = 1.0
"""A dialled connection to a member that is not a partner is closed if it is silent for this time
while the answer to a heartbeat or the reply to a call is awaited."""

ALIVE_WITHIN_S = 1.0
"""A request that must run at most once is sent only on a connection that delivered a frame within
this time; otherwise it waits for a frame, such as the answer to a heartbeat. On a dead connection
the outcome of the request would be unknown."""

ACCEPTED_MAX_SILENCE_S = 3.0
"""An accepted connection that has requests in progress but received nothing for this time is dead:
the dialling side sends a heartbeat about once a second while it has open requests."""

PROBE_AFTER_S = 0.3
"""A connection in use is probed with a heartbeat if nothing was received and no heartbeat was sent
on it for this time."""

PROBE_PERIOD_S = 1.0
"""A connection in use is also probed if its last heartbeat is older than this."""

CHECK_PERIOD_S = 0.24
"""Period of the checks of all connections except those that were dialled to partners."""

DIGEST_PERIOD_S = 1.0
DIGEST_PEERS = 4
"""Number of random members, other than partners, that are sent a heartbeat in each period."""

IDLE_TIMEOUT_S = 60.0
ACCEPTED_IDLE_TIMEOUT_S = 75.0
"""Longer than ``IDLE_TIMEOUT_S``, so that the dialling side closes first. With equal timeouts a new
request could arrive on a connection that the accepting side is closing."""

PAUSE_THRESHOLD_S = 0.2
"""If the supervising task wakes up late by more than this, the process was paused. The silence of
peers is then counted from that moment, since their messages wait unread in the socket."""

DIAL_TIMEOUT_S = 1.0
BACKOFF_MIN_S = 0.05
BACKOFF_MAX_S = 2.0
PARTNER_BACKOFF_MAX_S = 0.1
"""Short, since authority over an upstream ends 250 ms after the last heartbeat that the partner
confirmed."""

HELLO_TIMEOUT_S = 1.0
LEAVING_GRACE_S = 0.5
"""Maximum time that a stopping host waits, once its streams have ended, for peers to close their
connections, for calls in progress and for queued frames."""

WINDOW_BYTES = 262_144
CHUNK_BYTES = 65_536
CREDIT_STEP_BYTES = 65_536
"""Credit is returned in steps of this size, so that small chunks don't cost one message each."""

CONTROL_QUEUE_BYTES = 1_048_576
ROWS_QUEUE_BYTES = 1_048_576
BODY_QUEUE_BYTES = 262_144
PUSH_QUEUE_BYTES = 8_388_608
"""Pushed rows beyond this are dropped. The peer gets them from its regular polls of the table."""

URGENT_QUEUE_FRAMES = 10_000
"""A peer for which more heartbeats, credits and resets are queued has stopped reading."""

BATCH_BODY_BYTES = 65_536
"""A write takes no further body frame once it holds this much body data, since a heartbeat that is
queued meanwhile has to wait for the whole write."""

ROWS_PER_SLICE = 8
"""Rows per message. Encoding or decoding 1,100 rows of 4 KB at once takes 130 to 260 ms, during
which no heartbeat is answered; 8 rows take about 2 ms."""

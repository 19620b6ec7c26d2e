"""Times and sizes of peer connections."""

from __future__ import annotations

HEARTBEAT_S = 0.08
PARTNER_SILENCE_S = 0.24
"""Three heartbeats. A successor's confirmation is valid for 250 ms, so a later finding would come
too late."""

SILENCE_S = 1.0
CONFIRM_S = 1.0
"""A request that must run at most once goes only over a connection that delivered something within
this time; otherwise a heartbeat is answered first. On a dead connection its outcome would be
unknown."""

ACCEPTED_SILENCE_S = 3.0
"""An accepted connection with work in progress and no message for this time has lost its dialler,
which sends a heartbeat at least once a second while it has work open."""

PROBE_AFTER_S = 0.3
"""A connection in use that has been quiet for this time is probed by a heartbeat."""

PROBE_PERIOD_S = 1.0
OTHERS_CHECK_S = 0.24
DIGEST_PERIOD_S = 1.0
DIGEST_PEERS = 4
IDLE_S = 60.0
ACCEPTED_IDLE_S = 75.0
"""Longer than ``IDLE_S``: if both sides closed at the same age, new work could meet a closing
connection."""

PAUSE_S = 0.2
"""A supervising task that wakes later than planned by this means that the process was paused.
Silence is then counted anew, since the messages of the peers wait unread in the socket."""

DIAL_TIMEOUT_S = 1.0
BACKOFF_MIN_S = 0.05
BACKOFF_MAX_S = 2.0
PARTNER_BACKOFF_MAX_S = 0.1
"""Authority over an upstream ends 250 ms after the partner's last answer."""

HELLO_TIMEOUT_S = 1.0
LEAVING_GRACE_S = 0.5
"""Time for peers to close their connections to a host that stops."""

WINDOW_BYTES = 262_144
CHUNK_BYTES = 65_536
CREDIT_STEP_BYTES = 65_536
"""Credit is returned in steps of this size, so that small chunks do not cost a message each."""

CONTROL_QUEUE_BYTES = 1_048_576
ROWS_QUEUE_BYTES = 1_048_576
BODY_QUEUE_BYTES = 262_144
PUSH_QUEUE_BYTES = 8_388_608
"""Pushed rows beyond this are dropped: a peer that reads so slowly polls the table anyway."""

URGENT_QUEUE_FRAMES = 10_000
"""A peer that lets more heartbeats, credits and resets pile up does not read."""

BATCH_BODY_BYTES = 65_536
"""Body data in one write; a heartbeat queued meanwhile waits at most for that much."""

SLICE_ROWS = 8
"""Rows in one message. Encoding or decoding 1,100 rows of 4 KB at once takes 130 to 260 ms, during
which no heartbeat is answered; 8 rows take about 2 ms."""

"""State shared by the connections of a hub: identity, handlers, confirmations and digests."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from acaciasaddle.peers._api import Digest

if TYPE_CHECKING:
    from acaciasaddle.clock import Clock
    from acaciasaddle.observe import Metrics
    from acaciasaddle.peers._api import CallHandler
    from acaciasaddle.peers._api import RowsHandler
    from acaciasaddle.peers._api import WorkHandler
    from acaciasaddle.wire import Call

RETENTION_S = 60.0
"""Time for which clock readings and digests of removed members are kept. A takeover waits a few
seconds at most, so older readings have no effect."""


class HubState:
    """State shared by the connections of one hub.

    ``resumed_at`` is when this process last continued after a pause. ``withheld`` has the members
    whose heartbeats are answered without confirming them. ``activity_ended`` wakes tasks that wait
    for the end of streams, calls or connections.
    """

    def __init__(self, *, member: str, data_centre: str, clock: Clock, metrics: Metrics) -> None:
        self.member = member
        self.data_centre = data_centre
        self.address = ""
        self.clock = clock
        self.metrics = metrics
        self.config_version = 0
        self.revision = 0
        self.stopping = False
        self.resumed_at = -math.inf
        self.confirmed_at: dict[str, float] = {}
        self.confirmation_sent_at: dict[str, float] = {}
        self.heard_at: dict[str, float] = {}
        self.withheld: set[str] = set()
        self.digests: dict[str, Digest] = {}
        self.call_handlers: dict[type[Call], CallHandler] = {}
        self.work_handler: WorkHandler | None = None
        self.rows_handler: RowsHandler | None = None
        self.activity_ended = trio.lowlevel.ParkingLot()

    def record_digest(
        self, *, member: str, data_centre: str, config_version: int, revision: int
    ) -> None:
        """Store the state that a peer reported about itself."""
        self.digests[member] = Digest(
            member=member,
            data_centre=data_centre,
            config_version=config_version,
            revision=revision,
            heard_at=self.clock.now(),
        )

    def discard_stale(self, keep: frozenset[str]) -> None:
        """Delete old clock readings and digests of peers that are not in ``keep``."""
        limit = self.clock.now() - RETENTION_S
        for readings in (self.confirmed_at, self.confirmation_sent_at, self.heard_at):
            for member, at in list(readings.items()):
                if member not in keep and at < limit:
                    del readings[member]
        for member, digest in list(self.digests.items()):
            if member not in keep and digest.heard_at < limit:
                del self.digests[member]

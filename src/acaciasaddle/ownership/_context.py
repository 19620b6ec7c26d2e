"""Services and state shared by the tasks of this package."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

import httpcore

from acaciasaddle.clock import Clock
from acaciasaddle.dispatch import Dispatcher
from acaciasaddle.mirror import Mirror
from acaciasaddle.observe import Metrics
from acaciasaddle.ownership._members import Members
from acaciasaddle.ownership._placement import Placement
from acaciasaddle.peers import PeerHub
from acaciasaddle.table import Table
from acaciasaddle.table import write_once

if TYPE_CHECKING:
    from acaciasaddle.config import Rules
    from acaciasaddle.model import Row
from acaciasaddle.model import UpstreamId
from acaciasaddle.ownership._held import HeldUpstream

Puts = Mapping[str, Callable[[str], dict[str, Any]]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Context:
    """Services that the tasks of this package use, and the upstreams that this host holds."""

    mirror: Mirror
    hub: PeerHub
    table: Table
    clock: Clock
    dispatcher: Dispatcher
    members: Members
    placement: Placement
    metrics: Metrics
    backend: httpcore.AsyncNetworkBackend
    held: dict[UpstreamId, HeldUpstream] = field(default_factory=dict)

    @property
    def member(self) -> str:
        """Member id of this host."""
        return self.members.member

    @property
    def rules(self) -> Rules | None:
        """Rules in force."""
        cfg = self.mirror.configuration
        return cfg.rules if cfg else None

    def local_load(self, upstream: UpstreamId) -> float | None:
        """Return the fraction of slot time in use at an upstream that this host holds.

        ``None`` if the host does not hold it, if the upstream does not answer, or if the average
        has not settled since the last move of units.
        """
        held = self.held.get(upstream)
        if held is None or not held.reachable or not held.moves.settled():
            return None
        return self.dispatcher.load(upstream).busy

    async def write(self, *, conditions: Mapping[str, int], puts: Puts) -> tuple[Row, ...]:
        """Write rows conditionally, apply them to the mirror and push them to peers.

        Raises ``PlatformError`` as ``write_once`` does.
        """
        result = await write_once(self.table, conditions=conditions, puts=puts)
        self.mirror.apply_rows(result.rows, source="own write")
        self.hub.push_rows(result.rows)
        return result.rows

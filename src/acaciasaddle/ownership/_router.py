"""Routing of a key to its unit, its owner and the owner's holder."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from acaciasaddle.errors import Outcome
from acaciasaddle.errors import RefusedError
from acaciasaddle.model import UnitId
from acaciasaddle.model import shard_of
from acaciasaddle.ownership._api import Route
from acaciasaddle.ownership._api import Router

if TYPE_CHECKING:
    from acaciasaddle.mirror import Configuration
    from acaciasaddle.mirror import Mirror
    from acaciasaddle.model import UpstreamId

ASSIGNMENT_RETRY_S = 1.0


class MirrorRouter(Router):
    """Routes by the rows of the mirror and by announced takeovers that are not in the table yet."""

    def __init__(self, *, mirror: Mirror) -> None:
        self._mirror = mirror
        self._announced: dict[UpstreamId, tuple[int, str]] = {}

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        task_status.started()
        await trio.sleep_forever()

    def announce(self, upstream: UpstreamId, *, term: int, member: str) -> None:
        """Note that ``member`` acts as holder at a term that the table may not have yet."""
        known = self._announced.get(upstream)
        if known is None or known[0] < term:
            self._announced[upstream] = (term, member)

    def holder(self, upstream: UpstreamId) -> tuple[str, str]:
        """Return holder and successor of an upstream; empty strings if unknown.

        The successor of a holder that has only been announced is unknown.
        """
        row = self._mirror.upstream_row(upstream)
        if row is None:
            return "", ""
        term, member = self._announced.get(upstream, (0, ""))
        if term > row.term:
            return member, ""
        return row.holder, row.successor

    def unit_of(self, cfg: Configuration, service: str, key: str) -> UnitId:
        """Return the unit of a key, which is its pin if it has one and its shard otherwise."""
        group = cfg.classifier.group_of(service, key)
        pins = self._mirror.pins_row(service)
        if pins is not None and f"{group}/{key}" in pins.units:
            return UnitId.pin(service, group, key)
        return UnitId(service, group, shard_of(key, self._shards(cfg, service, group)))

    def route(self, *, service: str, key: str) -> Route:
        cfg = self._mirror.configuration
        if cfg is None or not self._mirror.complete:
            raise self._not_ready(
                "this host has no configuration or no complete copy of the table yet", service
            )
        unit = self.unit_of(cfg, service, key)
        assignment = self._mirror.assignment(unit)
        if assignment is None:
            raise self._not_ready(f"unit {unit} has no owner yet", service)
        holder, successor = self.holder(assignment.owner_id)
        if not holder:
            raise self._not_ready(f"upstream {assignment.owner} has no holder yet", service)
        return Route(
            unit=unit,
            owner=assignment.owner_id,
            holder=holder,
            successor=successor,
            epoch=assignment.epoch,
            config_version=cfg.version,
        )

    def _shards(self, cfg: Configuration, service: str, group: str) -> int:
        # The first row of a group fixes its number of shards, whatever the configuration says.
        first = self._mirror.units_row(f"units/{service}/{group}/0")
        if first is not None:
            return first.shards
        for name, other, shards in cfg.groups():
            if (name, other) == (service, group):
                return shards
        raise self._not_ready(f"service {service} has no group {group}", service)

    def _not_ready(self, message: str, peer: str) -> RefusedError:
        return RefusedError(
            message,
            outcome=Outcome.NOT_RUN,
            status=503,
            retry_after=ASSIGNMENT_RETRY_S,
            step="route",
            peer=peer,
        )

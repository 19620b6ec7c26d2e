"""Placement: which upstream should own a unit."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from acaciasaddle.model import UnitId
from acaciasaddle.model import UpstreamId
from acaciasaddle.ownership._rendezvous import rendezvous_owner

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterator
    from collections.abc import Mapping

    from acaciasaddle.mirror import Configuration
    from acaciasaddle.mirror import Mirror
    from acaciasaddle.mirror import UpstreamInfo

# An upstream gives units away because of their number only if it owns more than this multiple of
# its fair share, plus one unit. This way moves made for load are not undone.
SURPLUS_RATIO = 1.3
# These units go only to upstreams that own less than this fraction of their fair share, for example
# new ones. Smaller differences are left to ``UnitBalancer``, which moves units by load.
FILL_RATIO = 0.6


@dataclass(frozen=True, slots=True, kw_only=True)
class Move:
    """A decision to move a unit."""

    unit: UnitId
    target: UpstreamId
    reason: str


class Placement(ABC):
    """Chooses owners of units."""

    @abstractmethod
    def choose(self, unit: UnitId, *, without: Collection[UpstreamId]) -> UpstreamId | None:
        """Return the best usable upstream for a unit, other than those in ``without``.

        ``None`` if there is none.
        """

    @abstractmethod
    def usable(self, service: str, group: str) -> list[UpstreamId]:
        """Return the upstreams that may be given units of a group now."""

    @abstractmethod
    def surplus(self, upstream: UpstreamId, limit: int) -> list[Move]:
        """Return at most ``limit`` moves away from an upstream that owns too many units."""


class RendezvousPlacement(Placement):
    """Chooses owners by rendezvous hashing, with the slots of the upstreams as weights.

    Moves shards from an upstream with far more than its fair share of a group to those with far
    less. The fair share is in proportion to the slots.
    """

    def __init__(self, *, mirror: Mirror) -> None:
        self._mirror = mirror
        self._usable_cache: dict[tuple[str, str], list[UpstreamInfo]] = {}
        self._usable_cache_serial = -1

    def choose(self, unit: UnitId, *, without: Collection[UpstreamId]) -> UpstreamId | None:
        cfg = self._mirror.configuration
        if cfg is None:
            return None
        candidates = [
            (str(info.id), float(info.entry.slots))
            for info in self._usable(cfg, unit.service, unit.group)
            if info.id not in without
        ]
        if not candidates:
            return None
        return UpstreamId.parse(rendezvous_owner(str(unit), candidates))

    def usable(self, service: str, group: str) -> list[UpstreamId]:
        cfg = self._mirror.configuration
        return [info.id for info in self._usable(cfg, service, group)] if cfg else []

    def surplus(self, upstream: UpstreamId, limit: int) -> list[Move]:
        cfg = self._mirror.configuration
        if cfg is None:
            return []
        moves: list[Move] = []
        for service, group, _ in cfg.groups():
            if service == upstream.service:
                moves.extend(self._group_surplus(cfg, upstream, group, limit - len(moves)))
        return moves

    def _group_surplus(
        self, cfg: Configuration, upstream: UpstreamId, group: str, limit: int
    ) -> Iterator[Move]:
        usable = {info.id: info for info in self._usable(cfg, upstream.service, group)}
        if upstream not in usable or len(usable) < 2:
            return
        owners = self._mirror.owners
        fair = _fair_shares(usable, owners.total(upstream.service, group))
        count = {uid: owners.count(str(uid), group) for uid in usable}
        if count[upstream] <= fair[upstream] * SURPLUS_RATIO + 1:
            return
        for unit, assignment in list(owners.units_of(str(upstream)).items()):
            if limit <= 0 or count[upstream] <= fair[upstream] * SURPLUS_RATIO + 1:
                return
            if unit.group != group or unit.is_pin or assignment.owner != str(upstream):
                continue
            least_filled = min(count, key=lambda uid: (count[uid] / fair[uid], str(uid)))
            if count[least_filled] >= fair[least_filled] * FILL_RATIO:
                return
            count[upstream] -= 1
            count[least_filled] += 1
            limit -= 1
            yield Move(unit=unit, target=least_filled, reason="rebalance")

    def _usable(self, cfg: Configuration, service: str, group: str) -> list[UpstreamInfo]:
        # Cached until a row changes, since looking up 790 upstreams took 2.7 ms for each unit.
        if self._usable_cache_serial != self._mirror.serial:
            self._usable_cache.clear()
            self._usable_cache_serial = self._mirror.serial
        found = self._usable_cache.get((service, group))
        if found is None:
            rows = ((i, self._mirror.upstream_row(i.id)) for i in cfg.candidates(service, group))
            found = [info for info, row in rows if row is not None and row.health == "ready"]
            self._usable_cache[(service, group)] = found
        return found


def _fair_shares(usable: Mapping[UpstreamId, UpstreamInfo], total: int) -> dict[UpstreamId, float]:
    slots = sum(info.entry.slots for info in usable.values())
    return {uid: total * info.entry.slots / slots for uid, info in usable.items()}

"""One version of the configuration, parsed and indexed for routing."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from acaciasaddle.config import DEFAULT_GROUP
from acaciasaddle.config import Classifier
from acaciasaddle.config import Upstream
from acaciasaddle.config import parse_inventory
from acaciasaddle.config import parse_rules
from acaciasaddle.model import CHUNK_SHARDS
from acaciasaddle.model import UpstreamId

if TYPE_CHECKING:
    from collections.abc import Iterator

    from acaciasaddle.config import Inventory
    from acaciasaddle.config import Rules
    from acaciasaddle.model import ConfigRow


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamInfo:
    """An upstream with its identifier."""

    id: UpstreamId
    entry: Upstream


class Configuration:
    """Parsed inventory and rules of one version of the configuration. Immutable."""

    def __init__(self, *, row: ConfigRow) -> None:
        source = f"config/current version {row.version}"
        self.version = row.version
        self.inventory: Inventory = parse_inventory(row.inventory, source)
        self.rules: Rules = parse_rules(row.rules, source)
        self.classifier = Classifier(self.rules)
        self.upstreams = {
            UpstreamId(svc.name, up.name): UpstreamInfo(id=UpstreamId(svc.name, up.name), entry=up)
            for svc in self.inventory.services
            for up in svc.upstreams
        }
        self._shards = {(svc.name, DEFAULT_GROUP): svc.shards for svc in self.inventory.services}
        self._allowed_data_centres: dict[tuple[str, str], frozenset[str]] = {}
        for group in self.rules.groups:
            self._shards[(group.service, group.name)] = group.shards
            self._allowed_data_centres[(group.service, group.name)] = frozenset(group.data_centres)

    def groups(self) -> Iterator[tuple[str, str, int]]:
        """Yield the service, the name and the number of shards of every group."""
        for (service, group), shards in self._shards.items():
            yield service, group, shards

    def chunks(self) -> Iterator[tuple[str, str, int, int]]:
        """Yield service, group, chunk number and number of shards for every row of units.

        The number of shards is that of the whole group.
        """
        for service, group, shards in self.groups():
            for chunk in range(-(-shards // CHUNK_SHARDS)):
                yield service, group, chunk, shards

    def allowed(self, upstream: UpstreamInfo, group: str) -> bool:
        """Return whether the upstream may own units of the group."""
        data_centres = self._allowed_data_centres.get((upstream.id.service, group))
        return data_centres is None or upstream.entry.data_centre in data_centres

    def candidates(self, service: str, group: str) -> list[UpstreamInfo]:
        """Return the active upstreams that may own units of the group, whatever their health."""
        return [
            info
            for info in self.upstreams.values()
            if info.id.service == service
            and info.entry.state == "active"
            and self.allowed(info, group)
        ]

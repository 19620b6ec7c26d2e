"""Checks that the field types do not make, such as those for duplicates, sums and references.

They work on the JSON values, not on the data classes, and skip malformed parts, so that their
findings can be reported together with those about single fields.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from acaciasaddle.config._fields import KEY_SEGMENT
from acaciasaddle.config._findings import Finding
from acaciasaddle.config._findings import Path
from acaciasaddle.config._findings import closest_match
from acaciasaddle.config._findings import one_of
from acaciasaddle.config._types import DEFAULT_GROUP

if TYPE_CHECKING:
    from collections.abc import Hashable
    from collections.abc import Iterable
    from collections.abc import Iterator

Record = tuple[Path, dict[str, Any]]
"""A JSON object and its path."""

SHARE_TOLERANCE = 1e-9
"""Shares that add up to 1 may exceed it in floating point, for example 0.2 + 0.4 + 0.3 + 0.1."""


def inventory_findings(value: Any, source: str) -> list[Finding]:
    """Return the findings about an inventory on its own."""
    collector = _FindingCollector(source)
    centres = list(_records(value, "data_centres"))
    services = list(_records(value, "services"))
    collector.check_unique(centres, "name", "a name that no other data centre has")
    collector.check_unique(services, "name", "a name that no other service has")
    upstreams: list[Record] = []
    for path, service in services:
        service_upstreams = list(_records(service, "upstreams", path))
        collector.check_unique(
            service_upstreams, "name", "a name that no other upstream of the service has"
        )
        upstreams += service_upstreams
        if not any(
            upstream.get("state", "active") == "active" for _, upstream in service_upstreams
        ):
            collector.add((*path, "upstreams"), "at least one", problem="no active upstream")
    collector.check_unique(upstreams, "address", "an address that no other upstream has")
    names = _names(centres)
    for record in upstreams:
        collector.check_reference(record, "data_centre", names, "a data centre of the inventory")
    return collector.findings


def rules_findings(value: Any, source: str) -> list[Finding]:
    """Return the findings about rules on their own."""
    collector = _FindingCollector(source)
    ranks = list(_records(value, "ranks"))
    kinds = list(_records(value, "kinds"))
    groups = list(_records(value, "groups"))
    collector.check_unique(ranks, "name", "a name that no other rank has")
    collector.check_unique(kinds, "name", "a name that no other kind has")
    collector.check_unique(
        groups, "name", "a name that no other group of the service has", scope="service"
    )
    collector.check_unique(
        groups, "key_prefix", "a prefix that no other group of the service has", scope="service"
    )
    collector.check_unique(
        list(_records(value, "access")), "caller", "a caller that no other entry has"
    )
    if not ranks:
        collector.add(("ranks",), "at least one", problem="no rank")
    shares = [rank["share"] for _, rank in ranks if _is_number(rank.get("share"))]
    if sum(shares) > 1 + SHARE_TOLERANCE:
        collector.add(("ranks",), "at most 1", problem=f"the shares sum to {sum(shares):g}")
    names = _names(ranks)
    for record in kinds:
        collector.check_reference(record, "rank", names, "a rank of the rules")
        path, kind = record
        if kind.get("once") is True and kind.get("idempotent") is True:
            collector.add((*path, "idempotent"), "false for a kind with once set", value=True)
    for path, group in groups:
        if group.get("name") == DEFAULT_GROUP:
            collector.add(
                (*path, "name"),
                "another name, since this one is reserved for keys that no group matches",
                value=DEFAULT_GROUP,
            )
    _check_duplicate_routes(kinds, collector)
    for path, entry in (*groups, *_records(value, "access")):
        seen: set[str] = set()
        for index, name in _strings(entry.get("data_centres")):
            if name in seen:
                collector.add((*path, "data_centres", index), "each data centre once", value=name)
            seen.add(name)
    return collector.findings


def reference_findings(inventory: Any, rules: Any, source: str) -> list[Finding]:
    """Return the findings about references from the rules to the inventory."""
    collector = _FindingCollector(source)
    services = list(_records(inventory, "services"))
    service_names = _names(services)
    centre_names = _names(_records(inventory, "data_centres"))
    groups = list(_records(rules, "groups"))
    for record in (*_records(rules, "kinds"), *groups):
        collector.check_reference(record, "service", service_names, "a service of the inventory")
    for path, entry in (*groups, *_records(rules, "access")):
        for index, name in _strings(entry.get("data_centres")):
            collector.check_name(
                (*path, "data_centres", index),
                name,
                centre_names,
                "a data centre of the inventory",
            )
    active_centres: dict[str, set[str]] = {}
    for _, service in services:
        if isinstance(service_name := service.get("name"), str):
            active_centres.setdefault(service_name, set()).update(
                upstream["data_centre"]
                for _, upstream in _records(service, "upstreams")
                if upstream.get("state", "active") == "active"
                and isinstance(upstream.get("data_centre"), str)
            )
    for path, group in groups:
        allowed = {name for _, name in _strings(group.get("data_centres"))} & centre_names
        service_name = group.get("service")
        if not isinstance(service_name, str) or not active_centres.get(service_name) or not allowed:
            continue  # Other findings report unknown names and services without active upstreams.
        if not allowed & active_centres[service_name]:
            collector.add(
                (*path, "data_centres"),
                one_of(active_centres[service_name], description="a data centre that has one"),
                problem=f"no active upstream of {service_name} for the group in "
                f"{', '.join(sorted(allowed))}",
            )
    return collector.findings


def settings_findings(settings: Any, inventory: Any, source: str) -> list[Finding]:
    """Return the findings about references from the settings to the inventory."""
    collector = _FindingCollector(source)
    names = _names(_records(inventory, "data_centres"))
    if isinstance(settings, dict):
        collector.check_reference(
            ((), settings), "data_centre", names, "a data centre of the inventory"
        )
    return collector.findings


def _check_duplicate_routes(kinds: list[Record], collector: _FindingCollector) -> None:
    """Add a finding for each kind with the method and path template of an earlier kind.

    Kinds of the same name are skipped, since the repeated name is a finding already.
    """
    kind_names: dict[tuple[str, str], str] = {}
    for path, kind in kinds:
        method, template = kind.get("method"), kind.get("path")
        if not isinstance(method, str) or not isinstance(template, str):
            continue
        if KEY_SEGMENT not in template:
            continue
        other = kind_names.setdefault((method, template), str(kind.get("name")))
        if other != str(kind.get("name")):
            collector.add(
                (*path, "path"),
                "a method and path that no other kind has",
                problem=f"{method} {template} is already used by kind {other}",
            )


class _FindingCollector:
    """Collects the findings about one source."""

    def __init__(self, source: str) -> None:
        self._source = source
        self.findings: list[Finding] = []

    def add(
        self,
        path: Path,
        expected: str,
        *,
        value: Any = None,
        problem: str = "",
        suggestion: str = "",
    ) -> None:
        self.findings.append(
            Finding(
                source=self._source,
                path=path,
                expected=expected,
                value=value,
                problem=problem,
                suggestion=suggestion,
            )
        )

    def check_unique(
        self, records: Iterable[Record], field: str, expected: str, *, scope: str = ""
    ) -> None:
        """Add a finding for each record that repeats the value of a field.

        If ``scope`` names another field, only records with the same value there are compared.
        """
        seen: set[Hashable] = set()
        for path, record in records:
            value, scope_value = record.get(field), record.get(scope, "")
            if not isinstance(value, str) or not isinstance(scope_value, str):
                continue
            if (scope_value, value) in seen:
                self.add((*path, field), expected, value=value)
            seen.add((scope_value, value))

    def check_reference(
        self, record: Record, field: str, names: set[str], description: str
    ) -> None:
        """Add a finding if the value of a field is a string that is not one of ``names``."""
        path, content = record
        if isinstance(name := content.get(field), str):
            self.check_name((*path, field), name, names, description)

    def check_name(self, path: Path, name: str, names: set[str], description: str) -> None:
        """Add a finding if a name is not one of ``names``."""
        if name not in names:
            suggestion = closest_match(name, names)
            self.add(
                path, one_of(names, description=description), value=name, suggestion=suggestion
            )


def _records(value: Any, field: str, path: Path = ()) -> Iterator[Record]:
    items = value.get(field) if isinstance(value, dict) else None
    if isinstance(items, list):
        for index, item in enumerate(items):
            if isinstance(item, dict):
                yield (*path, field, index), item


def _strings(value: Any) -> Iterator[tuple[int, str]]:
    if isinstance(value, list):
        for index, item in enumerate(value):
            if isinstance(item, str):
                yield index, item


def _names(records: Iterable[Record]) -> set[str]:
    return {name for _, item in records if isinstance(name := item.get("name"), str)}


def _is_number(value: Any) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool)

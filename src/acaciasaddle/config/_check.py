"""Checks that go beyond one field: duplicates, sums and references.

They work on the unparsed JSON values and skip what is malformed, so that all findings can be
reported at once, whatever else is wrong.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from acaciasaddle.config._fields import KEY_SEGMENT
from acaciasaddle.config._findings import Finding
from acaciasaddle.config._findings import Path
from acaciasaddle.config._findings import near_match
from acaciasaddle.config._findings import one_of
from acaciasaddle.config._types import DEFAULT_GROUP

if TYPE_CHECKING:
    from collections.abc import Hashable
    from collections.abc import Iterable
    from collections.abc import Iterator

Record = tuple[Path, dict[str, Any]]

SHARE_TOLERANCE = 1e-9
"""Shares such as 0.1 + 0.2 + 0.7 do not add up exactly in binary."""


def inventory_findings(value: Any, source: str) -> list[Finding]:
    """Return what is wrong within an inventory."""
    found = _Findings(source)
    centres = list(_records(value, "data_centres"))
    services = list(_records(value, "services"))
    found.duplicates(centres, "name", "a name that no other data centre has")
    found.duplicates(services, "name", "a name that no other service has")
    upstreams: list[Record] = []
    for path, service in services:
        own = list(_records(service, "upstreams", path))
        found.duplicates(own, "name", "a name that no other upstream of the service has")
        upstreams += own
        if not any(upstream.get("state", "active") == "active" for _, upstream in own):
            found.add((*path, "upstreams"), "at least one", problem="no active upstream")
    found.duplicates(upstreams, "address", "an address that no other upstream has")
    names = _names(centres)
    for record in upstreams:
        found.reference(record, "data_centre", names, "a data centre of the inventory")
    return found.findings


def rules_findings(value: Any, source: str) -> list[Finding]:
    """Return what is wrong within rules."""
    found = _Findings(source)
    ranks = list(_records(value, "ranks"))
    kinds = list(_records(value, "kinds"))
    groups = list(_records(value, "groups"))
    found.duplicates(ranks, "name", "a name that no other rank has")
    found.duplicates(kinds, "name", "a name that no other kind has")
    found.duplicates(
        groups, "name", "a name that no other group of the service has", scope="service"
    )
    found.duplicates(
        groups, "key_prefix", "a prefix that no other group of the service has", scope="service"
    )
    found.duplicates(list(_records(value, "access")), "caller", "a caller that no other entry has")
    if not ranks:
        found.add(("ranks",), "at least one", problem="no rank")
    shares = [rank["share"] for _, rank in ranks if _is_number(rank.get("share"))]
    if sum(shares) > 1 + SHARE_TOLERANCE:
        found.add(("ranks",), "at most 1", problem=f"the shares sum to {sum(shares):g}")
    names = _names(ranks)
    for record in kinds:
        found.reference(record, "rank", names, "a rank of the rules")
        path, kind = record
        if kind.get("once") is True and kind.get("idempotent") is True:
            found.add((*path, "idempotent"), "false for a kind that is once", value=True)
    for path, group in groups:
        if group.get("name") == DEFAULT_GROUP:
            found.add(
                (*path, "name"),
                "another name, since this is the group of all other keys",
                value=DEFAULT_GROUP,
            )
    _same_shapes(kinds, found)
    for path, entry in (*groups, *_records(value, "access")):
        seen: set[str] = set()
        for index, name in _texts(entry.get("data_centres")):
            if name in seen:
                found.add((*path, "data_centres", index), "each data centre once", value=name)
            seen.add(name)
    return found.findings


def reference_findings(inventory: Any, rules: Any, source: str) -> list[Finding]:
    """Return the references of rules to something that the inventory lacks."""
    found = _Findings(source)
    services = list(_records(inventory, "services"))
    service_names = _names(services)
    centre_names = _names(_records(inventory, "data_centres"))
    groups = list(_records(rules, "groups"))
    for record in (*_records(rules, "kinds"), *groups):
        found.reference(record, "service", service_names, "a service of the inventory")
    for path, entry in (*groups, *_records(rules, "access")):
        for index, name in _texts(entry.get("data_centres")):
            found.known(
                (*path, "data_centres", index),
                name,
                centre_names,
                "a data centre of the inventory",
            )
    active: dict[str, set[str]] = {}
    for _, service in services:
        if isinstance(service_name := service.get("name"), str):
            active.setdefault(service_name, set()).update(
                upstream["data_centre"]
                for _, upstream in _records(service, "upstreams")
                if upstream.get("state", "active") == "active"
                and isinstance(upstream.get("data_centre"), str)
            )
    for path, group in groups:
        allowed = {name for _, name in _texts(group.get("data_centres"))} & centre_names
        service_name = group.get("service")
        if not isinstance(service_name, str) or not active.get(service_name) or not allowed:
            continue  # Already reported as unknown names or as a service without upstreams.
        if not allowed & active[service_name]:
            found.add(
                (*path, "data_centres"),
                one_of(active[service_name], what="a data centre that has one"),
                problem=f"no active upstream of {service_name} for the group in "
                f"{', '.join(sorted(allowed))}",
            )
    return found.findings


def settings_findings(settings: Any, inventory: Any, source: str) -> list[Finding]:
    """Return the references of settings to something that the inventory lacks."""
    found = _Findings(source)
    names = _names(_records(inventory, "data_centres"))
    if isinstance(settings, dict):
        found.reference(((), settings), "data_centre", names, "a data centre of the inventory")
    return found.findings


def _same_shapes(kinds: list[Record], found: _Findings) -> None:
    """Find kinds that match exactly the same requests."""
    first: dict[tuple[str, str], str] = {}
    for path, kind in kinds:
        method, template = kind.get("method"), kind.get("path")
        if not isinstance(method, str) or not isinstance(template, str):
            continue
        if KEY_SEGMENT not in template:
            continue
        other = first.setdefault((method, template), str(kind.get("name")))
        if other != str(kind.get("name")):
            found.add(
                (*path, "path"),
                "a method and path that no other kind has",
                problem=f"{method} {template} is also the kind {other}",
            )


class _Findings:
    """Collects the findings about one source."""

    def __init__(self, source: str) -> None:
        self._source = source
        self.findings: list[Finding] = []

    def add(
        self, path: Path, expected: str, *, value: Any = None, problem: str = "", near: str = ""
    ) -> None:
        self.findings.append(
            Finding(
                source=self._source,
                path=path,
                expected=expected,
                value=value,
                problem=problem,
                near=near,
            )
        )

    def duplicates(
        self, records: Iterable[Record], field: str, expected: str, *, scope: str = ""
    ) -> None:
        """Find values of a field that occur twice, within equal values of ``scope``."""
        seen: set[Hashable] = set()
        for path, record in records:
            value, within = record.get(field), record.get(scope, "")
            if not isinstance(value, str) or not isinstance(within, str):
                continue
            if (within, value) in seen:
                self.add((*path, field), expected, value=value)
            seen.add((within, value))

    def reference(self, record: Record, field: str, names: set[str], what: str) -> None:
        """Find a reference to a name that does not exist."""
        path, content = record
        if isinstance(name := content.get(field), str):
            self.known((*path, field), name, names, what)

    def known(self, path: Path, name: str, names: set[str], what: str) -> None:
        """Find a name that is not one of ``names``."""
        if name not in names:
            near = near_match(name, names)
            self.add(path, one_of(names, what=what), value=name, near=near)


def _records(value: Any, field: str, path: Path = ()) -> Iterator[Record]:
    items = value.get(field) if isinstance(value, dict) else None
    if isinstance(items, list):
        for index, item in enumerate(items):
            if isinstance(item, dict):
                yield (*path, field, index), item


def _texts(value: Any) -> Iterator[tuple[int, str]]:
    if isinstance(value, list):
        for index, item in enumerate(value):
            if isinstance(item, str):
                yield index, item


def _names(records: Iterable[Record]) -> set[str]:
    return {name for _, item in records if isinstance(name := item.get("name"), str)}


def _is_number(value: Any) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool)

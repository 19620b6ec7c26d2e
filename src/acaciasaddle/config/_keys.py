"""Classification of requests by kind and key, and lookup of groups, data centres and upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from urllib.parse import unquote_to_bytes

from acaciasaddle.config._fields import KEY_SEGMENT
from acaciasaddle.config._fields import WILDCARD_SEGMENT
from acaciasaddle.config._types import DEFAULT_GROUP
from acaciasaddle.config._types import Kind
from acaciasaddle.model import UpstreamId

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from acaciasaddle.config._types import Inventory
    from acaciasaddle.config._types import Rules
    from acaciasaddle.config._types import Upstream


@dataclass(frozen=True, slots=True, kw_only=True)
class Match:
    """The kind of a request and its key."""

    kind: Kind
    key: str


@dataclass(slots=True)
class _Node:
    """A node of the prefix tree that holds the path templates of one method.

    ``wildcard`` is the kind whose template ends here with ``*``, and ``end`` the kind whose
    template ends here without it.
    """

    literals: dict[str, _Node] = field(default_factory=dict)
    key: _Node | None = None
    wildcard: Kind | None = None
    end: Kind | None = None


class Classifier:
    """Compiled rules that classify requests and keys.

    If several templates match, the choice is made segment by segment: a plain segment takes
    precedence over ``{key}``, and ``{key}`` over ``*``. The order in the rules does not matter.
    """

    def __init__(self, rules: Rules) -> None:
        self._roots: dict[str, _Node] = {}
        for kind in rules.kinds:
            self._add(kind)
        self._groups: dict[str, dict[str, str]] = {}
        for group in rules.groups:
            self._groups.setdefault(group.service, {})[group.key_prefix] = group.name
        self._prefix_lengths = {
            service: sorted({len(prefix) for prefix in prefixes}, reverse=True)
            for service, prefixes in self._groups.items()
        }

    def classify(self, method: str, path: str) -> Match | None:
        """Return the kind and key of a request, or ``None`` if no kind matches.

        ``path`` is the request target as sent; a query is ignored. A path with an empty key, with
        ``.`` or ``..`` as a segment or with bytes that are not UTF-8 matches nothing, since
        upstreams may interpret it differently.
        """
        root = self._roots.get(method)
        path = path.partition("?")[0]
        if root is None or not path.startswith("/"):
            return None
        segments = path[1:].split("/")
        if "%" in path:
            try:
                segments = [unquote_to_bytes(segment).decode() for segment in segments]
            except UnicodeDecodeError:
                return None
        if "." in segments or ".." in segments:
            return None
        return _match(root, segments, 0, "")

    def group_of(self, service: str, key: str) -> str:
        """Return the group with the longest prefix of the key, or the default group."""
        prefixes = self._groups.get(service)
        if prefixes is None:
            return DEFAULT_GROUP
        for length in self._prefix_lengths[service]:
            if (name := prefixes.get(key[:length])) is not None:
                return name
        return DEFAULT_GROUP

    def _add(self, kind: Kind) -> None:
        node = self._roots.setdefault(kind.method, _Node())
        for segment in kind.path[1:].split("/"):
            if segment == WILDCARD_SEGMENT:
                node.wildcard = kind
                return
            if segment == KEY_SEGMENT:
                node.key = node.key or _Node()
                node = node.key
            else:
                node = node.literals.setdefault(segment, _Node())
        node.end = kind


def _match(node: _Node, segments: Sequence[str], index: int, key: str) -> Match | None:
    if index == len(segments):
        return Match(kind=node.end, key=key) if node.end is not None else None
    segment = segments[index]
    found = None
    if (literal := node.literals.get(segment)) is not None:
        found = _match(literal, segments, index + 1, key)
    if found is None and node.key is not None and segment:
        found = _match(node.key, segments, index + 1, segment)
    if found is None and node.wildcard is not None:
        found = Match(kind=node.wildcard, key=key)
    return found


def classify(rules: Rules, method: str, path: str) -> Match | None:
    """Classify one request; use a ``Classifier`` for many."""
    return Classifier(rules).classify(method, path)


def group_of(rules: Rules, service: str, key: str) -> str:
    """Return the group of one key; use a ``Classifier`` for many."""
    return Classifier(rules).group_of(service, key)


def group_data_centres(
    inventory: Inventory, rules: Rules, service: str, group: str
) -> frozenset[str]:
    """Return the data centres whose upstreams may own keys of a group."""
    for entry in rules.groups:
        if (entry.service, entry.name) == (service, group):
            return frozenset(entry.data_centres)
    return frozenset(centre.name for centre in inventory.data_centres)


def caller_data_centres(inventory: Inventory, rules: Rules, caller: str) -> frozenset[str]:
    """Return the data centres whose upstreams may serve a caller."""
    for entry in rules.access:
        if entry.caller == caller:
            return frozenset(entry.data_centres)
    return frozenset(centre.name for centre in inventory.data_centres)


def allowed_data_centres(
    inventory: Inventory, rules: Rules, *, service: str, group: str, caller: str
) -> frozenset[str]:
    """Return the data centres whose upstreams may serve a caller's requests for keys of a group."""
    for_group = group_data_centres(inventory, rules, service, group)
    return for_group & caller_data_centres(inventory, rules, caller)


def group_shards(inventory: Inventory, rules: Rules) -> Mapping[tuple[str, str], int]:
    """Return the number of shards of each group, by service and group."""
    shards = {(service.name, DEFAULT_GROUP): service.shards for service in inventory.services}
    for group in rules.groups:
        shards[group.service, group.name] = group.shards
    return shards


def upstreams_of(inventory: Inventory) -> Mapping[UpstreamId, Upstream]:
    """Return all upstreams by identifier."""
    return {
        UpstreamId(service.name, upstream.name): upstream
        for service in inventory.services
        for upstream in service.upstreams
    }


def owner_candidates(
    inventory: Inventory, rules: Rules, service: str, group: str
) -> tuple[tuple[str, float], ...]:
    """Return the active upstreams that may own units of a group, with their slots as weights.

    Upstreams are written ``service/name``, in the order of the inventory.
    """
    allowed = group_data_centres(inventory, rules, service, group)
    return tuple(
        (str(upstream_id), float(upstream.slots))
        for upstream_id, upstream in upstreams_of(inventory).items()
        if upstream_id.service == service
        and upstream.state == "active"
        and upstream.data_centre in allowed
    )

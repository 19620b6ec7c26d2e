"""Plans which upstream owns which keys, without a network or a clock.

Keys without a usable owner come first: those without any, and those of upstreams that drain, are
removed or are lost. Otherwise ``_level`` plans moves that level the load, also to upstreams that
have just joined. Faster upstreams count with a higher capacity.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from acaciasaddle.keyspace._level import level_load
from acaciasaddle.keyspace._owner_loads import Candidate
from acaciasaddle.keyspace._owner_loads import Move
from acaciasaddle.keyspace._owner_loads import OwnerLoads
from acaciasaddle.keyspace._split import split
from acaciasaddle.keyspace._types import KEY_COUNT
from acaciasaddle.keyspace._types import KeyRange
from acaciasaddle.keyspace._types import Span

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from acaciasaddle.keyspace._load import KeyLoad
    from acaciasaddle.keyspace._types import KeyMap
    from acaciasaddle.keyspace._types import Owner

UNUSABLE_OWNER_PARTS = 8
"""The keys of an unusable owner are split into about this many parts, to spread its load. Its spans
share this number; each span is at least one part."""


def plan_moves(
    *, owners: KeyMap, candidates: Sequence[Candidate], load: KeyLoad, balance: bool
) -> list[Move]:
    """Return moves that give a new owner to keys without a usable one.

    If there are none and ``balance`` is true, return moves that level the load.
    """
    if not candidates:
        return []
    load = load.with_saturating_keys(len(candidates))
    loads = OwnerLoads(candidates, owners, load)
    moves = _assign_gaps(owners, candidates, loads)
    moves += _reassign_from_unusable(owners, loads, load)
    if balance and not moves:
        moves += level_load(owners, loads, load)
    return moves


def _assign_gaps(owners: KeyMap, candidates: Sequence[Candidate], loads: OwnerLoads) -> list[Move]:
    """Return moves that give keys without an owner to candidates.

    A range of half of the keys or more is divided among the candidates by capacity. A smaller one
    is given whole to the least utilised candidate.
    """
    moves = []
    total = sum(item.capacity for item in candidates)
    for gap in owners.gaps():
        if gap.size < KEY_COUNT // 2:
            target = loads.least_utilised()
            loads.record_move(gap, None, target)
            moves.append(Move(keys=gap, source=None, target=target))
            continue
        first, assigned_capacity = gap.first, 0.0
        for index, item in enumerate(candidates):
            assigned_capacity += item.capacity
            last = gap.first + round(gap.size * assigned_capacity / total) - 1
            if index == len(candidates) - 1:
                last = gap.last
            if last >= first:
                loads.record_move(KeyRange(first, last), None, item.owner)
                moves.append(Move(keys=KeyRange(first, last), source=None, target=item.owner))
            first = max(first, last + 1)
    return moves


def _reassign_from_unusable(owners: KeyMap, loads: OwnerLoads, load: KeyLoad) -> list[Move]:
    """Return moves of the keys whose owner is no candidate: it drains, is removed or is lost.

    Keys that are already moving are left out until their move has ended.
    """
    moves = []
    counts: dict[Owner, int] = {}
    for span in owners.spans:
        counts[span.owner] = counts.get(span.owner, 0) + 1
    for span in owners.spans:
        if span.moving or span.owner in loads.capacity:
            continue
        for keys in split(span.keys, max(1, UNUSABLE_OWNER_PARTS // counts[span.owner]), load):
            target = loads.least_utilised()
            loads.record_move(keys, None, target)
            moves.append(Move(keys=keys, source=span.owner, target=target))
    return moves


def join_spans(owners: KeyMap) -> KeyMap:
    """Return a map in which neighbouring spans of one owner are joined, at a new fencing token.

    Moving spans are left as they are. Fewer spans mean fewer orders, since each span is renewed
    separately.
    """
    joined = owners
    spans = list(owners.spans)
    for left, right in itertools.pairwise(spans):
        current = joined.find(left.keys.first)
        if current is None or left.moving or right.moving or left.owner != right.owner:
            continue
        if right.keys.first != current.keys.last + 1:
            continue
        keys = KeyRange(current.keys.first, right.keys.last)
        fence = joined.fence + 1
        span = Span(keys=keys, owner=left.owner, fence=fence)
        joined = joined.replaced(keys, [span], fence=fence)
    return joined


def candidates_by_speed(
    slots: Mapping[Owner, int], slowness: Mapping[Owner, float]
) -> list[Candidate]:
    """Return candidates whose capacity is their number of slots divided by their slowness."""
    return [
        Candidate(owner=owner, capacity=count / slowness.get(owner, 1.0))
        for owner, count in slots.items()
    ]

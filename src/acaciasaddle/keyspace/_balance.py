"""Which keys go to which upstream. Nothing here touches a network or a clock.

Patterns answered: upstreams that join, drain, disappear or are lost; upstreams of different
speed. Floods and uneven load are levelled in ``_level``.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from acaciasaddle.keyspace._level import level
from acaciasaddle.keyspace._loads import Candidate
from acaciasaddle.keyspace._loads import Move
from acaciasaddle.keyspace._loads import OwnerLoads
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

PIECES = 8
"""Pieces in which the keys of a leaving upstream are dealt out, at least."""


def plan_moves(
    *, owners: KeyMap, candidates: Sequence[Candidate], load: KeyLoad, balance: bool
) -> list[Move]:
    """Return the moves that give every key an owner and, with ``balance``, level the load."""
    if not candidates:
        return []
    loads = OwnerLoads(candidates, owners, load)
    moves = _first_owners(owners, candidates, loads)
    moves += _rehome(owners, loads, load)
    if balance and not moves:
        moves += level(owners, loads, load)
    return moves


def _first_owners(owners: KeyMap, candidates: Sequence[Candidate], loads: OwnerLoads) -> list[Move]:
    moves = []
    total = sum(item.capacity for item in candidates)
    for gap in owners.gaps():
        if gap.size < KEY_COUNT // 2:
            target = loads.least()
            loads.move(gap, None, target)
            moves.append(Move(keys=gap, source=None, target=target))
            continue
        first, dealt = gap.first, 0.0
        for index, item in enumerate(candidates):
            dealt += item.capacity
            last = gap.first + round(gap.size * dealt / total) - 1
            if index == len(candidates) - 1:
                last = gap.last
            if last >= first:
                loads.move(KeyRange(first, last), None, item.owner)
                moves.append(Move(keys=KeyRange(first, last), source=None, target=item.owner))
            first = max(first, last + 1)
    return moves


def _rehome(owners: KeyMap, loads: OwnerLoads, load: KeyLoad) -> list[Move]:
    """Move the keys of owners that take no more work."""
    moves = []
    counts: dict[Owner, int] = {}
    for span in owners.spans:
        counts[span.owner] = counts.get(span.owner, 0) + 1
    for span in owners.spans:
        if span.moving or span.owner in loads.capacity:
            continue
        for keys in split(span.keys, max(1, PIECES // counts[span.owner]), load):
            target = loads.least()
            loads.move(keys, None, target)
            moves.append(Move(keys=keys, source=span.owner, target=target))
    return moves


def join_spans(owners: KeyMap) -> KeyMap:
    """Return a map in which neighbouring spans of one owner are one, at a new fencing token.

    Each span costs an order at every renewal.
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
    """Return candidates whose capacity is their number of slots at their relative speed."""
    return [
        Candidate(owner=owner, capacity=count / slowness.get(owner, 1.0))
        for owner, count in slots.items()
    ]

"""Which keys go to which upstream. Nothing here touches a network or a clock.

Patterns answered: upstreams that join, drain, disappear or are lost; upstreams of different
speed; hot keys that lie close together, whose range is split until no upstream holds more than
its part.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING

from acaciasaddle.keyspace._types import KEY_COUNT
from acaciasaddle.keyspace._types import KeyRange
from acaciasaddle.keyspace._types import Owner
from acaciasaddle.keyspace._types import Span

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from acaciasaddle.keyspace._load import KeyLoad
    from acaciasaddle.keyspace._types import KeyMap

PIECES = 8
"""Pieces in which the keys of a leaving upstream are dealt out, at least."""
MOVE_PARTS = 3
"""Parts in which keys move for balance; each one is released on its own."""
MAX_BALANCING_MOVES = 6
"""Moves for balance in one round; each one stops its keys for a round trip or two."""
IMBALANCE = 0.25
"""Difference of utilisation, in parts of the mean, that is worth a move."""
MIN_SAMPLES = 40
"""With fewer samples keys are dealt out by their number, not by their load."""
IDLE_LOAD = 0.1
"""Load of all keys together by their number, in parts of the sampled load."""
MAX_SPANS = 12
"""An upstream with this many spans gives away whole spans only."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Move:
    """Keys that get a new owner; ``source`` is ``None`` if they have none."""

    keys: KeyRange
    source: Owner | None
    target: Owner


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """An upstream that takes keys. ``capacity`` is in requests at a time, by its speed."""

    owner: Owner
    capacity: float


class _Loads:
    """Load of each candidate while moves are planned."""

    def __init__(self, candidates: Sequence[Candidate], owners: KeyMap, load: KeyLoad) -> None:
        self.capacity = {item.owner: item.capacity for item in candidates}
        # A small load by size keeps idle keys spread before there are samples.
        self._load = load
        self._weight = max(len(load), 1)
        self.total = dict.fromkeys(self.capacity, 0.0)
        for span in owners.spans:
            if span.owner in self.total:
                self.total[span.owner] += self.of(span.keys)

    def of(self, keys: KeyRange) -> float:
        by_size = self._weight * keys.size / KEY_COUNT
        if len(self._load) < MIN_SAMPLES:
            return by_size
        return self._load.of(keys) + IDLE_LOAD * by_size

    def least(self) -> Owner:
        return min(self.total, key=lambda owner: self.total[owner] / self.capacity[owner])

    def move(self, keys: KeyRange, source: Owner | None, target: Owner) -> None:
        weight = self.of(keys)
        self.total[target] += weight
        if source in self.total:
            self.total[source] -= weight


def plan_moves(
    *, owners: KeyMap, candidates: Sequence[Candidate], load: KeyLoad, balance: bool
) -> list[Move]:
    """Return the moves that give every key an owner and, with ``balance``, level the load."""
    if not candidates:
        return []
    loads = _Loads(candidates, owners, load)
    moves = _first_owners(owners, candidates, loads)
    moves += _rehome(owners, loads, load)
    if balance and not moves:
        moves += _level(owners, loads, load)
    return moves


def _first_owners(owners: KeyMap, candidates: Sequence[Candidate], loads: _Loads) -> list[Move]:
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


def _rehome(owners: KeyMap, loads: _Loads, load: KeyLoad) -> list[Move]:
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


def split(keys: KeyRange, pieces: int, load: KeyLoad) -> list[KeyRange]:
    """Cut a range into at most ``pieces`` parts of about equal load, or size if it has none."""
    weight = load.of(keys)
    parts = []
    first = keys.first
    for piece in range(1, pieces):
        if weight >= pieces:
            last = load.key_at(keys, weight * piece // pieces)
        else:
            last = keys.first + keys.size * piece // pieces - 1
        if first <= last < keys.last:
            parts.append(KeyRange(first, last))
            first = last + 1
    parts.append(KeyRange(first, keys.last))
    return parts


def _level(owners: KeyMap, loads: _Loads, load: KeyLoad) -> list[Move]:
    """Move load from the most to the least utilised upstreams."""
    moves: list[Move] = []
    mean = sum(loads.total.values()) / sum(loads.capacity.values())
    settled: dict[Owner, list[Span]] = {}
    busy: set[Owner] = set()
    for span in owners.spans:
        settled.setdefault(span.owner, []).append(span)
        if span.moving:
            busy.add(span.owner)
            if span.previous is not None:
                busy.add(span.previous)
    done: set[Owner] = set(busy)
    for _ in range(MAX_BALANCING_MOVES):
        source = _most(loads, done)
        if source is None:
            break
        target = loads.least()
        use = {owner: loads.total[owner] / loads.capacity[owner] for owner in (source, target)}
        if use[source] - use[target] < IMBALANCE * mean or use[source] < mean:
            break
        ideal = (use[source] - use[target]) / (
            1 / loads.capacity[source] + 1 / loads.capacity[target]
        )
        spans = [span for span in settled.get(source, ()) if not span.moving]
        keys = _piece(spans, ideal, loads, load, whole_only=len(spans) >= MAX_SPANS)
        done.add(source)
        if keys is None:
            continue
        loads.move(keys, source, target)
        # A release waits for the work in progress on its keys; most of the parts have none.
        for part in split(keys, MOVE_PARTS, load):
            moves.append(Move(keys=part, source=source, target=target))
    return moves


def _most(loads: _Loads, done: set[Owner]) -> Owner | None:
    left = [owner for owner in loads.total if owner not in done]
    if not left:
        return None
    return max(left, key=lambda owner: loads.total[owner] / loads.capacity[owner])


def _piece(
    spans: Sequence[Span], ideal: float, loads: _Loads, load: KeyLoad, *, whole_only: bool
) -> KeyRange | None:
    """Return the keys, at an edge of a span, whose load comes closest to ``ideal``."""
    options: list[KeyRange] = []
    for span in spans:
        if loads.of(span.keys) <= 1.3 * ideal:
            options.append(span.keys)
            continue
        weight = load.of(span.keys)
        if whole_only or span.keys.size < 2:
            continue
        if weight < 2:
            middle = span.keys.first + span.keys.size // 2
            options.append(KeyRange(middle, span.keys.last))
            continue
        count = min(max(1, round(ideal)), weight - 1)
        low = load.key_at(span.keys, count)
        if low < span.keys.last:
            options.append(KeyRange(span.keys.first, low))
        high = load.key_at(span.keys, weight - count) + 1
        if span.keys.first < high <= span.keys.last:
            options.append(KeyRange(high, span.keys.last))
    options = [keys for keys in options if 0.3 * ideal <= loads.of(keys) <= 1.5 * ideal]
    if not options:
        return None
    return min(options, key=lambda keys: abs(loads.of(keys) - ideal))


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

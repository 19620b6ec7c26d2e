"""Levels the load of upstreams by moving keys. Nothing here touches a network or a clock.

Patterns answered: upstreams that are somewhat busier than others, which give keys to the least
busy one at a time; a flood at one upstream (hot keys that lie close together, or one key with more
requests than an upstream can serve), whose keys are dealt out to as many others as it takes, in one
round.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from acaciasaddle.keyspace._load import KeyLoad
from acaciasaddle.keyspace._loads import Move
from acaciasaddle.keyspace._loads import OwnerLoads
from acaciasaddle.keyspace._split import split
from acaciasaddle.keyspace._types import KeyMap
from acaciasaddle.keyspace._types import KeyRange
from acaciasaddle.keyspace._types import Owner

if TYPE_CHECKING:
    from collections.abc import Sequence


MOVE_PARTS = 3
"""Parts in which keys move for balance; each one is released on its own."""
MAX_MOVES = 6
"""Moves for balance in one round; each one stops its keys for a round trip or two."""
MAX_FLOOD_SHARE = 0.25
"""Moves away from flooded upstreams in one round, in parts of the number of upstreams. Their
releases and grants go on in the next rounds, so one round need not carry all."""
IMBALANCE = 0.25
"""Difference of utilisation, in parts of the mean, that is worth a move."""
MIN_EXCESS = 2.0
MIN_LACK = 3.0
"""An upstream with fewer standard deviations of its number of samples too many, or too few, has
them by chance: of 260 upstreams, six are above the first and none is below the second."""
FLOOD_FACTOR = 1.6
FLOOD_DEVIATIONS = 4.0
"""An upstream is flooded with this many times the mean utilisation, and an excess of this many
standard deviations of its number of samples. At half of their slots, upstreams with 1.6 times the
mean are nearly full."""
MAX_SPANS = 12
"""An upstream with this many spans gives away whole spans only, unless it is flooded."""
MAX_ALL_SPANS = 1_200
"""The owners of a service fill one row of the table, of 65,536 bytes at most; a span takes up to
31 bytes of it and an owner about 50."""
TOLERANCE = 1.3
"""A whole span may be this much larger than what an upstream is to give away."""
MIN_PIECE = 0.3
"""The least part of the wanted load for which keys are moved."""
MAX_PIECE = 1.5
"""The most that is moved, in parts of the wanted load."""
MAX_FLOOD_PIECE = 0.6
"""The most that leaves a flooded upstream at once, in parts of its excess, so that the flood does
not move on as a whole."""
MIN_FLOOD_PIECE = 0.1
"""The least part of a mean upstream's load for which keys leave a flooded one."""


def level(owners: KeyMap, loads: OwnerLoads, load: KeyLoad) -> list[Move]:
    """Return moves from the most to the least utilised upstreams, and count them in ``loads``."""
    return _Leveller(owners=owners, loads=loads, load=load).run()


@dataclass(slots=True, kw_only=True)
class _Leveller:
    """Plans one round."""

    owners: KeyMap
    loads: OwnerLoads
    load: KeyLoad
    mean: float = 0.0
    settled: dict[Owner, list[KeyRange]] = field(default_factory=dict)
    moving: set[Owner] = field(default_factory=set)
    targets: list[tuple[float, int, Owner]] = field(default_factory=list)
    """A heap of owners by their utilisation, and by a number, since owners have no order. Only the
    utilisation of the first ones is up to date."""
    moves: list[Move] = field(default_factory=list)

    def run(self) -> list[Move]:
        loads = self.loads
        self.mean = loads.mean_use()
        for span in self.owners.spans:
            if not span.moving:
                self.settled.setdefault(span.owner, []).append(span.keys)
                continue
            self.moving.add(span.owner)
            if span.previous is not None:
                self.moving.add(span.previous)
        self.targets = [
            (loads.use(owner), number, owner) for number, owner in enumerate(loads.total)
        ]
        heapq.heapify(self.targets)
        even = 0
        for source in sorted(loads.total, key=loads.use, reverse=True):
            if not self._worth_a_move(source):
                break
            while self._flooded(source) and self._may_move() and self._relieve(source):
                pass
            if source not in self.moving and even < MAX_MOVES and self._worth_a_move(source):
                even += 1
                self._even_out(source)
            if not self._may_move() or (even >= MAX_MOVES and not self._flooded(source)):
                break
        return self.moves

    def _worth_a_move(self, source: Owner) -> bool:
        loads, target = self.loads, self.targets[0][2]
        use = loads.use(source)
        if use < self.mean or use - loads.use(target) < IMBALANCE * self.mean:
            return False
        if loads.total[target] == 0.0:
            # It has just joined and holds no keys.
            return True
        excess = loads.total[source] - self.mean * loads.capacity[source]
        lack = self.mean * loads.capacity[target] - loads.total[target]
        return excess >= self._noise(source, MIN_EXCESS) or lack >= self._noise(target, MIN_LACK)

    def _noise(self, owner: Owner, deviations: float) -> float:
        """Return standard deviations of the number of samples of an owner with a fair load."""
        if not self.loads.sampled:
            return 0.0
        return deviations * math.sqrt(self.mean * self.loads.capacity[owner])

    def _may_move(self) -> bool:
        most = max(MAX_MOVES * MOVE_PARTS, MAX_FLOOD_SHARE * len(self.loads.capacity))
        return len(self.moves) < most and len(self.owners.spans) + len(self.moves) < MAX_ALL_SPANS

    def _flooded(self, owner: Owner) -> bool:
        total = self.loads.total[owner]
        fair = self.mean * self.loads.capacity[owner]
        return total > FLOOD_FACTOR * fair and total - fair > FLOOD_DEVIATIONS * math.sqrt(total)

    def _relieve(self, source: Owner) -> bool:
        """Fill the least utilised upstream up to the mean with keys of a flooded one."""
        target = self.targets[0][2]
        fair = self.mean * self.loads.capacity[target]
        wanted = fair - self.loads.total[target]
        excess = self.loads.total[source] - self.mean * self.loads.capacity[source]
        wanted = min(excess, wanted)
        if wanted <= 0:
            return False
        least = min(MIN_PIECE * wanted, MIN_FLOOD_PIECE * fair)
        # A single hot key may be more than wanted; it is still better off on its own.
        most = max(MAX_PIECE * wanted, MAX_FLOOD_PIECE * excess)
        keys = self._piece(self.settled.get(source, ()), wanted, least=least, most=most)
        if keys is None:
            return False
        self._move(keys, source, target, parts=1)
        return True

    def _even_out(self, source: Owner) -> None:
        """Bring a source and the least utilised upstream to the same utilisation."""
        loads, target = self.loads, self.targets[0][2]
        wanted = (loads.use(source) - loads.use(target)) / (
            1 / loads.capacity[source] + 1 / loads.capacity[target]
        )
        ranges = self.settled.get(source, [])
        if len(ranges) >= MAX_SPANS:
            ranges = [keys for keys in ranges if loads.of(keys) <= TOLERANCE * wanted]
        keys = self._piece(ranges, wanted, least=MIN_PIECE * wanted, most=MAX_PIECE * wanted)
        if keys is not None:
            # A release waits for the work in progress on its keys; most of the parts have none.
            self._move(keys, source, target, parts=MOVE_PARTS)

    def _move(self, keys: KeyRange, source: Owner, target: Owner, *, parts: int) -> None:
        self.loads.move(keys, source, target)
        number = self.targets[0][1]
        heapq.heapreplace(self.targets, (self.loads.use(target), number, target))
        for part in split(keys, parts, self.load):
            self.moves.append(Move(keys=part, source=source, target=target))
        self.settled[source] = [
            rest for known in self.settled[source] for rest in known.without(keys)
        ]

    def _piece(
        self, ranges: Sequence[KeyRange], wanted: float, *, least: float, most: float
    ) -> KeyRange | None:
        """Return the keys, at an edge of a range, whose load comes closest to ``wanted``."""
        options = [option for keys in ranges for option in self._options(keys, wanted)]
        options = [keys for keys in options if least <= self.loads.of(keys) <= most]
        if not options:
            return None
        return min(options, key=lambda keys: abs(self.loads.of(keys) - wanted))

    def _options(self, keys: KeyRange, wanted: float) -> list[KeyRange]:
        if self.loads.of(keys) <= TOLERANCE * wanted:
            return [keys]
        weight = self.load.of(keys)
        if keys.size < 2:
            return []
        if weight < 2:
            return [KeyRange(keys.first + keys.size // 2, keys.last)]
        count = min(max(1, round(wanted)), weight - 1)
        low = self.load.key_at(keys, count)
        high = self.load.key_at(keys, weight - count) + 1
        # The keys up to one with more requests than wanted are an option without it.
        bounds = [
            (keys.first, low),
            (keys.first, low - 1),
            (high, keys.last),
            (high + 1, keys.last),
        ]
        return [
            KeyRange(first, last)
            for first, last in bounds
            if first <= last and (first, last) != (keys.first, keys.last)
        ]

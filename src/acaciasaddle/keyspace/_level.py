"""Plans moves of keys that level the load of the upstreams, without a network or a clock.

Two kinds of uneven load are handled. An upstream that is somewhat busier than others gives keys to
the least utilised one, once per round. An upstream with a flood (hot keys that lie close together,
or one key with more requests than an upstream can serve) gives keys to as many others as needed in
one round, within the limit on the moves of a round.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from acaciasaddle.keyspace._load import KeyLoad
from acaciasaddle.keyspace._owner_loads import Move
from acaciasaddle.keyspace._owner_loads import OwnerLoads
from acaciasaddle.keyspace._split import split
from acaciasaddle.keyspace._types import KeyMap
from acaciasaddle.keyspace._types import KeyRange
from acaciasaddle.keyspace._types import Owner

if TYPE_CHECKING:
    from collections.abc import Sequence


PARTS_PER_MOVE = 3
"""Parts into which the keys of a balancing move are split; each part is released separately."""
MAX_BALANCE_MOVES = 6
"""Limit on the balancing moves of one round. The keys of each are unavailable until a round after
their release and grant has written that the move has ended."""
MAX_FLOOD_MOVE_SHARE = 0.25
"""Limit on the moves of one round with floods, as a share of the number of upstreams, but at least
``MAX_BALANCE_MOVES`` times ``PARTS_PER_MOVE`` moves. One more balancing move may exceed it. Further
moves are planned in the next rounds, while the releases and grants of this one go on."""
MIN_IMBALANCE = 0.25
"""Smallest difference in utilisation that justifies a move, as a share of the mean."""
EXCESS_DEVIATIONS = 2.0
DEFICIT_DEVIATIONS = 3.0
"""An excess or a deficit of fewer standard deviations of the number of samples is assumed to be
chance: of 260 upstreams with equal load, six exceed the first limit and none the second."""
FLOOD_FACTOR = 1.6
FLOOD_DEVIATIONS = 4.0
"""An upstream is flooded if its utilisation is more than ``FLOOD_FACTOR`` times the mean, and its
excess more than ``FLOOD_DEVIATIONS`` standard deviations of its number of samples. When upstreams
use half of their slots on average, one with 1.6 times the mean is nearly full."""
MAX_SPANS_PER_OWNER = 12
"""A balancing move from an upstream with this many spans or more takes only whole spans. Moves that
relieve a flood may take parts of them."""
MAX_SPANS_PER_SERVICE = 1_200
"""Once spans and planned moves are this many, a round plans at most one more balancing move. The
owners of a service are stored in one row of the table, which holds at most 65,536 bytes. As JSON,
before compression, a span takes up to 37 bytes (with a fencing token of six digits) and an owner
about 50."""
WHOLE_SPAN_TOLERANCE = 1.3
"""A whole span may move if its load is at most this many times the wanted load."""
MIN_PIECE_SHARE = 0.3
"""Smallest load that is moved, as a share of the wanted load."""
MAX_PIECE_SHARE = 1.5
"""Largest load that is moved, as a share of the wanted load."""
MAX_FLOOD_PIECE_SHARE = 0.6
"""Largest load that one move takes from a flooded upstream, as a share of its excess, so that the
flood does not move to another upstream as a whole. ``MAX_PIECE_SHARE`` applies if that is more."""
MIN_FLOOD_PIECE_SHARE = 0.1
"""Smallest load that is moved from a flooded upstream, as a share of the target's fair load.
``MIN_PIECE_SHARE`` applies if that is less."""


def level_load(owners: KeyMap, loads: OwnerLoads, load: KeyLoad) -> list[Move]:
    """Return moves from the most to the least utilised upstreams, and record them in ``loads``."""
    return _LoadLeveller(owners=owners, loads=loads, load=load).run()


@dataclass(slots=True, kw_only=True)
class _LoadLeveller:
    """Plans the moves of one round."""

    owners: KeyMap
    loads: OwnerLoads
    load: KeyLoad
    mean: float = 0.0
    settled_ranges: dict[Owner, list[KeyRange]] = field(default_factory=dict)
    moving_owners: set[Owner] = field(default_factory=set)
    target_heap: list[tuple[float, int, Owner]] = field(default_factory=list)
    """A heap of owners by utilisation, then by a number, since owners cannot be ordered. An owner's
    utilisation is updated only when it receives keys."""
    moves: list[Move] = field(default_factory=list)

    def run(self) -> list[Move]:
        loads = self.loads
        self.mean = loads.mean_utilisation()
        for span in self.owners.spans:
            if not span.moving:
                self.settled_ranges.setdefault(span.owner, []).append(span.keys)
                continue
            self.moving_owners.add(span.owner)
            if span.previous is not None:
                self.moving_owners.add(span.previous)
        self.target_heap = [
            (loads.utilisation(owner), number, owner)
            for number, owner in enumerate(loads.owner_load)
        ]
        heapq.heapify(self.target_heap)
        balance_moves = 0
        for source in sorted(loads.owner_load, key=loads.utilisation, reverse=True):
            if not self._justifies_move(source):
                break
            while self._is_flooded(source) and self._may_add_moves() and self._relieve(source):
                pass
            if (
                source not in self.moving_owners
                and balance_moves < MAX_BALANCE_MOVES
                and self._justifies_move(source)
            ):
                balance_moves += 1
                self._even_out(source)
            if not self._may_add_moves() or (
                balance_moves >= MAX_BALANCE_MOVES and not self._is_flooded(source)
            ):
                break
        return self.moves

    def _justifies_move(self, source: Owner) -> bool:
        """Return whether the load of ``source`` justifies a move to the least utilised upstream."""
        loads, target = self.loads, self.target_heap[0][2]
        utilisation = loads.utilisation(source)
        if (
            utilisation < self.mean
            or utilisation - loads.utilisation(target) < MIN_IMBALANCE * self.mean
        ):
            return False
        if loads.owner_load[target] == 0.0:
            # The target holds no keys, usually because it has just joined.
            return True
        excess = loads.owner_load[source] - self.mean * loads.capacity[source]
        deficit = self.mean * loads.capacity[target] - loads.owner_load[target]
        return excess >= self._noise(source, EXCESS_DEVIATIONS) or deficit >= self._noise(
            target, DEFICIT_DEVIATIONS
        )

    def _noise(self, owner: Owner, deviations: float) -> float:
        """Return ``deviations`` standard deviations of an owner's sample count at its fair load.

        Return 0 if there are too few samples to measure load by them.
        """
        if not self.loads.has_enough_samples:
            return 0.0
        return deviations * math.sqrt(self.mean * self.loads.capacity[owner])

    def _may_add_moves(self) -> bool:
        limit = max(
            MAX_BALANCE_MOVES * PARTS_PER_MOVE, MAX_FLOOD_MOVE_SHARE * len(self.loads.capacity)
        )
        return (
            len(self.moves) < limit
            and len(self.owners.spans) + len(self.moves) < MAX_SPANS_PER_SERVICE
        )

    def _is_flooded(self, owner: Owner) -> bool:
        total = self.loads.owner_load[owner]
        fair_load = self.mean * self.loads.capacity[owner]
        return (
            total > FLOOD_FACTOR * fair_load
            and total - fair_load > FLOOD_DEVIATIONS * math.sqrt(total)
        )

    def _relieve(self, source: Owner) -> bool:
        """Move keys from a flooded upstream to the least utilised one.

        The wanted load brings one of the two to its fair load. Return whether keys were moved.
        """
        target = self.target_heap[0][2]
        fair_load = self.mean * self.loads.capacity[target]
        wanted = fair_load - self.loads.owner_load[target]
        excess = self.loads.owner_load[source] - self.mean * self.loads.capacity[source]
        wanted = min(excess, wanted)
        if wanted <= 0:
            return False
        minimum = min(MIN_PIECE_SHARE * wanted, MIN_FLOOD_PIECE_SHARE * fair_load)
        ranges = self.settled_ranges.get(source, ())
        if any(self.load.has_saturating_key(keys) for keys in ranges):
            # All other keys would be refused together with most requests for that one.
            minimum = 0.0
        # A single hot key may exceed the wanted load; it is still better served on its own.
        maximum = max(MAX_PIECE_SHARE * wanted, MAX_FLOOD_PIECE_SHARE * excess)
        keys = self._best_piece(ranges, wanted, minimum=minimum, maximum=maximum)
        if keys is None:
            return False
        self._add_move(keys, source, target, parts=1)
        return True

    def _even_out(self, source: Owner) -> None:
        """Move keys so that a source and the least utilised upstream are about equally utilised.

        Do nothing if no range of the source's keys has a suitable load.
        """
        loads, target = self.loads, self.target_heap[0][2]
        wanted = (loads.utilisation(source) - loads.utilisation(target)) / (
            1 / loads.capacity[source] + 1 / loads.capacity[target]
        )
        ranges = self.settled_ranges.get(source, [])
        if len(ranges) >= MAX_SPANS_PER_OWNER:
            ranges = [
                keys for keys in ranges if loads.load_of(keys) <= WHOLE_SPAN_TOLERANCE * wanted
            ]
        keys = self._best_piece(
            ranges, wanted, minimum=MIN_PIECE_SHARE * wanted, maximum=MAX_PIECE_SHARE * wanted
        )
        if keys is not None:
            # A release waits for the work in progress on its keys. Most of the parts have no such
            # work, so they move at once.
            self._add_move(keys, source, target, parts=PARTS_PER_MOVE)

    def _add_move(self, keys: KeyRange, source: Owner, target: Owner, *, parts: int) -> None:
        self.loads.record_move(keys, source, target)
        number = self.target_heap[0][1]
        heapq.heapreplace(self.target_heap, (self.loads.utilisation(target), number, target))
        for part in split(keys, parts, self.load):
            self.moves.append(Move(keys=part, source=source, target=target))
        self.settled_ranges[source] = [
            rest for known in self.settled_ranges[source] for rest in known.without(keys)
        ]

    def _best_piece(
        self, ranges: Sequence[KeyRange], wanted: float, *, minimum: float, maximum: float
    ) -> KeyRange | None:
        """Return the range, or the part at an end of one, whose load is closest to ``wanted``.

        Return ``None`` if no load is between ``minimum`` and ``maximum``. A saturating key stays
        where it is: no other owner can serve more of its requests, and each move interrupts them.
        """
        pieces = [piece for keys in ranges for piece in self._possible_pieces(keys, wanted)]
        pieces = [
            keys
            for keys in pieces
            if minimum <= self.loads.load_of(keys) <= maximum
            and not self.load.has_saturating_key(keys)
        ]
        if not pieces:
            return None
        return min(pieces, key=lambda keys: abs(self.loads.load_of(keys) - wanted))

    def _possible_pieces(self, keys: KeyRange, wanted: float) -> list[KeyRange]:
        if self.loads.load_of(keys) <= WHOLE_SPAN_TOLERANCE * wanted:
            return [keys]
        samples = self.load.sample_count(keys)
        if keys.size < 2:
            return []
        if samples < 2:
            return [KeyRange(keys.first + keys.size // 2, keys.last)]
        count = min(max(1, round(wanted)), samples - 1)
        low = self.load.key_at(keys, count)
        high = self.load.key_at(keys, samples - count) + 1
        # A key with more requests than wanted may lie at the inner end: also try without it.
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

"""Admission policies: the order in which waiting requests get a slot."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from bisect import bisect_left
from bisect import insort
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from acaciasaddle.config import Rules
    from acaciasaddle.dispatch._waiting import Waiting

Sequence = tuple[float, int]

MIN_SHARE = 0.01
"""Smallest share of a rank, so that no rank starves."""


class Lane:
    """Waiting requests of one rank, either bulky or not, in order of a sort key."""

    def __init__(self) -> None:
        self._keys: list[Sequence] = []
        self._items: dict[Sequence, Waiting] = {}
        self.work = 0.0

    def __len__(self) -> int:
        return len(self._keys)

    def __iter__(self) -> Iterator[Waiting]:
        return (self._items[key] for key in self._keys)

    def add(self, key: Sequence, item: Waiting) -> None:
        """Insert a request."""
        insort(self._keys, key)
        self._items[key] = item
        self.work += item.expected

    def discard(self, key: Sequence) -> bool:
        """Remove a request; returns whether it was present."""
        item = self._items.pop(key, None)
        if item is None:
            return False
        del self._keys[bisect_left(self._keys, key)]
        self.work = self.work - item.expected if self._keys else 0.0
        return True

    @property
    def first(self) -> Waiting:
        """The request that is next in this lane."""
        return self._items[self._keys[0]]

    @property
    def last(self) -> Waiting:
        """The request that is last in this lane."""
        return self._items[self._keys[-1]]

    def work_before(self, key: Sequence) -> float:
        """Return the expected slot time of the requests that sort before ``key``."""
        if not self._keys:
            return 0.0
        return self.work * bisect_left(self._keys, key) / len(self._keys)


class AdmissionPolicy(ABC):
    """Order of the waiting requests of one upstream.

    Requests are kept in one lane per rank and per bulkiness. Bulky lanes can be blocked while
    the bulky requests in progress fill their part of the slots.
    """

    def __init__(self, *, ranks: int) -> None:
        self._lanes = {(rank, bulky): Lane() for rank in range(ranks) for bulky in (False, True)}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[Waiting]:
        for lane in self._lanes.values():
            yield from lane

    def add(self, item: Waiting) -> None:
        """Add a waiting request."""
        self._lanes[item.rank, item.bulky].add(self.sort_key(item), item)
        self._size += 1

    def remove(self, item: Waiting) -> bool:
        """Remove a waiting request; returns whether it was present."""
        removed = self._lanes[item.rank, item.bulky].discard(self.sort_key(item))
        self._size -= removed
        return removed

    def pop(self, *, allow_bulky: bool) -> Waiting | None:
        """Remove and return the next request, or ``None`` if no request may start."""
        lanes = [
            (key, lane) for key, lane in self._lanes.items() if lane and (allow_bulky or not key[1])
        ]
        if not lanes:
            return None
        item = self.choose([(rank, lane) for (rank, _), lane in lanes])
        self.remove(item)
        return item

    def longest_last(self) -> Waiting | None:
        """Return the last request of the longest lane."""
        lane = max(self._lanes.values(), key=len)
        return lane.last if lane else None

    def advance(self, now: float, slots: int) -> None:  # noqa: B027
        """Take note of the time, before requests are chosen."""

    def started(self, item: Waiting) -> None:  # noqa: B027
        """Take note that a request got a slot."""

    def finished(self, item: Waiting, seconds: float) -> None:  # noqa: B027
        """Take note that a request has used its slot for some time."""

    def lanes_like(self, item: Waiting) -> Iterator[tuple[int, Lane]]:
        """Return rank and lane of the requests that compete with ``item`` for slots."""
        for (rank, bulky), lane in self._lanes.items():
            if bulky == item.bulky:
                yield rank, lane

    @abstractmethod
    def sort_key(self, item: Waiting) -> Sequence:
        """Return the order of a request inside its lane."""

    @abstractmethod
    def choose(self, lanes: list[tuple[int, Lane]]) -> Waiting:
        """Return the next request; ``lanes`` holds the rank and lane of all non-empty lanes."""

    @abstractmethod
    def work_ahead(self, item: Waiting) -> float:
        """Return the slot time in seconds that waiting requests will probably use before ``item``.

        ``item`` need not be in the queue.
        """


class FirstComeFirstServed(AdmissionPolicy):
    """Order of arrival, whatever the rank."""

    def sort_key(self, item: Waiting) -> Sequence:
        return (0.0, item.seq)

    def choose(self, lanes: list[tuple[int, Lane]]) -> Waiting:
        return min((lane.first for _, lane in lanes), key=lambda item: item.seq)

    def work_ahead(self, item: Waiting) -> float:
        key = self.sort_key(item)
        return sum(lane.work_before(key) for _, lane in self.lanes_like(item))


class StrictPriority(AdmissionPolicy):
    """The most urgent rank first; order of arrival inside a rank."""

    def sort_key(self, item: Waiting) -> Sequence:
        return (0.0, item.seq)

    def choose(self, lanes: list[tuple[int, Lane]]) -> Waiting:
        return min((lane.first for _, lane in lanes), key=lambda item: (item.rank, item.seq))

    def work_ahead(self, item: Waiting) -> float:
        key = self.sort_key(item)
        return sum(
            lane.work if rank < item.rank else lane.work_before(key)
            for rank, lane in self.lanes_like(item)
            if rank <= item.rank
        )


class DeadlineOrder(AdmissionPolicy):
    """The earliest deadline first, whatever the rank."""

    def sort_key(self, item: Waiting) -> Sequence:
        return (item.deadline, item.seq)

    def choose(self, lanes: list[tuple[int, Lane]]) -> Waiting:
        return min((lane.first for _, lane in lanes), key=self.sort_key)

    def work_ahead(self, item: Waiting) -> float:
        key = self.sort_key(item)
        return sum(lane.work_before(key) for _, lane in self.lanes_like(item))


class WeightedShares(AdmissionPolicy):
    """Each rank gets its share of slot time while it has work; deadline order inside a rank.

    Each rank has a credit of slot time that grows by its share of the slots. Among the ranks
    with credit left the most urgent one is next, so that urgent work does not wait for others
    as long as it keeps to its share. If no waiting rank has credit, the slot is lent to the
    rank that is least overdrawn in relation to its share. Credit is at most
    ``credit`` and debt at most ``debt`` seconds.
    """

    def __init__(self, *, shares: tuple[float, ...], credit: float, debt: float) -> None:
        super().__init__(ranks=len(shares))
        total = sum(max(share, MIN_SHARE) for share in shares)
        self._shares = tuple(max(share, MIN_SHARE) / total for share in shares)
        self._max_credit = credit
        self._max_debt = debt
        self._credit = [credit] * len(shares)
        self._at = 0.0

    def sort_key(self, item: Waiting) -> Sequence:
        return (item.deadline, item.seq)

    def advance(self, now: float, slots: int) -> None:
        seconds = max(0.0, now - self._at) if self._at else 0.0
        self._at = now
        for rank, share in enumerate(self._shares):
            earned = self._credit[rank] + seconds * slots * share
            self._credit[rank] = min(self._max_credit, earned)

    def choose(self, lanes: list[tuple[int, Lane]]) -> Waiting:
        ranks = {rank for rank, _ in lanes}
        in_credit = [rank for rank in ranks if self._credit[rank] > 0.0]
        if in_credit:
            rank = min(in_credit)
        else:
            rank = max(ranks, key=lambda rank: (self._credit[rank] / self._shares[rank], -rank))
        return min((lane.first for r, lane in lanes if r == rank), key=self.sort_key)

    def started(self, item: Waiting) -> None:
        self._charge(item.rank, item.expected)

    def finished(self, item: Waiting, seconds: float) -> None:
        self._charge(item.rank, seconds - item.expected)

    def work_ahead(self, item: Waiting) -> float:
        key = self.sort_key(item)
        total = 0.0
        active = self._shares[item.rank]
        own = 0.0
        for rank, lane in self.lanes_like(item):
            if rank == item.rank:
                own = lane.work_before(key)
                total += own
            elif lane:
                active += self._shares[rank]
                total += lane.work
        at_once = min(own, max(0.0, self._credit[item.rank]))
        return min(total, at_once + (own - at_once) * active / self._shares[item.rank])

    def _charge(self, rank: int, seconds: float) -> None:
        # The debt is bounded too: a rank that used idle slots is not punished for long.
        self._credit[rank] = max(-self._max_debt, self._credit[rank] - seconds)


def make_policy(rules: Rules, *, credit: float, debt: float) -> AdmissionPolicy:
    """Return a new policy as named by ``rules.admission``; the rest is for shares."""
    ranks = max(1, len(rules.ranks))
    match rules.admission:
        case "fifo":
            return FirstComeFirstServed(ranks=ranks)
        case "strict":
            return StrictPriority(ranks=ranks)
        case "deadline":
            return DeadlineOrder(ranks=ranks)
        case "shares":
            shares = tuple(rank.share for rank in rules.ranks) or (1.0,)
            return WeightedShares(shares=shares, credit=credit, debt=debt)

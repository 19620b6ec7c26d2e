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
    from acaciasaddle.dispatch._waiting import SlotRequest

SortKey = tuple[float, int]

MIN_SHARE = 0.01
"""Smallest share of a rank, so that no rank starves, not even one with a share of 0."""


class Lane:
    """Waiting requests of one rank, either bulky or not, in order of a sort key.

    ``work`` is the sum of their expected slot times in seconds.
    """

    def __init__(self) -> None:
        self._keys: list[SortKey] = []
        self._items: dict[SortKey, SlotRequest] = {}
        self.work = 0.0

    def __len__(self) -> int:
        return len(self._keys)

    def __iter__(self) -> Iterator[SlotRequest]:
        return (self._items[key] for key in self._keys)

    def add(self, key: SortKey, item: SlotRequest) -> None:
        """Insert a request at its place in the order."""
        insort(self._keys, key)
        self._items[key] = item
        self.work += item.expected

    def discard(self, key: SortKey) -> bool:
        """Remove a request. Return whether it was present."""
        item = self._items.pop(key, None)
        if item is None:
            return False
        del self._keys[bisect_left(self._keys, key)]
        self.work = self.work - item.expected if self._keys else 0.0
        return True

    @property
    def first(self) -> SlotRequest:
        """The first request of a lane that is not empty."""
        return self._items[self._keys[0]]

    @property
    def last(self) -> SlotRequest:
        """The last request of a lane that is not empty."""
        return self._items[self._keys[-1]]

    def work_before(self, key: SortKey) -> float:
        """Return the expected slot time in seconds of the requests before ``key``.

        It is estimated from their number and the average over the lane.
        """
        if not self._keys:
            return 0.0
        return self.work * bisect_left(self._keys, key) / len(self._keys)


class AdmissionPolicy(ABC):
    """Order of the waiting requests of one upstream.

    Each rank has one lane for bulky requests and one for the others. No request is taken from
    the bulky lanes while bulky requests in progress use all slots that they may use.
    """

    def __init__(self, *, ranks: int) -> None:
        self._lanes = {(rank, bulky): Lane() for rank in range(ranks) for bulky in (False, True)}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[SlotRequest]:
        for lane in self._lanes.values():
            yield from lane

    def add(self, item: SlotRequest) -> None:
        """Add a waiting request."""
        self._lanes[item.rank, item.bulky].add(self.sort_key(item), item)
        self._size += 1

    def remove(self, item: SlotRequest) -> bool:
        """Remove a waiting request. Return whether it was present."""
        removed = self._lanes[item.rank, item.bulky].discard(self.sort_key(item))
        self._size -= removed
        return removed

    def pop(self, *, allow_bulky: bool) -> SlotRequest | None:
        """Remove and return the next request, ``None`` if none may start."""
        lanes = [
            (key, lane) for key, lane in self._lanes.items() if lane and (allow_bulky or not key[1])
        ]
        if not lanes:
            return None
        item = self.choose([(rank, lane) for (rank, _), lane in lanes])
        self.remove(item)
        return item

    def last_of_longest_lane(self) -> SlotRequest | None:
        """Return the last request of the longest lane, ``None`` if no request waits."""
        lane = max(self._lanes.values(), key=len)
        return lane.last if lane else None

    def advance(self, now: float, slots: int) -> None:  # noqa: B027
        """Update the policy to the current time, before requests are chosen."""

    def started(self, item: SlotRequest) -> None:  # noqa: B027
        """Account for a request that was granted a slot."""

    def finished(self, item: SlotRequest, seconds: float) -> None:  # noqa: B027
        """Account for the time during which a request occupied its slot."""

    def competing_lanes(self, item: SlotRequest) -> Iterator[tuple[int, Lane]]:
        """Yield the ranks and lanes whose requests compete with ``item``.

        They are the lanes of bulky requests if ``item`` is bulky, otherwise the other ones.
        """
        for (rank, bulky), lane in self._lanes.items():
            if bulky == item.bulky:
                yield rank, lane

    @abstractmethod
    def sort_key(self, item: SlotRequest) -> SortKey:
        """Return the key that orders a request within its lane."""

    @abstractmethod
    def choose(self, lanes: list[tuple[int, Lane]]) -> SlotRequest:
        """Return the request to start next from ``lanes``, pairs of a rank and a non-empty lane."""

    @abstractmethod
    def work_ahead(self, item: SlotRequest) -> float:
        """Return the slot time in seconds that waiting requests will probably use before ``item``.

        ``item`` need not be in the queue.
        """


class FirstComeFirstServed(AdmissionPolicy):
    """Order of arrival, regardless of rank."""

    def sort_key(self, item: SlotRequest) -> SortKey:
        return (0.0, item.seq)

    def choose(self, lanes: list[tuple[int, Lane]]) -> SlotRequest:
        return min((lane.first for _, lane in lanes), key=lambda item: item.seq)

    def work_ahead(self, item: SlotRequest) -> float:
        key = self.sort_key(item)
        return sum(lane.work_before(key) for _, lane in self.competing_lanes(item))


class StrictPriority(AdmissionPolicy):
    """The most urgent rank first, in order of arrival within a rank."""

    def sort_key(self, item: SlotRequest) -> SortKey:
        return (0.0, item.seq)

    def choose(self, lanes: list[tuple[int, Lane]]) -> SlotRequest:
        return min((lane.first for _, lane in lanes), key=lambda item: (item.rank, item.seq))

    def work_ahead(self, item: SlotRequest) -> float:
        key = self.sort_key(item)
        return sum(
            lane.work if rank < item.rank else lane.work_before(key)
            for rank, lane in self.competing_lanes(item)
            if rank <= item.rank
        )


class DeadlineOrder(AdmissionPolicy):
    """The earliest deadline first, regardless of rank."""

    def sort_key(self, item: SlotRequest) -> SortKey:
        return (item.deadline, item.seq)

    def choose(self, lanes: list[tuple[int, Lane]]) -> SlotRequest:
        return min((lane.first for _, lane in lanes), key=self.sort_key)

    def work_ahead(self, item: SlotRequest) -> float:
        key = self.sort_key(item)
        return sum(lane.work_before(key) for _, lane in self.competing_lanes(item))


class WeightedShares(AdmissionPolicy):
    """A share of the slot time for each rank, earliest deadline first within a rank.

    Each rank has a credit of slot time that grows at its share of the slots and is charged for
    the slot time that it uses. The next request is of the most urgent waiting rank with credit
    left, so that urgent work within its share does not wait for other ranks. If no waiting rank
    has credit, the next request is of the rank with the smallest debt in relation to its share.
    Credit is at most ``credit`` and debt at most ``debt`` seconds.
    """

    def __init__(self, *, shares: tuple[float, ...], credit: float, debt: float) -> None:
        super().__init__(ranks=len(shares))
        total = sum(max(share, MIN_SHARE) for share in shares)
        self._shares = tuple(max(share, MIN_SHARE) / total for share in shares)
        self._max_credit = credit
        self._max_debt = debt
        self._credit = [credit] * len(shares)
        self._updated_at = 0.0

    def sort_key(self, item: SlotRequest) -> SortKey:
        return (item.deadline, item.seq)

    def advance(self, now: float, slots: int) -> None:
        seconds = max(0.0, now - self._updated_at) if self._updated_at else 0.0
        self._updated_at = now
        for rank, share in enumerate(self._shares):
            earned = self._credit[rank] + seconds * slots * share
            self._credit[rank] = min(self._max_credit, earned)

    def choose(self, lanes: list[tuple[int, Lane]]) -> SlotRequest:
        ranks = {rank for rank, _ in lanes}
        in_credit = [rank for rank in ranks if self._credit[rank] > 0.0]
        if in_credit:
            rank = min(in_credit)
        else:
            rank = max(ranks, key=lambda rank: (self._credit[rank] / self._shares[rank], -rank))
        return min((lane.first for r, lane in lanes if r == rank), key=self.sort_key)

    def started(self, item: SlotRequest) -> None:
        self._charge(item.rank, item.expected)

    def finished(self, item: SlotRequest, seconds: float) -> None:
        self._charge(item.rank, seconds - item.expected)

    def work_ahead(self, item: SlotRequest) -> float:
        key = self.sort_key(item)
        total = 0.0
        waiting_shares = self._shares[item.rank]
        own_work = 0.0
        for rank, lane in self.competing_lanes(item):
            if rank == item.rank:
                own_work = lane.work_before(key)
                total += own_work
            elif lane:
                waiting_shares += self._shares[rank]
                total += lane.work
        # Work within the rank's credit is assumed to go first, and the rest to get the rank's share
        # in relation to the shares of all ranks that have requests waiting.
        covered = min(own_work, max(0.0, self._credit[item.rank]))
        return min(total, covered + (own_work - covered) * waiting_shares / self._shares[item.rank])

    def _charge(self, rank: int, seconds: float) -> None:
        # The debt is bounded so that a rank that used idle slots soon gets its share again.
        self._credit[rank] = max(-self._max_debt, self._credit[rank] - seconds)


def make_policy(rules: Rules, *, credit: float, debt: float) -> AdmissionPolicy:
    """Return a new policy as named by ``rules.admission``.

    ``credit`` and ``debt`` are the limits of ``WeightedShares``, in seconds.
    """
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

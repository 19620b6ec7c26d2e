"""Load of upstreams while moves of keys are planned."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from acaciasaddle.keyspace._types import KEY_COUNT
from acaciasaddle.keyspace._types import KeyRange
from acaciasaddle.keyspace._types import Owner

if TYPE_CHECKING:
    from collections.abc import Sequence

    from acaciasaddle.keyspace._load import KeyLoad
    from acaciasaddle.keyspace._types import KeyMap

MIN_SAMPLES = 40
"""With fewer samples keys are dealt out by their number, not by their load."""
IDLE_LOAD = 0.1
"""Load of all keys together by their number, in parts of the sampled load."""


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


class OwnerLoads:
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

    @property
    def sampled(self) -> bool:
        """Whether there are enough samples to go by."""
        return len(self._load) >= MIN_SAMPLES

    def of(self, keys: KeyRange) -> float:
        """Return the load of a range in samples."""
        by_size = self._weight * keys.size / KEY_COUNT
        if not self.sampled:
            return by_size
        return self._load.of(keys) + IDLE_LOAD * by_size

    def least(self) -> Owner:
        """Return the least utilised owner."""
        return min(self.total, key=self.use)

    def move(self, keys: KeyRange, source: Owner | None, target: Owner) -> None:
        """Count the load of a range to another owner."""
        weight = self.of(keys)
        self.total[target] += weight
        if source in self.total:
            self.total[source] -= weight

    def use(self, owner: Owner) -> float:
        """Return the load of an owner in parts of its capacity."""
        return self.total[owner] / self.capacity[owner]

    def mean_use(self) -> float:
        """Return the load of all owners together in parts of their capacity."""
        return sum(self.total.values()) / sum(self.capacity.values())

"""Load of the upstreams while moves of keys are planned."""

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
"""With fewer samples, load is measured by the number of keys instead."""
SIZE_LOAD_SHARE = 0.1
"""Load that all keys together have by their number alone, as a share of the sampled load."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Move:
    """Keys that get a new owner. ``source`` is the present owner, or ``None`` if there is none."""

    keys: KeyRange
    source: Owner | None
    target: Owner


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """An upstream to which keys may be moved.

    ``capacity`` is the number of requests that it runs at a time, weighted by its speed.
    """

    owner: Owner
    capacity: float


class OwnerLoads:
    """Load of each candidate while moves are planned."""

    def __init__(self, candidates: Sequence[Candidate], owners: KeyMap, load: KeyLoad) -> None:
        self.capacity = {item.owner: item.capacity for item in candidates}
        self._load = load
        # At least 1, so that keys are spread by their number before there are samples.
        self._total_samples = max(len(load), 1)
        self.owner_load = dict.fromkeys(self.capacity, 0.0)
        for span in owners.spans:
            if span.owner in self.owner_load:
                self.owner_load[span.owner] += self.load_of(span.keys)

    @property
    def has_enough_samples(self) -> bool:
        """Whether there are enough samples to measure load by them."""
        return len(self._load) >= MIN_SAMPLES

    def load_of(self, keys: KeyRange) -> float:
        """Return the load of a range in samples."""
        by_size = self._total_samples * keys.size / KEY_COUNT
        if not self.has_enough_samples:
            return by_size
        return self._load.sample_count(keys) + SIZE_LOAD_SHARE * by_size

    def least_utilised(self) -> Owner:
        """Return the least utilised candidate."""
        return min(self.owner_load, key=self.utilisation)

    def record_move(self, keys: KeyRange, source: Owner | None, target: Owner) -> None:
        """Move the load of a range to ``target``, from ``source`` if that is a candidate."""
        moved_load = self.load_of(keys)
        self.owner_load[target] += moved_load
        if source in self.owner_load:
            self.owner_load[source] -= moved_load

    def utilisation(self, owner: Owner) -> float:
        """Return the load of an owner divided by its capacity."""
        return self.owner_load[owner] / self.capacity[owner]

    def mean_utilisation(self) -> float:
        """Return the load of all candidates together divided by their total capacity."""
        return sum(self.owner_load.values()) / sum(self.capacity.values())

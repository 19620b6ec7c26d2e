"""Load of keys and speed of upstreams, from samples of recent requests."""

from __future__ import annotations

from bisect import bisect_left
from bisect import bisect_right
from collections import Counter
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from acaciasaddle.keyspace._types import KeyRange

LOAD_WINDOW_S = 5.0
"""Window over which the load of keys is measured. It is short, because hot keys change within
seconds. A shorter one has too few requests to compare upstreams."""
RECENT_S = 1.0
"""Window of the latest rate, which alone counts for keys that have just become hot or cold."""
KEY_GROUP_SIZE = 64
"""Number of neighbouring keys whose requests are counted together when rates are compared over
time. One key has too few requests."""
CHANGE_FACTOR = 3.0
CHANGE_SAMPLES = 6
"""A rate has changed if the higher one exceeds ``CHANGE_FACTOR`` times the lower one by more than
``CHANGE_SAMPLES`` requests per second. For a group with 6 requests per second, 6 requests are about
2.5 standard deviations."""
SATURATING_LOAD = 3.0
"""A key is taken to need all that one upstream can serve if it has more than this multiple of the
mean load of an upstream, not counting the hottest keys."""
MIN_SATURATING_SAMPLES = 30
"""With fewer samples, the load of one key may be chance."""
SPEED_WINDOW_S = 8.0
MIN_SPEED_SAMPLES = 5
"""For an upstream with fewer samples, the response time of all upstreams together is used."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadSample:
    """The arrival of a request for a key, or the response time of an upstream in seconds.

    In a sample of a response time ``key`` is -1; in a sample of an arrival ``seconds`` is negative.
    """

    service: str
    key: int
    upstream_id: str
    seconds: float


class LoadHistory:
    """Samples of the last few seconds from all hosts."""

    def __init__(self) -> None:
        self._arrivals: dict[str, deque[tuple[float, int]]] = {}
        self._responses: dict[str, deque[tuple[float, str, float]]] = {}

    def add(self, samples: Iterable[LoadSample], *, now: float) -> None:
        """Add samples with the time ``now``, and drop those that are too old."""
        for sample in samples:
            if sample.key >= 0:
                self._arrivals.setdefault(sample.service, deque()).append((now, sample.key))
            else:
                self._responses.setdefault(sample.service, deque()).append(
                    (now, sample.upstream_id, sample.seconds)
                )
        for arrivals in self._arrivals.values():
            while arrivals and arrivals[0][0] <= now - LOAD_WINDOW_S:
                arrivals.popleft()
        for responses in self._responses.values():
            while responses and responses[0][0] <= now - SPEED_WINDOW_S:
                responses.popleft()

    def key_load(self, service: str, *, now: float) -> KeyLoad:
        """Return the load of a service's keys over the window.

        For groups of keys whose rate has just changed, only the latest rate counts.
        """
        arrivals = [
            (at, key) for at, key in self._arrivals.get(service, ()) if at > now - LOAD_WINDOW_S
        ]
        if not arrivals:
            return KeyLoad(keys=[])
        window_s = max(now - arrivals[0][0], RECENT_S)
        earlier = [key for at, key in arrivals if at <= now - RECENT_S]
        recent = [key for at, key in arrivals if at > now - RECENT_S]
        changed = _changed_groups(earlier, recent, earlier_s=window_s - RECENT_S)
        if not changed:
            return KeyLoad(keys=sorted(earlier + recent))
        keys = [key for key in earlier if key // KEY_GROUP_SIZE not in changed]
        weight = max(1, round(window_s / RECENT_S))
        for key in recent:
            keys.extend([key] * (weight if key // KEY_GROUP_SIZE in changed else 1))
        return KeyLoad(keys=sorted(keys))

    def response_times(self, service: str, *, now: float) -> ResponseTimes:
        """Return typical response times of a service's upstreams."""
        by_upstream: dict[str, list[float]] = {}
        for at, upstream_id, seconds in self._responses.get(service, ()):
            if at > now - SPEED_WINDOW_S:
                by_upstream.setdefault(upstream_id, []).append(seconds)
        return ResponseTimes(by_upstream=by_upstream)


def _changed_groups(earlier: list[int], recent: list[int], *, earlier_s: float) -> set[int]:
    """Return the groups of neighbouring keys whose rate has just risen or fallen."""
    if earlier_s <= 0:
        return set()
    before = Counter(key // KEY_GROUP_SIZE for key in earlier)
    after = Counter(key // KEY_GROUP_SIZE for key in recent)
    scale = RECENT_S / earlier_s
    return {
        group
        for group in before.keys() | after.keys()
        if _rates_differ(before[group] * scale, after[group])
    }


def _rates_differ(one: float, other: float) -> bool:
    low, high = min(one, other), max(one, other)
    return high > CHANGE_FACTOR * low + CHANGE_SAMPLES


class KeyLoad:
    """Sampled keys in ascending order; the load of a range is its number of samples.

    ``saturating_keys`` are the keys that each need all that one upstream can serve, in ascending
    order.
    """

    def __init__(self, *, keys: list[int], saturating_keys: Sequence[int] = ()) -> None:
        self._keys = keys
        self.saturating_keys = saturating_keys

    def __len__(self) -> int:
        return len(self._keys)

    def with_saturating_keys(self, owners: int) -> KeyLoad:
        """Return the same load with its ``saturating_keys``, for a number of owners."""
        counts = Counter(self._keys)
        rest = len(self._keys)
        saturating = []
        for key, count in counts.most_common():
            if count <= max(MIN_SATURATING_SAMPLES, SATURATING_LOAD * rest / owners):
                break
            saturating.append(key)
            rest -= count
        return KeyLoad(keys=self._keys, saturating_keys=sorted(saturating))

    def has_saturating_key(self, keys: KeyRange) -> bool:
        """Return whether a range contains a saturating key."""
        index = bisect_left(self.saturating_keys, keys.first)
        return index < len(self.saturating_keys) and self.saturating_keys[index] in keys

    def sample_count(self, keys: KeyRange) -> int:
        """Return the number of samples in a range."""
        return bisect_right(self._keys, keys.last) - bisect_left(self._keys, keys.first)

    def key_at(self, keys: KeyRange, count: int) -> int:
        """Return the key of the ``count``-th sample in a range."""
        index = bisect_left(self._keys, keys.first) + count - 1
        return self._keys[min(index, len(self._keys) - 1)]


class ResponseTimes:
    """Lower quartiles of response times, which queueing for a slot hardly affects."""

    def __init__(self, *, by_upstream: dict[str, list[float]]) -> None:
        all_values = [value for values in by_upstream.values() for value in values]
        self._overall = _lower_quartile(all_values) if all_values else 0.0
        self._by_upstream = {
            name: _lower_quartile(values)
            for name, values in by_upstream.items()
            if len(values) >= MIN_SPEED_SAMPLES
        }

    def slowness(self, upstream_id: str) -> float:
        """Return an upstream's response time divided by that of all upstreams together.

        Return 1 if it is not known, and at least 0.1.
        """
        if not self._overall:
            return 1.0
        return max(self._by_upstream.get(upstream_id, self._overall) / self._overall, 0.1)


def _lower_quartile(values: list[float]) -> float:
    return sorted(values)[len(values) // 4]

"""Load of keys and speed of upstreams, from samples of recent requests."""

from __future__ import annotations

from bisect import bisect_left
from bisect import bisect_right
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from acaciasaddle.keyspace._types import KeyRange

LOAD_WINDOW_S = 5.0
"""Hot keys change within seconds; a shorter window holds too few requests to compare upstreams."""
SPEED_WINDOW_S = 8.0
MIN_SPEED_SAMPLES = 5
"""With fewer samples the speed of all upstreams together is assumed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadSample:
    """The arrival of a request for a key, or the response time of an upstream in seconds.

    ``key`` is -1 in a sample of a response time, ``seconds`` negative in one of an arrival.
    """

    service: str
    key: int
    upstream_id: str
    seconds: float


class LoadBook:
    """Samples of all hosts from the last seconds."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, LoadSample]] = deque()

    def add(self, samples: Iterable[LoadSample], *, now: float) -> None:
        """Add samples that have just been taken."""
        self._samples.extend((now, sample) for sample in samples)
        while self._samples and self._samples[0][0] < now - SPEED_WINDOW_S:
            self._samples.popleft()

    def keys(self, service: str, *, now: float) -> KeyLoad:
        """Return the load of a service's keys."""
        return KeyLoad(
            keys=sorted(
                sample.key
                for at, sample in self._samples
                if sample.service == service and sample.key >= 0 and at > now - LOAD_WINDOW_S
            )
        )

    def response_times(self, service: str, *, now: float) -> ResponseTimes:
        """Return typical response times of a service's upstreams."""
        by_upstream: dict[str, list[float]] = {}
        for at, sample in self._samples:
            if sample.service == service and sample.seconds >= 0 and at > now - SPEED_WINDOW_S:
                by_upstream.setdefault(sample.upstream_id, []).append(sample.seconds)
        return ResponseTimes(by_upstream=by_upstream)


class KeyLoad:
    """Sampled keys in ascending order; the load of a range is its number of samples."""

    def __init__(self, *, keys: list[int]) -> None:
        self._keys = keys

    def __len__(self) -> int:
        return len(self._keys)

    def of(self, keys: KeyRange) -> int:
        """Return the load of a range."""
        return bisect_right(self._keys, keys.last) - bisect_left(self._keys, keys.first)

    def key_at(self, keys: KeyRange, count: int) -> int:
        """Return the key up to which a range has ``count`` samples."""
        index = bisect_left(self._keys, keys.first) + count - 1
        return self._keys[min(index, len(self._keys) - 1)]


class ResponseTimes:
    """Lower quartiles of response times, which queues in front of the slots hardly change."""

    def __init__(self, *, by_upstream: dict[str, list[float]]) -> None:
        everything = [value for values in by_upstream.values() for value in values]
        self._all = _lower_quartile(everything) if everything else 0.0
        self._own = {
            name: _lower_quartile(values)
            for name, values in by_upstream.items()
            if len(values) >= MIN_SPEED_SAMPLES
        }

    def relative(self, upstream_id: str) -> float:
        """Return how much slower than all together an upstream is; 1 if not known."""
        if not self._all:
            return 1.0
        return max(self._own.get(upstream_id, self._all) / self._all, 0.1)


def _lower_quartile(values: list[float]) -> float:
    return sorted(values)[len(values) // 4]

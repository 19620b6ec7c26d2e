"""Observed service times and load of one upstream."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from acaciasaddle.model import UnitId

if TYPE_CHECKING:
    from collections.abc import Mapping

SERVICE_TIME_WEIGHT = 0.1
"""Weight of the latest service time in the average of its kind."""

LOAD_TIME_CONSTANT_S = 5.0
"""Time constant of the averaged load."""

FORGET_UNIT_BELOW = 1e-4
"""Slot time per second under which a unit's load is dropped."""

HOT_KEYS = 64
"""Keys tracked per upstream."""


class ServiceTimes:
    """Average time in a slot, by kind of work."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def expected(self, kind: str) -> float:
        """Return the average for a kind in seconds, 0 if none was observed."""
        return self._means.get(kind, 0.0)

    def observe(self, kind: str, seconds: float) -> None:
        """Add a service time."""
        mean = self._means.get(kind)
        if mean is None:
            self._means[kind] = seconds
        else:
            self._means[kind] = mean + SERVICE_TIME_WEIGHT * (seconds - mean)


class DecayingSums:
    """Slot time per second by unit, averaged with ``LOAD_TIME_CONSTANT_S``.

    With a ``limit``, only the largest sums are kept: a new one replaces the smallest and takes
    over its value, so that no heavy one is missed and none is underestimated.
    Source: Metwally, Agrawal and El Abbadi, "Efficient computation of frequent and top-k elements
    in data streams" (ICDT 2005), the Space-Saving algorithm.
    """

    def __init__(self, *, limit: int | None = None) -> None:
        self._limit = limit
        self._sums: dict[UnitId, tuple[float, float]] = {}

    def add(self, now: float, unit: UnitId, seconds: float) -> None:
        """Add slot time used."""
        value, at = self._sums.get(unit) or (self._make_room(now), now)
        value *= math.exp((at - now) / LOAD_TIME_CONSTANT_S)
        self._sums[unit] = (value + seconds / LOAD_TIME_CONSTANT_S, now)

    def current(self, now: float) -> Mapping[UnitId, float]:
        """Return the sums, and drop those that have become negligible."""
        current = {
            unit: value * math.exp((at - now) / LOAD_TIME_CONSTANT_S)
            for unit, (value, at) in self._sums.items()
        }
        for unit, value in current.items():
            if value < FORGET_UNIT_BELOW:
                del self._sums[unit]
        return {unit: value for unit, value in current.items() if value >= FORGET_UNIT_BELOW}

    def _make_room(self, now: float) -> float:
        if self._limit is None or len(self._sums) < self._limit:
            return 0.0
        current = self.current(now)
        if len(current) < self._limit:
            return 0.0
        smallest = min(current, key=lambda unit: current[unit])
        del self._sums[smallest]
        return current[smallest]


class LoadAverage:
    """Slot time in use, averaged with ``LOAD_TIME_CONSTANT_S``."""

    def __init__(self, *, now: float) -> None:
        self._at = now
        self._running = 0
        self._busy = 0.0
        self._units = DecayingSums()
        self._keys = DecayingSums(limit=HOT_KEYS)

    def change(self, now: float, delta: int) -> None:
        """Add ``delta`` to the number of requests in progress."""
        self._advance(now)
        self._running += delta

    def used(self, now: float, unit: UnitId, key: str, seconds: float) -> None:
        """Add slot time used by a request for a key of a unit."""
        self._units.add(now, unit, seconds)
        if key and not unit.is_pin:
            self._keys.add(now, UnitId.pin(unit.service, unit.group, key), seconds)

    def busy(self, now: float, slots: int) -> float:
        """Return the part of slot time in use, 0 to 1."""
        self._advance(now)
        return min(1.0, self._busy / max(1, slots))

    def units(self, now: float) -> Mapping[UnitId, float]:
        """Return the slot time used per second by each unit."""
        return self._units.current(now)

    def keys(self, now: float) -> Mapping[UnitId, float]:
        """Return the slot time used per second by the hottest keys of shards, as pins."""
        return self._keys.current(now)

    def _advance(self, now: float) -> None:
        keep = math.exp((self._at - now) / LOAD_TIME_CONSTANT_S)
        self._busy = self._busy * keep + self._running * (1.0 - keep)
        self._at = now

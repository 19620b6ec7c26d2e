"""Measured service times and load of one upstream."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from acaciasaddle.model import UnitId

if TYPE_CHECKING:
    from collections.abc import Mapping

SERVICE_TIME_WEIGHT = 0.1
"""Weight of a new service time in the moving average of its kind."""

LOAD_TIME_CONSTANT_S = 5.0
"""Time constant of the exponential averages of load."""

MIN_UNIT_LOAD = 1e-4
"""Slot time per second below which the load of a unit or key is dropped."""

MAX_TRACKED_KEYS = 64
"""Number of keys whose load is tracked per upstream."""


class ServiceTimes:
    """Average time that a request occupies a slot, by kind of work."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def expected(self, kind: str) -> float:
        """Return the average for a kind in seconds, 0 if none was measured."""
        return self._means.get(kind, 0.0)

    def observe(self, kind: str, seconds: float) -> None:
        """Add a service time to the average of its kind."""
        mean = self._means.get(kind)
        if mean is None:
            self._means[kind] = seconds
        else:
            self._means[kind] = mean + SERVICE_TIME_WEIGHT * (seconds - mean)


class DecayingSums:
    """Slot time used per second by unit, averaged with ``LOAD_TIME_CONSTANT_S``.

    With a ``limit``, at most that many units are tracked. A new unit replaces the one with the
    smallest sum and takes over that sum, so that no heavy unit is missed and none is
    underestimated.

    Source: Metwally, Agrawal and El Abbadi, "Efficient computation of frequent and top-k elements
    in data streams" (ICDT 2005), the Space-Saving algorithm.
    """

    def __init__(self, *, limit: int | None = None) -> None:
        self._limit = limit
        self._sums: dict[UnitId, tuple[float, float]] = {}

    def add(self, now: float, unit: UnitId, seconds: float) -> None:
        """Add slot time used by a unit, in seconds."""
        value, updated_at = self._sums.get(unit) or (self._evict_smallest(now), now)
        value *= math.exp((updated_at - now) / LOAD_TIME_CONSTANT_S)
        self._sums[unit] = (value + seconds / LOAD_TIME_CONSTANT_S, now)

    def current(self, now: float) -> Mapping[UnitId, float]:
        """Return the sums by unit. Those below ``MIN_UNIT_LOAD`` are dropped."""
        current = {
            unit: value * math.exp((updated_at - now) / LOAD_TIME_CONSTANT_S)
            for unit, (value, updated_at) in self._sums.items()
        }
        for unit, value in current.items():
            if value < MIN_UNIT_LOAD:
                del self._sums[unit]
        return {unit: value for unit, value in current.items() if value >= MIN_UNIT_LOAD}

    def _evict_smallest(self, now: float) -> float:
        if self._limit is None or len(self._sums) < self._limit:
            return 0.0
        current = self.current(now)
        if len(current) < self._limit:
            return 0.0
        smallest = min(current, key=lambda unit: current[unit])
        del self._sums[smallest]
        return current[smallest]


class LoadAverage:
    """Averages of the load of an upstream, its units and its hottest keys.

    They are exponential averages with ``LOAD_TIME_CONSTANT_S``.
    """

    def __init__(self, *, now: float) -> None:
        self._updated_at = now
        self._running = 0
        self._busy = 0.0
        self._units = DecayingSums()
        self._keys = DecayingSums(limit=MAX_TRACKED_KEYS)

    def add_running(self, now: float, delta: int) -> None:
        """Add ``delta`` to the number of slots in use."""
        self._advance(now)
        self._running += delta

    def add_slot_time(self, now: float, unit: UnitId, key: str, seconds: float) -> None:
        """Add the slot time, in seconds, used by a request for a key of a unit."""
        self._units.add(now, unit, seconds)
        if key and not unit.is_pin:
            self._keys.add(now, UnitId.pin(unit.service, unit.group, key), seconds)

    def busy(self, now: float, slots: int) -> float:
        """Return the fraction of the slot time in use, 0 to 1."""
        self._advance(now)
        return min(1.0, self._busy / max(1, slots))

    def units(self, now: float) -> Mapping[UnitId, float]:
        """Return the slot time used per second by each unit."""
        return self._units.current(now)

    def keys(self, now: float) -> Mapping[UnitId, float]:
        """Return the slot time used per second by the hottest keys that are not pinned.

        Each key is given as the unit that it would be if it were pinned.
        """
        return self._keys.current(now)

    def _advance(self, now: float) -> None:
        decay = math.exp((self._updated_at - now) / LOAD_TIME_CONSTANT_S)
        self._busy = self._busy * decay + self._running * (1.0 - decay)
        self._updated_at = now

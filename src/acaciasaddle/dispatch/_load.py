"""Observed service times and load of one upstream."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from acaciasaddle.model import UnitId

SERVICE_TIME_WEIGHT = 0.1
"""Weight of the latest service time in the average of its kind."""

LOAD_TIME_CONSTANT_S = 5.0
"""Time constant of the averaged load."""

FORGET_UNIT_BELOW = 1e-4
"""Slot time per second under which a unit's load is dropped."""


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


class LoadAverage:
    """Slot time in use, averaged with ``LOAD_TIME_CONSTANT_S``."""

    def __init__(self, *, now: float) -> None:
        self._at = now
        self._running = 0
        self._busy = 0.0
        self._units: dict[UnitId, tuple[float, float]] = {}

    def change(self, now: float, delta: int) -> None:
        """Add ``delta`` to the number of requests in progress."""
        self._advance(now)
        self._running += delta

    def unit_used(self, now: float, unit: UnitId, seconds: float) -> None:
        """Add slot time used by a unit."""
        value, at = self._units.get(unit, (0.0, now))
        value *= math.exp((at - now) / LOAD_TIME_CONSTANT_S)
        self._units[unit] = (value + seconds / LOAD_TIME_CONSTANT_S, now)

    def busy(self, now: float, slots: int) -> float:
        """Return the part of slot time in use, 0 to 1."""
        self._advance(now)
        return min(1.0, self._busy / max(1, slots))

    def units(self, now: float) -> Mapping[UnitId, float]:
        """Return the slot time used per second by each unit."""
        current = {
            unit: value * math.exp((at - now) / LOAD_TIME_CONSTANT_S)
            for unit, (value, at) in self._units.items()
        }
        for unit, value in current.items():
            if value < FORGET_UNIT_BELOW:
                del self._units[unit]
        return {unit: value for unit, value in current.items() if value >= FORGET_UNIT_BELOW}

    def _advance(self, now: float) -> None:
        keep = math.exp((self._at - now) / LOAD_TIME_CONSTANT_S)
        self._busy = self._busy * keep + self._running * (1.0 - keep)
        self._at = now

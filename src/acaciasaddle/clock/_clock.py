"""Clocks for leases, deadlines and ages."""

from __future__ import annotations

import time
from abc import ABC
from abc import abstractmethod

import trio


class Clock(ABC):
    """A clock whose ``now`` never goes back. Readings of different clocks are not comparable."""

    @abstractmethod
    def now(self) -> float:
        """Return the current reading in seconds."""

    @abstractmethod
    def wall(self) -> float:
        """Return the time of day in seconds since the epoch.

        It is used to check the age of UUIDv7 identifiers and for timestamps, never for leases.
        """


class BootClock(Clock):
    """CLOCK_BOOTTIME, which unlike CLOCK_MONOTONIC counts while the host is suspended."""

    def now(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        return time.time()


class TrioClock(Clock):
    """Trio's clock, so that tests can run on ``trio.testing.MockClock``."""

    def __init__(self, *, wall_offset: float = 1_700_000_000.0) -> None:
        self._wall_offset = wall_offset

    def now(self) -> float:
        return trio.current_time()

    def wall(self) -> float:
        return trio.current_time() + self._wall_offset

"""Clocks with readings in seconds, for leases, deadlines and ages."""

from __future__ import annotations

from acaciasaddle.clock._clock import BootClock
from acaciasaddle.clock._clock import Clock
from acaciasaddle.clock._clock import TrioClock

__all__ = ["BootClock", "Clock", "TrioClock"]

"""Delays of the event loop, which make every request of the process late."""

from __future__ import annotations

import time
from collections import deque
from typing import TYPE_CHECKING

import trio

from acaciasaddle.observe._logs import get_logger

if TYPE_CHECKING:
    from acaciasaddle.observe._metrics import Metrics

MIN_DELAY_S = 0.1
"""Half of the time that a closing connection leaves its caller for the next request."""

PASSES_TO_TASK = 3
"""Passes of the loop until a task runs for a signal: one in which the signal arrives, one in which
trio takes it, and one in which the task runs."""

log = get_logger("loop")


class LoopMonitor(trio.abc.Instrument):
    """Logs and counts each delay of the event loop of at least ``MIN_DELAY_S``.

    The loop is *busy* while tasks run without returning to it, and wakes *late* if a wait lasts
    longer than its timeout, as in a process that is paused or gets too little processor time.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics
        self._since = time.monotonic()
        self._waits = deque([self._since], maxlen=PASSES_TO_TASK)

    def longest_delay_s(self) -> float:
        """Return how long ago a signal that a task handles now may have arrived."""
        return time.monotonic() - self._waits[0]

    def before_io_wait(self, timeout: float) -> None:
        """Called by trio before the loop waits for at most ``timeout`` s."""
        now = time.monotonic()
        self._note("busy", now - self._since)
        self._since = now
        self._waits.append(now)

    def after_io_wait(self, timeout: float) -> None:
        """Called by trio after that wait."""
        now = time.monotonic()
        self._note("late", now - self._since - timeout)
        self._since = now

    def _note(self, kind: str, delay_s: float) -> None:
        if delay_s >= MIN_DELAY_S:
            self._metrics.count(f"loop.delayed.{kind}")
            log.warning("event loop delayed", kind=kind, seconds=round(delay_s, 3))

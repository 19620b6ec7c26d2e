"""Budget of repeated sends (retries), shared by all hosts."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

SAFETY_FACTOR = 0.8
"""Share of the budget that is used, since the sliding windows of the hosts are not aligned."""


@dataclass(frozen=True, slots=True, kw_only=True)
class BudgetLimits:
    """Repeats allowed for a service in any window of ``window_s`` seconds.

    ``ratio`` is relative to the requests of each host; ``slack`` is a further number of repeats
    that all hosts share.
    """

    ratio: float
    window_s: float
    slack: float


class _Window:
    """Times of the requests and repeats of a service within the window."""

    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.repeats: deque[float] = deque()

    def expire(self, before: float) -> None:
        for times in (self.requests, self.repeats):
            while times and times[0] < before:
                times.popleft()


class RepeatBudget:
    """This host's share of the budget, kept for each service."""

    def __init__(self, *, limits: BudgetLimits, hosts: Callable[[], int]) -> None:
        """Create a budget; ``hosts`` returns the number of hosts that share the slack.

        It returns 0 if the number is not known. A host then uses none of the slack, since there
        may be any number of hosts.
        """
        self._limits = limits
        self._hosts = hosts
        self._windows: dict[str, _Window] = {}

    def note_request(self, service: str, *, now: float) -> None:
        """Count a request for a service."""
        self._window(service, now).requests.append(now)

    def remaining(self, service: str, *, now: float) -> float:
        """Return how many more repeats may be sent now; it may be a fraction or negative."""
        window = self._window(service, now)
        hosts = self._hosts()
        slack = self._limits.slack / hosts if hosts else 0.0
        allowed = SAFETY_FACTOR * (self._limits.ratio * len(window.requests) + slack)
        return allowed - len(window.repeats)

    def take(self, service: str, *, now: float) -> bool:
        """Count a repeat if the budget allows it, and return whether it may be sent."""
        if self.remaining(service, now=now) < 1:
            return False
        self._window(service, now).repeats.append(now)
        return True

    def _window(self, service: str, now: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.expire(now - self._limits.window_s)
        return window

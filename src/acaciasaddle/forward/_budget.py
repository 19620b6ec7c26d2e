"""The budget of repeated sends, which all hosts share."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

SAFETY = 0.8
"""Part of the budget that is used: the windows of several hosts never line up."""


@dataclass(frozen=True, slots=True, kw_only=True)
class BudgetTerms:
    """Repeats allowed in any window: ``ratio`` of the requests, and ``slack`` for all hosts."""

    ratio: float
    window_s: float
    slack: float


class _Window:
    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.repeats: deque[float] = deque()

    def expire(self, before: float) -> None:
        for times in (self.requests, self.repeats):
            while times and times[0] < before:
                times.popleft()


class RepeatBudget:
    """This host's part of the budget, for each service."""

    def __init__(self, *, terms: BudgetTerms, hosts: int) -> None:
        """``hosts`` is the number of hosts that share the slack; it may be changed."""
        self._terms = terms
        self.hosts = hosts
        self._windows: dict[str, _Window] = {}

    def note_request(self, service: str, *, now: float) -> None:
        """Count a request for a service."""
        self._window(service, now).requests.append(now)

    def left(self, service: str, *, now: float) -> float:
        """Return how many more repeats may be sent now."""
        window = self._window(service, now)
        slack = self._terms.slack / max(1, self.hosts)
        allowed = SAFETY * (self._terms.ratio * len(window.requests) + slack)
        return allowed - len(window.repeats)

    def take(self, service: str, *, now: float) -> bool:
        """Count a repeat if the budget allows it; returns whether it may be sent."""
        if self.left(service, now=now) < 1:
            return False
        self._window(service, now).repeats.append(now)
        return True

    def _window(self, service: str, now: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.expire(now - self._terms.window_s)
        return window

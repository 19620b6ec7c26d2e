"""The budget of repeated sends, which all hosts share."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

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

    def __init__(self, *, terms: BudgetTerms, hosts: Callable[[], int]) -> None:
        """``hosts`` returns the number of hosts that share the slack, or 0 if it is not known.

        Without that number a host uses none of the slack, since there may be any number of hosts.
        """
        self._terms = terms
        self._hosts = hosts
        self._windows: dict[str, _Window] = {}

    def note_request(self, service: str, *, now: float) -> None:
        """Count a request for a service."""
        self._window(service, now).requests.append(now)

    def left(self, service: str, *, now: float) -> float:
        """Return how many more repeats may be sent now."""
        window = self._window(service, now)
        hosts = self._hosts()
        slack = self._terms.slack / hosts if hosts else 0.0
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

"""Bounded log of the steps of each request, for ``GET /explain`` of the operator API."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

MAX_REQUESTS = 4096


@dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """One step in the handling of a request. ``at`` is in seconds since the epoch."""

    at: float
    step: str
    detail: str


class DecisionLog:
    """The decisions for the latest requests that entered at this host."""

    def __init__(self) -> None:
        self._requests: OrderedDict[str, list[Decision]] = OrderedDict()

    def add(self, request_id: str, decision: Decision) -> None:
        """Add a decision, and drop the oldest request if the log is full."""
        self._requests.setdefault(request_id, []).append(decision)
        if len(self._requests) > MAX_REQUESTS:
            self._requests.popitem(last=False)

    def get(self, request_id: str) -> tuple[Decision, ...]:
        """Return the decisions for a request; empty if the request is unknown."""
        return tuple(self._requests.get(request_id, ()))

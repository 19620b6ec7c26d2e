"""Limit on the rate of retries."""

from __future__ import annotations

MAX_TOKENS = 10.0
"""Capacity of the bucket: number of retries that may follow each other if it is full."""


class RetryBudget:
    """Token bucket for retries: each request adds a fraction of a token, each retry takes one."""

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def add(self, fraction: float) -> None:
        """Add the fraction of a token that one request earns."""
        self._tokens = min(MAX_TOKENS, self._tokens + fraction)

    def try_take(self) -> bool:
        """Take a token for a retry. Return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

"""Limit on retries."""

from __future__ import annotations

MAX_TOKENS = 10.0
"""Retries that may follow each other after a quiet time."""


class RetryBudget:
    """Token bucket: each request adds a part of a token, each retry takes a whole one."""

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def earn(self, part: float) -> None:
        """Add ``part`` of a retry, as allowed for each request."""
        self._tokens = min(MAX_TOKENS, self._tokens + part)

    def spend(self) -> bool:
        """Take a token; returns whether a retry is allowed."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

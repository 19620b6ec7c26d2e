"""Timestamps of UUIDv7 keys."""

from __future__ import annotations

import re

from acaciasaddle.errors import RequestError

UUID7 = re.compile(
    r"([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}", re.IGNORECASE
)


def uuid7_time(text: str) -> float:
    """Return the time in a UUIDv7, in seconds since the epoch.

    Raises ``RequestError`` (400) if ``text`` is not a UUIDv7 (RFC 9562, section 5.7) in the usual
    written form.
    """
    match = UUID7.fullmatch(text)
    if match is None:
        raise RequestError(
            "the header Idempotency-Key must hold a UUIDv7", status=400, step="dispatch.once"
        )
    return int(match[1] + match[2], 16) / 1000

"""UUIDv7 (RFC 9562), which the standard library lacks before Python 3.14."""

from __future__ import annotations

import secrets
import time
import uuid


def uuid7(*, unix_ms: int | None = None) -> uuid.UUID:
    """Return a new UUIDv7. ``unix_ms`` is its time in Unix milliseconds, by default now."""
    timestamp_ms = int(time.time() * 1000) if unix_ms is None else unix_ms
    value = (timestamp_ms & (1 << 48) - 1) << 80
    value |= 0x7 << 76
    value |= secrets.randbits(12) << 64
    value |= 0b10 << 62
    value |= secrets.randbits(62)
    return uuid.UUID(int=value)

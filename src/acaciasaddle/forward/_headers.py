"""Headers that pass from callers to upstreams and back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciasaddle.http_headers import HOP_BY_HOP

if TYPE_CHECKING:
    from collections.abc import Collection

    from acaciasaddle.http1 import RawHeaders

FRAMING = frozenset({"content-length", "expect"})
"""Bodies are framed anew, and no interim response is asked for."""


def passed_on(headers: RawHeaders, *, without: Collection[str] = ()) -> RawHeaders:
    """Return the headers that do not concern a single connection or the framing."""
    dropped = {*HOP_BY_HOP, *FRAMING, *without}
    for name, value in headers:
        if name.lower() == b"connection":
            dropped.update(token.strip().lower() for token in value.decode("latin-1").split(","))
    return [
        (name, value) for name, value in headers if name.lower().decode("latin-1") not in dropped
    ]

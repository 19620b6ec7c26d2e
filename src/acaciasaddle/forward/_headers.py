"""Selection of the headers that are forwarded from callers to upstreams and back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciasaddle.http_headers import HOP_BY_HOP

if TYPE_CHECKING:
    from collections.abc import Collection

    from acaciasaddle.http1 import RawHeaders

FRAMING_HEADERS = frozenset({"content-length", "expect"})
"""These are not forwarded: the body gets new framing, and no interim response is requested."""


def end_to_end_headers(headers: RawHeaders, *, without: Collection[str] = ()) -> RawHeaders:
    """Return the headers that are neither hop-by-hop nor in ``FRAMING_HEADERS``.

    Headers that are listed in ``without`` are left out too; their names are in lower case.
    """
    dropped = {*HOP_BY_HOP, *FRAMING_HEADERS, *without}
    for name, value in headers:
        if name.lower() == b"connection":
            dropped.update(token.strip().lower() for token in value.decode("latin-1").split(","))
    return [
        (name, value) for name, value in headers if name.lower().decode("latin-1") not in dropped
    ]

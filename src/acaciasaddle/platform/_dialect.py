"""Headers of requests and responses on the users' platform."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from acaciasaddle.forward import Dialect
from acaciasaddle.forward import RequestMetadata
from acaciasaddle.platform import _wire

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_KEY = 65_535
MAX_DEADLINE_MS = 3_600_000
MAX_PAUSE_S = 60.0
"""Longest time for which one answer keeps requests from its upstream, so that a wrong value cannot
take the upstream out for good."""
MAX_PAUSE_CHARACTERS = 32
_DECIMAL = re.compile(r"[0-9]+(\.[0-9]+)?", re.ASCII)


class PlatformDialect(Dialect):
    """Reads the headers of callers and upstreams, and writes those of requests to upstreams."""

    system_headers = frozenset({_wire.DEADLINE_MS, _wire.TARGET_UPSTREAM})

    def read_request(self, fields: Mapping[str, str]) -> RequestMetadata:
        return RequestMetadata(
            request_id=fields.get(_wire.REQUEST_ID, ""),
            deadline_s=_number(fields.get(_wire.DEADLINE_MS), MAX_DEADLINE_MS, scale=1000.0),
            key=_key(fields.get(_wire.KEY)),
        )

    def upstream_headers(
        self, *, upstream_id: str, remaining_s: float
    ) -> list[tuple[bytes, bytes]]:
        remaining_ms = max(1, int(remaining_s * 1000))
        return [
            (b"Request-Deadline", str(remaining_ms).encode()),
            (b"Target-Instance", upstream_id.encode("latin-1")),
        ]

    def answers(self, fields: Mapping[str, str], metadata: RequestMetadata) -> bool:
        return fields.get(_wire.REQUEST_ID, "") == metadata.request_id

    def is_not_run(self, status: int, fields: Mapping[str, str]) -> bool:
        # The header is only valid with these statuses; with any other the response contradicts
        # itself.
        return _wire.NOT_EXECUTED in fields and status in (400, 421, 429, 503)

    def is_other_upstream(self, fields: Mapping[str, str], upstream_id: str) -> bool:
        return fields.get(_wire.UPSTREAM_ID, upstream_id) != upstream_id

    def is_leaving(self, status: int, fields: Mapping[str, str], upstream_id: str) -> bool:
        return says_leaving(status, fields, upstream_id)

    def requested_pause_s(self, status: int, fields: Mapping[str, str]) -> float | None:
        if status != 503:
            return None
        return _pause_s(fields.get(_wire.RETRY_AFTER, ""))

    def is_signed(self, fields: Mapping[str, str]) -> bool:
        return bool(fields.get(_wire.SIGNATURE))


def says_leaving(status: int, fields: Mapping[str, str], upstream_id: str) -> bool:
    """Return whether an answer says that the upstream with an id leaves.

    A 421 may come from another upstream that has taken the address, and has to name the upstream.
    """
    if fields.get(_wire.LEAVING, "") != "1":
        return False
    default = "" if status == 421 else upstream_id
    return fields.get(_wire.UPSTREAM_ID, default) == upstream_id


def _pause_s(text: str) -> float | None:
    """Return the seconds of a ``Retry-After``; ``None`` for a date or another value."""
    if len(text) > MAX_PAUSE_CHARACTERS or not _DECIMAL.fullmatch(text):
        return None
    return min(float(text), MAX_PAUSE_S)


def _number(text: str | None, maximum: int, *, scale: float) -> float | None:
    """Return the number, capped at ``maximum`` and divided by ``scale``, or ``None``."""
    if text is None or not text.isascii() or not text.isdigit():
        return None
    # Python refuses to convert thousands of digits.
    digits = text.lstrip("0") or "0"
    value = int(digits) if len(digits) <= len(str(maximum)) else maximum
    return min(value, maximum) / scale


def _key(text: str | None) -> int | None:
    """Return a key, or ``None`` if the text is not a valid one."""
    if text is None or not text.isascii() or not text.isdigit():
        return None
    digits = text.lstrip("0") or "0"
    if len(digits) > len(str(MAX_KEY)) or int(digits) > MAX_KEY:
        return None
    return int(digits)

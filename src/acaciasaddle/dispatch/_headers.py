"""Headers of requests to an upstream and of its responses."""

from __future__ import annotations

import string
from typing import TYPE_CHECKING
from urllib.parse import quote

from acaciasaddle.http_headers import HOP_BY_HOP

if TYPE_CHECKING:
    from collections.abc import Iterable

    from acaciasaddle.model import Headers
    from acaciasaddle.model import WorkRequest
    from acaciasaddle.ownership import Permit

RawHeaders = list[tuple[bytes, bytes]]

RESERVED_HEADER_PREFIX = "acaciasaddle-"
OUTCOME_HEADER = "acaciasaddle-outcome"

# The body is framed anew for the upstream, without waiting for an interim response (100 Continue).
REPLACED_REQUEST_HEADERS = frozenset({"content-length", "expect"})

BODILESS_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "DELETE", "TRACE"})

UNENCODED_CHARACTERS = "".join(c for c in string.punctuation if c != "%") + " "


def end_to_end(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers that are neither hop-by-hop nor have the reserved prefix."""
    headers = list(headers)
    dropped = set(HOP_BY_HOP)
    for name, value in headers:
        if name.lower() == "connection":
            dropped.update(token.strip().lower() for token in value.split(","))
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in dropped and not name.lower().startswith(RESERVED_HEADER_PREFIX)
    ]


def request_headers(
    req: WorkRequest, permit: Permit, *, request_id: str, remaining_ms: float, deadline_ms: float
) -> RawHeaders:
    """Return the headers of a caller's request as it is sent to an upstream.

    An upstream that checks orders gets the term and ``deadline_ms``, the deadline on its own
    clock; any other gets ``remaining_ms``, the time left until the deadline.
    """
    headers = [
        (name, value)
        for name, value in end_to_end(req.headers)
        if name.lower() not in REPLACED_REQUEST_HEADERS
    ]
    if not any(name.lower() == "host" for name, _ in headers):
        headers.insert(0, ("Host", permit.address))
    if req.body_length > 0:
        headers.append(("Content-Length", str(req.body_length)))
    elif req.body_length < 0:
        headers.append(("Transfer-Encoding", "chunked"))
    elif req.method not in BODILESS_METHODS:
        headers.append(("Content-Length", "0"))
    headers.append(("Acaciasaddle-Unit", _percent_encode(str(req.unit))))
    headers.append(("Acaciasaddle-Key", _percent_encode(req.key)))
    headers.append(("Acaciasaddle-Request-Id", request_id))
    if permit.checks_orders:
        headers.append(("Acaciasaddle-Term", str(permit.term)))
        headers.append(("Acaciasaddle-Deadline", str(int(deadline_ms))))
    else:
        headers.append(("Acaciasaddle-Timeout", str(max(1, int(remaining_ms)))))
    return [(name.encode("ascii"), value.encode("latin-1")) for name, value in headers]


def cancel_headers(permit: Permit) -> RawHeaders:
    """Return the headers of a request that cancels another request."""
    headers = [("Host", permit.address)]
    if permit.checks_orders:
        headers.append(("Acaciasaddle-Term", str(permit.term)))
    return [(name.encode("ascii"), value.encode("ascii")) for name, value in headers]


def response_headers(raw: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers of an upstream's response that are forwarded to the caller."""
    return tuple(end_to_end((n.decode("latin-1"), v.decode("latin-1")) for n, v in raw))


def find(raw: Iterable[tuple[bytes, bytes]], name: str) -> str:
    """Return the value of a header, empty if it is missing. ``name`` must be in lower case."""
    for key, value in raw:
        if key.decode("latin-1").lower() == name:
            return value.decode("latin-1")
    return ""


def _percent_encode(text: str) -> str:
    # Values of new header fields should be ASCII (RFC 9110, section 5.5); keys may hold any
    # character.
    return quote(text, safe=UNENCODED_CHARACTERS)

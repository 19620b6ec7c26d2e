"""Check of response heads that h11 accepts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_STATUS = 599


def response_problem(*, version: bytes, status: int, headers: Iterable[tuple[bytes, bytes]]) -> str:
    """Return why the head of a final response is not valid, or an empty string.

    ``version`` has the digits only, such as ``1.1``. See RFC 9110, section 15, and RFC 9112,
    sections 2.3, 6.1 and 6.3.
    """
    fields = {name.lower(): value for name, value in headers}
    length, chunked = fields.get(b"content-length"), b"transfer-encoding" in fields
    if not version.startswith(b"1."):
        return "unknown version of HTTP"
    if not 200 <= status <= MAX_STATUS:
        return f"status {status}"
    if chunked and length is not None:
        return "both Content-Length and Transfer-Encoding"
    if chunked and version == b"1.0":
        return "Transfer-Encoding in HTTP/1.0"
    if status == 204 and (chunked or int(length or 0)):
        return "status 204 with a body"
    return ""

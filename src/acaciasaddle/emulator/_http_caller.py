"""HTTP connections of the load tool, and the outcome of each attempt to send a request."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

import httpcore
import trio

from acaciasaddle.emulator._records import CallerOutcome

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CHUNK_BYTES = 64 * 1024
MAX_KEPT_BYTES = 4096
"""Number of bytes that are kept from the start of a response body.

They contain the stand-in's fields, which come before its padding.
"""

FILLER = b"." * CHUNK_BYTES


@dataclass(frozen=True, slots=True, kw_only=True)
class OutgoingRequest:
    """A request of the load tool.

    ``tag`` is unique. The target contains it, and the body begins with as much of it as
    ``body_bytes`` allows.
    """

    method: str
    target: str
    tag: str
    headers: tuple[tuple[bytes, bytes], ...]
    body_bytes: int

    def chunks(self) -> list[bytes]:
        """Return the body in chunks of at most 64 KiB. Full chunks share memory."""
        head = self.tag.encode()[: self.body_bytes]
        chunks = [head] if head else []
        remaining = self.body_bytes - len(head)
        chunks += [FILLER] * (remaining // CHUNK_BYTES)
        if remaining % CHUNK_BYTES:
            chunks.append(FILLER[: remaining % CHUNK_BYTES])
        return chunks


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """Result of sending a request once.

    ``retry_after_s`` is ``None`` unless the response gives it as a whole number of seconds.
    """

    outcome: CallerOutcome
    status: int = 0
    retry_after_s: float | None = None


class HostConnections:
    """One entry host and the idle connections to it.

    Used in place of httpcore's own pool, which iterates over all of its connections at each
    request.
    """

    def __init__(self, *, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self._host, self._port = host, int(port)
        self._origin = httpcore.Origin(b"http", host.encode(), self._port)
        self._backend = httpcore.TrioBackend()
        self._idle: list[httpcore.AsyncHTTP11Connection] = []

    async def attempt(self, req: OutgoingRequest) -> Attempt:
        """Send a request, read the whole response and return the result."""
        try:
            conn = await self._connection()
        except (httpcore.ConnectError, httpcore.ConnectTimeout, OSError):
            return Attempt(outcome=CallerOutcome.NO_ANSWER)
        try:
            result = await self._exchange(conn, req)
        finally:
            if conn.is_idle():
                self._idle.append(conn)
            else:
                with trio.CancelScope(shield=True):
                    await conn.aclose()
        return result

    async def aclose(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().aclose()

    async def _connection(self) -> httpcore.AsyncHTTP11Connection:
        while self._idle:
            conn = self._idle.pop()
            if not conn.has_expired():
                return conn
            await conn.aclose()
        stream = await self._backend.connect_tcp(self._host, self._port)
        return httpcore.AsyncHTTP11Connection(origin=self._origin, stream=stream)

    async def _exchange(
        self, conn: httpcore.AsyncHTTP11Connection, req: OutgoingRequest
    ) -> Attempt:
        host = (b"Host", self.address.encode())
        length = (b"Content-Length", str(req.body_bytes).encode())
        headers = [host, *req.headers, *([length] if req.body_bytes else [])]
        url = httpcore.URL(
            scheme=b"http", host=self._host.encode(), port=self._port, target=req.target.encode()
        )
        chunks = req.chunks()
        try:
            resp = await conn.handle_async_request(
                httpcore.Request(req.method, url, headers=headers, content=_stream(chunks))
            )
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError):
            return Attempt(outcome=CallerOutcome.NO_ANSWER)
        head = bytearray()
        truncated = False
        try:
            async for part in resp.aiter_stream():
                head += part[: MAX_KEPT_BYTES - len(head)]
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError):
            truncated = True
        finally:
            with trio.CancelScope(shield=True):
                await resp.aclose()
        return _classify(req, chunks, resp, bytes(head), truncated=truncated)


async def _stream(chunks: list[bytes]) -> AsyncIterator[bytes]:
    for chunk in chunks:
        yield chunk


def _classify(
    req: OutgoingRequest,
    chunks: list[bytes],
    resp: httpcore.Response,
    head: bytes,
    *,
    truncated: bool,
) -> Attempt:
    headers = {name.lower(): value.decode("latin-1") for name, value in resp.headers}
    retry_after = headers.get(b"retry-after", "")
    outcome = _classify_status(resp.status, headers.get(b"acaciasaddle-outcome", ""))
    if truncated and outcome is CallerOutcome.COMPLETED:
        outcome = CallerOutcome.CUT
    elif outcome is CallerOutcome.COMPLETED and not _is_own_response(req, chunks, head):
        outcome = CallerOutcome.FOREIGN
    return Attempt(
        outcome=outcome,
        status=resp.status,
        retry_after_s=float(retry_after) if retry_after.isdigit() else None,
    )


def _classify_status(status: int, reported_outcome: str) -> CallerOutcome:
    if 200 <= status < 300:
        return CallerOutcome.COMPLETED
    if reported_outcome in ("not-run", "unknown"):
        return CallerOutcome(reported_outcome)
    return CallerOutcome.REFUSED if status < 500 else CallerOutcome.UNKNOWN


def _is_own_response(req: OutgoingRequest, chunks: list[bytes], head: bytes) -> bool:
    """Return whether the start of a response body contains the request's target and body digest."""
    if json.dumps(req.target).encode() not in head:
        return False
    digest = hashlib.sha256()
    for chunk in chunks:
        digest.update(chunk)
    return digest.hexdigest().encode() in head

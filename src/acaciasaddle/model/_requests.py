"""Requests, at-most-once records, and interfaces that stream request bodies and responses."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from acaciasaddle.model._units import UnitId
from acaciasaddle.model._units import UpstreamId

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkRequest:
    """A request with the kind, rank and route that the ingress determined.

    ``budget_ms`` is the time left until the deadline when the ingress routed the request, so that
    the clocks of two hosts need not be compared. ``upstream`` is the owner of the unit as far as
    the ingress knows. ``body_length`` is -1 if the length is not known in advance. ``attempt``
    counts the times that the ingress has routed the request.
    """

    request_id: str
    service: str
    unit: UnitId
    upstream: UpstreamId
    key: str
    kind: str
    rank: str
    once: bool
    bulky: bool
    caller: str
    idempotency_key: str
    method: str
    target: str
    headers: Headers
    body_length: int
    budget_ms: int
    attempt: int = 1


class OnceState(StrEnum):
    """State of a request that must run at most once."""

    STARTED = "started"
    COMPLETED = "completed"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class OnceRecord:
    """Record of a request that must run at most once, as sent between hosts.

    ``status``, ``headers`` and ``body`` are those of the response; ``body`` is ``None`` if there is
    no response or its body was not kept. A ``completed`` record with ``status`` 0 says that the
    request did not run. ``age_ms`` is the age of the record when it was prepared for sending.
    """

    unit: UnitId
    caller: str
    idempotency_key: str
    state: OnceState
    age_ms: int = 0
    status: int = 0
    headers: Headers = ()
    body: bytes | None = None


class BodySource(ABC):
    """The body of a request, read in chunks of at most 64 KiB."""

    @abstractmethod
    async def receive(self) -> bytes:
        """Return the next chunk, or ``b""`` at the end.

        Raises ``PeerError`` if the body is cut off, and ``RequestError`` if the caller sends too
        much of it or stops sending.
        """


class ResponseSink(ABC):
    """Receives the response to a request as it arrives."""

    @abstractmethod
    async def head(self, status: int, headers: Headers) -> None:
        """Send the status and the headers. Called once."""

    @abstractmethod
    async def data(self, chunk: bytes) -> None:
        """Send a chunk of the body, waiting while the receiver is slow."""

    @abstractmethod
    async def end(self) -> None:
        """Complete the response. A response without this call was cut short."""

    @property
    @abstractmethod
    def started(self) -> bool:
        """Whether ``head`` has been called."""

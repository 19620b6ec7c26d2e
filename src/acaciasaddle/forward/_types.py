"""A caller's request, the reply to it, and how both are marked on the wire."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass
from typing import ClassVar

from acaciasaddle.http1 import RawHeaders


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """A complete request. ``received_at`` is trio's time at which its head was read.

    Header names in ``fields`` are in lower case.
    """

    method: str
    target: str
    headers: RawHeaders
    fields: Mapping[str, str]
    body: bytes
    received_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """What the caller gets."""

    status: int
    headers: RawHeaders
    body: bytes = b""
    reason: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestTerms:
    """What a caller asks for: ``deadline_s`` is the time that it will wait, in seconds."""

    request_id: str
    deadline_s: float | None
    key: int | None


class Dialect(ABC):
    """Names and meaning of the headers between callers, the system and upstreams."""

    system_headers: ClassVar[frozenset[str]] = frozenset()
    """Request headers, in lower case, that the system sets itself."""

    @abstractmethod
    def read_request(self, fields: Mapping[str, str]) -> RequestTerms:
        """Read what a caller asks for; malformed values count as absent."""

    @abstractmethod
    def mark_request(self, *, upstream_id: str, remaining_s: float) -> list[tuple[bytes, bytes]]:
        """Return the headers that name the only upstream to run a request, and its time."""

    @abstractmethod
    def answers(self, fields: Mapping[str, str], terms: RequestTerms) -> bool:
        """Whether a response belongs to a request."""

    @abstractmethod
    def is_not_run(self, status: int, fields: Mapping[str, str]) -> bool:
        """Whether the upstream states that it did not run the request."""

    @abstractmethod
    def is_other_upstream(self, fields: Mapping[str, str], upstream_id: str) -> bool:
        """Whether a refusal comes from another upstream, to which the address belongs now."""

    @abstractmethod
    def is_signed(self, fields: Mapping[str, str]) -> bool:
        """Whether a response bears the upstream's signature."""

"""Callers' requests, the responses to them, and the interface to the platform's headers."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import ClassVar

from acaciasaddle.http1 import RawHeaders
from acaciasaddle.http1 import always
from acaciasaddle.memory import Body
from acaciasaddle.memory import Hold


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """A complete request of a caller.

    ``received_at`` is the time on trio's clock at which its head was read. Header names in
    ``fields`` are in lower case. ``is_next`` returns whether its response is the next one that its
    connection sends.
    """

    method: str
    target: str
    headers: RawHeaders
    fields: Mapping[str, str]
    body: Body
    received_at: float
    is_next: Callable[[], bool] = always


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerResponse:
    """The response that is sent to the caller. ``hold`` is the memory of its body."""

    status: int
    headers: RawHeaders
    body: Body = b""
    reason: bytes = b""
    hold: Hold | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestMetadata:
    """Identifier, deadline and key of a request, as read from its headers.

    ``deadline_s`` is the time in seconds for which the caller is willing to wait, or ``None`` if
    the request states no deadline.
    """

    request_id: str
    deadline_s: float | None
    key: int | None


class Dialect(ABC):
    """Names and meaning of the headers between callers, the router and upstreams."""

    system_headers: ClassVar[frozenset[str]] = frozenset()
    """Request headers, in lower case, that the router sets itself and does not pass on."""

    @abstractmethod
    def read_request(self, fields: Mapping[str, str]) -> RequestMetadata:
        """Return the metadata of a caller's request; malformed values count as absent."""

    @abstractmethod
    def upstream_headers(
        self, *, upstream_id: str, remaining_s: float
    ) -> list[tuple[bytes, bytes]]:
        """Return headers that name the only upstream that may run a request, and the time left."""

    @abstractmethod
    def answers(self, fields: Mapping[str, str], metadata: RequestMetadata) -> bool:
        """Return whether a response answers the request with this metadata."""

    @abstractmethod
    def is_not_run(self, status: int, fields: Mapping[str, str]) -> bool:
        """Return whether the response states that the upstream did not run the request."""

    @abstractmethod
    def is_other_upstream(self, fields: Mapping[str, str], upstream_id: str) -> bool:
        """Return whether a rejection comes from another upstream, which has taken the address."""

    @abstractmethod
    def is_leaving(self, status: int, fields: Mapping[str, str], upstream_id: str) -> bool:
        """Return whether a response says that the upstream which sent it leaves."""

    @abstractmethod
    def requested_pause_s(self, status: int, fields: Mapping[str, str]) -> float | None:
        """Return for how many seconds the upstream wants no request of this host, if it says so."""

    @abstractmethod
    def is_signed(self, fields: Mapping[str, str]) -> bool:
        """Return whether a response carries a signature. The signature is not verified."""

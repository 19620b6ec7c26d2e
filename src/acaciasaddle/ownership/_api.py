"""Interfaces for the authority over upstreams and for routing."""

from __future__ import annotations

from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import ClassVar

from acaciasaddle.kernel import Service
from acaciasaddle.model import UnitId
from acaciasaddle.model import UpstreamId

if TYPE_CHECKING:
    from acaciasaddle.model import OnceRecord


@dataclass(frozen=True, slots=True, kw_only=True)
class Permit:
    """Permission to send one request to an upstream now.

    This host's clock in milliseconds plus ``clock_offset_ms`` is an estimate of the upstream's
    clock that is not ahead of it. The offset is 0 if no reading of that clock is known. ``address``
    is ``ip:port``.
    """

    term: int
    address: str
    slots: int
    connections: int
    checks_orders: bool
    clock_offset_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Where a key is served.

    ``holder`` and ``successor`` are member ids; ``successor`` is empty if there is none or if it is
    not known. ``epoch`` is 1 for the first owner of the unit and grows by one with each move of the
    unit.
    """

    unit: UnitId
    owner: UpstreamId
    holder: str
    successor: str
    epoch: int
    config_version: int


class Authority(Service):
    """Decides what this host may dispatch as the holder of upstreams, and replicates records."""

    name: ClassVar[str] = "authority"

    @abstractmethod
    def permit(self, upstream: UpstreamId, unit: UnitId) -> Permit:
        """Return the permission to dispatch a request of the unit.

        Raises ``NotOwnerError`` if this host may not send requests of the unit now.
        """

    @abstractmethod
    async def replicate(self, upstream: UpstreamId, records: tuple[OnceRecord, ...]) -> None:
        """Copy records to the successor and to a member that is being made successor, if any.

        If this host does not hold the upstream, the records are sent to its holder, provided that
        all of them are results and another host is known to be the holder. Otherwise
        ``NotOwnerError`` is raised. Raises another ``AcaciasaddleError`` if the copy fails.
        """

    @abstractmethod
    def memory_since(self, upstream: UpstreamId) -> float:
        """Return the time of day, in seconds, before which at-most-once records may be missing.

        That is the current time if this host does not hold the upstream.
        """

    @abstractmethod
    def note_refused_term(self, upstream: UpstreamId, term: int) -> None:
        """Note that the upstream refused a request of this host.

        ``term`` is the term of that request. This host gives up the upstream if it is higher than
        the term at which this host holds the upstream now.
        """


class Router(Service):
    """Finds the owner of a key, and that upstream's holder, in the mirror."""

    name: ClassVar[str] = "router"

    @abstractmethod
    def route(self, *, service: str, key: str) -> Route:
        """Return the route of a key.

        Raises ``RefusedError`` with the outcome ``NOT_RUN`` if there is none.
        """

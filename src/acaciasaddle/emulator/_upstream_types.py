"""Settings, faults, orders and requests of an upstream stand-in, and its responses."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING
from typing import ClassVar

from pydantic import ConfigDict

from acaciasaddle.errors import UpstreamError

if TYPE_CHECKING:
    from acaciasaddle.errors import Outcome


class UpstreamState(StrEnum):
    """Lifecycle state of an upstream."""

    READY = "ready"
    COLD = "cold"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamSettings:
    """Settings of an upstream stand-in. Times are in milliseconds.

    Without ``checks_orders``, the upstream responds to grants with status 404 and does not check
    the unit and the term of work. ``queue`` is the number of requests that may wait for a slot.
    ``work_ms`` is the service time of requests without the query parameter ``work_ms``. For
    ``cold_ms`` after the start, service times are multiplied by ``cold_factor``. ``lag_ms`` is the
    age of reported health and load. ``leave_grace_ms`` is the time for which a leaving upstream
    still accepts new work. ``connections`` is the limit of open connections, ``connect_ms`` the
    delay of the first request on each.
    """

    name: str
    checks_orders: bool = True
    slots: int = 2
    queue: int = 2
    work_ms: float = 5.0
    cold_ms: float = 0.0
    cold_factor: float = 3.0
    lag_ms: float = 1000.0
    leave_grace_ms: float = 2000.0
    connections: int = 130
    connect_ms: float = 0.0


@dataclass(frozen=True, kw_only=True)
class GrantOrder:
    """Body of ``POST /grant``.

    ``instance`` identifies the process of the upstream that the order is meant for. Without
    ``valid_until``, or with another ``instance``, the order only asks for the state and raises the
    term. Without ``units`` it renews the lease of the units already granted. ``excluded`` lists
    the pinned keys, as unit ids, that are not part of the granted shards.
    """

    holder: str
    term: int
    seq: int
    instance: str
    valid_until: float | None
    units: tuple[str, ...] | None = None
    excluded: tuple[str, ...] | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantState:
    """Response to ``POST /grant``. Times are in milliseconds of the upstream's clock.

    ``running`` lists the units of the requests that have a slot.
    """

    instance: str
    clock: float
    term: int
    seq: int
    valid_until: float
    units: tuple[str, ...]
    running: tuple[str, ...]
    state: UpstreamState
    slots: int


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantResult:
    """Result of an order: whether it was accepted, and the state after it."""

    accepted: bool
    state: GrantState


@dataclass(frozen=True, slots=True, kw_only=True)
class Work:
    """A work request. ``deadline`` is in milliseconds of the upstream's clock.

    ``term`` is ``None`` if the request does not contain one. Work with an idempotency key is
    at-most-once work: a cancellation does not interrupt its run. The stand-in does not recognise
    repeats, so a second request with the same key runs too.
    """

    request_id: str
    key: str
    unit: str
    term: int | None = None
    deadline: float | None = None
    idempotency_key: str = ""
    method: str = "GET"
    target: str = "/"
    work_ms: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkResponse:
    """Response to completed work. ``path`` is the target of the request, including its query."""

    upstream: str
    request_id: str
    idempotency_key: str
    key: str
    unit: str
    method: str
    path: str
    body_bytes: int
    body_sha256: str


class WorkRefusedError(UpstreamError):
    """Work was refused or cancelled. ``status`` is the HTTP status of the response."""

    def __init__(self, message: str, *, status: int, outcome: Outcome, step: str) -> None:
        super().__init__(message, outcome=outcome, step=step)
        self.status = status


class CancelResult(StrEnum):
    """Effect of a cancellation.

    ``NOT_RUN``: the request had not started. ``DROPPED``: its run was interrupted. ``RUNNING``: it
    is at-most-once work, and its run continues. ``ABSENT``: no such request is in progress.
    """

    NOT_RUN = "not-run"
    DROPPED = "dropped"
    RUNNING = "running"
    ABSENT = "absent"


@dataclass(frozen=True, kw_only=True)
class UpstreamFaultOrder:
    """Body of ``POST /faults``; faults that are left out stay as they are.

    Times are in milliseconds. ``frozen`` stops all responses except those to ``/faults`` and
    ``/record``; ``freeze_ms`` does so for a limited time. ``silence_connections`` does so for good
    on all connections that have carried other requests so far. ``misleading`` makes ``/health``
    and ``/load`` report that the upstream is ready and idle. ``shed`` refuses all work as if the
    queue were full.
    """

    __pydantic_config__: ClassVar[ConfigDict] = ConfigDict(extra="forbid")

    frozen: bool | None = None
    freeze_ms: float | None = None
    leaving: bool | None = None
    leave_grace_ms: float | None = None
    cold_ms: float | None = None
    work_ms: float | None = None
    lag_ms: float | None = None
    misleading: bool | None = None
    shed: bool | None = None
    silence_connections: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadSample:
    """Health and load at one point in time."""

    state: UpstreamState
    busy: int
    queued: int


@dataclass(slots=True, kw_only=True)
class UpstreamFaults:
    """Faults and times in effect. ``cold_until`` is in milliseconds of the upstream's clock."""

    misleading: bool = False
    shed: bool = False
    work_ms: float = 0.0
    lag_ms: float = 0.0
    leave_grace_ms: float = 0.0
    cold_until: float = 0.0

"""The configuration of routes and services, as frozen data classes."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum


class Repeat(StrEnum):
    """Whether requests of a route may be sent again after they may have run."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """A service that serves a share of a route's requests, in proportion to ``weight``."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Requests for one host name below a path prefix. Times are in seconds.

    ``timeout_s`` is the longest time that a request may take, ``objective_s`` the latency
    objective, which the router does not use, and ``max_upstreams`` the number of upstreams that one
    request may be sent to. A ``bulky`` route takes uploads. Rank 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    bulky: bool
    targets: tuple[Target, ...]
    timeout_s: float
    objective_s: float
    max_upstreams: int
    rank: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A set of upstreams. In a ``keyed`` service, each key has at most one owner at a time.

    One upstream accepts ``max_connections`` connections from all hosts together. Requests for keys
    granted without a handover are slow for ``warmup_s`` seconds after the grant. The router itself
    uses only ``name`` and ``keyed``.
    """

    name: str
    health_path: str
    max_connections: int
    keyed: bool
    warmup_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """How much a caller may send, in bytes, and how long it may take or stay idle, in seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """An accepted configuration. A higher ``version`` replaces a lower one."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits

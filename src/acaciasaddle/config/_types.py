"""Settings, inventory and rules as frozen data classes."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Literal

DEFAULT_GROUP = "default"


@dataclass(frozen=True, slots=True, kw_only=True)
class StatsdSettings:
    """Address of the statsd daemon and prefix of all metric names."""

    host: str = "127.0.0.1"
    port: int = 8125
    prefix: str = "acaciasaddle"


@dataclass(frozen=True, slots=True, kw_only=True)
class LogSettings:
    """Log level and format."""

    level: Literal["debug", "info", "warning"] = "info"
    format: Literal["text", "json"] = "text"


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Settings of one entry host. Addresses are ``ip:port``; an IP number, not a name."""

    host_id: str
    data_centre: str
    caller_address: str
    peer_address: str
    operator_address: str
    platform_address: str
    seeds: tuple[str, ...] = ()
    statsd: StatsdSettings | None = None
    log: LogSettings = field(default_factory=LogSettings)
    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_073_741_824
    header_timeout_s: float = 5.0
    body_stall_timeout_s: float = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class DataCentre:
    """A data centre and the region that it belongs to."""

    name: str
    region: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """An endpoint of a service.

    ``checks_orders`` is false for an upstream that obeys anyone: the system is then itself
    responsible that only the holder orders it. ``state`` ``leaving`` drains the upstream.
    """

    name: str
    address: str
    data_centre: str
    slots: int
    connections: int = 130
    checks_orders: bool = True
    state: Literal["active", "leaving"] = "active"


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceEntry:
    """A service and its upstreams."""

    name: str
    upstreams: tuple[Upstream, ...]
    shards: int = 256


@dataclass(frozen=True, slots=True, kw_only=True)
class Inventory:
    """What there is: data centres, services and their upstreams."""

    data_centres: tuple[DataCentre, ...]
    services: tuple[ServiceEntry, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Rank:
    """A rank of work; the first in the list is the most urgent.

    ``target_ms`` is the time within which an answer is useful. ``share`` is the part of an
    upstream's slots that the rank keeps under a flood of other ranks.
    """

    name: str
    target_ms: int
    share: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """A kind of work, recognised by method and path.

    ``path`` is a template such as ``/bookings/{key}/deposit``; ``{key}`` is the key and a
    trailing ``*`` matches any rest. ``once`` work runs at most once and needs an
    ``Idempotency-Key`` header. ``weight`` is the worth of one answer in good time.
    """

    name: str
    service: str
    method: str
    path: str
    rank: str
    once: bool = False
    bulky: bool = False
    idempotent: bool = True
    weight: float = 1.0
    target_ms: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Group:
    """Keys of a service that begin with a prefix, and the data centres that may own them."""

    name: str
    service: str
    key_prefix: str
    data_centres: tuple[str, ...]
    shards: int = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class Access:
    """Data centres whose upstreams may serve a caller."""

    caller: str
    data_centres: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Rules:
    """Operator's rules. Times end in their unit."""

    ranks: tuple[Rank, ...]
    kinds: tuple[Kind, ...]
    groups: tuple[Group, ...] = ()
    access: tuple[Access, ...] = ()
    caller_header: str = "X-Client-Id"
    admission: Literal["fifo", "strict", "deadline", "shares"] = "shares"
    once_window_s: float = 600.0
    clock_skew_s: float = 5.0
    isolation_limit_s: float = 7200.0
    pause_allowance_s: float = 2.0
    data_centre_failover_s: float | None = None
    retry_budget: float = 0.1

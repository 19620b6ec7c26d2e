"""Settings, inventory and rules as frozen data classes."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import ClassVar
from typing import Literal

from pydantic import ConfigDict

from acaciasaddle.config._fields import Count
from acaciasaddle.config._fields import DataCentreNames
from acaciasaddle.config._fields import Duration
from acaciasaddle.config._fields import HeaderName
from acaciasaddle.config._fields import IpAddress
from acaciasaddle.config._fields import ListenAddress
from acaciasaddle.config._fields import Method
from acaciasaddle.config._fields import Name
from acaciasaddle.config._fields import NonNegativeDuration
from acaciasaddle.config._fields import OptionalText
from acaciasaddle.config._fields import PathTemplate
from acaciasaddle.config._fields import Port
from acaciasaddle.config._fields import RemoteAddress
from acaciasaddle.config._fields import Shards
from acaciasaddle.config._fields import Share
from acaciasaddle.config._fields import Text
from acaciasaddle.config._fields import Weight

DEFAULT_GROUP = "default"

_STRICT = ConfigDict(extra="forbid", strict=True, allow_inf_nan=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class StatsdSettings:
    """Address of the statsd daemon and the prefix of the metric names sent to it."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    host: IpAddress = "127.0.0.1"
    port: Port = 8125
    prefix: Text = "acaciasaddle"


@dataclass(frozen=True, slots=True, kw_only=True)
class LogSettings:
    """Log level and format."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    level: Literal["debug", "info", "warning"] = "info"
    format: Literal["text", "json"] = "text"


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Settings of one entry host. Addresses are ``ip:port`` with an IP address, not a name."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    host_id: Name
    data_centre: Name
    caller_address: ListenAddress
    peer_address: ListenAddress
    operator_address: ListenAddress
    platform_address: RemoteAddress
    seeds: tuple[RemoteAddress, ...] = ()
    statsd: StatsdSettings | None = None
    log: LogSettings = field(default_factory=LogSettings)
    max_header_bytes: Count = 16_384
    max_body_bytes: Count = 1_073_741_824
    header_timeout_s: Duration = 5.0
    body_stall_timeout_s: Duration = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class DataCentre:
    """A data centre and the region that it belongs to."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    name: Name
    region: OptionalText = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """A server of a service.

    ``checks_orders`` is false for an upstream that takes no orders and runs requests from any
    sender; the hosts themselves then have to ensure that only the holder sends it requests. An
    upstream with the ``state`` ``leaving`` is drained.
    """

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    name: Name
    address: RemoteAddress
    data_centre: str
    slots: Count
    connections: Count = 130
    checks_orders: bool = True
    state: Literal["active", "leaving"] = "active"


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceEntry:
    """A service and its upstreams."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    name: Name
    upstreams: tuple[Upstream, ...]
    shards: Shards = 256


@dataclass(frozen=True, slots=True, kw_only=True)
class Inventory:
    """The data centres, the services and their upstreams."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    data_centres: tuple[DataCentre, ...]
    services: tuple[ServiceEntry, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Rank:
    """A rank of work; the first in the list is the most urgent.

    ``target_ms`` is the time within which a response is useful. ``share`` is the part of an
    upstream's slot time that the rank keeps when other ranks overload the upstream; it has an
    effect only if ``admission`` is ``shares``.
    """

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    name: Name
    target_ms: Count
    share: Share


@dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """A kind of work, recognised by method and path.

    ``path`` is a template such as ``/bookings/{key}/deposit``; ``{key}`` stands for the key,
    and ``*`` as the last segment matches one or more segments. ``idempotent`` work may be sent
    again after an attempt that may have run. ``once`` work runs at most once and needs an
    ``Idempotency-Key`` header; ``idempotent`` then has no effect, and rules that set it to true are
    not valid. ``bulky`` work, such as large uploads, never uses all slots of an upstream that has
    two or more. ``weight`` is the value of one response within the target time; load tests and
    benchmarks use it, hosts do not. ``target_ms`` replaces the target time of the rank.
    """

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    name: Name
    service: str
    method: Method
    path: PathTemplate
    rank: str
    once: bool = False
    bulky: bool = False
    idempotent: bool = True
    weight: Weight = 1.0
    target_ms: Count | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Group:
    """Keys of a service that begin with a prefix.

    Only upstreams in ``data_centres`` may own them. A key that begins with the prefixes of several
    groups belongs to the group with the longest one.
    """

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    name: Name
    service: str
    key_prefix: Text
    data_centres: DataCentreNames
    shards: Shards = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class Access:
    """The data centres whose upstreams may serve a caller."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    caller: Text
    data_centres: DataCentreNames


@dataclass(frozen=True, slots=True, kw_only=True)
class Rules:
    """The operator's rules. Names of fields with a duration end in its unit.

    ``data_centre_failover_s`` has no effect yet.
    """

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT

    ranks: tuple[Rank, ...]
    kinds: tuple[Kind, ...]
    groups: tuple[Group, ...] = ()
    access: tuple[Access, ...] = ()
    caller_header: HeaderName = "X-Client-Id"
    admission: Literal["fifo", "strict", "deadline", "shares"] = "shares"
    once_window_s: Duration = 600.0
    clock_skew_s: NonNegativeDuration = 5.0
    isolation_limit_s: Duration = 7200.0
    pause_allowance_s: NonNegativeDuration = 2.0
    data_centre_failover_s: Duration | None = None
    retry_budget: Share = 0.1

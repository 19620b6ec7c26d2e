"""Decoding of configurations and registry entries from the platform's JSON."""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated
from typing import Literal

import msgspec
import trio

from acaciasaddle.errors import DECODING_ERRORS
from acaciasaddle.errors import ConfigError
from acaciasaddle.fleet import UpstreamEntry
from acaciasaddle.fleet import UpstreamIncarnation
from acaciasaddle.routing import CallerLimits
from acaciasaddle.routing import Configuration
from acaciasaddle.routing import Repeat
from acaciasaddle.routing import Route
from acaciasaddle.routing import Service
from acaciasaddle.routing import Target

ROUTES_PER_SLICE = 250
"""Other tasks run each time that this many routes have been decoded, which takes about 2 ms."""
MAX_PORT = 65_535
UPSTREAM_ID = re.compile(r"[!-~]+")
"""An upstream's id is sent in a header, which holds printable ASCII without spaces."""

Int64 = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
"""JSON sets no limit to integers, but messages between hosts hold 64 bits."""


class _WeightedService(msgspec.Struct):
    service: str
    weight: float


class _Path(msgspec.Struct):
    name: str
    prefix: str
    kind: Literal["idempotent", "non_idempotent", "upload"] = msgspec.field(name="routeType")
    timeout_s: float = msgspec.field(name="timeoutS")
    objective_s: float = msgspec.field(name="targetLatencyS")
    # Limits the upstreams that one request is sent to, not the attempts.
    max_upstreams: Int64 = msgspec.field(name="maxAttempts")
    rank: Int64 = msgspec.field(name="priority")
    service: str | None = None
    split: list[_WeightedService] | None = msgspec.field(name="trafficSplit", default=None)


class _VirtualHost(msgspec.Struct):
    host: str
    paths: list[msgspec.Raw]


class _Service(msgspec.Struct):
    name: str
    health_path: str = msgspec.field(name="healthPath")
    # Limits the connections of all hosts together to one upstream, not those of each host.
    max_connections: Int64 = msgspec.field(name="maxConnections")
    keyed: bool = msgspec.field(name="sharded", default=False)
    warmup_s: float = msgspec.field(name="warmupS", default=0.0)


class _Limits(msgspec.Struct):
    header_bytes: Int64 = msgspec.field(name="maxHeaderBytes")
    body_bytes: Int64 = msgspec.field(name="maxBodyBytes")
    header_timeout_s: float = msgspec.field(name="headerTimeoutS")
    idle_timeout_s: float = msgspec.field(name="idleTimeoutS")


class _Configuration(msgspec.Struct):
    version: Int64
    hosts: list[_VirtualHost] = msgspec.field(name="virtualHosts")
    services: list[_Service]
    limits: _Limits


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: Int64 = msgspec.field(name="capacity")
    state: Literal["ready", "draining"]
    # Milliseconds since the epoch at the start of the process.
    born: Int64
    sequence: Int64
    # Seconds for which the upstream remains slow, counted from its own report.
    cold_s: float = msgspec.field(name="slowStartS_time", default=0.0)


_CONFIGURATION = msgspec.json.Decoder(_Configuration)
_PATH = msgspec.json.Decoder(_Path)
_ENTRY = msgspec.json.Decoder(_Entry)


class ConfigurationDecoder:
    """Decodes successive configurations of operators.

    Routes whose host and JSON text are those of the previous configuration are not decoded again:
    both configurations have the same objects. Other tasks run between slices of the routes.
    """

    def __init__(self) -> None:
        # By host and by the bytes of the JSON text, which take about 1 MB for 5,000 routes.
        self._known: dict[str, dict[bytes, Route]] = {}

    async def decode(self, data: bytes) -> Configuration:
        """Decode a configuration.

        Raises ``ConfigError`` if it cannot be decoded or a route names no service. Later
        configurations then share the routes of the last one that was decoded.
        """
        await trio.lowlevel.checkpoint()
        try:
            raw = _CONFIGURATION.decode(data)
        except DECODING_ERRORS as exc:
            raise _undecodable(str(exc)) from exc
        known: dict[str, dict[bytes, Route]] = {}
        routes: list[Route] = []
        for entry in raw.hosts:
            before = self._known.get(entry.host, {})
            current = known.setdefault(entry.host, {})
            for path in entry.paths:
                if len(routes) % ROUTES_PER_SLICE == 0:
                    await trio.lowlevel.checkpoint()
                text = bytes(path)
                route = before.get(text) or _decode_route(entry.host, text)
                current[text] = route
                routes.append(route)
        self._known = known
        return Configuration(
            version=raw.version,
            routes=tuple(routes),
            services={svc.name: _service(svc) for svc in raw.services},
            limits=CallerLimits(
                max_header_bytes=raw.limits.header_bytes,
                max_body_bytes=raw.limits.body_bytes,
                header_timeout_s=raw.limits.header_timeout_s,
                idle_timeout_s=raw.limits.idle_timeout_s,
            ),
        )


def _undecodable(reason: str) -> ConfigError:
    return ConfigError(
        f"the configuration cannot be decoded: {reason}", step="platform.decode_configuration"
    )


def _decode_route(host: str, text: bytes) -> Route:
    try:
        return _route(host, _PATH.decode(text))
    except DECODING_ERRORS as exc:
        raise _undecodable(f"a path of host {host!r}: {exc}") from exc


def _route(host: str, path: _Path) -> Route:
    if path.split:
        targets = tuple(Target(service=part.service, weight=part.weight) for part in path.split)
    elif path.service:
        targets = (Target(service=path.service, weight=1.0),)
    else:
        raise ConfigError(
            f"route {path.name!r} names no service", step="platform.decode_configuration"
        )
    return Route(
        name=path.name,
        host=host,
        prefix=path.prefix,
        repeat=Repeat.IDEMPOTENT if path.kind == "idempotent" else Repeat.ONCE,
        bulky=path.kind == "upload",
        targets=targets,
        timeout_s=path.timeout_s,
        objective_s=path.objective_s,
        max_upstreams=max(1, path.max_upstreams),
        rank=path.rank,
    )


def _service(svc: _Service) -> Service:
    return Service(
        name=svc.name,
        health_path=svc.health_path,
        max_connections=svc.max_connections,
        keyed=svc.keyed,
        warmup_s=svc.warmup_s,
    )


def decode_entry(upstream_id: str, data: bytes) -> UpstreamEntry:
    """Decode the entry that an upstream registered.

    Raises ``ConfigError`` if the entry does not describe a usable upstream.
    """
    try:
        raw = _ENTRY.decode(data)
        _check_address(raw.address)
    except DECODING_ERRORS as exc:
        raise _unusable_entry(upstream_id, str(exc)) from exc
    if raw.slots < 1 or not raw.service:
        raise _unusable_entry(upstream_id, "it has no service or no slots")
    if not UPSTREAM_ID.fullmatch(upstream_id):
        raise _unusable_entry(upstream_id, "its id cannot be sent in a header")
    return UpstreamEntry(
        life=UpstreamIncarnation(upstream_id=upstream_id, started_ms=raw.born),
        service=raw.service,
        address=raw.address,
        data_centre=raw.zone,
        slots=raw.slots,
        draining=raw.state == "draining",
        cold_s=max(0.0, raw.cold_s),
    )


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host)
    if not (port.isascii() and port.isdigit()) or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{address!r} has no valid port")


def _unusable_entry(upstream_id: str, reason: str) -> ConfigError:
    return ConfigError(
        f"registry entry {upstream_id!r} is not usable: {reason}", step="platform.decode_entry"
    )

"""Steps of users_platform/decode.feature."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import trio
from behave import then
from behave import when

from acaciasaddle.errors import ConfigError
from acaciasaddle.platform._decode import ConfigurationDecoder
from acaciasaddle.platform._decode import decode_entry

if TYPE_CHECKING:
    from acaciasaddle.routing import Configuration

LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 67108864,
    "headerTimeoutS": 3,
    "idleTimeoutS": 15,
}
ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "capacity": 2,
    "state": "ready",
    "sequence": 4,
    "born": 7,
}
SERVICE = {"healthPath": "/healthz", "maxConnections": 130, "protocol": "h1", "tls": False}


def _path(name: str, kind: str, **target: Any) -> dict[str, Any]:
    return {
        "name": name,
        "prefix": f"/{name}/",
        "routeType": kind,
        "timeoutS": 1.5,
        "targetLatencyS": 0.6,
        "priority": 1,
        "maxAttempts": 2,
        **target,
    }


def _configuration(paths: list[dict[str, Any]], *, version: int = 7) -> bytes:
    return json.dumps(
        {
            "version": version,
            "baseVersion": 5,
            "services": [
                {"name": "a", "sharded": True, "warmupS": 3.0, **SERVICE},
                {"name": "b", **SERVICE},
            ],
            "limits": LIMITS,
            "virtualHosts": [{"host": "x.example", "paths": paths}],
        }
    ).encode()


def _decode_configuration(data: bytes) -> Configuration:
    return trio.run(ConfigurationDecoder().decode, data)


class EntrySteps:
    """Guards against foreign or malformed entries that are used as upstreams."""

    @staticmethod
    @when("the entry {text} is decoded")
    def decode(context: Any, text: str) -> None:
        try:
            entry = decode_entry("u1", text.encode())
        except ConfigError:
            context.entry = "unusable"
            return
        context.entry = (
            f"{entry.service} {entry.address} in {entry.data_centre}, {entry.slots} slots, "
            f"born {entry.life.started_ms}" + (", draining" if entry.draining else "")
        )

    @staticmethod
    @when("an entry with {field} {value:d} is decoded")
    def decode_number(context: Any, field: str, value: int) -> None:
        EntrySteps.decode(context, json.dumps({**ENTRY, field: value}))

    @staticmethod
    @when('an entry with the id "{upstream_id}" is decoded')
    @when('an entry with the id "" is decoded')
    def decode_id(context: Any, upstream_id: str = "") -> None:
        context.entry = "usable"
        try:
            decode_entry(upstream_id.replace("\\n", "\n"), json.dumps(ENTRY).encode())
        except ConfigError:
            context.entry = "unusable"

    @staticmethod
    @then('the entry is "{result}"')
    def result(context: Any, result: str) -> None:
        assert context.entry == result, context.entry


class ConfigurationSteps:
    """Guards against routes whose kind, service or limits are decoded wrongly."""

    @staticmethod
    @when("a configuration in the platform's format is decoded")
    def example(context: Any) -> None:
        split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
        context.decoded = _decode_configuration(
            _configuration(
                [
                    _path("r-1", "idempotent", trafficSplit=split),
                    _path("r-2", "non_idempotent", service="a"),
                    _path("r-3", "upload", service="b"),
                ]
            )
        )

    @staticmethod
    @when("a configuration with a route without a service is decoded")
    def without_service(context: Any) -> None:
        context.rejected = False
        try:
            _decode_configuration(_configuration([_path("r-1", "idempotent")]))
        except ConfigError:
            context.rejected = True

    @staticmethod
    @when("a configuration of version {version:d} is decoded")
    def large_version(context: Any, version: int) -> None:
        context.rejected = False
        try:
            _decode_configuration(
                _configuration([_path("r-1", "upload", service="b")], version=version)
            )
        except ConfigError:
            context.rejected = True

    @staticmethod
    @then("the configuration is rejected")
    def rejected(context: Any) -> None:
        assert context.rejected

    @staticmethod
    @then('its routes are "{expected}"')
    def routes(context: Any, expected: str) -> None:
        found = []
        for route in context.decoded.routes:
            targets = " ".join(f"{item.service} {item.weight:g}" for item in route.targets)
            bulky = " bulky" if route.bulky else ""
            found.append(f"{route.name} {route.repeat.value}{bulky} {targets}")
        assert ", ".join(found) == expected, found

    @staticmethod
    @then('its keyed services are "{expected}"')
    def keyed(context: Any, expected: str) -> None:
        found = [svc.name for svc in context.decoded.services.values() if svc.keyed]
        assert ", ".join(found) == expected, found

    @staticmethod
    @then("its idle timeout is {seconds:g} s")
    def idle(context: Any, seconds: float) -> None:
        assert context.decoded.limits.idle_timeout_s == seconds

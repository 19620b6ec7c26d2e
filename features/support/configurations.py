"""Large configurations in the platform's format."""

from __future__ import annotations

import base64
import json
from typing import Any

ROUTES_PER_HOST = 20
KINDS = ("idempotent", "non_idempotent", "upload")
SERVICES = 40


def configuration_json(*, version: int, routes: int, changed_share: float = 1.0) -> bytes:
    """Return a configuration in which a share of the routes differs in every version.

    These are the first ones; the timeout of a route is that of the version that changed it. Each
    third route splits its requests between two services.
    """
    changed = round(routes * changed_share)
    hosts: dict[str, list[dict[str, Any]]] = {}
    for index in range(routes):
        timeout_s = changed_timeout_s(version if index < changed else 1)
        hosts.setdefault(f"host-{index // ROUTES_PER_HOST}.example", []).append(
            _path(index, timeout_s=timeout_s)
        )
    return json.dumps(
        {
            "version": version,
            "baseVersion": version - 1,
            "services": [
                {
                    "name": f"service-{index}",
                    "healthPath": "/healthz",
                    "maxConnections": 130,
                    "sharded": index % 2 == 0,
                    "warmupS": 3.0,
                    "protocol": "h1",
                    "tls": False,
                }
                for index in range(SERVICES)
            ],
            "limits": {
                "maxHeaderBytes": 16_384,
                "maxBodyBytes": 67_108_864,
                "headerTimeoutS": 3,
                "idleTimeoutS": 15,
            },
            "virtualHosts": [{"host": host, "paths": paths} for host, paths in hosts.items()],
        }
    ).encode()


def changed_timeout_s(version: int) -> float:
    """Return the timeout of the routes that a version changes."""
    return 1.0 + version / 1000


def _path(index: int, *, timeout_s: float) -> dict[str, Any]:
    service = f"service-{index % SERVICES}"
    target: dict[str, Any] = {"service": service}
    if index % 3 == 0:
        other = f"service-{(index + 1) % SERVICES}"
        parts = [{"service": service, "weight": 90}, {"service": other, "weight": 10}]
        target = {"trafficSplit": parts}
    return {
        "name": f"r-{index}",
        "prefix": f"/area-{index % ROUTES_PER_HOST}/part-{index}/",
        "routeType": KINDS[index % len(KINDS)],
        "timeoutS": timeout_s,
        "targetLatencyS": 0.6,
        "priority": index % 3,
        "maxAttempts": 2,
        **target,
    }


def feed_response(*, version: int, data: bytes) -> bytes:
    """Return the body of a response of the store with a configuration."""
    row = {
        "table": "op",
        "part": "",
        "key": "config",
        "ver": version,
        "value": base64.b64encode(data).decode(),
    }
    return json.dumps({"ver": version, "rows": [row], "truncated": False}).encode()

"""Configuration and request headers of the users' platform, as the soak sends them."""

from __future__ import annotations

from typing import Any

from acaciasaddle.platform import _wire

HOST = "soak.example"
SERVICE = "ledger"
OPEN_SERVICE = "notes"
"""Service without keys."""
FILE_SERVICE = "files"
"""A service without keys, which takes uploads and answers with large bodies."""
FILE_PREFIX = "/files/"
READ_PREFIX = "/reads/"
"""Path prefix of idempotent requests, which may run more than once."""
DEPOSIT_PREFIX = "/deposits/"
"""Path prefix of requests that run at most once per attempt of a caller."""
OPEN_PREFIX = "/open"
"""Comes before the prefixes of requests to the service without keys."""
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses with which the router guarantees that the request has not run and never will."""


ROUTE_TIMEOUT_S = 3.0
IDLE_TIMEOUT_S = 15.0
"""Idle limit of callers' connections."""


def configuration_value(
    *,
    version: int,
    extra_routes: int,
    timeout_s: float = ROUTE_TIMEOUT_S,
    unused_routes: int = 0,
    idle_timeout_s: float = IDLE_TIMEOUT_S,
    open_service: bool = False,
    max_body_bytes: int = 1_048_576,
    file_timeout_s: float = 0.0,
) -> dict[str, Any]:
    """Return an operator's configuration with a read route, a deposit route and extra routes.

    The paths of the extra routes begin with ``/extra-0/``, ``/extra-1/`` and so on. Nothing is sent
    on the ``unused_routes``, which only make the configuration large. With ``open_service``, there
    are also a read route and a deposit route of the service without keys. ``FILE_SERVICE`` and its
    route are part of it if ``file_timeout_s`` is given.
    """
    prefixes = [(READ_PREFIX, "idempotent", 0), (DEPOSIT_PREFIX, "non_idempotent", 1)]
    prefixes += [(extra_path(index), "idempotent", 2) for index in range(extra_routes)]
    prefixes += [(f"/unused-{index}/", "idempotent", 2) for index in range(unused_routes)]
    open_prefixes = [(f"{OPEN_PREFIX}{prefix}", kind, rank) for prefix, kind, rank in prefixes[:2]]
    prefixes += open_prefixes if open_service else []
    paths = [
        {
            "name": prefix.strip("/"),
            "prefix": prefix,
            "routeType": route_type,
            "timeoutS": timeout_s,
            "targetLatencyS": 0.5,
            "maxAttempts": 3,
            "priority": priority,
            "service": OPEN_SERVICE if prefix.startswith(f"{OPEN_PREFIX}/") else SERVICE,
        }
        for prefix, route_type, priority in prefixes
    ]
    services = [(SERVICE, True), *([(OPEN_SERVICE, False)] if open_service else [])]
    if file_timeout_s:
        services.append((FILE_SERVICE, False))
        paths.append(
            {
                **paths[0],
                "name": FILE_PREFIX.strip("/"),
                "prefix": FILE_PREFIX,
                "routeType": "upload",
                "timeoutS": file_timeout_s,
                "service": FILE_SERVICE,
            }
        )
    return {
        "version": version,
        "virtualHosts": [{"host": HOST, "paths": paths}],
        "services": [
            {
                "name": name,
                "healthPath": "/healthz",
                "maxConnections": 130,
                "sharded": keyed,
                "warmupS": 0.0,
            }
            for name, keyed in services
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": max_body_bytes,
            "headerTimeoutS": 5.0,
            "idleTimeoutS": idle_timeout_s,
        },
    }


def extra_path(index: int) -> str:
    """Return the path prefix of one of the extra routes."""
    return f"/extra-{index}/"


def caller_headers(
    *, request_id: str, key: int | None, deadline_s: float
) -> list[tuple[bytes, bytes]]:
    """Return the request headers of one attempt of a caller; ``key`` is ``None`` without a key."""
    headers = [
        (b"Host", HOST.encode()),
        (_wire.REQUEST_ID.encode(), request_id.encode()),
        (_wire.DEADLINE_MS.encode(), str(int(deadline_s * 1000)).encode()),
    ]
    if key is not None:
        headers.append((_wire.KEY.encode(), str(key).encode()))
    return headers

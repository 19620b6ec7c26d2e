"""Names in the platform's wire format that several modules of this package use."""

from __future__ import annotations

PATH_PREFIX = "/acaciasaddle"
"""Path prefix of the calls of the store and of the orders to upstreams."""
CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
REGISTRY_TABLE = "servers"

REQUEST_ID = "request-id"
DEADLINE_MS = "request-deadline"
"""Milliseconds for which the sender is still willing to wait, not a point in time."""
TARGET_UPSTREAM = "target-instance"
NOT_EXECUTED = "not-executed"
SIGNATURE = "response-signature"
KEY = "shard-key"
HANDOVER = "handover"
UPSTREAM_ID = "instance-id"
LEAVING = "server-leaving"
RETRY_AFTER = "retry-after"
STORE_ERA = "store-era"
"""Rises by one each time that the store comes back from an older copy; in all its answers."""

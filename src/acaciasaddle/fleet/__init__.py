"""The registered upstreams, and a host's view of them, the configuration and the owners of keys."""

from __future__ import annotations

from acaciasaddle.fleet._types import ConfigurationChange
from acaciasaddle.fleet._types import ConfigurationFeed
from acaciasaddle.fleet._types import Registry
from acaciasaddle.fleet._types import RegistryChange
from acaciasaddle.fleet._types import UpstreamEntry
from acaciasaddle.fleet._types import UpstreamIncarnation
from acaciasaddle.fleet._view import FleetView

__all__ = [
    "ConfigurationChange",
    "ConfigurationFeed",
    "FleetView",
    "Registry",
    "RegistryChange",
    "UpstreamEntry",
    "UpstreamIncarnation",
]

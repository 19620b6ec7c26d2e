"""The registered upstreams, and what a host knows of them."""

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

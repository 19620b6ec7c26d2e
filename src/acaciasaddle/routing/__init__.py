"""Routes: which requests they match, whether these may be repeated, and which services they use."""

from __future__ import annotations

from acaciasaddle.routing._match import RouteTable
from acaciasaddle.routing._match import TrafficSplitter
from acaciasaddle.routing._types import CallerLimits
from acaciasaddle.routing._types import Configuration
from acaciasaddle.routing._types import Repeat
from acaciasaddle.routing._types import Route
from acaciasaddle.routing._types import Service
from acaciasaddle.routing._types import Target

__all__ = [
    "CallerLimits",
    "Configuration",
    "Repeat",
    "Route",
    "RouteTable",
    "Service",
    "Target",
    "TrafficSplitter",
]

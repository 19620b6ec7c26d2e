"""Logs and metrics."""

from __future__ import annotations

from acaciasaddle.observe._bounded import BoundedWriter
from acaciasaddle.observe._bounded import RateLimiter
from acaciasaddle.observe._logs import configure_logging
from acaciasaddle.observe._logs import configure_node_logging
from acaciasaddle.observe._logs import describe_error
from acaciasaddle.observe._logs import get_logger
from acaciasaddle.observe._loop import LoopMonitor
from acaciasaddle.observe._metrics import Metrics
from acaciasaddle.observe._metrics import NullMetrics
from acaciasaddle.observe._metrics import StatsdMetrics
from acaciasaddle.observe._registry import RegistryMetrics

__all__ = [
    "BoundedWriter",
    "LoopMonitor",
    "Metrics",
    "NullMetrics",
    "RateLimiter",
    "RegistryMetrics",
    "StatsdMetrics",
    "configure_logging",
    "configure_node_logging",
    "describe_error",
    "get_logger",
]

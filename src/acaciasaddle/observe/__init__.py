"""Logs and metrics."""

from __future__ import annotations

from acaciasaddle.observe._logs import configure_logs
from acaciasaddle.observe._logs import get_logger
from acaciasaddle.observe._metrics import Metrics
from acaciasaddle.observe._metrics import NullMetrics
from acaciasaddle.observe._metrics import StatsdMetrics

__all__ = ["Metrics", "NullMetrics", "StatsdMetrics", "configure_logs", "get_logger"]

"""Forwarding of callers' requests directly to the upstreams that run them."""

from __future__ import annotations

from acaciasaddle.forward._admission import RecentArrivals
from acaciasaddle.forward._admission import expected_response_s
from acaciasaddle.forward._admission import retry_after_s
from acaciasaddle.forward._budget import BudgetLimits
from acaciasaddle.forward._budget import RepeatBudget
from acaciasaddle.forward._forwarder import Forwarder
from acaciasaddle.forward._stop import PlannedStop
from acaciasaddle.forward._types import CallerRequest
from acaciasaddle.forward._types import CallerResponse
from acaciasaddle.forward._types import Dialect
from acaciasaddle.forward._types import RequestMetadata

__all__ = [
    "BudgetLimits",
    "CallerRequest",
    "CallerResponse",
    "Dialect",
    "Forwarder",
    "PlannedStop",
    "RecentArrivals",
    "RepeatBudget",
    "RequestMetadata",
    "expected_response_s",
    "retry_after_s",
]

"""Forwarding of requests straight to the upstreams that run them."""

from __future__ import annotations

from acaciasaddle.forward._admission import RankPressure
from acaciasaddle.forward._admission import expected_response_s
from acaciasaddle.forward._admission import retry_after_s
from acaciasaddle.forward._budget import BudgetTerms
from acaciasaddle.forward._budget import RepeatBudget
from acaciasaddle.forward._forwarder import Forwarder
from acaciasaddle.forward._types import CallerRequest
from acaciasaddle.forward._types import Dialect
from acaciasaddle.forward._types import Reply
from acaciasaddle.forward._types import RequestTerms

__all__ = [
    "BudgetTerms",
    "CallerRequest",
    "Dialect",
    "Forwarder",
    "RankPressure",
    "RepeatBudget",
    "Reply",
    "RequestTerms",
    "expected_response_s",
    "retry_after_s",
]

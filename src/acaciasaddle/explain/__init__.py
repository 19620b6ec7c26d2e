"""Explanation of past requests from the logs of routing nodes."""

from __future__ import annotations

from acaciasaddle.explain._explanation import RequestExplanation
from acaciasaddle.explain._explanation import explain_from_logs
from acaciasaddle.explain._logs import LogLine
from acaciasaddle.explain._logs import read_logs

__all__ = ["LogLine", "RequestExplanation", "explain_from_logs", "read_logs"]

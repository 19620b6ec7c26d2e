"""Explains a request afterwards, from the logs of routing nodes alone."""

from __future__ import annotations

from acaciasaddle.explain._logs import LogLine
from acaciasaddle.explain._logs import read_logs
from acaciasaddle.explain._story import RequestStory
from acaciasaddle.explain._story import explain_from_logs

__all__ = ["LogLine", "RequestStory", "explain_from_logs", "read_logs"]

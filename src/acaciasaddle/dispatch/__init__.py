"""Queues, slots and connections of upstreams, at-most-once records and retries."""

from __future__ import annotations

from acaciasaddle.dispatch._api import Dispatcher
from acaciasaddle.dispatch._api import UpstreamLoad

__all__ = ["Dispatcher", "UpstreamLoad"]

"""Queues, slots and connections of upstreams, at-most-once records and retries."""

from __future__ import annotations

from acaciasaddle.dispatch._api import Dispatcher
from acaciasaddle.dispatch._api import UpstreamLoad
from acaciasaddle.dispatch._dispatcher import LocalDispatcher
from acaciasaddle.dispatch._once import OnceRecords
from acaciasaddle.dispatch._policies import AdmissionPolicy

__all__ = ["AdmissionPolicy", "Dispatcher", "LocalDispatcher", "OnceRecords", "UpstreamLoad"]

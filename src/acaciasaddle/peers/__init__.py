"""Connections between entry hosts: heartbeats, calls, forwarded requests and pushed rows."""

from __future__ import annotations

from acaciasaddle.peers._api import Digest
from acaciasaddle.peers._api import PeerHub

__all__ = ["Digest", "PeerHub"]

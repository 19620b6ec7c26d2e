"""Connections between entry hosts for heartbeats, calls, forwarded requests and pushed rows."""

from __future__ import annotations

from acaciasaddle.peers._api import Digest
from acaciasaddle.peers._api import PeerHub
from acaciasaddle.peers._hub import TcpPeerHub
from acaciasaddle.peers._transport import Connect
from acaciasaddle.peers._transport import Listen
from acaciasaddle.peers._transport import connect_tcp
from acaciasaddle.peers._transport import listen_tcp

__all__ = [
    "Connect",
    "Digest",
    "Listen",
    "PeerHub",
    "TcpPeerHub",
    "connect_tcp",
    "listen_tcp",
]

"""HTTP server for callers: listeners, connections, requests and responses."""

from __future__ import annotations

from acaciasaddle.callers._connection import CallerConnection
from acaciasaddle.callers._listener import HttpServer
from acaciasaddle.callers._listener import Listener

__all__ = ["CallerConnection", "HttpServer", "Listener"]

"""HTTP server for callers, metrics and readiness checks, and the service that runs it."""

from __future__ import annotations

from acaciasaddle.callers._connection import CallerConnection
from acaciasaddle.callers._listener import HttpServer
from acaciasaddle.callers._listener import Listener

__all__ = ["CallerConnection", "HttpServer", "Listener"]

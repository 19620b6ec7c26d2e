"""HTTP/1.1 client for the connections that a node opens."""

from __future__ import annotations

from acaciasaddle.http1._client import ClientConnection
from acaciasaddle.http1._client import RawHeaders
from acaciasaddle.http1._client import Response
from acaciasaddle.http1._client import always
from acaciasaddle.http1._heads import response_problem

__all__ = ["ClientConnection", "RawHeaders", "Response", "always", "response_problem"]

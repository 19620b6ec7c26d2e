"""Sends single JSON requests, for example to stand-ins and operator APIs."""

from __future__ import annotations

import json
from typing import Any

import httpcore
import trio


async def request_json(
    address: str, method: str, path: str, body: Any = None, *, timeout: float = 5.0
) -> tuple[int, Any]:
    """Send one request on a new connection and return the status and the parsed response body.

    ``address`` is ``ip:port``. Raises ``OSError`` if there is no complete response within
    ``timeout`` seconds.
    """
    host, _, port = address.rpartition(":")
    content = b"" if body is None else json.dumps(body).encode()
    origin = httpcore.Origin(b"http", host.encode(), int(port))
    try:
        with trio.fail_after(timeout):
            async with httpcore.AsyncHTTPConnection(origin=origin) as conn:
                response = await conn.request(
                    method,
                    f"http://{address}{path}",
                    headers={
                        "Host": address,
                        "Content-Length": str(len(content)),
                        "Connection": "close",
                    },
                    content=content,
                )
    except (trio.TooSlowError, httpcore.NetworkError, httpcore.ProtocolError) as exc:
        raise OSError(f"{method} {path} at {address} got no complete response: {exc!r}") from exc
    return response.status, json.loads(response.content or b"null")

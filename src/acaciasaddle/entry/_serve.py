"""HTTP listeners that serve ASGI applications with hypercorn."""

from __future__ import annotations

import sys
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

Application = Callable[[Any, Any, Any], Awaitable[None]]


def hypercorn_config(*, address: str, max_header_bytes: int, header_timeout: float) -> Config:
    """Return the hypercorn settings of one listener."""
    cfg = Config()
    cfg.bind = [address]
    cfg.accesslog = None
    cfg.errorlog = None
    cfg.include_date_header = False
    cfg.include_server_header = False
    cfg.h11_max_incomplete_size = max_header_bytes
    # Hypercorn closes a connection that has not delivered the whole request line and headers of its
    # next request within this time.
    cfg.keep_alive_timeout = header_timeout
    cfg.keep_alive_max_requests = sys.maxsize
    # A listener that stops waits for requests in progress without a limit: uploads may take long.
    cfg.graceful_timeout = float("inf")
    return cfg


async def answer_lifespan(receive: Any, send: Any) -> None:
    """Answer the lifespan messages; without the answers, hypercorn on trio fails to start."""
    while True:
        message = await receive()
        if message["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        elif message["type"] == "lifespan.shutdown":
            await send({"type": "lifespan.shutdown.complete"})
            return


async def serve_application(
    app: Application,
    cfg: Config,
    *,
    stop: trio.Event,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until ``stop`` is set and its requests in progress are finished."""

    async def dispatch(scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "lifespan":
            await answer_lifespan(receive, send)
        elif scope["type"] == "http":
            await app(scope, receive, send)

    await serve(dispatch, cfg, shutdown_trigger=stop.wait, task_status=task_status, mode="asgi")

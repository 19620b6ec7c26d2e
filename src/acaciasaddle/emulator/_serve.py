"""Serves the stand-ins' ASGI applications with Hypercorn."""

from __future__ import annotations

import json
import signal
import sys
from functools import partial
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from acaciasaddle.emulator._asgi import AsgiApp

KEEP_ALIVE_S = 60.0
"""Time after which Hypercorn closes an idle connection.

It keeps a connection this long even if the client has reset it, or has closed it before sending a
complete request.
"""

LISTEN_BACKLOG = 1024


def hypercorn_config(address: str, *, graceful_s: float = 3.0) -> Config:
    """Return the configuration of a server on ``ip:port``; port 0 stands for any free port.

    ``graceful_s`` is the time that open connections get when the server stops.
    """
    cfg = Config()
    cfg.bind = [address]
    cfg.backlog = LISTEN_BACKLOG
    cfg.keep_alive_timeout = KEEP_ALIVE_S
    cfg.keep_alive_max_requests = sys.maxsize
    cfg.graceful_timeout = graceful_s
    cfg.include_server_header = False
    cfg.include_date_header = False
    cfg.loglevel = "WARNING"
    return cfg


async def start_server(
    nursery: trio.Nursery,
    app: AsgiApp,
    address: str,
    *,
    stop: Callable[[], Awaitable[None]] = trio.sleep_forever,
    graceful_s: float = 3.0,
) -> str:
    """Start a server in a nursery and return the address on which it listens.

    It stops when ``stop`` returns.
    """
    cfg = hypercorn_config(address, graceful_s=graceful_s)
    binds: list[str] = await nursery.start(
        partial(serve, cast("Any", app), cfg, shutdown_trigger=stop, mode="asgi")
    )
    return binds[0].removeprefix("http://")


async def run_server(
    app: AsgiApp, address: str, *, before_stop: Callable[[], Awaitable[None]] | None = None
) -> None:
    """Serve until SIGTERM or SIGINT, then stop gracefully.

    Prints the address as JSON once the server listens. ``before_stop`` is awaited between the
    signal and the stop.
    """
    stop = trio.Event()
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            listening = await start_server(nursery, app, address, stop=stop.wait)
            print(json.dumps({"ready": listening}), flush=True)
            async for _ in signals:
                break
            if before_stop is not None:
                await before_stop()
            stop.set()

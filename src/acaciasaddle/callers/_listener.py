"""The listeners for callers and for the readiness question."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING
from typing import ClassVar

import trio

from acaciasaddle.callers._connection import CallerConnection
from acaciasaddle.kernel import Service
from acaciasaddle.observe import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from acaciasaddle.forward import CallerRequest
    from acaciasaddle.forward import Reply
    from acaciasaddle.routing import CallerLimits

BACKLOG = 512
ACCEPT_RETRY_S = 0.05

log = get_logger("listener")


class HttpServer:
    """Accepts connections on one address and serves each in a task of its own."""

    def __init__(
        self,
        *,
        address: str,
        limits: Callable[[], CallerLimits],
        handle: Callable[[CallerRequest], Awaitable[Reply]],
    ) -> None:
        self._address = address
        self._limits = limits
        self._handle = handle
        self._connections: set[CallerConnection] = set()
        self._closing = False

    @property
    def open_connections(self) -> int:
        """Number of connections."""
        return len(self._connections)

    @property
    def busy_connections(self) -> int:
        """Number of connections with a request in progress."""
        return sum(conn.busy for conn in self._connections)

    def close_idle(self) -> None:
        """Close idle connections, and the others after their request."""
        self._closing = True
        for conn in list(self._connections):
            conn.close_soon()

    def announce_close(self) -> None:
        """Let all connections say in their next response that they close after it."""
        self._closing = True
        for conn in self._connections:
            conn.closing = conn.closing or conn.busy

    async def serve(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Accept connections until cancelled."""
        host, _, port = self._address.rpartition(":")
        sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        await sock.bind((host, int(port)))
        sock.listen(BACKLOG)
        task_status.started()
        with sock:
            async with trio.open_nursery() as nursery:
                while True:
                    try:
                        accepted, _ = await sock.accept()
                    except OSError as exc:
                        log.warning("cannot accept", reason=str(exc))
                        await trio.sleep(ACCEPT_RETRY_S)
                        continue
                    nursery.start_soon(self._serve_connection, accepted)

    async def _serve_connection(self, sock: trio.socket.SocketType) -> None:
        stream = trio.SocketStream(sock)
        conn = CallerConnection(stream=stream, limits=self._limits(), handle=self._handle)
        self._connections.add(conn)
        try:
            await conn.run()
        except OSError as exc:
            log.info("connection failed", reason=str(exc))
        finally:
            self._connections.discard(conn)


class Listener(Service):
    """Serves callers, and tells the platform whether this host takes new connections."""

    name: ClassVar[str] = "listener"

    def __init__(
        self, *, servers: tuple[HttpServer, ...], callers: HttpServer, grace_s: float
    ) -> None:
        """``grace_s`` is the time between the order to stop and a kill."""
        self._servers = servers
        self._callers = callers
        self._grace_s = grace_s
        self.draining = False

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as nursery:
            for server in self._servers:
                await nursery.start(server.serve)
            task_status.started()
            await trio.sleep_forever()

    async def stop(self) -> None:
        """Say not ready, serve what still arrives, then finish what is in progress."""
        self.draining = True
        started = trio.current_time()
        quiet_s = min(DRAIN_NOTICE_S, self._grace_s / 2)
        await trio.sleep(quiet_s)
        self._callers.close_idle()
        with trio.move_on_at(started + self._grace_s - EXIT_MARGIN_S):
            while self._callers.open_connections:
                await trio.sleep(POLL_S)
        log.info("stopped", open=self._callers.open_connections)


DRAIN_NOTICE_S = 2.6
"""The platform asks once a second and needs two answers to stop sending new connections."""
EXIT_MARGIN_S = 0.4
POLL_S = 0.05

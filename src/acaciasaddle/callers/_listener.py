"""HTTP servers of a node, and the service that runs them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

import trio

from acaciasaddle.callers._connection import CallerConnection
from acaciasaddle.callers._input import has_input
from acaciasaddle.forward import PlannedStop
from acaciasaddle.kernel import Service
from acaciasaddle.kernel import open_listening_socket
from acaciasaddle.memory import MemoryBound
from acaciasaddle.observe import NullMetrics
from acaciasaddle.observe import describe_error
from acaciasaddle.observe import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from acaciasaddle.callers._connection import ReadBodyTerms
    from acaciasaddle.forward import CallerRequest
    from acaciasaddle.forward import CallerResponse
    from acaciasaddle.observe import Metrics
    from acaciasaddle.routing import CallerLimits

BACKLOG = 512
ACCEPT_RETRY_S = 0.05
WAITING_CONNECTION_S = 0.01
"""A server that stops takes its queue of new connections for empty if none comes for this long."""
ACCEPT_REST_S = 1.0
"""Time for which a server that stops accepts connections until none waits for it. After that, it
only accepts those that wait already, and no more than ``BACKLOG``."""
LAST_REQUEST_S = 0.2
"""Time in which a connection that was accepted last can send its request."""

log = get_logger("listener")


class HttpServer:
    """Accepts connections on one address and serves each in a task of its own.

    An error on one connection ends that connection only. Errors that are neither a network failure
    nor a violation of HTTP are unexpected; they are logged and counted.
    """

    def __init__(
        self,
        *,
        address: str,
        limits: Callable[[], CallerLimits],
        handle: Callable[[CallerRequest], Awaitable[CallerResponse]],
        metrics: Metrics | None = None,
        memory: MemoryBound | None = None,
        body_terms: ReadBodyTerms | None = None,
    ) -> None:
        """Create a server.

        ``memory`` bounds the bodies of requests. ``body_terms`` returns the terms of a request with
        a large body from its target, its header fields and the time at which its head was read.
        """
        self._metrics = metrics or NullMetrics()
        self._memory = memory or MemoryBound()
        self._body_terms = body_terms
        self._address = address
        self._limits = limits
        self._handle = handle
        self._connections: set[CallerConnection] = set()
        self._closing = False
        self._errors_of_closed = 0
        self._accepting = trio.CancelScope()
        self._has_ended = trio.Event()

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def unexpected_errors(self) -> int:
        """Number of unexpected errors since the start."""
        return self._errors_of_closed + sum(conn.unexpected_errors for conn in self._connections)

    @property
    def busy_connections(self) -> int:
        """Number of connections with requests in progress."""
        return sum(conn.busy for conn in self._connections)

    async def wait_until_ended(self) -> None:
        """Wait until ``serve`` has returned, so that no connection is open or waits for it."""
        await self._has_ended.wait()

    def announce_close(self) -> None:
        """Make connections close after the requests in progress, or else after their next one."""
        self._closing = True
        for conn in self._connections:
            conn.close_after_next = True

    def close_idle(self) -> None:
        """Stop accepting, and close each connection as soon as it is idle."""
        self._accepting.cancel()
        for conn in list(self._connections):
            conn.close_soon()

    async def serve(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Accept and serve connections until cancelled.

        After ``close_idle``, return when the open connections have closed.
        """
        sock = await open_listening_socket(self._address, backlog=BACKLOG)
        task_status.started()
        async with trio.open_nursery() as nursery:
            with sock:
                with self._accepting:
                    while True:
                        await self._accept(sock, nursery)
                await self._accept_waiting(sock, nursery)
            await trio.sleep(LAST_REQUEST_S)
            for conn in self._connections:
                conn.close_soon()
        self._has_ended.set()

    async def _accept_waiting(self, sock: trio.socket.SocketType, nursery: trio.Nursery) -> None:
        """Accept the connections that were made before the stop: closing would reset them.

        The last check that none waits and the close by the caller of this method are one step.
        """
        with trio.move_on_after(ACCEPT_REST_S):
            while True:
                with trio.move_on_after(WAITING_CONNECTION_S) as scope:
                    await self._accept(sock, nursery)
                if scope.cancelled_caught and not has_input(sock):
                    return
        for _ in range(BACKLOG):
            if not has_input(sock) or not await self._accept(sock, nursery):
                return

    async def _accept(self, sock: trio.socket.SocketType, nursery: trio.Nursery) -> bool:
        """Accept a connection and serve it in a task of its own; return whether that succeeded."""
        try:
            accepted, _ = await sock.accept()
        except OSError as exc:
            log.warning("cannot accept connection", reason=str(exc))
            await trio.sleep(ACCEPT_RETRY_S)
            return False
        nursery.start_soon(self._serve_connection, accepted)
        return True

    async def _serve_connection(self, sock: trio.socket.SocketType) -> None:
        stream = trio.SocketStream(sock)
        conn = CallerConnection(
            stream=stream,
            limits=self._limits,
            handle=self._handle,
            metrics=self._metrics,
            memory=self._memory,
            body_terms=self._body_terms,
        )
        conn.close_after_next = self._closing
        self._connections.add(conn)
        try:
            await conn.run()
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as group:
            log.info("HTTP connection failed", reason=repr(group.exceptions))
        except* Exception as group:
            self._errors_of_closed += 1
            log.error(
                "unexpected error, connection closed", reason=describe_error(group.exceptions[0])
            )
        finally:
            self._errors_of_closed += conn.unexpected_errors
            self._connections.discard(conn)


class Listener(Service):
    """Service that runs the HTTP servers and stops that of the callers within the grace time.

    ``draining`` is true from the announcement of the stop; the host then reports not ready.
    """

    name: ClassVar[str] = "listener"

    def __init__(
        self, *, servers: tuple[HttpServer, ...], callers: HttpServer, grace_s: float
    ) -> None:
        """Create the service.

        ``callers`` is the one of the ``servers`` that serves callers. ``grace_s`` is the time
        between the signal to stop and a kill.
        """
        self._servers = servers
        self._callers = callers
        self._grace_s = grace_s
        self.draining = False
        self._planned_stop: PlannedStop | None = None

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as nursery:
            for server in self._servers:
                await nursery.start(server.serve)
            task_status.started()
            await trio.sleep_forever()

    def announce_stop(self, *, signalled_after: float | None = None) -> PlannedStop:
        """Report not ready, and announce to callers' connections that they are to close.

        Return the stop, which begins with the first announcement, or at ``signalled_after`` on
        trio's clock if the signal may have come that early. The stop of other services is part of
        the grace time.
        """
        if self._planned_stop is None:
            self.draining = True
            began_at = trio.current_time() if signalled_after is None else signalled_after
            self._planned_stop = PlannedStop(
                announced_at=began_at, ends_at=began_at + self._grace_s - EXIT_MARGIN_S
            )
            self._callers.announce_close()
        return self._planned_stop

    async def stop(self) -> None:
        """Serve new requests for part of the grace time, then finish those in progress."""
        stop = self.announce_stop()
        accept_s = max(self._grace_s / 2, self._grace_s - ACCEPT_MARGIN_S)
        await trio.sleep_until(stop.announced_at + accept_s)
        self._callers.close_idle()
        with trio.move_on_at(stop.ends_at):
            await self._callers.wait_until_ended()
        # A busy process sees this end late, and in the same step responses that are ready since.
        with trio.move_on_after(LAST_RESPONSES_S):
            await self._callers.wait_until_ended()
        log.info(
            "listener stopped",
            open=self._callers.open_connections,
            busy=self._callers.busy_connections,
        )


ACCEPT_MARGIN_S = 2.6
"""The listener stops accepting requests this long before the end of the grace time, or halfway
through it if that is later. Requests that might not finish by then are refused before."""
EXIT_MARGIN_S = 0.4
"""The listener stops waiting for requests in progress this long before the end of the grace
time."""
LAST_RESPONSES_S = 0.1
"""Time after that in which responses that are ready are still sent."""

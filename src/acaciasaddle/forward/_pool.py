"""Pool of connections to upstreams."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import trio

from acaciasaddle.http1 import ClientConnection

if TYPE_CHECKING:
    from collections.abc import Collection

    from acaciasaddle.fleet import UpstreamEntry
    from acaciasaddle.memory import MemoryBound

CONNECT_TIMEOUT_S = 0.3
"""TCP resends a lost SYN after 1 s; giving up early and connecting again is faster."""
DEFAULT_IDLE_S = 4.0
"""Idle time allowed for a connection whose upstream sent no ``Keep-Alive`` timeout, or one of 0."""
IDLE_MARGIN_S = 1.0
"""A connection is not reused if the upstream would close it for being idle within this time."""
FRESH_IDLE_S = 0.25
"""A request that must not be repeated only reuses a connection whose last response came within this
time. Upstreams may drop the state of a connection that was idle for some tenths of a second, and a
request that is sent on it fails with an unknown outcome. Opening a new connection takes only 1 ms
of a slot's time."""
MAX_IDLE_PER_UPSTREAM = 3
"""Idle connections kept for each upstream. In deployments of 70 hosts, the connections that an
upstream accepts, idle or not, come to 6 or 7 for each host; while its queue is long, it resets new
ones sooner."""


class ConnectionPool:
    """Idle connections by upstream, reused in last-in, first-out order."""

    def __init__(self, *, memory: MemoryBound | None = None) -> None:
        """``memory`` bounds the responses on the connections."""
        self._memory = memory
        self._idle: dict[str, deque[ClientConnection]] = {}
        self.opened = 0

    @property
    def idle_connections(self) -> int:
        """Number of idle connections."""
        return sum(map(len, self._idle.values()))

    async def acquire(
        self,
        upstream: UpstreamEntry,
        *,
        fresh: bool,
        without: Collection[ClientConnection] = (),
    ) -> ClientConnection:
        """Return a usable idle connection, or open a new one.

        With ``fresh`` only connections that became idle less than ``FRESH_IDLE_S`` ago are reused.
        Connections in ``without`` stay idle. Raises ``UpstreamUnreachableError`` if the upstream
        does not accept a new connection.
        """
        idle = self._idle.get(upstream.upstream_id, deque())
        skipped = [idle_conn for idle_conn in idle if idle_conn in without]
        for skipped_conn in skipped:
            idle.remove(skipped_conn)
        conn = self._take_idle(idle, fresh=fresh)
        idle.extend(skipped)
        if conn is not None:
            return conn
        self.opened += 1
        return await ClientConnection.connect(
            address=upstream.address, timeout_s=CONNECT_TIMEOUT_S, memory=self._memory
        )

    @staticmethod
    def _take_idle(idle: deque[ClientConnection], *, fresh: bool) -> ClientConnection | None:
        """Remove the newest usable connection and return it; reset those that are not usable."""
        now = trio.current_time()
        while idle:
            conn = idle.pop()
            limit = (conn.keep_alive_s or DEFAULT_IDLE_S + IDLE_MARGIN_S) - IDLE_MARGIN_S
            if now - conn.idle_since >= limit or not conn.is_open_and_idle():
                conn.abort()
                continue
            if fresh and now - conn.idle_since >= FRESH_IDLE_S:
                # The others have been idle for longer; keep them for repeatable requests.
                idle.append(conn)
                return None
            return conn
        return None

    def release(self, upstream: UpstreamEntry, conn: ClientConnection) -> None:
        """Return a connection to the pool, or reset it if it cannot be reused.

        If the upstream then has too many idle connections, the one idle for longest is reset.
        """
        if not conn.reusable:
            conn.abort()
            return
        idle = self._idle.setdefault(upstream.upstream_id, deque())
        idle.append(conn)
        if len(idle) > MAX_IDLE_PER_UPSTREAM:
            idle.popleft().abort()

    def discard(self, upstream_id: str) -> None:
        """Reset all idle connections to an upstream."""
        for conn in self._idle.pop(upstream_id, ()):
            conn.abort()

"""Connections to upstreams."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import trio

from acaciasaddle.http1 import ClientConnection

if TYPE_CHECKING:
    from acaciasaddle.fleet import UpstreamEntry

CONNECT_TIMEOUT_S = 0.3
"""A lost opening packet is sent again after a second; a new connection is quicker."""
DEFAULT_IDLE_S = 4.0
"""Idle time of a connection whose upstream states none."""
IDLE_MARGIN_S = 1.0
"""Connections are given up this long before the upstream closes them."""
FRESH_S = 0.25
"""A request that must not be repeated uses connections that answered within this time. Upstreams
may forget a connection that rested for some tenths of a second, and a request sent on it fails with
an unknown outcome; a new connection takes a slot for 1 ms."""
MAX_IDLE = 3
"""Idle connections kept to one upstream. The grown deployments allow each of 70 hosts 6 or 7, idle
or not, and an upstream with a long queue resets new ones sooner."""


class ConnectionPool:
    """Idle connections by upstream; the last used one is used first."""

    def __init__(self) -> None:
        self._idle: dict[str, deque[ClientConnection]] = {}
        self.opened = 0

    @property
    def idle_connections(self) -> int:
        """Number of connections that are kept for later use."""
        return sum(map(len, self._idle.values()))

    async def acquire(self, upstream: UpstreamEntry, *, fresh: bool) -> ClientConnection:
        """Return an idle connection that still stands, or open one.

        Raises ``UpstreamUnreachableError``.
        """
        now = trio.current_time()
        idle = self._idle.get(upstream.upstream_id)
        while idle:
            conn = idle.pop()
            limit = (conn.keep_alive_s or DEFAULT_IDLE_S + IDLE_MARGIN_S) - IDLE_MARGIN_S
            if now - conn.idle_since >= limit or not conn.is_quiet():
                conn.abort()
                continue
            if fresh and now - conn.idle_since >= FRESH_S:
                # The others rested longer; they stay for requests that may be repeated.
                idle.append(conn)
                break
            return conn
        self.opened += 1
        return await ClientConnection.connect(address=upstream.address, timeout_s=CONNECT_TIMEOUT_S)

    def release(self, upstream: UpstreamEntry, conn: ClientConnection) -> None:
        """Keep a connection for later use, or close it if it cannot be used again."""
        if not conn.reusable:
            conn.abort()
            return
        idle = self._idle.setdefault(upstream.upstream_id, deque())
        idle.append(conn)
        if len(idle) > MAX_IDLE:
            idle.popleft().abort()

    def forget(self, upstream_id: str) -> None:
        """Close all idle connections to an upstream."""
        for conn in self._idle.pop(upstream_id, ()):
            conn.abort()

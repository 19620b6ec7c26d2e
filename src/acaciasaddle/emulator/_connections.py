"""Counts the open connections of a server in this process, which ASGI does not expose."""

from __future__ import annotations

import os
import socket

TCP_ESTABLISHED = 1
"""Value of ``tcpi_state``. A connection that the client has closed is in another state."""

RECOUNT_INTERVAL_S = 0.05
"""Interval after which connections are counted again once the limit was exceeded."""


class ConnectionCounter:
    """Counts open connections to a server's address.

    Inspecting a descriptor takes about 10 microseconds, and every new connection would cause an
    inspection of all descriptors. They are therefore inspected only if the process has more than
    ``limit`` of them, and not again for ``RECOUNT_INTERVAL_S`` after the limit was found to be
    exceeded.
    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._exceeded_at = float("-inf")

    def exceeds_limit(self, server: tuple[str, int], *, now: float) -> bool:
        """Return whether more connections than the limit are open. ``now`` is in seconds."""
        if now - self._exceeded_at < RECOUNT_INTERVAL_S:
            return True
        descriptors = [int(name) for name in os.listdir("/proc/self/fd")]
        if len(descriptors) <= self._limit:
            return False
        if sum(_is_connection(fd, server) for fd in descriptors) <= self._limit:
            return False
        self._exceeded_at = now
        return True


def _is_connection(fd: int, server: tuple[str, int]) -> bool:
    # A socket object closes its descriptor, so it gets a duplicate, and the original stays open.
    try:
        duplicate = os.dup(fd)
    except OSError:
        return False
    try:
        sock = socket.socket(fileno=duplicate)
    except OSError:
        os.close(duplicate)
        return False
    with sock:
        try:
            state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
            return state == TCP_ESTABLISHED and bool(sock.getsockname()[:2] == server)
        except OSError:
            return False

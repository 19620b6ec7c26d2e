"""Counts the open connections of a server in this process. ASGI does not show them."""

from __future__ import annotations

import os
import socket

TCP_ESTABLISHED = 1
"""Value of ``tcpi_state``; a connection that the client has closed is in another state."""


def exceeds(limit: int, server: tuple[str, int]) -> bool:
    """Return whether more than ``limit`` connections to a server's address are open.

    Inspecting every descriptor takes a few microseconds each, so it is done only if the process
    has more than ``limit`` descriptors of any sort.
    """
    descriptors = [int(name) for name in os.listdir("/proc/self/fd")]
    if len(descriptors) <= limit:
        return False
    return sum(_is_connection(fd, server) for fd in descriptors) > limit


def _is_connection(fd: int, server: tuple[str, int]) -> bool:
    # The copy is closed whether or not it is a socket; the original stays open.
    try:
        copy = os.dup(fd)
    except OSError:
        return False
    try:
        sock = socket.socket(fileno=copy)
    except OSError:
        os.close(copy)
        return False
    with sock:
        try:
            state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
            return state == TCP_ESTABLISHED and bool(sock.getsockname()[:2] == server)
        except OSError:
            return False

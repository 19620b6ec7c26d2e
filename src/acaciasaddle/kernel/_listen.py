"""Listening sockets of services."""

from __future__ import annotations

import errno
import socket

import trio

from acaciasaddle.errors import AcaciasaddleError
from acaciasaddle.observe import get_logger

TEMPORARY_ERRORS = frozenset(
    {
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)
RETRY_S = 0.25
LOG_EVERY = 20
"""Every how many failures in a row a line is logged: every 5 s."""

log = get_logger("listen")


async def open_listening_socket(address: str, *, backlog: int) -> trio.socket.SocketType:
    """Return a socket that listens on ``ip:port``.

    While the port is taken, for example by a process that ends or by an outgoing connection that
    was given this port, try again: a process that ended instead would be started again and fail in
    the same way. Raises ``AcaciasaddleError`` if the address can never be used.
    """
    failures = 0
    while True:
        try:
            return await _listen(address, backlog)
        except OSError as exc:
            if exc.errno not in TEMPORARY_ERRORS:
                raise AcaciasaddleError(
                    f"cannot listen: {exc.strerror}", step="listen", peer=address
                ) from exc
            if failures % LOG_EVERY == 0:
                log.warning("cannot listen yet", address=address, reason=exc.strerror)
            failures += 1
            await trio.sleep(RETRY_S)


async def _listen(address: str, backlog: int) -> trio.socket.SocketType:
    host, _, port = address.rpartition(":")
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        await sock.bind((host, int(port)))
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock

"""Whether a socket has input that nobody has read yet."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import trio


def has_input(sock: trio.socket.SocketType) -> bool:
    """Return whether a socket has unread bytes, the end of its input or a connection to accept.

    Does not wait, so no other task runs between this check and what the caller does next.
    """
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))

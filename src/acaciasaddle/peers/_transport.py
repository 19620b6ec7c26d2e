"""TCP connections and listeners. Addresses are IP addresses with a port, not host names."""

from __future__ import annotations

import ipaddress
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING

import trio

from acaciasaddle.errors import PeerError

if TYPE_CHECKING:
    Listener = trio.abc.Listener[trio.abc.Stream]

Connect = Callable[[str], Awaitable[trio.abc.Stream]]
"""Connects to ``ip:port``. Raises ``PeerError`` if the address is invalid, ``OSError`` if it
can't connect, and ``ConnectionRefusedError`` if the connection is refused."""

Listen = Callable[[str], Awaitable[tuple["Listener", str]]]
"""Listens on ``ip:port``. Returns the listener and its address with the actual port."""


MAX_PORT = 65_535


def parse_address(address: str) -> tuple[str, int]:
    """Return the IP address and port of ``ip:port`` or ``[ip]:port``. Raises ``PeerError``."""
    host, _, port = address.rpartition(":")
    try:
        ip = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        number = int(port)
    except ValueError:
        number = -1
    if not 0 <= number <= MAX_PORT:
        raise PeerError(
            f"the peer address {address!r} is not of the form ip:port", step="peer.address"
        )
    return str(ip), number


async def connect_tcp(address: str) -> trio.abc.Stream:
    """Open a TCP connection. ``SocketStream`` sets TCP_NODELAY and a low TCP_NOTSENT_LOWAT."""
    host, port = parse_address(address)
    family = trio.socket.AF_INET6 if ":" in host else trio.socket.AF_INET
    sock = trio.socket.socket(family, trio.socket.SOCK_STREAM)
    try:
        await sock.connect((host, port))
        return trio.SocketStream(sock)
    except BaseException:
        sock.close()
        raise


async def listen_tcp(address: str) -> tuple[Listener, str]:
    """Listen on a TCP port; port 0 selects a free one."""
    host, port = parse_address(address)
    listeners = await trio.open_tcp_listeners(port, host=host)
    bound_host, bound_port = listeners[0].socket.getsockname()[:2]
    text = f"[{bound_host}]" if ":" in bound_host else bound_host
    return listeners[0], f"{text}:{bound_port}"

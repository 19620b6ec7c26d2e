"""A relay of TCP connections that delays, stops, cuts or resets them."""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass

import trio

CHUNK_BYTES = 65_536
MAX_CHUNKS = 64
"""Parts of a message that wait in the relay; then the sender has to wait as well."""
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(slots=True, kw_only=True)
class RelayFaults:
    """What the relay does. ``inward`` is towards the target, ``outward`` back from it."""

    refuses: bool = False
    stops_inward: bool = False
    stops_outward: bool = False
    delay_s: float = 0.0


class Relay:
    """Listens on ``address`` and passes bytes to ``target`` and back.

    What a sender has given up by closing its connection is not delivered later, as on a network
    whose packets are lost.
    """

    def __init__(self, *, target: str = "") -> None:
        """An empty ``target`` refuses all connections."""
        self.target = target
        self.address = ""
        self._faults = RelayFaults()
        self._changed = trio.Event()
        self._connections: set[trio.CancelScope] = set()

    async def run(self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Accept connections; starts with the address."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = "127.0.0.1:{1}".format(*listeners[0].socket.getsockname())
        task_status.started(self.address)
        await trio.serve_listeners(self._serve, listeners)

    def set(self, faults: RelayFaults) -> None:
        """Change what the relay does, for open connections as well."""
        self._faults = faults
        if faults.refuses:
            self.reset()
        self._changed.set()
        self._changed = trio.Event()

    def reset(self) -> None:
        """Reset all open connections."""
        for scope in list(self._connections):
            scope.cancel()

    async def _serve(self, near: trio.SocketStream) -> None:
        if self._faults.refuses or not self.target:
            _reset(near)
            return
        host, _, port = self.target.rpartition(":")
        try:
            far = await trio.open_tcp_stream(host, int(port))
        except OSError:
            _reset(near)
            return
        answered = False
        with trio.CancelScope() as scope:
            self._connections.add(scope)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pass, near, far, True, nursery.cancel_scope)
                await self._pass(far, near, False, nursery.cancel_scope)
                answered = True
                nursery.cancel_scope.cancel()
        self._connections.discard(scope)
        _reset(far)
        if answered:
            await trio.aclose_forcefully(near)
        else:
            _reset(near)

    async def _pass(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        inward: bool,
        connection: trio.CancelScope,
    ) -> None:
        send, receive = trio.open_memory_channel[bytes](MAX_CHUNKS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read, source, send, inward, connection)
            async with receive:
                async for data in receive:
                    await trio.sleep(self._faults.delay_s)
                    while self._stops(inward):
                        await self._changed.wait()
                    try:
                        await sink.send_all(data)
                    except (trio.BrokenResourceError, trio.ClosedResourceError):
                        connection.cancel()

    async def _read(
        self,
        source: trio.SocketStream,
        send: trio.MemorySendChannel[bytes],
        inward: bool,
        connection: trio.CancelScope,
    ) -> None:
        async with send:
            try:
                while data := await source.receive_some(CHUNK_BYTES):
                    await send.send(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                connection.cancel()
            if inward:
                connection.cancel()

    def _stops(self, inward: bool) -> bool:
        return self._faults.stops_inward if inward else self._faults.stops_outward


def _reset(stream: trio.SocketStream) -> None:
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    stream.socket.close()

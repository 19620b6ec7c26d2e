"""A TCP relay that delays, blocks, refuses or resets connections."""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass

import trio

CHUNK_BYTES = 65_536
MAX_BUFFERED_CHUNKS = 64
"""Chunks buffered per direction. When the buffer is full, the relay stops reading and TCP flow
control holds up the sender."""
# With SO_LINGER on and a timeout of 0 s, close() sends a RST instead of a FIN.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(slots=True, kw_only=True)
class RelayFaults:
    """Faults of a relay. ``inward`` is towards the target, ``outward`` back from it.

    While ``refuses`` is true, open and new connections are reset. A blocked direction keeps its
    connections open and passes no bytes. The relay waits ``delay_s`` before it sends each chunk.
    """

    refuses: bool = False
    blocks_inward: bool = False
    blocks_outward: bool = False
    delay_s: float = 0.0


class Relay:
    """Listens on ``address`` and copies bytes to ``target`` and back.

    When a client closes its connection, bytes that are still in the relay are dropped, as on a
    network that loses packets. Otherwise a target would get requests long after their callers have
    given up.
    """

    def __init__(self, *, target: str = "") -> None:
        """Create a relay that refuses all connections while ``target`` is empty."""
        self.target = target
        self.address = ""
        self._faults = RelayFaults()
        self._changed = trio.Event()
        self._connection_scopes: set[trio.CancelScope] = set()

    async def run(self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Accept connections until cancelled; ``task_status`` gets the address."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = "127.0.0.1:{1}".format(*listeners[0].socket.getsockname())
        task_status.started(self.address)
        await trio.serve_listeners(self._serve, listeners)

    def set_faults(self, faults: RelayFaults) -> None:
        """Replace the faults; open connections are affected as well."""
        self._faults = faults
        if faults.refuses:
            self.reset()
        self._changed.set()
        self._changed = trio.Event()

    def reset(self) -> None:
        """Reset all open connections."""
        for scope in list(self._connection_scopes):
            scope.cancel()

    async def _serve(self, client: trio.SocketStream) -> None:
        if self._faults.refuses or not self.target:
            _reset(client)
            return
        host, _, port = self.target.rpartition(":")
        try:
            target = await trio.open_tcp_stream(host, int(port))
        except OSError:
            _reset(client)
            return
        closed_by_target = False
        with trio.CancelScope() as scope:
            self._connection_scopes.add(scope)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, client, target, True, nursery.cancel_scope)
                await self._copy(target, client, False, nursery.cancel_scope)
                closed_by_target = True
                nursery.cancel_scope.cancel()
        self._connection_scopes.discard(scope)
        _reset(target)
        if closed_by_target:
            await trio.aclose_forcefully(client)
        else:
            _reset(client)

    async def _copy(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        inward: bool,
        connection_scope: trio.CancelScope,
    ) -> None:
        send, receive = trio.open_memory_channel[bytes](MAX_BUFFERED_CHUNKS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read, source, send, inward, connection_scope)
            async with receive:
                async for data in receive:
                    await trio.sleep(self._faults.delay_s)
                    while self._is_blocked(inward):
                        await self._changed.wait()
                    try:
                        await sink.send_all(data)
                    except (trio.BrokenResourceError, trio.ClosedResourceError):
                        connection_scope.cancel()

    async def _read(
        self,
        source: trio.SocketStream,
        send: trio.MemorySendChannel[bytes],
        inward: bool,
        connection_scope: trio.CancelScope,
    ) -> None:
        async with send:
            try:
                while data := await source.receive_some(CHUNK_BYTES):
                    await send.send(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                connection_scope.cancel()
            if inward:
                # The client has closed its connection: drop the bytes that are still in the relay.
                connection_scope.cancel()

    def _is_blocked(self, inward: bool) -> bool:
        return self._faults.blocks_inward if inward else self._faults.blocks_outward


def _reset(stream: trio.SocketStream) -> None:
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    stream.socket.close()

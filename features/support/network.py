"""In-memory network with latency, cuts and connections that go silent."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import Any

import httpcore
import trio

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterable

LATENCY_S = 0.0005
BUFFER_BYTES = 262_144


class Pipe:
    """One direction of a connection between two endpoints."""

    def __init__(self, *, network: Network, source: str, target: str) -> None:
        self.source = source
        self.target = target
        self.silent = False
        self.broken = False
        self.reverse: Pipe | None = None
        self._network = network
        self._end_of_stream = False
        self._chunks: deque[tuple[float, bytes]] = deque()
        self._size = 0
        self._changed = trio.lowlevel.ParkingLot()

    def wake_waiters(self) -> None:
        """Make waiting senders and receivers check the state of the pipe again."""
        self._changed.unpark_all()

    def reset(self) -> None:
        """End the direction as a TCP reset does: data in transit is dropped."""
        self.broken = True
        self._chunks.clear()
        self.wake_waiters()

    def close(self) -> None:
        """End the direction once the data in transit has been received."""
        self._end_of_stream = True
        self.wake_waiters()

    async def send(self, data: bytes) -> None:
        """Send bytes, or drop them if the pipe is silent; wait while the buffer is full.

        Raise ``trio.BrokenResourceError`` if the direction has ended.
        """
        while self._size > BUFFER_BYTES and not self.broken:
            await self._changed.park()
        if self.broken or self._end_of_stream:
            raise trio.BrokenResourceError("the connection is reset")
        if not self.silent:
            self._size += len(data)
            self._chunks.append((trio.current_time() + LATENCY_S, data))
            self.wake_waiters()

    async def receive(self) -> bytes:
        """Return the next bytes, ``b""`` at the end of the stream.

        Raise ``trio.BrokenResourceError`` if the connection is reset.
        """
        while True:
            if self.broken:
                raise trio.BrokenResourceError("the connection is reset")
            if self.silent or self._network.is_cut(self.source, self.target):
                await self._changed.park()
            elif self._chunks:
                arrival, data = self._chunks[0]
                if arrival <= trio.current_time():
                    self._chunks.popleft()
                    self._size -= len(data)
                    self.wake_waiters()
                    return data
                await trio.sleep_until(arrival)
            elif self._end_of_stream:
                return b""
            else:
                await self._changed.park()


class MemoryStream(trio.abc.Stream):
    """One end of a connection. It returns chunks as they were sent, whatever ``max_bytes`` is."""

    def __init__(self, *, network: Network, incoming: Pipe, outgoing: Pipe) -> None:
        self._network = network
        self._incoming = incoming
        self._outgoing = outgoing
        self._closed = False

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        await trio.lowlevel.checkpoint()
        if self._closed:
            raise trio.ClosedResourceError
        await self._network.before_send(self._outgoing, bytes(data))
        await self._outgoing.send(bytes(data))

    async def wait_send_all_might_not_block(self) -> None:
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        await trio.lowlevel.checkpoint()
        if self._closed:
            raise trio.ClosedResourceError
        data = await self._incoming.receive()
        if data:
            await self._network.after_receive(self._incoming, data)
        return data

    async def aclose(self) -> None:
        if not self._closed:
            self._closed = True
            self._outgoing.close()
            # As with TCP, a peer that sends to a closed socket gets a reset.
            self._incoming.reset()
        await trio.lowlevel.checkpoint()


class MemoryListener(trio.abc.Listener[MemoryStream]):
    """Listener that accepts the connections to one address."""

    def __init__(self, *, network: Network, endpoint: str, address: str) -> None:
        self.endpoint = endpoint
        self._network = network
        self._address = address
        self._send, self._receive = trio.open_memory_channel[MemoryStream](1000)

    def enqueue(self, stream: MemoryStream) -> None:
        """Queue a connection for ``accept``."""
        self._send.send_nowait(stream)

    async def accept(self) -> MemoryStream:
        try:
            return await self._receive.receive()
        except trio.ClosedResourceError:
            raise trio.ClosedResourceError from None

    async def aclose(self) -> None:
        self._network.unlisten(self._address, self)
        self._receive.close()
        await trio.lowlevel.checkpoint()


async def _no_hook(pipe: Pipe, data: bytes) -> None:
    return


class Network:
    """Network of named endpoints: hosts and upstreams.

    ``before_send`` and ``after_receive`` are awaited with the pipe and the data before data is sent
    and after it was received, so that faults can be injected there.
    """

    def __init__(self) -> None:
        self._listeners: dict[str, MemoryListener] = {}
        self._pipes: list[Pipe] = []
        self._cut_counts: dict[tuple[str, str], int] = {}
        self._healed = trio.lowlevel.ParkingLot()
        self.before_send: Callable[[Pipe, bytes], Awaitable[None]] = _no_hook
        self.after_receive: Callable[[Pipe, bytes], Awaitable[None]] = _no_hook

    def listen(self, endpoint: str, address: str) -> MemoryListener:
        """Return a listener on an address, which replaces an earlier one."""
        listener = MemoryListener(network=self, endpoint=endpoint, address=address)
        self._listeners[address] = listener
        return listener

    def unlisten(self, address: str, listener: MemoryListener) -> None:
        """Refuse connections to the address, unless another listener has replaced this one."""
        if self._listeners.get(address) is listener:
            del self._listeners[address]

    async def connect(self, endpoint: str, address: str) -> MemoryStream:
        """Connect an endpoint to an address, after waiting until neither direction is cut.

        Raise ``ConnectionRefusedError`` if nothing listens there.
        """
        while True:
            await trio.sleep(2 * LATENCY_S)
            listener = self._listeners.get(address)
            if listener is None:
                raise ConnectionRefusedError(f"nothing listens on {address}")
            target = listener.endpoint
            if not self.is_cut(endpoint, target) and not self.is_cut(target, endpoint):
                break
            await self._healed.park()
        forward = Pipe(network=self, source=endpoint, target=target)
        backward = Pipe(network=self, source=target, target=endpoint)
        forward.reverse, backward.reverse = backward, forward
        self._pipes += [forward, backward]
        listener.enqueue(MemoryStream(network=self, incoming=forward, outgoing=backward))
        return MemoryStream(network=self, incoming=backward, outgoing=forward)

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether no data passes in this direction."""
        return self._cut_counts.get((source, target), 0) > 0

    def cut(self, directions: Iterable[tuple[str, str]]) -> None:
        """Delay data in these directions until ``heal``, as TCP retransmits what did not arrive."""
        for direction in directions:
            self._cut_counts[direction] = self._cut_counts.get(direction, 0) + 1

    def heal(self, directions: Iterable[tuple[str, str]]) -> None:
        """Undo one ``cut`` of these directions."""
        for direction in directions:
            self._cut_counts[direction] -= 1
        self._healed.unpark_all()
        for pipe in self._pipes:
            pipe.wake_waiters()

    def silence(self, first: str, second: str) -> None:
        """Make the open connections between two endpoints drop all data permanently."""
        for pipe in self._pipes:
            if {pipe.source, pipe.target} == {first, second}:
                pipe.silent = True

    def remove_endpoint(self, endpoint: str) -> None:
        """Reset all connections of an endpoint; refuse new ones to it until it listens again."""
        for address, listener in list(self._listeners.items()):
            if listener.endpoint == endpoint:
                del self._listeners[address]
        for pipe in self._pipes:
            if endpoint in (pipe.source, pipe.target):
                pipe.reset()


class _BackendStream(httpcore.AsyncNetworkStream):
    def __init__(self, stream: MemoryStream) -> None:
        self._stream = stream

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        try:
            with trio.fail_after(timeout if timeout is not None else float("inf")):
                return await self._stream.receive_some(max_bytes)
        except trio.TooSlowError as exc:
            raise httpcore.ReadTimeout(exc) from exc
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise httpcore.ReadError(exc) from exc

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        if not buffer:
            return
        try:
            with trio.fail_after(timeout if timeout is not None else float("inf")):
                await self._stream.send_all(buffer)
        except trio.TooSlowError as exc:
            raise httpcore.WriteTimeout(exc) from exc
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise httpcore.WriteError(exc) from exc

    async def aclose(self) -> None:
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        if info == "is_readable":
            incoming = self._stream._incoming
            return incoming.broken or incoming._end_of_stream
        return None


class MemoryBackend(httpcore.AsyncNetworkBackend):
    """Network backend for the HTTP clients of one endpoint."""

    def __init__(self, *, network: Network, endpoint: str) -> None:
        self._network = network
        self._endpoint = endpoint

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Any = None,
    ) -> httpcore.AsyncNetworkStream:
        try:
            with trio.fail_after(timeout if timeout is not None else float("inf")):
                return _BackendStream(await self._network.connect(self._endpoint, f"{host}:{port}"))
        except trio.TooSlowError as exc:
            raise httpcore.ConnectTimeout(exc) from exc
        except OSError as exc:
            raise httpcore.ConnectError(exc) from exc

    async def sleep(self, seconds: float) -> None:
        await trio.sleep(seconds)

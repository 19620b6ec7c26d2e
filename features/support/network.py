"""A network in memory with latency, cuts and connections that go silent."""

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
    """One direction of a connection between two places."""

    def __init__(self, *, network: Network, source: str, target: str) -> None:
        self.source = source
        self.target = target
        self.silent = False
        self.broken = False
        self.reverse: Pipe | None = None
        self._network = network
        self._ended = False
        self._chunks: deque[tuple[float, bytes]] = deque()
        self._size = 0
        self._changed = trio.lowlevel.ParkingLot()

    def wake(self) -> None:
        """Have both sides look again."""
        self._changed.unpark_all()

    def break_off(self) -> None:
        """End the direction as a reset does: what is under way is lost."""
        self.broken = True
        self._chunks.clear()
        self.wake()

    def end(self) -> None:
        """End the direction after what is under way."""
        self._ended = True
        self.wake()

    async def send(self, data: bytes) -> None:
        """Send bytes. Raises ``trio.BrokenResourceError``."""
        while self._size > BUFFER_BYTES and not self.broken:
            await self._changed.park()
        if self.broken or self._ended:
            raise trio.BrokenResourceError("the connection is reset")
        if not self.silent:
            self._size += len(data)
            self._chunks.append((trio.current_time() + LATENCY_S, data))
            self.wake()

    async def receive(self) -> bytes:
        """Return bytes, ``b""`` at the end. Raises ``trio.BrokenResourceError``."""
        while True:
            if self.broken:
                raise trio.BrokenResourceError("the connection is reset")
            if self.silent or self._network.is_cut(self.source, self.target):
                await self._changed.park()
            elif self._chunks:
                arrives, data = self._chunks[0]
                if arrives <= trio.current_time():
                    self._chunks.popleft()
                    self._size -= len(data)
                    self.wake()
                    return data
                await trio.sleep_until(arrives)
            elif self._ended:
                return b""
            else:
                await self._changed.park()


class MemoryStream(trio.abc.Stream):
    """One end of a connection."""

    def __init__(self, *, network: Network, inward: Pipe, outward: Pipe) -> None:
        self._network = network
        self._inward = inward
        self._outward = outward
        self._closed = False

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        await trio.lowlevel.checkpoint()
        if self._closed:
            raise trio.ClosedResourceError
        await self._network.before_send(self._outward, bytes(data))
        await self._outward.send(bytes(data))

    async def wait_send_all_might_not_block(self) -> None:
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        await trio.lowlevel.checkpoint()
        if self._closed:
            raise trio.ClosedResourceError
        data = await self._inward.receive()
        if data:
            await self._network.after_receive(self._inward, data)
        return data

    async def aclose(self) -> None:
        if not self._closed:
            self._closed = True
            self._outward.end()
            # A real peer that sends to a closed socket gets a reset.
            self._inward.break_off()
        await trio.lowlevel.checkpoint()


class MemoryListener(trio.abc.Listener[MemoryStream]):
    """Accepts connections to one address."""

    def __init__(self, *, network: Network, place: str, address: str) -> None:
        self.place = place
        self._network = network
        self._address = address
        self._send, self._receive = trio.open_memory_channel[MemoryStream](1000)

    def offer(self, stream: MemoryStream) -> None:
        """Have a connection accepted."""
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


async def _nothing(pipe: Pipe, data: bytes) -> None:
    return


class Network:
    """Connections between named places: hosts and upstreams."""

    def __init__(self) -> None:
        self._listeners: dict[str, MemoryListener] = {}
        self._pipes: list[Pipe] = []
        self._cuts: dict[tuple[str, str], int] = {}
        self._healed = trio.lowlevel.ParkingLot()
        self.before_send: Callable[[Pipe, bytes], Awaitable[None]] = _nothing
        self.after_receive: Callable[[Pipe, bytes], Awaitable[None]] = _nothing

    def listen(self, place: str, address: str) -> MemoryListener:
        """Listen on an address."""
        listener = MemoryListener(network=self, place=place, address=address)
        self._listeners[address] = listener
        return listener

    def unlisten(self, address: str, listener: MemoryListener) -> None:
        """Refuse connections from now on."""
        if self._listeners.get(address) is listener:
            del self._listeners[address]

    async def connect(self, place: str, address: str) -> MemoryStream:
        """Connect from a place. Raises ``ConnectionRefusedError``; waits while cut off."""
        while True:
            await trio.sleep(2 * LATENCY_S)
            listener = self._listeners.get(address)
            if listener is None:
                raise ConnectionRefusedError(f"nothing listens on {address}")
            target = listener.place
            if not self.is_cut(place, target) and not self.is_cut(target, place):
                break
            await self._healed.park()
        there = Pipe(network=self, source=place, target=target)
        back = Pipe(network=self, source=target, target=place)
        there.reverse, back.reverse = back, there
        self._pipes += [there, back]
        listener.offer(MemoryStream(network=self, inward=there, outward=back))
        return MemoryStream(network=self, inward=back, outward=there)

    def is_cut(self, source: str, target: str) -> bool:
        """Whether nothing passes in this direction."""
        return self._cuts.get((source, target), 0) > 0

    def cut(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Let nothing pass in these directions; what is sent waits as TCP retransmits it."""
        for pair in pairs:
            self._cuts[pair] = self._cuts.get(pair, 0) + 1

    def heal(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Undo one ``cut`` of these directions."""
        for pair in pairs:
            self._cuts[pair] -= 1
        self._healed.unpark_all()
        for pipe in self._pipes:
            pipe.wake()

    def silence(self, first: str, second: str) -> None:
        """Let all open connections between two places swallow everything for good."""
        for pipe in self._pipes:
            if {pipe.source, pipe.target} == {first, second}:
                pipe.silent = True

    def remove(self, place: str) -> None:
        """Reset all connections of a place and refuse new ones."""
        for address, listener in list(self._listeners.items()):
            if listener.place == place:
                del self._listeners[address]
        for pipe in self._pipes:
            if place in (pipe.source, pipe.target):
                pipe.break_off()


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
            inward = self._stream._inward
            return inward.broken or inward._ended
        return None


class MemoryBackend(httpcore.AsyncNetworkBackend):
    """Connections of one place's HTTP clients."""

    def __init__(self, *, network: Network, place: str) -> None:
        self._network = network
        self._place = place

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
                return _BackendStream(await self._network.connect(self._place, f"{host}:{port}"))
        except trio.TooSlowError as exc:
            raise httpcore.ConnectTimeout(exc) from exc
        except OSError as exc:
            raise httpcore.ConnectError(exc) from exc

    async def sleep(self, seconds: float) -> None:
        await trio.sleep(seconds)

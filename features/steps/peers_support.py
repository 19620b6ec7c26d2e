"""A network of memory streams with faults, and stand-ins for callers and handlers."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING
from typing import Any

import trio
from trio.testing import MockClock
from trio.testing import memory_stream_pair

from acaciasaddle.clock import TrioClock
from acaciasaddle.model import BodySource
from acaciasaddle.model import ReplySink
from acaciasaddle.model import Row
from acaciasaddle.model import UnitId
from acaciasaddle.model import UpstreamId
from acaciasaddle.model import WorkRequest
from acaciasaddle.observe import NullMetrics
from acaciasaddle.peers import TcpPeerHub
from acaciasaddle.wire import FrameStream
from acaciasaddle.wire import Heartbeat
from acaciasaddle.wire import HeartbeatAck
from acaciasaddle.wire import Hello
from acaciasaddle.wire import decode
from acaciasaddle.wire import encode

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from acaciasaddle.errors import PeerError
    from acaciasaddle.model import Headers
    from acaciasaddle.wire import Message

REQUEST = WorkRequest(
    request_id="r-1",
    service="bookings",
    unit=UnitId("bookings", "default", 17),
    upstream=UpstreamId("bookings", "u-07"),
    key="venue-4711",
    kind="availability",
    rank="urgent",
    once=False,
    bulky=False,
    caller="couple-88",
    idempotency_key="",
    method="GET",
    target="/bookings/venue-4711/availability",
    headers=(("accept", "application/json"),),
    body_length=0,
    budget_ms=250,
)
UPLOAD = dataclasses.replace(REQUEST, method="PUT", body_length=-1)


def table_rows(count: int, size: int) -> tuple[Row, ...]:
    """Return rows whose values have about ``size`` bytes."""
    return tuple(
        Row(key=f"units/a/b/{i}", version=1, revision=i + 1, value={"pad": "x" * size})
        for i in range(count)
    )


class Direction:
    """One direction of a connection. Once ``lost``, nothing arrives any more, not even its end."""

    def __init__(self, *, source: str, target: str) -> None:
        self.source = source
        self.target = target
        self.lost = False


class FaultyStream(trio.abc.Stream):
    """One end of a connection of the network."""

    def __init__(self, *, network: Network, inner: Any, out: Direction) -> None:
        self._network = network
        self._inner = inner
        self.out = out

    async def send_all(self, data: bytes) -> None:
        if self._network.bytes_per_second:
            await trio.sleep(len(data) / self._network.bytes_per_second)
        if self._network.is_cut(self.out):
            await trio.lowlevel.checkpoint()
            return
        await self._inner.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        return bytes(await self._inner.receive_some(max_bytes))

    async def aclose(self) -> None:
        self._inner.receive_stream.close()
        if not self._network.is_cut(self.out):
            self._inner.send_stream.close()
        await trio.lowlevel.checkpoint()


class QueueListener(trio.abc.Listener[trio.abc.Stream]):
    """Accepts the connections that the network gives it."""

    def __init__(self, *, network: Network, address: str) -> None:
        self._network = network
        self._address = address
        self.put, self._get = trio.open_memory_channel[trio.abc.Stream](1000)

    async def accept(self) -> trio.abc.Stream:
        return await self._get.receive()

    async def aclose(self) -> None:
        self._network.listeners.pop(self._address, None)
        await trio.lowlevel.checkpoint()


class Network:
    """Hosts at addresses like ``a:1``. Connections to an address without listener are refused."""

    def __init__(self) -> None:
        self.listeners: dict[str, QueueListener] = {}
        self.directions: list[Direction] = []
        self.cuts: set[tuple[str, str]] = set()
        self.dials: list[tuple[float, str, str]] = []
        self.bytes_per_second = 0

    def is_cut(self, direction: Direction) -> bool:
        """Whether data is lost; a stream with a gap stays broken after the cut has healed."""
        direction.lost = direction.lost or (direction.source, direction.target) in self.cuts
        return direction.lost

    def silence_open_connections(self) -> None:
        """Let the open connections go silent for good; new ones work."""
        for direction in self.directions:
            direction.lost = True

    async def listen(self, address: str) -> tuple[QueueListener, str]:
        listener = self.listeners[address] = QueueListener(network=self, address=address)
        return listener, address

    def connect_from(self, source: str) -> Callable[[str], Awaitable[trio.abc.Stream]]:
        async def connect(target: str) -> trio.abc.Stream:
            self.dials.append((trio.current_time(), source, target))
            await trio.lowlevel.checkpoint()
            if {(source, target), (target, source)} & self.cuts:
                await trio.sleep_forever()
            if target not in self.listeners:
                raise ConnectionRefusedError(111, "Connection refused")
            near, far = memory_stream_pair()
            there = Direction(source=source, target=target)
            back = Direction(source=target, target=source)
            self.directions += [there, back]
            self.listeners[target].put.send_nowait(FaultyStream(network=self, inner=far, out=back))
            return FaultyStream(network=self, inner=near, out=there)

        return connect


class Caller(ReplySink):
    """Records an answer. ``pace`` is the time in seconds taken for each chunk."""

    def __init__(self, *, pace: float = 0.0) -> None:
        self.status = 0
        self.headers: Headers = ()
        self.body = b""
        self.complete = False
        self.pace = pace

    async def head(self, status: int, headers: Headers) -> None:
        self.status, self.headers = status, headers

    async def data(self, chunk: bytes) -> None:
        await trio.sleep(self.pace)
        self.body += chunk

    async def end(self) -> None:
        self.complete = True

    @property
    def started(self) -> bool:
        return self.status != 0


class Body(BodySource):
    """Chunks, after which the body ends, stalls or fails."""

    def __init__(self, *chunks: bytes, stalls: bool = False, error: PeerError | None = None):
        self._chunks = list(chunks)
        self._stalls = stalls
        self._error = error

    async def receive(self) -> bytes:
        if self._chunks:
            return self._chunks.pop(0)
        if self._stalls:
            await trio.sleep_forever()
        if self._error is not None:
            raise self._error
        return b""


class Raw:
    """A scripted peer that speaks the protocol by itself."""

    def __init__(self, *, stream: trio.abc.Stream) -> None:
        self.stream = stream
        self.frames = FrameStream(stream=stream)

    async def send(self, *messages: Message) -> None:
        await self.frames.send([encode(message) for message in messages])

    async def receive(self, kind: type[Message], *, answer: bool = True) -> Any:
        """Return the next message of a kind; ``None`` at the end. Answers heartbeats meanwhile."""
        while (data := await self.frames.receive()) is not None:
            message = decode(data)
            if isinstance(message, kind):
                return message
            if isinstance(message, Heartbeat) and answer:
                await self.send(ack(message))
        return None

    async def hello(self, member: str) -> Any:
        await self.send(Hello(member=member, data_centre="north", peer_address="raw:1"))
        return await self.receive(Hello)


def ack(beat: Heartbeat) -> HeartbeatAck:
    """Return the answer to a heartbeat."""
    return HeartbeatAck(echo_us=beat.clock_us, vouch=True, config_version=0, revision=0)


class Hosts:
    """Hubs ``a``, ``b``, ... that know each other, in a trio run with a mock clock."""

    def __init__(self, *, network: Network, nursery: trio.Nursery, clock: MockClock) -> None:
        self.network = network
        self.nursery = nursery
        self.clock = clock
        self.hubs: dict[str, TcpPeerHub] = {}

    async def start(self, name: str) -> TcpPeerHub:
        hub = TcpPeerHub(
            member=f"{name}@1",
            data_centre="north",
            address=f"{name}:1",
            clock=TrioClock(),
            metrics=NullMetrics(),
            connect=self.network.connect_from(f"{name}:1"),
            listen=self.network.listen,
            rng=random.Random(7),
        )
        await self.nursery.start(hub.run)
        self.hubs[name] = hub
        return hub

    def meet(self, *extra: str) -> None:
        """Let all hubs know each other and the members of ``extra`` names."""
        members = {f"{name}@1": f"{name}:1" for name in (*self.hubs, *extra)}
        for hub in self.hubs.values():
            hub.set_members(members)

    async def raw_listener(self, name: str) -> Callable[[], Awaitable[Raw]]:
        """Listen as a scripted member; the result accepts one connection after its Hello."""
        listener, _ = await self.network.listen(f"{name}:1")

        async def accept() -> Raw:
            raw = Raw(stream=await listener.accept())
            await raw.receive(Hello)
            await raw.send(Hello(member=f"{name}@1", data_centre="north", peer_address=""))
            return raw

        return accept


def run_hosts(
    names: str, script: Callable[[Hosts], Awaitable[None]], *, limit: float = 300.0
) -> None:
    """Start the hubs, run the script and cancel the rest. Fails after ``limit`` seconds."""
    clock = MockClock(autojump_threshold=0)

    async def main() -> None:
        with trio.fail_after(limit):
            async with trio.open_nursery() as nursery:
                hosts = Hosts(network=Network(), nursery=nursery, clock=clock)
                for name in names:
                    await hosts.start(name)
                hosts.meet()
                await script(hosts)
                nursery.cancel_scope.cancel()

    trio.run(main, clock=clock)

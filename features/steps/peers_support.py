"""Simulated network of memory streams with faults, and stand-ins for callers and peers."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING
from typing import Any

import trio
from behave import when
from trio.testing import MockClock
from trio.testing import memory_stream_pair

from acaciasaddle import errors
from acaciasaddle import model
from acaciasaddle import wire
from acaciasaddle.clock import TrioClock
from acaciasaddle.observe import NullMetrics
from acaciasaddle.peers import TcpPeerHub

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


REQUEST = model.WorkRequest(
    request_id="r-1",
    service="bookings",
    unit=model.UnitId("bookings", "default", 17),
    upstream=model.UpstreamId("bookings", "u-07"),
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
CALL = wire.RowsSince(revision=0)
UPLOAD = dataclasses.replace(REQUEST, method="PUT", body_length=-1)


def table_rows(count: int, size: int) -> tuple[model.Row, ...]:
    """Return rows with values of about ``size`` bytes."""
    return tuple(
        model.Row(key=f"units/a/b/{i}", version=1, revision=i + 1, value={"pad": "x" * size})
        for i in range(count)
    )


@dataclasses.dataclass
class Direction:
    """One direction of a connection. Once ``lost``, nothing arrives, not even the end of stream."""

    source: str
    target: str
    lost: bool = False


class FaultyStream(trio.abc.Stream):
    """One end of a connection in the network."""

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
    """Listener that accepts the connections which the network passes to it."""

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
    """Network of hosts at addresses like ``a:1``.

    Connections to an address without a listener are refused. Data from a source to a target in
    ``cuts`` is lost, and new connections between them are not answered. ``bytes_per_second`` limits
    each direction of a connection; 0 is no limit.
    """

    def __init__(self) -> None:
        self.listeners: dict[str, QueueListener] = {}
        self.directions: list[Direction] = []
        self.cuts: set[tuple[str, str]] = set()
        self.dials: list[str] = []
        self.bytes_per_second = 0

    def is_cut(self, direction: Direction) -> bool:
        """Return whether data is lost. A stream with a gap stays broken after the cut ends."""
        direction.lost = direction.lost or (direction.source, direction.target) in self.cuts
        return direction.lost

    def silence_open_connections(self) -> None:
        """Make the open connections go silent permanently; new ones work."""
        for direction in self.directions:
            direction.lost = True

    async def listen(self, address: str) -> tuple[QueueListener, str]:
        listener = self.listeners[address] = QueueListener(network=self, address=address)
        return listener, address

    def connect_from(self, source: str) -> Callable[[str], Awaitable[trio.abc.Stream]]:
        async def connect(target: str) -> trio.abc.Stream:
            self.dials.append(source)
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


@dataclasses.dataclass
class Caller(model.ResponseSink):
    """Sink that records a response.

    It takes ``pace`` seconds for each chunk, and then raises ``error`` if that is set.
    """

    pace: float = 0.0
    error: Exception | None = None
    status: int = 0
    headers: model.Headers = ()
    body: bytes = b""
    complete: bool = False

    async def head(self, status: int, headers: model.Headers) -> None:
        self.status, self.headers = status, headers

    async def data(self, chunk: bytes) -> None:
        await trio.sleep(self.pace)
        if self.error is not None:
            raise self.error
        self.body += chunk

    async def end(self) -> None:
        self.complete = True

    @property
    def started(self) -> bool:
        return self.status != 0


class Body(model.BodySource):
    """Body of given chunks, after which it ends, stalls or fails."""

    def __init__(self, *chunks: bytes, stalls: bool = False, error: Exception | None = None):
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


class ScriptedPeer:
    """Peer whose messages are scripted by the test."""

    def __init__(self, *, stream: trio.abc.Stream) -> None:
        self.stream = stream
        self.frames = wire.FrameStream(stream=stream)

    async def send(self, *messages: wire.Message) -> None:
        await self.frames.send([wire.encode(message) for message in messages])

    async def receive(self, kind: type[wire.Message], *, answer: bool = True) -> Any:
        """Return the next message of a kind; ``None`` at the end of the stream.

        Other messages that arrive before it are skipped; with ``answer``, heartbeats among them
        are answered.
        """
        while (data := await self.frames.receive()) is not None:
            message = wire.decode(data)
            if isinstance(message, kind):
                return message
            if isinstance(message, wire.Heartbeat) and answer:
                await self.send(ack(message))
        return None

    async def hello(self, member: str) -> Any:
        await self.send(wire.Hello(member=member, data_centre="north", peer_address="raw:1"))
        return await self.receive(wire.Hello)


def ack(heartbeat: wire.Heartbeat) -> wire.HeartbeatAck:
    """Return the answer to a heartbeat."""
    return wire.HeartbeatAck(
        echo_us=heartbeat.clock_us, confirmed=True, config_version=0, revision=0
    )


def describe(exc: BaseException | None) -> str:
    """Return a description of what an error tells the caller; ``done`` without one."""
    text = "done" if exc is None else type(exc).__name__
    if isinstance(exc, errors.RefusedError):
        text += f" {exc.outcome} {exc.status}"
        text += "" if exc.retry_after is None else f" after {exc.retry_after} s"
    elif isinstance(exc, errors.PeerUnreachableError):
        text += " sent" if exc.sent else " not sent"
        text += " refused" if exc.refused else ""
    return text


async def done(member: str, call: wire.Call) -> wire.Reply:
    """Handle a call by replying ``Done`` at once."""
    return wire.Done()


def peers_when(text: str) -> Callable[[Any], Any]:
    """Mark an async method of ``PeersSteps`` as a When step."""

    def mark(method: Any) -> Any:
        method.step_text = text
        return method

    return mark


class PeersSteps:
    """Base of steps that run hubs ``a``, ``b``, ... in trio with a mock clock.

    Each step runs in its own instance. Later steps compare what it stores in ``results``.
    """

    def __init_subclass__(cls) -> None:
        for method in list(vars(cls).values()):
            if hasattr(method, "step_text"):
                cls.register(method)

    @classmethod
    def register(cls, method: Any) -> None:
        """Register a marked method as a behave step."""

        def step(context: Any, **values: Any) -> None:
            cls.run(method, context, **values)

        when(method.step_text)(step)

    @classmethod
    def run(cls, method: Any, context: Any, **values: Any) -> None:
        """Start the hubs, run the method, then cancel the hubs.

        Raise ``trio.TooSlowError`` after five minutes of the mock clock.
        """
        context.results = {}
        clock = MockClock(autojump_threshold=0)

        async def main() -> None:
            with trio.fail_after(300):
                async with trio.open_nursery() as nursery:
                    steps = cls(nursery=nursery, clock=clock, results=context.results)
                    for name in context.hub_names:
                        await steps.start(name)
                    steps.announce_members()
                    for name, partners in context.partners.items():
                        steps.hubs[name].set_partners(partners)
                    await method(steps, **values)
                    nursery.cancel_scope.cancel()

        trio.run(main, clock=clock)

    def __init__(self, *, nursery: trio.Nursery, clock: MockClock, results: dict[str, Any]) -> None:
        self.network = Network()
        self.nursery = nursery
        self.clock = clock
        self.results = results
        self.error: Exception | None = None
        self.hubs: dict[str, TcpPeerHub] = {}

    def __getattr__(self, name: str) -> TcpPeerHub:
        return self.hubs[name]

    async def start(self, name: str) -> None:
        """Start a hub."""
        self.hubs[name] = hub = TcpPeerHub(
            member=f"{name}@1",
            data_centre="north",
            address=f"{name}:1",
            clock=TrioClock(),
            metrics=NullMetrics(),
            connect=self.network.connect_from(f"{name}:1"),
            listen=self.network.listen,
            rng=random.Random(7),
        )
        hub.on_call(wire.RowsSince, done)
        await self.nursery.start(hub.run)

    def announce_members(self, *extra: str) -> None:
        """Give all hubs the addresses of each other and of the ``extra`` members."""
        members = {f"{name}@1": f"{name}:1" for name in (*self.hubs, *extra)}
        for hub in self.hubs.values():
            hub.set_members(members)

    def dials(self) -> int:
        """Return the number of times that "a" has dialled."""
        return self.network.dials.count("a:1")

    async def attempt(self, name: str, action: Callable[[], Awaitable[Any]]) -> None:
        """Run an action; store ``describe`` of its error as ``name``, the time as ``name time``."""
        start = trio.current_time()
        error: Exception | None = None
        try:
            await action()
        except Exception as exc:
            error = exc
        self.error = error
        self.results[name] = describe(error)
        self.results[f"{name} time"] = trio.current_time() - start

    async def connect_scripted(self, to: str) -> ScriptedPeer:
        """Connect as the scripted member ``x@1``."""
        scripted = ScriptedPeer(stream=await self.network.connect_from("x:1")(to))
        await scripted.hello("x@1")
        return scripted

    async def listen_scripted(self, name: str) -> Callable[[], Awaitable[ScriptedPeer]]:
        """Listen as a scripted member.

        The returned function accepts a connection and exchanges Hello on it.
        """
        listener, _ = await self.network.listen(f"{name}:1")

        async def accept() -> ScriptedPeer:
            scripted = ScriptedPeer(stream=await listener.accept())
            await scripted.receive(wire.Hello)
            await scripted.send(
                wire.Hello(member=f"{name}@1", data_centre="north", peer_address="")
            )
            return scripted

        return accept

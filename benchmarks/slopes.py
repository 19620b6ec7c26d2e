"""Measures what one event costs, and how the cost grows with the size of a deployment.

Each measurement runs at several sizes in a process of its own and is repeated. A straight line is
fitted to every repeat; the table shows the median of the gradients, their range, and the largest
distance of a point from the line. Processor time is that of the measured process, so that other
load on the machine moves it little. Log lines are formatted at level ``info`` and discarded.

Usage: ``PYTHONPATH=src python benchmarks/slopes.py [--only NAME] [--quick] [--json FILE]
[--markdown FILE]``
"""

from __future__ import annotations

import contextlib
import gc
import itertools
import json
import multiprocessing
import os
import platform
import random
import re
import statistics
import sys
import time
import traceback
import tracemalloc
import uuid
from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from functools import partial
from pathlib import Path
from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import Any

import click
import httpcore
import trio

from acaciasaddle.clock import BootClock
from acaciasaddle.config import Kind
from acaciasaddle.config import Rank
from acaciasaddle.config import Rules
from acaciasaddle.config import Settings
from acaciasaddle.dispatch import LocalDispatcher
from acaciasaddle.dispatch._connections import ConnectionPool
from acaciasaddle.dispatch._once import OnceRecords
from acaciasaddle.emulator import MemoryTable
from acaciasaddle.emulator import TableStore
from acaciasaddle.emulator import UpstreamApp
from acaciasaddle.emulator import UpstreamModel
from acaciasaddle.emulator import UpstreamSettings
from acaciasaddle.emulator import start_server
from acaciasaddle.emulator import uuid7
from acaciasaddle.entry import EntryHost
from acaciasaddle.entry import HostDependencies
from acaciasaddle.entry import Ingress
from acaciasaddle.entry._serve import hypercorn_config
from acaciasaddle.entry._serve import serve_application
from acaciasaddle.http_table import HttpPlatform
from acaciasaddle.mirror import Configuration
from acaciasaddle.mirror import Mirror
from acaciasaddle.model import BodySource
from acaciasaddle.model import ConfigRow
from acaciasaddle.model import HostRow
from acaciasaddle.model import HostState
from acaciasaddle.model import OnceState
from acaciasaddle.model import ReplySink
from acaciasaddle.model import Row
from acaciasaddle.model import UnitAssignment
from acaciasaddle.model import UnitId
from acaciasaddle.model import UnitsRow
from acaciasaddle.model import UpstreamId
from acaciasaddle.model import UpstreamRow
from acaciasaddle.model import WorkRequest
from acaciasaddle.observe import NullMetrics
from acaciasaddle.observe import configure_logs
from acaciasaddle.ownership import Authority
from acaciasaddle.ownership import Members
from acaciasaddle.ownership import MirrorRouter
from acaciasaddle.ownership import Permit
from acaciasaddle.ownership import RendezvousPlacement
from acaciasaddle.ownership._held import HeldUpstream
from acaciasaddle.ownership._rendezvous import rendezvous_owner
from acaciasaddle.peers import TcpPeerHub
from acaciasaddle.peers import _connection
from acaciasaddle.peers import connect_tcp
from acaciasaddle.wire import CallEnvelope
from acaciasaddle.wire import KeepRecords
from acaciasaddle.wire import KeepRows
from acaciasaddle.wire import Rows
from acaciasaddle.wire import RowsPart
from acaciasaddle.wire import RowsSince
from acaciasaddle.wire import decode
from acaciasaddle.wire import encode

if TYPE_CHECKING:
    from multiprocessing.connection import Connection as Pipe

    from acaciasaddle.model import Headers
    from acaciasaddle.model import OnceRecord

SERVICE = "bookings"
CHUNK = 64
SCRIPT = "benchmarks/slopes.py"
RULES = Rules(
    ranks=(
        Rank(name="urgent", target_ms=1000, share=0.6),
        Rank(name="normal", target_ms=2000, share=0.25),
        Rank(name="bulk", target_ms=20000, share=0.1),
    ),
    kinds=(
        Kind(name="lookup", service=SERVICE, method="GET", path="/bookings/{key}", rank="normal"),
        Kind(
            name="deposit",
            service=SERVICE,
            method="POST",
            path="/bookings/{key}/deposit",
            rank="urgent",
            once=True,
            idempotent=False,
        ),
    ),
)
RULES_JSON: dict[str, Any] = json.loads(json.dumps(asdict(RULES)))
REQUEST = WorkRequest(
    request_id="entry-0417-0190c2d87a4f7b1e9d610b3c8f2a1e55",
    service=SERVICE,
    unit=UnitId(SERVICE, "default", 17),
    upstream=UpstreamId(SERVICE, "bookings-0000"),
    key="venue-4711",
    kind="lookup",
    rank="normal",
    once=False,
    bulky=False,
    caller="couple-88",
    idempotency_key="",
    method="GET",
    target="/bookings/venue-4711?from=2026-12-01",
    headers=(
        ("accept", "application/json"),
        ("host", "entry"),
        ("user-agent", "load/1"),
        ("x-client-id", "couple-88"),
    ),
    body_length=0,
    budget_ms=5000,
)
ANSWER_HEADERS = (("content-type", "application/json"), ("content-length", "200"))
ANSWER_BODY = b"x" * 200
WORK_ANSWER = (
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 200\r\n\r\n"
    + ANSWER_BODY
)
CALLER_REQUEST = (
    b"GET /bookings/venue-%d?from=2026-12-01 HTTP/1.1\r\nHost: entry\r\n"
    b"Accept: application/json\r\nUser-Agent: load/1\r\nX-Client-Id: couple-88\r\n\r\n"
)

Values = dict[str, float]


# Fitting


@dataclass(frozen=True, kw_only=True)
class Measurement:
    """A measurement at several sizes. ``run`` returns named quantities at one size.

    ``fresh`` has each repeat run in a new process: resident memory does not shrink again.
    """

    name: str
    x: str
    sizes: tuple[int, ...]
    run: Callable[[int], Awaitable[Values]]
    repeats: int = 2
    fresh: bool = False


@dataclass(frozen=True, kw_only=True)
class Slope:
    """A line through the points of one quantity. ``low`` and ``high``: range over repeats.

    ``off_line`` is the largest distance of a point from the line, as a part of the largest point.
    """

    name: str
    x: str
    quantity: str
    slope: float
    low: float
    high: float
    intercept: float
    off_line: float
    points: dict[str, float]
    command: str


def fit(meas: Measurement, runs: list[list[Values]], sizes: tuple[int, ...]) -> list[Slope]:
    """Return the slopes of all quantities. ``runs`` holds one list of points per repeat."""
    slopes = []
    for quantity in runs[0][0]:
        lines = [
            statistics.linear_regression(sizes, [point[quantity] for point in run]) for run in runs
        ]
        points = [statistics.median(run[i][quantity] for run in runs) for i in range(len(sizes))]
        slope = statistics.median(line.slope for line in lines)
        intercept = statistics.median(line.intercept for line in lines)
        top = max(abs(point) for point in points) or 1.0
        off = max(abs(p - intercept - slope * s) for p, s in zip(points, sizes, strict=True)) / top
        slopes.append(
            Slope(
                name=meas.name,
                x=meas.x,
                quantity=quantity,
                slope=slope,
                low=min(line.slope for line in lines),
                high=max(line.slope for line in lines),
                intercept=intercept,
                off_line=off,
                points={str(s): p for s, p in zip(sizes, points, strict=True)},
                command=f"PYTHONPATH=src python {SCRIPT} --only {meas.name}",
            )
        )
    return slopes


def cpu_us() -> float:
    """Return the processor time of this process in microseconds."""
    return time.process_time() * 1e6


def rss_kib() -> float:
    """Return the resident memory of this process in KiB, after a collection."""
    gc.collect()
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1024


@contextlib.contextmanager
def traced(values: Values, name: str) -> Any:
    """Note the KiB of Python objects that the block leaves allocated."""
    gc.collect()
    tracemalloc.start()
    try:
        yield
        gc.collect()
        values[name] = tracemalloc.get_traced_memory()[0] / 1024
    finally:
        tracemalloc.stop()


def per_call(action: Callable[[], object], *, seconds: float = 0.06) -> float:
    """Return microseconds of processor time per call, the fastest of three batches."""
    count = 1
    while True:
        start = cpu_us()
        for _ in range(count):
            action()
        if cpu_us() - start > seconds * 1e6 / 3 or count >= 100_000:
            break
        count *= 2
    best = float("inf")
    for _ in range(3):
        start = cpu_us()
        for _ in range(count):
            action()
        best = min(best, (cpu_us() - start) / count)
    return best


# Stand-ins


class CountingStream(trio.abc.Stream):
    """Counts the bytes of a stream in both directions."""

    def __init__(self, inner: trio.abc.Stream, counts: Counter[str]) -> None:
        self._inner = inner
        self._counts = counts

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        self._counts["out"] += len(data)
        await self._inner.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        await self._inner.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes | bytearray:
        data = await self._inner.receive_some(max_bytes)
        self._counts["in"] += len(data)
        return data

    async def aclose(self) -> None:
        await self._inner.aclose()


class CannedStream(httpcore.AsyncNetworkStream):
    """Gives a prepared answer to each HTTP request, so that only the client's work is measured."""

    def __init__(self, answer: Callable[[bytes], bytes], counts: Counter[str]) -> None:
        self._answer = answer
        self._counts = counts
        self._request = bytearray()
        self._pending = b""

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        await trio.lowlevel.checkpoint()
        self._counts["out"] += len(buffer)
        self._request += buffer
        head, end, body = self._request.partition(b"\r\n\r\n")
        if not end:
            return
        length = re.search(rb"content-length: (\d+)", head, re.IGNORECASE)
        if len(body) < (int(length[1]) if length else 0):
            return
        self._pending = self._answer(bytes(self._request))
        self._request.clear()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        await trio.lowlevel.checkpoint()
        data, self._pending = self._pending[:max_bytes], self._pending[max_bytes:]
        self._counts["in"] += len(data)
        return data

    async def aclose(self) -> None:
        await trio.lowlevel.checkpoint()

    def get_extra_info(self, info: str) -> Any:
        return False if info == "is_readable" else None


class CannedBackend(httpcore.AsyncNetworkBackend):
    """Connects to a ``CannedStream``."""

    def __init__(self, answer: Callable[[bytes], bytes]) -> None:
        self.counts: Counter[str] = Counter()
        self._answer = answer

    async def connect_tcp(self, *args: Any, **kwargs: Any) -> httpcore.AsyncNetworkStream:
        await trio.lowlevel.checkpoint()
        return CannedStream(self._answer, self.counts)


class CountingBackend(httpcore.TrioBackend):
    """Counts the bytes of connections to upstreams."""

    def __init__(self, counts: Counter[str]) -> None:
        self._counts = counts

    async def connect_tcp(self, *args: Any, **kwargs: Any) -> httpcore.AsyncNetworkStream:
        stream: Any = await super().connect_tcp(*args, **kwargs)
        counts, write, read = self._counts, stream.write, stream.read

        async def counted_write(buffer: bytes, timeout: float | None = None) -> None:
            counts["upstream out"] += len(buffer)
            await write(buffer, timeout)

        async def counted_read(max_bytes: int, timeout: float | None = None) -> bytes:
            data: bytes = await read(max_bytes, timeout)
            counts["upstream in"] += len(data)
            return data

        stream.write, stream.read = counted_write, counted_read
        return stream  # type: ignore[no-any-return]


class NoBody(BodySource):
    """An empty body."""

    async def receive(self) -> bytes:
        return b""


class Discard(ReplySink):
    """Discards an answer."""

    async def head(self, status: int, headers: Headers) -> None:
        pass

    async def data(self, chunk: bytes) -> None:
        pass

    async def end(self) -> None:
        pass

    @property
    def started(self) -> bool:
        return False


class GrantingAuthority(Authority):
    """Permits everything."""

    name = "authority"
    granted = Permit(
        term=4,
        address="127.0.0.1:1",
        slots=64,
        connections=130,
        checks_orders=True,
        clock_offset_ms=0.0,
    )

    async def run(self, *, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        task_status.started()

    def permit(self, upstream: UpstreamId, unit: UnitId) -> Permit:
        return self.granted

    async def replicate(self, upstream: UpstreamId, records: tuple[OnceRecord, ...]) -> None:
        await trio.lowlevel.checkpoint()

    def memory_since(self, upstream: UpstreamId) -> float:
        return 0.0

    def note_higher_term(self, upstream: UpstreamId, term: int) -> None:
        pass


def hub_of(member: str, counts: Counter[str]) -> TcpPeerHub:
    """Return a hub on a free port of loopback."""

    async def connect(address: str) -> trio.abc.Stream:
        return CountingStream(await connect_tcp(address), counts)

    return TcpPeerHub(
        member=member,
        data_centre="dc-0",
        address="127.0.0.1:0",
        clock=BootClock(),
        metrics=NullMetrics(),
        connect=connect,
    )


async def answer_work(req: WorkRequest, body: BodySource, reply: ReplySink) -> None:
    """Answer a request with 200 bytes."""
    await reply.head(200, ANSWER_HEADERS)
    await reply.data(ANSWER_BODY)
    await reply.end()


def null_hub() -> Any:
    """Return a hub without peers, for mirrors that are measured alone."""
    return SimpleNamespace(
        on_rows=lambda handler: None,
        on_call=lambda kind, handler: None,
        set_digest=lambda **kwargs: None,
        set_members=lambda members: None,
        heard_at=lambda member: float("-inf"),
        confirmed_at=lambda member: float("-inf"),
        digests=lambda: (),
    )


def mirror_of(table: Any = None) -> Mirror:
    """Return a mirror without peers."""
    return Mirror(table=table, hub=null_hub(), clock=BootClock())


# Rows


def member_name(index: int) -> str:
    """Return a member id as long as a real one."""
    return f"entry-{index:04}@{index:012x}"


def host_row(index: int) -> Row:
    """Return the row of an entry host."""
    value = HostRow(
        host_id=f"entry-{index:04}",
        incarnation=f"{index:012x}",
        data_centre=f"dc-{index % 6}",
        peer_address=f"10.0.{index // 250}.{index % 250}:7000",
        operator_address=f"10.0.{index // 250}.{index % 250}:7001",
        state=HostState.LIVE,
    )
    return Row(
        key=f"host/entry-{index:04}",
        version=1,
        revision=1 + index,
        value=value.to_json(str(uuid.uuid4())),
    )


def upstream_row(index: int) -> Row:
    """Return the row of an upstream."""
    value = UpstreamRow(
        holder=member_name(index), successor=member_name(index + 6), term=4, health="ready"
    )
    return Row(
        key=f"upstream/{SERVICE}/bookings-{index:04}",
        version=1,
        revision=1 + index,
        value=value.to_json(str(uuid.uuid4())),
    )


def units_row(chunk: int, *, upstreams: int, shards: int, version: int = 1) -> Row:
    """Return a row of 64 shards, as read from JSON."""
    units = {
        shard: UnitAssignment(
            owner=f"{SERVICE}/bookings-{shard % upstreams:04}",
            previous="",
            epoch=version,
            since=1_790_000_000,
            reason="first assignment",
        )
        for shard in range(chunk * CHUNK, (chunk + 1) * CHUNK)
    }
    value = UnitsRow(shards=shards, units=units).to_json(str(uuid.uuid4()))
    return Row(
        key=f"units/{SERVICE}/default/{chunk}",
        version=version,
        revision=10_000 + chunk,
        value=json.loads(json.dumps(value)),
    )


def config_row(upstreams: int, *, shards: int = 256, centres: int = 6, version: int = 1) -> Row:
    """Return the row of a configuration."""
    inventory = {
        "data_centres": [{"name": f"dc-{i}", "region": f"r-{i % 2}"} for i in range(centres)],
        "services": [
            {
                "name": SERVICE,
                "shards": shards,
                "upstreams": [
                    {
                        "name": f"bookings-{i:04}",
                        "address": f"10.1.{i // 250}.{1 + i % 250}:8000",
                        "data_centre": f"dc-{i % centres}",
                        "slots": 16,
                        "checks_orders": True,
                        "state": "active",
                    }
                    for i in range(upstreams)
                ],
            }
        ],
    }
    return config_row_of(inventory, version)


def config_row_of(inventory: dict[str, Any], version: int) -> Row:
    """Return the row of a configuration with an inventory."""
    value = ConfigRow(
        version=version,
        change_id=str(uuid.uuid4()),
        author="operator",
        inventory=inventory,
        rules=RULES_JSON,
    ).to_json(str(uuid.uuid4()))
    return Row(key="config/current", version=version, revision=version, value=value)


def json_bytes(value: Any) -> bytes:
    """Return JSON as the platform sends it."""
    return json.dumps(value, separators=(",", ":")).encode()


def filled_mirror(*, units: int, upstreams: int) -> Mirror:
    """Return a mirror with a configuration, upstream rows and assigned units."""
    mirror = mirror_of()
    chunks = -(-units // CHUNK)
    rows = [config_row(upstreams, shards=chunks * CHUNK)]
    rows += [upstream_row(i) for i in range(upstreams)]
    rows += [units_row(c, upstreams=upstreams, shards=chunks * CHUNK) for c in range(chunks)]
    mirror.apply_rows(rows, revision=20_000, source="benchmark")
    return mirror


# The other side, in a process of its own


def other_side(pipe: Pipe) -> None:
    """Carry out commands: run hubs, upstreams or callers. ``None`` ends the process."""
    quiet()
    trio.run(_other_side, pipe)


async def _other_side(pipe: Pipe) -> None:
    while (command := await trio.to_thread.run_sync(pipe.recv)) is not None:
        name, *args = command
        async with trio.open_nursery() as nursery:
            pipe.send(await COMMANDS[name](nursery, *args))
            await trio.to_thread.run_sync(pipe.recv)
            nursery.cancel_scope.cancel()
        pipe.send("ended")


async def _hubs(nursery: trio.Nursery, count: int, beat: str) -> dict[str, str]:
    """Run hubs; with ``beat`` an address they send heartbeats to ``main@1`` there."""
    members = {}
    for index in range(count):
        hub = hub_of(member_name(index), Counter())
        hub.on_work(answer_work)
        hub.on_call(RowsSince, _no_rows)
        await nursery.start(hub.run)
        members[member_name(index)] = hub.address
        if beat:
            hub.set_members({"main@1": beat})
            hub.set_partners(frozenset({"main@1"}))
    return members


async def _upstreams(nursery: trio.Nursery, count: int) -> list[str]:
    """Run upstream stand-ins and return their addresses."""
    found = []
    for index in range(count):
        model = UpstreamModel(settings=UpstreamSettings(name=f"u-{index}", slots=16, work_ms=0.0))
        found.append(await start_server(nursery, UpstreamApp(model=model), "127.0.0.1:0"))
    return found


async def _call(nursery: trio.Nursery, address: str, total: int, tasks: int) -> int:
    """Send callers' requests over ``tasks`` connections; returns the number answered."""
    host, port = address.rsplit(":", 1)
    answered = 0

    async def one(count: int) -> None:
        nonlocal answered
        stream = await trio.open_tcp_stream(host, int(port))
        for index in range(count):
            await stream.send_all(CALLER_REQUEST % (index % 997))
            data = b""
            while not data.endswith(ANSWER_BODY):
                part = await stream.receive_some()
                if not part:
                    raise RuntimeError(f"an answer was cut short: {data!r}")
                data += part
            answered += data.startswith(b"HTTP/1.1 200")

    async with trio.open_nursery() as inner:
        for _ in range(tasks):
            inner.start_soon(one, total // tasks)
    return answered


async def _connect(nursery: trio.Nursery, address: str, count: int) -> int:
    """Open connections, send one request over each and leave them idle."""
    host, port = address.rsplit(":", 1)
    streams = []
    for _ in range(count):
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(CALLER_REQUEST % 1)
        await stream.receive_some()
        streams.append(stream)
    nursery.start_soon(_keep, streams)
    return count


async def _keep(streams: list[trio.SocketStream]) -> None:
    try:
        await trio.sleep_forever()
    finally:
        for stream in streams:
            stream.socket.close()


async def _peer_work(nursery: trio.Nursery, address: str, total: int, tasks: int) -> int:
    """Send requests to the hub ``main@1`` as an ingress does."""
    hub = hub_of("ingress@1", Counter())
    await nursery.start(hub.run)
    hub.set_members({"main@1": address})

    async def one(count: int) -> None:
        for _ in range(count):
            await hub.work("main@1", REQUEST, NoBody(), Discard())

    async with trio.open_nursery() as inner:
        for _ in range(tasks):
            inner.start_soon(one, total // tasks)
    return total


COMMANDS: dict[str, Callable[..., Awaitable[Any]]] = {
    "hubs": _hubs,
    "upstreams": _upstreams,
    "call": _call,
    "connect": _connect,
    "peer work": _peer_work,
}


class Other:
    """The process of the other side."""

    def __init__(self) -> None:
        ctx = multiprocessing.get_context("spawn")
        self._pipe, there = ctx.Pipe()
        self._process = ctx.Process(target=other_side, args=(there,))
        self._process.start()

    @contextlib.asynccontextmanager
    async def doing(self, *command: Any) -> Any:
        """Carry out a command, yield its result, and end what it started."""
        self._pipe.send(command)
        yield await trio.to_thread.run_sync(self._pipe.recv)
        self._pipe.send("end")
        await trio.to_thread.run_sync(self._pipe.recv)

    def close(self) -> None:
        """End the process."""
        self._pipe.send(None)
        self._process.join()


_other: list[Other] = []


def other() -> Other:
    """Return the other side of this measurement, started at the first use."""
    if not _other:
        _other.append(Other())
    return _other[0]


def second() -> Other:
    """Return a second other side, for callers while the first one runs hubs."""
    other()
    if len(_other) < 2:
        _other.append(Other())
    return _other[1]


def quiet() -> None:
    """Format log lines at level info and discard them."""
    sys.stderr = open(os.devnull, "w")  # noqa: SIM115
    configure_logs(level="info", json=True, host="entry-0417")


# Peers

WINDOW_S = 0.8


async def heartbeat(partners: int) -> Values:
    """A host that sends heartbeats to partners, per second."""
    counts: Counter[str] = Counter()
    before = rss_kib()
    async with other().doing("hubs", partners, "") as members, trio.open_nursery() as nursery:
        hub = hub_of("main@1", counts)
        await nursery.start(hub.run)
        hub.set_digest(config_version=2600, revision=900_000)
        hub.set_members(members)
        hub.set_partners(frozenset(members))
        await trio.sleep(0.6)
        held = rss_kib() - before
        values = await _window(counts)
        values["rss KiB"] = held
        nursery.cancel_scope.cancel()
    return values


async def _window(counts: Counter[str]) -> Values:
    first, sent, received, start = cpu_us(), counts["out"], counts["in"], time.perf_counter()
    await trio.sleep(WINDOW_S)
    seconds = time.perf_counter() - start
    return {
        "cpu us/s": (cpu_us() - first) / seconds,
        "bytes out/s": (counts["out"] - sent) / seconds,
        "bytes in/s": (counts["in"] - received) / seconds,
    }


async def heartbeat_answer(holders: int) -> Values:
    """A host that answers the heartbeats of holders, per second."""
    async with trio.open_nursery() as nursery:
        hub = hub_of("main@1", Counter())
        await nursery.start(hub.run)
        hub.set_digest(config_version=2600, revision=900_000)
        async with other().doing("hubs", holders, hub.address):
            await trio.sleep(0.6)
            first, start = cpu_us(), time.perf_counter()
            await trio.sleep(WINDOW_S)
            value = (cpu_us() - first) / (time.perf_counter() - start)
        nursery.cancel_scope.cancel()
    return {"cpu us/s": value}


async def peer_dial(connections: int) -> Values:
    """Dialling a peer and exchanging Hello."""
    counts: Counter[str] = Counter()
    async with other().doing("hubs", 1, "") as members, trio.open_nursery() as nursery:
        hub = hub_of("main@1", counts)
        await nursery.start(hub.run)
        (address,) = members.values()
        first = cpu_us()
        for _ in range(connections):
            await hub.identify(address)
        values = {
            "cpu us": cpu_us() - first,
            "bytes out": float(counts["out"]),
            "bytes in": float(counts["in"]),
        }
        nursery.cancel_scope.cancel()
    return values


async def _no_rows(member: str, call: Any) -> RowsPart:
    return RowsPart(rows=(), revision=900_000)


async def peer_call(calls: int) -> Values:
    """A call on an open connection that is answered at once: RowsSince without rows."""
    counts: Counter[str] = Counter()
    async with other().doing("hubs", 1, "") as members, trio.open_nursery() as nursery:
        hub = hub_of("main@1", counts)
        await nursery.start(hub.run)
        hub.set_members(members)
        (member,) = members
        await hub.call(member, RowsSince(revision=900_000), timeout=2)
        first, sent, received = cpu_us(), counts["out"], counts["in"]
        for _ in range(calls):
            await hub.call(member, RowsSince(revision=900_000), timeout=2)
        values = {
            "cpu us": cpu_us() - first,
            "bytes out": float(counts["out"] - sent),
            "bytes in": float(counts["in"] - received),
        }
        nursery.cancel_scope.cancel()
    return values


async def row_push(hosts: int) -> Values:
    """One changed row of 64 units, from its writer to all mirrors of a full mesh."""
    sent: Counter[str] = Counter()
    push = _connection.Connection.push

    def counted(self: Any, complete: bytes, *, incomplete: bytes) -> None:
        sent["messages"] += 1
        sent["bytes"] += len(complete) + 4
        push(self, complete, incomplete=incomplete)

    hubs = [hub_of(member_name(i), Counter()) for i in range(hosts)]
    mirrors = [Mirror(table=None, hub=hub, clock=BootClock()) for hub in hubs]  # type: ignore[arg-type]
    _connection.Connection.push = counted  # type: ignore[method-assign]
    try:
        async with trio.open_nursery() as nursery:
            for hub in hubs:
                await nursery.start(hub.run)
            members = {member_name(i): hub.address for i, hub in enumerate(hubs)}
            for hub in hubs:
                hub.set_members(members)
            for hub in hubs:
                for member in members:
                    if member != hub._state.member:
                        await hub.call(member, RowsSince(revision=0), timeout=5)
            rows = 10
            first = cpu_us()
            for chunk in range(rows):
                row = units_row(chunk, upstreams=30, shards=rows * CHUNK)
                mirrors[0].apply_rows([row], source="own write")
                hubs[0].push_rows([row])
            key = f"units/{SERVICE}/default/{rows - 1}"
            with trio.fail_after(10):
                while any(mirror.get(key) is None for mirror in mirrors):
                    await trio.sleep(0.02)
            await trio.sleep(0.3)
            cpu = cpu_us() - first
            nursery.cancel_scope.cancel()
    finally:
        _connection.Connection.push = push  # type: ignore[method-assign]
    return {
        "messages": sent["messages"] / rows,
        "bytes": sent["bytes"] / rows,
        "cpu us of all hosts": cpu / rows,
    }


# Leases


def grant_answer(units: list[str]) -> Callable[[bytes], bytes]:
    """Return a function that answers orders as an upstream with these units does."""
    listed = json.dumps(units)

    def answer(request: bytes) -> bytes:
        valid = re.search(rb'"valid_until": ([\d.]+)', request)
        seq = re.search(rb'"seq": (\d+)', request)
        assert seq is not None
        body = (
            f'{{"instance": "{"i" * 32}", "clock": {time.monotonic() * 1000:.3f}, "term": 4, '
            f'"seq": {seq[1].decode()}, "valid_until": {valid[1].decode() if valid else 0}, '
            f'"units": {listed}, "running": [], "state": "ready", "slots": 16}}'
        ).encode()
        return (
            b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: "
            + str(len(body)).encode()
            + b"\r\n\r\n"
            + body
        )

    return answer


def held_with(units: int, upstreams: int = 1) -> tuple[HeldUpstream, CannedBackend, Any]:
    """Return an upstream that is held with a number of units."""
    mirror = filled_mirror(units=units * upstreams, upstreams=upstreams)
    assert mirror.configuration is not None
    info = mirror.configuration.upstreams[UpstreamId(SERVICE, "bookings-0000")]
    names = sorted(str(unit) for unit in mirror.owners.of(str(info.id)))
    backend = CannedBackend(grant_answer(names))
    ctx: Any = SimpleNamespace(
        mirror=mirror,
        hub=null_hub(),
        clock=BootClock(),
        member=member_name(0),
        rules=RULES,
        backend=backend,
        metrics=NullMetrics(),
        placement=RendezvousPlacement(mirror=mirror),
        dispatcher=SimpleNamespace(),
    )
    held = HeldUpstream(
        info=info, term=4, row_written=True, leases_expire_by=0.0, memory_since=0.0, ctx=ctx
    )
    return held, backend, ctx


async def renew_holder(units: int) -> Values:
    """One renewal of an upstream's lease at the holder; units of the upstream do not change."""
    held, backend, _ = held_with(units)
    for _ in range(4):
        await held._send_order()
    if len(held.granted) < units:
        raise RuntimeError(f"{len(held.granted)} of {units} units are granted")
    rounds = max(5, min(100, 100_000 // units))
    sent, received, first = backend.counts["out"], backend.counts["in"], cpu_us()
    for _ in range(rounds):
        await held._send_order()
        _ = held.moves.wanted() != held.granted
    return {
        "cpu us": (cpu_us() - first) / rounds,
        "bytes out": (backend.counts["out"] - sent) / rounds,
        "bytes in": (backend.counts["in"] - received) / rounds,
    }


async def renew_upstream(units: int) -> Values:
    """One renewal at the upstream stand-in, over loopback and hypercorn, with a bare client."""
    names = [str(UnitId(SERVICE, "default", shard)) for shard in range(units)]
    async with trio.open_nursery() as nursery:
        model = UpstreamModel(settings=UpstreamSettings(name="u", slots=16))
        address = await start_server(nursery, UpstreamApp(model=model), "127.0.0.1:0")
        host, port = address.rsplit(":", 1)
        stream = await trio.open_tcp_stream(host, int(port))

        async def order(seq: int, listed: list[str] | None) -> None:
            body = json.dumps(
                {
                    "holder": member_name(0),
                    "term": 4,
                    "seq": seq,
                    "instance": model.instance,
                    "valid_until": model.clock_ms() + 60_000,
                    "units": listed,
                    "excluded": [],
                }
            ).encode()
            head = f"POST /grant HTTP/1.1\r\nHost: u\r\nContent-Length: {len(body)}\r\n\r\n"
            await stream.send_all(head.encode() + body)
            data = bytearray()
            while not data.endswith(b"}"):
                data += await stream.receive_some()
                assert data.startswith(b"HTTP/1.1 200"), data[:100]

        await order(1, names)
        rounds = max(5, min(100, 100_000 // units))
        first = cpu_us()
        for seq in range(rounds):
            await order(2 + seq, None)
        value = (cpu_us() - first) / rounds
        nursery.cancel_scope.cancel()
    return {"cpu us": value}


async def move_loop(units: int) -> Values:
    """One pass of the task that moves units, when there is nothing to move."""
    held, _, _ = held_with(units)
    for _ in range(4):
        await held._send_order()
    held.moves._rebalanced_at = float("inf")
    rounds = max(5, min(200, 200_000 // units))
    first = cpu_us()
    for _ in range(rounds):
        await held.moves._release_outgoing()
        await held.moves._ask_for_incoming()
        await held.moves._clear_previous()
        await held.moves._decide_moves()
        held.moves._has_pending_moves()
    return {"cpu us": (cpu_us() - first) / rounds}


# Mirror


async def mirror_poll(changes: int) -> Values:
    """One poll of the table that finds changed rows of 64 units."""
    versions = itertools.count(1)
    prepared: list[bytes] = []
    rounds = max(5, min(60, 300 // (changes + 1)))
    rows = [units_row(c, upstreams=790, shards=65_536) for c in range(changes)]
    for _ in range(rounds + 1):
        version = next(versions)
        listed = [asdict(replace(row, version=version, revision=version)) for row in rows]
        body = json_bytes({"revision": version, "rows": listed})
        head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: "
        prepared.append(f"{head}{len(body)}\r\n\r\n".encode() + body)
    prepared.reverse()
    backend = CannedBackend(lambda request: prepared.pop())
    mirror = mirror_of(HttpPlatform(address="127.0.0.1:1", network=backend))
    await mirror.refresh()
    sent, received, first = backend.counts["out"], backend.counts["in"], cpu_us()
    for _ in range(rounds):
        await mirror.refresh()
    return {
        "cpu us": (cpu_us() - first) / rounds,
        "bytes out": (backend.counts["out"] - sent) / rounds,
        "bytes in": (backend.counts["in"] - received) / rounds,
    }


async def mirror_fill(units: int) -> Values:
    """Rows of 64 units taken into an empty mirror and its index: time and memory."""
    chunks = units // CHUNK
    rows = [units_row(c, upstreams=790, shards=units) for c in range(chunks)]
    mirror = mirror_of()
    first = cpu_us()
    mirror.apply_rows(rows, source="benchmark")
    values = {"cpu us": cpu_us() - first}
    texts = [json_bytes(asdict(row)) for row in rows]
    del rows, mirror
    with traced(values, "memory KiB"):
        mirror = mirror_of()
        for text in texts:
            mirror.apply_rows([Row(**json.loads(text))], source="benchmark")
    values["table bytes"] = float(sum(map(len, texts)))
    return values


async def row_change(rows: int) -> Values:
    """Changed rows of 64 units from a peer: decoding, mirror and index."""
    mirror = filled_mirror(units=65_536, upstreams=790)
    changed = [units_row(c, upstreams=790, shards=65_536, version=2) for c in range(rows)]
    first = cpu_us()
    messages = [encode(Rows(rows=(row,), revision=20_001)) for row in changed]
    encoding = cpu_us() - first
    first = cpu_us()
    decoded = [decode(data) for data in messages]
    decoding = cpu_us() - first
    first = cpu_us()
    for message in decoded:
        assert isinstance(message, Rows)
        mirror.apply_rows(message.rows, source="peer")
    return {
        "cpu us of mirror and index": cpu_us() - first,
        "cpu us of decoding": decoding,
        "cpu us of encoding": encoding,
        "bytes": float(sum(len(data) + 4 for data in messages)),
    }


async def keep_rows(units: int) -> Values:
    """The call that shows a successor all rows of a service: one message, one step of the loop."""
    chunks = units // CHUNK
    rows = tuple(units_row(c, upstreams=790, shards=units) for c in range(chunks))
    first = cpu_us()
    data = encode(CallEnvelope(call_id=1, call=KeepRows(rows=rows)))
    encoding = cpu_us() - first
    first = cpu_us()
    decode(data)
    return {
        "cpu us of encoding": encoding,
        "cpu us of decoding": cpu_us() - first,
        "bytes": float(len(data)),
    }


async def host_rows(hosts: int) -> Values:
    """Rows of hosts in the mirror, the list of live members, and following a change."""
    values: Values = {}
    texts = [json_bytes(asdict(host_row(i))) for i in range(hosts)]
    with traced(values, "memory KiB"):
        mirror = mirror_of()
        mirror.apply_rows([Row(**json.loads(text)) for text in texts], source="benchmark")
        list(mirror.host_rows())
    own = HostRow.from_json(json.loads(texts[0])["value"])
    members = Members(
        row=lambda: own,
        seeds=(),
        mirror=mirror,
        hub=null_hub(),
        table=None,  # type: ignore[arg-type]
        clock=BootClock(),
    )
    values["cpu us of live()"] = per_call(members.live)
    values["cpu us per row change"] = per_call(members._update_members)
    values["table bytes"] = float(sum(map(len, texts)))
    return values


async def history_rows(rows: int) -> Values:
    """Rows of the configuration's history: memory, and one answer to a peer's RowsSince."""
    texts = [
        json_bytes(
            {
                "key": f"config/history/{i}",
                "version": 1,
                "revision": i + 1,
                "value": {
                    "change_id": str(uuid.uuid4()),
                    "author": "operator",
                    "digest": uuid.uuid4().hex * 2,
                    "write_id": str(uuid.uuid4()),
                },
            }
        )
        for i in range(rows)
    ]
    values: Values = {}
    with traced(values, "memory KiB"):
        mirror = mirror_of()
        mirror.apply_rows([Row(**json.loads(text)) for text in texts], source="benchmark")
    since = rows + 1
    values["cpu us of RowsSince"] = per_call(
        lambda: tuple(row for row in mirror._rows.values() if row.revision > since)
    )
    values["table bytes"] = float(sum(map(len, texts)))
    return values


# Requests


async def ingress_request(requests: int) -> Values:
    """Callers' requests at an ingress that forwards all of them to another holder."""
    counts: Counter[str] = Counter()
    mirror = filled_mirror(units=65_536, upstreams=1)
    settings = Settings(
        host_id="entry-0417",
        data_centre="dc-0",
        caller_address="127.0.0.1:0",
        peer_address="127.0.0.1:0",
        operator_address="127.0.0.1:0",
        platform_address="127.0.0.1:1",
    )
    async with other().doing("hubs", 1, "") as members, trio.open_nursery() as nursery:
        hub = hub_of("main@1", counts)
        await nursery.start(hub.run)
        hub.set_members(members)
        ingress = Ingress(
            member="main@1",
            settings=settings,
            mirror=mirror,
            router=MirrorRouter(mirror=mirror),
            dispatcher=SimpleNamespace(),  # type: ignore[arg-type]
            hub=hub,
            clock=BootClock(),
            metrics=NullMetrics(),
        )
        cfg = hypercorn_config(address="127.0.0.1:0", max_header_bytes=16_384, header_timeout=5.0)
        urls = await nursery.start(
            partial(serve_application, ingress.handle, cfg, stop=trio.Event())
        )
        address = urls[0].removeprefix("http://")
        async with second().doing("call", address, 50, 1):
            pass
        first, sent, received = cpu_us(), counts["out"], counts["in"]
        async with second().doing("call", address, requests, 10) as answered:
            values = {
                "cpu us": cpu_us() - first,
                "peer bytes out": float(counts["out"] - sent),
                "peer bytes in": float(counts["in"] - received),
            }
        if answered != requests:
            raise RuntimeError(f"{answered} of {requests} requests were answered with 200")
        nursery.cancel_scope.cancel()
    return values


async def holder_request(requests: int) -> Values:
    """Requests from an ingress at the holder, with the exchange with the upstream."""
    backend = CannedBackend(lambda request: WORK_ANSWER)
    async with trio.open_nursery() as nursery:
        dispatcher = LocalDispatcher(
            authority=GrantingAuthority(),
            clock=BootClock(),
            metrics=NullMetrics(),
            rules=lambda: RULES,
            backend=backend,
        )
        await nursery.start(dispatcher.run)
        hub = hub_of("main@1", Counter())
        hub.on_work(dispatcher.serve)
        await nursery.start(hub.run)
        async with other().doing("peer work", hub.address, 50, 1):
            pass
        sent, received, first = backend.counts["out"], backend.counts["in"], cpu_us()
        async with other().doing("peer work", hub.address, requests, 10):
            values = {
                "cpu us": cpu_us() - first,
                "upstream bytes out": float(backend.counts["out"] - sent),
                "upstream bytes in": float(backend.counts["in"] - received),
            }
        nursery.cancel_scope.cancel()
    return values


async def upstream_connection(connections: int) -> Values:
    """Idle connections from a holder to an upstream."""
    async with other().doing("upstreams", 1) as addresses:
        before = rss_kib()
        pool = ConnectionPool(clock=BootClock(), backend=httpcore.TrioBackend())
        conns = [
            await pool.acquire(
                addresses[0], limit=10_000, recent_only=False, new_only=True, timeout=2
            )
            for _ in range(connections)
        ]
        for conn in conns:
            await conn.http.request("GET", f"http://{addresses[0]}/health")
            pool.release(conn)
        values = {"rss KiB": rss_kib() - before}
        await pool.close_all()
    return values


async def caller_connection(connections: int) -> Values:
    """Idle connections of callers."""

    async def app(scope: Any, receive: Any, send: Any) -> None:
        headers = [(n.encode(), v.encode()) for n, v in ANSWER_HEADERS]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": ANSWER_BODY, "more_body": False})

    cfg = hypercorn_config(address="127.0.0.1:0", max_header_bytes=16_384, header_timeout=60.0)
    async with trio.open_nursery() as nursery:
        urls = await nursery.start(partial(serve_application, app, cfg, stop=trio.Event()))
        before = rss_kib()
        async with other().doing("connect", urls[0].removeprefix("http://"), connections):
            values = {"rss KiB": rss_kib() - before}
        nursery.cancel_scope.cancel()
    return values


# Records, decisions, configuration


async def once_record(records: int) -> Values:
    """Records of work that must run once: holder, copies to the successor, successor."""

    def empty() -> OnceRecords:
        return OnceRecords(
            clock=BootClock(),
            rules=lambda: RULES,
            memory_since=lambda upstream: 0.0,
            memory_limit=1 << 40,
        )

    keys = [uuid7() for _ in range(records)]

    def fill(target: OnceRecords) -> None:
        for index, key in enumerate(keys):
            unit = UnitId(SERVICE, "default", index % 83)
            entry, _ = target.claim(
                upstream=REQUEST.upstream, unit=unit, caller=f"couple-{index}", key=str(key)
            )
            entry.state = OnceState.STARTED
            target.complete(entry, status=200, headers=ANSWER_HEADERS, body=bytes(200))

    values: Values = {}
    first = cpu_us()
    filled = empty()
    fill(filled)
    values["cpu us"] = cpu_us() - first
    done = filled.export(upstream=REQUEST.upstream, units=None)
    estimate = filled.memory_bytes / 1024
    started = [replace(record, state=OnceState.STARTED, headers=(), body=None) for record in done]
    sent = 0
    first = cpu_us()
    messages = []
    for record in itertools.chain(started, done):
        call = KeepRecords(
            upstream=REQUEST.upstream,
            term=4,
            records=(record,),
            complete=False,
            memory_since_ms=1_790_000_000_000,
        )
        messages.append(encode(CallEnvelope(call_id=1, call=call)))
        sent += len(messages[-1]) + 4
    values["cpu us of encoding both copies"] = cpu_us() - first
    successor = empty()
    first = cpu_us()
    for data in messages:
        envelope = decode(data)
        assert isinstance(envelope, CallEnvelope) and isinstance(envelope.call, KeepRecords)
        successor.take(upstream=REQUEST.upstream, records=envelope.call.records)
    values["cpu us at successor"] = cpu_us() - first
    values["bytes to successor"] = float(sent)
    del filled, successor, messages, started, done
    with traced(values, "memory KiB"):
        kept = empty()
        fill(kept)
    values["accounted KiB"] = estimate
    return values


async def route(units: int) -> Values:
    """One routing decision."""
    router = MirrorRouter(mirror=filled_mirror(units=units, upstreams=790))
    keys = itertools.cycle([f"venue-{random.randrange(10**9)}" for _ in range(5000)])
    return {"cpu us": per_call(lambda: router.route(service=SERVICE, key=next(keys)))}


async def placement(upstreams: int) -> Values:
    """One placement decision, and one check whether an upstream has too many units."""
    mirror = filled_mirror(units=max(upstreams * 8, 640), upstreams=upstreams)
    chooser = RendezvousPlacement(mirror=mirror)
    unit = UnitId(SERVICE, "default", 17)
    own = UpstreamId(SERVICE, "bookings-0000")
    names = [(f"{SERVICE}/bookings-{i:04}", 16.0) for i in range(upstreams)]
    return {
        "cpu us": per_call(lambda: chooser.choose(unit, without=())),
        "cpu us of hashing alone": per_call(lambda: rendezvous_owner(str(unit), names)),
        "cpu us of the surplus check": per_call(lambda: chooser.surplus(own, 16)),
    }


async def configuration(upstreams: int) -> Values:
    """A configuration: size, decoding and parsing, memory."""
    row = config_row(upstreams, shards=65_536)
    data = encode(Rows(rows=(row,), revision=0))
    values: Values = {"bytes": float(len(json_bytes(asdict(row))))}
    values["cpu us of decoding"] = per_call(lambda: decode(data))
    values["cpu us of encoding"] = per_call(lambda: encode(Rows(rows=(row,), revision=0)))
    parsed = ConfigRow.from_json(row.value)
    values["cpu us of parsing"] = per_call(lambda: Configuration(row=parsed))
    with traced(values, "memory KiB"):
        mirror = mirror_of()
        mirror.apply_rows([Row(**json.loads(json_bytes(asdict(row))))], source="benchmark")
    return values


# Whole hosts in one process


@dataclass
class Fleet:
    """Entry hosts in this process, over loopback, with counts of what they send."""

    counts: Counter[str] = field(default_factory=Counter)
    hosts: list[EntryHost] = field(default_factory=list)
    scopes: list[trio.CancelScope] = field(default_factory=list)
    store: TableStore = field(default_factory=TableStore)

    def units_of(self, upstream: str) -> int:
        """Return the number of units that an upstream owns by the table."""
        found = 0
        for row in self.store.scan("units/", since=0):
            found += sum(unit[0] == upstream for unit in row.value["units"].values())
        return found

    def settled(self, alive: set[str]) -> bool:
        """Whether every upstream has a live holder and another live successor."""
        rows = self.store.scan("upstream/", since=0)
        return bool(rows) and all(
            row.value["holder"] in alive
            and row.value["successor"] in alive
            and row.value["health"] == "ready"
            for row in rows
        )

    def moving(self) -> bool:
        """Whether a unit has a previous owner."""
        return any(
            unit[1]
            for row in self.store.scan("units/", since=0)
            for unit in row.value["units"].values()
        )

    async def wait(self, condition: Callable[[], bool], what: str, limit: float = 25.0) -> None:
        """Wait for a condition."""
        with trio.move_on_after(limit):
            while not condition():
                await trio.sleep(0.02)
            return
        raise RuntimeError(f"the fleet did not come to {what}")


@contextlib.contextmanager
def counted_messages(counts: Counter[str]) -> Any:
    """Count the messages that connections of this process send meanwhile, by kind."""
    original, push = encode, _connection.Connection.push

    def counted(message: Any) -> bytes:
        data = original(message)
        inner = getattr(message, "call", None) or getattr(message, "reply", None) or message
        counts[type(inner).__name__] += 1
        counts["bytes " + type(inner).__name__] += len(data) + 4
        return data

    def pushed(self: Any, complete: bytes, *, incomplete: bytes) -> None:
        counts["Rows"] += 1
        counts["bytes Rows"] += len(complete) + 4
        push(self, complete, incomplete=incomplete)

    vars(_connection)["encode"] = counted
    _connection.Connection.push = pushed  # type: ignore[method-assign]
    try:
        yield
    finally:
        vars(_connection)["encode"] = original
        _connection.Connection.push = push  # type: ignore[method-assign]


def count_writes(store: TableStore, counts: Counter[str]) -> None:
    """Count the transactions of a store and the rows and bytes they write."""
    original = store.transact

    def transact(*, conditions: Any, puts: Any) -> Any:
        rows = original(conditions=conditions, puts=puts)
        counts["writes"] += 1
        counts["rows written"] += len(rows)
        counts["bytes written"] += sum(len(json_bytes(row.value)) for row in rows)
        return rows

    store.transact = transact  # type: ignore[method-assign]


@contextlib.asynccontextmanager
async def running_fleet(hosts: int, upstreams: int, shards: int) -> Any:
    """Run a fleet in one data centre, until every upstream has a successor and no unit moves."""
    fleet = Fleet()
    count_writes(fleet.store, fleet.counts)
    with counted_messages(fleet.counts):
        async with other().doing("upstreams", upstreams) as addresses:
            inventory = dict(config_row(upstreams, shards=shards, centres=1).value["inventory"])
            for entry, address in zip(
                inventory["services"][0]["upstreams"], addresses, strict=True
            ):
                entry["address"] = address
            fleet.store.transact(
                conditions={"config/current": 0},
                puts={"config/current": config_row_of(inventory, 1).value},
            )
            async with trio.open_nursery() as nursery:
                for index in range(hosts):
                    await _start_host(nursery, fleet, index)
                alive = {host.member for host in fleet.hosts}
                await fleet.wait(lambda: fleet.settled(alive), "a successor for every upstream")
                await fleet.wait(
                    lambda: len(fleet.store.scan("units/", since=0)) * CHUNK >= shards, "assignment"
                )
                await _quiet_store(fleet)
                yield fleet, inventory
                nursery.cancel_scope.cancel()


async def _quiet_store(fleet: Fleet, seconds: float = 1.0, limit: float = 20.0) -> None:
    """Wait until nothing has been written for some time."""
    with trio.move_on_after(limit):
        revision, since = -1, trio.current_time()
        while trio.current_time() - since < seconds:
            if fleet.store.revision != revision or fleet.moving():
                revision, since = fleet.store.revision, trio.current_time()
            await trio.sleep(0.1)


async def _start_host(nursery: trio.Nursery, fleet: Fleet, index: int) -> None:
    async def connect(address: str) -> trio.abc.Stream:
        return CountingStream(await connect_tcp(address), fleet.counts)

    host = EntryHost(
        settings=Settings(
            host_id=f"entry-{index:04}",
            data_centre="dc-0",
            caller_address="127.0.0.1:0",
            peer_address="127.0.0.1:0",
            operator_address="127.0.0.1:0",
            platform_address="127.0.0.1:1",
        ),
        dependencies=HostDependencies(
            table=MemoryTable(store=fleet.store),
            backend=CountingBackend(fleet.counts),
            connect=connect,
        ),
        listeners=False,
    )
    scope = trio.CancelScope()

    async def run(*, task_status: trio.TaskStatus[None]) -> None:
        with scope:
            await host.run(task_status=task_status)

    await nursery.start(run)
    fleet.hosts.append(host)
    fleet.scopes.append(scope)


async def fleet(hosts: int) -> Values:
    """A data centre with one upstream of 64 units a host: idle hosts, then the loss of one.

    The first five quantities are per idle host and second. The others are sums over all hosts
    from the loss of one that holds an upstream until nothing is written any more.
    """
    async with running_fleet(hosts, hosts, shards=CHUNK * hosts) as (running, _):
        before, first, start = Counter(running.counts), cpu_us(), time.perf_counter()
        await trio.sleep(2.0)
        seconds = (time.perf_counter() - start) * hosts
        cpu = (cpu_us() - first) / seconds
        used = running.counts - before
        values = {
            "idle: cpu us/s": cpu,
            # Each connection is counted at the dialling side, so these are sums of both ends.
            "idle: peer bytes/s": (used["out"] + used["in"]) / seconds,
            "idle: upstream bytes/s": (used["upstream out"] + used["upstream in"]) / seconds,
            "idle: Heartbeat/s": used["Heartbeat"] / seconds,
            "idle: RowsSince/s": used["RowsSince"] / seconds,
        }
        values |= await _lose_holder(running)
    return values


async def _lose_holder(running: Fleet) -> Values:
    rows = running.store.scan("upstream/", since=0)
    holders = Counter(row.value["holder"] for row in rows)
    successors = Counter(row.value["successor"] for row in rows)
    index = next(i for i, host in enumerate(running.hosts) if host.member in holders)
    lost = running.hosts[index].member
    before = Counter(running.counts)
    running.scopes[index].cancel()
    alive = {host.member for host in running.hosts} - {lost}
    started = trio.current_time()
    await running.wait(lambda: running.settled(alive), "a new holder and successor")
    seconds = trio.current_time() - started
    await _quiet_store(running)
    used = running.counts - before
    kinds = ("KeepRecords", "KeepRows", "TakenOver", "Done", "Rows")
    return {
        "loss: upstreams held": float(holders[lost]),
        "loss: upstreams succeeded": float(successors[lost]),
        "loss: writes": float(used["writes"]),
        "loss: TakenOver": float(used["TakenOver"]),
        "loss: KeepRows and KeepRecords": float(used["KeepRows"] + used["KeepRecords"]),
        "loss: Rows messages": float(used["Rows"]),
        "loss: bytes": float(sum(used[f"bytes {kind}"] for kind in kinds)),
        "loss: seconds until a successor": seconds,
    }


MOVE_KINDS = ("KeepRows", "Release", "AskRelease")


async def unit_move(units: int) -> Values:
    """Units of one upstream that leaves move to three others; six hosts."""
    async with running_fleet(6, 4, shards=units * 4) as (running, inventory):
        leaving = inventory["services"][0]["upstreams"][0]
        own = f"{SERVICE}/{leaving['name']}"
        had = running.units_of(own)
        leaving["state"] = "leaving"
        before = Counter(running.counts)
        running.store.transact(
            conditions={"config/current": 1},
            puts={"config/current": config_row_of(inventory, 2).value},
        )
        await running.wait(
            lambda: running.units_of(own) == 0 and not running.moving(), "a unit moved", 60.0
        )
        await trio.sleep(0.3)
        used = running.counts - before
    scale = units / had
    calls = sum(used[kind] for kind in MOVE_KINDS)
    return {
        "writes": (used["writes"] - 1) * scale,
        "rows written": (used["rows written"] - 1) * scale,
        "calls": calls * scale,
        "Rows messages": used["Rows"] * scale,
        "bytes of calls": sum(used[f"bytes {kind}"] for kind in MOVE_KINDS) * scale,
        "bytes of Rows": used["bytes Rows"] * scale,
    }


PEERS = (3, 12, 48, 190)
UNITS = (1_024, 10_240, 65_536)
MEASUREMENTS = (
    Measurement(name="heartbeat", x="partner", sizes=PEERS, run=heartbeat, fresh=True),
    Measurement(name="heartbeat-answer", x="host that asks", sizes=PEERS, run=heartbeat_answer),
    Measurement(name="peer-dial", x="connection", sizes=(50, 100, 200), run=peer_dial),
    Measurement(name="peer-call", x="call", sizes=(200, 400, 800), run=peer_call),
    Measurement(name="row-push", x="host", sizes=(3, 6, 12, 24), run=row_push),
    Measurement(name="renew-holder", x="unit", sizes=(64, 1_024, 10_240), run=renew_holder),
    Measurement(name="renew-upstream", x="unit", sizes=(64, 1_024, 10_240), run=renew_upstream),
    Measurement(name="move-loop", x="unit", sizes=(64, 1_024, 10_240), run=move_loop),
    Measurement(name="mirror-poll", x="changed row", sizes=(0, 4, 16, 64), run=mirror_poll),
    Measurement(name="mirror-fill", x="unit", sizes=UNITS, run=mirror_fill),
    Measurement(name="row-change", x="row", sizes=(50, 100, 200), run=row_change),
    Measurement(name="keep-rows", x="unit", sizes=UNITS, run=keep_rows),
    Measurement(name="host-rows", x="host", sizes=(12, 48, 190, 790), run=host_rows),
    Measurement(name="history-rows", x="row", sizes=(1_000, 5_000, 20_000), run=history_rows),
    Measurement(name="ingress-request", x="request", sizes=(100, 200, 400), run=ingress_request),
    Measurement(name="holder-request", x="request", sizes=(200, 400, 800), run=holder_request),
    Measurement(
        name="upstream-connection",
        x="connection",
        sizes=(32, 130, 400),
        run=upstream_connection,
        fresh=True,
    ),
    Measurement(
        name="caller-connection",
        x="connection",
        sizes=(50, 200, 800),
        run=caller_connection,
        fresh=True,
    ),
    Measurement(name="once-record", x="record", sizes=(500, 2_000, 8_000), run=once_record),
    Measurement(name="route", x="unit", sizes=UNITS, run=route),
    Measurement(name="placement", x="upstream", sizes=(12, 48, 190, 790), run=placement),
    Measurement(name="configuration", x="upstream", sizes=(12, 48, 190, 790), run=configuration),
    Measurement(name="fleet", x="host", sizes=(3, 6, 12), run=fleet),
    Measurement(name="unit-move", x="unit", sizes=(16, 64, 256), run=unit_move),
)


def work(pipe: Pipe, name: str, repeats: int) -> None:
    """Run repeats of a measurement and send their points, or the error."""
    quiet()
    (meas,) = (m for m in MEASUREMENTS if m.name == name)

    async def main() -> list[list[Values]]:
        return [[await meas.run(size) for size in meas.sizes] for _ in range(repeats)]

    try:
        pipe.send(trio.run(main))
    except Exception as exc:
        pipe.send("".join(traceback.format_exception(exc)))
    finally:
        for side in _other:
            side.close()


LIMIT_S = 120.0
"""Time for all repeats of a measurement in one process; the slowest took 38 s on a busy machine."""


def runs_of(meas: Measurement, repeats: int) -> list[list[Values]]:
    """Run all repeats of a measurement in other processes. Raises ``RuntimeError``."""
    ctx = multiprocessing.get_context("spawn")
    runs: list[list[Values]] = []
    for count in [1] * repeats if meas.fresh else [repeats]:
        here, there = ctx.Pipe()
        process = ctx.Process(target=work, args=(there, meas.name, count))
        process.start()
        if not here.poll(LIMIT_S):
            process.terminate()
            process.join()
            raise RuntimeError(f"{meas.name}: no result within {LIMIT_S:.0f} s")
        result = here.recv()
        process.join()
        if isinstance(result, str):
            raise RuntimeError(f"{meas.name}: {result}")
        runs.extend(result)
    return runs


def number(value: float) -> str:
    """Return a number with three digits."""
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"


def markdown(slopes: list[Slope]) -> str:
    """Return the table of slopes."""
    lines = [
        "| measurement | quantity | slope | per | range over repeats | intercept | off the line |"
        " points |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for s in slopes:
        points = ", ".join(f"{size}: {number(point)}" for size, point in s.points.items())
        lines.append(
            f"| `{s.name}` | {s.quantity} | {number(s.slope)} | {s.x} | {number(s.low)} to "
            f"{number(s.high)} | {number(s.intercept)} | {s.off_line:.0%} | {points} |"
        )
    return "\n".join(lines) + "\n"


def save(
    slopes: list[Slope], failures: list[str], json_file: Path | None, table_file: Path | None
) -> None:
    """Write the results so far, so that a run that is cut short loses only the rest."""
    if table_file is not None:
        table_file.write_text(markdown(slopes))
    if json_file is None:
        return
    report = {
        "machine": platform.processor() or platform.machine(),
        "cores": os.cpu_count(),
        "python": platform.python_version(),
        "date": time.strftime("%Y-%m-%d"),
        "load": os.getloadavg(),
        "slopes": [asdict(slope) for slope in slopes],
        "failures": failures,
    }
    json_file.write_text(json.dumps(report, indent=1) + "\n")


@click.command()
@click.option("--only", multiple=True, help="Name of a measurement; may be repeated.")
@click.option("--quick", is_flag=True, help="One repeat.")
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="File for JSON.")
@click.option("--markdown", "table_file", type=click.Path(path_type=Path), help="File for a table.")
def main(
    only: tuple[str, ...], quick: bool, json_file: Path | None, table_file: Path | None
) -> None:
    """Measure slopes and print them as a Markdown table."""
    known = {meas.name for meas in MEASUREMENTS}
    if unknown := sorted(set(only) - known):
        raise click.UsageError(
            f"no measurement is named {', '.join(unknown)}; known: " f"{', '.join(sorted(known))}"
        )
    slopes: list[Slope] = []
    failures = []
    started = time.perf_counter()
    for meas in MEASUREMENTS:
        if only and meas.name not in only:
            continue
        begun = time.perf_counter()
        try:
            runs = runs_of(meas, 1 if quick else meas.repeats)
        except (RuntimeError, EOFError) as exc:
            failures.append(f"{meas.name}: {exc}")
            click.echo(f"{meas.name} failed: {exc}", err=True)
            continue
        slopes.extend(fit(meas, runs, meas.sizes))
        click.echo(f"{meas.name}: {time.perf_counter() - begun:.1f} s", err=True)
        save(slopes, failures, json_file, table_file)
    click.echo(markdown(slopes))
    click.echo(f"{time.perf_counter() - started:.0f} s in all", err=True)
    if failures:
        raise click.ClickException("some measurements failed")


if __name__ == "__main__":
    main()

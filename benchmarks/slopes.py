"""Measures what one event costs, and how the cost grows with the size of a deployment.

Each measurement runs at several sizes in a process of its own and is repeated. A straight line is
fitted to the points of each repeat; the table shows the median and the range of the slopes, and the
largest distance of a point from the line. Processor time is that of the measured process only, so
other load on the machine affects it little. Log lines are formatted at level ``info``, but
discarded.

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
from acaciasaddle.model import ResponseSink
from acaciasaddle.model import Row
from acaciasaddle.model import UnitAssignment
from acaciasaddle.model import UnitId
from acaciasaddle.model import UnitsRow
from acaciasaddle.model import UpstreamId
from acaciasaddle.model import UpstreamRow
from acaciasaddle.model import WorkRequest
from acaciasaddle.observe import NullMetrics
from acaciasaddle.observe import configure_logging
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
SHARDS_PER_ROW = 64
SCRIPT_PATH = "benchmarks/slopes.py"
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
RESPONSE_HEADERS = (("content-type", "application/json"), ("content-length", "200"))
RESPONSE_BODY = b"x" * 200
UPSTREAM_RESPONSE = (
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 200\r\n\r\n"
    + RESPONSE_BODY
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

    ``x`` says what a size counts. With ``fresh``, each repeat runs in a new process, since resident
    memory does not shrink again.
    """

    name: str
    x: str
    sizes: tuple[int, ...]
    run: Callable[[int], Awaitable[Values]]
    repeats: int = 2
    fresh: bool = False


@dataclass(frozen=True, kw_only=True)
class Slope:
    """The line fitted to the points of one quantity.

    Points, slope and intercept are medians over the repeats; ``low`` and ``high`` are the lowest
    and highest slope. ``off_line`` is the largest distance of a point from the line, as a fraction
    of the largest point.
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


def fit_lines(
    measurement: Measurement, runs: list[list[Values]], sizes: tuple[int, ...]
) -> list[Slope]:
    """Return the fitted line of each quantity. ``runs`` holds one list of points per repeat."""
    slopes = []
    for quantity in runs[0][0]:
        lines = [
            statistics.linear_regression(sizes, [point[quantity] for point in run]) for run in runs
        ]
        points = [
            statistics.median(run[index][quantity] for run in runs) for index in range(len(sizes))
        ]
        slope = statistics.median(line.slope for line in lines)
        intercept = statistics.median(line.intercept for line in lines)
        largest = max(abs(point) for point in points) or 1.0
        off_line = (
            max(
                abs(point - intercept - slope * size)
                for point, size in zip(points, sizes, strict=True)
            )
            / largest
        )
        slopes.append(
            Slope(
                name=measurement.name,
                x=measurement.x,
                quantity=quantity,
                slope=slope,
                low=min(line.slope for line in lines),
                high=max(line.slope for line in lines),
                intercept=intercept,
                off_line=off_line,
                points={str(size): point for size, point in zip(sizes, points, strict=True)},
                command=f"PYTHONPATH=src python {SCRIPT_PATH} --only {measurement.name}",
            )
        )
    return slopes


def cpu_us() -> float:
    """Return the processor time of this process in microseconds."""
    return time.process_time() * 1e6


def resident_kib() -> float:
    """Return the resident memory of this process in KiB, after a garbage collection."""
    gc.collect()
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1024


@contextlib.contextmanager
def record_memory(values: Values, name: str) -> Any:
    """Store as ``name`` the KiB that Python allocates in the block and has not freed at its end."""
    gc.collect()
    tracemalloc.start()
    try:
        yield
        gc.collect()
        values[name] = tracemalloc.get_traced_memory()[0] / 1024
    finally:
        tracemalloc.stop()


def cpu_us_per_call(action: Callable[[], object], *, seconds: float = 0.06) -> float:
    """Return microseconds of processor time per call, the fastest of three batches."""
    count = 1
    while True:
        cpu_start = cpu_us()
        for _ in range(count):
            action()
        if cpu_us() - cpu_start > seconds * 1e6 / 3 or count >= 100_000:
            break
        count *= 2
    best_us = float("inf")
    for _ in range(3):
        cpu_start = cpu_us()
        for _ in range(count):
            action()
        best_us = min(best_us, (cpu_us() - cpu_start) / count)
    return best_us


# Test doubles


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
    """Gives a prepared response to each HTTP request, so that only the client is measured."""

    def __init__(self, respond: Callable[[bytes], bytes], counts: Counter[str]) -> None:
        self._respond = respond
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
        self._pending = self._respond(bytes(self._request))
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

    def __init__(self, respond: Callable[[bytes], bytes]) -> None:
        self.counts: Counter[str] = Counter()
        self._respond = respond

    async def connect_tcp(self, *args: Any, **kwargs: Any) -> httpcore.AsyncNetworkStream:
        await trio.lowlevel.checkpoint()
        return CannedStream(self._respond, self.counts)


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


class DiscardingSink(ResponseSink):
    """Discards a response."""

    async def head(self, status: int, headers: Headers) -> None:
        pass

    async def data(self, chunk: bytes) -> None:
        pass

    async def end(self) -> None:
        pass

    @property
    def started(self) -> bool:
        return False


class PermissiveAuthority(Authority):
    """Permits all work."""

    name = "authority"
    fixed_permit = Permit(
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
        return self.fixed_permit

    async def replicate(self, upstream: UpstreamId, records: tuple[OnceRecord, ...]) -> None:
        await trio.lowlevel.checkpoint()

    def memory_since(self, upstream: UpstreamId) -> float:
        return 0.0

    def note_refused_term(self, upstream: UpstreamId, term: int) -> None:
        pass


def make_hub(member: str, counts: Counter[str]) -> TcpPeerHub:
    """Return a hub on a free loopback port; bytes of connections that it dials are counted."""

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


async def serve_request(request: WorkRequest, body: BodySource, response: ResponseSink) -> None:
    """Respond to a request with 200 bytes."""
    await response.head(200, RESPONSE_HEADERS)
    await response.data(RESPONSE_BODY)
    await response.end()


def make_null_hub() -> Any:
    """Return a hub without peers, for parts of a host that are measured alone."""
    return SimpleNamespace(
        on_rows=lambda handler: None,
        on_call=lambda kind, handler: None,
        set_digest=lambda **kwargs: None,
        set_members=lambda members: None,
        heard_at=lambda member: float("-inf"),
        confirmed_at=lambda member: float("-inf"),
        digests=lambda: (),
    )


def make_mirror(table: Any = None) -> Mirror:
    """Return a mirror without peers."""
    return Mirror(table=table, hub=make_null_hub(), clock=BootClock())


# Rows


def member_id(index: int) -> str:
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
        holder=member_id(index), successor=member_id(index + 6), term=4, health="ready"
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
        for shard in range(chunk * SHARDS_PER_ROW, (chunk + 1) * SHARDS_PER_ROW)
    }
    value = UnitsRow(shards=shards, units=units).to_json(str(uuid.uuid4()))
    return Row(
        key=f"units/{SERVICE}/default/{chunk}",
        version=version,
        revision=10_000 + chunk,
        value=json.loads(json.dumps(value)),
    )


def config_row(upstreams: int, *, shards: int = 256, centres: int = 6, version: int = 1) -> Row:
    """Return the row of a configuration with one service."""
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
    return config_row_with(inventory, version)


def config_row_with(inventory: dict[str, Any], version: int) -> Row:
    """Return the row of a configuration with this inventory."""
    value = ConfigRow(
        version=version,
        change_id=str(uuid.uuid4()),
        author="operator",
        inventory=inventory,
        rules=RULES_JSON,
    ).to_json(str(uuid.uuid4()))
    return Row(key="config/current", version=version, revision=version, value=value)


def json_bytes(value: Any) -> bytes:
    """Return a value as compact JSON."""
    return json.dumps(value, separators=(",", ":")).encode()


def filled_mirror(*, units: int, upstreams: int) -> Mirror:
    """Return a mirror with a configuration, upstream rows and assigned units."""
    mirror = make_mirror()
    chunks = -(-units // SHARDS_PER_ROW)
    rows = [config_row(upstreams, shards=chunks * SHARDS_PER_ROW)]
    rows += [upstream_row(i) for i in range(upstreams)]
    rows += [
        units_row(c, upstreams=upstreams, shards=chunks * SHARDS_PER_ROW) for c in range(chunks)
    ]
    mirror.apply_rows(rows, revision=20_000, source="benchmark")
    return mirror


# Helper processes: they run the peers, upstreams or callers of what is measured


def run_helper(pipe: Pipe) -> None:
    """Run the commands that arrive through the pipe; ``None`` ends the process."""
    discard_logs()
    trio.run(_run_commands, pipe)


async def _run_commands(pipe: Pipe) -> None:
    while (command := await trio.to_thread.run_sync(pipe.recv)) is not None:
        name, *args = command
        async with trio.open_nursery() as nursery:
            pipe.send(await COMMANDS[name](nursery, *args))
            await trio.to_thread.run_sync(pipe.recv)
            nursery.cancel_scope.cancel()
        pipe.send("ended")


async def _run_hubs(nursery: trio.Nursery, count: int, main_address: str) -> dict[str, str]:
    """Run hubs and return their addresses by member.

    Unless ``main_address`` is empty, they send heartbeats to the hub ``main@1`` there.
    """
    members = {}
    for index in range(count):
        hub = make_hub(member_id(index), Counter())
        hub.on_work(serve_request)
        hub.on_call(RowsSince, _no_rows)
        await nursery.start(hub.run)
        members[member_id(index)] = hub.address
        if main_address:
            hub.set_members({"main@1": main_address})
            hub.set_partners(frozenset({"main@1"}))
    return members


async def _run_upstreams(nursery: trio.Nursery, count: int) -> list[str]:
    """Run upstream stand-ins and return their addresses."""
    addresses = []
    for index in range(count):
        model = UpstreamModel(settings=UpstreamSettings(name=f"u-{index}", slots=16, work_ms=0.0))
        addresses.append(await start_server(nursery, UpstreamApp(model=model), "127.0.0.1:0"))
    return addresses


async def _send_caller_requests(nursery: trio.Nursery, address: str, total: int, tasks: int) -> int:
    """Send callers' requests over ``tasks`` connections; return how many got status 200."""
    host, port = address.rsplit(":", 1)
    answered = 0

    async def send_requests(count: int) -> None:
        nonlocal answered
        stream = await trio.open_tcp_stream(host, int(port))
        for index in range(count):
            await stream.send_all(CALLER_REQUEST % (index % 997))
            data = b""
            while not data.endswith(RESPONSE_BODY):
                received = await stream.receive_some()
                if not received:
                    raise RuntimeError(f"a response was cut short: {data!r}")
                data += received
            answered += data.startswith(b"HTTP/1.1 200")

    async with trio.open_nursery() as inner:
        for _ in range(tasks):
            inner.start_soon(send_requests, total // tasks)
    return answered


async def _open_connections(nursery: trio.Nursery, address: str, count: int) -> int:
    """Open connections, send one request over each and keep them idle; return their number."""
    host, port = address.rsplit(":", 1)
    streams = []
    for _ in range(count):
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(CALLER_REQUEST % 1)
        await stream.receive_some()
        streams.append(stream)
    nursery.start_soon(_hold_open, streams)
    return count


async def _hold_open(streams: list[trio.SocketStream]) -> None:
    try:
        await trio.sleep_forever()
    finally:
        for stream in streams:
            stream.socket.close()


async def _send_peer_requests(nursery: trio.Nursery, address: str, total: int, tasks: int) -> int:
    """Send requests to the hub ``main@1``, as an ingress does; return ``total``."""
    hub = make_hub("ingress@1", Counter())
    await nursery.start(hub.run)
    hub.set_members({"main@1": address})

    async def send_requests(count: int) -> None:
        for _ in range(count):
            await hub.work("main@1", REQUEST, NoBody(), DiscardingSink())

    async with trio.open_nursery() as inner:
        for _ in range(tasks):
            inner.start_soon(send_requests, total // tasks)
    return total


COMMANDS: dict[str, Callable[..., Awaitable[Any]]] = {
    "hubs": _run_hubs,
    "upstreams": _run_upstreams,
    "call": _send_caller_requests,
    "connect": _open_connections,
    "peer work": _send_peer_requests,
}


class HelperProcess:
    """A process that runs the peers, upstreams or callers of what is measured."""

    def __init__(self) -> None:
        context = multiprocessing.get_context("spawn")
        self._pipe, child_pipe = context.Pipe()
        self._process = context.Process(target=run_helper, args=(child_pipe,))
        self._process.start()

    @contextlib.asynccontextmanager
    async def running(self, *command: Any) -> Any:
        """Run a command, yield its result, and end what it started after the block."""
        self._pipe.send(command)
        yield await trio.to_thread.run_sync(self._pipe.recv)
        self._pipe.send("end")
        await trio.to_thread.run_sync(self._pipe.recv)

    def close(self) -> None:
        """End the process."""
        self._pipe.send(None)
        self._process.join()


_helpers: list[HelperProcess] = []


def first_helper() -> HelperProcess:
    """Return the helper process of this measurement; start it at the first use."""
    if not _helpers:
        _helpers.append(HelperProcess())
    return _helpers[0]


def second_helper() -> HelperProcess:
    """Return a second helper process, for callers while the first one runs hubs."""
    first_helper()
    if len(_helpers) < 2:
        _helpers.append(HelperProcess())
    return _helpers[1]


def discard_logs() -> None:
    """Format log lines at level info but discard them."""
    sys.stderr = open(os.devnull, "w")  # noqa: SIM115
    configure_logging(level="info", json=True, host="entry-0417")


# Peers

MEASUREMENT_WINDOW_S = 0.8


async def heartbeat(partners: int) -> Values:
    """Measure what a host uses per second, and in memory, to exchange heartbeats with partners."""
    counts: Counter[str] = Counter()
    memory_before = resident_kib()
    async with (
        first_helper().running("hubs", partners, "") as members,
        trio.open_nursery() as nursery,
    ):
        hub = make_hub("main@1", counts)
        await nursery.start(hub.run)
        hub.set_digest(config_version=2600, revision=900_000)
        hub.set_members(members)
        hub.set_partners(frozenset(members))
        await trio.sleep(0.6)
        memory_kib = resident_kib() - memory_before
        values = await _measure_window(counts)
        values["rss KiB"] = memory_kib
        nursery.cancel_scope.cancel()
    return values


async def _measure_window(counts: Counter[str]) -> Values:
    cpu_before, sent_before, received_before, started_at = (
        cpu_us(),
        counts["out"],
        counts["in"],
        time.perf_counter(),
    )
    await trio.sleep(MEASUREMENT_WINDOW_S)
    elapsed_s = time.perf_counter() - started_at
    return {
        "cpu us/s": (cpu_us() - cpu_before) / elapsed_s,
        "bytes out/s": (counts["out"] - sent_before) / elapsed_s,
        "bytes in/s": (counts["in"] - received_before) / elapsed_s,
    }


async def heartbeat_answer(holders: int) -> Values:
    """Measure what a host uses per second to answer the heartbeats of holders."""
    async with trio.open_nursery() as nursery:
        hub = make_hub("main@1", Counter())
        await nursery.start(hub.run)
        hub.set_digest(config_version=2600, revision=900_000)
        async with first_helper().running("hubs", holders, hub.address):
            await trio.sleep(0.6)
            cpu_before, started_at = cpu_us(), time.perf_counter()
            await trio.sleep(MEASUREMENT_WINDOW_S)
            cpu_us_per_s = (cpu_us() - cpu_before) / (time.perf_counter() - started_at)
        nursery.cancel_scope.cancel()
    return {"cpu us/s": cpu_us_per_s}


async def peer_dial(connections: int) -> Values:
    """Measure dialling a peer and exchanging Hello."""
    counts: Counter[str] = Counter()
    async with first_helper().running("hubs", 1, "") as members, trio.open_nursery() as nursery:
        hub = make_hub("main@1", counts)
        await nursery.start(hub.run)
        (address,) = members.values()
        cpu_before = cpu_us()
        for _ in range(connections):
            await hub.identify(address)
        values = {
            "cpu us": cpu_us() - cpu_before,
            "bytes out": float(counts["out"]),
            "bytes in": float(counts["in"]),
        }
        nursery.cancel_scope.cancel()
    return values


async def _no_rows(member: str, call: Any) -> RowsPart:
    return RowsPart(rows=(), revision=900_000)


async def peer_call(calls: int) -> Values:
    """Measure a call on an open connection: ``RowsSince`` with an immediate reply without rows."""
    counts: Counter[str] = Counter()
    async with first_helper().running("hubs", 1, "") as members, trio.open_nursery() as nursery:
        hub = make_hub("main@1", counts)
        await nursery.start(hub.run)
        hub.set_members(members)
        (member,) = members
        await hub.call(member, RowsSince(revision=900_000), timeout=2)
        cpu_before, sent_before, received_before = cpu_us(), counts["out"], counts["in"]
        for _ in range(calls):
            await hub.call(member, RowsSince(revision=900_000), timeout=2)
        values = {
            "cpu us": cpu_us() - cpu_before,
            "bytes out": float(counts["out"] - sent_before),
            "bytes in": float(counts["in"] - received_before),
        }
        nursery.cancel_scope.cancel()
    return values


async def row_push(hosts: int) -> Values:
    """Measure one changed row of 64 units, from its writer to all mirrors of a full mesh.

    The messages include those by which the receivers forward the row.
    """
    sent: Counter[str] = Counter()
    original_push = _connection.Connection.push

    def counting_push(self: Any, complete: bytes, *, incomplete: bytes) -> None:
        sent["messages"] += 1
        sent["bytes"] += len(complete) + 4  # 4 bytes of frame length
        original_push(self, complete, incomplete=incomplete)

    hubs = [make_hub(member_id(i), Counter()) for i in range(hosts)]
    mirrors = [Mirror(table=None, hub=hub, clock=BootClock()) for hub in hubs]  # type: ignore[arg-type]
    _connection.Connection.push = counting_push  # type: ignore[method-assign]
    try:
        async with trio.open_nursery() as nursery:
            for hub in hubs:
                await nursery.start(hub.run)
            members = {member_id(i): hub.address for i, hub in enumerate(hubs)}
            for hub in hubs:
                hub.set_members(members)
            for hub in hubs:
                for member in members:
                    if member != hub._state.member:
                        await hub.call(member, RowsSince(revision=0), timeout=5)
            rows = 10
            cpu_before = cpu_us()
            for chunk in range(rows):
                row = units_row(chunk, upstreams=30, shards=rows * SHARDS_PER_ROW)
                mirrors[0].apply_rows([row], source="own write")
                hubs[0].push_rows([row])
            key = f"units/{SERVICE}/default/{rows - 1}"
            with trio.fail_after(10):
                while any(mirror.get(key) is None for mirror in mirrors):
                    await trio.sleep(0.02)
            await trio.sleep(0.3)
            used_cpu_us = cpu_us() - cpu_before
            nursery.cancel_scope.cancel()
    finally:
        _connection.Connection.push = original_push  # type: ignore[method-assign]
    return {
        "messages": sent["messages"] / rows,
        "bytes": sent["bytes"] / rows,
        "cpu us of all hosts": used_cpu_us / rows,
    }


# Leases


def grant_responder(units: list[str]) -> Callable[[bytes], bytes]:
    """Return a function that responds to orders as an upstream with these units does."""
    units_json = json.dumps(units)

    def respond(request: bytes) -> bytes:
        valid = re.search(rb'"valid_until": ([\d.]+)', request)
        seq = re.search(rb'"seq": (\d+)', request)
        assert seq is not None
        body = (
            f'{{"instance": "{"i" * 32}", "clock": {time.monotonic() * 1000:.3f}, "term": 4, '
            f'"seq": {seq[1].decode()}, "valid_until": {valid[1].decode() if valid else 0}, '
            f'"units": {units_json}, "running": [], "state": "ready", "slots": 16}}'
        ).encode()
        return (
            b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: "
            + str(len(body)).encode()
            + b"\r\n\r\n"
            + body
        )

    return respond


def make_held_upstream(units: int, upstreams: int = 1) -> tuple[HeldUpstream, CannedBackend, Any]:
    """Return a held upstream that owns ``units`` units, with its backend and its context."""
    mirror = filled_mirror(units=units * upstreams, upstreams=upstreams)
    assert mirror.configuration is not None
    info = mirror.configuration.upstreams[UpstreamId(SERVICE, "bookings-0000")]
    names = sorted(str(unit) for unit in mirror.owners.units_of(str(info.id)))
    backend = CannedBackend(grant_responder(names))
    ctx: Any = SimpleNamespace(
        mirror=mirror,
        hub=make_null_hub(),
        clock=BootClock(),
        member=member_id(0),
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
    """Measure the holder's part of one renewal of a lease, while the units do not change."""
    held, backend, _ = make_held_upstream(units)
    for _ in range(4):
        await held._send_order()
    if len(held.granted) < units:
        raise RuntimeError(f"{len(held.granted)} of {units} units are granted")
    rounds = max(5, min(100, 100_000 // units))
    sent_before, received_before, cpu_before = backend.counts["out"], backend.counts["in"], cpu_us()
    for _ in range(rounds):
        await held._send_order()
        # The holder compares these, too, to find out when its next order is due.
        _ = held.moves.wanted() != held.granted
    return {
        "cpu us": (cpu_us() - cpu_before) / rounds,
        "bytes out": (backend.counts["out"] - sent_before) / rounds,
        "bytes in": (backend.counts["in"] - received_before) / rounds,
    }


async def renew_upstream(units: int) -> Values:
    """Measure one renewal at the upstream stand-in, over loopback and hypercorn.

    The client is a plain TCP stream, so that it adds little.
    """
    names = [str(UnitId(SERVICE, "default", shard)) for shard in range(units)]
    async with trio.open_nursery() as nursery:
        model = UpstreamModel(settings=UpstreamSettings(name="u", slots=16))
        address = await start_server(nursery, UpstreamApp(model=model), "127.0.0.1:0")
        host, port = address.rsplit(":", 1)
        stream = await trio.open_tcp_stream(host, int(port))

        async def send_order(seq: int, listed_units: list[str] | None) -> None:
            body = json.dumps(
                {
                    "holder": member_id(0),
                    "term": 4,
                    "seq": seq,
                    "instance": model.instance,
                    "valid_until": model.clock_ms() + 60_000,
                    "units": listed_units,
                    "excluded": [],
                }
            ).encode()
            head = f"POST /grant HTTP/1.1\r\nHost: u\r\nContent-Length: {len(body)}\r\n\r\n"
            await stream.send_all(head.encode() + body)
            data = bytearray()
            while not data.endswith(b"}"):
                data += await stream.receive_some()
                assert data.startswith(b"HTTP/1.1 200"), data[:100]

        await send_order(1, names)
        rounds = max(5, min(100, 100_000 // units))
        cpu_before = cpu_us()
        for seq in range(rounds):
            await send_order(2 + seq, None)
        renewal_us = (cpu_us() - cpu_before) / rounds
        nursery.cancel_scope.cancel()
    return {"cpu us": renewal_us}


async def move_loop(units: int) -> Values:
    """Measure one pass of the task that moves units, when there is nothing to move."""
    held, _, _ = make_held_upstream(units)
    for _ in range(4):
        await held._send_order()
    # Keeps a rebalancing from becoming due.
    held.moves._rebalanced_at = float("inf")
    rounds = max(5, min(200, 200_000 // units))
    cpu_before = cpu_us()
    for _ in range(rounds):
        await held.moves._release_outgoing()
        await held.moves._ask_for_incoming()
        await held.moves._clear_previous()
        await held.moves._decide_moves()
        held.moves._has_pending_moves()
    return {"cpu us": (cpu_us() - cpu_before) / rounds}


# Mirror


async def mirror_poll(changes: int) -> Values:
    """Measure one poll of the table that finds changed rows of 64 units."""
    versions = itertools.count(1)
    responses: list[bytes] = []
    rounds = max(5, min(60, 300 // (changes + 1)))
    rows = [units_row(c, upstreams=790, shards=65_536) for c in range(changes)]
    for _ in range(rounds + 1):
        version = next(versions)
        row_values = [asdict(replace(row, version=version, revision=version)) for row in rows]
        body = json_bytes({"revision": version, "rows": row_values})
        head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: "
        responses.append(f"{head}{len(body)}\r\n\r\n".encode() + body)
    responses.reverse()
    backend = CannedBackend(lambda request: responses.pop())
    mirror = make_mirror(HttpPlatform(address="127.0.0.1:1", network=backend))
    await mirror.refresh()
    sent_before, received_before, cpu_before = backend.counts["out"], backend.counts["in"], cpu_us()
    for _ in range(rounds):
        await mirror.refresh()
    return {
        "cpu us": (cpu_us() - cpu_before) / rounds,
        "bytes out": (backend.counts["out"] - sent_before) / rounds,
        "bytes in": (backend.counts["in"] - received_before) / rounds,
    }


async def mirror_fill(units: int) -> Values:
    """Measure the time and memory of adding rows of 64 units to an empty mirror and its index."""
    chunks = units // SHARDS_PER_ROW
    rows = [units_row(c, upstreams=790, shards=units) for c in range(chunks)]
    mirror = make_mirror()
    cpu_before = cpu_us()
    mirror.apply_rows(rows, source="benchmark")
    values = {"cpu us": cpu_us() - cpu_before}
    texts = [json_bytes(asdict(row)) for row in rows]
    del rows, mirror
    with record_memory(values, "memory KiB"):
        mirror = make_mirror()
        for text in texts:
            mirror.apply_rows([Row(**json.loads(text))], source="benchmark")
    values["table bytes"] = float(sum(map(len, texts)))
    return values


async def row_change(rows: int) -> Values:
    """Measure changed rows of 64 units from a peer: encoding, decoding, mirror and index."""
    mirror = filled_mirror(units=65_536, upstreams=790)
    changed = [units_row(c, upstreams=790, shards=65_536, version=2) for c in range(rows)]
    cpu_before = cpu_us()
    messages = [encode(Rows(rows=(row,), revision=20_001)) for row in changed]
    encoding_us = cpu_us() - cpu_before
    cpu_before = cpu_us()
    decoded = [decode(data) for data in messages]
    decoding_us = cpu_us() - cpu_before
    cpu_before = cpu_us()
    for message in decoded:
        assert isinstance(message, Rows)
        mirror.apply_rows(message.rows, source="peer")
    return {
        "cpu us of mirror and index": cpu_us() - cpu_before,
        "cpu us of decoding": decoding_us,
        "cpu us of encoding": encoding_us,
        "bytes": float(sum(len(data) + 4 for data in messages)),  # 4 bytes of frame length
    }


async def keep_rows(units: int) -> Values:
    """Measure the call that sends a successor the unit rows of a service, all of them new to it.

    The call is encoded, and decoded, as a whole in one step of the event loop, although it is sent
    in parts.
    """
    chunks = units // SHARDS_PER_ROW
    rows = tuple(units_row(c, upstreams=790, shards=units) for c in range(chunks))
    cpu_before = cpu_us()
    data = encode(CallEnvelope(call_id=1, call=KeepRows(rows=rows)))
    encoding_us = cpu_us() - cpu_before
    cpu_before = cpu_us()
    decode(data)
    return {
        "cpu us of encoding": encoding_us,
        "cpu us of decoding": cpu_us() - cpu_before,
        "bytes": float(len(data)),
    }


async def host_rows(hosts: int) -> Values:
    """Measure the memory of host rows, listing the live members, and handling a changed row."""
    values: Values = {}
    texts = [json_bytes(asdict(host_row(i))) for i in range(hosts)]
    with record_memory(values, "memory KiB"):
        mirror = make_mirror()
        mirror.apply_rows([Row(**json.loads(text)) for text in texts], source="benchmark")
        list(mirror.host_rows())
    own_row = HostRow.from_json(json.loads(texts[0])["value"])
    members = Members(
        row=lambda: own_row,
        seeds=(),
        mirror=mirror,
        hub=make_null_hub(),
        table=None,  # type: ignore[arg-type]
        clock=BootClock(),
    )
    values["cpu us of live()"] = cpu_us_per_call(members.live)
    values["cpu us per row change"] = cpu_us_per_call(members._update_members)
    values["table bytes"] = float(sum(map(len, texts)))
    return values


async def history_rows(rows: int) -> Values:
    """Measure rows of the configuration's history: memory, and the scan to answer ``RowsSince``."""
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
    with record_memory(values, "memory KiB"):
        mirror = make_mirror()
        mirror.apply_rows([Row(**json.loads(text)) for text in texts], source="benchmark")
    since = rows + 1
    values["cpu us of RowsSince"] = cpu_us_per_call(
        lambda: tuple(row for row in mirror._rows.values() if row.revision > since)
    )
    values["table bytes"] = float(sum(map(len, texts)))
    return values


# Requests


async def ingress_request(requests: int) -> Values:
    """Measure callers' requests at an ingress that forwards all of them to a holder."""
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
    async with first_helper().running("hubs", 1, "") as members, trio.open_nursery() as nursery:
        hub = make_hub("main@1", counts)
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
        config = hypercorn_config(
            address="127.0.0.1:0", max_header_bytes=16_384, header_timeout=5.0
        )
        urls = await nursery.start(
            partial(serve_application, ingress.handle, config, stop=trio.Event())
        )
        address = urls[0].removeprefix("http://")
        async with second_helper().running("call", address, 50, 1):
            pass
        cpu_before, sent_before, received_before = cpu_us(), counts["out"], counts["in"]
        async with second_helper().running("call", address, requests, 10) as answered:
            values = {
                "cpu us": cpu_us() - cpu_before,
                "peer bytes out": float(counts["out"] - sent_before),
                "peer bytes in": float(counts["in"] - received_before),
            }
        if answered != requests:
            raise RuntimeError(f"{answered} of {requests} requests were answered with 200")
        nursery.cancel_scope.cancel()
    return values


async def holder_request(requests: int) -> Values:
    """Measure requests from an ingress at the holder; the responses of the upstream are canned."""
    backend = CannedBackend(lambda request: UPSTREAM_RESPONSE)
    async with trio.open_nursery() as nursery:
        dispatcher = LocalDispatcher(
            authority=PermissiveAuthority(),
            clock=BootClock(),
            metrics=NullMetrics(),
            rules=lambda: RULES,
            backend=backend,
        )
        await nursery.start(dispatcher.run)
        hub = make_hub("main@1", Counter())
        hub.on_work(dispatcher.serve)
        await nursery.start(hub.run)
        async with first_helper().running("peer work", hub.address, 50, 1):
            pass
        sent_before, received_before, cpu_before = (
            backend.counts["out"],
            backend.counts["in"],
            cpu_us(),
        )
        async with first_helper().running("peer work", hub.address, requests, 10):
            values = {
                "cpu us": cpu_us() - cpu_before,
                "upstream bytes out": float(backend.counts["out"] - sent_before),
                "upstream bytes in": float(backend.counts["in"] - received_before),
            }
        nursery.cancel_scope.cancel()
    return values


async def upstream_connection(connections: int) -> Values:
    """Measure the memory that a holder uses for idle connections to an upstream."""
    async with first_helper().running("upstreams", 1) as addresses:
        memory_before = resident_kib()
        pool = ConnectionPool(clock=BootClock(), backend=httpcore.TrioBackend())
        idle_connections = [
            await pool.acquire(
                addresses[0], limit=10_000, recent_only=False, new_only=True, timeout=2
            )
            for _ in range(connections)
        ]
        for connection in idle_connections:
            await connection.http.request("GET", f"http://{addresses[0]}/health")
            pool.release(connection)
        values = {"rss KiB": resident_kib() - memory_before}
        await pool.close_all_idle()
    return values


async def caller_connection(connections: int) -> Values:
    """Measure the memory that a server uses for idle connections of callers."""

    async def respond(scope: Any, receive: Any, send: Any) -> None:
        headers = [(n.encode(), v.encode()) for n, v in RESPONSE_HEADERS]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": RESPONSE_BODY, "more_body": False})

    config = hypercorn_config(address="127.0.0.1:0", max_header_bytes=16_384, header_timeout=60.0)
    async with trio.open_nursery() as nursery:
        urls = await nursery.start(partial(serve_application, respond, config, stop=trio.Event()))
        memory_before = resident_kib()
        async with first_helper().running("connect", urls[0].removeprefix("http://"), connections):
            values = {"rss KiB": resident_kib() - memory_before}
        nursery.cancel_scope.cancel()
    return values


# At-most-once records, decisions, configuration


async def once_record(records: int) -> Values:
    """Measure records of at-most-once work: at the holder, as copies and at the successor."""

    def make_records() -> OnceRecords:
        return OnceRecords(
            clock=BootClock(),
            rules=lambda: RULES,
            memory_since=lambda upstream: 0.0,
            memory_limit=1 << 40,
        )

    keys = [uuid7() for _ in range(records)]

    def fill(once_records: OnceRecords) -> None:
        for index, key in enumerate(keys):
            unit = UnitId(SERVICE, "default", index % 83)
            entry, _ = once_records.claim(
                upstream=REQUEST.upstream,
                unit=unit,
                caller=f"couple-{index}",
                idempotency_key=str(key),
            )
            entry.state = OnceState.STARTED
            once_records.complete(entry, status=200, headers=RESPONSE_HEADERS, body=bytes(200))

    values: Values = {}
    cpu_before = cpu_us()
    holder_records = make_records()
    fill(holder_records)
    values["cpu us"] = cpu_us() - cpu_before
    completed = holder_records.export(upstream=REQUEST.upstream, units=None)
    accounted_kib = holder_records.memory_bytes / 1024
    started = [
        replace(record, state=OnceState.STARTED, headers=(), body=None) for record in completed
    ]
    sent_bytes = 0
    cpu_before = cpu_us()
    messages = []
    for record in itertools.chain(started, completed):
        call = KeepRecords(
            upstream=REQUEST.upstream,
            term=4,
            records=(record,),
            complete=False,
            memory_since_ms=1_790_000_000_000,
        )
        messages.append(encode(CallEnvelope(call_id=1, call=call)))
        sent_bytes += len(messages[-1]) + 4  # 4 bytes of frame length
    values["cpu us of encoding both copies"] = cpu_us() - cpu_before
    successor = make_records()
    cpu_before = cpu_us()
    for data in messages:
        envelope = decode(data)
        assert isinstance(envelope, CallEnvelope) and isinstance(envelope.call, KeepRecords)
        successor.merge(upstream=REQUEST.upstream, records=envelope.call.records)
    values["cpu us at successor"] = cpu_us() - cpu_before
    values["bytes to successor"] = float(sent_bytes)
    del holder_records, successor, messages, started, completed
    with record_memory(values, "memory KiB"):
        kept_records = make_records()
        fill(kept_records)
    values["accounted KiB"] = accounted_kib
    return values


async def route(units: int) -> Values:
    """Measure one routing decision."""
    router = MirrorRouter(mirror=filled_mirror(units=units, upstreams=790))
    keys = itertools.cycle([f"venue-{random.randrange(10**9)}" for _ in range(5000)])
    return {"cpu us": cpu_us_per_call(lambda: router.route(service=SERVICE, key=next(keys)))}


async def placement(upstreams: int) -> Values:
    """Measure one placement decision, and one check whether an upstream has too many units."""
    mirror = filled_mirror(units=max(upstreams * 8, 640), upstreams=upstreams)
    placement_rule = RendezvousPlacement(mirror=mirror)
    unit = UnitId(SERVICE, "default", 17)
    own_upstream = UpstreamId(SERVICE, "bookings-0000")
    weighted_upstreams = [(f"{SERVICE}/bookings-{i:04}", 16.0) for i in range(upstreams)]
    return {
        "cpu us": cpu_us_per_call(lambda: placement_rule.choose(unit, without=())),
        "cpu us of hashing alone": cpu_us_per_call(
            lambda: rendezvous_owner(str(unit), weighted_upstreams)
        ),
        "cpu us of the surplus check": cpu_us_per_call(
            lambda: placement_rule.surplus(own_upstream, 16)
        ),
    }


async def configuration(upstreams: int) -> Values:
    """Measure a configuration: its size, decoding, encoding and parsing, and memory."""
    row = config_row(upstreams, shards=65_536)
    data = encode(Rows(rows=(row,), revision=0))
    values: Values = {"bytes": float(len(json_bytes(asdict(row))))}
    values["cpu us of decoding"] = cpu_us_per_call(lambda: decode(data))
    values["cpu us of encoding"] = cpu_us_per_call(lambda: encode(Rows(rows=(row,), revision=0)))
    parsed = ConfigRow.from_json(row.value)
    values["cpu us of parsing"] = cpu_us_per_call(lambda: Configuration(row=parsed))
    with record_memory(values, "memory KiB"):
        mirror = make_mirror()
        mirror.apply_rows([Row(**json.loads(json_bytes(asdict(row))))], source="benchmark")
    return values


# Whole hosts in one process


@dataclass
class Fleet:
    """Entry hosts that run in this process, connected over loopback.

    ``counts`` has their messages by kind, the bytes of their connections, and their writes.
    """

    counts: Counter[str] = field(default_factory=Counter)
    hosts: list[EntryHost] = field(default_factory=list)
    scopes: list[trio.CancelScope] = field(default_factory=list)
    store: TableStore = field(default_factory=TableStore)

    def units_of(self, upstream: str) -> int:
        """Return the number of units that an upstream owns according to the table."""
        count = 0
        for row in self.store.scan("units/", since=0):
            count += sum(unit[0] == upstream for unit in row.value["units"].values())
        return count

    def settled(self, alive: set[str]) -> bool:
        """Return whether every upstream is ready and has a live holder and a live successor."""
        rows = self.store.scan("upstream/", since=0)
        return bool(rows) and all(
            row.value["holder"] in alive
            and row.value["successor"] in alive
            and row.value["health"] == "ready"
            for row in rows
        )

    def moving(self) -> bool:
        """Return whether any unit still has a previous owner, as it has during a move."""
        return any(
            unit[1]
            for row in self.store.scan("units/", since=0)
            for unit in row.value["units"].values()
        )

    async def wait(self, condition: Callable[[], bool], what: str, limit: float = 25.0) -> None:
        """Wait for a condition. Raise ``RuntimeError`` after ``limit`` seconds."""
        with trio.move_on_after(limit):
            while not condition():
                await trio.sleep(0.02)
            return
        raise RuntimeError(f"timed out waiting for {what}")


@contextlib.contextmanager
def counted_messages(counts: Counter[str]) -> Any:
    """Count by kind the messages, and their bytes, that this process sends during the block.

    ``Hello``, ``Leaving`` and most messages of forwarded requests are not counted.
    """
    original_encode, original_push = encode, _connection.Connection.push

    def counting_encode(message: Any) -> bytes:
        data = original_encode(message)
        content = getattr(message, "call", None) or getattr(message, "reply", None) or message
        counts[type(content).__name__] += 1
        counts["bytes " + type(content).__name__] += len(data) + 4  # 4 bytes of frame length
        return data

    def counting_push(self: Any, complete: bytes, *, incomplete: bytes) -> None:
        counts["Rows"] += 1
        counts["bytes Rows"] += len(complete) + 4  # 4 bytes of frame length
        original_push(self, complete, incomplete=incomplete)

    vars(_connection)["encode"] = counting_encode
    _connection.Connection.push = counting_push  # type: ignore[method-assign]
    try:
        yield
    finally:
        vars(_connection)["encode"] = original_encode
        _connection.Connection.push = original_push  # type: ignore[method-assign]


def count_writes(store: TableStore, counts: Counter[str]) -> None:
    """Count the transactions of a store, and the rows and bytes that they write."""
    original = store.transact

    def counting_transact(*, conditions: Any, puts: Any) -> Any:
        rows = original(conditions=conditions, puts=puts)
        counts["writes"] += 1
        counts["rows written"] += len(rows)
        counts["bytes written"] += sum(len(json_bytes(row.value)) for row in rows)
        return rows

    store.transact = counting_transact  # type: ignore[method-assign]


@contextlib.asynccontextmanager
async def running_fleet(hosts: int, upstreams: int, shards: int) -> Any:
    """Run a fleet in one data centre.

    It is yielded with its inventory when every upstream has a successor and all units are assigned,
    after a wait of at most 20 s until no row changes and no unit moves.
    """
    fleet = Fleet()
    count_writes(fleet.store, fleet.counts)
    with counted_messages(fleet.counts):
        async with first_helper().running("upstreams", upstreams) as addresses:
            inventory = dict(config_row(upstreams, shards=shards, centres=1).value["inventory"])
            for entry, address in zip(
                inventory["services"][0]["upstreams"], addresses, strict=True
            ):
                entry["address"] = address
            fleet.store.transact(
                conditions={"config/current": 0},
                puts={"config/current": config_row_with(inventory, 1).value},
            )
            async with trio.open_nursery() as nursery:
                for index in range(hosts):
                    await _start_host(nursery, fleet, index)
                alive = {host.member for host in fleet.hosts}
                await fleet.wait(lambda: fleet.settled(alive), "a successor for every upstream")
                await fleet.wait(
                    lambda: len(fleet.store.scan("units/", since=0)) * SHARDS_PER_ROW >= shards,
                    "the assignment of all units",
                )
                await _wait_for_quiet_store(fleet)
                yield fleet, inventory
                nursery.cancel_scope.cancel()


async def _wait_for_quiet_store(fleet: Fleet, seconds: float = 1.0, limit: float = 20.0) -> None:
    """Wait until no row changes and no unit moves for ``seconds``, but at most for ``limit``."""
    with trio.move_on_after(limit):
        revision, unchanged_since = -1, trio.current_time()
        while trio.current_time() - unchanged_since < seconds:
            if fleet.store.revision != revision or fleet.moving():
                revision, unchanged_since = fleet.store.revision, trio.current_time()
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
    """Measure a data centre with an upstream of 64 units per host: idle, then when a host is lost.

    The first five quantities are per idle host and second. The others describe the loss of a host
    that holds an upstream: the upstreams that it was holder or successor of, the seconds until all
    upstreams have both again, and sums over all hosts until nothing is written any more.
    """
    async with running_fleet(hosts, hosts, shards=SHARDS_PER_ROW * hosts) as (deployment, _):
        counts_before, cpu_before, started_at = (
            Counter(deployment.counts),
            cpu_us(),
            time.perf_counter(),
        )
        await trio.sleep(2.0)
        host_seconds = (time.perf_counter() - started_at) * hosts
        cpu_us_per_s = (cpu_us() - cpu_before) / host_seconds
        used = deployment.counts - counts_before
        values = {
            "idle: cpu us/s": cpu_us_per_s,
            # The dialling host counts both directions, so each sum has every byte once.
            "idle: peer bytes/s": (used["out"] + used["in"]) / host_seconds,
            "idle: upstream bytes/s": (used["upstream out"] + used["upstream in"]) / host_seconds,
            "idle: Heartbeat/s": used["Heartbeat"] / host_seconds,
            "idle: RowsSince/s": used["RowsSince"] / host_seconds,
        }
        values |= await _measure_holder_loss(deployment)
    return values


async def _measure_holder_loss(deployment: Fleet) -> Values:
    rows = deployment.store.scan("upstream/", since=0)
    holders = Counter(row.value["holder"] for row in rows)
    successors = Counter(row.value["successor"] for row in rows)
    index = next(i for i, host in enumerate(deployment.hosts) if host.member in holders)
    lost = deployment.hosts[index].member
    counts_before = Counter(deployment.counts)
    deployment.scopes[index].cancel()
    alive = {host.member for host in deployment.hosts} - {lost}
    started_at = trio.current_time()
    await deployment.wait(lambda: deployment.settled(alive), "a new holder and successor")
    recovery_s = trio.current_time() - started_at
    await _wait_for_quiet_store(deployment)
    used = deployment.counts - counts_before
    kinds = ("KeepRecords", "KeepRows", "TakenOver", "Done", "Rows")
    return {
        "loss: upstreams held": float(holders[lost]),
        "loss: upstreams succeeded": float(successors[lost]),
        "loss: writes": float(used["writes"]),
        "loss: TakenOver": float(used["TakenOver"]),
        "loss: KeepRows and KeepRecords": float(used["KeepRows"] + used["KeepRecords"]),
        "loss: Rows messages": float(used["Rows"]),
        "loss: bytes": float(sum(used[f"bytes {kind}"] for kind in kinds)),
        "loss: seconds until a successor": recovery_s,
    }


MOVE_CALLS = ("KeepRows", "Release", "AskRelease")


async def unit_move(units: int) -> Values:
    """Measure the moves of all units of a leaving upstream to three others, with six hosts.

    The quantities are scaled from the number of units that the upstream owned to ``units``.
    """
    async with running_fleet(6, 4, shards=units * 4) as (deployment, inventory):
        leaving = inventory["services"][0]["upstreams"][0]
        leaving_id = f"{SERVICE}/{leaving['name']}"
        owned_before = deployment.units_of(leaving_id)
        leaving["state"] = "leaving"
        counts_before = Counter(deployment.counts)
        deployment.store.transact(
            conditions={"config/current": 1},
            puts={"config/current": config_row_with(inventory, 2).value},
        )
        await deployment.wait(
            lambda: deployment.units_of(leaving_id) == 0 and not deployment.moving(),
            "the move of all units",
            60.0,
        )
        await trio.sleep(0.3)
        used = deployment.counts - counts_before
    scale = units / owned_before
    calls = sum(used[kind] for kind in MOVE_CALLS)
    # One write, of one row, is that of the configuration.
    return {
        "writes": (used["writes"] - 1) * scale,
        "rows written": (used["rows written"] - 1) * scale,
        "calls": calls * scale,
        "Rows messages": used["Rows"] * scale,
        "bytes of calls": sum(used[f"bytes {kind}"] for kind in MOVE_CALLS) * scale,
        "bytes of Rows": used["bytes Rows"] * scale,
    }


PEER_COUNTS = (3, 12, 48, 190)
UNIT_COUNTS = (1_024, 10_240, 65_536)
MEASUREMENTS = (
    Measurement(name="heartbeat", x="partner", sizes=PEER_COUNTS, run=heartbeat, fresh=True),
    Measurement(name="heartbeat-answer", x="holder", sizes=PEER_COUNTS, run=heartbeat_answer),
    Measurement(name="peer-dial", x="connection", sizes=(50, 100, 200), run=peer_dial),
    Measurement(name="peer-call", x="call", sizes=(200, 400, 800), run=peer_call),
    Measurement(name="row-push", x="host", sizes=(3, 6, 12, 24), run=row_push),
    Measurement(name="renew-holder", x="unit", sizes=(64, 1_024, 10_240), run=renew_holder),
    Measurement(name="renew-upstream", x="unit", sizes=(64, 1_024, 10_240), run=renew_upstream),
    Measurement(name="move-loop", x="unit", sizes=(64, 1_024, 10_240), run=move_loop),
    Measurement(name="mirror-poll", x="changed row", sizes=(0, 4, 16, 64), run=mirror_poll),
    Measurement(name="mirror-fill", x="unit", sizes=UNIT_COUNTS, run=mirror_fill),
    Measurement(name="row-change", x="row", sizes=(50, 100, 200), run=row_change),
    Measurement(name="keep-rows", x="unit", sizes=UNIT_COUNTS, run=keep_rows),
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
    Measurement(name="route", x="unit", sizes=UNIT_COUNTS, run=route),
    Measurement(name="placement", x="upstream", sizes=(12, 48, 190, 790), run=placement),
    Measurement(name="configuration", x="upstream", sizes=(12, 48, 190, 790), run=configuration),
    Measurement(name="fleet", x="host", sizes=(3, 6, 12), run=fleet),
    Measurement(name="unit-move", x="unit", sizes=(16, 64, 256), run=unit_move),
)


def run_worker(pipe: Pipe, name: str, repeats: int) -> None:
    """Run repeats of a measurement and send their points, or the traceback of an error."""
    discard_logs()
    (measurement,) = (m for m in MEASUREMENTS if m.name == name)

    async def main() -> list[list[Values]]:
        return [[await measurement.run(size) for size in measurement.sizes] for _ in range(repeats)]

    try:
        pipe.send(trio.run(main))
    except Exception as exc:
        pipe.send("".join(traceback.format_exception(exc)))
    finally:
        for helper in _helpers:
            helper.close()


WORKER_TIMEOUT_S = 120.0
"""Limit for all repeats that a process runs; the slowest process took 38 s on a busy machine."""


def collect_runs(measurement: Measurement, repeats: int) -> list[list[Values]]:
    """Run all repeats of a measurement in worker processes and return their points.

    Raise ``RuntimeError`` if a repeat fails or a process takes too long, and ``EOFError`` if a
    process ends without a result.
    """
    context = multiprocessing.get_context("spawn")
    runs: list[list[Values]] = []
    for count in [1] * repeats if measurement.fresh else [repeats]:
        parent_pipe, child_pipe = context.Pipe()
        process = context.Process(target=run_worker, args=(child_pipe, measurement.name, count))
        process.start()
        if not parent_pipe.poll(WORKER_TIMEOUT_S):
            process.terminate()
            process.join()
            raise RuntimeError(f"{measurement.name}: no result within {WORKER_TIMEOUT_S:.0f} s")
        result = parent_pipe.recv()
        process.join()
        if isinstance(result, str):
            raise RuntimeError(f"{measurement.name}: {result}")
        runs.extend(result)
    return runs


def rounded(value: float) -> str:
    """Format a number with three significant digits, or as a whole number from 1,000 on."""
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"


def markdown(slopes: list[Slope]) -> str:
    """Return the slopes as a Markdown table."""
    lines = [
        "| measurement | quantity | slope | per | range over repeats | intercept | off the line |"
        " points |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for s in slopes:
        points = ", ".join(f"{size}: {rounded(point)}" for size, point in s.points.items())
        lines.append(
            f"| `{s.name}` | {s.quantity} | {rounded(s.slope)} | {s.x} | {rounded(s.low)} to "
            f"{rounded(s.high)} | {rounded(s.intercept)} | {s.off_line:.0%} | {points} |"
        )
    return "\n".join(lines) + "\n"


def save_results(
    slopes: list[Slope], failures: list[str], json_file: Path | None, table_file: Path | None
) -> None:
    """Write the results so far to the files that are given, so that an aborted run keeps them."""
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
@click.option("--quick", is_flag=True, help="Run one repeat only.")
@click.option(
    "--json", "json_file", type=click.Path(path_type=Path), help="File for the results as JSON."
)
@click.option(
    "--markdown", "table_file", type=click.Path(path_type=Path), help="File for the table."
)
def main(
    only: tuple[str, ...], quick: bool, json_file: Path | None, table_file: Path | None
) -> None:
    """Measure slopes and print them as a Markdown table."""
    known = {measurement.name for measurement in MEASUREMENTS}
    if unknown := sorted(set(only) - known):
        raise click.UsageError(
            f"no measurement is named {', '.join(unknown)}; known: {', '.join(sorted(known))}"
        )
    slopes: list[Slope] = []
    failures = []
    started_at = time.perf_counter()
    for measurement in MEASUREMENTS:
        if only and measurement.name not in only:
            continue
        measurement_started = time.perf_counter()
        try:
            runs = collect_runs(measurement, 1 if quick else measurement.repeats)
        except (RuntimeError, EOFError) as exc:
            failures.append(f"{measurement.name}: {exc}")
            click.echo(f"{measurement.name} failed: {exc}", err=True)
            continue
        slopes.extend(fit_lines(measurement, runs, measurement.sizes))
        click.echo(
            f"{measurement.name}: {time.perf_counter() - measurement_started:.1f} s", err=True
        )
        save_results(slopes, failures, json_file, table_file)
    click.echo(markdown(slopes))
    click.echo(f"{time.perf_counter() - started_at:.0f} s in all", err=True)
    if failures:
        raise click.ClickException("some measurements failed")


if __name__ == "__main__":
    main()

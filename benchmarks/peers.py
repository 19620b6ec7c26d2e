"""Measures processor time and bytes of peer connections between two processes on loopback.

Usage: ``PYTHONPATH=src python benchmarks/peers.py [--requests 5000] [--mib 256] [--seconds 10]``
"""

from __future__ import annotations

import dataclasses
import multiprocessing
import time
from typing import TYPE_CHECKING
from typing import Any

import click
import trio

from acaciasaddle.clock import BootClock
from acaciasaddle.model import BodySource
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
from acaciasaddle.peers import TcpPeerHub
from acaciasaddle.peers import connect_tcp
from acaciasaddle.wire import Failed
from acaciasaddle.wire import Handover

if TYPE_CHECKING:
    from multiprocessing.connection import Connection as Pipe

    from acaciasaddle.model import Headers
    from acaciasaddle.wire import Call
    from acaciasaddle.wire import Reply

CLIENT = "client@1"
SERVER = "server@1"
CHUNK = bytes(65_536)
CHUNKS_PER_MIB = 16
CPU_TIME_CALL = Handover(upstream=UpstreamId("a", "b"), term=0)
"""Call that asks for the server's processor time, which ``Failed.reason`` of the reply carries."""

REQUEST = WorkRequest(
    request_id="0190c2d8-7a4f-7b1e-9d61-0b3c8f2a1e55",
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
    target="/bookings/venue-4711/availability?from=2026-12-01",
    headers=(
        ("accept", "application/json"),
        ("host", "entry"),
        ("user-agent", "load/1"),
        ("x-client-id", "couple-88"),
    ),
    body_length=0,
    budget_ms=250,
)
HEADERS = (("content-type", "application/json"), ("content-length", "200"))


class CountingStream(trio.abc.Stream):
    """Counts the bytes of a stream in both directions."""

    def __init__(self, inner: trio.abc.Stream, counts: list[int]) -> None:
        self._inner = inner
        self._counts = counts

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        self._counts[0] += len(data)
        await self._inner.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        await self._inner.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes | bytearray:
        data = await self._inner.receive_some(max_bytes)
        self._counts[1] += len(data)
        return data

    async def aclose(self) -> None:
        await self._inner.aclose()


class ChunkedBody(BodySource):
    """A body of ``count`` chunks of 64 KiB."""

    def __init__(self, count: int) -> None:
        self._remaining = count

    async def receive(self) -> bytes:
        if self._remaining == 0:
            return b""
        self._remaining -= 1
        return CHUNK


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


def make_hub(member: str, counts: list[int]) -> TcpPeerHub:
    """Return a hub on a free loopback port; bytes of connections that it dials are counted."""

    async def connect(address: str) -> trio.abc.Stream:
        return CountingStream(await connect_tcp(address), counts)

    return TcpPeerHub(
        member=member,
        data_centre="bench",
        address="127.0.0.1:0",
        clock=BootClock(),
        metrics=NullMetrics(),
        connect=connect,
    )


async def serve_request(request: WorkRequest, body: BodySource, response: ResponseSink) -> None:
    """Read the body and respond with 200 bytes."""
    while await body.receive():
        pass
    await response.head(200, HEADERS)
    await response.data(CHUNK[:200])
    await response.end()


async def reply_with_cpu_time(member: str, call: Call) -> Reply:
    """Reply with the processor time of this process in seconds."""
    return Failed(reason=str(time.process_time()), step="")


def serve(pipe: Pipe) -> None:
    """Send the server's address through the pipe and run it until something is received."""

    async def main() -> None:
        hub = make_hub(SERVER, [0, 0])
        hub.on_work(serve_request)
        hub.on_call(Handover, reply_with_cpu_time)
        hub.set_digest(config_version=2_600, revision=90_210)
        async with trio.open_nursery() as nursery:
            await nursery.start(hub.run)
            pipe.send(hub.address)
            await trio.to_thread.run_sync(pipe.recv)
            nursery.cancel_scope.cancel()

    configure_logging(level="warning")
    trio.run(main)


class PeerBenchmark:
    """Measures the connection to the server from the client's side."""

    def __init__(self, hub: TcpPeerHub, counts: list[int]) -> None:
        self.hub = hub
        self.counts = counts

    async def read_counters(self) -> tuple[float, float, int, int]:
        """Return processor seconds of client and server, and bytes sent and received."""
        reply: Any = await self.hub.call(SERVER, CPU_TIME_CALL, timeout=5)
        return time.process_time(), float(reply.reason), *self.counts

    async def measure(self, label: str, count: int, action: Any) -> None:
        """Run an action on ``count`` items; print processor time and bytes per item, and a rate."""
        before = await self.read_counters()
        started_at = time.perf_counter()
        await action()
        elapsed_s = time.perf_counter() - started_at
        after = await self.read_counters()
        client, server, sent, received = (
            (b - a) / count for a, b in zip(before, after, strict=True)
        )
        click.echo(
            f"{label:42} client {client * 1e6:8.1f} us, server {server * 1e6:8.1f} us, "
            f"{sent:10.1f} bytes out, {received:8.1f} in, {count / elapsed_s:9.1f} per s"
        )

    async def send_requests(self, count: int, tasks: int, chunks: int) -> None:
        """Send ``count`` requests with bodies of ``chunks`` chunks, ``tasks`` at a time."""
        request = dataclasses.replace(REQUEST, body_length=-1 if chunks else 0)

        async def send_share() -> None:
            for _ in range(count // tasks):
                await self.hub.work(SERVER, request, ChunkedBody(chunks), DiscardingSink())

        async with trio.open_nursery() as nursery:
            for _ in range(tasks):
                nursery.start_soon(send_share)

    async def push_rows(self, row: Row, count: int) -> None:
        """Push a row ``count`` times, one per message, and wait until all have been sent."""
        for _ in range(count):
            self.hub.push_rows((row,))
        last_sent = -1
        while self.counts[0] != last_sent:
            last_sent = self.counts[0]
            await trio.sleep(0.1)


def upstream_row() -> Row:
    """Return a row that names the holder of an upstream."""
    row = UpstreamRow(
        holder="entry-07@5c1d2a90", successor="entry-11@0d99ab31", term=41, health="ready"
    )
    return Row(
        key="upstream/bookings/u-07", version=41, revision=90_210, value=row.to_json("w" * 36)
    )


def units_row() -> Row:
    """Return a row with 64 shards."""
    units = {
        shard: UnitAssignment(
            owner=f"bookings/u-{shard % 30:02}",
            previous="",
            epoch=3,
            since=1_790_000_000,
            reason="first",
        )
        for shard in range(64)
    }
    value = UnitsRow(shards=256, units=units).to_json("w" * 36)
    return Row(key="units/bookings/default/0", version=9, revision=90_211, value=value)


async def measure_all(address: str, requests: int, mib: int, seconds: float) -> None:
    """Print all measurements."""
    counts = [0, 0]
    hub = make_hub(CLIENT, counts)
    async with trio.open_nursery() as nursery:
        await nursery.start(hub.run)
        hub.set_digest(config_version=2_600, revision=90_210)
        hub.set_members({SERVER: address})
        benchmark = PeerBenchmark(hub, counts)
        await benchmark.send_requests(200, 1, 0)
        for tasks in (1, 50):
            label = f"request without body, {tasks} at a time"
            await benchmark.measure(
                label,
                requests,
                lambda task_count=tasks: benchmark.send_requests(requests, task_count, 0),
            )
        for streams in (1, 8):
            label = f"MiB of body, {streams} streams"
            chunks = mib * CHUNKS_PER_MIB // streams
            await benchmark.measure(
                label,
                mib,
                lambda task_count=streams, chunk_count=chunks: benchmark.send_requests(
                    task_count, task_count, chunk_count
                ),
            )
        for name, row in (("upstream", upstream_row()), ("units, 64 shards", units_row())):
            label = f"row pushed ({name})"
            await benchmark.measure(label, 500, lambda row=row: benchmark.push_rows(row, 500))
        await benchmark.measure("second without a partner", seconds, lambda: trio.sleep(seconds))
        hub.set_partners(frozenset({SERVER}))
        await benchmark.measure("second with a partner", seconds, lambda: trio.sleep(seconds))
        nursery.cancel_scope.cancel()


@click.command()
@click.option("--requests", default=5000, help="Number of requests without body.")
@click.option("--mib", default=256, help="Total size of the bodies in MiB.")
@click.option("--seconds", default=10, help="Seconds to measure without a partner, then with one.")
def main(requests: int, mib: int, seconds: int) -> None:
    """Measure peer connections between two processes on loopback."""
    configure_logging(level="warning")
    parent_pipe, child_pipe = multiprocessing.Pipe()
    context = multiprocessing.get_context("spawn")
    server = context.Process(target=serve, args=(child_pipe,))
    server.start()
    try:
        trio.run(measure_all, parent_pipe.recv(), requests, mib, float(seconds))
    finally:
        parent_pipe.send(None)
        server.join()


if __name__ == "__main__":
    main()

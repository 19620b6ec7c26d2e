"""Measures the path of a request through real entry host processes on loopback.

Usage: ``PYTHONPATH=src python benchmarks/entry_path.py [--json FILE] [--only PART]``

Prints Markdown. Processor time comes from /proc/<pid>/stat, less that of the idle process, and is
the figure to compare: on a shared machine latencies and rates vary from run to run. Latencies are
given next to those of direct calls to the upstream in the same run, and the ratio is that of the
processor time of the entry hosts to the upstream's own for a direct call.
"""

from __future__ import annotations

import gc
import json
import os
import random
import signal
import statistics
import sys
import tempfile
import time
import timeit
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import click
import trio
import trio.testing

from acaciasaddle.clock import BootClock
from acaciasaddle.config import parse_rules
from acaciasaddle.dispatch._queue import UpstreamQueue
from acaciasaddle.dispatch._waiting import SlotRequest
from acaciasaddle.emulator._deployments import UTILITY_RULES
from acaciasaddle.emulator._deployments import utility_plan
from acaciasaddle.emulator._fleet import Fleet
from acaciasaddle.emulator._fleet import FleetPlan
from acaciasaddle.emulator._fleet import HostPlan
from acaciasaddle.emulator._fleet import UpstreamPlan
from acaciasaddle.emulator._json_http import request_json
from acaciasaddle.mirror import Mirror
from acaciasaddle.model import CHUNK_SHARDS
from acaciasaddle.model import ConfigRow
from acaciasaddle.model import Row
from acaciasaddle.model import UnitAssignment
from acaciasaddle.model import UnitId
from acaciasaddle.model import UnitsRow
from acaciasaddle.model import UpstreamId
from acaciasaddle.model import UpstreamRow
from acaciasaddle.observe import NullMetrics
from acaciasaddle.observe import configure_logs
from acaciasaddle.ownership import MirrorRouter
from acaciasaddle.peers import TcpPeerHub
from acaciasaddle.peers import connect_tcp
from acaciasaddle.peers import listen_tcp

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

TICKS = os.sysconf("SC_CLK_TCK")
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024
PLACE = "tshwane-north"
BASE_HOSTS = frozenset(f"entry-{index:02}" for index in (0, 1, 2, 3, 8, 9))
"""Hosts that run the version compared with: one or two of the three in each data centre."""

KEYS = 60
CONNECTIONS = 16
LATENCY_CALLS = 400
CALLER_CONNECTIONS = 800
SETTLE_S = 2.0
START_LIMIT_S = 60.0
MEMORY_SHARDS = 65_536
TARGET_RATE = 2_785
TARGET_MS = 10.0
SHARE_OF_A_CORE = 0.7
"""Use of a process at which the number of processes for the target rate is computed."""

ENTRY_PROCESS = Path(__file__).with_name("_entry_process.py")


def processor_seconds(pid: int) -> float:
    """Return the processor time of a process so far, in user and system mode."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_kb(pid: int) -> int:
    """Return the resident memory of a process in KB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_KB


def quantiles(seconds: list[float]) -> dict[str, float]:
    """Return p50 and p99 in milliseconds."""
    cuts = statistics.quantiles(seconds, n=100)
    return {"p50_ms": cuts[49] * 1000, "p99_ms": cuts[98] * 1000}


class BenchFleet(Fleet):
    """A fleet whose entry hosts count their bytes or profile themselves."""

    mode: str = ""
    base: Path | None = None

    async def _open(self, name: str, command: list[str], **options: Any) -> trio.Process:
        if self.mode and command[1:4] == ["-m", "acaciasaddle", "run"]:
            report = str(self.report(name))
            command = [sys.executable, str(ENTRY_PROCESS), command[4], report]
            command += ["profile"] if self.mode == "profile" else []
        if self.base is not None and name in BASE_HOSTS:
            command = ["/usr/bin/env", f"PYTHONPATH={self.base}", *command]
        return await super()._open(name, command, **options)

    def report(self, host: str) -> Path:
        """Return the file that an entry host writes after SIGUSR1."""
        return self.directory / f"{host}.report"

    async def signal_report(self, host: str, *, wait: bool = True) -> None:
        """Send SIGUSR1 to an entry host and wait for its report."""
        self.report(host).unlink(missing_ok=True)
        self.hosts[host].process.send_signal(signal.SIGUSR1)
        while wait and not self.report(host).exists():
            await trio.sleep(0.01)


@asynccontextmanager
async def started(
    plan: FleetPlan, mode: str = "", base: Path | None = None
) -> AsyncIterator[BenchFleet]:
    """Start a fleet with its configuration in force and all units served."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = BenchFleet(plan=plan, directory=Path(directory))
        fleet.mode, fleet.base = mode, base
        try:
            await fleet.start()
            await fleet.wait_in_force(await fleet.apply())
            await fleet.wait_served(limit=START_LIMIT_S)
            # Holders that were busy while all processes started may be taken over from until now.
            await trio.sleep(SETTLE_S)
            yield fleet
        finally:
            await fleet.stop()


def two_hosts() -> FleetPlan:
    """Return a deployment of two hosts in one data centre and four upstreams without work time."""
    return FleetPlan(
        data_centres=(PLACE,),
        upstreams=tuple(
            UpstreamPlan(
                service="bookings",
                name=f"bookings-{index:02}",
                data_centre=PLACE,
                slots=16,
                work_ms=0,
            )
            for index in range(4)
        ),
        hosts=(
            HostPlan(host_id="entry-00", data_centre=PLACE),
            HostPlan(host_id="entry-04", data_centre=PLACE),
        ),
        rules={**UTILITY_RULES, "kinds": UTILITY_RULES["kinds"][:3]},
    )


@dataclass(frozen=True, slots=True)
class Call:
    """A request ready to be sent, and where to."""

    address: str
    data: bytes


class Connection:
    """A keep-alive HTTP connection that does as little as possible per request."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._stream: trio.SocketStream | None = None

    async def call(self, data: bytes) -> float:
        """Send a request and return the seconds until its answer is complete."""
        started = time.perf_counter()
        if self._stream is None:
            host, _, port = self._address.rpartition(":")
            self._stream = await trio.open_tcp_stream(host, int(port))
        await self._stream.send_all(data)
        answer = bytearray()
        while (end := answer.find(b"\r\n\r\n")) < 0:
            answer += await self._receive()
        head = bytes(answer[:end])
        if not head.startswith(b"HTTP/1.1 200"):
            raise RuntimeError(f"unexpected answer: {bytes(answer)!r}")
        length = int(head.lower().partition(b"content-length:")[2].partition(b"\r")[0])
        while len(answer) < end + 4 + length:
            answer += await self._receive()
        return time.perf_counter() - started

    async def _receive(self) -> bytes:
        assert self._stream is not None
        data = await self._stream.receive_some(65_536)
        if not data:
            raise RuntimeError("the connection was closed")
        return bytes(data)

    async def aclose(self) -> None:
        """Close the connection."""
        if self._stream is not None:
            await trio.aclose_forcefully(self._stream)


@dataclass(slots=True)
class Ways:
    """The three ways to have a key's owner answer, as calls."""

    ingress: str
    holder: str
    direct: list[Call] = field(default_factory=list)
    local: list[Call] = field(default_factory=list)
    hop: list[Call] = field(default_factory=list)


async def find_paths(fleet: BenchFleet, at: str = "entry-00", other: str = "entry-04") -> Ways:
    """Return calls to host ``at`` for keys that it holds (local) and that ``other`` does (hop)."""
    ingress, holder = fleet.hosts[at], fleet.hosts[other]
    paths = Ways(ingress=ingress.name, holder=holder.name)
    for index in range(KEYS):
        key = f"venue-{index}"
        query = f"/explain?service=bookings&key={key}"
        _, where = await request_json(ingress.operator, "GET", query)
        line = f"GET /bookings/{key} HTTP/1.1\r\n"
        plain = (
            "Host: entry\r\nAccept: application/json\r\nUser-Agent: bench\r\nX-Client-Id: c1\r\n"
        )
        order = (
            f"Acaciasaddle-Term: {where['term']}\r\nAcaciasaddle-Unit: {where['unit']}\r\n"
            f"Acaciasaddle-Key: {key}\r\nAcaciasaddle-Request-Id: direct\r\n"
        )
        address = fleet.upstreams[where["owner"]].address
        paths.direct.append(Call(address, f"{line}{plain}{order}\r\n".encode()))
        held_here = where["holder"].startswith(f"{at}@")
        calls = paths.local if held_here else paths.hop
        calls.append(Call(ingress.address, f"{line}{plain}\r\n".encode()))
    return paths


async def latencies(ways: dict[str, list[Call]], count: int) -> dict[str, dict[str, float]]:
    """Measure calls one at a time, taking turns so that noise hits all ways alike."""
    conns: dict[str, Connection] = {}
    found: dict[str, list[float]] = {name: [] for name in ways}
    for turn in range(count + 20):
        for name, calls in ways.items():
            call = calls[turn % len(calls)]
            conn = conns.setdefault(call.address, Connection(call.address))
            seconds = await conn.call(call.data)
            if turn >= 20:
                found[name].append(seconds)
    for conn in conns.values():
        await conn.aclose()
    return {name: quantiles(times) for name, times in found.items()}


async def closed_loop(calls: list[Call], seconds: float, connections: int) -> int:
    """Keep a number of requests in progress; return how many were answered."""
    done = 0
    until = trio.current_time() + seconds

    async def work(offset: int) -> None:
        nonlocal done
        conn = Connection(calls[0].address)
        turn = offset
        while trio.current_time() < until:
            turn += 1
            await conn.call(calls[turn % len(calls)].data)
            done += 1
        await conn.aclose()

    async with trio.open_nursery() as nursery:
        for offset in range(connections):
            nursery.start_soon(work, offset)
    return done


async def paced(calls: list[Call], seconds: float, rate: float) -> dict[str, float]:
    """Send requests at random times at a mean rate; return latencies from the planned time."""
    idle: list[Connection] = []
    times: list[float] = []

    async def one(call: Call, planned: float) -> None:
        conn = idle.pop() if idle else Connection(call.address)
        await conn.call(call.data)
        times.append(trio.current_time() - planned)
        idle.append(conn)

    rng = random.Random(1)
    at = start = trio.current_time()
    async with trio.open_nursery() as nursery:
        while at < start + seconds:
            at += rng.expovariate(rate)
            await trio.sleep_until(at)
            nursery.start_soon(one, rng.choice(calls), at)
    for conn in idle:
        await conn.aclose()
    within = sum(t * 1000 <= TARGET_MS for t in times) / len(times)
    return {"rate": rate, **quantiles(times), "within_10_ms": within}


async def cost(fleet: BenchFleet, calls: list[Call], seconds: float) -> dict[str, float]:
    """Measure processor time per request of hosts and upstreams under a closed loop."""
    pids = {name: host.process.pid for name, host in fleet.hosts.items()}
    pids |= {name: upstream.process.pid for name, upstream in fleet.upstreams.items()}
    before = {name: processor_seconds(pid) for name, pid in pids.items()}
    await trio.sleep(seconds / 2)
    middle = {name: processor_seconds(pid) for name, pid in pids.items()}
    began = trio.current_time()
    done = await closed_loop(calls, seconds, CONNECTIONS)
    took = trio.current_time() - began
    result = {"requests": float(done), "requests_per_s": done / took, "upstreams_us": 0.0}
    for name, pid in pids.items():
        idle = (middle[name] - before[name]) / (seconds / 2)
        micros = (processor_seconds(pid) - middle[name] - idle * took) / done * 1e6
        if name in fleet.hosts:
            result[f"{name}_us"] = micros
        else:
            result["upstreams_us"] += micros
    return result


async def measure_requests(seconds: float, quick: bool) -> dict[str, Any]:
    """Measure requests through entry hosts, with and without the extra hop."""
    async with started(two_hosts()) as fleet:
        paths = await find_paths(fleet)
        ways = {"direct": paths.direct, "local": paths.local, "hop": paths.hop}
        result: dict[str, Any] = {"latency": await latencies(ways, 20 if quick else LATENCY_CALLS)}
        # Of a single upstream, since a connection reaches one address only.
        first = [call for call in paths.direct if call.address == paths.direct[0].address]
        result["direct"] = await cost(fleet, first, seconds / 2)
        for name in ("local", "hop"):
            result[name] = await cost(fleet, ways[name], seconds)
            top = result[name]["requests_per_s"]
            shares = () if quick else (0.3, 0.5, 0.7)
            result[name]["paced"] = [
                await paced(ways[name], seconds / 2, top * share) for share in shares
            ]
        pid = fleet.hosts[paths.ingress].process.pid
        before = resident_kb(pid)
        conns = [Connection(paths.local[0].address) for _ in range(CALLER_CONNECTIONS)]
        for conn in conns:
            await conn.call(paths.local[0].data)
        result["connection_kb"] = (resident_kb(pid) - before) / len(conns)
        result["resident_mb"] = before / 1024
        for conn in conns:
            await conn.aclose()
        return result


async def measure_idle(seconds: float, base: Path | None = None) -> dict[str, Any]:
    """Measure control of an idle deployment of 12 hosts and 38 upstreams."""
    async with started(utility_plan(), mode="count", base=base) as fleet:
        status = [await request_json(h.operator, "GET", "/status") for h in fleet.hosts.values()]
        upstreams = status[0][1]["upstreams"]
        hosts = list(fleet.hosts)
        before = {name: processor_seconds(fleet.hosts[name].process.pid) for name in hosts}
        bytes_before = await _bytes(fleet)
        began = trio.current_time()
        await trio.sleep(seconds)
        took = trio.current_time() - began
        bytes_after = await _bytes(fleet)
        found = []
        for name in hosts:
            pid = fleet.hosts[name].process.pid
            found.append(
                {
                    "host": name,
                    "holds": sum(u["holder"].startswith(f"{name}@") for u in upstreams),
                    "stands_by": sum(u["successor"].startswith(f"{name}@") for u in upstreams),
                    "core_percent": (processor_seconds(pid) - before[name]) / took * 100,
                    "bytes_per_s": (bytes_after[name] - bytes_before[name]) / took,
                    "resident_mb": resident_kb(pid) / 1024,
                }
            )
    # The host that is closest to three held upstreams and three stood by for.
    typical = min(found, key=lambda h: abs(h["holds"] - 3) + abs(h["stands_by"] - 3))
    mean = {
        name: statistics.fmean(host[name] for host in found)
        for name in ("holds", "stands_by", "core_percent", "bytes_per_s", "resident_mb")
    }
    return {"typical": typical, "mean": mean, "hosts": found}


def print_idle_comparison(hosts: list[dict[str, Any]]) -> None:
    """Print the cost of idle hosts of two versions."""
    for version in ("before", "after"):
        own = [h for h in hosts if (h["host"] in BASE_HOSTS) == (version == "before")]
        held = sum(h["holds"] for h in own)
        print(
            f"idle {version}: {len(own)} hosts, {held} upstreams held,",
            f"{sum(h['stands_by'] for h in own)} stood by for;",
            f"{sum(h['core_percent'] for h in own) / held:.2f}% of a core and",
            f"{sum(h['bytes_per_s'] for h in own) / held:.0f} bytes/s per held upstream;",
            f"{statistics.fmean(h['core_percent'] for h in own):.2f}% of a core per host",
        )


async def compare(base: Path, slices: int) -> None:
    """Print the ingress cost of two versions, one per host, loaded in turns of a second."""
    async with started(two_hosts(), base=base) as fleet:
        names = ("entry-00", "entry-04")
        paths = {
            "base": await find_paths(fleet, *names),
            "new": await find_paths(fleet, *reversed(names)),
        }
        for way in ("local", "hop"):
            ingress: dict[str, list[float]] = {"base": [], "new": []}
            holder: dict[str, list[float]] = {"base": [], "new": []}
            for _ in range(slices):
                for version, other in (("base", "new"), ("new", "base")):
                    ways = paths[version]
                    pids = [fleet.hosts[name].process.pid for name in (ways.ingress, ways.holder)]
                    before = [processor_seconds(pid) for pid in pids]
                    calls = ways.local if way == "local" else ways.hop
                    done = await closed_loop(calls, 1.0, CONNECTIONS)
                    used = [processor_seconds(pid) for pid in pids]
                    ingress[version].append((used[0] - before[0]) / done * 1e6)
                    holder[other].append((used[1] - before[1]) / done * 1e6)
            for part, found in (("ingress", ingress), ("holder", holder)):
                if way == "local" and part == "holder":
                    continue
                old, new = (statistics.median(found[version]) for version in ("base", "new"))
                print(
                    f"{way}: {part} {old:.0f} us before, {new:.0f} us after, {new / old - 1:+.1%}",
                    {version: [round(us) for us in values] for version, values in found.items()},
                    flush=True,
                )


async def _bytes(fleet: BenchFleet) -> dict[str, int]:
    totals = {}
    for name in fleet.hosts:
        await fleet.signal_report(name)
        totals[name] = sum(json.loads(fleet.report(name).read_text()).values())
    return totals


def filled_mirror(shards: int) -> Mirror:
    """Return a mirror with the Utility's configuration and a group of so many shards."""
    clock = BootClock()
    hub = TcpPeerHub(
        member="entry-00@0",
        data_centre=PLACE,
        address="127.0.0.1:0",
        clock=clock,
        metrics=NullMetrics(),
        connect=connect_tcp,
        listen=listen_tcp,
    )
    mirror = Mirror(table=None, hub=hub, clock=clock)  # type: ignore[arg-type]
    plan = utility_plan()
    fleet = Fleet(plan=plan, directory=Path())
    for number, up in enumerate(plan.upstreams):
        fleet.upstreams[up.id] = _Address(f"127.0.0.1:{7101 + number}")  # type: ignore[assignment]
    inventory = fleet.inventory()
    inventory["services"][0]["shards"] = shards
    config = ConfigRow(version=1, change_id="c", author="a", inventory=inventory, rules=plan.rules)
    rows = [_row("config/current", config.to_json("w"))]
    for up in plan.upstreams:
        held = UpstreamRow(holder="entry-00@0", successor="entry-01@0", term=2, health="ready")
        rows.append(_row(UpstreamId.parse(up.id).row_key, held.to_json("w")))
    mirror.apply_rows(rows, revision=1, source="benchmark")
    gc.collect()
    return mirror


@dataclass(frozen=True, slots=True)
class _Address:
    address: str


def _row(key: str, value: Any) -> Row:
    # Values arrive as JSON, so nothing of them is shared between rows.
    return Row(key=key, version=1, revision=1, value=json.loads(json.dumps(value)))


def take_units(mirror: Mirror, shards: int) -> None:
    """Add the assignments of the group's shards."""
    for chunk in range(-(-shards // CHUNK_SHARDS)):
        units = {
            shard: UnitAssignment(
                owner=f"bookings/bookings-{shard % 30:02}",
                previous="",
                epoch=1,
                since=1_790_000_000,
                reason="first assignment",
            )
            for shard in range(chunk * CHUNK_SHARDS, (chunk + 1) * CHUNK_SHARDS)
        }
        row = _row(
            f"units/bookings/default/{chunk}", UnitsRow(shards=shards, units=units).to_json("w")
        )
        mirror.apply_rows([row], revision=1, source="benchmark")


def measure_units() -> dict[str, float]:
    """Measure the memory of the mirror per thousand units and the cost of a routing decision."""
    mirror = filled_mirror(MEMORY_SHARDS)
    before = resident_kb(os.getpid())
    take_units(mirror, MEMORY_SHARDS)
    gc.collect()
    kb = (resident_kb(os.getpid()) - before) / MEMORY_SHARDS * 1000
    router = MirrorRouter(mirror=mirror)
    keys = [f"venue-{index}" for index in range(1000)]

    def route_all() -> None:
        for key in keys:
            router.route(service="bookings", key=key)

    best = min(timeit.repeat(route_all, number=2, repeat=5)) / 2000
    return {"thousand_units_kb": kb, "routing_us": best * 1e6}


def measure_dispatch(waiting: int) -> float:
    """Measure one pass through a queue, in µs: request added, slot given, slot freed."""
    rules = parse_rules(UTILITY_RULES, "benchmark")
    clock = BootClock()
    queue = UpstreamQueue(
        upstream=UpstreamId("bookings", "b"), clock=clock, metrics=NullMetrics(), rules=rules
    )
    queue.configure(rules=rules, slots=2)

    def item(index: int) -> SlotRequest:
        now = clock.now()
        return SlotRequest(
            unit=UnitId("bookings", "default", index % 256),
            kind="availability",
            rank=index % 2,
            bulky=False,
            arrived=now,
            deadline=now + 60,
            key=f"venue-{index}",
        )

    async def run() -> float:
        running: list[SlotRequest] = []

        async def wait(one: SlotRequest) -> None:
            await queue.acquire(one, paused=False)
            running.append(one)

        async with trio.open_nursery() as nursery:
            for index in range(waiting):
                nursery.start_soon(wait, item(index))
            await trio.testing.wait_all_tasks_blocked()
            count = 2000
            began = time.perf_counter()
            if waiting == 0:
                for index in range(count):
                    one = item(index)
                    await queue.acquire(one, paused=False)
                    queue.release(one, observed=True)
            else:
                for index in range(count):
                    nursery.start_soon(wait, item(index))
                    await trio.lowlevel.checkpoint()
                    queue.release(running.pop(0), observed=True)
                    await trio.lowlevel.checkpoint()
            took = (time.perf_counter() - began) / count
            nursery.cancel_scope.cancel()
        return took * 1e6

    return trio.run(run)


def processes_needed(us: float) -> int:
    """Return how many processes carry the target rate at a cost of so many µs per request."""
    return int(-(-TARGET_RATE * us / 1e6 // SHARE_OF_A_CORE))


def markdown(found: dict[str, Any]) -> str:
    """Return the report."""
    lines = ["# Entry path", ""]
    if req := found.get("requests"):
        direct = req["latency"]["direct"]
        lines += [
            "| way | p50 ms | p99 ms | added p50 | added p99 | requests/s | ingress µs | holder µs "
            "| upstream µs | requests/s per core | ratio to direct |",
            "|---|---|---|---|---|---|---|---|---|---|---|",
            f"| direct | {direct['p50_ms']:.2f} | {direct['p99_ms']:.2f} | | "
            f"| {req['direct']['requests_per_s']:.0f} | | "
            f"| {req['direct']['upstreams_us']:.0f} | | 1 |",
        ]
        for name in ("local", "hop"):
            lat, way = req["latency"][name], req[name]
            ingress, holder = way["entry-00_us"], way["entry-04_us"] if name == "hop" else 0.0
            lines.append(
                f"| {name} | {lat['p50_ms']:.2f} | {lat['p99_ms']:.2f} "
                f"| {lat['p50_ms'] - direct['p50_ms']:.2f} "
                f"| {lat['p99_ms'] - direct['p99_ms']:.2f} | {way['requests_per_s']:.0f} "
                f"| {ingress:.0f} | {holder:.0f} | {way['upstreams_us']:.0f} "
                f"| {1e6 / (ingress + holder):.0f} "
                f"| {(ingress + holder) / req['direct']['upstreams_us']:.2f} |"
            )
        lines += [
            "",
            "| way | requests/s | p50 ms | p99 ms | within 10 ms |",
            "|---|---|---|---|---|",
        ]
        for name in ("local", "hop"):
            lines += [
                f"| {name} | {p['rate']:.0f} | {p['p50_ms']:.2f} | {p['p99_ms']:.2f} "
                f"| {p['within_10_ms'] * 100:.1f}% |"
                for p in req[name]["paced"]
            ]
        total = {
            "local": req["local"]["entry-00_us"],
            "hop": req["hop"]["entry-00_us"] + req["hop"]["entry-04_us"],
        }
        lines += [
            "",
            f"* Memory per open caller connection: {req['connection_kb']:.1f} KB "
            f"(process without: {req['resident_mb']:.0f} MB).",
        ]
        lines += [
            f"* Processes for {TARGET_RATE} requests/s at {SHARE_OF_A_CORE:.0%} of a core each, "
            f"{name}: {processes_needed(us)}."
            for name, us in total.items()
        ]
    if units := found.get("decisions"):
        lines += [
            f"* Memory per thousand units: {units['thousand_units_kb']:.0f} KB.",
            f"* Routing decision: {units['routing_us']:.1f} µs.",
            f"* Dispatch decision: {units['dispatch_us']:.1f} µs, with 100 waiting "
            f"{units['dispatch_100_us']:.1f} µs.",
        ]
    if idle := found.get("idle"):
        lines += [
            "",
            "| idle host | holds | stands by | % of a core | bytes/s | MB |",
            "|---|---|---|---|---|---|",
        ]
        for label, host in (("typical", idle["typical"]), ("mean of 12", idle["mean"])):
            lines.append(
                f"| {label} | {host['holds']:.1f} | {host['stands_by']:.1f} "
                f"| {host['core_percent']:.2f} | {host['bytes_per_s']:.0f} "
                f"| {host['resident_mb']:.0f} |"
            )
    return "\n".join(lines)


@click.command()
@click.option("--json", "json_path", type=click.Path(path_type=Path), help="Write JSON here.")
@click.option("--seconds", default=4.0, show_default=True, help="Time of each request load.")
@click.option("--idle-seconds", default=10.0, show_default=True, help="Time of the idle load.")
@click.option("--base", type=click.Path(path_type=Path), help="Compare with another src directory.")
@click.option("--slices", default=7, show_default=True, help="Turns of the comparison.")
@click.option("--quick", is_flag=True, help="Only the processor time of requests.")
@click.option("--only", type=click.Choice(["requests", "decisions", "idle"]), help="One part.")
def main(
    json_path: Path | None,
    seconds: float,
    idle_seconds: float,
    base: Path | None,
    slices: int,
    quick: bool,
    only: str | None,
) -> None:
    """Measure the entry path."""
    configure_logs(level="warning")
    if base is not None:
        if only in (None, "requests"):
            trio.run(compare, base, slices)
        if only in (None, "idle"):
            print_idle_comparison(trio.run(measure_idle, idle_seconds, base)["hosts"])
        return
    found: dict[str, Any] = {}
    if only in (None, "decisions"):
        found["decisions"] = {
            **measure_units(),
            "dispatch_us": measure_dispatch(0),
            "dispatch_100_us": measure_dispatch(100),
        }
    if only in (None, "requests"):
        found["requests"] = trio.run(measure_requests, seconds, quick)
    if only in (None, "idle"):
        found["idle"] = trio.run(measure_idle, idle_seconds)
    print(markdown(found))
    if json_path is not None:
        json_path.write_text(json.dumps(found, indent=1) + "\n")


if __name__ == "__main__":
    main()

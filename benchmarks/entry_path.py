"""Measures the path of a request through real entry host processes on loopback.

Usage: ``PYTHONPATH=src python benchmarks/entry_path.py [--json FILE] [--only PART]``

Prints Markdown. Processor time is read from /proc/<pid>/stat; what a process uses while idle is
subtracted from the processor time of requests. Latencies are shown next to those of requests that
were sent directly to the upstream in the same run. The ratio is the processor time of the entry
hosts divided by that of the upstream for a direct request. Routing and dispatch decisions are timed
within this process.

Compare versions by processor time: on a shared machine latencies and rates vary from run to run.
With ``--base SRC`` some of the hosts run the version in SRC, and the figures of each version are
printed in plain text. The processor time of requests then includes what an idle process uses.
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
from acaciasaddle.observe import configure_logging
from acaciasaddle.ownership import MirrorRouter
from acaciasaddle.peers import TcpPeerHub
from acaciasaddle.peers import connect_tcp
from acaciasaddle.peers import listen_tcp

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_KIB = os.sysconf("SC_PAGE_SIZE") // 1024
DATA_CENTRE = "tshwane-north"
BASE_HOSTS = frozenset(f"entry-{index:02}" for index in (0, 1, 2, 3, 8, 9))
"""Hosts that run the base version in a comparison: one or two of the three in each data centre."""

KEY_COUNT = 60
CONNECTIONS = 16
LATENCY_ROUNDS = 400
CALLER_CONNECTIONS = 800
SETTLE_S = 2.0
START_TIMEOUT_S = 60.0
MEMORY_SHARDS = 65_536
TARGET_RATE_PER_S = 2_785
TARGET_LATENCY_MS = 10.0
CORE_SHARE = 0.7
"""Share of a core that a process may use, for computing how many the target rate needs."""

ENTRY_PROCESS = Path(__file__).with_name("_entry_process.py")


def processor_seconds(pid: int) -> float:
    """Return the processor time of a process so far, in user and system mode."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_kib(pid: int) -> int:
    """Return the resident memory of a process in KiB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_KIB


def quantiles(seconds: list[float]) -> dict[str, float]:
    """Return p50 and p99 in milliseconds."""
    cuts = statistics.quantiles(seconds, n=100)
    return {"p50_ms": cuts[49] * 1000, "p99_ms": cuts[98] * 1000}


class BenchFleet(Fleet):
    """A fleet whose entry hosts can count bytes, profile themselves or run the base version."""

    mode: str = ""
    base: Path | None = None

    async def _open(self, name: str, command: list[str], **options: Any) -> trio.Process:
        if self.mode and command[1:4] == ["-m", "acaciasaddle", "run"]:
            report_path = str(self.report_path(name))
            command = [sys.executable, str(ENTRY_PROCESS), command[4], report_path]
            command += ["profile"] if self.mode == "profile" else []
        if self.base is not None and name in BASE_HOSTS:
            command = ["/usr/bin/env", f"PYTHONPATH={self.base}", *command]
        return await super()._open(name, command, **options)

    def report_path(self, host: str) -> Path:
        """Return the file that an entry host writes after SIGUSR1."""
        return self.directory / f"{host}.report"

    async def signal_report(self, host: str, *, wait: bool = True) -> None:
        """Send SIGUSR1 to an entry host; with ``wait``, wait until its report file exists."""
        self.report_path(host).unlink(missing_ok=True)
        self.hosts[host].process.send_signal(signal.SIGUSR1)
        while wait and not self.report_path(host).exists():
            await trio.sleep(0.01)


@asynccontextmanager
async def running_deployment(
    plan: FleetPlan, mode: str = "", base: Path | None = None
) -> AsyncIterator[BenchFleet]:
    """Run a fleet. It is yielded when its configuration is in force and all units are served."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = BenchFleet(plan=plan, directory=Path(directory))
        fleet.mode, fleet.base = mode, base
        try:
            await fleet.start()
            await fleet.wait_in_force(await fleet.apply())
            await fleet.wait_all_units_served(limit=START_TIMEOUT_S)
            # Successors may still take over from holders that were busy while all the processes
            # started.
            await trio.sleep(SETTLE_S)
            yield fleet
        finally:
            await fleet.stop()


def two_host_plan() -> FleetPlan:
    """Return a deployment of two hosts in one data centre and four upstreams without work time."""
    return FleetPlan(
        data_centres=(DATA_CENTRE,),
        upstreams=tuple(
            UpstreamPlan(
                service="bookings",
                name=f"bookings-{index:02}",
                data_centre=DATA_CENTRE,
                slots=16,
                work_ms=0,
            )
            for index in range(4)
        ),
        hosts=(
            HostPlan(host_id="entry-00", data_centre=DATA_CENTRE),
            HostPlan(host_id="entry-04", data_centre=DATA_CENTRE),
        ),
        rules={**UTILITY_RULES, "kinds": UTILITY_RULES["kinds"][:3]},
    )


@dataclass(frozen=True, slots=True)
class PreparedRequest:
    """The bytes of a request, and the address to send them to."""

    address: str
    data: bytes


class Connection:
    """A keep-alive HTTP connection that does little per request, so that it adds little latency."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._stream: trio.SocketStream | None = None

    async def send(self, data: bytes) -> float:
        """Send a request and return the seconds until its response is complete."""
        started = time.perf_counter()
        if self._stream is None:
            host, _, port = self._address.rpartition(":")
            self._stream = await trio.open_tcp_stream(host, int(port))
        await self._stream.send_all(data)
        response = bytearray()
        while (end := response.find(b"\r\n\r\n")) < 0:
            response += await self._receive()
        head = bytes(response[:end])
        if not head.startswith(b"HTTP/1.1 200"):
            raise RuntimeError(f"unexpected response: {bytes(response)!r}")
        length = int(head.lower().partition(b"content-length:")[2].partition(b"\r")[0])
        while len(response) < end + 4 + length:
            response += await self._receive()
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
class RequestPaths:
    """Requests over each of the three paths to a key's owner, and the hosts on the paths."""

    ingress: str
    holder: str
    direct: list[PreparedRequest] = field(default_factory=list)
    local: list[PreparedRequest] = field(default_factory=list)
    hop: list[PreparedRequest] = field(default_factory=list)


async def find_paths(
    fleet: BenchFleet, ingress_name: str = "entry-00", holder_name: str = "entry-04"
) -> RequestPaths:
    """Return requests for keys whose upstreams the ingress (local) or the other host (hop) holds.

    Requests for the same keys that go to the owners without an entry host are ``direct``.
    """
    ingress, holder = fleet.hosts[ingress_name], fleet.hosts[holder_name]
    paths = RequestPaths(ingress=ingress.name, holder=holder.name)
    for index in range(KEY_COUNT):
        key = f"venue-{index}"
        query = f"/explain?service=bookings&key={key}"
        _, explained = await request_json(ingress.operator_address, "GET", query)
        request_line = f"GET /bookings/{key} HTTP/1.1\r\n"
        caller_headers = (
            "Host: entry\r\nAccept: application/json\r\nUser-Agent: bench\r\nX-Client-Id: c1\r\n"
        )
        owner_headers = (
            f"Acaciasaddle-Term: {explained['term']}\r\nAcaciasaddle-Unit: {explained['unit']}\r\n"
            f"Acaciasaddle-Key: {key}\r\nAcaciasaddle-Request-Id: direct\r\n"
        )
        address = fleet.upstreams[explained["owner"]].address
        paths.direct.append(
            PreparedRequest(address, f"{request_line}{caller_headers}{owner_headers}\r\n".encode())
        )
        held_here = explained["holder"].startswith(f"{ingress_name}@")
        requests = paths.local if held_here else paths.hop
        requests.append(
            PreparedRequest(ingress.address, f"{request_line}{caller_headers}\r\n".encode())
        )
    return paths


async def measure_latencies(
    paths: dict[str, list[PreparedRequest]], count: int
) -> dict[str, dict[str, float]]:
    """Return p50 and p99 by path, for requests that are sent one at a time.

    The paths take turns, so that noise affects all alike.
    """
    connections: dict[str, Connection] = {}
    times: dict[str, list[float]] = {name: [] for name in paths}
    # The first 20 turns open the connections and are not counted.
    for turn in range(count + 20):
        for name, requests in paths.items():
            request = requests[turn % len(requests)]
            connection = connections.setdefault(request.address, Connection(request.address))
            seconds = await connection.send(request.data)
            if turn >= 20:
                times[name].append(seconds)
    for connection in connections.values():
        await connection.aclose()
    return {name: quantiles(path_times) for name, path_times in times.items()}


async def closed_loop(requests: list[PreparedRequest], seconds: float, connections: int) -> int:
    """Keep ``connections`` requests in progress for ``seconds``; return how many got a response."""
    completed = 0
    end_time = trio.current_time() + seconds

    async def send_requests(offset: int) -> None:
        nonlocal completed
        connection = Connection(requests[0].address)
        turn = offset
        while trio.current_time() < end_time:
            turn += 1
            await connection.send(requests[turn % len(requests)].data)
            completed += 1
        await connection.aclose()

    async with trio.open_nursery() as nursery:
        for offset in range(connections):
            nursery.start_soon(send_requests, offset)
    return completed


async def measure_at_rate(
    requests: list[PreparedRequest], seconds: float, rate: float
) -> dict[str, float]:
    """Send requests at random times at a mean rate.

    Return p50 and p99 of the latencies, which count from the scheduled times, and the share of the
    requests that took at most 10 ms.
    """
    idle_connections: list[Connection] = []
    latencies: list[float] = []

    async def send_one(request: PreparedRequest, scheduled_at: float) -> None:
        connection = idle_connections.pop() if idle_connections else Connection(request.address)
        await connection.send(request.data)
        latencies.append(trio.current_time() - scheduled_at)
        idle_connections.append(connection)

    rng = random.Random(1)
    next_at = started_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        while next_at < started_at + seconds:
            next_at += rng.expovariate(rate)
            await trio.sleep_until(next_at)
            nursery.start_soon(send_one, rng.choice(requests), next_at)
    for connection in idle_connections:
        await connection.aclose()
    within_target = sum(latency * 1000 <= TARGET_LATENCY_MS for latency in latencies) / len(
        latencies
    )
    return {"rate": rate, **quantiles(latencies), "within_10_ms": within_target}


async def measure_cost(
    fleet: BenchFleet, requests: list[PreparedRequest], seconds: float
) -> dict[str, float]:
    """Measure processor time per request of hosts and upstreams, less what they use when idle."""
    pids = {name: host.process.pid for name, host in fleet.hosts.items()}
    pids |= {name: upstream.process.pid for name, upstream in fleet.upstreams.items()}
    cpu_at_start = {name: processor_seconds(pid) for name, pid in pids.items()}
    await trio.sleep(seconds / 2)
    cpu_after_idle = {name: processor_seconds(pid) for name, pid in pids.items()}
    loaded_at = trio.current_time()
    completed = await closed_loop(requests, seconds, CONNECTIONS)
    elapsed_s = trio.current_time() - loaded_at
    result = {
        "requests": float(completed),
        "requests_per_s": completed / elapsed_s,
        "upstreams_us": 0.0,
    }
    for name, pid in pids.items():
        idle_share = (cpu_after_idle[name] - cpu_at_start[name]) / (seconds / 2)
        request_us = (
            (processor_seconds(pid) - cpu_after_idle[name] - idle_share * elapsed_s)
            / completed
            * 1e6
        )
        if name in fleet.hosts:
            result[f"{name}_us"] = request_us
        else:
            result["upstreams_us"] += request_us
    return result


async def measure_requests(seconds: float, quick: bool) -> dict[str, Any]:
    """Measure direct requests, and requests through entry hosts with and without the extra hop.

    The memory of an entry host per open caller connection is measured as well.
    """
    async with running_deployment(two_host_plan()) as fleet:
        paths = await find_paths(fleet)
        requests_by_path = {"direct": paths.direct, "local": paths.local, "hop": paths.hop}
        result: dict[str, Any] = {
            "latency": await measure_latencies(requests_by_path, 20 if quick else LATENCY_ROUNDS)
        }
        # closed_loop connects to one address only, so all requests go to one upstream.
        one_upstream = [
            request for request in paths.direct if request.address == paths.direct[0].address
        ]
        result["direct"] = await measure_cost(fleet, one_upstream, seconds / 2)
        for name in ("local", "hop"):
            result[name] = await measure_cost(fleet, requests_by_path[name], seconds)
            max_rate = result[name]["requests_per_s"]
            load_shares = () if quick else (0.3, 0.5, 0.7)
            result[name]["paced"] = [
                await measure_at_rate(requests_by_path[name], seconds / 2, max_rate * load_share)
                for load_share in load_shares
            ]
        pid = fleet.hosts[paths.ingress].process.pid
        kib_before = resident_kib(pid)
        connections = [Connection(paths.local[0].address) for _ in range(CALLER_CONNECTIONS)]
        for connection in connections:
            await connection.send(paths.local[0].data)
        result["connection_kb"] = (resident_kib(pid) - kib_before) / len(connections)
        result["resident_mb"] = kib_before / 1024
        for connection in connections:
            await connection.aclose()
        return result


async def measure_idle(seconds: float, base: Path | None = None) -> dict[str, Any]:
    """Measure what each host of an idle deployment of 12 hosts and 38 upstreams uses."""
    async with running_deployment(utility_plan(), mode="count", base=base) as fleet:
        status = [
            await request_json(host.operator_address, "GET", "/status")
            for host in fleet.hosts.values()
        ]
        upstreams = status[0][1]["upstreams"]
        hosts = list(fleet.hosts)
        cpu_before = {name: processor_seconds(fleet.hosts[name].process.pid) for name in hosts}
        bytes_before = await _total_bytes(fleet)
        started_at = trio.current_time()
        await trio.sleep(seconds)
        elapsed_s = trio.current_time() - started_at
        bytes_after = await _total_bytes(fleet)
        results = []
        for name in hosts:
            pid = fleet.hosts[name].process.pid
            results.append(
                {
                    "host": name,
                    "holds": sum(
                        upstream["holder"].startswith(f"{name}@") for upstream in upstreams
                    ),
                    "stands_by": sum(
                        upstream["successor"].startswith(f"{name}@") for upstream in upstreams
                    ),
                    "core_percent": (processor_seconds(pid) - cpu_before[name]) / elapsed_s * 100,
                    "bytes_per_s": (bytes_after[name] - bytes_before[name]) / elapsed_s,
                    "resident_mb": resident_kib(pid) / 1024,
                }
            )
    # The host that comes closest to being the holder of three upstreams and successor of three.
    typical = min(results, key=lambda host: abs(host["holds"] - 3) + abs(host["stands_by"] - 3))
    mean = {
        name: statistics.fmean(host[name] for host in results)
        for name in ("holds", "stands_by", "core_percent", "bytes_per_s", "resident_mb")
    }
    return {"typical": typical, "mean": mean, "hosts": results}


def print_idle_comparison(hosts: list[dict[str, Any]]) -> None:
    """Print what the idle hosts of each of two versions use."""
    for version in ("base", "new"):
        group = [host for host in hosts if (host["host"] in BASE_HOSTS) == (version == "base")]
        held = sum(host["holds"] for host in group)
        print(
            f"idle {version}: {len(group)} hosts, holder of {held} upstreams and",
            f"successor of {sum(host['stands_by'] for host in group)};",
            f"{sum(host['core_percent'] for host in group) / held:.2f}% of a core and",
            f"{sum(host['bytes_per_s'] for host in group) / held:.0f} bytes/s per held upstream;",
            f"{statistics.fmean(host['core_percent'] for host in group):.2f}% of a core per host",
        )


async def compare(base: Path, slices: int) -> None:
    """Print the cost of requests in two versions at ingress and holder.

    Each of the two hosts runs one version; they take turns as the ingress, for a second each.
    """
    async with running_deployment(two_host_plan(), base=base) as fleet:
        names = ("entry-00", "entry-04")
        paths = {
            "base": await find_paths(fleet, *names),
            "new": await find_paths(fleet, *reversed(names)),
        }
        for path in ("local", "hop"):
            ingress: dict[str, list[float]] = {"base": [], "new": []}
            holder: dict[str, list[float]] = {"base": [], "new": []}
            for _ in range(slices):
                for version, other_version in (("base", "new"), ("new", "base")):
                    version_paths = paths[version]
                    pids = [
                        fleet.hosts[name].process.pid
                        for name in (version_paths.ingress, version_paths.holder)
                    ]
                    cpu_before = [processor_seconds(pid) for pid in pids]
                    requests = version_paths.local if path == "local" else version_paths.hop
                    completed = await closed_loop(requests, 1.0, CONNECTIONS)
                    cpu_after = [processor_seconds(pid) for pid in pids]
                    ingress[version].append((cpu_after[0] - cpu_before[0]) / completed * 1e6)
                    holder[other_version].append((cpu_after[1] - cpu_before[1]) / completed * 1e6)
            for role, costs_us in (("ingress", ingress), ("holder", holder)):
                if path == "local" and role == "holder":
                    continue
                old, new = (statistics.median(costs_us[version]) for version in ("base", "new"))
                print(
                    f"{path}: {role} base {old:.0f} us, new {new:.0f} us, {new / old - 1:+.1%}",
                    {version: [round(us) for us in values] for version, values in costs_us.items()},
                    flush=True,
                )


async def _total_bytes(fleet: BenchFleet) -> dict[str, int]:
    totals = {}
    for name in fleet.hosts:
        await fleet.signal_report(name)
        totals[name] = sum(json.loads(fleet.report_path(name).read_text()).values())
    return totals


def filled_mirror(shards: int) -> Mirror:
    """Return a mirror with the Utility's configuration; the first service has ``shards`` shards."""
    clock = BootClock()
    hub = TcpPeerHub(
        member="entry-00@0",
        data_centre=DATA_CENTRE,
        address="127.0.0.1:0",
        clock=clock,
        metrics=NullMetrics(),
        connect=connect_tcp,
        listen=listen_tcp,
    )
    mirror = Mirror(table=None, hub=hub, clock=clock)  # type: ignore[arg-type]
    plan = utility_plan()
    fleet = Fleet(plan=plan, directory=Path())
    for number, upstream in enumerate(plan.upstreams):
        fleet.upstreams[upstream.id] = _AddressOnly(f"127.0.0.1:{7101 + number}")  # type: ignore[assignment]
    inventory = fleet.inventory()
    inventory["services"][0]["shards"] = shards
    config = ConfigRow(version=1, change_id="c", author="a", inventory=inventory, rules=plan.rules)
    rows = [_row("config/current", config.to_json("w"))]
    for upstream in plan.upstreams:
        holder_row = UpstreamRow(
            holder="entry-00@0", successor="entry-01@0", term=2, health="ready"
        )
        rows.append(_row(UpstreamId.parse(upstream.id).row_key, holder_row.to_json("w")))
    mirror.apply_rows(rows, revision=1, source="benchmark")
    gc.collect()
    return mirror


@dataclass(frozen=True, slots=True)
class _AddressOnly:
    """Replaces the process of an upstream; ``Fleet.inventory`` reads only its address."""

    address: str


def _row(key: str, value: Any) -> Row:
    # A host decodes each row from JSON, so rows must not share objects here either.
    return Row(key=key, version=1, revision=1, value=json.loads(json.dumps(value)))


def assign_units(mirror: Mirror, shards: int) -> None:
    """Assign the shards of the first service to its 30 upstreams."""
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
    """Measure the mirror's memory per thousand units and the cost of a routing decision."""
    mirror = filled_mirror(MEMORY_SHARDS)
    kib_before = resident_kib(os.getpid())
    assign_units(mirror, MEMORY_SHARDS)
    gc.collect()
    thousand_units_kib = (resident_kib(os.getpid()) - kib_before) / MEMORY_SHARDS * 1000
    router = MirrorRouter(mirror=mirror)
    keys = [f"venue-{index}" for index in range(1000)]

    def route_all() -> None:
        for key in keys:
            router.route(service="bookings", key=key)

    best_s = min(timeit.repeat(route_all, number=2, repeat=5)) / 2000
    return {"thousand_units_kb": thousand_units_kib, "routing_us": best_s * 1e6}


def measure_dispatch(queued: int) -> float:
    """Return the µs that a queue takes to add a request, grant it a slot and free the slot.

    Meanwhile ``queued`` other requests wait for a slot or have one.
    """
    rules = parse_rules(UTILITY_RULES, "benchmark")
    clock = BootClock()
    queue = UpstreamQueue(
        upstream=UpstreamId("bookings", "b"), clock=clock, metrics=NullMetrics(), rules=rules
    )
    queue.configure(rules=rules, slots=2)

    def make_request(index: int) -> SlotRequest:
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
        in_slots: list[SlotRequest] = []

        async def wait(request: SlotRequest) -> None:
            await queue.acquire(request, paused=False)
            in_slots.append(request)

        async with trio.open_nursery() as nursery:
            for index in range(queued):
                nursery.start_soon(wait, make_request(index))
            await trio.testing.wait_all_tasks_blocked()
            count = 2000
            started_at = time.perf_counter()
            if queued == 0:
                for index in range(count):
                    request = make_request(index)
                    await queue.acquire(request, paused=False)
                    queue.release(request, observed=True)
            else:
                # The checkpoints let the new request enter the queue and the next one get the slot.
                for index in range(count):
                    nursery.start_soon(wait, make_request(index))
                    await trio.lowlevel.checkpoint()
                    queue.release(in_slots.pop(0), observed=True)
                    await trio.lowlevel.checkpoint()
            pass_s = (time.perf_counter() - started_at) / count
            nursery.cancel_scope.cancel()
        return pass_s * 1e6

    return trio.run(run)


def processes_needed(request_us: float) -> int:
    """Return how many processes the target rate needs if a request costs ``request_us``."""
    return int(-(-TARGET_RATE_PER_S * request_us / 1e6 // CORE_SHARE))


def markdown(results: dict[str, Any]) -> str:
    """Return the results as Markdown."""
    lines = ["# Entry path", ""]
    if requests := results.get("requests"):
        direct = requests["latency"]["direct"]
        lines += [
            "| path | p50 ms | p99 ms | added p50 | added p99 | requests/s | ingress µs "
            "| holder µs | upstream µs | requests/s per core | ratio to direct |",
            "|---|---|---|---|---|---|---|---|---|---|---|",
            f"| direct | {direct['p50_ms']:.2f} | {direct['p99_ms']:.2f} | | "
            f"| {requests['direct']['requests_per_s']:.0f} | | "
            f"| {requests['direct']['upstreams_us']:.0f} | | 1 |",
        ]
        for name in ("local", "hop"):
            latency, costs = requests["latency"][name], requests[name]
            ingress, holder = costs["entry-00_us"], costs["entry-04_us"] if name == "hop" else 0.0
            lines.append(
                f"| {name} | {latency['p50_ms']:.2f} | {latency['p99_ms']:.2f} "
                f"| {latency['p50_ms'] - direct['p50_ms']:.2f} "
                f"| {latency['p99_ms'] - direct['p99_ms']:.2f} | {costs['requests_per_s']:.0f} "
                f"| {ingress:.0f} | {holder:.0f} | {costs['upstreams_us']:.0f} "
                f"| {1e6 / (ingress + holder):.0f} "
                f"| {(ingress + holder) / requests['direct']['upstreams_us']:.2f} |"
            )
        lines += [
            "",
            "| path | requests/s | p50 ms | p99 ms | within 10 ms |",
            "|---|---|---|---|---|",
        ]
        for name in ("local", "hop"):
            lines += [
                f"| {name} | {load['rate']:.0f} | {load['p50_ms']:.2f} | {load['p99_ms']:.2f} "
                f"| {load['within_10_ms'] * 100:.1f}% |"
                for load in requests[name]["paced"]
            ]
        total_us = {
            "local": requests["local"]["entry-00_us"],
            "hop": requests["hop"]["entry-00_us"] + requests["hop"]["entry-04_us"],
        }
        lines += [
            "",
            f"* Memory per open caller connection: {requests['connection_kb']:.1f} KiB "
            f"(the process without them: {requests['resident_mb']:.0f} MiB).",
        ]
        lines += [
            f"* Processes for {TARGET_RATE_PER_S} requests/s at {CORE_SHARE:.0%} of a core each, "
            f"{name}: {processes_needed(request_us)}."
            for name, request_us in total_us.items()
        ]
    if decisions := results.get("decisions"):
        lines += [
            f"* Memory per thousand units: {decisions['thousand_units_kb']:.0f} KiB.",
            f"* Routing decision: {decisions['routing_us']:.1f} µs.",
            f"* Dispatch decision: {decisions['dispatch_us']:.1f} µs, with 100 others "
            f"in the queue or in slots {decisions['dispatch_100_us']:.1f} µs.",
        ]
    if idle_results := results.get("idle"):
        lines += [
            "",
            "| idle host | holder of | successor of | % of a core | bytes/s | MiB |",
            "|---|---|---|---|---|---|",
        ]
        for label, host in (
            ("typical", idle_results["typical"]),
            ("mean of 12", idle_results["mean"]),
        ):
            lines.append(
                f"| {label} | {host['holds']:.1f} | {host['stands_by']:.1f} "
                f"| {host['core_percent']:.2f} | {host['bytes_per_s']:.0f} "
                f"| {host['resident_mb']:.0f} |"
            )
    return "\n".join(lines)


@click.command()
@click.option(
    "--json", "json_path", type=click.Path(path_type=Path), help="File for the results as JSON."
)
@click.option(
    "--seconds", default=4.0, show_default=True, help="Seconds of load per measurement of requests."
)
@click.option(
    "--idle-seconds",
    default=10.0,
    show_default=True,
    help="Seconds for which idle hosts are measured.",
)
@click.option(
    "--base", type=click.Path(path_type=Path), help="src directory of a version to compare with."
)
@click.option(
    "--slices", default=7, show_default=True, help="Turns of each version in the comparison."
)
@click.option(
    "--quick",
    is_flag=True,
    help="Measure fewer latencies of requests, and none at fixed rates.",
)
@click.option(
    "--only", type=click.Choice(["requests", "decisions", "idle"]), help="Run only this part."
)
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
    configure_logging(level="warning")
    if base is not None:
        if only in (None, "requests"):
            trio.run(compare, base, slices)
        if only in (None, "idle"):
            print_idle_comparison(trio.run(measure_idle, idle_seconds, base)["hosts"])
        return
    results: dict[str, Any] = {}
    if only in (None, "decisions"):
        results["decisions"] = {
            **measure_units(),
            "dispatch_us": measure_dispatch(0),
            "dispatch_100_us": measure_dispatch(100),
        }
    if only in (None, "requests"):
        results["requests"] = trio.run(measure_requests, seconds, quick)
    if only in (None, "idle"):
        results["idle"] = trio.run(measure_idle, idle_seconds)
    print(markdown(results))
    if json_path is not None:
        json_path.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()

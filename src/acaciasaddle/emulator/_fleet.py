"""Runs a deployment of stand-ins and entry hosts as separate processes on loopback.

This is a test tool; the processes of the system itself do not start other processes.
"""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
import uuid
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import trio
from pydantic import TypeAdapter

from acaciasaddle.emulator._json_http import request_json
from acaciasaddle.emulator._records import UpstreamRecord
from acaciasaddle.errors import AcaciasaddleError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

START_LIMIT_S = 30.0
POLL_INTERVAL_S = 0.05

PARALLEL_STARTS = 8
"""Limited because the start of an interpreter takes about 0.4 s of processor time."""

PORT_RANGE = (12_000, 32_000)
"""Below the range that Linux uses for outgoing connections by default."""

UPSTREAM_RECORD = TypeAdapter(UpstreamRecord)

_port_reservations: list[socket.socket] = []


class FleetError(AcaciasaddleError):
    """A process of the fleet did not start, stop or respond as expected."""


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamPlan:
    """An upstream to start."""

    service: str
    name: str
    data_centre: str
    slots: int
    work_ms: float
    checks_orders: bool = True

    @property
    def id(self) -> str:
        """Identifier of the upstream, ``service/name``."""
        return f"{self.service}/{self.name}"


@dataclass(frozen=True, slots=True, kw_only=True)
class HostPlan:
    """An entry host to start."""

    host_id: str
    data_centre: str


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetPlan:
    """A deployment to start.

    ``rules`` are the rules of its configuration, as JSON. ``shards`` is the number of shards of
    each service. ``settings`` are settings of all entry hosts; they override the generated ones.
    """

    data_centres: tuple[str, ...]
    upstreams: tuple[UpstreamPlan, ...]
    hosts: tuple[HostPlan, ...]
    rules: dict[str, Any]
    shards: int = 256
    settings: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class ManagedProcess:
    """A process of the fleet.

    ``address`` is the one that callers of the process use; ``operator_address`` is the address of
    an entry host's operator API. ``ended_at`` is the time of the kill or of the signal to stop, in
    seconds of CLOCK_BOOTTIME; for an upstream it is the time of the freeze before the kill.
    """

    name: str
    process: trio.Process
    address: str
    operator_address: str = ""
    ended_at: float | None = None


@dataclass(slots=True, kw_only=True)
class Fleet:
    """The processes of a deployment, and the records of killed upstreams."""

    plan: FleetPlan
    directory: Path
    platform: ManagedProcess | None = None
    upstreams: dict[str, ManagedProcess] = field(default_factory=dict)
    hosts: dict[str, ManagedProcess] = field(default_factory=dict)
    killed_records: list[UpstreamRecord] = field(default_factory=list)

    async def start(self) -> None:
        """Start all processes and wait until they listen."""
        self.platform = await self._start_listening("platform", ["platform"])
        limit = trio.CapacityLimiter(PARALLEL_STARTS)
        async with trio.open_nursery() as nursery:
            for plan in self.plan.upstreams:
                nursery.start_soon(self._start_limited, limit, self.start_upstream, plan)
            for host in self.plan.hosts:
                nursery.start_soon(self._start_limited, limit, self.start_host, host)

    async def start_upstream(self, plan: UpstreamPlan) -> None:
        """Start one upstream stand-in and wait until it listens.

        It gets its previous address if it ran before.
        """
        previous = self.upstreams.get(plan.id)
        args = ["upstream", "--name", plan.id, "--slots", str(plan.slots)]
        args += [
            "--work-ms",
            str(plan.work_ms),
            "--address",
            previous.address if previous else "127.0.0.1:0",
        ]
        args.append("--checks-orders" if plan.checks_orders else "--obeys-anyone")
        self.upstreams[plan.id] = await self._start_listening(plan.id, args)

    async def start_host(self, plan: HostPlan, seeds: tuple[str, ...] = ()) -> None:
        """Start one entry host on new addresses and wait until its operator API responds."""
        assert self.platform is not None
        caller, peer, operator = (f"127.0.0.1:{reserve_port()}" for _ in range(3))
        settings = {
            "host_id": plan.host_id,
            "data_centre": plan.data_centre,
            "caller_address": caller,
            "peer_address": peer,
            "operator_address": operator,
            "platform_address": self.platform.address,
            "seeds": list(seeds),
            **self.plan.settings,
        }
        path = self.directory / f"{plan.host_id}.json"
        path.write_text(json.dumps(settings))
        args = [sys.executable, "-m", "acaciasaddle", "run", str(path)]
        process = await start_logged_process(self.directory, plan.host_id, args)
        host = ManagedProcess(
            name=plan.host_id, process=process, address=caller, operator_address=operator
        )
        self.hosts[plan.host_id] = host
        with trio.move_on_after(START_LIMIT_S):
            while process.poll() is None:
                try:
                    await request_json(operator, "GET", "/status")
                    return
                except OSError:
                    await trio.sleep(POLL_INTERVAL_S)
        raise FleetError(
            f"entry host ended or did not respond within {START_LIMIT_S:.0f} s",
            step="fleet.start",
            peer=plan.host_id,
        )

    async def apply(self, *, author: str = "fleet", **changes: Any) -> int:
        """Apply the configuration through a live entry host and return its version.

        ``changes`` are arguments of ``inventory``.
        """
        body = {
            "inventory": self.inventory(**changes),
            "rules": self.plan.rules,
            "author": author,
            "change_id": str(uuid.uuid4()),
        }
        host = next(iter(self.live_hosts()))
        status, response = await request_json(
            host.operator_address, "POST", "/config", body, timeout=20
        )
        if status != 200:
            raise FleetError(
                f"configuration was refused with status {status}: {response}",
                step="fleet.apply",
                peer=host.name,
            )
        return int(response["version"])

    def inventory(self, *, leaving: frozenset[str] = frozenset()) -> dict[str, Any]:
        """Return the inventory; ``leaving`` are the ids of upstreams to drain."""
        services: dict[str, list[dict[str, Any]]] = {}
        for plan in self.plan.upstreams:
            services.setdefault(plan.service, []).append(
                {
                    "name": plan.name,
                    "address": self.upstreams[plan.id].address,
                    "data_centre": plan.data_centre,
                    "slots": plan.slots,
                    "checks_orders": plan.checks_orders,
                    "state": "leaving" if plan.id in leaving else "active",
                }
            )
        return {
            "data_centres": [{"name": name} for name in self.plan.data_centres],
            "services": [
                {"name": name, "shards": self.plan.shards, "upstreams": upstreams}
                for name, upstreams in services.items()
            ],
        }

    async def wait_in_force(self, version: int, *, limit: float = 30.0) -> float:
        """Wait until a configuration, or a later one, is in force on all live hosts.

        Returns the seconds it took.
        """
        started = trio.current_time()
        while trio.current_time() - started < limit:
            statuses = [await self._get_json(host, "/status") for host in self.live_hosts()]
            if all(status and status["config_version"] >= version for status in statuses):
                return trio.current_time() - started
            await trio.sleep(POLL_INTERVAL_S)
        raise FleetError(
            f"configuration {version} is not in force on all live hosts after {limit:.0f} s",
            step="fleet.wait",
        )

    async def wait_all_units_served(self, *, limit: float = 30.0) -> float:
        """Wait until a host reports all units as owned and all upstreams as ready, with successors.

        Returns the seconds it took.
        """
        started = trio.current_time()
        host = next(iter(self.live_hosts()))
        while trio.current_time() - started < limit:
            status = await self._get_json(host, "/status")
            upstreams = status["upstreams"] if status else []
            units = sum(upstream["units"] for upstream in upstreams)
            settled = all(u["state"] == "ready" and u["successor"] for u in upstreams)
            services = len({plan.service for plan in self.plan.upstreams})
            if upstreams and settled and units == services * self.plan.shards:
                return trio.current_time() - started
            await trio.sleep(POLL_INTERVAL_S)
        raise FleetError(
            "not all units are owned, or an upstream is not ready or has no successor, "
            f"after {limit:.0f} s",
            step="fleet.wait",
        )

    async def kill_upstream(self, upstream: str) -> float:
        """Freeze an upstream, keep its record and kill it; returns the time of the freeze.

        The time is in seconds of CLOCK_BOOTTIME.
        """
        managed = self.upstreams[upstream]
        # Freeze it first, so that nothing happens between reading the record and the kill.
        await request_json(managed.address, "POST", "/faults", {"frozen": True})
        managed.ended_at = time.clock_gettime(time.CLOCK_BOOTTIME)
        record = await self.record(managed)
        managed.process.kill()
        self.killed_records.append(_end_ownership(record, managed.ended_at * 1000))
        await managed.process.wait()
        return managed.ended_at

    async def kill_host(self, host_id: str) -> float:
        """Kill an entry host; returns the time in seconds of CLOCK_BOOTTIME."""
        managed = self.hosts[host_id]
        managed.process.kill()
        managed.ended_at = time.clock_gettime(time.CLOCK_BOOTTIME)
        await managed.process.wait()
        return managed.ended_at

    async def stop_host(self, host_id: str, *, limit: float = 20.0) -> int:
        """Stop an entry host gracefully; returns its exit code."""
        managed = self.hosts[host_id]
        managed.process.terminate()
        managed.ended_at = time.clock_gettime(time.CLOCK_BOOTTIME)
        with trio.move_on_after(limit):
            return await managed.process.wait()
        raise FleetError(
            f"entry host did not stop within {limit:.0f} s", step="fleet.stop", peer=host_id
        )

    def pause(self, managed: ManagedProcess) -> None:
        """Suspend a process, as if its host were paused."""
        managed.process.send_signal(signal.SIGSTOP)

    def resume(self, managed: ManagedProcess) -> None:
        """Resume a suspended process."""
        managed.process.send_signal(signal.SIGCONT)

    def live_hosts(self) -> list[ManagedProcess]:
        """Return the entry hosts that were not killed or stopped."""
        return [host for host in self.hosts.values() if host.ended_at is None]

    async def record(self, managed: ManagedProcess) -> UpstreamRecord:
        """Return the record of an upstream."""
        _, response = await request_json(managed.address, "GET", "/record", timeout=20)
        return UPSTREAM_RECORD.validate_python(response)

    async def records(self) -> list[UpstreamRecord]:
        """Return the records of the running upstreams and of those killed by ``kill_upstream``."""
        running = [managed for managed in self.upstreams.values() if managed.process.poll() is None]
        return [*self.killed_records, *[await self.record(managed) for managed in running]]

    async def stop(self) -> None:
        """Kill all processes."""
        with trio.CancelScope(shield=True):
            managed_processes = [*self.hosts.values(), *self.upstreams.values()]
            for managed in [*managed_processes, self.platform]:
                if managed is not None and managed.process.poll() is None:
                    managed.process.send_signal(signal.SIGCONT)
                    managed.process.kill()
                    await managed.process.wait()

    async def _get_json(self, host: ManagedProcess, path: str) -> Any:
        try:
            status, response = await request_json(host.operator_address, "GET", path)
        except OSError:
            return None
        return response if status == 200 else None

    async def _start_limited(self, limit: trio.CapacityLimiter, start: Any, plan: Any) -> None:
        async with limit:
            await start(plan)

    async def _start_listening(self, name: str, args: list[str]) -> ManagedProcess:
        command = [sys.executable, "-m", "acaciasaddle.emulator", "--log-level", "warning", *args]
        process = await start_logged_process(self.directory, name, command, stdout=subprocess.PIPE)
        return ManagedProcess(
            name=name, process=process, address=await read_listening_address(process, name)
        )


@asynccontextmanager
async def running_fleet(plan: FleetPlan, directory: Path) -> AsyncIterator[Fleet]:
    """Start a fleet, and kill all its processes on exit."""
    fleet = Fleet(plan=plan, directory=directory)
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.stop()


async def start_logged_process(
    directory: Path, name: str, command: list[str], *, stdout: int | None = None
) -> trio.Process:
    """Start a process that writes its standard error to a log file.

    Its standard output goes to the same file unless ``stdout`` is given, as for ``subprocess``.
    """
    with open(directory / f"{name.replace('/', '-')}.log", "ab") as log_file:
        return await trio.lowlevel.open_process(
            command,
            stdout=log_file if stdout is None else stdout,
            stderr=log_file,
            env=dict(os.environ),
        )


async def read_listening_address(process: trio.Process, name: str) -> str:
    """Return the address that a stand-in prints once it listens; raises ``FleetError``."""
    assert process.stdout is not None
    line = b""
    with trio.move_on_after(START_LIMIT_S):
        while not line.endswith(b"\n") and (chunk := await process.stdout.receive_some(1024)):
            line += chunk
    if not line.endswith(b"\n"):
        raise FleetError(
            f"process ended or printed no address within {START_LIMIT_S:.0f} s",
            step="fleet.start",
            peer=name,
        )
    return str(json.loads(line)["ready"])


def reserve_port() -> int:
    """Return a free TCP port of 127.0.0.1 and reserve it until this process ends.

    The port is outside the range of outgoing connections, one of which could otherwise take it
    before it is used. The reservation is a bound UDP socket with the same port number: another
    test run cannot bind it and so does not return this port.
    """
    while True:
        port = random.randrange(*PORT_RANGE)
        reservation = socket.socket(type=socket.SOCK_DGRAM)
        try:
            reservation.bind(("127.0.0.1", port))
            with socket.socket() as sock:
                sock.bind(("127.0.0.1", port))
        except OSError:
            reservation.close()
            continue
        _port_reservations.append(reservation)
        return port


def _end_ownership(record: UpstreamRecord, boot_ms: float) -> UpstreamRecord:
    """Return the record of a killed process: each ``boot_until_ms`` is at most ``boot_ms``."""
    data = UPSTREAM_RECORD.dump_python(record)
    for owned in data["owned"]:
        owned["boot_until_ms"] = min(owned["boot_until_ms"], boot_ms)
    return UPSTREAM_RECORD.validate_python(data)

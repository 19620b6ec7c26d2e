"""The processes of a soak (store, upstreams and nodes), and the relays between them."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import trio

from acaciasaddle.emulator._fleet import START_LIMIT_S
from acaciasaddle.emulator._fleet import FleetError
from acaciasaddle.emulator._fleet import read_listening_address
from acaciasaddle.emulator._fleet import reserve_port
from acaciasaddle.emulator._fleet import start_logged_process
from acaciasaddle.emulator._json_http import request_json
from acaciasaddle.emulator.soak._faults import RESTORE_WITH_LATE_WRITES
from acaciasaddle.emulator.soak._records import RecordFile
from acaciasaddle.emulator.soak._relay import Relay
from acaciasaddle.platform.standins import COUNTED_S
from acaciasaddle.platform.standins import IDLE_TIMEOUT_S
from acaciasaddle.platform.standins import OPEN_SERVICE
from acaciasaddle.platform.standins import ROUTE_TIMEOUT_S
from acaciasaddle.platform.standins import SERVICE
from acaciasaddle.platform.standins import UpstreamSettings

if TYPE_CHECKING:
    from acaciasaddle.emulator.soak._faults import Fault

POLL_INTERVAL_S = 0.05
CONTROL_TIMEOUT_S = 15.0
"""A restore takes as long as the store is away."""
STOP_LIMIT_S = 12.0
"""The grace period of a node, 6 s, and as long again for a busy machine."""
RELOADS_IN_STOP_S = 2.5
"""A host that stops takes SIGHUP for this long: it ends no earlier than halfway through the grace
time."""
LATE_WRITES_S = 0.5
"""Writes that begin within this time before the store goes away take effect after its return."""
LATE_WRITES = 3
DATA_CENTRES = ("east", "west")
NODE_ARGS = ("-m", "acaciasaddle.node")


@dataclass(slots=True, kw_only=True)
class ManagedProcess:
    """A process that can be started again under the same name.

    For an upstream or a host, ``should_run`` is true from its start until the soak ends it. A host
    that stops still takes SIGHUP until ``reloads_until``, on trio's clock.
    """

    name: str
    command: list[str]
    process: trio.Process | None = None
    should_run: bool = False
    reloads_until: float = 0.0


@dataclass(slots=True, kw_only=True)
class Deployment:
    """All processes and relays of a soak.

    ``processes`` has the processes by name: ``store``, and the ids of the upstreams and hosts.
    ``relays`` are the relays by the ``target`` of their faults. ``node_args`` are the interpreter's
    arguments that run a node, before the path of its settings, and ``node_settings`` are further
    settings of all nodes.
    """

    directory: Path
    records: RecordFile
    nursery: trio.Nursery
    node_args: tuple[str, ...] = NODE_ARGS
    node_settings: dict[str, Any] = field(default_factory=dict)
    fail_share: float = 0.0
    slow_share: float = 0.0
    slots: int = 2
    pause_share: float = 0.0
    quiet_leave_s: float = 0.0
    route_timeout_s: float = ROUTE_TIMEOUT_S
    unused_routes: int = 0
    open_service: bool = False
    max_body_bytes: int = 1_048_576
    file_timeout_s: float = 0.0
    processes: dict[str, ManagedProcess] = field(default_factory=dict)
    host_addresses: dict[str, str] = field(default_factory=dict)
    readiness_addresses: dict[str, str] = field(default_factory=dict)
    relays: dict[str, Relay] = field(default_factory=dict)
    store_address: str = ""
    configuration_version: int = 0
    extra_routes: int = 0
    idle_timeout_s: float = IDLE_TIMEOUT_S
    measured_until: float = 0.0

    async def start(
        self, *, hosts: list[str], upstreams: list[str], open_upstreams: list[str]
    ) -> None:
        """Start all processes and wait until every host is ready.

        The ``open_upstreams`` are those of the service without keys.
        """
        self.open_service = bool(open_upstreams)
        command = [sys.executable, "-m", "acaciasaddle.emulator", "users-store"]
        self.processes["store"] = ManagedProcess(name="store", command=command)
        self.store_address = await self._start_listening(self.processes["store"])
        await self.change_configuration()
        async with trio.open_nursery() as nursery:
            for index, name in enumerate(upstreams):
                nursery.start_soon(self._add_upstream, name, index, SERVICE)
            for index, name in enumerate(open_upstreams):
                nursery.start_soon(self._add_upstream, name, index, OPEN_SERVICE)
            for index, name in enumerate(hosts):
                nursery.start_soon(self._add_host, name, index)

    async def _add_upstream(self, name: str, index: int, service: str) -> None:
        relay = self.relays[f"way to {name}"] = Relay()
        settings = UpstreamSettings(
            upstream_id=name,
            service=service,
            keyed=service == SERVICE,
            data_centre=DATA_CENTRES[index % len(DATA_CENTRES)],
            address=await self.nursery.start(relay.run),
            store_address=self.store_address,
            fail_share=self.fail_share,
            slow_share=self.slow_share,
            slots=self.slots,
            pause_share=self.pause_share,
            quiet_leave_s=self.quiet_leave_s,
        )
        path = self.directory / f"{name}.json"
        path.write_bytes(msgspec.json.encode(settings))
        command = [sys.executable, "-m", "acaciasaddle.emulator", "users-upstream", str(path)]
        command += ["--records", str(self.directory / f"{name}.records")]
        self.processes[name] = ManagedProcess(name=name, command=command)
        await self.start_process(name)

    async def _add_host(self, name: str, index: int) -> None:
        relay = self.relays[f"store of {name}"] = Relay(target=self.store_address)
        caller_address, readiness_address = (f"127.0.0.1:{reserve_port()}" for _ in range(2))
        settings = {
            "host_id": name,
            "data_centre": DATA_CENTRES[index % len(DATA_CENTRES)],
            "caller_address": caller_address,
            "readiness_address": readiness_address,
            "ip": "127.0.0.1",
            "ports": [reserve_port(), reserve_port()],
            "platform_address": await self.nursery.start(relay.run),
            **self.node_settings,
        }
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.processes[name] = ManagedProcess(
            name=name, command=[sys.executable, *self.node_args, str(path)]
        )
        self.host_addresses[name], self.readiness_addresses[name] = (
            caller_address,
            readiness_address,
        )
        await self.start_process(name)
        await self._wait_for_response(name, ready=True)

    async def _wait_for_response(self, name: str, *, ready: bool) -> None:
        """Wait until a host responds, and until it is ready if ``ready`` is set."""
        with trio.move_on_after(START_LIMIT_S):
            while True:
                try:
                    status, _ = await request_json(self.readiness_addresses[name], "GET", "/")
                except OSError:
                    status = 0
                if status == 200 or (status and not ready):
                    return
                process = self.processes[name].process
                if process is not None and process.poll() is not None:
                    raise FleetError(
                        f"exited with {process.returncode} during its start",
                        step="soak.start",
                        peer=name,
                    )
                await trio.sleep(POLL_INTERVAL_S)
        raise FleetError(
            f"host did not respond or was not ready within {START_LIMIT_S:.0f} s",
            step="soak.start",
            peer=name,
        )

    async def start_process(self, name: str) -> None:
        """Start or restart an upstream or a host."""
        managed = self.processes[name]
        relay = self.relays.get(f"way to {name}")
        if relay is not None:
            relay.target = await self._start_listening(managed)
        else:
            managed.process = await start_logged_process(self.directory, name, managed.command)
            # Before the node has installed its signal handlers, SIGTERM would end it with exit code
            # -15 and without a log line, so wait until it responds.
            await self._wait_for_response(name, ready=False)
        managed.should_run = True

    def pause(self, name: str) -> None:
        """Suspend a process."""
        self.records.add("signalled", name=name, signum=int(signal.SIGSTOP))
        self._signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process."""
        self._signal(name, signal.SIGCONT)

    def reload(self, name: str) -> None:
        """Send SIGHUP to a host that runs, or that began to stop a short time ago.

        The signal would end a process that has no handler for it, because it starts or exits.
        """
        managed = self.processes[name]
        if managed.should_run or trio.current_time() < managed.reloads_until:
            self.records.add("reloaded", name=name)
            self._signal(name, signal.SIGHUP)

    async def end(self, name: str, signum: int) -> bool:
        """Send a signal and return whether the process ended within ``STOP_LIMIT_S``.

        Kill it if it did not. In both cases the relay in front of an upstream then resets its
        connections and refuses new ones.
        """
        managed = self.processes[name]
        process = managed.process
        assert process is not None
        managed.should_run = False
        if signum == signal.SIGTERM:
            managed.reloads_until = trio.current_time() + RELOADS_IN_STOP_S
        self.records.add("signalled", name=name, signum=int(signum))
        self._signal(name, signum)
        with trio.move_on_after(STOP_LIMIT_S) as waiting:
            await process.wait()
        if waiting.cancelled_caught:
            process.kill()
            await process.wait()
        relay = self.relays.get(f"way to {name}")
        if relay is not None:
            relay.target = ""
            relay.reset()
        self.records.add("dead", upstream=name, code=process.returncode)
        return not waiting.cancelled_caught

    def unexpected_exits(self) -> list[str]:
        """Return the names and exit codes of upstreams and hosts that ended on their own."""
        return [
            f"{managed.name} exited with {managed.process.returncode}"
            for managed in self.processes.values()
            if managed.should_run
            and managed.process is not None
            and managed.process.poll() is not None
        ]

    def running_hosts(self) -> dict[str, str]:
        """Return the caller addresses of hosts whose process runs or is paused, by id."""
        return {
            name: address
            for name, address in self.host_addresses.items()
            if (process := self.processes[name].process) is not None and process.poll() is None
        }

    async def change_configuration(self, *, idle_timeout_s: float | None = None) -> None:
        """Write a configuration with one more extra route and a version that is higher by 3.

        It also changes the idle limit if ``idle_timeout_s`` is given.
        """
        started = time.monotonic()
        self.idle_timeout_s = idle_timeout_s or self.idle_timeout_s
        self.configuration_version += 3
        self.extra_routes += 1
        options = {
            "version": self.configuration_version,
            "extra_routes": self.extra_routes,
            "timeout_s": self.route_timeout_s,
            "unused_routes": self.unused_routes,
            "idle_timeout_s": self.idle_timeout_s,
            "open_service": self.open_service,
            "max_body_bytes": self.max_body_bytes,
            "file_timeout_s": self.file_timeout_s,
        }
        await self.control_store("configuration", options)
        self.records.add("configured", started=started, version=self.configuration_version)

    async def restore_store(self, fault: Fault) -> None:
        """Let the store be away and come back from a copy; hosts cannot connect meanwhile."""
        if fault.name == RESTORE_WITH_LATE_WRITES:
            late_s = LATE_WRITES_S + fault.length_s + LATE_WRITES_S
            await self.control_store("faults", {"late": LATE_WRITES, "late_s": late_s})
            await trio.sleep(LATE_WRITES_S)
        ways = [relay for name, relay in self.relays.items() if name.startswith("store of ")]
        for relay in ways:
            relay.target = ""
            relay.reset()
        left = time.monotonic()
        async with trio.open_nursery() as nursery:

            async def reopen() -> None:
                await trio.sleep(fault.length_s)
                for relay in ways:
                    relay.target = self.store_address

            nursery.start_soon(reopen)
            restore = {"age_s": fault.age_s, "away_s": fault.length_s}
            response = await self.control_store("restore", restore)
        self.measured_until = trio.current_time() + COUNTED_S
        self.records.add("restored", left=left, returned=response["returned_at"], age_s=fault.age_s)
        if fault.name == RESTORE_WITH_LATE_WRITES:
            await self.control_store("faults", {})

    async def control_store(self, action: str, body: Any) -> Any:
        """Send a control request to the store stand-in and return the body of its response.

        Raises ``FleetError`` if it is refused.
        """
        status, response = await request_json(
            self.store_address, "POST", f"/standin/{action}", body, timeout=CONTROL_TIMEOUT_S
        )
        if status != 200:
            raise FleetError(
                f"control request got status {status}", step=f"soak.{action}", peer="store"
            )
        return response

    async def stop(self) -> None:
        """Kill all processes that still run."""
        with trio.CancelScope(shield=True):
            for managed in self.processes.values():
                if managed.process is not None and managed.process.poll() is None:
                    managed.process.kill()
                    await managed.process.wait()

    def _signal(self, name: str, signum: int) -> None:
        process = self.processes[name].process
        if process is not None and process.poll() is None:
            process.send_signal(signum)

    async def _start_listening(self, managed: ManagedProcess) -> str:
        managed.process = await start_logged_process(
            self.directory, managed.name, managed.command, stdout=subprocess.PIPE
        )
        return await read_listening_address(managed.process, managed.name)

"""Starts the project's program as the deploy file does, and ends what was started."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import tempfile
from pathlib import Path

from standins.http1 import read_message
from standins.http1 import request
from standins.record import Record
from standins.store import Store

ROOT = Path(__file__).resolve().parents[2]
DEPS = ROOT / "target" / "deps"
START_LIMIT_S = 20.0
RESTART_S = 0.5


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Node:
    """One machine's process. ``restarts`` is on as on the platform: a process that ends returns."""

    def __init__(self, *, name: str, zone: str, store: str, directory: Path, record: Record):
        self.name, self.directory, self.record = name, directory, record
        self.caller_address = f"127.0.0.1:{free_port()}"
        self.readiness_address = f"127.0.0.1:{free_port()}"
        first = free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.own_ends = 0
        self.ending = False
        self._watch: asyncio.Task | None = None
        # As deploy/node.json.template renders it for an edge machine of the site.
        settings = {
            "host_id": name,
            "data_centre": zone,
            "ip": "127.0.0.1",
            "caller_address": self.caller_address,
            "readiness_address": self.readiness_address,
            "ports": [first, first],
            "metrics_address": f"127.0.0.1:{free_port()}",
            "platform_address": store,
            "capacity": {"cores": 0.86, "bandwidth_mbps": 1000.0},
            "bounds": {
                "grace_s": 6,
                "max_lease_s": 10,
                "repeat_ratio": 0.2,
                "repeat_window_s": 10,
                "repeat_slack": 64,
            },
        }
        self.settings = directory / f"{name}.json"
        self.settings.write_text(json.dumps(settings))

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        log = (self.directory / f"{self.name}.log").open("ab")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["PYTHONPATH"] = str(DEPS)
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "-m",
            "acaciasaddle.node",
            str(self.settings),
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        if self._watch is None:
            self._watch = asyncio.create_task(self._restart())

    async def _restart(self) -> None:
        while True:
            assert self.process is not None
            code = await self.process.wait()
            if self.ending:
                return
            self.own_ends += 1
            self.record.add("process ended by itself", node=self.name, code=code)
            await asyncio.sleep(RESTART_S)
            if not self.ending:
                await self.start()
            if self.ending:
                self.signal(signal.SIGKILL)

    async def ready(self) -> bool:
        try:
            host, port = self.readiness_address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request("GET", "/acaciasaddle/readyz", {"Host": self.readiness_address}))
            message = await asyncio.wait_for(read_message(reader), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return message is not None and message.status == 200

    async def wait_until_ready(self) -> bool:
        for _ in range(int(START_LIMIT_S / 0.1)):
            if await self.ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        self.ending = True
        if self._watch is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self._watch

    def log_tail(self, lines: int = 12) -> str:
        path = self.directory / f"{self.name}.log"
        if not path.exists():
            return ""
        return "\n".join(path.read_text(errors="replace").splitlines()[-lines:])


class Fleet:
    """A store and nodes in a temporary folder."""

    def __init__(self, *, record: Record, nodes: int) -> None:
        self.record = record
        self._folder = tempfile.TemporaryDirectory(prefix="acaciasaddle-review-")
        self.directory = Path(self._folder.name)
        self.store = Store()
        self.nodes: list[Node] = []
        self._count = nodes

    async def start_store(self) -> None:
        await self.store.start()

    async def start_nodes(self) -> bool:
        """Start all nodes, and return whether all are ready."""
        for index in range(self._count):
            node = Node(
                name=f"edge-{index + 1}",
                zone=f"zone-{index % 2 + 1}",
                store=self.store.address,
                directory=self.directory,
                record=self.record,
            )
            self.nodes.append(node)
            await node.start()
        return all(await asyncio.gather(*(node.wait_until_ready() for node in self.nodes)))

    async def stop(self) -> None:
        for node in self.nodes:
            await node.end()
        self._folder.cleanup()


HOST = "bands.example"


def manifest(*, version: int = 1, timeout_s: float = 1.5) -> dict:
    """Return a manifest with a keyed and a plain service, and a route of each kind."""

    def route(name: str, prefix: str, kind: str, service: str) -> dict:
        return {
            "name": name,
            "prefix": prefix,
            "routeType": kind,
            "service": service,
            "timeoutS": timeout_s,
            "targetLatencyS": 0.8,
            "priority": 1,
            "maxAttempts": 2,
        }

    return {
        "version": version,
        "services": [
            {
                "name": "bookings",
                "healthPath": "/healthz",
                "maxConnections": 130,
                "sharded": True,
                "warmupS": 3.0,
            },
            {"name": "roster", "healthPath": "/healthz", "maxConnections": 130},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        },
        "virtualHosts": [
            {
                "host": HOST,
                "paths": [
                    route("read", "/read/", "idempotent", "bookings"),
                    route("deposit", "/deposit/", "non_idempotent", "bookings"),
                    route("hold", "/hold/", "non_idempotent", "roster"),
                    route("upload", "/upload/", "upload", "roster"),
                ],
            }
        ],
    }

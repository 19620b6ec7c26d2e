"""Coordinators, a table and upstreams that hold keys, in one process on a mock clock.

The upstreams follow the platform's specification: they refuse a grant whose fencing token is below
the highest one seen for a key, and a lease starts when its grant arrives.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import trio
from trio.testing import MockClock

from acaciasaddle.clock import TrioClock
from acaciasaddle.emulator._store import MemoryTable
from acaciasaddle.emulator._store import TableStore
from acaciasaddle.errors import Outcome
from acaciasaddle.errors import UpstreamError
from acaciasaddle.errors import UpstreamUnreachableError
from acaciasaddle.fleet import FleetView
from acaciasaddle.fleet import RegistryChange
from acaciasaddle.fleet import UpstreamEntry
from acaciasaddle.fleet import UpstreamIncarnation
from acaciasaddle.keyspace import Coordinator
from acaciasaddle.keyspace import FencedError
from acaciasaddle.keyspace import KeyOrders
from acaciasaddle.keyspace import LoadHistory
from acaciasaddle.keyspace import ReplacedError
from acaciasaddle.routing import CallerLimits
from acaciasaddle.routing import Configuration
from acaciasaddle.routing import Service

if TYPE_CHECKING:
    from collections.abc import Sequence

    from acaciasaddle.keyspace import KeyRange
    from acaciasaddle.keyspace import Owner

SERVICE = "bookings"
BUCKETS = 64
"""Number of evenly spaced keys for which ownership is checked."""
BUCKET_SIZE = 65_536 // BUCKETS
MAX_LEASE_S = 10.0
SLOW_CLOCK_FACTOR = 1.02
RTT_S = 0.002
CONFIGURATION = Configuration(
    version=1,
    routes=(),
    services={
        SERVICE: Service(
            name=SERVICE, health_path="/", max_connections=130, keyed=True, warmup_s=3.0
        )
    },
    limits=CallerLimits(),
)


@dataclass
class KeyServer:
    """An upstream whose clock runs 2% slow."""

    entry: UpstreamEntry
    fences: dict[int, int] = field(default_factory=dict)
    held_until: dict[int, float] = field(default_factory=dict)
    alive: bool = True
    silent: bool = False
    replaced: bool = False
    loses_responses: bool = False
    work_s: float = 0.0

    def holds(self, bucket: int) -> bool:
        return self.alive and self.held_until.get(bucket, 0.0) > trio.current_time()


class ServerOrders(KeyOrders):
    """Orders of one host to the upstreams. If ``cut_off`` is true, it reaches none of them."""

    def __init__(self, fleet: KeyFleet) -> None:
        self._fleet = fleet
        self.cut_off = False

    async def grant(
        self,
        owner: Owner,
        keys: KeyRange,
        *,
        fence: int,
        lease_s: float,
        handover: str,
        timeout_s: float,
    ) -> None:
        server = await self._reach(owner, timeout_s)
        buckets = self._buckets(keys)
        if any(server.fences.get(bucket, 0) > fence for bucket in buckets):
            raise FencedError("the fencing token is too low", step="grant")
        for bucket in buckets:
            server.fences[bucket] = fence
            server.held_until[bucket] = trio.current_time() + lease_s * SLOW_CLOCK_FACTOR
            self._fleet.check_single_holder(bucket, "grant")
        self._fleet.grants.append((owner.incarnation.upstream_id, keys, handover))
        await self._respond(server, timeout_s)

    async def release(self, owner: Owner, keys: KeyRange, *, fence: int, timeout_s: float) -> str:
        server = await self._reach(owner, timeout_s)
        for bucket in self._buckets(keys):
            server.fences[bucket] = max(fence, server.fences.get(bucket, 0))
            server.held_until.pop(bucket, None)
        await trio.sleep(server.work_s)
        await self._respond(server, timeout_s)
        return f"handover-{owner.incarnation.upstream_id}"

    async def reachable(self, address: str, *, timeout_s: float) -> bool:
        server = self._fleet.server_at(address)
        return server.alive and not server.silent and not self.cut_off

    def close_connection(self, address: str) -> None:
        pass

    async def _reach(self, owner: Owner, timeout_s: float) -> KeyServer:
        await trio.sleep(RTT_S)
        server = self._fleet.server_at(owner.address)
        if server.replaced:
            raise ReplacedError("another upstream has the address", step="order")
        if self.cut_off or server.silent or not server.alive:
            await trio.sleep(timeout_s)
            raise UpstreamUnreachableError(
                "the upstream is unreachable", outcome=Outcome.NOT_RUN, step="order"
            )
        return server

    async def _respond(self, server: KeyServer, timeout_s: float) -> None:
        if server.loses_responses:
            await trio.sleep(timeout_s)
            raise UpstreamError("no response arrived", outcome=Outcome.UNKNOWN, step="order")

    @staticmethod
    def _buckets(keys: KeyRange) -> list[int]:
        return [bucket for bucket in range(BUCKETS) if bucket * BUCKET_SIZE in keys]


@dataclass
class Host:
    """A host that competes for the coordinator's role."""

    name: str
    coordinator: Coordinator
    orders: ServerOrders
    table: MemoryTable
    view: FleetView
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


class KeyFleet:
    """Upstreams and hosts. Records when two upstreams hold a key at the same time."""

    def __init__(
        self, *, hosts: int, upstreams: int, takeover_delays_s: Sequence[float] = ()
    ) -> None:
        """``takeover_delays_s`` has the time for which each host leaves a free role to others.

        Missing ones are 0.
        """
        self.store = TableStore()
        self.grants: list[tuple[str, KeyRange, str]] = []
        self.violations: list[str] = []
        self.unowned_s = 0.0
        self._started = 0
        self.servers = [self._server(f"u{index + 1}") for index in range(upstreams)]
        delays = [*takeover_delays_s, *[0.0] * hosts]
        self.hosts = [self._host(f"h{index + 1}", delays[index]) for index in range(hosts)]

    def _server(self, name: str) -> KeyServer:
        self._started += 1
        incarnation = UpstreamIncarnation(upstream_id=name, started_ms=self._started)
        return KeyServer(
            entry=UpstreamEntry(
                life=incarnation,
                service=SERVICE,
                address=f"10.0.0.{self._started}:80",
                data_centre="east",
                slots=2,
                draining=False,
                cold_s=0.0,
            )
        )

    def _host(self, name: str, takeover_delay_s: float) -> Host:
        clock = TrioClock()
        view = FleetView(clock=clock)
        orders = ServerOrders(self)
        table = MemoryTable(store=self.store)
        coordinator = Coordinator(
            member=f"{name}@1",
            address=f"{name}:1",
            view=view,
            table=table,
            orders=orders,
            clock=clock,
            load=LoadHistory(),
            max_lease_s=MAX_LEASE_S,
            takeover_delay_s=takeover_delay_s,
        )
        return Host(name=name, coordinator=coordinator, orders=orders, table=table, view=view)

    def server_at(self, address: str) -> KeyServer:
        return next(server for server in self.servers if server.entry.address == address)

    def server(self, name: str) -> KeyServer:
        return next(s for s in self.servers if s.entry.upstream_id == name)

    def coordinator_host(self) -> Host | None:
        return next((host for host in self.hosts if host.coordinator.leading), None)

    def check_single_holder(self, bucket: int, event: str) -> None:
        holders = [s.entry.upstream_id for s in self.servers if s.holds(bucket)]
        if len(holders) > 1:
            self.violations.append(f"{event} at {trio.current_time():.2f}: {holders}")

    def register(self, servers: list[KeyServer] | None = None) -> None:
        """Apply the entries of all servers, or of the given ones, to the views of all hosts."""
        entries = {
            server.entry.upstream_id: server.entry
            for server in (self.servers if servers is None else servers)
        }
        for host in self.hosts:
            host.view.apply_registry(RegistryChange(revision=1, complete=True, entries=entries))

    def unowned(self) -> list[int]:
        return [b for b in range(BUCKETS) if not any(s.holds(b) for s in self.servers)]

    async def measure_unowned(self) -> None:
        """Add up the time during which any checked key has no owner.

        ``start`` runs this from 3 s on, to leave out the time before the first grants.
        """
        while True:
            await trio.sleep(0.05)
            if self.unowned():
                self.unowned_s += 0.05

    async def start(self, nursery: trio.Nursery) -> None:
        for host in self.hosts:
            host.view.apply_configuration(CONFIGURATION)
        self.register()
        for host in self.hosts:
            nursery.start_soon(self._run, host)
        await trio.sleep(3.0)
        self.unowned_s = 0.0
        nursery.start_soon(self.measure_unowned)

    @staticmethod
    async def _run(host: Host) -> None:
        with host.scope:
            await host.coordinator.run()
        host.coordinator._role.taken = False


def run_fleet(fleet: KeyFleet, script: list[tuple[float, object]]) -> None:
    """Run a fleet and a script: a list of pauses in seconds, each followed by an action."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            for pause_s, action in script:
                await trio.sleep(pause_s)
                if callable(action):
                    action()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))

"""Coordinators, a table and upstreams that hold keys, in one process on a mock clock.

The upstreams follow the platform's specification: they refuse a grant whose fencing token is below
the highest one seen for a key, and a lease starts when its grant arrives.
"""

from __future__ import annotations

from collections.abc import Callable
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
"""Number of equal ranges into which all keys are divided. Ownership is checked for the first key of
each."""
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
class KeyUpstream:
    """An upstream whose clock runs 2% slow.

    While it is ``silent`` or ``frozen``, it carries out no orders but holds its keys until their
    leases end. A silent one accepts no connections; whether a frozen one has carried out an order
    is not known. Once it is no longer ``alive``, it holds none. ``replaced`` is true once another
    upstream has its address. If ``loses_responses`` is true, it carries out orders but its
    responses are lost. If ``ignores_releases`` is true, it carries out no releases. ``work_s`` is
    the time for which a release waits for work in progress, ``grant_response_s`` that after which
    the response to a grant arrives. ``after_grant`` is called once, when the next grant has been
    carried out.
    """

    entry: UpstreamEntry
    fences: dict[int, int] = field(default_factory=dict)
    held_until: dict[int, float] = field(default_factory=dict)
    alive: bool = True
    silent: bool = False
    frozen: bool = False
    replaced: bool = False
    loses_responses: bool = False
    ignores_releases: bool = False
    work_s: float = 0.0
    grant_response_s: float = 0.0
    after_grant: Callable[[], None] | None = None

    def holds(self, bucket: int) -> bool:
        return self.alive and self.held_until.get(bucket, 0.0) > trio.current_time()


class UpstreamOrders(KeyOrders):
    """Orders of one host to the upstreams. If ``cut_off`` is true, it reaches none of them.

    ``sent_at`` has the time of each grant and release.
    """

    def __init__(self, fleet: KeyFleet) -> None:
        self._fleet = fleet
        self.cut_off = False
        self.sent_at: list[float] = []

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
        upstream = await self._reach(owner, timeout_s)
        buckets = self._buckets(keys)
        if any(upstream.fences.get(bucket, 0) > fence for bucket in buckets):
            raise FencedError("the fencing token is too low", step="grant")
        for bucket in buckets:
            upstream.fences[bucket] = fence
            upstream.held_until[bucket] = trio.current_time() + lease_s * SLOW_CLOCK_FACTOR
            self._fleet.check_single_holder(bucket, "grant")
        self._fleet.grants.append((owner.incarnation.upstream_id, keys, handover))
        if upstream.after_grant is not None:
            act, upstream.after_grant = upstream.after_grant, None
            act()
        await trio.sleep(upstream.grant_response_s)
        await self._respond(upstream, timeout_s)

    async def release(self, owner: Owner, keys: KeyRange, *, fence: int, timeout_s: float) -> str:
        upstream = await self._reach(owner, timeout_s)
        if upstream.ignores_releases:
            await trio.sleep(timeout_s)
            raise UpstreamError("no response arrived", outcome=Outcome.UNKNOWN, step="order")
        for bucket in self._buckets(keys):
            upstream.fences[bucket] = max(fence, upstream.fences.get(bucket, 0))
            upstream.held_until.pop(bucket, None)
        await trio.sleep(upstream.work_s)
        await self._respond(upstream, timeout_s)
        return f"handover-{owner.incarnation.upstream_id}"

    async def responds(self, address: str, *, health_path: str, timeout_s: float) -> bool:
        upstream = self._fleet.upstream_at(address)
        return upstream.alive and not (upstream.silent or upstream.frozen or self.cut_off)

    def close_connection(self, address: str) -> None:
        pass

    async def _reach(self, owner: Owner, timeout_s: float) -> KeyUpstream:
        self.sent_at.append(trio.current_time())
        await trio.sleep(RTT_S)
        upstream = self._fleet.upstream_at(owner.address)
        if upstream.replaced:
            raise ReplacedError("another upstream has the address", step="order")
        if self.cut_off or upstream.silent or not upstream.alive:
            await trio.sleep(timeout_s)
            raise UpstreamUnreachableError(
                "the upstream is unreachable", outcome=Outcome.NOT_RUN, step="order"
            )
        if upstream.frozen:
            await trio.sleep(timeout_s)
            raise UpstreamError("no response arrived", outcome=Outcome.UNKNOWN, step="order")
        return upstream

    async def _respond(self, upstream: KeyUpstream, timeout_s: float) -> None:
        if upstream.loses_responses:
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
    orders: UpstreamOrders
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
        self.upstreams = [self._upstream(f"u{index + 1}") for index in range(upstreams)]
        delays = [*takeover_delays_s, *[0.0] * hosts]
        self.hosts = [self._host(f"h{index + 1}", delays[index]) for index in range(hosts)]

    def _upstream(self, name: str) -> KeyUpstream:
        self._started += 1
        incarnation = UpstreamIncarnation(upstream_id=name, started_ms=self._started)
        return KeyUpstream(
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
        orders = UpstreamOrders(self)
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

    def upstream_at(self, address: str) -> KeyUpstream:
        return next(upstream for upstream in self.upstreams if upstream.entry.address == address)

    def upstream(self, name: str) -> KeyUpstream:
        return next(upstream for upstream in self.upstreams if upstream.entry.upstream_id == name)

    def coordinator_host(self) -> Host | None:
        return next((host for host in self.hosts if host.coordinator.leading), None)

    def check_single_holder(self, bucket: int, event: str) -> None:
        holders = [
            upstream.entry.upstream_id for upstream in self.upstreams if upstream.holds(bucket)
        ]
        if len(holders) > 1:
            self.violations.append(f"{event} at {trio.current_time():.2f}: {holders}")

    def register(self, upstreams: list[KeyUpstream] | None = None) -> None:
        """Apply the entries of all upstreams, or of the given ones, to the views of all hosts."""
        entries = {
            upstream.entry.upstream_id: upstream.entry
            for upstream in (self.upstreams if upstreams is None else upstreams)
        }
        for host in self.hosts:
            host.view.apply_registry(RegistryChange(revision=1, complete=True, entries=entries))

    def unowned(self) -> list[int]:
        return [
            bucket
            for bucket in range(BUCKETS)
            if not any(upstream.holds(bucket) for upstream in self.upstreams)
        ]

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

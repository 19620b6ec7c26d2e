"""Simulated system of a trial: hosts, upstreams, table and network."""

from __future__ import annotations

import json
import random
import uuid
from collections import Counter
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

import trio
from features.support.domains import Domain
from features.support.domains import is_suspended
from features.support.http_server import serve
from features.support.network import MemoryBackend
from features.support.network import Network
from features.support.step_events import StepEvent
from features.support.step_events import StepNames

from acaciasaddle.clock import TrioClock
from acaciasaddle.config import Settings
from acaciasaddle.emulator import UpstreamModel
from acaciasaddle.emulator import UpstreamSettings
from acaciasaddle.emulator._store import MemoryTable
from acaciasaddle.emulator._store import StoreFaults
from acaciasaddle.emulator._store import TableStore
from acaciasaddle.emulator._upstream_app import UpstreamApp
from acaciasaddle.entry._host import EntryHost
from acaciasaddle.entry._host import HostDependencies
from acaciasaddle.model import UpstreamId
from acaciasaddle.model import shard_of

if TYPE_CHECKING:

    from acaciasaddle.emulator._records import UpstreamRecord
    from acaciasaddle.emulator._store import StoreState
    from acaciasaddle.model import Row

SERVICE = "bookings"
SHARDS = 9
START_TIMEOUT_S = 30.0
NORTH = "north"
EAST = "east"


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamPlan:
    """An upstream of a trial. Without ``checks_orders`` it runs requests of any term and unit."""

    name: str
    data_centre: str = NORTH
    checks_orders: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class Layout:
    """The data centre of each host, and the upstreams."""

    hosts: Mapping[str, str]
    upstreams: tuple[UpstreamPlan, ...]


ONE_DATA_CENTRE = Layout(
    hosts={"a": NORTH, "b": NORTH, "c": NORTH},
    upstreams=(
        UpstreamPlan(name="u0"),
        UpstreamPlan(name="u1"),
        UpstreamPlan(name="u2", checks_orders=False),
    ),
)
TWO_DATA_CENTRES = Layout(
    hosts={"a": NORTH, "b": NORTH, "c": EAST, "d": EAST},
    upstreams=(
        UpstreamPlan(name="u0"),
        UpstreamPlan(name="u1", data_centre=EAST),
        UpstreamPlan(name="u2", data_centre=EAST, checks_orders=False),
    ),
)

KINDS: list[dict[str, Any]] = [
    {"name": "lookup", "method": "GET", "path": "/bookings/{key}", "rank": "normal"},
    {
        "name": "deposit",
        "method": "POST",
        "path": "/bookings/{key}/deposit",
        "rank": "urgent",
        "once": True,
        "idempotent": False,
    },
    {
        "name": "recording",
        "method": "PUT",
        "path": "/bookings/{key}/recording",
        "rank": "bulk",
        "bulky": True,
    },
]
RULES: dict[str, Any] = {
    "ranks": [
        {"name": "urgent", "target_ms": 4000, "share": 0.6},
        {"name": "normal", "target_ms": 4000, "share": 0.25},
        {"name": "bulk", "target_ms": 20000, "share": 0.1},
    ],
    "kinds": [{"service": SERVICE, **kind} for kind in KINDS],
}


class RecordingStore(TableStore):
    """Store that records the rows that each transaction wrote, with the time."""

    def __init__(self) -> None:
        super().__init__()
        self.history: list[tuple[float, Row]] = []

    def transact(
        self, *, conditions: Mapping[str, int], puts: Mapping[str, Any]
    ) -> tuple[Row, ...]:
        rows = super().transact(conditions=conditions, puts=puts)
        self.history.extend((trio.current_time(), row) for row in rows)
        return rows


class SimulatedTable(MemoryTable):
    """A host's access to the table; a call's start and, on success, its end are steps."""

    def __init__(self, *, system: SimulatedSystem, host_id: str) -> None:
        super().__init__(store=system.store, faults=StoreFaults())
        self._system = system
        self._host_id = host_id

    async def read(self, key: str) -> Row | None:
        await self._step("before table read")
        row = await super().read(key)
        await self._step("after table read")
        return row

    async def scan(self, prefix: str, *, since: int, wait_s: float = 0.0) -> Any:
        await self._step("before table scan")
        scan = await super().scan(prefix, since=since)
        await self._step("after table scan")
        return scan

    async def transact(
        self, *, conditions: Mapping[str, int], puts: Mapping[str, Any]
    ) -> tuple[Row, ...]:
        row_kinds = "+".join(sorted({key.split("/", 1)[0] for key in puts}))
        await self._step(f"before write of {row_kinds}")
        rows = await super().transact(conditions=conditions, puts=puts)
        await self._step(f"after write of {row_kinds}")
        return rows

    async def _step(self, name: str) -> None:
        await self._system.step(
            [StepEvent(name=f"host {name}", actor=self._host_id, counterpart="store")]
        )


class _CallerListener:
    """Stand-in for the caller listener; ``stop`` waits for the requests in progress."""

    def __init__(self, host: EntryHost) -> None:
        self._host = host

    async def stop(self) -> None:
        while self._host.ingress.in_progress:
            await trio.sleep(0.01)


class SimulatedHost:
    """One incarnation of an entry host; a replacement has the same id."""

    def __init__(
        self, *, system: SimulatedSystem, host_id: str, data_centre: str, number: int
    ) -> None:
        self.id = host_id
        self.data_centre = data_centre
        self.domain = Domain()
        self.alive = True
        self.leaving = False
        self.stopped_at: float | None = None
        self.address = f"10.0.0.{number}:7000"
        self.table = SimulatedTable(system=system, host_id=host_id)
        self._system = system
        self.nursery: trio.Nursery
        settings = Settings(
            host_id=host_id,
            data_centre=data_centre,
            caller_address=f"10.0.0.{number}:80",
            peer_address=self.address,
            operator_address=f"10.0.0.{number}:81",
            platform_address="10.0.9.9:80",
            seeds=tuple(
                f"10.0.0.{i + 1}:7000" for i in range(len(system.layout.hosts)) if i + 1 != number
            ),
        )

        async def connect(address: str) -> trio.abc.Stream:
            return await system.network.connect(host_id, address)

        async def listen(address: str) -> Any:
            return system.network.listen(host_id, address), address

        self.host = EntryHost(
            settings=settings,
            dependencies=HostDependencies(
                table=self.table,
                clock=TrioClock(),
                backend=MemoryBackend(network=system.network, endpoint=host_id),
                connect=connect,
                listen=listen,
            ),
            listeners=False,
        )
        # ``EntryHost.stop`` stops the caller listener only if the host has listeners.
        listener: Any = _CallerListener(self.host)
        self.host.caller_listener = listener
        self.host._listeners = (listener, listener)

    async def run(self) -> None:
        """Run the host until it stops or is cancelled; a stop also resets its connections."""
        async with trio.open_nursery() as self.nursery:
            await self.host.run()
            self.alive = False
            self._system.network.remove_endpoint(self.id)
            self.nursery.cancel_scope.cancel()

    @property
    def accepts_requests(self) -> bool:
        """Whether the host is alive, not leaving and not suspended."""
        return self.alive and not self.leaving and not self.domain.suspended

    def kill(self) -> None:
        """End the process at once: its tasks run no further, and its connections are reset."""
        self.alive = False
        self.domain.suspend()
        self._system.network.remove_endpoint(self.id)

    def pause(self) -> None:
        """Suspend the process, as SIGSTOP does."""
        self.domain.suspend()

    def resume(self) -> None:
        """Continue after ``pause``, unless the host has been killed or has stopped."""
        if self.alive:
            self.domain.resume()

    def start_soon(self, function: Callable[..., Any], *args: Any) -> None:
        """Run a function as a task of the host."""
        with self.domain.enter():
            self.nursery.start_soon(function, *args)


class SimulatedUpstream:
    """One upstream with all its incarnations."""

    def __init__(self, *, system: SimulatedSystem, plan: UpstreamPlan, number: int) -> None:
        self.plan = plan
        self.address = f"10.0.1.{number}:80"
        self.id = UpstreamId(SERVICE, plan.name)
        self._system = system
        self._earlier_records: list[UpstreamRecord] = []
        self._scope = trio.CancelScope()
        self.model = self._new_model()

    def _new_model(self) -> UpstreamModel:
        # The grace period is longer than a trial, so that a leaving stand-in refuses no work, and
        # work that the system should not have sent shows up in its record.
        settings = UpstreamSettings(
            name=self.plan.name,
            checks_orders=self.plan.checks_orders,
            slots=2,
            queue=4,
            work_ms=20,
            lag_ms=300,
            leave_grace_ms=1e9,
        )
        offset_ms = self._system.rng.uniform(0, 1e6)
        return self._system.parts.model(settings, offset_ms)

    def start(self) -> None:
        """Start to serve requests with the current model."""
        self._system.nursery.start_soon(self._run)

    async def _run(self) -> None:
        listener = self._system.network.listen(self.plan.name, self.address)
        with trio.CancelScope() as self._scope:
            await serve(listener, UpstreamApp(model=self.model))

    def kill(self) -> None:
        """End the process: connections are reset, work in progress is dropped."""
        self._earlier_records.append(self.model.record())
        self._system.network.remove_endpoint(self.plan.name)
        self._scope.cancel()

    def restart(self) -> None:
        """Start a new incarnation after ``kill``."""
        self.model = self._new_model()
        self.start()

    def records(self) -> list[UpstreamRecord]:
        """Return the records of all incarnations."""
        return [*self._earlier_records, self.model.record()]


@dataclass(kw_only=True)
class SystemParts:
    """Parts of the system that a proof can replace by defective ones."""

    model: Callable[[UpstreamSettings, float], UpstreamModel] = field(
        default=lambda settings, offset_ms: UpstreamModel(
            settings=settings, clock=TrioClock(), offset_ms=offset_ms
        )
    )


class SimulatedSystem:
    """The system of one trial, in one trio program with a mock clock.

    ``steps`` counts the steps by name. ``on_step`` is called with each step and its occurrence,
    counted from 0. ``leave_periods`` lists the upstreams that a fault made leave, each with the
    start and the end of that time.
    """

    def __init__(self, *, layout: Layout, seed: int, parts: SystemParts | None = None) -> None:
        self.layout = layout
        self.rng = random.Random(seed)
        self.parts = parts or SystemParts()
        self.store = RecordingStore()
        self.network = Network()
        self.network.before_send = self._before_send
        self.network.after_receive = self._after_receive
        self._step_names = StepNames(frozenset(plan.name for plan in layout.upstreams))
        self.steps: Counter[str] = Counter()
        self.on_step: Callable[[StepEvent, int], None] | None = None
        self.nursery: trio.Nursery
        self.hosts: dict[str, SimulatedHost] = {}
        self.replaced_hosts: list[SimulatedHost] = []
        self.upstreams: dict[str, SimulatedUpstream] = {}
        self.leave_periods: list[tuple[str, float, float]] = []
        self._recording = False

    async def start(self, nursery: trio.Nursery) -> None:
        """Start upstreams and hosts, and return once the system is settled.

        Every mirror is complete then, units of upstreams that check orders are granted, each
        upstream with units is ready and has a successor, and the numbers of upstreams that the
        hosts of a data centre hold differ by at most one. Steps are recorded from then on. Raise
        ``trio.TooSlowError`` if the system is not settled after ``START_TIMEOUT_S``.
        """
        self.nursery = nursery
        for number, plan in enumerate(self.layout.upstreams):
            upstream = SimulatedUpstream(system=self, plan=plan, number=number + 1)
            self.upstreams[plan.name] = upstream
            upstream.start()
        self.store.transact(
            conditions={"config/current": 0, "config/history/1": 0},
            puts={
                "config/current": self.configuration_row(),
                "config/history/1": {
                    "version": 1,
                    "change_id": "first",
                    "author": "test",
                    "write_id": "first",
                },
            },
        )
        for host_id in self.layout.hosts:
            self.start_host(host_id)
        await self._wait_until_settled()
        self._recording = True

    def configuration_row(self) -> dict[str, Any]:
        """Return the value of the row of the first configuration."""
        return {
            "version": 1,
            "change_id": "first",
            "author": "test",
            "inventory": self.inventory(),
            "rules": RULES,
            "write_id": "first",
        }

    def inventory(self, *, leaving: tuple[str, ...] = ()) -> dict[str, Any]:
        """Return the inventory; the upstreams in ``leaving`` have the state "leaving"."""
        return {
            "data_centres": [{"name": name} for name in sorted(set(self.layout.hosts.values()))],
            "services": [
                {
                    "name": SERVICE,
                    "shards": SHARDS,
                    "upstreams": [
                        {
                            "name": upstream.plan.name,
                            "address": upstream.address,
                            "data_centre": upstream.plan.data_centre,
                            "slots": 2,
                            "checks_orders": upstream.plan.checks_orders,
                            "state": "leaving" if upstream.plan.name in leaving else "active",
                        }
                        for upstream in self.upstreams.values()
                    ],
                }
            ],
        }

    def start_host(self, host_id: str) -> SimulatedHost:
        """Start a host.

        If there was one with this id, a new incarnation replaces it and starts empty, without the
        records of its predecessor. The new incarnation keeps the store faults of its predecessor.
        """
        previous = self.hosts.get(host_id)
        if previous is not None:
            self.replaced_hosts.append(previous)
        number = list(self.layout.hosts).index(host_id) + 1
        host = SimulatedHost(
            system=self, host_id=host_id, data_centre=self.layout.hosts[host_id], number=number
        )
        if previous is not None:
            host.table.faults = previous.table.faults
        self.hosts[host_id] = host
        with host.domain.enter():
            self.nursery.start_soon(host.run)
        return host

    def resume_all(self) -> None:
        """Resume all domains, so that their tasks see that the trial has been cancelled."""
        for host in self.all_hosts():
            host.domain.resume()

    def all_hosts(self) -> list[SimulatedHost]:
        """Return the current hosts and those that were replaced."""
        return [*self.hosts.values(), *self.replaced_hosts]

    def members_before_takeover(self, row_key: str) -> set[str]:
        """Return the holder and successor from which a third member took over an upstream.

        The result is empty if no member took over, or if the current holder was one of the two.
        """
        rows = [row for _, row in self.store.history if row.key == row_key]
        current_holder = rows[-1].value["holder"]
        for row in reversed(rows):
            if row.value["holder"] != current_holder:
                previous = {m for m in (row.value["holder"], row.value["successor"]) if m}
                return set() if current_holder in previous else previous
        return set()

    def assignments(self) -> dict[int, list[Any]]:
        """Return the table's assignment of each shard.

        An assignment is a list of owner, previous owner, epoch, Unix time and reason.
        """
        row = self.store.read(f"units/{SERVICE}/default/0")
        return {int(k): v for k, v in row.value["units"].items()} if row else {}

    async def _wait_until_settled(self) -> None:
        with trio.fail_after(START_TIMEOUT_S):
            while not self._is_settled():
                await trio.sleep(0.05)

    def _is_settled(self) -> bool:
        assignments = self.assignments()
        if not assignments:
            return False
        for host in self.hosts.values():
            if not host.host.mirror.complete:
                return False
        for shard, (owner, *_) in assignments.items():
            upstream = self.upstreams[owner.split("/")[1]]
            unit = f"{SERVICE}/default/{shard}"
            if upstream.plan.checks_orders and unit not in upstream.model._ownership_log.units:
                return False
            row = self.store.read(upstream.id.row_key)
            if row is None or row.value["health"] != "ready" or not row.value["successor"]:
                return False
        upstreams_per_host = Counter(self.holder(name) for name in self.upstreams)
        for data_centre in set(self.layout.hosts.values()):
            counts = [
                upstreams_per_host[h]
                for h, host_data_centre in self.layout.hosts.items()
                if host_data_centre == data_centre
            ]
            if max(counts) > min(counts) + 1:
                return False
        return True

    def holder(self, upstream: str) -> str:
        """Return the host id of the holder that an upstream's row names, empty without a row."""
        row = self.store.read(self.upstreams[upstream].id.row_key)
        return str(row.value["holder"]).split("@")[0] if row else ""

    def key_of(self, shard: int, number: int = 0) -> str:
        """Return the key at index ``number`` among the keys of a shard."""
        matches = -1
        for index in range(100_000):
            if shard_of(f"k{index}", SHARDS) == shard:
                matches += 1
                if matches == number:
                    return f"k{index}"
        raise AssertionError(f"shard {shard} has no key number {number} below k100000")

    def shard_owned_by(self, upstream: str) -> int:
        """Return the lowest shard of an upstream."""
        return self.shards_owned_by(upstream)[0]

    def shards_owned_by(self, upstream: str) -> list[int]:
        """Return the shards of an upstream in ascending order."""
        name = f"{SERVICE}/{upstream}"
        return sorted(s for s, (owner, *_) in self.assignments().items() if owner == name)

    # Steps

    async def step(self, events: list[StepEvent]) -> None:
        """Count steps, and report each to ``on_step``, which may inject a fault."""
        if not self._recording:
            return
        for event in events:
            number = self.steps[event.name]
            self.steps[event.name] += 1
            if self.on_step is not None:
                self.on_step(event, number)
        # If a fault has suspended the domain of this task, the checkpoint holds it at the step.
        if is_suspended():
            await trio.lowlevel.checkpoint()

    def stop_recording(self) -> None:
        """Ignore all further steps."""
        self._recording = False

    async def _before_send(self, pipe: Any, data: bytes) -> None:
        if self._recording:
            await self.step(self._step_names.sent(pipe, data))

    async def _after_receive(self, pipe: Any, data: bytes) -> None:
        if self._recording:
            await self.step(self._step_names.received(pipe, data))

    # Faults of the store

    def set_store_state(self, state: StoreState, *, delay_ms: float = 0.0) -> None:
        """Set the state of the store as all current hosts see it."""
        for host in self.hosts.values():
            host.table.faults.store = state
            host.table.faults.delay_ms = delay_ms


def uuid7(rng: random.Random, unix_time_s: float) -> str:
    """Return a UUIDv7 with the timestamp ``unix_time_s``."""
    value = (int(unix_time_s * 1000) << 80) | rng.getrandbits(80)
    value = value & ~(0xF << 76) | (7 << 76)
    value = value & ~(0x3 << 62) | (2 << 62)
    return str(uuid.UUID(int=value))


def unique_body(tag: str, size: int) -> bytes:
    """Return a body that no request with another tag has, of ``size`` bytes if the tag fits in."""
    head = json.dumps(tag).encode()
    return head + b"." * max(0, size - len(head))

"""A model of hosts, upstreams and a store that comes back from older copies, on a mock clock.

Hosts run the project's own coordinator. Upstreams follow the platform's specification: they refuse
a grant whose fencing token is below the highest one seen for a key, a lease starts when its grant
arrives even if it is carried out later, and a restarted upstream remembers nothing. The invariants
are checked at every grant and every 50 ms.
"""

from __future__ import annotations

import json
import random
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

import structlog
import trio
from features.support.restoring_table import ClientFaults
from features.support.restoring_table import RestoringStore
from features.support.restoring_table import RestoringTable
from structlog.contextvars import bind_contextvars
from structlog.contextvars import merge_contextvars
from trio._core import _run as trio_run
from trio.testing import MockClock

from acaciasaddle.clock import TrioClock
from acaciasaddle.errors import Outcome
from acaciasaddle.errors import PlatformError
from acaciasaddle.errors import UpstreamError
from acaciasaddle.errors import UpstreamUnreachableError
from acaciasaddle.fleet import FleetView
from acaciasaddle.fleet import RegistryChange
from acaciasaddle.fleet import UpstreamEntry
from acaciasaddle.fleet import UpstreamIncarnation
from acaciasaddle.keyspace import OWNERS_TABLE
from acaciasaddle.keyspace import Coordinator
from acaciasaddle.keyspace import FencedError
from acaciasaddle.keyspace import KeyMap
from acaciasaddle.keyspace import KeyOrders
from acaciasaddle.keyspace import LoadHistory
from acaciasaddle.keyspace import ReplacedError
from acaciasaddle.model import revision_of
from acaciasaddle.routing import CallerLimits
from acaciasaddle.routing import Configuration
from acaciasaddle.routing import Service

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from acaciasaddle.keyspace import KeyRange
    from acaciasaddle.keyspace import Owner

SERVICE = "bookings"
BUCKETS = 16
"""Number of equal ranges into which all keys are divided. Ownership is checked for the first key of
each."""
BUCKET_SIZE = 65_536 // BUCKETS
MAX_LEASE_S = 10.0
MAX_OVERLAP_S = 0.5
MAX_UNSERVED_S = 15.0
CHECK_INTERVAL_S = 0.05
REGISTRY_INTERVAL_S = 0.6
OWNERS_INTERVAL_S = 0.3
LINK_INTERVAL_S = 0.4
LINK_SILENCE_S = 1.2
EXPIRY_S = 3.0
"""The entry of an upstream that has ended is removed after this time."""
RESTART_NOTED_S = 1.0
"""A coordinator that knows of a restart plans moves for it within a round, and writes them."""
REGISTRY_TABLE = "servers"
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


@dataclass(frozen=True, slots=True, kw_only=True)
class Violation:
    """A broken invariant: its name, when it was found, and what was found."""

    invariant: str
    at: float
    text: str


@dataclass
class ModelUpstream:
    """One incarnation of an upstream. ``clock_factor`` is how much longer its leases last.

    A ``silent`` one accepts no connections, a ``frozen`` one carries orders out once it runs again
    if their senders still wait.
    ``lost`` and ``late`` are the shares of orders whose answers are lost, and of grants that are
    carried out up to 4 s after they arrived. A release waits up to ``work_s`` for work in progress.
    """

    entry: UpstreamEntry
    clock_factor: float
    fences: dict[int, int] = field(default_factory=dict)
    held_until: dict[int, float] = field(default_factory=dict)
    working_until: dict[int, float] = field(default_factory=dict)
    alive: bool = True
    ended_at: float = 0.0
    silent: bool = False
    frozen: trio.Event | None = None
    lost: float = 0.0
    late: float = 0.0
    work_s: float = 0.0
    written: tuple[int, UpstreamEntry] | None = None
    written_from: float = 0.0
    last_sender: str = ""

    @property
    def name(self) -> str:
        return f"{self.entry.upstream_id}#{self.entry.life.started_ms}"

    def holds(self, bucket: int) -> bool:
        return self.alive and self.held_until.get(bucket, 0.0) > trio.current_time()

    def is_working(self, bucket: int) -> bool:
        return self.alive and self.working_until.get(bucket, 0.0) > trio.current_time()


@dataclass
class _Response:
    arrived: trio.Event = field(default_factory=trio.Event)
    result: str = ""
    exc: UpstreamError | None = None


class ModelOrders(KeyOrders):
    """Orders of one host. They reach their upstream even if the host ends meanwhile."""

    def __init__(self, model: KeyModel, host: ModelHost) -> None:
        self._model = model
        self._host = host

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
        # An order does not name an incarnation, so it may meet a later one that is not known yet.
        expected_life = self._host.settled_life(owner.incarnation)
        rng = self._model.rng

        async def carry_out(upstream: ModelUpstream) -> str:
            arrived_at = trio.current_time()
            if rng.random() < upstream.late:
                await trio.sleep(rng.uniform(0.0, 4.0))
            self._model.carry_out_grant(
                upstream,
                _buckets(keys),
                fence=fence,
                held_until=arrived_at + lease_s * upstream.clock_factor,
                sender=self._host,
                expected_life=expected_life,
            )
            return ""

        await self._order(owner, timeout_s, carry_out)

    async def release(self, owner: Owner, keys: KeyRange, *, fence: int, timeout_s: float) -> str:
        async def carry_out(upstream: ModelUpstream) -> str:
            work_s = self._model.carry_out_release(
                upstream, _buckets(keys), fence=fence, sender=self._host
            )
            await trio.sleep(work_s)
            return f"handover-{upstream.name}"

        return await self._order(owner, timeout_s, carry_out)

    async def responds(self, address: str, *, health_path: str, timeout_s: float) -> bool:
        upstream = self._model.upstream_at(address)
        if (
            upstream is None
            or upstream.silent
            or upstream.frozen is not None
            or self._host.orders_cut
        ):
            await trio.sleep(timeout_s)
            return False
        return True

    def close_connection(self, address: str) -> None:
        pass

    async def _order(
        self, owner: Owner, timeout_s: float, carry_out: Callable[[ModelUpstream], Any]
    ) -> str:
        if self._host.paused is not None:
            await self._host.paused.wait()
            raise UpstreamError("not sent", outcome=Outcome.NOT_RUN, step="order")
        response = _Response()
        self._model.nursery.start_soon(self._deliver, owner, carry_out, response, timeout_s)
        with trio.move_on_after(timeout_s):
            await response.arrived.wait()
        if self._host.paused is not None:
            await self._host.paused.wait()
        if not response.arrived.is_set():
            raise UpstreamError("no response arrived", outcome=Outcome.UNKNOWN, step="order")
        if response.exc is not None:
            if isinstance(response.exc, UpstreamUnreachableError):
                await trio.sleep(timeout_s)
            raise response.exc
        return response.result

    async def _deliver(
        self,
        owner: Owner,
        carry_out: Callable[[ModelUpstream], Any],
        response: _Response,
        timeout_s: float,
    ) -> None:
        rng = self._model.rng
        deadline = trio.current_time() + timeout_s
        await trio.sleep(rng.uniform(0.001, 0.004))
        upstream = self._model.upstream_at(owner.address)
        if self._host.orders_cut or upstream is None or upstream.silent:
            if rng.random() < 0.5:
                response.exc = UpstreamUnreachableError(
                    "the upstream is unreachable", outcome=Outcome.NOT_RUN, step="order"
                )
                response.arrived.set()
            return
        if upstream.entry.upstream_id != owner.incarnation.upstream_id:
            response.exc = ReplacedError("another upstream has the address", step="order")
            response.arrived.set()
            return
        if upstream.frozen is not None:
            await upstream.frozen.wait()
            if trio.current_time() >= deadline:
                # The sender has closed the connection.
                return
        try:
            response.result = await carry_out(upstream)
        except UpstreamError as exc:
            response.exc = exc
        await trio.sleep(rng.uniform(0.001, 0.004))
        if not self._host.orders_cut and upstream.alive and rng.random() >= upstream.lost:
            response.arrived.set()


class ModelHost:
    """A host. ``start`` begins a new incarnation, which knows nothing of the one before."""

    def __init__(self, model: KeyModel, name: str, takeover_delay_s: float) -> None:
        self.name = name
        self.orders_cut = False
        self.link_cut = False
        self.running = False
        self._model = model
        self._takeover_delay_s = takeover_delay_s
        self._starts = 0
        self.faults = ClientFaults()
        self.scope = trio.CancelScope()
        self.start()

    @property
    def paused(self) -> trio.Event | None:
        """An event while the host is frozen."""
        return self.faults.paused

    def start(self) -> None:
        """Create the coordinator of a new incarnation."""
        model = self._model
        self._starts += 1
        self.faults = ClientFaults(lost=model.lost_writes, late=model.late_writes)
        self.scope = trio.CancelScope()
        self._stop_scope = trio.CancelScope()
        self.stopping = False
        clock = TrioClock()
        self.view = FleetView(clock=clock)
        self.view.apply_configuration(CONFIGURATION)
        self.table = RestoringTable(
            store=model.store,
            nursery=model.nursery,
            rng=model.rng,
            faults=self.faults,
            knows_eras=model.knows_eras,
        )
        self.load = LoadHistory()
        self.coordinator = Coordinator(
            member=f"{self.name}@{self._starts}",
            address=f"{self.name}:1",
            view=self.view,
            table=self.table,
            orders=ModelOrders(model, self),
            clock=clock,
            load=self.load,
            max_lease_s=MAX_LEASE_S,
            takeover_delay_s=self._takeover_delay_s,
        )
        self.coordinator.linked = self._linked
        self.linked_at = -LINK_SILENCE_S
        self._lives_since: dict[UpstreamIncarnation, float] = {}
        self.running = True
        model.nursery.start_soon(self._run)

    def kill(self) -> None:
        """End this incarnation at once. What it sent is still carried out."""
        self.running = False
        self.scope.cancel()
        self._stop_scope.cancel()

    async def stop(self) -> None:
        """Give the role back and end, unless this incarnation is killed before."""
        self.stopping = True
        with self._stop_scope:
            await self.coordinator.stop()
            self.kill()

    def freeze(self) -> None:
        """Let this host send nothing and receive nothing until ``thaw``."""
        if self.faults.paused is None:
            self.faults.paused = trio.Event()

    def thaw(self) -> None:
        """End a freeze."""
        if self.faults.paused is not None:
            self.faults.paused.set()
            self.faults.paused = None

    def settled_life(self, life: UpstreamIncarnation) -> UpstreamIncarnation:
        """Return the incarnation of the same upstream that this host has known for a while."""
        known = self.view.upstreams.get(life.upstream_id)
        if known is None or known.life == life:
            return life
        since = self._lives_since.setdefault(known.life, trio.current_time())
        return known.life if trio.current_time() - since > RESTART_NOTED_S else life

    def _linked(self) -> bool:
        return (
            not self.coordinator.leading
            and trio.current_time() - self.linked_at < LINK_SILENCE_S
            and self.coordinator.role_age_s < 1.5
        )

    async def _run(self) -> None:
        scope = self.scope
        bind_contextvars(host=f"{self.name}@{self._starts}")
        try:
            with scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._read_registry)
                    nursery.start_soon(self._read_owners)
                    nursery.start_soon(self._follow_links)
                    await self.coordinator.run()
        except Exception as exc:
            self._model.report("no host crashes", f"{self.name}: {exc!r}")

    async def _read_registry(self) -> None:
        while True:
            if self.paused is None and not self._linked():
                try:
                    revision, rows = await self.table.stored(f"{REGISTRY_TABLE}/")
                except PlatformError:
                    self.view.note_registry_failure()
                else:
                    era = self.table.era
                    entries = {
                        name: (revision_of(era, row.version), row.value)
                        for name, row in rows.items()
                    }
                    self._apply_entries(revision, entries)
            await trio.sleep(REGISTRY_INTERVAL_S)

    def _apply_entries(self, revision: int, rows: dict[str, tuple[int, str]]) -> None:
        entries = {
            name.partition("/")[2]: _decode_entry(json.loads(value))
            for name, (_, value) in rows.items()
        }
        floor = self.table.copy_revision
        restored = {
            name.partition("/")[2] for name, (revision, _) in rows.items() if revision <= floor
        }
        self.view.apply_registry(
            RegistryChange(
                revision=revision, complete=True, entries=entries, restored=frozenset(restored)
            )
        )

    async def _read_owners(self) -> None:
        while True:
            if self.paused is None and not self.coordinator.leading and not self._linked():
                try:
                    scan = await self.table.scan(f"{OWNERS_TABLE}/", since=0)
                except PlatformError:
                    pass
                else:
                    for row in scan.rows:
                        self.apply_owners(KeyMap.from_json(row.value, version=row.version))
            await trio.sleep(OWNERS_INTERVAL_S)

    def apply_owners(self, owners: KeyMap) -> None:
        """Apply owners to the view and check that nothing older displaces what was in force."""
        before = self.view.owners.get(SERVICE)
        self.view.apply_owners(SERVICE, owners)
        if before is not None and self.view.owners[SERVICE].version < before.version:
            self._model.report("no host returns to an older map", self.name)

    async def _follow_links(self) -> None:
        while True:
            await trio.sleep(LINK_INTERVAL_S)
            leader = next((h for h in self._model.hosts if h.coordinator.leading), None)
            if (
                not self._model.links
                or leader is None
                or leader is self
                or any(h.paused is not None or h.link_cut for h in (self, leader))
                or not leader.running
            ):
                continue
            self.linked_at = trio.current_time()
            source = leader.coordinator
            self.coordinator.note_role(
                member=source.holder,
                address=source.coordinator_address,
                version=source.role_version,
                age_s=source.role_age_s,
            )
            self.view.apply_registry(
                RegistryChange(
                    revision=leader.view.registry_revision,
                    complete=True,
                    entries=leader.view.registered,
                    restored=leader.view.restored,
                )
            )
            owners = leader.view.owners.get(SERVICE)
            if owners is not None:
                self.apply_owners(owners)


class KeyModel:
    """Hosts, upstreams and the store, the faults that befall them, and the broken invariants."""

    def __init__(
        self,
        *,
        rng: random.Random,
        nursery: trio.Nursery,
        hosts: int,
        upstreams: int,
        era: int,
        links: bool = False,
        lost_writes: float = 0.0,
        late_writes: float = 0.0,
        knows_eras: bool = True,
    ) -> None:
        self.rng = rng
        self.nursery = nursery
        self.links = links
        self.lost_writes = lost_writes
        self.late_writes = late_writes
        self.knows_eras = knows_eras
        self.store = RestoringStore(era=era)
        self.violations: list[Violation] = []
        self.timeline: list[tuple[float, str]] = []
        self.calm_since: float | None = None
        self.upstreams: list[ModelUpstream] = []
        self._addresses = 0
        self._highest: list[dict[str, int]] = [{} for _ in range(BUCKETS)]
        self._lives: list[dict[str, tuple[int, int]]] = [{} for _ in range(BUCKETS)]
        self._overlap_s = [0.0] * BUCKETS
        self._unserved_s = [0.0] * BUCKETS
        self.unserved_s = [0.0] * BUCKETS
        self.last_leader: ModelHost | None = None
        for number in range(upstreams):
            self.start_upstream(f"u{number + 1}")
        self.write_entries()
        self.hosts = [
            ModelHost(self, f"h{number + 1}", takeover_delay_s=0.5 if number % 2 else 0.0)
            for number in range(hosts)
        ]

    # Upstreams.

    def start_upstream(self, upstream_id: str, *, address: str = "") -> ModelUpstream:
        """Start an incarnation, at a new address if none is given."""
        if not address:
            self._addresses += 1
            address = f"10.0.0.{self._addresses}:80"
        upstream = ModelUpstream(
            entry=UpstreamEntry(
                life=UpstreamIncarnation(
                    upstream_id=upstream_id, started_ms=round(trio.current_time() * 1000) + 1
                ),
                service=SERVICE,
                address=address,
                data_centre="east",
                slots=2,
                draining=False,
                cold_s=0.0,
            ),
            clock_factor=self.rng.uniform(1.0, 1.02),
            written_from=trio.current_time(),
        )
        self.upstreams.append(upstream)
        return upstream

    def end_upstream(self, upstream: ModelUpstream) -> None:
        """End an incarnation without a word."""
        upstream.alive = False
        upstream.ended_at = trio.current_time()

    def restart_upstream(self, upstream: ModelUpstream, *, same_address: bool) -> ModelUpstream:
        """Replace an incarnation by a new one, which remembers neither keys nor fences."""
        self.end_upstream(upstream)
        address = upstream.entry.address if same_address else ""
        return self.start_upstream(upstream.entry.upstream_id, address=address)

    def upstream_at(self, address: str) -> ModelUpstream | None:
        """Return the upstream that is alive at an address, if there is one."""
        return next((u for u in self.alive() if u.entry.address == address), None)

    def alive(self) -> list[ModelUpstream]:
        """Return the incarnations that are alive."""
        return [upstream for upstream in self.upstreams if upstream.alive]

    def write_entries(self) -> None:
        """Write the entries that have changed or that a restored store lacks, if it is up."""
        store = self.store
        if not store.up:
            return
        puts: dict[str, str] = {}
        removals = []
        now = trio.current_time()
        for upstream in self.upstreams:
            name = f"{REGISTRY_TABLE}/{upstream.entry.upstream_id}"
            if upstream.alive:
                state = (store.era, upstream.entry)
                runs = not upstream.silent and upstream.frozen is None
                if runs and upstream.written != state and now >= upstream.written_from:
                    upstream.written = state
                    puts[name] = json.dumps(_encode_entry(upstream.entry))
            elif now >= max(upstream.ended_at, store.restored_at or 0.0) + EXPIRY_S:
                row = store.rows.get(name)
                if (
                    row is not None
                    and _decode_entry(json.loads(row.value)).life == upstream.entry.life
                ):
                    removals.append(name)
        removals = [name for name in removals if name not in puts]
        if puts or removals:
            store.transact(conditions={}, puts=puts, removals=tuple(removals))

    # The store.

    def restore(self, *, age_s: float) -> None:
        """Bring the store back as it was some seconds ago."""
        now = trio.current_time()
        self.store.restore(at=max(0.0, now - age_s))
        self.note(f"store restored to {now - age_s:.2f}, era {self.store.era}")
        for upstream in self.alive():
            upstream.written_from = now + self.rng.uniform(0.4, 2.0)

    # Orders that upstreams carry out.

    def carry_out_grant(
        self,
        upstream: ModelUpstream,
        buckets: list[int],
        *,
        fence: int,
        held_until: float,
        sender: ModelHost,
        expected_life: UpstreamIncarnation,
    ) -> None:
        """Grant or renew keys at an upstream; raise ``FencedError`` if it saw a higher token."""
        now = trio.current_time()
        life = upstream.entry.life
        if not upstream.alive:
            return
        if any(upstream.fences.get(bucket, 0) > fence for bucket in buckets):
            self.note(f"{upstream.name} refuses {sender.name} {buckets} fence {fence_text(fence)}")
            raise FencedError("the fencing token is too low", step="grant")
        is_new = any(upstream.fences.get(bucket) != fence for bucket in buckets)
        if is_new or upstream.last_sender != sender.name:
            self.note(f"{upstream.name} takes {buckets} of {sender.name} at {fence_text(fence)}")
        upstream.last_sender = sender.name
        for bucket in buckets:
            upstream.fences[bucket] = fence
            if held_until <= now:
                continue
            renewed = upstream.holds(bucket)
            upstream.held_until[bucket] = held_until
            upstream.working_until.pop(bucket, None)
            self._check_grant(upstream, bucket, fence, sender, renewed=renewed)
            highest = self._highest[bucket]
            highest[life.upstream_id] = max(fence, highest.get(life.upstream_id, 0))
            started_ms, life_fence = self._lives[bucket].get(life.upstream_id, (0, 0))
            if life.started_ms > started_ms > 0 and fence <= life_fence and expected_life == life:
                self.report(
                    "fences rise",
                    f"{upstream.name} gets {bucket} from {sender.name} at {fence_text(fence)}, "
                    f"the earlier life had {fence_text(life_fence)}",
                )
            if life.started_ms >= started_ms:
                self._lives[bucket][life.upstream_id] = (life.started_ms, fence)

    def _check_grant(
        self,
        upstream: ModelUpstream,
        bucket: int,
        fence: int,
        sender: ModelHost,
        *,
        renewed: bool,
    ) -> None:
        others = [u for u in self.alive() if u is not upstream]
        holders = [u.name for u in others if u.holds(bucket)]
        if holders:
            self.report(
                "one owner",
                f"{upstream.name} gets {bucket} from {sender.name} at {fence_text(fence)}, "
                f"held by {holders}",
            )
        working = [u.name for u in others if u.is_working(bucket)]
        if working:
            self.report(
                "one at work",
                f"{upstream.name} gets {bucket} from {sender.name}, {working} at work",
            )
        upstream_id = upstream.entry.upstream_id
        above = {
            name: fence_text(other)
            for name, other in self._highest[bucket].items()
            if name != upstream_id and other >= fence
        }
        if above:
            self.report(
                "fences rise",
                f"{upstream.name} gets {bucket} from {sender.name} at {fence_text(fence)}, "
                f"others had {above}, {'held' if renewed else 'not held'} before",
            )

    def carry_out_release(
        self, upstream: ModelUpstream, buckets: list[int], *, fence: int, sender: ModelHost
    ) -> float:
        """Release keys at an upstream; return the seconds until work on them has ended."""
        now = trio.current_time()
        self.note(f"{upstream.name} releases {buckets} for {sender.name} at {fence_text(fence)}")
        work_until = now
        for bucket in buckets:
            upstream.fences[bucket] = max(fence, upstream.fences.get(bucket, 0))
            held_until = upstream.held_until.pop(bucket, 0.0)
            if held_until > now:
                until = min(held_until, now + self.rng.uniform(0.0, upstream.work_s))
                upstream.working_until[bucket] = until
            work_until = max(work_until, upstream.working_until.get(bucket, 0.0))
        return work_until - now

    # Checks.

    def report(self, invariant: str, text: str) -> None:
        """Note that an invariant is broken."""
        self.note(f"BROKEN {invariant}: {text}")
        self.violations.append(
            Violation(invariant=invariant, at=round(trio.current_time(), 3), text=text)
        )

    def note(self, text: str) -> None:
        """Add an event to the timeline."""
        self.timeline.append((round(trio.current_time(), 3), text))

    def set_calm(self, calm: bool) -> None:
        """Note that from now on there are no faults, or that there may be."""
        self.calm_since = trio.current_time() if calm else None
        self._unserved_s = [0.0] * BUCKETS

    def owners_so_far(self, bucket: int) -> set[str]:
        """Return the ids of the upstreams that had a key so far."""
        return set(self._highest[bucket])

    def unserved(self) -> list[int]:
        """Return the buckets that no upstream holds."""
        return [b for b in range(BUCKETS) if not any(u.holds(b) for u in self.upstreams)]

    def leaders(self) -> list[ModelHost]:
        """Return the hosts that take the role for theirs. One that is frozen sends nothing."""
        return [h for h in self.hosts if h.running and h.coordinator.leading and h.paused is None]

    def check(self) -> None:
        """Check the invariants that hold at any time. Called every ``CHECK_INTERVAL_S``."""
        holders = [0] * BUCKETS
        for upstream in self.alive():
            for bucket in range(BUCKETS):
                holders[bucket] += upstream.holds(bucket)
        long_unserved = []
        for bucket, count in enumerate(holders):
            self.unserved_s[bucket] += CHECK_INTERVAL_S if count == 0 else 0.0
            self._overlap_s[bucket] = self._overlap_s[bucket] + CHECK_INTERVAL_S if count > 1 else 0
            if abs(self._overlap_s[bucket] - MAX_OVERLAP_S) < CHECK_INTERVAL_S / 2:
                self.report("one owner beyond 0.5 s", f"{bucket} is held by {count}")
            if self.calm_since is not None and count == 0:
                self._unserved_s[bucket] += CHECK_INTERVAL_S
                if abs(self._unserved_s[bucket] - MAX_UNSERVED_S) < CHECK_INTERVAL_S / 2:
                    long_unserved.append(bucket)
            else:
                self._unserved_s[bucket] = 0.0
        if long_unserved:
            self.report("served within 15 s of calm", f"{long_unserved} are not")
        leaders = self.leaders()
        self.last_leader = leaders[0] if leaders else self.last_leader
        if len(leaders) > 1:
            self.report("one coordinator", str([host.name for host in leaders]))

    def check_end(self) -> None:
        """Check that every key has an owner after the calm at the end."""
        unserved = self.unserved()
        if unserved:
            self.report("all keys have an owner in the end", f"{unserved} have none")
        if not self.leaders():
            self.report("one host has the role in the end", "none has")

    async def watch(self) -> None:
        """Write entries and check invariants periodically."""
        while True:
            self.write_entries()
            self.check()
            await trio.sleep(CHECK_INTERVAL_S)


def fence_text(fence: int) -> str:
    """Return a fencing token as its era, if it has one, and its number."""
    return f"{fence >> 32}:{fence & 0xFFFFFFFF}" if fence >> 32 else str(fence)


def run_model(
    *,
    seed: int,
    script: Callable[[KeyModel], Any],
    logs: bool = False,
    **parameters: Any,
) -> KeyModel:
    """Run a model with the given parameters and a script; return it with what it found.

    With ``logs``, the timeline includes the log of the hosts.
    """
    models: list[KeyModel] = []

    def add_log(logger: Any, method: str, event: dict[str, Any]) -> dict[str, Any]:
        if logs and models:
            fields = {k: v for k, v in event.items() if k not in ("part", "event", "host")}
            models[0].note(f"  {event.get('host', '')} {event['event']} {fields}")
        raise structlog.DropEvent

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            model = KeyModel(rng=random.Random(seed), nursery=nursery, **parameters)
            models.append(model)
            nursery.start_soon(model.watch)
            await script(model)
            model.check_end()
            nursery.cancel_scope.cancel()

    processors = structlog.get_config()["processors"]
    structlog.configure(processors=[merge_contextvars, add_log])
    # Trio shuffles the tasks that are ready. As in pytest-trio, the seed determines their order.
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r.seed(seed)
    try:
        trio.run(main, clock=MockClock(autojump_threshold=0))
    finally:
        structlog.configure(processors=processors)
        trio_run._ALLOW_DETERMINISTIC_SCHEDULING = False
    return models[0]


def drain(upstream: ModelUpstream) -> None:
    """Let an upstream say that it drains."""
    upstream.entry = replace(upstream.entry, draining=True)


def _buckets(keys: KeyRange) -> list[int]:
    return [bucket for bucket in range(BUCKETS) if bucket * BUCKET_SIZE in keys]


def _encode_entry(entry: UpstreamEntry) -> list[Any]:
    return [entry.life.upstream_id, entry.life.started_ms, entry.address, entry.draining]


def _decode_entry(value: Collection[Any]) -> UpstreamEntry:
    upstream_id, started_ms, address, draining = value
    return UpstreamEntry(
        life=UpstreamIncarnation(upstream_id=upstream_id, started_ms=started_ms),
        service=SERVICE,
        address=address,
        data_centre="east",
        slots=2,
        draining=draining,
        cold_s=0.0,
    )

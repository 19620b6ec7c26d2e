"""The coordinator: the one host, chosen by a conditional write, that assigns keys to upstreams.

The coordinator writes a change of owners to the table before it sends the orders for it. A host
that lost the role therefore cannot change owners, and its renewals of keys that have moved are
refused by upstreams that released them at a higher fencing token. If a release does not succeed,
the keys are granted to the new owner only once the previous owner or its last lease has certainly
ended.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import ClassVar

import trio

from acaciasaddle.errors import AuthorityLostError
from acaciasaddle.errors import ConditionFailedError
from acaciasaddle.errors import PlatformError
from acaciasaddle.errors import StoreRestoredError
from acaciasaddle.errors import UpstreamError
from acaciasaddle.errors import WriteOutcomeUnknownError
from acaciasaddle.kernel import Service
from acaciasaddle.keyspace._balance import candidates_by_speed
from acaciasaddle.keyspace._balance import join_spans
from acaciasaddle.keyspace._balance import plan_moves
from acaciasaddle.keyspace._grants import LOST_AFTER_S
from acaciasaddle.keyspace._grants import ORDER_TIMEOUT_S
from acaciasaddle.keyspace._grants import RELEASE_RETRY_S
from acaciasaddle.keyspace._grants import LeaseManager
from acaciasaddle.keyspace._leases import lease_end
from acaciasaddle.keyspace._restore import Claims
from acaciasaddle.keyspace._restore import KnownSpan
from acaciasaddle.keyspace._restore import claim_limit_s
from acaciasaddle.keyspace._restore import first_map
from acaciasaddle.keyspace._restore import quiet_s
from acaciasaddle.keyspace._restore import same_owners_anew
from acaciasaddle.keyspace._restore import with_fences_of
from acaciasaddle.keyspace._role import COORDINATOR_TABLE
from acaciasaddle.keyspace._role import ROLE_LEASE_S
from acaciasaddle.keyspace._role import ROLE_RENEWAL_S
from acaciasaddle.keyspace._role import CoordinatorRole
from acaciasaddle.keyspace._types import OWNERS_TABLE
from acaciasaddle.keyspace._types import FencedError
from acaciasaddle.keyspace._types import KeyMap
from acaciasaddle.keyspace._types import Owner
from acaciasaddle.keyspace._types import Span
from acaciasaddle.observe import NullMetrics
from acaciasaddle.observe import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from acaciasaddle.clock import Clock
    from acaciasaddle.fleet import FleetView
    from acaciasaddle.keyspace._load import LoadHistory
    from acaciasaddle.keyspace._owner_loads import Move
    from acaciasaddle.keyspace._types import KeyOrders
    from acaciasaddle.observe import Metrics
    from acaciasaddle.table import Table

ROLE_POLL_S = 0.5
MIN_PAUSE_S = 0.01
TICK_S = 0.25
"""Pause between two rounds. A host that is linked, stopping or without a complete view considers
the role again after this time."""
JOIN_INTERVAL_S = 2.0
"""Neighbouring spans of one owner are joined at least this often, even if every round plans moves.
A joined span is renewed for the first time up to 0.8 s later, well within the lease of its
parts."""
STOP_RENEWAL_S = 0.5
"""Time for the last renewals of a host that stops; upstreams answer within a few milliseconds."""

log = get_logger("coordinator")


@dataclass(frozen=True, slots=True, kw_only=True)
class SpanMove:
    """A span of a service whose keys move to a new owner."""

    service: str
    span: Span


class Coordinator(Service):
    """Competes for the role; while this host has it, assigns keys and renews their leases."""

    name: ClassVar[str] = "coordinator"

    def __init__(
        self,
        *,
        member: str,
        address: str,
        view: FleetView,
        table: Table,
        orders: KeyOrders,
        clock: Clock,
        load: LoadHistory,
        max_lease_s: float,
        takeover_delay_s: float = 0.0,
        metrics: Metrics | None = None,
    ) -> None:
        """``member`` is ``<host id>@<incarnation>``; ``max_lease_s`` is the longest lease of keys.

        ``takeover_delay_s`` is the time for which this host leaves a free role to others.
        """
        self.address = address
        self._role = CoordinatorRole(
            member=member,
            address=address,
            table=table,
            clock=clock,
            takeover_delay_s=takeover_delay_s,
        )
        self._view = view
        self._table = table
        self._clock = clock
        self._load = load
        self._max_lease_s = max_lease_s
        self._metrics = metrics or NullMetrics()
        self._owners: dict[str, KeyMap] = {}
        self._leases = LeaseManager(
            role=self._role,
            owners=self._owners,
            view=view,
            orders=orders,
            clock=clock,
            max_lease_s=max_lease_s,
            metrics=self._metrics,
        )
        # Moves whose keys were granted, and abandoned moves, until the next round writes that they
        # have ended.
        self._completed_moves: list[SpanMove] = []
        self._joined_at: dict[str, float] = {}
        self._started_moves: set[tuple[str, int]] = set()
        self._stopping = False
        self._known_spans: list[KnownSpan] = []
        self._claims: Claims | None = None
        self._quiet_until: float | None = None
        # Returns whether a link reports the row of the role, which is then not polled.
        self.linked: Callable[[], bool] = lambda: False

    @property
    def leading(self) -> bool:
        """Whether this host has the role and it has not lapsed."""
        return self._role.held

    @property
    def coordinator_address(self) -> str:
        """Address of the host that has the role or gave it back last, as far as known."""
        return self._role.holder_address

    @property
    def role_version(self) -> int:
        """Version of the role's row as last seen."""
        return self._role.version

    @property
    def role_age_s(self) -> float:
        """Seconds since the role's row was last seen to change."""
        return self._role.age_s

    @property
    def holder(self) -> str:
        """The host that has the role, as far as known: ``<host id>@<incarnation>``."""
        return self._role.holder

    def note_role(self, *, member: str, address: str, version: int, age_s: float) -> None:
        """Note the role's row as another host knows it."""
        self._role.note_row(member=member, address=address, version=version, age_s=age_s)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        task_status.started()
        while True:
            try:
                await self._compete_for_role()
            except PlatformError as exc:
                log.warning("role not taken", reason=str(exc))
                await trio.sleep(ROLE_POLL_S)
                continue
            if self._role.taken:
                await self._lead()

    async def stop(self) -> None:
        """Give the role back, so that another host need not wait for it to lapse.

        Before that, leases are renewed for ``max_lease_s``: while the store is out of reach, no
        other host can take the role and renew them.
        """
        self._stopping = self._leases.stopping = True
        if not self._role.taken:
            return
        with trio.move_on_after(STOP_RENEWAL_S):
            async with trio.open_nursery() as nursery:
                self._leases.start_renewals(nursery)
        self._role.taken = False
        try:
            await self._role.give_back()
            log.info("role given back")
        except PlatformError as exc:
            log.warning("role not given back", reason=str(exc))

    # Competing for the role.

    async def _compete_for_role(self) -> None:
        """Poll the role's row, unless a link reports it, and take the role if this host may."""
        if self._role.known and self.linked():
            await trio.sleep(TICK_S)
            return
        wait_s = await self._role.poll()
        if self._stopping or not self._view.complete:
            await trio.sleep(TICK_S)
            return
        if wait_s > 0:
            # A sleep below the clock's resolution would not advance the clock.
            await trio.sleep(max(MIN_PAUSE_S, min(ROLE_POLL_S, wait_s)))
            return
        started = self._clock.now()
        is_first = self._role.version == 0
        previous = await self._role.try_take()
        if previous is None:
            return
        is_last_holder, self._role.is_last_holder = self._role.is_last_holder, False
        await self._load_owners(taken_at=started, vacant=not previous)
        if self._role.was_written_earlier:
            # The store was restored after the role was taken; these owners are not those of it.
            self._role.reset()
            return
        self._begin_era(taken_at=started, is_first=is_first, is_last_holder=is_last_holder)
        self._role.taken = True
        log.info("role taken", previous=previous, version=self._role.version)

    async def _load_owners(self, *, taken_at: float, vacant: bool) -> None:
        scan = await self._table.scan(f"{OWNERS_TABLE}/", since=0)
        self._owners.clear()
        for row in scan.rows:
            service = row.key.partition("/")[2]
            self._owners[service] = KeyMap.from_json(row.value, version=row.version)
        self._completed_moves.clear()
        self._started_moves.clear()
        # The previous coordinator may have granted the longest leases until its role lapsed.
        lapse_s = 0.0 if vacant else ROLE_LEASE_S
        self._leases.reset(
            held_until=lease_end(taken_at + lapse_s + ORDER_TIMEOUT_S, self._max_lease_s),
            also={known.span.owner for known in self._known_spans},
        )

    def _begin_era(self, *, taken_at: float, is_first: bool, is_last_holder: bool) -> None:
        """Decide which keys may be granted or claimed after the store came back from a copy.

        ``is_first`` is true if nobody had the role before in this era. Another holder may have
        claimed keys until its role lapsed, without writing that their owners accepted.
        """
        spans, self._known_spans = self._known_spans, []
        self._claims = self._quiet_until = None
        restored_at = self._role.restored_at
        if restored_at is None:
            return
        quiet_since = restored_at if is_first else max(restored_at, taken_at)
        quiet_until = quiet_since + quiet_s(self._max_lease_s)
        if self._clock.now() < restored_at + quiet_s(self._max_lease_s) or self._role.earlier_rows:
            self._quiet_until = quiet_until
        limit_s = claim_limit_s(self._max_lease_s)
        claimable = [known for known in spans if restored_at < known.written_at + limit_s]
        if claimable and is_last_holder and not self._owners:
            self._claims = Claims(
                known=claimable,
                era=self._table.era,
                restored_at=restored_at,
                leases=self._leases,
                view=self._view,
                clock=self._clock,
            )

    async def _resolve_unknown_write(self) -> bool:
        """Adopt the owners that a write with an unknown outcome may have written.

        Return whether this host still has the role.
        """
        if not await self._role.resolve_unknown_write():
            return False
        if self._role.is_of_earlier_era:
            return True
        scan = await self._table.scan(f"{OWNERS_TABLE}/", since=0)
        for row in scan.rows:
            service = row.key.partition("/")[2]
            current = self._owners.get(service)
            if current is None or current.version != row.version:
                # The write took effect.
                self._adopt(service, KeyMap.from_json(row.value, version=row.version))
        return True

    def _adopt(self, service: str, owners: KeyMap) -> None:
        """Note the owners that are stored in the table, here and in this host's view."""
        self._owners[service] = owners
        self._view.apply_owners(service, owners)

    # While leading.

    async def _lead(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._leases.renew_leases, nursery)
            nursery.start_soon(self._leases.probe_lost_upstreams)
            outcome_unknown = False
            while self._role.taken:
                try:
                    if outcome_unknown and not await self._resolve_unknown_write():
                        break
                    outcome_unknown = False
                    if self._role.is_of_earlier_era:
                        if self._role.lapsed:
                            self._keep_known_owners()
                            break
                        await self._write_again()
                    if self._leases.is_cut_off():
                        log.warning("most upstreams are out of reach, giving the role back")
                        await self._role.step_down()
                        break
                    await self._run_round()
                    self._start_moves(nursery)
                except StoreRestoredError as exc:
                    log.warning("write not made", reason=str(exc))
                except ConditionFailedError as exc:
                    log.info("role lost", reason=str(exc))
                    break
                except WriteOutcomeUnknownError as exc:
                    log.warning("outcome of a write unknown", reason=str(exc))
                    outcome_unknown = True
                except PlatformError as exc:
                    log.warning("table not available", reason=str(exc))
                await trio.sleep(TICK_S)
            self._role.taken = False
            nursery.cancel_scope.cancel()
        self._role.reset()

    async def _write_again(self) -> None:
        """Write the role and the owners into a store that came back from an older copy.

        This host has the role without a break, so moves in progress and leases go on.
        """
        era = self._table.era
        owners = {name: with_fences_of(era, value) for name, value in self._owners.items()}
        versions = await self._role.write_again(
            {f"{OWNERS_TABLE}/{name}": value.to_json() for name, value in owners.items()}
        )
        for name, value in owners.items():
            self._adopt(name, replace(value, version=versions[f"{OWNERS_TABLE}/{name}"]))
        log.warning("owners written again", era=era, services=sorted(owners))

    def _keep_known_owners(self) -> None:
        """Keep the owners that this host knows, to claim their keys if it gets the role back."""
        owners = dict(self._owners)
        for move in self._completed_moves:
            owners[move.service] = _complete_move(owners[move.service], move.span)
        settled = [
            (service, span)
            for service, value in owners.items()
            for span in value.spans
            if not span.moving
        ]
        if self._claims is not None:
            settled += self._claims.accepted
        written_at = self._clock.now() - self._role.since_write_s
        spans = [
            KnownSpan(service=service, span=span, written_at=written_at)
            for service, span in settled
        ]
        if self._claims is not None:
            spans += self._claims.waiting
        self._known_spans = spans
        self._role.is_last_holder = True
        log.warning("role lapsed before the store came back from an older copy", spans=len(spans))

    async def _end_quiet_time(self) -> None:
        """Have all keys without an owner granted anew: no lease of an earlier era runs any more."""
        era = self._table.era
        owners = dict(self._owners)
        for service, known in self._view.owners.items():
            if service not in owners:
                usable = {
                    Owner(incarnation=entry.life, address=entry.address)
                    for entry in self._view.upstreams_of(service)
                }
                owners[service] = same_owners_anew(known, usable, era=era)
        await self._write_changes(owners)
        self._quiet_until = self._claims = None
        log.info("leases of the earlier era have ended", era=era)
        for table in (OWNERS_TABLE, COORDINATOR_TABLE):
            await self._table.drop_earlier_rows(f"{table}/")

    def _start_moves(self, nursery: trio.Nursery) -> None:
        for service, owners in self._owners.items():
            for span in owners.spans:
                if span.moving and (service, span.fence) not in self._started_moves:
                    self._started_moves.add((service, span.fence))
                    nursery.start_soon(self._carry_out_move, SpanMove(service=service, span=span))

    async def _run_round(self) -> None:
        """Plan and write one round of changes. Without any, only renew the role if that is due."""
        now = self._clock.now()
        if self._quiet_until is not None and now >= self._quiet_until:
            await self._end_quiet_time()
            return
        planned: list[SpanMove] = []
        owners = dict(self._owners)
        if self._claims is not None:
            await self._claims.claim()
            owners = self._claims.add_to(self._owners, era=self._table.era)
        for move in self._completed_moves:
            owners[move.service] = _complete_move(owners[move.service], move.span)
        completed, self._completed_moves = self._completed_moves, []
        cfg = self._view.configuration
        keyed = [svc.name for svc in cfg.services.values() if svc.keyed] if cfg else []
        for service in keyed:
            if self._quiet_until is not None and service not in owners:
                continue
            current = owners.get(service, first_map(self._table.era))
            owners[service], span_moves = self._plan(service, current, now)
            planned += span_moves
        try:
            if await self._write_changes(owners) and self._claims is not None:
                self._claims.note_written()
        except PlatformError:
            self._completed_moves = completed + self._completed_moves
            raise
        for move in planned:
            log.info(
                "keys move",
                service=move.service,
                first=move.span.keys.first,
                last=move.span.keys.last,
                fence=move.span.fence,
                source=move.span.previous.incarnation.upstream_id if move.span.previous else "",
                target=move.span.owner.incarnation.upstream_id,
                version=self._owners[move.service].version,
            )

    async def _write_changes(self, owners: dict[str, KeyMap]) -> bool:
        """Write the owners that have changed, or renew the role if that is due.

        Return whether anything was written.
        """
        changed = {
            name: value for name, value in owners.items() if value is not self._owners.get(name)
        }
        if not changed and self._role.since_write_s < ROLE_RENEWAL_S:
            return False
        conditions = {
            f"{OWNERS_TABLE}/{name}": self._owners[name].version if name in self._owners else 0
            for name in changed
        }
        puts = {f"{OWNERS_TABLE}/{name}": value.to_json() for name, value in changed.items()}
        versions = await self._role.write(conditions, puts)
        for name, value in changed.items():
            self._adopt(name, replace(value, version=versions[f"{OWNERS_TABLE}/{name}"]))
        return True

    def _plan(self, service: str, owners: KeyMap, now: float) -> tuple[KeyMap, list[SpanMove]]:
        usable = {}
        for entry in self._view.upstreams_of(service):
            owner = Owner(incarnation=entry.life, address=entry.address)
            if self._leases.usable(owner):
                usable[owner] = entry.slots
        times = self._load.response_times(service, now=now)
        slowness = {owner: times.slowness(owner.incarnation.upstream_id) for owner in usable}
        moves = plan_moves(
            owners=owners,
            candidates=candidates_by_speed(usable, slowness),
            load=self._load.key_load(service, now=now),
            balance=self._quiet_until is None,
        )
        if self._quiet_until is not None:
            # Keys without an owner may be held under a lease of an earlier era.
            moves = [move for move in moves if move.source is not None]
        span_moves = []
        for move in moves:
            owners, span_move = _apply_move(owners, service, move)
            span_moves.append(span_move)
        if not moves or now - self._joined_at.get(service, 0.0) >= JOIN_INTERVAL_S:
            owners = join_spans(owners)
            self._joined_at[service] = now
        return owners, span_moves

    async def _carry_out_move(self, move: SpanMove) -> None:
        """Release the keys of a moving span at the previous owner and grant them to the new one."""
        span = move.span
        started = self._clock.now()
        handover = ""
        if span.previous is not None:
            handover = await self._leases.reclaim_keys(span, span.previous)
        released_at = self._clock.now()
        while True:
            try:
                if not await self._leases.grant(move.service, span, handover=handover):
                    return
            except AuthorityLostError as exc:
                log.info("grant postponed", reason=str(exc), fence=span.fence)
                await trio.sleep(RELEASE_RETRY_S)
                continue
            except FencedError as exc:
                log.warning("grant refused", reason=str(exc), fence=span.fence)
                # A lost upstream is no candidate for keys, so the next round moves the keys again.
                self._leases.owner_state(span.owner).lost = True
                self._completed_moves.append(move)
                return
            except UpstreamError as exc:
                log.warning("grant failed", reason=str(exc), fence=span.fence)
                state = self._leases.owner_state(span.owner)
                if state.record_failure(now=self._clock.now(), lost_after_s=LOST_AFTER_S):
                    log.warning("upstream lost", upstream=span.owner.incarnation.upstream_id)
                if state.lost:
                    self._completed_moves.append(move)
                    return
                await trio.sleep(RELEASE_RETRY_S)
                continue
            self._completed_moves.append(move)
            self._view.note_granted(move.service, span.fence)
            milliseconds = (self._clock.now() - started) * 1000
            self._metrics.timing("keyspace.move_time", milliseconds)
            log.info(
                "keys granted",
                service=move.service,
                first=span.keys.first,
                last=span.keys.last,
                fence=span.fence,
                target=span.owner.incarnation.upstream_id,
                release_ms=round((released_at - started) * 1000),
                ms=round(milliseconds),
            )
            return


def _complete_move(owners: KeyMap, span: Span) -> KeyMap:
    """Return the map with a move marked as completed, if the span has not changed since."""
    current = owners.find(span.keys.first)
    if current is None or current.fence != span.fence or current.keys != span.keys:
        return owners
    settled = replace(current, moving=False, previous=None)
    return owners.replaced(span.keys, [settled], fence=owners.fence)


def _apply_move(owners: KeyMap, service: str, move: Move) -> tuple[KeyMap, SpanMove]:
    """Return the map with the keys of a move marked as moving, and their new span."""
    fence = owners.fence + 1
    span = Span(keys=move.keys, owner=move.target, fence=fence, moving=True, previous=move.source)
    return owners.replaced(move.keys, [span], fence=fence), SpanMove(service=service, span=span)

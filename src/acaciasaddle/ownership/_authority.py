"""Holders, successors and takeovers: one task per upstream of this data centre."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from acaciasaddle.errors import AuthorityLostError
from acaciasaddle.errors import NotOwnerError
from acaciasaddle.errors import PeerError
from acaciasaddle.errors import PlatformError
from acaciasaddle.model import OnceState
from acaciasaddle.model import UpstreamRow
from acaciasaddle.observe import get_logger
from acaciasaddle.ownership._api import Authority
from acaciasaddle.ownership._held import HeldUpstream
from acaciasaddle.ownership._limits import AUTHORITY_S
from acaciasaddle.ownership._limits import CALL_TIMEOUT_S
from acaciasaddle.ownership._limits import HOLDER_SUSPECT_S
from acaciasaddle.ownership._limits import LEASE_S
from acaciasaddle.ownership._limits import REPLACED_SUCCESSOR_STOPS_S
from acaciasaddle.ownership._limits import at_most
from acaciasaddle.ownership._rendezvous import rendezvous_owner
from acaciasaddle.wire import AskLoad
from acaciasaddle.wire import AskRelease
from acaciasaddle.wire import Done
from acaciasaddle.wire import Failed
from acaciasaddle.wire import Handover
from acaciasaddle.wire import KeepRecords
from acaciasaddle.wire import KeepRows
from acaciasaddle.wire import Loads
from acaciasaddle.wire import Release
from acaciasaddle.wire import RowsSince
from acaciasaddle.wire import TakenOver

if TYPE_CHECKING:
    from acaciasaddle.mirror import UpstreamInfo
    from acaciasaddle.model import OnceRecord
    from acaciasaddle.model import UnitId
    from acaciasaddle.model import UpstreamId
    from acaciasaddle.ownership._api import Permit
    from acaciasaddle.ownership._context import Context
    from acaciasaddle.ownership._router import MirrorRouter
    from acaciasaddle.wire import Call
    from acaciasaddle.wire import Reply

STAND_BY_INTERVAL_S = 0.02
OBSERVE_INTERVAL_S = 0.5
BALANCE_INTERVAL_S = 0.5
RECLAIM_AFTER_S = 1.0
HANDOVER_LIMIT_S = 2.0

log = get_logger("authority")


class HostAuthority(Authority):
    """Holds upstreams of this host's data centre, or stands by for their holders.

    The hosts of a data centre share its upstreams. An upstream has one holder, which sends it
    orders, and at most one successor, which takes over when the holder stops.
    """

    def __init__(self, *, ctx: Context, router: MirrorRouter) -> None:
        self._ctx = ctx
        self._router = router
        self._held = ctx.held
        self._managed: set[UpstreamId] = set()
        self._memory_since: dict[UpstreamId, float] = {}
        self._handover_terms: dict[UpstreamId, int] = {}
        self._handover_received = trio.Event()
        self._unannounced_takeovers: dict[str, set[UpstreamId]] = {}
        self._former_holder_stopped: set[UpstreamId] = set()
        self._reclaiming: set[UpstreamId] = set()
        self._stopping = False
        hub = ctx.hub
        hub.on_call(KeepRecords, self._on_keep_records)
        hub.on_call(KeepRows, self._on_keep_rows)
        hub.on_call(Release, self._on_release)
        hub.on_call(AskRelease, self._on_ask_release)
        hub.on_call(Handover, self._on_handover)
        hub.on_call(TakenOver, self._on_taken_over)
        hub.on_call(AskLoad, self._on_ask_load)

    @property
    def held(self) -> dict[UpstreamId, HeldUpstream]:
        """Upstreams that this host holds."""
        return self._held

    def permit(self, upstream: UpstreamId, unit: UnitId) -> Permit:
        held = self._held.get(upstream)
        if held is None or not held.may_dispatch(unit):
            raise NotOwnerError(
                f"this host may not send requests of unit {unit} now",
                step="permit",
                peer=str(upstream),
            )
        return held.permit()

    async def replicate(self, upstream: UpstreamId, records: tuple[OnceRecord, ...]) -> None:
        held = self._held.get(upstream)
        if held is not None:
            await held.row_keeper.replicate(records)
            return
        # A request that began here before a handover also ends here. The new holder needs its
        # result.
        holder, _ = self._router.holder(upstream)
        results_only = all(record.state is OnceState.COMPLETED for record in records)
        if not results_only or holder in ("", self._ctx.member):
            raise NotOwnerError("upstream is not held here", step="replicate", peer=str(upstream))
        call = KeepRecords(
            upstream=upstream, term=0, records=records, complete=False, memory_since_ms=0
        )
        reply = await self._ctx.hub.call(holder, call, timeout=CALL_TIMEOUT_S)
        if isinstance(reply, Failed):
            raise AuthorityLostError(reply.reason, step=reply.step, peer=holder)

    def memory_since(self, upstream: UpstreamId) -> float:
        held = self._held.get(upstream)
        return held.memory_since if held else self._ctx.clock.wall()

    def note_refused_term(self, upstream: UpstreamId, term: int) -> None:
        held = self._held.get(upstream)
        if held is not None and term > held.term:
            held.end(f"the upstream refused a request at a term above {held.term}")

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        task_status.started()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._balance)
            while True:
                self._set_partners()
                for info in self._local_upstreams():
                    if info.id not in self._managed:
                        self._managed.add(info.id)
                        nursery.start_soon(self._manage, info)
                with trio.move_on_after(OBSERVE_INTERVAL_S):
                    await self._ctx.mirror.wait_changed()

    async def stop(self) -> None:
        """Hand the held upstreams over to their successors, within ``HANDOVER_LIMIT_S``."""
        self._stopping = True
        with trio.move_on_after(HANDOVER_LIMIT_S):
            async with trio.open_nursery() as nursery:
                for held in list(self._held.values()):
                    nursery.start_soon(self._hand_over_until_done, held)

    async def _hand_over_until_done(self, held: HeldUpstream) -> None:
        while not held.ended.is_set() and not await held.hand_over():
            await trio.sleep(STAND_BY_INTERVAL_S)

    def _local_upstreams(self) -> list[UpstreamInfo]:
        cfg = self._ctx.mirror.configuration
        if cfg is None:
            return []
        data_centre = self._ctx.members.data_centre
        return [info for info in cfg.upstreams.values() if info.entry.data_centre == data_centre]

    def _set_partners(self) -> None:
        partners: set[str] = set()
        for held in self._held.values():
            partners.update(m for m in (held.successor, held.row_keeper.pending_successor) if m)
        self._ctx.members.partners = frozenset(partners)
        self._ctx.hub.set_partners(frozenset(partners))

    # One task per upstream

    async def _manage(self, info: UpstreamInfo) -> None:
        """Create the row of one upstream, or act on the upstream as its row requires.

        This host holds or reclaims it, stands by as its successor, or observes whether holder and
        successor respond.
        """
        while True:
            cfg = self._ctx.mirror.configuration
            info = cfg.upstreams.get(info.id, info) if cfg else info
            row = self._ctx.mirror.upstream_row(info.id)
            try:
                if self._stopping:
                    await trio.sleep(OBSERVE_INTERVAL_S)
                elif row is None:
                    await self._create(info)
                elif row.holder == self._ctx.member and info.id in self._reclaiming:
                    await self._reclaim(info)
                    # Not reached if the store fails. The upstream then stays in the set, since the
                    # old term must not be used until the table has decided.
                    self._reclaiming.discard(info.id)
                elif row.holder == self._ctx.member:
                    await self._hold_by_row(info, row)
                elif row.successor == self._ctx.member:
                    await self._stand_by(info, row)
                else:
                    await self._observe(info, row)
            except PlatformError as exc:
                log.info(
                    "upstream row not read or written, retrying",
                    upstream=str(info.id),
                    error=str(exc),
                )
                self._ctx.mirror.poll_soon()
                await trio.sleep(OBSERVE_INTERVAL_S * random.uniform(0.2, 1))

    async def _create(self, info: UpstreamInfo) -> None:
        """Become the first holder of an upstream if this host is the preferred one."""
        live = self._ctx.members.live(self._ctx.members.data_centre)
        preferred = rendezvous_owner(str(info.id), [(member, 1.0) for member in live])
        if preferred != self._ctx.member or not self._ctx.mirror.store_up:
            with trio.move_on_after(OBSERVE_INTERVAL_S):
                await self._ctx.mirror.wait_changed()
            return
        row = UpstreamRow(holder=self._ctx.member, successor="", term=2, health="unknown")
        await self._ctx.write(conditions={info.id.row_key: 0}, puts={info.id.row_key: row.to_json})
        self._memory_since[info.id] = 0.0

    async def _hold_by_row(self, info: UpstreamInfo, row: UpstreamRow) -> None:
        """Hold an upstream whose row names this host as the holder.

        A former holder that may still run can send orders to the upstream until the isolation limit
        has passed, and its last lease expires ``LEASE_S`` after that.
        """
        now = self._ctx.clock.now()
        never_granted = row.health == "unknown" and row.term == 2
        leases_expire_in = LEASE_S
        if info.id in self._former_holder_stopped:
            leases_expire_in = 0.0
        elif not never_granted:
            leases_expire_in = at_most(self._isolation_limit() + LEASE_S)
        self._former_holder_stopped.discard(info.id)
        memory_since = self._memory_since.get(info.id, self._ctx.clock.wall())
        held = HeldUpstream(
            info=info,
            term=row.term,
            row_written=True,
            leases_expire_by=now + leases_expire_in,
            memory_since=memory_since,
            ctx=self._ctx,
        )
        await self._hold(held)

    async def _hold(self, held: HeldUpstream) -> None:
        """Hold an upstream until this host gives it up or its row names another holder."""
        info = held.info
        log.info("now holding the upstream", upstream=str(info.id), term=held.term)
        self._held[info.id] = held
        self._set_partners()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(held.run)
                nursery.start_soon(self._follow_row, held)
                await held.ended.wait()
                nursery.cancel_scope.cancel()
        finally:
            del self._held[info.id]
            self._memory_since[info.id] = held.memory_since
        row = self._ctx.mirror.upstream_row(info.id)
        if row is not None and row.holder == self._ctx.member:
            self._reclaiming.add(info.id)

    async def _follow_row(self, held: HeldUpstream) -> None:
        """Keep ``held.info`` up to date, and end the authority if the row names another holder."""
        key = held.id.row_key
        while True:
            row = self._ctx.mirror.upstream_row(held.id)
            held_elsewhere = row is not None and row.holder != self._ctx.member
            if row is not None and held_elsewhere and (held.row_written or row.term > held.term):
                held.end(f"row {key} names {row.holder}")
                return
            cfg = self._ctx.mirror.configuration
            info = cfg.upstreams.get(held.id) if cfg else None
            if info is not None:
                held.info = info
            await self._ctx.mirror.wait_changed()

    async def _reclaim(self, info: UpstreamInfo) -> None:
        """Settle who holds an upstream that this host gave up but whose row still names this host.

        Waits until the successor that took over has written the row. The successor may be lost
        before that, and the row would then name this host for ever. So after ``RECLAIM_AFTER_S``
        this host writes the row with a new term, and the table decides.
        """
        before = self._ctx.mirror.version(info.id.row_key)
        with trio.move_on_after(RECLAIM_AFTER_S):
            while self._ctx.mirror.version(info.id.row_key) == before:
                await self._ctx.mirror.wait_changed()
            return
        # This host does not know which requests ran under the successor's term.
        self._memory_since[info.id] = self._ctx.clock.wall()
        await self._claim_row(info)

    # Takeover

    async def _stand_by(self, info: UpstreamInfo, row: UpstreamRow) -> None:
        """Take over, as the successor, once the holder has handed over or must have stopped."""
        since = self._ctx.clock.now()
        while self._ctx.mirror.upstream_row(info.id) == row and not self._stopping:
            handover_received = self._handover_received
            handed_over = self._handover_terms.pop(info.id, None) == row.term
            stopped_at = max(self._ctx.hub.confirmation_sent_at(row.holder), since) + at_most(
                AUTHORITY_S
            )
            if handed_over or self._ctx.clock.now() > stopped_at:
                reason = "handed over" if handed_over else f"{row.holder} is silent"
                await self._take_over(info, row, stopped_at, since, reason, handed_over=handed_over)
                return
            with trio.move_on_after(max(stopped_at - self._ctx.clock.now(), STAND_BY_INTERVAL_S)):
                await handover_received.wait()

    async def _take_over(
        self,
        info: UpstreamInfo,
        row: UpstreamRow,
        stopped_at: float,
        known_since: float,
        reason: str,
        *,
        handed_over: bool,
    ) -> None:
        """Hold an upstream as its successor, before the row names this host as the holder.

        An upstream that does not check orders is taken over through the table instead.
        """
        log.info(
            "taking over the upstream", upstream=str(info.id), holder=row.holder, reason=reason
        )
        self._ctx.metrics.count("authority.takeovers")
        # Confirming the former holder's heartbeats before it knows of every takeover would let it
        # go on sending orders.
        self._ctx.hub.withhold_confirmation(row.holder)
        self._unannounced_takeovers.setdefault(row.holder, set()).add(info.id)
        if not info.entry.checks_orders:
            await self._take_over_unchecked(info, row, stopped_at, handed_over=handed_over)
            return
        held = HeldUpstream(
            info=info,
            term=row.term + 1,
            row_written=False,
            leases_expire_by=stopped_at + at_most(LEASE_S),
            memory_since=self._memory_since.get(info.id, self._ctx.clock.wall()),
            replaced_successor_until=known_since + REPLACED_SUCCESSOR_STOPS_S,
            ctx=self._ctx,
        )
        self._router.announce(info.id, term=held.term, member=self._ctx.member)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._announce, row.holder, info.id, held.term)
            nursery.start_soon(self._hold, held)

    async def _take_over_unchecked(
        self, info: UpstreamInfo, row: UpstreamRow, stopped_at: float, *, handed_over: bool
    ) -> None:
        """Take over an upstream that does not check orders, through the table alone.

        Such an upstream does not refuse a former holder, so only the table can decide.
        """
        rules = self._ctx.rules
        pause = rules.pause_allowance_s if rules and not handed_over else 0.0
        await trio.sleep(max(stopped_at + pause - self._ctx.clock.now(), 0.0))
        term = await self._claim_row(info, decided_on=row)
        if term is None:
            # The holder may have replaced this host as successor while this host was paused. This
            # host would then lack the records replicated since.
            log.info("takeover abandoned, the upstream's row has changed", upstream=str(info.id))
            self._clear_takeover(row.holder, info.id)
            return
        self._former_holder_stopped.add(info.id)
        await self._announce(row.holder, info.id, term)

    async def _announce(self, holder: str, upstream: UpstreamId, term: int) -> None:
        """Notify the former holder and all other live hosts, which then route to this host."""
        call = TakenOver(upstreams=(upstream,), terms=(term,))
        live = [m for m in self._ctx.members.live() if m not in (holder, self._ctx.member)]

        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._notify_former_holder, holder, upstream, call)
            for member in live:
                nursery.start_soon(self._notify, member, call)

    async def _notify(self, member: str, call: TakenOver) -> bool:
        try:
            await self._ctx.hub.call(member, call, timeout=CALL_TIMEOUT_S)
        except PeerError:
            return False
        return True

    async def _notify_former_holder(
        self, holder: str, upstream: UpstreamId, call: TakenOver
    ) -> None:
        while not await self._notify(holder, call):
            if holder not in self._ctx.members.live():
                return
            await trio.sleep(OBSERVE_INTERVAL_S)
        self._clear_takeover(holder, upstream)

    def _clear_takeover(self, holder: str, upstream: UpstreamId) -> None:
        """Remove a takeover that the former holder knows of or that was abandoned.

        Once none is left, the heartbeats of the former holder are confirmed again.
        """
        self._unannounced_takeovers[holder].discard(upstream)
        if not self._unannounced_takeovers[holder]:
            self._ctx.hub.restore_confirmation(holder)

    async def _claim_row(
        self, info: UpstreamInfo, *, decided_on: UpstreamRow | None = None
    ) -> int | None:
        """Become the holder by writing the row with a new term. Raises ``PlatformError``.

        Returns the term, or ``None`` if the row is no longer the one that the takeover was decided
        on.
        """
        mirror = self._ctx.mirror
        await mirror.refresh()
        old = mirror.upstream_row(info.id)
        assert old is not None
        if decided_on is not None and old != decided_on:
            return None
        row = UpstreamRow(
            holder=self._ctx.member, successor="", term=old.term + 2, health=old.health
        )
        key = info.id.row_key
        await self._ctx.write(conditions={key: mirror.version(key)}, puts={key: row.to_json})
        # By now the table has all rows that the former holder wrote before it lost the upstream.
        await mirror.refresh()
        log.info("upstream claimed through the table", upstream=str(info.id), term=row.term)
        return row.term

    async def _observe(self, info: UpstreamInfo, row: UpstreamRow) -> None:
        """Take over through the table if neither holder nor successor can be reached."""
        live = self._ctx.members.live(self._ctx.members.data_centre)
        candidates = [m for m in live if m not in (row.holder, row.successor)]
        candidates = candidates or [self._ctx.member]
        preferred = rendezvous_owner(str(info.id), [(member, 1.0) for member in candidates])
        suspect_after = HOLDER_SUSPECT_S if preferred == self._ctx.member else 3 * HOLDER_SUSPECT_S
        silent_since = self._ctx.clock.now()
        while self._ctx.mirror.upstream_row(info.id) == row and not self._stopping:
            if await self._responds(row.holder) or await self._responds(row.successor):
                silent_since = self._ctx.clock.now()
            elif self._ctx.clock.now() - silent_since > suspect_after and self._ctx.mirror.store_up:
                log.warning(
                    "holder and successor do not answer, taking over through the table",
                    upstream=str(info.id),
                )
                self._memory_since[info.id] = self._ctx.clock.wall()
                await self._claim_row(info)
                return
            await trio.sleep(OBSERVE_INTERVAL_S * random.uniform(0.8, 1.2))

    async def _responds(self, member: str) -> bool:
        if not member:
            return False
        if self._ctx.clock.now() - self._ctx.hub.heard_at(member) < HOLDER_SUSPECT_S:
            return True
        query = RowsSince(revision=self._ctx.mirror.revision)
        try:
            await self._ctx.hub.call(member, query, timeout=CALL_TIMEOUT_S)
        except PeerError:
            return False
        return True

    def _isolation_limit(self) -> float:
        rules = self._ctx.rules
        return rules.isolation_limit_s if rules else float("inf")

    # Balance of held upstreams between hosts

    async def _balance(self) -> None:
        while True:
            await trio.sleep(BALANCE_INTERVAL_S * random.uniform(0.8, 1.2))
            # Without the store, a new holder could not write the row and would have no successor.
            if self._stopping or not self._ctx.mirror.store_up:
                continue
            try:
                await self._rebalance_holders()
            except PlatformError as exc:
                log.info("upstreams not rebalanced between hosts, retrying", error=str(exc))

    async def _rebalance_holders(self) -> None:
        """Hand one upstream over to the host with the fewest if this one holds at least two more.

        Only an upstream whose successor is that host can be handed over. If there is none, the
        host is made the successor for one.
        """
        counts = dict.fromkeys(self._ctx.members.live(self._ctx.members.data_centre), 0)
        for info in self._local_upstreams():
            row = self._ctx.mirror.upstream_row(info.id)
            if row is not None and row.holder in counts:
                counts[row.holder] += 1
        fewest = min(counts, key=lambda member: (counts[member], member))
        if counts[self._ctx.member] <= counts[fewest] + 1:
            return
        for held in list(self._held.values()):
            if held.successor == fewest and held.row_written and held.reachable:
                log.info(
                    "handing the upstream over to a host that holds fewer",
                    upstream=str(held.id),
                    to=fewest,
                )
                await held.hand_over()
                return
        await self._make_successor(fewest)

    async def _make_successor(self, member: str) -> None:
        """Make a host the successor for one upstream that this host holds, for a handover."""
        for held in list(self._held.values()):
            if held.row_written and held.in_authority():
                await held.row_keeper.change_successor(member)
                return

    # Calls from peers

    async def _on_keep_records(self, member: str, call: Call) -> Reply:
        assert isinstance(call, KeepRecords)
        results_only = all(record.state is OnceState.COMPLETED for record in call.records)
        if call.upstream in self._held and not results_only:
            return Failed(reason="this host has taken over the upstream", step="keep records")
        if call.complete and call.upstream not in self._held:
            self._memory_since[call.upstream] = call.memory_since_ms / 1000
        self._ctx.dispatcher.import_records(call.upstream, call.records)
        return Done()

    async def _on_keep_rows(self, member: str, call: Call) -> Reply:
        assert isinstance(call, KeepRows)
        self._ctx.mirror.apply_rows(call.rows, source=member)
        return Done()

    async def _on_release(self, member: str, call: Call) -> Reply:
        assert isinstance(call, Release)
        held = self._held.get(call.upstream)
        if held is None:
            return Failed(reason="upstream is not held here", step="release")
        held.memory_since = max(held.memory_since, call.memory_since_ms / 1000)
        self._ctx.dispatcher.import_records(call.upstream, call.records)
        if call.records:
            await held.row_keeper.replicate(call.records)
        held.moves.confirm_release(call.units, call.epochs)
        return Done()

    async def _on_ask_release(self, member: str, call: Call) -> Reply:
        assert isinstance(call, AskRelease)
        held = self._held.get(call.previous)
        if held is None:
            return Failed(reason="upstream is not held here", step="ask release")
        held.moves.resend_release(call.units)
        return Done()

    async def _on_handover(self, member: str, call: Call) -> Reply:
        assert isinstance(call, Handover)
        row = self._ctx.mirror.upstream_row(call.upstream)
        if row is None or row.successor != self._ctx.member or row.term != call.term:
            return Failed(reason="this host is not the successor at that term", step="handover")
        self._handover_terms[call.upstream] = call.term
        self._handover_received.set()
        self._handover_received = trio.Event()
        return Done()

    async def _on_ask_load(self, member: str, call: Call) -> Reply:
        assert isinstance(call, AskLoad)
        loads = [self._ctx.local_load(upstream) for upstream in call.upstreams]
        return Loads(
            busy_permille=tuple(-1 if load is None else int(load * 1000) for load in loads)
        )

    async def _on_taken_over(self, member: str, call: Call) -> Reply:
        assert isinstance(call, TakenOver)
        for upstream, term in zip(call.upstreams, call.terms, strict=True):
            held = self._held.get(upstream)
            if held is not None and held.term < term:
                held.end(f"{member} has taken over at term {term}")
            self._router.announce(upstream, term=term, member=member)
        self._ctx.mirror.poll_soon()
        return Done()

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
from acaciasaddle.ownership._limits import REPLACED_STOPS_S
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

STAND_BY_STEP_S = 0.02
OBSERVE_STEP_S = 0.5
BALANCE_INTERVAL_S = 0.5
RECLAIM_AFTER_S = 1.0
HANDOVER_LIMIT_S = 2.0

log = get_logger("authority")


class HostAuthority(Authority):
    """Takes part in holding the upstreams of this host's data centre."""

    def __init__(self, *, ctx: Context, router: MirrorRouter) -> None:
        self._ctx = ctx
        self._router = router
        self._held = ctx.held
        self._watched: set[UpstreamId] = set()
        self._memory_since: dict[UpstreamId, float] = {}
        self._handed: dict[UpstreamId, int] = {}
        self._handover = trio.Event()
        self._untold: dict[str, set[UpstreamId]] = {}
        self._stopped_for_sure: set[UpstreamId] = set()
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
            raise NotOwnerError(f"unit {unit} is not held here", step="permit", peer=str(upstream))
        return held.permit()

    async def replicate(self, upstream: UpstreamId, records: tuple[OnceRecord, ...]) -> None:
        held = self._held.get(upstream)
        if held is not None:
            await held.row.replicate(records)
            return
        # Work that began here before a handover ends here; its holder wants the result.
        holder, _ = self._router.holder(upstream)
        late = all(record.state is OnceState.COMPLETED for record in records)
        if not late or holder in ("", self._ctx.member):
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

    def note_higher_term(self, upstream: UpstreamId, term: int) -> None:
        held = self._held.get(upstream)
        if held is not None and term > held.term:
            held.end(f"the upstream refused term {held.term}")

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        task_status.started()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._balance)
            while True:
                self._set_partners()
                for info in self._local_upstreams():
                    if info.id not in self._watched:
                        self._watched.add(info.id)
                        nursery.start_soon(self._watch, info)
                with trio.move_on_after(OBSERVE_STEP_S):
                    await self._ctx.mirror.wait_changed()

    async def stop(self) -> None:
        """Hand every held upstream to its successor."""
        self._stopping = True
        with trio.move_on_after(HANDOVER_LIMIT_S):
            async with trio.open_nursery() as nursery:
                for held in list(self._held.values()):
                    nursery.start_soon(self._hand_over_until_done, held)

    async def _hand_over_until_done(self, held: HeldUpstream) -> None:
        while not held.ended.is_set() and not await held.hand_over():
            await trio.sleep(STAND_BY_STEP_S)

    def _local_upstreams(self) -> list[UpstreamInfo]:
        cfg = self._ctx.mirror.configuration
        if cfg is None:
            return []
        place = self._ctx.members.data_centre
        return [info for info in cfg.upstreams.values() if info.entry.data_centre == place]

    def _set_partners(self) -> None:
        partners: set[str] = set()
        for held in self._held.values():
            partners.update(m for m in (held.successor, held.row.pending_successor) if m)
        self._ctx.members.partners = frozenset(partners)
        self._ctx.hub.set_partners(frozenset(partners))

    # One task per upstream

    async def _watch(self, info: UpstreamInfo) -> None:
        while True:
            cfg = self._ctx.mirror.configuration
            info = cfg.upstreams.get(info.id, info) if cfg else info
            row = self._ctx.mirror.upstream_row(info.id)
            try:
                if self._stopping:
                    await trio.sleep(OBSERVE_STEP_S)
                elif row is None:
                    await self._create(info)
                elif row.holder == self._ctx.member and info.id in self._reclaiming:
                    await self._reclaim(info)
                    # Only now: without an answer of the store the old term must not be used.
                    self._reclaiming.discard(info.id)
                elif row.holder == self._ctx.member:
                    await self._hold_by_row(info, row)
                elif row.successor == self._ctx.member:
                    await self._stand_by(info, row)
                else:
                    await self._observe(info, row)
            except PlatformError as exc:
                log.info("upstream waits for the store", upstream=str(info.id), error=str(exc))
                self._ctx.mirror.poll_soon()
                await trio.sleep(OBSERVE_STEP_S * random.uniform(0.2, 1))

    async def _create(self, info: UpstreamInfo) -> None:
        """Become the first holder of an upstream, if this host is the one to do it."""
        live = self._ctx.members.live(self._ctx.members.data_centre)
        first = rendezvous_owner(str(info.id), [(member, 1.0) for member in live])
        if first != self._ctx.member or not self._ctx.mirror.store_up:
            with trio.move_on_after(OBSERVE_STEP_S):
                await self._ctx.mirror.wait_changed()
            return
        row = UpstreamRow(holder=self._ctx.member, successor="", term=2, health="unknown")
        await self._ctx.write(conditions={info.id.row_key: 0}, puts={info.id.row_key: row.to_json})
        self._memory_since[info.id] = 0.0

    async def _hold_by_row(self, info: UpstreamInfo, row: UpstreamRow) -> None:
        now = self._ctx.clock.now()
        never_granted = row.health == "unknown" and row.term == 2
        wait = LEASE_S
        if info.id in self._stopped_for_sure:
            wait = 0.0
        elif not never_granted:
            wait = at_most(self._isolation_limit() + LEASE_S)
        self._stopped_for_sure.discard(info.id)
        memory = self._memory_since.get(info.id, self._ctx.clock.wall())
        held = HeldUpstream(
            info=info,
            term=row.term,
            row_written=True,
            lapsed_after=now + wait,
            memory_since=memory,
            ctx=self._ctx,
        )
        await self._hold(held)

    async def _hold(self, held: HeldUpstream) -> None:
        """Hold an upstream until it is given up or its row names another holder."""
        info = held.info
        log.info("upstream is held", upstream=str(info.id), term=held.term)
        self._held[info.id] = held
        self._set_partners()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(held.run)
                nursery.start_soon(self._end_with_row, held)
                await held.ended.wait()
                nursery.cancel_scope.cancel()
        finally:
            del self._held[info.id]
            self._memory_since[info.id] = held.memory_since
        row = self._ctx.mirror.upstream_row(info.id)
        if row is not None and row.holder == self._ctx.member:
            self._reclaiming.add(info.id)

    async def _end_with_row(self, held: HeldUpstream) -> None:
        key = held.id.row_key
        while True:
            row = self._ctx.mirror.upstream_row(held.id)
            elsewhere = row is not None and row.holder != self._ctx.member
            if row is not None and elsewhere and (held.row_written or row.term > held.term):
                held.end(f"row {key} names {row.holder}")
                return
            cfg = self._ctx.mirror.configuration
            info = cfg.upstreams.get(held.id) if cfg else None
            if info is not None:
                held.info = info
            await self._ctx.mirror.wait_changed()

    async def _reclaim(self, info: UpstreamInfo) -> None:
        """After a successor took over without the table: wait for its row, then ask the table.

        The successor may be lost before it could write the row, which then names this host for
        ever; a new term lets the table decide.
        """
        before = self._ctx.mirror.version(info.id.row_key)
        with trio.move_on_after(RECLAIM_AFTER_S):
            while self._ctx.mirror.version(info.id.row_key) == before:
                await self._ctx.mirror.wait_changed()
            return
        # This host cannot know which requests ran under the successor's term.
        self._memory_since[info.id] = self._ctx.clock.wall()
        await self._take_row(info)

    # Takeover

    async def _stand_by(self, info: UpstreamInfo, row: UpstreamRow) -> None:
        """As the successor, take over once the holder has surely stopped."""
        since = self._ctx.clock.now()
        while self._ctx.mirror.upstream_row(info.id) == row and not self._stopping:
            woken = self._handover
            handed = self._handed.pop(info.id, None) == row.term
            stopped_at = max(self._ctx.hub.confirmation_sent_at(row.holder), since) + at_most(
                AUTHORITY_S
            )
            if handed or self._ctx.clock.now() > stopped_at:
                reason = "handed over" if handed else f"{row.holder} is silent"
                await self._take_over(info, row, stopped_at, since, reason, handed=handed)
                return
            with trio.move_on_after(max(stopped_at - self._ctx.clock.now(), STAND_BY_STEP_S)):
                await woken.wait()

    async def _take_over(
        self,
        info: UpstreamInfo,
        row: UpstreamRow,
        stopped_at: float,
        known_since: float,
        reason: str,
        *,
        handed: bool,
    ) -> None:
        log.info("takeover", upstream=str(info.id), holder=row.holder, reason=reason)
        self._ctx.metrics.count("authority.takeovers")
        # Confirming again before the holder knows of every takeover would let it go on.
        self._ctx.hub.withhold_confirmation(row.holder)
        self._untold.setdefault(row.holder, set()).add(info.id)
        if not info.entry.checks_orders:
            await self._take_unchecked(info, row, stopped_at, handed=handed)
            return
        held = HeldUpstream(
            info=info,
            term=row.term + 1,
            row_written=False,
            lapsed_after=stopped_at + at_most(LEASE_S),
            memory_since=self._memory_since.get(info.id, self._ctx.clock.wall()),
            replaced_until=known_since + REPLACED_STOPS_S,
            ctx=self._ctx,
        )
        self._router.announce(info.id, term=held.term, member=self._ctx.member)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._announce, row.holder, info.id, held.term)
            nursery.start_soon(self._hold, held)

    async def _take_unchecked(
        self, info: UpstreamInfo, row: UpstreamRow, stopped_at: float, *, handed: bool
    ) -> None:
        """Take over an upstream that refuses nobody: only the table can decide."""
        rules = self._ctx.rules
        pause = rules.pause_allowance_s if rules and not handed else 0.0
        await trio.sleep(max(stopped_at + pause - self._ctx.clock.now(), 0.0))
        term = await self._take_row(info, decided_on=row)
        if term is None:
            # The holder has replaced this host, which was paused and lacks the records since then.
            log.info("takeover given up, the row has changed", upstream=str(info.id))
            self._forget_takeover(row.holder, info.id)
            return
        self._stopped_for_sure.add(info.id)
        await self._announce(row.holder, info.id, term)

    async def _announce(self, holder: str, upstream: UpstreamId, term: int) -> None:
        """Tell everyone that routes to the upstream, the former holder first."""
        call = TakenOver(upstreams=(upstream,), terms=(term,))
        live = [m for m in self._ctx.members.live() if m not in (holder, self._ctx.member)]

        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tell_holder, holder, upstream, call)
            for member in live:
                nursery.start_soon(self._tell, member, call)

    async def _tell(self, member: str, call: TakenOver) -> bool:
        try:
            await self._ctx.hub.call(member, call, timeout=CALL_TIMEOUT_S)
        except PeerError:
            return False
        return True

    async def _tell_holder(self, holder: str, upstream: UpstreamId, call: TakenOver) -> None:
        while not await self._tell(holder, call):
            if holder not in self._ctx.members.live():
                return
            await trio.sleep(OBSERVE_STEP_S)
        self._forget_takeover(holder, upstream)

    def _forget_takeover(self, holder: str, upstream: UpstreamId) -> None:
        """Confirm a former holder again once it knows of all takeovers."""
        self._untold[holder].discard(upstream)
        if not self._untold[holder]:
            self._ctx.hub.restore_confirmation(holder)

    async def _take_row(
        self, info: UpstreamInfo, *, decided_on: UpstreamRow | None = None
    ) -> int | None:
        """Become the holder through the table. Raises ``PlatformError``.

        Returns the term, or ``None`` if the row is not the one that the takeover was decided on.
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
        # Rows that the former holder wrote before it lost the upstream are all in the table.
        await mirror.refresh()
        log.info("upstream is taken over through the table", upstream=str(info.id), term=row.term)
        return row.term

    async def _observe(self, info: UpstreamInfo, row: UpstreamRow) -> None:
        """Take over through the table if holder and successor are both out of reach."""
        live = self._ctx.members.live(self._ctx.members.data_centre)
        others = [m for m in live if m not in (row.holder, row.successor)]
        others = others or [self._ctx.member]
        first = rendezvous_owner(str(info.id), [(member, 1.0) for member in others])
        patience = HOLDER_SUSPECT_S if first == self._ctx.member else 3 * HOLDER_SUSPECT_S
        started = self._ctx.clock.now()
        while self._ctx.mirror.upstream_row(info.id) == row and not self._stopping:
            if await self._answers(row.holder) or await self._answers(row.successor):
                started = self._ctx.clock.now()
            elif self._ctx.clock.now() - started > patience and self._ctx.mirror.store_up:
                log.warning("holder and successor are lost", upstream=str(info.id))
                self._memory_since[info.id] = self._ctx.clock.wall()
                await self._take_row(info)
                return
            await trio.sleep(OBSERVE_STEP_S * random.uniform(0.8, 1.2))

    async def _answers(self, member: str) -> bool:
        if not member:
            return False
        if self._ctx.clock.now() - self._ctx.hub.heard_at(member) < HOLDER_SUSPECT_S:
            return True
        question = RowsSince(revision=self._ctx.mirror.revision)
        try:
            await self._ctx.hub.call(member, question, timeout=CALL_TIMEOUT_S)
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
            # Without the store, a new holder could not write its row and would have no successor.
            if self._stopping or not self._ctx.mirror.store_up:
                continue
            try:
                await self._even_out()
            except PlatformError as exc:
                log.info("balance waits", error=str(exc))

    async def _even_out(self) -> None:
        """Hand one upstream to the host that holds the fewest, if this one holds too many."""
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
                log.info("upstream is handed over", upstream=str(held.id), to=fewest)
                await held.hand_over()
                return
        await self._offer(fewest)

    async def _offer(self, member: str) -> None:
        """Make the host with the fewest upstreams the successor of one of this host's."""
        for held in list(self._held.values()):
            if held.row_written and held.in_authority():
                await held.row.change_successor(member)
                return

    # Calls from peers

    async def _on_keep_records(self, member: str, call: Call) -> Reply:
        assert isinstance(call, KeepRecords)
        late = all(record.state is OnceState.COMPLETED for record in call.records)
        if call.upstream in self._held and not late:
            return Failed(reason="this host has taken over the upstream", step="keep records")
        if call.complete and call.upstream not in self._held:
            self._memory_since[call.upstream] = call.memory_since_ms / 1000
        self._ctx.dispatcher.import_records(call.upstream, call.records)
        return Done()

    async def _on_keep_rows(self, member: str, call: Call) -> Reply:
        assert isinstance(call, KeepRows)
        self._ctx.mirror.take(call.rows, source=member)
        return Done()

    async def _on_release(self, member: str, call: Call) -> Reply:
        assert isinstance(call, Release)
        held = self._held.get(call.upstream)
        if held is None:
            return Failed(reason="upstream is not held here", step="release")
        held.memory_since = max(held.memory_since, call.memory_since_ms / 1000)
        self._ctx.dispatcher.import_records(call.upstream, call.records)
        if call.records:
            await held.row.replicate(call.records)
        held.moves.confirm(call.units, call.epochs)
        return Done()

    async def _on_ask_release(self, member: str, call: Call) -> Reply:
        assert isinstance(call, AskRelease)
        held = self._held.get(call.previous)
        if held is None:
            return Failed(reason="upstream is not held here", step="ask release")
        held.moves.release_again(call.units)
        return Done()

    async def _on_handover(self, member: str, call: Call) -> Reply:
        assert isinstance(call, Handover)
        row = self._ctx.mirror.upstream_row(call.upstream)
        if row is None or row.successor != self._ctx.member or row.term != call.term:
            return Failed(reason="this host is not the successor at that term", step="handover")
        self._handed[call.upstream] = call.term
        self._handover.set()
        self._handover = trio.Event()
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

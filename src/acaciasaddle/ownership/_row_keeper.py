"""The row of an upstream that this host holds: its successor, its health, and who may act on it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from acaciasaddle.errors import AcaciasaddleError
from acaciasaddle.errors import AuthorityLostError
from acaciasaddle.errors import PeerError
from acaciasaddle.errors import PlatformError
from acaciasaddle.model import UpstreamRow
from acaciasaddle.observe import get_logger
from acaciasaddle.ownership._limits import ACTING_CHECK_S
from acaciasaddle.ownership._limits import AUTHORITY_S
from acaciasaddle.ownership._limits import CALL_TIMEOUT_S
from acaciasaddle.ownership._limits import LEASE_S
from acaciasaddle.ownership._limits import LOSS_GRACE_S
from acaciasaddle.ownership._limits import RENEW_INTERVAL_S
from acaciasaddle.ownership._limits import REPLACED_STOPS_S
from acaciasaddle.ownership._limits import SUCCESSOR_SILENT_S
from acaciasaddle.ownership._limits import at_most
from acaciasaddle.wire import Done
from acaciasaddle.wire import KeepRecords
from acaciasaddle.wire import KeepRows
from acaciasaddle.wire import RowsPart
from acaciasaddle.wire import RowsSince

if TYPE_CHECKING:
    from acaciasaddle.model import OnceRecord
    from acaciasaddle.ownership._context import Context
    from acaciasaddle.ownership._held import HeldUpstream

SUCCESSOR_CHECK_S = 0.04
REPLICATE_RETRY_S = 0.02
REPLICATE_LIMIT_S = 1.0

log = get_logger("lease")


class RowKeeper:
    """Keeps the row of a held upstream, and its successor up to date.

    ``acting_since`` is when all other hosts of the data centre were last asked for newer rows,
    for a host that acts before the row names it. ``replaced_until`` is the reading of this host's
    clock until which a replaced successor may still act on an upstream that has not been ordered
    since its replacement. ``pending_successor`` is a member that is being made successor.
    """

    def __init__(self, *, held: HeldUpstream, replaced_until: float, ctx: Context) -> None:
        self._held = held
        self._ctx = ctx
        self.acting_since = ctx.clock.now()
        self.replaced_until = replaced_until
        self.pending_successor = ""
        self._row_lock = trio.Lock()

    async def run(self) -> None:
        """Keep the row until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_row)
            nursery.start_soon(self._keep_acting)

    async def replicate(self, records: tuple[OnceRecord, ...]) -> None:
        """Copy records to the successor. Raises ``AuthorityLostError``."""
        deadline = self._ctx.clock.now() + REPLICATE_LIMIT_S
        while True:
            successor = self._held.successor
            targets = {m for m in (successor, self.pending_successor) if m}
            if self._held.ended.is_set():
                break
            if not targets:
                return
            failed = [m for m in targets if not await self._keep(m, records, complete=False)]
            if self.pending_successor in failed:
                self.pending_successor = ""
            if successor == self._held.successor and successor not in failed:
                return
            if self._ctx.clock.now() > deadline:
                break
            await trio.sleep(REPLICATE_RETRY_S)
        raise AuthorityLostError(
            "records could not be replicated", step="once.replicate", peer=str(self._held.id)
        )

    # Authority before the row names this host

    async def _keep_acting(self) -> None:
        """Ask the other hosts of the data centre whether the row has changed.

        While the store is out of reach, the former holder may live on behind a partition, name
        another successor and move units of an upstream that it takes for lost. The other hosts
        would know.
        """
        while not self._held.row_written:
            asked_at = self._ctx.clock.now()
            if await self._ask_for_newer_rows():
                self.acting_since = asked_at
            await trio.sleep(ACTING_CHECK_S)

    async def _ask_for_newer_rows(self) -> bool:
        members = self._ctx.members
        row = self._ctx.mirror.upstream_row(self._held.id)
        former = row.holder if row else ""
        answers: list[bool] = []

        async def ask(member: str) -> None:
            question = RowsSince(revision=self._ctx.mirror.revision)
            try:
                reply = await self._ctx.hub.call(member, question, timeout=CALL_TIMEOUT_S)
            except PeerError:
                answers.append(False)
                return
            if isinstance(reply, RowsPart):
                self._ctx.mirror.take(reply.rows, source=member)
            answers.append(isinstance(reply, RowsPart))

        async with trio.open_nursery() as nursery:
            for member in members.live(members.data_centre):
                if member not in (former, self._ctx.member):
                    nursery.start_soon(ask, member)
        return all(answers)

    # Row: successor and health

    async def _keep_row(self) -> None:
        while True:
            await trio.sleep(self._row_check_pause())
            try:
                if not self._held.row_written:
                    self._held.row_written = await self._write_row(successor="", bump=True)
                    continue
                await self._check_successor()
                await self._check_health()
            except PlatformError as exc:
                log.info("row is not written", upstream=str(self._held.id), error=str(exc))
                self._ctx.mirror.poll_soon()
                await trio.sleep(RENEW_INTERVAL_S)

    def _row_check_pause(self) -> float:
        """Return the time until the next check of the row can find something to write.

        That is when the successor's confirmation becomes too old or the lease lapses, both of which
        are put off while all is well. Checking every 40 ms took a quarter of an idle host's
        wake-ups.
        """
        row = self._ctx.mirror.upstream_row(self._held.id)
        settled = self._held.row_written and self._held.reachable and row is not None
        if row is None or not settled or row.health != "ready" or not row.successor:
            return SUCCESSOR_CHECK_S
        silent_at = self._ctx.hub.confirmed_at(row.successor) + SUCCESSOR_SILENT_S
        due = min(silent_at, self._held.lapsed_after + LOSS_GRACE_S) - self._ctx.clock.now()
        return max(due, REPLICATE_RETRY_S)

    async def _check_health(self) -> None:
        row = self._ctx.mirror.upstream_row(self._held.id)
        if row is None or row.holder != self._ctx.member:
            return
        health = "ready" if self._held.reachable else row.health
        if self._held.lost() and not self._held.moves.movable():
            health = "lost"
        if health != row.health:
            await self._write_row(successor=row.successor, health=health, bump=False)

    async def _check_successor(self) -> None:
        hub = self._ctx.hub
        current = self._held.successor
        silent = self._ctx.clock.now() - hub.confirmed_at(current) if current else 0.0
        if current and silent < SUCCESSOR_SILENT_S:
            return
        for candidate in self._successor_candidates(current):
            if await self.change_successor(candidate):
                return
        if current and self._ctx.clock.now() - hub.confirmed_at(current) > SUCCESSOR_SILENT_S:
            # Nobody else could tell the replaced successor to stop.
            self.replaced_until = self._ctx.clock.now() + self.isolation_limit()
            await self._write_row(successor="", bump=True)

    def isolation_limit(self) -> float:
        rules = self._ctx.rules
        return at_most(rules.isolation_limit_s + LEASE_S) if rules else float("inf")

    async def change_successor(self, member: str) -> bool:
        """Name another successor; returns whether the row does. Raises ``PlatformError``."""
        try:
            replaced = self._held.successor
            if not await self._prepare_successor(member):
                return False
            if replaced:
                self.replaced_until = self._ctx.clock.now() + self.isolation_limit()
            if not await self._write_row(successor=member, bump=True):
                return False
            if replaced and await self.keep_rows(member):
                self.replaced_until = self._ctx.clock.now() + REPLACED_STOPS_S
            return True
        finally:
            self.pending_successor = ""

    def _successor_candidates(self, current: str) -> list[str]:
        members = self._ctx.members
        live = members.live(members.data_centre)
        others = [m for m in live if m not in (self._ctx.member, current)]
        index = live.index(self._ctx.member)
        # The next members in order, so that a host has few distinct successors.
        return sorted(others, key=lambda m: (live.index(m) - index) % len(live))[:2]

    async def _prepare_successor(self, member: str) -> bool:
        """Bring a future successor up to date; returns whether it is."""
        hub = self._ctx.hub
        asked_at = self._ctx.clock.now()
        self.pending_successor = member
        hub.set_partners(self._ctx.members.partners | {member})
        with trio.move_on_after(AUTHORITY_S):
            while hub.confirmed_at(member) < asked_at:
                await trio.sleep(0.005)
        if hub.confirmed_at(member) < asked_at:
            return False
        records = self._ctx.dispatcher.export_records(self._held.id, None)
        return await self._keep(member, records, complete=True) and await self.keep_rows(member)

    async def keep_rows(self, member: str) -> bool:
        """Have a successor take this upstream's service's rows; returns whether it did."""
        if not member:
            return True
        mirror = self._ctx.mirror
        prefix = f"units/{self._held.id.service}/"
        # The successor's copy is complete up to the revision that it last told.
        digests = {digest.member: digest.revision for digest in self._ctx.hub.digests()}
        known = digests.get(member, 0)
        rows = [row for row in mirror.below("units") if row.key.startswith(prefix)]
        rows.extend(
            row for row in mirror.below("pins") if row.key == f"pins/{self._held.id.service}"
        )
        rows = [row for row in rows if row.revision > known]
        own = mirror.get(self._held.id.row_key)
        if own is not None:
            rows.append(own)
        try:
            reply = await self._ctx.hub.call(
                member, KeepRows(rows=tuple(rows)), timeout=CALL_TIMEOUT_S
            )
        except PeerError:
            return False
        return isinstance(reply, Done)

    async def _keep(self, member: str, records: tuple[OnceRecord, ...], *, complete: bool) -> bool:
        call = KeepRecords(
            upstream=self._held.id,
            term=self._held.term,
            records=records,
            complete=complete,
            memory_since_ms=max(int(self._ctx.dispatcher.memory_since(self._held.id) * 1000), 0),
        )
        try:
            reply = await self._ctx.hub.call(member, call, timeout=CALL_TIMEOUT_S)
        except AcaciasaddleError:
            return False
        return isinstance(reply, Done)

    async def _write_row(self, *, successor: str, bump: bool, health: str = "") -> bool:
        """Write the row if this host may; returns whether it did. Raises ``PlatformError``."""
        async with self._row_lock:
            old = self._ctx.mirror.upstream_row(self._held.id)
            if old is None or not self._entitled(old):
                self._held.end("the row does not name this host")
                return False
            await self._write_row_over(old, successor=successor, bump=bump, health=health)
            return True

    def _entitled(self, row: UpstreamRow) -> bool:
        if self._held.row_written:
            return row.holder == self._ctx.member
        return row.successor == self._ctx.member and row.term == self._held.term - 1

    async def _write_row_over(
        self, old: UpstreamRow, *, successor: str, bump: bool, health: str
    ) -> None:
        mirror = self._ctx.mirror
        # Odd terms belong to successors that act before the row names them as holder.
        term = (old.term + 2) if bump else old.term
        row = UpstreamRow(
            holder=self._ctx.member,
            successor=successor,
            term=term,
            health=health or old.health,
        )
        key = self._held.id.row_key
        await self._ctx.write(conditions={key: mirror.version(key)}, puts={key: row.to_json})
        self._held.term = term
        log.info(
            "upstream row is written",
            upstream=str(self._held.id),
            term=term,
            successor=successor,
            health=row.health,
        )

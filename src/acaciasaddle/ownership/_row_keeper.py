"""The row of an upstream that this host holds: holder, successor, term and health."""

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
from acaciasaddle.ownership._limits import REPLACED_SUCCESSOR_STOPS_S
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
    """Maintains the row of a held upstream, and keeps its successor up to date.

    ``rows_checked_at`` is used while this host acts before the row names it. It is when the host
    began to act, or last asked the other live hosts of the data centre, except the former holder,
    for newer rows and got replies from all of them.
    ``replaced_successor_until`` is the reading of this host's clock until which a replaced
    successor may still act, or its last lease be in force, on an upstream that has accepted no
    order at the present term.
    ``pending_successor`` is a member that is being made successor, empty if there is none.
    """

    def __init__(
        self, *, held: HeldUpstream, replaced_successor_until: float, ctx: Context
    ) -> None:
        self._held = held
        self._ctx = ctx
        self.rows_checked_at = ctx.clock.now()
        self.replaced_successor_until = replaced_successor_until
        self.pending_successor = ""
        self._row_lock = trio.Lock()

    async def run(self) -> None:
        """Maintain the row until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._maintain_row)
            nursery.start_soon(self._check_rows_while_acting)

    async def replicate(self, records: tuple[OnceRecord, ...]) -> None:
        """Copy records to the successor and to a member that is being made successor.

        Without either, nothing is copied. A failed copy to the member that is being made successor
        is not repeated. Raises ``AuthorityLostError`` if the successor has not stored the records
        within ``REPLICATE_LIMIT_S`` or the authority has ended.
        """
        deadline = self._ctx.clock.now() + REPLICATE_LIMIT_S
        while True:
            successor = self._held.successor
            targets = {m for m in (successor, self.pending_successor) if m}
            if self._held.ended.is_set():
                break
            if not targets:
                return
            failed = [
                m for m in targets if not await self._send_records(m, records, complete=False)
            ]
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

    async def _check_rows_while_acting(self) -> None:
        """Ask the other hosts of the data centre for newer rows until the row names this host.

        While this host cannot reach the store, the former holder may still run on the other side
        of a network partition, name another successor and move units of an upstream that it
        considers lost. The other hosts would know.
        """
        while not self._held.row_written:
            asked_at = self._ctx.clock.now()
            if await self._ask_for_newer_rows():
                self.rows_checked_at = asked_at
            await trio.sleep(ACTING_CHECK_S)

    async def _ask_for_newer_rows(self) -> bool:
        """Apply the newer rows of the other live hosts. Return whether all of them replied.

        Those are the hosts of the data centre except the former holder.
        """
        members = self._ctx.members
        row = self._ctx.mirror.upstream_row(self._held.id)
        former = row.holder if row else ""
        replied: list[bool] = []

        async def ask(member: str) -> None:
            query = RowsSince(revision=self._ctx.mirror.revision)
            try:
                reply = await self._ctx.hub.call(member, query, timeout=CALL_TIMEOUT_S)
            except PeerError:
                replied.append(False)
                return
            if isinstance(reply, RowsPart):
                self._ctx.mirror.apply_rows(reply.rows, source=member)
            replied.append(isinstance(reply, RowsPart))

        async with trio.open_nursery() as nursery:
            for member in members.live(members.data_centre):
                if member not in (former, self._ctx.member):
                    nursery.start_soon(ask, member)
        return all(replied)

    # Row: successor and health

    async def _maintain_row(self) -> None:
        while True:
            await trio.sleep(self._row_check_pause())
            try:
                if not self._held.row_written:
                    self._held.row_written = await self._write_row(successor="", raise_term=True)
                    continue
                await self._check_successor()
                await self._check_health()
            except PlatformError as exc:
                log.info(
                    "upstream row not written, retrying",
                    upstream=str(self._held.id),
                    error=str(exc),
                )
                self._ctx.mirror.poll_soon()
                await trio.sleep(RENEW_INTERVAL_S)

    def _row_check_pause(self) -> float:
        """Return the time until the next check of the row.

        A check can find something to write once the successor's confirmation is too old or the
        upstream counts as lost. Both times move on as long as the successor and the upstream
        answer. Checking every 40 ms took a quarter of an idle host's wake-ups, so that is done only
        while the row does not name this host, names no successor or is not ``ready``, or while the
        upstream does not answer.
        """
        row = self._ctx.mirror.upstream_row(self._held.id)
        settled = self._held.row_written and self._held.reachable and row is not None
        if row is None or not settled or row.health != "ready" or not row.successor:
            return SUCCESSOR_CHECK_S
        silent_at = self._ctx.hub.confirmed_at(row.successor) + SUCCESSOR_SILENT_S
        due = min(silent_at, self._held.leases_expire_by + LOSS_GRACE_S) - self._ctx.clock.now()
        return max(due, REPLICATE_RETRY_S)

    async def _check_health(self) -> None:
        row = self._ctx.mirror.upstream_row(self._held.id)
        if row is None or row.holder != self._ctx.member:
            return
        health = "ready" if self._held.reachable else row.health
        if self._held.lost() and not self._held.moves.movable():
            health = "lost"
        if health != row.health:
            await self._write_row(successor=row.successor, health=health, raise_term=False)

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
            # Without a new successor, no other host is sure to have the new row, from which the
            # replaced successor would learn that it has to stop.
            self.replaced_successor_until = (
                self._ctx.clock.now() + self.isolation_limit_with_lease()
            )
            await self._write_row(successor="", raise_term=True)

    def isolation_limit_with_lease(self) -> float:
        """Return how long an isolated host may act on an upstream, plus its last lease.

        Infinite if no rules are known.
        """
        rules = self._ctx.rules
        return at_most(rules.isolation_limit_s + LEASE_S) if rules else float("inf")

    async def change_successor(self, member: str) -> bool:
        """Make a member the successor. Return whether the row names it.

        Raises ``PlatformError``.
        """
        try:
            replaced = self._held.successor
            if not await self._prepare_successor(member):
                return False
            if replaced:
                self.replaced_successor_until = (
                    self._ctx.clock.now() + self.isolation_limit_with_lease()
                )
            if not await self._write_row(successor=member, raise_term=True):
                return False
            if replaced and await self.send_rows(member):
                self.replaced_successor_until = self._ctx.clock.now() + REPLACED_SUCCESSOR_STOPS_S
            return True
        finally:
            self.pending_successor = ""

    def _successor_candidates(self, current: str) -> list[str]:
        members = self._ctx.members
        live = members.live(members.data_centre)
        others = [m for m in live if m not in (self._ctx.member, current)]
        index = live.index(self._ctx.member)
        # Starts with the next members in sorted order, so that a host has few distinct successors.
        return sorted(others, key=lambda m: (live.index(m) - index) % len(live))[:2]

    async def _prepare_successor(self, member: str) -> bool:
        """Get a confirmation from a future successor, and send it all records and missing rows.

        Returns whether all of that succeeded.
        """
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
        return await self._send_records(member, records, complete=True) and await self.send_rows(
            member
        )

    async def send_rows(self, member: str) -> bool:
        """Send a successor the row of this upstream and the rows of its service's units.

        Rows of units that the successor's mirror already has are left out. Returns whether the
        successor has applied the rows, and true if there is no successor.
        """
        if not member:
            return True
        mirror = self._ctx.mirror
        prefix = f"units/{self._held.id.service}/"
        # The successor's mirror is complete up to the revision that it last reported.
        digests = {digest.member: digest.revision for digest in self._ctx.hub.digests()}
        known = digests.get(member, 0)
        rows = [row for row in mirror.rows_under("units") if row.key.startswith(prefix)]
        rows.extend(
            row for row in mirror.rows_under("pins") if row.key == f"pins/{self._held.id.service}"
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

    async def _send_records(
        self, member: str, records: tuple[OnceRecord, ...], *, complete: bool
    ) -> bool:
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

    async def _write_row(self, *, successor: str, raise_term: bool, health: str = "") -> bool:
        """Write the row if this host may, and end the authority if not.

        Returns whether the row was written. Raises ``PlatformError``.
        """
        async with self._row_lock:
            old = self._ctx.mirror.upstream_row(self._held.id)
            if old is None or not self._may_write(old):
                self._held.end("this host may no longer write the row")
                return False
            await self._replace_row(old, successor=successor, raise_term=raise_term, health=health)
            return True

    def _may_write(self, row: UpstreamRow) -> bool:
        if self._held.row_written:
            return row.holder == self._ctx.member
        return row.successor == self._ctx.member and row.term == self._held.term - 1

    async def _replace_row(
        self, old: UpstreamRow, *, successor: str, raise_term: bool, health: str
    ) -> None:
        mirror = self._ctx.mirror
        # Rows have even terms; odd ones are for successors that act before the row names them.
        term = (old.term + 2) if raise_term else old.term
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
            "upstream row written",
            upstream=str(self._held.id),
            term=term,
            successor=successor,
            health=row.health,
        )

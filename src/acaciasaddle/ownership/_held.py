"""One upstream that this host holds: its lease, its successor and its units."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import trio

from acaciasaddle.errors import PeerError
from acaciasaddle.errors import UpstreamError
from acaciasaddle.observe import get_logger
from acaciasaddle.ownership._api import Permit
from acaciasaddle.ownership._balance import LoadBalance
from acaciasaddle.ownership._control import UpstreamControl
from acaciasaddle.ownership._limits import ACTING_S
from acaciasaddle.ownership._limits import AUTHORITY_S
from acaciasaddle.ownership._limits import CALL_TIMEOUT_S
from acaciasaddle.ownership._limits import LEASE_S
from acaciasaddle.ownership._limits import LOSS_GRACE_S
from acaciasaddle.ownership._limits import ORDER_TIMEOUT_S
from acaciasaddle.ownership._limits import RENEW_INTERVAL_S
from acaciasaddle.ownership._limits import at_least
from acaciasaddle.ownership._limits import at_most
from acaciasaddle.ownership._moves import UnitMoves
from acaciasaddle.ownership._row_keeper import RowKeeper
from acaciasaddle.wire import Done
from acaciasaddle.wire import Handover

if TYPE_CHECKING:
    from collections.abc import Iterable

    from acaciasaddle.mirror import UpstreamInfo
    from acaciasaddle.model import UnitId
    from acaciasaddle.model import UpstreamId
    from acaciasaddle.ownership._context import Context
    from acaciasaddle.ownership._control import GrantState

NEVER = float("-inf")
SUCCESSOR_CHECK_S = 0.04
# An upstream that does not take over the wanted units at once, such as a busy one, is asked again
# soon. Without a pause, orders of one host could keep a core busy.
ORDER_RETRY_S = 0.02
MIN_ORDER_PAUSE_S = 0.002
REPLICATE_RETRY_S = 0.02
REPLICATE_LIMIT_S = 1.0
CLOSING_LIMIT_S = 0.3

log = get_logger("lease")


class HeldUpstream:
    """This host's authority over one upstream.

    ``lapsed_after`` is the reading of this host's clock after which no lease given by this or an
    earlier holder can be in force any more. ``row_written`` is false while this host acts as
    successor on the term after the row's.
    """

    def __init__(
        self,
        *,
        info: UpstreamInfo,
        term: int,
        row_written: bool,
        lapsed_after: float,
        memory_since: float,
        replaced_until: float = NEVER,
        ctx: Context,
    ) -> None:
        self.info = info
        self.id: UpstreamId = info.id
        self.term = term
        self.row_written = row_written
        self.lapsed_after = lapsed_after
        self.memory_since = memory_since
        self.ended = trio.Event()
        self.reachable = False
        self.state = "unknown"
        self.granted: frozenset[UnitId] = frozenset()
        self.excluded: frozenset[UnitId] = frozenset()
        self.running: frozenset[str] = frozenset()
        self.reported: frozenset[str] = frozenset()
        self.order_done = trio.Event()
        self._ctx = ctx
        self._seq = 0
        self._known_to_upstream = False
        self._instance = ""
        self._accepted_term = term
        self._reading: float | None = None
        self._reading_sent_at = NEVER
        self._reading_received_at = NEVER
        self._in_force_until = NEVER
        self._wake = trio.Event()
        self._closing = False
        self._stopped = False
        # An upstream that refuses nobody is left alone until an earlier holder has stopped.
        self._not_before = NEVER if info.entry.checks_orders else lapsed_after
        self._was_lost = False
        self._control = UpstreamControl(
            address=info.entry.address, backend=ctx.backend, timeout=ORDER_TIMEOUT_S
        )
        self.row = RowKeeper(held=self, replaced_until=replaced_until, ctx=ctx)
        self.moves = UnitMoves(held=self, ctx=ctx)
        self._balance = LoadBalance(held=self, ctx=ctx)

    @property
    def successor(self) -> str:
        """Member that confirms this host's authority; empty if there is none."""
        if not self.row_written:
            return ""
        row = self._ctx.mirror.upstream_row(self.id)
        return row.successor if row else ""

    def in_authority(self) -> bool:
        """Whether this host may order the upstream now."""
        if self.ended.is_set() or self._stopped:
            return False
        if not self.row_written and self._ctx.clock.now() > self.row.acting_since + ACTING_S:
            return False
        successor = self.successor
        if not successor:
            rules = self._ctx.rules
            limit = at_least(rules.isolation_limit_s) if rules else LEASE_S
            return self._ctx.clock.now() < self._ctx.mirror.store_heard_at + limit
        confirmed_at = self._ctx.hub.confirmed_at(successor)
        return self._ctx.clock.now() < confirmed_at + at_least(AUTHORITY_S)

    def may_dispatch(self, unit: UnitId) -> bool:
        """Whether requests of the unit may be sent to the upstream now."""
        if unit not in self.granted or self.moves.is_leaving(unit) or self._closing:
            return False
        if not self.in_authority():
            return False
        return self._ctx.clock.now() < self._in_force_until

    def permit(self) -> Permit:
        """Return what a request to the upstream has to carry."""
        entry = self.info.entry
        reading = self._reading or 0.0
        return Permit(
            term=self._accepted_term,
            address=entry.address,
            slots=entry.slots,
            connections=entry.connections,
            checks_orders=entry.checks_orders,
            clock_offset_ms=reading - self._reading_received_at * 1000 if self._reading else 0.0,
        )

    def lost(self) -> bool:
        """Whether the upstream is to be treated as lost."""
        expired = self.lapsed_after + LOSS_GRACE_S
        rules = self._ctx.rules
        if not self.info.entry.checks_orders and rules is not None:
            # Nothing keeps it from running a request that it received before it stalled.
            expired += rules.pause_allowance_s
        return self._ctx.clock.now() > max(expired, self.row.replaced_until) and not self.reachable

    def end(self, reason: str) -> None:
        """Give up the upstream."""
        if self.ended.is_set():
            return
        log.info("upstream is given up", upstream=str(self.id), term=self.term, reason=reason)
        self.ended.set()
        self._ctx.dispatcher.upstream_released(self.id)

    def forget_grants(self, units: Iterable[UnitId]) -> None:
        """Take note that the upstream has these units no longer."""
        self.granted = self.granted.difference(units)

    def wake(self) -> None:
        """Send the next order at once."""
        self._wake.set()

    async def run(self) -> None:
        """Renew the lease, keep a successor and move units until the upstream is given up."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._renew)
            nursery.start_soon(self.row.run)
            nursery.start_soon(self.moves.run)
            nursery.start_soon(self._balance.run)
            await self.ended.wait()
            nursery.cancel_scope.cancel()
        await self._control.close()

    async def hand_over(self) -> bool:
        """Stop ordering and have the successor take over; returns whether it did."""
        successor = self.successor
        if not successor:
            return False
        # Results of work that must run once reach the successor before it takes over.
        self._closing = True
        with trio.move_on_after(CLOSING_LIMIT_S):
            for unit in self.granted:
                await self._ctx.dispatcher.drained(unit)
        self._stopped = True
        try:
            reply = await self._ctx.hub.call(
                successor, Handover(upstream=self.id, term=self.term), timeout=CALL_TIMEOUT_S
            )
        except PeerError as exc:
            log.info("handover failed", upstream=str(self.id), peer=exc.peer, error=exc.message)
            # The successor may have taken over without its reply getting here. The
            # confirmation and the upstream's fence decide; renewing again at the old term is safe.
            self._stopped = self._closing = False
            return False
        if not isinstance(reply, Done):
            self._stopped = self._closing = False
            return False
        self.end(f"handed over to {successor}")
        return True

    # Lease

    async def _renew(self) -> None:
        while True:
            started = self._ctx.clock.now()
            self._wake = trio.Event()
            self._adopt_term()
            if self.in_authority():
                await self._order()
            if self.lost() and not self._was_lost:
                log.warning("upstream is lost", upstream=str(self.id), term=self.term)
                self._ctx.dispatcher.upstream_lost(self.id)
            self._was_lost = self.lost()
            interval = ORDER_RETRY_S if self._has_order_to_send() else RENEW_INTERVAL_S
            await trio.sleep(MIN_ORDER_PAUSE_S)
            with trio.move_on_after(max(started + interval - self._ctx.clock.now(), 0)):
                await self._wake.wait()

    def _has_order_to_send(self) -> bool:
        """Whether the next order need not wait for the interval.

        Without authority, or before an upstream that refuses nobody may be used, no order could
        change what is granted, and the task would go round without a pause.
        """
        if not self.reachable or not self.in_authority():
            return False
        return self._ctx.clock.now() >= self._not_before and self.moves.wanted() != self.granted

    def _adopt_term(self) -> None:
        """Take over the term of a row that was written although its answer was lost."""
        row = self._ctx.mirror.upstream_row(self.id)
        if not self.row_written or row is None or row.holder != self._ctx.member:
            return
        if row.term > self.term:
            self.term = row.term
            self.row.replaced_until = self._ctx.clock.now() + self.row.isolation_limit()

    async def _order(self) -> None:
        if not self.info.entry.checks_orders:
            await self._probe()
            return
        wanted = self.moves.wanted()
        self._seq += 1
        sent_at = self._ctx.clock.now()
        valid_until = None
        if self._reading is not None:
            valid_until = self._reading + LEASE_S * 1000
            # Noted before the order is sent: it may take effect although no answer comes.
            self.lapsed_after = max(self.lapsed_after, self._reading_received_at + at_most(LEASE_S))
        excluded = frozenset(self.moves.excluded(wanted))
        replace = not self._known_to_upstream or wanted != self.granted
        replace = valid_until is not None and (replace or excluded != self.excluded)
        order = self._order_body(valid_until, wanted if replace else None, excluded)
        try:
            state = await self._control.order(order)
        except UpstreamError as exc:
            self._unreachable(exc)
            return
        self._answered(state, wanted, valid_until, sent_at)
        if replace and state.accepted and self._known_to_upstream:
            self.excluded = excluded

    def _order_body(
        self,
        valid_until: float | None,
        units: frozenset[UnitId] | None,
        excluded: frozenset[UnitId],
    ) -> Any:
        body: dict[str, Any] = {
            "holder": self._ctx.member,
            "term": self.term,
            "seq": self._seq,
            "instance": self._instance,
            "valid_until": valid_until,
            "units": None,
            "excluded": [],
        }
        if units is not None:
            body["units"] = sorted(str(unit) for unit in units)
            body["excluded"] = sorted(str(unit) for unit in excluded)
        return body

    def _answered(
        self,
        state: GrantState,
        wanted: frozenset[UnitId],
        valid_until: float | None,
        sent_at: float,
    ) -> None:
        now = self._ctx.clock.now()
        remaining = max(state.valid_until - state.clock, 0.0) / 1000
        if not state.accepted and state.term > self.term:
            self.end(f"the upstream has accepted term {state.term}")
            return
        if not state.accepted:
            # This host held the upstream before at this term, and counts on from there.
            self._seq = max(self._seq, state.seq)
            return
        if not self.reachable:
            log.info("upstream answers", upstream=str(self.id), term=self.term, state=state.state)
        self.reachable = True
        self.state = state.state
        self._accepted_term = state.term
        if state.term == self.term:
            # Whoever was successor at a lower term is refused from now on.
            self.row.replaced_until = NEVER
        self.running = state.running
        self.reported = state.units
        if self._instance != state.instance:
            # First contact, or a restarted process with another clock. What an earlier holder
            # granted ends at the latest when the upstream says, since its term is now refused.
            self.lapsed_after = now + at_most(remaining)
            self._instance = state.instance
            self._known_to_upstream = False
            self.granted = frozenset()
            valid_until = None
        if valid_until is not None and state.valid_until == valid_until:
            # The lease may have expired before this order, and the units with it.
            self.granted = frozenset(unit for unit in wanted if str(unit) in state.units)
            self._known_to_upstream = len(self.granted) == len(state.units) == len(wanted)
            self._in_force_until = self._reading_sent_at + at_least(LEASE_S)
        self._reading = state.clock
        self._reading_sent_at = sent_at
        self._reading_received_at = now
        if valid_until is None:
            self._wake.set()
        self.order_done.set()
        self.order_done = trio.Event()

    async def _probe(self) -> None:
        """Check an upstream that takes no grants; the authority itself is the ownership."""
        try:
            self.state = await self._control.health()
        except UpstreamError as exc:
            self._unreachable(exc)
            return
        now = self._ctx.clock.now()
        self.reachable = True
        if now < self._not_before:
            return
        self.granted = self.moves.wanted()
        self.running = frozenset()
        self._in_force_until = now + LEASE_S
        self.lapsed_after = now + LEASE_S
        self.order_done.set()
        self.order_done = trio.Event()

    def _unreachable(self, exc: UpstreamError) -> None:
        if self.reachable:
            log.warning(
                "upstream does not answer",
                upstream=str(self.id),
                step=exc.step,
                error=exc.message,
            )
        self.reachable = False
        # A lost answer leaves open which units the upstream knows.
        self._known_to_upstream = False

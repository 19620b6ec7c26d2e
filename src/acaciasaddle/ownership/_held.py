"""An upstream that this host holds: its lease, its successor and its units."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import trio

from acaciasaddle.errors import PeerError
from acaciasaddle.errors import UpstreamError
from acaciasaddle.observe import get_logger
from acaciasaddle.ownership._api import Permit
from acaciasaddle.ownership._balance import UnitBalancer
from acaciasaddle.ownership._control import UpstreamControl
from acaciasaddle.ownership._limits import ACTING_LIMIT_S
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
# An upstream that does not accept the wanted units at once, for example because it is busy, is sent
# the next order after this time. Without a pause, orders of one host could keep a core busy.
ORDER_RETRY_S = 0.02
MIN_ORDER_PAUSE_S = 0.002
REPLICATE_RETRY_S = 0.02
REPLICATE_LIMIT_S = 1.0
HANDOVER_DRAIN_LIMIT_S = 0.3

log = get_logger("lease")


class HeldUpstream:
    """This host's authority over one upstream.

    ``leases_expire_by`` is the reading of this host's clock after which no lease given by this or
    an earlier holder can be in force any more, other than one of a replaced successor.
    ``row_written`` is false while this host acts as the successor, at the term after the row's.
    ``granted`` are the units that the upstream has accepted from this host, or that this host uses
    it for if it does not check orders. ``excluded`` are the pinned keys that the last accepted list
    of units excludes. ``reported`` and ``running`` are the units that the upstream last reported as
    granted and as having requests in progress.
    """

    def __init__(
        self,
        *,
        info: UpstreamInfo,
        term: int,
        row_written: bool,
        leases_expire_by: float,
        memory_since: float,
        replaced_successor_until: float = NEVER,
        ctx: Context,
    ) -> None:
        self.info = info
        self.id: UpstreamId = info.id
        self.term = term
        self.row_written = row_written
        self.leases_expire_by = leases_expire_by
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
        self._units_in_sync = False
        self._instance = ""
        self._accepted_term = term
        self._upstream_clock_ms: float | None = None
        self._clock_asked_at = NEVER
        self._clock_received_at = NEVER
        self._in_force_until = NEVER
        self._wake = trio.Event()
        self._handing_over = False
        self._orders_stopped = False
        # An upstream that does not check orders is not used until an earlier holder has stopped.
        self._not_before = NEVER if info.entry.checks_orders else leases_expire_by
        self._was_lost = False
        self._control = UpstreamControl(
            address=info.entry.address, backend=ctx.backend, timeout=ORDER_TIMEOUT_S
        )
        self.row_keeper = RowKeeper(
            held=self, replaced_successor_until=replaced_successor_until, ctx=ctx
        )
        self.moves = UnitMoves(held=self, ctx=ctx)
        self._balancer = UnitBalancer(held=self, ctx=ctx)

    @property
    def successor(self) -> str:
        """Member that confirms this host's authority; empty if there is none."""
        if not self.row_written:
            return ""
        row = self._ctx.mirror.upstream_row(self.id)
        return row.successor if row else ""

    def in_authority(self) -> bool:
        """Return whether this host has the authority over the upstream now.

        Orders and requests are sent only then. The successor must have confirmed a heartbeat sent
        within ``AUTHORITY_S``. Without a successor, the last successful poll of the table must have
        begun within the isolation limit. A host that the row does not name yet must also have
        checked the rows of the other hosts within ``ACTING_LIMIT_S``.
        """
        if self.ended.is_set() or self._orders_stopped:
            return False
        if (
            not self.row_written
            and self._ctx.clock.now() > self.row_keeper.rows_checked_at + ACTING_LIMIT_S
        ):
            return False
        successor = self.successor
        if not successor:
            rules = self._ctx.rules
            limit = at_least(rules.isolation_limit_s) if rules else LEASE_S
            return self._ctx.clock.now() < self._ctx.mirror.store_heard_at + limit
        confirmed_at = self._ctx.hub.confirmed_at(successor)
        return self._ctx.clock.now() < confirmed_at + at_least(AUTHORITY_S)

    def may_dispatch(self, unit: UnitId) -> bool:
        """Return whether requests of the unit may be sent to the upstream now."""
        if unit not in self.granted or self.moves.is_releasing(unit) or self._handing_over:
            return False
        if not self.in_authority():
            return False
        return self._ctx.clock.now() < self._in_force_until

    def permit(self) -> Permit:
        """Return the permission to send a request to the upstream."""
        entry = self.info.entry
        upstream_clock_ms = self._upstream_clock_ms or 0.0
        return Permit(
            term=self._accepted_term,
            address=entry.address,
            slots=entry.slots,
            connections=entry.connections,
            checks_orders=entry.checks_orders,
            clock_offset_ms=(
                upstream_clock_ms - self._clock_received_at * 1000
                if self._upstream_clock_ms
                else 0.0
            ),
        )

    def lost(self) -> bool:
        """Return whether the upstream counts as lost.

        That is so if it does not answer, ``LOSS_GRACE_S`` has passed since its last lease expired,
        and a replaced successor can no longer act on it.
        """
        expired = self.leases_expire_by + LOSS_GRACE_S
        rules = self._ctx.rules
        if not self.info.entry.checks_orders and rules is not None:
            # Nothing keeps the upstream from running a request that it received before it stalled.
            expired += rules.pause_allowance_s
        return (
            self._ctx.clock.now() > max(expired, self.row_keeper.replaced_successor_until)
            and not self.reachable
        )

    def end(self, reason: str) -> None:
        """Give up the authority over the upstream."""
        if self.ended.is_set():
            return
        log.info(
            "no longer holding the upstream", upstream=str(self.id), term=self.term, reason=reason
        )
        self.ended.set()
        self._ctx.dispatcher.upstream_released(self.id)

    def forget_grants(self, units: Iterable[UnitId]) -> None:
        """Note that the upstream does not have these units any more."""
        self.granted = self.granted.difference(units)

    def wake(self) -> None:
        """Have the next order sent without waiting for the renewal interval."""
        self._wake.set()

    async def run(self) -> None:
        """Renew the lease, keep a successor and move units until the authority has ended."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._renew)
            nursery.start_soon(self.row_keeper.run)
            nursery.start_soon(self.moves.run)
            nursery.start_soon(self._balancer.run)
            await self.ended.wait()
            nursery.cancel_scope.cancel()
        await self._control.close()

    async def hand_over(self) -> bool:
        """Stop sending orders and ask the successor to take over. Return whether it agreed.

        If it did not agree in time, this host sends orders to the upstream again.
        """
        successor = self.successor
        if not successor:
            return False
        # Lets the results of at-most-once requests reach the successor before it takes over.
        self._handing_over = True
        with trio.move_on_after(HANDOVER_DRAIN_LIMIT_S):
            for unit in self.granted:
                await self._ctx.dispatcher.wait_drained(unit)
        self._orders_stopped = True
        try:
            reply = await self._ctx.hub.call(
                successor, Handover(upstream=self.id, term=self.term), timeout=CALL_TIMEOUT_S
            )
        except PeerError as exc:
            log.info(
                "handover to the successor failed",
                upstream=str(self.id),
                peer=exc.peer,
                error=exc.message,
            )
            # The successor may have taken over although its reply did not arrive. Renewing again
            # at the old term is safe: in that case the successor no longer confirms this host, and
            # an upstream that checks orders refuses the old term once it has seen the successor's.
            self._orders_stopped = self._handing_over = False
            return False
        if not isinstance(reply, Done):
            self._orders_stopped = self._handing_over = False
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
                await self._send_order()
            if self.lost() and not self._was_lost:
                log.warning(
                    "upstream lost, its lease has expired", upstream=str(self.id), term=self.term
                )
                self._ctx.dispatcher.upstream_lost(self.id)
            self._was_lost = self.lost()
            interval = ORDER_RETRY_S if self._has_order_to_send() else RENEW_INTERVAL_S
            await trio.sleep(MIN_ORDER_PAUSE_S)
            with trio.move_on_after(max(started + interval - self._ctx.clock.now(), 0)):
                await self._wake.wait()

    def _has_order_to_send(self) -> bool:
        """Return whether the next order is due before the renewal interval ends.

        That is not so while the upstream does not answer, nor without authority or before an
        upstream that does not check orders may be used. In the last two cases no order could change
        what is granted, and the task would loop at the short retry interval without effect.
        """
        if not self.reachable or not self.in_authority():
            return False
        return self._ctx.clock.now() >= self._not_before and self.moves.wanted() != self.granted

    def _adopt_term(self) -> None:
        """Adopt the term of a row that this host wrote without receiving the store's response."""
        row = self._ctx.mirror.upstream_row(self.id)
        if not self.row_written or row is None or row.holder != self._ctx.member:
            return
        if row.term > self.term:
            self.term = row.term
            self.row_keeper.replaced_successor_until = (
                self._ctx.clock.now() + self.row_keeper.isolation_limit_with_lease()
            )

    async def _send_order(self) -> None:
        """Send an order, or check the health of an upstream that does not check orders.

        Until the upstream's clock is known, ``valid_until`` is ``None``. Such an order grants
        nothing; the upstream notes the term and reports its state and its clock.
        """
        if not self.info.entry.checks_orders:
            await self._probe()
            return
        wanted = self.moves.wanted()
        self._seq += 1
        sent_at = self._ctx.clock.now()
        valid_until = None
        if self._upstream_clock_ms is not None:
            valid_until = self._upstream_clock_ms + LEASE_S * 1000
            # Set before the order is sent, since it may take effect although no response arrives.
            self.leases_expire_by = max(
                self.leases_expire_by, self._clock_received_at + at_most(LEASE_S)
            )
        excluded = frozenset(self.moves.excluded(wanted))
        replaces_units = not self._units_in_sync or wanted != self.granted
        replaces_units = valid_until is not None and (replaces_units or excluded != self.excluded)
        order = self._order_body(valid_until, wanted if replaces_units else None, excluded)
        try:
            state = await self._control.order(order)
        except UpstreamError as exc:
            self._mark_unreachable(exc)
            return
        self._handle_response(state, wanted, valid_until, sent_at)
        if replaces_units and state.accepted and self._units_in_sync:
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

    def _handle_response(
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
            # This host held the upstream at this term before; ``seq`` continues from there.
            self._seq = max(self._seq, state.seq)
            return
        if not self.reachable:
            log.info(
                "upstream accepts orders",
                upstream=str(self.id),
                term=self.term,
                state=state.state,
            )
        self.reachable = True
        self.state = state.state
        self._accepted_term = state.term
        if state.term == self.term:
            # From now on, the upstream refuses a replaced successor, which acts at a lower term.
            self.row_keeper.replaced_successor_until = NEVER
        self.running = state.running
        self.reported = state.units
        if self._instance != state.instance:
            # First contact, or a restarted process with another clock. A grant of an earlier holder
            # ends by the time that the upstream reports, since that holder's term is now refused.
            self.leases_expire_by = now + at_most(remaining)
            self._instance = state.instance
            self._units_in_sync = False
            self.granted = frozenset()
            valid_until = None
        if valid_until is not None and state.valid_until == valid_until:
            # If the lease expired before this order arrived, the upstream has dropped its units.
            self.granted = frozenset(unit for unit in wanted if str(unit) in state.units)
            self._units_in_sync = len(self.granted) == len(state.units) == len(wanted)
            self._in_force_until = self._clock_asked_at + at_least(LEASE_S)
        self._upstream_clock_ms = state.clock
        self._clock_asked_at = sent_at
        self._clock_received_at = now
        if valid_until is None:
            self._wake.set()
        self.order_done.set()
        self.order_done = trio.Event()

    async def _probe(self) -> None:
        """Check the health of an upstream that does not check orders.

        It is given no lease. After each response, this host may send requests to it for ``LEASE_S``
        while it has the authority.
        """
        try:
            self.state = await self._control.health()
        except UpstreamError as exc:
            self._mark_unreachable(exc)
            return
        now = self._ctx.clock.now()
        self.reachable = True
        if now < self._not_before:
            return
        self.granted = self.moves.wanted()
        self.running = frozenset()
        self._in_force_until = now + LEASE_S
        self.leases_expire_by = now + LEASE_S
        self.order_done.set()
        self.order_done = trio.Event()

    def _mark_unreachable(self, exc: UpstreamError) -> None:
        if self.reachable:
            log.warning(
                "upstream does not answer",
                upstream=str(self.id),
                step=exc.step,
                error=exc.message,
            )
        self.reachable = False
        # After a lost response this host does not know which units the upstream has.
        self._units_in_sync = False

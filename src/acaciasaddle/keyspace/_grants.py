"""Grants, renewals and releases of keys: the coordinator's orders to upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from acaciasaddle.errors import AuthorityLostError
from acaciasaddle.errors import Outcome
from acaciasaddle.errors import UpstreamError
from acaciasaddle.keyspace._leases import OwnerState
from acaciasaddle.keyspace._types import FencedError
from acaciasaddle.keyspace._types import Owner
from acaciasaddle.keyspace._types import ReplacedError
from acaciasaddle.observe import get_logger

if TYPE_CHECKING:
    from collections.abc import Collection

    from acaciasaddle.clock import Clock
    from acaciasaddle.fleet import FleetView
    from acaciasaddle.keyspace._role import CoordinatorRole
    from acaciasaddle.keyspace._types import KeyMap
    from acaciasaddle.keyspace._types import KeyOrders
    from acaciasaddle.keyspace._types import Span
    from acaciasaddle.observe import Metrics

KEY_LEASE_S = 3.5
"""Usual length of a lease. It outlasts the loss of a coordinator: 1.6 s until another host may take
over, its next poll of the role, and its first renewals."""
KEY_RENEWAL_S = 0.8
ORDER_TIMEOUT_S = 0.8
RELEASE_TIMEOUT_S = 3.0
"""A release is answered only when the work in progress on its keys has ended."""
RELEASE_RETRY_S = 0.2
LOST_AFTER_S = 1.2
"""An upstream whose grants and renewals have failed for this long is lost: two renewals in a row
that time out, or three that fail sooner. Failed releases do not count."""
STORE_FAILING_AFTER_S = 0.9
"""After this long without a successful write, grants and renewals ask for the longest lease."""
PROBE_INTERVAL_S = 1.0
MAX_LOST_SHARE = 0.5
"""A coordinator gives the role back if a larger share of the registered upstreams that hold or held
keys is lost, and at least ``MIN_LOST_TO_STEP_DOWN`` of them."""
MIN_LOST_TO_STEP_DOWN = 3

log = get_logger("coordinator")


class LeaseManager:
    """Sends orders to the upstreams and keeps track of the leases that they hold."""

    def __init__(
        self,
        *,
        role: CoordinatorRole,
        owners: dict[str, KeyMap],
        view: FleetView,
        orders: KeyOrders,
        clock: Clock,
        max_lease_s: float,
        metrics: Metrics,
    ) -> None:
        """``owners`` maps each service to its owners; the coordinator keeps it up to date."""
        self._role = role
        self._owners = owners
        self._view = view
        self._orders = orders
        self._clock = clock
        self._max_lease_s = max_lease_s
        self._metrics = metrics
        self._owner_states: dict[Owner, OwnerState] = {}
        self.stopping = False

    def reset(self, *, held_until: float, also: Collection[Owner] = ()) -> None:
        """Discard all state, and assume that owners may hold keys until a given time.

        These are all owners of the services' keys, and those in ``also``.
        """
        self._owner_states.clear()
        holders = set(also)
        for owners in self._owners.values():
            for span in owners.spans:
                holders |= {span.owner} if span.previous is None else {span.owner, span.previous}
        for owner in holders:
            self._owner_states[owner] = OwnerState(settled_until=held_until)

    def usable(self, owner: Owner) -> bool:
        """Return whether an upstream is not known to be lost."""
        state = self._owner_states.get(owner)
        return state is None or not state.lost

    def is_current(self, service: str, span: Span) -> bool:
        """Return whether the service still has a span with these keys and this fencing token."""
        owners = self._owners.get(service)
        found = owners.find(span.keys.first) if owners else None
        return found is not None and found.fence == span.fence and found.keys == span.keys

    async def reclaim_keys(self, span: Span, owner: Owner) -> str:
        """Release the keys of a span at ``owner``, which held them before, and return its handover.

        Retry a failed release. Return an empty string once the owner or all leases granted to it so
        far have certainly ended.
        """
        state = self.owner_state(owner)
        # Later renewals do not include these keys, so only the leases granted so far matter.
        until = state.held_until
        while not self._incarnation_ended(owner, state):
            remaining_s = until - self._clock.now()
            if remaining_s <= 0:
                log.info(
                    "leases ended without a release",
                    upstream=owner.incarnation.upstream_id,
                    first=span.keys.first,
                    fence=span.fence,
                )
                return ""
            try:
                async with state.release_slots:
                    remaining_s = max(0.0, until - self._clock.now())
                    return await self._release(
                        span, owner, state, min(RELEASE_TIMEOUT_S, remaining_s)
                    )
            except ReplacedError as exc:
                log.info(
                    "upstream has ended", upstream=owner.incarnation.upstream_id, reason=str(exc)
                )
                state.ended = state.lost = True
            except trio.TooSlowError:
                log.debug("another release at the lost upstream is still in progress")
            except UpstreamError as exc:
                log.warning("release failed", reason=str(exc), fence=span.fence)
            await trio.sleep(min(RELEASE_RETRY_S, max(0.0, until - self._clock.now())))
        return ""

    async def _release(self, span: Span, owner: Owner, state: OwnerState, timeout_s: float) -> str:
        if not state.lost:
            return await self._orders.release(
                owner, span.keys, fence=span.fence, timeout_s=timeout_s
            )
        with trio.fail_after(timeout_s):
            await state.lost_release_lock.acquire()
        try:
            return await self._orders.release(
                owner, span.keys, fence=span.fence, timeout_s=min(ORDER_TIMEOUT_S, timeout_s)
            )
        finally:
            state.lost_release_lock.release()

    def _incarnation_ended(self, owner: Owner, state: OwnerState) -> bool:
        """Return whether an incarnation has certainly ended and holds no keys.

        A later incarnation with the same id and address may have accepted renewals meant for the
        earlier one, and then has to release those keys.
        """
        if state.ended:
            return True
        entry = self._view.upstreams.get(owner.incarnation.upstream_id)
        return (
            entry is not None
            and entry.life.started_ms > owner.incarnation.started_ms
            and entry.address != owner.address
        )

    def owner_state(self, owner: Owner) -> OwnerState:
        """Return the state of an owner. A new one is created for an unknown owner."""
        return self._owner_states.setdefault(owner, OwnerState(settled_until=self._clock.now()))

    async def grant(self, service: str, span: Span, *, handover: str = "") -> bool:
        """Grant or renew the keys of a span. Return false if the span has changed since.

        ``reclaim_keys`` waits only for leases that were granted before the keys began to move, so
        none may be granted afterwards.

        While grants to the upstream fail, the lease is not extended: if the upstream is lost, its
        keys can be granted elsewhere only when all leases that it may have accepted have ended.
        Raises ``AuthorityLostError`` if this host's role may have lapsed, and ``UpstreamError`` if
        the order failed.
        """
        if not self.is_current(service, span):
            return False
        await self._order_grant(span, handover=handover)
        return True

    async def claim(self, span: Span) -> None:
        """Renew keys that this host granted or renewed before the store came back from a copy.

        Raises the errors of ``grant``; ``FencedError`` means that they have been moved since.
        """
        await self._order_grant(span, handover="")

    async def _order_grant(self, span: Span, *, handover: str) -> None:
        now = self._clock.now()
        if self._role.lapsed:
            raise AuthorityLostError(
                "the role may have lapsed", step="coordinator.grant", peer=span.owner.address
            )
        store_failing = self._role.since_write_s > STORE_FAILING_AFTER_S
        lease_s = self._max_lease_s if store_failing or self.stopping else KEY_LEASE_S
        state = self.owner_state(span.owner)
        if state.failing_since is not None:
            lease_s = state.lease_without_extension(
                now=now, timeout_s=ORDER_TIMEOUT_S, longest_s=lease_s
            )
        number = state.record_grant(now=now, timeout_s=ORDER_TIMEOUT_S, lease_s=lease_s)
        carried_out = True
        try:
            await self._orders.grant(
                span.owner,
                span.keys,
                fence=span.fence,
                lease_s=lease_s,
                handover=handover,
                timeout_s=ORDER_TIMEOUT_S,
            )
        except ReplacedError:
            state.ended = state.lost = True
            raise
        except UpstreamError as exc:
            carried_out = exc.outcome is not Outcome.NOT_RUN
            raise
        finally:
            state.settle_grant(number, carried_out=carried_out)
        state.record_success()
        self._metrics.count("keyspace.granted")

    async def renew_leases(self, nursery: trio.Nursery) -> None:
        """Call ``start_renewals`` every ``KEY_RENEWAL_S`` seconds."""
        while True:
            self.start_renewals(nursery)
            await trio.sleep(KEY_RENEWAL_S)

    def start_renewals(self, nursery: trio.Nursery) -> None:
        """For each upstream, start a task that renews its leases.

        Moving spans are left out, and so are upstreams that are lost or whose previous task still
        runs.
        """
        by_owner: dict[Owner, list[tuple[str, Span]]] = {}
        for service, owners in self._owners.items():
            for span in owners.spans:
                if not span.moving:
                    by_owner.setdefault(span.owner, []).append((service, span))
        for owner, spans in by_owner.items():
            state = self.owner_state(owner)
            if not state.renewing and not state.lost:
                state.renewing = True
                nursery.start_soon(self._renew, owner, state, spans)

    async def _renew(self, owner: Owner, state: OwnerState, spans: list[tuple[str, Span]]) -> None:
        try:
            for service, span in spans:
                if state.lost:
                    continue
                was_failing = state.failing_since is not None
                granted = await self.grant(service, span)
                if granted and was_failing:
                    # The upstream is back; the first grant did not extend its lease.
                    await self.grant(service, span)
        except AuthorityLostError as exc:
            log.info(
                "lease renewal postponed", reason=str(exc), upstream=owner.incarnation.upstream_id
            )
        except FencedError as exc:
            # If the keys moved while the renewal was in progress, the refusal is correct.
            if self.is_current(service, span):
                log.warning("lease renewal refused", reason=str(exc), fence=span.fence)
                state.lost = True
        except UpstreamError as exc:
            self._metrics.count("keyspace.renewal_failed")
            log.warning(
                "lease renewal failed", reason=str(exc), upstream=owner.incarnation.upstream_id
            )
            if state.record_failure(now=self._clock.now(), lost_after_s=LOST_AFTER_S):
                log.warning("upstream lost", upstream=owner.incarnation.upstream_id)
                self._orders.close_connection(owner.address)
        finally:
            state.renewing = False

    async def probe_lost_upstreams(self) -> None:
        """Periodically probe the registered upstreams that are lost.

        One that responds to a health check is no longer lost.
        """
        while True:
            await trio.sleep(PROBE_INTERVAL_S)
            registered = {entry.life: entry for entry in self._view.upstreams.values()}
            for owner, state in list(self._owner_states.items()):
                if state.ended or not state.lost or owner.incarnation not in registered:
                    continue
                cfg = self._view.configuration
                service = cfg.services.get(registered[owner.incarnation].service) if cfg else None
                if service is not None and await self._orders.responds(
                    owner.address, health_path=service.health_path, timeout_s=ORDER_TIMEOUT_S
                ):
                    log.info("upstream responds again", upstream=owner.incarnation.upstream_id)
                    state.record_success()

    def is_cut_off(self) -> bool:
        """Return whether so many upstreams are lost that this host is probably the one cut off."""
        known = [
            state
            for entry in self._view.upstreams.values()
            for state in [
                self._owner_states.get(Owner(incarnation=entry.life, address=entry.address))
            ]
            if state is not None and not state.ended
        ]
        lost = sum(state.lost for state in known)
        return lost >= MIN_LOST_TO_STEP_DOWN and lost > len(known) * MAX_LOST_SHARE

"""Grants, renewals and releases of keys at upstreams by the host that is the coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from acaciasaddle.errors import AuthorityLostError
from acaciasaddle.errors import Outcome
from acaciasaddle.errors import UpstreamError
from acaciasaddle.keyspace._leases import Tenure
from acaciasaddle.keyspace._types import FencedError
from acaciasaddle.keyspace._types import Owner
from acaciasaddle.keyspace._types import ReplacedError
from acaciasaddle.observe import get_logger

if TYPE_CHECKING:
    from acaciasaddle.clock import Clock
    from acaciasaddle.fleet import FleetView
    from acaciasaddle.keyspace._role import CoordinatorRole
    from acaciasaddle.keyspace._types import KeyMap
    from acaciasaddle.keyspace._types import KeyOrders
    from acaciasaddle.keyspace._types import Span
    from acaciasaddle.observe import Metrics

KEY_LEASE_S = 3.5
"""Outlasts the loss of a coordinator: 1.6 s until the takeover, a poll and the first renewals."""
KEY_RENEWAL_S = 0.8
ORDER_TIMEOUT_S = 0.8
RELEASE_TIMEOUT_S = 3.0
"""A release is answered when the work in progress has ended."""
RELEASE_RETRY_S = 0.2
LOST_AFTER_S = 1.2
"""Failures for this long, two orders in a row, make an upstream lost."""
STORE_TROUBLE_S = 0.9
"""Without a successful write for this long, renewals ask for the longest lease."""
PROBE_INTERVAL_S = 1.0
MAX_LOST_SHARE = 0.5
"""A host to which more of the upstreams are lost at the same time gives the role back."""
MIN_LOST_TO_YIELD = 3

log = get_logger("coordinator")


class Grants:
    """Orders to the upstreams, and what follows from their answers."""

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
        """``owners`` are those of each service, kept up to date by the coordinator."""
        self._role = role
        self._owners = owners
        self._view = view
        self._orders = orders
        self._clock = clock
        self._max_lease_s = max_lease_s
        self._metrics = metrics
        self._tenures: dict[Owner, Tenure] = {}
        self.stopping = False

    def start_over(self, *, held_until: float) -> None:
        """Forget everything; all owners may hold keys until a given time."""
        self._tenures.clear()
        for owners in self._owners.values():
            for span in owners.spans:
                for owner in (span.owner, span.previous):
                    if owner is not None:
                        self._tenures.setdefault(owner, Tenure(held_until=held_until))

    def usable(self, owner: Owner) -> bool:
        """Whether the upstream is not known to be lost."""
        tenure = self._tenures.get(owner)
        return tenure is None or not tenure.lost

    def is_current(self, service: str, span: Span) -> bool:
        """Whether a span has not been changed since."""
        owners = self._owners.get(service)
        found = owners.find(span.keys.first) if owners else None
        return found is not None and found.fence == span.fence and found.keys == span.keys

    async def vacate(self, span: Span, owner: Owner) -> str:
        """Release keys; return the handover, or nothing once the leases have surely ended."""
        tenure = self.tenure(owner)
        # Later renewals leave these keys out, so only the leases granted so far matter.
        until = tenure.held_until
        while not self._incarnation_ended(owner, tenure):
            left = until - self._clock.now()
            if left <= 0:
                log.info(
                    "leases ended",
                    upstream=owner.incarnation.upstream_id,
                    first=span.keys.first,
                    fence=span.fence,
                )
                return ""
            try:
                async with tenure.releases:
                    left = max(0.0, until - self._clock.now())
                    return await self._release(span, owner, tenure, min(RELEASE_TIMEOUT_S, left))
            except ReplacedError as exc:
                log.info(
                    "upstream has ended", upstream=owner.incarnation.upstream_id, reason=str(exc)
                )
                tenure.ended = tenure.lost = True
            except trio.TooSlowError:
                log.debug("another release is tried at the lost upstream")
            except UpstreamError as exc:
                log.warning("release failed", reason=str(exc), fence=span.fence)
            await trio.sleep(min(RELEASE_RETRY_S, max(0.0, until - self._clock.now())))
        return ""

    async def _release(self, span: Span, owner: Owner, tenure: Tenure, timeout_s: float) -> str:
        if not tenure.lost:
            return await self._orders.release(
                owner, span.keys, fence=span.fence, timeout_s=timeout_s
            )
        with trio.fail_after(timeout_s):
            await tenure.releasing.acquire()
        try:
            return await self._orders.release(
                owner, span.keys, fence=span.fence, timeout_s=min(ORDER_TIMEOUT_S, timeout_s)
            )
        finally:
            tenure.releasing.release()

    def _incarnation_ended(self, owner: Owner, tenure: Tenure) -> bool:
        """Whether an upstream surely holds nothing that was granted to it.

        A later incarnation under the same name and address has taken renewals that were meant for
        the earlier one, and has to release them.
        """
        if tenure.ended:
            return True
        entry = self._view.upstreams.get(owner.incarnation.upstream_id)
        return (
            entry is not None
            and entry.life.started_ms > owner.incarnation.started_ms
            and entry.address != owner.address
        )

    def tenure(self, owner: Owner) -> Tenure:
        """Return what is known of an upstream's leases."""
        return self._tenures.setdefault(owner, Tenure(held_until=self._clock.now()))

    async def grant(self, span: Span, *, handover: str = "") -> None:
        """Grant or renew the keys of a span while the role is surely held.

        Raises ``AuthorityLostError`` if it is not, and ``UpstreamError``.
        """
        now = self._clock.now()
        if self._role.lapsed:
            raise AuthorityLostError(
                "the role may have lapsed", step="coordinator.grant", peer=span.owner.address
            )
        trouble = self._role.since_write_s > STORE_TROUBLE_S
        lease_s = self._max_lease_s if trouble or self.stopping else KEY_LEASE_S
        tenure = self.tenure(span.owner)
        before = tenure.sending(now=now, timeout_s=ORDER_TIMEOUT_S, lease_s=lease_s)
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
            tenure.ended = tenure.lost = True
            raise
        except UpstreamError as exc:
            if exc.outcome is Outcome.NOT_RUN:
                tenure.not_sent(before)
            raise
        tenure.answered()
        self._metrics.count("keyspace.granted")

    async def renew_leases(self, nursery: trio.Nursery) -> None:
        """Renew all leases over and over."""
        while True:
            self.start_renewals(nursery)
            await trio.sleep(KEY_RENEWAL_S)

    def start_renewals(self, nursery: trio.Nursery) -> None:
        """Renew the leases of all upstreams whose last renewal has ended, each in a task."""
        by_owner: dict[Owner, list[tuple[str, Span]]] = {}
        for service, owners in self._owners.items():
            for span in owners.spans:
                if not span.moving:
                    by_owner.setdefault(span.owner, []).append((service, span))
        for owner, spans in by_owner.items():
            tenure = self.tenure(owner)
            if not tenure.renewing and not tenure.lost:
                tenure.renewing = True
                nursery.start_soon(self._renew, owner, tenure, spans)

    async def _renew(self, owner: Owner, tenure: Tenure, spans: list[tuple[str, Span]]) -> None:
        try:
            for service, span in spans:
                if tenure.lost or not self.is_current(service, span):
                    continue
                await self.grant(span)
        except AuthorityLostError as exc:
            log.info("renewal waits", reason=str(exc), upstream=owner.incarnation.upstream_id)
        except FencedError as exc:
            # A renewal that was under way when its keys moved on is refused rightly.
            if self.is_current(service, span):
                log.warning("renewal refused", reason=str(exc), fence=span.fence)
                tenure.lost = True
        except UpstreamError as exc:
            self._metrics.count("keyspace.renewal_failed")
            log.warning("renewal failed", reason=str(exc), upstream=owner.incarnation.upstream_id)
            if tenure.failed(now=self._clock.now(), lost_after_s=LOST_AFTER_S):
                log.warning("upstream lost", upstream=owner.incarnation.upstream_id)
                self._orders.forget(owner.address)
        finally:
            tenure.renewing = False

    async def probe_lost(self) -> None:
        """Trust lost upstreams again once they answer."""
        while True:
            await trio.sleep(PROBE_INTERVAL_S)
            registered = {entry.life: entry for entry in self._view.upstreams.values()}
            for owner, tenure in list(self._tenures.items()):
                if tenure.ended or not tenure.lost or owner.incarnation not in registered:
                    continue
                if await self._orders.reachable(owner.address, timeout_s=ORDER_TIMEOUT_S):
                    log.info("upstream reachable again", upstream=owner.incarnation.upstream_id)
                    tenure.answered()

    def is_cut_off(self) -> bool:
        """Whether this host, rather than its upstreams, is the one that is out of reach."""
        known = [
            tenure
            for entry in self._view.upstreams.values()
            for tenure in [self._tenures.get(Owner(incarnation=entry.life, address=entry.address))]
            if tenure is not None and not tenure.ended
        ]
        lost = sum(tenure.lost for tenure in known)
        return lost >= MIN_LOST_TO_YIELD and lost > len(known) * MAX_LOST_SHARE

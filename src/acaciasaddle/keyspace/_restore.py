"""Keys after the store came back from an older copy, without the last changes of owners.

The host that had the role last knows all changes and goes on with what it knows. It may be wrong
only if another host took the role from it and was lost as well. If that host moved keys, their
owners refuse the token under which this one granted them. Any other host knows nothing for certain,
and grants keys only when no lease of the earlier era can still run.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

import trio

from acaciasaddle.errors import AuthorityLostError
from acaciasaddle.errors import UpstreamError
from acaciasaddle.keyspace._grants import KEY_RENEWAL_S
from acaciasaddle.keyspace._grants import ORDER_TIMEOUT_S
from acaciasaddle.keyspace._leases import lease_end
from acaciasaddle.keyspace._role import ROLE_LEASE_S
from acaciasaddle.keyspace._types import FENCES_PER_ERA
from acaciasaddle.keyspace._types import FencedError
from acaciasaddle.keyspace._types import KeyMap
from acaciasaddle.keyspace._types import ReplacedError
from acaciasaddle.keyspace._types import Span
from acaciasaddle.observe import get_logger

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from acaciasaddle.clock import Clock
    from acaciasaddle.fleet import FleetView
    from acaciasaddle.keyspace._grants import LeaseManager
    from acaciasaddle.keyspace._types import Owner

CLAIM_ROUND_S = 0.6
"""Longest time for the claims of one round, so that the role can be renewed between two of them."""
CLAIMS_WITHIN_S = 4.6
"""Owners are written without the spans whose upstreams have not answered by then. Upstreams write
their entries again within about 2 s, or their entries stand for ``STANDS_S`` of the view."""

log = get_logger("coordinator")


def quiet_s(max_lease_s: float) -> float:
    """Return how long after the end of an era leases of that era may still run.

    A coordinator that has not seen the end sends grants until its role lapses.
    """
    return lease_end(ROLE_LEASE_S + ORDER_TIMEOUT_S, max_lease_s)


def claim_limit_s(max_lease_s: float) -> float:
    """Return how long after its last write the last holder may find the store restored and claim.

    If the store came back sooner, no other coordinator can have granted these keys in the earlier
    era without a release by their owner.
    """
    return lease_end(ORDER_TIMEOUT_S, max_lease_s)


def first_map(era: int) -> KeyMap:
    """Return the map of a service that has no owners yet in an era of the store."""
    return KeyMap(spans=(), fence=era * FENCES_PER_ERA, version=0)


def with_fences_of(era: int, owners: KeyMap) -> KeyMap:
    """Return a map whose next fencing tokens are those of an era of the store."""
    return replace(owners, fence=max(owners.fence, era * FENCES_PER_ERA))


def same_owners_anew(owners: KeyMap, usable: Collection[Owner], *, era: int) -> KeyMap:
    """Return a map in which keys are to be granted to the owners that they had, without a release.

    Only correct when no lease of an earlier era can still run.
    """
    fence = era * FENCES_PER_ERA
    spans = []
    for span in owners.spans:
        if span.owner in usable:
            fence += 1
            spans.append(replace(span, fence=fence, moving=True, previous=None))
    return KeyMap(spans=tuple(spans), fence=fence, version=0)


@dataclass(frozen=True, slots=True, kw_only=True)
class KnownSpan:
    """Keys whose owner the last holder of the role knew when it lapsed.

    ``written_at`` is the start of its last successful write as their coordinator. For keys that it
    claimed in vain after an earlier restore, that was before this restore.
    """

    service: str
    span: Span
    written_at: float


class Claims:
    """Claims the keys that this host granted in an earlier era of the store."""

    def __init__(
        self,
        *,
        known: Collection[KnownSpan],
        era: int,
        restored_at: float,
        leases: LeaseManager,
        view: FleetView,
        clock: Clock,
    ) -> None:
        self._waiting = list(known)
        self._era = era
        self._leases = leases
        self._view = view
        self._clock = clock
        self._write_at = restored_at + CLAIMS_WITHIN_S
        self._accepted: dict[KnownSpan, float] = {}
        self._added: list[KnownSpan] = []

    @property
    def waiting(self) -> list[KnownSpan]:
        """The spans that have neither been accepted nor refused."""
        return list(self._waiting)

    @property
    def accepted(self) -> list[tuple[str, Span]]:
        """The service and the keys of accepted spans that have not been written yet."""
        return [(known.service, known.span) for known in self._accepted]

    async def claim(self) -> None:
        """Claim the keys of all upstreams whose entries are confirmed in this era.

        Claims that are accepted but not written yet are renewed.
        """
        now = self._clock.now()
        due = [known for known, at in self._accepted.items() if now - at >= KEY_RENEWAL_S]
        by_owner: dict[Owner, list[KnownSpan]] = {}
        for known in [*due, *self._waiting]:
            by_owner.setdefault(known.span.owner, []).append(known)
        with trio.move_on_after(CLAIM_ROUND_S):
            async with trio.open_nursery() as nursery:
                for owner, spans in by_owner.items():
                    entry = self._view.upstreams.get(owner.incarnation.upstream_id)
                    if (
                        entry is not None
                        and entry.address == owner.address
                        and self._view.is_confirmed(owner.incarnation, era=self._era)
                    ):
                        nursery.start_soon(self._claim_from, owner, spans)

    async def _claim_from(self, owner: Owner, spans: list[KnownSpan]) -> None:
        for known in spans:
            service, span = known.service, known.span
            claimed_at = self._clock.now()
            try:
                await self._leases.claim(span)
            except (FencedError, ReplacedError) as exc:
                log.warning("claim refused", reason=str(exc), fence=span.fence, service=service)
                self._accepted.pop(known, None)
            except (AuthorityLostError, UpstreamError) as exc:
                log.info("claim failed", reason=str(exc), fence=span.fence, service=service)
                return
            else:
                self._accepted[known] = claimed_at
            if known in self._waiting:
                self._waiting.remove(known)

    def add_to(self, owners: Mapping[str, KeyMap], *, era: int) -> dict[str, KeyMap]:
        """Return the owners with the accepted spans, once these can be written.

        The first ones are written together: until then hosts go on with the owners that they know.
        """
        result = dict(owners)
        self._added = []
        if self._waiting and self._clock.now() < self._write_at:
            return result
        self._added = list(self._accepted)
        for service, span in self.accepted:
            current = result.get(service, first_map(era))
            result[service] = current.replaced(span.keys, [span], fence=current.fence)
        return result

    def note_written(self) -> None:
        """Note that the owners returned by ``add_to`` were written."""
        for known in self._added:
            self._accepted.pop(known, None)
        self._added = []

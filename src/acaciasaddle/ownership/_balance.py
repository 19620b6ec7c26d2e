"""Moves units from a busy upstream to a less busy one."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from acaciasaddle.errors import PeerError
from acaciasaddle.errors import PlatformError
from acaciasaddle.observe import get_logger
from acaciasaddle.ownership._limits import CALL_TIMEOUT_S
from acaciasaddle.ownership._placement import Move
from acaciasaddle.wire import AskLoad
from acaciasaddle.wire import Loads

if TYPE_CHECKING:
    from collections.abc import Mapping

    from acaciasaddle.model import UnitId
    from acaciasaddle.model import UpstreamId
    from acaciasaddle.ownership._context import Context
    from acaciasaddle.ownership._held import HeldUpstream

CHECK_INTERVAL_S = 1.0
# Below this fraction of slot time in use, requests hardly wait and moving units gains nothing.
MIN_BUSY = 0.5
# Smaller differences in load are within the noise of an average over some seconds.
MIN_GAP = 0.2
SAMPLE_SIZE = 3
MAX_MOVES_PER_CHECK = 4
# Slot time per second from which a key is worth a pin, which is a row entry of its own.
MIN_PIN_LOAD = 0.05
# All pins of a service are stored in one row, and a grant lists those that it excludes.
MAX_PINS = 256

log = get_logger("placement")


def units_to_move(
    *, unit_busy: Mapping[UnitId, float], slots: int, gap: float, limit: int = MAX_MOVES_PER_CHECK
) -> list[UnitId]:
    """Choose the busiest units, at most ``limit``, that together use at most half of a gap in load.

    ``gap`` is the difference between the fractions of slot time that two upstreams use, ``slots``
    the number of slots of the busier one, and ``unit_busy`` the slot time that each of its units
    uses per second. A unit that alone would reverse the gap is not chosen.
    """
    movable_load = gap / 2 * slots
    chosen: list[UnitId] = []
    for unit, busy in sorted(unit_busy.items(), key=lambda item: (-item[1], item[0])):
        if len(chosen) == limit:
            break
        if 0 < busy <= movable_load:
            chosen.append(unit)
            movable_load -= busy
    return chosen


class UnitBalancer:
    """Moves units away from one upstream that this host holds while others are less busy.

    Compares the upstream with a few random ones of the service instead of all: the best of a few is
    nearly as good, and the number of calls does not grow with the fleet. Loads are those that
    holders observe, since the upstreams' own figures lag or mislead.
    """

    def __init__(self, *, held: HeldUpstream, ctx: Context) -> None:
        self._held = held
        self._ctx = ctx

    async def run(self) -> None:
        """Move units away from the upstream while it is busier than others, until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S * random.uniform(0.8, 1.2))
            if not self._may_move():
                continue
            try:
                await self._balance_once()
            except PlatformError as exc:
                log.info(
                    "units not moved to balance load, retrying",
                    upstream=str(self._held.id),
                    error=str(exc),
                )

    def _may_move(self) -> bool:
        held = self._held
        return held.moves.settled() and held.row_written and held.reachable and held.in_authority()

    async def _balance_once(self) -> None:
        load = self._ctx.dispatcher.load(self._held.id)
        if load.busy < MIN_BUSY:
            return
        target, busy = await self._least_busy()
        if target is None or load.busy - busy < MIN_GAP:
            return
        slots, gap = self._held.info.entry.slots, load.busy - busy
        movable = self._held.moves.movable()
        candidates = {unit: used for unit, used in load.unit_busy.items() if unit in movable}
        candidates.update(self._keys_to_pin(load.key_busy, candidates, gap / 2 * slots, target))
        allowed = {u: used for u, used in candidates.items() if self._may_own(u, target)}
        units = units_to_move(unit_busy=allowed, slots=slots, gap=gap)
        reason = f"load {load.busy:.2f} against {busy:.2f}"
        await self._held.moves.move([Move(unit=u, target=target, reason=reason) for u in units])

    def _keys_to_pin(
        self,
        key_busy: Mapping[UnitId, float],
        unit_busy: Mapping[UnitId, float],
        movable_load: float,
        target: UpstreamId,
    ) -> dict[UnitId, float]:
        """Return hot keys to pin, with their loads, so that they can move without their shards.

        Only keys of shards that are too busy to move as a whole are pinned, since a pin costs a row
        entry that stays. None are pinned if the service has ``MAX_PINS`` pins, or if either
        upstream does not check orders, since it could not refuse a key that was taken out of its
        shard.
        """
        cfg = self._ctx.mirror.configuration
        info = cfg.upstreams.get(target) if cfg else None
        if info is None or not info.entry.checks_orders:
            return {}
        if not self._held.info.entry.checks_orders:
            return {}
        pins = self._ctx.mirror.pins_row(self._held.id.service)
        if pins is not None and len(pins.units) >= MAX_PINS:
            return {}
        chosen = {}
        for pin, used in key_busy.items():
            shard = self._held.moves.shard_of(pin)
            if shard in unit_busy and unit_busy[shard] > movable_load and used >= MIN_PIN_LOAD:
                chosen[pin] = used
        return chosen

    def _may_own(self, unit: UnitId, target: UpstreamId) -> bool:
        return target in self._ctx.placement.usable(unit.service, unit.group)

    async def _least_busy(self) -> tuple[UpstreamId | None, float]:
        service = self._held.id.service
        groups = {unit.group for unit in self._held.granted}
        usable = {uid for group in groups for uid in self._ctx.placement.usable(service, group)}
        usable.discard(self._held.id)
        sample = random.sample(sorted(usable), min(SAMPLE_SIZE, len(usable)))
        best: UpstreamId | None = None
        lowest = 1.0
        for upstream in sample:
            busy = await self._ask_load(upstream)
            if busy is not None and busy < lowest:
                best, lowest = upstream, busy
        return best, lowest

    async def _ask_load(self, upstream: UpstreamId) -> float | None:
        row = self._ctx.mirror.upstream_row(upstream)
        if row is None:
            return None
        if row.holder == self._ctx.member:
            return self._ctx.local_load(upstream)
        try:
            reply = await self._ctx.hub.call(
                row.holder, AskLoad(upstreams=(upstream,)), timeout=CALL_TIMEOUT_S
            )
        except PeerError:
            return None
        if not isinstance(reply, Loads) or reply.busy_permille[0] < 0:
            return None
        return reply.busy_permille[0] / 1000

"""Moves of units from and to an upstream that this host holds."""

from __future__ import annotations

import time
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

import trio

from acaciasaddle.errors import PeerError
from acaciasaddle.errors import PlatformError
from acaciasaddle.model import PinsRow
from acaciasaddle.model import UnitAssignment
from acaciasaddle.model import UnitId
from acaciasaddle.model import UnitsRow
from acaciasaddle.model import UpstreamId
from acaciasaddle.model import shard_of
from acaciasaddle.observe import get_logger
from acaciasaddle.ownership._limits import CALL_TIMEOUT_S
from acaciasaddle.ownership._limits import DRAIN_LIMIT_S
from acaciasaddle.ownership._limits import LOAD_SETTLE_S
from acaciasaddle.ownership._limits import MOVE_BATCH_UNITS
from acaciasaddle.ownership._limits import REBALANCE_INTERVAL_S
from acaciasaddle.ownership._placement import Move
from acaciasaddle.wire import AskRelease
from acaciasaddle.wire import Done
from acaciasaddle.wire import Release

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from acaciasaddle.model import OnceRecord
    from acaciasaddle.ownership._context import Context
    from acaciasaddle.ownership._held import HeldUpstream

CHECK_INTERVAL_S = 0.05
IDLE_INTERVAL_S = 0.25
ASK_INTERVAL_S = 0.1

log = get_logger("placement")


class UnitMoves:
    """Decides which units an upstream is granted, and moves units away from it.

    A move has three steps, and survives the loss of either holder between them:

    1. The row names the new owner and the previous one.
    2. The previous owner's holder confirms to the new owner's holder that the unit is released.
    3. The new owner's holder removes the previous owner from the row.
    """

    def __init__(self, *, held: HeldUpstream, ctx: Context) -> None:
        self._held = held
        self._ctx = ctx
        self._confirmed_releases: dict[UnitId, int] = {}
        self._released_epochs: dict[UnitId, int] = {}
        self._releasing: set[UnitId] = set()
        self._release_asked_at: dict[UnitId, float] = {}
        self._rebalanced_at = float("-inf")
        self.last_change_at = ctx.clock.now()

    def settled(self) -> bool:
        """Return whether the observed load shows the effect of the last move.

        Becoming the holder of the upstream counts as a move.
        """
        return self._ctx.clock.now() - self.last_change_at > LOAD_SETTLE_S

    def is_releasing(self, unit: UnitId) -> bool:
        """Return whether the unit is being released."""
        return unit in self._releasing

    def wanted(self) -> frozenset[UnitId]:
        """Return the units that the upstream should be granted now."""
        own_id = str(self._held.id)
        found = set()
        for unit, assignment in self._assignments().items():
            if unit in self._releasing:
                continue
            if assignment.owner == own_id:
                if not assignment.previous or self._release_confirmed(unit, assignment):
                    found.add(unit)
            elif unit in self._held.granted and unit not in self._released_epochs:
                found.add(unit)
        return frozenset(found)

    def excluded(self, units: Iterable[UnitId]) -> list[UnitId]:
        """Return the pinned keys of the service that are not among the given units.

        An upstream must not serve them as part of a shard that it is granted.
        """
        service = self._held.id.service
        pins = self._ctx.mirror.pins_row(service)
        if pins is None:
            return []
        granted = set(units)
        names = (name.split("/", 1) for name in pins.units)
        all_pins = (UnitId.pin(service, group, key) for group, key in names)
        return [pin for pin in all_pins if pin not in granted]

    def shard_of(self, pin: UnitId) -> UnitId:
        """Return the shard that a pinned key belongs to."""
        first = self._ctx.mirror.units_row(f"units/{pin.service}/{pin.group}/0")
        shards = first.shards if first else 1
        return UnitId(pin.service, pin.group, shard_of(pin.key, shards))

    def confirm_release(self, units: Sequence[UnitId], epochs: Sequence[int]) -> None:
        """Note that previous owners have released these units, for assignments of these epochs."""
        self._confirmed_releases.update(zip(units, epochs, strict=True))
        self.last_change_at = self._ctx.clock.now()
        self._held.wake()

    def resend_release(self, units: Iterable[UnitId]) -> None:
        """Have the release of these units sent again."""
        for unit in units:
            self._released_epochs.pop(unit, None)

    async def run(self) -> None:
        """Move units until cancelled."""
        while True:
            try:
                await self._release_outgoing()
                await self._ask_for_incoming()
                await self._clear_previous()
                await self._decide_moves()
            except PlatformError as exc:
                log.info("units not moved, retrying", upstream=str(self._held.id), error=str(exc))
                self._ctx.mirror.poll_soon()
                await trio.sleep(CHECK_INTERVAL_S)
            idle = self._held.reachable and not self._has_pending_moves()
            with trio.move_on_after(IDLE_INTERVAL_S if idle else CHECK_INTERVAL_S):
                await self._ctx.mirror.wait_changed()

    def _assignments(self) -> Mapping[UnitId, UnitAssignment]:
        """Return the assignments of units that this upstream owns or owned last."""
        return self._ctx.mirror.owners.units_of(str(self._held.id))

    def _has_pending_moves(self) -> bool:
        return any(assignment.previous for assignment in self._assignments().values())

    def _release_confirmed(self, unit: UnitId, assignment: UnitAssignment) -> bool:
        return self._confirmed_releases.get(unit) == assignment.epoch

    # Release of units that the rows assign to another upstream

    async def _release_outgoing(self) -> None:
        own_id = str(self._held.id)
        outgoing = {
            unit: assignment
            for unit, assignment in self._assignments().items()
            if assignment.previous == own_id
            and assignment.owner != own_id
            and self._released_epochs.get(unit) != assignment.epoch
        }
        if not outgoing:
            self._forget_released()
            return
        # The successor must know all rows that this host acts on.
        if not await self._held.row_keeper.send_rows(self._held.successor):
            return
        # Added before the check for loss, so that no order grants the units again if the upstream
        # answers again meanwhile.
        self._releasing.update(outgoing)
        if self._held.lost():
            self._held.forget_grants(outgoing)
            await self._send_releases(outgoing)
            self._unblock_requests(outgoing)
            return
        self._releasing.difference_update(outgoing)
        batch = self._without_bulky(outgoing)
        # A key that is pinned for the first time is still served as part of its shard.
        serving_units = {unit: self._serving_unit(unit) for unit in batch}
        for serving_unit in serving_units.values():
            self._ctx.dispatcher.pause(serving_unit)
        idle = await self._drain(list(dict.fromkeys(serving_units.values())))
        drained = [unit for unit in batch if serving_units[unit] in idle]
        self._releasing.update(drained)
        if await self._wait_until_revoked(drained):
            self._held.forget_grants(drained)
            await self._send_releases({unit: outgoing[unit] for unit in drained})
        self._unblock_requests(batch)
        for serving_unit in set(serving_units.values()).difference(batch):
            self._ctx.dispatcher.resume(serving_unit)

    def _serving_unit(self, unit: UnitId) -> UnitId:
        """Return the unit that requests of a unit belong to now: a new pin's shard, or itself."""
        if not unit.is_pin or unit in self._held.granted:
            return unit
        return self.shard_of(unit)

    def _unblock_requests(self, units: Iterable[UnitId]) -> None:
        """Have paused requests of released units routed again, and resume those of other units."""
        for unit in units:
            if unit in self._released_epochs:
                self._ctx.dispatcher.reject(unit)
            else:
                self._ctx.dispatcher.resume(unit)
            self._releasing.discard(unit)

    def _without_bulky(self, outgoing: Mapping[UnitId, UnitAssignment]) -> list[UnitId]:
        """Return at most ``MOVE_BATCH_UNITS`` units without a bulky request in progress."""
        bulky_running = self._ctx.dispatcher.bulky_running
        idle = [unit for unit in outgoing if bulky_running(self._serving_unit(unit)) == 0]
        return idle[:MOVE_BATCH_UNITS]

    async def _drain(self, units: Sequence[UnitId]) -> list[UnitId]:
        """Wait until no request of the units is in progress.

        Returns the units for which that is so within ``DRAIN_LIMIT_S``.
        """
        drained: list[UnitId] = []

        async def wait(unit: UnitId) -> None:
            await self._ctx.dispatcher.wait_drained(unit)
            drained.append(unit)

        with trio.move_on_after(DRAIN_LIMIT_S):
            async with trio.open_nursery() as nursery:
                for unit in units:
                    nursery.start_soon(wait, unit)
        return list(drained)

    async def _wait_until_revoked(self, units: Sequence[UnitId]) -> bool:
        """Wait until the upstream has no grant for the units and runs none of their requests.

        Newly pinned keys must also be excluded from their shards, and no request of those shards
        may be running. Returns whether that is so within ``DRAIN_LIMIT_S``, or the upstream is
        lost.
        """
        serving_names = {str(self._serving_unit(unit)) for unit in units}
        new_pins = {unit for unit in units if self._serving_unit(unit) != unit}
        with trio.move_on_after(DRAIN_LIMIT_S):
            while not self._held.lost():
                order_done = self._held.order_done
                self._held.wake()
                await order_done.wait()
                # The upstream's own report decides, since a grant of an earlier holder stays in
                # force until its lease expires or this host's list of units replaces it.
                granted = {str(unit) for unit in units} & self._held.reported
                excluded = new_pins <= self._held.excluded
                if excluded and not granted and not serving_names & self._held.running:
                    return True
        return self._held.lost()

    async def _send_releases(self, assignments: Mapping[UnitId, UnitAssignment]) -> None:
        units_by_owner: dict[UpstreamId, list[UnitId]] = {}
        for unit, assignment in assignments.items():
            units_by_owner.setdefault(assignment.owner_id, []).append(unit)

        async def send(owner: UpstreamId, owned: list[UnitId]) -> None:
            if await self._send_release(owner, owned, assignments):
                for unit in owned:
                    self._released_epochs[unit] = assignments[unit].epoch

        async with trio.open_nursery() as nursery:
            for owner, owned in units_by_owner.items():
                nursery.start_soon(send, owner, owned)

    async def _send_release(
        self, owner: UpstreamId, units: list[UnitId], assignments: Mapping[UnitId, UnitAssignment]
    ) -> bool:
        row = self._ctx.mirror.upstream_row(owner)
        if row is None:
            return False
        call = Release(
            previous=self._held.id,
            upstream=owner,
            units=tuple(units),
            epochs=tuple(assignments[unit].epoch for unit in units),
            records=self._records(units),
            memory_since_ms=max(int(self._ctx.dispatcher.memory_since(self._held.id) * 1000), 0),
        )
        try:
            reply = await self._ctx.hub.call(row.holder, call, timeout=CALL_TIMEOUT_S)
        except PeerError as exc:
            log.info(
                "release not delivered to the new owner's holder",
                upstream=str(owner),
                error=str(exc),
            )
            return False
        log.info(
            "release sent to the new owner's holder",
            upstream=str(self._held.id),
            to=str(owner),
            units=[str(unit) for unit in units],
        )
        return isinstance(reply, Done)

    def _records(self, units: Sequence[UnitId]) -> tuple[OnceRecord, ...]:
        """Return the at-most-once records of units.

        Those of a newly pinned key are among its shard's, so all records of the shard are returned
        as records of the pin.
        """
        export = self._ctx.dispatcher.export_records
        records = export(
            self._held.id, [unit for unit in units if self._serving_unit(unit) == unit]
        )
        for pin in [unit for unit in units if self._serving_unit(unit) != unit]:
            shard_records = export(self._held.id, [self.shard_of(pin)])
            records += tuple(replace(record, unit=pin) for record in shard_records)
        return records

    def _forget_released(self) -> None:
        assignments = self._assignments()
        for unit in [u for u in self._released_epochs if u not in assignments]:
            del self._released_epochs[unit]

    # Units that the rows assign to this upstream

    async def _ask_for_incoming(self) -> None:
        now = self._ctx.clock.now()
        by_previous: dict[UpstreamId, list[UnitId]] = {}
        for unit, assignment in self._assignments().items():
            waiting = assignment.owner == str(self._held.id) and assignment.previous
            if not waiting or self._release_confirmed(unit, assignment):
                continue
            # The release normally arrives unasked, so the first call waits for one interval.
            if now - self._release_asked_at.setdefault(unit, now) < ASK_INTERVAL_S:
                continue
            self._release_asked_at[unit] = now
            by_previous.setdefault(UpstreamId.parse(assignment.previous), []).append(unit)
        for previous, units in by_previous.items():
            row = self._ctx.mirror.upstream_row(previous)
            if row is None:
                continue
            call = AskRelease(previous=previous, upstream=self._held.id, units=tuple(units))
            try:
                await self._ctx.hub.call(row.holder, call, timeout=CALL_TIMEOUT_S)
            except PeerError as exc:
                log.info(
                    "previous owner's holder does not answer the request for a release",
                    upstream=str(previous),
                    error=str(exc),
                )

    async def _clear_previous(self) -> None:
        completed = {
            unit: assignment
            for unit, assignment in self._assignments().items()
            if assignment.owner == str(self._held.id)
            and assignment.previous
            and self._release_confirmed(unit, assignment)
            and unit in self._held.granted
        }
        if not completed or not self._held.row_written:
            return
        changes = {
            unit: UnitAssignment(
                owner=old.owner, previous="", epoch=old.epoch, since=old.since, reason=old.reason
            )
            for unit, old in completed.items()
        }
        await self._write(changes)
        for unit in changes:
            self._confirmed_releases.pop(unit, None)
            self._release_asked_at.pop(unit, None)

    # Decisions

    async def _decide_moves(self) -> None:
        if not self._held.row_written:
            return
        if self._held.lost():
            await self._move_all("upstream lost")
            return
        cfg = self._ctx.mirror.configuration
        info = cfg.upstreams.get(self._held.id) if cfg else None
        if info is None or info.entry.state == "leaving" or self._held.state == "leaving":
            await self._move_all("upstream leaving")
            return
        disallowed = {u for u in self.movable() if not cfg.allowed(info, u.group)} if cfg else set()
        if disallowed:
            await self._move_all("rule of the group", only=disallowed)
            return
        now = self._ctx.clock.now()
        if now - self._rebalanced_at < REBALANCE_INTERVAL_S:
            return
        self._rebalanced_at = now
        moves = self._ctx.placement.surplus(self._held.id, MOVE_BATCH_UNITS)
        if moves:
            movable = self.movable()
            await self.move([move for move in moves if move.unit in movable])

    def movable(self) -> dict[UnitId, UnitAssignment]:
        """Return the units that this upstream owns and no previous owner still has to release."""
        return {
            unit: assignment
            for unit, assignment in self._assignments().items()
            if assignment.owner == str(self._held.id)
            and (not assignment.previous or self._release_confirmed(unit, assignment))
        }

    async def _move_all(self, reason: str, *, only: Collection[UnitId] | None = None) -> None:
        moves = []
        for unit in self.movable() if only is None else only:
            target = self._ctx.placement.choose(unit, without=(self._held.id,))
            if target is not None:
                moves.append(Move(unit=unit, target=target, reason=reason))
        await self.move(moves)

    async def move(self, moves: Sequence[Move]) -> None:
        """Assign units of this upstream to other owners. Raises ``PlatformError``."""
        if not moves:
            return
        self.last_change_at = self._ctx.clock.now()
        assignments = self._assignments()
        changes = {
            move.unit: UnitAssignment(
                owner=str(move.target),
                previous=str(self._held.id),
                epoch=assignments[move.unit].epoch + 1 if move.unit in assignments else 1,
                since=int(time.time()),
                reason=move.reason,
            )
            for move in moves
        }
        await self._write(changes)
        self._ctx.metrics.count("placement.moves", len(moves))
        for move in moves:
            log.info(
                "unit moves to another upstream",
                unit=str(move.unit),
                source=str(self._held.id),
                target=str(move.target),
                reason=move.reason,
            )

    async def _write(self, changes: Mapping[UnitId, UnitAssignment]) -> None:
        """Write assignments if the upstream's row still names this host as the holder."""
        mirror = self._ctx.mirror
        held_key = self._held.id.row_key
        row = mirror.upstream_row(self._held.id)
        if row is None or row.holder != self._ctx.member:
            return
        conditions = {held_key: mirror.version(held_key)}
        puts: dict[str, Any] = {}
        if self._held.lost() and row.health != "lost":
            # In the same transaction, so that no host moves units to this upstream meanwhile.
            puts[held_key] = replace(row, health="lost").to_json
        by_row: dict[str, dict[UnitId, UnitAssignment]] = {}
        for unit, assignment in changes.items():
            by_row.setdefault(unit.row_key, {})[unit] = assignment
        for unit in changes:
            # A pin is taken out of a shard of this upstream, which must not have moved meanwhile.
            source_key = self.shard_of(unit).row_key if unit.is_pin else unit.row_key
            conditions[source_key] = mirror.version(source_key)
        for key, units in by_row.items():
            conditions[key] = mirror.version(key)
            puts[key] = self._changed_row(key, units)
        await self._ctx.write(conditions=conditions, puts=puts)

    def _changed_row(self, key: str, units: Mapping[UnitId, UnitAssignment]) -> Any:
        mirror = self._ctx.mirror
        if key.startswith("pins/"):
            pins = mirror.pins_row(self._held.id.service) or PinsRow(units={})
            by_name = {f"{unit.group}/{unit.key}": a for unit, a in units.items()}
            return PinsRow(units={**pins.units, **by_name}).to_json
        row = mirror.units_row(key)
        assert row is not None
        by_shard = {unit.shard: assignment for unit, assignment in units.items()}
        return UnitsRow(shards=row.shards, units={**row.units, **by_shard}).to_json

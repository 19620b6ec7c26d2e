"""Present and former ownership of units by an upstream, as granted."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from acaciasaddle.emulator._journal import LeaseEntry
from acaciasaddle.emulator._journal import NullJournal
from acaciasaddle.emulator._journal import OwnershipEntry
from acaciasaddle.emulator._records import OwnershipRecord

if TYPE_CHECKING:
    from acaciasaddle.emulator._journal import Journal


@dataclass(frozen=True, slots=True, kw_only=True)
class _Ownership:
    holder: str
    term: int
    from_ms: float
    excluded: tuple[str, ...]


class OwnershipLog:
    """The units that are granted at present, and the record of all former ownership.

    All times are in milliseconds of the upstream's clock, which is ``offset_ms`` ahead of
    CLOCK_BOOTTIME.
    """

    def __init__(self, *, offset_ms: float, journal: Journal | None = None) -> None:
        self._valid_until = 0.0
        self._journal = journal if journal is not None else NullJournal()
        self._offset_ms = offset_ms
        self._owned: dict[str, _Ownership] = {}
        self._ended: list[OwnershipRecord] = []

    @property
    def valid_until(self) -> float:
        """End of the lease."""
        return self._valid_until

    @property
    def units(self) -> tuple[str, ...]:
        """The granted units, whether or not the lease has expired."""
        return tuple(self._owned)

    def owns(self, unit: str) -> bool:
        """Return whether a unit is granted, whether or not the lease has expired."""
        return unit in self._owned

    def excludes(self, unit: str, key: str) -> bool:
        """Return whether a key is excluded from a granted shard because it is pinned."""
        owned = self._owned.get(unit)
        return owned is not None and pinned_unit_id(unit, key) in owned.excluded

    def expire(self, now: float) -> None:
        """End the ownership of all units if the lease has expired."""
        if self._owned and now >= self._valid_until:
            for unit in tuple(self._owned):
                self._end(unit, self._valid_until)

    def replace(
        self,
        *,
        units: tuple[str, ...],
        excluded: tuple[str, ...],
        holder: str,
        term: int,
        now: float,
    ) -> None:
        """Replace the granted units with ``units``, starting at ``now``.

        A unit that stays granted with the same exclusions keeps its ownership, holder and term.
        """
        wanted = {unit: _excluded_from(unit, excluded) for unit in units}
        for unit, owned in tuple(self._owned.items()):
            if wanted.get(unit) != owned.excluded:
                self._end(unit, now)
        for unit, keys in wanted.items():
            if unit not in self._owned:
                self._owned[unit] = _Ownership(holder=holder, term=term, from_ms=now, excluded=keys)
                begun = self._to_record(unit, self._valid_until)
                self._journal.write(OwnershipEntry(open=True, owned=begun))

    def renew(self, valid_until: float) -> None:
        """Set the end of the lease."""
        self._valid_until = valid_until
        boot_until_ms = valid_until - self._offset_ms
        self._journal.write(LeaseEntry(until_ms=valid_until, boot_until_ms=boot_until_ms))

    def record(self) -> tuple[OwnershipRecord, ...]:
        """Return all ownership, past and present."""
        present = (self._to_record(unit, self._valid_until) for unit in self._owned)
        return (*self._ended, *present)

    def _end(self, unit: str, until_ms: float) -> None:
        ended = self._to_record(unit, until_ms)
        self._journal.write(OwnershipEntry(open=False, owned=ended))
        self._ended.append(ended)
        del self._owned[unit]

    def _to_record(self, unit: str, until_ms: float) -> OwnershipRecord:
        owned = self._owned[unit]
        return OwnershipRecord(
            unit=unit,
            holder=owned.holder,
            term=owned.term,
            from_ms=owned.from_ms,
            until_ms=until_ms,
            boot_from_ms=owned.from_ms - self._offset_ms,
            boot_until_ms=until_ms - self._offset_ms,
            excluded=owned.excluded,
        )


def pinned_unit_id(unit: str, key: str) -> str:
    """Return the id of the pin of a key in the service and group of a unit."""
    service, group, _ = unit.split("/", 2)
    return f"{service}/{group}/key:{key}"


def _excluded_from(unit: str, excluded: tuple[str, ...]) -> tuple[str, ...]:
    prefix = pinned_unit_id(unit, "")
    if unit.startswith(prefix):
        return ()
    return tuple(sorted(pin for pin in excluded if pin.startswith(prefix)))

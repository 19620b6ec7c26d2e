"""The record of an upstream as a file, which outlasts a killed process."""

from __future__ import annotations

import json
from abc import ABC
from abc import abstractmethod
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

import pydantic
from pydantic import TypeAdapter

from acaciasaddle.emulator._records import OwnedRecord
from acaciasaddle.emulator._records import RunRecord
from acaciasaddle.emulator._records import UpstreamRecord
from acaciasaddle.errors import ConfigError

if TYPE_CHECKING:
    from pathlib import Path


@dataclass(frozen=True, slots=True, kw_only=True)
class JournalHead:
    """First entry of a journal, and of each process that continues it."""

    name: str
    checks_orders: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseEntry:
    """The lease of all open ownership now ends at another time."""

    until_ms: float
    boot_until_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnedEntry:
    """Ownership of a unit began (``open``) or ended."""

    open: bool
    owned: OwnedRecord


@dataclass(frozen=True, slots=True, kw_only=True)
class RunEntry:
    """A run began or ended. ``index`` is the same for both."""

    index: int
    run: RunRecord


@dataclass(frozen=True, slots=True, kw_only=True)
class LeavingEntry:
    """The upstream began to leave."""

    leaving_boot_ms: float


Entry = JournalHead | LeaseEntry | OwnedEntry | RunEntry | LeavingEntry
ENTRY: TypeAdapter[Entry] = TypeAdapter(Entry)


class Journal(ABC):
    """Takes the entries of an upstream's record as they arise."""

    @abstractmethod
    def write(self, entry: Entry) -> None:
        """Keep an entry."""

    def close(self) -> None:  # noqa: B027
        """Called when no more entries follow."""


class NullJournal(Journal):
    """Keeps nothing."""

    def write(self, entry: Entry) -> None:
        pass


class FileJournal(Journal):
    """Writes each entry as a line of JSON at once, so that a killed process loses none."""

    def __init__(self, *, path: Path) -> None:
        self._file = path.open("a", encoding="utf-8", buffering=1)

    def write(self, entry: Entry) -> None:
        self._file.write(json.dumps(asdict(entry)) + "\n")

    def close(self) -> None:
        self._file.close()


def read_journal(path: Path) -> UpstreamRecord:
    """Rebuild the record of an upstream; raises ``ConfigError`` if the file is unusable.

    Ownership that was open when the process ended lasts until the end of its lease. An
    incomplete last line is ignored.
    """
    try:
        lines = path.read_bytes().split(b"\n")[:-1]
        entries = [ENTRY.validate_json(line) for line in lines]
    except (OSError, pydantic.ValidationError) as exc:
        raise ConfigError(
            f"journal cannot be read: {exc}", step="journal.read", peer=str(path)
        ) from None
    head = next((entry for entry in entries if isinstance(entry, JournalHead)), None)
    if head is None:
        raise ConfigError("journal has no first entry", step="journal.read", peer=str(path))
    return _rebuild(head, entries)


def _rebuild(head: JournalHead, entries: list[Entry]) -> UpstreamRecord:
    runs: dict[tuple[int, int], RunRecord] = {}
    processes = 0
    present: dict[str, OwnedRecord] = {}
    past: list[OwnedRecord] = []
    leaving: float | None = None
    for entry in entries:
        if isinstance(entry, JournalHead):
            processes += 1
            past.extend(present.values())
            present = {}
        elif isinstance(entry, RunEntry):
            runs[processes, entry.index] = entry.run
        elif isinstance(entry, LeavingEntry):
            leaving = entry.leaving_boot_ms
        elif isinstance(entry, LeaseEntry):
            lease: dict[str, Any] = asdict(entry)
            present = {unit: replace(owned, **lease) for unit, owned in present.items()}
        elif isinstance(entry, OwnedEntry) and entry.open:
            present[entry.owned.unit] = entry.owned
        elif isinstance(entry, OwnedEntry):
            present.pop(entry.owned.unit, None)
            past.append(entry.owned)
    return UpstreamRecord(
        name=head.name,
        checks_orders=head.checks_orders,
        boot_ms=0.0,
        leaving_boot_ms=leaving,
        owned=(*past, *present.values()),
        runs=tuple(runs.values()),
    )

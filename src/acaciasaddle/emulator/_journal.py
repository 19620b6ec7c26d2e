"""Keeps the record of an upstream in a file, so that it survives a kill of the process."""

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

from acaciasaddle.emulator._records import OwnershipRecord
from acaciasaddle.emulator._records import RunRecord
from acaciasaddle.emulator._records import UpstreamRecord
from acaciasaddle.errors import ConfigError

if TYPE_CHECKING:
    from pathlib import Path


@dataclass(frozen=True, slots=True, kw_only=True)
class JournalHeader:
    """First entry of a journal. Each process that continues the journal writes another one."""

    name: str
    checks_orders: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseEntry:
    """The end of the lease, and so of all current ownership, has changed."""

    until_ms: float
    boot_until_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnershipEntry:
    """Ownership of a unit began (``open`` is true) or ended."""

    open: bool
    owned: OwnershipRecord


@dataclass(frozen=True, slots=True, kw_only=True)
class RunEntry:
    """A run began or ended.

    Both entries of a run have the same ``index``, which is unique within one process.
    """

    index: int
    run: RunRecord


@dataclass(frozen=True, slots=True, kw_only=True)
class LeavingEntry:
    """The upstream started to leave."""

    leaving_boot_ms: float


Entry = JournalHeader | LeaseEntry | OwnershipEntry | RunEntry | LeavingEntry
ENTRY: TypeAdapter[Entry] = TypeAdapter(Entry)


class Journal(ABC):
    """Receives the entries of an upstream's record as they occur."""

    @abstractmethod
    def write(self, entry: Entry) -> None:
        """Store an entry."""

    def close(self) -> None:  # noqa: B027
        """Release resources; no more entries follow. Does nothing by default."""


class NullJournal(Journal):
    """Discards all entries."""

    def write(self, entry: Entry) -> None:
        pass


class FileJournal(Journal):
    """Writes each entry immediately as a line of JSON, so that a kill of the process loses none."""

    def __init__(self, *, path: Path) -> None:
        self._file = path.open("a", encoding="utf-8", buffering=1)

    def write(self, entry: Entry) -> None:
        self._file.write(json.dumps(asdict(entry)) + "\n")

    def close(self) -> None:
        self._file.close()


def read_journal(path: Path) -> UpstreamRecord:
    """Rebuild the record of an upstream; raises ``ConfigError`` if the file cannot be used.

    Ownership that had not ended when the process was killed lasts until the end of its lease.
    ``leaving_boot_ms`` is that of the last ``LeavingEntry``; a journal does not contain the end of
    the fault ``leaving``. An incomplete last line is ignored.
    """
    try:
        lines = path.read_bytes().split(b"\n")[:-1]
        entries = [ENTRY.validate_json(line) for line in lines]
    except (OSError, pydantic.ValidationError) as exc:
        raise ConfigError(
            f"journal cannot be read: {exc}", step="journal.read", peer=str(path)
        ) from None
    header = next((entry for entry in entries if isinstance(entry, JournalHeader)), None)
    if header is None:
        raise ConfigError("journal has no header", step="journal.read", peer=str(path))
    return _rebuild_record(header, entries)


def _rebuild_record(header: JournalHeader, entries: list[Entry]) -> UpstreamRecord:
    runs: dict[tuple[int, int], RunRecord] = {}
    process_number = 0
    open_ownerships: dict[str, OwnershipRecord] = {}
    closed_ownerships: list[OwnershipRecord] = []
    leaving: float | None = None
    for entry in entries:
        if isinstance(entry, JournalHeader):
            process_number += 1
            closed_ownerships.extend(open_ownerships.values())
            open_ownerships = {}
        elif isinstance(entry, RunEntry):
            runs[process_number, entry.index] = entry.run
        elif isinstance(entry, LeavingEntry):
            leaving = entry.leaving_boot_ms
        elif isinstance(entry, LeaseEntry):
            lease: dict[str, Any] = asdict(entry)
            open_ownerships = {
                unit: replace(owned, **lease) for unit, owned in open_ownerships.items()
            }
        elif isinstance(entry, OwnershipEntry) and entry.open:
            open_ownerships[entry.owned.unit] = entry.owned
        elif isinstance(entry, OwnershipEntry):
            open_ownerships.pop(entry.owned.unit, None)
            closed_ownerships.append(entry.owned)
    return UpstreamRecord(
        name=header.name,
        checks_orders=header.checks_orders,
        boot_ms=0.0,
        leaving_boot_ms=leaving,
        owned=(*closed_ownerships, *open_ownerships.values()),
        runs=tuple(runs.values()),
    )

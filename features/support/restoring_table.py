"""A store that comes back from older copies of itself, and clients of it, in one process.

The store gives out versions from one counter, which goes back with a restore. Its era, in all of
its answers, rises each time. Clients implement ``Table`` as the client of the platform's store
does: the rows of an era have their own names, and revisions consist of era and version.
"""

from __future__ import annotations

import json
from bisect import bisect_right
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

import trio

from acaciasaddle.errors import ConditionFailedError
from acaciasaddle.errors import HistoryExpiredError
from acaciasaddle.errors import PlatformUnavailableError
from acaciasaddle.errors import StoreRestoredError
from acaciasaddle.errors import WriteOutcomeUnknownError
from acaciasaddle.model import Row
from acaciasaddle.model import era_of
from acaciasaddle.model import revision_of
from acaciasaddle.model import version_of
from acaciasaddle.table import Scan
from acaciasaddle.table import Table

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Mapping

CALL_TIMEOUT_S = 0.9
CONNECT_TIMEOUT_S = 0.6


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredRow:
    """A row as the store keeps it: its version and its value as JSON."""

    version: int
    value: str


class RestoringStore:
    """Rows by name, the version of the last transaction, and the era.

    While it is not ``up``, it answers no call; writes that are on their way then wait.
    ``after_write`` is called with the names of the rows that a transaction has written.
    """

    def __init__(self, *, era: int) -> None:
        self.era = era
        self.version = 0
        self.rows: dict[str, StoredRow] = {}
        self.restored_at: float | None = None
        self.up = True
        self.up_again = trio.Event()
        self.after_write: Callable[[Collection[str]], None] = lambda names: None
        self._times = [0.0]
        self._states: list[tuple[int, dict[str, StoredRow]]] = [(0, {})]

    def transact(
        self,
        *,
        conditions: Mapping[str, int],
        puts: Mapping[str, str],
        removals: tuple[str, ...] = (),
    ) -> int:
        """Write and remove rows if all conditions hold, and return the version."""
        failed = tuple(
            name
            for name, version in conditions.items()
            if (self.rows[name].version if name in self.rows else 0) != version
        )
        if failed:
            raise ConditionFailedError(
                f"rows do not have the expected versions: {', '.join(failed)}",
                keys=failed,
                step="store.transact",
            )
        self.version += 1
        self.rows = {name: row for name, row in self.rows.items() if name not in removals}
        for name, value in puts.items():
            self.rows[name] = StoredRow(version=self.version, value=value)
        version = self.version
        self._note_state()
        self.after_write(puts.keys())
        return version

    def restore(self, *, at: float) -> None:
        """Return to the state at an earlier time, in a new era."""
        self.version, self.rows = self._states[bisect_right(self._times, at) - 1]
        self.era += 1
        self.restored_at = trio.current_time()
        self._note_state()

    def last_time_when(self, holds: Callable[[dict[str, StoredRow]], bool]) -> float:
        """Return the latest time at which the rows were in a certain state."""
        return max(
            at for at, (_, rows) in zip(self._times, self._states, strict=True) if holds(rows)
        )

    def set_up(self, up: bool) -> None:
        """Make the store answer, or stop answering."""
        self.up = up
        if up:
            self.up_again.set()
            self.up_again = trio.Event()

    def _note_state(self) -> None:
        self._times.append(trio.current_time())
        self._states.append((self.version, self.rows))


@dataclass(slots=True, kw_only=True)
class ClientFaults:
    """Faults of one host's calls of the store.

    A ``cut_off`` client reaches no store, a ``refused`` one is rejected. ``lost`` and ``late`` are
    the shares of writes whose answers are lost, and that are carried out up to ``late_s`` seconds
    later. ``paused`` is an event while the host is frozen.
    """

    cut_off: bool = False
    refused: bool = False
    lost: float = 0.0
    late: float = 0.0
    late_s: float = 5.0
    paused: trio.Event | None = None


@dataclass(slots=True, kw_only=True)
class _Answer:
    arrived: trio.Event = field(default_factory=trio.Event)
    era: int = 0
    result: Any = None
    exc: Exception | None = None


class _NoAnswerError(Exception):
    """The call may have been carried out, or may be later."""


class RestoringTable(Table):
    """A client of the store. Calls are carried out in a nursery that outlives this client.

    With ``knows_eras`` false, it takes no notice of the era, and the rows of all eras have the same
    names.
    """

    def __init__(
        self,
        *,
        store: RestoringStore,
        nursery: trio.Nursery,
        rng: random.Random,
        faults: ClientFaults,
        knows_eras: bool,
    ) -> None:
        self.faults = faults
        self._store = store
        self._nursery = nursery
        self._rng = rng
        self._knows_eras = knows_eras
        self._era: int | None = None
        self._restored = False
        self._copy_revision = 0

    @property
    def era(self) -> int:
        return self._era or 0

    @property
    def copy_revision(self) -> int:
        """Revision up to which rows of this era may be from the copy, 0 if no restore is known."""
        return self._copy_revision

    async def read(self, key: str) -> Row | None:
        scan = await self.scan(f"{key.partition('/')[0]}/", since=0)
        return next((row for row in scan.rows if row.key == key), None)

    async def scan(self, prefix: str, *, since: int, wait_s: float = 0.0) -> Scan:
        revision, rows = await self.stored(prefix)
        if since and era_of(since) != self.era:
            raise HistoryExpiredError("the revision is of another era", step="table.scan")
        current = []
        earlier_revision = 0
        for name, row in rows.items():
            key, era = self._key_and_era(name)
            row_revision = self._revision(row.version, era)
            if era != self.era:
                earlier_revision = max(earlier_revision, row_revision)
            elif row_revision > since:
                value = json.loads(row.value)
                current.append(
                    Row(key=key, version=row_revision, revision=row_revision, value=value)
                )
        return Scan(revision=revision, rows=tuple(current), earlier_revision=earlier_revision)

    async def stored(self, prefix: str) -> tuple[int, dict[str, StoredRow]]:
        """Return the revision of the store and all rows with a prefix, by their names there."""

        def read() -> tuple[int, dict[str, StoredRow]]:
            rows = self._store.rows
            return self._store.version, {
                name: row for name, row in rows.items() if name.startswith(prefix)
            }

        try:
            answer = await self._call(read)
        except _NoAnswerError as exc:
            raise PlatformUnavailableError("no answer", step="table.read") from exc
        if answer.era < self.era:
            raise PlatformUnavailableError("an answer of an earlier era", step="table.read")
        self._note_era(answer.era)
        version, rows = answer.result
        revision = self._revision(version, self.era)
        if self._restored and not self._copy_revision:
            self._copy_revision = revision
        return revision, rows

    async def transact(
        self, *, conditions: Mapping[str, int], puts: Mapping[str, Any]
    ) -> tuple[Row, ...]:
        era = self.era
        if any(revision and self._era_of(revision) != era for revision in conditions.values()):
            raise StoreRestoredError(
                "a condition is of another era", keys=tuple(conditions), step="table.transact"
            )
        expected = {self._name(key, era): version_of(ver) for key, ver in conditions.items()}
        written = {self._name(key, era): json.dumps(value) for key, value in puts.items()}
        version = await self._write(
            lambda: self._store.transact(conditions=expected, puts=written), era=era
        )
        revision = self._revision(version, era)
        return tuple(
            Row(key=key, version=revision, revision=revision, value=json.loads(json.dumps(value)))
            for key, value in puts.items()
        )

    async def drop_earlier_rows(self, prefix: str) -> int:
        """Remove the rows with a prefix that were written in earlier eras; return their number."""
        _, rows = await self.stored(prefix)
        era = self.era
        removals = tuple(name for name in rows if self._key_and_era(name)[1] < era)
        if removals:
            await self._write(
                lambda: self._store.transact(conditions={}, puts={}, removals=removals), era=era
            )
        return len(removals)

    async def _write(self, operation: Callable[[], int], *, era: int) -> int:
        try:
            answer = await self._call(operation, is_write=True)
        except _NoAnswerError as exc:
            raise WriteOutcomeUnknownError("no answer", step="table.transact") from exc
        self._note_era(answer.era)
        if self._knows_eras and self.era != era:
            raise StoreRestoredError("the era rose during the call", keys=(), step="table.transact")
        if answer.exc is not None:
            raise answer.exc
        return int(answer.result)

    async def _call(self, operation: Callable[[], Any], *, is_write: bool = False) -> _Answer:
        await self._send()
        answer = _Answer()
        self._nursery.start_soon(self._carry_out, operation, answer, is_write)
        with trio.move_on_after(CALL_TIMEOUT_S):
            await answer.arrived.wait()
        if self.faults.paused is not None:
            await self.faults.paused.wait()
        if not answer.arrived.is_set():
            raise _NoAnswerError
        if isinstance(answer.exc, PlatformUnavailableError):
            raise answer.exc
        return answer

    async def _send(self) -> None:
        """Raise an error if the call does not leave this host."""
        if self.faults.paused is not None:
            await self.faults.paused.wait()
            raise PlatformUnavailableError("not sent", step="table.call")
        if self.faults.cut_off:
            await trio.sleep(CONNECT_TIMEOUT_S)
            raise PlatformUnavailableError("the store is unreachable", step="table.call")

    async def _carry_out(
        self, operation: Callable[[], Any], answer: _Answer, is_write: bool
    ) -> None:
        await trio.sleep(self._rng.uniform(0.002, 0.01))
        if (not self._store.up and self._rng.random() < 0.8) or self.faults.refused:
            answer.exc = PlatformUnavailableError("refused", step="table.call")
            answer.arrived.set()
            return
        if is_write and self._rng.random() < self.faults.late:
            await trio.sleep(self._rng.uniform(0.0, self.faults.late_s))
        while not self._store.up:
            await self._store.up_again.wait()
            await trio.sleep(self._rng.uniform(0.0, 0.5))
        answer.era = self._store.era
        try:
            answer.result = operation()
        except ConditionFailedError as exc:
            answer.exc = exc
        await trio.sleep(self._rng.uniform(0.002, 0.01))
        if self.faults.cut_off or (is_write and self._rng.random() < self.faults.lost):
            return
        answer.arrived.set()

    def _note_era(self, era: int) -> None:
        if not self._knows_eras or (self._era is not None and era <= self._era):
            return
        self._restored = self._era is not None
        self._copy_revision = 0
        self._era = era

    def _revision(self, version: int, era: int) -> int:
        return revision_of(era, version) if self._knows_eras else version

    def _era_of(self, revision: int) -> int:
        return era_of(revision) if self._knows_eras else self.era

    def _name(self, key: str, era: int) -> str:
        return f"{key}@{era}" if self._knows_eras and era > 0 else key

    def _key_and_era(self, name: str) -> tuple[str, int]:
        key, _, era = name.partition("@")
        return key, int(era or 0)

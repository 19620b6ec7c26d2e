"""Records of requests that must run at most once."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from acaciasaddle.dispatch._uuid7 import minted_at
from acaciasaddle.errors import Outcome
from acaciasaddle.errors import RefusedError
from acaciasaddle.errors import RequestError
from acaciasaddle.model import Headers
from acaciasaddle.model import OnceRecord
from acaciasaddle.model import OnceState
from acaciasaddle.model import UnitId
from acaciasaddle.model import UpstreamId

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    from acaciasaddle.clock import Clock
    from acaciasaddle.config import Rules

RecordKey = tuple[str, str, str]
"""Service, caller and idempotency key."""

DEFAULT_MEMORY_LIMIT = 32 * 1024 * 1024
"""Bytes that all records of a process may take."""

RECORD_OVERHEAD = 700
"""Bytes of a record without headers and body: objects, strings and table entries."""

NOT_RUN_STATUS = 0
"""A ``completed`` record with this status says that the request did not run after all."""

STEP = "dispatch.once"

ENDED = trio.Event()
ENDED.set()


@dataclass(slots=True, kw_only=True, eq=False)
class OnceEntry:
    """A record and its run. ``state`` is ``None`` until the request may have been sent.

    ``work_key`` is the key that the request works on, ``None`` if another host began it.
    ``copied`` is true if the successor may know of it, ``left_out`` if an export did not name
    it. ``created`` is a reading of the clock, ``size`` the memory taken, in bytes.
    """

    key: RecordKey
    unit: UnitId
    upstream: UpstreamId
    created: float
    state: OnceState | None = None
    status: int = 0
    headers: Headers = ()
    body: bytes | None = None
    running: bool = False
    work_key: str | None = None
    copied: bool = False
    left_out: bool = False
    ended: trio.Event = ENDED
    size: int = 0

    def record(self, now: float) -> OnceRecord:
        """Return the record as sent to other hosts."""
        return OnceRecord(
            unit=self.unit,
            caller=self.key[1],
            idempotency_key=self.key[2],
            state=self.state or OnceState.STARTED,
            age_ms=int((now - self.created) * 1000),
            status=self.status,
            headers=self.headers,
            body=self.body,
        )

    def not_run_record(self, now: float) -> OnceRecord:
        """Return the record that makes other hosts forget this one."""
        return OnceRecord(
            unit=self.unit,
            caller=self.key[1],
            idempotency_key=self.key[2],
            state=OnceState.COMPLETED,
            age_ms=int((now - self.created) * 1000),
            status=NOT_RUN_STATUS,
        )


class OnceRecords:
    """Records of this host, by service, caller and idempotency key."""

    def __init__(
        self,
        *,
        clock: Clock,
        rules: Callable[[], Rules],
        memory_since: Callable[[UpstreamId], float],
        memory_limit: int = DEFAULT_MEMORY_LIMIT,
    ) -> None:
        self._clock = clock
        self._rules = rules
        self._memory_since = memory_since
        self._memory_limit = memory_limit
        self._entries: OrderedDict[RecordKey, OnceEntry] = OrderedDict()
        self._by_unit: dict[UnitId, dict[RecordKey, OnceEntry]] = {}
        self._with_body: OrderedDict[RecordKey, OnceEntry] = OrderedDict()
        self._memory = 0
        self._evicted: dict[UpstreamId, float] = {}

    @property
    def memory(self) -> int:
        """Estimated memory taken by the records, in bytes."""
        return self._memory

    def memory_since(self, upstream: UpstreamId) -> float:
        """Return the time of day before which records of an upstream may be missing."""
        evicted = self._evicted.get(upstream)
        since = self._memory_since(upstream)
        # Keys are compared with this time plus the skew; an evicted record's key is exact.
        return since if evicted is None else max(since, evicted - self._rules().clock_skew_s)

    def claim(
        self, *, upstream: UpstreamId, unit: UnitId, caller: str, key: str, work_key: str
    ) -> tuple[OnceEntry, bool]:
        """Return the entry of a request, and whether it is a new one that the caller is to run.

        Raises ``RequestError`` for a key that is no UUIDv7 or from the future, and
        ``RefusedError`` (unknown) if the request may have run without a record left.
        """
        minted = minted_at(key)
        self._expire()
        record_key = (unit.service, caller, key)
        entry = self._entries.get(record_key)
        if entry is not None:
            return entry, False
        self._check_age(upstream, minted)
        entry = OnceEntry(
            key=record_key,
            unit=unit,
            upstream=upstream,
            created=self._clock.now(),
            ended=trio.Event(),
            running=True,
            work_key=work_key,
        )
        self._add(entry)
        return entry, True

    def complete(
        self, entry: OnceEntry, *, status: int, headers: Headers, body: bytes | None
    ) -> None:
        """Record the answer."""
        if self._entries.get(entry.key) is entry:
            self._memory -= entry.size
        entry.state = OnceState.COMPLETED
        entry.status = status
        entry.headers = headers
        entry.body = body
        if self._entries.get(entry.key) is entry:
            entry.size = _size(entry)
            self._memory += entry.size
            if body:
                self._with_body[entry.key] = entry
        self._end(entry)
        self._shrink()

    def lose(self, entry: OnceEntry) -> None:
        """Record that the request may have run."""
        entry.state = OnceState.UNKNOWN
        self._end(entry)

    def forget(self, entry: OnceEntry) -> None:
        """Remove the record of a request that did not run, so that a repeat may run."""
        self._drop(entry)
        self._end(entry)

    def export(
        self, *, upstream: UpstreamId, units: Iterable[UnitId] | None
    ) -> tuple[OnceRecord, ...]:
        """Return the records of some units, or of all units of an upstream."""
        self._expire()
        now = self._clock.now()
        records = []
        for entry in self._of_upstream(upstream) if units is None else self._of_units(units):
            if entry.state is None:
                entry.left_out = True
            else:
                records.append(entry.record(now))
        return tuple(records)

    def take(self, *, upstream: UpstreamId, records: Iterable[OnceRecord]) -> None:
        """Add records from another host. A known answer is never replaced by ``unknown``."""
        now = self._clock.now()
        for record in records:
            key = (record.unit.service, record.caller, record.idempotency_key)
            completed = record.state is OnceState.COMPLETED
            not_run = completed and record.status == NOT_RUN_STATUS
            old = self._entries.get(key)
            if old is not None and old.running:
                continue
            if old is not None and (old.state is OnceState.COMPLETED or not completed):
                old.upstream = upstream
                continue
            if old is not None:
                self._drop(old)
            if not_run:
                continue
            self._add(
                OnceEntry(
                    key=key,
                    unit=record.unit,
                    upstream=upstream,
                    created=now - record.age_ms / 1000,
                    state=OnceState.COMPLETED if completed else OnceState.UNKNOWN,
                    status=record.status,
                    headers=record.headers,
                    body=record.body,
                )
            )

    def _of_upstream(self, upstream: UpstreamId) -> Iterator[OnceEntry]:
        return (entry for entry in self._entries.values() if entry.upstream == upstream)

    def _of_units(self, units: Iterable[UnitId]) -> Iterator[OnceEntry]:
        """Return the entries that go with some units.

        A key that was pinned or unpinned since has entries under its former unit. If the key
        is not known they go with either: a record too many does no harm.
        """
        found: dict[int, OnceEntry] = {}
        pins = [unit for unit in self._by_unit if unit.is_pin]
        shards = [unit for unit in self._by_unit if not unit.is_pin]
        for unit in units:
            for entry in self._by_unit.get(unit, {}).values():
                found[id(entry)] = entry
            for other in shards if unit.is_pin else pins:
                if (other.service, other.group) != (unit.service, unit.group):
                    continue
                for entry in self._by_unit[other].values():
                    if other.is_pin or entry.work_key in (None, unit.key):
                        found[id(entry)] = entry
        return iter(found.values())

    def _check_age(self, upstream: UpstreamId, minted: float) -> None:
        rules = self._rules()
        now = self._clock.wall()
        if minted > now + rules.clock_skew_s:
            raise RequestError(
                "the timestamp of the idempotency key lies in the future", status=400, step=STEP
            )
        if minted < now - rules.once_window_s:
            raise _unknown(
                f"the idempotency key is older than {rules.once_window_s:.0f} s", upstream
            )
        evicted = self._evicted.get(upstream)
        lost_before = self._memory_since(upstream) + rules.clock_skew_s
        if minted < lost_before or (evicted is not None and minted <= evicted):
            raise _unknown("records of that age may have been lost", upstream)

    def _add(self, entry: OnceEntry) -> None:
        entry.size = _size(entry)
        self._entries[entry.key] = entry
        self._by_unit.setdefault(entry.unit, {})[entry.key] = entry
        self._memory += entry.size
        if entry.body:
            self._with_body[entry.key] = entry
        self._shrink()

    def _drop(self, entry: OnceEntry) -> None:
        if self._entries.get(entry.key) is entry:
            del self._entries[entry.key]
            of_unit = self._by_unit[entry.unit]
            del of_unit[entry.key]
            if not of_unit:
                del self._by_unit[entry.unit]
            self._with_body.pop(entry.key, None)
            self._memory -= entry.size

    def _end(self, entry: OnceEntry) -> None:
        entry.running = False
        entry.ended.set()
        # An event of its own would take a third of the memory of a record.
        entry.ended = ENDED

    def _expire(self) -> None:
        # A key may be minted up to the skew ahead of the first use, and clocks differ by it.
        rules = self._rules()
        oldest = self._clock.now() - rules.once_window_s - 2 * rules.clock_skew_s
        while self._entries:
            entry = next(iter(self._entries.values()))
            if entry.running or entry.created >= oldest:
                return
            self._drop(entry)

    def _shrink(self) -> None:
        """Drop the oldest bodies, then the oldest records, until the limit is kept."""
        while self._memory > self._memory_limit and self._with_body:
            _, entry = self._with_body.popitem(last=False)
            entry.body = None
            self._memory -= entry.size
            entry.size = _size(entry)
            self._memory += entry.size
        if self._memory <= self._memory_limit:
            return
        excess = self._memory - self._memory_limit
        oldest = []
        for entry in self._entries.values():
            if excess <= 0:
                break
            if not entry.running:
                oldest.append(entry)
                excess -= entry.size
        for entry in oldest:
            self._drop(entry)
            minted = minted_at(entry.key[2])
            limit = self._evicted.get(entry.upstream, minted)
            self._evicted[entry.upstream] = max(limit, minted)


def _size(entry: OnceEntry) -> int:
    headers = sum(len(name) + len(value) + 100 for name, value in entry.headers)
    return RECORD_OVERHEAD + headers + len(entry.body or b"")


def _unknown(reason: str, upstream: UpstreamId) -> RefusedError:
    return RefusedError(reason, outcome=Outcome.UNKNOWN, status=504, step=STEP, peer=str(upstream))

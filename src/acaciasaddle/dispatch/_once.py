"""Records of requests that must run at most once."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
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

    ``copied`` is true if the successor may know of it, ``left_out`` if an export did not name
    it. ``minted`` is the time of day in the idempotency key, ``created`` a reading of the clock.
    """

    key: RecordKey
    unit: UnitId
    upstream: UpstreamId
    minted: float
    created: float
    state: OnceState | None = None
    status: int = 0
    headers: Headers = ()
    body: bytes | None = None
    running: bool = False
    copied: bool = False
    left_out: bool = False
    ended: trio.Event = field(default_factory=trio.Event)

    @property
    def size(self) -> int:
        """Memory taken, in bytes."""
        headers = sum(len(name) + len(value) + 100 for name, value in self.headers)
        return RECORD_OVERHEAD + headers + len(self.body or b"")

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
        self, *, upstream: UpstreamId, unit: UnitId, caller: str, key: str
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
            minted=minted,
            created=self._clock.now(),
            running=True,
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
        wanted = None if units is None else frozenset(units)
        records = []
        for entry in self._entries.values():
            if entry.upstream != upstream if wanted is None else entry.unit not in wanted:
                continue
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
            old = self._entries.get(key)
            if old is not None and old.running:
                continue
            not_run = record.state is OnceState.COMPLETED and record.status == NOT_RUN_STATUS
            completed = record.state is OnceState.COMPLETED and not not_run
            if old is not None and old.state is OnceState.COMPLETED and not completed:
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
                    minted=self._minted(record),
                    created=now - record.age_ms / 1000,
                    state=OnceState.COMPLETED if completed else OnceState.UNKNOWN,
                    status=record.status,
                    headers=record.headers,
                    body=record.body,
                )
            )

    def _minted(self, record: OnceRecord) -> float:
        try:
            return minted_at(record.idempotency_key)
        except RequestError:
            return self._clock.wall() - record.age_ms / 1000

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
        self._entries[entry.key] = entry
        self._memory += entry.size
        if entry.body:
            self._with_body[entry.key] = entry
        self._shrink()

    def _drop(self, entry: OnceEntry) -> None:
        if self._entries.get(entry.key) is entry:
            del self._entries[entry.key]
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
            self._memory -= len(entry.body or b"")
            entry.body = None
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
            limit = self._evicted.get(entry.upstream, entry.minted)
            self._evicted[entry.upstream] = max(limit, entry.minted)


def _unknown(reason: str, upstream: UpstreamId) -> RefusedError:
    return RefusedError(reason, outcome=Outcome.UNKNOWN, status=504, step=STEP, peer=str(upstream))

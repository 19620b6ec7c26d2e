"""Records of requests that must run at most once, with their responses for repeats."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from acaciasaddle.dispatch._uuid7 import uuid7_time
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

DEFAULT_MEMORY_LIMIT_BYTES = 32 * 1024 * 1024
"""Memory that the records of a process may take together."""

RECORD_OVERHEAD_BYTES = 700
"""Memory of a record without its headers and body: objects, strings and dictionary entries."""

NOT_RUN_STATUS = 0
"""Status of a ``completed`` record that tells other hosts that the request did not run."""

STEP = "dispatch.once"

SET_EVENT = trio.Event()
SET_EVENT.set()


@dataclass(slots=True, kw_only=True, eq=False)
class OnceEntry:
    """A record and the state of its request.

    ``state`` is ``None`` only while the request cannot have been sent. ``work_key`` is the key
    that the request works on, ``None`` if the record came from another host. ``copy_sent`` is
    true if the successor may have a copy, ``skipped_in_export`` if an export left the record
    out. ``created`` is a reading of the clock, ``size`` the estimated memory in bytes. ``ended``
    is set once the request is no longer running.
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
    copy_sent: bool = False
    skipped_in_export: bool = False
    ended: trio.Event = SET_EVENT
    size: int = 0

    def record(self, now: float) -> OnceRecord:
        """Return the record in the form that is sent to other hosts."""
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
        """Return the record that has other hosts delete their copies of this one."""
        return OnceRecord(
            unit=self.unit,
            caller=self.key[1],
            idempotency_key=self.key[2],
            state=OnceState.COMPLETED,
            age_ms=int((now - self.created) * 1000),
            status=NOT_RUN_STATUS,
        )


class OnceRecords:
    """Records of this host, by service, caller and idempotency key.

    ``memory_since`` returns the time of day before which records of an upstream may be missing.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rules: Callable[[], Rules],
        memory_since: Callable[[UpstreamId], float],
        memory_limit: int = DEFAULT_MEMORY_LIMIT_BYTES,
    ) -> None:
        self._clock = clock
        self._rules = rules
        self._memory_since = memory_since
        self._memory_limit = memory_limit
        self._entries: OrderedDict[RecordKey, OnceEntry] = OrderedDict()
        self._by_unit: dict[UnitId, dict[RecordKey, OnceEntry]] = {}
        self._with_body: OrderedDict[RecordKey, OnceEntry] = OrderedDict()
        self._memory_bytes = 0
        self._evicted_until: dict[UpstreamId, float] = {}

    @property
    def memory_bytes(self) -> int:
        """Estimated memory taken by the records, in bytes."""
        return self._memory_bytes

    def memory_since(self, upstream: UpstreamId) -> float:
        """Return the time of day before which records of an upstream may be missing."""
        evicted_until = self._evicted_until.get(upstream)
        since = self._memory_since(upstream)
        # Users of this time add the clock skew to it, as ``_check_age`` does. The bound of evicted
        # records is the time in a key, which is exact, so the skew is subtracted in advance.
        return (
            since
            if evicted_until is None
            else max(since, evicted_until - self._rules().clock_skew_s)
        )

    def claim(
        self,
        *,
        upstream: UpstreamId,
        unit: UnitId,
        caller: str,
        idempotency_key: str,
        work_key: str,
    ) -> tuple[OnceEntry, bool]:
        """Return the entry of a request and whether it is new. If so, the request may be run.

        Raises ``RequestError`` if ``idempotency_key`` is not a UUIDv7 or is from the future, and
        ``RefusedError`` (unknown) if the request may have run and its record is gone.
        """
        key_time = uuid7_time(idempotency_key)
        self._expire()
        record_key = (unit.service, caller, idempotency_key)
        entry = self._entries.get(record_key)
        if entry is not None:
            return entry, False
        self._check_age(upstream, key_time)
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
        """Record the response to a request, which is then no longer running."""
        if self._entries.get(entry.key) is entry:
            self._memory_bytes -= entry.size
        entry.state = OnceState.COMPLETED
        entry.status = status
        entry.headers = headers
        entry.body = body
        if self._entries.get(entry.key) is entry:
            entry.size = _size(entry)
            self._memory_bytes += entry.size
            if body:
                self._with_body[entry.key] = entry
        self._end(entry)
        self._enforce_memory_limit()

    def mark_unknown(self, entry: OnceEntry) -> None:
        """Record that the request may have run, with an unknown result."""
        entry.state = OnceState.UNKNOWN
        self._end(entry)

    def forget(self, entry: OnceEntry) -> None:
        """Delete the record of a request that did not run, so that a repeat may run."""
        self._drop(entry)
        self._end(entry)

    def export(
        self, *, upstream: UpstreamId, units: Iterable[UnitId] | None
    ) -> tuple[OnceRecord, ...]:
        """Return the records of some units, or of all units of an upstream with ``None``.

        Records without a state are skipped, since their requests cannot have been sent, and marked
        as ``skipped_in_export``.
        """
        self._expire()
        now = self._clock.now()
        records = []
        for entry in (
            self._upstream_entries(upstream) if units is None else self._unit_entries(units)
        ):
            if entry.state is None:
                entry.skipped_in_export = True
            else:
                records.append(entry.record(now))
        return tuple(records)

    def merge(self, *, upstream: UpstreamId, records: Iterable[OnceRecord]) -> None:
        """Add records from another host, ``started`` ones as ``unknown``.

        The record of a request that is running here or has a known response is never replaced. The
        record of a request that did not run deletes an ``unknown`` one.
        """
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

    def _upstream_entries(self, upstream: UpstreamId) -> Iterator[OnceEntry]:
        return (entry for entry in self._entries.values() if entry.upstream == upstream)

    def _unit_entries(self, units: Iterable[UnitId]) -> Iterator[OnceEntry]:
        """Return the entries of some units, including those of keys pinned or unpinned later.

        The entries of such a key are still stored under its former unit. For a pin, entries of
        the group's shards are included if their key is that of the pin or unknown; for a shard,
        the entries of all pins of the group, since a surplus record does no harm.
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

    def _check_age(self, upstream: UpstreamId, key_time: float) -> None:
        rules = self._rules()
        now = self._clock.wall()
        if key_time > now + rules.clock_skew_s:
            raise RequestError(
                "the timestamp of the idempotency key lies in the future", status=400, step=STEP
            )
        if key_time < now - rules.once_window_s:
            raise _unknown_outcome(
                f"the idempotency key is older than {rules.once_window_s:.0f} s", upstream
            )
        evicted_until = self._evicted_until.get(upstream)
        lost_before = self._memory_since(upstream) + rules.clock_skew_s
        if key_time < lost_before or (evicted_until is not None and key_time <= evicted_until):
            raise _unknown_outcome(
                "records as old as the idempotency key may have been lost", upstream
            )

    def _add(self, entry: OnceEntry) -> None:
        entry.size = _size(entry)
        self._entries[entry.key] = entry
        self._by_unit.setdefault(entry.unit, {})[entry.key] = entry
        self._memory_bytes += entry.size
        if entry.body:
            self._with_body[entry.key] = entry
        self._enforce_memory_limit()

    def _drop(self, entry: OnceEntry) -> None:
        if self._entries.get(entry.key) is entry:
            del self._entries[entry.key]
            of_unit = self._by_unit[entry.unit]
            del of_unit[entry.key]
            if not of_unit:
                del self._by_unit[entry.unit]
            self._with_body.pop(entry.key, None)
            self._memory_bytes -= entry.size

    def _end(self, entry: OnceEntry) -> None:
        entry.running = False
        entry.ended.set()
        # An event of its own would take a third of the memory of an ended record.
        entry.ended = SET_EVENT

    def _expire(self) -> None:
        # A key may be dated ahead of its first use by up to the skew, and the clocks of two
        # hosts may differ by the skew, so records are kept for twice the skew beyond the window.
        rules = self._rules()
        oldest = self._clock.now() - rules.once_window_s - 2 * rules.clock_skew_s
        while self._entries:
            entry = next(iter(self._entries.values()))
            if entry.running or entry.created >= oldest:
                return
            self._drop(entry)

    def _enforce_memory_limit(self) -> None:
        """Delete the oldest bodies, then the oldest records, until the memory limit is met."""
        while self._memory_bytes > self._memory_limit and self._with_body:
            _, entry = self._with_body.popitem(last=False)
            entry.body = None
            self._memory_bytes -= entry.size
            entry.size = _size(entry)
            self._memory_bytes += entry.size
        if self._memory_bytes <= self._memory_limit:
            return
        excess = self._memory_bytes - self._memory_limit
        oldest = []
        for entry in self._entries.values():
            if excess <= 0:
                break
            if not entry.running:
                oldest.append(entry)
                excess -= entry.size
        for entry in oldest:
            self._drop(entry)
            key_time = uuid7_time(entry.key[2])
            evicted_until = self._evicted_until.get(entry.upstream, key_time)
            self._evicted_until[entry.upstream] = max(evicted_until, key_time)


def _size(entry: OnceEntry) -> int:
    headers = sum(len(name) + len(value) + 100 for name, value in entry.headers)
    return RECORD_OVERHEAD_BYTES + headers + len(entry.body or b"")


def _unknown_outcome(reason: str, upstream: UpstreamId) -> RefusedError:
    return RefusedError(reason, outcome=Outcome.UNKNOWN, status=504, step=STEP, peer=str(upstream))

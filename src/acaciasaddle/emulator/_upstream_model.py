"""Stand-in for an upstream, without HTTP."""

from __future__ import annotations

import hashlib
import random
import uuid
from collections import deque
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import NoReturn

import trio

from acaciasaddle.clock import BootClock
from acaciasaddle.emulator._journal import JournalHeader
from acaciasaddle.emulator._journal import LeavingEntry
from acaciasaddle.emulator._journal import NullJournal
from acaciasaddle.emulator._journal import RunEntry
from acaciasaddle.emulator._ownership_log import OwnershipLog
from acaciasaddle.emulator._records import RunRecord
from acaciasaddle.emulator._records import RunState
from acaciasaddle.emulator._records import UpstreamRecord
from acaciasaddle.emulator._upstream_types import CancelResult
from acaciasaddle.emulator._upstream_types import GrantResult
from acaciasaddle.emulator._upstream_types import GrantState
from acaciasaddle.emulator._upstream_types import LoadSample
from acaciasaddle.emulator._upstream_types import UpstreamFaults
from acaciasaddle.emulator._upstream_types import UpstreamState
from acaciasaddle.emulator._upstream_types import Work
from acaciasaddle.emulator._upstream_types import WorkRefusedError
from acaciasaddle.emulator._upstream_types import WorkResponse
from acaciasaddle.errors import Outcome

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Iterator

    from acaciasaddle.clock import Clock
    from acaciasaddle.emulator._journal import Journal
    from acaciasaddle.emulator._upstream_types import GrantOrder
    from acaciasaddle.emulator._upstream_types import UpstreamFaultOrder
    from acaciasaddle.emulator._upstream_types import UpstreamSettings

MAX_OFFSET_MS = 1e9
"""Upper limit of the random offset of an upstream's clock from CLOCK_BOOTTIME, about 12 days."""

IDLE_POLL_INTERVAL_S = 0.02


@dataclass(slots=True, kw_only=True, eq=False)
class _InProgress:
    """A work request between its arrival and its response.

    ``run_index`` is the index of its run in the record, or -1 before the run starts.
    """

    work: Work
    scope: trio.CancelScope
    has_slot: bool = False
    run_index: int = -1


class UpstreamModel:
    """Grants, slots, work and faults of an upstream, and the record of its ownership and runs.

    With ``TrioClock`` it has to be created and used inside a trio run, and can run on a mock clock.
    """

    def __init__(
        self,
        *,
        settings: UpstreamSettings,
        clock: Clock | None = None,
        offset_ms: float | None = None,
        journal: Journal | None = None,
    ) -> None:
        self.settings = settings
        self._journal = journal if journal is not None else NullJournal()
        self._journal.write(JournalHeader(name=settings.name, checks_orders=settings.checks_orders))
        self._clock = clock if clock is not None else BootClock()
        self._offset_ms = offset_ms if offset_ms is not None else random.uniform(0, MAX_OFFSET_MS)
        self.instance = uuid.uuid4().hex
        self._term = 0
        self._seq = 0
        self._ownership_log = OwnershipLog(offset_ms=self._offset_ms, journal=self._journal)
        self._slots = trio.Semaphore(settings.slots)
        self._in_progress: dict[str, _InProgress] = {}
        self._runs: list[RunRecord] = []
        self._leaving_at: float | None = None
        self._thawed = trio.Event()
        self._thawed.set()
        self._thaw_at: float | None = None
        self._samples: deque[tuple[float, LoadSample]] = deque()
        self.faults = UpstreamFaults(
            work_ms=settings.work_ms,
            lag_ms=settings.lag_ms,
            leave_grace_ms=settings.leave_grace_ms,
            cold_until=self.clock_ms() + settings.cold_ms,
        )
        self._take_sample()

    def clock_ms(self) -> float:
        """Return the time of the upstream's clock in milliseconds."""
        return round(self._clock.now() * 1000 + self._offset_ms, 3)

    @property
    def state(self) -> UpstreamState:
        """Current state. ``lag_ms`` does not apply to it."""
        if self._leaving_at is not None:
            return UpstreamState.LEAVING
        if self.clock_ms() < self.faults.cold_until:
            return UpstreamState.COLD
        return UpstreamState.READY

    @property
    def term(self) -> int:
        """Term of the last accepted order, which is the highest so far."""
        return self._term

    # Grants

    def grant(self, order: GrantOrder) -> GrantResult:
        """Apply a holder's order unless a later one has been accepted, and return the result."""
        now = self.clock_ms()
        self._ownership_log.expire(now)
        if (order.term, order.seq) < (self._term, self._seq):
            return GrantResult(accepted=False, state=self._grant_state(now))
        if order.valid_until is None or order.instance != self.instance:
            # The expiry in an order to an earlier process refers to the clock of that process. An
            # order without an expiry only asks for the state. Neither may raise ``seq`` within a
            # term, or a grant that is still in transit would be rejected as outdated.
            if order.term > self._term:
                self._term, self._seq = order.term, order.seq
            return GrantResult(accepted=True, state=self._grant_state(now))
        self._term, self._seq = order.term, order.seq
        if order.valid_until > now:
            if order.units is not None:
                self._ownership_log.replace(
                    units=order.units,
                    excluded=order.excluded or (),
                    holder=order.holder,
                    term=order.term,
                    now=now,
                )
            self._ownership_log.renew(order.valid_until)
        return GrantResult(accepted=True, state=self._grant_state(now))

    def _grant_state(self, now: float) -> GrantState:
        running_units = {item.work.unit for item in self._in_progress.values() if item.has_slot}
        return GrantState(
            instance=self.instance,
            clock=now,
            term=self._term,
            seq=self._seq,
            valid_until=self._ownership_log.valid_until,
            units=self._ownership_log.units,
            running=tuple(sorted(running_units)),
            state=self.state,
            slots=self.settings.slots,
        )

    # Work

    async def work(self, work: Work, body: AsyncIterator[bytes]) -> WorkResponse:
        """Run work and return the response.

        Work is checked on arrival and again when it has a slot. At-most-once work starts after its
        body has been read, and is checked again right before its start. Other work starts when it
        has a slot; its body is processed as it arrives. Raises ``WorkRefusedError`` if the work is
        refused or cancelled, and ``BodyCutError`` if its body is incomplete.
        """
        self._check(work)
        with self._track(work) as item:
            response = None
            with item.scope:
                await self._acquire_slot(item)
                try:
                    response = await self._run(item, body)
                finally:
                    self._release_slot(item)
            if response is None:
                self._raise_cancelled(item)
        return response

    async def _run(self, item: _InProgress, body: AsyncIterator[bytes]) -> WorkResponse:
        work = item.work
        await self.wait_thawed()
        self._check(work)
        if not work.idempotency_key:
            self._start_run(item)
        digest = hashlib.sha256()
        size = 0
        async for chunk in body:
            digest.update(chunk)
            size += len(chunk)
        await self.wait_thawed()
        if work.idempotency_key:
            self._check(work)
            self._start_run(item)
        await trio.sleep(self._service_time_s(work))
        await self.wait_thawed()
        self._end_run(item, RunState.COMPLETED)
        return WorkResponse(
            upstream=self.settings.name,
            request_id=work.request_id,
            idempotency_key=work.idempotency_key,
            key=work.key,
            unit=work.unit,
            method=work.method,
            path=work.target,
            body_bytes=size,
            body_sha256=digest.hexdigest(),
        )

    def _check(self, work: Work) -> None:
        """Raise ``WorkRefusedError`` unless the work may start now."""
        now = self.clock_ms()
        if self.settings.checks_orders:
            self._check_order(work, now)
        if self._leaving_at is not None and now >= self._leaving_at + self.faults.leave_grace_ms:
            raise _refused(503, "the upstream is leaving", "work.leaving")
        if self.faults.shed:
            raise _refused(503, "the upstream sheds load", "work.shed")
        if work.deadline is not None and now >= work.deadline:
            raise _refused(504, "the deadline has passed", "work.deadline")

    def _check_order(self, work: Work, now: float) -> None:
        self._ownership_log.expire(now)
        if work.term != self._term:
            raise _refused(
                421, f"term {work.term} is not the current term {self._term}", "work.term"
            )
        if not self._ownership_log.owns(work.unit):
            raise _refused(421, f"unit {work.unit!r} is not granted", "work.unit")
        if self._ownership_log.excludes(work.unit, work.key):
            raise _refused(421, f"key {work.key!r} is excluded from its shard", "work.unit")

    @contextmanager
    def _track(self, work: Work) -> Iterator[_InProgress]:
        item = _InProgress(work=work, scope=trio.CancelScope())
        self._in_progress[work.request_id] = item
        try:
            yield item
        finally:
            if self._in_progress.get(work.request_id) is item:
                del self._in_progress[work.request_id]
            if item.run_index >= 0 and self._runs[item.run_index].state is RunState.RUNNING:
                self._end_run(item, RunState.DROPPED)
            self._take_sample()

    async def _acquire_slot(self, item: _InProgress) -> None:
        try:
            self._slots.acquire_nowait()
        except trio.WouldBlock:
            if self._slots.statistics().tasks_waiting >= self.settings.queue:
                raise _refused(503, "all slots and the queue are full", "work.queue") from None
            self._take_sample()
            deadline = item.work.deadline
            wait_s = float("inf") if deadline is None else (deadline - self.clock_ms()) / 1000
            with trio.move_on_after(max(0.0, wait_s)) as scope:
                await self._slots.acquire()
            if scope.cancelled_caught:
                raise _refused(504, "the deadline passed in the queue", "work.queue") from None
        item.has_slot = True
        self._take_sample()

    def _release_slot(self, item: _InProgress) -> None:
        item.has_slot = False
        self._slots.release()
        self._take_sample()

    def _service_time_s(self, work: Work) -> float:
        work_ms = work.work_ms if work.work_ms is not None else self.faults.work_ms
        factor = self.settings.cold_factor if self.clock_ms() < self.faults.cold_until else 1.0
        return work_ms * factor / 1000

    def _start_run(self, item: _InProgress) -> None:
        now = self.clock_ms()
        item.run_index = len(self._runs)
        self._runs.append(
            RunRecord(
                request_id=item.work.request_id,
                idempotency_key=item.work.idempotency_key,
                key=item.work.key,
                unit=item.work.unit,
                term=item.work.term or 0,
                state=RunState.RUNNING,
                start_ms=now,
                boot_start_ms=now - self._offset_ms,
            )
        )
        self._journal.write(RunEntry(index=item.run_index, run=self._runs[item.run_index]))

    def _end_run(self, item: _InProgress, state: RunState) -> None:
        if item.run_index < 0:
            return
        now = self.clock_ms()
        self._runs[item.run_index] = replace(
            self._runs[item.run_index], state=state, end_ms=now, boot_end_ms=now - self._offset_ms
        )
        self._journal.write(RunEntry(index=item.run_index, run=self._runs[item.run_index]))

    @staticmethod
    def _raise_cancelled(item: _InProgress) -> NoReturn:
        if item.run_index < 0:
            raise _refused(503, "the request was cancelled before it ran", "work.cancel")
        raise WorkRefusedError(
            "the request was cancelled while it ran",
            status=503,
            outcome=Outcome.UNKNOWN,
            step="work.cancel",
        )

    def cancel(self, request_id: str) -> CancelResult:
        """Cancel a request. At-most-once work is not interrupted once it has started."""
        item = self._in_progress.get(request_id)
        if item is None:
            return CancelResult.ABSENT
        if item.run_index < 0:
            item.scope.cancel()
            return CancelResult.NOT_RUN
        if item.work.idempotency_key:
            return CancelResult.RUNNING
        item.scope.cancel()
        return CancelResult.DROPPED

    # Faults and draining

    def set_faults(self, order: UpstreamFaultOrder) -> None:
        """Set the faults that the order contains; the others stay as they are."""
        now = self.clock_ms()
        for name in ("misleading", "shed", "work_ms", "lag_ms", "leave_grace_ms"):
            value = getattr(order, name)
            if value is not None:
                setattr(self.faults, name, value)
        if order.cold_ms is not None:
            self.faults.cold_until = now + order.cold_ms
        if order.leaving is not None:
            self._set_leaving(leaving=order.leaving)
        if order.freeze_ms is not None:
            self.freeze()
            self._thaw_at = now + order.freeze_ms
        elif order.frozen:
            self.freeze()
        elif order.frozen is False:
            self.thaw()
        self._take_sample()

    def freeze(self) -> None:
        """Suspend the upstream until ``thaw`` is called or the time of ``freeze_ms`` has passed."""
        if self._thawed.is_set():
            self._thawed = trio.Event()

    def thaw(self) -> None:
        """Continue after ``freeze``. Leases may have expired in between."""
        self._thaw_at = None
        self._thawed.set()

    async def wait_thawed(self) -> None:
        """Wait while the upstream is frozen."""
        while not self._thawed.is_set():
            if self._thaw_at is None:
                await self._thawed.wait()
                continue
            wait_s = max(0.0, (self._thaw_at - self.clock_ms()) / 1000)
            with trio.move_on_after(wait_s):
                await self._thawed.wait()
            if self._thaw_at is not None and self.clock_ms() >= self._thaw_at:
                self.thaw()

    def leave(self) -> None:
        """Start to leave: new work is refused after ``leave_grace_ms``."""
        self._set_leaving(leaving=True)
        self._take_sample()

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        while self._in_progress:
            await trio.sleep(IDLE_POLL_INTERVAL_S)

    def _set_leaving(self, *, leaving: bool) -> None:
        if not leaving:
            self._leaving_at = None
        elif self._leaving_at is None:
            self._leaving_at = self.clock_ms()
            boot_ms = self._leaving_at - self._offset_ms
            self._journal.write(LeavingEntry(leaving_boot_ms=boot_ms))

    # Health, load and record

    def lagging_sample(self) -> LoadSample:
        """Return health and load as they were ``lag_ms`` ago.

        With the fault ``misleading`` they are always those of a ready, idle upstream.
        """
        if self.faults.misleading:
            return LoadSample(state=UpstreamState.READY, busy=0, queued=0)
        self._take_sample()
        visible = self.clock_ms() - self.faults.lag_ms
        while len(self._samples) > 1 and self._samples[1][0] <= visible:
            self._samples.popleft()
        return self._samples[0][1]

    def _take_sample(self) -> None:
        now = self.clock_ms()
        busy = sum(item.has_slot for item in self._in_progress.values())
        sample = LoadSample(
            state=self.state, busy=busy, queued=self._slots.statistics().tasks_waiting
        )
        while len(self._samples) > 1 and self._samples[1][0] <= now - self.faults.lag_ms:
            self._samples.popleft()
        if not self._samples or self._samples[-1][1] != sample:
            self._samples.append((now, sample))

    def record(self) -> UpstreamRecord:
        """Return the record of the ownership and the runs so far."""
        now = self.clock_ms()
        self._ownership_log.expire(now)
        leaving = self._leaving_at
        return UpstreamRecord(
            name=self.settings.name,
            checks_orders=self.settings.checks_orders,
            boot_ms=now - self._offset_ms,
            leaving_boot_ms=None if leaving is None else leaving - self._offset_ms,
            owned=self._ownership_log.record(),
            runs=tuple(self._runs),
        )


def _refused(status: int, reason: str, step: str) -> WorkRefusedError:
    return WorkRefusedError(reason, status=status, outcome=Outcome.NOT_RUN, step=step)

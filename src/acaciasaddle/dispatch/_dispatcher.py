"""The dispatcher of an entry host."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpcore
import trio

from acaciasaddle.dispatch._api import Dispatcher
from acaciasaddle.dispatch._api import UpstreamLoad
from acaciasaddle.dispatch._exchange import Exchange
from acaciasaddle.dispatch._job import Job
from acaciasaddle.dispatch._once import DEFAULT_MEMORY_LIMIT
from acaciasaddle.dispatch._once import OnceRecords
from acaciasaddle.dispatch._streams import STALL_LIMIT_S
from acaciasaddle.dispatch._streams import Answer
from acaciasaddle.dispatch._streams import Upload
from acaciasaddle.dispatch._target import Target
from acaciasaddle.dispatch._waiting import Waiting
from acaciasaddle.errors import AcaciasaddleError
from acaciasaddle.errors import NotOwnerError
from acaciasaddle.errors import Outcome
from acaciasaddle.errors import RefusedError
from acaciasaddle.errors import RequestError
from acaciasaddle.errors import UpstreamError
from acaciasaddle.model import OnceState
from acaciasaddle.observe import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from acaciasaddle.clock import Clock
    from acaciasaddle.config import Rules
    from acaciasaddle.dispatch._once import OnceEntry
    from acaciasaddle.model import BodySource
    from acaciasaddle.model import OnceRecord
    from acaciasaddle.model import ReplySink
    from acaciasaddle.model import UnitId
    from acaciasaddle.model import UpstreamId
    from acaciasaddle.model import WorkRequest
    from acaciasaddle.observe import Metrics
    from acaciasaddle.ownership import Authority
    from acaciasaddle.ownership import Permit

MAX_ATTEMPTS = 3
"""Attempts per request: a stale connection, a bad new one, and one more."""

REPLICATION_IN_SLOT_S = 0.05
"""A copy takes one round trip, 3 ms at most; a slot is not kept for a silent successor."""

ANSWER_GRACE_S = 0.25
"""Time after the deadline during which an answer on its way may still arrive."""

ONCE_ANSWER_GRACE_S = 5.0
"""The same for work that must run once, whose outcome is wanted even if it is late."""

MIN_PATIENCE_S = 0.25
"""Shortest wait for an answer before a request is repeated on a new connection."""

PATIENCE_FACTOR = 8.0
"""Wait for an answer on an old connection, in observed service times."""

SHORT_UPLOAD_STALL_S = 5.0
"""Stall limit for bodies that are not bulky: a stalled body occupies a slot."""

SWEEP_INTERVAL_S = 5.0

REPLAYED = ("Acaciasaddle-Replayed", "true")

STEP = "dispatch.serve"


class LocalDispatcher(Dispatcher):
    """Dispatches to the upstreams that this host holds.

    ``rules`` returns the rules in force.
    """

    def __init__(
        self,
        *,
        authority: Authority,
        clock: Clock,
        metrics: Metrics,
        rules: Callable[[], Rules],
        backend: httpcore.AsyncNetworkBackend | None = None,
        once_memory_limit: int = DEFAULT_MEMORY_LIMIT,
    ) -> None:
        self._authority = authority
        self._clock = clock
        self._metrics = metrics
        self._rules = rules
        self._backend = backend or httpcore.TrioBackend()
        self._once = OnceRecords(
            clock=clock,
            rules=rules,
            memory_since=authority.memory_since,
            memory_limit=once_memory_limit,
        )
        self._targets: dict[UpstreamId, Target] = {}
        self._jobs: dict[Job, None] = {}
        self._held: set[UnitId] = set()
        self._in_progress: dict[UnitId, dict[Waiting, None]] = {}
        self._changed = trio.Event()
        self._nursery: trio.Nursery | None = None
        self._log = get_logger("dispatch")

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            try:
                while True:
                    await trio.sleep(SWEEP_INTERVAL_S)
                    for target in list(self._targets.values()):
                        await target.connections.close_idle()
            finally:
                for target in self._targets.values():
                    await target.connections.close_all()

    async def stop(self) -> None:
        await self.drain()

    async def serve(self, req: WorkRequest, body: BodySource, reply: ReplySink) -> None:
        if req.unit not in self._held:
            self._authority.permit(req.upstream, req.unit)
        job = self._job(req, body, reply)
        if not req.once:
            with job.scope:
                await self._tracked(job)
            if job.scope.cancelled_caught:
                raise self._interrupted(job)
            return
        if not await self._claim(job, reply):
            return
        # Runs in a task of its own, since its result is kept even if the caller goes away.
        self._background.start_soon(self._run_once, job)
        try:
            await job.ended.wait()
        except trio.Cancelled:
            job.abandon()
            raise
        if job.error is not None:
            raise job.error

    def hold(self, unit: UnitId) -> None:
        self._held.add(unit)
        for target in self._targets.values():
            target.queue.hold(unit)

    async def drained(self, unit: UnitId) -> None:
        while self._in_progress.get(unit):
            await self._changed.wait()

    def bulky_running(self, unit: UnitId) -> int:
        return sum(item.bulky for item in self._in_progress.get(unit, ()))

    def resume(self, unit: UnitId) -> None:
        self._held.discard(unit)
        for upstream, target in self._targets.items():
            if not target.queue.holds(unit):
                continue
            try:
                permit = self._authority.permit(upstream, unit)
            except NotOwnerError:
                target.queue.reject(unit)
                continue
            target.queue.resume(unit)
            self._configure(target, permit)

    def reject(self, unit: UnitId) -> None:
        self._held.discard(unit)
        for target in self._targets.values():
            target.queue.reject(unit)

    def upstream_lost(self, upstream: UpstreamId) -> None:
        for job in [job for job in self._jobs if job.req.upstream == upstream and job.waiting]:
            job.lose()

    def export_records(
        self, upstream: UpstreamId, units: Iterable[UnitId] | None
    ) -> tuple[OnceRecord, ...]:
        return self._once.export(upstream=upstream, units=units)

    def import_records(self, upstream: UpstreamId, records: Iterable[OnceRecord]) -> None:
        self._once.take(upstream=upstream, records=records)

    def memory_since(self, upstream: UpstreamId) -> float:
        """Return the time of day, in seconds, before which records may be missing.

        Later than what the authority says if records were evicted for lack of memory. Goes
        with exported records.
        """
        return self._once.memory_since(upstream)

    def load(self, upstream: UpstreamId) -> UpstreamLoad:
        target = self._targets.get(upstream)
        if target is None:
            return UpstreamLoad(busy=0.0, queued=0, unit_busy={})
        return target.queue.load()

    async def drain(self) -> None:
        while self._jobs or any(self._in_progress.values()):
            await self._changed.wait()

    @property
    def _background(self) -> trio.Nursery:
        if self._nursery is None:
            raise AcaciasaddleError("the dispatcher does not run", step=STEP)
        return self._nursery

    def _job(self, req: WorkRequest, body: BodySource, reply: ReplySink) -> Job:
        rules = self._rules()
        kind = next(
            (k for k in rules.kinds if k.name == req.kind and k.service == req.service), None
        )
        ranks = [rank.name for rank in rules.ranks]
        return Job(
            req=req,
            target=self._target(req.upstream),
            upload=Upload(
                source=body,
                length=req.body_length,
                stall_limit=STALL_LIMIT_S if req.bulky else SHORT_UPLOAD_STALL_S,
            ),
            answer=Answer(sink=reply, keep=req.once),
            deadline=self._clock.now() + req.budget_ms / 1000,
            may_repeat=not req.once and kind is not None and kind.idempotent,
            rank=ranks.index(req.rank) if req.rank in ranks else max(0, len(ranks) - 1),
        )

    def _target(self, upstream: UpstreamId) -> Target:
        target = self._targets.get(upstream)
        if target is None:
            target = Target(
                upstream=upstream,
                clock=self._clock,
                metrics=self._metrics,
                rules=self._rules(),
                authority=self._authority,
                backend=self._backend,
            )
            self._targets[upstream] = target
            self._background.start_soon(target.replicator.run)
        return target

    async def _claim(self, job: Job, reply: ReplySink) -> bool:
        """Claim the record of a request; returns whether it is to run.

        A repeat waits for the first run and is answered from its record.
        """
        req = job.req
        while True:
            entry, is_new = self._once.claim(
                upstream=req.upstream, unit=req.unit, caller=req.caller, key=req.idempotency_key
            )
            if is_new:
                job.entry = entry
                return True
            if entry.running:
                with trio.move_on_after(max(0.0, job.deadline - self._clock.now())):
                    await entry.ended.wait()
                if entry.running:
                    raise self._refused(req, "the first run is in progress", Outcome.UNKNOWN, 409)
                continue
            await self._replay(req, entry, reply)
            return False

    async def _replay(self, req: WorkRequest, entry: OnceEntry, reply: ReplySink) -> None:
        if entry.state is not OnceState.COMPLETED:
            raise self._refused(req, "an earlier run may have happened", Outcome.UNKNOWN, 504)
        if entry.body is None:
            raise self._refused(
                req,
                f"an earlier run completed with status {entry.status}; its answer was too large "
                "to keep",
                Outcome.COMPLETED,
                409,
            )
        self._log.info(
            "Answered from record.", request=req.request_id, unit=str(req.unit), status=entry.status
        )
        self._metrics.count("dispatch.replayed")
        await reply.head(entry.status, (*entry.headers, REPLAYED))
        if entry.body:
            await reply.data(entry.body)
        await reply.end()

    async def _run_once(self, job: Job) -> None:
        entry = job.entry
        assert entry is not None
        try:
            with job.scope:
                await self._tracked(job)
            if job.scope.cancelled_caught:
                raise self._interrupted(job)
        except Exception as exc:
            job.error = exc
        finally:
            self._settle(job, entry)
            if job.error is None and not job.answer.complete:
                job.error = self._interrupted(job)
            job.ended.set()

    def _settle(self, job: Job, entry: OnceEntry) -> None:
        """Bring the record of a finished run up to date, here and at the successor."""
        replicated = entry.state is not None
        answer = job.answer
        now = self._clock.now()
        if answer.complete:
            self._once.complete(
                entry, status=answer.status, headers=answer.headers, body=answer.body
            )
            job.target.replicator.put(entry.record(now), urgent=False)
            return
        if job.sent:
            self._once.lose(entry)
            return
        self._once.forget(entry)
        if replicated:
            job.target.replicator.put(entry.not_run_record(now), urgent=False)

    async def _tracked(self, job: Job) -> None:
        self._jobs[job] = None
        try:
            await self._attempts(job)
        except AcaciasaddleError as exc:
            self._log.info(
                "Request failed.",
                request=job.req.request_id,
                unit=str(job.req.unit),
                upstream=str(job.req.upstream),
                reason=str(exc),
            )
            raise
        finally:
            del self._jobs[job]
            self._notify()

    async def _attempts(self, job: Job) -> None:
        """Get a slot and try until the request is answered or must not be tried again."""
        target = job.target
        target.retries.earn(self._rules().retry_budget)
        await self._get_slot(job)
        try:
            while True:
                job.attempts += 1
                try:
                    await self._attempt(job)
                    return
                except UpstreamError as exc:
                    if not self._may_retry(job, exc):
                        raise self._failed(exc) from exc
                    self._metrics.count("dispatch.retried")
                    self._log.info(
                        "Retrying request.",
                        request=job.req.request_id,
                        unit=str(job.req.unit),
                        upstream=str(job.req.upstream),
                        reason=str(exc),
                    )
                    # The retry keeps the slot: the first attempt is most likely dead.
                    if job.unsettled is not None:
                        self._background.start_soon(
                            self._cancel_at_upstream, target, None, job.unsettled
                        )
                    job.unsettled = None
                    job.sent = False
        finally:
            if job.unsettled is not None and not job.lost:
                # The upstream may go on: its slot is free when it has confirmed the end.
                self._background.start_soon(
                    self._cancel_at_upstream, target, job.waiting, job.unsettled
                )
            else:
                self._free_slot(job, observed=job.answer.complete)

    async def _get_slot(self, job: Job) -> None:
        req = job.req
        item = Waiting(
            request_id=req.request_id,
            unit=req.unit,
            kind=req.kind,
            rank=job.rank,
            bulky=req.bulky,
            arrived=self._clock.now(),
            deadline=job.deadline,
        )
        held = req.unit in self._held
        if not held:
            permit = self._authority.permit(req.upstream, req.unit)
            self._configure(job.target, permit)
        await job.target.queue.acquire(item, held=held)
        job.waiting = item
        self._in_progress.setdefault(req.unit, {})[item] = None

    def _configure(self, target: Target, permit: Permit) -> None:
        target.queue.configure(rules=self._rules(), slots=min(permit.slots, permit.connections))

    def _free_slot(self, job: Job, *, observed: bool) -> None:
        if job.waiting is not None:
            self._finish(job.target, job.waiting, observed=observed)
            job.waiting = None

    def _finish(self, target: Target, item: Waiting, *, observed: bool) -> None:
        target.queue.release(item, observed=observed)
        items = self._in_progress.get(item.unit, {})
        items.pop(item, None)
        if not items:
            self._in_progress.pop(item.unit, None)
        self._notify()

    async def _attempt(self, job: Job) -> None:
        req, target = job.req, job.target
        if job.entry is not None:
            await self._replicate_start(job, job.entry)
        permit = self._authority.permit(req.upstream, req.unit)
        conn = await target.connections.acquire(
            permit.address,
            limit=permit.connections,
            recent_only=not job.may_repeat,
            new_only=job.attempts > 1,
            timeout=max(0.001, job.deadline - self._clock.now()),
        )
        exchange = Exchange(conn=conn, permit=permit, req=req, request_id=self._attempt_id(job))
        try:
            # Connecting may have taken a while; from here to the send there is no wait.
            exchange.permit = permit = self._authority.permit(req.upstream, req.unit)
            now = self._clock.now()
            if now >= job.deadline:
                raise self._refused(req, "the deadline passed before sending", Outcome.NOT_RUN, 504)
            job.sent = True
            self._log.info(
                "Sending request.",
                request=req.request_id,
                unit=str(req.unit),
                upstream=str(req.upstream),
                reason=f"{req.rank} got a slot",
                waited_ms=self._waited_ms(job),
                attempt=job.attempts,
            )
            await exchange.run(
                job.upload,
                job.answer,
                remaining=job.deadline - now,
                deadline_ms=job.deadline * 1000 + permit.clock_offset_ms,
                patience=self._patience(job, reused=conn.used, now=now),
            )
            self._log.debug(
                "Request answered.",
                request=req.request_id,
                unit=str(req.unit),
                upstream=str(req.upstream),
                status=job.answer.status,
            )
        except NotOwnerError:
            if job.sent:
                self._authority.superseded(req.upstream, permit.term)
                self._metrics.count("dispatch.refused.not_owner")
            job.sent = False
            raise
        except RefusedError as exc:
            if exc.outcome is Outcome.NOT_RUN:
                job.sent = False
                self._metrics.count("dispatch.refused.upstream")
            raise
        except RequestError:
            job.sent = exchange.sent
            raise
        finally:
            await self._end_exchange(job, exchange)

    async def _end_exchange(self, job: Job, exchange: Exchange) -> None:
        if exchange.reusable:
            job.target.connections.give_back(exchange.conn)
            return
        if exchange.sent and not exchange.settled:
            job.unsettled = exchange
        await job.target.connections.discard(exchange.conn)

    async def _cancel_at_upstream(
        self, target: Target, item: Waiting | None, exchange: Exchange
    ) -> None:
        confirmed = False
        try:
            confirmed = await target.cancel_request(exchange.permit, exchange.request_id)
        finally:
            if item is not None:
                self._finish(target, item, observed=False)
        self._log.info(
            "Cancelled request at upstream.",
            request=exchange.request_id,
            upstream=str(target.upstream),
            confirmed=confirmed,
        )

    async def _replicate_start(self, job: Job, entry: OnceEntry) -> None:
        """Copy the record to the successor; gives the slot back if that takes long."""
        if entry.state is OnceState.STARTED:
            return
        entry.state = OnceState.STARTED
        copy = job.target.replicator.put(entry.record(self._clock.now()), urgent=True)
        with trio.move_on_after(REPLICATION_IN_SLOT_S):
            await copy.done.wait()
        if not copy.done.is_set():
            self._free_slot(job, observed=False)
            with trio.move_on_after(max(0.0, job.deadline - self._clock.now())):
                await copy.done.wait()
            if not copy.done.is_set():
                raise self._refused(
                    job.req, "the successor did not confirm the record", Outcome.NOT_RUN, 503, 1.0
                )
            await self._get_slot(job)
        if copy.error is not None:
            raise NotOwnerError(
                f"the record could not be copied: {copy.error.message}",
                step="dispatch.replicate",
                peer=str(job.req.upstream),
            ) from copy.error

    def _waited_ms(self, job: Job) -> int:
        item = job.waiting
        return 0 if item is None else round((item.started - item.arrived) * 1000)

    def _patience(self, job: Job, *, reused: bool, now: float) -> float:
        """Return how long to wait for the answer after the upload."""
        req = job.req
        remaining = job.deadline - now
        if req.bulky:
            return max(remaining, STALL_LIMIT_S)
        if not job.may_repeat:
            return remaining + (ONCE_ANSWER_GRACE_S if req.once else ANSWER_GRACE_S)
        whole = remaining + ANSWER_GRACE_S
        if not reused or job.attempts >= MAX_ATTEMPTS or req.body_length != 0:
            return whole
        expected = job.target.queue.expected(req.kind)
        return min(whole, max(MIN_PATIENCE_S, PATIENCE_FACTOR * expected))

    def _may_retry(self, job: Job, exc: UpstreamError) -> bool:
        return (
            job.attempts < MAX_ATTEMPTS
            and (exc.outcome is Outcome.NOT_RUN or job.may_repeat)
            and not job.answer.started
            and not job.upload.consumed
            and self._clock.now() < job.deadline
            and job.target.retries.spend()
        )

    def _attempt_id(self, job: Job) -> str:
        # A retry has an id of its own, so that cancelling the first attempt spares it.
        if job.attempts == 1:
            return job.req.request_id
        return f"{job.req.request_id}.{job.attempts}"

    def _failed(self, exc: UpstreamError) -> RefusedError:
        self._metrics.count(f"dispatch.failed.{exc.outcome.value}")
        not_run = exc.outcome is Outcome.NOT_RUN
        return RefusedError(
            exc.message,
            outcome=exc.outcome,
            status=503 if not_run else 504,
            retry_after=1.0 if not_run else None,
            step=exc.step,
            peer=exc.peer,
        )

    def _interrupted(self, job: Job) -> AcaciasaddleError:
        """Return the error of a job that was stopped because its upstream or caller is lost."""
        if not job.sent:
            return NotOwnerError(
                "the upstream was lost before the request was sent",
                step=STEP,
                peer=str(job.req.upstream),
            )
        return self._refused(
            job.req, "the upstream was lost while the request ran", Outcome.UNKNOWN, 504
        )

    def _refused(
        self,
        req: WorkRequest,
        reason: str,
        outcome: Outcome,
        status: int,
        retry_after: float | None = None,
    ) -> RefusedError:
        return RefusedError(
            reason,
            outcome=outcome,
            status=status,
            retry_after=retry_after,
            step=STEP,
            peer=str(req.upstream),
        )

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

"""The dispatcher of an entry host."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpcore
import trio

from acaciasaddle.dispatch._api import Dispatcher
from acaciasaddle.dispatch._api import UpstreamLoad
from acaciasaddle.dispatch._job import Job
from acaciasaddle.dispatch._once import DEFAULT_MEMORY_LIMIT_BYTES
from acaciasaddle.dispatch._once import OnceRecords
from acaciasaddle.dispatch._progress import JobTracker
from acaciasaddle.dispatch._runner import STEP
from acaciasaddle.dispatch._runner import JobRunner
from acaciasaddle.dispatch._runner import refused
from acaciasaddle.dispatch._streams import STALL_TIMEOUT_S
from acaciasaddle.dispatch._streams import CallerResponse
from acaciasaddle.dispatch._streams import Upload
from acaciasaddle.dispatch._target import Target
from acaciasaddle.errors import AcaciasaddleError
from acaciasaddle.errors import NotOwnerError
from acaciasaddle.errors import Outcome
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
    from acaciasaddle.model import ResponseSink
    from acaciasaddle.model import UnitId
    from acaciasaddle.model import UpstreamId
    from acaciasaddle.model import WorkRequest
    from acaciasaddle.observe import Metrics
    from acaciasaddle.ownership import Authority

NON_BULKY_STALL_TIMEOUT_S = 5.0
"""Stall timeout for the bodies of non-bulky requests; short, as a stalled body occupies a slot."""

SWEEP_INTERVAL_S = 0.25
"""Interval between two checks for stalled requests and idle connections."""

REPLAYED_HEADER = ("Acaciasaddle-Replayed", "true")


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
        once_memory_limit: int = DEFAULT_MEMORY_LIMIT_BYTES,
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
        self._paused: set[UnitId] = set()
        self._tracker = JobTracker()
        self._started_runner: JobRunner | None = None
        self._log = get_logger("dispatch")

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as nursery:
            self._started_runner = JobRunner(
                authority=self._authority,
                clock=self._clock,
                metrics=self._metrics,
                rules=self._rules,
                tracker=self._tracker,
                paused=self._paused,
                nursery=nursery,
            )
            task_status.started()
            try:
                while True:
                    await trio.sleep(SWEEP_INTERVAL_S)
                    self._started_runner.release_stalled_slots()
                    for target in list(self._targets.values()):
                        await target.connections.close_idle()
            finally:
                self._started_runner.ended = True
                for target in self._targets.values():
                    await target.connections.close_all_idle()

    async def stop(self) -> None:
        await self.wait_idle()

    async def serve(self, req: WorkRequest, body: BodySource, response: ResponseSink) -> None:
        if req.unit not in self._paused:
            self._authority.permit(req.upstream, req.unit)
        job = self._make_job(req, body, response)
        if not req.once:
            with job.scope:
                await self._runner.run(job)
            if job.scope.cancelled_caught:
                raise self._runner.interruption_error(job)
            return
        if not await self._claim(job, response):
            return
        # Run in a task of its own, since the result is kept even if the caller leaves.
        self._runner.nursery.start_soon(self._run_once, job)
        try:
            await job.ended.wait()
        except trio.Cancelled:
            job.abandon()
            raise
        if job.error is not None:
            raise job.error

    def pause(self, unit: UnitId) -> None:
        self._paused.add(unit)
        for target in self._targets.values():
            target.queue.pause(unit)

    async def wait_drained(self, unit: UnitId) -> None:
        await self._tracker.wait_drained(unit)

    def bulky_running(self, unit: UnitId) -> int:
        return self._tracker.count_bulky(unit)

    def resume(self, unit: UnitId) -> None:
        self._paused.discard(unit)
        for upstream, target in self._targets.items():
            if not target.queue.is_paused(unit):
                continue
            try:
                permit = self._authority.permit(upstream, unit)
            except NotOwnerError:
                target.queue.reject(unit)
                continue
            target.queue.resume(unit)
            self._runner.configure(target, permit)

    def reject(self, unit: UnitId) -> None:
        self._paused.discard(unit)
        for target in self._targets.values():
            target.queue.reject(unit)

    def upstream_released(self, upstream: UpstreamId) -> None:
        target = self._targets.get(upstream)
        for unit in target.queue.units() if target is not None else ():
            self.reject(unit)

    def upstream_lost(self, upstream: UpstreamId) -> None:
        for job in self._tracker.jobs_in_progress(upstream):
            job.abort()
        target = self._targets.get(upstream)
        if target is not None:
            self._runner.nursery.start_soon(target.connections.close_all_idle)

    def export_records(
        self, upstream: UpstreamId, units: Iterable[UnitId] | None
    ) -> tuple[OnceRecord, ...]:
        return self._once.export(upstream=upstream, units=units)

    def import_records(self, upstream: UpstreamId, records: Iterable[OnceRecord]) -> None:
        self._once.merge(upstream=upstream, records=records)

    def memory_since(self, upstream: UpstreamId) -> float:
        """Return the time of day, in seconds, before which records may be missing.

        It is sent along with exported records. It may be later than the authority's if records were
        evicted for lack of memory.
        """
        return self._once.memory_since(upstream)

    def load(self, upstream: UpstreamId) -> UpstreamLoad:
        target = self._targets.get(upstream)
        if target is None:
            return UpstreamLoad(busy=0.0, queued=0, unit_busy={})
        return target.queue.load()

    async def wait_idle(self) -> None:
        await self._tracker.wait_idle()

    @property
    def _runner(self) -> JobRunner:
        if self._started_runner is None:
            raise AcaciasaddleError("the dispatcher is not running", step=STEP)
        return self._started_runner

    def _make_job(self, req: WorkRequest, body: BodySource, response: ResponseSink) -> Job:
        rules = self._rules()
        kind = next(
            (k for k in rules.kinds if k.name == req.kind and k.service == req.service), None
        )
        ranks = [rank.name for rank in rules.ranks]
        return Job(
            req=req,
            target=self._get_target(req.upstream),
            upload=Upload(
                source=body,
                length=req.body_length,
                stall_timeout=STALL_TIMEOUT_S if req.bulky else NON_BULKY_STALL_TIMEOUT_S,
            ),
            response=CallerResponse(sink=response, keep=req.once),
            deadline=self._clock.now() + req.budget_ms / 1000,
            may_repeat=not req.once and kind is not None and kind.idempotent,
            rank=ranks.index(req.rank) if req.rank in ranks else max(0, len(ranks) - 1),
        )

    def _get_target(self, upstream: UpstreamId) -> Target:
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
            self._runner.nursery.start_soon(target.replicator.run)
        return target

    async def _claim(self, job: Job, response: ResponseSink) -> bool:
        """Claim the record of a request. Return whether the request is to be run.

        A repeat waits for the first run and is answered from its record.
        """
        req = job.req
        while True:
            entry, is_new = self._once.claim(
                upstream=req.upstream,
                unit=req.unit,
                caller=req.caller,
                idempotency_key=req.idempotency_key,
                work_key=req.key,
            )
            if is_new:
                job.entry = entry
                return True
            if entry.running:
                with trio.move_on_after(max(0.0, job.deadline - self._clock.now())):
                    await entry.ended.wait()
                if entry.running:
                    raise refused(
                        req,
                        "the first run of the request is still in progress",
                        Outcome.UNKNOWN,
                        409,
                    )
                continue
            await self._replay(req, entry, response)
            return False

    async def _replay(self, req: WorkRequest, entry: OnceEntry, response: ResponseSink) -> None:
        if entry.state is not OnceState.COMPLETED:
            raise refused(req, "an earlier attempt may have run", Outcome.UNKNOWN, 504)
        if entry.body is None:
            raise refused(
                req,
                f"an earlier attempt completed with status {entry.status}; the body of its "
                "response was not kept",
                Outcome.COMPLETED,
                409,
            )
        self._log.info(
            "Answering repeated request from its record.",
            request=req.request_id,
            unit=str(req.unit),
            status=entry.status,
        )
        self._metrics.count("dispatch.replayed")
        await response.head(entry.status, (*entry.headers, REPLAYED_HEADER))
        if entry.body:
            await response.data(entry.body)
        await response.end()

    async def _run_once(self, job: Job) -> None:
        entry = job.entry
        assert entry is not None
        try:
            with job.scope:
                await self._runner.run(job)
            if job.scope.cancelled_caught:
                raise self._runner.interruption_error(job)
        except Exception as exc:
            job.error = exc
        finally:
            self._record_outcome(job, entry)
            if job.error is None and not job.response.complete:
                job.error = self._runner.interruption_error(job)
            job.ended.set()

    def _record_outcome(self, job: Job, entry: OnceEntry) -> None:
        """Update the record of a finished run, here and at the successor.

        A run with an unknown outcome needs no update at the successor: a ``started`` record counts
        as ``unknown`` there.
        """
        response = job.response
        now = self._clock.now()
        if response.complete:
            self._once.complete(
                entry, status=response.status, headers=response.headers, body=response.body
            )
            job.target.replicator.put(entry.record(now), urgent=False)
            return
        if job.sent:
            self._once.mark_unknown(entry)
            return
        self._once.forget(entry)
        if entry.copy_sent:
            job.target.replicator.put(entry.not_run_record(now), urgent=False)

"""Runs requests at upstreams, with their slots, at-most-once records, retries and cancellation."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from acaciasaddle.dispatch._exchange import Exchange
from acaciasaddle.dispatch._streams import STALL_TIMEOUT_S
from acaciasaddle.dispatch._waiting import SlotRequest
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
    from collections.abc import Set

    from acaciasaddle.clock import Clock
    from acaciasaddle.config import Rules
    from acaciasaddle.dispatch._job import Job
    from acaciasaddle.dispatch._once import OnceEntry
    from acaciasaddle.dispatch._progress import JobTracker
    from acaciasaddle.dispatch._replication import PendingCopy
    from acaciasaddle.dispatch._target import Target
    from acaciasaddle.model import UnitId
    from acaciasaddle.model import WorkRequest
    from acaciasaddle.observe import Metrics
    from acaciasaddle.ownership import Authority
    from acaciasaddle.ownership import Permit

MAX_ATTEMPTS = 3
"""Attempts per request: one may fail on a stale connection and another on a bad new one."""

REPLICATION_IN_SLOT_S = 0.05
"""Time that a request keeps its slot while its record is copied to the successor.

A copy takes one round trip, 3 ms at most, and a slot is not kept for a silent successor.
"""

RESPONSE_GRACE_S = 0.25
"""Time after the deadline during which a response on its way may still arrive."""

ONCE_RESPONSE_GRACE_S = 5.0
"""The same for at-most-once work, whose outcome is wanted even if it is late."""

MIN_RESPONSE_TIMEOUT_S = 0.25
"""Shortest wait for a response before a request is retried on a new connection."""

RESPONSE_TIMEOUT_FACTOR = 8.0
"""Limit of the wait for a response, as a multiple of the average service time.

After it, idempotent work without a body that was sent on a reused connection is retried, and work
that must not be sent twice loses its slot. Neither applies to bulky work.
"""

MIN_SLOT_TIMEOUT_S = 1.0
"""Shortest time without a response after which work that must not be sent twice loses its slot.

Its connection may have gone silent for good, and its response is awaited for much longer.
"""

STEP = "dispatch.serve"

STEP_LOST = "dispatch.lost"
"""Step of a ``NotOwnerError`` after an attempt that may have run, for work that may run again.

The ingress recognises such an error by this step.
"""


class JobRunner:
    """Runs jobs.

    Cancellations at upstreams run in ``nursery``. None is started once ``ended`` is true, since a
    job that runs in the task that called ``serve`` may outlive the dispatcher. ``paused`` holds the
    units whose requests have to wait.
    """

    def __init__(
        self,
        *,
        authority: Authority,
        clock: Clock,
        metrics: Metrics,
        rules: Callable[[], Rules],
        tracker: JobTracker,
        paused: Set[UnitId],
        nursery: trio.Nursery,
    ) -> None:
        self._authority = authority
        self._clock = clock
        self._metrics = metrics
        self._rules = rules
        self._tracker = tracker
        self._paused = paused
        self.nursery = nursery
        self.ended = False
        self._log = get_logger("dispatch")

    async def run(self, job: Job) -> None:
        """Run a job to its end. Raises what ``Dispatcher.serve`` raises."""
        self._tracker.add(job)
        try:
            try:
                await self._run_attempts(job)
            except (NotOwnerError, RefusedError) as exc:
                if not job.may_have_run:
                    raise
                raise _error_after_sent_attempt(job, exc) from exc
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
            self._tracker.remove(job)

    async def _run_attempts(self, job: Job) -> None:
        """Acquire a slot and send the request until it is answered or must not be retried."""
        target = job.target
        target.retries.add(self._rules().retry_budget)
        await self._acquire_slot(job)
        try:
            while True:
                job.attempts += 1
                try:
                    await self._run_attempt(job)
                    return
                except UpstreamError as exc:
                    if not self._may_retry(job, exc):
                        raise self._to_refusal(exc) from exc
                    self._metrics.count("dispatch.retried")
                    self._log.info(
                        "Retrying request.",
                        request=job.req.request_id,
                        unit=str(job.req.unit),
                        upstream=str(job.req.upstream),
                        reason=str(exc),
                    )
                    # The retry keeps the slot, since the failed attempt most likely no longer runs.
                    if job.unfinished_exchange is not None and not self.ended:
                        self.nursery.start_soon(
                            self._cancel_at_upstream, target, None, job.unfinished_exchange
                        )
                    job.unfinished_exchange = None
                    job.may_have_run |= job.sent
                    job.sent = False
        finally:
            if job.unfinished_exchange is not None and not job.upstream_lost and not self.ended:
                # The upstream may go on with the request, so its slot is freed after the
                # cancellation, whether that is confirmed or times out.
                self.nursery.start_soon(
                    self._cancel_at_upstream, target, job.slot_request, job.unfinished_exchange
                )
            else:
                self._release_slot(job, observed=job.response.complete)

    async def _acquire_slot(self, job: Job) -> None:
        req = job.req
        item = SlotRequest(
            unit=req.unit,
            kind=req.kind,
            rank=job.rank,
            bulky=req.bulky,
            arrived=self._clock.now(),
            deadline=job.deadline,
            key=req.key,
        )
        paused = req.unit in self._paused
        if not paused:
            permit = self._authority.permit(req.upstream, req.unit)
            self.configure(job.target, permit)
        await job.target.queue.acquire(item, paused=paused)
        job.slot_request = item
        self._tracker.start(item)

    def configure(self, target: Target, permit: Permit) -> None:
        """Apply the rules in force and the limits of a permit to the queue of an upstream."""
        target.queue.configure(rules=self._rules(), slots=min(permit.slots, permit.connections))

    def release_stalled_slots(self) -> None:
        """Free the slots of requests whose connections have probably gone silent.

        Such a request keeps waiting for its response and still counts as in progress. If the
        upstream is working on it after all, one request too many reaches the upstream, which
        sheds it as "not run".
        """
        now = self._clock.now()
        for job in self._tracker.jobs():
            item = job.slot_request
            if item is None or not job.sent or job.may_repeat or job.req.bulky:
                continue
            if job.response.started or not job.upload.complete:
                continue
            expected = job.target.queue.expected(job.req.kind)
            if now - item.started > max(MIN_SLOT_TIMEOUT_S, RESPONSE_TIMEOUT_FACTOR * expected):
                job.target.queue.release(item, observed=False)

    def _release_slot(self, job: Job, *, observed: bool) -> None:
        if job.slot_request is not None:
            self._finish(job.target, job.slot_request, observed=observed)
            job.slot_request = None

    def _finish(self, target: Target, item: SlotRequest, *, observed: bool) -> None:
        target.queue.release(item, observed=observed)
        self._tracker.finish(item)

    async def _run_attempt(self, job: Job) -> None:
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
            # The permit is checked again, since connecting may have taken a while. Sending starts
            # without a further wait.
            exchange.permit = permit = self._authority.permit(req.upstream, req.unit)
            now = self._clock.now()
            if now >= job.deadline:
                raise refused(req, "the deadline passed before sending", Outcome.NOT_RUN, 504)
            job.sent = True
            self._log.info(
                "Sending request.",
                request=req.request_id,
                unit=str(req.unit),
                upstream=str(req.upstream),
                reason=f"rank {req.rank} was granted a slot",
                waited_ms=self._waited_ms(job),
                attempt=job.attempts,
            )
            await exchange.run(
                job.upload,
                job.response,
                remaining=job.deadline - now,
                deadline_ms=job.deadline * 1000 + permit.clock_offset_ms,
                response_timeout=self._response_timeout(job, reused=conn.used, now=now),
            )
            self._log.debug(
                "Request answered.",
                request=req.request_id,
                unit=str(req.unit),
                upstream=str(req.upstream),
                status=job.response.status,
            )
        except NotOwnerError:
            if job.sent:
                self._authority.note_refused_term(req.upstream, permit.term)
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
            job.target.connections.release(exchange.conn)
            return
        if exchange.sent and not exchange.upstream_done:
            job.unfinished_exchange = exchange
        await job.target.connections.discard(exchange.conn)

    async def _cancel_at_upstream(
        self, target: Target, item: SlotRequest | None, exchange: Exchange
    ) -> None:
        confirmed = False
        try:
            confirmed = await target.cancel_request(exchange.permit, exchange.request_id)
        finally:
            if item is not None:
                self._finish(target, item, observed=False)
        self._log.info(
            "Requested cancellation at upstream.",
            request=exchange.request_id,
            upstream=str(target.upstream),
            confirmed=confirmed,
        )

    async def _replicate_start(self, job: Job, entry: OnceEntry) -> None:
        """Copy the record to the successor. Give up the slot meanwhile if that takes long."""
        while entry.state is None:
            entry.state = OnceState.STARTED
            entry.copy_sent = True
            entry.skipped_in_export = False
            copy = job.target.replicator.put(entry.record(self._clock.now()), urgent=True)
            with trio.move_on_after(REPLICATION_IN_SLOT_S):
                await copy.done.wait()
            if not copy.done.is_set():
                # Nothing is sent without a slot, so an export need not include this record.
                entry.state = None
                self._release_slot(job, observed=False)
                await self._wait_for_copy(job, copy)
                await self._acquire_slot(job)
                if not entry.skipped_in_export:
                    entry.state = OnceState.STARTED
            if copy.error is not None:
                raise _copy_failed_error(job, copy.error)

    async def _wait_for_copy(self, job: Job, copy: PendingCopy) -> None:
        with trio.move_on_after(max(0.0, job.deadline - self._clock.now())):
            await copy.done.wait()
        if not copy.done.is_set():
            raise refused(
                job.req,
                "no successor confirmed the at-most-once record in time",
                Outcome.NOT_RUN,
                503,
                1.0,
            )
        if copy.error is not None:
            raise _copy_failed_error(job, copy.error)

    def _waited_ms(self, job: Job) -> int:
        item = job.slot_request
        return 0 if item is None else round((item.started - item.arrived) * 1000)

    def _response_timeout(self, job: Job, *, reused: bool, now: float) -> float:
        """Return how long to wait for the response after the upload, in seconds."""
        req = job.req
        remaining = job.deadline - now
        if req.bulky:
            return max(remaining, STALL_TIMEOUT_S)
        if not job.may_repeat:
            return remaining + (ONCE_RESPONSE_GRACE_S if req.once else RESPONSE_GRACE_S)
        full_timeout = remaining + RESPONSE_GRACE_S
        if not reused or job.attempts >= MAX_ATTEMPTS or req.body_length != 0:
            return full_timeout
        expected = job.target.queue.expected(req.kind)
        return min(full_timeout, max(MIN_RESPONSE_TIMEOUT_S, RESPONSE_TIMEOUT_FACTOR * expected))

    def _may_retry(self, job: Job, exc: UpstreamError) -> bool:
        return (
            job.attempts < MAX_ATTEMPTS
            and (exc.outcome is Outcome.NOT_RUN or job.may_repeat)
            and not job.response.started
            and not job.upload.consumed
            and self._clock.now() < job.deadline
            and job.target.retries.try_take()
        )

    def _attempt_id(self, job: Job) -> str:
        # Each retry has an id of its own, so that cancelling an earlier attempt does not cancel it.
        if job.attempts == 1:
            return job.req.request_id
        return f"{job.req.request_id}.{job.attempts}"

    def _to_refusal(self, exc: UpstreamError) -> RefusedError:
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

    def interruption_error(self, job: Job) -> AcaciasaddleError:
        """Return the error of a job that was stopped.

        Its upstream was lost, its caller has left or the dispatcher has ended.
        """
        may_have_run = job.sent or job.may_have_run
        safe_to_repeat = job.may_repeat and not job.response.started and not job.upload.consumed
        if not may_have_run or safe_to_repeat:
            return NotOwnerError(
                "the upstream was lost or the dispatcher ended before the request was answered",
                step=STEP_LOST if may_have_run else STEP,
                peer=str(job.req.upstream),
            )
        return refused(
            job.req,
            "the upstream was lost or the dispatcher ended after the request was sent",
            Outcome.UNKNOWN,
            504,
        )


def refused(
    req: WorkRequest,
    reason: str,
    outcome: Outcome,
    status: int,
    retry_after: float | None = None,
) -> RefusedError:
    """Return the error that refuses a request."""
    return RefusedError(
        reason,
        outcome=outcome,
        status=status,
        retry_after=retry_after,
        step=STEP,
        peer=str(req.upstream),
    )


def _copy_failed_error(job: Job, error: AcaciasaddleError) -> NotOwnerError:
    return NotOwnerError(
        f"the at-most-once record could not be copied: {error.message}",
        step="dispatch.replicate",
        peer=str(job.req.upstream),
    )


def _error_after_sent_attempt(job: Job, exc: NotOwnerError | RefusedError) -> AcaciasaddleError:
    """Return the error of a retry that failed after an earlier attempt that may have run."""
    if isinstance(exc, NotOwnerError):
        return NotOwnerError(exc.message, step=STEP_LOST, peer=exc.peer)
    reason = f"an earlier attempt may have run; then: {exc.message}"
    return refused(job.req, reason, Outcome.UNKNOWN, 504)

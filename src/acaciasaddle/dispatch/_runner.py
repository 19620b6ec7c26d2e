"""Has an upstream run a request: slot, record, attempts, cancellation."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from acaciasaddle.dispatch._exchange import Exchange
from acaciasaddle.dispatch._streams import STALL_LIMIT_S
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
    from collections.abc import Set

    from acaciasaddle.clock import Clock
    from acaciasaddle.config import Rules
    from acaciasaddle.dispatch._job import Job
    from acaciasaddle.dispatch._once import OnceEntry
    from acaciasaddle.dispatch._progress import Progress
    from acaciasaddle.dispatch._replication import Copy
    from acaciasaddle.dispatch._target import Target
    from acaciasaddle.model import UnitId
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

SLOT_PATIENCE_S = 1.0
"""Shortest time after which work that cannot be repeated loses its slot without an answer.

Its connection may have gone silent for good, and its outcome is waited for much longer.
"""

STEP = "dispatch.serve"

STEP_LOST = "dispatch.lost"
"""Step of a ``NotOwnerError`` after an attempt that may have run; the kind may run again."""


class JobRunner:
    """Runs jobs. Cancellations at upstreams go on in ``nursery``, until it has ``ended``.

    A job belongs to its caller's task and may outlive the dispatcher.
    """

    def __init__(
        self,
        *,
        authority: Authority,
        clock: Clock,
        metrics: Metrics,
        rules: Callable[[], Rules],
        progress: Progress,
        held: Set[UnitId],
        nursery: trio.Nursery,
    ) -> None:
        self._authority = authority
        self._clock = clock
        self._metrics = metrics
        self._rules = rules
        self._progress = progress
        self._held = held
        self.nursery = nursery
        self.ended = False
        self._log = get_logger("dispatch")

    async def run(self, job: Job) -> None:
        """Serve a job. Raises what ``Dispatcher.serve`` does."""
        self._progress.add(job)
        try:
            try:
                await self._attempts(job)
            except (NotOwnerError, RefusedError) as exc:
                if not job.may_have_run:
                    raise
                raise _after_sent_attempt(job, exc) from exc
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
            self._progress.remove(job)

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
                    if job.unsettled is not None and not self.ended:
                        self.nursery.start_soon(
                            self._cancel_at_upstream, target, None, job.unsettled
                        )
                    job.unsettled = None
                    job.may_have_run |= job.sent
                    job.sent = False
        finally:
            if job.unsettled is not None and not job.lost and not self.ended:
                # The upstream may go on: its slot is free when it has confirmed the end.
                self.nursery.start_soon(
                    self._cancel_at_upstream, target, job.waiting, job.unsettled
                )
            else:
                self._free_slot(job, observed=job.answer.complete)

    async def _get_slot(self, job: Job) -> None:
        req = job.req
        item = Waiting(
            unit=req.unit,
            kind=req.kind,
            rank=job.rank,
            bulky=req.bulky,
            arrived=self._clock.now(),
            deadline=job.deadline,
            key=req.key,
        )
        held = req.unit in self._held
        if not held:
            permit = self._authority.permit(req.upstream, req.unit)
            self.configure(job.target, permit)
        await job.target.queue.acquire(item, held=held)
        job.waiting = item
        self._progress.start(item)

    def configure(self, target: Target, permit: Permit) -> None:
        target.queue.configure(rules=self._rules(), slots=min(permit.slots, permit.connections))

    def give_up_slots(self) -> None:
        """Free the slots of requests whose connections are probably silent.

        Such a request goes on waiting for its answer and still counts as in progress. If the
        upstream is busy with it after all, it sheds one request too many as "not run".
        """
        now = self._clock.now()
        for job in self._progress.jobs():
            item = job.waiting
            if item is None or not job.sent or job.may_repeat or job.req.bulky:
                continue
            if job.answer.started or not job.upload.complete:
                continue
            expected = job.target.queue.expected(job.req.kind)
            if now - item.started > max(SLOT_PATIENCE_S, PATIENCE_FACTOR * expected):
                job.target.queue.release(item, observed=False)

    def _free_slot(self, job: Job, *, observed: bool) -> None:
        if job.waiting is not None:
            self._finish(job.target, job.waiting, observed=observed)
            job.waiting = None

    def _finish(self, target: Target, item: Waiting, *, observed: bool) -> None:
        target.queue.release(item, observed=observed)
        self._progress.finish(item)

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
                raise refused(req, "the deadline passed before sending", Outcome.NOT_RUN, 504)
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
                self._authority.note_higher_term(req.upstream, permit.term)
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
        """Copy the record to the successor; gives the slot back while that takes long."""
        while entry.state is None:
            entry.state = OnceState.STARTED
            entry.copied = True
            entry.left_out = False
            copy = job.target.replicator.put(entry.record(self._clock.now()), urgent=True)
            with trio.move_on_after(REPLICATION_IN_SLOT_S):
                await copy.done.wait()
            if not copy.done.is_set():
                # Without a slot nothing is sent, so an export need not name this request.
                entry.state = None
                self._free_slot(job, observed=False)
                await self._copy_without_slot(job, copy)
                await self._get_slot(job)
                if not entry.left_out:
                    entry.state = OnceState.STARTED
            if copy.error is not None:
                raise _not_copied(job, copy.error)

    async def _copy_without_slot(self, job: Job, copy: Copy) -> None:
        with trio.move_on_after(max(0.0, job.deadline - self._clock.now())):
            await copy.done.wait()
        if not copy.done.is_set():
            raise refused(job.req, "no successor confirmed the record", Outcome.NOT_RUN, 503, 1.0)
        if copy.error is not None:
            raise _not_copied(job, copy.error)

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

    def interrupted(self, job: Job) -> AcaciasaddleError:
        """Return the error of a job that was stopped because its upstream or caller is lost."""
        may_have_run = job.sent or job.may_have_run
        untouched = job.may_repeat and not job.answer.started and not job.upload.consumed
        if not may_have_run or untouched:
            return NotOwnerError(
                "the upstream was lost before it answered",
                step=STEP_LOST if may_have_run else STEP,
                peer=str(job.req.upstream),
            )
        return refused(job.req, "the upstream was lost while the request ran", Outcome.UNKNOWN, 504)


def refused(
    req: WorkRequest,
    reason: str,
    outcome: Outcome,
    status: int,
    retry_after: float | None = None,
) -> RefusedError:
    """Return the refusal of a request."""
    return RefusedError(
        reason,
        outcome=outcome,
        status=status,
        retry_after=retry_after,
        step=STEP,
        peer=str(req.upstream),
    )


def _not_copied(job: Job, error: AcaciasaddleError) -> NotOwnerError:
    return NotOwnerError(
        f"the record could not be copied: {error.message}",
        step="dispatch.replicate",
        peer=str(job.req.upstream),
    )


def _after_sent_attempt(job: Job, exc: NotOwnerError | RefusedError) -> AcaciasaddleError:
    """Return the error of a retry that did not run, after an attempt that may have."""
    if isinstance(exc, NotOwnerError):
        return NotOwnerError(exc.message, step=STEP_LOST, peer=exc.peer)
    reason = f"an earlier attempt may have run; then: {exc.message}"
    return refused(job.req, reason, Outcome.UNKNOWN, 504)

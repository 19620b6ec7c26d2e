"""Forwards a request to an upstream that may run it, and decides what its caller gets."""

from __future__ import annotations

import random
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import trio

from acaciasaddle.errors import Outcome
from acaciasaddle.errors import RefusedError
from acaciasaddle.errors import UpstreamError
from acaciasaddle.forward._admission import RankPressure
from acaciasaddle.forward._admission import SlotTimes
from acaciasaddle.forward._admission import expected_response_s
from acaciasaddle.forward._admission import retry_after_s
from acaciasaddle.forward._headers import passed_on
from acaciasaddle.forward._pool import ConnectionPool
from acaciasaddle.forward._types import CallerRequest
from acaciasaddle.forward._types import Reply
from acaciasaddle.forward._types import RequestTerms
from acaciasaddle.forward._upstreams import UpstreamStates
from acaciasaddle.keyspace import LoadSample
from acaciasaddle.observe import NullMetrics
from acaciasaddle.observe import get_logger
from acaciasaddle.routing import Repeat
from acaciasaddle.routing import Route
from acaciasaddle.routing import Service
from acaciasaddle.routing import TrafficSplitter

if TYPE_CHECKING:
    from collections.abc import Callable

    from acaciasaddle.fleet import FleetView
    from acaciasaddle.fleet import UpstreamEntry
    from acaciasaddle.forward._budget import RepeatBudget
    from acaciasaddle.forward._types import Dialect
    from acaciasaddle.http1 import RawHeaders
    from acaciasaddle.http1 import Response
    from acaciasaddle.keyspace import Span
    from acaciasaddle.observe import Metrics

DEFAULT_DEADLINE_S = 30.0
"""Deadline of a request that names none."""
RESPONSE_GRACE_S = 0.1
"""Time after the timeout of a route for a response that is on its way."""
MIN_ATTEMPT_S = 0.02
"""With less time left a request is not sent any more."""
OWNER_WAIT_S = 0.4
"""A move takes two round trips and the rest of the work in progress, mostly less than this. One
that has taken longer waits for a lease to end, and its keys are refused at once."""
NO_CONFIGURATION_RETRY_S = 0.5
NO_OWNER_RETRY_S = 0.5
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 2.0
RETRY_JITTER = 0.3
"""Callers are told to come back over a span of time, so that they do not return as a wave."""
RESEND_PAUSE_S = 0.03
"""Pause before a request goes to the same upstream again."""
MAX_SENDS = 4

log = get_logger("forward")


@dataclass(slots=True, kw_only=True)
class _Work:
    """A request on its way, and what has become of it so far."""

    req: CallerRequest
    terms: RequestTerms
    route: Route
    service: Service
    ends_at: float
    sends: int = 0
    tried: set[str] = field(default_factory=set)
    outcome: Outcome = Outcome.NOT_RUN
    upstream: str = ""

    @property
    def repeatable(self) -> bool:
        return self.route.repeat is Repeat.IDEMPOTENT

    @property
    def key(self) -> int | None:
        """The key whose owner alone may run the request, if there is one."""
        return self.terms.key if self.service.keyed else None


class Forwarder:
    """Serves callers' requests with the state in the view."""

    def __init__(
        self,
        *,
        view: FleetView,
        dialect: Dialect,
        budget: RepeatBudget,
        data_centre: str,
        metrics: Metrics | None = None,
    ) -> None:
        self._metrics = metrics or NullMetrics()
        self._view = view
        self._dialect = dialect
        self._budget = budget
        self._states = UpstreamStates(data_centre=data_centre)
        self._splitter = TrafficSplitter()
        self._pool = ConnectionPool()
        self._random = random.Random()
        self._samples: list[LoadSample] = []
        self._slot_times = SlotTimes()
        self._pressure = RankPressure()
        self._reported_busy: dict[str, int] = {}
        self.total_busy: Callable[[], dict[str, int]] = dict

    def take_samples(self) -> list[LoadSample]:
        """Return the samples taken since the last call."""
        samples, self._samples = self._samples, []
        return samples

    @property
    def connections_opened(self) -> int:
        """Number of connections opened to upstreams since the start."""
        return self._pool.opened

    def busy(self) -> dict[str, int]:
        """Return the number of requests in progress at each upstream that has any."""
        self._reported_busy = self._states.busy()
        return self._reported_busy

    async def handle(self, req: CallerRequest) -> Reply:
        """Return the reply to a request; never raises but for cancellation."""
        terms = self._dialect.read_request(req.fields)
        work: _Work | None = None
        try:
            work = self._accept(req, terms)
            reply = await self._serve(work)
        except RefusedError as raised:
            exc = _truthful(raised, work)
            reply = self._refusal(exc)
            self._log_request(req, terms, work, reply, reason=exc.message, step=exc.step)
            return reply
        self._log_request(req, terms, work, reply, reason="", step="")
        return reply

    def _accept(self, req: CallerRequest, terms: RequestTerms) -> _Work:
        cfg, routes = self._view.configuration, self._view.routes
        if cfg is None or routes is None:
            raise _refused("no configuration is known yet", NO_CONFIGURATION_RETRY_S, "accept")
        route = routes.match(req.fields.get("host", ""), req.target)
        if route is None:
            raise _refused("no route matches", None, "accept", status=404)
        service = cfg.services.get(self._splitter.choose(route))
        if service is None:
            raise _refused("the route's service is not configured", None, "accept")
        wait_s = min(terms.deadline_s or DEFAULT_DEADLINE_S, route.timeout_s)
        return _Work(
            req=req,
            terms=terms,
            route=route,
            service=service,
            ends_at=req.received_at + wait_s,
        )

    async def _serve(self, work: _Work) -> Reply:
        now = trio.current_time()
        self._budget.note_request(work.service.name, now=now)
        self._pressure.note(work.service.name, work.route.rank, now=now)
        if work.key is not None:
            # The load of a key is what callers ask for, served or not.
            self._sample(work, key=work.key)
        with trio.move_on_at(work.ends_at + RESPONSE_GRACE_S):
            return await self._attempt_until_served(work)
        if work.outcome is Outcome.NOT_RUN:
            raise _refused("no upstream was free in time", NO_OWNER_RETRY_S, "serve")
        raise _failed("no response in time", "serve", work, status=504)

    async def _attempt_until_served(self, work: _Work) -> Reply:
        while True:
            upstream = await self._choose(work)
            if trio.current_time() > work.ends_at - MIN_ATTEMPT_S:
                raise _refused("too little time is left", NO_OWNER_RETRY_S, "choose")
            try:
                resp = await self._send(work, upstream)
            except UpstreamError as exc:
                await self._after_failure(work, upstream, exc)
                continue
            if self._dialect.is_not_run(resp.status, resp.fields):
                if self._dialect.is_other_upstream(resp.fields, upstream.upstream_id):
                    self._states.of(upstream.upstream_id).replaced = True
                await self._after_rejection(work, upstream, resp.status)
                continue
            if resp.status >= 500 and self._may_resend(work, upstream):
                log.info(
                    "sending again",
                    request=work.terms.request_id,
                    upstream=upstream.upstream_id,
                    status=resp.status,
                )
                continue
            return _reply(resp)

    # The choice of an upstream.

    async def _choose(self, work: _Work) -> UpstreamEntry:
        if work.key is not None:
            return await self._owner(work, work.key)
        upstreams = self._view.upstreams_of(work.service.name)
        chosen = self._states.choose(
            upstreams,
            tried=work.tried,
            now=trio.current_time(),
            expected_s=lambda entry: expected_response_s(
                slot_s=self._slot_times.of(entry.upstream_id),
                busy=self._busy_at(entry.upstream_id),
                slots=entry.slots,
            ),
        )
        if chosen is None:
            raise _refused("no upstream is left to try", NO_OWNER_RETRY_S, "choose")
        self._admit(work, chosen)
        return chosen

    async def _owner(self, work: _Work, key: int) -> UpstreamEntry:
        """Return the owner of a key, waiting a little while the key moves."""
        now = trio.current_time()
        wait_until = min(now + OWNER_WAIT_S, work.ends_at)
        service = work.service.name
        while True:
            changed = self._view.changed
            owners = self._view.owners.get(service)
            span = owners.find(key) if owners is not None else None
            entry = self._owner_of(span)
            if entry is not None:
                silent_until = self._states.of(entry.upstream_id).silent_until(now)
                if silent_until is not None:
                    raise _refused("the owner is silent", silent_until - now, "choose")
                self._admit(work, entry)
                return entry
            if span is None or (
                span.moving and self._view.moving_for_s(service, span.fence) > OWNER_WAIT_S
            ):
                raise _refused("the key has no owner now", NO_OWNER_RETRY_S, "choose")
            with trio.move_on_at(wait_until) as scope:
                await changed.wait()
            if scope.cancelled_caught:
                raise _refused("the key is still moving", NO_OWNER_RETRY_S, "choose")

    def _admit(self, work: _Work, upstream: UpstreamEntry) -> None:
        """Refuse a request that its upstream cannot serve in time, or that leaves it to others."""
        now = trio.current_time()
        busy = self._busy_at(upstream.upstream_id)
        slot_s = self._slot_times.of(upstream.upstream_id)
        route = work.route
        yields = route.bulky and self._pressure.more_urgent(work.service.name, route.rank)
        seconds = retry_after_s(
            slot_s=slot_s,
            busy=busy,
            slots=upstream.slots,
            left_s=work.ends_at - now,
            yields=yields,
        )
        if seconds is not None:
            log.info(
                "upstream too busy",
                request=work.terms.request_id,
                upstream=upstream.upstream_id,
                busy=busy,
                slot_ms=round(slot_s * 1000),
                yields=yields,
            )
            raise _refused("the upstream is too busy", seconds, "choose")

    def _busy_at(self, upstream_id: str) -> int:
        """Return the requests of all hosts at an upstream, as far as known."""
        own = self._states.of(upstream_id).in_flight
        reported = self._reported_busy.get(upstream_id, 0)
        return max(own, self.total_busy().get(upstream_id, 0) + own - reported)

    def _owner_of(self, span: Span | None) -> UpstreamEntry | None:
        """Return the upstream that holds a span and takes work."""
        if span is None or span.moving:
            return None
        entry = self._view.upstreams.get(span.owner.incarnation.upstream_id)
        if entry is None or entry.life != span.owner.incarnation or entry.draining:
            return None
        return entry

    # One send.

    async def _send(self, work: _Work, upstream: UpstreamEntry) -> Response:
        state = self._states.of(upstream.upstream_id)
        work.upstream = upstream.upstream_id
        conn = await self._pool.acquire(upstream, fresh=not work.repeatable)
        work.sends += 1
        work.tried.add(upstream.upstream_id)
        earlier = work.outcome
        work.outcome = Outcome.UNKNOWN
        started = trio.current_time()
        busy = self._busy_at(upstream.upstream_id)
        state.in_flight += 1
        try:
            resp = await conn.exchange(
                method=work.req.method,
                target=work.req.target,
                headers=self._headers(work, upstream, started),
                body=work.req.body,
                matches=lambda fields: self._dialect.answers(fields, work.terms),
            )
            if 200 <= resp.status < 300 and not self._dialect.is_signed(resp.fields):
                conn.reusable = False
                raise UpstreamError(
                    "the response has no signature",
                    outcome=Outcome.UNKNOWN,
                    step="send",
                    peer=upstream.upstream_id,
                )
        except UpstreamError as exc:
            if exc.outcome is Outcome.NOT_RUN:
                work.outcome = earlier
            raise
        finally:
            state.in_flight -= 1
            self._pool.release(upstream, conn)
        if self._dialect.is_not_run(resp.status, resp.fields):
            work.outcome = earlier
            return resp
        work.outcome = Outcome.COMPLETED
        seconds = trio.current_time() - started
        self._metrics.timing("forward.upstream_time", seconds * 1000)
        self._metrics.timing("forward.deadline_left", (work.ends_at - started) * 1000)
        state.succeeded(seconds)
        self._slot_times.note(
            upstream.upstream_id, seconds=seconds, busy=busy + 1, slots=upstream.slots
        )
        self._sample(work, upstream_id=upstream.upstream_id, seconds=seconds)
        return resp

    def _headers(self, work: _Work, upstream: UpstreamEntry, now: float) -> RawHeaders:
        headers = passed_on(work.req.headers, without=self._dialect.system_headers)
        headers += self._dialect.mark_request(
            upstream_id=upstream.upstream_id, remaining_s=work.ends_at - now
        )
        if work.req.body or "content-length" in work.req.fields:
            headers.append((b"Content-Length", str(len(work.req.body)).encode()))
        return headers

    def _sample(
        self, work: _Work, *, key: int = -1, upstream_id: str = "", seconds: float = -1.0
    ) -> None:
        self._samples.append(
            LoadSample(service=work.service.name, key=key, upstream_id=upstream_id, seconds=seconds)
        )

    # What follows a send that brought no result.

    async def _after_failure(
        self, work: _Work, upstream: UpstreamEntry, exc: UpstreamError
    ) -> None:
        """Prepare another send, or raise."""
        now = trio.current_time()
        self._states.of(upstream.upstream_id).failed(now)
        self._pool.forget(upstream.upstream_id)
        self._metrics.count(f"forward.send_failed.{exc.outcome.value}")
        log.warning(
            "send failed",
            request=work.terms.request_id,
            upstream=upstream.upstream_id,
            outcome=exc.outcome.value,
            reason=str(exc),
        )
        if work.outcome is Outcome.NOT_RUN:
            # Nothing arrived at an upstream, so the budget of repeats is not touched.
            work.tried.add(upstream.upstream_id)
            if work.sends + len(work.tried) > MAX_SENDS:
                raise _refused("no upstream could be reached", NO_OWNER_RETRY_S, "send")
            await trio.sleep(RESEND_PAUSE_S)
            return
        if not self._may_resend(work, upstream):
            raise _failed("the upstream did not answer", "send", work, status=502)
        await trio.sleep(RESEND_PAUSE_S)

    async def _after_rejection(self, work: _Work, upstream: UpstreamEntry, status: int) -> None:
        """Prepare another send after the upstream refused to run the request, or raise."""
        now = trio.current_time()
        state = self._states.of(upstream.upstream_id)
        self._metrics.count(f"forward.rejected.{status}")
        log.info(
            "rejected by upstream",
            request=work.terms.request_id,
            upstream=upstream.upstream_id,
            status=status,
        )
        if status in (429, 503):
            state.full(now, state.seconds)
        wait_s = state.seconds
        if work.key is not None:
            may_resend = await self._may_ask_owner_again(work, upstream, status)
        else:
            may_resend = len(work.tried) < work.route.max_upstreams
        if work.outcome is not Outcome.NOT_RUN:
            raise _failed("an earlier send may have run", "send", work, status=502)
        if not may_resend or not self._take_budget(work):
            raise _refused("the upstream is full", wait_s, "send")

    async def _may_ask_owner_again(self, work: _Work, owner: UpstreamEntry, status: int) -> bool:
        """Whether the owner of a key may run a request that it has refused; waits a moment.

        An owner that refuses though it has free slots fails at random, so that the next send is as
        likely to succeed as the first.
        """
        if self._states.of(owner.upstream_id).replaced:
            raise _refused("the owner has ended", NO_OWNER_RETRY_S, "send")
        if status == 421:
            # The key has probably moved; the news of it is on its way.
            changed = self._view.changed
            with trio.move_on_after(OWNER_WAIT_S / 2):
                await changed.wait()
            return True
        if self._busy_at(owner.upstream_id) >= owner.slots or work.sends >= MAX_SENDS:
            return False
        await trio.sleep(RESEND_PAUSE_S)
        return True

    def _may_resend(self, work: _Work, upstream: UpstreamEntry) -> bool:
        if not work.repeatable or work.sends >= MAX_SENDS:
            return False
        if work.key is None and len(work.tried) >= work.route.max_upstreams:
            return False
        if trio.current_time() > work.ends_at - self._states.of(upstream.upstream_id).seconds:
            return False
        return self._take_budget(work)

    def _take_budget(self, work: _Work) -> bool:
        taken = self._budget.take(work.service.name, now=trio.current_time())
        self._metrics.count(f"forward.repeat.{'taken' if taken else 'denied'}")
        return taken

    # Replies of the system's own.

    def _refusal(self, exc: RefusedError) -> Reply:
        headers: RawHeaders = []
        if exc.retry_after is not None:
            seconds = min(max(exc.retry_after, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
            seconds *= 1.0 + RETRY_JITTER * self._random.random()
            headers.append((b"Retry-After", f"{seconds:.3f}".encode()))
        return Reply(status=exc.status, headers=headers, body=b"")

    def _log_request(
        self,
        req: CallerRequest,
        terms: RequestTerms,
        work: _Work | None,
        reply: Reply,
        *,
        reason: str,
        step: str,
    ) -> None:
        cfg = self._view.configuration
        milliseconds = (trio.current_time() - req.received_at) * 1000
        kind = work.route.repeat.value if work else "unrouted"
        self._metrics.timing(f"forward.request.{kind}", milliseconds)
        self._metrics.count(f"forward.status.{reply.status}")
        if reason:
            self._metrics.count(f"forward.refused.{reason.replace(' ', '_')}")
        log.info(
            "request",
            request=terms.request_id,
            status=reply.status,
            ms=round(milliseconds, 1),
            route=work.route.name if work else "",
            service=work.service.name if work else "",
            key=terms.key,
            upstream=work.upstream if work else "",
            sends=work.sends if work else 0,
            outcome=work.outcome.value if work else Outcome.NOT_RUN.value,
            reason=reason,
            step=step,
            configuration=cfg.version if cfg else 0,
            owners=self._owners_version(work),
            registry_age_s=self._view.registry_age_s,
        )

    def _owners_version(self, work: _Work | None) -> int:
        owners = self._view.owners.get(work.service.name) if work else None
        return owners.version if owners is not None else 0


def _reply(resp: Response) -> Reply:
    headers = passed_on(resp.headers)
    return Reply(status=resp.status, headers=headers, body=resp.body, reason=resp.reason)


def _refused(
    message: str, retry_after: float | None, step: str, *, status: int = 503
) -> RefusedError:
    return RefusedError(
        message,
        outcome=Outcome.NOT_RUN,
        status=status,
        retry_after=retry_after,
        step=f"forward.{step}",
    )


def _truthful(exc: RefusedError, work: _Work | None) -> RefusedError:
    """Return a refusal as a failure if an earlier send of the request may have run."""
    if work is None or work.outcome is Outcome.NOT_RUN or exc.outcome is not Outcome.NOT_RUN:
        return exc
    return _failed(exc.message, "retry", work, status=502)


def _failed(message: str, step: str, work: _Work, *, status: int) -> RefusedError:
    return RefusedError(
        message,
        outcome=Outcome.UNKNOWN,
        status=status,
        step=f"forward.{step}",
        peer=work.upstream,
    )

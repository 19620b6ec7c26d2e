"""Forwarding of a request to an upstream that may run it, and the response to its caller."""

from __future__ import annotations

import random
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import NoReturn

import trio

from acaciasaddle.errors import Outcome
from acaciasaddle.errors import RefusedError
from acaciasaddle.errors import UpstreamError
from acaciasaddle.errors import UpstreamUnreachableError
from acaciasaddle.forward._admission import RecentArrivals
from acaciasaddle.forward._admission import SlotTimes
from acaciasaddle.forward._admission import expected_response_s
from acaciasaddle.forward._admission import retry_after_s
from acaciasaddle.forward._headers import end_to_end_headers
from acaciasaddle.forward._pool import ConnectionPool
from acaciasaddle.forward._types import CallerRequest
from acaciasaddle.forward._types import CallerResponse
from acaciasaddle.forward._types import RequestMetadata
from acaciasaddle.forward._upstreams import BlockReason
from acaciasaddle.forward._upstreams import UpstreamStates
from acaciasaddle.http1 import ClientConnection
from acaciasaddle.keyspace import LoadSample
from acaciasaddle.memory import BodyTerms
from acaciasaddle.observe import NullMetrics
from acaciasaddle.observe import get_logger
from acaciasaddle.routing import Repeat
from acaciasaddle.routing import Route
from acaciasaddle.routing import Service
from acaciasaddle.routing import TrafficSplitter

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from acaciasaddle.fleet import FleetView
    from acaciasaddle.fleet import UpstreamEntry
    from acaciasaddle.forward._budget import RepeatBudget
    from acaciasaddle.forward._stop import PlannedStop
    from acaciasaddle.forward._types import Dialect
    from acaciasaddle.forward._upstreams import Block
    from acaciasaddle.http1 import RawHeaders
    from acaciasaddle.http1 import Response
    from acaciasaddle.keyspace import Span
    from acaciasaddle.memory import MemoryBound
    from acaciasaddle.observe import Metrics

DEFAULT_DEADLINE_S = 30.0
"""Deadline of a request that states none, or 0."""
LAST_RANK = 2**31
"""Rank of a request without a route."""
RESPONSE_GRACE_S = 0.1
"""Time after a request's deadline in which a response that is on its way is still accepted."""
MIN_ATTEMPT_S = 0.02
"""No attempt to send a request begins with less time than this left."""
OWNER_WAIT_S = 0.4
"""Longest time that a request waits for an owner of its key, for example while the key moves. A
move takes two round trips and the time until the requests in progress have ended, usually less than
this in all. A move that has already taken longer is probably waiting for a lease to end, so
requests for its keys are refused at once."""
NO_CONFIGURATION_RETRY_S = 0.5
STOPPING_RETRY_S = 0.0
"""Another host can serve the request at once; ``MIN_RETRY_AFTER_S`` applies."""
NO_UPSTREAM_RETRY_S = 0.5
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 2.0
RETRY_JITTER = 0.3
"""Largest random addition to Retry-After, as a share of it, so that refused callers do not all
return at once."""
RESEND_PAUSE_S = 0.03
"""Pause before a request is sent again after a failed send, or to an owner that rejected it
although it has free slots."""
MAX_SENDS = 4
OWNER_BLOCKED = {
    BlockReason.LEAVING: "the owner leaves",
    BlockReason.REPLACED: "the owner has ended",
    BlockReason.SILENT: "the owner is silent",
    BlockReason.ASKED_TO_WAIT: "the owner asked to wait",
}
CUT_OFF_REASON = "the caller's connection ended"
PROMISING_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that its request has not run. An upstream's response with one of
them is no such promise unless it says so itself."""

log = get_logger("forward")


@dataclass(slots=True, kw_only=True)
class _PendingRequest:
    """A request that is being forwarded, and the result of its sends so far.

    ``ends_at`` is the deadline on trio's clock. ``tried`` has the upstreams that it was sent to or
    that could not be reached, and ``upstream`` is the last one tried. ``connections`` are those
    that carried it: an upstream may send a second copy of an answer, which must not be taken for
    the answer to a later send of the same request. ``outcome`` says whether any send may have run
    the request.
    """

    req: CallerRequest
    metadata: RequestMetadata
    route: Route
    service: Service
    ends_at: float
    sends: int = 0
    tried: set[str] = field(default_factory=set)
    connections: list[ClientConnection] = field(default_factory=list)
    outcome: Outcome = Outcome.NOT_RUN
    upstream: str = ""

    @property
    def repeatable(self) -> bool:
        """Whether the request may be sent again after it may have run."""
        return self.route.repeat is Repeat.IDEMPOTENT

    @property
    def key(self) -> int | None:
        """The key whose owner alone may run the request, or ``None`` if any upstream may."""
        return self.metadata.key if self.service.keyed else None


class Forwarder:
    """Forwards callers' requests according to the state in the view.

    ``total_busy`` returns the number of requests that all hosts have at each upstream, as far as
    known; it is set by the node.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        dialect: Dialect,
        budget: RepeatBudget,
        data_centre: str,
        metrics: Metrics | None = None,
        memory: MemoryBound | None = None,
    ) -> None:
        """``memory`` bounds the responses of upstreams."""
        self._metrics = metrics or NullMetrics()
        self._view = view
        self._dialect = dialect
        self._budget = budget
        self._states = UpstreamStates(data_centre=data_centre)
        self._splitter = TrafficSplitter()
        self._pool = ConnectionPool(memory=memory)
        self._random = random.Random()
        self._samples: list[LoadSample] = []
        self._slot_times = SlotTimes()
        self._recent_arrivals = RecentArrivals()
        self._reported_busy: dict[str, int] = {}
        self.total_busy: Callable[[], dict[str, int]] = dict
        self._stop: PlannedStop | None = None

    def note_stop(self, stop: PlannedStop) -> None:
        """Refuse requests from now on that the stop of this host might break off."""
        self._stop = stop

    def take_samples(self) -> list[LoadSample]:
        """Return the load samples taken since the last call."""
        samples, self._samples = self._samples, []
        return samples

    @property
    def connections_opened(self) -> int:
        """Number of attempts to connect to upstreams since the start, including failed ones."""
        return self._pool.opened

    def busy(self) -> dict[str, int]:
        """Return the number of this host's requests in progress at each upstream that has any.

        The counts become part of the totals of all hosts. They are kept so that ``_busy_at`` can
        subtract them there.
        """
        self._reported_busy = self._states.busy()
        return self._reported_busy

    def body_terms(
        self, target: str, fields: Mapping[str, str], *, received_at: float
    ) -> BodyTerms:
        """Return the terms of a request with a large body, whose head was read at a given time."""
        metadata = self._dialect.read_request(fields)
        routes = self._view.routes
        route = routes.match(fields.get("host", ""), target) if routes is not None else None
        wait_s = metadata.deadline_s or DEFAULT_DEADLINE_S
        return BodyTerms(
            request_id=metadata.request_id,
            rank=route.rank if route is not None else LAST_RANK,
            ends_at=received_at + (min(wait_s, route.timeout_s) if route is not None else wait_s),
        )

    async def handle(self, req: CallerRequest) -> CallerResponse:
        """Return the response to a request; refusals and failures become error responses.

        If it is cancelled, as when the caller's connection ends, the request is logged as cut off.
        """
        metadata = self._dialect.read_request(req.fields)
        pending: _PendingRequest | None = None
        try:
            pending = self._accept(req, metadata)
            response = await self._serve(pending)
        except RefusedError as exc:
            # A name that outlives the block would be a cycle, by way of the traceback, that keeps
            # the bodies of the request and of its responses.
            return self._refuse(req, metadata, pending, exc)
        except trio.Cancelled:
            self._metrics.count("forward.cut_off")
            self._log_outcome(
                req, metadata, pending, status=0, reason=CUT_OFF_REASON, step="forward.cut_off"
            )
            raise
        self._log_request(req, metadata, pending, response, reason="", step="")
        return response

    def _refuse(
        self,
        req: CallerRequest,
        metadata: RequestMetadata,
        pending: _PendingRequest | None,
        raised: RefusedError,
    ) -> CallerResponse:
        exc = _correct_outcome(raised, pending)
        response = self._refusal_response(exc)
        self._log_request(req, metadata, pending, response, reason=exc.message, step=exc.step)
        return response

    def _accept(self, req: CallerRequest, metadata: RequestMetadata) -> _PendingRequest:
        """Return the pending request with its route and service, or raise ``RefusedError``."""
        cfg, routes = self._view.configuration, self._view.routes
        if cfg is None or routes is None:
            raise _refused("no configuration is known yet", NO_CONFIGURATION_RETRY_S, "accept")
        route = routes.match(req.fields.get("host", ""), req.target)
        if route is None:
            raise _refused("no route matches", None, "accept", status=404)
        service = cfg.services.get(self._splitter.choose(route))
        if service is None:
            raise _refused("the route's service is not configured", None, "accept")
        wait_s = min(metadata.deadline_s or DEFAULT_DEADLINE_S, route.timeout_s)
        return _PendingRequest(
            req=req,
            metadata=metadata,
            route=route,
            service=service,
            ends_at=req.received_at + wait_s,
        )

    async def _serve(self, pending: _PendingRequest) -> CallerResponse:
        """Count a request, forward it within its deadline and return the response."""
        now = trio.current_time()
        self._budget.note_request(pending.service.name, now=now)
        self._recent_arrivals.note(pending.service.name, pending.route.rank, now=now)
        if pending.key is not None:
            # The load of a key counts all requests for it, also those that are refused.
            self._add_load_sample(pending, key=pending.key)
        with trio.move_on_at(pending.ends_at + RESPONSE_GRACE_S):
            return await self._attempt_until_served(pending)
        if pending.outcome is Outcome.NOT_RUN:
            raise _refused("no upstream was free in time", NO_UPSTREAM_RETRY_S, "serve")
        raise _failed("no response in time", "serve", pending, status=504)

    async def _attempt_until_served(self, pending: _PendingRequest) -> CallerResponse:
        """Send a request until an upstream serves it, and return the response.

        Raises ``RefusedError`` if no further send is allowed.
        """
        while True:
            upstream = await self._choose_upstream(pending)
            if trio.current_time() > pending.ends_at - MIN_ATTEMPT_S:
                raise _refused("too little time is left", NO_UPSTREAM_RETRY_S, "choose")
            try:
                resp = await self._send(pending, upstream)
            except UpstreamError as exc:
                await self._handle_failed_send(pending, upstream, exc)
                continue
            if self._dialect.is_not_run(resp.status, resp.fields):
                if self._dialect.is_other_upstream(resp.fields, upstream.upstream_id):
                    self._states.of(upstream.upstream_id).note_replaced(upstream)
                status = resp.status
                # Its memory must be free before the next send, whose response may wait for memory.
                del resp
                await self._handle_rejection(pending, upstream, status)
                continue
            if resp.status >= 500 and self._may_resend(pending, upstream):
                log.info(
                    "sending request again after server error",
                    request=pending.metadata.request_id,
                    upstream=upstream.upstream_id,
                    status=resp.status,
                )
                del resp
                continue
            return _caller_response(resp)

    # Choice of an upstream.

    async def _choose_upstream(self, pending: _PendingRequest) -> UpstreamEntry:
        """Return the upstream to send a request to.

        Raises ``RefusedError`` if there is none, or if it is silent or too busy.
        """
        if pending.key is not None:
            return await self._wait_for_owner(pending, pending.key)
        upstreams = self._view.upstreams_of(pending.service.name)
        chosen = self._states.choose(
            upstreams,
            tried=pending.tried,
            now=trio.current_time(),
            expected_s=lambda entry: expected_response_s(
                slot_s=self._slot_times.of(entry.upstream_id),
                busy=self._busy_at(entry.upstream_id),
                slots=entry.slots,
            ),
            bulky=pending.route.bulky,
        )
        if chosen is None:
            self._refuse_unserved(pending, upstreams)
        self._admit(pending, chosen)
        return chosen

    def _refuse_unserved(
        self, pending: _PendingRequest, upstreams: Sequence[UpstreamEntry]
    ) -> NoReturn:
        """Raise ``RefusedError`` for a request that no upstream of its service may be sent."""
        now = trio.current_time()
        untried = [entry for entry in upstreams if entry.upstream_id not in pending.tried]
        resumes_at = self._states.first_resumption(untried, now=now)
        if resumes_at is None:
            raise _refused("no upstream is left to try", NO_UPSTREAM_RETRY_S, "choose")
        reason = BlockReason.ASKED_TO_WAIT
        self._metrics.count(f"forward.blocked.{reason.replace(' ', '_')}")
        wait_s = resumes_at - now
        raise _refused(
            "all upstreams asked to wait", wait_s, "choose", longest_retry_after_s=wait_s
        )

    async def _wait_for_owner(self, pending: _PendingRequest, key: int) -> UpstreamEntry:
        """Return the owner of a key.

        Wait up to ``OWNER_WAIT_S`` while the key moves, or its owner drains, has restarted or is
        not registered. Raises ``RefusedError`` if no owner is found, or if it is silent or too
        busy.
        """
        wait_until = min(trio.current_time() + OWNER_WAIT_S, pending.ends_at)
        service = pending.service.name
        while True:
            now = trio.current_time()
            changed = self._view.changed
            owners = self._view.owners.get(service)
            span = owners.find(key) if owners is not None else None
            entry = self._active_owner(service, span)
            if entry is not None:
                block = self._states.block(entry, now=now, keyed=True)
                if block is None:
                    self._admit(pending, entry)
                    return entry
                await self._wait_out(pending, block)
                continue
            if span is None or (
                span.moving and self._view.moving_for_s(service, span.fence) > OWNER_WAIT_S
            ):
                raise _refused("the key has no owner now", NO_UPSTREAM_RETRY_S, "choose")
            if not self._view.upstreams_of(service):
                raise _refused("no upstream takes new work", NO_UPSTREAM_RETRY_S, "choose")
            self._refuse_if_stopping(pending, sent_at=wait_until)
            with trio.move_on_at(wait_until) as scope:
                await changed.wait()
            if scope.cancelled_caught:
                raise _refused("the key is still moving", NO_UPSTREAM_RETRY_S, "choose")

    async def _wait_out(self, pending: _PendingRequest, block: Block) -> None:
        """Wait until the owner of a key may be sent to again; raise ``RefusedError`` if it is long.

        Only the end of a short pause that the owner asked for is waited for.
        """
        now = trio.current_time()
        wait_s = block.until - now
        self._metrics.count(f"forward.blocked.{block.reason.replace(' ', '_')}")
        ends_in_time = block.until + MIN_ATTEMPT_S < pending.ends_at
        if block.reason is BlockReason.ASKED_TO_WAIT and wait_s <= OWNER_WAIT_S and ends_in_time:
            self._refuse_if_stopping(pending, sent_at=block.until)
            await trio.sleep_until(block.until)
            return
        longest_s = wait_s if block.reason is BlockReason.ASKED_TO_WAIT else MAX_RETRY_AFTER_S
        raise _refused(
            OWNER_BLOCKED[block.reason], wait_s, "choose", longest_retry_after_s=longest_s
        )

    def _admit(self, pending: _PendingRequest, upstream: UpstreamEntry) -> None:
        """Raise ``RefusedError`` if a request is expected to end too late, or has to yield."""
        now = trio.current_time()
        busy = self._busy_at(upstream.upstream_id)
        slot_s = self._slot_times.of(upstream.upstream_id)
        route = pending.route
        expected_s = expected_response_s(slot_s=slot_s, busy=busy, slots=upstream.slots)
        self._refuse_if_stopping(pending, sent_at=now, expected_s=expected_s)
        yields = route.bulky and self._recent_arrivals.has_more_urgent(
            pending.service.name, route.rank
        )
        seconds = retry_after_s(
            slot_s=slot_s,
            busy=busy,
            slots=upstream.slots,
            remaining_s=pending.ends_at - now,
            yields=yields,
        )
        if seconds is not None:
            log.info(
                "request refused, upstream too busy",
                request=pending.metadata.request_id,
                upstream=upstream.upstream_id,
                busy=busy,
                slot_ms=round(slot_s * 1000),
                yields=yields,
            )
            raise _refused("the upstream is too busy", seconds, "choose")

    def _refuse_if_stopping(
        self, pending: _PendingRequest, *, sent_at: float, expected_s: float = 0.0
    ) -> None:
        """Raise ``RefusedError`` if this host's stop may break off a request sent at that time."""
        if self._stop is not None and not self._stop.allows(
            now=sent_at,
            request_ends_at=pending.ends_at + RESPONSE_GRACE_S,
            expected_s=expected_s,
            repeatable=pending.repeatable,
        ):
            raise _refused("this host stops", STOPPING_RETRY_S, "choose")

    def _busy_at(self, upstream_id: str) -> int:
        """Return the number of requests of all hosts at an upstream, as far as known.

        Of this host's own requests, those in the last report are already part of the total.
        """
        own = self._states.of(upstream_id).in_flight
        reported = self._reported_busy.get(upstream_id, 0)
        return max(own, self.total_busy().get(upstream_id, 0) + own - reported)

    def _active_owner(self, service: str, span: Span | None) -> UpstreamEntry | None:
        """Return the owner of a span if it accepts requests now, else ``None``."""
        if span is None or (span.moving and (service, span.fence) not in self._view.granted):
            return None
        entry = self._view.upstreams.get(span.owner.incarnation.upstream_id)
        if entry is None or entry.life != span.owner.incarnation:
            return None
        if not entry.draining:
            return entry
        # Requests for the keys of an owner that has just begun to leave need not wait for the move.
        return replace(entry, draining=False) if self._view.may_own_for_now(entry) else None

    # A single send.

    async def _send(self, pending: _PendingRequest, upstream: UpstreamEntry) -> Response:
        """Send a request once, record the outcome and return the response.

        Raises ``UpstreamError`` if there is no usable response.
        """
        state = self._states.of(upstream.upstream_id)
        pending.upstream = upstream.upstream_id
        conn = await self._pool.acquire(
            upstream, fresh=not pending.repeatable, without=pending.connections
        )
        pending.connections.append(conn)
        pending.sends += 1
        pending.tried.add(upstream.upstream_id)
        earlier = pending.outcome
        pending.outcome = Outcome.UNKNOWN
        started = trio.current_time()
        busy = self._busy_at(upstream.upstream_id)
        state.in_flight += 1
        try:
            resp = await conn.exchange(
                method=pending.req.method,
                target=pending.req.target,
                headers=self._headers(pending, upstream, started),
                body=pending.req.body,
                is_next=pending.req.is_next,
                matches=lambda resp: self._dialect.answers(resp.fields, pending.metadata),
            )
            self._note_pause(upstream, resp)
            problem = self._problem_of(resp)
            if problem:
                conn.reusable = False
                raise UpstreamError(
                    problem, outcome=Outcome.UNKNOWN, step="send", peer=upstream.upstream_id
                )
        except UpstreamError as exc:
            if exc.outcome is Outcome.NOT_RUN:
                pending.outcome = earlier
            raise
        finally:
            state.in_flight -= 1
            self._pool.release(upstream, conn)
        if self._dialect.is_leaving(resp.status, resp.fields, upstream.upstream_id):
            self._view.note_leaving(upstream.life, told_by="a request")
        if self._dialect.is_not_run(resp.status, resp.fields):
            pending.outcome = earlier
            return resp
        pending.outcome = Outcome.COMPLETED
        seconds = trio.current_time() - started
        self._metrics.timing("forward.upstream_time", seconds * 1000)
        self._metrics.timing("forward.deadline_left", (pending.ends_at - started) * 1000)
        state.note_success(seconds)
        self._slot_times.note(
            upstream.upstream_id, seconds=seconds, busy=busy + 1, slots=upstream.slots
        )
        self._add_load_sample(pending, upstream_id=upstream.upstream_id, seconds=seconds)
        return resp

    def _note_pause(self, upstream: UpstreamEntry, resp: Response) -> None:
        """Note for how long the upstream wants no requests of this host, if it says so."""
        pause_s = self._dialect.requested_pause_s(resp.status, resp.fields)
        if pause_s is not None:
            until = trio.current_time() + pause_s
            self._states.of(upstream.upstream_id).note_pause(upstream.life, until)
            log.info(
                "upstream asked to wait", upstream=upstream.upstream_id, seconds=round(pause_s, 3)
            )

    def _problem_of(self, resp: Response) -> str:
        """Return why a response may not be passed on to the caller, or an empty string."""
        if 200 <= resp.status < 300 and not self._dialect.is_signed(_forwarded_fields(resp)):
            return "the response carries no signature"
        if resp.status in PROMISING_STATUSES and not self._dialect.is_not_run(
            resp.status, resp.fields
        ):
            return f"status {resp.status} does not state that the request was not run"
        return ""

    def _headers(self, pending: _PendingRequest, upstream: UpstreamEntry, now: float) -> RawHeaders:
        headers = end_to_end_headers(pending.req.headers, without=self._dialect.system_headers)
        headers += self._dialect.upstream_headers(
            upstream_id=upstream.upstream_id, remaining_s=pending.ends_at - now
        )
        if pending.req.body or "content-length" in pending.req.fields:
            headers.append((b"Content-Length", str(len(pending.req.body)).encode()))
        return headers

    def _add_load_sample(
        self,
        pending: _PendingRequest,
        *,
        key: int = -1,
        upstream_id: str = "",
        seconds: float = -1.0,
    ) -> None:
        self._samples.append(
            LoadSample(
                service=pending.service.name, key=key, upstream_id=upstream_id, seconds=seconds
            )
        )

    # Failed and rejected sends.

    async def _handle_failed_send(
        self, pending: _PendingRequest, upstream: UpstreamEntry, exc: UpstreamError
    ) -> None:
        """Pause if a request may be sent again after a failed send, or raise ``RefusedError``."""
        now = trio.current_time()
        state = self._states.of(upstream.upstream_id)
        unreachable = isinstance(exc, UpstreamUnreachableError)
        if not unreachable and self._busy_at(upstream.upstream_id) >= upstream.slots:
            # An upstream with a long queue resets connections; it is full, not silent.
            state.note_full(now, state.response_s)
        else:
            state.note_failure(now)
        self._pool.discard(upstream.upstream_id)
        self._metrics.count(f"forward.send_failed.{exc.outcome.value}")
        log.warning(
            "send failed",
            request=pending.metadata.request_id,
            upstream=upstream.upstream_id,
            outcome=exc.outcome.value,
            reason=str(exc),
        )
        if pending.outcome is Outcome.NOT_RUN:
            # The next send does not count as a repeat, since this one reached no upstream.
            pending.tried.add(upstream.upstream_id)
            if pending.sends + len(pending.tried) > MAX_SENDS:
                raise _refused("no upstream could be reached", NO_UPSTREAM_RETRY_S, "send")
            await trio.sleep(RESEND_PAUSE_S)
            return
        if not self._may_resend(pending, upstream):
            raise _failed("the upstream did not answer", "send", pending, status=502)
        await trio.sleep(RESEND_PAUSE_S)

    async def _handle_rejection(
        self, pending: _PendingRequest, upstream: UpstreamEntry, status: int
    ) -> None:
        """Return if a request may be sent again after a rejection, or raise ``RefusedError``."""
        now = trio.current_time()
        state = self._states.of(upstream.upstream_id)
        self._metrics.count(f"forward.rejected.{status}")
        log.info(
            "rejected by upstream",
            request=pending.metadata.request_id,
            upstream=upstream.upstream_id,
            status=status,
        )
        if status in (429, 503):
            state.note_full(now, state.response_s)
        wait_s = state.response_s
        if pending.key is not None:
            may_resend = await self._may_retry_owner(pending, upstream, status)
        else:
            may_resend = len(pending.tried) < pending.route.max_upstreams
        if pending.outcome is not Outcome.NOT_RUN:
            raise _failed("an earlier send may have run", "send", pending, status=502)
        if not may_resend or not self._take_budget(pending):
            raise _refused("the upstream is full", wait_s, "send")

    async def _may_retry_owner(
        self, pending: _PendingRequest, owner: UpstreamEntry, status: int
    ) -> bool:
        """Return whether a request that the owner of its key rejected may be sent again.

        If so, pause before returning. An owner that rejects although it has free slots does so at
        random, so the next send is as likely to succeed as the first. Raises ``RefusedError`` if
        the owner has ended.
        """
        if self._states.of(owner.upstream_id).is_replaced(owner):
            raise _refused("the owner has ended", NO_UPSTREAM_RETRY_S, "send")
        block = self._states.block(owner, now=trio.current_time(), keyed=False)
        if block is not None and block.reason is BlockReason.ASKED_TO_WAIT:
            await self._wait_out(pending, block)
        if pending.sends >= MAX_SENDS:
            return False
        if status == 421:
            # The key has probably moved; wait for the change of owners to arrive.
            changed = self._view.changed
            wait_until = trio.current_time() + OWNER_WAIT_S / 2
            self._refuse_if_stopping(pending, sent_at=wait_until)
            with trio.move_on_at(wait_until):
                await changed.wait()
            return True
        if self._busy_at(owner.upstream_id) >= owner.slots:
            return False
        await trio.sleep(RESEND_PAUSE_S)
        return True

    def _may_resend(self, pending: _PendingRequest, upstream: UpstreamEntry) -> bool:
        """Return whether a request that may have run may be sent again; if so, count the repeat."""
        if not pending.repeatable or pending.sends >= MAX_SENDS:
            return False
        if pending.key is None and len(pending.tried) >= pending.route.max_upstreams:
            return False
        if trio.current_time() > pending.ends_at - self._states.of(upstream.upstream_id).response_s:
            return False
        return self._take_budget(pending)

    def _take_budget(self, pending: _PendingRequest) -> bool:
        taken = self._budget.take(pending.service.name, now=trio.current_time())
        self._metrics.count(f"forward.repeat.{'taken' if taken else 'denied'}")
        return taken

    # Responses of the router itself, and log lines.

    def _refusal_response(self, exc: RefusedError) -> CallerResponse:
        headers: RawHeaders = []
        if exc.retry_after is not None:
            seconds = max(exc.retry_after, MIN_RETRY_AFTER_S)
            seconds *= 1.0 + RETRY_JITTER * self._random.random()
            headers.append((b"Retry-After", f"{seconds:.3f}".encode()))
        return CallerResponse(status=exc.status, headers=headers, body=b"")

    def _log_request(
        self,
        req: CallerRequest,
        metadata: RequestMetadata,
        pending: _PendingRequest | None,
        response: CallerResponse,
        *,
        reason: str,
        step: str,
    ) -> None:
        kind = pending.route.repeat.value if pending else "unrouted"
        self._metrics.timing(f"forward.request.{kind}", _age_ms(req))
        self._metrics.count(f"forward.status.{response.status}")
        if reason:
            self._metrics.count(f"forward.refused.{reason.replace(' ', '_')}")
        self._log_outcome(req, metadata, pending, status=response.status, reason=reason, step=step)

    def _log_outcome(
        self,
        req: CallerRequest,
        metadata: RequestMetadata,
        pending: _PendingRequest | None,
        *,
        status: int,
        reason: str,
        step: str,
    ) -> None:
        cfg = self._view.configuration
        log.info(
            "request",
            request=metadata.request_id,
            status=status,
            ms=round(_age_ms(req), 1),
            route=pending.route.name if pending else "",
            service=pending.service.name if pending else "",
            key=metadata.key,
            upstream=pending.upstream if pending else "",
            sends=pending.sends if pending else 0,
            outcome=pending.outcome.value if pending else Outcome.NOT_RUN.value,
            reason=reason,
            step=step,
            configuration=cfg.version if cfg else 0,
            owners=self._owners_version(pending),
            registry_age_s=self._view.registry_age_s,
        )

    def _owners_version(self, pending: _PendingRequest | None) -> int:
        owners = self._view.owners.get(pending.service.name) if pending else None
        return owners.version if owners is not None else 0


def _age_ms(req: CallerRequest) -> float:
    return (trio.current_time() - req.received_at) * 1000


def _forwarded_fields(resp: Response) -> dict[str, str]:
    """Return the fields that reach the caller: an upstream may limit any to its connection."""
    names = {name.lower().decode("latin-1") for name, _ in end_to_end_headers(resp.headers)}
    return {name: value for name, value in resp.fields.items() if name in names}


def _caller_response(resp: Response) -> CallerResponse:
    headers = end_to_end_headers(resp.headers)
    return CallerResponse(
        status=resp.status, headers=headers, body=resp.body, reason=resp.reason, hold=resp.hold
    )


def _refused(
    message: str,
    retry_after: float | None,
    step: str,
    *,
    status: int = 503,
    longest_retry_after_s: float = MAX_RETRY_AFTER_S,
) -> RefusedError:
    """Return the error for a request that has not run."""
    return RefusedError(
        message,
        outcome=Outcome.NOT_RUN,
        status=status,
        retry_after=None if retry_after is None else min(retry_after, longest_retry_after_s),
        step=f"forward.{step}",
    )


def _correct_outcome(exc: RefusedError, pending: _PendingRequest | None) -> RefusedError:
    """Return the error, with an unknown outcome if an earlier send may have run the request."""
    if pending is None or pending.outcome is Outcome.NOT_RUN or exc.outcome is not Outcome.NOT_RUN:
        return exc
    return _failed(exc.message, "retry", pending, status=502)


def _failed(message: str, step: str, pending: _PendingRequest, *, status: int) -> RefusedError:
    """Return the error for a request that may have run."""
    return RefusedError(
        message,
        outcome=Outcome.UNKNOWN,
        status=status,
        step=f"forward.{step}",
        peer=pending.upstream,
    )

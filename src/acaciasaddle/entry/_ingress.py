"""Handling of callers' requests: classification, routing, and retries with a new route."""

from __future__ import annotations

import json
import math
import uuid
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any
from typing import ClassVar

import trio

from acaciasaddle.config import caller_data_centres
from acaciasaddle.entry._decisions import Decision
from acaciasaddle.entry._decisions import DecisionLog
from acaciasaddle.entry._exchange import CallerBody
from acaciasaddle.entry._exchange import CallerResponseSink
from acaciasaddle.errors import NotOwnerError
from acaciasaddle.errors import Outcome
from acaciasaddle.errors import PeerUnreachableError
from acaciasaddle.errors import RefusedError
from acaciasaddle.errors import RequestError
from acaciasaddle.kernel import Service
from acaciasaddle.model import UnitId
from acaciasaddle.model import UpstreamId
from acaciasaddle.model import WorkRequest
from acaciasaddle.observe import get_logger

if TYPE_CHECKING:
    from acaciasaddle.clock import Clock
    from acaciasaddle.config import Settings
    from acaciasaddle.dispatch import Dispatcher
    from acaciasaddle.entry._exchange import Receive
    from acaciasaddle.entry._exchange import Send
    from acaciasaddle.errors import AcaciasaddleError
    from acaciasaddle.mirror import Configuration
    from acaciasaddle.mirror import Mirror
    from acaciasaddle.observe import Metrics
    from acaciasaddle.ownership import Route
    from acaciasaddle.ownership import Router
    from acaciasaddle.peers import PeerHub

REROUTE_DELAY_S = 0.01
# Every attempt after the first waits ``REROUTE_DELAY_S``, and then for a change of the mirror: at
# most ``REROUTE_DELAY_S`` before the second attempt, twice as long before each further one, and
# never longer than this.
REROUTE_MAX_DELAY_S = 0.2
RESERVED_HEADER_PREFIX = "acaciasaddle-"
# Step of the dispatcher's ``NotOwnerError`` after an attempt that may have run.
STEP_LOST = "dispatch.lost"

log = get_logger("route")


class Ingress(Service):
    """Serves callers' requests."""

    name: ClassVar[str] = "ingress"

    def __init__(
        self,
        *,
        member: str,
        settings: Settings,
        mirror: Mirror,
        router: Router,
        dispatcher: Dispatcher,
        hub: PeerHub,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._member = member
        self._settings = settings
        self._mirror = mirror
        self._router = router
        self._dispatcher = dispatcher
        self._hub = hub
        self._clock = clock
        self._metrics = metrics
        self.decision_log = DecisionLog()
        self.in_progress = 0

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        task_status.started()
        await trio.sleep_forever()

    async def handle(self, scope: Any, receive: Receive, send: Send) -> None:
        """Serve one HTTP request, given as an ASGI scope."""
        request_id = f"{self._settings.host_id}-{uuid.uuid4().hex}"
        body = CallerBody(
            receive=receive,
            max_bytes=self._settings.max_body_bytes,
            stall_timeout=self._settings.body_stall_timeout_s,
        )
        response = CallerResponseSink(send=send, request_id=request_id, body=body)
        self.in_progress += 1
        started = self._clock.now()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(body.read_from_asgi, nursery.cancel_scope)
                await self._serve(scope, request_id, body, response)
                nursery.cancel_scope.cancel()
        finally:
            self.in_progress -= 1
            self._metrics.timing("ingress.request", (self._clock.now() - started) * 1000)
            if response.ended:
                # Recorded outside the nursery, which is cancelled if the caller disconnects as soon
                # as it has the response.
                self._record_decision(request_id, "answer", f"status {response.status}")
            else:
                self._record_decision(
                    request_id, "caller.gone", "the exchange ended without a complete response"
                )

    async def _serve(
        self, scope: Any, request_id: str, body: CallerBody, response: CallerResponseSink
    ) -> None:
        try:
            req = self._classify(scope, request_id)
            await self._forward_until_served(req, body, response)
        except RequestError as exc:
            outcome = Outcome.UNKNOWN if body.partly_read else Outcome.NOT_RUN
            await self._send_refusal(response, request_id, exc, outcome, exc.status, None)
        except RefusedError as exc:
            await self._send_refusal(
                response, request_id, exc, exc.outcome, exc.status, exc.retry_after
            )

    def _classify(self, scope: Any, request_id: str) -> WorkRequest:
        cfg = self._mirror.configuration
        if cfg is None or not self._mirror.complete:
            raise RefusedError(
                "the mirror of this host is incomplete or has no configuration",
                outcome=Outcome.NOT_RUN,
                status=503,
                retry_after=1.0,
                step="classify",
            )
        headers = _headers(scope)
        match = cfg.classifier.classify(scope["method"], scope["raw_path"].decode("latin-1"))
        if match is None:
            raise RequestError(
                "no kind of work matches the method and path", status=404, step="classify"
            )
        kind, key = match.kind, match.key
        headers_by_name = {name.lower(): value for name, value in headers}
        length = headers_by_name.get("content-length", "")
        query = scope.get("query_string", b"").decode("latin-1")
        rank = next(rank for rank in cfg.rules.ranks if rank.name == kind.rank)
        # Unit and upstream are placeholders: each attempt sets them from its route.
        return WorkRequest(
            request_id=request_id,
            service=kind.service,
            unit=UnitId(kind.service, "", 0),
            upstream=UpstreamId(kind.service, ""),
            key=key,
            kind=kind.name,
            rank=kind.rank,
            once=kind.once,
            bulky=kind.bulky,
            caller=headers_by_name.get(cfg.rules.caller_header.lower(), ""),
            idempotency_key=headers_by_name.get("idempotency-key", "") if kind.once else "",
            method=scope["method"],
            target=scope["raw_path"].decode("latin-1") + (f"?{query}" if query else ""),
            headers=tuple(
                (n, v) for n, v in headers if not n.lower().startswith(RESERVED_HEADER_PREFIX)
            ),
            body_length=int(length) if length.isdigit() else -1,
            budget_ms=kind.target_ms or rank.target_ms,
        )

    async def _forward_until_served(
        self, req: WorkRequest, body: CallerBody, response: CallerResponseSink
    ) -> None:
        cfg = self._mirror.configuration
        assert cfg is not None
        idempotent = next(k.idempotent for k in cfg.rules.kinds if k.name == req.kind)
        deadline = self._clock.now() + req.budget_ms / 1000
        delay = REROUTE_DELAY_S
        last_error: AcaciasaddleError | None = None
        may_have_run = False
        for attempt in range(1, 1_000_000):
            remaining = deadline - self._clock.now()
            if remaining <= 0:
                raise (
                    self._unknown_outcome(last_error)
                    if may_have_run
                    else self._deadline_exceeded(last_error)
                )
            try:
                route = self._router.route(service=req.service, key=req.key)
                self._check_access(cfg, req, route)
                req = replace(
                    req,
                    unit=route.unit,
                    upstream=route.owner,
                    budget_ms=max(int(remaining * 1000), 1),
                    attempt=attempt,
                )
                await self._attempt(req, route, attempt, body, response)
                return
            except NotOwnerError as exc:
                may_have_run = may_have_run or exc.step == STEP_LOST
                last_error = exc
            except PeerUnreachableError as exc:
                may_have_run = may_have_run or exc.sent
                # The holder and its successor share the records of requests that must run at most
                # once, so sending such a request to them again cannot run it twice.
                if exc.sent and not (idempotent or req.once):
                    raise self._unknown_outcome(exc) from exc
                last_error = exc
            except RefusedError as exc:
                if exc.step != "route":
                    # For requests that must run at most once, the outcome comes from the records,
                    # which include earlier attempts.
                    if may_have_run and not req.once and exc.outcome is Outcome.NOT_RUN:
                        raise self._unknown_outcome(exc) from exc
                    raise
                last_error = exc
            if response.started:
                raise RefusedError(
                    f"the response was cut short: {last_error}",
                    outcome=Outcome.UNKNOWN,
                    status=504,
                    step="forward",
                    peer=last_error.peer,
                )
            if not body.rewind():
                raise self._unknown_outcome(last_error)
            await trio.sleep(min(REROUTE_DELAY_S, max(deadline - self._clock.now(), 0)))
            with trio.move_on_after(min(delay, max(deadline - self._clock.now(), 0))):
                await self._mirror.wait_changed()
            delay = min(delay * 2, REROUTE_MAX_DELAY_S)

    async def _attempt(
        self,
        req: WorkRequest,
        route: Route,
        attempt: int,
        body: CallerBody,
        response: CallerResponseSink,
    ) -> None:
        # Even attempts go to the successor, which may have taken over from an unreachable holder
        # before the mirror shows it.
        member = route.successor if attempt % 2 == 0 and route.successor else route.holder
        detail = f"unit {route.unit} owned by {route.owner}, routed to {member}"
        self._record_decision(req.request_id, "route", detail)
        log.info(
            "request routed",
            request=req.request_id,
            kind=req.kind,
            rank=req.rank,
            unit=str(route.unit),
            owner=str(route.owner),
            holder=member,
            attempt=attempt,
            config=route.config_version,
        )
        if member == self._member:
            await self._dispatcher.serve(req, body, response)
        else:
            await self._hub.work(member, req, body, response)

    def _check_access(self, cfg: Configuration, req: WorkRequest, route: Route) -> None:
        allowed = caller_data_centres(cfg.inventory, cfg.rules, req.caller)
        owner = cfg.upstreams.get(route.owner)
        data_centre = owner.entry.data_centre if owner else "unknown"
        if data_centre in allowed:
            return
        raise RefusedError(
            f"caller {req.caller!r} may not be served from data centre {data_centre}",
            outcome=Outcome.NOT_RUN,
            status=403,
            step="access",
            peer=str(route.owner),
        )

    def _deadline_exceeded(self, last_error: AcaciasaddleError | None) -> RefusedError:
        reason = f": {last_error}" if last_error else ""
        return RefusedError(
            f"no holder served the request in time{reason}",
            outcome=Outcome.NOT_RUN,
            status=503,
            retry_after=1.0,
            step="forward",
            peer=last_error.peer if last_error else "",
        )

    def _unknown_outcome(self, exc: AcaciasaddleError | None) -> RefusedError:
        return RefusedError(
            f"the request may have run: {exc}",
            outcome=Outcome.UNKNOWN,
            status=504,
            step=exc.step if exc else "forward",
            peer=exc.peer if exc else "",
        )

    async def _send_refusal(
        self,
        response: CallerResponseSink,
        request_id: str,
        exc: AcaciasaddleError,
        outcome: Outcome,
        status: int,
        retry_after: float | None,
    ) -> None:
        self._record_decision(request_id, exc.step, f"refused as {outcome}: {exc.message}")
        self._metrics.count(f"ingress.refused.{outcome}")
        log.info(
            "request refused",
            request=request_id,
            outcome=outcome.value,
            status=status,
            step=exc.step,
            peer=exc.peer,
            reason=exc.message,
        )
        if response.started:
            # Hypercorn closes the connection if the application returns before the response ends.
            return
        problem = {
            "type": "about:blank",
            "title": exc.message,
            "status": status,
            "outcome": outcome.value,
            "step": exc.step,
            "peer": exc.peer,
            "reason": exc.message,
            "request_id": request_id,
        }
        data = json.dumps(problem).encode()
        headers = [
            ("content-type", "application/problem+json"),
            ("content-length", str(len(data))),
            ("acaciasaddle-outcome", outcome.value),
        ]
        if retry_after is not None:
            headers.append(("retry-after", str(math.ceil(retry_after))))
        await response.head(status, tuple(headers))
        await response.data(data)
        await response.end()

    def _record_decision(self, request_id: str, step: str, detail: str) -> None:
        self.decision_log.add(request_id, Decision(at=self._clock.wall(), step=step, detail=detail))


def _headers(scope: Any) -> list[tuple[str, str]]:
    return [(name.decode("latin-1"), value.decode("latin-1")) for name, value in scope["headers"]]

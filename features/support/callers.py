"""Sends requests of callers and operators to hosts over ASGI, and records callers' outcomes."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

import trio
from features.support.system import unique_body
from features.support.system import uuid7

from acaciasaddle.emulator._records import CallerOutcome
from acaciasaddle.emulator._records import CallerRecord

if TYPE_CHECKING:
    from collections.abc import Sequence

    from features.support.system import SimulatedHost
    from features.support.system import SimulatedSystem

ATTEMPT_TIMEOUT_S = 8.0
UPLOAD_CHUNK_BYTES = 32_768
WALL_CLOCK_OFFSET_S = 1_700_000_000.0
"""Added to trio's mock clock, which starts at 0, to get a Unix time."""


@dataclass(slots=True, kw_only=True)
class Attempt:
    """One attempt to send a request to a host, as its caller saw it. Times are on trio's clock."""

    host: str
    key: str
    kind: str
    started_at: float
    ended_at: float = 0.0
    outcome: CallerOutcome = CallerOutcome.NO_ANSWER
    status: int = 0
    request_id: str = ""
    upstream: str = ""
    reason: str = ""
    gave_up: bool = False


@dataclass(slots=True, kw_only=True)
class CallerRequest:
    """A caller's request and all attempts to send it."""

    kind: str
    key: str
    tag: str
    method: str
    target: str
    body: bytes = b""
    idempotency_key: str = ""
    work_ms: float = 20.0
    chunk_pause_s: float = 0.0
    abort_upload_after_bytes: int | None = None
    give_up_after_s: float | None = None
    attempts: list[Attempt] = field(default_factory=list)

    def record(self) -> CallerRecord:
        """Return what the caller knows about the request after its last attempt.

        The outcome "not run" refers to one attempt only. If the outcome of an earlier attempt is
        not known, that of the request is unknown.
        """
        last = self.attempts[-1]
        outcome = last.outcome
        undetermined = (CallerOutcome.UNKNOWN, CallerOutcome.CUT, CallerOutcome.NO_ANSWER)
        if outcome is CallerOutcome.NOT_RUN:
            for attempt in self.attempts:
                if attempt.outcome in undetermined:
                    outcome = CallerOutcome.UNKNOWN
        return CallerRecord(
            idempotency_key=self.idempotency_key,
            kind=self.kind,
            outcome=outcome,
            status=last.status,
            earlier=tuple(attempt.outcome for attempt in self.attempts[:-1]),
        )


class Callers:
    """Creates and sends requests, and keeps them with their attempts."""

    def __init__(self, system: SimulatedSystem) -> None:
        self._system = system
        self.requests: list[CallerRequest] = []
        self._request_count = 0

    def new_request(
        self, kind: str, key: str, method: str, path: str, **options: Any
    ) -> CallerRequest:
        """Return a new request, which is kept in ``requests``."""
        self._request_count += 1
        tag = f"t{self._request_count}"
        work_ms = options.pop("work_ms", 20)
        size = options.pop("size", 0)
        request = CallerRequest(
            kind=kind,
            key=key,
            tag=tag,
            method=method,
            target=f"{path}?tag={tag}&work_ms={work_ms}",
            body=unique_body(tag, size) if size else b"",
            **options,
        )
        self.requests.append(request)
        return request

    def lookup(self, key: str, **options: Any) -> CallerRequest:
        """Return a new idempotent request."""
        return self.new_request("lookup", key, "GET", f"/bookings/{key}", **options)

    def deposit(self, key: str, **options: Any) -> CallerRequest:
        """Return a new request that must run at most once."""
        idempotency_key = uuid7(self._system.rng, trio.current_time() + WALL_CLOCK_OFFSET_S)
        return self.new_request(
            "deposit",
            key,
            "POST",
            f"/bookings/{key}/deposit",
            size=40,
            idempotency_key=idempotency_key,
            **options,
        )

    def upload(self, key: str, **options: Any) -> CallerRequest:
        """Return a new bulky request."""
        return self.new_request("recording", key, "PUT", f"/bookings/{key}/recording", **options)

    async def send(
        self, request: CallerRequest, hosts: Sequence[str], *, max_attempts: int = 6
    ) -> Attempt:
        """Make up to ``max_attempts`` attempts at one host after the other, and return the last.

        No further attempt follows a final outcome, an attempt that the caller gave up, or an
        unknown outcome of a request with an idempotency key.
        """
        for number in range(max_attempts):
            # The platform's load balancer knows which hosts are leaving.
            available_hosts = [h for h in hosts if not self._system.hosts[h].leaving] or hosts
            host = self._system.hosts[available_hosts[number % len(available_hosts)]]
            attempt = await self.attempt(request, host)
            final_outcomes = (CallerOutcome.COMPLETED, CallerOutcome.FOREIGN, CallerOutcome.REFUSED)
            if attempt.outcome in final_outcomes or attempt.gave_up:
                break
            if attempt.outcome is CallerOutcome.UNKNOWN and request.idempotency_key:
                break
            await trio.sleep(0.2)
        return attempt

    async def attempt(self, request: CallerRequest, host: SimulatedHost) -> Attempt:
        """Send a request to one host, and return the attempt."""
        attempt = Attempt(
            host=host.id, key=request.key, kind=request.kind, started_at=trio.current_time()
        )
        request.attempts.append(attempt)
        exchange = _Exchange(request, host)
        if host.alive:
            host.start_soon(exchange.serve)
            timeout_s = request.give_up_after_s or ATTEMPT_TIMEOUT_S
            with trio.move_on_after(timeout_s) as scope:
                await exchange.wait_until_ended(self._system)
            attempt.gave_up = scope.cancelled_caught and request.give_up_after_s is not None
            exchange.disconnect()
        attempt.ended_at = trio.current_time()
        exchange.classify(attempt)
        return attempt


class _Exchange:
    """One ASGI exchange with a host."""

    def __init__(self, request: CallerRequest, host: SimulatedHost) -> None:
        self._request = request
        self._host = host
        self._position = 0
        self._disconnected = trio.Event()
        self._done = trio.Event()
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.complete = False

    async def serve(self) -> None:
        """Have the host handle the request; this runs as one of its tasks."""
        request = self._request
        path, _, query = request.target.partition("?")
        headers = [
            (b"content-length", str(len(request.body)).encode()),
            (b"x-client-id", b"caller"),
        ]
        if request.idempotency_key:
            headers.append((b"idempotency-key", request.idempotency_key.encode()))
        scope = {
            "type": "http",
            "method": request.method,
            "path": path,
            "raw_path": path.encode(),
            "query_string": query.encode(),
            "headers": headers,
        }
        try:
            await self._host.host.ingress.handle(scope, self._receive, self._send)
        finally:
            self._done.set()

    async def wait_until_ended(self, system: SimulatedSystem) -> None:
        """Wait until the exchange has ended or the host is killed or has stopped."""
        while not self._done.is_set() and self._host.alive:
            with trio.move_on_after(0.05):
                await self._done.wait()

    def disconnect(self) -> None:
        """Close the caller's connection."""
        self._disconnected.set()

    async def _receive(self) -> Any:
        body, size = self._request.body, len(self._request.body)
        if self._position >= size and (self._position > 0 or size == 0):
            if size == 0 and self._position == 0:
                self._position = 1
                return {"type": "http.request", "body": b"", "more_body": False}
            await self._disconnected.wait()
            return {"type": "http.disconnect"}
        abort_after = self._request.abort_upload_after_bytes
        if abort_after is not None and self._position >= abort_after:
            self._done.set()
            return {"type": "http.disconnect"}
        if self._position and self._request.chunk_pause_s:
            await trio.sleep(self._request.chunk_pause_s)
        chunk = body[self._position : self._position + UPLOAD_CHUNK_BYTES]
        self._position += len(chunk)
        return {"type": "http.request", "body": chunk, "more_body": self._position < size}

    async def _send(self, message: Any) -> None:
        await trio.lowlevel.checkpoint()
        if self._disconnected.is_set() or not self._host.alive:
            return
        if message["type"] == "http.response.start":
            self.status = message["status"]
            self.headers = {k.decode(): v.decode() for k, v in message["headers"]}
        else:
            self.body += message.get("body", b"")
            if not message.get("more_body", False):
                self.complete = True
                self._done.set()

    def classify(self, attempt: Attempt) -> None:
        """Set the fields of the attempt that depend on the response."""
        attempt.status = self.status
        attempt.request_id = self.headers.get("acaciasaddle-request-id", "")
        if not self.status:
            attempt.outcome = CallerOutcome.NO_ANSWER
            return
        length = int(self.headers.get("content-length", len(self.body)))
        if not self.complete or len(self.body) != length:
            attempt.outcome = CallerOutcome.CUT
            return
        outcome = self.headers.get("acaciasaddle-outcome", "")
        if self.status == 200:
            self._classify_response(attempt)
            return
        attempt.reason = json.loads(self.body).get("reason", "") if self.body else ""
        attempt.outcome = {
            "not-run": CallerOutcome.NOT_RUN,
            "unknown": CallerOutcome.UNKNOWN,
        }.get(outcome, CallerOutcome.REFUSED)
        if self.status in (400, 403, 404, 408, 413):
            attempt.outcome = CallerOutcome.REFUSED

    def _classify_response(self, attempt: Attempt) -> None:
        request = self._request
        response = json.loads(self.body)
        attempt.upstream = response["upstream"]
        matches = (
            response["idempotency_key"] == request.idempotency_key
            and response["path"] == request.target
            and response["key"] == request.key
            and response["body_sha256"] == hashlib.sha256(request.body).hexdigest()
        )
        attempt.outcome = CallerOutcome.COMPLETED if matches else CallerOutcome.FOREIGN


async def call_operator_api(
    host: SimulatedHost, method: str, path: str, value: Any = None
) -> tuple[int, Any]:
    """Send a request to the operator API of a host, and return status and body.

    The status is 0 if there is no complete response.
    """
    messages: list[Any] = []
    done = trio.Event()

    async def receive() -> Any:
        return {"type": "http.request", "body": json.dumps(value).encode(), "more_body": False}

    async def send(message: Any) -> None:
        await trio.lowlevel.checkpoint()
        messages.append(message)

    async def serve() -> None:
        url_path, _, query = path.partition("?")
        scope = {"type": "http", "method": method, "path": url_path, "query_string": query.encode()}
        await host.host.operator(scope, receive, send)
        done.set()

    if not host.alive:
        return 0, None
    host.start_soon(serve)
    with trio.move_on_after(ATTEMPT_TIMEOUT_S):
        while not done.is_set() and host.alive:
            with trio.move_on_after(0.05):
                await done.wait()
    if len(messages) < 2:
        return 0, None
    return messages[0]["status"], json.loads(messages[1]["body"])

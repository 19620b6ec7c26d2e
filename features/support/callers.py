"""Callers and operators that talk to hosts over ASGI, and what they saw."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

import trio
from features.support.stage import body_of
from features.support.stage import uuid7

from acaciasaddle.emulator._records import CallerRecord
from acaciasaddle.emulator._records import SeenOutcome

if TYPE_CHECKING:
    from collections.abc import Sequence

    from features.support.stage import Stage
    from features.support.stage import StageHost

ATTEMPT_LIMIT_S = 8.0
UPLOAD_CHUNK_BYTES = 32_768
WALL_OFFSET_S = 1_700_000_000.0


@dataclass(slots=True, kw_only=True)
class Attempt:
    """One request to one host, as its caller saw it. ``began`` is a reading of trio's clock."""

    host: str
    key: str
    kind: str
    began: float
    ended: float = 0.0
    outcome: SeenOutcome = SeenOutcome.NO_ANSWER
    status: int = 0
    request_id: str = ""
    upstream: str = ""
    reason: str = ""
    gave_up: bool = False


@dataclass(slots=True, kw_only=True)
class Work:
    """A caller's request over all its attempts."""

    kind: str
    key: str
    tag: str
    method: str
    target: str
    body: bytes = b""
    idempotency_key: str = ""
    work_ms: float = 20.0
    chunk_pause_s: float = 0.0
    cut_upload_after: int | None = None
    give_up_after_s: float | None = None
    attempts: list[Attempt] = field(default_factory=list)

    def record(self) -> CallerRecord:
        """Return what the caller knows in the end.

        A refusal as "not run" is about one attempt only; after an attempt without a known
        outcome the caller still does not know.
        """
        last = self.attempts[-1]
        outcome = last.outcome
        doubtful = (SeenOutcome.UNKNOWN, SeenOutcome.CUT, SeenOutcome.NO_ANSWER)
        if outcome is SeenOutcome.NOT_RUN:
            for attempt in self.attempts:
                if attempt.outcome in doubtful:
                    outcome = SeenOutcome.UNKNOWN
        return CallerRecord(
            idempotency_key=self.idempotency_key,
            kind=self.kind,
            outcome=outcome,
            status=last.status,
            earlier=tuple(attempt.outcome for attempt in self.attempts[:-1]),
        )


class Callers:
    """Sends requests and keeps what came back."""

    def __init__(self, stage: Stage) -> None:
        self._stage = stage
        self.works: list[Work] = []
        self._tags = 0

    def _work(self, kind: str, key: str, method: str, path: str, **more: Any) -> Work:
        self._tags += 1
        tag = f"t{self._tags}"
        work_ms = more.pop("work_ms", 20)
        size = more.pop("size", 0)
        work = Work(
            kind=kind,
            key=key,
            tag=tag,
            method=method,
            target=f"{path}?tag={tag}&work_ms={work_ms}",
            body=body_of(tag, size) if size else b"",
            **more,
        )
        self.works.append(work)
        return work

    def lookup(self, key: str, **more: Any) -> Work:
        """Return an idempotent request."""
        return self._work("lookup", key, "GET", f"/bookings/{key}", **more)

    def deposit(self, key: str, **more: Any) -> Work:
        """Return a request that must run at most once."""
        minted = uuid7(self._stage.rng, trio.current_time() + WALL_OFFSET_S)
        return self._work(
            "deposit",
            key,
            "POST",
            f"/bookings/{key}/deposit",
            size=40,
            idempotency_key=minted,
            **more,
        )

    def upload(self, key: str, **more: Any) -> Work:
        """Return a bulky request."""
        return self._work("recording", key, "PUT", f"/bookings/{key}/recording", **more)

    async def send(self, work: Work, hosts: Sequence[str], *, tries: int = 6) -> Attempt:
        """Send a request to one host after the other until it is answered for good."""
        for number in range(tries):
            # The platform's balancer knows of a host that leaves.
            open_hosts = [h for h in hosts if not self._stage.hosts[h].leaving] or hosts
            host = self._stage.hosts[open_hosts[number % len(open_hosts)]]
            attempt = await self.attempt(work, host)
            settled = (SeenOutcome.COMPLETED, SeenOutcome.FOREIGN, SeenOutcome.REFUSED)
            if attempt.outcome in settled or attempt.gave_up:
                break
            if attempt.outcome is SeenOutcome.UNKNOWN and work.idempotency_key:
                break
            await trio.sleep(0.2)
        return attempt

    async def attempt(self, work: Work, host: StageHost) -> Attempt:
        """Send a request to one host."""
        attempt = Attempt(host=host.id, key=work.key, kind=work.kind, began=trio.current_time())
        work.attempts.append(attempt)
        exchange = _Exchange(work, host)
        if host.alive:
            host.start_soon(exchange.serve)
            limit = work.give_up_after_s or ATTEMPT_LIMIT_S
            with trio.move_on_after(limit) as scope:
                await exchange.ended(self._stage)
            attempt.gave_up = scope.cancelled_caught and work.give_up_after_s is not None
            exchange.go_away()
        attempt.ended = trio.current_time()
        exchange.judge(attempt)
        return attempt


class _Exchange:
    """One ASGI exchange with a host."""

    def __init__(self, work: Work, host: StageHost) -> None:
        self._work = work
        self._host = host
        self._position = 0
        self._gone = trio.Event()
        self._done = trio.Event()
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.complete = False

    async def serve(self) -> None:
        """Run in the host."""
        work = self._work
        path, _, query = work.target.partition("?")
        headers = [
            (b"content-length", str(len(work.body)).encode()),
            (b"x-client-id", b"caller"),
        ]
        if work.idempotency_key:
            headers.append((b"idempotency-key", work.idempotency_key.encode()))
        scope = {
            "type": "http",
            "method": work.method,
            "path": path,
            "raw_path": path.encode(),
            "query_string": query.encode(),
            "headers": headers,
        }
        try:
            await self._host.host.ingress.handle(scope, self._receive, self._send)
        finally:
            self._done.set()

    async def ended(self, stage: Stage) -> None:
        """Wait for the end of the exchange, or of the host."""
        while not self._done.is_set() and self._host.alive:
            with trio.move_on_after(0.05):
                await self._done.wait()

    def go_away(self) -> None:
        """Close the caller's connection."""
        self._gone.set()

    async def _receive(self) -> Any:
        body, size = self._work.body, len(self._work.body)
        if self._position >= size and (self._position > 0 or size == 0):
            if size == 0 and self._position == 0:
                self._position = 1
                return {"type": "http.request", "body": b"", "more_body": False}
            await self._gone.wait()
            return {"type": "http.disconnect"}
        cut = self._work.cut_upload_after
        if cut is not None and self._position >= cut:
            self._done.set()
            return {"type": "http.disconnect"}
        if self._position and self._work.chunk_pause_s:
            await trio.sleep(self._work.chunk_pause_s)
        chunk = body[self._position : self._position + UPLOAD_CHUNK_BYTES]
        self._position += len(chunk)
        return {"type": "http.request", "body": chunk, "more_body": self._position < size}

    async def _send(self, message: Any) -> None:
        await trio.lowlevel.checkpoint()
        if self._gone.is_set() or not self._host.alive:
            return
        if message["type"] == "http.response.start":
            self.status = message["status"]
            self.headers = {k.decode(): v.decode() for k, v in message["headers"]}
        else:
            self.body += message.get("body", b"")
            if not message.get("more_body", False):
                self.complete = True
                self._done.set()

    def judge(self, attempt: Attempt) -> None:
        """Note what the caller saw."""
        attempt.status = self.status
        attempt.request_id = self.headers.get("acaciasaddle-request-id", "")
        if not self.status:
            attempt.outcome = SeenOutcome.NO_ANSWER
            return
        length = int(self.headers.get("content-length", len(self.body)))
        if not self.complete or len(self.body) != length:
            attempt.outcome = SeenOutcome.CUT
            return
        outcome = self.headers.get("acaciasaddle-outcome", "")
        if self.status == 200:
            self._judge_answer(attempt)
            return
        attempt.reason = json.loads(self.body).get("reason", "") if self.body else ""
        attempt.outcome = {
            "not-run": SeenOutcome.NOT_RUN,
            "unknown": SeenOutcome.UNKNOWN,
        }.get(outcome, SeenOutcome.REFUSED)
        if self.status in (400, 403, 404, 408, 413):
            attempt.outcome = SeenOutcome.REFUSED

    def _judge_answer(self, attempt: Attempt) -> None:
        work = self._work
        answer = json.loads(self.body)
        attempt.upstream = answer["upstream"]
        own = (
            answer["idempotency_key"] == work.idempotency_key
            and answer["path"] == work.target
            and answer["key"] == work.key
            and answer["body_sha256"] == hashlib.sha256(work.body).hexdigest()
        )
        attempt.outcome = SeenOutcome.COMPLETED if own else SeenOutcome.FOREIGN


async def operate(host: StageHost, method: str, path: str, value: Any = None) -> tuple[int, Any]:
    """Call the operator API of a host; status 0 if no answer came."""
    result: list[Any] = []
    done = trio.Event()

    async def receive() -> Any:
        return {"type": "http.request", "body": json.dumps(value).encode(), "more_body": False}

    async def send(message: Any) -> None:
        await trio.lowlevel.checkpoint()
        result.append(message)

    async def serve() -> None:
        path_, _, query = path.partition("?")
        scope = {"type": "http", "method": method, "path": path_, "query_string": query.encode()}
        await host.host.operator(scope, receive, send)
        done.set()

    if not host.alive:
        return 0, None
    host.start_soon(serve)
    with trio.move_on_after(ATTEMPT_LIMIT_S):
        while not done.is_set() and host.alive:
            with trio.move_on_after(0.05):
                await done.wait()
    if len(result) < 2:
        return 0, None
    return result[0]["status"], json.loads(result[1]["body"])

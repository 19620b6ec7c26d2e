"""Fakes of the dispatcher's upstream, authority and callers, and a harness that runs it."""

from __future__ import annotations

import itertools
import logging
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

import h11
import httpcore
import structlog
import trio
from httpcore._backends.trio import TrioStream
from trio._core import _run as trio_run
from trio.testing import MockClock
from trio.testing import memory_stream_pair

from acaciasaddle.clock import TrioClock
from acaciasaddle.config import Kind
from acaciasaddle.config import Rank
from acaciasaddle.config import Rules
from acaciasaddle.dispatch import LocalDispatcher
from acaciasaddle.dispatch._runner import STEP_LOST
from acaciasaddle.errors import AuthorityLostError
from acaciasaddle.errors import NotOwnerError
from acaciasaddle.errors import PeerError
from acaciasaddle.errors import RefusedError
from acaciasaddle.errors import RequestError
from acaciasaddle.model import BodySource
from acaciasaddle.model import ResponseSink
from acaciasaddle.model import UnitId
from acaciasaddle.model import UpstreamId
from acaciasaddle.model import WorkRequest
from acaciasaddle.observe import NullMetrics
from acaciasaddle.ownership import Authority
from acaciasaddle.ownership import Permit

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from acaciasaddle.model import Headers
    from acaciasaddle.model import OnceRecord

UPSTREAM = UpstreamId("bookings", "u1")
UNIT = UnitId("bookings", "default", 3)
WALL_OFFSET_S = 1_700_000_000.0
UPSTREAM_CLOCK_AHEAD_MS = 5000.0

RULES = Rules(
    ranks=(
        Rank(name="urgent", target_ms=100, share=0.6),
        Rank(name="normal", target_ms=500, share=0.3),
        Rank(name="bulk", target_ms=5000, share=0.1),
    ),
    kinds=(
        Kind(name="lookup", service="bookings", method="GET", path="/l/{key}", rank="urgent"),
        Kind(
            name="deposit",
            service="bookings",
            method="POST",
            path="/d/{key}",
            rank="normal",
            once=True,
            idempotent=False,
        ),
        Kind(
            name="note",
            service="bookings",
            method="POST",
            path="/n/{key}",
            rank="normal",
            idempotent=False,
        ),
        Kind(
            name="upload",
            service="bookings",
            method="PUT",
            path="/u/{key}",
            rank="bulk",
            bulky=True,
        ),
    ),
)


MALFORMED = {
    "status 600": b"HTTP/1.1 600 Any\r\nContent-Length: 4\r\n\r\ndone",
    "version 2.0": b"HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\ndone",
    "length and chunks": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
    "chunks in 1.0": b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"4\r\ndone\r\n0\r\n\r\n",
    "204 with a body": b"HTTP/1.1 204 None\r\nContent-Length: 4\r\n\r\ndone",
}
"""Responses that are not valid HTTP, although h11 accepts them."""
REFUSALS = ("refuse term", "shed", "late")


@dataclass
class ReceivedRequest:
    """A request as the upstream received it."""

    method: str
    target: str
    headers: dict[str, str]
    connection: int
    at: float
    body: bytearray = field(default_factory=bytearray)
    complete: bool = False


class MemoryStream(TrioStream):
    """A memory stream with the interface that httpcore expects."""

    def get_extra_info(self, info: str) -> Any:
        return False if info == "is_readable" else None


class ScriptedUpstream(httpcore.AsyncNetworkBackend):
    """Responds to each request over a memory stream as the next entry of ``script`` says.

    Entries: ``answer``, ``silent``, ``reset``, ``head then reset``, ``cut``, ``stall``,
    ``refuse term``, ``shed``, ``late``, ``large``, the names in ``MALFORMED``, ``early end`` and
    ``early answer``. The last two are sent before the body is read, without and with a length, and
    close the connection. Once the script is used up, each request is treated as with ``answer``.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.script: list[str] = []
        self.service_time = 0.01
        self.chunk_delay = 0.0
        self.refuse_connections = 0
        self.received: list[ReceivedRequest] = []
        self.ran: list[ReceivedRequest] = []
        self.cancelled: list[str] = []
        self.connections = 0
        self.open = 0
        self.running = 0
        self.max_running = 0

    async def connect_tcp(self, host: str, port: int, **kwargs: Any) -> httpcore.AsyncNetworkStream:
        await trio.sleep(0.001)
        if self.refuse_connections:
            self.refuse_connections -= 1
            raise httpcore.ConnectError("connection refused")
        client_end, server_end = memory_stream_pair()
        self.connections += 1
        self.nursery.start_soon(self._serve_connection, server_end, self.connections)
        return MemoryStream(client_end)

    async def _serve_connection(self, stream: trio.StapledStream, number: int) -> None:
        self.open += 1
        conn = h11.Connection(h11.SERVER)
        try:
            while await self._serve_request(conn, stream, number):
                conn.start_next_cycle()
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
            pass
        finally:
            self.open -= 1
            await stream.aclose()

    async def _next_event(self, conn: h11.Connection, stream: trio.StapledStream) -> Any:
        while (event := conn.next_event()) is h11.NEED_DATA:
            conn.receive_data(await stream.receive_some(65_536))
        return event

    async def _serve_request(
        self, conn: h11.Connection, stream: trio.StapledStream, number: int
    ) -> bool:
        head = await self._next_event(conn, stream)
        if not isinstance(head, h11.Request):
            return False
        request = ReceivedRequest(
            method=head.method.decode(),
            target=head.target.decode(),
            headers={n.decode(): v.decode() for n, v in head.headers},
            connection=number,
            at=trio.current_time(),
        )
        if request.method == "DELETE" and request.target.startswith("/requests/"):
            await self._next_event(conn, stream)
            self.cancelled.append(request.target.removeprefix("/requests/"))
            await self._send_response(conn, stream, 204, [])
            return True
        self.received.append(request)
        action = self.script.pop(0) if self.script else "answer"
        if action in ("early end", "early answer"):
            length = b"Content-Length: 4\r\n" if action == "early answer" else b""
            # h11 would send a response without length in chunks.
            await stream.send_all(b"HTTP/1.1 200 OK\r\n" + length + b"\r\nhalf")
            return False
        while isinstance(event := await self._next_event(conn, stream), h11.Data):
            request.body += event.data
        if not isinstance(event, h11.EndOfMessage):
            return False
        request.complete = True
        if action not in REFUSALS:
            self.ran.append(request)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            return await self._respond(action, conn, stream)
        finally:
            self.running -= 1

    async def _respond(self, action: str, conn: h11.Connection, stream: trio.StapledStream) -> bool:
        if action == "silent":
            await stream.receive_some(1)
            return False
        if action == "reset":
            return False
        if action == "refuse term":
            await self._send_response(conn, stream, 421, [b"{}"])
            return True
        if action in ("shed", "late"):
            extra = [("Acaciasaddle-Outcome", "not-run"), ("Retry-After", "7")]
            await self._send_response(conn, stream, 503 if action == "shed" else 504, [], extra)
            return True
        await trio.sleep(self.service_time)
        if action in MALFORMED:
            await stream.send_all(MALFORMED[action])
            return False
        if action == "large":
            await self._send_response(conn, stream, 200, [b"x" * 50_000, b"y" * 50_000])
            return True
        if action in ("cut", "stall", "head then reset"):
            head = h11.Response(status_code=200, headers=[("Content-Length", "100")])
            await stream.send_all(conn.send(head))
            if action != "head then reset":
                await stream.send_all(conn.send(h11.Data(b"half")))
            await trio.sleep(100 if action == "stall" else 0.01)
            return False
        await self._send_response(conn, stream, 200, [b"answer ", b"%d" % len(self.received)])
        return True

    async def _send_response(
        self,
        conn: h11.Connection,
        stream: trio.StapledStream,
        status: int,
        chunks: list[bytes],
        extra: list[tuple[str, str]] | None = None,
    ) -> None:
        headers = [("Connection", "keep-alive"), ("X-Kept", "yes"), *(extra or [])]
        if status != 204:
            headers.append(("Content-Length", str(sum(map(len, chunks)))))
        await stream.send_all(conn.send(h11.Response(status_code=status, headers=headers)))
        for chunk in chunks:
            await trio.sleep(self.chunk_delay)
            await stream.send_all(conn.send(h11.Data(chunk)))
        await stream.send_all(conn.send(h11.EndOfMessage()))


class FakeAuthority(Authority):
    """Permits all units but ``rejected_units`` and keeps the copied records."""

    def __init__(self) -> None:
        self.slots = 2
        self.checks_orders = True
        self.rejected_units: set[UnitId] = set()
        self.copies: dict[tuple[str, str], OnceRecord] = {}
        self.copy_delay = 0.001
        self.copy_fails = False
        self.since = 0.0
        self.refused_terms: list[int] = []
        self.on_copy: Callable[[], None] = lambda: None

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        task_status.started()

    def permit(self, upstream: UpstreamId, unit: UnitId) -> Permit:
        if unit in self.rejected_units:
            raise NotOwnerError("not held", step="test")
        return Permit(
            term=4,
            address="10.0.0.1:80",
            slots=self.slots,
            connections=130,
            checks_orders=self.checks_orders,
            clock_offset_ms=UPSTREAM_CLOCK_AHEAD_MS,
        )

    async def replicate(self, upstream: UpstreamId, records: tuple[OnceRecord, ...]) -> None:
        await trio.sleep(self.copy_delay)
        if self.copy_fails:
            raise AuthorityLostError("no successor", step="test")
        for record in records:
            self.copies[record.caller, record.idempotency_key] = record
        self.on_copy()

    def memory_since(self, upstream: UpstreamId) -> float:
        return self.since

    def note_refused_term(self, upstream: UpstreamId, term: int) -> None:
        self.refused_terms.append(term)


class Body(BodySource):
    """Yields chunks with a pause before each; ``None`` cuts the body off."""

    def __init__(self, *chunks: bytes | None, pause: float = 0.0) -> None:
        self._chunks = list(chunks)
        self._pause = pause

    async def receive(self) -> bytes:
        await trio.sleep(self._pause)
        if not self._chunks:
            return b""
        chunk = self._chunks.pop(0)
        if chunk is None:
            raise PeerError("the caller is gone", step="test")
        return chunk


class RecordedResponse(ResponseSink):
    """Collects a response, the error if it failed, and the time that it took."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: Headers = ()
        self.body = b""
        self.ended = False
        self.accepts_body = True
        self.error: Exception | None = None
        self.seconds = 0.0
        self.done = trio.Event()
        self.head_seen = trio.Event()
        self.scope = trio.CancelScope()

    async def head(self, status: int, headers: Headers) -> None:
        self.status, self.headers = status, headers
        self.head_seen.set()

    async def data(self, chunk: bytes) -> None:
        if not self.accepts_body:
            await trio.sleep_forever()
        self.body += chunk

    async def end(self) -> None:
        self.ended = True

    @property
    def started(self) -> bool:
        return self.status != 0

    @property
    def result(self) -> str:
        """What the caller got, as written in the features."""
        if self.ended:
            return f"{self.status} complete"
        if isinstance(self.error, NotOwnerError):
            # The step tells the ingress that an attempt may have run.
            return "lost, then not owner" if self.error.step == STEP_LOST else "not owner"
        if isinstance(self.error, RequestError):
            return f"{self.error.status} bad request"
        if isinstance(self.error, RefusedError):
            begun = f"{self.status} cut, " if self.status else ""
            return f"{begun}{self.error.status} {self.error.outcome.value}"
        if self.error is not None:
            raise self.error
        return "caller gone"


class Harness:
    """A dispatcher with a fake upstream and authority, inside a running trio loop."""

    def __init__(self, nursery: trio.Nursery, *, rules: Rules, once_memory: int) -> None:
        self.nursery = nursery
        self.rules = rules
        self.upstream = ScriptedUpstream(nursery)
        self.authority = FakeAuthority()
        self.clock = TrioClock(wall_offset=WALL_OFFSET_S)
        self.dispatcher = LocalDispatcher(
            authority=self.authority,
            clock=self.clock,
            metrics=NullMetrics(),
            rules=lambda: self.rules,
            backend=self.upstream,
            once_memory_limit=once_memory,
        )
        self.idle = False
        self.requests: list[WorkRequest] = []
        self._dispatcher_scope = trio.CancelScope()
        self._dispatcher_ended = trio.Event()
        self._ids = itertools.count(1)
        self._key_numbers = itertools.count(1)

    async def run_dispatcher(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run the dispatcher until ``end_dispatcher`` is called."""
        with self._dispatcher_scope:
            await self.dispatcher.run(task_status=task_status)
        self._dispatcher_ended.set()

    async def end_dispatcher(self) -> None:
        """Cancel the dispatcher, whether or not requests are in progress, and wait for its end."""
        self._dispatcher_scope.cancel()
        await self._dispatcher_ended.wait()

    def key(self, *, age: float = 0.0) -> str:
        """Return a new idempotency key whose timestamp is ``age`` seconds ago."""
        stamp = f"{int((self.clock.wall() - age) * 1000):012x}"
        return f"{stamp[:8]}-{stamp[8:]}-7000-8000-{next(self._key_numbers):012x}"

    def request(self, kind: str, **changes: Any) -> WorkRequest:
        """Return a request of a kind."""
        rule = next(k for k in RULES.kinds if k.name == kind)
        fields: dict[str, Any] = {
            "request_id": f"r{next(self._ids)}",
            "service": "bookings",
            "unit": UNIT,
            "upstream": UPSTREAM,
            "key": "k1",
            "kind": kind,
            "rank": rule.rank,
            "once": rule.once,
            "bulky": rule.bulky,
            "caller": "c1",
            "idempotency_key": self.key() if rule.once else "",
            "method": rule.method,
            "target": "/x",
            "headers": (),
            "body_length": 0,
            "budget_ms": 2000,
        }
        return WorkRequest(**{**fields, **changes})

    def start(
        self, req: WorkRequest, body: BodySource | None = None, *, accepts_body: bool = True
    ) -> RecordedResponse:
        """Start to serve a request and return its response.

        With ``accepts_body`` false the caller reads nothing of the response's body.
        """
        response = RecordedResponse()
        response.accepts_body = accepts_body
        self.requests.append(req)
        self.nursery.start_soon(self._serve, req, body or Body(), response)
        return response

    async def serve(self, req: WorkRequest, body: BodySource | None = None) -> RecordedResponse:
        """Serve a request and return its response once it has ended."""
        response = self.start(req, body)
        await response.done.wait()
        return response

    async def _serve(self, req: WorkRequest, body: BodySource, response: RecordedResponse) -> None:
        started = trio.current_time()
        try:
            with response.scope:
                await self.dispatcher.serve(req, body, response)
        except Exception as exc:
            response.error = exc
        finally:
            response.seconds = trio.current_time() - started
            response.done.set()


def run(
    main: Callable[[Harness], Awaitable[None]],
    *,
    rules: Rules = RULES,
    once_memory: int = 32 * 1024 * 1024,
    log_level: int = logging.WARNING,
    seed: int = 0,
) -> None:
    """Run ``main`` with a harness on a virtual clock."""

    async def outer() -> None:
        async with trio.open_nursery() as nursery:
            harness = Harness(nursery, rules=rules, once_memory=once_memory)
            await nursery.start(harness.run_dispatcher)
            await main(harness)
            nursery.cancel_scope.cancel()

    # Writing ten thousand log lines would take most of the run time.
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(log_level))
    # Without these two lines trio runs tasks that are ready at the same time in random order.
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r.seed(seed)
    trio.run(outer, clock=MockClock(autojump_threshold=0))

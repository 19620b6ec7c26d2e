"""Stand-in for an upstream, over HTTP."""

from __future__ import annotations

import json
from dataclasses import asdict
from typing import TYPE_CHECKING

import trio
from pydantic import TypeAdapter

from acaciasaddle.emulator._asgi import AsgiApp
from acaciasaddle.emulator._asgi import not_found
from acaciasaddle.emulator._connections import ConnectionCounter
from acaciasaddle.emulator._upstream_types import CancelResult
from acaciasaddle.emulator._upstream_types import GrantOrder
from acaciasaddle.emulator._upstream_types import UpstreamFaultOrder
from acaciasaddle.emulator._upstream_types import UpstreamState
from acaciasaddle.emulator._upstream_types import Work
from acaciasaddle.emulator._upstream_types import WorkRefusedError
from acaciasaddle.errors import Outcome
from acaciasaddle.errors import RequestError
from acaciasaddle.observe import get_logger

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Mapping

    from acaciasaddle.emulator._asgi import Exchange
    from acaciasaddle.emulator._upstream_model import UpstreamModel
    from acaciasaddle.emulator._upstream_types import WorkResponse

log = get_logger("upstream-stand-in")

CHUNK_BYTES = 64 * 1024
PROBLEM_HEADERS = {"content-type": "application/problem+json"}

GRANT_ORDER = TypeAdapter(GrantOrder)
FAULT_ORDER = TypeAdapter(UpstreamFaultOrder)


class UpstreamApp(AsgiApp):
    """ASGI application of an upstream stand-in.

    Requests whose method and path the protocol does not define are work.
    """

    def __init__(self, *, model: UpstreamModel) -> None:
        self.model = model
        self._known_connections: dict[tuple[str, int], bool] = {}
        self._connection_counter = ConnectionCounter(limit=model.settings.connections)
        self._silenced: set[tuple[str, int]] = set()

    async def handle(self, exchange: Exchange) -> None:
        # These two paths respond whatever faults are active.
        if exchange.path == "/faults" and exchange.method == "POST":
            await self._set_faults(exchange)
            return
        if exchange.path == "/record" and exchange.method == "GET":
            await exchange.respond_json(200, asdict(self.model.record()))
            return
        await self.model.wait_thawed()
        if exchange.client in self._silenced:
            await exchange.wait_disconnected()
            return
        if await self._is_over_limit(exchange):
            await self._refuse(exchange, 503, "too many connections", close=True)
            return
        await self._route(exchange)

    async def _route(self, exchange: Exchange) -> None:
        method, path = exchange.method, exchange.path
        if path == "/grant" and method == "POST":
            await self._grant(exchange)
        elif path == "/health" and method == "GET":
            state = self.model.lagging_sample().state
            status = 503 if state is UpstreamState.LEAVING else 200
            await self._respond(exchange, status, {"state": state.value})
        elif path == "/load" and method == "GET":
            sample = self.model.lagging_sample()
            slots = self.model.settings.slots
            await self._respond(
                exchange, 200, {"busy": sample.busy, "queued": sample.queued, "slots": slots}
            )
        elif path.startswith("/requests/") and method == "DELETE":
            result = self.model.cancel(path.removeprefix("/requests/"))
            status = 404 if result is CancelResult.ABSENT else 200
            await self._respond(exchange, status, {"result": result.value})
        else:
            await self._work(exchange)

    async def _respond(
        self,
        exchange: Exchange,
        status: int,
        value: Mapping[str, object],
        *,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        await self.model.wait_thawed()
        await exchange.respond_json(status, value, headers=headers)

    async def _grant(self, exchange: Exchange) -> None:
        if not self.model.settings.checks_orders:
            raise not_found(exchange)
        order = GRANT_ORDER.validate_json(await exchange.body())
        await self.model.wait_thawed()
        result = self.model.grant(order)
        await self._respond(exchange, 200 if result.accepted else 409, asdict(result.state))

    async def _set_faults(self, exchange: Exchange) -> None:
        order = FAULT_ORDER.validate_json(await exchange.body())
        self.model.set_faults(order)
        if order.silence_connections:
            self._silenced.update(self._known_connections)
        log.info("Faults set", upstream=self.model.settings.name, order=str(order))
        await exchange.respond_json(200, asdict(self.model.faults))

    async def _is_over_limit(self, exchange: Exchange) -> bool:
        """Return whether a request came over a new connection that exceeds the limit.

        The first request on any other new connection is delayed by ``connect_ms``.
        """
        client, server = exchange.client, exchange.server
        if client is None or server is None or client in self._known_connections:
            return False
        settings = self.model.settings
        if self._connection_counter.exceeds_limit(server, now=trio.current_time()):
            return True
        self._known_connections[client] = True
        # ASGI does not report that a connection has ended, so the oldest ones are forgotten.
        if len(self._known_connections) > 8 * settings.connections:
            del self._known_connections[next(iter(self._known_connections))]
        await trio.sleep(settings.connect_ms / 1000)
        return False

    async def _work(self, exchange: Exchange) -> None:
        work = self._parse_work(exchange)
        reply_bytes = int(exchange.query_number("reply_bytes", 0))
        cut_after = int(exchange.query_number("cut_after", -1))
        try:
            response = await self.model.work(work, exchange.chunks())
        except WorkRefusedError as exc:
            await self._refuse(exchange, exc.status, str(exc), outcome=exc.outcome)
            return
        await self.model.wait_thawed()
        await _send_response(exchange, response, reply_bytes=reply_bytes, cut_after=cut_after)

    def _parse_work(self, exchange: Exchange) -> Work:
        deadline = _parse_header_number(exchange, "Acaciasaddle-Deadline")
        timeout = _parse_header_number(exchange, "Acaciasaddle-Timeout")
        if deadline is None and timeout is not None:
            deadline = self.model.clock_ms() + timeout
        term = _parse_header_number(exchange, "Acaciasaddle-Term")
        return Work(
            request_id=exchange.header("Acaciasaddle-Request-Id"),
            key=exchange.header("Acaciasaddle-Key"),
            unit=exchange.header("Acaciasaddle-Unit"),
            term=None if term is None else int(term),
            deadline=deadline,
            idempotency_key=exchange.header("Idempotency-Key"),
            method=exchange.method,
            target=exchange.target,
            work_ms=exchange.query_number("work_ms", -1) if "work_ms" in exchange.query else None,
        )

    async def _refuse(
        self,
        exchange: Exchange,
        status: int,
        reason: str,
        *,
        outcome: Outcome = Outcome.NOT_RUN,
        close: bool = False,
    ) -> None:
        headers = {**PROBLEM_HEADERS, "acaciasaddle-outcome": outcome.value}
        headers["acaciasaddle-term"] = str(self.model.term)
        if close:
            headers["connection"] = "close"
        if status == 503:
            headers["retry-after"] = "1"
        await exchange.discard_body()
        value = {"title": reason, "status": status, "outcome": outcome.value}
        await self._respond(exchange, status, value, headers=headers)


async def _send_response(
    exchange: Exchange, response: WorkResponse, *, reply_bytes: int, cut_after: int
) -> None:
    """Send a response whose body has at least ``reply_bytes``, or only ``cut_after`` bytes of it.

    A negative ``cut_after`` sends the whole body.
    """
    head, tail = json.dumps({**asdict(response), "padding": ""}).encode(), b""
    padding = max(0, reply_bytes - len(head))
    head, tail = head[:-2], head[-2:]
    length = len(head) + padding + len(tail)
    await exchange.start_response(
        200, {"content-type": "application/json", "content-length": str(length)}
    )
    remaining = cut_after if cut_after >= 0 else length
    async for chunk in _response_chunks(head, padding, tail):
        if remaining <= 0:
            return
        await exchange.send_body(chunk[:remaining], more=True)
        remaining -= len(chunk)
    if cut_after < 0 or cut_after >= length:
        await exchange.send_body(b"", more=False)


async def _response_chunks(head: bytes, padding: int, tail: bytes) -> AsyncIterator[bytes]:
    yield head
    while padding > 0:
        size = min(padding, CHUNK_BYTES)
        yield b"." * size
        padding -= size
    yield tail


def _parse_header_number(exchange: Exchange, name: str) -> float | None:
    text = exchange.header(name)
    if not text:
        return None
    try:
        return float(text)
    except ValueError:
        raise RequestError(
            f"header {name} is not a number: {text!r}", status=400, step="emulator.header"
        ) from None

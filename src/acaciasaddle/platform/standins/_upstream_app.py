"""Stand-in for an upstream of the users' platform: holds keys, runs requests, and records both."""

from __future__ import annotations

import hashlib
import json
import random
import time
from array import array
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import trio

from acaciasaddle.emulator._asgi import AsgiApp
from acaciasaddle.emulator._asgi import BodyCutError
from acaciasaddle.emulator._json_http import request_json
from acaciasaddle.observe import get_logger
from acaciasaddle.platform import _wire
from acaciasaddle.platform._dialect import MAX_KEY

if TYPE_CHECKING:
    import httpcore

    from acaciasaddle.emulator._asgi import Exchange
    from acaciasaddle.emulator.soak._records import RecordFile

SLOW_CLOCK = 1.02
"""Factor on a lease: the platform's upstreams measure it with clocks that may run 2% slow."""
REPORT_INTERVAL_S = 1.0
REPORT_TIMEOUT_S = 0.8
AWAKE_INTERVAL_S = 0.05
PAUSE_THRESHOLD_S = 0.5
"""A process that has not run for this long counts as having been paused."""
DEFAULT_DEADLINE_MS = 10_000.0

log = get_logger("upstream-stand-in")


class UpstreamSettings(msgspec.Struct, kw_only=True, frozen=True):
    """Settings of one incarnation of an upstream.

    ``address`` is where hosts reach it, directly or through a relay. ``fail_share`` is the share of
    the runs that end with each kind of bad response: none, a 500, and one that closes the
    connection.
    """

    upstream_id: str
    service: str
    data_centre: str
    address: str
    store_address: str
    slots: int = 2
    queue: int = 2
    work_s: float = 0.02
    drain_s: float = 2.0
    fail_share: float = 0.0


@dataclass(eq=False, slots=True, kw_only=True)
class _Run:
    """A request in a slot. ``released`` is set when its key is taken back meanwhile."""

    key: int
    released: bool = False
    ended: trio.Event = field(default_factory=trio.Event)


class UpstreamApp(AsgiApp):
    """Serves the orders about keys and the requests of callers."""

    def __init__(self, *, settings: UpstreamSettings, records: RecordFile) -> None:
        self._settings = settings
        self._records = records
        self._started_ms = time.time_ns() // 1_000_000
        self._fences = array("q", [0]) * (MAX_KEY + 1)
        self._lease_ends = array("d", [0.0]) * (MAX_KEY + 1)
        self._runs: set[_Run] = set()
        self._slots = trio.Semaphore(settings.slots)
        self._random = random.Random(settings.upstream_id)
        self._last_awake_at = time.monotonic()
        self.draining = False

    @property
    def _incarnation(self) -> str:
        return f"{self._settings.upstream_id}@{self._started_ms}"

    async def note_pauses(self) -> None:
        """Keep track of when the process last ran, until cancelled."""
        while True:
            self._last_awake_at = time.monotonic()
            await trio.sleep(AWAKE_INTERVAL_S)

    async def report(self) -> None:
        """Report the entry to the store regularly, until cancelled."""
        while True:
            await self.report_once()
            await trio.sleep(REPORT_INTERVAL_S)

    async def report_once(self, *, ended: bool = False) -> bool:
        """Send one report and return whether the store accepted it."""
        cfg = self._settings
        entry = {
            "service": cfg.service,
            "address": cfg.address,
            "zone": cfg.data_centre,
            "version": "1",
            "capacity": cfg.slots,
            "state": "draining" if self.draining else "ready",
            "born": self._started_ms,
            "sequence": 1,
            "slowStartS_time": 0.0,
        }
        path = f"/standin/entry/{cfg.upstream_id}"
        try:
            status, _ = await request_json(
                cfg.store_address,
                "PUT",
                path,
                None if ended else entry,
                timeout=REPORT_TIMEOUT_S,
            )
        except OSError as exc:
            log.info("cannot report to the store", reason=str(exc))
            return False
        return status == 200

    async def drain(self) -> None:
        """Report that the upstream is draining, serve on for ``drain_s``, and remove the entry."""
        self.draining = True
        while not await self.report_once():
            await trio.sleep(REPORT_INTERVAL_S / 2)
        await trio.sleep(self._settings.drain_s)
        await self.report_once(ended=True)

    async def handle(self, exchange: Exchange) -> None:
        try:
            body = await exchange.body()
        except BodyCutError:
            self._records.add("cut", id=exchange.header(_wire.REQUEST_ID), life=self._incarnation)
            return
        target = exchange.header(_wire.TARGET_UPSTREAM)
        if target and target != self._settings.upstream_id:
            await self._reject(exchange, 421)
        elif exchange.path == f"{_wire.STORE_PREFIX}/grant":
            await self._grant(exchange, json.loads(body))
        elif exchange.path == f"{_wire.STORE_PREFIX}/release":
            await self._release(exchange, json.loads(body))
        else:
            await self._serve(exchange, body)

    # Orders.

    async def _grant(self, exchange: Exchange, order: dict[str, Any]) -> None:
        first, last, fence = order["from"], order["to"], order["fence"]
        if max(self._fences[first : last + 1]) > fence:
            await exchange.answer_json(409, {})
            return
        count = last - first + 1
        # The lease runs from the arrival of the order. If the process was paused, the order may
        # have arrived at any time of the pause, so its beginning is used.
        now = time.monotonic()
        arrived = self._last_awake_at if now - self._last_awake_at > PAUSE_THRESHOLD_S else now
        until = arrived + order["holdS"] * SLOW_CLOCK
        self._fences[first : last + 1] = array("q", [fence]) * count
        self._lease_ends[first : last + 1] = array("d", [until]) * count
        self._records.add(
            "held", first=first, last=last, fence=fence, until=until, life=self._incarnation
        )
        await exchange.answer_json(200, {})

    async def _release(self, exchange: Exchange, order: dict[str, Any]) -> None:
        first, last, fence = order["from"], order["to"], order["fence"]
        for key in range(first, last + 1):
            self._fences[key] = max(self._fences[key], fence)
        self._lease_ends[first : last + 1] = array("d", [0.0]) * (last - first + 1)
        for run in [run for run in self._runs if first <= run.key <= last]:
            run.released = True
            await run.ended.wait()
        self._records.add("released", first=first, last=last, fence=fence, life=self._incarnation)
        token = f"{self._random.getrandbits(64):016x}"
        await exchange.answer_json(200, {}, headers={_wire.HANDOVER: token})

    # Requests.

    async def _serve(self, exchange: Exchange, body: bytes) -> None:
        ends_at = trio.current_time() + (
            float(exchange.header(_wire.DEADLINE_MS) or DEFAULT_DEADLINE_MS) / 1000
        )
        request_id = exchange.header(_wire.REQUEST_ID)
        key = int(exchange.header(_wire.KEY) or 0)
        if not request_id:
            await self._reject(exchange, 400)
            return
        if not self._holds(key):
            await self._reject(exchange, 421)
            return
        if self._slots.statistics().tasks_waiting >= self._settings.queue:
            await self._reject(exchange, 503)
            return
        with trio.move_on_at(ends_at) as waiting:
            await self._slots.acquire()
        if waiting.cancelled_caught:
            await self._reject(exchange, 503)
            return
        try:
            if not self._holds(key):
                await self._reject(exchange, 421)
                return
            run = _Run(key=key)
            self._runs.add(run)
            self._records.add("run", id=request_id, key=key, life=self._incarnation)
            try:
                whole = await self._work(run)
            finally:
                self._runs.discard(run)
                run.ended.set()
            self._records.add("ended", id=request_id, whole=whole, life=self._incarnation)
        finally:
            self._slots.release()
        await self._answer(exchange, request_id, body, whole=whole)

    async def _work(self, run: _Run) -> bool:
        """Run for about ``work_s`` and return whether the key was held until the end."""
        ends_at = trio.current_time() + self._settings.work_s * self._random.uniform(0.5, 1.5)
        while (left := ends_at - trio.current_time()) > 0:
            if not run.released:
                left = min(left, self._lease_ends[run.key] - time.monotonic())
            if left <= 0:
                return False
            await trio.sleep(left)
        return run.released or self._holds(run.key)

    def _holds(self, key: int) -> bool:
        return time.monotonic() < self._lease_ends[key]

    async def _answer(
        self, exchange: Exchange, request_id: str, body: bytes, *, whole: bool
    ) -> None:
        drawn, share = self._random.random(), self._settings.fail_share
        if drawn < share:
            await exchange.close_without_answer()
            return
        digest = _digest(request_id, body)
        data = json.dumps({"digest": digest, "padding": "." * 500}).encode()
        headers = {
            _wire.REQUEST_ID: request_id,
            _wire.UPSTREAM_ID: self._settings.upstream_id,
            _wire.SIGNATURE: digest,
            "content-length": str(len(data)),
        }
        if drawn > 1 - share:
            headers["connection"] = "close"
        await exchange.start(200 if whole and drawn >= 2 * share else 500, headers)
        await exchange.data(data, more=False)

    async def _reject(self, exchange: Exchange, status: int) -> None:
        headers = {
            _wire.NOT_EXECUTED: "1",
            _wire.REQUEST_ID: exchange.header(_wire.REQUEST_ID),
            _wire.UPSTREAM_ID: self._settings.upstream_id,
        }
        if status == 503:
            headers["retry-after"] = "0.1"
        await exchange.answer_json(status, {}, headers=headers)


def is_own_answer(request_id: str, body: bytes, response: httpcore.Response) -> bool:
    """Return whether a response is the complete, signed answer of a stand-in to this request."""
    digest = _digest(request_id, body)
    fields = {name.lower().decode("latin-1"): value for name, value in response.headers}
    try:
        answered = json.loads(response.content)["digest"]
    except (ValueError, KeyError, TypeError):
        return False
    return answered == digest and fields.get(_wire.SIGNATURE) == digest.encode()


def _digest(request_id: str, body: bytes) -> str:
    return hashlib.sha256(request_id.encode() + body).hexdigest()

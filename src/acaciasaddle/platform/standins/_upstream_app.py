"""Stand-in for an upstream of the users' platform: owns keys, runs requests, and records both."""

from __future__ import annotations

import hashlib
import json
import math
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

SLOW_CLOCK_FACTOR = 1.02
"""Factor on the length of a lease: the clocks of the platform's upstreams may run 2% slow."""
REPORT_INTERVAL_S = 1.0
REPORT_TIMEOUT_S = 0.8
REPORT_RETRY_S = 0.4
"""Pause after a report that the store did not accept."""
PAUSE_POLL_S = 0.05
PAUSE_THRESHOLD_S = 0.5
"""A process that has not run for longer than this counts as having been paused."""
DEFAULT_DEADLINE_MS = 10_000.0
SLOW_WORK_S = (0.5, 2.5)
"""Shortest and longest time of a slow run."""
PAUSE_S = (1.0, 2.5)
"""Shortest and longest time for which an upstream asks a host to wait."""
FULL_PAUSE_S = 0.1
"""The time that a full upstream asks for."""

log = get_logger("upstream-stand-in")


class UpstreamSettings(msgspec.Struct, kw_only=True, frozen=True):
    """Settings of an upstream, the same for all of its incarnations.

    ``address`` is where nodes reach it, directly or through a relay. At most ``slots`` requests run
    at the same time, and at most ``queue`` wait for a slot. ``fail_share`` is the share of the runs
    that end in each of three ways: without a response, with status 500, or with a response after
    which the connection is closed. ``slow_share`` is the share of the runs that take
    ``SLOW_WORK_S``. ``pause_share`` is the share of the requests that are turned away with a
    ``Retry-After`` of ``PAUSE_S``. An upstream that leaves says so in its answers for
    ``quiet_leave_s`` before it reports that it drains. One that is not ``keyed`` runs requests for
    any key or none.
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
    slow_share: float = 0.0
    pause_share: float = 0.0
    quiet_leave_s: float = 0.0
    keyed: bool = True


@dataclass(eq=False, slots=True, kw_only=True)
class _Run:
    """A request that runs in a slot.

    ``release_waiting`` is set once a release of its key waits for the run to end.
    """

    key: int
    release_waiting: bool = False
    ended: trio.Event = field(default_factory=trio.Event)


class UpstreamApp(AsgiApp):
    """Serves grants and releases of keys, and the requests of callers."""

    def __init__(self, *, settings: UpstreamSettings, records: RecordFile) -> None:
        self._settings = settings
        self._records = records
        self._started_ms = time.time_ns() // 1_000_000
        self._fencing_tokens = array("q", [0]) * (MAX_KEY + 1)
        self._lease_ends = array("d", [0.0]) * (MAX_KEY + 1)
        self._runs: set[_Run] = set()
        self._slots = trio.Semaphore(settings.slots)
        self._random = random.Random(settings.upstream_id)
        self._wishes = random.Random(f"wishes/{settings.upstream_id}")
        self._last_ran_at = time.monotonic()
        self._leaving = False
        self.draining = False

    @property
    def _incarnation(self) -> str:
        return f"{self._settings.upstream_id}@{self._started_ms}"

    async def track_pauses(self) -> None:
        """Update the time at which the process last ran, until cancelled."""
        while True:
            self._last_ran_at = time.monotonic()
            await trio.sleep(PAUSE_POLL_S)

    async def report(self) -> None:
        """Report the upstream's entry to the store every ``REPORT_INTERVAL_S``, until cancelled."""
        while True:
            accepted = await self.report_once()
            await trio.sleep(REPORT_INTERVAL_S if accepted else REPORT_RETRY_S)

    async def report_once(self, *, remove: bool = False) -> bool:
        """Report or remove the upstream's entry, and return whether the store accepted that."""
        settings = self._settings
        entry = {
            "service": settings.service,
            "address": settings.address,
            "zone": settings.data_centre,
            "version": "1",
            "capacity": settings.slots,
            "state": "draining" if self.draining else "ready",
            "born": self._started_ms,
            "sequence": 1,
            "slowStartS_time": 0.0,
        }
        path = f"/standin/entry/{settings.upstream_id}"
        try:
            status, _ = await request_json(
                settings.store_address,
                "PUT",
                path,
                None if remove else entry,
                timeout=REPORT_TIMEOUT_S,
            )
        except OSError as exc:
            log.info("cannot report to the store", reason=str(exc))
            return False
        return status == 200

    async def drain(self) -> None:
        """Say so in answers, report that the upstream is draining, serve on and remove the entry.

        The upstream serves for ``quiet_leave_s`` before the report and ``drain_s`` after it. The
        report is repeated until the store accepts it. The removal is tried once.
        """
        self._leaving = True
        await trio.sleep(self._settings.quiet_leave_s)
        self.draining = True
        while not await self.report_once():
            await trio.sleep(REPORT_INTERVAL_S / 2)
        await trio.sleep(self._settings.drain_s)
        await self.report_once(remove=True)

    async def handle(self, exchange: Exchange) -> None:
        try:
            body = await exchange.body()
        except BodyCutError:
            self._records.add("cut", id=exchange.header(_wire.REQUEST_ID), life=self._incarnation)
            return
        target = exchange.header(_wire.TARGET_UPSTREAM)
        if target and target != self._settings.upstream_id:
            await self._reject(exchange, 421)
        elif exchange.path == f"{_wire.PATH_PREFIX}/grant":
            await self._grant(exchange, json.loads(body))
        elif exchange.path == f"{_wire.PATH_PREFIX}/release":
            await self._release(exchange, json.loads(body))
        else:
            await self._serve(exchange, body)

    # Grants and releases

    async def _grant(self, exchange: Exchange, order: dict[str, Any]) -> None:
        first, last, fence = order["from"], order["to"], order["fence"]
        if max(self._fencing_tokens[first : last + 1]) > fence:
            await exchange.respond_json(409, {}, headers=self._leaving_mark())
            return
        count = last - first + 1
        # The lease starts when the order arrives. If the process was paused, the order may have
        # arrived at any time during the pause, so the lease starts at the beginning of the pause.
        now = time.monotonic()
        arrived = self._last_ran_at if now - self._last_ran_at > PAUSE_THRESHOLD_S else now
        until = arrived + order["holdS"] * SLOW_CLOCK_FACTOR
        self._fencing_tokens[first : last + 1] = array("q", [fence]) * count
        self._lease_ends[first : last + 1] = array("d", [until]) * count
        self._records.add(
            "held", first=first, last=last, fence=fence, until=until, life=self._incarnation
        )
        await exchange.respond_json(200, {}, headers=self._leaving_mark())

    async def _release(self, exchange: Exchange, order: dict[str, Any]) -> None:
        first, last, fence = order["from"], order["to"], order["fence"]
        for key in range(first, last + 1):
            self._fencing_tokens[key] = max(self._fencing_tokens[key], fence)
        self._lease_ends[first : last + 1] = array("d", [0.0]) * (last - first + 1)
        for run in [run for run in self._runs if first <= run.key <= last]:
            run.release_waiting = True
            await run.ended.wait()
        self._records.add("released", first=first, last=last, fence=fence, life=self._incarnation)
        token = f"{self._random.getrandbits(64):016x}"
        headers = {_wire.HANDOVER: token, **self._leaving_mark()}
        await exchange.respond_json(200, {}, headers=headers)

    # Requests of callers

    async def _serve(self, exchange: Exchange, body: bytes) -> None:
        deadline = trio.current_time() + (
            float(exchange.header(_wire.DEADLINE_MS) or DEFAULT_DEADLINE_MS) / 1000
        )
        request_id = exchange.header(_wire.REQUEST_ID)
        key = int(exchange.header(_wire.KEY) or 0)
        if not request_id:
            await self._reject(exchange, 400)
            return
        self._records.add("arrived", id=request_id, life=self._incarnation)
        if self._wishes.random() < self._settings.pause_share:
            await self._reject(exchange, 503, pause_s=round(self._wishes.uniform(*PAUSE_S), 2))
            return
        if not self._owns(key):
            await self._reject(exchange, 421)
            return
        if self._slots.statistics().tasks_waiting >= self._settings.queue:
            await self._reject(exchange, 503)
            return
        with trio.move_on_at(deadline) as slot_wait:
            await self._slots.acquire()
        if slot_wait.cancelled_caught:
            await self._reject(exchange, 503)
            return
        try:
            if not self._owns(key):
                await self._reject(exchange, 421)
                return
            run = _Run(key=key)
            self._runs.add(run)
            self._records.add("run", id=request_id, key=key, life=self._incarnation)
            try:
                succeeded = await self._run_until_done(run)
            finally:
                self._runs.discard(run)
                run.ended.set()
            self._records.add("ended", id=request_id, whole=succeeded, life=self._incarnation)
        finally:
            self._slots.release()
        await self._respond(exchange, request_id, body, succeeded=succeeded)

    async def _run_until_done(self, run: _Run) -> bool:
        """Run for the time of ``_draw_work_s`` and return whether the upstream may report success.

        The key must be owned until the end of the run, unless a release of the key waits for the
        run. If the lease expires, the run ends at once.
        """
        ends_at = trio.current_time() + self._draw_work_s()
        while (remaining_s := ends_at - trio.current_time()) > 0:
            if not run.release_waiting:
                remaining_s = min(remaining_s, self._owned_until(run.key) - time.monotonic())
            if remaining_s <= 0:
                return False
            await trio.sleep(remaining_s)
        return run.release_waiting or self._owns(run.key)

    def _draw_work_s(self) -> float:
        """Return 0.5 to 1.5 times ``work_s``, or the time of a slow run."""
        if self._settings.slow_share and self._random.random() < self._settings.slow_share:
            return self._random.uniform(*SLOW_WORK_S)
        return self._settings.work_s * self._random.uniform(0.5, 1.5)

    def _owns(self, key: int) -> bool:
        return time.monotonic() < self._owned_until(key)

    def _owned_until(self, key: int) -> float:
        return self._lease_ends[key] if self._settings.keyed else math.inf

    async def _respond(
        self, exchange: Exchange, request_id: str, body: bytes, *, succeeded: bool
    ) -> None:
        drawn, share = self._random.random(), self._settings.fail_share
        if drawn < share:
            await exchange.close_without_response()
            return
        digest = _digest(request_id, body)
        data = json.dumps({"digest": digest, "padding": "." * 500}).encode()
        headers = {
            _wire.REQUEST_ID: request_id,
            _wire.UPSTREAM_ID: self._settings.upstream_id,
            _wire.SIGNATURE: digest,
            "content-length": str(len(data)),
            **self._leaving_mark(),
        }
        if drawn > 1 - share:
            headers["connection"] = "close"
        await exchange.start_response(200 if succeeded and drawn >= 2 * share else 500, headers)
        await exchange.send_body(data, more=False)

    def _leaving_mark(self) -> dict[str, str]:
        return {_wire.LEAVING: "1"} if self._leaving else {}

    async def _reject(
        self, exchange: Exchange, status: int, *, pause_s: float = FULL_PAUSE_S
    ) -> None:
        request_id = exchange.header(_wire.REQUEST_ID)
        headers = {
            _wire.NOT_EXECUTED: "1",
            _wire.REQUEST_ID: request_id,
            _wire.UPSTREAM_ID: self._settings.upstream_id,
            **self._leaving_mark(),
        }
        if status == 503:
            headers[_wire.RETRY_AFTER] = str(pause_s)
            self._records.add("turned-away", id=request_id, life=self._incarnation, pause_s=pause_s)
        await exchange.respond_json(status, {}, headers=headers)


def is_own_response(request_id: str, body: bytes, response: httpcore.Response) -> bool:
    """Return whether a response is complete, is signed by a stand-in and is for this request."""
    digest = _digest(request_id, body)
    fields = {name.lower().decode("latin-1"): value for name, value in response.headers}
    try:
        received_digest = json.loads(response.content)["digest"]
    except (ValueError, KeyError, TypeError):
        return False
    return received_digest == digest and fields.get(_wire.SIGNATURE) == digest.encode()


def _digest(request_id: str, body: bytes) -> str:
    return hashlib.sha256(request_id.encode() + body).hexdigest()

"""Steps of fleet/losses.feature."""

from __future__ import annotations

import hashlib
import re
import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING
from typing import Any

import trio
from behave import then
from behave import when

from acaciasaddle.emulator import CallerOutcome
from acaciasaddle.emulator import LoadRunner
from acaciasaddle.emulator import Workload
from acaciasaddle.emulator._workload import KeyDistribution
from acaciasaddle.emulator._workload import LoadKind
from support.fleet_session import WAIT_LIMIT_S
from support.fleet_session import Request

if TYPE_CHECKING:
    from collections.abc import Iterator

    from support.fleet_session import FleetSession
    from support.fleet_session import Response

UPLOAD_PART_COUNT = 20
UPLOAD_PART = b"u" * 50_000
UPLOAD_PART_INTERVAL_S = 0.06

EVENT_AFTER_S = 1.0
PAUSE_S = 2.0
WORKLOAD = Workload(
    kinds=(
        LoadKind(
            name="deposit",
            method="POST",
            path="/bookings/{key}/pay",
            rate=60,
            rank="urgent",
            target_ms=8000,
            once=True,
            body_bytes=100,
            # Shorter than the pause, so that callers repeat requests while a host is paused.
            timeout_s=1.2,
        ),
        LoadKind(name="lookup", path="/bookings/{key}", rate=60, rank="urgent", target_ms=8000),
    ),
    duration_s=3.5,
    keys=KeyDistribution(count=200),
    repeats=12,
    drain_s=WAIT_LIMIT_S,
)


def slow_body() -> Iterator[bytes]:
    """Yield the parts of a body over 1.2 s."""
    for _ in range(UPLOAD_PART_COUNT):
        time.sleep(UPLOAD_PART_INTERVAL_S)
        yield UPLOAD_PART


def upload(key: str, address: str) -> Response:
    """Send an upload whose body arrives slowly, and return the response."""
    length = {"Content-Length": str(UPLOAD_PART_COUNT * len(UPLOAD_PART))}
    request = Request(method="PUT", target=f"/roster/{key}/demo", body=slow_body(), headers=length)
    return request.send(address)


async def run_load(session: FleetSession, event: str) -> LoadRunner:
    """Run the workload, cause an event after ``EVENT_AFTER_S``, and return the runner."""
    fleet = session.fleet
    addresses = [host.address for host in session.hosts]
    runner = LoadRunner(workload=WORKLOAD, addresses=addresses)
    quoted = re.search('"(.*)"', event)
    assert quoted is not None
    managed = fleet.upstreams[quoted[1]]
    if event.startswith("the holder"):
        managed = fleet.hosts[await trio.to_thread.run_sync(session.holder, quoted[1])]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(runner.run)
        await trio.sleep(EVENT_AFTER_S)
        if event.endswith("is killed"):
            await fleet.kill_host(managed.name)
        else:
            fleet.pause(managed)
            await trio.sleep(PAUSE_S)
            fleet.resume(managed)
    return runner


class FleetLossSteps:
    """Guards against broken promises while processes end or are paused."""

    @staticmethod
    @when('the fleet\'s host that holds "{upstream}" gets SIGTERM during both uploads')
    def stopped(context: Any, upstream: str) -> None:
        session = context.fleet
        host = session.fleet.hosts[session.holder(upstream)]
        other = next(h for h in session.hosts if h is not host)
        received = session.key_held_by("roster", host.name, held=False)
        dispatched = session.key_held_by("roster", host.name)
        with ThreadPoolExecutor() as pool:
            first = pool.submit(upload, received, host.address)
            second = pool.submit(upload, dispatched, other.address)
            time.sleep(UPLOAD_PART_COUNT * UPLOAD_PART_INTERVAL_S / 4)
            context.exit_code = session.run(session.fleet.stop_host, host.name)
            context.uploads = [(received, first.result()), (dispatched, second.result())]
        plan = next(plan for plan in session.fleet.plan.hosts if plan.host_id == host.name)
        session.run(session.fleet.start_host, plan)
        session.run(session.fleet.wait_all_units_served)

    @staticmethod
    @then("both of the fleet's uploads get complete responses and the host exits with 0")
    def complete(context: Any) -> None:
        digest = hashlib.sha256(UPLOAD_PART * UPLOAD_PART_COUNT).hexdigest()
        for key, response in context.uploads:
            assert (response.status, response.complete) == (200, True), response
            content = response.content
            assert (content["key"], content["body_sha256"]) == (key, digest), content
        assert context.exit_code == 0, context.exit_code

    @staticmethod
    @when("the fleet is under load with repeats through other hosts and {event}")
    def under_load(context: Any, event: str) -> None:
        session = context.fleet
        context.event = event
        context.load_start_ms = time.clock_gettime(time.CLOCK_BOOTTIME) * 1000
        context.runner = session.run(run_load, session, event)
        session.caller_records += context.runner.records

    @staticmethod
    @then("every unit of the fleet is served again")
    def served(context: Any) -> None:
        session = context.fleet
        session.wait_served()
        for plan in session.fleet.plan.hosts:
            if session.fleet.hosts[plan.host_id].ended_at is not None:
                session.run(session.fleet.start_host, plan)
        session.run(session.fleet.wait_all_units_served)

    @staticmethod
    @then("most of the fleet's requests completed, with {effect}")
    def completed(context: Any, effect: str) -> None:
        records = context.runner.records
        rows = {row.kind: row.outcomes for row in context.runner.results.rows()}
        for kind, outcomes in rows.items():
            assert not outcomes.get(CallerOutcome.FOREIGN), (kind, outcomes)
            completed = outcomes.get(CallerOutcome.COMPLETED, 0)
            assert completed > sum(outcomes.values()) / 2, (kind, outcomes)
        print({kind: dict(outcomes) for kind, outcomes in rows.items()})
        if effect == "repeats":
            assert any(record.earlier for record in records), "no request was repeated"
            return
        upstream = re.search('"(.*)"', context.event)[1]  # type: ignore[index]
        upstream_records = context.fleet.run(context.fleet.fleet.records)
        since_ms = context.load_start_ms
        owned_before = {
            owned.unit
            for record in upstream_records
            if record.name == upstream
            for owned in record.owned
            if owned.boot_from_ms < since_ms < owned.boot_until_ms
        }
        owned_after = {
            owned.unit
            for record in upstream_records
            if record.name != upstream
            for owned in record.owned
            if owned.boot_from_ms > since_ms
        }
        assert owned_before and owned_before <= owned_after, (owned_before, owned_after)

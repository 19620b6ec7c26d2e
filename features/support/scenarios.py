"""Scenarios of the matrix: load and operations during which faults are injected."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio
from features.support.callers import call_operator_api
from features.support.system import ONE_DATA_CENTRE
from features.support.system import RULES
from features.support.system import SHARDS
from features.support.system import TWO_DATA_CENTRES
from features.support.system import Layout

if TYPE_CHECKING:
    from typing import Any

    from features.support.callers import CallerRequest
    from features.support.callers import Callers
    from features.support.system import SimulatedSystem

MAX_APPLY_ATTEMPTS = 20


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """A load on a layout of hosts and upstreams, and the operations during it."""

    name: str
    run: Callable[[ScenarioContext], Awaitable[None]]
    layout: Layout = ONE_DATA_CENTRE


class ScenarioContext:
    """The system and callers that a scenario uses, and the times of its operations for the checks.

    Drains are kept by upstream name, accepted configurations by version, stops by host id.
    """

    def __init__(self, *, system: SimulatedSystem, callers: Callers) -> None:
        self.system = system
        self.callers = callers
        self.drain_started_at: dict[str, float] = {}
        self.accepted_at: dict[int, float] = {}
        self.stop_started_at: dict[str, float] = {}
        self.stopped: set[str] = set()

    @property
    def host_ids(self) -> list[str]:
        """Return the ids of all hosts."""
        return list(self.system.hosts)

    def hosts_from(self, number: int) -> list[str]:
        """Return the ids of all hosts, starting at index ``number`` modulo the host count."""
        ids = self.host_ids
        return [ids[(number + i) % len(ids)] for i in range(len(ids))]

    async def apply(self, first_host: int, *, leaving: tuple[str, ...], change_id: str) -> int:
        """Apply a configuration that adds a kind of work and drains the upstreams in ``leaving``.

        It is sent to one host after the other, starting at index ``first_host``, until one accepts
        it. Return its version, or 0 after ``MAX_APPLY_ATTEMPTS`` attempts.
        """
        system = self.system
        rules = {**RULES, "kinds": [*RULES["kinds"], self.kind_for_change(change_id)]}
        value: Any = {
            "inventory": system.inventory(leaving=leaving),
            "rules": rules,
            "change_id": change_id,
            "author": "operator",
        }
        for attempt in range(MAX_APPLY_ATTEMPTS):
            host = system.hosts[self.hosts_from(first_host + attempt)[0]]
            status, response = await call_operator_api(host, "POST", "/config", value)
            if status == 200:
                version = int(response["version"])
                self.accepted_at[version] = trio.current_time()
                for name in leaving:
                    self.drain_started_at.setdefault(name, trio.current_time())
                return version
            await trio.sleep(0.3)
        return 0

    @staticmethod
    def kind_for_change(change_id: str) -> dict[str, Any]:
        """Return the kind of work that only the configuration of this change has.

        A host with another configuration in force answers requests to its path with 404.
        """
        return {
            "service": "bookings",
            "name": change_id,
            "method": "GET",
            "path": f"/{change_id}/{{key}}",
            "rank": "normal",
        }


async def _repeated_deposits(context: ScenarioContext) -> None:
    """Send a deposit for every unit three times, each time to another host first.

    The second time follows 30 ms after the first, the third once both earlier ones have ended.
    """
    system, callers = context.system, context.callers

    async def send_one(shard: int) -> None:
        await trio.sleep(0.05 * shard)
        request = callers.deposit(system.key_of(shard), work_ms=60)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(callers.send, request, context.hosts_from(shard))
            await trio.sleep(0.03)
            nursery.start_soon(callers.send, request, context.hosts_from(shard + 1))
        await callers.send(request, context.hosts_from(shard + 2))

    async with trio.open_nursery() as nursery:
        for shard in range(SHARDS):
            nursery.start_soon(send_one, shard)


async def _lookups(context: ScenarioContext) -> None:
    """Send lookups for all units with service times that make responses arrive out of order."""
    system, callers = context.system, context.callers

    async def send_one(number: int) -> None:
        await trio.sleep(0.02 * number)
        request = callers.lookup(system.key_of(number % SHARDS), work_ms=5 + 60 * (number % 3))
        await callers.send(request, context.hosts_from(number))

    async with trio.open_nursery() as nursery:
        for number in range(3 * SHARDS):
            nursery.start_soon(send_one, number)


async def _uploads(context: ScenarioContext) -> None:
    """Send an upload to each upstream, another that is aborted partway, and lookups meanwhile."""
    system, callers = context.system, context.callers

    async def send_one(number: int, request: CallerRequest) -> None:
        await callers.send(request, context.hosts_from(number), max_attempts=4)

    async with trio.open_nursery() as nursery:
        for number, name in enumerate(system.upstreams):
            key = system.key_of(system.shard_owned_by(name))
            upload = callers.upload(key, size=200_000, chunk_pause_s=0.06)
            nursery.start_soon(send_one, number, upload)
        aborted = callers.upload(
            system.key_of(system.shard_owned_by("u1"), 1),
            size=200_000,
            chunk_pause_s=0.05,
            abort_upload_after_bytes=100_000,
        )
        nursery.start_soon(callers.attempt, aborted, system.hosts["a"])
        for number in range(SHARDS):
            nursery.start_soon(send_one, number, callers.lookup(system.key_of(number)))


async def _callers_disconnect(context: ScenarioContext) -> None:
    """Disconnect callers at several times, while others wait for their responses.

    When they disconnect, their requests are queued or have been sent to the upstream. Their
    deposits are sent again afterwards.
    """
    system, callers = context.system, context.callers
    async with trio.open_nursery() as nursery:
        for name in system.upstreams:
            shard = system.shard_owned_by(name)
            for number in range(6):
                create = callers.deposit if number % 2 else callers.lookup
                request = create(
                    system.key_of(shard, number),
                    work_ms=100,
                    give_up_after_s=(0.02, 0.02, 0.08, 0.08, 0.12, 0.21)[number],
                )
                nursery.start_soon(callers.send, request, context.hosts_from(number))
            for number in range(3):
                awaited = callers.deposit(system.key_of(shard, 6 + number), work_ms=30)
                nursery.start_soon(callers.send, awaited, context.hosts_from(number))
    for request in list(callers.requests):
        if request.idempotency_key and request.give_up_after_s is not None:
            request.give_up_after_s = None
            await callers.send(request, context.host_ids)


async def _steady_load(context: ScenarioContext, duration_s: float) -> None:
    """Alternate lookups and deposits for every unit until ``duration_s`` has passed."""
    system, callers = context.system, context.callers
    end_at = trio.current_time() + duration_s

    async def send_one(shard: int) -> None:
        number = 0
        while trio.current_time() < end_at:
            create = callers.deposit if number % 2 else callers.lookup
            request = create(system.key_of(shard, number % 3), work_ms=30)
            await callers.send(request, context.hosts_from(shard + number))
            number += 1
            await trio.sleep(0.1)

    async with trio.open_nursery() as nursery:
        for shard in range(SHARDS):
            nursery.start_soon(send_one, shard)


async def _drain(context: ScenarioContext) -> None:
    """Drain an upstream under load by a configuration change; its units move."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_steady_load, context, 2.5)
        await trio.sleep(0.1)
        await context.apply(0, leaving=("u0",), change_id="drain")


async def _drain_upload(context: ScenarioContext) -> None:
    """Drain an upstream while uploads to two of its units are in progress."""
    system, callers = context.system, context.callers
    async with trio.open_nursery() as nursery:
        for shard in system.shards_owned_by("u1")[:2]:
            upload = callers.upload(system.key_of(shard, 3), size=400_000, chunk_pause_s=0.12)
            nursery.start_soon(callers.send, upload, context.host_ids)
        nursery.start_soon(_steady_load, context, 1.0)
        await trio.sleep(0.1)
        await context.apply(0, leaving=("u1",), change_id="drain-upload")


async def _drain_unchecked(context: ScenarioContext) -> None:
    """Drain the upstream that checks no orders, under load."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_steady_load, context, 2.5)
        await trio.sleep(0.1)
        await context.apply(0, leaving=("u2",), change_id="drain-unchecked")


async def _two_operators(context: ScenarioContext) -> None:
    """Have two operators apply two changes each at the same time, so that these conflict."""

    async def operator(number: int) -> None:
        for change in range(2):
            leaving = ("u0",) if (number + change) % 2 else ()
            await context.apply(number, leaving=leaving, change_id=f"change-{number}-{change}")

    async with trio.open_nursery() as nursery:
        nursery.start_soon(_steady_load, context, 1.5)
        nursery.start_soon(operator, 0)
        nursery.start_soon(operator, 1)
    # Whether the last of these changes drains u0 is not determined, so no drain is checked.
    context.drain_started_at.clear()


async def _graceful_stop(context: ScenarioContext) -> None:
    """Stop a host gracefully while it holds an upstream and serves callers."""
    system, callers = context.system, context.callers
    host = system.hosts[system.holder("u1")]

    async def stop() -> None:
        await host.host.stop()
        context.stopped.add(host.id)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(_steady_load, context, 1.5)
        for number, name in enumerate(system.upstreams):
            key = system.key_of(system.shard_owned_by(name), 4)
            slow = callers.deposit(key, work_ms=400)
            nursery.start_soon(callers.send, slow, [host.id])
            key = system.key_of(system.shard_owned_by(name), 5)
            upload = callers.upload(key, size=200_000, chunk_pause_s=0.1)
            nursery.start_soon(callers.send, upload, context.hosts_from(number))
        await trio.sleep(0.25)
        host.leaving = True
        context.stop_started_at[host.id] = trio.current_time()
        host.start_soon(stop)
    with trio.move_on_after(10):
        while host.alive and host.id not in context.stopped:
            await trio.sleep(0.05)


async def _two_data_centres(context: ScenarioContext) -> None:
    """Send deposits and lookups in both data centres."""
    await _steady_load(context, 1.5)


SCENARIOS: tuple[Scenario, ...] = (
    Scenario(name="once", run=_repeated_deposits),
    Scenario(name="lookups", run=_lookups),
    Scenario(name="uploads", run=_uploads),
    Scenario(name="callers gone", run=_callers_disconnect),
    Scenario(name="drain and moves", run=_drain),
    Scenario(name="drain during an upload", run=_drain_upload),
    Scenario(name="drain unchecked", run=_drain_unchecked),
    Scenario(name="two operators", run=_two_operators),
    Scenario(name="graceful stop", run=_graceful_stop),
    Scenario(name="two data centres", run=_two_data_centres, layout=TWO_DATA_CENTRES),
    Scenario(name="drain in two data centres", run=_drain, layout=TWO_DATA_CENTRES),
)

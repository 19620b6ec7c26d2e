"""What happens in a trial while faults strike."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio
from features.support.callers import operate
from features.support.stage import ONE_PLACE
from features.support.stage import RULES
from features.support.stage import SHARDS
from features.support.stage import TWO_PLACES
from features.support.stage import Layout

if TYPE_CHECKING:
    from typing import Any

    from features.support.callers import Callers
    from features.support.callers import Work
    from features.support.stage import Stage

APPLY_TRIES = 20


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """A name, its layout and its work."""

    name: str
    run: Callable[[Scene], Awaitable[None]]
    layout: Layout = ONE_PLACE


class Scene:
    """What a scenario uses, and what it expects to be checked."""

    def __init__(self, *, stage: Stage, callers: Callers) -> None:
        self.stage = stage
        self.callers = callers
        self.drained: dict[str, float] = {}
        self.applied: dict[int, float] = {}
        self.stopping: dict[str, float] = {}
        self.stopped: set[str] = set()

    @property
    def host_ids(self) -> list[str]:
        """Ids of all hosts."""
        return list(self.stage.hosts)

    def hosts_from(self, number: int) -> list[str]:
        """Return all hosts, beginning with one of them."""
        ids = self.host_ids
        return [ids[(number + i) % len(ids)] for i in range(len(ids))]

    async def apply(self, number: int, *, leaving: tuple[str, ...], change_id: str) -> int:
        """Apply a configuration that adds a kind of work, until it is known to be in force."""
        stage = self.stage
        rules = {**RULES, "kinds": [*RULES["kinds"], self.kind_of(change_id)]}
        value: Any = {
            "inventory": stage.inventory(leaving=leaving),
            "rules": rules,
            "change_id": change_id,
            "author": "operator",
        }
        for attempt in range(APPLY_TRIES):
            host = stage.hosts[self.hosts_from(number + attempt)[0]]
            status, answer = await operate(host, "POST", "/config", value)
            if status == 200:
                version = int(answer["version"])
                self.applied[version] = trio.current_time()
                for name in leaving:
                    self.drained.setdefault(name, trio.current_time())
                return version
            await trio.sleep(0.3)
        return 0

    @staticmethod
    def kind_of(change_id: str) -> dict[str, Any]:
        """Return the kind of work that a change adds, by which it is seen to be in force."""
        return {
            "service": "bookings",
            "name": change_id,
            "method": "GET",
            "path": f"/{change_id}/{{key}}",
            "rank": "normal",
        }


async def _once(scene: Scene) -> None:
    """Deposits for every unit, each sent again through another host at once and later."""
    stage, callers = scene.stage, scene.callers

    async def one(shard: int) -> None:
        await trio.sleep(0.05 * shard)
        work = callers.deposit(stage.key_of(shard), work_ms=60)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(callers.send, work, scene.hosts_from(shard))
            await trio.sleep(0.03)
            nursery.start_soon(callers.send, work, scene.hosts_from(shard + 1))
        await callers.send(work, scene.hosts_from(shard + 2))

    async with trio.open_nursery() as nursery:
        for shard in range(SHARDS):
            nursery.start_soon(one, shard)


async def _lookups(scene: Scene) -> None:
    """Lookups of all units with service times that have answers come out of order."""
    stage, callers = scene.stage, scene.callers

    async def one(number: int) -> None:
        await trio.sleep(0.02 * number)
        work = callers.lookup(stage.key_of(number % SHARDS), work_ms=5 + 60 * (number % 3))
        await callers.send(work, scene.hosts_from(number))

    async with trio.open_nursery() as nursery:
        for number in range(3 * SHARDS):
            nursery.start_soon(one, number)


async def _uploads(scene: Scene) -> None:
    """An upload to each upstream, one of them cut halfway, and lookups beside them."""
    stage, callers = scene.stage, scene.callers

    async def one(number: int, work: Work) -> None:
        await callers.send(work, scene.hosts_from(number), tries=4)

    async with trio.open_nursery() as nursery:
        for number, name in enumerate(stage.upstreams):
            key = stage.key_of(stage.shard_owned_by(name))
            upload = callers.upload(key, size=200_000, chunk_pause_s=0.06)
            nursery.start_soon(one, number, upload)
        cut = callers.upload(
            stage.key_of(stage.shard_owned_by("u1"), 1),
            size=200_000,
            chunk_pause_s=0.05,
            cut_upload_after=100_000,
        )
        nursery.start_soon(callers.attempt, cut, stage.hosts["a"])
        for number in range(SHARDS):
            nursery.start_soon(one, number, callers.lookup(stage.key_of(number)))


async def _gone(scene: Scene) -> None:
    """Callers that go away while queued, sent and half answered, beside others that stay."""
    stage, callers = scene.stage, scene.callers
    async with trio.open_nursery() as nursery:
        for name in stage.upstreams:
            shard = stage.shard_owned_by(name)
            for number in range(6):
                make = callers.deposit if number % 2 else callers.lookup
                work = make(
                    stage.key_of(shard, number),
                    work_ms=100,
                    give_up_after_s=(0.02, 0.02, 0.08, 0.08, 0.12, 0.21)[number],
                )
                nursery.start_soon(callers.send, work, scene.hosts_from(number))
            for number in range(3):
                stays = callers.deposit(stage.key_of(shard, 6 + number), work_ms=30)
                nursery.start_soon(callers.send, stays, scene.hosts_from(number))
    for work in list(callers.works):
        if work.idempotency_key and work.give_up_after_s is not None:
            work.give_up_after_s = None
            await callers.send(work, scene.host_ids)


async def _steady(scene: Scene, seconds: float) -> None:
    """Lookups and deposits of all units for a time."""
    stage, callers = scene.stage, scene.callers
    until = trio.current_time() + seconds

    async def one(shard: int) -> None:
        number = 0
        while trio.current_time() < until:
            make = callers.deposit if number % 2 else callers.lookup
            work = make(stage.key_of(shard, number % 3), work_ms=30)
            await callers.send(work, scene.hosts_from(shard + number))
            number += 1
            await trio.sleep(0.1)

    async with trio.open_nursery() as nursery:
        for shard in range(SHARDS):
            nursery.start_soon(one, shard)


async def _drain(scene: Scene) -> None:
    """A configuration change drains an upstream while work goes on; its units move."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_steady, scene, 2.5)
        await trio.sleep(0.1)
        await scene.apply(0, leaving=("u0",), change_id="drain")


async def _drain_upload(scene: Scene) -> None:
    """An upstream is drained while uploads to two of its units go on."""
    stage, callers = scene.stage, scene.callers
    async with trio.open_nursery() as nursery:
        for shard in stage.shards_owned_by("u1")[:2]:
            upload = callers.upload(stage.key_of(shard, 3), size=400_000, chunk_pause_s=0.12)
            nursery.start_soon(callers.send, upload, scene.host_ids)
        nursery.start_soon(_steady, scene, 1.0)
        await trio.sleep(0.1)
        await scene.apply(0, leaving=("u1",), change_id="drain-upload")


async def _drain_unchecked(scene: Scene) -> None:
    """The same for the upstream that checks no orders."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_steady, scene, 2.5)
        await trio.sleep(0.1)
        await scene.apply(0, leaving=("u2",), change_id="drain-unchecked")


async def _operators(scene: Scene) -> None:
    """Two operators apply conflicting changes through two hosts at the same time, twice."""

    async def operator(number: int) -> None:
        for turn in range(2):
            leaving = ("u0",) if (number + turn) % 2 else ()
            await scene.apply(number, leaving=leaving, change_id=f"change-{number}-{turn}")

    async with trio.open_nursery() as nursery:
        nursery.start_soon(_steady, scene, 1.5)
        nursery.start_soon(operator, 0)
        nursery.start_soon(operator, 1)
    # Which of the changes came last is open; the drain is not checked here.
    scene.drained.clear()


async def _stop(scene: Scene) -> None:
    """A host stops gracefully while it holds upstreams and serves callers."""
    stage, callers = scene.stage, scene.callers
    host = stage.hosts[stage.holder("u1")]

    async def stop() -> None:
        await host.host.stop()
        scene.stopped.add(host.id)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(_steady, scene, 1.5)
        for number, name in enumerate(stage.upstreams):
            key = stage.key_of(stage.shard_owned_by(name), 4)
            slow = callers.deposit(key, work_ms=400)
            nursery.start_soon(callers.send, slow, [host.id])
            key = stage.key_of(stage.shard_owned_by(name), 5)
            upload = callers.upload(key, size=200_000, chunk_pause_s=0.1)
            nursery.start_soon(callers.send, upload, scene.hosts_from(number))
        await trio.sleep(0.25)
        host.leaving = True
        scene.stopping[host.id] = trio.current_time()
        host.start_soon(stop)
    with trio.move_on_after(10):
        while host.alive and host.id not in scene.stopped:
            await trio.sleep(0.05)


async def _places(scene: Scene) -> None:
    """Deposits and lookups in both data centres."""
    await _steady(scene, 1.5)


SCENARIOS: tuple[Scenario, ...] = (
    Scenario(name="once", run=_once),
    Scenario(name="lookups", run=_lookups),
    Scenario(name="uploads", run=_uploads),
    Scenario(name="callers gone", run=_gone),
    Scenario(name="drain and moves", run=_drain),
    Scenario(name="drain during an upload", run=_drain_upload),
    Scenario(name="drain unchecked", run=_drain_unchecked),
    Scenario(name="two operators", run=_operators),
    Scenario(name="graceful stop", run=_stop),
    Scenario(name="two data centres", run=_places, layout=TWO_PLACES),
    Scenario(name="drain in two data centres", run=_drain, layout=TWO_PLACES),
)

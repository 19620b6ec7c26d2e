"""Schedules of faults for the model of keys, each drawn from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

import trio
from features.support.key_model import drain
from features.support.key_model import run_model

if TYPE_CHECKING:
    from collections.abc import Callable

    from features.support.key_model import KeyModel
    from features.support.key_model import ModelHost
    from features.support.key_model import ModelUpstream

START_S = 4.0
"""Time for the first grants, without faults."""
SCHEDULE_S = 42.0
CALM_S = 30.0
DRAIN_S = 4.0
"""An upstream that drains ends after this time."""
FIRST_COPY_S = 2.5
"""Copies of a store that begins with era 0 have the first rows of the role. A host that starts on a
store of era 1 without any row takes it for a new one."""
MIN_UPSTREAMS = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """A fault: when it begins, its kind, how long it lasts, and its other values."""

    at: float
    kind: str
    for_s: float = 0.0
    values: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Schedule:
    """The parameters of a model, and the faults in order of time."""

    parameters: dict[str, Any]
    faults: tuple[Fault, ...]


HOST_FAULTS = (
    "cut from store",
    "refused",
    "cut from upstreams",
    "cut links",
    "freeze",
    "kill",
    "stop",
)
UPSTREAM_FAULTS = (
    "join",
    "drain",
    "end",
    "restart",
    "move",
    "silent",
    "freeze upstream",
    "lose answers",
    "late grants",
    "slow releases",
)


def draw_schedule(seed: int) -> Schedule:
    """Return the schedule of a seed. Most of its faults lie around a restore of the store."""
    rng = random.Random(seed)
    parameters = {
        "hosts": rng.randint(2, 4),
        "upstreams": rng.randint(3, 5),
        "era": rng.choice((0, 1, 1)),
        "links": rng.random() < 0.5,
        "lost_writes": rng.choice((0.0, 0.0, 0.1)),
        "late_writes": rng.choice((0.0, 0.05, 0.2)),
    }
    earliest_copy_s = FIRST_COPY_S if parameters["era"] == 0 else 0.0
    restores = _draw_restores(rng, earliest_copy_s)
    order = rng.random()
    if order < 0.2:
        restores[0] = _with_outage(restores[0], rng.uniform(0.0, 3.0))
        faults = _draw_overtaken_holder(rng, restores[0])
    elif order < 0.3:
        restores[0] = _with_outage(restores[0], rng.uniform(0.0, 1.5), at=rng.uniform(20.0, 24.0))
        faults = _draw_long_overtaken_holder(rng, restores[0])
    elif order < 0.45:
        restores[0] = _with_outage(restores[0], rng.uniform(0.8, 4.0))
        faults = _draw_moves_in_progress(rng, restores[0])
    else:
        faults = []
    faults += restores
    first = restores[0]
    back_at = first.at + first.for_s
    copied_at = back_at - first.values["age_s"]
    for _ in range(rng.randint(3, 9)):
        at = rng.choice(
            (
                rng.uniform(START_S, SCHEDULE_S),
                rng.uniform(copied_at - 1.5, copied_at + 1.5),
                rng.uniform(copied_at, first.at),
                rng.uniform(first.at, back_at),
                rng.uniform(back_at, back_at + 4.0),
            )
        )
        faults.append(_draw_fault(rng, max(START_S, at)))
    return Schedule(parameters=parameters, faults=tuple(sorted(faults, key=lambda f: f.at)))


def _draw_restores(rng: random.Random, earliest_copy_s: float) -> list[Fault]:
    def draw(at: float) -> Fault:
        outage_s = rng.choice((0.0, rng.uniform(0.0, 1.5), rng.uniform(1.5, 12.0)))
        # A copy is at least as old as the outage.
        age_s = max(rng.uniform(0.5, 20.0), outage_s + 0.2)
        values = {"age_s": min(age_s, at + outage_s - earliest_copy_s), "again": 0}
        return Fault(at=at, kind="restore", for_s=outage_s, values=values)

    first = draw(rng.uniform(START_S + 6.0, 22.0))
    kind = rng.random()
    if kind < 0.15:
        # Restored twice within one outage: the era rises by two.
        first.values["again"] = 1
    restores = [first]
    if kind > 0.7:
        restores.append(draw(first.at + first.for_s + rng.uniform(0.2, 8.0)))
    return restores


def _with_outage(restore: Fault, outage_s: float, *, at: float | None = None) -> Fault:
    at = restore.at if at is None else at
    copied_at = max(0.0, restore.at + restore.for_s - restore.values["age_s"])
    # The copy is no newer than the outage, and not older than that of the given restore.
    age_s = min(restore.values["age_s"] + at - restore.at, at + outage_s - copied_at)
    values = {**restore.values, "age_s": max(age_s, outage_s + 0.2)}
    return replace(restore, at=at, for_s=outage_s, values=values)


def _draw_overtaken_holder(rng: random.Random, restore: Fault) -> list[Fault]:
    """Return faults after which two hosts take themselves for the last holder of the role.

    The first one is cut off from the store, and the second one moves keys before it is lost. After
    the restore the first one claims keys that it does not know to have moved. An upstream that
    released some may have restarted and forgotten the token.
    """
    back_at = restore.at + restore.for_s
    cut_at = max(START_S, restore.at - rng.uniform(3.0, 6.0))
    moved_at = cut_at + rng.uniform(1.9, 2.9)
    lost = _draw_loss_of_holder(rng, restore)
    if rng.random() < 0.5:
        moved = _draw_fault(rng, moved_at, "drain")
        restarted = _draw_fault(
            rng, rng.uniform(max(moved_at + 0.4, lost.at), back_at + 1.0), "restart drained"
        )
    else:
        moved = _draw_fault(rng, moved_at, rng.choice(("join", "join", "drain", "end")))
        restarted = _draw_fault(
            rng, rng.uniform(moved_at + 0.4, back_at + 1.5), rng.choice(("restart", "move"))
        )
    return [_draw_cut_off_holder(rng, cut_at, back_at), moved, restarted, lost]


def _draw_long_overtaken_holder(rng: random.Random, restore: Fault) -> list[Fault]:
    """Return the same for so long that keys are moved without a release by their owner."""
    back_at = restore.at + restore.for_s
    cut_at = restore.at - rng.uniform(14.5, 16.0)
    silent = _draw_fault(rng, cut_at + rng.uniform(0.0, 2.0), "silent")
    return [
        _draw_cut_off_holder(rng, cut_at, back_at),
        replace(silent, for_s=back_at + rng.uniform(-0.5, 1.0) - silent.at),
        _draw_loss_of_holder(rng, restore),
    ]


def _draw_moves_in_progress(rng: random.Random, restore: Fault) -> list[Fault]:
    """Return faults by which keys are about to move when the store is lost.

    Their owner is at work on them, or does not answer, so they are not granted yet. It may have got
    the longest lease, while the store refused the coordinator.
    """
    at = restore.at - rng.uniform(0.2, 1.2)
    back_at = restore.at + restore.for_s
    slow = [_draw_fault(rng, at - 0.1, "slow releases") for _ in range(4)]
    faults = [replace(fault, for_s=restore.for_s + 3.0) for fault in slow]
    silent = _draw_fault(rng, at - 0.05, "silent")
    if rng.random() < 0.6:
        faults.append(replace(silent, for_s=back_at + rng.uniform(1.0, 5.0) - silent.at))
    if rng.random() < 0.5:
        refused = _draw_fault(rng, at - 1.35, "refused", coordinator=True)
        faults.append(replace(refused, for_s=rng.uniform(1.0, 1.3)))
    moved = _draw_fault(rng, at, rng.choice(("join", "drain", "drain")))
    return [*faults, replace(moved, values=silent.values)]


def _draw_cut_off_holder(rng: random.Random, cut_at: float, back_at: float) -> Fault:
    cut = _draw_fault(rng, cut_at, "cut from store", coordinator=True)
    return replace(cut, for_s=max(0.1, back_at + rng.uniform(-0.5, 0.8) - cut_at))


def _draw_loss_of_holder(rng: random.Random, restore: Fault) -> Fault:
    at = rng.uniform(restore.at - 0.3, restore.at + restore.for_s)
    kind = rng.choice(("kill", "kill", "freeze", "cut from store"))
    lost = _draw_fault(rng, at, kind, coordinator=True)
    values = {**lost.values, "again_s": rng.uniform(2.0, 10.0)}
    return replace(lost, for_s=rng.uniform(2.0, 10.0), values=values)


def _draw_fault(
    rng: random.Random, at: float, kind: str = "", *, coordinator: bool = False
) -> Fault:
    kind = kind or rng.choice(HOST_FAULTS if rng.random() < 0.5 else UPSTREAM_FAULTS)
    values = {
        "coordinator": rng.random() < 0.6 or coordinator,
        "index": rng.randrange(100),
        "again_s": rng.choice((0.05, rng.uniform(0.1, 2.0), rng.uniform(2.0, 10.0))),
    }
    for_s = rng.choice((rng.uniform(0.2, 2.0), rng.uniform(2.0, 12.0)))
    return Fault(at=at, kind=kind, for_s=for_s, values=values)


def play(schedule: Schedule, *, seed: int, **parameters: Any) -> KeyModel:
    """Play a schedule and the calm after it; return the model with what it found."""

    async def script(model: KeyModel) -> None:
        player = Player(model)
        for fault in schedule.faults:
            model.nursery.start_soon(player.play, fault)
        end = max(
            [SCHEDULE_S, *(fault.at + max(fault.for_s, DRAIN_S) for fault in schedule.faults)]
        )
        await trio.sleep(end)
        player.heal()
        model.set_calm(True)
        await trio.sleep(CALM_S)

    return run_model(seed=seed, script=script, **{**schedule.parameters, **parameters})


class Player:
    """Carries out the faults of a schedule. After ``heal`` none begins or ends any more."""

    def __init__(self, model: KeyModel) -> None:
        self._model = model
        self._healed = False
        self._joined = 0
        self._outages = 0

    async def play(self, fault: Fault) -> None:
        """Wait for a fault's time, begin it, and end it after its duration."""
        await trio.sleep(fault.at)
        if self._healed:
            return
        begin: dict[str, Callable[[Fault], Any]] = {
            "restore": self._restore,
            "cut from store": self._cut_from_store,
            "refused": self._refuse,
            "cut from upstreams": self._cut_from_upstreams,
            "cut links": self._cut_links,
            "freeze": self._freeze,
            "kill": self._kill,
            "stop": self._stop,
            "join": self._join,
            "drain": self._drain,
            "end": self._end,
            "restart": self._restart,
            "move": self._restart,
            "restart drained": self._restart_drained,
            "silent": self._silence,
            "freeze upstream": self._freeze_upstream,
            "lose answers": self._lose_answers,
            "late grants": self._late_grants,
            "slow releases": self._slow_releases,
        }
        await begin[fault.kind](fault)

    def heal(self) -> None:
        """End all faults, and start hosts that are not running."""
        self._healed = True
        model = self._model
        model.note("all faults end")
        model.lost_writes = model.late_writes = 0.0
        if not model.store.up:
            model.store.set_up(True)
        for host in model.hosts:
            self._heal_host(host)
            if not host.running:
                host.start()
        for upstream in model.upstreams:
            self._heal_upstream(upstream)

    # The store.

    async def _restore(self, fault: Fault) -> None:
        model = self._model
        model.note(f"store down for {fault.for_s:.2f} s")
        self._outages += 1
        model.store.set_up(False)
        for _ in range(fault.values["again"]):
            await trio.sleep(fault.for_s / 2)
            model.restore(age_s=fault.values["age_s"] / 2)
        await trio.sleep(fault.for_s / (2 if fault.values["again"] else 1))
        model.restore(age_s=fault.values["age_s"])
        self._outages -= 1
        if not self._outages:
            model.store.set_up(True)

    # Hosts.

    def _host(self, fault: Fault) -> ModelHost | None:
        """Return the coordinator or another running host, as the fault says."""
        running = [host for host in self._model.hosts if host.running]
        if not running:
            return None
        host = running[fault.values["index"] % len(running)]
        if fault.values["coordinator"]:
            host = next((item for item in running if item.coordinator.leading), host)
        self._model.note(f"{fault.kind} {host.name} for {fault.for_s:.2f} s")
        return host

    async def _cut_from_store(self, fault: Fault) -> None:
        host = self._host(fault)
        if host is not None:
            faults = host.faults
            faults.cut_off = True
            await trio.sleep(fault.for_s)
            faults.cut_off = False

    async def _refuse(self, fault: Fault) -> None:
        host = self._host(fault)
        if host is not None:
            faults = host.faults
            faults.refused = True
            await trio.sleep(fault.for_s)
            faults.refused = False

    async def _cut_from_upstreams(self, fault: Fault) -> None:
        host = self._host(fault)
        if host is not None:
            host.orders_cut = True
            await trio.sleep(fault.for_s)
            host.orders_cut = False

    async def _cut_links(self, fault: Fault) -> None:
        host = self._host(fault)
        if host is not None:
            host.link_cut = True
            await trio.sleep(fault.for_s)
            host.link_cut = False

    async def _freeze(self, fault: Fault) -> None:
        host = self._host(fault)
        if host is not None:
            host.freeze()
            await trio.sleep(fault.for_s)
            host.thaw()

    async def _kill(self, fault: Fault) -> None:
        host = self._host(fault)
        if host is not None:
            host.kill()
            await self._start_again(host, fault)

    async def _stop(self, fault: Fault) -> None:
        host = self._host(fault)
        if host is not None and host.paused is None and not host.stopping:
            await host.stop()
            await self._start_again(host, fault)

    async def _start_again(self, host: ModelHost, fault: Fault) -> None:
        host.thaw()
        host.orders_cut = host.link_cut = False
        await trio.sleep(fault.values["again_s"])
        if not host.running:
            self._model.note(f"{host.name} starts again")
            host.start()

    @staticmethod
    def _heal_host(host: ModelHost) -> None:
        host.thaw()
        host.faults.cut_off = host.faults.refused = False
        host.faults.lost = host.faults.late = 0.0
        host.orders_cut = host.link_cut = False

    # Upstreams.

    def _upstream(self, fault: Fault) -> ModelUpstream:
        serving = [u for u in self._model.alive() if not u.entry.draining]
        upstream = serving[fault.values["index"] % len(serving)]
        self._model.note(f"{fault.kind} {upstream.name} for {fault.for_s:.2f} s")
        return upstream

    def _may_lose_one(self) -> bool:
        serving = [u for u in self._model.alive() if not u.entry.draining]
        return len(serving) > MIN_UPSTREAMS

    async def _join(self, fault: Fault) -> None:
        self._joined += 1
        upstream = self._model.start_upstream(f"n{self._joined}")
        self._model.note(f"{upstream.name} joins")

    async def _drain(self, fault: Fault) -> None:
        if not self._may_lose_one():
            return
        upstream = self._upstream(fault)
        drain(upstream)
        await trio.sleep(DRAIN_S)
        if upstream.alive:
            self._model.end_upstream(upstream)

    async def _end(self, fault: Fault) -> None:
        if self._may_lose_one():
            self._model.end_upstream(self._upstream(fault))

    async def _restart(self, fault: Fault) -> None:
        upstream = self._upstream(fault)
        self._model.restart_upstream(upstream, same_address=fault.kind == "restart")

    async def _restart_drained(self, fault: Fault) -> None:
        others = {u.entry.upstream_id for u in self._model.alive() if not u.entry.draining}
        drained = [
            u
            for u in self._model.upstreams
            if u.entry.draining and u.entry.upstream_id not in others
        ]
        if drained:
            self._model.note(f"{fault.kind} {drained[-1].name}")
            self._model.restart_upstream(drained[-1], same_address=True)

    async def _silence(self, fault: Fault) -> None:
        upstream = self._upstream(fault)
        upstream.silent = True
        await trio.sleep(fault.for_s)
        upstream.silent = False

    async def _freeze_upstream(self, fault: Fault) -> None:
        upstream = self._upstream(fault)
        if upstream.frozen is None:
            upstream.frozen = trio.Event()
            await trio.sleep(fault.for_s)
            self._heal_upstream(upstream)

    async def _lose_answers(self, fault: Fault) -> None:
        upstream = self._upstream(fault)
        upstream.lost = 0.6
        await trio.sleep(fault.for_s)
        upstream.lost = 0.0

    async def _late_grants(self, fault: Fault) -> None:
        upstream = self._upstream(fault)
        upstream.late = 0.6
        await trio.sleep(fault.for_s)
        upstream.late = 0.0

    async def _slow_releases(self, fault: Fault) -> None:
        upstream = self._upstream(fault)
        upstream.work_s = 4.0
        await trio.sleep(fault.for_s)
        upstream.work_s = 0.0

    @staticmethod
    def _heal_upstream(upstream: ModelUpstream) -> None:
        upstream.silent = False
        upstream.lost = upstream.late = upstream.work_s = 0.0
        if upstream.frozen is not None:
            upstream.frozen.set()
            upstream.frozen = None

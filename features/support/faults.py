"""Faults: how each begins at a step and ends."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio
from features.support.stage import Stage
from features.support.steps_seen import StepEvent

from acaciasaddle.emulator import UpstreamFaultOrder
from acaciasaddle.emulator._store import StoreState

if TYPE_CHECKING:

    from features.support.stage import StageHost
    from features.support.stage import StageUpstream


@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """A fault that begins at a step and ends ``lasts_s`` later.

    ``begin`` returns what ends it. It runs in the task that takes the step and must not wait.
    ``two_places`` marks faults that need a second data centre, ``three_hosts`` those that need
    three hosts in one.
    """

    name: str
    lasts_s: float
    begin: Callable[[Stage, StepEvent], Callable[[], None]]
    two_places: bool = False
    three_hosts: bool = False


def _nothing() -> None:
    return


def _host(stage: Stage, event: StepEvent) -> StageHost:
    """Return the host that takes the step, or holds the upstream that takes it."""
    if event.actor in stage.hosts:
        return stage.hosts[event.actor]
    if event.other in stage.hosts:
        return stage.hosts[event.other]
    return stage.hosts[stage.holder(event.actor)]


def _other(stage: Stage, event: StepEvent) -> StageHost:
    """Return the host at the other end of the step, or else the next one."""
    first = _host(stage, event)
    if event.other in stage.hosts and event.other != first.id:
        return stage.hosts[event.other]
    ids = [h.id for h in stage.hosts.values() if h.data_centre == first.data_centre]
    return stage.hosts[ids[(ids.index(first.id) + 1) % len(ids)]]


def _upstream(stage: Stage, event: StepEvent) -> StageUpstream:
    """Return the upstream of the step, or else one that the host of the step holds."""
    for name in (event.actor, event.other):
        if name in stage.upstreams:
            return stage.upstreams[name]
    first = _host(stage, event).id
    held = [name for name in stage.upstreams if stage.holder(name) == first]
    return stage.upstreams[held[0] if held else next(iter(stage.upstreams))]


def _kill(stage: Stage, event: StepEvent) -> Callable[[], None]:
    _host(stage, event).kill()
    return _nothing


def _kill_other(stage: Stage, event: StepEvent) -> Callable[[], None]:
    _other(stage, event).kill()
    return _nothing


def _kill_both(stage: Stage, event: StepEvent) -> Callable[[], None]:
    _other(stage, event).kill()
    _host(stage, event).kill()
    return _nothing


def _replace(stage: Stage, event: StepEvent) -> Callable[[], None]:
    host = _host(stage, event)
    host.kill()

    def end() -> None:
        stage.start_host(host.id)

    return end


def _replace_all(stage: Stage, event: StepEvent) -> Callable[[], None]:
    hosts = list(stage.hosts.values())
    for host in hosts:
        host.kill()

    def end() -> None:
        for host in hosts:
            stage.start_host(host.id)

    return end


def _pause(stage: Stage, event: StepEvent) -> Callable[[], None]:
    host = _host(stage, event)
    host.pause()
    return host.resume


def _pause_other(stage: Stage, event: StepEvent) -> Callable[[], None]:
    host = _other(stage, event)
    host.pause()
    return host.resume


def _cut(
    pairs: Callable[[str, str], list[tuple[str, str]]],
) -> Callable[[Stage, StepEvent], Callable[[], None]]:
    def begin(stage: Stage, event: StepEvent) -> Callable[[], None]:
        chosen = pairs(_host(stage, event).id, _other(stage, event).id)
        stage.network.cut(chosen)
        return lambda: stage.network.heal(chosen)

    return begin


def _silence(stage: Stage, event: StepEvent) -> Callable[[], None]:
    if event.other in stage.upstreams or event.actor in stage.upstreams:
        stage.network.silence(event.actor, event.other)
    else:
        stage.network.silence(_host(stage, event).id, _other(stage, event).id)
    return _nothing


def _kill_upstream(stage: Stage, event: StepEvent) -> Callable[[], None]:
    upstream = _upstream(stage, event)
    upstream.kill()
    return upstream.restart


def _freeze(stage: Stage, event: StepEvent) -> Callable[[], None]:
    upstream = _upstream(stage, event)
    upstream.model.freeze()
    return upstream.model.thaw


def _order(
    begin_order: UpstreamFaultOrder, end_order: UpstreamFaultOrder
) -> Callable[[Stage, StepEvent], Callable[[], None]]:
    def begin(stage: Stage, event: StepEvent) -> Callable[[], None]:
        upstream = _upstream(stage, event)
        upstream.model.order_faults(begin_order)
        return lambda: upstream.model.order_faults(end_order)

    return begin


def _leave(stage: Stage, event: StepEvent) -> Callable[[], None]:
    upstream = _upstream(stage, event)
    upstream.model.leave()
    began = trio.current_time()

    def end() -> None:
        stage.left.append((upstream.plan.name, began, trio.current_time()))
        upstream.model.order_faults(UpstreamFaultOrder(leaving=False))

    return end


def _store(
    state: StoreState, delay_ms: float = 0.0
) -> Callable[[Stage, StepEvent], Callable[[], None]]:
    def begin(stage: Stage, event: StepEvent) -> Callable[[], None]:
        stage.set_store(state, delay_ms=delay_ms)
        return lambda: stage.set_store(StoreState.UP)

    return begin


def _lose_answers(stage: Stage, event: StepEvent) -> Callable[[], None]:
    for host in stage.hosts.values():
        host.table.faults.lose_answers = 1

    def end() -> None:
        for host in stage.hosts.values():
            host.table.faults.lose_answers = 0

    return end


def _cut_store(stage: Stage, event: StepEvent) -> Callable[[], None]:
    """Cut one host off from the store."""
    host = _host(stage, event)
    host.table.faults.store = StoreState.DOWN

    def end() -> None:
        stage.hosts[host.id].table.faults.store = StoreState.UP

    return end


def _cut_place(*, others: bool, platform: bool) -> Callable[[Stage, StepEvent], Callable[[], None]]:
    def begin(stage: Stage, event: StepEvent) -> Callable[[], None]:
        place = _host(stage, event).data_centre
        inside = [h.id for h in stage.hosts.values() if h.data_centre == place]
        outside = [h.id for h in stage.hosts.values() if h.data_centre != place]
        pairs = [(a, b) for a in inside for b in outside] if others else []
        pairs += [(b, a) for a, b in pairs]
        stage.network.cut(pairs)
        if platform:
            for host_id in inside:
                stage.hosts[host_id].table.faults.store = StoreState.DOWN

        def end() -> None:
            stage.network.heal(pairs)
            for host_id in inside:
                stage.hosts[host_id].table.faults.store = StoreState.UP

        return end

    return begin


def _both(
    *begins: Callable[[Stage, StepEvent], Callable[[], None]],
) -> Callable[[Stage, StepEvent], Callable[[], None]]:
    def begin(stage: Stage, event: StepEvent) -> Callable[[], None]:
        ends = [each(stage, event) for each in begins]

        def end() -> None:
            for each in ends:
                each()

        return end

    return begin


_shed = _order(UpstreamFaultOrder(shed=True), UpstreamFaultOrder(shed=False))
_cold = _order(UpstreamFaultOrder(cold_ms=1000), UpstreamFaultOrder())
_store_down = _store(StoreState.DOWN)

FAULTS: tuple[Fault, ...] = (
    Fault(name="host killed", lasts_s=0.0, begin=_kill),
    Fault(name="peer killed", lasts_s=0.0, begin=_kill_other),
    Fault(name="two hosts killed", lasts_s=0.0, begin=_kill_both),
    Fault(name="host replaced by an empty one", lasts_s=0.5, begin=_replace),
    Fault(name="all hosts replaced by empty ones", lasts_s=0.5, begin=_replace_all),
    Fault(name="host paused 0.3 s", lasts_s=0.3, begin=_pause),
    Fault(name="host paused 1 s", lasts_s=1.0, begin=_pause),
    Fault(name="host paused 4 s", lasts_s=4.0, begin=_pause),
    Fault(name="peer paused 1 s", lasts_s=1.0, begin=_pause_other),
    Fault(name="two hosts paused 1 s", lasts_s=1.0, begin=_both(_pause, _pause_other)),
    Fault(name="cut to the peer", lasts_s=2.0, begin=_cut(lambda a, b: [(a, b)])),
    Fault(name="cut from the peer", lasts_s=2.0, begin=_cut(lambda a, b: [(b, a)])),
    Fault(name="cut both ways", lasts_s=2.0, begin=_cut(lambda a, b: [(a, b), (b, a)])),
    Fault(name="connections silent for good", lasts_s=0.0, begin=_silence),
    Fault(name="upstream killed and restarted", lasts_s=1.5, begin=_kill_upstream),
    Fault(name="upstream frozen 0.5 s", lasts_s=0.5, begin=_freeze),
    Fault(name="upstream frozen 3 s", lasts_s=3.0, begin=_freeze),
    Fault(name="upstream leaves", lasts_s=6.0, begin=_leave),
    Fault(name="upstream cold", lasts_s=1.0, begin=_cold),
    Fault(name="upstream sheds", lasts_s=1.0, begin=_shed),
    Fault(name="store down", lasts_s=3.0, begin=_store_down),
    Fault(name="store slow", lasts_s=4.0, begin=_store(StoreState.SLOW, 1600)),
    Fault(name="store answer lost", lasts_s=3.0, begin=_lose_answers),
    Fault(name="host cut from the store", lasts_s=3.0, begin=_cut_store),
    Fault(name="host killed, store down", lasts_s=3.0, begin=_both(_kill, _store_down)),
    Fault(name="host killed, upstream frozen", lasts_s=1.5, begin=_both(_kill, _freeze)),
    Fault(name="host paused, store answer lost", lasts_s=1.0, begin=_both(_pause, _lose_answers)),
    Fault(
        name="host killed, two others cut",
        lasts_s=2.0,
        begin=_both(_kill, _cut(lambda a, b: [(b, a), *_beside(a, b)])),
        three_hosts=True,
    ),
    Fault(
        name="data centre cut from others",
        lasts_s=3.0,
        begin=_cut_place(others=True, platform=False),
        two_places=True,
    ),
    Fault(
        name="data centre cut from platform",
        lasts_s=3.0,
        begin=_cut_place(others=False, platform=True),
        two_places=True,
    ),
    Fault(
        name="data centre cut from both",
        lasts_s=3.0,
        begin=_cut_place(others=True, platform=True),
        two_places=True,
    ),
    Fault(
        name="data centre cut from both, host killed",
        lasts_s=3.0,
        begin=_both(_cut_place(others=True, platform=True), _kill),
        two_places=True,
    ),
)


def _beside(first: str, second: str) -> list[tuple[str, str]]:
    """Return both directions between the other two of three hosts."""
    third = next(name for name in "abc" if name not in (first, second))
    return [(second, third), (third, second)]

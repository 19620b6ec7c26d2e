"""Faults of the matrix: how each begins and ends."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio
from features.support.step_events import StepEvent
from features.support.system import SimulatedSystem

from acaciasaddle.emulator import UpstreamFaultOrder
from acaciasaddle.emulator._store import StoreState

if TYPE_CHECKING:

    from features.support.system import SimulatedHost
    from features.support.system import SimulatedUpstream


@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """A fault that begins at a step and ends ``duration_s`` later.

    ``begin`` starts the fault and returns the function that ends it. It is called in the task that
    performs the step, so it must not wait. ``needs_two_data_centres`` marks faults that need a
    second data centre, ``needs_three_hosts`` those that need three hosts in one data centre.
    """

    name: str
    duration_s: float
    begin: Callable[[SimulatedSystem, StepEvent], Callable[[], None]]
    needs_two_data_centres: bool = False
    needs_three_hosts: bool = False


def _no_op() -> None:
    return


def _host_of(system: SimulatedSystem, event: StepEvent) -> SimulatedHost:
    """Return the acting host, or else the host at the other end, or else the upstream's holder."""
    if event.actor in system.hosts:
        return system.hosts[event.actor]
    if event.counterpart in system.hosts:
        return system.hosts[event.counterpart]
    return system.hosts[system.holder(event.actor)]


def _peer_of(system: SimulatedSystem, event: StepEvent) -> SimulatedHost:
    """Return the other host of a step between hosts, or else the one after ``_host_of``.

    That is the next host of the same data centre, in the order of the layout.
    """
    host = _host_of(system, event)
    if event.counterpart in system.hosts and event.counterpart != host.id:
        return system.hosts[event.counterpart]
    ids = [h.id for h in system.hosts.values() if h.data_centre == host.data_centre]
    return system.hosts[ids[(ids.index(host.id) + 1) % len(ids)]]


def _upstream_of(system: SimulatedSystem, event: StepEvent) -> SimulatedUpstream:
    """Return the upstream of the step, else the first that its host holds, or the first of all."""
    for name in (event.actor, event.counterpart):
        if name in system.upstreams:
            return system.upstreams[name]
    host_id = _host_of(system, event).id
    held = [name for name in system.upstreams if system.holder(name) == host_id]
    return system.upstreams[held[0] if held else next(iter(system.upstreams))]


def _kill_host(system: SimulatedSystem, event: StepEvent) -> Callable[[], None]:
    _host_of(system, event).kill()
    return _no_op


def _kill_peer(system: SimulatedSystem, event: StepEvent) -> Callable[[], None]:
    _peer_of(system, event).kill()
    return _no_op


def _kill_both_hosts(system: SimulatedSystem, event: StepEvent) -> Callable[[], None]:
    _peer_of(system, event).kill()
    _host_of(system, event).kill()
    return _no_op


def _replace_host(system: SimulatedSystem, event: StepEvent) -> Callable[[], None]:
    host = _host_of(system, event)
    host.kill()

    def end() -> None:
        system.start_host(host.id)

    return end


def _replace_all_hosts(system: SimulatedSystem, event: StepEvent) -> Callable[[], None]:
    hosts = list(system.hosts.values())
    for host in hosts:
        host.kill()

    def end() -> None:
        for host in hosts:
            system.start_host(host.id)

    return end


def _pause_host(system: SimulatedSystem, event: StepEvent) -> Callable[[], None]:
    host = _host_of(system, event)
    host.pause()
    return host.resume


def _pause_peer(system: SimulatedSystem, event: StepEvent) -> Callable[[], None]:
    host = _peer_of(system, event)
    host.pause()
    return host.resume


def _cut_connections(
    directions_between: Callable[[str, str], list[tuple[str, str]]],
) -> Callable[[SimulatedSystem, StepEvent], Callable[[], None]]:
    def begin(system: SimulatedSystem, event: StepEvent) -> Callable[[], None]:
        directions = directions_between(_host_of(system, event).id, _peer_of(system, event).id)
        system.network.cut(directions)
        return lambda: system.network.heal(directions)

    return begin


def _silence_connections(system: SimulatedSystem, event: StepEvent) -> Callable[[], None]:
    if event.counterpart in system.upstreams or event.actor in system.upstreams:
        system.network.silence(event.actor, event.counterpart)
    else:
        system.network.silence(_host_of(system, event).id, _peer_of(system, event).id)
    return _no_op


def _kill_upstream(system: SimulatedSystem, event: StepEvent) -> Callable[[], None]:
    upstream = _upstream_of(system, event)
    upstream.kill()
    return upstream.restart


def _freeze_upstream(system: SimulatedSystem, event: StepEvent) -> Callable[[], None]:
    upstream = _upstream_of(system, event)
    upstream.model.freeze()
    return upstream.model.thaw


def _upstream_fault(
    start_order: UpstreamFaultOrder, end_order: UpstreamFaultOrder
) -> Callable[[SimulatedSystem, StepEvent], Callable[[], None]]:
    def begin(system: SimulatedSystem, event: StepEvent) -> Callable[[], None]:
        upstream = _upstream_of(system, event)
        upstream.model.set_faults(start_order)
        return lambda: upstream.model.set_faults(end_order)

    return begin


def _upstream_leaves(system: SimulatedSystem, event: StepEvent) -> Callable[[], None]:
    upstream = _upstream_of(system, event)
    upstream.model.leave()
    started_at = trio.current_time()

    def end() -> None:
        system.leave_periods.append((upstream.plan.name, started_at, trio.current_time()))
        upstream.model.set_faults(UpstreamFaultOrder(leaving=False))

    return end


def _store_fault(
    state: StoreState, delay_ms: float = 0.0
) -> Callable[[SimulatedSystem, StepEvent], Callable[[], None]]:
    def begin(system: SimulatedSystem, event: StepEvent) -> Callable[[], None]:
        system.set_store_state(state, delay_ms=delay_ms)
        return lambda: system.set_store_state(StoreState.UP)

    return begin


def _lose_store_responses(system: SimulatedSystem, event: StepEvent) -> Callable[[], None]:
    """Lose the response to the next transaction of each host."""
    for host in system.hosts.values():
        host.table.faults.lose_answers = 1

    def end() -> None:
        for host in system.hosts.values():
            host.table.faults.lose_answers = 0

    return end


def _cut_host_from_store(system: SimulatedSystem, event: StepEvent) -> Callable[[], None]:
    """Make the store unavailable to one host."""
    host = _host_of(system, event)
    host.table.faults.store = StoreState.DOWN

    def end() -> None:
        system.hosts[host.id].table.faults.store = StoreState.UP

    return end


def _cut_data_centre(
    *, from_others: bool, from_platform: bool
) -> Callable[[SimulatedSystem, StepEvent], Callable[[], None]]:
    def begin(system: SimulatedSystem, event: StepEvent) -> Callable[[], None]:
        data_centre = _host_of(system, event).data_centre
        inside = [h.id for h in system.hosts.values() if h.data_centre == data_centre]
        outside = [h.id for h in system.hosts.values() if h.data_centre != data_centre]
        directions = [(a, b) for a in inside for b in outside] if from_others else []
        directions += [(b, a) for a, b in directions]
        system.network.cut(directions)
        if from_platform:
            for host_id in inside:
                system.hosts[host_id].table.faults.store = StoreState.DOWN

        def end() -> None:
            system.network.heal(directions)
            for host_id in inside:
                system.hosts[host_id].table.faults.store = StoreState.UP

        return end

    return begin


def _combine(
    *begin_functions: Callable[[SimulatedSystem, StepEvent], Callable[[], None]],
) -> Callable[[SimulatedSystem, StepEvent], Callable[[], None]]:
    def begin(system: SimulatedSystem, event: StepEvent) -> Callable[[], None]:
        end_functions = [function(system, event) for function in begin_functions]

        def end() -> None:
            for function in end_functions:
                function()

        return end

    return begin


_upstream_sheds = _upstream_fault(UpstreamFaultOrder(shed=True), UpstreamFaultOrder(shed=False))
_upstream_cold = _upstream_fault(UpstreamFaultOrder(cold_ms=1000), UpstreamFaultOrder())
_store_down = _store_fault(StoreState.DOWN)

FAULTS: tuple[Fault, ...] = (
    Fault(name="host killed", duration_s=0.0, begin=_kill_host),
    Fault(name="peer killed", duration_s=0.0, begin=_kill_peer),
    Fault(name="two hosts killed", duration_s=0.0, begin=_kill_both_hosts),
    Fault(name="host replaced by an empty one", duration_s=0.5, begin=_replace_host),
    Fault(name="all hosts replaced by empty ones", duration_s=0.5, begin=_replace_all_hosts),
    Fault(name="host paused 0.3 s", duration_s=0.3, begin=_pause_host),
    Fault(name="host paused 1 s", duration_s=1.0, begin=_pause_host),
    Fault(name="host paused 4 s", duration_s=4.0, begin=_pause_host),
    Fault(name="peer paused 1 s", duration_s=1.0, begin=_pause_peer),
    Fault(name="two hosts paused 1 s", duration_s=1.0, begin=_combine(_pause_host, _pause_peer)),
    Fault(name="cut to the peer", duration_s=2.0, begin=_cut_connections(lambda a, b: [(a, b)])),
    Fault(name="cut from the peer", duration_s=2.0, begin=_cut_connections(lambda a, b: [(b, a)])),
    Fault(
        name="cut both ways", duration_s=2.0, begin=_cut_connections(lambda a, b: [(a, b), (b, a)])
    ),
    Fault(name="connections silent for good", duration_s=0.0, begin=_silence_connections),
    Fault(name="upstream killed and restarted", duration_s=1.5, begin=_kill_upstream),
    Fault(name="upstream frozen 0.5 s", duration_s=0.5, begin=_freeze_upstream),
    Fault(name="upstream frozen 3 s", duration_s=3.0, begin=_freeze_upstream),
    Fault(name="upstream leaves", duration_s=6.0, begin=_upstream_leaves),
    Fault(name="upstream cold", duration_s=1.0, begin=_upstream_cold),
    Fault(name="upstream sheds", duration_s=1.0, begin=_upstream_sheds),
    Fault(name="store down", duration_s=3.0, begin=_store_down),
    Fault(name="store slow", duration_s=4.0, begin=_store_fault(StoreState.SLOW, 1600)),
    Fault(name="store answer lost", duration_s=3.0, begin=_lose_store_responses),
    Fault(name="host cut from the store", duration_s=3.0, begin=_cut_host_from_store),
    Fault(name="host killed, store down", duration_s=3.0, begin=_combine(_kill_host, _store_down)),
    Fault(
        name="host killed, upstream frozen",
        duration_s=1.5,
        begin=_combine(_kill_host, _freeze_upstream),
    ),
    Fault(
        name="host paused, store answer lost",
        duration_s=1.0,
        begin=_combine(_pause_host, _lose_store_responses),
    ),
    Fault(
        name="host killed, two others cut",
        duration_s=2.0,
        begin=_combine(
            _kill_host, _cut_connections(lambda a, b: [(b, a), *_between_second_and_third(a, b)])
        ),
        needs_three_hosts=True,
    ),
    Fault(
        name="data centre cut from others",
        duration_s=3.0,
        begin=_cut_data_centre(from_others=True, from_platform=False),
        needs_two_data_centres=True,
    ),
    Fault(
        name="data centre cut from platform",
        duration_s=3.0,
        begin=_cut_data_centre(from_others=False, from_platform=True),
        needs_two_data_centres=True,
    ),
    Fault(
        name="data centre cut from both",
        duration_s=3.0,
        begin=_cut_data_centre(from_others=True, from_platform=True),
        needs_two_data_centres=True,
    ),
    Fault(
        name="data centre cut from both, host killed",
        duration_s=3.0,
        begin=_combine(_cut_data_centre(from_others=True, from_platform=True), _kill_host),
        needs_two_data_centres=True,
    ),
)


def _between_second_and_third(first: str, second: str) -> list[tuple[str, str]]:
    """Return both directions between ``second`` and the third of the hosts a, b and c."""
    third = next(name for name in "abc" if name not in (first, second))
    return [(second, third), (third, second)]

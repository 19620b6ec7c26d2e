"""Steps of keyspace/coordinator.feature."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import trio
from behave import given
from behave import then
from behave import when
from features.support.key_fleet import KeyFleet
from features.support.key_fleet import run_fleet

from acaciasaddle.emulator._store import StoreState


class CoordinatorFaultSteps:
    """Guards against two owners of a key, and against keys that are left without one."""

    @staticmethod
    @given("a key fleet of {hosts:d} hosts and {upstreams:d} upstreams")
    def fleet(context: Any, hosts: int, upstreams: int) -> None:
        context.key_fleet = KeyFleet(hosts=hosts, upstreams=upstreams)
        context.script = []
        context.first_coordinator = ""

    @staticmethod
    @given('a key fleet of 6 upstreams whose hosts have takeover delays of "{delays}" s')
    def fleet_with_delays(context: Any, delays: str) -> None:
        seconds = [float(text) for text in delays.split(", ")]
        context.key_fleet = KeyFleet(hosts=len(seconds), upstreams=6, takeover_delays_s=seconds)
        context.script = []
        context.first_coordinator = ""

    @staticmethod
    @given("each call of the store takes {seconds:g} s")
    def slow_store(context: Any, seconds: float) -> None:
        for host in context.key_fleet.hosts:
            host.table.faults.store = StoreState.SLOW
            host.table.faults.delay_ms = seconds * 1000

    @staticmethod
    def _drain(fleet: KeyFleet, name: str) -> None:
        upstream = fleet.upstream(name)
        upstream.entry = replace(upstream.entry, draining=True)
        fleet.register()

    @staticmethod
    @when('after {pause:g} s upstream "{name}" drains')
    def drain(context: Any, pause: float, name: str) -> None:
        fleet = context.key_fleet
        context.script.append((pause, lambda: CoordinatorFaultSteps._drain(fleet, name)))

    @staticmethod
    @when(
        'after {pause:g} s upstream "{name}" answers again, {delay:g} s late, '
        "drains after the next renewal and ignores releases"
    )
    def answer_late_and_drain(context: Any, pause: float, name: str, delay: float) -> None:
        fleet = context.key_fleet

        def act() -> None:
            upstream = fleet.upstream(name)
            upstream.frozen, upstream.ignores_releases = False, True
            upstream.grant_response_s = delay
            upstream.after_grant = lambda: CoordinatorFaultSteps._drain(fleet, name)

        context.script.append((pause, act))

    @staticmethod
    @when('after {pause:g} s upstream "{name}" falls silent')
    def fall_silent(context: Any, pause: float, name: str) -> None:
        upstream = context.key_fleet.upstream(name)
        context.script.append((pause, lambda: setattr(upstream, "silent", True)))

    @staticmethod
    @when('after {pause:g} s upstream "{name}" freezes')
    def freeze(context: Any, pause: float, name: str) -> None:
        upstream = context.key_fleet.upstream(name)
        context.script.append((pause, lambda: setattr(upstream, "frozen", True)))

    @staticmethod
    @when('after {pause:g} s upstream "{name}" answers again')
    def answers_again(context: Any, pause: float, name: str) -> None:
        upstream = context.key_fleet.upstream(name)
        context.script.append((pause, lambda: setattr(upstream, "frozen", False)))

    @staticmethod
    @when('after {pause:g} s the responses of upstream "{name}" are lost')
    def lose_responses(context: Any, pause: float, name: str) -> None:
        upstream = context.key_fleet.upstream(name)
        context.script.append((pause, lambda: setattr(upstream, "loses_responses", True)))

    @staticmethod
    @when('after {pause:g} s another upstream takes the address of "{name}"')
    def take_address(context: Any, pause: float, name: str) -> None:
        upstream = context.key_fleet.upstream(name)

        def act() -> None:
            upstream.replaced, upstream.alive = True, False

        context.script.append((pause, act))

    @staticmethod
    @when(
        'after {pause:g} s upstream "{name}" restarts and drains, '
        "which the registry shows {shown_after:g} s later"
    )
    def restart_and_drain(context: Any, pause: float, name: str, shown_after: float) -> None:
        fleet = context.key_fleet
        upstream = fleet.upstream(name)

        def restart() -> None:
            upstream.fences.clear()
            upstream.held_until.clear()

        def show() -> None:
            incarnation = replace(
                upstream.entry.life, started_ms=upstream.entry.life.started_ms + 1_000
            )
            upstream.entry = replace(upstream.entry, life=incarnation, draining=True)
            fleet.register()

        context.script += [(pause, restart), (shown_after, show)]

    @staticmethod
    @when("after {pause:g} s the coordinator is killed")
    def kill(context: Any, pause: float) -> None:
        def act() -> None:
            host = context.key_fleet.coordinator_host()
            context.first_coordinator = host.name
            host.scope.cancel()

        context.script.append((pause, act))

    @staticmethod
    @when("after {pause:g} s the coordinator is stopped gracefully")
    def stop(context: Any, pause: float) -> None:
        def act() -> None:
            host = context.key_fleet.coordinator_host()
            context.first_coordinator = host.name
            trio.lowlevel.spawn_system_task(host.coordinator.stop)

        context.script.append((pause, act))

    @staticmethod
    @when("after {pause:g} s the store is down for all hosts")
    def store_down(context: Any, pause: float) -> None:
        def act() -> None:
            for host in context.key_fleet.hosts:
                host.table.faults.store = StoreState.DOWN

        context.script.append((pause, act))

    @staticmethod
    @when("after {pause:g} s the store is up")
    def store_up(context: Any, pause: float) -> None:
        def act() -> None:
            for host in context.key_fleet.hosts:
                host.table.faults.store = StoreState.UP

        context.script.append((pause, act))

    @staticmethod
    @when("after {pause:g} s the store is down for the coordinator")
    def store_refuses(context: Any, pause: float) -> None:
        def act() -> None:
            host = context.key_fleet.coordinator_host()
            context.first_coordinator = host.name
            host.table.faults.store = StoreState.DOWN

        context.script.append((pause, act))

    @staticmethod
    @when('after {pause:g} s responses of the store are lost and upstream "{name}" drains')
    def lose_store_responses(context: Any, pause: float, name: str) -> None:
        fleet = context.key_fleet

        def act() -> None:
            fleet.coordinator_host().table.faults.lose_answers = 3
            upstream = fleet.upstream(name)
            upstream.entry = replace(upstream.entry, draining=True)
            fleet.register()

        context.script.append((pause, act))

    @staticmethod
    @when("after {pause:g} s the coordinator is cut off from the upstreams")
    def cut_off(context: Any, pause: float) -> None:
        def act() -> None:
            host = context.key_fleet.coordinator_host()
            context.first_coordinator = host.name
            host.orders.cut_off = True

        context.script.append((pause, act))

    @staticmethod
    @when("the key fleet runs for {seconds:g} s")
    def run(context: Any, seconds: float) -> None:
        fleet = context.key_fleet

        def note_end() -> None:
            context.unowned_at_end = fleet.unowned()
            host = fleet.coordinator_host()
            context.last_coordinator = host.name if host else ""
            context.held_buckets = {
                upstream.entry.upstream_id: [
                    bucket for bucket in range(64) if upstream.holds(bucket)
                ]
                for upstream in fleet.upstreams
            }

        run_fleet(fleet, [*context.script, (seconds, note_end)])


class CoordinatorOutcomeSteps:
    """Checks which upstreams held the keys, and which host has the role in the end."""

    @staticmethod
    @then("no key had two owners")
    def one_owner(context: Any) -> None:
        assert not context.key_fleet.violations, context.key_fleet.violations[:5]

    @staticmethod
    @then("the first coordinator sent no order after another host had sent one")
    def one_sender(context: Any) -> None:
        hosts = {host.name: host.orders.sent_at for host in context.key_fleet.hosts}
        first = hosts.pop(context.first_coordinator)
        others = [at for sent_at in hosts.values() for at in sent_at]
        assert first and others, hosts
        assert max(first) < min(others), (max(first), min(others))

    @staticmethod
    @then("all keys are owned")
    def all_owned(context: Any) -> None:
        assert not context.unowned_at_end, context.unowned_at_end

    @staticmethod
    @then("keys were without an owner for at most {seconds:g} s")
    def max_unowned_time(context: Any, seconds: float) -> None:
        assert context.key_fleet.unowned_s <= seconds, context.key_fleet.unowned_s

    @staticmethod
    @then('"{name}" holds no key')
    def holds_none(context: Any, name: str) -> None:
        assert not context.held_buckets[name], context.held_buckets[name]

    @staticmethod
    @then('keys of "{name}" were granted with its handover')
    def handover(context: Any, name: str) -> None:
        handovers = {handover for _, _, handover in context.key_fleet.grants}
        assert f"handover-{name}" in handovers, handovers

    @staticmethod
    @then("another host has the role")
    def another_coordinator(context: Any) -> None:
        assert context.last_coordinator not in (
            "",
            context.first_coordinator,
        ), context.last_coordinator

    @staticmethod
    @then('host "{name}" has the role')
    def coordinated_by(context: Any, name: str) -> None:
        assert context.last_coordinator == name, context.last_coordinator

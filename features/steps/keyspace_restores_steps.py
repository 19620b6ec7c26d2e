"""Steps of keyspace/restores.feature."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import trio
from behave import given
from behave import then
from behave import when
from features.support.key_model import BUCKETS
from features.support.key_model import drain
from features.support.key_model import run_model
from features.support.key_schedules import START_S
from features.support.key_schedules import draw_schedule
from features.support.key_schedules import play

if TYPE_CHECKING:
    from collections.abc import Collection

    from features.support.key_model import KeyModel
    from features.support.key_model import ModelHost
    from features.support.key_model import ModelUpstream
    from features.support.restoring_table import StoredRow

SEED = 1


def _coordinator(model: KeyModel) -> ModelHost:
    """Return the host that has the role, or had it last."""
    leading = [host for host in model.hosts if host.coordinator.leading]
    host = leading[0] if leading else model.last_leader
    assert host is not None
    return host


def _upstream(model: KeyModel, name: str) -> ModelUpstream:
    return next(u for u in model.alive() if u.entry.upstream_id == name)


def _has_no_holder(rows: dict[str, StoredRow]) -> bool:
    found = [row for name, row in rows.items() if name.startswith("coordination/")]
    return bool(found) and not any(json.loads(row.value)["member"] for row in found)


class RestoreFaultSteps:
    """Particular orders of faults around a restore, and those of seeds."""

    @staticmethod
    @when("the key model plays the schedules of seeds {first:d} to {last:d}")
    def play_schedules(context: Any, first: int, last: int) -> None:
        context.violations = []
        for seed in range(first, last + 1):
            model = play(draw_schedule(seed), seed=seed)
            context.violations += [(f"seed {seed}", found) for found in model.violations]

    @staticmethod
    @given("a key model of {hosts:d} hosts and {upstreams:d} upstreams")
    def model(context: Any, hosts: int, upstreams: int) -> None:
        context.parameters = {"hosts": hosts, "upstreams": upstreams, "era": 1}
        context.script = []

    @staticmethod
    @when("after {pause:g} s the store is down for {outage:g} s and comes back {age:g} s old")
    def restore(context: Any, pause: float, outage: float, age: float) -> None:
        async def act(model: KeyModel) -> None:
            model.store.set_up(False)
            await trio.sleep(outage)
            model.restore(age_s=age)
            model.store.set_up(True)

        context.script.append((pause, act))

    @staticmethod
    @when(
        "after {pause:g} s the store is down for {outage:g} s "
        "and comes back without a holder of the role"
    )
    def restore_vacant(context: Any, pause: float, outage: float) -> None:
        async def act(model: KeyModel) -> None:
            copied_at = model.store.last_time_when(_has_no_holder)
            model.store.set_up(False)
            await trio.sleep(outage)
            model.restore(age_s=trio.current_time() - copied_at)
            model.store.set_up(True)

        context.script.append((pause, act))

    @staticmethod
    @when("after {pause:g} s nothing happens")
    def nothing(context: Any, pause: float) -> None:
        async def act(model: KeyModel) -> None:
            pass

        context.script.append((pause, act))

    @staticmethod
    @when("after {pause:g} s the coordinator of the model is killed")
    def kill(context: Any, pause: float) -> None:
        async def act(model: KeyModel) -> None:
            _coordinator(model).kill()

        context.script.append((pause, act))

    @staticmethod
    @when("after {pause:g} s there is a {fault} of the coordinator of the model")
    def lose_coordinator(context: Any, pause: float, fault: str) -> None:
        async def act(model: KeyModel) -> None:
            host = _coordinator(model)
            if fault == "kill":
                host.kill()
                return
            host.freeze()
            await trio.sleep(4.0)
            host.thaw()

        context.script.append((pause, act))

    @staticmethod
    @when("after {pause:g} s the coordinator of the model gives the role back")
    def stop(context: Any, pause: float) -> None:
        async def act(model: KeyModel) -> None:
            await _coordinator(model).stop()

        context.script.append((pause, act))

    @staticmethod
    @when(
        "after {pause:g} s the coordinator of the model gives the role back, "
        "and the store comes back {age:g} s old as another host takes it"
    )
    def restore_at_takeover(context: Any, pause: float, age: float) -> None:
        async def act(model: KeyModel) -> None:
            def restore(names: Collection[str]) -> None:
                if any(name.startswith("coordination/") for name in names):
                    model.store.after_write = lambda names: None
                    model.restore(age_s=age)

            await _coordinator(model).stop()
            model.store.after_write = restore

        context.script.append((pause, act))

    @staticmethod
    @when('after {pause:g} s upstream "{name}" of the model ends')
    def end_upstream(context: Any, pause: float, name: str) -> None:
        async def act(model: KeyModel) -> None:
            model.end_upstream(_upstream(model, name))

        context.script.append((pause, act))

    @staticmethod
    @when('after {pause:g} s upstream "{name}" of the model is silent for {seconds:g} s')
    def silence(context: Any, pause: float, name: str, seconds: float) -> None:
        async def act(model: KeyModel) -> None:
            upstream = _upstream(model, name)
            upstream.silent = True
            await trio.sleep(seconds)
            upstream.silent = False

        context.script.append((pause, act))

    @staticmethod
    @when(
        "after {pause:g} s the coordinator of the model is refused by the store for {seconds:g} s"
    )
    def refuse(context: Any, pause: float, seconds: float) -> None:
        async def act(model: KeyModel) -> None:
            faults = _coordinator(model).faults
            faults.refused = True
            await trio.sleep(seconds)
            faults.refused = False

        context.script.append((pause, act))

    @staticmethod
    @when(
        "after {pause:g} s the coordinator of the model is cut off from the store "
        "for {seconds:g} s"
    )
    def cut_off(context: Any, pause: float, seconds: float) -> None:
        async def act(model: KeyModel) -> None:
            faults = _coordinator(model).faults
            faults.cut_off = True
            await trio.sleep(seconds)
            faults.cut_off = False

        context.script.append((pause, act))

    @staticmethod
    @when(
        "after {pause:g} s writes of the coordinator of the model are carried out "
        "up to {late:g} s late for {seconds:g} s"
    )
    def delay_writes(context: Any, pause: float, late: float, seconds: float) -> None:
        async def act(model: KeyModel) -> None:
            faults = _coordinator(model).faults
            faults.late, faults.late_s = 1.0, late
            await trio.sleep(seconds)
            faults.late = 0.0

        context.script.append((pause, act))

    @staticmethod
    @when('after {pause:g} s upstream "{name}" of the model drains')
    def drain_upstream(context: Any, pause: float, name: str) -> None:
        async def act(model: KeyModel) -> None:
            drain(_upstream(model, name))

        context.script.append((pause, act))

    @staticmethod
    @when('after {pause:g} s upstream "{name}" of the model restarts at {address} address')
    def restart(context: Any, pause: float, name: str, address: str) -> None:
        async def act(model: KeyModel) -> None:
            model.restart_upstream(_upstream(model, name), same_address=address == "its")

        context.script.append((pause, act))

    @staticmethod
    @when("the key model runs for {seconds:g} s")
    def run(context: Any, seconds: float) -> None:
        async def script(model: KeyModel) -> None:
            await trio.sleep(START_S)
            model.unserved_s = [0.0] * BUCKETS
            for pause, act in context.script:
                await trio.sleep(pause)
                model.nursery.start_soon(act, model)
            await trio.sleep(seconds)
            context.held = {
                upstream.entry.upstream_id
                for upstream in model.alive()
                if any(upstream.holds(bucket) for bucket in range(BUCKETS))
            }

        context.model = run_model(seed=SEED, script=script, **context.parameters)


class RestoreOutcomeSteps:
    """Checks of the invariants, each by its name, and of owners."""

    @staticmethod
    def _check(context: Any, *invariants: str) -> None:
        found = [item for item in context.violations if item[1].invariant in invariants]
        assert not found, (len(found), found[:5])

    @staticmethod
    @then("no key was held by two upstreams")
    def one_owner(context: Any) -> None:
        RestoreOutcomeSteps._check(context, "one owner", "one owner beyond 0.5 s")

    @staticmethod
    @then("no key was granted while another upstream was at work on it")
    def one_at_work(context: Any) -> None:
        RestoreOutcomeSteps._check(context, "one at work")

    @staticmethod
    @then("the fencing tokens of each key rose with each new owner")
    def fences_rise(context: Any) -> None:
        RestoreOutcomeSteps._check(context, "fences rise")

    @staticmethod
    @then("no two hosts had the role at a time")
    def one_coordinator(context: Any) -> None:
        RestoreOutcomeSteps._check(context, "one coordinator")

    @staticmethod
    @then("no host returned to an older map")
    def no_older_map(context: Any) -> None:
        RestoreOutcomeSteps._check(context, "no host returns to an older map")

    @staticmethod
    @then("no key was without an owner for 15 s without faults")
    def served(context: Any) -> None:
        RestoreOutcomeSteps._check(context, "served within 15 s of calm")

    @staticmethod
    @then("in the end all keys had an owner and one host the role")
    def served_in_the_end(context: Any) -> None:
        RestoreOutcomeSteps._check(
            context, "all keys have an owner in the end", "one host has the role in the end"
        )

    @staticmethod
    @then("no invariant was broken")
    def none_broken(context: Any) -> None:
        assert not context.model.violations, context.model.violations[:5]

    @staticmethod
    @then("no key had another owner than its first")
    def same_owner(context: Any) -> None:
        moved = [b for b in range(BUCKETS) if len(context.model.owners_so_far(b)) > 1]
        assert not moved, moved

    @staticmethod
    @then("keys of the model were without an owner for at most {seconds:g} s")
    def max_unserved(context: Any, seconds: float) -> None:
        assert max(context.model.unserved_s) <= seconds, context.model.unserved_s

    @staticmethod
    @then('keys that "{name}" never had were without an owner for at most {seconds:g} s')
    def max_unserved_of_others(context: Any, name: str, seconds: float) -> None:
        model = context.model
        unserved = [
            model.unserved_s[b] for b in range(BUCKETS) if name not in model.owners_so_far(b)
        ]
        assert unserved and max(unserved) <= seconds, model.unserved_s

    @staticmethod
    @then('"{name}" holds no key of the model')
    def holds_none(context: Any, name: str) -> None:
        assert name not in context.held, context.held

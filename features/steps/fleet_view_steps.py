"""Steps of fleet_view/view.feature."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
from hypothesis import given as arbitrary
from hypothesis import settings
from hypothesis import strategies as st

from acaciasaddle.clock import Clock
from acaciasaddle.fleet import FleetView
from acaciasaddle.fleet import RegistryChange
from acaciasaddle.fleet import UpstreamEntry
from acaciasaddle.fleet import UpstreamIncarnation
from acaciasaddle.keyspace import KeyMap
from acaciasaddle.keyspace import KeyRange
from acaciasaddle.keyspace import Owner
from acaciasaddle.keyspace import Span
from acaciasaddle.routing import CallerLimits
from acaciasaddle.routing import Configuration


class ManualClock(Clock):
    """A clock that a scenario advances."""

    def __init__(self) -> None:
        self.at = 100.0

    def now(self) -> float:
        return self.at

    def wall(self) -> float:
        return self.at


def _entry(
    name: str, started_ms: int = 5, *, slots: int = 2, draining: bool = False
) -> UpstreamEntry:
    return UpstreamEntry(
        life=UpstreamIncarnation(upstream_id=name, started_ms=started_ms),
        service="s",
        address="10.0.0.1:80",
        data_centre="east",
        slots=slots,
        draining=draining,
        cold_s=0.0,
    )


def _configuration(version: int) -> Configuration:
    return Configuration(version=version, routes=(), services={}, limits=CallerLimits())


UPSTREAMS = ("u1", "u2")
STARTS = st.integers(min_value=1, max_value=3)
EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("answer"), st.sampled_from(UPSTREAMS), STARTS),
        st.tuples(st.just("entry"), st.sampled_from(UPSTREAMS), STARTS),
        st.tuples(st.just("draining entry"), st.sampled_from(UPSTREAMS), STARTS),
        st.tuples(st.just("removal"), st.sampled_from(UPSTREAMS), STARTS),
        st.tuples(st.just("complete news"), st.sampled_from(UPSTREAMS), STARTS),
        st.tuples(st.just("old news"), st.sampled_from(UPSTREAMS), STARTS),
        st.tuples(st.just("failed read"), st.sampled_from(UPSTREAMS), STARTS),
        st.tuples(st.just("pause"), st.sampled_from(UPSTREAMS), STARTS),
    ),
    max_size=25,
)


class LeavingSteps:
    """Guards against an upstream that is used again after it said that it leaves."""

    @staticmethod
    @when('an answer of "{name}" says that it leaves')
    def answer(context: Any, name: str) -> None:
        context.serial = context.view.registry_serial
        context.view.note_leaving(_entry(name).life, told_by="a request")

    @staticmethod
    @then('"{name}" takes new work')
    def takes_work(context: Any, name: str) -> None:
        assert name in {entry.upstream_id for entry in context.view.upstreams_of("s")}

    @staticmethod
    @then("the view has changed once")
    def changed_once(context: Any) -> None:
        assert context.view.registry_serial == context.serial + 1, context.view.registry_serial

    @staticmethod
    @then('"{name}" may serve its keys for now')
    def may_own(context: Any, name: str) -> None:
        assert context.view.may_own_for_now(context.view.upstreams[name])

    @staticmethod
    @then('"{name}" may serve its keys no longer')
    def may_not_own(context: Any, name: str) -> None:
        assert not context.view.may_own_for_now(context.view.upstreams[name])

    @staticmethod
    @then('"{name}" is reported to the coordinator as leaving')
    @then("no upstream is reported to the coordinator as leaving")
    def reported(context: Any, name: str = "") -> None:
        found = [life.upstream_id for life in context.view.leaving_to_report()]
        assert found == ([name] if name else []), found

    @staticmethod
    @when("answers, entries, news and restarts come in many arbitrary orders")
    def many(context: Any) -> None:
        context.used_again: list[Any] = []

        @settings(derandomize=True, database=None, deadline=None, max_examples=400)
        @arbitrary(EVENTS)
        def run(events: list[tuple[str, str, int]]) -> None:
            used = LeavingSteps._play(events)
            if used:
                context.used_again.append((events, used))

        run()

    @staticmethod
    def _play(events: list[tuple[str, str, int]]) -> list[Any]:
        """Return the starts that took new work after an answer had said that they leave."""
        clock = ManualClock()
        view = FleetView(clock=clock)
        leaving = set()
        used = []
        for revision, (kind, name, started) in enumerate(events, start=2):
            entry = _entry(name, started, draining=kind == "draining entry")
            if kind == "answer":
                leaving.add(entry.life)
                view.note_leaving(entry.life, told_by="a request")
            elif kind == "failed read":
                view.note_registry_failure()
            elif kind == "pause":
                clock.at += 1.3 * started
            else:
                change = RegistryChange(
                    revision=1 if kind == "old news" else revision,
                    complete=kind.endswith("news"),
                    entries={name: None if kind == "removal" else entry},
                )
                view.apply_registry(change)
            used += [found.life for found in view.upstreams_of("s") if found.life in leaving]
        return used

    @staticmethod
    @then("no start of an upstream took new work after an answer said that it leaves")
    def none_used(context: Any) -> None:
        assert not context.used_again, context.used_again[0]


class FleetViewSteps:
    """Guards against a view that returns to an older state or loses upstreams in an outage."""

    @staticmethod
    @given('a view with the upstreams "{names}" and the configuration {version:d}')
    def view(context: Any, names: str, version: int) -> None:
        context.clock = ManualClock()
        context.view = FleetView(clock=context.clock)
        context.view.apply_configuration(_configuration(version))
        FleetViewSteps.registry(context, 0.0, names)

    @staticmethod
    @when("the configuration {version:d} arrives")
    def configure(context: Any, version: int) -> None:
        context.view.apply_configuration(_configuration(version))

    @staticmethod
    @then("the configuration {version:d} is in force")
    def in_force(context: Any, version: int) -> None:
        assert context.view.configuration.version == version

    @staticmethod
    @when('after {pause:g} s the registry has "{names}"')
    def registry(context: Any, pause: float, names: str) -> None:
        context.clock.at += pause
        entries = {name: _entry(name) for name in names.split(", ")}
        context.view.apply_registry(RegistryChange(revision=1, complete=True, entries=entries))

    @staticmethod
    @when("reads of the registry fail")
    def reads_fail(context: Any) -> None:
        context.view.note_registry_failure()

    @staticmethod
    @then('other hosts are told of "{names}"')
    def told(context: Any, names: str) -> None:
        found = ", ".join(sorted(context.view.registered))
        assert found == names, found

    @staticmethod
    @when("after {pause:g} s the registry is reported unchanged")
    def unchanged(context: Any, pause: float) -> None:
        context.clock.at += pause
        context.view.note_registry_read(age_s=0.0)

    @staticmethod
    @when('at revision {revision:d} the registry has "{names}"')
    @when('another host reports "{names}" as of revision {revision:d}')
    def registry_at(context: Any, revision: int, names: str) -> None:
        entries = {name: _entry(name) for name in names.split(", ")}
        change = RegistryChange(revision=revision, complete=True, entries=entries)
        context.view.apply_registry(change)

    @staticmethod
    @when('"{name}" reports that it drains')
    def drains(context: Any, name: str) -> None:
        FleetViewSteps._change(context, _entry(name, draining=True))

    @staticmethod
    @then('"{name}" is draining')
    def is_draining(context: Any, name: str) -> None:
        assert context.view.upstreams[name].draining

    @staticmethod
    @when('"{name}" registers with {slots:d} slots')
    def new_slots(context: Any, name: str, slots: int) -> None:
        context.serial = context.view.registry_serial
        FleetViewSteps._change(context, _entry(name, slots=slots))

    @staticmethod
    @then("the view has changed")
    def view_changed(context: Any) -> None:
        assert context.view.registry_serial == context.serial + 1

    @staticmethod
    def _change(context: Any, entry: UpstreamEntry) -> None:
        change = RegistryChange(revision=1, complete=False, entries={entry.upstream_id: entry})
        context.view.apply_registry(change)

    @staticmethod
    @then('the view has "{names}"')
    def has_upstreams(context: Any, names: str) -> None:
        found = ", ".join(sorted(context.view.upstreams))
        assert found == names, found

    @staticmethod
    @when('"{name}" registers with the start time {started:d}')
    def register(context: Any, name: str, started: int) -> None:
        change = RegistryChange(
            revision=1, complete=False, entries={name: _entry(name, started_ms=started)}
        )
        context.view.apply_registry(change)

    @staticmethod
    @then('"{name}" has the start time {started:d}')
    def start(context: Any, name: str, started: int) -> None:
        assert context.view.upstreams[name].life.started_ms == started

    @staticmethod
    @when("the owners arrive with version {version:d}")
    def owners(context: Any, version: int) -> None:
        context.view.apply_owners("s", KeyMap(spans=(), fence=version, version=version))

    @staticmethod
    @then("the owners have version {version:d}")
    def owners_version(context: Any, version: int) -> None:
        assert context.view.owners["s"].version == version

    @staticmethod
    @when(
        "keys move with the fencing token {fence:d}, and the owners arrive with version {version:d}"
    )
    def moving_owners(context: Any, fence: int, version: int) -> None:
        owner = Owner(incarnation=_entry("u1").life, address="10.0.0.1:80")
        span = Span(keys=KeyRange(0, 9), owner=owner, fence=fence, moving=True)
        context.view.apply_owners("s", KeyMap(spans=(span,), fence=fence, version=version))

    @staticmethod
    @when("a grant with the fencing token {fence:d} is reported")
    def grant(context: Any, fence: int) -> None:
        context.view.note_granted("s", fence)

    @staticmethod
    @then('the granted moves are "{fences}"')
    @then('the granted moves are ""')
    def granted(context: Any, fences: str = "") -> None:
        found = ", ".join(str(fence) for _, fence in sorted(context.view.granted))
        assert found == fences, found

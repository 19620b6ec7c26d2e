"""Steps of forward/pauses.feature, without a network or a clock."""

from __future__ import annotations

from typing import Any

from behave import then
from behave import when
from hypothesis import given as arbitrary
from hypothesis import settings
from hypothesis import strategies as st

from acaciasaddle.fleet import UpstreamEntry
from acaciasaddle.fleet import UpstreamIncarnation
from acaciasaddle.forward._upstreams import UpstreamStates

UPSTREAMS = ("u1", "u2", "u3")
Event = tuple[str, str, float]
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            ["pause", "late pause", "pass", "answer", "failure", "full", "restart", "choose"]
        ),
        st.sampled_from(UPSTREAMS),
        st.floats(min_value=0.0, max_value=6.0),
    ),
    max_size=30,
)


def _entry(name: str, start: int) -> UpstreamEntry:
    return UpstreamEntry(
        life=UpstreamIncarnation(upstream_id=name, started_ms=start),
        service="s",
        address="10.0.0.1:80",
        data_centre="east",
        slots=2,
        draining=False,
        cold_s=0.0,
    )


class PauseStateSteps:
    """Guards against a pause that something else ends."""

    @staticmethod
    def _states(context: Any) -> UpstreamStates:
        if not hasattr(context, "states"):
            context.states = UpstreamStates(data_centre="east")
            context.at = 0.0
        return context.states

    @staticmethod
    @when('"{name}" of start {start:d} asks to wait {seconds:g} s')
    def asks(context: Any, name: str, start: int, seconds: float) -> None:
        states = PauseStateSteps._states(context)
        states.of(name).note_pause(_entry(name, start).life, context.at + seconds)

    @staticmethod
    @when("{seconds:g} s pass")
    def passes(context: Any, seconds: float) -> None:
        context.at += seconds

    @staticmethod
    @then('"{name}" of start {start:d} is blocked as "{reason}"')
    def blocked(context: Any, name: str, start: int, reason: str) -> None:
        block = context.states.block(_entry(name, start), now=context.at, keyed=True)
        assert block is not None and block.reason.value == reason, block

    @staticmethod
    @then('"{name}" of start {start:d} is not blocked')
    def not_blocked(context: Any, name: str, start: int) -> None:
        block = context.states.block(_entry(name, start), now=context.at, keyed=True)
        assert block is None, block

    @staticmethod
    @when("answers with and without pauses, failures and restarts come in many arbitrary orders")
    def many(context: Any) -> None:
        context.sent_early: list[Any] = []

        @settings(derandomize=True, database=None, deadline=None, max_examples=400)
        @arbitrary(EVENTS)
        def run(events: list[Event]) -> None:
            early = PauseStateSteps._play(events)
            if early:
                context.sent_early.append((events, early))

        run()

    @staticmethod
    def _play(events: list[Event]) -> list[Any]:
        """Return the upstreams that were open to requests during a pause, with the time."""
        states = UpstreamStates(data_centre="east")
        starts = dict.fromkeys(UPSTREAMS, 1)
        pauses: dict[UpstreamIncarnation, float] = {}
        now = 0.0
        early = []
        for kind, name, seconds in events:
            entry, state = _entry(name, starts[name]), states.of(name)
            if kind == "pause":
                pauses[entry.life] = max(now + seconds, pauses.get(entry.life, 0.0))
                state.note_pause(entry.life, now + seconds)
            elif kind == "late pause":
                state.note_pause(_entry(name, max(1, starts[name] - 1)).life, now)
            elif kind == "pass":
                now += seconds
            elif kind == "answer":
                state.note_success(seconds)
            elif kind == "failure":
                state.note_failure(now)
            elif kind == "full":
                state.note_full(now, seconds)
            elif kind == "restart":
                starts[name] += 1
            entries = [_entry(other, start) for other, start in starts.items()]
            chosen = states.choose(entries, tried=(), now=now, expected_s=lambda _: 0.1)
            early += [
                (found.upstream_id, now)
                for found in entries
                if now < pauses.get(found.life, 0.0)
                and (found is chosen or states.block(found, now=now, keyed=True) is None)
            ]
        return early

    @staticmethod
    @then("no upstream was open to requests, or chosen, during a pause that it had asked for")
    def none_early(context: Any) -> None:
        assert not context.sent_early, context.sent_early[0]

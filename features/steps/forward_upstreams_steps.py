"""Steps of forward/upstreams.feature, without a network."""

from __future__ import annotations

from collections import Counter
from typing import Any

from behave import given
from behave import then
from behave import when

from acaciasaddle.fleet import UpstreamEntry
from acaciasaddle.fleet import UpstreamIncarnation
from acaciasaddle.forward._upstreams import UpstreamStates

RESPONSE_S = 0.25
LOCAL = "dc-0"


class ChoiceSteps:
    """Guards against a choice that ignores where an upstream is, or how busy it is."""

    @staticmethod
    @given("{count:d} upstreams in {data_centres:d} data centres, all equally fast")
    def upstreams(context: Any, count: int, data_centres: int) -> None:
        context.entries = [
            UpstreamEntry(
                life=UpstreamIncarnation(upstream_id=f"u{number}", started_ms=1),
                service="s",
                address=f"10.0.0.{number}:80",
                data_centre=f"dc-{number % data_centres}",
                slots=2,
                draining=False,
                cold_s=0.0,
            )
            for number in range(count)
        ]
        context.local_response_s = RESPONSE_S

    @staticmethod
    @given("the local ones have a queue")
    def busy(context: Any) -> None:
        context.local_response_s = 2 * RESPONSE_S

    @staticmethod
    @when("{count:d} {kind} requests choose an upstream")
    def choose(context: Any, count: int, kind: str) -> None:
        states = UpstreamStates(data_centre=LOCAL)
        context.selected = Counter()
        for _ in range(count):
            entry = states.choose(
                context.entries,
                tried=(),
                now=0.0,
                expected_s=lambda entry: (
                    context.local_response_s if entry.data_centre == LOCAL else RESPONSE_S
                ),
                bulky=kind == "bulky",
            )
            assert entry is not None
            context.selected[entry] += 1

    @staticmethod
    def _local_percent(context: Any) -> float:
        local = sum(n for entry, n in context.selected.items() if entry.data_centre == LOCAL)
        return 100 * local / context.selected.total()

    @staticmethod
    @then("at least {percent:d}% of them stay in their data centre")
    def stay(context: Any, percent: int) -> None:
        assert ChoiceSteps._local_percent(context) >= percent, context.selected

    @staticmethod
    @then("at most {percent:d}% of them stay in their data centre")
    def leave(context: Any, percent: int) -> None:
        assert ChoiceSteps._local_percent(context) <= percent, context.selected

    @staticmethod
    @then("no upstream gets more than {count:d} of them")
    def spread(context: Any, count: int) -> None:
        assert max(context.selected.values()) <= count, context.selected

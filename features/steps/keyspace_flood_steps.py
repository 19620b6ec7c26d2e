"""Steps of keyspace/flood.feature."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
from features.support.key_flood import Flood

from acaciasaddle.keyspace import KEY_COUNT


class KeyFloodSteps:
    """Guards against hot keys that stay with an owner that cannot serve them."""

    @staticmethod
    @given(
        "a fleet of {upstreams:d} upstreams with {rate:d} requests/s, each upstream serving "
        "{each:g} a second"
    )
    def fleet(context: Any, upstreams: int, rate: int, each: float) -> None:
        context.flood = Flood(upstreams=upstreams, rate=rate, served_rate=each)

    @staticmethod
    @when("{hot:d} requests/s of these go to {keys:d} neighbouring keys for {seconds:g} s")
    def flood(context: Any, hot: int, keys: int, seconds: float) -> None:
        context.flood.hot_rate = float(hot)
        context.flood.hot_keys = keys
        context.flood.simulate(seconds)

    @staticmethod
    @then("from {first:g} s after the start at least {percent:d}% of the requests are accepted")
    def served(context: Any, first: float, percent: int) -> None:
        share = context.flood.served_between(first, 5.0)
        assert share >= percent / 100, (share, context.flood.served)

    @staticmethod
    @then("the hot keys have at least {count:d} owners")
    def owners(context: Any, count: int) -> None:
        found = context.flood.owners_of_hot_keys()
        assert found >= count, found

    @staticmethod
    @then("the owner of the hot key has at most {times:g} times the mean load from other keys")
    def isolated(context: Any, times: float) -> None:
        flood = context.flood
        # All other keys are requested at the same rate.
        found = flood.other_keys_of_hot_owner() * flood.upstreams / KEY_COUNT
        assert found <= times, found

    @staticmethod
    @then("at most {count:d} moves were made")
    def moves(context: Any, count: int) -> None:
        assert context.flood.moves <= count, context.flood.moves

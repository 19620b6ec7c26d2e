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
        "{served_rate:g} a second"
    )
    def fleet(context: Any, upstreams: int, rate: int, served_rate: float) -> None:
        context.flood = Flood(upstreams=upstreams, rate=rate, served_rate=served_rate)

    @staticmethod
    @given("{percent:d}% of the requests are for the 1000 keys around the hot one")
    def near(context: Any, percent: int) -> None:
        context.flood.near_share = percent / 100

    @staticmethod
    @when(
        "{hot_rate:d} requests/s of these go to {key_count:d} neighbouring keys for {seconds:g} s"
    )
    def flood(context: Any, hot_rate: int, key_count: int, seconds: float) -> None:
        context.flood.hot_rate = float(hot_rate)
        context.flood.hot_key_count = key_count
        context.flood.simulate(seconds)

    @staticmethod
    @then("from {first_s:g} s after the start at least {percent:d}% of the requests are accepted")
    def accepted_share(context: Any, first_s: float, percent: int) -> None:
        share = context.flood.mean_accepted_share(first_s, 5.0)
        assert share >= percent / 100, (share, context.flood.accepted_shares)

    @staticmethod
    @then("the hot keys have at least {count:d} owners")
    def hot_key_owners(context: Any, count: int) -> None:
        found = context.flood.owners_of_hot_keys()
        assert found >= count, found

    @staticmethod
    @then("the owner of the hot key has at most {max_ratio:g} times the mean load from other keys")
    def load_from_other_keys(context: Any, max_ratio: float) -> None:
        flood = context.flood
        # All other keys are requested at the same rate.
        found = flood.other_keys_of_hot_owner() * flood.upstreams / KEY_COUNT
        assert found <= max_ratio, found

    @staticmethod
    @then("the hot key has moved at most once")
    def hot_key_stays(context: Any) -> None:
        assert context.flood.hot_key_moves <= 1, context.flood.hot_key_moves

    @staticmethod
    @then("at most {count:d} moves were made")
    def moves(context: Any, count: int) -> None:
        assert context.flood.moves <= count, context.flood.moves

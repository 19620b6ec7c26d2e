"""Steps of dispatch/load.feature."""

from __future__ import annotations

import random
from typing import Any

from behave import given
from behave import then
from behave import when

from acaciasaddle.dispatch._load import LoadAverage
from acaciasaddle.model import UnitId

SEED = 5
SERVICE_S = 0.01
UNIT = UnitId("s", "g", 0)


class DispatchLoadSteps:
    """Guards against a hot key that is never pinned because it is not found."""

    @staticmethod
    @given('the load average has recorded {cold:d} keys once and the key "hot" {hot:d} times')
    def record_keys(context: Any, cold: int, hot: int) -> None:
        keys = [f"k{number}" for number in range(cold)] + ["hot"] * hot
        random.Random(SEED).shuffle(keys)
        context.load = LoadAverage(now=0.0)
        context.now = 1.0
        for key in keys:
            context.load.add_slot_time(context.now, UNIT, key, SERVICE_S)

    @staticmethod
    @when("the load average records nothing for {seconds:d} s")
    def record_nothing(context: Any, seconds: int) -> None:
        context.now += seconds

    @staticmethod
    @then('the load average ranks "{key}" first')
    def hottest(context: Any, key: str) -> None:
        keys = context.load.keys(context.now)
        assert max(keys, key=lambda unit: keys[unit]).key == key, keys

    @staticmethod
    @then("the load average tracks at most {limit:d} keys")
    def tracked_at_most(context: Any, limit: int) -> None:
        assert len(context.load.keys(context.now)) <= limit

    @staticmethod
    @then("the load average tracks no key")
    def tracks_none(context: Any) -> None:
        assert not context.load.keys(context.now)

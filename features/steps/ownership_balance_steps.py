"""Steps of ownership/balance.feature."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when

from acaciasaddle.model import UnitId
from acaciasaddle.ownership import units_to_move


class BalanceSteps:
    """Guards against units that move back and forth between two upstreams."""

    @staticmethod
    @given('the unit balancer sees units using "{used}" of {slots:d} slots')
    def units(context: Any, used: str, slots: int) -> None:
        pairs = (item.split() for item in used.split(", "))
        context.unit_busy = {UnitId("s", name, 0): float(busy) for name, busy in pairs}
        context.slots = slots

    @staticmethod
    @when("the unit balancer closes a gap of {gap:f}")
    def close(context: Any, gap: float) -> None:
        context.moved = units_to_move(unit_busy=context.unit_busy, slots=context.slots, gap=gap)

    @staticmethod
    @then('the unit balancer moves "{names}"')
    @then('the unit balancer moves ""')
    def moves(context: Any, names: str = "") -> None:
        assert ", ".join(unit.group for unit in context.moved) == names, context.moved

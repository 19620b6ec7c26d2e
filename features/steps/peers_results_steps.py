"""Steps shared by the features of peers and wire: who takes part, and what came out."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then


class ResultSteps:
    """Compares named results with what the scenario expects."""

    @staticmethod
    @given('peers "{names}"')
    def peers(context: Any, names: str) -> None:
        context.names = names
        context.partners = {}

    @staticmethod
    @given('the peer "{one}" has the partner "{other}"')
    def partners(context: Any, one: str, other: str) -> None:
        context.partners[one] = frozenset({f"{other}@1"})

    @staticmethod
    @then('the peers\' {name} is "{value}"')
    @then('the wire\'s {name} is "{value}"')
    def equal(context: Any, name: str, value: str) -> None:
        assert str(context.results[name]) == value, (name, context.results[name])

    @staticmethod
    @then("the peers' {name} is from {low:g} to {high:g}")
    @then("the wire's {name} is from {low:g} to {high:g}")
    def between(context: Any, name: str, low: float, high: float) -> None:
        assert low <= context.results[name] <= high, (name, context.results[name])

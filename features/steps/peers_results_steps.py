"""Steps shared by the features of peers and wire: participants and comparison of results."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then


class ResultSteps:
    """Names the peers of a scenario and compares its results with the expected values."""

    @staticmethod
    @given('peers "{names}"')
    def peers(context: Any, names: str) -> None:
        context.hub_names = names
        context.partners = {}

    @staticmethod
    @given('the peer "{one}" has the partner "{other}"')
    def partners(context: Any, one: str, other: str) -> None:
        context.partners[one] = frozenset({f"{other}@1"})

    @staticmethod
    @then('the peer result "{name}" is "{value}"')
    @then('the wire result "{name}" is "{value}"')
    def equal(context: Any, name: str, value: str) -> None:
        assert str(context.results[name]) == value, (name, context.results[name])

    @staticmethod
    @then('the peer result "{name}" is from {low:g} to {high:g}')
    @then('the wire result "{name}" is from {low:g} to {high:g}')
    def between(context: Any, name: str, low: float, high: float) -> None:
        assert low <= context.results[name] <= high, (name, context.results[name])

"""Steps of forward/budget.feature."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when

from acaciasaddle.forward import BudgetLimits
from acaciasaddle.forward import RepeatBudget

SERVICE = "s"


class RepeatBudgetSteps:
    """Guards against more repeats than the shared budget allows."""

    @staticmethod
    @given(
        "{count:d} hosts that share a budget of {percent:d}% of the requests and {slack:d} more "
        "in {window:g} s"
    )
    def hosts(context: Any, count: int, percent: int, slack: int, window: float) -> None:
        context.limits = BudgetLimits(ratio=percent / 100, window_s=window, slack=float(slack))
        context.known_hosts = count
        context.budgets = [
            RepeatBudget(limits=context.limits, hosts=lambda: context.known_hosts)
            for _ in range(count)
        ]

    @staticmethod
    @given("the hosts do not know how many they are")
    def unknown_host_count(context: Any) -> None:
        context.known_hosts = 0

    @staticmethod
    @when("each host gets {count:d} requests and repeats as often as it may")
    def repeat(context: Any, count: int) -> None:
        context.request_count = count * len(context.budgets)
        context.repeat_count = 0
        for budget in context.budgets:
            for _ in range(count):
                budget.note_request(SERVICE, now=0.0)
            while budget.take(SERVICE, now=1.0):
                context.repeat_count += 1

    @staticmethod
    @then("all hosts together stay within the budget")
    def within_budget(context: Any) -> None:
        allowed = context.limits.ratio * context.request_count + context.limits.slack
        assert context.repeat_count <= allowed, (context.repeat_count, allowed)

    @staticmethod
    @then("at least {count:d} repeats were sent")
    def min_repeats(context: Any, count: int) -> None:
        assert context.repeat_count >= count, context.repeat_count

    @staticmethod
    @then("at most {count:d} repeats were sent")
    def max_repeats(context: Any, count: int) -> None:
        assert context.repeat_count <= count, context.repeat_count

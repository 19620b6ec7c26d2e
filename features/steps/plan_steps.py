"""Steps of plan/plan.feature."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

from behave import given
from behave import then

from acaciasaddle.config import ConfigError
from acaciasaddle.config import parse_config
from acaciasaddle.operator_api import from_json
from acaciasaddle.plan import Plan
from acaciasaddle.plan import make_plan

if TYPE_CHECKING:
    from acaciasaddle.config import Inventory
    from acaciasaddle.config import Rules


class PlanSteps:
    """Guards against a plan that omits effects of a change."""

    @staticmethod
    def configuration(context: Any) -> tuple[Inventory, Rules]:
        return parse_config(context.raw_config["inventory"], context.raw_config["rules"])

    @staticmethod
    def compare(
        before: tuple[Inventory | None, Rules | None], after: tuple[Inventory, Rules]
    ) -> Plan:
        plan = make_plan(
            before_inventory=before[0],
            before_rules=before[1],
            after_inventory=after[0],
            after_rules=after[1],
            version=3,
        )
        return from_json(Plan, json.dumps(plan.to_json()).encode())

    @staticmethod
    def plan(context: Any) -> Plan:
        return PlanSteps.compare(context.before, PlanSteps.configuration(context))

    @staticmethod
    @given("the plan starts from this configuration")
    def start(context: Any) -> None:
        context.before = PlanSteps.configuration(context)

    @staticmethod
    @then('the plan has the changes "{expected}"')
    def changes(context: Any, expected: str) -> None:
        found = []
        for change in PlanSteps.plan(context).changes:
            fields = ", ".join(field.field for field in change.fields)
            text = f"{change.action} {change.subject} {change.name}"
            found.append(f"{text}: {fields}" if fields else text)
        assert (", ".join(found) or "nothing") == expected, found

    @staticmethod
    @then('the plan empties "{expected}"')
    def empties(context: Any, expected: str) -> None:
        emptied = ", ".join(PlanSteps.plan(context).emptied) or "nothing"
        assert emptied == expected, emptied

    @staticmethod
    @then('the plan moves between {min_share:g} and {max_share:g} of the units of "{group}"')
    def moves(context: Any, min_share: float, max_share: float, group: str) -> None:
        shares = {f"{m.service}/{m.group}": m.share for m in PlanSteps.plan(context).moves}
        assert min_share <= shares[group] <= max_share, shares

    @staticmethod
    @then('the plan warns of "{expected}"')
    def warns(context: Any, expected: str) -> None:
        existing = PlanSteps.compare(context.before, context.before).warnings
        new = [text for text in PlanSteps.plan(context).warnings if text not in existing]
        if expected == "nothing new":
            new = [text for text in new if not text.startswith("about")]
            assert not new, new
            return
        assert any(expected in text for text in new), new

    @staticmethod
    @then('the plan fails with "{problem}"')
    def fails(context: Any, problem: str) -> None:
        try:
            plan = PlanSteps.plan(context)
        except ConfigError as exc:
            assert problem in exc.problems, exc.problems
            return
        raise AssertionError(plan)

    @staticmethod
    @then("the first plan has {count:d} additions and moves nothing")
    def first_plan(context: Any, count: int) -> None:
        plan = PlanSteps.compare((None, None), context.before)
        added = [change for change in plan.changes if change.action == "added"]
        assert len(added) == len(plan.changes) == count, plan.changes
        assert (plan.moved_share, plan.emptied) == (0, ()), plan

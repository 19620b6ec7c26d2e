"""Steps of matrix/trials.feature."""

from __future__ import annotations

from typing import Any

from behave import then
from behave import when
from features.support.faults import FAULTS
from features.support.scenarios import SCENARIOS
from features.support.trial import Injection
from features.support.trial import run_trial


def _scenario(name: str) -> Any:
    return next(scenario for scenario in SCENARIOS if scenario.name == name)


class TrialSteps:
    """Guards against promises that do not hold when a fault strikes in the middle of a step."""

    @staticmethod
    @when('the matrix scenario "{name}" runs with seed {seed:d}')
    def run(context: Any, name: str, seed: int) -> None:
        context.trial = run_trial(_scenario(name), seed=seed)

    @staticmethod
    @when(
        'the matrix scenario "{name}" runs with seed {seed:d} '
        'and "{fault}" at "{step}" number {number:d}'
    )
    def run_with_fault(
        context: Any, name: str, seed: int, fault: str, step: str, number: int
    ) -> None:
        chosen = next(each for each in FAULTS if each.name == fault)
        injection = Injection(step=step, number=number, fault=chosen)
        context.trial = run_trial(_scenario(name), seed=seed, injections=(injection,))

    @staticmethod
    @then("the matrix fault struck")
    def struck(context: Any) -> None:
        assert context.trial.struck == 1, sorted(context.trial.steps)

    @staticmethod
    @then("the matrix checker reports nothing")
    def nothing(context: Any) -> None:
        assert not context.trial.findings, context.trial.findings
        assert context.trial.runs > 0

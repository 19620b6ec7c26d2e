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
    """Guards against violated promises, without faults and with a fault injected at a step."""

    @staticmethod
    @when('the matrix scenario "{name}" runs with seed {seed:d}')
    def run(context: Any, name: str, seed: int) -> None:
        context.trial = run_trial(_scenario(name), seed=seed)

    @staticmethod
    @when(
        'the matrix scenario "{name}" runs with seed {seed:d} '
        'and "{fault}" at occurrence {occurrence:d} of "{step}"'
    )
    def run_with_fault(
        context: Any, name: str, seed: int, fault: str, step: str, occurrence: int
    ) -> None:
        injected_fault = next(item for item in FAULTS if item.name == fault)
        injection = Injection(step=step, occurrence=occurrence, fault=injected_fault)
        context.trial = run_trial(_scenario(name), seed=seed, injections=(injection,))

    @staticmethod
    @then("the matrix fault was injected")
    def fault_injected(context: Any) -> None:
        assert context.trial.injected == 1, sorted(context.trial.steps)

    @staticmethod
    @then("the matrix checker reports nothing")
    def reports_nothing(context: Any) -> None:
        assert not context.trial.findings, context.trial.findings
        assert context.trial.runs > 0

"""Steps of matrix/proofs.feature."""

from __future__ import annotations

from typing import Any

from behave import then
from behave import when
from features.support.defects import DEFECTS
from features.support.proofs import prove


class ProofSteps:
    """Guards against a matrix that passes because its checker detects nothing."""

    @staticmethod
    @when('the matrix trials of the defect "{name}" run')
    def run_trials(context: Any, name: str) -> None:
        context.proof = prove(next(defect for defect in DEFECTS if defect.name == name), seed=1)

    @staticmethod
    @then('the matrix checker reports "{rule}" for promise {promise:d}')
    def reports(context: Any, rule: str, promise: int) -> None:
        assert context.proof.defect.promise == promise
        assert rule in context.proof.rules, context.proof.rules

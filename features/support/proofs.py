"""Runs trials with a rule of the system switched off, to see if the checker reports violations."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from features.support.defects import Defect
from features.support.faults import FAULTS
from features.support.scenarios import SCENARIOS
from features.support.trial import Injection
from features.support.trial import run_trial


@dataclass(slots=True, kw_only=True)
class Proof:
    """Whether the checker reported the rule that a defect violates, and all rules it reported."""

    defect: Defect
    reported: bool = False
    rules: set[str] = field(default_factory=set)


def prove(defect: Defect, seed: int) -> Proof:
    """Run a defect's trials until the checker reports its rule, and return what it reported."""
    proof = Proof(defect=defect)
    scenario = next(item for item in SCENARIOS if item.name == defect.scenario)
    for occurrence in defect.occurrences:
        injections: tuple[Injection, ...] = ()
        if defect.fault:
            fault = next(item for item in FAULTS if item.name == defect.fault)
            injections = (Injection(step=defect.step, occurrence=occurrence, fault=fault),)
        trial = run_trial(
            scenario,
            seed=seed,
            injections=injections,
            parts=defect.parts(),
            patches=defect.patch(),
        )
        proof.rules |= {finding.rule for finding in trial.findings}
        proof.reported = defect.rule in proof.rules
        if proof.reported:
            break
    return proof

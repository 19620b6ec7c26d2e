"""Runs trials with rules switched off."""

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
    """Whether the checker noticed a defect, and all rules that it reported."""

    defect: Defect
    noticed: bool = False
    rules: set[str] = field(default_factory=set)


def prove(defect: Defect, seed: int) -> Proof:
    """Run a defect's cells until the checker reports its rule."""
    proof = Proof(defect=defect)
    scenario = next(each for each in SCENARIOS if each.name == defect.scenario)
    for number in defect.numbers:
        injections: tuple[Injection, ...] = ()
        if defect.fault:
            fault = next(each for each in FAULTS if each.name == defect.fault)
            injections = (Injection(step=defect.step, number=number, fault=fault),)
        trial = run_trial(
            scenario,
            seed=seed,
            injections=injections,
            defects=defect.parts(),
            patches=defect.patch(),
        )
        proof.rules |= {finding.rule for finding in trial.findings}
        proof.noticed = defect.rule in proof.rules
        if proof.noticed:
            break
    return proof

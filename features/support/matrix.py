"""The fault matrix: every fault at every step of every scenario.

Run ``PYTHONPATH=src PYTHONHASHSEED=0 python -m features.support.matrix --help``.
"""

from __future__ import annotations

import random
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import click
from features.support.defects import DEFECTS
from features.support.faults import FAULTS
from features.support.faults import Fault
from features.support.page import write_page
from features.support.proofs import prove
from features.support.scenarios import SCENARIOS
from features.support.scenarios import Scenario
from features.support.stage import TWO_PLACES
from features.support.trial import HARMLESS_TO_STOP
from features.support.trial import Finding
from features.support.trial import Injection
from features.support.trial import run_trial

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Iterable
    from collections.abc import Iterator

    from features.support.trial import Trial

DEFAULT_SEED = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class Cell:
    """A fault at one occurrence of a step of a scenario. ``second`` is the same fault again."""

    scenario: Scenario
    step: str
    number: int
    fault: Fault
    twice: bool = False

    def __str__(self) -> str:
        again = " twice" if self.twice else ""
        return f"{self.scenario.name} | {self.step} #{self.number} | {self.fault.name}{again}"

    def injections(self) -> tuple[Injection, ...]:
        """Return where the fault strikes; the second time at a later occurrence of the step."""
        first = Injection(step=self.step, number=self.number, fault=self.fault)
        if not self.twice:
            return (first,)
        second = Injection(step=self.step, number=self.number + 3, fault=self.fault)
        return (first, second)


@dataclass(slots=True, kw_only=True)
class Result:
    """What a cell brought."""

    cell: Cell
    seed: int
    findings: list[Finding] = field(default_factory=list)
    struck: int = 0
    recovery_s: float = 0.0
    isolated: int = 0
    error: str = ""

    @property
    def passed(self) -> bool:
        """Whether no promise was violated."""
        return not self.findings and not self.error

    def judges(self, promise: int) -> bool:
        """Whether the cell says anything about a promise."""
        name = self.cell.scenario.name
        if promise == 6:
            return "drain" in name or self.cell.fault.name == "upstream leaves"
        if promise == 7:
            return name == "graceful stop" and self.cell.fault.name in HARMLESS_TO_STOP
        if promise == 8:
            return "drain" in name or name == "two operators"
        return True

    def keeps(self, promise: int) -> bool:
        """Whether the promise was kept."""
        return not self.error and all(each.promise != promise for each in self.findings)


def applies(fault: Fault, scenario: Scenario) -> bool:
    """Return whether a fault can strike in a scenario's layout."""
    two = scenario.layout is TWO_PLACES
    return two if fault.two_places else not (two and fault.three_hosts)


def record_steps(scenario: Scenario, seed: int) -> Counter[str]:
    """Return the steps of a scenario without faults."""
    return run_trial(scenario, seed=seed).steps


def all_cells(scenarios: Iterable[Scenario], seed: int) -> Iterator[Cell]:
    """Return every fault at every step, at its first occurrence and at one in the middle."""
    for scenario in scenarios:
        for step, count in sorted(record_steps(scenario, seed).items()):
            for fault in FAULTS:
                if not applies(fault, scenario):
                    continue
                for number in sorted({0, count // 2}):
                    yield Cell(scenario=scenario, step=step, number=number, fault=fault)
                yield Cell(scenario=scenario, step=step, number=0, fault=fault, twice=True)


def run_cell(cell: Cell, seed: int) -> Result:
    """Run a cell; an exception that reaches the end of the program is an error."""
    result = Result(cell=cell, seed=seed)
    try:
        trial: Trial = run_trial(cell.scenario, seed=seed, injections=cell.injections())
    except Exception as exc:
        result.error = repr(_innermost(exc))
        return result
    result.findings = trial.findings
    result.struck = trial.struck
    result.recovery_s = trial.recovery_s
    result.isolated = trial.isolated
    return result


def _innermost(exc: BaseException) -> BaseException:
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return exc


def find_scenario(name: str) -> Scenario:
    """Return a scenario; raises ``StopIteration``."""
    return next(scenario for scenario in SCENARIOS if scenario.name == name)


def find_fault(name: str) -> Fault:
    """Return a fault; raises ``StopIteration``."""
    return next(fault for fault in FAULTS if fault.name == name)


@click.command()
@click.option("--seed", default=DEFAULT_SEED, help="Seed of the trials and of the order of cells.")
@click.option("--minutes", type=float, help="Stop after this time; cells are in random order.")
@click.option("--scenario", "scenario_names", multiple=True, help="Only these scenarios.")
@click.option("--fault", "fault_names", multiple=True, help="Only these faults.")
@click.option("--step", "step_names", multiple=True, help="Only these steps.")
@click.option("--page", type=click.Path(), help="Write the page here.")
def main(
    seed: int,
    minutes: float | None,
    scenario_names: tuple[str, ...],
    fault_names: tuple[str, ...],
    step_names: tuple[str, ...],
    page: str | None,
) -> None:
    """Run the matrix, print cells that failed, and write the page."""
    chosen = [s for s in SCENARIOS if not scenario_names or s.name in scenario_names]
    cells = [
        cell
        for cell in all_cells(chosen, seed)
        if (not fault_names or cell.fault.name in fault_names)
        and (not step_names or cell.step in step_names)
    ]
    random.Random(seed).shuffle(cells)
    click.echo(f"{len(cells)} cells")
    started = time.monotonic()
    results: list[Result] = []
    for cell in cells:
        if minutes is not None and time.monotonic() - started > minutes * 60:
            break
        result = run_cell(cell, seed)
        results.append(result)
        if not result.passed:
            click.echo(f"FAILED {cell}")
            for finding in result.findings[:3]:
                click.echo(f"    promise {finding.promise}, {finding.rule}: {finding.detail}")
            if result.error:
                click.echo(f"    {result.error}")
    passed = sum(result.passed for result in results)
    seconds = time.monotonic() - started
    click.echo(f"{len(results)} of {len(cells)} cells run in {seconds:.0f} s, {passed} passed")
    if page is not None:
        proofs = [prove(defect, seed) for defect in DEFECTS]
        write_page(page, results, proofs, total=len(cells), seed=seed, seconds=seconds)


if __name__ == "__main__":
    main()

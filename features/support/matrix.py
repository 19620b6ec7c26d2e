"""Command that runs the fault matrix: each applicable fault at each step of each scenario.

For its options, run
``PYTHONPATH=src PYTHONHASHSEED=0 python -m features.support.matrix --help``.
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
from features.support.system import TWO_DATA_CENTRES
from features.support.trial import FAULTS_THAT_CUT_NO_RESPONSE
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
    """A fault at one occurrence of a step of a scenario; if ``twice``, also at a later one."""

    scenario: Scenario
    step: str
    occurrence: int
    fault: Fault
    twice: bool = False

    def __str__(self) -> str:
        again = " twice" if self.twice else ""
        return f"{self.scenario.name} | {self.step} #{self.occurrence} | {self.fault.name}{again}"

    def injections(self) -> tuple[Injection, ...]:
        """Return the injection of the fault and, if ``twice``, a second one 3 occurrences later."""
        first = Injection(step=self.step, occurrence=self.occurrence, fault=self.fault)
        if not self.twice:
            return (first,)
        second = Injection(step=self.step, occurrence=self.occurrence + 3, fault=self.fault)
        return (first, second)


@dataclass(slots=True, kw_only=True)
class Result:
    """Result of the trial of a cell.

    ``error`` is the ``repr`` of an exception that ended the trial, or empty. With an error, the
    fields taken from the trial keep their defaults.
    """

    cell: Cell
    seed: int
    findings: list[Finding] = field(default_factory=list)
    injected: int = 0
    recovery_s: float = 0.0
    isolated: int = 0
    error: str = ""

    @property
    def passed(self) -> bool:
        """Return whether the trial ended without findings and without an error."""
        return not self.findings and not self.error

    def covers(self, promise: int) -> bool:
        """Return whether the cell tests a promise."""
        name = self.cell.scenario.name
        if promise == 6:
            return "drain" in name or self.cell.fault.name == "upstream leaves"
        if promise == 7:
            return name == "graceful stop" and self.cell.fault.name in FAULTS_THAT_CUT_NO_RESPONSE
        if promise == 8:
            return "drain" in name or name == "two operators"
        return True

    def kept(self, promise: int) -> bool:
        """Return whether the trial ended without an error and without a finding for a promise."""
        return not self.error and all(finding.promise != promise for finding in self.findings)


def applies(fault: Fault, scenario: Scenario) -> bool:
    """Return whether a fault can be injected in a scenario's layout."""
    has_two_data_centres = scenario.layout is TWO_DATA_CENTRES
    return (
        has_two_data_centres
        if fault.needs_two_data_centres
        else not (has_two_data_centres and fault.needs_three_hosts)
    )


def record_steps(scenario: Scenario, seed: int) -> Counter[str]:
    """Run a scenario without faults, and return how often each step occurred."""
    return run_trial(scenario, seed=seed).steps


def all_cells(scenarios: Iterable[Scenario], seed: int) -> Iterator[Cell]:
    """Yield the cells of every step with every applicable fault, up to three for each pair.

    The fault is injected at the first occurrence of the step, at the middle one, or at the first
    and the fourth.
    """
    for scenario in scenarios:
        for step, count in sorted(record_steps(scenario, seed).items()):
            for fault in FAULTS:
                if not applies(fault, scenario):
                    continue
                for occurrence in sorted({0, count // 2}):
                    yield Cell(scenario=scenario, step=step, occurrence=occurrence, fault=fault)
                yield Cell(scenario=scenario, step=step, occurrence=0, fault=fault, twice=True)


def run_cell(cell: Cell, seed: int) -> Result:
    """Run the trial of a cell and return its result, also if it raises an ``Exception``."""
    result = Result(cell=cell, seed=seed)
    try:
        trial: Trial = run_trial(cell.scenario, seed=seed, injections=cell.injections())
    except Exception as exc:
        result.error = repr(_innermost(exc))
        return result
    result.findings = trial.findings
    result.injected = trial.injected
    result.recovery_s = trial.recovery_s
    result.isolated = trial.isolated
    return result


def _innermost(exc: BaseException) -> BaseException:
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return exc


def find_scenario(name: str) -> Scenario:
    """Return the scenario with this name; raise ``StopIteration`` if there is none."""
    return next(scenario for scenario in SCENARIOS if scenario.name == name)


def find_fault(name: str) -> Fault:
    """Return the fault with this name; raise ``StopIteration`` if there is none."""
    return next(fault for fault in FAULTS if fault.name == name)


@click.command()
@click.option("--seed", default=DEFAULT_SEED, help="Seed of the trials and of the order of cells.")
@click.option("--minutes", type=float, help="Start no cell after this time; the order is random.")
@click.option("--scenario", "scenario_names", multiple=True, help="Only this scenario; repeatable.")
@click.option("--fault", "fault_names", multiple=True, help="Only this fault; repeatable.")
@click.option("--step", "step_names", multiple=True, help="Only this step; repeatable.")
@click.option("--page", type=click.Path(), help="Write the results to this Markdown file.")
def main(
    seed: int,
    minutes: float | None,
    scenario_names: tuple[str, ...],
    fault_names: tuple[str, ...],
    step_names: tuple[str, ...],
    page: str | None,
) -> None:
    """Run the matrix and print the failed cells; --page also runs the proofs and writes a page."""
    scenarios = [s for s in SCENARIOS if not scenario_names or s.name in scenario_names]
    cells = [
        cell
        for cell in all_cells(scenarios, seed)
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

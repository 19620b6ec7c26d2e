"""Text and tables of ``docs/fault-matrix.md``, the page with the results of the matrix."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

from features.support.trial import CONFIG_LIMIT_S
from features.support.trial import DRAIN_LIMIT_S
from features.support.trial import FAULTS_THAT_CUT_NO_RESPONSE
from features.support.trial import RECOVERY_LIMIT_S

if TYPE_CHECKING:
    from collections.abc import Sequence

    from features.support.matrix import Result
    from features.support.proofs import Proof

PROMISE_TITLES = {
    1: "one owner",
    2: "assignments survive",
    3: "own, complete response",
    4: "not run is true",
    5: "at most once",
    6: "no work when leaving",
    7: "graceful stop",
    8: "configuration",
    0: "service returns",
}

HEAD = """# Fault matrix

Written by `features/support/matrix.py`; do not edit. Several entry hosts, upstream stand-ins and
the table run in one trio program on a mock clock. A scenario is run once without faults to record
its steps: every message between hosts, every request to an upstream and its response, each as it is
sent and as it is received, and every call of the store, as it begins and as it succeeds. A *cell*
is a fault at one or two occurrences of one step. Per step and fault there are up to three cells: at
the first occurrence of the step, at the middle one, and at the first and the fourth. The checker
evaluates a cell from the records of the upstream stand-ins, the writes to the table and the
responses that callers got.

    PYTHONPATH=src PYTHONHASHSEED=0 python -m features.support.matrix --page docs/fault-matrix.md

runs all cells (an estimated 19 hours on one core, at 2.3 s a cell) in a random order given by
`--seed`. `--minutes` limits the time, and `--scenario`, `--step` and `--fault` choose cells.
"""


def _what_is_checked() -> str:
    return f"""
## What is checked

* Promises 1 to 5, in every cell.
* Promise 6: no work begins on an upstream more than {DRAIN_LIMIT_S:g} s after it began to leave. If
  a change of the configuration drains it, the time counts from the end of the faults if that is
  later.
* Promise 7: in the scenario "graceful stop", with the faults that cut no response by themselves:
  {", ".join(sorted(FAULTS_THAT_CUT_NO_RESPONSE))}; and without faults.
* Promise 8: the last accepted change is in force at every host that accepts requests within
  {CONFIG_LIMIT_S:g} s after its acceptance or the end of the faults, whichever is later; no host
  goes back to an earlier one.
* Service returns: within {RECOVERY_LIMIT_S:g} s every host that accepts requests completes a lookup
  of every unit. The time counts from the end of scenario and faults, and after a drain from the end
  of the time limit of promise 6 if that is later.
"""


NOT_PROVED = """
## Not proved

* Cells that the run above did not reach. The numbers are of a random sample unless all were run.
* Faults at two different steps, and combinations of faults at one step that are not in the table.
* Faults with real processes, sockets and clocks (SIGKILL, SIGSTOP); `emulator/_fleet.py` covers
  some, and [soak.md](soak.md) those of the node.
* Clocks that drift apart: all simulated clocks run at the same rate.
* Promise 7 with faults that cut responses by themselves: these responses cannot be told from ones
  cut by the stop.
* Promise 2 for pinned keys: no scenario pins a key.
* The progress shown by the operator API, which is not checked.
* The units of an upstream that checks no orders stay unserved until `isolation_limit_s` has passed
  if its holder and successor are both lost, since no other host can tell whether they still use it.
  Such units, and units that move away from such an upstream and wait for its release, are left out
  of "service returns"; the number of cells where this happened is given above.
* Runs that were begun before their unit moved away from a lost upstream may end after the move.
"""


def write_page(
    path: str,
    results: Sequence[Result],
    proofs: Sequence[Proof],
    *,
    total: int,
    seed: int,
    seconds: float,
) -> None:
    """Write the page with the results of a run."""
    injected = [result for result in results if result.injected]
    lines = [HEAD, _what_is_checked(), "\n## Result\n"]
    lines.append(
        f"Seed {seed}: {len(results)} of {total} cells run in {seconds:.0f} s; the fault was "
        f"injected in {len(injected)} of them (in the others the step did not occur again), and "
        f"{sum(result.passed for result in injected)} of these passed. In "
        f"{sum(result.isolated > 0 for result in injected)} cells, units of an upstream that "
        "checks no orders, or that move away from one, were left out as explained below. In passed "
        "cells, the checks that service returns and that the last change is in force took at most "
        f"{max((result.recovery_s for result in injected if result.passed), default=0):.1f} s of "
        "simulated time.\n"
    )
    lines.append("Passed / run, by fault and promise:\n")
    lines += _table(injected)
    lines.append("\n### Failed cells\n")
    failed = [result for result in injected if not result.passed]
    lines += [_failure(result) for result in failed] or ["None."]
    lines.append("\n## Proofs that the checker reports violations\n")
    lines.append("Each rule is switched off by a defect in `features/support/defects.py`.\n")
    lines.append("| promise | rule switched off | scenario | fault | reported |")
    lines.append("|---|---|---|---|---|")
    for proof in proofs:
        defect = proof.defect
        lines.append(
            f"| {defect.promise} | {defect.name} | {defect.scenario} | {defect.fault or '-'} | "
            f"{defect.rule if proof.reported else '**not reported**'} |"
        )
    lines.append(NOT_PROVED)
    Path(path).write_text("\n".join(lines).rstrip() + "\n", encoding="utf-8")


def _table(results: Sequence[Result]) -> list[str]:
    titles = [f"{number or 'S'}: {text}" for number, text in PROMISE_TITLES.items()]
    lines = ["| fault | " + " | ".join(titles) + " |", "|---|" + "---|" * len(titles)]
    names = dict.fromkeys(result.cell.fault.name for result in results)
    for name in sorted(names):
        results_of_fault = [result for result in results if result.cell.fault.name == name]
        entries = []
        for promise in PROMISE_TITLES:
            covered = [result for result in results_of_fault if result.covers(promise)]
            passed = [result for result in covered if result.kept(promise)]
            entries.append(f"{len(passed)} / {len(covered)}" if covered else "-")
        lines.append(f"| {name} | " + " | ".join(entries) + " |")
    return lines


def _failure(result: Result) -> str:
    rules = Counter(finding.rule for finding in result.findings)
    details = ", ".join(f"{rule} ({count})" for rule, count in rules.items()) or result.error
    return f"* {result.cell}: {details}"

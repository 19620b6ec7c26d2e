"""Shows what days earned and cost in two runs of the journal, side by side.

Usage: ``python benchmarks/compare_days.py ID ID``, with the ids of two entries of ``journal/``.
Days that only one of them has are left out. Differences of worth below 0.03 are noise.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

JOURNAL = Path(__file__).parents[1] / "journal"
MIN_DIFFERENCE = 0.003
"""Parts and prices that differ by less are not listed."""


def main() -> None:
    """Print a table for each day that both runs have."""
    before, after = (_read_entry(run_id) for run_id in sys.argv[1:3])
    for entry in (before, after):
        print(f"{entry['id']}  {entry['cmd']} of {entry['site']} at {entry['head'][:7]}")
        print(f"  {entry['why']}")
    days_after = {day["name"]: day for day in after["days"]}
    for day in before["days"]:
        if day["name"] in days_after:
            _print_day(day, days_after[day["name"]])


def _read_entry(run_id: str) -> dict[str, Any]:
    paths = list(JOURNAL.glob(f"*-{run_id}.json"))
    if len(paths) != 1:
        raise SystemExit(f"{run_id} names {len(paths)} entries of the journal")
    entry: dict[str, Any] = json.loads(paths[0].read_text())
    if not entry["days"]:
        raise SystemExit(f"{run_id} has no days: {entry['error']}")
    return entry


def _print_day(before: dict[str, Any], after: dict[str, Any]) -> None:
    print(f"\n{before['name']:44} before   after    difference")
    for field in ("G", "served", "refused", "failed"):
        name = "worth" if field == "G" else field
        _print_row(name, before[field], after[field])
    for kind in ("parts", "prices"):
        values = {row[0]: row[2] for row in before[kind]}
        for name, _, value in after[kind]:
            if abs(value - values.get(name, 0.0)) >= MIN_DIFFERENCE:
                _print_row(f"{kind[:-1]}: {name}", values.get(name, 0.0), value)
    for day in (before, after):
        if day["rules"]:
            print(f"  rules broken: {day['rules']}")


def _print_row(name: str, before: float, after: float) -> None:
    print(f"  {name:42} {before:7.3f}  {after:7.3f}  {after - before:+7.3f}")


if __name__ == "__main__":
    main()

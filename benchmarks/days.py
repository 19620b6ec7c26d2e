"""Rewrites docs/days.md from the results in the journal: ``python benchmarks/days.py``."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[1]
PAGE = ROOT / "docs" / "days.md"
MAX_LISTED_PRICES = 3


def main() -> None:
    """Write the page: the newest score and all hunts of each site."""
    entries = [json.loads(path.read_text()) for path in sorted((ROOT / "journal").glob("*.json"))]
    lines = [
        "# Played days",
        "",
        "Written by `python benchmarks/days.py` from `journal/`. Worth is the credit earned less",
        "prices, in parts of the credit owed; score is its place between the day's two marks.",
    ]
    for site in sorted({entry["site"] for entry in entries if entry.get("site")}):
        lines += _site_section(site, [entry for entry in entries if entry.get("site") == site])
    PAGE.write_text("\n".join(lines) + "\n")


def _site_section(site: str, entries: list[dict[str, Any]]) -> list[str]:
    lines = ["", f"## {site}"]
    # Small twins cannot be compared with the days themselves, nor an estimate with a score.
    entries = [entry for entry in entries if not {"--small", "--quick"} & set(entry["argv"])]
    scores = [entry for entry in entries if entry["cmd"] == "score" and entry["days"]]
    if scores:
        lines += _score_table(scores[-1])
    hunts = [entry for entry in entries if entry["cmd"] == "hunt" and entry["days"]]
    if hunts:
        lines += [
            "",
            "| hunt | days | broken rules | mean worth | days below their floor | seeds of these |",
            "|---|---|---|---|---|---|",
        ]
        lines += [_hunt_row(entry) for entry in hunts]
    return lines


def _score_table(entry: dict[str, Any]) -> list[str]:
    days = entry["days"]
    gate = "passed" if all(day["gate"] for day in days) else "failed"
    lines = [
        "",
        f"Score {entry['score']:.3f}, gate {gate}, run {entry['id']} on {entry['at'][0][:10]}: "
        f"{entry['why']}.",
        "",
        "| day | slot | score | worth | served | refused | failed | rules broken | weakest part "
        "| highest prices |",
        "|---|---|---|---|---|---|---|---|---|---|",
    ]
    for day in days:
        name, _, part_value = min(day["parts"], key=lambda part: part[2])
        prices = sorted(day["prices"], key=lambda price: -price[2])[:MAX_LISTED_PRICES]
        highest = ", ".join(f"{price[0]} {price[2]:.3f}" for price in prices if price[2] > 0)
        lines.append(
            f"| {day['name']} | {day['slot']} | {day['score'] or 0:.2f} | {day['G']:.3f} "
            f"| {day['served']:.3f} | {day['refused']:.3f} | {day['failed']:.3f} "
            f"| {_broken_rules(day)} | {name} {part_value:.2f} | {highest} |"
        )
    return lines


def _hunt_row(entry: dict[str, Any]) -> str:
    days = entry["days"]
    broken = [day for day in days if day["rules"] or day["fault"]]
    below_floor = [day for day in days if not day["gate"]]
    mean_worth = sum(day["G"] for day in days) / len(days)
    seeds = ", ".join(f"{day['name']} {day['seed']}" for day in below_floor) or "none"
    broken_rules = ", ".join(sorted({_broken_rules(day) for day in broken})) or "none"
    return (
        f"| {entry['id']}, {entry['at'][0][:16]} | {len(days)} | {broken_rules} | {mean_worth:.3f} "
        f"| {len(below_floor)} | {seeds} |"
    )


def _broken_rules(day: dict[str, Any]) -> str:
    labels = [f"{rule} {count}" for rule, count in day["rules"].items()]
    if day["fault"]:
        labels.append("fault")
    return ", ".join(labels) or "none"


if __name__ == "__main__":
    main()

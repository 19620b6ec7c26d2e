"""Subcommand ``demo``."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click
import trio

from acaciasaddle.emulator._demo import DEPLOYMENTS
from acaciasaddle.emulator._demo import run_demo

if TYPE_CHECKING:
    from acaciasaddle.emulator._demo import DemoReport


@click.command()
@click.argument("deployment", type=click.Choice(sorted(DEPLOYMENTS)), default="utility")
@click.option("--rate", type=click.FloatRange(min=1), default=200, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--logs", type=click.Path(path_type=Path), help="Keep the logs in this directory.")
@click.option("--json", "as_json", is_flag=True, help="Print the results as JSON.")
def demo(deployment: str, rate: float, seed: int, logs: Path | None, as_json: bool) -> None:
    """Run a whole DEPLOYMENT on loopback, make parts of it fail, and check the promises.

    Exit codes: 0 if no broken promise was found, 1 otherwise.

    \b
    Example:
      acaciasaddle-emulator demo utility --rate 300
    """
    report: DemoReport = trio.run(_run, deployment, rate, seed, logs)
    if as_json:
        value = {"broken": report.broken, "missed": report.missed, "load": report.results}
        click.echo(json.dumps(value))
    for text in report.missed:
        click.echo(f"Target missed: {text}.")
    for text in report.broken:
        click.echo(f"Promise broken: {text}.")
    if report.broken:
        sys.exit(1)
    click.echo("No broken promise was found.")


async def _run(deployment: str, rate: float, seed: int, logs: Path | None) -> DemoReport:
    return await run_demo(deployment, rate=rate, seed=seed, logs=logs)

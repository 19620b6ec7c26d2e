"""Profiles entry hosts with cProfile, under load or idle.

Usage: ``PYTHONPATH=src python benchmarks/entry_profile.py [local|hop|idle] [--lines 45]``

The profiler about doubles the cost of Python code, so compare shares in its figures, not times.
"""

from __future__ import annotations

import pstats

import click
import trio
from entry_path import CONNECTIONS
from entry_path import closed_loop
from entry_path import find_paths
from entry_path import running_deployment
from entry_path import two_host_plan

from acaciasaddle.emulator._deployments import utility_plan
from acaciasaddle.observe import configure_logging


async def profile(scenario: str, seconds: float, lines: int, sort: str, only: str) -> None:
    """Profile the ingress (local), ingress and holder (hop), or two hosts of an idle deployment."""
    plan = utility_plan() if scenario == "idle" else two_host_plan()
    async with running_deployment(plan, mode="profile") as fleet:
        hosts = ["entry-00"] if scenario == "local" else ["entry-00", "entry-04"]
        paths = None if scenario == "idle" else await find_paths(fleet)
        completed = 0
        for host in hosts:
            await fleet.signal_report(host, wait=False)
        if paths is None:
            await trio.sleep(seconds)
        else:
            requests = paths.local if scenario == "local" else paths.hop
            completed = await closed_loop(requests, seconds, CONNECTIONS)
        for host in hosts:
            await fleet.signal_report(host)
            # The file exists before all statistics are written to it.
            await trio.sleep(0.5)
            print(f"== {host}, {completed} requests, {seconds} s")
            stats = pstats.Stats(str(fleet.report_path(host)))
            stats.sort_stats(sort).print_stats(*([only] if only else []), lines)


@click.command()
@click.argument("scenario", type=click.Choice(["local", "hop", "idle"]), default="local")
@click.option("--seconds", default=4.0, show_default=True)
@click.option("--lines", default=45, show_default=True)
@click.option("--sort", type=click.Choice(["tottime", "cumtime"]), default="tottime")
@click.option("--only", default="", help="Regular expression that selects the functions to print.")
def main(scenario: str, seconds: float, lines: int, sort: str, only: str) -> None:
    """Profile entry hosts."""
    configure_logging(level="warning")
    trio.run(profile, scenario, seconds, lines, sort, only)


if __name__ == "__main__":
    main()

"""Profiles entry hosts with cProfile, under requests or idle.

Usage: ``PYTHONPATH=src python benchmarks/entry_profile.py [local|hop|idle] [--lines 45]``

The profiler about doubles the cost of Python code: its figures show shares, not times.
"""

from __future__ import annotations

import pstats

import click
import trio
from entry_path import CONNECTIONS
from entry_path import closed_loop
from entry_path import find_paths
from entry_path import started
from entry_path import two_hosts

from acaciasaddle.emulator._deployments import utility_plan
from acaciasaddle.observe import configure_logs


async def profile(way: str, seconds: float, lines: int, sort: str, only: str) -> None:
    """Profile both hosts of a small deployment, or one of an idle large one."""
    plan = utility_plan() if way == "idle" else two_hosts()
    async with started(plan, mode="profile") as fleet:
        hosts = ["entry-00"] if way == "local" else ["entry-00", "entry-04"]
        paths = None if way == "idle" else await find_paths(fleet)
        done = 0
        for host in hosts:
            await fleet.signal_report(host, wait=False)
        if paths is None:
            await trio.sleep(seconds)
        else:
            calls = paths.local if way == "local" else paths.hop
            done = await closed_loop(calls, seconds, CONNECTIONS)
        for host in hosts:
            await fleet.signal_report(host)
            await trio.sleep(0.5)
            print(f"== {host}, {done} requests, {seconds} s")
            stats = pstats.Stats(str(fleet.report(host)))
            stats.sort_stats(sort).print_stats(*([only] if only else []), lines)


@click.command()
@click.argument("way", type=click.Choice(["local", "hop", "idle"]), default="local")
@click.option("--seconds", default=4.0, show_default=True)
@click.option("--lines", default=45, show_default=True)
@click.option("--sort", type=click.Choice(["tottime", "cumtime"]), default="tottime")
@click.option("--only", default="", help="Regular expression of functions to print.")
def main(way: str, seconds: float, lines: int, sort: str, only: str) -> None:
    """Profile entry hosts."""
    configure_logs(level="warning")
    trio.run(profile, way, seconds, lines, sort, only)


if __name__ == "__main__":
    main()

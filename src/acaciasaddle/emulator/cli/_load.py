"""Subcommand ``load``."""

from __future__ import annotations

import json
import signal
from dataclasses import asdict
from dataclasses import replace
from pathlib import Path

import click
import trio

from acaciasaddle.emulator._load import LoadRunner
from acaciasaddle.emulator._workload import read_workload
from acaciasaddle.errors import ConfigError


@click.command()
@click.argument("workload", type=click.Path(path_type=Path))
@click.option(
    "--target",
    "targets",
    multiple=True,
    required=True,
    help="Caller address of an entry host, ip:port. May be repeated.",
)
@click.option("--seed", type=int, help="Overrides the seed in the workload file.")
@click.option(
    "--duration-s",
    type=click.FloatRange(min=0, min_open=True),
    help="Overrides the duration in the workload file.",
)
@click.option(
    "--record",
    type=click.Path(path_type=Path, dir_okay=False, writable=True),
    help="File for the outcomes of each idempotency key, as JSON lines.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the results as JSON.")
def load(
    workload: Path,
    targets: tuple[str, ...],
    seed: int | None,
    duration_s: float | None,
    record: Path | None,
    as_json: bool,
) -> None:
    """Send an open-loop WORKLOAD to entry hosts and print the results by rank and kind.

    On SIGTERM or SIGINT no further requests are started. The results are printed once those in
    flight have ended, at most drain_s seconds later.

    \b
    Example:
      acaciasaddle-emulator load utility.json5 --target 127.0.0.1:8001 --target 127.0.0.1:8002
    \b
    Example of a workload file:
      {
        duration_s: 10, seed: 1, repeats: 2,
        keys: {count: 1000, distribution: "zipf", hot: [{key: "k7", share: 0.2}]},
        kinds: [
          {name: "lookup", path: "/bookings/{key}", rate: 50, rank: "urgent", target_ms: 100},
          // Runs at most once; repeats have the same idempotency key.
          {name: "deposit", method: "POST", path: "/bookings/{key}/deposit", rate: 5,
           rank: "urgent", target_ms: 200, once: true, body_bytes: 200},
        ],
      }
    """
    try:
        plan = read_workload(workload)
    except ConfigError as exc:
        raise click.ClickException(str(exc)) from None
    if seed is not None:
        plan = replace(plan, seed=seed)
    if duration_s is not None:
        plan = replace(plan, duration_s=duration_s)
    runner = LoadRunner(workload=plan, addresses=targets)
    trio.run(_run, runner)
    if record is not None:
        lines = (json.dumps(asdict(item)) for item in runner.records)
        record.write_text("".join(f"{line}\n" for line in lines), encoding="utf-8")
    click.echo(json.dumps(runner.results.to_json()) if as_json else runner.results.table())


async def _run(runner: LoadRunner) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:

            async def stop_on_signal() -> None:
                async for _ in signals:
                    runner.stop()

            nursery.start_soon(stop_on_signal)
            await runner.run()
            nursery.cancel_scope.cancel()

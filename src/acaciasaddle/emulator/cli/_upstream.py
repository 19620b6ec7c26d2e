"""Subcommand ``upstream``."""

from __future__ import annotations

from pathlib import Path

import click
import trio

from acaciasaddle.emulator._journal import FileJournal
from acaciasaddle.emulator._journal import NullJournal
from acaciasaddle.emulator._serve import run_server
from acaciasaddle.emulator._upstream_app import UpstreamApp
from acaciasaddle.emulator._upstream_model import UpstreamModel
from acaciasaddle.emulator._upstream_types import UpstreamSettings

MILLISECONDS = click.FloatRange(min=0)
DRAIN_LIMIT_S = 10.0


@click.command()
@click.option("--name", required=True, help="Name of the upstream in responses and records.")
@click.option(
    "--address", default="127.0.0.1:0", show_default=True, help="ip:port; port 0 is any free port."
)
@click.option("--slots", type=click.IntRange(min=1), default=2, show_default=True)
@click.option("--queue", type=click.IntRange(min=0), default=2, show_default=True)
@click.option("--connections", type=click.IntRange(min=1), default=130, show_default=True)
@click.option("--work-ms", type=MILLISECONDS, default=5.0, show_default=True)
@click.option("--connect-ms", type=MILLISECONDS, default=0.0, show_default=True)
@click.option("--cold-ms", type=MILLISECONDS, default=0.0, show_default=True)
@click.option("--cold-factor", type=click.FloatRange(min=1), default=3.0, show_default=True)
@click.option("--lag-ms", type=MILLISECONDS, default=1000.0, show_default=True)
@click.option("--leave-grace-ms", type=MILLISECONDS, default=2000.0, show_default=True)
@click.option(
    "--journal",
    type=click.Path(path_type=Path, dir_okay=False, writable=True),
    help="File to which the record is appended; it survives a kill of the process.",
)
@click.option("--checks-orders/--obeys-anyone", default=True, show_default=True)
def upstream(
    name: str,
    address: str,
    slots: int,
    queue: int,
    connections: int,
    work_ms: float,
    connect_ms: float,
    cold_ms: float,
    cold_factor: float,
    lag_ms: float,
    leave_grace_ms: float,
    journal: Path | None,
    checks_orders: bool,
) -> None:
    """Run a stand-in for an upstream.

    Prints {"ready": "ip:port"} once it listens. On SIGTERM or SIGINT it refuses new work, waits
    up to 10 s for the work in progress, and exits.

    \b
    Example:
      acaciasaddle-emulator upstream --name b1 --address 127.0.0.1:7101 --slots 2 --work-ms 8
      curl -d '{"freeze_ms": 3000}' http://127.0.0.1:7101/faults
    """
    settings = UpstreamSettings(
        name=name,
        checks_orders=checks_orders,
        slots=slots,
        queue=queue,
        work_ms=work_ms,
        cold_ms=cold_ms,
        cold_factor=cold_factor,
        lag_ms=lag_ms,
        leave_grace_ms=leave_grace_ms,
        connections=connections,
        connect_ms=connect_ms,
    )
    trio.run(_run, settings, address, journal)


async def _run(settings: UpstreamSettings, address: str, path: Path | None) -> None:
    journal = FileJournal(path=path) if path is not None else NullJournal()
    model = UpstreamModel(settings=settings, journal=journal)

    async def drain() -> None:
        model.faults.leave_grace_ms = 0.0
        model.leave()
        with trio.move_on_after(DRAIN_LIMIT_S):
            await model.wait_idle()

    try:
        await run_server(UpstreamApp(model=model), address, before_stop=drain)
    finally:
        journal.close()

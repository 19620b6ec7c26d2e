"""Subcommand ``soak``, and the subcommands of the stand-ins that it starts."""

from __future__ import annotations

import tempfile
from pathlib import Path

import click
import msgspec
import trio

from acaciasaddle.emulator._fleet import FleetError
from acaciasaddle.emulator._serve import run_server
from acaciasaddle.emulator.soak import DEADLINE_S
from acaciasaddle.emulator.soak import RecordFile
from acaciasaddle.emulator.soak import SoakOptions
from acaciasaddle.emulator.soak import run_soak
from acaciasaddle.errors import leaf_exceptions
from acaciasaddle.platform.standins import StoreApp
from acaciasaddle.platform.standins import UpstreamApp
from acaciasaddle.platform.standins import UpstreamSettings

DEFAULT_ADDRESS = "127.0.0.1:0"


@click.command()
@click.option("--seed", type=int, default=1, show_default=True, help="First seed.")
@click.option("--seeds", type=click.IntRange(min=1), default=1, help="Number of seeds to run.")
@click.option("--hosts", type=click.IntRange(1, 40), default=4, show_default=True)
@click.option("--upstreams", type=click.IntRange(1, 100), default=6, show_default=True)
@click.option("--callers", type=click.IntRange(1, 100), default=8, show_default=True)
@click.option("--faults", type=click.IntRange(min=0), default=10, show_default=True)
@click.option(
    "--within",
    type=click.FloatRange(min=1),
    default=12.0,
    help="Seconds in which faults begin, except those that follow another of the same target.",
)
@click.option("--stops", is_flag=True, help="Let all faults be planned stops of hosts.")
@click.option(
    "--routes",
    type=click.IntRange(0, 50_000),
    default=0,
    help="Let the operator write configurations with this many routes more and other idle limits "
    "until the faults have ended, and planned stops come with SIGHUPs.",
)
@click.option(
    "--resting-callers",
    type=click.IntRange(0, 500),
    default=0,
    help="Callers besides the others that let their connections rest for up to four fifths of the "
    "idle limit.",
)
@click.option(
    "--open-upstreams",
    type=click.IntRange(0, 100),
    default=0,
    help="Upstreams of a service without keys, which half of the requests go to.",
)
@click.option(
    "--restores",
    type=click.IntRange(0, 10),
    default=0,
    help="Times that the store is away and comes back from a copy that is 0.5 to 8 s old.",
)
@click.option(
    "--slow-share",
    type=click.FloatRange(0, 1),
    default=0.0,
    help="Share of the runs that take 0.5 to 2.5 s instead of about 20 ms.",
)
@click.option(
    "--pause-share",
    type=click.FloatRange(0, 1),
    default=0.0,
    help="Share of the requests that upstreams turn away, asking the host to wait 1 to 2.5 s.",
)
@click.option(
    "--quiet-leave",
    type=click.FloatRange(min=0),
    default=0.0,
    help="Seconds for which upstreams that leave say so in answers before they report it.",
)
@click.option("--slots", type=click.IntRange(min=1), default=2, help="Slots of each upstream.")
@click.option(
    "--deadline",
    type=click.FloatRange(min=0.1),
    default=DEADLINE_S,
    show_default=True,
    help="Deadline of the callers' requests in seconds.",
)
@click.option(
    "--directory",
    type=click.Path(path_type=Path, file_okay=False),
    help="Keep settings, logs and records here, in one subdirectory per seed.",
)
def soak(
    seed: int,
    seeds: int,
    hosts: int,
    upstreams: int,
    callers: int,
    faults: int,
    within: float,
    stops: bool,
    routes: int,
    resting_callers: int,
    open_upstreams: int,
    restores: int,
    slow_share: float,
    pause_share: float,
    quiet_leave: float,
    slots: int,
    deadline: float,
    directory: Path | None,
) -> None:
    """Run nodes, a store and upstreams under faults drawn from a seed.

    Exits with 1 if a promise was broken or if a run was not completed, as when a process does not
    start. SIGTERM and SIGINT end the run and all processes that were started.

    \b
    Example:
      acaciasaddle-emulator soak --seed 1 --seeds 50 --directory /tmp/soak
    """
    failed_seeds = []
    for current_seed in range(seed, seed + seeds):
        options = SoakOptions(
            seed=current_seed,
            hosts=hosts,
            upstreams=upstreams,
            callers=callers,
            faults=faults,
            fault_window_s=within,
            only_stops=stops,
            routes=routes,
            resting_callers=resting_callers,
            open_upstreams=open_upstreams,
            restores=restores,
            slow_share=slow_share,
            slots=slots,
            pause_share=pause_share,
            quiet_leave_s=quiet_leave,
            deadline_s=deadline,
        )
        if not _run_one(options, directory):
            failed_seeds.append(current_seed)
    click.echo(
        f"{seeds - len(failed_seeds)} seeds kept all promises, failed: {failed_seeds or 'none'}"
    )
    if failed_seeds:
        raise SystemExit(1)


def _run_one(options: SoakOptions, directory: Path | None) -> bool:
    with tempfile.TemporaryDirectory() as temporary:
        path = directory / str(options.seed) if directory is not None else Path(temporary)
        path.mkdir(parents=True, exist_ok=True)
        try:
            result = trio.run(run_soak, options, path)
        except* FleetError as group:
            messages = "; ".join(str(exc) for exc in leaf_exceptions(group))
            raise click.ClickException(f"seed {options.seed}: {messages}") from None
    click.echo(f"seed {options.seed}: attempts {dict(sorted(result.outcomes.items()))}")
    for number, summary in enumerate(result.restores, 1):
        click.echo(f"seed {options.seed}: restore {number}: {summary}")
    for finding in result.findings:
        click.echo(f"seed {options.seed}: {finding.rule}: {finding.detail}")
    return not result.findings


@click.command("users-store")
@click.option(
    "--address",
    default=DEFAULT_ADDRESS,
    show_default=True,
    help="ip:port; port 0 is any free port.",
)
@click.option("--no-era", is_flag=True, help="Send no Store-Era.")
def users_store(address: str, no_era: bool) -> None:
    """Run a stand-in for the users' store.

    Prints {"ready": "ip:port"} once it listens.
    """

    async def main() -> None:
        app = StoreApp(sends_era=not no_era)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(app.expire_entries)
            nursery.start_soon(app.keep_copies)
            await run_server(app, address)
            nursery.cancel_scope.cancel()

    trio.run(main)


@click.command("users-upstream")
@click.argument("settings", type=click.Path(path_type=Path, exists=True))
@click.option("--records", type=click.Path(path_type=Path), required=True)
@click.option(
    "--address",
    default=DEFAULT_ADDRESS,
    show_default=True,
    help="ip:port; port 0 is any free port.",
)
def users_upstream(settings: Path, records: Path, address: str) -> None:
    """Run a stand-in for an upstream on the users' platform.

    Prints {"ready": "ip:port"} once it listens. On SIGTERM or SIGINT it reports that it is
    draining, serves for the drain_s seconds of its settings, removes its entry from the store and
    exits.
    """

    async def main() -> None:
        app = UpstreamApp(
            settings=msgspec.json.decode(settings.read_bytes(), type=UpstreamSettings),
            records=RecordFile(path=records),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(app.report)
            nursery.start_soon(app.track_pauses)
            await run_server(app, address, before_stop=app.drain)
            nursery.cancel_scope.cancel()

    trio.run(main)

"""Subcommand ``platform``."""

from __future__ import annotations

from functools import partial

import click
import trio

from acaciasaddle.emulator._platform_app import PlatformApp
from acaciasaddle.emulator._serve import run_server


@click.command()
@click.option(
    "--address", default="127.0.0.1:0", show_default=True, help="ip:port; port 0 is any free port."
)
@click.option("--hosts-lag-ms", type=click.FloatRange(min=0), default=0.0, show_default=True)
def platform(address: str, hosts_lag_ms: float) -> None:
    """Run a stand-in for the platform: table, objects and host list.

    Prints {"ready": "ip:port"} once it listens.

    \b
    Example:
      acaciasaddle-emulator platform --address 127.0.0.1:7000
      curl -d '{"store": "down"}' http://127.0.0.1:7000/faults
    """
    app = PlatformApp(hosts_lag_ms=hosts_lag_ms)
    trio.run(partial(run_server, app, address))

"""Command group ``acaciasaddle-emulator``."""

from __future__ import annotations

import click

from acaciasaddle.emulator.cli._demo import demo
from acaciasaddle.emulator.cli._load import load
from acaciasaddle.emulator.cli._platform import platform
from acaciasaddle.emulator.cli._soak import soak
from acaciasaddle.emulator.cli._soak import users_store
from acaciasaddle.emulator.cli._soak import users_upstream
from acaciasaddle.emulator.cli._upstream import upstream
from acaciasaddle.observe import configure_logging


@click.group()
@click.option("--log-level", type=click.Choice(["debug", "info", "warning"]), default="info")
@click.option("--log-json", is_flag=True, help="Write log lines as JSON objects.")
def main(log_level: str, log_json: bool) -> None:
    """Stand-ins for the external systems, a load tool, a demonstration and a soak test."""
    configure_logging(level=log_level, json=log_json)


main.add_command(platform)
main.add_command(upstream)
main.add_command(load)
main.add_command(demo)
main.add_command(soak)
main.add_command(users_store)
main.add_command(users_upstream)

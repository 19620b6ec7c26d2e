"""``acaciasaddle run``."""

from __future__ import annotations

import importlib

import click

from acaciasaddle.cli._common import ExitCode
from acaciasaddle.cli._common import json_option
from acaciasaddle.config import load_settings


@click.command(epilog="Example: acaciasaddle run --settings /etc/acaciasaddle/host.json")
@click.option(
    "--settings", "settings_path", type=click.Path(), required=True, help="Settings file."
)
@json_option
@click.pass_context
def run(ctx: click.Context, settings_path: str, as_json: bool) -> None:
    """Run an entry host until it gets SIGTERM or SIGINT.

    --json concerns errors at start; the format of the log is in the settings.
    """
    settings = load_settings(settings_path)
    # Imported here, since the other subcommands do not need the server's libraries.
    entry = importlib.import_module("acaciasaddle.entry")
    try:
        entry.run_entry_host(settings)
    except OSError as exc:
        click.echo(f"Error: {exc}", err=True)
        ctx.exit(ExitCode.FAILED)

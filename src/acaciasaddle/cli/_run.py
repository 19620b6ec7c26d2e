"""``acaciasaddle run``."""

from __future__ import annotations

import click

from acaciasaddle.cli._common import ExitCode
from acaciasaddle.cli._common import json_option
from acaciasaddle.config import load_settings
from acaciasaddle.errors import leaf_exceptions


@click.command(epilog="Example: acaciasaddle run /etc/acaciasaddle/host.json")
@click.argument("settings_path", metavar="SETTINGS", type=click.Path())
@json_option
@click.pass_context
def run(ctx: click.Context, settings_path: str, as_json: bool) -> None:
    """Run an entry host with the SETTINGS file until it gets SIGTERM or SIGINT.

    --json applies to errors in the settings; the log format is part of the settings.
    """
    settings = load_settings(settings_path)
    # Imported here to spare the other subcommands the import of the server's libraries.
    from acaciasaddle.entry import run_entry_host

    failed = False
    try:
        run_entry_host(settings)
    except* OSError as group:
        failed = True
        for exc in leaf_exceptions(group):
            click.echo(
                f"Error: {exc} (run, callers {settings.caller_address}, "
                f"peers {settings.peer_address}, operator {settings.operator_address})",
                err=True,
            )
    if failed:
        ctx.exit(ExitCode.FAILED)

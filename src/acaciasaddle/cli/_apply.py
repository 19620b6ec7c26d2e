"""``acaciasaddle apply``."""

from __future__ import annotations

import json

import click

from acaciasaddle.cli._common import ExitCode
from acaciasaddle.cli._common import client
from acaciasaddle.cli._common import configuration_options
from acaciasaddle.cli._common import host_option
from acaciasaddle.cli._common import json_option
from acaciasaddle.cli._common import read_change
from acaciasaddle.cli._progress import DEFAULT_WAIT_S
from acaciasaddle.cli._progress import show_progress
from acaciasaddle.cli._progress import wait_option


@click.command(
    epilog="Example: acaciasaddle apply --host 127.0.0.1:9000 --inventory inventory.json "
    "--rules rules.json --expect-version 12 --wait 9"
)
@host_option
@configuration_options
@click.option(
    "--change-id", help="Identifier of a change whose outcome is unknown, to send it again."
)
@wait_option(DEFAULT_WAIT_S)
@json_option
@click.pass_context
def apply(
    ctx: click.Context,
    hosts: tuple[str, ...],
    inventory_path: str,
    rules_path: str,
    author: str | None,
    expect_version: int | None,
    change_id: str | None,
    wait_s: float,
    as_json: bool,
) -> None:
    """Apply a change and show its progress on each host.

    Once accepted, a change comes into force on all hosts, whether or not the command waits.
    """
    change = read_change(
        inventory_path=inventory_path,
        rules_path=rules_path,
        author=author,
        expect_version=expect_version,
        change_id=change_id,
    )
    operator_client = client(ctx, hosts)
    click.echo(f"Applying change {change.change_id}.", err=True)
    try:
        accepted = operator_client.apply(change)
    except KeyboardInterrupt:
        click.echo(
            "Interrupted; the change may or may not have been applied. "
            f"To find out, repeat with --change-id {change.change_id}.",
            err=True,
        )
        ctx.exit(ExitCode.NOT_CONFIRMED)
    if not as_json:
        click.echo(f"Accepted as version {accepted.version}.")
    result = {"change_id": change.change_id, "version": accepted.version, "accepted": True}
    try:
        progress = show_progress(operator_client, accepted.version, wait_s, quiet=as_json)
    except KeyboardInterrupt:
        click.echo(f"Interrupted; the change is accepted as version {accepted.version}.", err=True)
        ctx.exit(ExitCode.NOT_CONFIRMED)
    if as_json:
        click.echo(json.dumps(result | progress.to_json()))
    ctx.exit(progress.exit_code)

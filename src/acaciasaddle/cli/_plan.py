"""``acaciasaddle plan``."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import click

from acaciasaddle.cli._common import client
from acaciasaddle.cli._common import configuration_options
from acaciasaddle.cli._common import host_option
from acaciasaddle.cli._common import json_option
from acaciasaddle.cli._common import read_change

if TYPE_CHECKING:
    from collections.abc import Iterator

    from acaciasaddle.plan import Change
    from acaciasaddle.plan import Plan

_SIGNS = {"added": "+", "removed": "-", "changed": "~"}


@click.command(
    epilog="Example: acaciasaddle plan --host 127.0.0.1:9000 --inventory inventory.json "
    "--rules rules.json"
)
@host_option
@configuration_options
@json_option
@click.pass_context
def plan(
    ctx: click.Context,
    hosts: tuple[str, ...],
    inventory_path: str,
    rules_path: str,
    author: str | None,
    expect_version: int | None,
    as_json: bool,
) -> None:
    """Show the effects of a change without applying it."""
    change = read_change(
        inventory_path=inventory_path,
        rules_path=rules_path,
        author=author,
        expect_version=expect_version,
    )
    result = client(ctx, hosts).plan(change)
    if as_json:
        click.echo(json.dumps(result.to_json()))
        return
    for line in plan_lines(result):
        click.echo(line)


def plan_lines(result: Plan) -> Iterator[str]:
    """Yield the output lines for a plan."""
    yield f"Changes to version {result.version}:" if result.changes else "No changes."
    for change in result.changes:
        yield from _change_lines(change)
    if result.emptied:
        yield f"Upstreams that lose all units: {', '.join(result.emptied)}"
    if result.moved_share:
        yield f"Units that move (estimate): {result.moved_share:.1%}"
        for group in result.moves:
            if group.share:
                yield f"  {group.service}/{group.group}: {group.share:.1%} of {group.units}"
    for warning in result.warnings:
        yield f"Warning: {warning}"


def _change_lines(change: Change) -> Iterator[str]:
    yield f"  {_SIGNS[change.action]} {change.subject} {change.name}"
    for field in change.fields:
        yield f"      {field.field}: {json.dumps(field.before)} -> {json.dumps(field.after)}"

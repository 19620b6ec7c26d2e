"""``acaciasaddle status``."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import click

from acaciasaddle.cli._common import client
from acaciasaddle.cli._common import host_option
from acaciasaddle.cli._common import json_option
from acaciasaddle.operator_api import to_json

if TYPE_CHECKING:
    from collections.abc import Iterator

    from acaciasaddle.operator_api import Status

_COLUMNS = ("upstream", "state", "holder", "successor", "term", "units", "busy", "queued")


@click.command(epilog="Example: acaciasaddle status --host 127.0.0.1:9000")
@host_option
@json_option
@click.pass_context
def status(ctx: click.Context, hosts: tuple[str, ...], as_json: bool) -> None:
    """Show the state of an entry host and of the upstreams as known to it."""
    result = client(ctx, hosts).status()
    if as_json:
        click.echo(json.dumps(to_json(result)))
        return
    for line in status_lines(result):
        click.echo(line)


def status_lines(result: Status) -> Iterator[str]:
    """Yield the output lines for a status."""
    yield f"host: {result.host} ({result.member})"
    yield f"data centre: {result.data_centre}"
    yield f"ready: {'yes' if result.ready else 'no'}"
    yield f"store: {result.store}"
    yield f"configuration: version {result.config_version}"
    for peer in result.peers:
        yield f"peer: {peer if isinstance(peer, str) else json.dumps(peer)}"
    table = [_COLUMNS] + [
        tuple(_format_cell(getattr(upstream, column)) for column in _COLUMNS)
        for upstream in result.upstreams
    ]
    widths = [max(len(row[index]) for row in table) for index in range(len(_COLUMNS))]
    for row in table:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        yield "  ".join(cells).rstrip()


def _format_cell(value: str | float | None) -> str:
    if value is None or value == "":
        return "-"
    return f"{value:g}" if isinstance(value, float) else str(value)

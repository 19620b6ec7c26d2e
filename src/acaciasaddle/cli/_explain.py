"""``acaciasaddle explain key`` and ``acaciasaddle explain request``."""

from __future__ import annotations

import json
from typing import Any

import click

from acaciasaddle.cli._common import client
from acaciasaddle.cli._common import host_option
from acaciasaddle.cli._common import json_option
from acaciasaddle.operator_api import to_json


@click.group(epilog="Example: acaciasaddle explain key --host 127.0.0.1:9000 bookings couple-17")
def explain() -> None:
    """Explain who owns a key, or what became of a request."""


@explain.command(
    "key", epilog="Example: acaciasaddle explain key --host 127.0.0.1:9000 bookings couple-17"
)
@host_option
@click.argument("service")
@click.argument("key")
@json_option
@click.pass_context
def explain_key(
    ctx: click.Context, hosts: tuple[str, ...], service: str, key: str, as_json: bool
) -> None:
    """Show the unit, owner and holder of KEY of SERVICE, and why."""
    _show(to_json(client(ctx, hosts).explain_key(service, key)), as_json=as_json)


@explain.command(
    "request",
    epilog="Example: acaciasaddle explain request --host 127.0.0.1:9000 "
    "entry-01-0f8c2d4e6a1b4c3d8e5f7a9b0c1d2e3f",
)
@host_option
@click.argument("request_id")
@json_option
@click.pass_context
def explain_request(
    ctx: click.Context, hosts: tuple[str, ...], request_id: str, as_json: bool
) -> None:
    """Show the steps of the request REQUEST_ID.

    Only the host where it entered knows them; REQUEST_ID begins with the id of that host.
    """
    _show(client(ctx, hosts).explain_request(request_id), as_json=as_json)


def _show(content: dict[str, Any], *, as_json: bool) -> None:
    if as_json:
        click.echo(json.dumps(content))
        return
    for name, value in content.items():
        label = name.replace("_", " ")
        if isinstance(value, list):
            click.echo(f"{label}:")
            for entry in value:
                parts = entry.values() if isinstance(entry, dict) else [entry]
                click.echo(f"  {'  '.join(_text(part) for part in parts)}")
        else:
            click.echo(f"{label}: {_text(value)}")


def _text(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value)

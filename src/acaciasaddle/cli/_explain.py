"""``acaciasaddle explain key`` and ``acaciasaddle explain request``."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import click

from acaciasaddle.cli._common import client
from acaciasaddle.cli._common import host_option
from acaciasaddle.cli._common import json_option
from acaciasaddle.cli._common import optional_host_option
from acaciasaddle.explain import explain_from_logs
from acaciasaddle.explain import read_logs
from acaciasaddle.operator_api import to_json

if TYPE_CHECKING:
    from acaciasaddle.explain import LogLine
    from acaciasaddle.explain import RequestExplanation


@click.group(epilog="Example: acaciasaddle explain key --host 127.0.0.1:9000 bookings couple-17")
def explain() -> None:
    """Explain who owns a key, or how a request was processed."""


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
    "entry-01-0f8c2d4e6a1b4c3d8e5f7a9b0c1d2e3f, or from logs: "
    "acaciasaddle explain request 00d58cb5317519c6 --logs node-1.log --logs node-2.log",
)
@optional_host_option
@click.option(
    "--logs",
    "log_paths",
    multiple=True,
    type=click.Path(exists=True, dir_okay=False),
    help="Log of a routing node; may be given several times, in any order.",
)
@click.argument("request_id")
@json_option
@click.pass_context
def explain_request(
    ctx: click.Context,
    hosts: tuple[str, ...],
    log_paths: tuple[str, ...],
    request_id: str,
    as_json: bool,
) -> None:
    """Show the steps of the request REQUEST_ID.

    With --logs, they are read from these logs of routing nodes. Otherwise they come from the host
    that the request entered, since no other host has them; REQUEST_ID then begins with the id of
    that host.
    """
    if not log_paths:
        if not hosts:
            raise click.UsageError("Give --host or --logs.")
        _show(client(ctx, hosts).explain_request(request_id), as_json=as_json)
        return
    lines, unreadable = read_logs(log_paths)
    explanation = explain_from_logs(request_id, lines)
    if not explanation.steps:
        raise click.ClickException(
            f"no line of request {request_id!r} in {len(lines)} lines (and {unreadable} unreadable)"
        )
    _show(_explanation_content(explanation, unreadable), as_json=as_json)


def _explanation_content(explanation: RequestExplanation, unreadable: int) -> dict[str, Any]:
    outcome = explanation.outcome
    fields: dict[str, Any] = (
        dict(outcome.fields) if outcome else {"reason": "no outcome was logged"}
    )
    restore = explanation.restore
    if restore is not None:
        seconds = explanation.steps[-1].at - restore.at
        fields["possible cause"] = (
            f"the store came back from an older copy {seconds:.1f} s before "
            f"(era {restore.fields.get('era')})"
        )
    return {
        **fields,
        "steps": [_format_line(line) for line in explanation.steps],
        "latest move of the key": [_format_line(line) for line in explanation.move],
        "about the upstream": [_format_line(line) for line in explanation.upstream],
        "dependencies of the host": [_format_line(line) for line in explanation.dependencies],
        "unreadable lines": unreadable,
    }


def _format_line(line: LogLine) -> str:
    fields = " ".join(f"{name}={_format_value(value)}" for name, value in line.fields.items())
    return f"{line.at:.3f} {line.host} {line.event} {fields}"


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
                click.echo(f"  {'  '.join(_format_value(part) for part in parts)}")
        else:
            click.echo(f"{label}: {_format_value(value)}")


def _format_value(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value)

"""Options, output and exit codes shared by the subcommands."""

from __future__ import annotations

import getpass
import ipaddress
import json
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

import click
import httpcore

from acaciasaddle.config import load_config
from acaciasaddle.config import to_json
from acaciasaddle.errors import ConfigError
from acaciasaddle.errors import Outcome
from acaciasaddle.operator_api import ChangeConflictError
from acaciasaddle.operator_api import ChangeNotConfirmedError
from acaciasaddle.operator_api import ChangeRequest
from acaciasaddle.operator_api import OperatorClient

if TYPE_CHECKING:
    from acaciasaddle.errors import AcaciasaddleError

F = TypeVar("F", bound=Callable[..., Any])


class ExitCode(IntEnum):
    """Exit codes of all subcommands."""

    DONE = 0
    FAILED = 1
    INVALID_INPUT = 2
    CONFLICT = 3
    NOT_CONFIRMED = 4


EXIT_CODES_HELP = (
    "Exit codes: 0 done; 1 failed; 2 invalid input, nothing started or applied; 3 another change "
    "came first, nothing applied; 4 outcome unknown, or not in force everywhere in time."
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Environment:
    """Network and clock that the subcommands use. Tests replace them."""

    network: httpcore.NetworkBackend | None = None
    now: Callable[[], float] = time.monotonic
    sleep: Callable[[float], None] = time.sleep


def _validate_addresses(
    ctx: click.Context, param: click.Parameter, value: tuple[str, ...]
) -> tuple[str, ...]:
    for address in value:
        host, _, port = address.rpartition(":")
        try:
            ipaddress.ip_address(host.strip("[]"))
        except ValueError:
            raise click.BadParameter(f"{address!r} is not ip:port with an IP address.") from None
        if not (port.isascii() and port.isdigit() and 1 <= int(port) <= 65_535):
            raise click.BadParameter(f"{address!r} has no port from 1 to 65535.")
    return value


def json_option(func: F) -> F:
    """Add the option ``--json``."""
    return click.option("--json", "as_json", is_flag=True, help="Print JSON.")(func)


def host_option(func: F) -> F:
    """Add the required option ``--host``."""
    return _host_option(required=True)(func)


def optional_host_option(func: F) -> F:
    """Add the option ``--host`` without requiring it."""
    return _host_option(required=False)(func)


def _host_option(*, required: bool) -> Callable[[F], F]:
    return click.option(
        "--host",
        "hosts",
        metavar="IP:PORT",
        multiple=True,
        callback=_validate_addresses,
        required=required,
        envvar="ACACIASADDLE_HOST",
        help="Operator address of an entry host. If given several times, they are tried in turn.",
    )


def configuration_options(func: F) -> F:
    """Add the options that describe a change: its files, author and expected version."""
    for option in (
        click.option(
            "--author", default=None, help="Author of the change; default: the current user."
        ),
        click.option(
            "--expect-version",
            type=click.IntRange(min=0),
            default=None,
            help="Apply the change only if this version is in force.",
        ),
        click.option("--rules", "rules_path", type=click.Path(), required=True, help="Rules file."),
        click.option(
            "--inventory",
            "inventory_path",
            type=click.Path(),
            required=True,
            help="Inventory file.",
        ),
    ):
        func = option(func)
    return func


def client(ctx: click.Context, hosts: tuple[str, ...]) -> OperatorClient:
    """Return a client of the operator API."""
    env = environment(ctx)
    return OperatorClient(hosts=hosts, network=env.network, now=env.now, sleep=env.sleep)


def environment(ctx: click.Context) -> Environment:
    """Return the environment of a subcommand, created when first needed."""
    return ctx.ensure_object(Environment)


def read_change(
    *,
    inventory_path: str,
    rules_path: str,
    author: str | None,
    expect_version: int | None,
    change_id: str | None = None,
) -> ChangeRequest:
    """Return the change that the files describe. Raises ``ConfigError`` if they are not valid."""
    inventory, rules = load_config(Path(inventory_path), Path(rules_path))
    return ChangeRequest(
        inventory=to_json(inventory),
        rules=to_json(rules),
        author=author or _user_name(),
        change_id=change_id or str(uuid.uuid4()),
        expected_version=expect_version,
    )


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def report_error(exc: AcaciasaddleError, *, as_json: bool) -> ExitCode:
    """Print an error and return its exit code."""
    problems = exc.problems if isinstance(exc, ConfigError) else ()
    if as_json:
        content = {"error": exc.message, "step": exc.step, "peer": exc.peer}
        if problems:
            content["problems"] = list(problems)  # type: ignore[assignment]
        click.echo(json.dumps(content))
    else:
        for problem in problems:
            click.echo(problem, err=True)
        click.echo(f"Error: {exc}", err=True)
    if isinstance(exc, ConfigError):
        return ExitCode.INVALID_INPUT
    if isinstance(exc, ChangeConflictError):
        return ExitCode.CONFLICT
    if isinstance(exc, ChangeNotConfirmedError) and exc.outcome is not Outcome.NOT_RUN:
        return ExitCode.NOT_CONFIRMED
    return ExitCode.FAILED

"""The command ``acaciasaddle`` with its subcommands."""

from __future__ import annotations

from typing import Any

import click

from acaciasaddle.cli._apply import apply
from acaciasaddle.cli._check import check
from acaciasaddle.cli._common import EXIT_CODES_HELP
from acaciasaddle.cli._common import report_error
from acaciasaddle.cli._explain import explain
from acaciasaddle.cli._plan import plan
from acaciasaddle.cli._progress import progress
from acaciasaddle.cli._run import run
from acaciasaddle.cli._status import status
from acaciasaddle.errors import AcaciasaddleError


class PlainErrorsGroup(click.Group):
    """Prints the errors of subcommands without a traceback and sets the exit code."""

    def invoke(self, ctx: click.Context) -> Any:
        try:
            return super().invoke(ctx)
        except AcaciasaddleError as exc:
            ctx.exit(report_error(exc, as_json="--json" in ctx.meta.get("arguments", ())))

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        ctx.meta["arguments"] = tuple(args)
        return super().parse_args(ctx, args)


@click.group(cls=PlainErrorsGroup, epilog=EXIT_CODES_HELP)
@click.version_option(package_name="acaciasaddle")
def main() -> None:
    """Run and operate entry hosts of acaciasaddle.

    Example: acaciasaddle check --inventory inventory.json --rules rules.json
    """


for command in (run, check, plan, apply, progress, status, explain):
    main.add_command(command)

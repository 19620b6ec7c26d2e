"""``acaciasaddle check``."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import TypeVar

import click

from acaciasaddle import config
from acaciasaddle.cli._common import json_option
from acaciasaddle.errors import ConfigError

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")


@click.command(
    epilog="Example: acaciasaddle check --inventory inventory.json --rules rules.json "
    "--settings host.json"
)
@click.option("--settings", "settings_path", type=click.Path(), help="Settings file.")
@click.option("--inventory", "inventory_path", type=click.Path(), help="Inventory file.")
@click.option("--rules", "rules_path", type=click.Path(), help="Rules file.")
@json_option
def check(
    settings_path: str | None, inventory_path: str | None, rules_path: str | None, as_json: bool
) -> None:
    """Check files locally, without contacting any host.

    Files given together are checked against each other.
    """
    paths = [path for path in (settings_path, inventory_path, rules_path) if path]
    if not paths:
        raise click.UsageError("Give at least one of --settings, --inventory and --rules.")
    problems: list[str] = []
    settings = _load_or_add_problems(config.load_settings, settings_path, problems)
    if inventory_path and rules_path:
        try:
            inventory: config.Inventory | None = config.load_config(inventory_path, rules_path)[0]
        except ConfigError as exc:
            problems += exc.problems
            inventory = None
    else:
        inventory = _load_or_add_problems(config.load_inventory, inventory_path, problems)
        _load_or_add_problems(config.load_rules, rules_path, problems)
    if settings and inventory:
        problems += config.settings_problems(settings, inventory, source=str(settings_path))
    if problems:
        raise ConfigError(
            "the files are not valid",
            problems=tuple(problems),
            step="config.check",
            peer=", ".join(paths),
        )
    if as_json:
        click.echo(json.dumps({"valid": True, "files": paths}))
        return
    click.echo(f"Valid: {', '.join(paths)}")


def _load_or_add_problems(
    load: Callable[[str], T], path: str | None, problems: list[str]
) -> T | None:
    if path is None:
        return None
    try:
        return load(path)
    except ConfigError as exc:
        problems += exc.problems
        return None

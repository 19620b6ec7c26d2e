"""Parsing of settings, inventory and rules. All findings are reported at once."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

import json5
from pydantic import TypeAdapter
from pydantic import ValidationError

from acaciasaddle.config import _check
from acaciasaddle.config._findings import from_pydantic
from acaciasaddle.config._types import Inventory
from acaciasaddle.config._types import Rules
from acaciasaddle.config._types import Settings
from acaciasaddle.errors import ConfigError
from acaciasaddle.json_comments import strip_comment_lines

if TYPE_CHECKING:
    import os

    from acaciasaddle.config._findings import Finding

T = TypeVar("T")

MAX_FILE_BYTES = 16 * 1024 * 1024
"""Maximum size of a file. An inventory of 1,000 upstreams takes about 150 KB."""

_ADAPTERS: dict[type, TypeAdapter[Any]] = {
    cls: TypeAdapter(cls) for cls in (Settings, Inventory, Rules)
}


def load_settings(path: str | os.PathLike[str]) -> Settings:
    """Read the settings of an entry host. Raises ``ConfigError``."""
    source = str(path)
    findings: list[Finding] = []
    settings = _parse(Settings, read_json(path), source, findings)
    return _checked(settings, findings, source)


def load_inventory(path: str | os.PathLike[str]) -> Inventory:
    """Read an inventory. Raises ``ConfigError``."""
    return parse_inventory(read_json(path), str(path))


def load_rules(path: str | os.PathLike[str]) -> Rules:
    """Read rules. References to the inventory are not checked. Raises ``ConfigError``."""
    return parse_rules(read_json(path), str(path))


def load_config(
    inventory_path: str | os.PathLike[str], rules_path: str | os.PathLike[str]
) -> tuple[Inventory, Rules]:
    """Read and check an inventory and rules together. Raises ``ConfigError``."""
    values: list[Any] = []
    problems: list[str] = []
    for path in (inventory_path, rules_path):
        try:
            values.append(read_json(path))
        except ConfigError as exc:
            problems += exc.problems
    if problems:
        raise _config_error(problems, f"{inventory_path}, {rules_path}")
    return parse_config(*values, inventory_source=str(inventory_path), rules_source=str(rules_path))


def parse_inventory(value: Any, source: str) -> Inventory:
    """Parse an inventory from a JSON object. Raises ``ConfigError``."""
    findings = _check.inventory_findings(value, source)
    inventory = _parse(Inventory, value, source, findings)
    return _checked(inventory, findings, source)


def parse_rules(value: Any, source: str) -> Rules:
    """Parse rules from a JSON object. Raises ``ConfigError``."""
    findings = _check.rules_findings(value, source)
    rules = _parse(Rules, value, source, findings)
    return _checked(rules, findings, source)


def parse_config(
    inventory: Any,
    rules: Any,
    *,
    inventory_source: str = "inventory",
    rules_source: str = "rules",
) -> tuple[Inventory, Rules]:
    """Parse and check an inventory and rules together, both JSON objects.

    Raises ``ConfigError`` with the findings about both and about references to the inventory.
    """
    findings: list[Finding] = []
    parsed_inventory = _parse(Inventory, inventory, inventory_source, findings)
    parsed_rules = _parse(Rules, rules, rules_source, findings)
    findings += _check.inventory_findings(inventory, inventory_source)
    findings += _check.rules_findings(rules, rules_source)
    findings += _check.reference_findings(inventory, rules, rules_source)
    source = f"{inventory_source}, {rules_source}"
    return _checked(parsed_inventory, findings, source), _checked(parsed_rules, findings, source)


def check_config(inventory: Inventory, rules: Rules, settings: Settings | None = None) -> None:
    """Check an inventory and rules together, and settings, if given, against the inventory.

    Raises ``ConfigError`` with all findings.
    """
    inventory_value, rules_value = to_json(inventory), to_json(rules)
    problems: list[str] = []
    try:
        parse_config(inventory_value, rules_value)
    except ConfigError as exc:
        problems += exc.problems
    if settings is not None:
        problems += settings_problems(settings, inventory)
    if problems:
        raise _config_error(problems, "configuration")


def settings_problems(
    settings: Settings, inventory: Inventory, *, source: str = "settings"
) -> tuple[str, ...]:
    """Return the texts of the findings about references from the settings to the inventory."""
    findings = _check.settings_findings(to_json(settings), to_json(inventory), source)
    return tuple(map(str, findings))


def to_json(value: Settings | Inventory | Rules) -> dict[str, Any]:
    """Return a value as a JSON object, without the fields that have their default value."""
    adapter = _ADAPTERS[type(value)]
    result: dict[str, Any] = adapter.dump_python(value, mode="json", exclude_defaults=True)
    return result


def read_json(path: str | os.PathLike[str]) -> Any:
    """Return the content of a JSON file with comments. Raises ``ConfigError``."""
    source = str(path)
    try:
        with Path(path).open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            raise _config_error([f"{source}: expected at most {MAX_FILE_BYTES} bytes"], source)
        text = data.decode("utf-8")
    except OSError as exc:
        raise _config_error([f"{source}: cannot be read: {exc.strerror}"], source) from exc
    except UnicodeDecodeError as exc:
        raise _config_error([f"{source}: not UTF-8 at byte {exc.start}"], source) from exc
    try:
        # json5 is written in Python and takes 80 ms for 60 upstreams. It parses only the few files
        # that are not plain JSON after their comment lines are removed.
        return json.loads(strip_comment_lines(text), object_pairs_hook=_reject_duplicate_fields)
    except ValueError:
        pass
    except RecursionError as exc:
        raise _config_error([f"{source}: nested too deeply"], source) from exc
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except ValueError as exc:
        reason = str(exc).removeprefix("<string>:")
        raise _config_error([f"{source}: not JSON with comments: {reason}"], source) from exc
    except RecursionError as exc:
        raise _config_error([f"{source}: nested too deeply"], source) from exc


def _reject_duplicate_fields(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result = dict(pairs)
    if len(result) < len(pairs):
        raise ValueError("duplicate field")
    return result


def _parse(cls: type[T], value: Any, source: str, findings: list[Finding]) -> T | None:
    """Return the parsed value, or add the findings about single fields and return ``None``."""
    try:
        # Strict mode accepts objects and arrays for data classes and tuples only in JSON text.
        parsed: T = _ADAPTERS[cls].validate_json(json.dumps(value))
        return parsed
    except ValidationError as exc:
        errors = exc.errors(include_url=False)
        findings += [from_pydantic(error, source=source, root=cls) for error in errors]
        return None


def _checked(value: T | None, findings: list[Finding], source: str) -> T:
    """Return the value, or raise ``ConfigError`` if there are findings."""
    if value is None or findings:
        ordered = sorted(findings, key=lambda finding: (finding.source, finding.sort_key))
        raise _config_error([str(finding) for finding in ordered], source)
    return value


def _config_error(problems: list[str], source: str) -> ConfigError:
    count = "1 problem" if len(problems) == 1 else f"{len(problems)} problems"
    unique = tuple(dict.fromkeys(problems))
    return ConfigError(
        f"the configuration is not valid: {count}",
        problems=unique,
        step="config.load",
        peer=source,
    )

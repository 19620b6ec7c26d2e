"""Findings about a configuration: the place, the value there and what was expected."""

from __future__ import annotations

import dataclasses
import difflib
import json
import re
import typing
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Collection

    from pydantic_core import ErrorDetails

Path = tuple[str | int, ...]
"""Field names and list indices from the root of a file to a value."""

MAX_VALUE_CHARS = 80
"""Longer values are truncated in messages."""

MAX_LISTED_NAMES = 20
"""Maximum number of valid names that a message lists."""

_PLAIN_FIELD = re.compile(r"[A-Za-z_][A-Za-z0-9_]*")


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """One fault of a configuration.

    ``problem`` replaces the statement that the value is not valid. ``suggestion`` is a similar
    valid value, or an empty string.
    """

    source: str
    path: Path
    expected: str
    value: Any = None
    problem: str = ""
    suggestion: str = ""

    @property
    def sort_key(self) -> tuple[tuple[bool, str | int], ...]:
        """Key that orders findings by path.

        Indices come before names, since an index and a name cannot be compared.
        """
        return tuple((isinstance(part, str), part) for part in self.path)

    def __str__(self) -> str:
        problem = self.problem or f"{_format_value(self.value)} is not valid"
        text = f"{self.source}: {format_path(self.path)}: {problem}; expected {self.expected}"
        return f'{text}; did you mean "{self.suggestion}"?' if self.suggestion else text


def format_path(path: Path) -> str:
    """Return a path as ``$.services[0].upstreams[3].slots``."""
    text = "$"
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        elif _PLAIN_FIELD.fullmatch(part):
            text += f".{part}"
        else:
            text += f"[{json.dumps(part)}]"
    return text


def closest_match(value: str, candidates: Collection[str]) -> str:
    """Return the most similar candidate, or an empty string."""
    return next(iter(difflib.get_close_matches(value, candidates, n=1)), "")


def one_of(candidates: Collection[str], *, description: str) -> str:
    """Return the text for an expected value that is one of the candidates."""
    if not candidates:
        return f"{description}, but there is none"
    names = sorted(candidates)
    shown = ", ".join(names[:MAX_LISTED_NAMES]) + (", ..." if len(names) > MAX_LISTED_NAMES else "")
    return f"{description} (one of {shown})"


def from_pydantic(error: ErrorDetails, *, source: str, root: type) -> Finding:
    """Convert a validation error of pydantic to a finding."""
    path: Path = tuple(error["loc"])
    if error["type"] == "missing":
        return Finding(source=source, path=path, problem="missing field", expected="a value")
    if error["type"] == "unexpected_keyword_argument":
        fields = _field_names_at(root, path[:-1])
        return Finding(
            source=source,
            path=path,
            problem=f"unknown field with value {_format_value(error['input'])}",
            expected=one_of(fields, description="a field of this object"),
            suggestion=closest_match(str(path[-1]), fields),
        )
    value = error["input"]
    suggestion = ""
    if error["type"] == "literal_error" and isinstance(value, str):
        suggestion = closest_match(value, re.findall(r"'([^']*)'", error["ctx"]["expected"]))
    return Finding(
        source=source, path=path, expected=_expected_text(error), value=value, suggestion=suggestion
    )


def _field_names_at(root: type, path: Path) -> list[str]:
    """Return the field names of the data class at a path below ``root``."""
    cls: Any = root
    for part in path:
        if isinstance(part, str):
            cls = typing.get_type_hints(cls)[part]
        # Unwrap Optional[X] and tuple[X, ...].
        while not dataclasses.is_dataclass(cls):
            cls = typing.get_args(cls)[0]
    return [field.name for field in dataclasses.fields(cls)]


def _expected_text(error: ErrorDetails) -> str:
    if error["type"] == "dataclass_type":
        return "an object"
    text = re.sub(r"^\w+ should (be|have) ", "", error["msg"])
    text = re.sub(r" after validation.*", "", text)
    return f"a value {text}" if text.startswith(("greater", "less")) else text


def _format_value(value: Any) -> str:
    text = json.dumps(value, default=str)
    return text if len(text) <= MAX_VALUE_CHARS else f"{text[: MAX_VALUE_CHARS - 3]}..."

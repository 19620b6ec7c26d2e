"""Findings about a configuration: where, which value, what was expected."""

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
"""Longer values are cut in messages."""

MAX_NAMES = 20
"""Names listed in one message."""

_PLAIN_FIELD = re.compile(r"[A-Za-z_][A-Za-z0-9_]*")


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """One thing that is wrong. ``near`` is a similar valid value, or an empty string.

    ``problem`` replaces the statement that the value is not valid.
    """

    source: str
    path: Path
    expected: str
    value: Any = None
    problem: str = ""
    near: str = ""

    @property
    def sort_key(self) -> tuple[tuple[bool, str | int], ...]:
        """Orders findings by their place in the file; indices and names are not comparable."""
        return tuple((isinstance(part, str), part) for part in self.path)

    def __str__(self) -> str:
        problem = self.problem or f"{_value_text(self.value)} is not valid"
        text = f"{self.source}: {path_text(self.path)}: {problem}; expected {self.expected}"
        return f'{text}; did you mean "{self.near}"?' if self.near else text


def path_text(path: Path) -> str:
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


def near_match(value: str, candidates: Collection[str]) -> str:
    """Return the most similar candidate, or an empty string."""
    return next(iter(difflib.get_close_matches(value, candidates, n=1)), "")


def one_of(candidates: Collection[str], *, what: str) -> str:
    """Return the expectation of one of a few names."""
    if not candidates:
        return f"{what}, but there is none"
    names = sorted(candidates)
    shown = ", ".join(names[:MAX_NAMES]) + (", ..." if len(names) > MAX_NAMES else "")
    return f"{what} (one of {shown})"


def from_pydantic(error: ErrorDetails, *, source: str, root: type) -> Finding:
    """Translate an error of pydantic into a finding."""
    path: Path = tuple(error["loc"])
    if error["type"] == "missing":
        return Finding(source=source, path=path, problem="missing field", expected="a value")
    if error["type"] == "unexpected_keyword_argument":
        fields = _fields_at(root, path[:-1])
        return Finding(
            source=source,
            path=path,
            problem=f"unknown field with value {_value_text(error['input'])}",
            expected=one_of(fields, what="a field of this object"),
            near=near_match(str(path[-1]), fields),
        )
    value = error["input"]
    near = ""
    if error["type"] == "literal_error" and isinstance(value, str):
        near = near_match(value, re.findall(r"'([^']*)'", error["ctx"]["expected"]))
    return Finding(source=source, path=path, expected=_expected(error), value=value, near=near)


def _fields_at(root: type, path: Path) -> list[str]:
    """Return the names of the fields of the data class found at a path below ``root``."""
    cls: Any = root
    for part in path:
        if isinstance(part, str):
            cls = typing.get_type_hints(cls)[part]
        # Optional[X] and tuple[X, ...] become X.
        while not dataclasses.is_dataclass(cls):
            cls = typing.get_args(cls)[0]
    return [field.name for field in dataclasses.fields(cls)]


def _expected(error: ErrorDetails) -> str:
    if error["type"] == "dataclass_type":
        return "an object"
    text = re.sub(r"^\w+ should (be|have) ", "", error["msg"])
    text = re.sub(r" after validation.*", "", text)
    return f"a value {text}" if text.startswith(("greater", "less")) else text


def _value_text(value: Any) -> str:
    text = json.dumps(value, default=str)
    return text if len(text) <= MAX_VALUE_CHARS else f"{text[: MAX_VALUE_CHARS - 3]}..."

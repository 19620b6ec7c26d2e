"""Log lines of several hosts, in any order and partly broken."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    import os
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """One line: ``at`` is its time in seconds by the clock of ``host``, ``number`` its place.

    Clocks of hosts may differ, so times are only compared between lines of one host.
    """

    at: float
    number: int
    host: str
    event: str
    fields: Mapping[str, Any]


def read_logs(paths: Iterable[str | os.PathLike[str]]) -> tuple[list[LogLine], int]:
    """Return the lines of all files, and how many could not be read. Raises ``OSError``.

    Whatever stands in front of the JSON object of a line is taken for a prefix of a collector.
    """
    lines: list[LogLine] = []
    broken = 0
    for path in paths:
        with Path(path).open(encoding="utf-8", errors="replace") as file:
            for text in file:
                if not text.strip():
                    continue
                line = _parse(text, len(lines))
                if line is None:
                    broken += 1
                else:
                    lines.append(line)
    return lines, broken


def _parse(text: str, number: int) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        event = fields.pop("event")
        at = datetime.fromisoformat(fields.pop("timestamp")).timestamp()
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
    return LogLine(
        at=at, number=number, host=str(fields.pop("host", "")), event=str(event), fields=fields
    )

"""Parsing of log lines of several hosts, in any order and with unreadable lines."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from acaciasaddle.errors import DECODING_ERRORS

if TYPE_CHECKING:
    import os
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """A line of a log.

    ``at`` is its time in seconds since the epoch by the clock of ``host``, and ``number`` its
    position among all readable lines. Clocks of hosts may differ, so that only the order of lines
    of the same host is certain.
    """

    at: float
    number: int
    host: str
    event: str
    fields: Mapping[str, Any]


def read_logs(paths: Iterable[str | os.PathLike[str]]) -> tuple[list[LogLine], int]:
    """Return the lines of all files and the number of unreadable ones. Raises ``OSError``.

    Text before the JSON object of a line is ignored, since log collectors add prefixes.
    """
    lines: list[LogLine] = []
    unreadable = 0
    for path in paths:
        with Path(path).open(encoding="utf-8", errors="replace") as file:
            for text in file:
                if not text.strip():
                    continue
                line = _parse(text, len(lines))
                if line is None:
                    unreadable += 1
                else:
                    lines.append(line)
    return lines, unreadable


def _parse(text: str, number: int) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        event = fields.pop("event")
        at = datetime.fromisoformat(fields.pop("timestamp")).timestamp()
    except (KeyError, TypeError, AttributeError, *DECODING_ERRORS):
        return None
    return LogLine(
        at=at, number=number, host=str(fields.pop("host", "")), event=str(event), fields=fields
    )

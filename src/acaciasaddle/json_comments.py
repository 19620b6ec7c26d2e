"""Comment lines in JSON. Most files only have comments that fill whole lines."""

from __future__ import annotations

import re

_COMMENT_LINE = re.compile(r"^[ \t]*//.*$", re.MULTILINE)


def strip_comment_lines(text: str) -> str:
    """Return the text with each line that begins with ``//`` replaced by an empty one.

    Such a line cannot be part of a string, since JSON strings do not span lines.
    """
    return _COMMENT_LINE.sub("", text)

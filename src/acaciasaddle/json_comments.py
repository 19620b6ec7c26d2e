"""JSON with whole lines of comments, which is all that most files use."""

from __future__ import annotations

import re

_COMMENT_LINE = re.compile(r"^[ \t]*//.*$", re.MULTILINE)


def strip_comment_lines(text: str) -> str:
    """Return the text with each line that begins with ``//`` made empty.

    Such a line is never part of a string, since strings of JSON do not span lines.
    """
    return _COMMENT_LINE.sub("", text)

"""Removal of comment lines from JSON.

Comments after a value and block comments are kept, as most files have none.
"""

from __future__ import annotations

import re

_COMMENT_LINE = re.compile(r"^[ \t]*//.*$", re.MULTILINE)


def strip_comment_lines(text: str) -> str:
    """Return the text with comment lines replaced by empty lines.

    A comment line begins with ``//`` after any indentation. It cannot be part of a string, since
    strings in plain JSON do not span lines.
    """
    return _COMMENT_LINE.sub("", text)

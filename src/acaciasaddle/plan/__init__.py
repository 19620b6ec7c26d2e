"""What a change of the configuration would do."""

from __future__ import annotations

from typing import Any


def make_plan(**parts: Any) -> Any:
    """Describe a change. Not available yet."""
    raise NotImplementedError

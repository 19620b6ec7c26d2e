"""Access to the exceptions in the groups that nurseries raise."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


def leaf_exceptions(group: BaseExceptionGroup[BaseException]) -> Iterator[BaseException]:
    """Yield the exceptions of a nested group that are not groups themselves."""
    for exc in group.exceptions:
        if isinstance(exc, BaseExceptionGroup):
            yield from leaf_exceptions(exc)
        else:
            yield exc

"""Groups of exceptions, as nurseries raise them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


def leaf_exceptions(group: BaseExceptionGroup[BaseException]) -> Iterator[BaseException]:
    """Yield the single exceptions of a nested group."""
    for exc in group.exceptions:
        if isinstance(exc, BaseExceptionGroup):
            yield from leaf_exceptions(exc)
        else:
            yield exc

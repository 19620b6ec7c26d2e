"""Division of large sets of rows into slices that are quick to encode and decode."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciasaddle.peers._limits import ROWS_PER_SLICE

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from acaciasaddle.model import Row


def slice_rows(rows: Sequence[Row]) -> Iterator[tuple[tuple[Row, ...], bool]]:
    """Yield slices of the rows, each with a flag that is true for the last one.

    An empty sequence yields one empty slice.
    """
    for start in range(0, max(len(rows), 1), ROWS_PER_SLICE):
        yield tuple(rows[start : start + ROWS_PER_SLICE]), start + ROWS_PER_SLICE >= len(rows)

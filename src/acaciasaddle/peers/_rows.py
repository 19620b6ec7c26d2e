"""Large sets of rows in slices that are quick to encode and decode."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciasaddle.peers._limits import SLICE_ROWS

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from acaciasaddle.model import Row


def slices(rows: Sequence[Row]) -> Iterator[tuple[tuple[Row, ...], bool]]:
    """Yield the rows in slices, each with whether it is the last. No rows are one slice."""
    for start in range(0, max(len(rows), 1), SLICE_ROWS):
        yield tuple(rows[start : start + SLICE_ROWS]), start + SLICE_ROWS >= len(rows)

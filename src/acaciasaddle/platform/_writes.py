"""Conditional writes whose lost answers are resolved by reading back."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from acaciasaddle.errors import WriteOutcomeUnknownError
from acaciasaddle.model import Row

if TYPE_CHECKING:
    from acaciasaddle.platform._api import Table

Puts = Mapping[str, Callable[[str], dict[str, Any]]]


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteResult:
    """Rows as written. ``read_back`` is true if the answer was lost and the rows were re-read."""

    write_id: str
    rows: tuple[Row, ...]
    read_back: bool


async def write_once(table: Table, *, conditions: Mapping[str, int], puts: Puts) -> WriteResult:
    """Write rows in one transaction and find out whether it took effect.

    ``puts`` maps each key to a function that builds the value from the write identifier. If the
    answer is lost, the rows are read back: a row that carries this write's identifier proves
    that the transaction committed. If no row does, the outcome stays unknown, since the write
    may still be on its way or may have been overwritten; ``WriteOutcomeUnknownError`` is raised.
    """
    write_id = str(uuid.uuid4())
    values = {key: build(write_id) for key, build in puts.items()}
    try:
        rows = await table.transact(conditions=conditions, puts=values)
    except WriteOutcomeUnknownError as exc:
        found = [await table.read(key) for key in puts]
        if any(row is not None and row.write_id == write_id for row in found):
            present = tuple(row for row in found if row is not None)
            return WriteResult(write_id=write_id, rows=present, read_back=True)
        raise WriteOutcomeUnknownError(
            "the write's answer was lost and no row carries its identifier",
            step="table.read_back",
            peer=exc.peer,
        ) from exc
    return WriteResult(write_id=write_id, rows=rows, read_back=False)

"""Conditional writes that read the rows back if the response is lost."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from acaciasaddle.errors import ConditionFailedError
from acaciasaddle.errors import PlatformUnavailableError
from acaciasaddle.errors import WriteOutcomeUnknownError
from acaciasaddle.model import Row

if TYPE_CHECKING:
    from acaciasaddle.table._api import Table

Puts = Mapping[str, Callable[[str], dict[str, Any]]]

MAX_ATTEMPTS = 2
"""Maximum number of times that a transaction is sent.

A repeat is safe: it has the same conditions, so at most one of the attempts commits.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteResult:
    """Rows of a committed write.

    ``read_back`` is true if the response was lost and ``rows`` were read from the table instead.
    They may then already contain later writes of others.
    """

    write_id: str
    rows: tuple[Row, ...]
    read_back: bool


async def write_once(table: Table, *, conditions: Mapping[str, int], puts: Puts) -> WriteResult:
    """Write rows in one transaction and find out whether it took effect.

    ``puts`` maps each key to a function that builds the value from the write identifier. Every
    key that is put needs a condition; a missing one raises ``ValueError``.

    If the response is lost, the rows are read back. A row with this write's identifier proves that
    the transaction committed. A row whose next version has another identifier proves that it did
    not and never will; ``ConditionFailedError`` is raised. If the rows prove neither, the write may
    still be in transit; the same transaction is sent again, and at most one of the two commits.
    ``WriteOutcomeUnknownError`` is raised if the outcome is still not known after that, or if the
    rows cannot be read back. ``PlatformUnavailableError`` is raised only if the write certainly did
    not take effect.
    """
    if unconditional := puts.keys() - conditions.keys():
        raise ValueError(f"writes without a condition: {', '.join(sorted(unconditional))}")
    write_id = str(uuid.uuid4())
    values = {key: build(write_id) for key, build in puts.items()}
    for attempt in range(1, MAX_ATTEMPTS + 1):
        try:
            rows = await table.transact(conditions=conditions, puts=values)
            return WriteResult(write_id=write_id, rows=rows, read_back=False)
        except WriteOutcomeUnknownError as exc:
            failure: Exception = exc
        except (ConditionFailedError, PlatformUnavailableError) as exc:
            if attempt == 1:
                raise
            # The first attempt may have committed, or may still be in transit.
            failure = exc
        found = await _read_back(table, conditions, values, write_id, failure)
        if found is not None:
            return WriteResult(write_id=write_id, rows=found, read_back=True)
    raise _unknown("no row carries the write's identifier", failure)


async def _read_back(
    table: Table,
    conditions: Mapping[str, int],
    values: Mapping[str, dict[str, Any]],
    write_id: str,
    failure: Exception,
) -> tuple[Row, ...] | None:
    """Return the rows if the write committed, and ``None`` if that is not known.

    Raises ``ConditionFailedError`` if it did not and cannot commit any more, and
    ``WriteOutcomeUnknownError`` if the rows cannot be read.
    """
    try:
        found = [await table.read(key) for key in values]
    except PlatformUnavailableError as exc:
        raise _unknown("the rows cannot be read back", exc) from failure
    present = tuple(row for row in found if row is not None)
    if any(row.write_id == write_id for row in present):
        return present
    overwritten = tuple(row.key for row in present if row.version == conditions[row.key] + 1)
    if overwritten:
        raise ConditionFailedError(
            f"another write came first: {', '.join(overwritten)}",
            keys=overwritten,
            step="table.read_back",
            peer=getattr(failure, "peer", ""),
        ) from failure
    # Versions only grow, so after a condition has failed once, no attempt commits any more. A row
    # at its expected version shows that none had committed before.
    versions = {row.key: row.version for row in present}
    unchanged = any(versions.get(key, 0) == conditions[key] for key in values)
    if isinstance(failure, ConditionFailedError) and unchanged:
        raise failure
    return None


def _unknown(reason: str, cause: Exception) -> WriteOutcomeUnknownError:
    return WriteOutcomeUnknownError(
        f"the response to the write was lost and {reason}",
        step="table.read_back",
        peer=getattr(cause, "peer", ""),
    )

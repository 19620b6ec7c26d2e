"""The platform's table without HTTP, and a client of it for tests within one process."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import trio

from acaciasaddle.errors import ConditionFailedError
from acaciasaddle.errors import PlatformUnavailableError
from acaciasaddle.errors import WriteOutcomeUnknownError
from acaciasaddle.model import Row
from acaciasaddle.table import Scan
from acaciasaddle.table import Table

JsonObject = Mapping[str, Any]


class StoreState(StrEnum):
    """Whether the store works, fails all operations, or delays them."""

    UP = "up"
    DOWN = "down"
    SLOW = "slow"


@dataclass(slots=True, kw_only=True)
class StoreFaults:
    """Active faults of the store.

    ``lose_answers`` is how many of the next transactions take effect without a response.
    ``delay_ms`` applies while ``store`` is ``SLOW``.
    """

    store: StoreState = StoreState.UP
    delay_ms: float = 0.0
    lose_answers: int = 0

    @property
    def half_delay_s(self) -> float:
        """Delay in seconds before an operation takes effect, and again after it has.

        When a client times out, its write may therefore have taken effect or not. Over HTTP, a
        write that has not may still do so later.
        """
        return self.delay_ms / 2000 if self.store is StoreState.SLOW else 0.0

    def loses_response(self) -> bool:
        """Return whether the response to the transaction that just took effect is lost.

        Each lost response reduces ``lose_answers`` by 1.
        """
        if self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True


class TableStore:
    """Rows with their versions, and the revision of the table."""

    def __init__(self) -> None:
        self.revision = 0
        self._rows: dict[str, Row] = {}

    def read(self, key: str) -> Row | None:
        """Return a row, or ``None`` if it does not exist."""
        return self._rows.get(key)

    def scan(self, prefix: str, *, since: int) -> tuple[Row, ...]:
        """Return the rows with this prefix and a revision above ``since``, in order of revision."""
        found = [
            row
            for key, row in self._rows.items()
            if row.revision > since and key.startswith(prefix)
        ]
        return tuple(sorted(found, key=lambda row: (row.revision, row.key)))

    def transact(
        self, *, conditions: Mapping[str, int], puts: Mapping[str, JsonObject]
    ) -> tuple[Row, ...]:
        """Write all rows or none, and return the written rows.

        ``conditions`` are the expected versions, 0 for a row that does not exist. Raises
        ``ConditionFailedError`` if a row has another version, and ``ValueError`` if a put has no
        condition.
        """
        unconditional = sorted(set(puts) - set(conditions))
        if unconditional:
            raise ValueError(f"no condition for {', '.join(unconditional)}")
        failed = tuple(key for key, version in conditions.items() if self._version(key) != version)
        if failed:
            raise ConditionFailedError(
                f"rows do not have the expected versions: {', '.join(failed)}",
                keys=failed,
                step="table.transact",
            )
        self.revision += 1
        for key, value in puts.items():
            self._rows[key] = Row(
                key=key, version=self._version(key) + 1, revision=self.revision, value=value
            )
        return tuple(self._rows[key] for key in puts)

    def _version(self, key: str) -> int:
        row = self._rows.get(key)
        return row.version if row is not None else 0


class MemoryTable(Table):
    """A ``Table`` over a ``TableStore`` in the same process, with the same faults as over HTTP.

    Several instances may share a store and have different faults, as when only one of several
    hosts cannot reach the store.
    """

    def __init__(self, *, store: TableStore, faults: StoreFaults | None = None) -> None:
        self.store = store
        self.faults = faults if faults is not None else StoreFaults()

    async def read(self, key: str) -> Row | None:
        await self._delay_or_fail("table.read")
        row = self.store.read(key)
        await trio.sleep(self.faults.half_delay_s)
        return row

    async def scan(self, prefix: str, *, since: int, wait_s: float = 0.0) -> Scan:
        await self._delay_or_fail("table.scan")
        scan = Scan(revision=self.store.revision, rows=self.store.scan(prefix, since=since))
        await trio.sleep(self.faults.half_delay_s)
        return scan

    async def transact(
        self, *, conditions: Mapping[str, int], puts: Mapping[str, JsonObject]
    ) -> tuple[Row, ...]:
        await self._delay_or_fail("table.transact")
        # Values are converted to JSON and back, as over HTTP, so that the store shares no mutable
        # value with its clients.
        copied = {key: json.loads(json.dumps(value)) for key, value in puts.items()}
        rows = self.store.transact(conditions=conditions, puts=copied)
        response_lost = self.faults.loses_response()
        await trio.sleep(self.faults.half_delay_s)
        if response_lost:
            raise WriteOutcomeUnknownError("the response was lost", step="table.transact")
        return rows

    async def _delay_or_fail(self, step: str) -> None:
        await trio.sleep(self.faults.half_delay_s)
        if self.faults.store is StoreState.DOWN:
            raise PlatformUnavailableError("the store is down", step=step)

"""Steps of table/writes.feature: write_once against a table whose responses are lost."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import trio
from behave import given
from behave import then
from behave import when

from acaciasaddle.errors import ConditionFailedError
from acaciasaddle.errors import PlatformUnavailableError
from acaciasaddle.errors import WriteOutcomeUnknownError
from acaciasaddle.model import Row
from acaciasaddle.table import Table
from acaciasaddle.table import write_once

if TYPE_CHECKING:
    from collections.abc import Mapping

    from acaciasaddle.table import Scan
    from acaciasaddle.table import WriteResult


class FaultyTable(Table):
    """An in-memory table whose first response is lost in the way that ``loss`` names.

    With ``loss`` ``down`` the table is down. ``own_commits`` counts the commits of the write under
    test, ``second`` names the response to its repeat.
    """

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.own_commits = 0
        self.loss = ""
        self.second = "in time"
        self._calls = 0
        self._reads_fail = False
        self._late_commit: tuple[Mapping[str, int], Mapping[str, Any]] | None = None

    def commit(self, conditions: Mapping[str, int], puts: Mapping[str, Any]) -> tuple[Row, ...]:
        for key, version in conditions.items():
            if self._version(key) != version:
                raise ConditionFailedError("other version", keys=(key,), step="table.transact")
        new = tuple(
            Row(key=key, version=self._version(key) + 1, revision=1, value=value)
            for key, value in puts.items()
        )
        self.rows |= {row.key: row for row in new}
        self.own_commits += any(row.key == "a" and row.write_id != "other" for row in new)
        return new

    def overwrite(self, key: str) -> None:
        self.commit({}, {key: {"write_id": "other"}})

    def _version(self, key: str) -> int:
        return self.rows[key].version if key in self.rows else 0

    async def read(self, key: str) -> Row | None:
        if self._reads_fail:
            raise PlatformUnavailableError("down", step="table.read")
        return self.rows.get(key)

    async def scan(self, prefix: str, *, since: int, wait_s: float = 0.0) -> Scan:
        raise NotImplementedError

    async def transact(
        self, *, conditions: Mapping[str, int], puts: Mapping[str, Any]
    ) -> tuple[Row, ...]:
        self._calls += 1
        if self._calls == 2:
            return self._repeat(conditions, puts)
        if self.loss == "down":
            raise PlatformUnavailableError("down", step="table.transact")
        if "another write came first" in self.loss:
            self.overwrite("a")
        elif "another row of the conditions changes" in self.loss:
            self.overwrite("upstream/x")
        elif self.loss.startswith("after"):
            self.commit(conditions, puts)
        if "one later write" in self.loss:
            self.overwrite("a")
        if "commit after the read-back" in self.loss:
            self._late_commit = (conditions, puts)
        self._reads_fail = "reads failing" in self.loss
        raise WriteOutcomeUnknownError("no response", step="table.transact")

    def _repeat(self, conditions: Mapping[str, int], puts: Mapping[str, Any]) -> tuple[Row, ...]:
        if self._late_commit is not None:
            self.commit(*self._late_commit)
        if self.second == "lost too":
            raise WriteOutcomeUnknownError("no response", step="table.transact")
        if self.second == "that it is down":
            raise PlatformUnavailableError("down", step="table.transact")
        rows = self.commit(conditions, puts)
        if "follows the repeat" in self.loss:
            try:
                self.commit(conditions, puts)
            except ConditionFailedError:
                return rows
        return rows


class WriteOnceSteps:
    """Guards against a wrong outcome after a lost response."""

    @staticmethod
    def run(context: Any, *, conditions: dict[str, int], keys: tuple[str, ...] = ("a",)) -> None:
        async def main() -> WriteResult:
            puts = {key: lambda write_id: {"write_id": write_id} for key in keys}
            return await write_once(context.faulty_table, conditions=conditions, puts=puts)

        context.faulty_table.own_commits = 0
        try:
            result = trio.run(main)
            context.result = "success, read back" if result.read_back else "success"
        except Exception as exc:
            context.result = type(exc).__name__

    @staticmethod
    @given('a table row "{key}" at version {version:d}')
    def row(context: Any, key: str, version: int) -> None:
        context.faulty_table = FaultyTable()
        for _ in range(version):
            context.faulty_table.overwrite(key)
        context.faulty_table.overwrite("upstream/x")

    @staticmethod
    @given("the table's first response is lost {loss}")
    def lose(context: Any, loss: str) -> None:
        context.faulty_table.loss = loss

    @staticmethod
    @given("the table's second response is {second}")
    def second_response(context: Any, second: str) -> None:
        context.faulty_table.second = second

    @staticmethod
    @given("the table is down")
    def down(context: Any) -> None:
        context.faulty_table.loss = "down"

    @staticmethod
    @when('write_once puts "{key}" at version {version:d}')
    def put(context: Any, key: str, version: int) -> None:
        WriteOnceSteps.run(context, conditions={key: version})

    @staticmethod
    @when('write_once puts "{key}" at version {version:d} with a history row')
    def put_with_history(context: Any, key: str, version: int) -> None:
        conditions = {key: version, "history": 0}
        WriteOnceSteps.run(context, conditions=conditions, keys=(key, "history"))

    @staticmethod
    @when(
        'write_once puts "{key}" on condition that it has version {version:d} '
        'and "{other}" version 1'
    )
    def put_on_condition(context: Any, key: str, version: int, other: str) -> None:
        WriteOnceSteps.run(context, conditions={key: version, other: 1})

    @staticmethod
    @when('write_once puts "{key}" without a condition')
    def put_unconditionally(context: Any, key: str) -> None:
        WriteOnceSteps.run(context, conditions={}, keys=(key,))

    @staticmethod
    @then("write_once ends with {result}")
    def result(context: Any, result: str) -> None:
        assert context.result == result, context.result

    @staticmethod
    @then('the table row "{key}" was written by write_once {times:d} times')
    def written(context: Any, key: str, times: int) -> None:
        assert context.faulty_table.own_commits == times, context.faulty_table.own_commits

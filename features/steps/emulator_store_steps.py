"""Steps of emulator/store.feature."""

from __future__ import annotations

from functools import partial
from typing import Any

import trio
from behave import given
from behave import then
from behave import when
from trio.testing import MockClock

from acaciasaddle.emulator import MemoryTable
from acaciasaddle.emulator import StoreFaults
from acaciasaddle.emulator import StoreState
from acaciasaddle.emulator import TableStore
from acaciasaddle.errors import ConditionFailedError
from acaciasaddle.errors import PlatformError


class StoreSteps:
    """Guards against writes that overwrite each other, and against faults with wrong effects."""

    @staticmethod
    @given("a table store")
    def store(context: Any) -> None:
        context.store = TableStore()
        context.answers = []
        context.raised = []

    @staticmethod
    @when(
        'the table store gets a write with the conditions "{conditions}" and the values "{values}"'
    )
    def transact(context: Any, conditions: str, values: str) -> None:
        versions = {}
        for condition in conditions.split(", "):
            key, version = condition.split("=")
            versions[key] = int(version)
        puts = {key: {"x": x} for key, x in zip(versions, values.split(", "), strict=True)}
        try:
            context.store.transact(conditions=versions, puts=puts)
            context.answers.append("ok")
        except ConditionFailedError as exc:
            context.answers.append(f"failed {' '.join(exc.keys)}")

    @staticmethod
    @when('the table store gets a write of "{key}" without a condition')
    def unconditional(context: Any, key: str) -> None:
        try:
            context.store.transact(conditions={}, puts={key: {"x": "1"}})
        except ValueError as exc:
            context.answers.append(str(exc))

    @staticmethod
    def write(context: Any, faults: StoreFaults, key: str, version: int = 0) -> None:
        table = MemoryTable(store=context.store, faults=faults)

        async def main() -> None:
            try:
                await table.transact(conditions={key: version}, puts={key: {"x": "x"}})
            except PlatformError as exc:
                context.raised.append(type(exc).__name__)

        trio.run(main, clock=MockClock(autojump_threshold=0))

    @staticmethod
    @when('the memory table loses the response to a write of "{key}"')
    def write_without_response(context: Any, key: str) -> None:
        StoreSteps.write(context, StoreFaults(lose_answers=1), key)

    @staticmethod
    @when('the memory table is down during a write of "{key}"')
    def write_while_down(context: Any, key: str) -> None:
        StoreSteps.write(context, StoreFaults(store=StoreState.DOWN), key)

    @staticmethod
    @when('the memory table writes "{key}" with a wrong condition')
    def write_with_wrong_condition(context: Any, key: str) -> None:
        StoreSteps.write(context, StoreFaults(), key, 7)

    @staticmethod
    @when(
        'the memory table is slow by {delay:d} ms and a write of "{key}" times out after'
        " {limit:d} ms"
    )
    def write_to_slow_table(context: Any, delay: int, key: str, limit: int) -> None:
        table = MemoryTable(
            store=context.store, faults=StoreFaults(store=StoreState.SLOW, delay_ms=delay)
        )

        async def main() -> None:
            with trio.move_on_after(limit / 1000):
                await table.transact(conditions={key: 0}, puts={key: {"x": "x"}})

        trio.run(main, clock=MockClock(autojump_threshold=0))

    @staticmethod
    @then('the table store answered "{expected}"')
    def answered(context: Any, expected: str) -> None:
        assert ", ".join(context.answers) == expected, context.answers

    @staticmethod
    @then('the memory table raised "{expected}"')
    def raised(context: Any, expected: str) -> None:
        assert ", ".join(context.raised) == expected, context.raised

    @staticmethod
    @then('the table store holds "{expected}"')
    def holds(context: Any, expected: str) -> None:
        rows = context.store.scan("", since=0)
        found = [f"{row.key} v{row.version} r{row.revision} {row.value['x']}" for row in rows]
        assert ", ".join(found) == expected, found

    @staticmethod
    @then('the table store lists "{first}" since revision 1 and "" since revision 2')
    def lists(context: Any, first: str) -> None:
        scan = partial(context.store.scan, "")
        assert ", ".join(row.key for row in scan(since=1)) == first
        assert scan(since=2) == ()
        assert context.store.scan("b", since=0)[0].key == "b"

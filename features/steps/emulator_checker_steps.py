"""Steps of emulator/checker.feature."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then

from acaciasaddle.emulator import CallerOutcome
from acaciasaddle.emulator import CallerRecord
from acaciasaddle.emulator import OwnershipRecord
from acaciasaddle.emulator import RunRecord
from acaciasaddle.emulator import RunState
from acaciasaddle.emulator import UpstreamRecord
from acaciasaddle.emulator import check_records

# With one shard every key of the group belongs to shard 0.
SHARDS = {"s/g": 1}


class CheckerSteps:
    """Guards against violations that are not found, and against false positives."""

    @staticmethod
    @given("the checker's ownership records")
    def owned(context: Any) -> None:
        context.owned = [
            (
                row["upstream"],
                OwnershipRecord(
                    unit=row["unit"],
                    holder="h@1",
                    term=1,
                    from_ms=0,
                    until_ms=0,
                    boot_from_ms=float(row["from"]),
                    boot_until_ms=float(row["until"]),
                    excluded=(row["excluded"],) if "excluded" in row.headings else (),
                ),
            )
            for row in context.table
        ]

    @staticmethod
    @given("the checker's run records")
    def runs(context: Any) -> None:
        context.runs = [
            (
                row["upstream"],
                RunRecord(
                    request_id="r",
                    idempotency_key=row["idempotency key"],
                    key="k",
                    unit=row["unit"],
                    term=1,
                    state=RunState(row["state"]),
                    start_ms=0,
                    boot_start_ms=float(row["start"]),
                ),
            )
            for row in context.table
        ]

    @staticmethod
    @given("the checker's caller records")
    def callers(context: Any) -> None:
        context.callers = [
            CallerRecord(
                idempotency_key=row["idempotency key"],
                kind="deposit",
                outcome=CallerOutcome(row["outcome"]),
                status=0,
            )
            for row in context.table
        ]

    @staticmethod
    @then('the checker finds "{expected}"')
    def finds(context: Any, expected: str) -> None:
        owned, runs = getattr(context, "owned", []), getattr(context, "runs", [])
        records = [
            UpstreamRecord(
                name=name,
                checks_orders=True,
                boot_ms=0,
                leaving_boot_ms=None,
                owned=tuple(item for upstream, item in owned if upstream == name),
                runs=tuple(item for upstream, item in runs if upstream == name),
            )
            for name in ("u1", "u2")
        ]
        violations = check_records(
            upstreams=records, callers=getattr(context, "callers", []), shards=SHARDS
        )
        found = ", ".join(f"{item.kind} {item.subject}" for item in violations)
        assert found == expected, violations

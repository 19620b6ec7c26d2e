"""Steps of emulator/upstream.feature."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import trio
from behave import given
from behave import then
from behave import when
from trio.testing import MockClock

from acaciasaddle.clock import TrioClock
from acaciasaddle.emulator import FileJournal
from acaciasaddle.emulator import GrantOrder
from acaciasaddle.emulator import UpstreamFaultOrder
from acaciasaddle.emulator import UpstreamModel
from acaciasaddle.emulator import UpstreamSettings
from acaciasaddle.emulator import Work
from acaciasaddle.emulator import WorkRefusedError
from acaciasaddle.emulator import read_journal
from acaciasaddle.emulator._asgi import BodyCutError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

OFFSET_MS = 777_000.0


class UpstreamScript:
    """Collects the actions of a scenario and runs them in one trio run at the first ``then``."""

    def __init__(self, settings: UpstreamSettings) -> None:
        self.settings = settings
        self.actions: list[Callable[[], Awaitable[None]]] = []
        self.grant_results: list[Any] = []
        self.work_outcomes: dict[str, str] = {}
        self.cancel_results: list[str] = []
        self.reported_load: list[str] = []
        self.record: Any = None
        self.journal_record: Any = None
        self.directory = tempfile.TemporaryDirectory()
        self.path = Path(self.directory.name, "u.journal")
        self.model: UpstreamModel
        self.nursery: trio.Nursery

    def run(self) -> None:
        if self.record is None:
            trio.run(self._main, clock=MockClock(autojump_threshold=0))

    async def _main(self) -> None:
        self.start_ms = trio.current_time() * 1000
        journal = FileJournal(path=self.path)
        self.model = UpstreamModel(
            settings=self.settings, clock=TrioClock(), offset_ms=OFFSET_MS, journal=journal
        )
        async with trio.open_nursery() as self.nursery:
            for action in self.actions:
                await action()
                await trio.testing.wait_all_tasks_blocked()
        self.journal_record = read_journal(self.path)
        self.record = self.model.record()
        journal.close()

    async def grant(self, row: Any) -> None:
        """Send the grant of a table row and keep the result.

        ``valid`` is the time to its expiry in milliseconds; ``query`` asks for the state and grants
        nothing. The units ``keep`` renew the lease of those already granted.
        """
        valid, units = row["valid"], row["units"]
        order = GrantOrder(
            holder="h@1",
            term=int(row["term"]),
            seq=int(row["seq"]),
            instance=self.model.instance,
            valid_until=None if valid == "query" else self.model.clock_ms() + float(valid),
            units=None if units == "keep" else tuple(units.split(", ")),
            excluded=(row["excluded"],) if "excluded" in row.headings else None,
        )
        self.grant_results.append(self.model.grant(order))

    async def start(self, row: Any) -> None:
        """Start the work of a table row in the background.

        ``work`` is its service time, ``upload`` the time until its body ends and ``deadline`` that
        to its deadline, all in milliseconds. ``once`` marks at-most-once work, ``cut`` a body that
        is cut off.
        """
        values = dict(row.items())
        deadline = values.get("deadline")
        work = Work(
            request_id=values["id"],
            key=values.get("key", "k"),
            unit=values["unit"],
            term=int(values["term"]) if values["term"] else None,
            deadline=self.model.clock_ms() + float(deadline) if deadline else None,
            idempotency_key=f"once-{values['id']}" if values.get("once") else "",
            work_ms=float(values.get("work") or 10),
        )
        self.nursery.start_soon(self._work, work, values)
        await trio.testing.wait_all_tasks_blocked()

    async def _work(self, work: Work, values: dict[str, str]) -> None:
        try:
            await self.model.work(work, self._body(values))
            self.work_outcomes[work.request_id] = "completed"
        except WorkRefusedError as exc:
            self.work_outcomes[work.request_id] = f"{exc.status} {exc.outcome}"
        except BodyCutError:
            self.work_outcomes[work.request_id] = "cut"

    @staticmethod
    async def _body(values: dict[str, str]) -> AsyncIterator[bytes]:
        yield b"first"
        await trio.sleep(float(values.get("upload") or 0) / 1000)
        if values.get("cut"):
            raise BodyCutError("the body is incomplete", step="test")

    def report_load(self) -> None:
        sample = self.model.lagging_sample()
        self.reported_load.append(f"{sample.state} {sample.busy}")


class UpstreamSteps:
    """Guards against a stand-in that accepts orders or work that an upstream has to refuse."""

    @staticmethod
    @given("an upstream stand-in")
    def upstream(context: Any) -> None:
        context.script = UpstreamScript(UpstreamSettings(name="u", slots=2, queue=2))

    @staticmethod
    @given("an upstream stand-in that does not check orders")
    def upstream_without_checks(context: Any) -> None:
        context.script = UpstreamScript(UpstreamSettings(name="u", checks_orders=False))

    @staticmethod
    @when("the upstream stand-in gets these grants")
    def grants(context: Any) -> None:
        script = context.script
        for row in context.table:
            script.actions.append(lambda row=row: script.grant(row))

    @staticmethod
    @when("the upstream stand-in starts this work")
    def starts(context: Any) -> None:
        script = context.script
        for row in context.table:
            script.actions.append(lambda row=row: script.start(row))

    @staticmethod
    @when("{delay:d} ms pass for the upstream stand-in")
    def let_time_pass(context: Any, delay: int) -> None:
        context.script.actions.append(lambda: trio.sleep(delay / 1000))

    @staticmethod
    @when("the upstream stand-in gets the fault {name} {value:d}")
    def fault(context: Any, name: str, value: int) -> None:
        script = context.script

        async def action() -> None:
            setting: float | bool = value if name.endswith("_ms") else bool(value)
            script.model.set_faults(UpstreamFaultOrder(**{name: setting}))

        script.actions.append(action)

    @staticmethod
    @when('the upstream stand-in gets cancellations of "{ids}"')
    def cancel(context: Any, ids: str) -> None:
        script = context.script

        async def action() -> None:
            script.cancel_results += [
                script.model.cancel(request_id).value for request_id in ids.split(", ")
            ]

        script.actions.append(action)

    @staticmethod
    @when("the upstream stand-in reports its load")
    def report_load(context: Any) -> None:
        script = context.script

        async def action() -> None:
            script.report_load()

        script.actions.append(action)

    @staticmethod
    @then("the upstream stand-in's responses to the grants are")
    def responses(context: Any) -> None:
        context.script.run()
        found = [
            [
                "yes" if result.accepted else "no",
                str(result.state.term),
                str(result.state.seq),
                ", ".join(result.state.units),
            ]
            for result in context.script.grant_results
        ]
        assert found == [list(row.cells) for row in context.table], found

    @staticmethod
    @then('the upstream stand-in\'s response to grant {number:d} lists "{units}" as running')
    def running(context: Any, number: int, units: str) -> None:
        found = context.script.grant_results[number - 1].state.running
        assert ", ".join(found) == units, found

    @staticmethod
    @then('the upstream stand-in\'s work ended as "{expected}"')
    def ended(context: Any, expected: str) -> None:
        context.script.run()
        found = ", ".join(
            f"{key} {value}" for key, value in sorted(context.script.work_outcomes.items())
        )
        assert found == expected, found

    @staticmethod
    @then('the upstream stand-in\'s cancellations ended as "{expected}"')
    def cancellations(context: Any, expected: str) -> None:
        context.script.run()
        assert ", ".join(context.script.cancel_results) == expected, context.script.cancel_results

    @staticmethod
    @then('the upstream stand-in recorded the runs "{expected}"')
    def runs(context: Any, expected: str) -> None:
        script = context.script
        script.run()
        found = ", ".join(
            f"{run.request_id} {run.state}"
            f" {run.boot_start_ms - script.start_ms:.0f}-{run.boot_end_ms - script.start_ms:.0f}"
            for run in script.record.runs
        )
        assert found == expected, found

    @staticmethod
    @then('the upstream stand-in recorded the ownership "{expected}"')
    def ownership(context: Any, expected: str) -> None:
        script = context.script
        script.run()
        found = ", ".join(
            f"{owned.unit} {owned.boot_from_ms - script.start_ms:.0f}"
            f"-{owned.boot_until_ms - script.start_ms:.0f}"
            for owned in script.record.owned
        )
        assert found == expected, found

    @staticmethod
    @then('the upstream stand-in reported "{expected}"')
    def reported(context: Any, expected: str) -> None:
        context.script.run()
        assert ", ".join(context.script.reported_load) == expected, context.script.reported_load

    @staticmethod
    @then("the upstream stand-in's journal equals its record")
    def journal(context: Any) -> None:
        script = context.script
        script.run()
        for name in ("name", "checks_orders", "leaving_boot_ms", "owned", "runs"):
            found, expected = getattr(script.journal_record, name), getattr(script.record, name)
            assert found == expected, (name, found, expected)

    @staticmethod
    @then(
        "the journal is readable if a second process continued it and its last line is incomplete"
    )
    def continued_journal(context: Any) -> None:
        script = context.script
        first = read_journal(script.path)
        script.path.write_bytes(script.path.read_bytes() * 2 + b'{"index": 1, "ru')
        both = read_journal(script.path)
        assert both.owned == first.owned * 2 and both.runs == first.runs * 2, both

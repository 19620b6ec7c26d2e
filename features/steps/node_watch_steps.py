"""Steps of node/watch.feature: a watcher on a mock clock with scripted sources."""

from __future__ import annotations

from collections import Counter
from typing import Any

import trio
from behave import given
from behave import then
from behave import when
from structlog.testing import capture_logs
from trio.testing import MockClock

from acaciasaddle.clock import TrioClock
from acaciasaddle.errors import HistoryExpiredError
from acaciasaddle.errors import PlatformUnavailableError
from acaciasaddle.fleet import ConfigurationChange
from acaciasaddle.fleet import ConfigurationFeed
from acaciasaddle.fleet import FleetView
from acaciasaddle.fleet import Registry
from acaciasaddle.fleet import RegistryChange
from acaciasaddle.node._watch import Watcher
from acaciasaddle.routing import CallerLimits
from acaciasaddle.routing import Configuration
from acaciasaddle.table import Scan

CALL_S = 0.004


class _Sources(ConfigurationFeed, Registry):
    """Stands in for the platform's store, and counts the calls of each kind."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.refusing = False
        self.changing_owners = False
        self.registry_error: Exception | None = None
        self.owners_error: Exception | None = None
        self.owners_cursors: list[int] = []

    async def _call(self, name: str) -> None:
        self.calls[name] += 1
        await trio.sleep(CALL_S)
        if self.refusing:
            raise PlatformUnavailableError("refused with status 429", step="store.get", peer="p")

    async def changes(self, *, since: int, wait_s: float | None = None) -> Any:
        if wait_s is None:
            await self._call("registry")
            error, self.registry_error = self.registry_error, None
            if error is not None:
                raise error
            return RegistryChange(revision=1, complete=True, entries={})
        await self._call("configuration")
        if since:
            await trio.sleep(wait_s)
            return ConfigurationChange(revision=1, configuration=None)
        cfg = Configuration(version=1, routes=(), services={}, limits=CallerLimits())
        return ConfigurationChange(revision=1, configuration=cfg)

    async def scan(self, prefix: str, *, since: int, wait_s: float = 0.0) -> Scan:
        await self._call("owners")
        self.owners_cursors.append(since)
        if since and self.owners_error is not None:
            error, self.owners_error = self.owners_error, None
            raise error
        if since and not self.changing_owners:
            await trio.sleep(wait_s)
        return Scan(revision=since + 1, rows=())


class WatcherSteps:
    """Guards against too many calls of the store, and changes that are noticed too late."""

    @staticmethod
    def _set_up(context: Any, *, up_to_date: bool = False) -> _Sources:
        context.sources = _Sources()
        context.up_to_date = up_to_date
        context.phases = []
        return context.sources

    @staticmethod
    @given("a watcher whose sources refuse its calls")
    def refused(context: Any) -> None:
        WatcherSteps._set_up(context).refusing = True

    @staticmethod
    @given("a watcher whose registry raises an unexpected error at first")
    def unexpected(context: Any) -> None:
        WatcherSteps._set_up(context).registry_error = ZeroDivisionError("unexpected")

    @staticmethod
    @then("the unexpected error has been counted")
    def counted(context: Any) -> None:
        assert context.watcher.unexpected_errors == 1, context.watcher.unexpected_errors

    @staticmethod
    @given("a watcher whose owners change all the time")
    def changing_owners(context: Any) -> None:
        WatcherSteps._set_up(context).changing_owners = True

    @staticmethod
    @given("a watcher whose store came back from an older copy after the first read of the owners")
    def restored(context: Any) -> None:
        error = HistoryExpiredError("its era is 2", step="store.rows-feed", peer="p")
        WatcherSteps._set_up(context).owners_error = error

    @staticmethod
    @then('the owners were read with the cursors "{cursors}"')
    def owners_cursors(context: Any, cursors: str) -> None:
        with capture_logs() as context.logs:
            WatcherSteps._run(context)
        found = ", ".join(str(since) for since in context.sources.owners_cursors[:4])
        assert found == cursors, found

    @staticmethod
    @then('the reason "{reason}" is logged for the full read of the owners')
    def reason_logged(context: Any, reason: str) -> None:
        found = [line for line in context.logs if "reading all rows" in line["event"]]
        assert [(line["source"], line.get("reason")) for line in found] == [("owners", reason)]

    @staticmethod
    @given("a watcher that the coordinator keeps up to date except for the configuration")
    def up_to_date(context: Any) -> None:
        WatcherSteps._set_up(context, up_to_date=True)

    @staticmethod
    @when("the watcher runs for {seconds:g} s")
    def runs(context: Any, seconds: float) -> None:
        context.phases.append((seconds, context.sources.refusing))

    @staticmethod
    @when("the sources are available again and the watcher runs for {seconds:g} s")
    def available(context: Any, seconds: float) -> None:
        context.phases.append((seconds, False))

    @staticmethod
    def _run(context: Any) -> None:
        sources = context.sources

        async def main() -> None:
            context.view = FleetView(clock=TrioClock(wall_offset=0.0))
            table: Any = sources
            watcher = context.watcher = Watcher(
                view=context.view,
                configurations=sources,
                registry=sources,
                table=table,
                up_to_date=lambda: context.up_to_date,
                configuration_up_to_date=lambda: False,
                leading=lambda: False,
            )
            async with trio.open_nursery() as nursery:
                await nursery.start(watcher.run)
                for seconds, refusing in context.phases:
                    sources.refusing = refusing
                    await trio.sleep(seconds)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))

    @staticmethod
    @then("the sources were called at most {count:d} times")
    def max_calls(context: Any, count: int) -> None:
        WatcherSteps._run(context)
        assert sum(context.sources.calls.values()) <= count, context.sources.calls

    @staticmethod
    @then("the registry and the configuration have been read")
    def everything_read(context: Any) -> None:
        WatcherSteps._run(context)
        assert context.view.complete

    @staticmethod
    @then("the owners were read at most {count:d} times")
    def max_owner_reads(context: Any, count: int) -> None:
        WatcherSteps._run(context)
        assert context.sources.calls["owners"] <= count, context.sources.calls

    @staticmethod
    @then("only the configuration was read")
    def only_configuration_read(context: Any) -> None:
        WatcherSteps._run(context)
        assert set(context.sources.calls) == {"configuration"}, context.sources.calls

"""Steps of users_platform/configurations.feature: the feed, the watcher and links under load."""

from __future__ import annotations

import gc
import json
import statistics
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import trio
import trio.testing
from behave import given
from behave import then
from behave import when
from features.support.configurations import changed_timeout_s
from features.support.configurations import configuration_json
from features.support.configurations import feed_response
from features.support.scripted_upstream import ScriptedServer
from features.support.task_steps import TaskStepTimes

from acaciasaddle.clock import TrioClock
from acaciasaddle.fleet import FleetView
from acaciasaddle.fleet import Registry
from acaciasaddle.fleet import RegistryChange
from acaciasaddle.links._messages import ANSWER_DECODER
from acaciasaddle.links._messages import NO_CONFIGURATION
from acaciasaddle.links._messages import FrameStream
from acaciasaddle.links._messages import State
from acaciasaddle.links._messages import decode_configuration
from acaciasaddle.links._messages import encode_configuration
from acaciasaddle.node._watch import Watcher
from acaciasaddle.platform import PlatformConfigurations
from acaciasaddle.platform import StoreClient
from acaciasaddle.platform._store import _ROWS
from acaciasaddle.table import Scan

if TYPE_CHECKING:
    from collections.abc import Iterator

    from acaciasaddle.fleet import ConfigurationChange
    from acaciasaddle.routing import Configuration

STORM_LIMIT_S = 20.0
NESTED_LISTS = "[" * 4000
MALFORMED_ROUTE = 99
"""The last route of a configuration of 100 routes, which is the same in all of them."""


def _view() -> FleetView:
    return FleetView(clock=TrioClock(wall_offset=0.0))


@contextmanager
def _collector_as_in_a_node() -> Iterator[None]:
    """Set the garbage collector as a node does, which leaves objects of its start alone."""
    thresholds = gc.get_threshold()
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 100)
    try:
        yield
    finally:
        gc.set_threshold(*thresholds)
        gc.unfreeze()


class _HistoryStore:
    """Stands in for the store's client; a feed has each write since a version, newest first."""

    def __init__(self, values: list[bytes]) -> None:
        self._values = values
        self.written = 0
        self._changed = trio.Event()

    def write(self) -> None:
        """Write the next configuration."""
        self.written += 1
        self._changed.set()
        self._changed = trio.Event()

    async def rows(self, table: str) -> Any:
        return self._page(max(0, self.written - 1))

    async def feed(self, table: str, *, after: int, wait_s: float) -> Any:
        with trio.move_on_after(wait_s):
            while self.written <= after:
                await self._changed.wait()
        await trio.lowlevel.checkpoint()
        return self._page(after)

    def _page(self, after: int) -> Any:
        versions = range(after + 1, self.written + 1)
        pages = [
            _ROWS.decode(feed_response(version=version, data=self._values[version - 1]))
            for version in versions
        ]
        page = pages[-1] if pages else _ROWS.decode(b'{"ver":0,"rows":[]}')
        page.ver = self.written
        page.rows = [row for found in reversed(pages) for row in found.rows]
        return page


class _OtherSources(Registry):
    """Registry and table without changes."""

    async def changes(self, *, since: int) -> RegistryChange:
        await trio.sleep(0.1)
        return RegistryChange(revision=1, complete=True, entries={})

    async def scan(self, prefix: str, *, since: int, wait_s: float = 0.0) -> Scan:
        await trio.sleep(wait_s)
        return Scan(revision=1, rows=())


@dataclass(slots=True, kw_only=True)
class _InForce:
    """Versions in force in their order, and those whose routes were not those of one version."""

    versions: list[int] = field(default_factory=list)
    mixed: list[int] = field(default_factory=list)


class TakingInSteps:
    """Guards against an event loop that stands still, and against mixed or older routes."""

    @staticmethod
    @given("a store with configurations of {routes:d} routes, {share:g} % of which differ in each")
    def store(context: Any, routes: int, share: float) -> None:
        context.routes, context.share = routes, share / 100

    @staticmethod
    def _value(context: Any, version: int) -> bytes:
        return configuration_json(
            version=version, routes=context.routes, changed_share=context.share
        )

    @staticmethod
    async def _take_in(context: Any, values: list[bytes]) -> list[ConfigurationChange]:
        """Take in configurations from a store on loopback, and note the longest steps of tasks."""
        responses = []
        for index, data in enumerate(values):
            body = feed_response(version=index + 1, data=data).decode()
            responses.append(f"+HTTP/1.1 200 X\r\nContent-Length: {len(body)}\r\n\r\n{body}")
        server = ScriptedServer(responses=responses)
        view, times = _view(), TaskStepTimes()
        changes: list[ConfigurationChange] = []
        context.longest_s, context.in_force = [], []
        async with trio.open_nursery() as nursery:
            await nursery.start(server.run)
            feed = PlatformConfigurations(store=StoreClient(address=server.address))
            trio.lowlevel.add_instrument(times)
            for index in range(len(values)):
                times.reset()
                changes.append(await feed.changes(since=index, wait_s=1.0))
                if changes[-1].configuration is not None:
                    view.apply_configuration(changes[-1].configuration)
                await trio.lowlevel.checkpoint()
                context.longest_s.append(times.longest_s)
                context.in_force.append(view.configuration)
            trio.lowlevel.remove_instrument(times)
            nursery.cancel_scope.cancel()
        return changes

    @staticmethod
    @when("a host takes in {count:d} of them")
    def take_in(context: Any, count: int) -> None:
        values = [TakingInSteps._value(context, index + 1) for index in range(count)]
        with _collector_as_in_a_node():
            context.changes = trio.run(TakingInSteps._take_in, context, values)

    @staticmethod
    @when("a configuration of {routes:d} routes is sent over a link {count:d} times")
    def send(context: Any, routes: int, count: int) -> None:
        context.routes, context.share = routes, 1.0
        context.longest_s = []

        async def main() -> None:
            [change] = await TakingInSteps._take_in(context, [TakingInSteps._value(context, 1)])
            cfg = change.configuration
            state = State(
                member="m",
                role_version=1,
                role_age_s=0.0,
                hosts=2,
                configuration_age_s=0.0,
                registry_age_s=0.0,
                configuration_version=1,
                configuration=NO_CONFIGURATION,
                registry=None,
                owners=[],
                busy={},
                peers=[],
            )
            context.longest_s = []
            near, far = trio.testing.memory_stream_pair()
            sender = FrameStream(stream=near, peer="receiver")
            receiver = FrameStream(stream=far, peer="sender")
            times = TaskStepTimes()

            async def send() -> None:
                encoded = encode_configuration(cfg)
                await sender.send(msgspec.structs.replace(state, configuration=encoded))

            trio.lowlevel.add_instrument(times)
            for _ in range(count):
                times.reset()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(send)
                    received = await receiver.receive(ANSWER_DECODER)
                    decoded = await decode_configuration(received.configuration, peer="sender")
                assert decoded == cfg
                context.longest_s.append(times.longest_s)
            trio.lowlevel.remove_instrument(times)

        with _collector_as_in_a_node():
            trio.run(main)

    @staticmethod
    @then("no task keeps the event loop for more than {limit_ms:g} ms of processor time")
    def longest_step(context: Any, limit_ms: float) -> None:
        # Processor time grows when the machine's caches and cores are shared, so one configuration
        # of several may take longer.
        longest_ms = statistics.median(context.longest_s) * 1000
        assert longest_ms <= limit_ms, [round(each * 1000, 1) for each in context.longest_s]

    @staticmethod
    @when("{count:d} of them are written one after the other while a host takes them in")
    def storm(context: Any, count: int) -> None:
        context.written = count
        context.seen = _InForce()
        values = [TakingInSteps._value(context, index + 1) for index in range(count)]
        trio.run(TakingInSteps._run_storm, context, values)

    @staticmethod
    async def _run_storm(context: Any, values: list[bytes]) -> None:
        store: Any = _HistoryStore(values)
        view, others = _view(), _OtherSources()
        table: Any = others
        watcher = Watcher(
            view=view,
            configurations=PlatformConfigurations(store=store),
            registry=others,
            table=table,
            up_to_date=lambda: False,
            configuration_up_to_date=lambda: False,
            leading=lambda: False,
        )
        store.write()
        async with trio.open_nursery() as nursery:
            await nursery.start(watcher.run)
            with trio.move_on_after(STORM_LIMIT_S):
                while not view.configuration or view.configuration.version < len(values):
                    await trio.lowlevel.checkpoint()
                    TakingInSteps._observe(context, view)
                    if view.configuration is not None and store.written < len(values):
                        store.write()
            nursery.cancel_scope.cancel()

    @staticmethod
    def _observe(context: Any, view: FleetView) -> None:
        cfg, routes, seen = view.configuration, view.routes, context.seen
        if cfg is None or routes is None or seen.versions[-1:] == [cfg.version]:
            return
        seen.versions.append(cfg.version)
        expected = [changed_timeout_s(cfg.version)] * round(context.routes * context.share)
        expected += [changed_timeout_s(1)] * (context.routes - len(expected))
        found = [route.timeout_s for route in cfg.routes]
        matched = [routes.match(route.host, route.prefix) for route in cfg.routes]
        if found != expected or any(a is not b for a, b in zip(matched, cfg.routes, strict=True)):
            seen.mixed.append(cfg.version)

    @staticmethod
    @then("versions in force only increase, and the last one is the newest")
    def only_increase(context: Any) -> None:
        versions = context.seen.versions
        assert versions == sorted(set(versions)), versions
        assert versions[-1:] == [context.written], versions

    @staticmethod
    @then("some were never in force, since a newer one was waiting")
    def skipped(context: Any) -> None:
        assert len(context.seen.versions) < context.written, context.seen.versions

    @staticmethod
    @then("each one in force was whole")
    def whole(context: Any) -> None:
        assert not context.seen.mixed, context.seen.mixed

    @staticmethod
    @then("{same:d} routes of both are the same objects, and {different:d} differ")
    def shared(context: Any, same: int, different: int) -> None:
        first, second = (change.configuration.routes for change in context.changes)
        pairs = list(zip(first, second, strict=True))
        assert sum(a is b for a, b in pairs) == same
        assert sum(a != b for a, b in pairs) == different

    @staticmethod
    @when("a host reads the same one twice")
    def read_twice(context: Any) -> None:
        values = [TakingInSteps._value(context, 1)] * 2
        context.changes = trio.run(TakingInSteps._take_in, context, values)

    @staticmethod
    @then("both reads return the same object")
    def same_object(context: Any) -> None:
        first, second = (change.configuration for change in context.changes)
        assert first is not None and first is second

    @staticmethod
    @when(
        "a host takes in one, then one in which {text} of an unchanged route is replaced by "
        "{malformed}, then one"
    )
    def malformed(context: Any, text: str, malformed: str) -> None:
        values = [TakingInSteps._value(context, version) for version in (1, 2, 3)]
        new = malformed.replace("nested lists", NESTED_LISTS).encode("latin-1")
        new = new.replace(rb"\xff", b"\xff")
        start = values[1].index(f'{{"name": "r-{MALFORMED_ROUTE}"'.encode())
        assert text.encode() in values[1][start:]
        values[1] = values[1][:start] + values[1][start:].replace(text.encode(), new, 1)
        context.changes = trio.run(TakingInSteps._take_in, context, values)

    @staticmethod
    @then("the second one was rejected with a reason")
    def rejected(context: Any) -> None:
        change = context.changes[1]
        assert change.configuration is None and change.problem, change

    @staticmethod
    @then(
        "the first one stayed in force until the third one, which has the routes that it should "
        "have"
    )
    def previous_stays(context: Any) -> None:
        in_force: list[Configuration] = context.in_force
        assert [cfg.version for cfg in in_force] == [1, 1, 3]
        raw = json.loads(TakingInSteps._value(context, 3))
        expected = [
            (path["name"], path["timeoutS"])
            for entry in raw["virtualHosts"]
            for path in entry["paths"]
        ]
        assert [(route.name, route.timeout_s) for route in in_force[2].routes] == expected

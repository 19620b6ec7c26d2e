"""Steps of links/restored.feature: a coordinator and hosts, linked over loopback."""

from __future__ import annotations

from typing import Any

import msgspec
import trio
from behave import given
from behave import then
from behave import when
from features.support.linked_hosts import make_links
from features.support.older_build import OldRegistryPart
from features.support.older_build import OldReport
from features.support.older_build import OldState
from structlog.testing import capture_logs

from acaciasaddle.clock import TrioClock
from acaciasaddle.fleet import FleetView
from acaciasaddle.fleet import RegistryChange
from acaciasaddle.fleet import UpstreamEntry
from acaciasaddle.fleet import UpstreamIncarnation
from acaciasaddle.links._changes import RegistryCursor
from acaciasaddle.links._messages import ANSWER_DECODER
from acaciasaddle.links._messages import NO_CONFIGURATION
from acaciasaddle.links._messages import REPORT_DECODER
from acaciasaddle.links._messages import RegistryPart
from acaciasaddle.links._messages import Report
from acaciasaddle.links._messages import State
from acaciasaddle.model import revision_of
from acaciasaddle.routing import CallerLimits
from acaciasaddle.routing import Configuration


def _entries(text: str) -> tuple[dict[str, UpstreamEntry], frozenset[str]]:
    """Return the entries in a text such as ``u1*, u2``, and the names marked with a star."""
    names = text.split(", ")
    entries = {
        name: UpstreamEntry(
            life=UpstreamIncarnation(upstream_id=name, started_ms=5),
            service="s",
            address="10.0.0.1:80",
            data_centre="east",
            slots=2,
            draining=False,
            cold_s=0.0,
        )
        for name in (marked.rstrip("*") for marked in names)
    }
    return entries, frozenset(name.rstrip("*") for name in names if name.endswith("*"))


class _LinkedHosts:
    """A coordinator, which is the first host, and other hosts. They run while a step does."""

    def __init__(self, *, versions: list[int]) -> None:
        clock = TrioClock(wall_offset=0.0)
        self._steps: list[tuple[FleetView, RegistryChange] | float] = []
        self.views = [FleetView(clock=clock) for _ in versions]
        self.links = make_links(self.views, clock)
        for view, version in zip(self.views, versions, strict=True):
            self._steps.append((view, RegistryChange(revision=0, complete=True, entries={})))
            view.apply_configuration(
                Configuration(version=version, routes=(), services={}, limits=CallerLimits())
            )

    def note_registry(self, view: FleetView, text: str, revision: str) -> None:
        era, _, version = revision.partition(":")
        entries, restored = _entries(text)
        change = RegistryChange(
            revision=revision_of(int(era), int(version)),
            complete=True,
            entries=entries,
            restored=restored,
        )
        self._steps.append((view, change))

    def run_later(self, seconds: float) -> None:
        self._steps.append(seconds)

    def play(self, read: Any) -> Any:
        """Play all steps so far on a new event loop, and return what ``read`` returns then."""

        async def main() -> Any:
            async with trio.open_nursery() as nursery:
                for link in self.links:
                    await nursery.start(link.run)
                nursery.start_soon(self._keep_reading)
                for step in self._steps:
                    if isinstance(step, tuple):
                        view, change = step
                        view.apply_registry(change)
                    else:
                        await trio.sleep(step)
                result = read(self)
                nursery.cancel_scope.cancel()
            return result

        return trio.run(main)

    async def _keep_reading(self) -> None:
        while True:
            self.views[0].note_registry_read(age_s=0.0)
            for view in self.views:
                view.note_configuration_read()
            await trio.sleep(0.05)


class RestoredLinksSteps:
    """Guards against hosts and coordinators that go back to what an older copy shows."""

    @staticmethod
    @given(
        "a coordinator with configuration {own:d} and {count:d} host with configuration "
        "{version:d}, in links"
    )
    @given(
        "a coordinator with configuration {own:d} and {count:d} hosts with configuration "
        "{version:d}, in links"
    )
    def linked(context: Any, own: int, count: int, version: int) -> None:
        context.make_hosts = lambda: _LinkedHosts(versions=[own] + [version] * count)
        context.actions = []

    @staticmethod
    def _play(context: Any, read: Any) -> Any:
        hosts = context.make_hosts()
        for action in context.actions:
            action(hosts)
        with capture_logs() as context.logs:
            return hosts.play(read)

    @staticmethod
    @when("the links have run for {seconds:g} s")
    def runs(context: Any, seconds: float) -> None:
        context.actions.append(lambda hosts: hosts.run_later(seconds))

    @staticmethod
    @given('all of them have the registry "{entries}" of {revision}')
    def all_have(context: Any, entries: str, revision: str) -> None:
        for index in range(2):
            RestoredLinksSteps._note(context, index, entries, revision)

    @staticmethod
    @given('the host has the registry "{entries}" of {revision}')
    def host_has(context: Any, entries: str, revision: str) -> None:
        RestoredLinksSteps._note(context, 1, entries, revision)

    @staticmethod
    @when(
        'the coordinator has the registry "{entries}" of {revision}, and the links run for '
        "{seconds:g} s"
    )
    def coordinator_has(context: Any, entries: str, revision: str, seconds: float) -> None:
        RestoredLinksSteps._note(context, 0, entries, revision)
        RestoredLinksSteps.runs(context, seconds)

    @staticmethod
    def _note(context: Any, index: int, entries: str, revision: str) -> None:
        context.actions.append(
            lambda hosts: hosts.note_registry(hosts.views[index], entries, revision)
        )

    @staticmethod
    @then("the coordinator has configuration {version:d}")
    def coordinator_configuration(context: Any, version: int) -> None:
        found = RestoredLinksSteps._play(context, lambda hosts: hosts.views[0].configuration)
        assert found.version == version, found.version

    @staticmethod
    @then("one host was asked for its configuration")
    def asked(context: Any) -> None:
        found = [line for line in context.logs if line["event"].startswith("asking a host")]
        assert len(found) == 1, found

    @staticmethod
    @then("no host was asked for its configuration")
    def not_asked(context: Any) -> None:
        assert not [line for line in context.logs if line["event"].startswith("asking a host")]

    @staticmethod
    @then('the host has the upstreams "{names}", of which "{restored}" may be from the copy')
    @then('the host has the upstreams "{names}", of which "" may be from the copy')
    def host_upstreams(context: Any, names: str, restored: str = "") -> None:
        view = RestoredLinksSteps._play(context, lambda hosts: hosts.views[1])
        assert ", ".join(sorted(view.upstreams)) == names, view.upstreams
        assert ", ".join(sorted(view.restored)) == restored, view.restored

    @staticmethod
    @then("the host is up to date")
    def up_to_date(context: Any) -> None:
        assert RestoredLinksSteps._play(context, lambda hosts: hosts.links[1].is_up_to_date())

    @staticmethod
    @then("the host is not up to date")
    def not_up_to_date(context: Any) -> None:
        linked, up_to_date = RestoredLinksSteps._play(
            context, lambda hosts: (hosts.links[1].linked(), hosts.links[1].is_up_to_date())
        )
        assert linked and not up_to_date


class RestoredCursorSteps:
    """Guards against a host that is not told that an upstream has written its entry again."""

    @staticmethod
    def _advance(context: Any, text: str, era: int) -> RegistryPart | None:
        entries, restored = _entries(text)
        part: RegistryPart | None = context.cursor.advance(entries, restored=restored, era=era)
        return part

    @staticmethod
    @given('a cursor that has sent "{entries}" of era {era:d}')
    def cursor(context: Any, entries: str, era: int) -> None:
        context.cursor = RegistryCursor()
        RestoredCursorSteps._advance(context, entries, era)

    @staticmethod
    @then('for "{entries}" of era {era:d} it sends the changes "{sent}"')
    @then('for "{entries}" of era {era:d} it sends all of "{sent}"')
    @then('for "{entries}" of era {era:d} it sends nothing')
    def sends(context: Any, entries: str, era: int, sent: str = "") -> None:
        part = RestoredCursorSteps._advance(context, entries, era)
        if part is None:
            assert not sent
            return
        names = [
            entry.upstream_id + "*" * (entry.upstream_id in part.restored) for entry in part.entries
        ]
        assert (", ".join(names), part.complete) == (sent, sent == entries), part


REPORT = {
    "host_id": "h1",
    "address": "10.0.0.1:1",
    "samples": [("s", 4, "u1", 0.5)],
    "busy": {"u1": 1},
    "owners": {"s": 7},
    "needs_configuration": True,
    "leaving": [("u1", 5)],
}
STATE = {
    "member": "h0@1",
    "role_version": 1,
    "role_age_s": 0.1,
    "hosts": 2,
    "configuration_age_s": 0.1,
    "registry_age_s": 0.1,
    "configuration_version": 4,
    "configuration": NO_CONFIGURATION,
    "owners": [],
    "busy": {"u1": 1},
    "peers": ["10.0.0.1:1"],
    "registry_revision": 9,
    "granted": [("s", 3)],
}
PART = {"complete": False, "entries": list(_entries("u1")[0].values()), "removed": ["u2"]}


class OlderBuildSteps:
    """Guards against links that fail while the hosts are of two builds."""

    @staticmethod
    @when("{message} is encoded without the fields of this build")
    def encode(context: Any, message: str) -> None:
        context.message = message
        if message == "a report":
            old: msgspec.Struct = OldReport(**REPORT)
            new: msgspec.Struct = Report(**REPORT, configuration_version=4)
            context.old_decoder = msgspec.msgpack.Decoder(OldReport)
            context.expected = Report(**REPORT)
        else:
            old = OldState(**STATE, registry=OldRegistryPart(**PART))
            part = RegistryPart(**PART, restored=["u1"])
            new = State(**STATE, registry=part, needs_configuration=True)
            context.old_decoder = msgspec.msgpack.Decoder(OldState)
            context.expected = State(**STATE, registry=RegistryPart(**PART))
        context.old, context.new = old, new

    @staticmethod
    @then("it is decoded with their defaults")
    def decoded(context: Any) -> None:
        decoder = REPORT_DECODER if context.message == "a report" else ANSWER_DECODER
        assert decoder.decode(msgspec.msgpack.encode(context.old)) == context.expected

    @staticmethod
    @then("the one of this build is decoded without them")
    def decoded_by_old(context: Any) -> None:
        found = context.old_decoder.decode(msgspec.msgpack.encode(context.new))
        assert found == context.old, found

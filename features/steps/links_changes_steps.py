"""Steps of links/changes.feature."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import trio
from behave import given
from behave import then
from behave import when
from features.support.large_key_map import large_key_map
from features.support.linked_hosts import make_links

from acaciasaddle.clock import TrioClock
from acaciasaddle.errors import PeerError
from acaciasaddle.errors import PeerProtocolError
from acaciasaddle.fleet import FleetView
from acaciasaddle.fleet import RegistryChange
from acaciasaddle.fleet import UpstreamEntry
from acaciasaddle.fleet import UpstreamIncarnation
from acaciasaddle.links._changes import OwnersHistory
from acaciasaddle.links._changes import RegistryCursor
from acaciasaddle.links._changes import apply_part
from acaciasaddle.links._messages import ANSWER_DECODER
from acaciasaddle.links._messages import NO_CONFIGURATION
from acaciasaddle.links._messages import FrameStream
from acaciasaddle.links._messages import RegistryPart
from acaciasaddle.links._messages import State
from acaciasaddle.routing import CallerLimits
from acaciasaddle.routing import Configuration

if TYPE_CHECKING:
    from acaciasaddle.keyspace import KeyMap
    from acaciasaddle.links._messages import OwnersPart


def _state(owners: list[OwnersPart]) -> State:
    return State(
        member="h0@1",
        role_version=1,
        role_age_s=0.1,
        hosts=70,
        configuration_age_s=0.1,
        registry_age_s=0.1,
        configuration_version=1,
        configuration=NO_CONFIGURATION,
        registry=None,
        owners=owners,
        busy={},
        peers=[],
    )


class OwnersHistorySteps:
    """Guards against owners that a host does not receive or that it combines wrongly."""

    @staticmethod
    @given("the owners of {upstreams:d} upstreams with {spans:d} spans")
    def owners(context: Any, upstreams: int, spans: int) -> None:
        first = large_key_map(upstreams=upstreams, spans=spans)
        context.versions = [first]
        context.history = OwnersHistory(service="s")
        context.history.update(first)

    @staticmethod
    @when("{count:d} spans get other owners")
    @when("{count:d} spans get other owners {times:d} times")
    def change(context: Any, count: int, times: int = 1) -> None:
        for _ in range(times):
            current: KeyMap = context.versions[-1]
            changed = current
            for index in range(count):
                span = current.spans[index * 5]
                other = current.spans[(index * 5 + len(context.versions)) % len(current.spans)]
                fence = changed.fence + 1
                moved = replace(span, owner=other.owner, fence=fence, moving=True)
                changed = changed.replaced(span.keys, [moved], fence=fence)
            context.versions.append(replace(changed, version=current.version + 1))
            context.history.update(context.versions[-1])

    @staticmethod
    @then(
        "a host with the previous version is sent the newest owners in at most {max_bytes:d} bytes"
    )
    def sent_last(context: Any, max_bytes: int) -> None:
        OwnersHistorySteps.sent_since(context, 1, max_bytes)

    @staticmethod
    @then(
        "a host {versions:d} versions behind is sent the newest owners in at most "
        "{max_bytes:d} bytes"
    )
    def sent_since(context: Any, versions: int, max_bytes: int) -> None:
        known = context.versions[-1 - versions]
        parts = context.history.since(known.version)
        size = len(msgspec.msgpack.encode(_state(parts)))
        for part in parts:
            known = apply_part(part, known)
        assert known == context.versions[-1]
        assert size <= max_bytes, size

    @staticmethod
    @then("a host {versions:d} versions behind is sent all owners in one part")
    def sent_all(context: Any, versions: int) -> None:
        (part,) = context.history.since(context.versions[-1].version - versions)
        assert part.base == 0
        assert apply_part(part, None) == context.versions[-1]

    @staticmethod
    @then("a host with owners of another version refuses the change")
    def refused(context: Any) -> None:
        (part,) = context.history.since(context.versions[0].version)
        try:
            apply_part(part, replace(context.versions[0], version=7))
        except PeerProtocolError:
            return
        raise AssertionError("the change was accepted")


class RegistryCursorSteps:
    """Guards against entries that a host is never sent, or is sent at every change."""

    @staticmethod
    def _entry(number: int, *, draining: bool = False) -> UpstreamEntry:
        return UpstreamEntry(
            life=UpstreamIncarnation(upstream_id=f"u{number}", started_ms=1),
            service="s",
            address=f"10.0.0.1:{number}",
            data_centre="north",
            slots=2,
            draining=draining,
            cold_s=0.0,
        )

    @staticmethod
    @given("{count:d} entries of upstreams were sent")
    def sent(context: Any, count: int) -> None:
        context.entries = {f"u{n}": RegistryCursorSteps._entry(n) for n in range(count)}
        context.cursor = RegistryCursor()
        part = context.cursor.advance(context.entries)
        assert part is not None and part.complete and len(part.entries) == count

    @staticmethod
    @when("{changed:d} entries change, {new:d} is new and {removed:d} are removed")
    def change(context: Any, changed: int, new: int, removed: int) -> None:
        entries = dict(context.entries)
        for number in range(changed):
            entries[f"u{number}"] = RegistryCursorSteps._entry(number, draining=True)
        for number in range(1_000, 1_000 + new):
            entries[f"u{number}"] = RegistryCursorSteps._entry(number)
        for number in range(100, 100 + removed):
            del entries[f"u{number}"]
        context.entries = entries

    @staticmethod
    @then("{count:d} entries and {removed:d} removals are sent")
    def changes(context: Any, count: int, removed: int) -> None:
        part = context.cursor.advance(context.entries)
        assert part is not None and not part.complete
        assert (len(part.entries), len(part.removed)) == (count, removed)

    @staticmethod
    @then("then nothing more is sent")
    def nothing_more(context: Any) -> None:
        assert context.cursor.advance(dict(context.entries)) is None


class _LoopbackStream:
    """A stream that returns what was sent over it, and counts the bytes."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.sent = 0

    async def send_all(self, data: bytes) -> None:
        self.data += data
        self.sent += len(data)

    async def receive_some(self, count: int) -> bytes:
        received, self.data = bytes(self.data[:count]), self.data[count:]
        return received


class FrameStreamSteps:
    """Guards against messages that are too large for the link or arrive changed."""

    @staticmethod
    @when("all owners of {upstreams:d} upstreams with {spans:d} spans are sent over a link")
    def send(context: Any, upstreams: int, spans: int) -> None:
        history = OwnersHistory(service="s")
        history.update(large_key_map(upstreams=upstreams, spans=spans))
        context.sent_state = _state(history.since(0))

        async def main() -> None:
            stream: Any = _LoopbackStream()
            frames = FrameStream(stream=stream, peer="p")
            await frames.send(context.sent_state)
            context.sent_bytes = stream.sent
            context.received_state = await frames.receive(ANSWER_DECODER)

        trio.run(main)

    @staticmethod
    @when("an entry with a start of 128 bits is sent over a link")
    def send_large_number(context: Any) -> None:
        life = UpstreamIncarnation(upstream_id="u1", started_ms=2**127)
        entry = replace(RegistryCursorSteps._entry(1), life=life)
        part = RegistryPart(complete=True, entries=[entry], removed=[])

        async def main() -> None:
            stream: Any = _LoopbackStream()
            await FrameStream(stream=stream, peer="p").send(
                msgspec.structs.replace(_state([]), registry=part)
            )

        context.link_error = None
        try:
            trio.run(main)
        except PeerError as exc:
            context.link_error = exc

    @staticmethod
    @then('the link fails with "{reason}"')
    def fails(context: Any, reason: str) -> None:
        assert reason in str(context.link_error), context.link_error

    @staticmethod
    @then("they arrive unchanged in at most {max_bytes:d} bytes")
    def unchanged(context: Any, max_bytes: int) -> None:
        assert context.received_state == context.sent_state
        assert context.sent_bytes <= max_bytes, context.sent_bytes


class LinkedHostsSteps:
    """Guards against a configuration that a host neither reads itself nor gets over its link."""

    @staticmethod
    def _view(clock: TrioClock, version: int) -> FleetView:
        view = FleetView(clock=clock)
        view.apply_configuration(
            Configuration(version=version, routes=(), services={}, limits=CallerLimits())
        )
        view.note_configuration_read()
        view.apply_registry(RegistryChange(revision=1, complete=True, entries={}))
        return view

    @staticmethod
    @given(
        "a coordinator with configuration {newer:d} and a host with configuration {older:d}, linked"
    )
    def linked(context: Any, newer: int, older: int) -> None:
        context.link_versions = (newer, older)
        context.link_runs = []
        context.link_change_s = math.inf

    @staticmethod
    @when("a new configuration reaches the coordinator every {seconds:g} s")
    def changes(context: Any, seconds: float) -> None:
        context.link_change_s = seconds

    @staticmethod
    @when("the link runs for {seconds:g} s")
    def runs(context: Any, seconds: float) -> None:
        context.link_runs.append(seconds)

    @staticmethod
    def _run_links(context: Any, seconds: float) -> tuple[bool, int]:
        """Run the links for a time.

        Return whether the host then has the coordinator's configuration, and the version it has.
        """

        async def main() -> tuple[bool, int]:
            clock = TrioClock(wall_offset=0.0)
            newer, older = context.link_versions
            views = [LinkedHostsSteps._view(clock, version) for version in (newer, older)]
            links = make_links(views, clock)
            async with trio.open_nursery() as nursery:
                for link in links:
                    await nursery.start(link.run)
                started = trio.current_time()
                with trio.move_on_after(seconds):
                    while True:
                        changes = int((trio.current_time() - started) / context.link_change_s)
                        views[0].apply_configuration(
                            Configuration(
                                version=newer + changes,
                                routes=(),
                                services={},
                                limits=CallerLimits(),
                            )
                        )
                        for view in views:
                            view.note_registry_read(age_s=0.0)
                            view.note_configuration_read()
                        await trio.sleep(0.05)
                cfg = views[1].configuration
                result = links[1].configuration_is_up_to_date(), cfg.version if cfg else 0
                assert links[1].is_up_to_date(), "the host is not linked"
                nursery.cancel_scope.cancel()
            return result

        return trio.run(main)

    @staticmethod
    @then("the host has to read the configuration itself")
    def not_up_to_date(context: Any) -> None:
        up_to_date, version = LinkedHostsSteps._run_links(context, context.link_runs[0])
        assert not up_to_date and version == context.link_versions[1]

    @staticmethod
    @then("the host has configuration {version:d}")
    def has_configuration(context: Any, version: int) -> None:
        assert LinkedHostsSteps._run_links(context, sum(context.link_runs)) == (True, version)

    @staticmethod
    @then("the host is at most {seconds:g} s behind the coordinator")
    def has_recent_configuration(context: Any, seconds: float) -> None:
        run_s = sum(context.link_runs)
        _, version = LinkedHostsSteps._run_links(context, run_s)
        oldest = context.link_versions[0] + int((run_s - seconds) / context.link_change_s)
        assert version >= oldest, f"configuration {version} after {run_s} s, not {oldest} or newer"

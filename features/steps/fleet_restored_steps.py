"""Steps of fleet_view/restored.feature, beside those of fleet_view_steps.py."""

from __future__ import annotations

from typing import Any

from behave import then
from behave import when

from acaciasaddle.fleet import RegistryChange
from acaciasaddle.fleet import UpstreamEntry
from acaciasaddle.fleet import UpstreamIncarnation
from acaciasaddle.keyspace import KeyMap
from acaciasaddle.model import era_of
from acaciasaddle.model import revision_of
from acaciasaddle.model import version_of


def _entry(name: str, started_ms: str) -> UpstreamEntry:
    return UpstreamEntry(
        life=UpstreamIncarnation(upstream_id=name, started_ms=int(started_ms or 5)),
        service="s",
        address="10.0.0.1:80",
        data_centre="east",
        slots=2,
        draining=False,
        cold_s=0.0,
    )


def _change(revision: str, text: str, *, complete: bool) -> RegistryChange:
    """Return the news of entries such as ``u1``, ``u1 of START``, ``u1*`` and ``-u1``."""
    era, _, version = revision.partition(":")
    entries: dict[str, UpstreamEntry | None] = {}
    restored = set()
    for item in text.split(", "):
        name, _, start = item.rstrip("*").partition(" of ")
        if name.startswith("-"):
            entries[name[1:]] = None
            continue
        entries[name] = _entry(name, start)
        if item.endswith("*"):
            restored.add(name)
    return RegistryChange(
        revision=revision_of(int(era), int(version)),
        complete=complete,
        entries=entries,
        restored=frozenset(restored),
    )


class RestoredViewSteps:
    """Guards against upstreams that an older copy of the store takes away or brings back."""

    @staticmethod
    @when('after {pause:g} s the registry at {revision} has "{entries}"')
    def complete(context: Any, pause: float, revision: str, entries: str) -> None:
        context.clock.at += pause
        context.view.apply_registry(_change(revision, entries, complete=True))

    @staticmethod
    @when('after {pause:g} s the registry at {revision} changes to "{entries}"')
    def changes(context: Any, pause: float, revision: str, entries: str) -> None:
        context.clock.at += pause
        context.serial = context.view.registry_serial
        context.view.apply_registry(_change(revision, entries, complete=False))

    @staticmethod
    @then('"{name}" has {slots:d} slots')
    def slots(context: Any, name: str, slots: int) -> None:
        assert context.view.upstreams[name].slots == slots

    @staticmethod
    @then('the confirmed incarnations are "{names}"')
    def confirmed(context: Any, names: str) -> None:
        view = context.view
        found = [name for name, entry in view.upstreams.items() if view.is_confirmed(entry.life)]
        assert sorted(found) == names.split(", "), found
        other = UpstreamIncarnation(upstream_id=found[0], started_ms=6)
        assert not view.is_confirmed(other)

    @staticmethod
    @then("none is confirmed for an era that was not read yet")
    def not_read(context: Any) -> None:
        view = context.view
        assert not any(view.is_confirmed(entry.life, era=1) for entry in view.upstreams.values())

    @staticmethod
    @then('entries that may be from the copy are "{names}"')
    @then('entries that may be from the copy are ""')
    def restored(context: Any, names: str = "") -> None:
        assert ", ".join(sorted(context.view.restored)) == names, context.view.restored

    @staticmethod
    @when("the owners of era {era:d} arrive with version {version:d}")
    def owners(context: Any, era: int, version: int) -> None:
        revision = revision_of(era, version)
        context.view.apply_owners("s", KeyMap(spans=(), fence=1, version=revision))

    @staticmethod
    @then("the owners are of era {era:d} and version {version:d}")
    def owners_are(context: Any, era: int, version: int) -> None:
        revision = context.view.owners["s"].version
        assert (era_of(revision), version_of(revision)) == (era, version)

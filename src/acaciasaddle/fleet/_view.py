"""One host's view of the configuration, the upstreams and the owners, and the age of that view."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

import trio

from acaciasaddle.fleet._leaving import LeavingIncarnations
from acaciasaddle.fleet._types import UpstreamIncarnation
from acaciasaddle.model import era_of
from acaciasaddle.observe import get_logger
from acaciasaddle.routing import RouteTable

if TYPE_CHECKING:
    from acaciasaddle.clock import Clock
    from acaciasaddle.fleet._types import RegistryChange
    from acaciasaddle.fleet._types import UpstreamEntry
    from acaciasaddle.keyspace import KeyMap
    from acaciasaddle.routing import Configuration

RETURN_LIMIT_S = 2.2
"""Upstreams that are missing after an outage of the registry are kept for this long. Those whose
entries expired during the outage return within about 2 s. So do those that the store lost when it
came back from an older copy."""
LEAVING_GRACE_S = 1.0
"""Upstreams serve for 2 s after the first answer that says that they leave. The coordinator moves
their keys within a report, 0.4 s, and a round, 0.25 s."""
REMOVAL_MEMORY_S = 30.0
"""A removal is remembered for this long. Links report what was read a few seconds ago at most."""
STANDS_S = 3.6
"""An entry of an older copy that is still the same this long after the store's return is as its
upstream left it: those that were written since the copy are written again within about 2 s, and
polls see that 0.6 s later."""
OUTAGE_S = 1.5
"""A registry is taken to have had an outage if it was not read for this long and this host's own
reads failed meanwhile. In a shorter one no entry expires, since upstreams may miss two reports."""

log = get_logger("fleet")


@dataclass(frozen=True, slots=True, kw_only=True)
class _Removal:
    """A removed incarnation, and the revision and the time at which it was last seen to be."""

    life: UpstreamIncarnation
    revision: int
    at: float


class FleetView:
    """The newest known state. On every change ``changed`` is set and replaced by a new event.

    A new entry of a known upstream is a change if it differs in more than the warm-up.
    ``registry_serial`` increases with every change of the upstreams, and ``registry_revision`` is
    the latest revision of the registry that was read. ``granted`` has the service and the fencing
    token of each move whose keys were granted although the owners still show them as moving.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self.configuration: Configuration | None = None
        self.routes: RouteTable | None = None
        self.upstreams: dict[str, UpstreamEntry] = {}
        self.owners: dict[str, KeyMap] = {}
        self.changed = trio.Event()
        self.registry_read_at: float | None = None
        self.configuration_read_at: float | None = None
        self.registry_serial = 0
        self.registry_revision = 0
        self.granted: set[tuple[str, int]] = set()
        self._leaving = LeavingIncarnations()
        self._missing_since: dict[str, float] = {}
        # Whether a read of the registry by this host has failed since the last news of it.
        self._reads_failed = False
        self._moving_since: dict[tuple[str, int], float] = {}
        self._removals: dict[str, _Removal] = {}
        self._restored_at: float | None = None
        # Upstreams whose entry was not written since the store came back from an older copy.
        self._restored: set[str] = set()
        # Entries of the copy that are not used, since their incarnations were removed before.
        self._held_back: dict[str, UpstreamEntry] = {}

    @property
    def complete(self) -> bool:
        """Whether a configuration is in force and the registry has been read since the start."""
        return self.configuration is not None and self.registry_read_at is not None

    @property
    def registry_age_s(self) -> float | None:
        """Seconds since the registry was read, or ``None`` if it never was."""
        if self.registry_read_at is None:
            return None
        return round(self._clock.now() - self.registry_read_at, 3)

    @property
    def registered(self) -> dict[str, UpstreamEntry]:
        """The upstreams without those that are missing since an outage.

        Other hosts are told of these only. Whether one is kept that is missing, each host decides
        by its own reads: an outage of one host is none for the others.
        """
        missing = self._missing_since
        return {name: entry for name, entry in self.upstreams.items() if name not in missing}

    @property
    def restored(self) -> frozenset[str]:
        """Registered upstreams that the store may only have from its older copy."""
        if not self._restored:
            return frozenset()
        return frozenset(self._restored & self.registered.keys())

    def is_confirmed(self, life: UpstreamIncarnation, *, era: int = 0) -> bool:
        """Return whether an incarnation is registered, by an entry of the store's current era.

        An entry of the older copy counts once it has stood for ``STANDS_S``. False also while the
        registry has not been read in ``era`` or a later one.
        """
        entry = self.upstreams.get(life.upstream_id)
        return (
            entry is not None
            and entry.life == life
            and life.upstream_id not in self._missing_since
            and (life.upstream_id not in self._restored or self._stands())
            and era_of(self.registry_revision) >= era
        )

    def _stands(self) -> bool:
        """Return whether entries of the older copy have stood for long enough."""
        since, read_at = self._restored_at, self.registry_read_at
        return since is not None and read_at is not None and read_at - since > STANDS_S

    def upstreams_of(self, service: str) -> list[UpstreamEntry]:
        """Return the upstreams of a service that take new work."""
        return [
            entry
            for entry in self.upstreams.values()
            if entry.service == service and not entry.draining
        ]

    def note_leaving(self, life: UpstreamIncarnation, *, told_by: str) -> None:
        """Note that an answer of an upstream said that it leaves.

        ``told_by`` names for the log what was answered, or the host that reported it. The upstream
        counts as draining from now on, whatever the registry says of this incarnation.
        """
        if not self._leaving.note(life, told_at=self._clock.now()):
            return
        entry = self.upstreams.get(life.upstream_id)
        registered = entry is not None and self._leaving.includes(entry.life)
        log.info(
            "upstream leaves, said an answer",
            upstream=life.upstream_id,
            told_by=told_by,
            registered=registered,
            registry_age_s=self.registry_age_s,
        )
        if entry is not None and registered and not entry.draining:
            self.upstreams[life.upstream_id] = replace(entry, draining=True)
            self._note_registry_change()

    def leaving_to_report(self) -> list[UpstreamIncarnation]:
        """Return the registered incarnations of which only answers have said that they leave."""
        entries = self.upstreams
        return [
            life
            for life in self._leaving.told_by_answers()
            if (entry := entries.get(life.upstream_id)) is not None and entry.life == life
        ]

    def may_own_for_now(self, entry: UpstreamEntry) -> bool:
        """Return whether a draining upstream may still serve its keys until they are moved.

        True for ``LEAVING_GRACE_S`` after an answer said that it leaves, as long as nothing else
        has: the coordinator learns of it only now.
        """
        told_at = self._leaving.told_at(entry.life)
        return told_at is not None and self._clock.now() - told_at < LEAVING_GRACE_S

    def apply_configuration(self, cfg: Configuration) -> None:
        """Put a configuration in force if it is newer than the one in force."""
        current = self.configuration
        if current is not None and cfg.version <= current.version:
            if cfg.version < current.version:
                log.warning(
                    "older configuration ignored", version=cfg.version, in_force=current.version
                )
            return
        log.info(
            "configuration in force",
            version=cfg.version,
            routes=len(cfg.routes),
            idle_timeout_s=cfg.limits.idle_timeout_s,
        )
        self.configuration = cfg
        self.routes = RouteTable(cfg=cfg)
        self._notify()

    def note_configuration_read(self, *, age_s: float = 0.0) -> None:
        """Note that the configuration was read ``age_s`` seconds ago, whether changed or not."""
        self.configuration_read_at = self._clock.now() - age_s

    def apply_owners(self, service: str, owners: KeyMap) -> None:
        """Replace the owners of a service's keys if the given ones are newer."""
        current = self.owners.get(service)
        if current is not None and owners.version <= current.version:
            return
        self.owners[service] = owners
        moving = {(service, span.fence) for span in owners.spans if span.moving}
        self.granted = {move for move in self.granted if move[0] != service or move in moving}
        now = self._clock.now()
        before = self._moving_since
        self._moving_since = {key: at for key, at in before.items() if key[0] != service}
        for span in owners.spans:
            if span.moving:
                key = (service, span.fence)
                self._moving_since[key] = before.get(key, now)
        self._notify()

    def note_granted(self, service: str, fence: int) -> None:
        """Note that the keys of a move were granted to the new owner, which serves them now."""
        owners = self.owners.get(service)
        if owners is None or not any(span.moving and span.fence == fence for span in owners.spans):
            return
        self.granted.add((service, fence))
        self._notify()

    def moving_for_s(self, service: str, fence: int) -> float:
        """Return for how many seconds the move with a fencing token has been known."""
        now = self._clock.now()
        return now - self._moving_since.get((service, fence), now)

    def apply_registry(self, change: RegistryChange, *, age_s: float = 0.0) -> None:
        """Apply changes of the registry that were read ``age_s`` seconds ago.

        Entries that are older than the removal of their upstream are ignored: another host may
        report what it read before.

        Upstreams that are missing after an outage are removed by the first call that comes more
        than ``RETURN_LIMIT_S`` later, if they have not returned. A complete read that is older than
        the newest news removes nothing, since an upstream that it lacks may have joined since. A
        revision of 0 is not known.

        The first news of a new era of the store counts as news after an outage, and news of an
        earlier era is ignored. An entry that may be from the older copy only adds an upstream that
        is not known, or shows that a known one drains or has restarted. It does not bring back an
        incarnation that was removed, unless it stands for ``REMOVAL_MEMORY_S``: an upstream that
        lives does not write an entry again that is as it left it, and that of another one expires.
        """
        era, known_era = era_of(change.revision), era_of(self.registry_revision)
        if change.revision > 0 and era < known_era:
            log.info("registry of an earlier era ignored", era=era, known=known_era)
            return
        now = self._clock.now()
        new_era = era > known_era and self.registry_read_at is not None
        after_outage = new_era or (
            self._reads_failed
            and self.registry_read_at is not None
            and now - self.registry_read_at > OUTAGE_S
        )
        self._reads_failed = False
        self.registry_read_at = now - age_s
        is_newest = change.revision == 0 or change.revision >= self.registry_revision
        self.registry_revision = max(self.registry_revision, change.revision)
        restored_before = self.restored
        if new_era:
            log.warning(
                "the store came back from an older copy",
                era=era,
                before=known_era,
                upstreams=len(self.upstreams),
                written_again=len(change.entries) - len(change.restored),
            )
            self._restored_at = now
            self._restored = set(self.upstreams)
            self._missing_since = dict.fromkeys(self._missing_since, now)
        removed = {name for name, entry in change.entries.items() if entry is None}
        if change.complete and is_newest:
            removed |= self.upstreams.keys() - change.entries.keys()
            self._held_back.clear()
        for problem in change.problems:
            log.warning("registry entry not usable", reason=problem)
        changed = False
        for name, entry in change.entries.items():
            if entry is not None and self._is_outdated(name, change.revision):
                continue
            self._held_back.pop(name, None)
            if entry is None:
                continue
            if name not in change.restored:
                self._restored.discard(name)
            elif name not in self.upstreams and self._is_removed(entry.life, now):
                self._held_back[name] = entry
                continue
            changed |= self._missing_since.pop(name, None) is not None
            changed |= self._put_entry(entry, restored=name in change.restored)
        for name in removed & self.upstreams.keys():
            if after_outage:
                changed |= name not in self._missing_since
                self._missing_since.setdefault(name, now)
            elif name not in self._missing_since:
                changed |= self._remove(name, "removed")
        changed |= self._remove_missing(now)
        changed |= self._use_held_back(now)
        if changed or self.restored != restored_before:
            self._note_registry_change()

    def note_registry_read(self, *, age_s: float) -> None:
        """Note that the registry was read ``age_s`` seconds ago without changes."""
        now = self._clock.now()
        self._reads_failed = False
        self.registry_read_at = now - age_s
        changed = self._remove_missing(now)
        changed |= self._use_held_back(now)
        if changed:
            self._note_registry_change()

    def note_registry_failure(self) -> None:
        """Note that a read of the registry by this host has failed."""
        self._reads_failed = True

    def _remove_missing(self, now: float) -> bool:
        """Remove upstreams that have not returned after an outage; return whether there are any."""
        changed = False
        for name, since in list(self._missing_since.items()):
            if now - since > RETURN_LIMIT_S:
                del self._missing_since[name]
                changed |= self._remove(name, "did not return after an outage of the registry")
        return changed

    def _use_held_back(self, now: float) -> bool:
        """Use entries that were held back for long enough; return whether there are any."""
        changed = False
        for name, entry in list(self._held_back.items()):
            if not self._is_removed(entry.life, now):
                del self._held_back[name]
                changed |= self._put_entry(entry, restored=True)
        return changed

    def _note_registry_change(self) -> None:
        self.registry_serial += 1
        self._notify()

    def _is_outdated(self, name: str, revision: int) -> bool:
        """Return whether an entry read at a revision is older than the upstream's removal.

        The revision is 0 if it is not known.
        """
        removal = self._removals.get(name)
        return removal is not None and 0 < revision < removal.revision

    def _is_removed(self, life: UpstreamIncarnation, now: float) -> bool:
        """Return whether an incarnation, or a later one of its upstream, was removed recently."""
        removal = self._removals.get(life.upstream_id)
        return (
            removal is not None
            and life.started_ms <= removal.life.started_ms
            and now - removal.at < REMOVAL_MEMORY_S
        )

    def _put_entry(self, entry: UpstreamEntry, *, restored: bool) -> bool:
        known = self.upstreams.get(entry.upstream_id)
        if restored and known is None:
            self._restored.add(entry.upstream_id)
        elif restored and known is not None and known.life == entry.life:
            entry = replace(known, draining=known.draining or entry.draining)
        if known is not None and entry.life.started_ms < known.life.started_ms:
            log.warning("entry of an earlier incarnation ignored", upstream=entry.upstream_id)
            return False
        if entry.draining:
            self._leaving.note(entry.life, told_at=None)
        elif self._leaving.includes(entry.life):
            entry = replace(entry, draining=True)
        self.upstreams[entry.upstream_id] = entry
        if known is None:
            log.info(
                "upstream joined",
                upstream=entry.upstream_id,
                service=entry.service,
                address=entry.address,
                draining=entry.draining,
            )
        elif known.life != entry.life:
            log.info("upstream restarted", upstream=entry.upstream_id)
        elif entry.draining and not known.draining:
            log.info("upstream draining", upstream=entry.upstream_id)
        return known is None or replace(known, cold_s=entry.cold_s) != entry

    def _remove(self, name: str, reason: str) -> bool:
        entry = self.upstreams.pop(name, None)
        if entry is None:
            return False
        self._restored.discard(name)
        log.info("upstream gone", upstream=name, reason=reason)
        now = self._clock.now()
        self._removals = {
            other: removal
            for other, removal in self._removals.items()
            if now - removal.at < REMOVAL_MEMORY_S
        }
        self._removals[name] = _Removal(life=entry.life, revision=self.registry_revision, at=now)
        return True

    def _notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

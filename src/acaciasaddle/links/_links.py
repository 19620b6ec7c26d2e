"""Connections from every host to the coordinator.

Hosts report their load; the coordinator passes on what it reads from the platform, so that the
others need not read it as well. A host whose link is silent reads for itself again.
"""

from __future__ import annotations

import random
import socket
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import ClassVar

import trio

from acaciasaddle.errors import PeerError
from acaciasaddle.fleet import RegistryChange
from acaciasaddle.kernel import Service
from acaciasaddle.keyspace import ROLE_LEASE_S
from acaciasaddle.keyspace import LoadSample
from acaciasaddle.links._changes import OwnersLog
from acaciasaddle.links._changes import RegistryCursor
from acaciasaddle.links._changes import apply_part
from acaciasaddle.links._messages import ANSWERS
from acaciasaddle.links._messages import REPORTS
from acaciasaddle.links._messages import FrameStream
from acaciasaddle.links._messages import Redirect
from acaciasaddle.links._messages import Report
from acaciasaddle.links._messages import State
from acaciasaddle.observe import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from acaciasaddle.clock import Clock
    from acaciasaddle.fleet import FleetView
    from acaciasaddle.fleet import UpstreamEntry
    from acaciasaddle.keyspace import Coordinator
    from acaciasaddle.keyspace import LoadHistory
    from acaciasaddle.links._messages import OwnersPart
    from acaciasaddle.links._messages import RegistryPart

INTERVAL_S = 0.4
"""Between two reports, and between two states if nothing changes."""
SILENCE_S = 0.9
"""A link without a state for this long is given up; two states may be late."""
CONNECT_TIMEOUT_S = 0.5
RECONNECT_S = 0.2
ALL_LINKED_S = 2.0
"""Hosts find a new coordinator within a poll of 0.5 s, and link to it within 0.7 s more."""
OWN_READING_S = 0.7
"""Time for a host to read a new configuration from the store before it asks the coordinator."""
MAX_AGE_S = 1.6
"""Beliefs that the coordinator read longer ago than this do not spare a host its own reading."""

log = get_logger("links")


@dataclass(slots=True, kw_only=True)
class _Told:
    """What a host has been told over its link."""

    host_id: str
    owners: dict[str, int]
    serial: int = -1
    registry: RegistryCursor = field(default_factory=RegistryCursor)
    needs_configuration: bool = False
    peers: list[str] = field(default_factory=list)


class Links(Service):
    """Listens for other hosts, and keeps a link to the coordinator while that is another host."""

    name: ClassVar[str] = "links"

    def __init__(
        self,
        *,
        host_id: str,
        address: str,
        view: FleetView,
        coordinator: Coordinator,
        load: LoadHistory,
        clock: Clock,
        take_samples: Callable[[], list[LoadSample]],
        busy: Callable[[], dict[str, int]],
    ) -> None:
        """``take_samples`` returns the samples taken since it was last called."""
        self._host_id = host_id
        self._address = address
        self._view = view
        self._coordinator = coordinator
        self._load = load
        self._clock = clock
        self._take_samples = take_samples
        self._busy = busy
        self._owner_logs: dict[str, OwnersLog] = {}
        self._announced_version = 0
        self._announced_at: float | None = None
        self._busy_of: dict[str, dict[str, int]] = {}
        self._state_at: float | None = None
        self._ages_fit = False
        self._hosts = 0
        self._leading_since: float | None = None
        self._total_busy: dict[str, int] = {}
        self._address_of: dict[str, str] = {}
        self._peers: list[str] = []

    @property
    def hosts(self) -> int:
        """The largest number of hosts that were linked at the same time, or 0 if not known."""
        return self._hosts

    def covers(self) -> bool:
        """Whether the coordinator keeps this host informed."""
        return self.linked() and self._ages_fit

    def covers_configuration(self) -> bool:
        """Whether this host has the configuration that the coordinator has."""
        cfg = self._view.configuration
        version = cfg.version if cfg is not None else 0
        return self.covers() and version >= self._announced_version

    def linked(self) -> bool:
        """Whether a coordinator whose role has not lapsed has been heard of lately."""
        now = self._clock.now()
        return (
            not self._coordinator.leading
            and self._state_at is not None
            and now - self._state_at < SILENCE_S
            and self._coordinator.role_age_s < ROLE_LEASE_S
        )

    def known_busy(self) -> dict[str, int]:
        """Return the requests of all hosts at each upstream, or nothing if that is not known."""
        return self._total_busy if self._coordinator.leading or self.linked() else {}

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        host, _, port = self._address.rpartition(":")
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, self._serve, listeners)
            task_status.started()
            while True:
                if self._coordinator.leading:
                    self._lead()
                    await trio.sleep(INTERVAL_S)
                    continue
                self._leading_since = None
                for address in self._addresses_to_try():
                    if await self._follow(address):
                        break
                await trio.sleep(RECONNECT_S)

    def _addresses_to_try(self) -> list[str]:
        """Return the coordinator's address as far as known, and that of another host.

        The store tells who the coordinator is. A host that the store turns away asks the hosts that
        were linked when it last was.
        """
        known = self._coordinator.coordinator_address
        others = [peer for peer in self._peers if peer not in (self._address, known)]
        addresses = [known] if known not in ("", self._address) else []
        return addresses + random.sample(others, min(1, len(others)))

    # The coordinator's side.

    def _lead(self) -> None:
        """Add this host's own report."""
        self._load.add(self._take_samples(), now=self._clock.now())
        self._busy_of[self._host_id] = self._busy()
        now = self._clock.now()
        if self._leading_since is None:
            self._leading_since = now
        if now - self._leading_since >= ALL_LINKED_S:
            self._hosts = max(self._hosts, len(self._busy_of))
            self._peers = sorted([self._address, *self._address_of.values()])
        total: dict[str, int] = {}
        for busy in self._busy_of.values():
            for name, count in busy.items():
                total[name] = total.get(name, 0) + count
        self._total_busy = total

    async def _serve(self, stream: trio.SocketStream) -> None:
        """Serve another host for as long as this one is the coordinator."""
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        frames = FrameStream(stream=stream, peer="host")
        if not self._coordinator.leading:
            await self._redirect(stream, frames)
            return
        told: _Told | None = None
        try:
            async with stream, trio.open_nursery() as nursery:
                try:
                    while self._coordinator.leading:
                        with trio.fail_after(SILENCE_S * 2):
                            report: Report = await frames.receive(REPORTS)
                        self._take_report(report)
                        if told is None:
                            told = _Told(host_id=report.host_id, owners=dict(report.owners))
                            self._address_of[report.host_id] = report.address
                            nursery.start_soon(
                                self._send_states, frames, told, nursery.cancel_scope
                            )
                        told.needs_configuration |= report.needs_configuration
                except (PeerError, trio.TooSlowError) as exc:
                    host_id = told.host_id if told else ""
                    log.info("link to host ended", host_id=host_id, reason=str(exc))
                nursery.cancel_scope.cancel()
        finally:
            if told is not None:
                self._busy_of.pop(told.host_id, None)
                self._address_of.pop(told.host_id, None)

    async def _redirect(self, stream: trio.SocketStream, frames: FrameStream) -> None:
        """Tell another host who the coordinator is, if this one is linked to it."""
        async with stream:
            if not self.linked():
                return
            redirect = Redirect(
                member=self._coordinator.holder,
                address=self._coordinator.coordinator_address,
                role_version=self._coordinator.role_version,
                role_age_s=self._coordinator.role_age_s,
            )
            try:
                with trio.fail_after(SILENCE_S):
                    await frames.send(redirect)
                    await frames.receive(REPORTS)
            except (PeerError, trio.TooSlowError) as exc:
                log.info("host takes no redirect", reason=str(exc))

    def _take_report(self, report: Report) -> None:
        self._busy_of[report.host_id] = report.busy
        samples = [
            LoadSample(service=service, key=key, upstream_id=upstream, seconds=seconds)
            for service, key, upstream, seconds in report.samples
        ]
        self._load.add(samples, now=self._clock.now())

    async def _send_states(self, frames: FrameStream, told: _Told, scope: trio.CancelScope) -> None:
        """Send states until the link or the role ends, then cancel the scope."""
        try:
            while self._coordinator.leading:
                changed = self._view.changed
                with trio.fail_after(SILENCE_S):
                    await frames.send(self._state_for(told))
                with trio.move_on_after(INTERVAL_S):
                    await changed.wait()
        except (PeerError, trio.TooSlowError) as exc:
            log.info("host does not take states", host_id=told.host_id, reason=str(exc))
        scope.cancel()

    def _state_for(self, told: _Told) -> State:
        """Return what a host has not been told yet, and note it as told."""
        cfg = self._view.configuration
        version = cfg.version if cfg is not None else 0
        registry = None
        registry_age_s = self._age(self._view.registry_read_at)
        if told.serial != self._view.registry_serial and registry_age_s < MAX_AGE_S:
            told.serial = self._view.registry_serial
            registry = told.registry.advance(self._view.upstreams)
        parts: list[OwnersPart] = []
        for service, owners in self._view.owners.items():
            owners_log = self._owner_logs.setdefault(service, OwnersLog(service=service))
            owners_log.update(owners)
            parts += owners_log.since(told.owners.get(service, 0))
            told.owners[service] = owners.version
        needs_configuration, told.needs_configuration = told.needs_configuration, False
        peers = self._peers if told.peers != self._peers else []
        told.peers = self._peers
        return State(
            member=self._coordinator.holder,
            role_version=self._coordinator.role_version,
            role_age_s=self._coordinator.role_age_s,
            hosts=self._hosts,
            configuration_age_s=self._age(self._view.configuration_read_at),
            registry_age_s=registry_age_s,
            configuration_version=version,
            configuration=cfg if needs_configuration else None,
            registry=registry,
            owners=parts,
            busy=self._counts_that_matter(),
            peers=peers,
        )

    def _counts_that_matter(self) -> dict[str, int]:
        """Return the requests at upstreams without a free slot, and at those to choose among."""
        cfg, upstreams = self._view.configuration, self._view.upstreams
        keyed = {svc.name for svc in cfg.services.values() if svc.keyed} if cfg else set()
        return {
            name: count
            for name, count in self._total_busy.items()
            if (entry := upstreams.get(name)) is not None
            and (count >= entry.slots or entry.service not in keyed)
        }

    def _age(self, at: float | None) -> float:
        return self._clock.now() - at if at is not None else MAX_AGE_S

    # The other hosts' side.

    async def _follow(self, address: str) -> bool:
        """Keep a link to the coordinator until it fails or the role moves.

        Returns whether the host at the address was the coordinator.
        """
        found = False
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                host, _, port = address.rpartition(":")
                stream = await trio.open_tcp_stream(host, int(port))
        except (OSError, trio.TooSlowError) as exc:
            log.info("no link to the coordinator", address=address, reason=str(exc))
            return False
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        frames = FrameStream(stream=stream, peer=address)
        async with stream, trio.open_nursery() as nursery:
            nursery.start_soon(self._send_reports, frames, nursery.cancel_scope)
            try:
                while not self._coordinator.leading:
                    with trio.fail_after(SILENCE_S):
                        answer = await frames.receive(ANSWERS)
                    if isinstance(answer, Redirect):
                        self._take_redirect(answer, peer=address)
                        break
                    found = True
                    self._take_state(answer, peer=address)
            except (PeerError, trio.TooSlowError) as exc:
                log.info("link to the coordinator ended", address=address, reason=str(exc))
            nursery.cancel_scope.cancel()
        self._state_at = None
        return found

    def _take_redirect(self, redirect: Redirect, *, peer: str) -> None:
        log.info(
            "coordinator known by another host",
            peer=peer,
            address=redirect.address,
            version=redirect.role_version,
        )
        self._coordinator.note_role(
            member=redirect.member,
            address=redirect.address,
            version=redirect.role_version,
            age_s=redirect.role_age_s,
        )

    async def _send_reports(self, frames: FrameStream, scope: trio.CancelScope) -> None:
        try:
            while True:
                samples = [
                    (sample.service, sample.key, sample.upstream_id, round(sample.seconds, 3))
                    for sample in self._take_samples()
                ]
                report = Report(
                    host_id=self._host_id,
                    address=self._address,
                    samples=samples,
                    busy=self._busy(),
                    owners={name: owners.version for name, owners in self._view.owners.items()},
                    needs_configuration=self._needs_configuration(),
                )
                with trio.fail_after(SILENCE_S):
                    await frames.send(report)
                await trio.sleep(INTERVAL_S)
        except (PeerError, trio.TooSlowError) as exc:
            log.info("coordinator does not take reports", reason=str(exc))
        scope.cancel()

    def _take_state(self, state: State, *, peer: str) -> None:
        if self._state_at is None:
            log.info("link to the coordinator", hosts=state.hosts)
        self._state_at = self._clock.now()
        self._ages_fit = max(state.configuration_age_s, state.registry_age_s) < MAX_AGE_S
        self._hosts = max(self._hosts, state.hosts)
        self._peers = state.peers or self._peers
        self._total_busy = state.busy
        self._coordinator.note_role(
            member=state.member,
            address=peer,
            version=state.role_version,
            age_s=state.role_age_s,
        )
        if state.configuration_version != self._announced_version:
            self._announced_version = state.configuration_version
            self._announced_at = self._state_at
        if state.configuration is not None:
            self._view.apply_configuration(state.configuration)
        if self._ages_fit and self.covers_configuration():
            self._view.note_configuration_read(age_s=state.configuration_age_s)
        self._take_registry(state.registry, age_s=state.registry_age_s)
        for part in state.owners:
            known = self._view.owners.get(part.service)
            if known is None or known.version < part.version:
                self._view.apply_owners(part.service, apply_part(part, known))

    def _take_registry(self, part: RegistryPart | None, *, age_s: float) -> None:
        if part is None:
            if self._ages_fit:
                self._view.note_registry_read(age_s=age_s)
            return
        entries: dict[str, UpstreamEntry | None] = dict.fromkeys(part.removed)
        entries.update({entry.upstream_id: entry for entry in part.entries})
        change = RegistryChange(revision=0, complete=part.complete, entries=entries)
        self._view.apply_registry(change, age_s=age_s)

    def _needs_configuration(self) -> bool:
        """Whether this host has failed to read the newest configuration for some time."""
        if self._announced_at is None or self.covers_configuration():
            return False
        return self._clock.now() - self._announced_at > OWN_READING_S

"""Connections from all other hosts to the coordinator.

Hosts report their load. The coordinator sends the owners, the registry and the version of the
newest configuration, so that other hosts read only a new configuration from the platform. A host
whose link is silent reads everything from the platform itself again.
"""

from __future__ import annotations

import random
import socket
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import ClassVar

import trio

from acaciasaddle.errors import PeerError
from acaciasaddle.fleet import RegistryChange
from acaciasaddle.fleet import UpstreamIncarnation
from acaciasaddle.kernel import Service
from acaciasaddle.kernel import open_listening_socket
from acaciasaddle.keyspace import ROLE_LEASE_S
from acaciasaddle.keyspace import LoadSample
from acaciasaddle.links._changes import OwnersHistory
from acaciasaddle.links._changes import RegistryCursor
from acaciasaddle.links._changes import apply_part
from acaciasaddle.links._messages import ANSWER_DECODER
from acaciasaddle.links._messages import NO_CONFIGURATION
from acaciasaddle.links._messages import REPORT_DECODER
from acaciasaddle.links._messages import FrameStream
from acaciasaddle.links._messages import Redirect
from acaciasaddle.links._messages import Report
from acaciasaddle.links._messages import State
from acaciasaddle.links._messages import decode_configuration
from acaciasaddle.links._messages import encode_configuration
from acaciasaddle.model import era_of
from acaciasaddle.observe import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    import msgspec

    from acaciasaddle.clock import Clock
    from acaciasaddle.fleet import FleetView
    from acaciasaddle.fleet import UpstreamEntry
    from acaciasaddle.keyspace import Coordinator
    from acaciasaddle.keyspace import LoadHistory
    from acaciasaddle.links._messages import OwnersPart
    from acaciasaddle.links._messages import RegistryPart
    from acaciasaddle.routing import Configuration

BACKLOG = 512
INTERVAL_S = 0.4
"""Time between two reports, and between two states if nothing changes."""
MIN_STATE_PAUSE_S = 0.1
"""Changes within this time are sent together: in a large fleet, moves end many times per second."""
SILENCE_S = 0.9
"""A host closes its link if no state arrives for this long. Two states may be late. The coordinator
closes a link if no report arrives for twice as long."""
CONNECT_TIMEOUT_S = 0.5
RECONNECT_S = 0.2
ALL_LINKED_S = 2.0
"""A new coordinator assumes that all hosts have linked to it after this time. They find it with
their next poll, within 0.5 s, and link to it within another 0.7 s."""
OWN_READ_S = 0.7
"""Time that a host has to read a new configuration itself before it asks the coordinator for it, or
the coordinator asks a host."""
MAX_NEWER_VERSIONS = 256
"""Announced versions that are noted while this host lags behind; the first one decides."""
MAX_AGE_S = 1.6
"""Hosts read from the platform themselves if the coordinator last read the configuration or the
registry longer ago than this."""

log = get_logger("links")


@dataclass(slots=True, kw_only=True)
class _SentState:
    """What a host has been sent over its link, and whether it needs the configuration."""

    host_id: str
    owners: dict[str, int]
    registry_serial: int = -1
    registry: RegistryCursor = field(default_factory=RegistryCursor)
    needs_configuration: bool = False
    peers: list[str] = field(default_factory=list)
    # Whether the host is to send its configuration with its next report.
    ask: bool = False
    granted: set[tuple[str, int]] = field(default_factory=set)


class Links(Service):
    """Accepts links of other hosts, and keeps a link to the coordinator if that is another host."""

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
        """``take_samples`` returns the samples taken since its last call.

        ``busy`` returns the number of this host's requests in progress at each upstream.
        """
        self._host_id = host_id
        self._address = address
        self._view = view
        self._coordinator = coordinator
        self._load = load
        self._clock = clock
        self._take_samples = take_samples
        self._busy = busy
        self._owner_histories: dict[str, OwnersHistory] = {}
        self._announced_version = 0
        # The announced versions that are newer than this host's, and when each was announced.
        self._newer_versions: deque[tuple[int, float]] = deque()
        self._busy_by_host: dict[str, dict[str, int]] = {}
        self._state_received_at: float | None = None
        self._state_is_fresh = False
        self._hosts = 0
        self._leading_since: float | None = None
        self._total_busy: dict[str, int] = {}
        self._busy_to_send: dict[str, int] = {}
        self._address_by_host: dict[str, str] = {}
        self._peers: list[str] = []
        self._encoded_configuration: tuple[Configuration, msgspec.Raw] | None = None
        # This host's version that another one is ahead of, and the time ``OWN_READ_S`` after which
        # a host is asked for its configuration.
        self._behind: tuple[int, float] | None = None
        self._configuration_asked_for = False

    @property
    def hosts(self) -> int:
        """The largest number of hosts linked at one time, with the coordinator; 0 if not known."""
        return self._hosts

    def is_up_to_date(self) -> bool:
        """Return whether this host is linked to a coordinator that is up to date itself.

        When the coordinator sent its last state, it had read the configuration and the registry
        within ``MAX_AGE_S``.
        """
        return self.linked() and self._state_is_fresh

    def configuration_is_up_to_date(self) -> bool:
        """Return whether this host is up to date and also has the coordinator's configuration."""
        cfg = self._view.configuration
        version = cfg.version if cfg is not None else 0
        return self.is_up_to_date() and version >= self._announced_version

    def linked(self) -> bool:
        """Return whether another host, whose role has not lapsed, sent a state recently."""
        now = self._clock.now()
        return (
            not self._coordinator.leading
            and self._state_received_at is not None
            and now - self._state_received_at < SILENCE_S
            and self._coordinator.role_age_s < ROLE_LEASE_S
        )

    def requests_in_progress(self) -> dict[str, int]:
        """Return the number of all hosts' requests in progress at each upstream, as far as known.

        The coordinator knows it for all upstreams, other hosts for those in its last state.
        """
        return self._total_busy if self._coordinator.leading or self.linked() else {}

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        sock = await open_listening_socket(self._address, backlog=BACKLOG)
        listeners = [trio.SocketListener(sock)]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, self._serve_host, listeners)
            task_status.started()
            while True:
                if self._coordinator.leading:
                    self._add_own_report()
                    await trio.sleep(INTERVAL_S)
                    continue
                self._leading_since = None
                for address in self._addresses_to_try():
                    if await self._follow_coordinator(address):
                        break
                await trio.sleep(RECONNECT_S)

    def _addresses_to_try(self) -> list[str]:
        """Return the coordinator's address, if known, and that of a random other host.

        The coordinator's address is in the store. A host that the store refuses can learn it from
        one of the hosts that were linked to the coordinator when this host last was.
        """
        known = self._coordinator.coordinator_address
        others = [peer for peer in self._peers if peer not in (self._address, known)]
        addresses = [known] if known not in ("", self._address) else []
        return addresses + random.sample(others, min(1, len(others)))

    # The coordinator's side.

    def _add_own_report(self) -> None:
        """Add this host's own report, and add up the requests in progress of all hosts.

        Once all hosts are assumed to have linked, also note their number and addresses.
        """
        self._load.add(self._take_samples(), now=self._clock.now())
        self._busy_by_host[self._host_id] = self._busy()
        now = self._clock.now()
        if self._leading_since is None:
            self._leading_since = now
        if now - self._leading_since >= ALL_LINKED_S:
            self._hosts = max(self._hosts, len(self._busy_by_host))
            self._peers = sorted([self._address, *self._address_by_host.values()])
        total: dict[str, int] = {}
        for busy in self._busy_by_host.values():
            for name, count in busy.items():
                total[name] = total.get(name, 0) + count
        self._total_busy = total
        self._busy_to_send = self._select_busy(total)

    async def _serve_host(self, stream: trio.SocketStream) -> None:
        """Serve another host while this one is the coordinator; otherwise redirect it."""
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        frames = FrameStream(stream=stream, peer="host")
        if not self._coordinator.leading:
            await self._redirect(stream, frames)
            return
        sent: _SentState | None = None
        try:
            async with stream, trio.open_nursery() as nursery:
                try:
                    while self._coordinator.leading:
                        with trio.fail_after(SILENCE_S * 2):
                            report: Report = await frames.receive(REPORT_DECODER)
                        self._apply_report(report)
                        if sent is None:
                            sent = _SentState(host_id=report.host_id, owners=dict(report.owners))
                            self._address_by_host[report.host_id] = report.address
                            nursery.start_soon(
                                self._send_states, frames, sent, nursery.cancel_scope
                            )
                        sent.needs_configuration |= report.needs_configuration
                        await self._apply_configuration(report, peer=report.host_id)
                        sent.ask |= self._asks_for_configuration(report)
                except (PeerError, trio.TooSlowError) as exc:
                    host_id = sent.host_id if sent else ""
                    log.info("link to host ended", host_id=host_id, reason=str(exc))
                nursery.cancel_scope.cancel()
        finally:
            if sent is not None:
                self._busy_by_host.pop(sent.host_id, None)
                self._address_by_host.pop(sent.host_id, None)

    async def _redirect(self, stream: trio.SocketStream, frames: FrameStream) -> None:
        """Tell another host which host is the coordinator, if this one is linked to it."""
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
                    # Closing with unread input would reset the connection and could discard the
                    # redirect.
                    await frames.receive(REPORT_DECODER)
            except (PeerError, trio.TooSlowError) as exc:
                log.info("redirecting a host failed", reason=str(exc))

    def _apply_report(self, report: Report) -> None:
        self._busy_by_host[report.host_id] = report.busy
        samples = [
            LoadSample(service=service, key=key, upstream_id=upstream, seconds=seconds)
            for service, key, upstream, seconds in report.samples
        ]
        self._load.add(samples, now=self._clock.now())
        for upstream_id, started_ms in report.leaving:
            life = UpstreamIncarnation(upstream_id=upstream_id, started_ms=started_ms)
            self._view.note_leaving(life, told_by=report.host_id)

    def _asks_for_configuration(self, report: Report) -> bool:
        """Return whether to ask a host for its configuration, which is newer than this host's.

        The store may show an older one for a moment after it came back from an older copy. One host
        at a time is asked, since a large configuration takes hundreds of kilobytes.
        """
        now = self._clock.now()
        cfg = self._view.configuration
        version = cfg.version if cfg is not None else 0
        if report.configuration_version <= version:
            return False
        if self._behind is None or self._behind[0] != version:
            self._behind = version, now
        if now - self._behind[1] < OWN_READ_S:
            return False
        # The state that asks and the report that answers may both wait for the next interval.
        self._behind = version, now + 2 * INTERVAL_S
        log.info(
            "asking a host for its newer configuration",
            host_id=report.host_id,
            version=report.configuration_version,
            own_version=version,
        )
        return True

    async def _send_states(
        self, frames: FrameStream, sent: _SentState, scope: trio.CancelScope
    ) -> None:
        """Send states until the link or this host's role ends, then cancel the scope."""
        try:
            while self._coordinator.leading:
                changed = self._view.changed
                with trio.fail_after(SILENCE_S):
                    await frames.send(self._state_for(sent))
                await trio.sleep(MIN_STATE_PAUSE_S)
                with trio.move_on_after(INTERVAL_S - MIN_STATE_PAUSE_S):
                    await changed.wait()
        except (PeerError, trio.TooSlowError) as exc:
            log.info("sending states to host failed", host_id=sent.host_id, reason=str(exc))
        scope.cancel()

    def _state_for(self, sent: _SentState) -> State:
        """Return what a host has not been sent yet, and record it as sent."""
        cfg = self._view.configuration
        version = cfg.version if cfg is not None else 0
        registry = None
        registry_age_s = self._age(self._view.registry_read_at)
        if sent.registry_serial != self._view.registry_serial and registry_age_s < MAX_AGE_S:
            sent.registry_serial = self._view.registry_serial
            registry = sent.registry.advance(
                self._view.registered,
                restored=self._view.restored,
                era=era_of(self._view.registry_revision),
            )
        parts: list[OwnersPart] = []
        for service, owners in self._view.owners.items():
            history = self._owner_histories.setdefault(service, OwnersHistory(service=service))
            history.update(owners)
            parts += history.since(sent.owners.get(service, 0))
            sent.owners[service] = owners.version
        granted = self._view.granted - sent.granted
        sent.granted = set(self._view.granted)
        needs_configuration, sent.needs_configuration = sent.needs_configuration, False
        ask, sent.ask = sent.ask, False
        peers = self._peers if sent.peers != self._peers else []
        sent.peers = self._peers
        return State(
            member=self._coordinator.holder,
            role_version=self._coordinator.role_version,
            role_age_s=self._coordinator.role_age_s,
            hosts=self._hosts,
            configuration_age_s=self._age(self._view.configuration_read_at),
            registry_age_s=registry_age_s,
            configuration_version=version,
            configuration=self._encoded(cfg) if needs_configuration else NO_CONFIGURATION,
            registry=registry,
            owners=parts,
            busy=self._busy_to_send,
            peers=peers,
            registry_revision=self._view.registry_revision,
            granted=sorted(granted),
            needs_configuration=ask,
        )

    def _encoded(self, cfg: Configuration | None) -> msgspec.Raw:
        """Return the encoded configuration. Each one is encoded once for all hosts."""
        if cfg is None:
            return NO_CONFIGURATION
        if self._encoded_configuration is None or self._encoded_configuration[0] is not cfg:
            self._encoded_configuration = cfg, encode_configuration(cfg)
        return self._encoded_configuration[1]

    def _select_busy(self, total: dict[str, int]) -> dict[str, int]:
        """Return the number of requests in progress at those upstreams that hosts need to know of.

        These are the upstreams that are full, and those whose service has no keys.
        """
        cfg, upstreams = self._view.configuration, self._view.upstreams
        keyed = {svc.name for svc in cfg.services.values() if svc.keyed} if cfg else set()
        return {
            name: count
            for name, count in total.items()
            if (entry := upstreams.get(name)) is not None
            and (count >= entry.slots or entry.service not in keyed)
        }

    def _age(self, at: float | None) -> float:
        return self._clock.now() - at if at is not None else MAX_AGE_S

    # The other hosts' side.

    async def _follow_coordinator(self, address: str) -> bool:
        """Keep a link to the coordinator until the link fails or this host takes the role.

        Return whether the host at the address was the coordinator. If another host answers with a
        redirect, note the role as that host knows it.
        """
        found = False
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                host, _, port = address.rpartition(":")
                stream = await trio.open_tcp_stream(host, int(port))
        except (OSError, trio.TooSlowError) as exc:
            log.info("link not established", address=address, reason=str(exc))
            return False
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        frames = FrameStream(stream=stream, peer=address)
        async with stream, trio.open_nursery() as nursery:
            nursery.start_soon(self._send_reports, frames, nursery.cancel_scope)
            try:
                while not self._coordinator.leading:
                    with trio.fail_after(SILENCE_S):
                        answer = await frames.receive(ANSWER_DECODER)
                    if isinstance(answer, Redirect):
                        self._apply_redirect(answer, peer=address)
                        break
                    found = True
                    self._apply_state(answer, peer=address)
                    await self._apply_configuration(answer, peer=address)
                    self._configuration_asked_for |= answer.needs_configuration
            except (PeerError, trio.TooSlowError) as exc:
                log.info("link to the coordinator ended", address=address, reason=str(exc))
            nursery.cancel_scope.cancel()
        self._state_received_at = None
        self._configuration_asked_for = False
        return found

    def _apply_redirect(self, redirect: Redirect, *, peer: str) -> None:
        log.info(
            "redirected to the coordinator by another host",
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
                cfg = self._view.configuration
                asked, self._configuration_asked_for = self._configuration_asked_for, False
                report = Report(
                    host_id=self._host_id,
                    address=self._address,
                    samples=samples,
                    busy=self._busy(),
                    owners={name: owners.version for name, owners in self._view.owners.items()},
                    needs_configuration=self._needs_configuration(),
                    leaving=[
                        (life.upstream_id, life.started_ms)
                        for life in self._view.leaving_to_report()
                    ],
                    configuration_version=cfg.version if cfg is not None else 0,
                    configuration=self._encoded(cfg) if asked else NO_CONFIGURATION,
                )
                with trio.fail_after(SILENCE_S):
                    await frames.send(report)
                await trio.sleep(INTERVAL_S)
        except (PeerError, trio.TooSlowError) as exc:
            log.info("sending reports to the coordinator failed", reason=str(exc))
        scope.cancel()

    def _apply_state(self, state: State, *, peer: str) -> None:
        if self._state_received_at is None:
            log.info("linked to the coordinator", hosts=state.hosts)
        self._state_received_at = self._clock.now()
        self._state_is_fresh = max(
            state.configuration_age_s, state.registry_age_s
        ) < MAX_AGE_S and not self._is_of_earlier_era(state)
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
            if len(self._newer_versions) < MAX_NEWER_VERSIONS:
                self._newer_versions.append((self._announced_version, self._state_received_at))
        if self._state_is_fresh and self.configuration_is_up_to_date():
            self._view.note_configuration_read(age_s=state.configuration_age_s)
        self._apply_registry(
            state.registry, age_s=state.registry_age_s, revision=state.registry_revision
        )
        for part in state.owners:
            known = self._view.owners.get(part.service)
            if known is None or known.version < part.version:
                self._view.apply_owners(part.service, apply_part(part, known))
        for service, fence in state.granted:
            self._view.note_granted(service, fence)

    def _is_of_earlier_era(self, state: State) -> bool:
        """Return whether this host has read the registry in a later era than the coordinator."""
        known = era_of(self._view.registry_revision)
        return state.registry_revision > 0 and era_of(state.registry_revision) < known

    async def _apply_configuration(self, message: State | Report, *, peer: str) -> None:
        """Put the configuration of a message in force, unless this host has read it meanwhile."""
        current = self._view.configuration
        known = current is not None and current.version >= message.configuration_version
        if not known and message.configuration != NO_CONFIGURATION:
            cfg = await decode_configuration(message.configuration, peer=peer)
            self._view.apply_configuration(cfg)

    def _apply_registry(self, part: RegistryPart | None, *, age_s: float, revision: int) -> None:
        if part is None:
            if self._state_is_fresh:
                self._view.note_registry_read(age_s=age_s)
            return
        entries: dict[str, UpstreamEntry | None] = dict.fromkeys(part.removed)
        entries.update({entry.upstream_id: entry for entry in part.entries})
        change = RegistryChange(
            revision=revision,
            complete=part.complete,
            entries=entries,
            restored=frozenset(part.restored),
        )
        self._view.apply_registry(change, age_s=age_s)

    def _needs_configuration(self) -> bool:
        """Return whether to ask the coordinator for the configuration.

        True if this host is still behind ``OWN_READ_S`` after the first version that is newer than
        its own was announced. Versions that are announced meanwhile do not put that off.
        """
        cfg = self._view.configuration
        version = cfg.version if cfg is not None else 0
        while self._newer_versions and self._newer_versions[0][0] <= version:
            self._newer_versions.popleft()
        if not self._newer_versions or self.configuration_is_up_to_date():
            return False
        _, announced_at = self._newer_versions[0]
        return self._clock.now() - announced_at > OWN_READ_S

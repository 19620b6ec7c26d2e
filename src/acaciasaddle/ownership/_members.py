"""Membership: which entry hosts exist and which of them are alive."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

import trio

from acaciasaddle.errors import PeerError
from acaciasaddle.errors import PlatformError
from acaciasaddle.kernel import Service
from acaciasaddle.model import HostRow
from acaciasaddle.model import HostState
from acaciasaddle.observe import get_logger
from acaciasaddle.table import write_once

if TYPE_CHECKING:
    from collections.abc import Callable

    from acaciasaddle.clock import Clock
    from acaciasaddle.mirror import Mirror
    from acaciasaddle.peers import PeerHub
    from acaciasaddle.table import Table

# Each second a host sends its digest to only a few random peers, so others may not hear from it for
# some seconds.
LIVE_AFTER_HEARD_S = 10.0
JOIN_GRACE_S = 3.0
RETRY_INTERVAL_S = 0.5

log = get_logger("members")


def member_id(host: HostRow) -> str:
    """Return the member id of a host row."""
    return f"{host.host_id}@{host.incarnation}"


class Members(Service):
    """Writes this host's row, and gives the hub the other members' addresses, from seeds and rows.

    ``partners`` are the members whose confirmations this host needs for the upstreams that it
    holds.
    """

    name: ClassVar[str] = "members"

    def __init__(
        self,
        *,
        row: Callable[[], HostRow],
        seeds: tuple[str, ...],
        mirror: Mirror,
        hub: PeerHub,
        table: Table,
        clock: Clock,
    ) -> None:
        self._own_row = row
        self._seeds = seeds
        self._seed_members: dict[str, str] = {}
        self._mirror = mirror
        self._hub = hub
        self._table = table
        self._clock = clock
        self._first_seen: dict[str, float] = {}
        self.partners: frozenset[str] = frozenset()

    @property
    def member(self) -> str:
        """Member id of this host."""
        return member_id(self._own_row())

    @property
    def data_centre(self) -> str:
        """Data centre of this host."""
        return self._own_row().data_centre

    def live(self, data_centre: str | None = None) -> list[str]:
        """Return the live members, of all data centres or of one, in sorted order.

        This host counts as live. Another one does if its row says so and it was heard from or first
        seen a short time ago.
        """
        now = self._clock.now()
        found = [self.member] if data_centre in (None, self.data_centre) else []
        for host in self._mirror.host_rows():
            member = member_id(host)
            if member == self.member or host.state is not HostState.LIVE:
                continue
            if data_centre is not None and host.data_centre != data_centre:
                continue
            heard = self._hub.heard_at(member)
            joined = self._first_seen.setdefault(member, now)
            if now - heard < LIVE_AFTER_HEARD_S or now - joined < JOIN_GRACE_S:
                found.append(member)
        return sorted(found)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        task_status.started()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._register)
            nursery.start_soon(self._identify_seeds)
            while True:
                self._update_members()
                await self._mirror.wait_changed()

    async def leave(self) -> None:
        """Mark this host as leaving, so that others no longer choose it as holder or successor.

        Tries once, for at most a second.
        """
        with trio.move_on_after(1):
            await self._write_host_row(HostState.LEAVING)

    async def _register(self) -> None:
        while not await self._write_host_row(HostState.LIVE):
            await trio.sleep(RETRY_INTERVAL_S)
        log.info("host registered", member=self.member)

    async def _identify_seeds(self) -> None:
        """Identify the hosts at the seed addresses of the settings until the mirror is complete."""
        while not self._mirror.complete:
            for address in self._seeds:
                if address == self._own_row().peer_address:
                    continue
                try:
                    hello = await self._hub.identify(address)
                except PeerError as exc:
                    log.info(
                        "host at the seed address not identified, retrying",
                        address=address,
                        error=exc.message,
                    )
                    continue
                self._seed_members[hello.member] = address
            self._update_members()
            self._mirror.poll_soon()
            await trio.sleep(RETRY_INTERVAL_S)

    async def _write_host_row(self, state: HostState) -> bool:
        own = self._own_row()
        row = HostRow(
            host_id=own.host_id,
            incarnation=own.incarnation,
            data_centre=own.data_centre,
            peer_address=own.peer_address,
            operator_address=own.operator_address,
            state=state,
        )
        key = f"host/{own.host_id}"
        try:
            current = await self._table.read(key)
            result = await write_once(
                self._table,
                conditions={key: current.version if current else 0},
                puts={key: row.to_json},
            )
        except PlatformError as exc:
            log.info("host row not written", step=exc.step, error=exc.message)
            return False
        self._hub.push_rows(self._mirror.apply_rows(result.rows, source="own write"))
        return True

    def _update_members(self) -> None:
        now = self._clock.now()
        members = dict(self._seed_members)
        for host in self._mirror.host_rows():
            member = member_id(host)
            if member != self.member:
                self._first_seen.setdefault(member, now)
                members[member] = host.peer_address
        self._hub.set_members(members)

"""The coordinator's role: a row of the table that one host at a time renews.

The row is written on the condition that it has not changed, so only one of two hosts succeeds.
Every other row that a coordinator writes is written in a transaction that also renews the role.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import trio

from acaciasaddle.errors import ConditionFailedError
from acaciasaddle.model import era_of
from acaciasaddle.observe import get_logger

if TYPE_CHECKING:
    from collections.abc import Mapping

    from acaciasaddle.clock import Clock
    from acaciasaddle.model._rows import JsonObject
    from acaciasaddle.table import Scan
    from acaciasaddle.table import Table

COORDINATOR_TABLE = "coordination"
COORDINATOR_KEY = f"{COORDINATOR_TABLE}/coordinator"

ROLE_LEASE_S = 1.5
"""Time from the start of its last successful write for which a coordinator sends grants."""
ROLE_RENEWAL_S = 0.5
"""A coordinator writes the row again when its last write is this long ago. Two writes in a row may
fail within a role lease, if they fail without a timeout."""
TAKEOVER_S = 1.6
"""A host may take over a role whose row has not changed for this long."""
HEAD_START_S = 1.0
"""Time for which hosts leave the role in a restored store to its last holder, which alone knows who
may hold which keys."""
FIRST_ERA = 1
"""A store that never came back from a copy has no higher era."""
STEP_DOWN_S = 5.0
"""Time for which a host does not compete for the role after it stepped down."""

log = get_logger("coordinator")


class CoordinatorRole:
    """The role as this host knows it, and this host's writes while it has the role."""

    def __init__(
        self,
        *,
        member: str,
        address: str,
        table: Table,
        clock: Clock,
        takeover_delay_s: float,
    ) -> None:
        """``takeover_delay_s`` is the time for which this host leaves a free role to others.

        ``restored_at`` is the time at which this host first saw the current era of the store, or
        ``None`` if it knows of no earlier one. ``is_last_holder`` is set by the coordinator if this
        host had the role in the earlier era as far as it knows.
        """
        self._member = member
        self._address = address
        self._table = table
        self._clock = clock
        self._takeover_delay_s = takeover_delay_s
        self._value: Mapping[str, Any] = {}
        self._seen_at: float | None = None
        self._vacant_since: float | None = None
        self._held_until = 0.0
        self._written_at = 0.0
        self._stepped_down_at: float | None = None
        self._writing = trio.Lock()
        self._era: int | None = None
        self._earlier_revision = 0
        self.restored_at: float | None = None
        self.version = 0
        self.taken = False
        self.is_last_holder = False

    @property
    def held(self) -> bool:
        """Whether this host took the role and it has not lapsed."""
        return self.taken and not self.lapsed

    @property
    def lapsed(self) -> bool:
        """Whether another host may have the role by now."""
        return self._clock.now() >= self._held_until

    @property
    def holder_address(self) -> str:
        """Address of the host that has the role or gave it back last, as far as known."""
        return str(self._value.get("address", ""))

    @property
    def holder(self) -> str:
        """The host that has the role, as far as known: ``<host id>@<incarnation>``."""
        return str(self._value.get("member", ""))

    @property
    def was_written_earlier(self) -> bool:
        """Whether the store came back from an older copy since the row was last seen."""
        return era_of(self.version) != self._table.era

    @property
    def is_of_earlier_era(self) -> bool:
        """Whether the store came back from an older copy since this host took the role."""
        return self.taken and self.was_written_earlier

    @property
    def earlier_rows(self) -> bool:
        """Whether the table has rows of earlier eras, so their leases may not have ended yet."""
        return self._earlier_revision > 0

    @property
    def known(self) -> bool:
        """Whether the row has been seen since this host last lost the role."""
        return self._seen_at is not None

    @property
    def age_s(self) -> float:
        """Seconds since the row was last seen to change; the clock's reading if it was not seen."""
        return self._clock.now() - (self._seen_at or 0.0)

    @property
    def since_write_s(self) -> float:
        """Seconds since the start of this host's last successful write."""
        return self._clock.now() - self._written_at

    def note_row(self, *, member: str, address: str, version: int, age_s: float) -> None:
        """Note the row as another host knows it.

        If this host took the role and a later version names another host, the role is lost. While
        the role has not lapsed here, no other host can have taken it, so the row is ignored.
        """
        if version <= self.version or member == self._member or self.held:
            return
        if era_of(version) < (self._era or 0):
            return
        self._note_era(era_of(version))
        self.is_last_holder = False
        if self.taken:
            log.info("role lost", reason="another host is known to have it", holder=member)
            self.taken = False
        self._value = {"member": member, "address": address}
        self.version = version
        self._seen_at = self._clock.now() - age_s

    async def poll(self) -> float:
        """Read the row and return the seconds until this host may try to take the role.

        A result of 0 or less means that it may try now.
        """
        scan = await self._table.scan(f"{COORDINATOR_TABLE}/", since=0)
        row = next((row for row in scan.rows if row.key == COORDINATOR_KEY), None)
        now = self._clock.now()
        self._note_scan(scan)
        version = row.version if row is not None else 0
        if version != self.version or self._seen_at is None:
            self.version, self._seen_at = version, now
            self._value = dict(row.value) if row is not None else {}
        if row is not None and self.holder != self._member:
            self.is_last_holder = False
        backoff_s = 0.0
        if self._stepped_down_at is not None:
            backoff_s = self._stepped_down_at + STEP_DOWN_S - now
        if not self._vacant():
            self._vacant_since = None
            free_at = self._seen_at + TAKEOVER_S
        else:
            self._vacant_since = free_at = self._vacant_since or now
        if row is None and self.restored_at is not None:
            # The holder in the earlier era may not have lapsed yet.
            head_start_s = 0.0 if self.is_last_holder else HEAD_START_S
            free_at = max(free_at, self.restored_at + TAKEOVER_S + head_start_s)
        return max(backoff_s, free_at + self._takeover_delay_s - now)

    async def try_take(self) -> str | None:
        """Try to take the role.

        Return the member that had it (empty if none had), or ``None`` if another host won.
        """
        previous = self.holder
        try:
            async with self._writing:
                await self._renew({}, {})
        except ConditionFailedError:
            log.info("another host took the role")
            return None
        return previous

    async def write(
        self, conditions: Mapping[str, int], puts: Mapping[str, JsonObject]
    ) -> dict[str, int]:
        """Write rows and renew the role in one transaction; return the new version of each row.

        Raises ``ConditionFailedError`` if this host does not have the role or a row has changed.
        """
        async with self._writing:
            if self.holder != self._member:
                raise ConditionFailedError(
                    "this host does not have the role", keys=(COORDINATOR_KEY,), step="role.write"
                )
            return await self._renew(conditions, puts)

    async def write_again(self, puts: Mapping[str, JsonObject]) -> dict[str, int]:
        """Write the role and rows in a restored store that has none of them.

        Raises ``ConditionFailedError`` if another host has done so, or if the role has lapsed.
        """
        async with self._writing:
            if not self.held:
                raise ConditionFailedError(
                    "the role has lapsed", keys=(COORDINATOR_KEY,), step="role.write_again"
                )
            self._note_era(self._table.era)
            self.version = 0
            return await self._renew(dict.fromkeys(puts, 0), puts)

    async def _renew(
        self, conditions: Mapping[str, int], puts: Mapping[str, JsonObject]
    ) -> dict[str, int]:
        started = self._clock.now()
        versions = await self._transact(self._member, started, conditions, puts)
        self._note_written(started)
        return versions

    async def give_back(self) -> None:
        """Let the role lapse here, and write that no host has it if the row still names this host.

        Another host then need not wait for the role to lapse.
        """
        async with self._writing:
            self._held_until = 0.0
            if self.holder != self._member:
                return
            await self._transact("", self._clock.now(), {}, {})

    async def step_down(self) -> None:
        """Give the role back, and do not compete for it for ``STEP_DOWN_S``."""
        await self.give_back()
        self._stepped_down_at = self._clock.now()

    async def resolve_unknown_write(self) -> bool:
        """Read the row after a write with an unknown outcome, and note the write if it took effect.

        Return whether this host still has the role. In a restored store that has no row yet, it has
        it if it had it before.
        """
        row = await self._table.read(COORDINATOR_KEY)
        if row is None and self.is_of_earlier_era:
            return True
        if row is None or row.value.get("member") != self._member:
            return False
        if row.version != self.version:
            self.version = row.version
            self._note_written(float(row.value["at"]))
        return True

    def reset(self) -> None:
        """Note that this host does not have the role, and that the row has to be read again."""
        self.taken = False
        self._seen_at = None

    def _note_scan(self, scan: Scan) -> None:
        """Note the era of a scan, and rows of earlier eras.

        If these change, a host that does not know eras may still have the role.
        """
        # A copy from before the first write has no rows of an earlier era.
        may_be_restored = self._era is None and self._table.era > FIRST_ERA
        self._note_era(self._table.era)
        if may_be_restored or scan.earlier_revision > self._earlier_revision:
            self.restored_at = self._clock.now()
        self._earlier_revision = scan.earlier_revision

    def _note_era(self, era: int) -> None:
        if self._era is not None and era > self._era:
            log.warning("the store came back from an older copy", era=era, earlier_era=self._era)
            self.restored_at = self._clock.now()
        self._era = max(era, self._era or 0)

    def _vacant(self) -> bool:
        """Return whether no other host has the role.

        An earlier incarnation of this host is not another host.
        """
        return not self.holder or self.holder.partition("@")[0] == self._member.partition("@")[0]

    async def _transact(
        self,
        member: str,
        at: float,
        conditions: Mapping[str, int],
        puts: Mapping[str, JsonObject],
    ) -> dict[str, int]:
        value = {"member": member, "address": self._address, "at": at}
        rows = await self._table.transact(
            conditions={COORDINATOR_KEY: self.version, **conditions},
            puts={COORDINATOR_KEY: value, **puts},
        )
        versions = {row.key: row.version for row in rows}
        self.version = versions[COORDINATOR_KEY]
        self._value = value
        return versions

    def _note_written(self, started: float) -> None:
        """Note that a call that started at a given time wrote the row."""
        self._seen_at = self._written_at = started
        self._held_until = started + ROLE_LEASE_S

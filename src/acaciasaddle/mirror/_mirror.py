"""A copy of the table's rows that is updated from the table and from peers."""

from __future__ import annotations

import random
import sys
from typing import TYPE_CHECKING
from typing import Any
from typing import ClassVar
from typing import TypeVar

import trio

from acaciasaddle.errors import AcaciasaddleError
from acaciasaddle.errors import ConfigError
from acaciasaddle.errors import PeerError
from acaciasaddle.errors import PlatformError
from acaciasaddle.kernel import Service
from acaciasaddle.mirror._configuration import Configuration
from acaciasaddle.mirror._owners import OwnerIndex
from acaciasaddle.model import ConfigRow
from acaciasaddle.model import HostRow
from acaciasaddle.model import PinsRow
from acaciasaddle.model import UnitId
from acaciasaddle.model import UnitsRow
from acaciasaddle.model import UpstreamRow
from acaciasaddle.observe import get_logger
from acaciasaddle.wire import RowsPart
from acaciasaddle.wire import RowsSince

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    from acaciasaddle.clock import Clock
    from acaciasaddle.model import Row
    from acaciasaddle.model import UnitAssignment
    from acaciasaddle.model import UpstreamId
    from acaciasaddle.peers import PeerHub
    from acaciasaddle.table import Scan
    from acaciasaddle.table import Table
    from acaciasaddle.wire import Call
    from acaciasaddle.wire import Reply

POLL_INTERVAL_S = 1.0
PEER_CALL_TIMEOUT_S = 1.0
# Number of random peers to which a received row is forwarded. Its writer pushes it to all peers
# that it can reach; forwarding reaches the others.
FORWARD_FANOUT = 2
CONFIG_KEY = "config/current"

T = TypeVar("T")
log = get_logger("mirror")


class Mirror(Service):
    """An in-memory copy of the table's rows.

    A row is replaced only by a higher version, whether it comes from the table or from a peer.
    ``revision`` is the table revision up to which the copy is complete, 0 if it never was.
    ``serial`` grows whenever rows change. ``store_heard_at`` is the reading of this host's clock
    just before the last successful poll of the table began.
    """

    name: ClassVar[str] = "mirror"

    def __init__(self, *, table: Table, hub: PeerHub, clock: Clock) -> None:
        self._table = table
        self._hub = hub
        self._clock = clock
        self._rows: dict[str, Row] = {}
        self._keys_by_part: dict[str, set[str]] = {}
        self._parsed: dict[str, tuple[int, Any]] = {}
        self.owners = OwnerIndex()
        self._changed = trio.Event()
        self._poll_now = trio.Event()
        self.revision = 0
        self.serial = 0
        self.store_heard_at = float("-inf")
        self.store_up = False
        self._outage_logged = False
        self.configuration: Configuration | None = None
        hub.on_rows(self._apply_pushed)
        hub.on_call(RowsSince, self._answer_rows_since)

    @property
    def complete(self) -> bool:
        """Whether the copy has been complete at least once."""
        return self.revision > 0

    def get(self, key: str) -> Row | None:
        """Return a row, or ``None`` if it is absent."""
        return self._rows.get(key)

    def version(self, key: str) -> int:
        """Return the version of a row, 0 if it is absent."""
        row = self._rows.get(key)
        return row.version if row else 0

    def rows_under(self, part: str) -> Iterator[Row]:
        """Yield the rows whose key begins with ``part/``."""
        for key in tuple(self._keys_by_part.get(part, ())):
            yield self._rows[key]

    def upstream_row(self, upstream: UpstreamId) -> UpstreamRow | None:
        """Return the row of an upstream, which names its holder and its successor."""
        return self._parse_row(upstream.row_key, UpstreamRow.from_json)

    def units_row(self, key: str) -> UnitsRow | None:
        """Return the assignments of a chunk of shards."""
        return self._parse_row(key, UnitsRow.from_json)

    def pins_row(self, service: str) -> PinsRow | None:
        """Return the assignments of the pinned keys of a service."""
        return self._parse_row(f"pins/{service}", PinsRow.from_json)

    def host_rows(self) -> Iterator[HostRow]:
        """Yield the rows of all entry hosts."""
        for row in self.rows_under("host"):
            host = self._parse_row(row.key, HostRow.from_json)
            if host is not None:
                yield host

    def assignment(self, unit: UnitId) -> UnitAssignment | None:
        """Return the assignment of a unit."""
        if unit.is_pin:
            pins = self.pins_row(unit.service)
            return pins.units.get(f"{unit.group}/{unit.key}") if pins else None
        chunk = self.units_row(unit.row_key)
        return chunk.units.get(unit.shard) if chunk else None

    def _assignments_in(self, row_key: str) -> dict[UnitId, UnitAssignment]:
        part, service, *rest = row_key.split("/", 3)
        if part == "pins":
            pins = self.pins_row(service)
            names = pins.units.items() if pins else ()
            return {UnitId.pin(service, *name.split("/", 1)): a for name, a in names}
        chunk = self.units_row(row_key)
        shards = chunk.units.items() if chunk else ()
        return {UnitId(service, rest[0], shard): a for shard, a in shards}

    def apply_rows(self, rows: Iterable[Row], *, revision: int = 0, source: str) -> tuple[Row, ...]:
        """Store the rows that are newer than the known ones and return them.

        ``revision`` is the table revision up to which the rows make the copy complete, 0 if they
        do not. ``source`` says where the rows come from, for the log.
        """
        newer = []
        for row in rows:
            if row.version <= self.version(row.key):
                continue
            self._rows[row.key] = row
            self._keys_by_part.setdefault(row.key.split("/", 1)[0], set()).add(row.key)
            newer.append(row)
            if row.key == CONFIG_KEY:
                self._apply_configuration(row, source)
            elif row.key.startswith(("units/", "pins/")):
                _intern_strings(row)
                self.owners.replace(row.key, self._assignments_in(row.key))
        if newer:
            self.serial += 1
        if newer or revision > self.revision:
            self.revision = max(self.revision, revision)
            self._announce_change()
        return tuple(newer)

    async def wait_changed(self) -> None:
        """Wait until a row changes or the copy is complete up to a higher revision."""
        await self._changed.wait()

    async def refresh(self) -> None:
        """Read the table's changes now and apply them. Raises ``PlatformError``."""
        since = self.revision
        scan = await self._table.scan("", since=since)
        self._apply_scan(scan)

    def poll_soon(self) -> None:
        """Have the table polled before the interval ends."""
        self._poll_now.set()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        task_status.started()
        while True:
            await self._poll()
            with trio.move_on_after(POLL_INTERVAL_S * random.uniform(0.8, 1.2)):
                await self._poll_now.wait()
            self._poll_now = trio.Event()

    async def _poll(self) -> None:
        asked_at = self._clock.now()
        try:
            await self.refresh()
        except PlatformError as exc:
            if not self._outage_logged:
                log.warning(
                    "store not reachable, asking peers for newer rows",
                    step=exc.step,
                    error=exc.message,
                )
            self._outage_logged = True
            self.store_up = False
            await self._fetch_from_peer()
            return
        if not self.store_up:
            log.info("store reachable", revision=self.revision)
        self._outage_logged = False
        self.store_up = True
        self.store_heard_at = asked_at

    async def _fetch_from_peer(self) -> None:
        ahead = [digest for digest in self._hub.digests() if digest.revision > self.revision]
        if not ahead:
            return
        best = max(ahead, key=lambda digest: digest.revision)
        try:
            reply = await self._hub.call(
                best.member, RowsSince(revision=self.revision), timeout=PEER_CALL_TIMEOUT_S
            )
        except PeerError as exc:
            log.info(
                "peer did not answer the request for rows", peer=best.member, error=exc.message
            )
            return
        if isinstance(reply, RowsPart):
            self.apply_rows(reply.rows, revision=reply.revision, source=best.member)

    async def _answer_rows_since(self, member: str, call: Call) -> Reply:
        assert isinstance(call, RowsSince)
        rows = tuple(row for row in self._rows.values() if row.revision > call.revision)
        return RowsPart(rows=rows, revision=self.revision)

    def _apply_pushed(self, member: str, rows: tuple[Row, ...], revision: int) -> None:
        newer = self.apply_rows(rows, revision=revision, source=member)
        if newer:
            self._hub.push_rows(newer, fanout=FORWARD_FANOUT)

    def _apply_scan(self, scan: Scan) -> None:
        self.apply_rows(scan.rows, revision=scan.revision, source="store")

    def _apply_configuration(self, row: Row, source: str) -> None:
        try:
            self.configuration = Configuration(row=ConfigRow.from_json(row.value))
        except (ConfigError, KeyError) as exc:
            # The row was written without the checks of the operator API. The last valid
            # configuration stays in force.
            log.warning(
                "configuration is invalid, the last valid one stays in force",
                version=row.version,
                error=str(exc),
            )
            return
        log.info("configuration in force", version=self.configuration.version, source=source)

    def _announce_change(self) -> None:
        version = self.configuration.version if self.configuration else 0
        self._hub.set_digest(config_version=version, revision=self.revision)
        self._changed.set()
        self._changed = trio.Event()

    def _parse_row(self, key: str, parse: Callable[[Any], T]) -> T | None:
        row = self._rows.get(key)
        if row is None:
            return None
        cached = self._parsed.get(key)
        if cached is not None and cached[0] == row.version:
            value: T = cached[1]
            return value
        try:
            parsed = parse(row.value)
        except (KeyError, ValueError, TypeError) as exc:
            raise AcaciasaddleError(f"row is malformed: {exc}", step="mirror", peer=key) from exc
        self._parsed[key] = (row.version, parsed)
        return parsed


def _intern_strings(row: Row) -> None:
    """Intern the strings of a row of units, since JSON decoding makes a copy for each unit.

    Equal owners and reasons of units then share memory.
    """
    units = row.value.get("units")
    if not isinstance(units, dict):
        return
    for fields in units.values():
        if isinstance(fields, list):
            fields[:] = [sys.intern(item) if type(item) is str else item for item in fields]

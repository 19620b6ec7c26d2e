"""Service that keeps the fleet view up to date with the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

import trio

from acaciasaddle.errors import HistoryExpiredError
from acaciasaddle.errors import PlatformError
from acaciasaddle.kernel import Service
from acaciasaddle.keyspace import OWNERS_TABLE
from acaciasaddle.keyspace import KeyMap
from acaciasaddle.observe import describe_error
from acaciasaddle.observe import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from acaciasaddle.fleet._types import ConfigurationFeed
    from acaciasaddle.fleet._types import Registry
    from acaciasaddle.fleet._view import FleetView
    from acaciasaddle.table import Table

FEED_WAIT_S = 1.0
"""Longest wait of one feed call. A feed that has gone silent is noticed within this time plus the
timeout of a call, together less than the 2 s allowed for a change to take effect."""
REGISTRY_INTERVAL_S = 0.6
"""An upstream accepts requests for 2 s after it begins to drain; three reads fit into that time."""
UP_TO_DATE_POLL_S = 0.1
RETRY_S = 0.25
MAX_RETRY_S = 1.0
"""The pause doubles up to this while a source fails. Refused calls cost as much as others, and a
host that is refused for seconds receives the changes over its link to the coordinator."""
OWNERS_INTERVAL_S = 0.3
"""Owners may change in every round of the coordinator. With this pause, a host without a link may
read the changes of more than one round at once."""

log = get_logger("watch")


class _SourceReader:
    """Polls one source for changes, and logs when it becomes unavailable and available again."""

    def __init__(
        self,
        *,
        name: str,
        read: Callable[[int], Awaitable[int]],
        up_to_date: Callable[[], bool],
    ) -> None:
        """Create a reader that pauses while ``up_to_date`` returns true.

        The changes of the source then arrive over a link, or this host makes them itself.
        """
        self._name = name
        self._read = read
        self._up_to_date = up_to_date
        self._unavailable = False
        self.unexpected_errors = 0

    async def run(self, interval_s: float) -> None:
        since = 0
        retry_s = RETRY_S
        while True:
            if self._up_to_date():
                since = 0
                await trio.sleep(UP_TO_DATE_POLL_S)
                continue
            try:
                since = await self._read(since)
            except HistoryExpiredError as exc:
                log.info(
                    "change history lost, reading all rows",
                    source=self._name,
                    since=since,
                    reason=exc.message,
                )
                since = 0
                await trio.sleep(RETRY_S)
                continue
            except Exception as exc:
                # Anything may stand in a source. What this host knows holds, and the other sources
                # are read on, so an error that is not foreseen must not end the process either.
                if not isinstance(exc, PlatformError):
                    self.unexpected_errors += 1
                    log.error("unexpected error", source=self._name, reason=describe_error(exc))
                elif not self._unavailable:
                    log.warning("source unavailable", source=self._name, reason=str(exc))
                self._unavailable = True
                await trio.sleep(retry_s)
                retry_s = min(2 * retry_s, MAX_RETRY_S)
                continue
            retry_s = RETRY_S
            if self._unavailable:
                log.info("source available again", source=self._name, revision=since)
                self._unavailable = False
            # Revision 0: the table has never been written, so there are no changes to wait for.
            await trio.sleep(interval_s if since else RETRY_S)


class Watcher(Service):
    """Service that reads the configuration, the registry and the owners of keys."""

    name: ClassVar[str] = "watcher"

    def __init__(
        self,
        *,
        view: FleetView,
        configurations: ConfigurationFeed,
        registry: Registry,
        table: Table,
        up_to_date: Callable[[], bool],
        configuration_up_to_date: Callable[[], bool],
        leading: Callable[[], bool],
    ) -> None:
        """Create the service from the sources and three conditions.

        ``up_to_date`` returns whether the coordinator keeps this host up to date over a link,
        ``configuration_up_to_date`` whether the coordinator also has no newer configuration than
        this host, and ``leading`` whether this host is the coordinator.
        """
        self._up_to_date = up_to_date
        self._configuration_up_to_date = configuration_up_to_date
        self._leading = leading
        self._view = view
        self._configurations = configurations
        self._registry = registry
        self._table = table
        self._readers: list[_SourceReader] = []

    @property
    def unexpected_errors(self) -> int:
        """Number of unexpected errors of reads since the start."""
        return sum(reader.unexpected_errors for reader in self._readers)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        task_status.started()
        async with trio.open_nursery() as nursery:
            for name, read, interval_s, up_to_date in (
                ("configuration", self._read_configuration, 0.0, self._configuration_up_to_date),
                ("owners", self._read_owners, OWNERS_INTERVAL_S, self._owners_up_to_date),
                ("registry", self._read_registry, REGISTRY_INTERVAL_S, self._up_to_date),
            ):
                reader = _SourceReader(name=name, read=read, up_to_date=up_to_date)
                self._readers.append(reader)
                nursery.start_soon(reader.run, interval_s)

    def _owners_up_to_date(self) -> bool:
        # The coordinator is the only writer of owners, so it does not need to read them.
        return self._leading() or self._up_to_date()

    async def _read_configuration(self, since: int) -> int:
        change = await self._configurations.changes(since=since, wait_s=FEED_WAIT_S)
        self._view.note_configuration_read()
        if change.problem:
            log.warning("configuration rejected", reason=change.problem)
        if change.configuration is not None:
            self._view.apply_configuration(change.configuration)
        return change.revision

    async def _read_owners(self, since: int) -> int:
        scan = await self._table.scan(f"{OWNERS_TABLE}/", since=since, wait_s=FEED_WAIT_S)
        for row in scan.rows:
            service = row.key.partition("/")[2]
            self._view.apply_owners(service, KeyMap.from_json(row.value, version=row.version))
        return scan.revision

    async def _read_registry(self, since: int) -> int:
        try:
            change = await self._registry.changes(since=since)
        except HistoryExpiredError:
            raise
        except PlatformError:
            self._view.note_registry_failure()
            raise
        self._view.apply_registry(change)
        return change.revision

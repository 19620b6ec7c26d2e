"""Keeps the view up to date from the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

import trio

from acaciasaddle.errors import HistoryLostError
from acaciasaddle.errors import PlatformError
from acaciasaddle.kernel import Service
from acaciasaddle.keyspace import OWNERS_TABLE
from acaciasaddle.keyspace import KeyMap
from acaciasaddle.observe import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from acaciasaddle.fleet._types import ConfigurationFeed
    from acaciasaddle.fleet._types import Registry
    from acaciasaddle.fleet._view import FleetView
    from acaciasaddle.table import Table

FEED_WAIT_S = 1.0
"""A feed that went silent is noticed within this and one call, inside the 2 s for a change."""
REGISTRY_INTERVAL_S = 0.6
"""Upstreams may be used for 2 s after they began to drain; three reads fit."""
COVERED_POLL_S = 0.1
RETRY_S = 0.25
MAX_RETRY_S = 1.0
"""The pause doubles up to this while a source fails: refused calls are priced like the others, and
a host that is turned away for seconds is told by its link what it misses."""
OWNERS_INTERVAL_S = 0.3
"""Owners may change with every round of the coordinator; a host without a link reads several
rounds at once."""

log = get_logger("watch")


class _Step:
    """Reads one kind of change over and over; logs when its source is lost and regained."""

    def __init__(
        self,
        *,
        name: str,
        read: Callable[[int], Awaitable[int]],
        covered: Callable[[], bool],
    ) -> None:
        """``covered`` tells whether another host passes on the same changes."""
        self._name = name
        self._read = read
        self._covered = covered
        self._lost = False

    async def run(self, interval_s: float) -> None:
        since = 0
        retry_s = RETRY_S
        while True:
            if self._covered():
                since = 0
                await trio.sleep(COVERED_POLL_S)
                continue
            try:
                since = await self._read(since)
            except HistoryLostError:
                log.info("history lost, reading everything", source=self._name, since=since)
                since = 0
                await trio.sleep(RETRY_S)
                continue
            except PlatformError as exc:
                if not self._lost:
                    log.warning("source lost", source=self._name, reason=str(exc))
                self._lost = True
                await trio.sleep(retry_s)
                retry_s = min(2 * retry_s, MAX_RETRY_S)
                continue
            retry_s = RETRY_S
            if self._lost:
                log.info("source regained", source=self._name, revision=since)
                self._lost = False
            # A table that has never been written has no history to follow.
            await trio.sleep(interval_s if since else RETRY_S)


class Watcher(Service):
    """Reads configuration, registry and owners for as long as the process runs."""

    name: ClassVar[str] = "watcher"

    def __init__(
        self,
        *,
        view: FleetView,
        configurations: ConfigurationFeed,
        registry: Registry,
        table: Table,
        covered: Callable[[], bool],
        configuration_covered: Callable[[], bool],
        leading: Callable[[], bool],
    ) -> None:
        """``covered``: the coordinator passes on what it reads; ``leading``: this host is it.

        ``configuration_covered``: it does, and has no newer configuration than this host.
        """
        self._covered = covered
        self._configuration_covered = configuration_covered
        self._leading = leading
        self._view = view
        self._configurations = configurations
        self._registry = registry
        self._table = table

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        task_status.started()
        async with trio.open_nursery() as nursery:
            for name, read, interval_s, covered in (
                ("configuration", self._read_configuration, 0.0, self._configuration_covered),
                ("owners", self._read_owners, OWNERS_INTERVAL_S, self._owners_covered),
                ("registry", self._read_registry, REGISTRY_INTERVAL_S, self._covered),
            ):
                step = _Step(name=name, read=read, covered=covered)
                nursery.start_soon(step.run, interval_s)

    def _owners_covered(self) -> bool:
        # The coordinator itself is the only writer of owners.
        return self._leading() or self._covered()

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
        change = await self._registry.changes(since=since)
        self._view.apply_registry(change)
        return change.revision

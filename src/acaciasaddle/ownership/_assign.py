"""First assignment of units that have no owner in the table yet."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING
from typing import ClassVar

import trio

from acaciasaddle.errors import PlatformError
from acaciasaddle.kernel import Service
from acaciasaddle.model import CHUNK_SHARDS
from acaciasaddle.model import UnitAssignment
from acaciasaddle.model import UnitId
from acaciasaddle.model import UnitsRow
from acaciasaddle.observe import get_logger

if TYPE_CHECKING:
    from acaciasaddle.mirror import Configuration
    from acaciasaddle.ownership._context import Context

CHECK_INTERVAL_S = 0.2
# Upstreams get this long to respond for the first time; one that has not responded, such as a dead
# one, is given no units.
FIRST_RESPONSES_LIMIT_S = 1.5

log = get_logger("placement")


class FirstAssignment(Service):
    """Creates the missing rows of units.

    Every host tries. The writes are conditional on the absence of the rows, so one host succeeds.
    """

    name: ClassVar[str] = "assignment"

    def __init__(self, *, ctx: Context) -> None:
        self._ctx = ctx

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        task_status.started()
        while True:
            await trio.sleep(CHECK_INTERVAL_S * random.uniform(0.5, 1.5))
            cfg = self._ctx.mirror.configuration
            if cfg is None or not self._ctx.mirror.store_up or not self._missing_chunks(cfg):
                continue
            await self._wait_for_first_responses(cfg)
            try:
                await self._create(cfg)
            except PlatformError as exc:
                log.info("first assignment of units not written, retrying", error=str(exc))
                self._ctx.mirror.poll_soon()

    def _missing_chunks(self, cfg: Configuration) -> list[tuple[str, str, int, int]]:
        return [
            chunk
            for chunk in cfg.chunks()
            if self._ctx.mirror.get(f"units/{chunk[0]}/{chunk[1]}/{chunk[2]}") is None
        ]

    async def _wait_for_first_responses(self, cfg: Configuration) -> None:
        with trio.move_on_after(FIRST_RESPONSES_LIMIT_S):
            while not all(self._has_responded(uid) for uid in cfg.upstreams):
                await self._ctx.mirror.wait_changed()

    def _has_responded(self, upstream: object) -> bool:
        row = self._ctx.mirror.upstream_row(upstream)  # type: ignore[arg-type]
        return row is not None and row.health != "unknown"

    async def _create(self, cfg: Configuration) -> None:
        conditions, puts = {}, {}
        for service, group, chunk, shards in self._missing_chunks(cfg):
            # Lets other tasks run, such as heartbeats, while a large group is assigned.
            await trio.lowlevel.checkpoint()
            first = chunk * CHUNK_SHARDS
            units = {}
            for shard in range(first, min(first + CHUNK_SHARDS, shards)):
                owner = self._ctx.placement.choose(UnitId(service, group, shard), without=())
                if owner is None:
                    break
                units[shard] = UnitAssignment(
                    owner=str(owner),
                    previous="",
                    epoch=1,
                    since=int(time.time()),
                    reason="first assignment",
                )
            else:
                key = f"units/{service}/{group}/{chunk}"
                conditions[key] = 0
                puts[key] = UnitsRow(shards=shards, units=units).to_json
        if not puts:
            return
        await self._ctx.write(conditions=conditions, puts=puts)
        log.info("units assigned for the first time", rows=len(puts))

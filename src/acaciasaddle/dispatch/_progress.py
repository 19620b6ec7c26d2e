"""Tracking of the dispatcher's jobs and of the requests in progress at upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Iterable

    from acaciasaddle.dispatch._job import Job
    from acaciasaddle.dispatch._waiting import SlotRequest
    from acaciasaddle.model import UnitId
    from acaciasaddle.model import UpstreamId


class JobTracker:
    """Tracks the dispatcher's jobs, and the requests in progress at upstreams by unit.

    A request is in progress while it has a slot, and also after its slot was freed early because
    the connection has probably gone silent.
    """

    def __init__(self) -> None:
        self._jobs: dict[Job, None] = {}
        self._running: dict[UnitId, dict[SlotRequest, None]] = {}
        self._changed = trio.Event()

    def add(self, job: Job) -> None:
        """Add a job."""
        self._jobs[job] = None

    def remove(self, job: Job) -> None:
        """Remove a job that has ended."""
        del self._jobs[job]
        self._notify()

    def jobs(self) -> Iterable[Job]:
        """Return all jobs."""
        return tuple(self._jobs)

    def start(self, item: SlotRequest) -> None:
        """Record that a request is in progress."""
        self._running.setdefault(item.unit, {})[item] = None

    def finish(self, item: SlotRequest) -> None:
        """Record that a request is no longer in progress."""
        items = self._running.get(item.unit, {})
        items.pop(item, None)
        if not items:
            self._running.pop(item.unit, None)
        self._notify()

    def jobs_in_progress(self, upstream: UpstreamId) -> list[Job]:
        """Return the jobs in progress at an upstream."""
        return [job for job in self._jobs if job.req.upstream == upstream and job.slot_request]

    def count_bulky(self, unit: UnitId) -> int:
        """Return the number of bulky requests of a unit that are in progress."""
        return sum(item.bulky for item in self._running.get(unit, ()))

    async def wait_drained(self, unit: UnitId) -> None:
        """Wait until no request of a unit is in progress."""
        while unit in self._running:
            await self._changed.wait()

    async def wait_idle(self) -> None:
        """Wait until there is no job and no request in progress."""
        while self._jobs or self._running:
            await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

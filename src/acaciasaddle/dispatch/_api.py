"""Interface that the dispatcher offers to the other services."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import ClassVar

from acaciasaddle.kernel import Service
from acaciasaddle.model import UnitId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from acaciasaddle.model import BodySource
    from acaciasaddle.model import OnceRecord
    from acaciasaddle.model import ResponseSink
    from acaciasaddle.model import UpstreamId
    from acaciasaddle.model import WorkRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamLoad:
    """Load of an upstream as measured by its holder.

    ``busy`` is the fraction of slot time in use, 0 to 1. ``queued`` is the number of waiting
    requests. ``unit_busy`` is the slot time used per second by each unit. ``key_busy`` is the same
    for the hottest keys that are not pinned; each key is given as the unit that it would be if it
    were pinned. All but ``queued`` are averages over some seconds.
    """

    busy: float
    queued: int
    unit_busy: Mapping[UnitId, float]
    key_busy: Mapping[UnitId, float] = field(default_factory=dict)


class Dispatcher(Service):
    """Queues requests for the upstreams that this host holds and sends them there."""

    name: ClassVar[str] = "dispatch"

    @abstractmethod
    async def serve(self, req: WorkRequest, body: BodySource, response: ResponseSink) -> None:
        """Serve a request at ``req.upstream``.

        Raises ``NotOwnerError`` if the request may be routed again, otherwise ``RefusedError``
        or ``RequestError``.
        """

    @abstractmethod
    def pause(self, unit: UnitId) -> None:
        """Keep new and queued requests of the unit waiting until it is resumed or rejected."""

    @abstractmethod
    async def wait_drained(self, unit: UnitId) -> None:
        """Wait until no request of the unit is in progress at the upstream."""

    @abstractmethod
    def bulky_running(self, unit: UnitId) -> int:
        """Return the number of bulky requests of the unit that are in progress."""

    @abstractmethod
    def resume(self, unit: UnitId) -> None:
        """Let waiting requests of the unit proceed at this host.

        Those that it may not send now fail with ``NotOwnerError``.
        """

    @abstractmethod
    def reject(self, unit: UnitId) -> None:
        """Fail waiting requests of the unit with ``NotOwnerError``, as it has another owner now."""

    @abstractmethod
    def upstream_released(self, upstream: UpstreamId) -> None:
        """Fail the waiting requests of an upstream that this host no longer holds.

        They fail with ``NotOwnerError``.
        """

    @abstractmethod
    def upstream_lost(self, upstream: UpstreamId) -> None:
        """Abort requests in progress at an upstream whose lease has expired."""

    @abstractmethod
    def export_records(
        self, upstream: UpstreamId, units: Iterable[UnitId] | None
    ) -> tuple[OnceRecord, ...]:
        """Return the at-most-once records of the units, or of the whole upstream with ``None``."""

    @abstractmethod
    def import_records(self, upstream: UpstreamId, records: Iterable[OnceRecord]) -> None:
        """Add records received from another host; a ``started`` one becomes ``unknown``."""

    @abstractmethod
    def memory_since(self, upstream: UpstreamId) -> float:
        """Return the time of day, in seconds, before which records may be missing.

        It is sent along with exported records.
        """

    @abstractmethod
    def load(self, upstream: UpstreamId) -> UpstreamLoad:
        """Return the measured load of an upstream."""

    @abstractmethod
    async def wait_idle(self) -> None:
        """Wait until no request is queued or in progress."""

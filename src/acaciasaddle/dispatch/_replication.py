"""Replication of at-most-once records to the successor."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import trio

from acaciasaddle.errors import AcaciasaddleError
from acaciasaddle.errors import AuthorityLostError
from acaciasaddle.model import OnceRecord

if TYPE_CHECKING:
    from acaciasaddle.model import UpstreamId
    from acaciasaddle.ownership import Authority

MAX_BATCH_BYTES = 262_144
"""Maximum total size of the bodies in one call; this much takes about 1 ms on the wire."""

MAX_TRIES = 3
"""Attempts to copy a record that no request waits for."""

RETRY_DELAY_S = 0.2

RecordKey = tuple[str, str, str]


@dataclass(slots=True, kw_only=True, eq=False)
class PendingCopy:
    """A record to be copied to the successor.

    ``urgent`` is true if a request waits for the copy. ``done`` is set at the end, with ``error``
    if the copy failed.
    """

    record: OnceRecord
    urgent: bool
    tries: int = 0
    error: AcaciasaddleError | None = None
    done: trio.Event = field(default_factory=trio.Event)

    def finish(self, error: AcaciasaddleError | None = None) -> None:
        """Set the result and wake the request that waits for the copy."""
        self.error = error
        self.done.set()


class Replicator:
    """Copies the records of one upstream to its successor, one call at a time.

    Records that are queued during a call are sent together in the next one. One call at a time
    also keeps the order, so that the deletion of a record and the start of a repeat cannot
    overtake each other.
    """

    def __init__(self, *, upstream: UpstreamId, authority: Authority) -> None:
        self._upstream = upstream
        self._authority = authority
        self._pending: dict[RecordKey, PendingCopy] = {}
        self._wake = trio.Event()

    def put(self, record: OnceRecord, *, urgent: bool) -> PendingCopy:
        """Queue a record to be copied and return the pending copy.

        A copy that is already queued for the same request is removed and fails.
        """
        key = (record.unit.service, record.caller, record.idempotency_key)
        old = self._pending.pop(key, None)
        if old is not None:
            old.finish(_replaced_error(self._upstream))
        copy = PendingCopy(record=record, urgent=urgent)
        self._pending[key] = copy
        self._wake.set()
        return copy

    async def run(self) -> None:
        """Copy records until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            while self._pending:
                if not await self._send_batch(self._next_batch()):
                    with trio.move_on_after(RETRY_DELAY_S):
                        await self._wake.wait()
                    self._wake = trio.Event()

    def _next_batch(self) -> dict[RecordKey, PendingCopy]:
        batch: dict[RecordKey, PendingCopy] = {}
        size = 0
        # Copies that a request waits for are sent first.
        for key, copy in sorted(self._pending.items(), key=lambda item: not item[1].urgent):
            size += len(copy.record.body or b"")
            if batch and size > MAX_BATCH_BYTES:
                break
            batch[key] = copy
        for key in batch:
            del self._pending[key]
        return batch

    async def _send_batch(self, batch: dict[RecordKey, PendingCopy]) -> bool:
        try:
            records = tuple(copy.record for copy in batch.values())
            await self._authority.replicate(self._upstream, records)
        except AcaciasaddleError as exc:
            for key, copy in batch.items():
                copy.tries += 1
                if not copy.urgent and copy.tries < MAX_TRIES and key not in self._pending:
                    self._pending[key] = copy
                else:
                    copy.finish(exc)
            return False
        for copy in batch.values():
            copy.finish()
        return True


def _replaced_error(upstream: UpstreamId) -> AuthorityLostError:
    return AuthorityLostError(
        "a newer record replaced this one", step="dispatch.replicate", peer=str(upstream)
    )

"""Defects that each switch off one rule of the system, to show that the checker reports them."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager
from contextlib import ExitStack
from contextlib import contextmanager
from contextlib import nullcontext
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any
from unittest import mock

import trio
from features.support.system import SystemParts

from acaciasaddle.clock import TrioClock
from acaciasaddle.dispatch import OnceRecords
from acaciasaddle.emulator import UpstreamModel
from acaciasaddle.emulator._store import TableStore
from acaciasaddle.entry._host import EntryHost
from acaciasaddle.errors import Outcome
from acaciasaddle.errors import RefusedError
from acaciasaddle.mirror import Mirror
from acaciasaddle.ownership import FirstAssignment
from acaciasaddle.ownership import HostAuthority
from acaciasaddle.ownership._moves import UnitMoves
from acaciasaddle.ownership._row_keeper import RowKeeper

if TYPE_CHECKING:
    from collections.abc import Iterator

RELEASE_DELAY_S = 0.3


@dataclass(frozen=True, slots=True, kw_only=True)
class Defect:
    """A rule of the system that is switched off, and the trials that have to show it.

    At least one of them has to report a violation of ``rule``, a rule of the checker. ``patch``
    patches the code under test, ``parts`` replaces parts of the simulated system. ``fault`` is
    empty if the scenario shows the violation without a fault. Otherwise each trial injects it at
    one of the ``occurrences`` of ``step``.
    """

    name: str
    promise: int
    rule: str
    scenario: str
    patch: Callable[[], AbstractContextManager[Any]] = nullcontext
    parts: Callable[[], SystemParts] = SystemParts
    fault: str = ""
    step: str = ""
    occurrences: tuple[int, ...] = (0,)


# Promise 1


class _LongLeaseModel(UpstreamModel):
    """Upstream that keeps its units 2 s longer than the expiry that it reports to the holder."""

    def grant(self, order: Any) -> Any:
        if order.valid_until is None:
            return self._with_requested_expiry(super().grant(order))
        return self._with_requested_expiry(
            super().grant(replace(order, valid_until=order.valid_until + 2000))
        )

    @staticmethod
    def _with_requested_expiry(result: Any) -> Any:
        state = replace(result.state, valid_until=result.state.valid_until - 2000)
        return replace(result, state=state)


def _lease_too_long() -> SystemParts:
    return SystemParts(
        model=lambda settings, offset_ms: _LongLeaseModel(
            settings=settings, clock=TrioClock(), offset_ms=offset_ms
        )
    )


@contextmanager
def _grant_before_release() -> Iterator[None]:
    """Grant units to a new owner before the previous owner has released them.

    The release is delayed so that a grant comes first: the next grant is up to 130 ms away.
    """
    original = UnitMoves._release_outgoing

    async def slow_release(self: UnitMoves) -> None:
        await trio.sleep(RELEASE_DELAY_S)
        await original(self)

    with (
        mock.patch.object(UnitMoves, "_release_confirmed", lambda self, unit, assignment: True),
        mock.patch.object(UnitMoves, "_release_outgoing", slow_release),
    ):
        yield


# Promise 2


@contextmanager
def _assign_without_reading_rows() -> Iterator[None]:
    """Make the first assignment write its rows without checking whether they exist.

    The store accepts every write, since it would otherwise refuse to replace existing rows.
    """
    original = TableStore.transact

    def transact(self: TableStore, *, conditions: Any, puts: Any) -> Any:
        return original(self, conditions={k: self._version(k) for k in conditions}, puts=puts)

    with (
        mock.patch.object(TableStore, "transact", transact),
        mock.patch.object(FirstAssignment, "_missing_chunks", lambda self, cfg: list(cfg.chunks())),
    ):
        yield


# Promises 3, 4 and 5


@contextmanager
def _one_record_for_all_requests() -> Iterator[None]:
    """Use one record for all at-most-once requests that a caller sends to a service.

    Every request gets the idempotency key and the key of the first one.
    """
    original = OnceRecords.claim
    first: dict[str, Any] = {}

    def claim(self: OnceRecords, **values: Any) -> Any:
        first.update({k: v for k, v in values.items() if k not in first})
        return original(
            self, **{**values, **{k: first[k] for k in ("idempotency_key", "work_key")}}
        )

    with mock.patch.object(OnceRecords, "claim", claim):
        yield


@contextmanager
def _report_unknown_as_not_run() -> Iterator[None]:
    """Make refusals say "not run" where the outcome is unknown."""
    original = RefusedError.__init__

    def init(self: RefusedError, message: str, **values: Any) -> None:
        if values.get("outcome") is Outcome.UNKNOWN:
            values["outcome"] = Outcome.NOT_RUN
        original(self, message, **values)

    with mock.patch.object(RefusedError, "__init__", init):
        yield


@contextmanager
def _no_replication() -> Iterator[None]:
    """Keep holders from copying records to the successor; a new successor still gets all."""

    async def replicate(self: Any, records: Any) -> None:
        return

    with mock.patch.object(RowKeeper, "replicate", replicate):
        yield


# Promises 6, 7 and 8


@contextmanager
def _no_drain() -> Iterator[None]:
    """Keep holders from moving units off an upstream that leaves, is lost or may not own them."""

    async def move_all(self: Any, reason: str) -> None:
        return

    with mock.patch.object(UnitMoves, "_move_all", move_all):
        yield


@contextmanager
def _stop_at_once() -> Iterator[None]:
    """Make hosts stop without handing over upstreams and without waiting for their requests."""

    async def stop(self: EntryHost) -> None:
        self.kernel.shutdown()

    async def no_wait(self: Any) -> None:
        return

    with ExitStack() as stack:
        stack.enter_context(mock.patch.object(EntryHost, "stop", stop))
        stack.enter_context(
            mock.patch("acaciasaddle.dispatch._dispatcher.LocalDispatcher.stop", no_wait)
        )
        stack.enter_context(mock.patch("acaciasaddle.peers._hub.TcpPeerHub.stop", no_wait))
        stack.enter_context(mock.patch.object(HostAuthority, "stop", no_wait))
        yield


@contextmanager
def _accept_lower_versions() -> Iterator[None]:
    """Make mirrors put the last received configuration in force, even one of a lower version."""
    original = Mirror.apply_rows

    def apply_rows(self: Mirror, rows: Any, **values: Any) -> Any:
        rows = tuple(rows)
        result = original(self, rows, **values)
        for row in rows:
            if row.key == "config/current" and row.version < self.version(row.key):
                self._apply_configuration(row, "late")
        return result

    with mock.patch.object(Mirror, "apply_rows", apply_rows):
        yield


DEFECTS: tuple[Defect, ...] = (
    Defect(
        name="lease expiry not waited for",
        promise=1,
        rule="two-owners",
        scenario="lookups",
        parts=_lease_too_long,
        fault="upstream frozen 3 s",
        step="upstream receives grant",
    ),
    Defect(
        name="release not waited for",
        promise=1,
        rule="two-owners",
        scenario="drain during an upload",
        patch=_grant_before_release,
    ),
    Defect(
        name="first assignment without reading rows",
        promise=2,
        rule="assignment-lost",
        scenario="drain and moves",
        patch=_assign_without_reading_rows,
    ),
    Defect(
        name="one record for all requests",
        promise=3,
        rule="foreign-answer",
        scenario="once",
        patch=_one_record_for_all_requests,
    ),
    Defect(
        name="unknown reported as not run",
        promise=4,
        rule="not-run-but-ran",
        scenario="once",
        patch=_report_unknown_as_not_run,
        fault="host killed",
        step="host receives answer to work",
        occurrences=(0, 2, 4),
    ),
    Defect(
        name="records not replicated",
        promise=5,
        rule="run-twice",
        scenario="once",
        patch=_no_replication,
        fault="host killed",
        step="host receives answer to work",
        occurrences=(0, 2, 4),
    ),
    Defect(
        name="leaving upstream not drained",
        promise=6,
        rule="late-work",
        scenario="drain and moves",
        patch=_no_drain,
    ),
    Defect(
        name="stop without waiting",
        promise=7,
        rule="cut-by-stop",
        scenario="graceful stop",
        patch=_stop_at_once,
    ),
    Defect(
        name="lower versions accepted",
        promise=8,
        rule="config-reverted",
        scenario="two operators",
        patch=_accept_lower_versions,
        fault="cut to the peer",
        step="host sends Rows",
        occurrences=(0, 1, 2, 3, 4, 5),
    ),
)

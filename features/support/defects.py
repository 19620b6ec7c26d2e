"""Rules of the system switched off one by one, to show that the checker notices."""

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
from features.support.stage import Defects

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

SLOW_RELEASE_S = 0.3


@dataclass(frozen=True, slots=True, kw_only=True)
class Defect:
    """A rule switched off, and a cell in which the checker has to report ``rule``.

    ``fault`` is empty if the scenario shows the violation by itself.
    """

    name: str
    promise: int
    rule: str
    scenario: str
    patch: Callable[[], AbstractContextManager[Any]] = nullcontext
    parts: Callable[[], Defects] = Defects
    fault: str = ""
    step: str = ""
    numbers: tuple[int, ...] = (0,)


# Promise 1


class _LongLeaseModel(UpstreamModel):
    """Keeps its units 2 s longer than the lease that the holder waits for."""

    def grant(self, order: Any) -> Any:
        if order.valid_until is None:
            return self._shown(super().grant(order))
        return self._shown(super().grant(replace(order, valid_until=order.valid_until + 2000)))

    @staticmethod
    def _shown(reply: Any) -> Any:
        state = replace(reply.state, valid_until=reply.state.valid_until - 2000)
        return replace(reply, state=state)


def _long_lease() -> Defects:
    return Defects(
        model=lambda settings, offset_ms: _LongLeaseModel(
            settings=settings, clock=TrioClock(), offset_ms=offset_ms
        )
    )


@contextmanager
def _no_wait_for_release() -> Iterator[None]:
    """A new owner is granted units that the previous owner has not released.

    The release is slow enough for a grant to come first: the next order is up to 130 ms away.
    """
    original = UnitMoves._release_outgoing

    async def slow_release(self: UnitMoves) -> None:
        await trio.sleep(SLOW_RELEASE_S)
        await original(self)

    with (
        mock.patch.object(UnitMoves, "_release_confirmed", lambda self, unit, assignment: True),
        mock.patch.object(UnitMoves, "_release_outgoing", slow_release),
    ):
        yield


# Promise 2


@contextmanager
def _assigned_again() -> Iterator[None]:
    """A first assignment that does not look whether the rows exist."""
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
def _one_record_for_all() -> Iterator[None]:
    """Records of at-most-once work that are found without regard to caller and key."""
    original = OnceRecords.claim
    first: dict[str, Any] = {}

    def claim(self: OnceRecords, **values: Any) -> Any:
        first.update({k: v for k, v in values.items() if k not in first})
        return original(self, **{**values, **{k: first[k] for k in ("key", "work_key")}})

    with mock.patch.object(OnceRecords, "claim", claim):
        yield


@contextmanager
def _unknown_is_not_run() -> Iterator[None]:
    """Refusals that say "not run" where nothing is known."""
    original = RefusedError.__init__

    def init(self: RefusedError, message: str, **values: Any) -> None:
        if values.get("outcome") is Outcome.UNKNOWN:
            values["outcome"] = Outcome.NOT_RUN
        original(self, message, **values)

    with mock.patch.object(RefusedError, "__init__", init):
        yield


@contextmanager
def _no_replication() -> Iterator[None]:
    """A holder that does not copy its records to the successor."""

    async def replicate(self: Any, records: Any) -> None:
        return

    with mock.patch.object(RowKeeper, "replicate", replicate):
        yield


# Promises 6, 7 and 8


@contextmanager
def _no_drain() -> Iterator[None]:
    """A holder that moves nothing away from an upstream that leaves."""

    async def move_all(self: Any, reason: str) -> None:
        return

    with mock.patch.object(UnitMoves, "_move_all", move_all):
        yield


@contextmanager
def _stop_at_once() -> Iterator[None]:
    """A host that stops without waiting for its requests."""

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
def _lower_versions() -> Iterator[None]:
    """A mirror that puts whatever configuration comes last in force."""
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
        name="lease not waited for",
        promise=1,
        rule="two-owners",
        scenario="lookups",
        parts=_long_lease,
        fault="upstream frozen 3 s",
        step="upstream receives grant",
    ),
    Defect(
        name="release not waited for",
        promise=1,
        rule="two-owners",
        scenario="drain during an upload",
        patch=_no_wait_for_release,
    ),
    Defect(
        name="assignment without a look at the rows",
        promise=2,
        rule="assignment-lost",
        scenario="drain and moves",
        patch=_assigned_again,
    ),
    Defect(
        name="records not told apart",
        promise=3,
        rule="foreign-answer",
        scenario="once",
        patch=_one_record_for_all,
    ),
    Defect(
        name="unknown called not run",
        promise=4,
        rule="not-run-but-ran",
        scenario="once",
        patch=_unknown_is_not_run,
        fault="host killed",
        step="host receives answer to work",
        numbers=(0, 2, 4),
    ),
    Defect(
        name="records not replicated",
        promise=5,
        rule="run-twice",
        scenario="once",
        patch=_no_replication,
        fault="host killed",
        step="host receives answer to work",
        numbers=(0, 2, 4),
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
        name="lower versions taken",
        promise=8,
        rule="config-reverted",
        scenario="two operators",
        patch=_lower_versions,
        fault="cut to the peer",
        step="host sends Rows",
        numbers=(0, 1, 2, 3, 4, 5),
    ),
)

"""Interfaces of the platform's services."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from acaciasaddle.model import Row

if TYPE_CHECKING:
    from collections.abc import Mapping

    from acaciasaddle.model._rows import JsonObject


@dataclass(frozen=True, slots=True, kw_only=True)
class Scan:
    """Rows that changed after a revision, and the table's revision at the time of the read.

    ``earlier_revision`` is that of the newest row that was written in an earlier era of the store,
    0 if there is none. These rows are not part of ``rows``.
    """

    revision: int
    rows: tuple[Row, ...]
    earlier_revision: int = 0


class Table(ABC):
    """The transactional table.

    Reads raise ``PlatformUnavailableError``. Writes raise ``ConditionFailedError`` if a row does
    not have the expected version, ``PlatformUnavailableError`` if they certainly did not take
    effect, and ``WriteOutcomeUnknownError`` if that is not known.

    A table whose store may come back from an older copy has an ``era``, which rises each time. It
    then has only the rows that were written in this era, and a write that builds on revisions of an
    earlier one raises ``StoreRestoredError``.
    """

    @property
    def era(self) -> int:
        """The newest era of the store that this client has seen, 0 if the store has none."""
        return 0

    @abstractmethod
    async def read(self, key: str) -> Row | None:
        """Return a row, or ``None`` if it does not exist."""

    @abstractmethod
    async def scan(self, prefix: str, *, since: int, wait_s: float = 0.0) -> Scan:
        """Return the rows whose key begins with ``prefix`` and whose revision exceeds ``since``.

        A table that supports it waits up to ``wait_s`` seconds for the first change. Raises
        ``HistoryExpiredError`` if the table no longer keeps all changes since that revision. With
        ``since`` 0 that does not happen.
        """

    @abstractmethod
    async def transact(
        self, *, conditions: Mapping[str, int], puts: Mapping[str, JsonObject]
    ) -> tuple[Row, ...]:
        """Write rows if all conditions hold, and return the new rows.

        ``conditions`` maps keys to expected versions, 0 for a row that must not exist.
        """

    async def drop_earlier_rows(self, prefix: str) -> int:
        """Remove rows of earlier eras from the table of a prefix, with the errors of a write.

        Return how many were removed in this transaction. A large table needs several calls.
        """
        return 0


class ObjectStore(ABC):
    """The object store, with the same errors as ``Table``."""

    @abstractmethod
    async def get(self, name: str) -> bytes | None:
        """Return an object, or ``None`` if it does not exist."""

    @abstractmethod
    async def put(self, name: str, data: bytes) -> None:
        """Store an object, replacing an earlier one."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HostEntry:
    """An entry of the platform's host list, which lags by seconds."""

    host_id: str
    data_centre: str
    address: str
    state: str


class HostList(ABC):
    """The platform's lagging list of live and leaving hosts."""

    @abstractmethod
    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return the list. Raises ``PlatformUnavailableError``."""

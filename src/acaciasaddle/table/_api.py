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
    """Rows changed after a revision, and the table's revision at the time of the read."""

    revision: int
    rows: tuple[Row, ...]


class Table(ABC):
    """The transactional table.

    Reads raise ``PlatformUnavailableError``. Writes raise ``ConditionFailedError`` if they lost,
    ``PlatformUnavailableError`` if they surely did not take effect and
    ``WriteOutcomeUnknownError`` if that is not known.
    """

    @abstractmethod
    async def read(self, key: str) -> Row | None:
        """Return a row, or ``None`` if it does not exist."""

    @abstractmethod
    async def scan(self, prefix: str, *, since: int, wait_s: float = 0.0) -> Scan:
        """Return the rows below a key prefix whose revision is greater than ``since``.

        A table that can wait does so for the first change, for at most ``wait_s`` seconds. Raises
        ``HistoryLostError`` if changes since that revision are no longer kept; 0 is always kept.
        """

    @abstractmethod
    async def transact(
        self, *, conditions: Mapping[str, int], puts: Mapping[str, JsonObject]
    ) -> tuple[Row, ...]:
        """Write rows if all rows have the expected versions (0: absent); return the new rows."""


class ObjectStore(ABC):
    """The object store. Errors as for ``Table``."""

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

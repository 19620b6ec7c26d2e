"""Ranges of keys, their owners, and the orders that grant and release keys."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from bisect import bisect_left
from bisect import bisect_right
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from acaciasaddle.errors import DECODING_ERRORS
from acaciasaddle.errors import Outcome
from acaciasaddle.errors import PlatformUnavailableError
from acaciasaddle.errors import UpstreamError
from acaciasaddle.fleet._types import UpstreamIncarnation

if TYPE_CHECKING:
    from collections.abc import Iterable

    from acaciasaddle.model._rows import JsonObject

KEY_COUNT = 65_536
"""Number of keys. They are numbered from 0 to 65,535."""
FENCES_PER_ERA = 1 << 32
"""Fencing tokens of each era of the store. A store that came back from an older copy does not know
which were given out last, so each era has its own. All are exact in JSON numbers."""
OWNERS_TABLE = "ownership"
"""Name of the table that has one row of owners for each keyed service."""


class FencedError(UpstreamError):
    """The upstream refused an order: it has seen a higher fencing token for one of the keys."""

    def __init__(self, message: str, *, step: str, peer: str = "") -> None:
        super().__init__(message, outcome=Outcome.NOT_RUN, step=step, peer=peer)


class ReplacedError(UpstreamError):
    """Another upstream answers at the address, so the one that the order was for has ended."""

    def __init__(self, message: str, *, step: str, peer: str = "") -> None:
        super().__init__(message, outcome=Outcome.NOT_RUN, step=step, peer=peer)


@dataclass(frozen=True, slots=True, order=True)
class KeyRange:
    """Keys from ``first`` to ``last``, both included."""

    first: int
    last: int

    def __contains__(self, key: int) -> bool:
        return self.first <= key <= self.last

    @property
    def size(self) -> int:
        """Number of keys."""
        return self.last - self.first + 1

    def without(self, keys: KeyRange) -> list[KeyRange]:
        """Return the parts of this range that remain when ``keys`` are removed from it."""
        if self.last < keys.first or self.first > keys.last:
            return [self]
        rest = [KeyRange(self.first, keys.first - 1), KeyRange(keys.last + 1, self.last)]
        return [part for part in rest if part.first <= part.last]


@dataclass(frozen=True, slots=True, kw_only=True)
class Owner:
    """An incarnation of an upstream and the address at which it takes orders."""

    incarnation: UpstreamIncarnation
    address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Span:
    """A range of keys with one owner.

    While the keys move, ``moving`` is true, ``owner`` may not have been granted them yet, and
    ``previous`` is the owner that they are taken from, if there is one.
    """

    keys: KeyRange
    owner: Owner
    fence: int
    moving: bool = False
    previous: Owner | None = None


class _RawKeyMap(msgspec.Struct):
    """The JSON value of a ``KeyMap``.

    An owner is an upstream's id, its start in milliseconds and its address. A span is its first and
    last key, the index of its owner, its fencing token, whether it moves, and the index of its
    previous owner or -1.
    """

    fence: int
    owners: list[tuple[str, int, str]]
    spans: list[tuple[int, int, int, int, int, int]]


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyMap:
    """The spans of a service in ascending order, and the highest fencing token used so far.

    ``version`` is that of the row from which the map was read or derived, 0 if there is no row yet.
    """

    spans: tuple[Span, ...]
    fence: int
    version: int

    def find(self, key: int) -> Span | None:
        """Return the span that holds a key, or ``None`` if the key has no owner."""
        index = bisect_right(self.spans, key, key=lambda span: span.keys.first) - 1
        if index < 0 or key not in self.spans[index].keys:
            return None
        return self.spans[index]

    def gaps(self) -> list[KeyRange]:
        """Return the ranges of keys without an owner."""
        gaps = []
        start = 0
        for span in self.spans:
            if span.keys.first > start:
                gaps.append(KeyRange(start, span.keys.first - 1))
            start = span.keys.last + 1
        if start < KEY_COUNT:
            gaps.append(KeyRange(start, KEY_COUNT - 1))
        return gaps

    def to_json(self) -> dict[str, Any]:
        """Return the JSON value. It lists each owner once, and spans refer to it by index."""
        owners: dict[Owner, int] = {}
        spans = []
        for span in self.spans:
            owner = owners.setdefault(span.owner, len(owners))
            previous = -1
            if span.previous is not None:
                previous = owners.setdefault(span.previous, len(owners))
            spans.append(
                [span.keys.first, span.keys.last, owner, span.fence, int(span.moving), previous]
            )
        return {
            "fence": self.fence,
            "owners": [
                [owner.incarnation.upstream_id, owner.incarnation.started_ms, owner.address]
                for owner in owners
            ],
            "spans": spans,
        }

    @classmethod
    def from_json(cls, value: JsonObject, *, version: int) -> KeyMap:
        """Return the map that a JSON value describes.

        Raises ``PlatformUnavailableError`` if the value describes none.
        """
        try:
            raw = msgspec.convert(value, _RawKeyMap)
            owners = [
                Owner(
                    incarnation=UpstreamIncarnation(upstream_id=name, started_ms=started),
                    address=address,
                )
                for name, started, address in raw.owners
            ]
            spans = tuple(
                Span(
                    keys=KeyRange(first, last),
                    owner=owners[owner],
                    fence=fence,
                    moving=bool(moving),
                    previous=owners[previous] if previous >= 0 else None,
                )
                for first, last, owner, fence, moving, previous in raw.spans
            )
        except (IndexError, *DECODING_ERRORS) as exc:
            raise PlatformUnavailableError(
                f"a row of owners cannot be decoded: {exc}", step="keyspace.owners"
            ) from exc
        return cls(spans=spans, fence=raw.fence, version=version)

    def replaced(self, keys: KeyRange, spans: Iterable[Span], *, fence: int) -> KeyMap:
        """Return a map with the owners of ``keys`` replaced by ``spans``, which lie within them."""
        low = bisect_left(self.spans, keys.first, key=lambda span: span.keys.last)
        high = bisect_right(self.spans, keys.last, key=lambda span: span.keys.first)
        remaining = [
            replace(span, keys=part)
            for span in self.spans[low:high]
            for part in span.keys.without(keys)
        ]
        middle = sorted([*remaining, *spans], key=lambda span: span.keys.first)
        result = (*self.spans[:low], *middle, *self.spans[high:])
        return KeyMap(spans=result, fence=max(fence, self.fence), version=self.version)


class KeyOrders(ABC):
    """Orders to upstreams.

    Failed orders raise ``UpstreamError``. One with an unknown outcome may have been carried out, or
    may be carried out later.
    """

    @abstractmethod
    async def grant(
        self,
        owner: Owner,
        keys: KeyRange,
        *,
        fence: int,
        lease_s: float,
        handover: str,
        timeout_s: float,
    ) -> None:
        """Grant or renew keys for a lease that starts when the order arrives.

        ``handover`` is what the previous owner returned on release, or empty. Raises
        ``FencedError`` and ``ReplacedError``.
        """

    @abstractmethod
    async def release(self, owner: Owner, keys: KeyRange, *, fence: int, timeout_s: float) -> str:
        """Release keys and return the handover, once the work in progress on them has ended.

        The upstream refuses later grants of these keys with a lower fencing token. Raises
        ``ReplacedError``.
        """

    @abstractmethod
    async def responds(self, address: str, *, health_path: str, timeout_s: float) -> bool:
        """Return whether an upstream responds to a health check, with whatever status.

        A frozen process still accepts connections.
        """

    @abstractmethod
    def close_connection(self, address: str) -> None:
        """Close the idle connection kept to an address, if there is one."""

"""Identifiers of upstreams and of units, and the mapping of keys to shards."""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

CHUNK_SHARDS = 64
"""Number of shards whose assignments are stored in one row of the platform's table."""


@dataclass(frozen=True, slots=True, order=True)
class UpstreamId:
    """Identifier of an upstream, written ``service/name``."""

    service: str
    name: str

    def __str__(self) -> str:
        return f"{self.service}/{self.name}"

    @property
    def row_key(self) -> str:
        """Key of the row that names the upstream's holder."""
        return f"upstream/{self.service}/{self.name}"

    @classmethod
    def parse(cls, text: str) -> UpstreamId:
        """Parse ``service/name``. Raises ``ValueError`` if there is no slash."""
        service, name = text.split("/", 1)
        return cls(service, name)


@dataclass(frozen=True, slots=True, order=True)
class UnitId:
    """Identifier of a unit of ownership: a shard of a key group, or one pinned key.

    Written ``service/group/shard`` or ``service/group/key:<key>``. ``shard`` is -1 for a pin.
    """

    service: str
    group: str
    shard: int
    key: str = ""

    def __str__(self) -> str:
        if self.key:
            return f"{self.service}/{self.group}/key:{self.key}"
        return f"{self.service}/{self.group}/{self.shard}"

    @property
    def is_pin(self) -> bool:
        """Whether the unit is one pinned key."""
        return bool(self.key)

    @property
    def row_key(self) -> str:
        """Key of the row that stores the unit's assignment."""
        if self.key:
            return f"pins/{self.service}"
        return f"units/{self.service}/{self.group}/{self.shard // CHUNK_SHARDS}"

    @classmethod
    def pin(cls, service: str, group: str, key: str) -> UnitId:
        """Return the unit of one pinned key."""
        return cls(service, group, -1, key)

    @classmethod
    def parse(cls, text: str) -> UnitId:
        """Parse the written form. Raises ``ValueError`` if it is malformed."""
        service, group, rest = text.split("/", 2)
        if rest.startswith("key:"):
            return cls(service, group, -1, rest[4:])
        return cls(service, group, int(rest))


def shard_of(key: str, shards: int) -> int:
    """Return the shard number of a key, from 0 to ``shards`` - 1."""
    return xxhash.xxh64_intdigest(key.encode()) % shards

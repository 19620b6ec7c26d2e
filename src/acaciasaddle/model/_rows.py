"""Rows of the platform's table and their typed values."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from acaciasaddle.model._units import UpstreamId

JsonObject = Mapping[str, Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """A row of the table.

    ``version`` grows with each write of the row: it is the number of its writes or the revision of
    the last one, depending on the table. ``revision`` orders the writes of the whole table.
    """

    key: str
    version: int
    revision: int
    value: JsonObject

    @property
    def write_id(self) -> str:
        """Identifier of the write that produced this version."""
        return str(self.value.get("write_id", ""))


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamRow:
    """Holder of an upstream, which sends it orders, and the holder's successor.

    ``holder`` and ``successor`` are member ids; ``successor`` is empty if there is none. ``term``
    is even; the odd term after it is that of a successor that has taken over but is not yet named
    as the holder. ``health`` is the state of the upstream as last seen by the holder: ``unknown``,
    ``ready`` or ``lost``.
    """

    holder: str
    successor: str
    term: int
    health: str

    def to_json(self, write_id: str) -> dict[str, Any]:
        """Return the JSON value of the row, with the identifier of the write."""
        return {
            "holder": self.holder,
            "successor": self.successor,
            "term": self.term,
            "health": self.health,
            "write_id": write_id,
        }

    @classmethod
    def from_json(cls, value: JsonObject) -> UpstreamRow:
        """Parse the JSON value of the row."""
        return cls(
            holder=value["holder"],
            successor=value["successor"],
            term=int(value["term"]),
            health=value["health"],
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class UnitAssignment:
    """Owner of a unit.

    ``owner`` and ``previous`` are written ``service/name``. ``previous`` is the previous owner
    until its release of the unit is confirmed, then empty. ``epoch`` is 1 for the first owner and
    grows by one with each move. ``since`` is the time of the decision in seconds since the Unix
    epoch, ``reason`` why it was made.
    """

    owner: str
    previous: str
    epoch: int
    since: int
    reason: str

    @property
    def owner_id(self) -> UpstreamId:
        """The owning upstream."""
        return UpstreamId.parse(self.owner)

    def to_json(self) -> list[Any]:
        """Return the JSON value of the assignment."""
        return [self.owner, self.previous, self.epoch, self.since, self.reason]

    @classmethod
    def from_json(cls, value: list[Any]) -> UnitAssignment:
        """Parse the JSON value of the assignment."""
        owner, previous, epoch, since, reason = value
        return cls(owner=owner, previous=previous, epoch=epoch, since=since, reason=reason)


@dataclass(frozen=True, slots=True, kw_only=True)
class UnitsRow:
    """Assignments of up to 64 shards, by shard number, and the group's number of shards."""

    shards: int
    units: Mapping[int, UnitAssignment]

    def to_json(self, write_id: str) -> dict[str, Any]:
        """Return the JSON value of the row, with the identifier of the write."""
        return {
            "shards": self.shards,
            "units": {str(shard): unit.to_json() for shard, unit in self.units.items()},
            "write_id": write_id,
        }

    @classmethod
    def from_json(cls, value: JsonObject) -> UnitsRow:
        """Parse the JSON value of the row."""
        units = {int(k): UnitAssignment.from_json(v) for k, v in value["units"].items()}
        return cls(shards=int(value["shards"]), units=units)


@dataclass(frozen=True, slots=True, kw_only=True)
class PinsRow:
    """Assignments of the pinned keys of a service, by ``group/key``."""

    units: Mapping[str, UnitAssignment]

    def to_json(self, write_id: str) -> dict[str, Any]:
        """Return the JSON value of the row, with the identifier of the write."""
        return {
            "units": {key: unit.to_json() for key, unit in self.units.items()},
            "write_id": write_id,
        }

    @classmethod
    def from_json(cls, value: JsonObject) -> PinsRow:
        """Parse the JSON value of the row."""
        return cls(units={k: UnitAssignment.from_json(v) for k, v in value["units"].items()})


class HostState(StrEnum):
    """State of an entry host in its life cycle."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class HostRow:
    """An entry host. Addresses are ``ip:port``."""

    host_id: str
    incarnation: str
    data_centre: str
    peer_address: str
    operator_address: str
    state: HostState

    def to_json(self, write_id: str) -> dict[str, Any]:
        """Return the JSON value of the row, with the identifier of the write."""
        return {
            "host_id": self.host_id,
            "incarnation": self.incarnation,
            "data_centre": self.data_centre,
            "peer_address": self.peer_address,
            "operator_address": self.operator_address,
            "state": self.state.value,
            "write_id": write_id,
        }

    @classmethod
    def from_json(cls, value: JsonObject) -> HostRow:
        """Parse the JSON value of the row."""
        return cls(
            host_id=value["host_id"],
            incarnation=value["incarnation"],
            data_centre=value["data_centre"],
            peer_address=value["peer_address"],
            operator_address=value["operator_address"],
            state=HostState(value["state"]),
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigRow:
    """The configuration in force. ``inventory`` and ``rules`` are unparsed JSON objects."""

    version: int
    change_id: str
    author: str
    inventory: JsonObject
    rules: JsonObject

    def to_json(self, write_id: str) -> dict[str, Any]:
        """Return the JSON value of the row, with the identifier of the write."""
        return {
            "version": self.version,
            "change_id": self.change_id,
            "author": self.author,
            "inventory": self.inventory,
            "rules": self.rules,
            "write_id": write_id,
        }

    @classmethod
    def from_json(cls, value: JsonObject) -> ConfigRow:
        """Parse the JSON value of the row."""
        return cls(
            version=int(value["version"]),
            change_id=value["change_id"],
            author=value["author"],
            inventory=value["inventory"],
            rules=value["rules"],
        )

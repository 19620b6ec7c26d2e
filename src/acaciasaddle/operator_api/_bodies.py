"""Bodies of the operator API."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from typing import Literal
from typing import TypeVar

from pydantic import TypeAdapter

T = TypeVar("T")


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeRequest:
    """Body of ``POST /plan`` and ``POST /config``.

    ``change_id`` is unique per change: a change that is sent again under the same identifier is
    applied at most once. ``expected_version`` refuses the change if another one came first.
    """

    inventory: Mapping[str, Any]
    rules: Mapping[str, Any]
    author: str
    change_id: str
    expected_version: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeAccepted:
    """The change is committed as this version."""

    version: int
    accepted: Literal[True] = True


@dataclass(frozen=True, slots=True, kw_only=True)
class HostProgress:
    """What one entry host has in force. ``version`` is the last one known of it."""

    host: str
    data_centre: str
    version: int
    state: Literal["in force", "behind", "unreachable"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Progress:
    """How far a version has come."""

    version: int
    hosts: tuple[HostProgress, ...]
    complete: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamStatus:
    """An upstream as a host sees it.

    ``busy`` counts slots and ``queued`` requests; only the holder knows them.
    """

    upstream: str
    holder: str
    successor: str
    term: int
    state: str
    units: int
    busy: float | None
    queued: int | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Status:
    """State of one entry host. ``config_version`` is 0 without a configuration."""

    host: str
    member: str
    data_centre: str
    config_version: int
    ready: bool
    store: Literal["up", "down"]
    peers: tuple[Any, ...]
    upstreams: tuple[UpstreamStatus, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyExplanation:
    """Who owns a key and why."""

    service: str
    key: str
    unit: str
    group: str
    rule: Any
    owner: str
    holder: str
    successor: str
    term: int
    epoch: int
    since: Any
    reason: Any
    in_force: Any


def to_json(body: Any) -> dict[str, Any]:
    """Return the JSON object of a body."""
    result: dict[str, Any] = TypeAdapter(type(body)).dump_python(body, mode="json")
    return result


def from_json(cls: type[T], data: bytes) -> T:
    """Parse a body; unknown fields are ignored. Raises ``pydantic.ValidationError``."""
    body: T = TypeAdapter(cls).validate_json(data)
    return body

"""Request and response bodies of the operator API."""

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

    ``change_id`` is unique for each change: a change that is sent again with the same identifier
    is applied at most once. If ``expected_version`` is given, the change is refused unless that
    version is in force. ``POST /plan`` uses only the inventory and the rules.
    """

    inventory: Mapping[str, Any]
    rules: Mapping[str, Any]
    author: str
    change_id: str
    expected_version: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeAccepted:
    """Response to a change that is committed as ``version``."""

    version: int
    accepted: Literal[True] = True


@dataclass(frozen=True, slots=True, kw_only=True)
class HostProgress:
    """The configuration version in force on an entry host.

    ``version`` is the last one known, or 0 if none is known.
    """

    host: str
    data_centre: str
    version: int
    state: Literal["in force", "behind", "unreachable"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Progress:
    """The entry hosts' progress towards a configuration version."""

    version: int
    hosts: tuple[HostProgress, ...]
    complete: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamStatus:
    """State of an upstream as known to one host.

    ``busy`` is the fraction of slot time in use, 0 to 1, and ``queued`` the number of waiting
    requests; only the holder knows them.
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
    """State of one entry host. ``config_version`` is 0 if it has no configuration."""

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
    """The owner of a key and the reason for it."""

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
    """Return a body as a JSON object."""
    result: dict[str, Any] = TypeAdapter(type(body)).dump_python(body, mode="json")
    return result


def from_json(cls: type[T], data: bytes) -> T:
    """Parse a body. Unknown fields are ignored. Raises ``pydantic.ValidationError``."""
    body: T = TypeAdapter(cls).validate_json(data)
    return body

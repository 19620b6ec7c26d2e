"""Messages of links as builds encode them that know nothing of a store with eras."""

from __future__ import annotations

from typing import Any

import msgspec

from acaciasaddle.fleet import UpstreamEntry


class OldRegistryPart(msgspec.Struct, array_like=True, kw_only=True, frozen=True):
    complete: bool
    entries: list[UpstreamEntry]
    removed: list[str]


class OldReport(msgspec.Struct, array_like=True, kw_only=True, frozen=True):
    host_id: str
    address: str
    samples: list[tuple[str, int, str, float]]
    busy: dict[str, int]
    owners: dict[str, int]
    needs_configuration: bool
    leaving: list[tuple[str, int]] = []


class OldState(msgspec.Struct, array_like=True, tag="State", kw_only=True, frozen=True):
    member: str
    role_version: int
    role_age_s: float
    hosts: int
    configuration_age_s: float
    registry_age_s: float
    configuration_version: int
    configuration: msgspec.Raw
    registry: OldRegistryPart | None
    owners: list[Any]
    busy: dict[str, int]
    peers: list[str]
    registry_revision: int = 0
    granted: list[tuple[str, int]] = []

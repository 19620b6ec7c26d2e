"""Data types shared by the packages: units, requests with their body streams, and table rows."""

from __future__ import annotations

from acaciasaddle.model._requests import BodySource
from acaciasaddle.model._requests import Headers
from acaciasaddle.model._requests import OnceRecord
from acaciasaddle.model._requests import OnceState
from acaciasaddle.model._requests import ResponseSink
from acaciasaddle.model._requests import WorkRequest
from acaciasaddle.model._revisions import MAX_ERA
from acaciasaddle.model._revisions import era_of
from acaciasaddle.model._revisions import revision_of
from acaciasaddle.model._revisions import version_of
from acaciasaddle.model._rows import ConfigRow
from acaciasaddle.model._rows import HostRow
from acaciasaddle.model._rows import HostState
from acaciasaddle.model._rows import PinsRow
from acaciasaddle.model._rows import Row
from acaciasaddle.model._rows import UnitAssignment
from acaciasaddle.model._rows import UnitsRow
from acaciasaddle.model._rows import UpstreamRow
from acaciasaddle.model._units import CHUNK_SHARDS
from acaciasaddle.model._units import UnitId
from acaciasaddle.model._units import UpstreamId
from acaciasaddle.model._units import shard_of

__all__ = [
    "CHUNK_SHARDS",
    "MAX_ERA",
    "BodySource",
    "ConfigRow",
    "Headers",
    "HostRow",
    "HostState",
    "OnceRecord",
    "OnceState",
    "PinsRow",
    "ResponseSink",
    "Row",
    "UnitAssignment",
    "UnitId",
    "UnitsRow",
    "UpstreamId",
    "UpstreamRow",
    "WorkRequest",
    "era_of",
    "revision_of",
    "shard_of",
    "version_of",
]

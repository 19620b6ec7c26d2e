"""Stand-ins for the platform and the upstreams, load tool and checker of records."""

from __future__ import annotations

from acaciasaddle.emulator._platform_app import PlatformApp
from acaciasaddle.emulator._serve import start_server
from acaciasaddle.emulator._store import MemoryTable
from acaciasaddle.emulator._store import StoreFaults
from acaciasaddle.emulator._store import StoreState
from acaciasaddle.emulator._store import TableStore
from acaciasaddle.emulator._upstream_app import UpstreamApp
from acaciasaddle.emulator._upstream_model import UpstreamModel
from acaciasaddle.emulator._upstream_types import GrantOrder
from acaciasaddle.emulator._upstream_types import UpstreamFaultOrder
from acaciasaddle.emulator._upstream_types import UpstreamSettings
from acaciasaddle.emulator._upstream_types import Work
from acaciasaddle.emulator._upstream_types import WorkRefusedError

__all__ = [
    "GrantOrder",
    "MemoryTable",
    "PlatformApp",
    "StoreFaults",
    "StoreState",
    "TableStore",
    "UpstreamApp",
    "UpstreamFaultOrder",
    "UpstreamModel",
    "UpstreamSettings",
    "Work",
    "WorkRefusedError",
    "start_server",
]

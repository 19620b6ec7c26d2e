"""Stand-ins for the platform and the upstreams, load tool and checker of records."""

from __future__ import annotations

from acaciasaddle.emulator._platform_app import PlatformApp
from acaciasaddle.emulator._serve import start_server
from acaciasaddle.emulator._store import MemoryTable
from acaciasaddle.emulator._store import StoreFaults
from acaciasaddle.emulator._store import StoreState
from acaciasaddle.emulator._store import TableStore

__all__ = [
    "MemoryTable",
    "PlatformApp",
    "StoreFaults",
    "StoreState",
    "TableStore",
    "start_server",
]

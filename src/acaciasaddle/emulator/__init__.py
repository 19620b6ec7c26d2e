"""Stand-ins for the platform and the upstreams, the load tool, and the checker of their records."""

from __future__ import annotations

from acaciasaddle.emulator._checker import Violation
from acaciasaddle.emulator._checker import ViolationKind
from acaciasaddle.emulator._checker import check_records
from acaciasaddle.emulator._checker import parse_caller_records
from acaciasaddle.emulator._checker import parse_upstream_record
from acaciasaddle.emulator._journal import FileJournal
from acaciasaddle.emulator._journal import read_journal
from acaciasaddle.emulator._load import LoadRunner
from acaciasaddle.emulator._platform_app import PlatformApp
from acaciasaddle.emulator._records import CallerOutcome
from acaciasaddle.emulator._records import CallerRecord
from acaciasaddle.emulator._records import OwnershipRecord
from acaciasaddle.emulator._records import RunRecord
from acaciasaddle.emulator._records import RunState
from acaciasaddle.emulator._records import UpstreamRecord
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
from acaciasaddle.emulator._uuid7 import uuid7
from acaciasaddle.emulator._workload import Workload
from acaciasaddle.emulator._workload import parse_workload

__all__ = [
    "CallerOutcome",
    "CallerRecord",
    "FileJournal",
    "GrantOrder",
    "LoadRunner",
    "MemoryTable",
    "OwnershipRecord",
    "PlatformApp",
    "RunRecord",
    "RunState",
    "StoreFaults",
    "StoreState",
    "TableStore",
    "UpstreamApp",
    "UpstreamFaultOrder",
    "UpstreamModel",
    "UpstreamRecord",
    "UpstreamSettings",
    "Violation",
    "ViolationKind",
    "Work",
    "WorkRefusedError",
    "Workload",
    "check_records",
    "parse_caller_records",
    "parse_upstream_record",
    "parse_workload",
    "read_journal",
    "start_server",
    "uuid7",
]

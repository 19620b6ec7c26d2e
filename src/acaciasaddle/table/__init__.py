"""Interfaces of the transactional table, the object store and the host list."""

from __future__ import annotations

from acaciasaddle.table._api import HostEntry
from acaciasaddle.table._api import HostList
from acaciasaddle.table._api import ObjectStore
from acaciasaddle.table._api import Scan
from acaciasaddle.table._api import Table
from acaciasaddle.table._writes import WriteResult
from acaciasaddle.table._writes import write_once

__all__ = [
    "HostEntry",
    "HostList",
    "ObjectStore",
    "Scan",
    "Table",
    "WriteResult",
    "write_once",
]

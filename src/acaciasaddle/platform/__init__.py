"""Client of the platform: transactional table, object store and host list."""

from __future__ import annotations

from acaciasaddle.platform._api import HostEntry
from acaciasaddle.platform._api import HostList
from acaciasaddle.platform._api import ObjectStore
from acaciasaddle.platform._api import Scan
from acaciasaddle.platform._api import Table
from acaciasaddle.platform._http import HttpPlatform
from acaciasaddle.platform._writes import WriteResult
from acaciasaddle.platform._writes import write_once

__all__ = [
    "HostEntry",
    "HostList",
    "HttpPlatform",
    "ObjectStore",
    "Scan",
    "Table",
    "WriteResult",
    "write_once",
]

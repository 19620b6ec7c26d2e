"""Adapter between the router and the users' platform.

The platform's names of headers, calls and fields are used in this package only.
"""

from __future__ import annotations

from acaciasaddle.platform._dialect import PlatformDialect
from acaciasaddle.platform._orders import PlatformOrders
from acaciasaddle.platform._store import PlatformConfigurations
from acaciasaddle.platform._store import PlatformRegistry
from acaciasaddle.platform._store import PlatformTable
from acaciasaddle.platform._store import StoreClient

__all__ = [
    "PlatformConfigurations",
    "PlatformDialect",
    "PlatformOrders",
    "PlatformRegistry",
    "PlatformTable",
    "StoreClient",
]

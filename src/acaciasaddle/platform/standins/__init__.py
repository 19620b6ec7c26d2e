"""Stand-ins for the users' store and upstreams, used by the soak; nodes do not import them."""

from __future__ import annotations

from acaciasaddle.platform.standins._messages import DEPOSIT_PREFIX
from acaciasaddle.platform.standins._messages import FILE_PREFIX
from acaciasaddle.platform.standins._messages import FILE_SERVICE
from acaciasaddle.platform.standins._messages import IDLE_TIMEOUT_S
from acaciasaddle.platform.standins._messages import NOT_RUN_STATUSES
from acaciasaddle.platform.standins._messages import OPEN_PREFIX
from acaciasaddle.platform.standins._messages import OPEN_SERVICE
from acaciasaddle.platform.standins._messages import READ_PREFIX
from acaciasaddle.platform.standins._messages import ROUTE_TIMEOUT_S
from acaciasaddle.platform.standins._messages import SERVICE
from acaciasaddle.platform.standins._messages import caller_headers
from acaciasaddle.platform.standins._messages import configuration_value
from acaciasaddle.platform.standins._messages import extra_path
from acaciasaddle.platform.standins._store_app import COUNTED_S
from acaciasaddle.platform.standins._store_app import StoreApp
from acaciasaddle.platform.standins._store_app import StoreFaults
from acaciasaddle.platform.standins._upstream_app import SLOW_WORK_S
from acaciasaddle.platform.standins._upstream_app import UpstreamApp
from acaciasaddle.platform.standins._upstream_app import UpstreamSettings
from acaciasaddle.platform.standins._upstream_app import is_own_response

__all__ = [
    "COUNTED_S",
    "DEPOSIT_PREFIX",
    "FILE_PREFIX",
    "FILE_SERVICE",
    "IDLE_TIMEOUT_S",
    "NOT_RUN_STATUSES",
    "OPEN_PREFIX",
    "OPEN_SERVICE",
    "READ_PREFIX",
    "ROUTE_TIMEOUT_S",
    "SERVICE",
    "SLOW_WORK_S",
    "StoreApp",
    "StoreFaults",
    "UpstreamApp",
    "UpstreamSettings",
    "caller_headers",
    "configuration_value",
    "extra_path",
    "is_own_response",
]

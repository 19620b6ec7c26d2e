"""Settings, inventory and rules."""

from __future__ import annotations

from acaciasaddle.config._types import DEFAULT_GROUP
from acaciasaddle.config._types import Access
from acaciasaddle.config._types import DataCentre
from acaciasaddle.config._types import Group
from acaciasaddle.config._types import Inventory
from acaciasaddle.config._types import Kind
from acaciasaddle.config._types import LogSettings
from acaciasaddle.config._types import Rank
from acaciasaddle.config._types import Rules
from acaciasaddle.config._types import ServiceEntry
from acaciasaddle.config._types import Settings
from acaciasaddle.config._types import StatsdSettings
from acaciasaddle.config._types import Upstream

__all__ = [
    "DEFAULT_GROUP",
    "Access",
    "DataCentre",
    "Group",
    "Inventory",
    "Kind",
    "LogSettings",
    "Rank",
    "Rules",
    "ServiceEntry",
    "Settings",
    "StatsdSettings",
    "Upstream",
]

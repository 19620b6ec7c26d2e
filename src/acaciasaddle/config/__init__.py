"""Types, parsing and checks of settings, inventory and rules, and lookups in them."""

from __future__ import annotations

from acaciasaddle.config._keys import Classifier
from acaciasaddle.config._keys import Match
from acaciasaddle.config._keys import allowed_data_centres
from acaciasaddle.config._keys import caller_data_centres
from acaciasaddle.config._keys import classify
from acaciasaddle.config._keys import group_data_centres
from acaciasaddle.config._keys import group_of
from acaciasaddle.config._keys import group_shards
from acaciasaddle.config._keys import owner_candidates
from acaciasaddle.config._keys import upstreams_of
from acaciasaddle.config._load import check_config
from acaciasaddle.config._load import load_config
from acaciasaddle.config._load import load_inventory
from acaciasaddle.config._load import load_rules
from acaciasaddle.config._load import load_settings
from acaciasaddle.config._load import parse_config
from acaciasaddle.config._load import parse_inventory
from acaciasaddle.config._load import parse_rules
from acaciasaddle.config._load import read_json
from acaciasaddle.config._load import settings_problems
from acaciasaddle.config._load import to_json
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
from acaciasaddle.errors import ConfigError

__all__ = [
    "DEFAULT_GROUP",
    "Access",
    "Classifier",
    "ConfigError",
    "DataCentre",
    "Group",
    "Inventory",
    "Kind",
    "LogSettings",
    "Match",
    "Rank",
    "Rules",
    "ServiceEntry",
    "Settings",
    "StatsdSettings",
    "Upstream",
    "allowed_data_centres",
    "caller_data_centres",
    "check_config",
    "classify",
    "group_data_centres",
    "group_of",
    "group_shards",
    "load_config",
    "load_inventory",
    "load_rules",
    "load_settings",
    "owner_candidates",
    "parse_config",
    "parse_inventory",
    "parse_rules",
    "read_json",
    "settings_problems",
    "to_json",
    "upstreams_of",
]

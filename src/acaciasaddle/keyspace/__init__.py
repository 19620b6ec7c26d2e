"""Ownership of keys: the owner of each range, the planning of moves, and the orders for them."""

from __future__ import annotations

from acaciasaddle.keyspace._balance import join_spans
from acaciasaddle.keyspace._balance import plan_moves
from acaciasaddle.keyspace._coordinator import Coordinator
from acaciasaddle.keyspace._load import KeyLoad
from acaciasaddle.keyspace._load import LoadHistory
from acaciasaddle.keyspace._load import LoadSample
from acaciasaddle.keyspace._owner_loads import Candidate
from acaciasaddle.keyspace._owner_loads import Move
from acaciasaddle.keyspace._role import ROLE_LEASE_S
from acaciasaddle.keyspace._split import split
from acaciasaddle.keyspace._types import KEY_COUNT
from acaciasaddle.keyspace._types import OWNERS_TABLE
from acaciasaddle.keyspace._types import FencedError
from acaciasaddle.keyspace._types import KeyMap
from acaciasaddle.keyspace._types import KeyOrders
from acaciasaddle.keyspace._types import KeyRange
from acaciasaddle.keyspace._types import Owner
from acaciasaddle.keyspace._types import ReplacedError
from acaciasaddle.keyspace._types import Span

__all__ = [
    "KEY_COUNT",
    "OWNERS_TABLE",
    "ROLE_LEASE_S",
    "Candidate",
    "Coordinator",
    "FencedError",
    "KeyLoad",
    "KeyMap",
    "KeyOrders",
    "KeyRange",
    "LoadHistory",
    "LoadSample",
    "Move",
    "Owner",
    "ReplacedError",
    "Span",
    "join_spans",
    "plan_moves",
    "split",
]

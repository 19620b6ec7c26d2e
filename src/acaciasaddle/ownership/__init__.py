"""Ownership of units: holders, terms, leases, moves and placement."""

from __future__ import annotations

from acaciasaddle.ownership._api import Authority
from acaciasaddle.ownership._api import Permit
from acaciasaddle.ownership._api import Route
from acaciasaddle.ownership._api import Router
from acaciasaddle.ownership._assign import FirstAssignment
from acaciasaddle.ownership._authority import HostAuthority
from acaciasaddle.ownership._balance import units_to_move
from acaciasaddle.ownership._context import Context
from acaciasaddle.ownership._members import Members
from acaciasaddle.ownership._members import member_id
from acaciasaddle.ownership._placement import Placement
from acaciasaddle.ownership._placement import RendezvousPlacement
from acaciasaddle.ownership._router import MirrorRouter

__all__ = [
    "Authority",
    "Context",
    "FirstAssignment",
    "HostAuthority",
    "Members",
    "MirrorRouter",
    "Permit",
    "Placement",
    "RendezvousPlacement",
    "Route",
    "Router",
    "member_id",
    "units_to_move",
]

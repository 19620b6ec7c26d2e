"""Ownership of units: holders, terms, leases, moves and placement."""

from __future__ import annotations

from acaciasaddle.ownership._api import Authority
from acaciasaddle.ownership._api import Permit
from acaciasaddle.ownership._api import Route
from acaciasaddle.ownership._api import Router

__all__ = ["Authority", "Permit", "Route", "Router"]

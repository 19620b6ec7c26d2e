"""A router for fleets of servers in which each key has at most one owning server at a time."""

from __future__ import annotations

__version__ = "0.1.0"

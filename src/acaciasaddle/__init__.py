"""A router for fleets of servers in which every key has exactly one owning server."""

from __future__ import annotations

__version__ = "0.1.0"

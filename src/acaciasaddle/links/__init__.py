"""Links between the hosts of the system."""

from __future__ import annotations

from acaciasaddle.links._links import Links

__all__ = ["Links"]

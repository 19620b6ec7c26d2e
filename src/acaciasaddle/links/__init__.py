"""Links between the coordinator and all other hosts."""

from __future__ import annotations

from acaciasaddle.links._links import Links

__all__ = ["Links"]

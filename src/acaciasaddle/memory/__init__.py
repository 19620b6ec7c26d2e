"""Bound on the memory that the bodies of requests and responses take in one process."""

from __future__ import annotations

from acaciasaddle.memory._body import Body
from acaciasaddle.memory._body import LargeBody
from acaciasaddle.memory._bound import SMALL_BODY_BYTES
from acaciasaddle.memory._bound import BodyTerms
from acaciasaddle.memory._bound import Hold
from acaciasaddle.memory._bound import MemoryBound

__all__ = ["SMALL_BODY_BYTES", "Body", "BodyTerms", "Hold", "LargeBody", "MemoryBound"]

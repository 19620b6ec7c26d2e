"""Weighted rendezvous hashing."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

_HASH_RANGE = 2.0**64


def rendezvous_owner(unit_id: str, candidates: Sequence[tuple[str, float]]) -> str:
    """Return the candidate that owns a unit.

    ``candidates`` are names with weights. Each gets a share of the units in proportion to its
    weight. The result depends neither on the order of the candidates nor on the process. If a
    candidate joins, units move only to it, and if one leaves, only its own units move; the same
    holds for a weight that grows or shrinks. Candidates without a positive weight get nothing.
    Raises ``ValueError`` if no candidate has one.

    Source: Schindelhauer and Schomaker, "Weighted distributed hash tables" (SPAA 2005), the
    logarithmic method: the smallest of exponentially distributed values with rate ``weight``.
    """
    prefix = unit_id.encode() + b"\0"
    # Among equal weights the largest digest wins, so one logarithm per weight is enough.
    best: dict[float, tuple[int, str]] = {}
    for name, weight in candidates:
        digest = xxhash.xxh64_intdigest(prefix + name.encode())
        top = best.get(weight)
        if top is None or digest > top[0] or (digest == top[0] and name < top[1]):
            best[weight] = (digest, name)
    # Adding 0.5 avoids 0, for which the logarithm is not defined.
    scores = [
        (-math.log((digest + 0.5) / _HASH_RANGE) / weight, name)
        for weight, (digest, name) in best.items()
        if weight > 0
    ]
    if not scores:
        raise ValueError(f"no candidate for unit {unit_id!r} has a positive weight")
    return min(scores)[1]

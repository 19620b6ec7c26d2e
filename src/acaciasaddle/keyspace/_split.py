"""Splits a range of keys into parts of about equal load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciasaddle.keyspace._types import KeyRange

if TYPE_CHECKING:
    from acaciasaddle.keyspace._load import KeyLoad


def split(keys: KeyRange, pieces: int, load: KeyLoad) -> list[KeyRange]:
    """Split a range into at most ``pieces`` parts of about equal load.

    With fewer samples than pieces, the parts are of about equal size instead.
    """
    samples = load.sample_count(keys)
    parts = []
    first = keys.first
    for piece in range(1, pieces):
        if samples >= pieces:
            last = load.key_at(keys, samples * piece // pieces)
        else:
            last = keys.first + keys.size * piece // pieces - 1
        if first <= last < keys.last:
            parts.append(KeyRange(first, last))
            first = last + 1
    parts.append(KeyRange(first, keys.last))
    return parts

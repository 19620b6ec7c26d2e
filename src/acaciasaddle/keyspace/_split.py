"""Splits a range of keys into parts of about equal load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciasaddle.keyspace._types import KeyRange

if TYPE_CHECKING:
    from acaciasaddle.keyspace._load import KeyLoad


def split(keys: KeyRange, max_parts: int, load: KeyLoad) -> list[KeyRange]:
    """Split a range into at most ``max_parts`` parts of about equal load.

    With fewer samples than ``max_parts``, the parts are of about equal size instead.
    """
    samples = load.sample_count(keys)
    parts = []
    first = keys.first
    for number in range(1, max_parts):
        if samples >= max_parts:
            last = load.key_at(keys, samples * number // max_parts)
        else:
            last = keys.first + keys.size * number // max_parts - 1
        if first <= last < keys.last:
            parts.append(KeyRange(first, last))
            first = last + 1
    parts.append(KeyRange(first, keys.last))
    return parts

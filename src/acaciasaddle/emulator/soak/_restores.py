"""Measurements of what callers, keys and the store went through after restores of the store."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from acaciasaddle.emulator.soak._callers import KEY_COUNT
from acaciasaddle.platform.standins import COUNTED_S

if TYPE_CHECKING:
    from collections.abc import Sequence

    from acaciasaddle.emulator.soak._records import Record

SAMPLED_KEYS = range(0, KEY_COUNT, KEY_COUNT // 32)
OWNERS_S = 20.0
"""Keys are followed for this long after the store's return, or until it goes away again."""
MIN_UNOWNED_S = 0.1
"""Each move of a key takes a part of this time."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RestoreSummary:
    """What followed one restore.

    ``unowned_s`` has the time without an owner of each sampled key that had none for more than
    ``MIN_UNOWNED_S``, from the moment the store was away. ``outcomes`` counts the requests with a
    key that began within ``COUNTED_S`` of its return, ``store_calls`` the store's calls then.
    """

    age_s: float
    away_s: float
    unowned_s: tuple[float, ...]
    outcomes: dict[str, int]
    store_calls: int

    def __str__(self) -> str:
        times = self.unowned_s
        mean = sum(times) / len(times) if times else 0.0
        return (
            f"copy {self.age_s:.1f} s old, away {self.away_s:.1f} s; {len(times)} of "
            f"{len(SAMPLED_KEYS)} keys without an owner for {max(times, default=0.0):.1f} s at "
            f"most, {mean:.1f} s in the mean; in {COUNTED_S:.0f} s "
            f"{dict(sorted(self.outcomes.items()))} and {self.store_calls} calls of the store"
        )


def summarize_restores(
    records: Sequence[Record], *, store_calls: Sequence[int]
) -> list[RestoreSummary]:
    """Return a summary of each restore. The records must be sorted by time.

    ``store_calls`` are the calls of the store within ``COUNTED_S`` of each of its returns.
    """
    restores = [record for record in records if record["kind"] == "restored"]
    if not restores:
        return []
    attempts = [record for record in records if record["kind"] == "attempt"]
    load_ended = attempts[-1]["at"] if attempts else 0.0
    leaves = [restore["left"] for restore in restores[1:]]
    owned = [_owned_times(records, key) for key in SAMPLED_KEYS]
    summaries = []
    for restore, next_left, calls in zip(restores, [*leaves, load_ended], store_calls, strict=True):
        returned = restore["returned"]
        end = min(returned + OWNERS_S, next_left, load_ended)
        unowned = [_gaps_s(times, restore["left"], end) for times in owned]
        outcomes = Counter(
            attempt["outcome"]
            for attempt in attempts
            if attempt["key"] is not None and returned <= attempt["started"] < returned + COUNTED_S
        )
        summaries.append(
            RestoreSummary(
                age_s=restore["age_s"],
                away_s=returned - restore["left"],
                unowned_s=tuple(sorted(time for time in unowned if time > MIN_UNOWNED_S)),
                outcomes=dict(outcomes),
                store_calls=calls,
            )
        )
    return summaries


def _owned_times(records: Sequence[Record], key: int) -> list[tuple[float, float]]:
    """Return start and end of each lease of a key, sorted by start."""
    running: dict[str, list[tuple[float, float]]] = {}
    for record in records:
        at = record["at"]
        if record["kind"] == "dead":
            ended = [life for life in running if life.partition("@")[0] == record["upstream"]]
        elif record["kind"] in ("held", "released") and record["first"] <= key <= record["last"]:
            ended = [record["life"]]
        else:
            continue
        for life in ended:
            leases = running.get(life, [])
            if leases and leases[-1][1] > at:
                leases[-1] = (leases[-1][0], at)
        if record["kind"] == "held":
            running.setdefault(record["life"], []).append((at, record["until"]))
    return sorted(lease for leases in running.values() for lease in leases)


def _gaps_s(leases: Sequence[tuple[float, float]], start: float, end: float) -> float:
    """Return the total time from ``start`` to ``end`` that no lease covers."""
    gaps_s = 0.0
    for begin, until in leases:
        if begin >= end:
            break
        gaps_s += max(0.0, begin - start)
        start = max(start, until)
    return gaps_s + max(0.0, end - start)

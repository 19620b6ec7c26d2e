"""Checks of the promises against the records of a soak."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

Record = dict[str, Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """A broken promise."""

    rule: str
    detail: str


@dataclass(slots=True, kw_only=True)
class _Hold:
    life: str
    first: int
    last: int
    until: float


def check_records(records: Sequence[Record]) -> list[Finding]:
    """Return the broken promises; ``records`` are in the order of time."""
    return [*_two_owners(records), *_runs(records), *_answers(records)]


def _two_owners(records: Sequence[Record]) -> Iterator[Finding]:
    """At any time one incarnation holds a key, from the grant to its release or the lease's end."""
    holds: list[_Hold] = []
    for record in records:
        at, life = record["at"], record.get("life", "")
        if record["kind"] == "dead":
            holds = [hold for hold in holds if hold.life.partition("@")[0] != record["upstream"]]
        elif record["kind"] == "released":
            holds = _given_up(holds, record)
        elif record["kind"] == "held":
            holds = [hold for hold in holds if hold.until > at]
            for hold in holds:
                if hold.life != life and _overlap(hold, record):
                    keys = f"{record['first']} to {record['last']}"
                    detail = f"{life} and {hold.life} hold keys of {keys} at {at:.3f}"
                    yield Finding(rule="two-owners", detail=detail)
            holds = _given_up(holds, record)
            holds.append(
                _Hold(
                    life=life,
                    first=record["first"],
                    last=record["last"],
                    until=record["until"],
                )
            )


def _overlap(hold: _Hold, record: Record) -> bool:
    return bool(hold.first <= record["last"] and record["first"] <= hold.last)


def _given_up(holds: list[_Hold], record: Record) -> list[_Hold]:
    """Return the holds without the keys of a record that its incarnation held."""
    return [
        part
        for hold in holds
        for part in (_without(hold, record) if hold.life == record["life"] else [hold])
    ]


def _without(hold: _Hold, record: Record) -> list[_Hold]:
    """Return what is left of a hold without the keys of a record."""
    if not _overlap(hold, record):
        return [hold]
    parts = []
    for first, last in ((hold.first, record["first"] - 1), (record["last"] + 1, hold.last)):
        if first <= last:
            parts.append(replace(hold, first=first, last=last))
    return parts


def _runs(records: Sequence[Record]) -> Iterator[Finding]:
    """Work that must not run twice runs once at most; what was said not to run never does."""
    runs: dict[str, list[str]] = defaultdict(list)
    for record in records:
        if record["kind"] == "run":
            runs[record["id"]].append(f"{record['life']} at {record['at']:.3f}")
    for record in records:
        if record["kind"] != "attempt":
            continue
        request_id, found = record["id"], runs.get(record["id"], [])
        if record["once"] and len(found) > 1:
            yield Finding(rule="run-twice", detail=f"{request_id}: {found}")
        if record["outcome"] == "not-run" and found:
            detail = f"{request_id}: status {record['status']} by {record['host']}, ran: {found}"
            yield Finding(rule="not-run-but-ran", detail=detail)
        if record["outcome"] == "completed" and not found:
            yield Finding(rule="completed-without-run", detail=request_id)


def _answers(records: Sequence[Record]) -> Iterator[Finding]:
    """An answer that looks like a success is the request's own, and whole."""
    for record in records:
        if record["kind"] == "attempt" and record["outcome"] == "foreign":
            detail = f"{record['id']}: status {record['status']} by {record['host']}"
            yield Finding(rule="foreign-answer", detail=detail)

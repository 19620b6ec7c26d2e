"""Checks of the router's promises against the records of a soak."""

from __future__ import annotations

import signal
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

Record = dict[str, Any]

GRACE_S = 6.0
"""Time between the signal to stop and a kill, as in the node's settings."""
STOP_LIMIT_S = GRACE_S + 1.0
EARLY_S = 3.0
"""A request that was sent within this time of the signal may be broken off in the last sixth of the
grace time, if its upstream is still at work on it."""
UNREAD_S = 0.2
"""A request that reached no upstream and whose connection closes later than this was read."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """A broken promise."""

    rule: str
    detail: str


@dataclass(slots=True, kw_only=True)
class _Lease:
    incarnation: str
    first: int
    last: int
    until: float


def check_records(records: Sequence[Record]) -> list[Finding]:
    """Return the broken promises. The records must be sorted by time."""
    return [
        *_check_ownership(records),
        *_check_runs(records),
        *_check_responses(records),
        *_check_stops(records),
    ]


def _check_ownership(records: Sequence[Record]) -> Iterator[Finding]:
    """Find keys with two owners.

    An incarnation owns a key from the grant until it releases the key, its lease ends or its
    process ends.
    """
    leases: list[_Lease] = []
    for record in records:
        at, incarnation = record["at"], record.get("life", "")
        if record["kind"] == "dead":
            leases = [
                lease
                for lease in leases
                if lease.incarnation.partition("@")[0] != record["upstream"]
            ]
        elif record["kind"] == "released":
            leases = _remove_keys(leases, record)
        elif record["kind"] == "held":
            leases = [lease for lease in leases if lease.until > at]
            for lease in leases:
                if lease.incarnation != incarnation and _overlap(lease, record):
                    keys = f"the range {record['first']} to {record['last']}"
                    detail = (
                        f"{incarnation} and {lease.incarnation} both own keys in {keys} at {at:.3f}"
                    )
                    yield Finding(rule="two-owners", detail=detail)
            leases = _remove_keys(leases, record)
            leases.append(
                _Lease(
                    incarnation=incarnation,
                    first=record["first"],
                    last=record["last"],
                    until=record["until"],
                )
            )


def _overlap(lease: _Lease, record: Record) -> bool:
    return bool(lease.first <= record["last"] and record["first"] <= lease.last)


def _remove_keys(leases: list[_Lease], record: Record) -> list[_Lease]:
    """Return the leases; those of the record's incarnation no longer have the record's keys."""
    return [
        rest
        for lease in leases
        for rest in (
            _subtract_keys(lease, record) if lease.incarnation == record["life"] else [lease]
        )
    ]


def _subtract_keys(lease: _Lease, record: Record) -> list[_Lease]:
    """Return the parts of a lease outside the keys of a record."""
    if not _overlap(lease, record):
        return [lease]
    parts = []
    for first, last in ((lease.first, record["first"] - 1), (record["last"] + 1, lease.last)):
        if first <= last:
            parts.append(replace(lease, first=first, last=last))
    return parts


def _check_runs(records: Sequence[Record]) -> Iterator[Finding]:
    """Find deposits that ran more than once, and outcomes that contradict the runs of a request.

    A deposit runs at most once. A request with the outcome ``not-run`` never runs, and one with the
    outcome ``completed`` has run.
    """
    runs: dict[str, list[str]] = defaultdict(list)
    for record in records:
        if record["kind"] == "run":
            runs[record["id"]].append(f"{record['life']} at {record['at']:.3f}")
    for record in records:
        if record["kind"] != "attempt":
            continue
        request_id, request_runs = record["id"], runs.get(record["id"], [])
        if record["once"] and len(request_runs) > 1:
            yield Finding(rule="run-twice", detail=f"{request_id}: {request_runs}")
        if record["outcome"] == "not-run" and request_runs:
            detail = (
                f"{request_id}: status {record['status']} from {record['host']}, "
                f"ran: {request_runs}"
            )
            yield Finding(rule="not-run-but-ran", detail=detail)
        if record["outcome"] == "completed" and not request_runs:
            yield Finding(rule="completed-without-run", detail=request_id)


def _check_responses(records: Sequence[Record]) -> Iterator[Finding]:
    """Find success responses that are incomplete, not signed or belong to another request."""
    for record in records:
        if record["kind"] == "attempt" and record["outcome"] == "foreign":
            detail = f"{record['id']}: status {record['status']} from {record['host']}"
            yield Finding(rule="foreign-answer", detail=detail)


def _check_stops(records: Sequence[Record]) -> Iterator[Finding]:
    """Find requests that a host took and left without an answer because of a planned stop."""
    stops: dict[str, list[float]] = defaultdict(list)
    runs: dict[str, list[float]] = defaultdict(list)
    ended: dict[str, Any] = {}
    for record in records:
        if record["kind"] == "signalled" and record["signum"] == signal.SIGTERM:
            stops[record["name"]].append(record["at"])
        elif record["kind"] == "run":
            runs[record["id"]].append(record["at"])
        elif record["kind"] == "ended":
            ended[record["id"]] = record["at"]
    for record in records:
        if record["kind"] != "attempt" or record["status"]:
            continue
        sent, closed, request_id = record["started"], record["at"], record["id"]
        if request_id not in runs and closed - sent <= UNREAD_S:
            continue
        for stopped_at in stops[record["host"]]:
            if not stopped_at <= closed <= stopped_at + STOP_LIMIT_S:
                continue
            at_work_until: float = ended.get(request_id) or closed
            at_work = at_work_until > stopped_at + GRACE_S * 5 / 6
            if request_id in runs and sent <= stopped_at + EARLY_S and at_work:
                continue
            detail = (
                f"{request_id}: sent {sent - stopped_at:.2f} s after the signal to "
                f"{record['host']}, closed at {closed - stopped_at:.2f} s, "
                f"{len(runs.get(request_id, ()))} runs"
            )
            yield Finding(rule="lost-at-stop", detail=detail)

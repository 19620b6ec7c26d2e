"""Checks of the router's promises against the records of a soak."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from acaciasaddle.emulator.soak._lost import check_lost

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from acaciasaddle.emulator.soak._records import Record


DRAIN_S = 2.0
"""A host may send requests to an upstream for this long after passing on that it leaves."""
PAUSE_SLACK_S = 0.5
"""Requests may reach an upstream for this long after it asked the host to wait."""
MAX_IN_PAUSE = 2
"""Number of requests that may reach the upstream in the rest of the pause."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """A broken promise."""

    rule: str
    detail: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Pause:
    """A time for which an upstream asked a host to wait.

    ``requests`` is the number of the host's requests that reached it in the meantime, without those
    of the first ``PAUSE_SLACK_S``. Times are in seconds of the monotonic clock.
    """

    host: str
    life: str
    at: float
    length_s: float
    requests: int


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
        *(Finding(rule=rule, detail=detail) for rule, detail in check_lost(records)),
        *_check_leaving(records),
        *_check_pauses(records),
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


def _check_leaving(records: Sequence[Record]) -> Iterator[Finding]:
    """Find requests that reached an upstream long after their host had passed on that it leaves.

    A signal to the host in between excuses it.
    """
    arrivals = _arrivals(records)
    signals = _signal_times(records)
    told: dict[tuple[str, str], float] = {}
    attempts = [record for record in records if record["kind"] == "attempt"]
    for record in attempts:
        if record.get("leaving"):
            for life, _ in arrivals.get(record["id"], ())[-1:]:
                told.setdefault((record["host"], life), record["at"])
    for record in attempts:
        for life, _ in arrivals.get(record["id"], ()):
            told_at = told.get((record["host"], life))
            if told_at is None or record["started"] <= told_at + DRAIN_S:
                continue
            if any(told_at <= at <= record["at"] for at in signals[record["host"]]):
                continue
            detail = (
                f"{record['id']}: {record['host']} sent it to {life}, "
                f"{record['started'] - told_at:.2f} s after passing on that it leaves"
            )
            yield Finding(rule="used-after-leaving", detail=detail)


def judged_pauses(records: Sequence[Record]) -> Iterator[Pause]:
    """Return the pauses that upstreams asked hosts for and during which nothing excuses requests.

    A signal to the host in between, or a fault on the way to the upstream, excuses them. What an
    upstream asks after the host has given the request up reaches no host: its connection is closed.
    A pause that is too short for a finding is left out.
    """
    attempts = {record["id"]: record for record in records if record["kind"] == "attempt"}
    hosts = {request_id: record["host"] for request_id, record in attempts.items()}
    arrived: dict[tuple[str, str], list[float]] = defaultdict(list)
    for record in records:
        if record["kind"] == "arrived" and record["id"] in hosts:
            arrived[hosts[record["id"]], record["life"]].append(record["at"])
    signals = _signal_times(records)
    for record in records:
        if record["kind"] != "turned-away" or record["id"] not in hosts:
            continue
        host, life, at = hosts[record["id"]], record["life"], record["at"]
        if at > attempts[record["id"]]["at"] or record["pause_s"] <= PAUSE_SLACK_S:
            continue
        ends_at = at + record["pause_s"]
        if _is_disturbed(records, life, at, ends_at):
            continue
        if any(at <= when <= ends_at for when in signals[host]):
            continue
        early = [when for when in arrived[host, life] if at + PAUSE_SLACK_S < when < ends_at]
        yield Pause(host=host, life=life, at=at, length_s=record["pause_s"], requests=len(early))


def _check_pauses(records: Sequence[Record]) -> Iterator[Finding]:
    """Find upstreams that a host sent more than a few requests after they asked it to wait."""
    for pause in judged_pauses(records):
        if pause.requests > MAX_IN_PAUSE:
            detail = (
                f"{pause.host} sent {pause.requests} requests to {pause.life} in the "
                f"{pause.length_s} s after {pause.at:.3f} for which it had asked to wait"
            )
            yield Finding(rule="sent-in-pause", detail=detail)


def _arrivals(records: Sequence[Record]) -> dict[str, list[tuple[str, float]]]:
    """Return the incarnations that each request reached, and when, in their order."""
    arrivals: dict[str, list[tuple[str, float]]] = defaultdict(list)
    for record in records:
        if record["kind"] == "arrived":
            arrivals[record["id"]].append((record["life"], record["at"]))
    return arrivals


def _signal_times(records: Sequence[Record]) -> dict[str, list[float]]:
    times: dict[str, list[float]] = defaultdict(list)
    for record in records:
        if record["kind"] == "signalled":
            times[record["name"]].append(record["at"])
    return times


def _is_disturbed(records: Sequence[Record], life: str, start: float, end: float) -> bool:
    """Return whether the way to an upstream had a fault in a time, or shortly before."""
    target = f"way to {life.partition('@')[0]}"
    return any(
        record["kind"] == "fault"
        and record["target"] == target
        and record["at"] < end
        and record["at"] + record["length_s"] + 1.0 > start
        for record in records
    )

"""Records that the stand-ins and the load tool make for the checker."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RunState(StrEnum):
    """State of one run of a request."""

    RUNNING = "running"
    COMPLETED = "completed"
    DROPPED = "dropped"


@dataclass(frozen=True, slots=True, kw_only=True)
class RunRecord:
    """One run of a request by an upstream.

    ``start_ms`` and ``end_ms`` are times of the upstream's clock, ``boot_start_ms`` and
    ``boot_end_ms`` of CLOCK_BOOTTIME. The end times are ``None`` while the request runs. ``term``
    is 0 if the request contained none.
    """

    request_id: str
    idempotency_key: str
    key: str
    unit: str
    term: int
    state: RunState
    start_ms: float
    boot_start_ms: float
    end_ms: float | None = None
    boot_end_ms: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnershipRecord:
    """Ownership of a unit, from acceptance of the grant until it expired or was replaced.

    ``until_ms`` and ``boot_until_ms`` are in the future while the lease is valid. ``excluded``
    lists the pinned keys, as unit ids, that were not part of the granted shard.
    """

    unit: str
    holder: str
    term: int
    from_ms: float
    until_ms: float
    boot_from_ms: float
    boot_until_ms: float
    excluded: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamRecord:
    """Response to ``GET /record``.

    ``boot_ms`` is the time of the response in CLOCK_BOOTTIME, or 0 in a record that was rebuilt
    from a journal. ``leaving_boot_ms`` is the time at which the upstream started to leave, or
    ``None`` if it is not leaving.
    """

    name: str
    checks_orders: bool
    boot_ms: float
    leaving_boot_ms: float | None
    owned: tuple[OwnershipRecord, ...]
    runs: tuple[RunRecord, ...]


class CallerOutcome(StrEnum):
    """Outcome of a request, or of one attempt, as its caller saw it.

    ``CUT`` is an incomplete response, ``FOREIGN`` one that belongs to another request, and
    ``NO_ANSWER`` none. The load tool counts a response outside 2xx whose outcome header does not
    say ``not-run`` or ``unknown`` as ``REFUSED`` below status 500 and as ``UNKNOWN`` otherwise, and
    a request beyond its limit of requests in flight as ``NOT_SENT``.
    """

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    CUT = "cut"
    FOREIGN = "foreign"
    NO_ANSWER = "no-answer"
    NOT_SENT = "not-sent"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRecord:
    """A request with an idempotency key, as its caller saw it.

    ``outcome`` and ``status`` are those of the last attempt, ``earlier`` lists the outcomes of the
    attempts before it.
    """

    idempotency_key: str
    kind: str
    outcome: CallerOutcome
    status: int
    earlier: tuple[CallerOutcome, ...] = ()

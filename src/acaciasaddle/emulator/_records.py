"""What stand-ins and the load tool record, for the checker."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RunState(StrEnum):
    """State of one execution of a request."""

    RUNNING = "running"
    COMPLETED = "completed"
    DROPPED = "dropped"


@dataclass(frozen=True, slots=True, kw_only=True)
class RunRecord:
    """One execution of a request by an upstream.

    ``start_ms`` and ``end_ms`` are readings of the upstream's clock, ``boot_start_ms`` and
    ``boot_end_ms`` of CLOCK_BOOTTIME. The ends are ``None`` while the request runs.
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
class OwnedRecord:
    """An upstream owned a unit by grant, from its acceptance to its expiry or replacement.

    ``until_ms`` and ``boot_until_ms`` are in the future while the lease runs. ``excluded`` lists
    pinned keys, as unit ids, that were taken out of the shard.
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
    """Answer of ``GET /record``. ``leaving_boot_ms`` is ``None`` if the upstream does not leave."""

    name: str
    checks_orders: bool
    boot_ms: float
    leaving_boot_ms: float | None
    owned: tuple[OwnedRecord, ...]
    runs: tuple[RunRecord, ...]


class SeenOutcome(StrEnum):
    """What a caller saw last of its request."""

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

    ``outcome`` and ``status`` are of the last attempt, ``earlier`` the outcomes of those before.
    """

    idempotency_key: str
    kind: str
    outcome: SeenOutcome
    status: int
    earlier: tuple[SeenOutcome, ...] = ()

"""Finds broken promises in the records of upstream stand-ins and callers."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from pydantic import TypeAdapter

from acaciasaddle.emulator._records import CallerOutcome
from acaciasaddle.emulator._records import CallerRecord
from acaciasaddle.emulator._records import OwnershipRecord
from acaciasaddle.emulator._records import RunRecord
from acaciasaddle.emulator._records import RunState
from acaciasaddle.emulator._records import UpstreamRecord
from acaciasaddle.model import UnitId
from acaciasaddle.model import shard_of

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping
    from collections.abc import Sequence

    from acaciasaddle.model import Row

UPSTREAM_RECORD = TypeAdapter(UpstreamRecord)
CALLER_RECORD = TypeAdapter(CallerRecord)


class ViolationKind(StrEnum):
    """Kind of a violation.

    * ``TWO_OWNERS``: two upstreams owned a unit or a pinned key at the same time.
    * ``RUN_BY_OTHER``: a run started while another upstream owned its unit.
    * ``RUN_TWICE``: an idempotency key has more than one run.
    * ``NOT_RUN_BUT_RAN``: a request has a run, although its outcome was that it had not run.
    * ``COMPLETED_WITHOUT_RUN``: a request completed for its caller without a completed run.
    * ``FOREIGN_ANSWER``: a caller received the response to another request.
    * ``LATE_WORK``: a run started in a ``DrainPeriod`` of its upstream.
    * ``ASSIGNMENT_LOST``: a write dropped a unit, lowered its epoch, or changed its owner at the
      same epoch.
    * ``CONFIG_REVERTED``: a configuration was written after the same version or a later one.
    """

    TWO_OWNERS = "two-owners"
    RUN_BY_OTHER = "run-by-other"
    RUN_TWICE = "run-twice"
    NOT_RUN_BUT_RAN = "not-run-but-ran"
    COMPLETED_WITHOUT_RUN = "completed-without-run"
    FOREIGN_ANSWER = "foreign-answer"
    LATE_WORK = "late-work"
    ASSIGNMENT_LOST = "assignment-lost"
    CONFIG_REVERTED = "config-reverted"


@dataclass(frozen=True, slots=True, kw_only=True)
class Violation:
    """A broken promise.

    ``subject`` is what it concerns: a unit, an idempotency key, the subject of a ``Refusal``, an
    upstream, a row or a unit in a row.
    """

    kind: ViolationKind
    subject: str
    detail: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """A request that a host refused as not run.

    ``request_id`` is the identifier in the response; ``subject`` is that of the violation if the
    request ran after all.
    """

    request_id: str
    subject: str


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainPeriod:
    """A period, in CLOCK_BOOTTIME, in which an upstream must not start any work."""

    upstream: str
    boot_from_ms: float
    boot_until_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class _Ownership:
    """Ownership of a unit by one upstream for one period."""

    upstream: str
    owned: OwnershipRecord

    def overlaps(self, other: _Ownership) -> bool:
        return (
            self.upstream != other.upstream
            and self.owned.boot_from_ms < other.owned.boot_until_ms
            and other.owned.boot_from_ms < self.owned.boot_until_ms
        )

    def contains(self, boot_ms: float) -> bool:
        return self.owned.boot_from_ms <= boot_ms < self.owned.boot_until_ms

    def describe(self) -> str:
        owned = self.owned
        return (
            f"{self.upstream} from {owned.boot_from_ms:.1f} to {owned.boot_until_ms:.1f} ms "
            f"(term {owned.term}, holder {owned.holder})"
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class _Run:
    upstream: str
    run: RunRecord


class Checker:
    """Checks the records of one run of the system.

    Records of different upstreams are compared by CLOCK_BOOTTIME, so all stand-ins must run on the
    same machine. ``shards`` maps ``service/group`` to its number of shards; without it, pinned keys
    are not checked against the shards that they were taken from. ``writes`` lists all rows that
    were ever written to the table, in order.
    """

    def __init__(
        self,
        *,
        upstreams: Sequence[UpstreamRecord],
        callers: Sequence[CallerRecord] = (),
        shards: Mapping[str, int] | None = None,
        refusals: Sequence[Refusal] = (),
        drain_periods: Sequence[DrainPeriod] = (),
        writes: Sequence[Row] = (),
    ) -> None:
        self._callers = callers
        self._refusals = refusals
        self._drain_periods = drain_periods
        self._writes = writes
        self._shards = shards or {}
        self._ownerships: dict[str, list[_Ownership]] = defaultdict(list)
        self._runs: list[_Run] = []
        self._runs_by_idempotency_key: dict[str, list[_Run]] = defaultdict(list)
        for record in upstreams:
            for owned in record.owned:
                self._ownerships[owned.unit].append(_Ownership(upstream=record.name, owned=owned))
            for run in record.runs:
                item = _Run(upstream=record.name, run=run)
                self._runs.append(item)
                if run.idempotency_key:
                    self._runs_by_idempotency_key[run.idempotency_key].append(item)

    def violations(self) -> tuple[Violation, ...]:
        """Return all violations found."""
        return (
            *self._overlapping_ownerships(),
            *self._pins_not_excluded(),
            *self._runs_by_non_owners(),
            *self._repeated_runs(),
            *self._caller_violations(),
            *self._runs_of_refused_requests(),
            *self._runs_while_drained(),
            *self._lost_assignments(),
            *self._reverted_configurations(),
        )

    def _overlapping_ownerships(self) -> Iterator[Violation]:
        for unit, ownerships in self._ownerships.items():
            for first, second in _overlapping_pairs(ownerships):
                yield Violation(
                    kind=ViolationKind.TWO_OWNERS,
                    subject=unit,
                    detail=f"{first.describe()} and {second.describe()}",
                )

    def _pins_not_excluded(self) -> Iterator[Violation]:
        """Find pinned keys that another upstream owned at the same time, as part of their shard."""
        for pinned_unit, pin_ownerships in self._ownerships.items():
            unit = UnitId.parse(pinned_unit)
            shards = self._shards.get(f"{unit.service}/{unit.group}", 0)
            if not unit.is_pin or not shards:
                continue
            shard = UnitId(unit.service, unit.group, shard_of(unit.key, shards))
            for shard_ownership in self._ownerships.get(str(shard), ()):
                if pinned_unit in shard_ownership.owned.excluded:
                    continue
                for pin_ownership in pin_ownerships:
                    if pin_ownership.overlaps(shard_ownership):
                        yield Violation(
                            kind=ViolationKind.TWO_OWNERS,
                            subject=pinned_unit,
                            detail=f"{pin_ownership.describe()} and, as part of shard {shard}, "
                            f"{shard_ownership.describe()}",
                        )

    def _runs_by_non_owners(self) -> Iterator[Violation]:
        """Find runs that started while another upstream owned their unit.

        This includes runs on upstreams that do not check orders, to which no unit is ever granted.
        """
        for item in self._runs:
            for owner in self._ownerships.get(item.run.unit, ()):
                if owner.upstream == item.upstream or not owner.contains(item.run.boot_start_ms):
                    continue
                yield Violation(
                    kind=ViolationKind.RUN_BY_OTHER,
                    subject=item.run.unit,
                    detail=(
                        f"request {item.run.request_id} started on {item.upstream} at "
                        f"{item.run.boot_start_ms:.1f} ms; the owner is {owner.describe()}"
                    ),
                )

    def _repeated_runs(self) -> Iterator[Violation]:
        for key, runs in self._runs_by_idempotency_key.items():
            if len(runs) > 1:
                descriptions = ", ".join(
                    f"{item.upstream} at {item.run.boot_start_ms:.1f} ms ({item.run.state.value})"
                    for item in runs
                )
                yield Violation(kind=ViolationKind.RUN_TWICE, subject=key, detail=descriptions)

    def _caller_violations(self) -> Iterator[Violation]:
        for record in self._callers:
            key = record.idempotency_key
            runs = self._runs_by_idempotency_key.get(key, [])
            completed = any(item.run.state is RunState.COMPLETED for item in runs)
            if record.outcome is CallerOutcome.NOT_RUN and runs:
                earlier = ", ".join(outcome.value for outcome in record.earlier) or "none"
                yield Violation(
                    kind=ViolationKind.NOT_RUN_BUT_RAN,
                    subject=key,
                    detail=f"ran on {runs[0].upstream}; outcomes of earlier attempts: {earlier}",
                )
            elif record.outcome is CallerOutcome.COMPLETED and not completed:
                yield Violation(
                    kind=ViolationKind.COMPLETED_WITHOUT_RUN,
                    subject=key,
                    detail=f"kind {record.kind}",
                )
            elif record.outcome is CallerOutcome.FOREIGN:
                yield Violation(
                    kind=ViolationKind.FOREIGN_ANSWER, subject=key, detail=f"kind {record.kind}"
                )

    def _runs_of_refused_requests(self) -> Iterator[Violation]:
        refusals = {refusal.request_id: refusal for refusal in self._refusals}
        for item in self._runs:
            # From the second attempt on, the dispatcher appends the number of the attempt to the
            # request id: "<request id>.2".
            refusal = refusals.get(item.run.request_id.split(".", 1)[0])
            if refusal is not None:
                yield Violation(
                    kind=ViolationKind.NOT_RUN_BUT_RAN,
                    subject=refusal.subject,
                    detail=f"request {item.run.request_id} ran on {item.upstream} at "
                    f"{item.run.boot_start_ms:.1f} ms",
                )

    def _runs_while_drained(self) -> Iterator[Violation]:
        for period in self._drain_periods:
            for item in self._runs:
                started = item.run.boot_start_ms
                within = period.boot_from_ms <= started < period.boot_until_ms
                if item.upstream == period.upstream and within:
                    yield Violation(
                        kind=ViolationKind.LATE_WORK,
                        subject=period.upstream,
                        detail=f"request {item.run.request_id} started at {started:.1f} ms",
                    )

    def _lost_assignments(self) -> Iterator[Violation]:
        """Find writes that drop a unit, lower its epoch, or change its owner at the same epoch."""
        known: dict[str, dict[str, tuple[str, int]]] = defaultdict(dict)
        for row in self._writes:
            if not row.key.startswith(("units/", "pins/")):
                continue
            before = known[row.key]
            units = {k: (str(v[0]), int(v[2])) for k, v in row.value["units"].items()}
            for unit, (owner, epoch) in before.items():
                after = units.get(unit)
                if after is None:
                    detail = f"{owner} at epoch {epoch} is missing in version {row.version}"
                elif after[1] < epoch or (after[1] == epoch and after[0] != owner):
                    detail = (
                        f"{owner} at epoch {epoch} became {after[0]} at epoch {after[1]} in "
                        f"version {row.version}"
                    )
                else:
                    continue
                yield Violation(
                    kind=ViolationKind.ASSIGNMENT_LOST, subject=f"{row.key}:{unit}", detail=detail
                )
            known[row.key] = units

    def _reverted_configurations(self) -> Iterator[Violation]:
        last = 0
        for row in self._writes:
            if row.key != "config/current":
                continue
            version = int(row.value["version"])
            if version <= last:
                yield Violation(
                    kind=ViolationKind.CONFIG_REVERTED,
                    subject=row.key,
                    detail=f"version {version} was written after version {last}",
                )
            last = max(last, version)


def check_records(
    *,
    upstreams: Sequence[UpstreamRecord],
    callers: Sequence[CallerRecord] = (),
    shards: Mapping[str, int] | None = None,
) -> tuple[Violation, ...]:
    """Return all violations in the records of one run."""
    return Checker(upstreams=upstreams, callers=callers, shards=shards).violations()


def parse_upstream_record(data: bytes) -> UpstreamRecord:
    """Parse a response to ``GET /record``; raises ``pydantic.ValidationError``."""
    return UPSTREAM_RECORD.validate_json(data)


def parse_caller_records(text: str) -> tuple[CallerRecord, ...]:
    """Parse the text of a file that ``load --record`` wrote.

    Raises ``pydantic.ValidationError``.
    """
    return tuple(CALLER_RECORD.validate_json(line) for line in text.splitlines() if line)


def _overlapping_pairs(ownerships: Iterable[_Ownership]) -> Iterator[tuple[_Ownership, _Ownership]]:
    """Yield overlapping pairs of ownerships by different upstreams.

    Each ownership is compared with one earlier ownership per other upstream, the one that ends
    last.
    """
    ordered = sorted(ownerships, key=lambda item: item.owned.boot_from_ms)
    ends_last: dict[str, _Ownership] = {}
    for item in ordered:
        for other in ends_last.values():
            if other.overlaps(item):
                yield other, item
        known = ends_last.get(item.upstream)
        if known is None or known.owned.boot_until_ms < item.owned.boot_until_ms:
            ends_last[item.upstream] = item

"""Results of a load run, by rank and kind."""

from __future__ import annotations

from collections import Counter
from dataclasses import asdict
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from hdrh.histogram import HdrHistogram

from acaciasaddle.emulator._records import CallerOutcome

if TYPE_CHECKING:
    from acaciasaddle.emulator._workload import LoadKind
    from acaciasaddle.emulator._workload import Workload

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class ResultRow:
    """Results of one kind. Latencies are those of completed requests, in milliseconds.

    ``in_target`` is the fraction of all planned requests that were completed within their target.
    """

    rank: str
    kind: str
    planned: int
    completed: int
    in_target: float
    p50_ms: float | None
    p99_ms: float | None
    max_ms: float | None
    outcomes: dict[str, int]


class _KindResults:
    def __init__(self) -> None:
        self.histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.outcomes: Counter[CallerOutcome] = Counter()
        self.in_target = 0
        self.in_target_by_second: Counter[int] = Counter()
        self.planned_by_second: Counter[int] = Counter()


class LoadResults:
    """Collects the results of requests and summarises them."""

    def __init__(self, *, workload: Workload) -> None:
        self._workload = workload
        self._kinds = {kind.name: _KindResults() for kind in workload.kinds}

    def add(
        self, kind: LoadKind, *, planned_at_s: float, latency_s: float, outcome: CallerOutcome
    ) -> None:
        """Add the result of a request; ``planned_at_s`` is in seconds since the start."""
        results = self._kinds[kind.name]
        results.outcomes[outcome] += 1
        results.planned_by_second[int(planned_at_s)] += 1
        if outcome is not CallerOutcome.COMPLETED:
            return
        results.histogram.record_value(
            max(MIN_LATENCY_US, min(MAX_LATENCY_US, int(latency_s * 1e6)))
        )
        if latency_s * 1000 <= kind.target_ms:
            results.in_target += 1
            results.in_target_by_second[int(planned_at_s)] += 1

    def rows(self) -> tuple[ResultRow, ...]:
        """Return one row per kind, in the order of the workload."""
        return tuple(self._row(kind) for kind in self._workload.kinds)

    def service_by_rank(self) -> dict[str, float]:
        """Return for each rank the fraction of requests completed within target, weighted by kind.

        Ranks without requests of a positive weight are left out.
        """
        weighted_in_target: dict[str, float] = {}
        weighted_total: dict[str, float] = {}
        for kind in self._workload.kinds:
            results = self._kinds[kind.name]
            planned = sum(results.outcomes.values())
            weighted_in_target[kind.rank] = (
                weighted_in_target.get(kind.rank, 0) + kind.weight * results.in_target
            )
            weighted_total[kind.rank] = weighted_total.get(kind.rank, 0) + kind.weight * planned
        return {
            rank: weighted_in_target[rank] / weighted_total[rank]
            for rank in weighted_total
            if weighted_total[rank] > 0
        }

    def to_json(self) -> dict[str, Any]:
        """Return all results as JSON values.

        ``per_second`` counts the requests planned in each second of the run, and how many of these
        were completed within their target.
        """
        seconds = range(int(self._workload.duration_s) + 1)
        return {
            "kinds": [asdict(row) for row in self.rows()],
            "service_by_rank": self.service_by_rank(),
            "per_second": {
                name: {
                    "planned": [results.planned_by_second[second] for second in seconds],
                    "in_target": [results.in_target_by_second[second] for second in seconds],
                }
                for name, results in self._kinds.items()
            },
        }

    def table(self) -> str:
        """Return the results as a printable table."""
        lines = [
            f"{'rank':<12}{'kind':<22}{'planned':>8}{'in target':>11}{'p50 ms':>10}{'p99 ms':>10}"
            "  outcomes"
        ]
        for row in self.rows():
            outcomes = ", ".join(f"{outcome} {count}" for outcome, count in row.outcomes.items())
            lines.append(
                f"{row.rank:<12}{row.kind:<22}{row.planned:>8}{row.in_target:>11.2%}"
                f"{_format_ms(row.p50_ms):>10}{_format_ms(row.p99_ms):>10}  {outcomes}"
            )
        for rank, fraction in self.service_by_rank().items():
            lines.append(f"{rank:<12}{'all, by weight':<22}{'':>8}{fraction:>11.2%}")
        return "\n".join(lines)

    def _row(self, kind: LoadKind) -> ResultRow:
        results = self._kinds[kind.name]
        planned = sum(results.outcomes.values())
        completed = results.outcomes[CallerOutcome.COMPLETED]
        return ResultRow(
            rank=kind.rank,
            kind=kind.name,
            planned=planned,
            completed=completed,
            in_target=results.in_target / planned if planned else 0.0,
            p50_ms=self._percentile(results, 50),
            p99_ms=self._percentile(results, 99),
            max_ms=self._percentile(results, 100),
            outcomes={outcome.value: count for outcome, count in sorted(results.outcomes.items())},
        )

    @staticmethod
    def _percentile(results: _KindResults, percentile: float) -> float | None:
        if not results.outcomes[CallerOutcome.COMPLETED]:
            return None
        return float(results.histogram.get_value_at_percentile(percentile)) / 1000


def _format_ms(value: float | None) -> str:
    return "-" if value is None else f"{value:.1f}"

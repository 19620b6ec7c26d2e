"""Results of a load run by rank and kind."""

from __future__ import annotations

from collections import Counter
from dataclasses import asdict
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from hdrh.histogram import HdrHistogram

from acaciasaddle.emulator._records import SeenOutcome

if TYPE_CHECKING:
    from acaciasaddle.emulator._workload import LoadKind
    from acaciasaddle.emulator._workload import Workload

LOWEST_US = 1
HIGHEST_US = 600_000_000
DIGITS = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class ResultRow:
    """Results of one kind. Latencies are of completed requests, in milliseconds.

    ``in_target`` is the part of all planned requests that were completed within their target.
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
        self.histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self.outcomes: Counter[SeenOutcome] = Counter()
        self.in_target = 0
        self.per_second: Counter[int] = Counter()
        self.planned_per_second: Counter[int] = Counter()


class LoadResults:
    """Collects the results of single requests."""

    def __init__(self, *, workload: Workload) -> None:
        self._workload = workload
        self._kinds = {kind.name: _KindResults() for kind in workload.kinds}

    def add(self, kind: LoadKind, *, at_s: float, latency_s: float, outcome: SeenOutcome) -> None:
        """Add a request that was planned ``at_s`` after the start."""
        results = self._kinds[kind.name]
        results.outcomes[outcome] += 1
        results.planned_per_second[int(at_s)] += 1
        if outcome is not SeenOutcome.COMPLETED:
            return
        results.histogram.record_value(max(LOWEST_US, min(HIGHEST_US, int(latency_s * 1e6))))
        if latency_s * 1000 <= kind.target_ms:
            results.in_target += 1
            results.per_second[int(at_s)] += 1

    def rows(self) -> tuple[ResultRow, ...]:
        """Return one row per kind, in the order of the workload."""
        return tuple(self._row(kind) for kind in self._workload.kinds)

    def service_by_rank(self) -> dict[str, float]:
        """Return for each rank the part answered in good time, weighted by kind."""
        answered: dict[str, float] = {}
        total: dict[str, float] = {}
        for kind in self._workload.kinds:
            results = self._kinds[kind.name]
            planned = sum(results.outcomes.values())
            answered[kind.rank] = answered.get(kind.rank, 0) + kind.weight * results.in_target
            total[kind.rank] = total.get(kind.rank, 0) + kind.weight * planned
        return {rank: answered[rank] / total[rank] for rank in total if total[rank] > 0}

    def to_json(self) -> dict[str, Any]:
        """Return everything, with the planned and the timely requests of each second."""
        seconds = range(int(self._workload.duration_s) + 1)
        return {
            "kinds": [asdict(row) for row in self.rows()],
            "service_by_rank": self.service_by_rank(),
            "per_second": {
                name: {
                    "planned": [results.planned_per_second[second] for second in seconds],
                    "in_target": [results.per_second[second] for second in seconds],
                }
                for name, results in self._kinds.items()
            },
        }

    def table(self) -> str:
        """Return a table for people."""
        lines = [
            f"{'rank':<12}{'kind':<22}{'planned':>8}{'in target':>11}{'p50 ms':>10}{'p99 ms':>10}"
            "  outcomes"
        ]
        for row in self.rows():
            outcomes = ", ".join(f"{name} {count}" for name, count in row.outcomes.items())
            lines.append(
                f"{row.rank:<12}{row.kind:<22}{row.planned:>8}{row.in_target:>11.2%}"
                f"{_ms(row.p50_ms):>10}{_ms(row.p99_ms):>10}  {outcomes}"
            )
        for rank, part in self.service_by_rank().items():
            lines.append(f"{rank:<12}{'all, by weight':<22}{'':>8}{part:>11.2%}")
        return "\n".join(lines)

    def _row(self, kind: LoadKind) -> ResultRow:
        results = self._kinds[kind.name]
        planned = sum(results.outcomes.values())
        completed = results.outcomes[SeenOutcome.COMPLETED]
        return ResultRow(
            rank=kind.rank,
            kind=kind.name,
            planned=planned,
            completed=completed,
            in_target=results.in_target / planned if planned else 0.0,
            p50_ms=self._percentile(results, 50),
            p99_ms=self._percentile(results, 99),
            max_ms=self._percentile(results, 100),
            outcomes={name.value: count for name, count in sorted(results.outcomes.items())},
        )

    @staticmethod
    def _percentile(results: _KindResults, percentile: float) -> float | None:
        if not results.outcomes[SeenOutcome.COMPLETED]:
            return None
        return float(results.histogram.get_value_at_percentile(percentile)) / 1000


def _ms(value: float | None) -> str:
    return "-" if value is None else f"{value:.1f}"

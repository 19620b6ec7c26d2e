"""Metrics kept in memory and exported in the Prometheus text format."""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING

from acaciasaddle.observe._metrics import Metrics
from acaciasaddle.observe._metrics import NullMetrics

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from prometheus_client.metrics_core import Metric

BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 350, 500, 750, 1000, 1500, 2000, 4000, 8000)
"""Upper bounds of the latency histograms, around the objectives of 500 to 1,500 ms."""
PREFIX = "acaciasaddle_"


class _Histogram:
    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_MS) + 1)
        self.total_ms = 0.0

    def add(self, milliseconds: float) -> None:
        self.counts[bisect_left(BUCKETS_MS, milliseconds)] += 1
        self.total_ms += milliseconds


class RegistryMetrics(Metrics):
    """Counters, histograms and gauges of one process.

    ``read_gauges`` returns further gauges, which are computed only when the metrics are exported.
    All other metrics are also passed to ``forward``, for instance to statsd.
    """

    def __init__(
        self,
        *,
        read_gauges: Callable[[], dict[str, float]] = dict,
        forward: Metrics | None = None,
    ) -> None:
        self._counters: dict[str, int] = {}
        self._histograms: dict[str, _Histogram] = {}
        self._gauges: dict[str, float] = {}
        self._forward = forward or NullMetrics()
        self.read_gauges = read_gauges

    def count(self, name: str, value: int = 1) -> None:
        self._counters[name] = self._counters.get(name, 0) + value
        self._forward.count(name, value)

    def timing(self, name: str, milliseconds: float) -> None:
        self._histograms.setdefault(name, _Histogram()).add(milliseconds)
        self._forward.timing(name, milliseconds)

    def gauge(self, name: str, value: float) -> None:
        self._gauges[name] = value
        self._forward.gauge(name, value)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        # Imported when first needed: the library takes 0.1 s and 3 MB, and some hosts have little
        # processor time and memory.
        from prometheus_client import CollectorRegistry
        from prometheus_client import generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator[Metric]:
        """Yield the metrics. The Prometheus library calls this."""
        from prometheus_client.metrics_core import CounterMetricFamily
        from prometheus_client.metrics_core import GaugeMetricFamily
        from prometheus_client.metrics_core import HistogramMetricFamily

        for name, value in sorted(self._counters.items()):
            yield CounterMetricFamily(_prometheus_name(name), name, value=value)
        for name, number in sorted({**self._gauges, **self.read_gauges()}.items()):
            yield GaugeMetricFamily(_prometheus_name(name), name, value=number)
        for name, histogram in sorted(self._histograms.items()):
            buckets, cumulative = [], 0
            for bound, count in zip((*BUCKETS_MS, "+Inf"), histogram.counts, strict=True):
                cumulative += count
                buckets.append((str(bound), cumulative))
            yield HistogramMetricFamily(
                f"{_prometheus_name(name)}_ms", name, buckets=buckets, sum_value=histogram.total_ms
            )


def _prometheus_name(name: str) -> str:
    return PREFIX + "".join(char if char.isalnum() else "_" for char in name)

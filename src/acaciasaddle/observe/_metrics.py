"""Interface for metrics, with implementations that send them to statsd or discard them."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod

import statsd


class Metrics(ABC):
    """Interface for counters, timers and gauges. Their names are listed in docs/metrics.md."""

    @abstractmethod
    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""

    @abstractmethod
    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration."""

    @abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""


class NullMetrics(Metrics):
    """Discards all metrics."""

    def count(self, name: str, value: int = 1) -> None:
        pass

    def timing(self, name: str, milliseconds: float) -> None:
        pass

    def gauge(self, name: str, value: float) -> None:
        pass


class StatsdMetrics(Metrics):
    """Sends metrics to a statsd daemon over UDP. Loss of datagrams is not detected."""

    def __init__(self, *, host: str, port: int, prefix: str) -> None:
        self._client = statsd.StatsClient(host, port, prefix=prefix)

    def count(self, name: str, value: int = 1) -> None:
        self._client.incr(name, value)

    def timing(self, name: str, milliseconds: float) -> None:
        self._client.timing(name, milliseconds)

    def gauge(self, name: str, value: float) -> None:
        self._client.gauge(name, value)

"""What this host has seen of each upstream, and the choice among them."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Sequence

    from acaciasaddle.fleet import UpstreamEntry

TIME_WEIGHT = 0.2
"""Weight of the newest response time in the moving average."""
INITIAL_TIME_S = 0.2
FAILURE_PENALTY_S = 1.0
"""Time for which an upstream is avoided after a failure; doubles with each failure in a row."""
MAX_PENALTY_S = 4.0
SILENT_AFTER = 2
"""Failures in a row after which an upstream is not tried again until its penalty is over."""
CHOICES = 4
"""Hosts know alike, and 0.4 s late, which upstreams are free; the best of a few by chance keeps
them from choosing the same one."""
TIE_BREAK = 0.1
"""Upstreams whose expected times differ by less than this part are chosen by chance."""
REMOTE_FACTOR = 1.15
"""An upstream in another data centre has to be this much better to be chosen."""


@dataclass(slots=True, kw_only=True)
class UpstreamState:
    """Requests in progress from this host, response times and failures."""

    in_flight: int = 0
    seconds: float = INITIAL_TIME_S
    failures: int = 0
    avoid_until: float = 0.0
    replaced: bool = False

    def silent_until(self, now: float) -> float | None:
        """Return until when it is taken for silent, or ``None`` if it may be tried."""
        if self.replaced:
            return now + MAX_PENALTY_S
        if self.failures >= SILENT_AFTER and self.avoid_until > now:
            return self.avoid_until
        return None

    def succeeded(self, seconds: float) -> None:
        """Note a response."""
        self.seconds += TIME_WEIGHT * (seconds - self.seconds)
        self.failures = 0
        self.avoid_until = 0.0

    def failed(self, now: float) -> None:
        """Note that there was no usable response."""
        self.failures += 1
        penalty = FAILURE_PENALTY_S * 2 ** (self.failures - 1)
        self.avoid_until = now + min(penalty, MAX_PENALTY_S)

    def full(self, now: float, seconds: float) -> None:
        """Note that the upstream refused a request for lack of room."""
        self.avoid_until = max(self.avoid_until, now + seconds)


class UpstreamStates:
    """States by upstream, and the choice of an upstream for work that any of them may do."""

    def __init__(self, *, data_centre: str) -> None:
        self._data_centre = data_centre
        self._states: dict[str, UpstreamState] = {}
        self._random = random.Random()

    def of(self, upstream_id: str) -> UpstreamState:
        """Return the state of an upstream."""
        return self._states.setdefault(upstream_id, UpstreamState())

    def busy(self) -> dict[str, int]:
        """Return the requests in progress at each upstream that has any."""
        return {name: state.in_flight for name, state in self._states.items() if state.in_flight}

    def choose(
        self,
        upstreams: Sequence[UpstreamEntry],
        *,
        tried: Collection[str],
        now: float,
        expected_s: Callable[[UpstreamEntry], float],
    ) -> UpstreamEntry | None:
        """Return the best of a few upstreams by chance, or ``None`` if none is left.

        ``expected_s`` returns the expected response time of an upstream.
        """
        options = [entry for entry in upstreams if entry.upstream_id not in tried]
        options = [e for e in options if not self.of(e.upstream_id).replaced]
        trusted = [e for e in options if self.of(e.upstream_id).avoid_until <= now]
        options = trusted or options
        if not options:
            return None
        if len(options) > CHOICES:
            options = self._random.sample(options, CHOICES)
        return min(options, key=lambda entry: self._cost(entry, expected_s(entry)))

    def _cost(self, entry: UpstreamEntry, expected_s: float) -> float:
        cost = expected_s * (1.0 + TIE_BREAK * self._random.random())
        if entry.data_centre != self._data_centre:
            cost *= REMOTE_FACTOR
        return cost * (2.0 if entry.cold_s > 0 else 1.0)

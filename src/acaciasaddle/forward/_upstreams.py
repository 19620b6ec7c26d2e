"""Local state of each upstream as observed by this host, and the choice among upstreams."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from acaciasaddle.fleet import UpstreamIncarnation

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Sequence

    from acaciasaddle.fleet import UpstreamEntry

RESPONSE_TIME_WEIGHT = 0.2
"""Weight of the newest response time in the moving average."""
INITIAL_RESPONSE_S = 0.2
FAILURE_PENALTY_S = 1.0
"""Time for which an upstream is avoided after a failure; each further one in a row doubles it."""
MAX_PENALTY_S = 4.0
SILENT_AFTER_FAILURES = 2
"""Consecutive failures after which requests for the keys of an upstream are refused until its
penalty is over."""
SAMPLE_SIZE = 4
"""Number of randomly sampled upstreams of which the best is chosen. All hosts know the same counts
of requests, reported every 0.4 s; without sampling they would all choose the same upstream."""
COST_JITTER = 0.1
"""Largest random addition to a cost, as a share of it. It spreads hosts over upstreams of nearly
equal cost."""
REMOTE_COST_FACTOR = 1.15
"""Cost factor of an upstream in another data centre; it must be this much better to be chosen."""
BULKY_REMOTE_COST_FACTOR = 1.5
"""The same for bulky requests, whose bodies take most of the bandwidth between data centres."""


class BlockReason(StrEnum):
    """Why an upstream may not be sent to."""

    LEAVING = "leaving"
    REPLACED = "replaced"
    SILENT = "silent"
    ASKED_TO_WAIT = "asked to wait"


@dataclass(frozen=True, slots=True, kw_only=True)
class Block:
    """Why an upstream may not be sent to, and until when as far as is known."""

    reason: BlockReason
    until: float


@dataclass(slots=True, kw_only=True)
class UpstreamState:
    """State of one upstream: its requests from this host, its response time and its failures.

    ``in_flight`` counts the requests in progress, ``response_s`` is a moving average, and
    ``failures`` counts consecutive failures. Until ``avoid_until`` other upstreams are preferred.
    ``replaced`` is the incarnation and address at which another upstream answered, if any.
    ``paused`` is the incarnation that asked this host to wait, and until when.
    """

    in_flight: int = 0
    response_s: float = INITIAL_RESPONSE_S
    failures: int = 0
    avoid_until: float = 0.0
    replaced: tuple[UpstreamIncarnation, str] | None = None
    paused: tuple[UpstreamIncarnation, float] | None = None

    def note_pause(self, life: UpstreamIncarnation, until: float) -> None:
        """Record that an incarnation wants no request of this host until a given time.

        A longer time that it asked for before holds on, and so does one that a later incarnation
        asked for: answers of the earlier one may still arrive.
        """
        if self.paused is not None:
            paused_life, paused_until = self.paused
            if paused_life.started_ms > life.started_ms:
                return
            if paused_life == life:
                until = max(until, paused_until)
        self.paused = (life, until)

    def paused_until(self, entry: UpstreamEntry, now: float) -> float | None:
        """Return until when the upstream wants no request of this host, or ``None``."""
        if self.paused is None or self.paused[0] != entry.life or self.paused[1] <= now:
            return None
        return self.paused[1]

    def note_replaced(self, entry: UpstreamEntry) -> None:
        """Record that another upstream answered at the address of an entry."""
        self.replaced = (entry.life, entry.address)

    def is_replaced(self, entry: UpstreamEntry) -> bool:
        """Return whether another upstream answered at the address of this incarnation."""
        return self.replaced == (entry.life, entry.address)

    def silent_until(self, entry: UpstreamEntry, now: float) -> float | None:
        """Return the time until which the upstream counts as silent, or ``None`` if it does not."""
        if self.failures >= SILENT_AFTER_FAILURES and self.avoid_until > now:
            return self.avoid_until
        return None

    def note_success(self, seconds: float) -> None:
        """Record a response time and clear the penalty."""
        self.response_s += RESPONSE_TIME_WEIGHT * (seconds - self.response_s)
        self.failures = 0
        self.avoid_until = 0.0

    def note_failure(self, now: float) -> None:
        """Record that no usable response came, and extend the penalty."""
        self.failures += 1
        penalty = FAILURE_PENALTY_S * 2 ** (self.failures - 1)
        self.avoid_until = now + min(penalty, MAX_PENALTY_S)

    def note_full(self, now: float, seconds: float) -> None:
        """Record that the upstream rejected a request as full, and avoid it for ``seconds``."""
        self.avoid_until = max(self.avoid_until, now + seconds)


class UpstreamStates:
    """States by upstream, and the choice of an upstream for requests without a key."""

    def __init__(self, *, data_centre: str) -> None:
        self._data_centre = data_centre
        self._states: dict[str, UpstreamState] = {}
        self._random = random.Random()

    def of(self, upstream_id: str) -> UpstreamState:
        """Return the state of an upstream, created at first use."""
        return self._states.setdefault(upstream_id, UpstreamState())

    def busy(self) -> dict[str, int]:
        """Return the number of requests in progress at each upstream that has any."""
        return {name: state.in_flight for name, state in self._states.items() if state.in_flight}

    def block(self, entry: UpstreamEntry, *, now: float, keyed: bool) -> Block | None:
        """Return why a request may not be sent to an upstream now, or ``None`` if it may.

        A silent upstream is blocked for the requests of its keys only (``keyed``); for others it is
        merely the last choice.
        """
        if entry.draining:
            return Block(reason=BlockReason.LEAVING, until=math.inf)
        state = self.of(entry.upstream_id)
        if state.is_replaced(entry):
            return Block(reason=BlockReason.REPLACED, until=now + MAX_PENALTY_S)
        paused_until = state.paused_until(entry, now)
        if paused_until is not None:
            return Block(reason=BlockReason.ASKED_TO_WAIT, until=paused_until)
        silent_until = state.silent_until(entry, now) if keyed else None
        if silent_until is not None:
            return Block(reason=BlockReason.SILENT, until=silent_until)
        return None

    def first_resumption(self, upstreams: Sequence[UpstreamEntry], *, now: float) -> float | None:
        """Return when the first of some upstreams takes requests again that asked to wait."""
        times = [self.of(entry.upstream_id).paused_until(entry, now) for entry in upstreams]
        return min((at for at in times if at is not None), default=None)

    def choose(
        self,
        upstreams: Sequence[UpstreamEntry],
        *,
        tried: Collection[str],
        now: float,
        expected_s: Callable[[UpstreamEntry], float],
        bulky: bool = False,
    ) -> UpstreamEntry | None:
        """Return the best of a random sample of upstreams, or ``None`` if none is left.

        ``expected_s`` returns the expected response time of an upstream. Upstreams that are to be
        avoided now are only considered if all others are ruled out. ``bulky`` requests leave this
        data centre only for a clearly better upstream.
        """
        options = [entry for entry in upstreams if entry.upstream_id not in tried]
        options = [e for e in options if self.block(e, now=now, keyed=False) is None]
        preferred = [e for e in options if self.of(e.upstream_id).avoid_until <= now]
        options = preferred or options
        if not options:
            return None
        remote_factor = BULKY_REMOTE_COST_FACTOR if bulky else REMOTE_COST_FACTOR
        return min(
            self._sample(options),
            key=lambda entry: self._cost(entry, expected_s(entry), remote_factor),
        )

    def _sample(self, options: Sequence[UpstreamEntry]) -> Sequence[UpstreamEntry]:
        """Return ``SAMPLE_SIZE`` options at random, half of them local if there are so many."""
        if len(options) <= SAMPLE_SIZE:
            return options
        local = [entry for entry in options if entry.data_centre == self._data_centre]
        sample = self._random.sample(local, min(SAMPLE_SIZE // 2, len(local)))
        sampled_ids = {entry.upstream_id for entry in sample}
        rest = [entry for entry in options if entry.upstream_id not in sampled_ids]
        return sample + self._random.sample(rest, SAMPLE_SIZE - len(sample))

    def _cost(self, entry: UpstreamEntry, expected_s: float, remote_factor: float) -> float:
        """Return the expected response time with jitter, raised for remote and cold upstreams."""
        cost = expected_s * (1.0 + COST_JITTER * self._random.random())
        if entry.data_centre != self._data_centre:
            cost *= remote_factor
        return cost * (2.0 if entry.cold_s > 0 else 1.0)

"""A simulated fleet of upstreams under a load that changes over time, without a network.

Requests arrive at the rates of a flood and are added to the load history a little later. The moves
of each round take effect after the time that a release and a grant take.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from acaciasaddle.fleet import UpstreamIncarnation
from acaciasaddle.keyspace import KEY_COUNT
from acaciasaddle.keyspace import Candidate
from acaciasaddle.keyspace import KeyMap
from acaciasaddle.keyspace import LoadHistory
from acaciasaddle.keyspace import LoadSample
from acaciasaddle.keyspace import Owner
from acaciasaddle.keyspace import Span
from acaciasaddle.keyspace import plan_moves

ROUND_S = 0.25
REPORT_DELAY_S = 0.4
"""Hosts report requests at most this long after their arrival. The simulation adds a request to the
load history in the first round after this time."""
MOVE_S = 0.5
"""Duration of a move: a release waits for the work in progress on its keys."""
SATURATED_SLOWNESS = 3.0
"""Factor by which queueing lengthens the response times of an upstream that rejects requests."""
NEAR_KEYS = 500
WARMUP_S = 8.0
SERVICE = "s"


@dataclass(slots=True, kw_only=True)
class Flood:
    """A load on a fleet, and the simulation of its effect.

    ``rate`` is the total number of requests/s, of which ``hot_rate`` are for the hot keys from time
    0 on, and ``near_share`` of the rest at any time for the keys around them. Each upstream serves
    ``served_rate`` requests/s. ``moves`` counts the planned moves, ``hot_key_moves`` those of the
    first hot key, and ``accepted_shares`` has the time of each round and the share of its requests
    that were accepted, all from time 0 on. ``full`` are the upstreams that rejected requests in the
    last round.
    """

    upstreams: int
    rate: float
    served_rate: float
    hot_rate: float = 0.0
    first_hot_key: int = 20_000
    hot_key_count: int = 1
    near_share: float = 0.0
    seed: int = 1
    moves: int = 0
    hot_key_moves: int = 0
    full: set[Owner] = field(default_factory=set)
    owners: KeyMap = field(default_factory=lambda: KeyMap(spans=(), fence=0, version=1))
    accepted_shares: list[tuple[float, float]] = field(default_factory=list)

    def simulate(self, until_s: float) -> None:
        """Simulate the fleet up to a time, from ``WARMUP_S`` before the flood starts at 0."""
        rng = random.Random(self.seed)
        history = LoadHistory()
        unreported: list[tuple[float, LoadSample]] = []
        moves_in_progress: list[tuple[float, Span]] = []
        now = -WARMUP_S
        while now < until_s:
            arrived = self._arrivals(rng, hot=now >= 0)
            if now >= 0:
                self._accept(now, arrived)
            unreported += [(now, _sample(key)) for key in arrived]
            reported = [sample for at, sample in unreported if at <= now - REPORT_DELAY_S]
            unreported = [item for item in unreported if item[0] > now - REPORT_DELAY_S]
            history.add(reported, now=now)
            for at, span in moves_in_progress:
                if at <= now:
                    self._complete_move(span)
            moves_in_progress = [item for item in moves_in_progress if item[0] > now]
            moves_in_progress += [(now + MOVE_S, span) for span in self._plan(history, now)]
            now += ROUND_S

    def mean_accepted_share(self, first_s: float, last_s: float) -> float:
        """Return the mean share of requests accepted by their owner in the rounds of a period."""
        shares = [share for at, share in self.accepted_shares if first_s <= at < last_s]
        return sum(shares) / len(shares)

    def owners_of_hot_keys(self) -> int:
        """Return the number of upstreams that own hot keys."""
        keys = range(self.first_hot_key, self.first_hot_key + self.hot_key_count)
        return len({span.owner for key in keys if (span := self.owners.find(key))})

    def other_keys_of_hot_owner(self) -> int:
        """Return the number of keys, besides the first hot one, that its owner holds."""
        span = self.owners.find(self.first_hot_key)
        assert span is not None
        return sum(each.keys.size for each in self.owners.spans if each.owner == span.owner) - 1

    def _arrivals(self, rng: random.Random, *, hot: bool) -> list[int]:
        hot_rate = self.hot_rate if hot else 0.0
        count = round((self.rate - hot_rate) * ROUND_S)
        near = round(count * self.near_share)
        keys = [rng.randrange(KEY_COUNT) for _ in range(count - near)]
        keys += [self.first_hot_key + rng.randint(-NEAR_KEYS, NEAR_KEYS) for _ in range(near)]
        hot_count = round(hot_rate * ROUND_S)
        return keys + [
            self.first_hot_key + rng.randrange(self.hot_key_count) for _ in range(hot_count)
        ]

    def _accept(self, now: float, arrived: list[int]) -> None:
        by_owner: dict[Owner, int] = {}
        for key in arrived:
            span = self.owners.find(key)
            if span is not None and not span.moving:
                by_owner[span.owner] = by_owner.get(span.owner, 0) + 1
        capacity = self.served_rate * ROUND_S
        # A queue accepts what exceeds the capacity of a round, up to the same number again. It is
        # assumed to be empty at the start of every round.
        self.full = {owner for owner, count in by_owner.items() if count > capacity * 2}
        accepted = sum(min(count, capacity * 2) for count in by_owner.values())
        self.accepted_shares.append((now, accepted / len(arrived)))

    def _plan(self, history: LoadHistory, now: float) -> list[Span]:
        moves = plan_moves(
            owners=self.owners,
            candidates=[
                Candidate(owner=owner, capacity=2.0 / SATURATED_SLOWNESS ** (owner in self.full))
                for owner in map(_owner, range(self.upstreams))
            ],
            load=history.key_load(SERVICE, now=now),
            balance=True,
        )
        spans = []
        for move in moves:
            fence = self.owners.fence + 1
            span = Span(
                keys=move.keys, owner=move.target, fence=fence, moving=True, previous=move.source
            )
            self.owners = self.owners.replaced(move.keys, [span], fence=fence)
            spans.append(span)
            self.hot_key_moves += now >= 0 and self.first_hot_key in move.keys
        self.moves += len(moves) if now >= 0 else 0
        return spans

    def _complete_move(self, span: Span) -> None:
        current = self.owners.find(span.keys.first)
        if current is not None and current.fence == span.fence:
            completed = replace(current, moving=False, previous=None)
            self.owners = self.owners.replaced(current.keys, [completed], fence=self.owners.fence)


def _owner(number: int) -> Owner:
    return Owner(
        incarnation=UpstreamIncarnation(upstream_id=f"u{number}", started_ms=1),
        address=f"{number}:1",
    )


def _sample(key: int) -> LoadSample:
    return LoadSample(service=SERVICE, key=key, upstream_id="", seconds=-1.0)

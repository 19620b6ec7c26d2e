"""Policies for a service that urgent and bulky work share, on the same seeds.

Run ``PYTHONPATH=src:. python benchmarks/shared_service.py``; it prints the table of
docs/decisions/0010-shared-service.md. Nothing here touches a network or a clock.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from dataclasses import field

from features.support.shared_service import BULKY_RANK
from features.support.shared_service import URGENT_RANK
from features.support.shared_service import SharedService
from features.support.shared_service import Upstream

from acaciasaddle.forward import RecentArrivals

SEEDS = range(1, 11)
SECONDS = 20.0
HOSTS = 12
CAPACITY = 128.0
"""Requests/s of 16 upstreams with 2 slots and 250 ms of work."""
SHARE = 0.5
"""Part of the capacity that each rank may always use in the shares policy."""
INCREASE = 1.0
"""Requests/s that a host adds to its rate in a second without a rejection."""
DECREASE = 0.5
"""Part of its rate that a host keeps after a rejection."""
WINDOW_S = 0.5
"""A host reduces its rate once at most in this time, as the feedback interval of the paper."""


class FirstCome(SharedService):
    """Takes whatever arrives; upstreams shed what does not fit their queue."""

    def refuses(self, chosen: Upstream, rank: int, now: float, recent: RecentArrivals) -> bool:
        return False


class StrictRank(SharedService):
    """Bulky work only where a slot is known to be free."""

    def refuses(self, chosen: Upstream, rank: int, now: float, recent: RecentArrivals) -> bool:
        if rank == BULKY_RANK and recent.has_more_urgent("s", rank):
            return chosen.reported_requests >= self.slots
        return super().refuses(chosen, rank, now, recent)


@dataclass(slots=True, kw_only=True)
class Shares(SharedService):
    """Each rank has a half of the capacity, and what the other one does not use."""

    last: dict[int, float] = field(default_factory=lambda: {URGENT_RANK: 0.0, BULKY_RANK: 0.0})
    credit: dict[int, float] = field(default_factory=lambda: {URGENT_RANK: 0.0, BULKY_RANK: 0.0})

    def refuses(self, chosen: Upstream, rank: int, now: float, recent: RecentArrivals) -> bool:
        earned = SHARE * CAPACITY * (now - self.last[rank])
        self.credit[rank] = min(self.credit[rank] + earned, CAPACITY * WINDOW_S)
        self.last[rank] = now
        if self.credit[rank] >= 1:
            self.credit[rank] -= 1
            return False
        return chosen.reported_requests >= self.slots


@dataclass(slots=True, kw_only=True)
class AdditiveIncrease(SharedService):
    """A limit on the rate of each host: the rule of draft-wang-appsawg-end2end-overload-control.

    The rate grows by a constant while nothing is rejected, and is cut to a part at a rejection.
    """

    rates: list[float] = field(default_factory=lambda: [CAPACITY / HOSTS] * HOSTS)
    tokens: list[float] = field(default_factory=lambda: [0.0] * HOSTS)
    last: list[float] = field(default_factory=lambda: [0.0] * HOSTS)
    cut_at: list[float] = field(default_factory=lambda: [0.0] * HOSTS)
    host: int = 0
    rng: random.Random = field(default_factory=lambda: random.Random(5))

    def refuses(self, chosen: Upstream, rank: int, now: float, recent: RecentArrivals) -> bool:
        host = self.host = self.rng.randrange(HOSTS)
        passed = now - self.last[host]
        self.rates[host] += INCREASE * passed
        self.tokens[host] = min(self.tokens[host] + passed * self.rates[host], 2.0)
        self.last[host] = now
        if self.tokens[host] < 1:
            return True
        self.tokens[host] -= 1
        return False

    def shed(self, rank: int, now: float) -> None:
        if now - self.cut_at[self.host] >= WINDOW_S:
            self.rates[self.host] *= DECREASE
            self.cut_at[self.host] = now


POLICIES: dict[str, type[SharedService]] = {
    "first come, first served": FirstCome,
    "strict rank": StrictRank,
    "shares": Shares,
    "additive increase, multiplicative decrease": AdditiveIncrease,
    "deadline, bulky yields (the product)": SharedService,
}
FLOODS = {
    "calm": (45.0, 40.0),
    "bulky x 2.5": (45.0, 110.0),
    "bulky x 5": (45.0, 220.0),
    "urgent x 2.5": (110.0, 40.0),
}


def main() -> None:
    """Print a row for each policy, and a column for each flood."""
    print("| policy | " + " | ".join(FLOODS) + " |")
    print("|---" * (len(FLOODS) + 1) + "|")
    for name, policy in POLICIES.items():
        cells = [_cell(policy, *rates) for rates in FLOODS.values()]
        print(f"| {name} | " + " | ".join(cells) + " |")


def _cell(policy: type[SharedService], urgent: float, bulky: float) -> str:
    plays = []
    for seed in SEEDS:
        service = policy()
        service.simulate(urgent=urgent, bulky=bulky, seconds=SECONDS, seed=seed)
        plays.append(service)
    parts = [sum(each.served_share(rank) for each in plays) / len(plays) for rank in (0, 2)]
    busy = sum(each.busy_s for each in plays) / len(plays) / (plays[0].upstreams * 2 * SECONDS)
    return f"{parts[0]:.2f}/{parts[1]:.2f} ({busy:.2f})"


if __name__ == "__main__":
    main()

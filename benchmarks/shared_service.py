"""Compares admission policies for a service that urgent and bulky work share, on the same seeds.

Run ``PYTHONPATH=src:. python benchmarks/shared_service.py``; it prints the table of
docs/decisions/0010-shared-service.md. This is a simulation without a network or a real clock.
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
DURATION_S = 20.0
HOST_COUNT = 12
CAPACITY_PER_S = 128.0
"""Requests/s that 16 upstreams with 2 slots and 250 ms of work can serve."""
RANK_SHARE = 0.5
"""Part of the capacity that each rank may always use under the policy ``Shares``."""
RATE_INCREASE_PER_S = 1.0
"""Requests/s by which a host raises its rate in each second."""
RATE_DECREASE_FACTOR = 0.5
"""Factor by which a host multiplies its rate when an upstream has shed one of its requests."""
FEEDBACK_WINDOW_S = 0.5
"""Shortest time between two reductions of a host's rate.

This is the feedback interval of the draft that ``AdditiveIncrease`` follows. Under ``Shares``, a
rank saves up at most the capacity of this time.
"""


class FirstCome(SharedService):
    """Accepts every request; upstreams shed requests that find their queue full."""

    def refuses_request(
        self, chosen: Upstream, rank: int, now: float, recent: RecentArrivals
    ) -> bool:
        return False


class StrictRank(SharedService):
    """While more urgent work arrives, accepts bulky work only if the last report shows a free slot.

    Everything else is decided as by the router.
    """

    def refuses_request(
        self, chosen: Upstream, rank: int, now: float, recent: RecentArrivals
    ) -> bool:
        if rank == BULKY_RANK and recent.has_more_urgent("s", rank):
            return chosen.reported_requests >= self.slots
        return super().refuses_request(chosen, rank, now, recent)


@dataclass(slots=True, kw_only=True)
class Shares(SharedService):
    """Gives each rank half of the capacity, and more if the last report shows a free slot."""

    credited_at: dict[int, float] = field(
        default_factory=lambda: {URGENT_RANK: 0.0, BULKY_RANK: 0.0}
    )
    credit: dict[int, float] = field(default_factory=lambda: {URGENT_RANK: 0.0, BULKY_RANK: 0.0})

    def refuses_request(
        self, chosen: Upstream, rank: int, now: float, recent: RecentArrivals
    ) -> bool:
        earned = RANK_SHARE * CAPACITY_PER_S * (now - self.credited_at[rank])
        self.credit[rank] = min(self.credit[rank] + earned, CAPACITY_PER_S * FEEDBACK_WINDOW_S)
        self.credited_at[rank] = now
        if self.credit[rank] >= 1:
            self.credit[rank] -= 1
            return False
        return chosen.reported_requests >= self.slots


@dataclass(slots=True, kw_only=True)
class AdditiveIncrease(SharedService):
    """Limits the rate of each host as draft-wang-appsawg-end2end-overload-control does.

    Each request arrives at a random host. The rate of a host grows steadily. When an upstream sheds
    one of its requests, the rate is multiplied by ``RATE_DECREASE_FACTOR``, at most once per
    feedback window.
    """

    rates: list[float] = field(default_factory=lambda: [CAPACITY_PER_S / HOST_COUNT] * HOST_COUNT)
    tokens: list[float] = field(default_factory=lambda: [0.0] * HOST_COUNT)
    updated_at: list[float] = field(default_factory=lambda: [0.0] * HOST_COUNT)
    reduced_at: list[float] = field(default_factory=lambda: [0.0] * HOST_COUNT)
    current_host: int = 0
    rng: random.Random = field(default_factory=lambda: random.Random(5))

    def refuses_request(
        self, chosen: Upstream, rank: int, now: float, recent: RecentArrivals
    ) -> bool:
        host = self.current_host = self.rng.randrange(HOST_COUNT)
        elapsed_s = now - self.updated_at[host]
        self.rates[host] += RATE_INCREASE_PER_S * elapsed_s
        self.tokens[host] = min(self.tokens[host] + elapsed_s * self.rates[host], 2.0)
        self.updated_at[host] = now
        if self.tokens[host] < 1:
            return True
        self.tokens[host] -= 1
        return False

    def shed(self, rank: int, now: float) -> None:
        if now - self.reduced_at[self.current_host] >= FEEDBACK_WINDOW_S:
            self.rates[self.current_host] *= RATE_DECREASE_FACTOR
            self.reduced_at[self.current_host] = now


POLICIES: dict[str, type[SharedService]] = {
    "first come, first served": FirstCome,
    "strict rank": StrictRank,
    "shares": Shares,
    "additive increase, multiplicative decrease": AdditiveIncrease,
    "deadline, bulky yields (the router)": SharedService,
}
LOADS = {
    "calm": (45.0, 40.0),
    "bulky x 2.5": (45.0, 110.0),
    "bulky x 5": (45.0, 220.0),
    "urgent x 2.5": (110.0, 40.0),
}
"""Arriving requests/s of urgent and of bulky work."""


def main() -> None:
    """Print a table with a row for each policy and a column for each load.

    A cell has the shares of the urgent and of the bulky requests that were served in time, and in
    brackets the work of the upstreams in relation to their capacity.
    """
    print("| policy | " + " | ".join(LOADS) + " |")
    print("|---" * (len(LOADS) + 1) + "|")
    for name, policy in POLICIES.items():
        cells = [_table_cell(policy, *rates) for rates in LOADS.values()]
        print(f"| {name} | " + " | ".join(cells) + " |")


def _table_cell(policy: type[SharedService], urgent: float, bulky: float) -> str:
    runs = []
    for seed in SEEDS:
        service = policy()
        service.simulate(urgent=urgent, bulky=bulky, seconds=DURATION_S, seed=seed)
        runs.append(service)
    shares = [sum(run.served_share(rank) for run in runs) / len(runs) for rank in (0, 2)]
    busy_share = sum(run.busy_s for run in runs) / len(runs) / (runs[0].upstreams * 2 * DURATION_S)
    return f"{shares[0]:.2f}/{shares[1]:.2f} ({busy_share:.2f})"


if __name__ == "__main__":
    main()

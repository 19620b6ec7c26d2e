"""Simulation of a service without keys that urgent and bulky requests share.

Many hosts choose upstreams by the number of requests that each upstream had at the last report.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass
from dataclasses import field

from acaciasaddle.forward import RecentArrivals
from acaciasaddle.forward import expected_response_s
from acaciasaddle.forward import retry_after_s

REPORT_INTERVAL_S = 0.4
"""Time between two reports of the hosts."""
SAMPLED_UPSTREAMS = 4
"""Number of random upstreams of which a host chooses the one expected to respond first."""
URGENT_RANK, BULKY_RANK = 0, 2
DEADLINES_S = {URGENT_RANK: 1.2, BULKY_RANK: 4.0}
SERVICE = "s"


@dataclass(slots=True)
class Upstream:
    """An upstream with slots and a queue.

    ``reported_requests`` is the number of its requests at the time of the last report.
    """

    free_at: list[float]
    end_times: list[float] = field(default_factory=list)
    reported_requests: int = 0

    def requests(self, now: float) -> int:
        """Return the number of requests that are queued or in a slot."""
        self.end_times = [end for end in self.end_times if end > now]
        return len(self.end_times)


@dataclass(slots=True, kw_only=True)
class SharedService:
    """The simulated service.

    It counts the requests that arrived and those that were served in time, by rank.
    """

    upstreams: int = 16
    slots: int = 2
    queue: int = 8
    work_s: float = 0.25
    bulky_yields: bool = True
    arrived: dict[int, int] = field(default_factory=lambda: {URGENT_RANK: 0, BULKY_RANK: 0})
    served_in_time: dict[int, int] = field(default_factory=lambda: {URGENT_RANK: 0, BULKY_RANK: 0})
    busy_s: float = 0.0

    def simulate(self, *, urgent: float, bulky: float, seconds: float, seed: int = 3) -> None:
        """Simulate arrivals at the given rates per second."""
        rng = random.Random(seed)
        recent = RecentArrivals()
        fleet = [Upstream(free_at=[0.0] * self.slots) for _ in range(self.upstreams)]
        now = reported_at = 0.0
        while now < seconds:
            now += rng.expovariate(urgent + bulky)
            if now - reported_at >= REPORT_INTERVAL_S:
                reported_at = now
                for upstream in fleet:
                    upstream.reported_requests = upstream.requests(now)
            rank = URGENT_RANK if rng.random() < urgent / (urgent + bulky) else BULKY_RANK
            self.arrived[rank] += 1
            recent.note(SERVICE, rank, now=now)
            chosen = min(rng.sample(fleet, SAMPLED_UPSTREAMS), key=self._expected_response_s)
            if not self.refuses_request(chosen, rank, now, recent):
                self._serve(chosen, rank, now, self.work_s * rng.uniform(0.5, 1.5))

    def refuses_request(
        self, chosen: Upstream, rank: int, now: float, recent: RecentArrivals
    ) -> bool:
        """Return whether the host refuses a request, by the policy of the router."""
        yields = self.bulky_yields and rank == BULKY_RANK and recent.has_more_urgent(SERVICE, rank)
        seconds = retry_after_s(
            slot_s=self.work_s,
            busy=chosen.reported_requests,
            slots=self.slots,
            remaining_s=DEADLINES_S[rank],
            yields=yields,
        )
        return seconds is not None

    def shed(self, rank: int, now: float) -> None:
        """Called for a request that finds its upstream's queue full; does nothing by default."""

    def served_share(self, rank: int) -> float:
        """Return the share of the requests of a rank that were served in time."""
        return self.served_in_time[rank] / self.arrived[rank]

    def _expected_response_s(self, upstream: Upstream) -> float:
        return expected_response_s(
            slot_s=self.work_s, busy=upstream.reported_requests, slots=self.slots
        )

    def _serve(self, upstream: Upstream, rank: int, now: float, work_s: float) -> None:
        if upstream.requests(now) >= self.slots + self.queue:
            self.shed(rank, now)
            return
        start = max(now, heapq.heappop(upstream.free_at))
        if start > now + DEADLINES_S[rank]:
            heapq.heappush(upstream.free_at, start)
            return
        heapq.heappush(upstream.free_at, start + work_s)
        upstream.end_times.append(start + work_s)
        self.busy_s += work_s
        self.served_in_time[rank] += start + work_s <= now + DEADLINES_S[rank]

"""Compares admission policies on a virtual clock; prints Markdown tables and JSON.

Run ``PYTHONPATH=src python benchmarks/policies.py``. Seeds are fixed, so each run prints the same
output. ``--constants`` compares values of the admission limits instead.
"""

from __future__ import annotations

import argparse
import json
import math
import random
import statistics
from collections import defaultdict
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from heapq import heappop
from heapq import heappush
from typing import TYPE_CHECKING
from typing import Any

import trio
from trio._core import _run as trio_run
from trio.testing import MockClock

from acaciasaddle.clock import TrioClock
from acaciasaddle.config import Kind
from acaciasaddle.config import Rank
from acaciasaddle.config import Rules
from acaciasaddle.dispatch._queue import DEFAULT_LIMITS
from acaciasaddle.dispatch._queue import UpstreamQueue
from acaciasaddle.dispatch._waiting import SlotRequest
from acaciasaddle.errors import RefusedError
from acaciasaddle.model import UnitId
from acaciasaddle.model import UpstreamId
from acaciasaddle.observe import NullMetrics

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from acaciasaddle.dispatch._queue import AdmissionLimits

SEED = 20261204
POLICIES = ("fifo", "strict", "deadline", "shares")
INGRESS_COUNT = 11
NETWORK_S = 0.001
SERVICE_TIME_SIGMA = 0.5
"""Sigma of log-normal service times, for which the 99th percentile is 2.8 times the mean."""

MIN_RATE_PER_S = 0.2
"""Lowest rate to which AIMD reduces an ingress. A slower one would hardly notice free slots."""


@dataclass(frozen=True, kw_only=True)
class Work:
    """A kind of work with a mean service time.

    ``load`` is the part of all slot time that it takes on an ordinary day.
    """

    kind: Kind
    service_s: float
    load: float


@dataclass(frozen=True, kw_only=True)
class Service:
    """A service with the work that arrives at one of its upstreams within ``seconds``."""

    name: str
    slots: int
    seconds: float
    ranks: tuple[Rank, ...]
    works: tuple[Work, ...]

    @property
    def rules(self) -> Rules:
        """The rules with the default admission policy; ``serve_from_queue`` replaces it."""
        return Rules(ranks=self.ranks, kinds=tuple(work.kind for work in self.works))

    def work(self, *, rank: int, bulky: bool = False) -> Work:
        """Return the kind of work of a rank that is, or is not, bulky."""
        name = self.ranks[rank].name
        return next(
            work for work in self.works if work.kind.rank == name and work.kind.bulky == bulky
        )


def _kind(name: str, rank: str, weight: float, target_ms: int, *, bulky: bool = False) -> Kind:
    return Kind(
        name=name,
        service="s",
        method="POST",
        path="/{key}",
        rank=rank,
        weight=weight,
        target_ms=target_ms,
        bulky=bulky,
    )


def _ranks(*targets: int) -> tuple[Rank, ...]:
    names, shares = ("urgent", "normal", "low"), (0.5, 0.3, 0.2)
    return tuple(
        Rank(name=name, target_ms=target_ms, share=share)
        for name, target_ms, share in zip(names, targets, shares, strict=True)
    )


SERVICES = (
    Service(
        name="bookings (2 slots)",
        slots=2,
        seconds=30.0,
        ranks=_ranks(400, 600, 3000),
        works=(
            Work(kind=_kind("deposit", "urgent", 5, 400), service_s=0.06, load=0.15),
            Work(kind=_kind("availability", "normal", 1, 600), service_s=0.04, load=0.25),
            Work(kind=_kind("repertoire", "low", 0.5, 3000), service_s=0.05, load=0.10),
            Work(kind=_kind("recording", "low", 2, 30_000, bulky=True), service_s=2.0, load=0.10),
        ),
    ),
    Service(
        name="convoy-desk (6 slots)",
        slots=6,
        seconds=10.0,
        ranks=_ranks(400, 600, 3000),
        works=(
            Work(kind=_kind("escort", "urgent", 5, 400), service_s=0.06, load=0.15),
            Work(kind=_kind("slot lookup", "normal", 1, 600), service_s=0.04, load=0.25),
            Work(kind=_kind("survey status", "low", 0.5, 3000), service_s=0.05, load=0.10),
            Work(kind=_kind("survey", "low", 2, 60_000, bulky=True), service_s=2.0, load=0.10),
        ),
    ),
)


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """Load that is added to an ordinary day, in multiples of the slots' capacity.

    ``slow_factor`` multiplies all service times.
    """

    name: str
    flood_rank: int = -1
    flood_load: float = 0.0
    bulky_load: float = 0.0
    slow_factor: float = 1.0


SCENARIOS = (
    Scenario(name="ordinary day"),
    *(
        Scenario(
            name=f"flood of {name} work at {load} times capacity", flood_rank=r, flood_load=load
        )
        for r, name in ((2, "the least urgent"), (0, "the most urgent"))
        for load in (2, 5, 10)
    ),
    Scenario(name="bulky uploads at 1.5 times capacity", bulky_load=1.5),
    Scenario(name="slow but healthy upstream (4 times the service time)", slow_factor=4.0),
)


@dataclass(kw_only=True)
class Arrival:
    """A request and its result. ``latency`` is ``None`` if it got no response."""

    at: float
    work: Work
    rank: int
    service_s: float
    latency: float | None = None

    @property
    def target_s(self) -> float:
        """Seconds within which the response is useful."""
        return (self.work.kind.target_ms or 0) / 1000

    @property
    def useful(self) -> bool:
        """Whether the response came in time."""
        return self.latency is not None and self.latency <= self.target_s


def generate_arrivals(service: Service, scenario: Scenario) -> list[Arrival]:
    """Return the requests of a scenario, which are the same for each policy."""
    arrivals: list[Arrival] = []
    ranks = [rank.name for rank in service.ranks]

    def add_stream(label: str, work: Work, load: float) -> None:
        rng = random.Random(f"{SEED}/{service.name}/{label}/{work.kind.name}")
        rate = load * service.slots / work.service_s
        at = 0.0
        while rate and (at := at + rng.expovariate(rate)) < service.seconds:
            mu = math.log(work.service_s) - SERVICE_TIME_SIGMA**2 / 2
            arrivals.append(
                Arrival(
                    at=at,
                    work=work,
                    rank=ranks.index(work.kind.rank),
                    service_s=rng.lognormvariate(mu, SERVICE_TIME_SIGMA) * scenario.slow_factor,
                )
            )

    # The labels are part of the seeds, so another label gives other arrivals.
    for work in service.works:
        add_stream("day", work, work.load)
    if scenario.flood_load:
        add_stream("flood", service.work(rank=scenario.flood_rank), scenario.flood_load)
    if scenario.bulky_load:
        add_stream("bulky", service.work(rank=2, bulky=True), scenario.bulky_load)
    return sorted(arrivals, key=lambda arrival: arrival.at)


async def _replay_arrivals(arrivals: list[Arrival], start: Callable[[Arrival], None]) -> None:
    for arrival in arrivals:
        await trio.sleep_until(arrival.at)
        start(arrival)


async def serve_from_queue(
    service: Service, arrivals: list[Arrival], policy: Any, limits: AdmissionLimits
) -> None:
    """Serve the requests from one queue, as the dispatcher does."""
    clock = TrioClock()
    rules = replace(service.rules, admission=policy)
    unit = UnitId("s", "default", 0)
    queue = UpstreamQueue(
        upstream=UpstreamId("s", "u"),
        clock=clock,
        metrics=NullMetrics(),
        rules=rules,
        limits=limits,
    )
    queue.configure(rules=rules, slots=service.slots)

    async def serve(arrival: Arrival) -> None:
        now = clock.now()
        request = SlotRequest(
            unit=unit,
            kind=arrival.work.kind.name,
            rank=arrival.rank,
            bulky=arrival.work.kind.bulky,
            arrived=now,
            deadline=now + arrival.target_s,
        )
        try:
            await queue.acquire(request, paused=False)
        except RefusedError:
            return
        await trio.sleep(arrival.service_s)
        queue.release(request, observed=True)
        arrival.latency = clock.now() - now

    async with trio.open_nursery() as nursery:
        await _replay_arrivals(arrivals, lambda arrival: nursery.start_soon(serve, arrival))


@dataclass(kw_only=True)
class UpstreamSlots:
    """An upstream without a dispatcher; runs ``size`` requests, queues as many, sheds the rest."""

    size: int
    busy: int = 0
    waiting: list[trio.Event] = field(default_factory=list)

    async def run(self, seconds: float) -> bool:
        """Run a request; return false if it was shed."""
        if self.busy >= self.size:
            if len(self.waiting) >= self.size:
                return False
            slot_freed = trio.Event()
            self.waiting.append(slot_freed)
            await slot_freed.wait()
        else:
            self.busy += 1
        await trio.sleep(seconds)
        if self.waiting:
            self.waiting.pop(0).set()
        else:
            self.busy -= 1
        return True


class AimdIngress:
    """An ingress that limits its own rate to an upstream.

    The limit follows additive increase, multiplicative decrease; each rank has a fixed share of it.
    """

    def __init__(self, *, service: Service, slots: UpstreamSlots, nursery: trio.Nursery) -> None:
        self._slots = slots
        self._nursery = nursery
        # At first, all ingresses together send as much as the slots serve at 0.05 s per request.
        self.rate = service.slots / 0.05 / INGRESS_COUNT
        self._queues: list[list[tuple[float, int, Arrival]]] = [[] for _ in service.ranks]
        self._queue_filled = [trio.Event() for _ in service.ranks]
        self._sequence = 0
        for rank, rank_settings in enumerate(service.ranks):
            nursery.start_soon(self._send_paced, rank, rank_settings.share)

    def add(self, arrival: Arrival) -> None:
        """Queue a request."""
        self._sequence += 1
        heappush(
            self._queues[arrival.rank], (arrival.at + arrival.target_s, self._sequence, arrival)
        )
        self._queue_filled[arrival.rank].set()

    async def _send_paced(self, rank: int, share: float) -> None:
        queue = self._queues[rank]
        while True:
            while not queue:
                self._queue_filled[rank] = trio.Event()
                await self._queue_filled[rank].wait()
            deadline, _, arrival = heappop(queue)
            if trio.current_time() + arrival.work.service_s > deadline:
                continue
            self._nursery.start_soon(self._send, arrival)
            await trio.sleep(1 / (self.rate * share))

    async def _send(self, arrival: Arrival) -> None:
        await trio.sleep(NETWORK_S)
        if await self._slots.run(arrival.service_s):
            self.rate += 1 / max(self.rate, 1.0)
            arrival.latency = trio.current_time() - arrival.at
        else:
            self.rate = max(MIN_RATE_PER_S, self.rate / 2)
            self.add(arrival)


async def serve_by_aimd(service: Service, arrivals: list[Arrival]) -> None:
    """Serve the requests through uncoordinated ingresses, the alternative to one queue."""
    slots = UpstreamSlots(size=service.slots)
    rng = random.Random(SEED)
    async with trio.open_nursery() as nursery:
        ingresses = [
            AimdIngress(service=service, slots=slots, nursery=nursery) for _ in range(INGRESS_COUNT)
        ]
        await _replay_arrivals(arrivals, lambda arrival: rng.choice(ingresses).add(arrival))
        await trio.sleep(max(arrival.target_s for arrival in arrivals))
        nursery.cancel_scope.cancel()


def simulate(
    service: Service, scenario: Scenario, policy: str, limits: AdmissionLimits = DEFAULT_LIMITS
) -> list[Arrival]:
    """Run a scenario under a policy, or under ``aimd``, and return its requests."""
    arrivals = generate_arrivals(service, scenario)
    clock = MockClock(autojump_threshold=0)
    # By default, trio runs tasks that are due at the same time in a random order.
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r.seed(SEED)
    if policy == "aimd":
        trio.run(serve_by_aimd, service, arrivals, clock=clock)
    else:
        trio.run(serve_from_queue, service, arrivals, policy, limits, clock=clock)
    return arrivals


@dataclass(frozen=True, kw_only=True)
class Figures:
    """Results of a run. Shares are 0 to 1, times are in milliseconds, lists have one item per rank.

    ``way`` names the policy, or the variant of the limits. ``in_time`` is the share of requests
    answered in time, weighted by kind. ``kept`` is the weight answered in time divided by that of
    an ordinary day under the same policy; it exceeds 1 for a rank that is served more than on that
    day, as in a flood. ``value`` is the weight answered in time per second. ``goodput`` is the slot
    time of responses in time as a share of all slot time, or of the service time of all requests if
    that is less. ``p50_ms`` and ``p99_ms`` leave out bulky requests; -1 stands for no response.
    """

    way: str
    in_time: list[float]
    kept: list[float]
    value: float
    goodput: float
    p50_ms: list[float]
    p99_ms: list[float]


def weight_in_time(arrivals: list[Arrival]) -> dict[int, float]:
    """Return the weight of the requests that were answered in time, by rank."""
    weights: dict[int, float] = defaultdict(float)
    for arrival in arrivals:
        weights[arrival.rank] += arrival.work.kind.weight * arrival.useful
    return weights


def compute_figures(
    service: Service, label: str, arrivals: list[Arrival], ordinary: dict[int, float] | None
) -> Figures:
    """Return the figures of a run.

    ``ordinary`` is the weight in time of an ordinary day. Without it, ``kept`` is 1 for each rank
    with a response in time. For a rank without a response in time, ``kept`` is always 0.
    """
    ranks = range(len(service.ranks))
    offered: dict[int, float] = defaultdict(float)
    latencies_ms: dict[int, list[float]] = defaultdict(list)
    for arrival in arrivals:
        offered[arrival.rank] += arrival.work.kind.weight
        if arrival.latency is not None and not arrival.work.kind.bulky:
            latencies_ms[arrival.rank].append(arrival.latency * 1000)
    useful = weight_in_time(arrivals)
    possible_s = min(
        service.slots * service.seconds, sum(arrival.service_s for arrival in arrivals)
    )
    return Figures(
        way=label,
        in_time=[round(useful[rank] / offered[rank], 3) for rank in ranks],
        kept=[
            round(useful[rank] / (ordinary or useful)[rank], 2) if useful[rank] else 0.0
            for rank in ranks
        ],
        value=round(sum(useful.values()) / service.seconds, 1),
        goodput=round(
            sum(slot_time(arrival, service.seconds) for arrival in arrivals) / possible_s, 3
        ),
        p50_ms=[
            round(statistics.median(latencies_ms[rank])) if latencies_ms[rank] else -1
            for rank in ranks
        ],
        p99_ms=[
            round(percentile(latencies_ms[rank], 0.99)) if latencies_ms[rank] else -1
            for rank in ranks
        ],
    )


def slot_time(arrival: Arrival, end_s: float) -> float:
    """Return the seconds before ``end_s`` that a request held a slot; 0 if not answered in time."""
    if arrival.latency is None or not arrival.useful:
        return 0.0
    finished_at = arrival.at + arrival.latency
    return max(0.0, min(finished_at, end_s) - (finished_at - arrival.service_s))


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile; ``fraction`` is, for example, 0.99."""
    return sorted(values)[min(len(values) - 1, int(len(values) * fraction))]


def markdown_table(rows: list[Figures]) -> Iterator[str]:
    """Yield the lines of a Markdown table; figures by rank are urgent/normal/low."""
    yield "| policy or limits | in time % | kept % | value/s | goodput % | p50 ms | p99 ms |"
    yield "|---|---|---|---|---|---|---|"
    for row in rows:
        cells = (
            row.way,
            "/".join(f"{share * 100:.0f}" for share in row.in_time),
            "/".join(f"{share * 100:.0f}" for share in row.kept),
            f"{row.value:.1f}",
            f"{row.goodput * 100:.0f}",
            "/".join(f"{ms:.0f}" for ms in row.p50_ms),
            "/".join(f"{ms:.0f}" for ms in row.p99_ms),
        )
        yield "| " + " | ".join(cells) + " |"


def compare_policies() -> dict[str, Any]:
    """Print the comparison of the policies and return its figures."""
    results: dict[str, Any] = {}
    for service in SERVICES:
        print(f"## {service.name}\n\nFigures by rank: urgent/normal/low.\n")
        ordinary_weights: dict[str, dict[int, float]] = {}
        for scenario in SCENARIOS:
            rows = []
            for policy in (*POLICIES, "aimd"):
                arrivals = simulate(service, scenario, policy)
                ordinary_weights.setdefault(policy, weight_in_time(arrivals))
                rows.append(compute_figures(service, policy, arrivals, ordinary_weights[policy]))
            print(f"### {scenario.name}\n")
            print("\n".join(markdown_table(rows)), end="\n\n")
            results[f"{service.name}: {scenario.name}"] = [asdict(row) for row in rows]
    return results


def compare_limits() -> dict[str, Any]:
    """Print the comparison of admission limits under ``shares`` and return its figures."""
    variants = {
        "default": DEFAULT_LIMITS,
        **{
            f"min_time_factor {value}": replace(DEFAULT_LIMITS, min_time_factor=value)
            for value in (0, 1.5)
        },
        **{
            f"share_credit_s {value}": replace(DEFAULT_LIMITS, share_credit_s=value)
            for value in (0.02, 1.0, 4.0)
        },
        **{
            f"share_debt_s {value}": replace(DEFAULT_LIMITS, share_debt_s=value)
            for value in (0.25, 4)
        },
        **{
            f"bulky_fraction {value}": replace(DEFAULT_LIMITS, bulky_fraction=value)
            for value in (0.16, 0.99)
        },
    }
    scenarios = [scenario for scenario in SCENARIOS[1:] if scenario.flood_load in (0, 5)]
    results: dict[str, Any] = {}
    for service in SERVICES:
        for scenario in scenarios:
            rows = []
            for name, limits in variants.items():
                arrivals = simulate(service, scenario, "shares", limits)
                rows.append(compute_figures(service, name, arrivals, None))
            print(f"### {service.name}: {scenario.name}\n")
            print("\n".join(markdown_table(rows)), end="\n\n")
            results[f"{service.name}: {scenario.name}"] = [asdict(row) for row in rows]
    return results


def main() -> None:
    """Run the comparison that the command line selects."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--constants", action="store_true", help="compare values of the admission limits instead"
    )
    results = compare_limits() if parser.parse_args().constants else compare_policies()
    print("```json")
    print(json.dumps(results))
    print("```")


if __name__ == "__main__":
    main()

"""Compares admission policies on a virtual clock; prints Markdown tables and JSON.

Run with ``PYTHONPATH=src python benchmarks/policies.py``. Seeds are fixed, so that the output
is the same at each run. ``--constants`` compares values of the constants instead.
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
INGRESSES = 11
NETWORK_S = 0.001
SERVICE_SPREAD = 0.5
"""Sigma of the logarithm of service times: the 99th percentile is 2.8 times the mean."""

MIN_RATE = 0.2
"""Lowest rate of an AIMD throttle in requests/s; below, it would hardly notice free slots."""


@dataclass(frozen=True, kw_only=True)
class Work:
    """A kind of work and its part of the slot time on an ordinary day."""

    kind: Kind
    service_s: float
    load: float


@dataclass(frozen=True, kw_only=True)
class Service:
    """A service as one of its upstreams sees it."""

    name: str
    slots: int
    seconds: float
    ranks: tuple[Rank, ...]
    works: tuple[Work, ...]

    @property
    def rules(self) -> Rules:
        """The rules without a policy."""
        return Rules(ranks=self.ranks, kinds=tuple(work.kind for work in self.works))

    def work(self, *, rank: int, bulky: bool = False) -> Work:
        """Return the work of a rank."""
        name = self.ranks[rank].name
        return next(w for w in self.works if w.kind.rank == name and w.kind.bulky == bulky)


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
        Rank(name=n, target_ms=t, share=s) for n, t, s in zip(names, targets, shares, strict=True)
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
    """What happens besides an ordinary day. Loads are multiples of the slots' capacity."""

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
    """A request and what became of it. ``latency`` is ``None`` if it was refused."""

    at: float
    work: Work
    rank: int
    service_s: float
    latency: float | None = None

    @property
    def target(self) -> float:
        """Time within which the answer is useful, in seconds."""
        return (self.work.kind.target_ms or 0) / 1000

    @property
    def useful(self) -> bool:
        """Whether it was answered in time."""
        return self.latency is not None and self.latency <= self.target


def arrivals(service: Service, scenario: Scenario) -> list[Arrival]:
    """Return the requests of a scenario; the same for each policy."""
    found: list[Arrival] = []
    ranks = [rank.name for rank in service.ranks]

    def stream(label: str, work: Work, load: float) -> None:
        rng = random.Random(f"{SEED}/{service.name}/{label}/{work.kind.name}")
        rate = load * service.slots / work.service_s
        at = 0.0
        while rate and (at := at + rng.expovariate(rate)) < service.seconds:
            mu = math.log(work.service_s) - SERVICE_SPREAD**2 / 2
            found.append(
                Arrival(
                    at=at,
                    work=work,
                    rank=ranks.index(work.kind.rank),
                    service_s=rng.lognormvariate(mu, SERVICE_SPREAD) * scenario.slow_factor,
                )
            )

    for work in service.works:
        stream("day", work, work.load)
    if scenario.flood_load:
        stream("flood", service.work(rank=scenario.flood_rank), scenario.flood_load)
    if scenario.bulky_load:
        stream("bulky", service.work(rank=2, bulky=True), scenario.bulky_load)
    return sorted(found, key=lambda arrival: arrival.at)


async def _feed(found: list[Arrival], begin: Callable[[Arrival], None]) -> None:
    for arrival in found:
        await trio.sleep_until(arrival.at)
        begin(arrival)


async def one_queue(
    service: Service, found: list[Arrival], policy: Any, limits: AdmissionLimits
) -> None:
    """Serve the requests through one queue, as the dispatcher does."""
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
        item = SlotRequest(
            unit=unit,
            kind=arrival.work.kind.name,
            rank=arrival.rank,
            bulky=arrival.work.kind.bulky,
            arrived=now,
            deadline=now + arrival.target,
        )
        try:
            await queue.acquire(item, paused=False)
        except RefusedError:
            return
        await trio.sleep(arrival.service_s)
        queue.release(item, observed=True)
        arrival.latency = clock.now() - now

    async with trio.open_nursery() as nursery:
        await _feed(found, lambda arrival: nursery.start_soon(serve, arrival))


@dataclass(kw_only=True)
class Slots:
    """An upstream without a queue in front: runs ``size`` requests, keeps as many, sheds more."""

    size: int
    busy: int = 0
    waiting: list[trio.Event] = field(default_factory=list)

    async def run(self, seconds: float) -> bool:
        """Run a request; returns false if it was shed."""
        if self.busy >= self.size:
            if len(self.waiting) >= self.size:
                return False
            event = trio.Event()
            self.waiting.append(event)
            await event.wait()
        else:
            self.busy += 1
        await trio.sleep(seconds)
        if self.waiting:
            self.waiting.pop(0).set()
        else:
            self.busy -= 1
        return True


class Throttle:
    """An ingress that limits its own rate to an upstream by AIMD, with fixed shares per rank."""

    def __init__(self, *, service: Service, slots: Slots, nursery: trio.Nursery) -> None:
        self._slots = slots
        self._nursery = nursery
        self.rate = service.slots / 0.05 / INGRESSES
        self._queues: list[list[tuple[float, int, Arrival]]] = [[] for _ in service.ranks]
        self._wake = [trio.Event() for _ in service.ranks]
        self._seq = 0
        for rank, entry in enumerate(service.ranks):
            nursery.start_soon(self._pace, rank, entry.share)

    def add(self, arrival: Arrival) -> None:
        """Queue a request."""
        self._seq += 1
        heappush(self._queues[arrival.rank], (arrival.at + arrival.target, self._seq, arrival))
        self._wake[arrival.rank].set()

    async def _pace(self, rank: int, share: float) -> None:
        queue = self._queues[rank]
        while True:
            while not queue:
                self._wake[rank] = trio.Event()
                await self._wake[rank].wait()
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
            self.rate = max(MIN_RATE, self.rate / 2)
            self.add(arrival)


async def aimd(service: Service, found: list[Arrival]) -> None:
    """Serve the requests through uncoordinated ingresses, as the alternative to one queue."""
    slots = Slots(size=service.slots)
    rng = random.Random(SEED)
    async with trio.open_nursery() as nursery:
        throttles = [
            Throttle(service=service, slots=slots, nursery=nursery) for _ in range(INGRESSES)
        ]
        await _feed(found, lambda arrival: rng.choice(throttles).add(arrival))
        await trio.sleep(max(arrival.target for arrival in found))
        nursery.cancel_scope.cancel()


def simulate(
    service: Service, scenario: Scenario, way: str, limits: AdmissionLimits = DEFAULT_LIMITS
) -> list[Arrival]:
    """Run one scenario under one way and return its requests."""
    found = arrivals(service, scenario)
    clock = MockClock(autojump_threshold=0)
    # Trio otherwise runs tasks that are due at the same time in a random order.
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r.seed(SEED)
    if way == "aimd":
        trio.run(aimd, service, found, clock=clock)
    else:
        trio.run(one_queue, service, found, way, limits, clock=clock)
    return found


@dataclass(frozen=True, kw_only=True)
class Figures:
    """Results of a run; parts are 0 to 1, times in milliseconds, lists by rank.

    ``in_time`` weighs each answer by its kind. ``kept`` is the weight answered in time in
    relation to the ordinary day of the same way. ``goodput`` is the slot time of answers in
    time as part of what the slots could have done.
    """

    way: str
    in_time: list[float]
    kept: list[float]
    value: float
    goodput: float
    p50_ms: list[float]
    p99_ms: list[float]


def weight_in_time(found: list[Arrival]) -> dict[int, float]:
    """Return the weight of the answers in time, by rank."""
    total: dict[int, float] = defaultdict(float)
    for arrival in found:
        total[arrival.rank] += arrival.work.kind.weight * arrival.useful
    return total


def figures(
    service: Service, way: str, found: list[Arrival], day: dict[int, float] | None
) -> Figures:
    """Return the figures of a run; ``day`` is the weight in time of the ordinary day."""
    ranks = range(len(service.ranks))
    offered: dict[int, float] = defaultdict(float)
    times: dict[int, list[float]] = defaultdict(list)
    for arrival in found:
        offered[arrival.rank] += arrival.work.kind.weight
        if arrival.latency is not None and not arrival.work.kind.bulky:
            times[arrival.rank].append(arrival.latency * 1000)
    useful = weight_in_time(found)
    possible = min(service.slots * service.seconds, sum(a.service_s for a in found))
    return Figures(
        way=way,
        in_time=[round(useful[r] / offered[r], 3) for r in ranks],
        kept=[round(useful[r] / (day or useful)[r], 2) if useful[r] else 0.0 for r in ranks],
        value=round(sum(useful.values()) / service.seconds, 1),
        goodput=round(sum(slot_time(a, service.seconds) for a in found) / possible, 3),
        p50_ms=[round(statistics.median(times[r])) if times[r] else -1 for r in ranks],
        p99_ms=[round(percentile(times[r], 0.99)) if times[r] else -1 for r in ranks],
    )


def slot_time(arrival: Arrival, until: float) -> float:
    """Return the slot time before ``until`` of an answer in time, in seconds."""
    if arrival.latency is None or not arrival.useful:
        return 0.0
    end = arrival.at + arrival.latency
    return max(0.0, min(end, until) - (end - arrival.service_s))


def percentile(values: list[float], part: float) -> float:
    """Return a percentile, for example 0.99."""
    return sorted(values)[min(len(values) - 1, int(len(values) * part))]


def table(rows: list[Figures]) -> Iterator[str]:
    """Return a Markdown table; parts by rank are urgent/normal/low."""
    yield "| way | in time % | kept % | value/s | goodput % | p50 ms | p99 ms |"
    yield "|---|---|---|---|---|---|---|"
    for row in rows:
        cells = (
            row.way,
            "/".join(f"{part * 100:.0f}" for part in row.in_time),
            "/".join(f"{part * 100:.0f}" for part in row.kept),
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
        print(f"## {service.name}\n\nParts by rank: urgent/normal/low.\n")
        days: dict[str, dict[int, float]] = {}
        for scenario in SCENARIOS:
            rows = []
            for way in (*POLICIES, "aimd"):
                found = simulate(service, scenario, way)
                days.setdefault(way, weight_in_time(found))
                rows.append(figures(service, way, found, days[way]))
            print(f"### {scenario.name}\n")
            print("\n".join(table(rows)), end="\n\n")
            results[f"{service.name}: {scenario.name}"] = [asdict(row) for row in rows]
    return results


def compare_constants() -> dict[str, Any]:
    """Print the comparison of constants under the policy ``shares`` and return its figures."""
    variants = {
        "default": DEFAULT_LIMITS,
        **{f"min_time_factor {v}": replace(DEFAULT_LIMITS, min_time_factor=v) for v in (0, 1.5)},
        **{
            f"share_credit_s {v}": replace(DEFAULT_LIMITS, share_credit_s=v)
            for v in (0.02, 1.0, 4.0)
        },
        **{f"share_debt_s {v}": replace(DEFAULT_LIMITS, share_debt_s=v) for v in (0.25, 4)},
        **{f"bulky_fraction {v}": replace(DEFAULT_LIMITS, bulky_fraction=v) for v in (0.16, 0.99)},
    }
    chosen = [s for s in SCENARIOS[1:] if s.flood_load in (0, 5)]
    results: dict[str, Any] = {}
    for service in SERVICES:
        for scenario in chosen:
            rows = []
            for name, limits in variants.items():
                found = simulate(service, scenario, "shares", limits)
                rows.append(figures(service, name, found, None))
            print(f"### {service.name}: {scenario.name}\n")
            print("\n".join(table(rows)), end="\n\n")
            results[f"{service.name}: {scenario.name}"] = [asdict(row) for row in rows]
    return results


def main() -> None:
    """Run the comparison named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--constants", action="store_true", help="compare constants instead")
    results = compare_constants() if parser.parse_args().constants else compare_policies()
    print("```json")
    print(json.dumps(results))
    print("```")


if __name__ == "__main__":
    main()

"""Steps of forward/admission.feature."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass
from typing import Any

from behave import given
from behave import then
from behave import when
from features.support.shared_service import BULKY_RANK
from features.support.shared_service import URGENT_RANK
from features.support.shared_service import SharedService

from acaciasaddle.forward import retry_after_s

DEADLINE_S = 0.9
SEED = 7


@dataclass
class LoadResult:
    """Counts of the requests in one simulated load, and the busy time summed over the slots."""

    arrived: int = 0
    in_time: int = 0
    refused: int = 0
    busy_s: float = 0.0


def simulate_load(
    *, slots: int, slot_s: float, queue: int, rate: float, seconds: float, lag_s: float, admit: bool
) -> LoadResult:
    """Simulate arrivals at one owner whose number of requests is known ``lag_s`` late."""
    rng = random.Random(SEED)
    result = LoadResult()
    free_at = [0.0] * slots
    departures: list[float] = []
    counts: list[tuple[float, int]] = [(0.0, 0)]
    now = 0.0
    while now < seconds:
        now += rng.expovariate(rate)
        result.arrived += 1
        departures = [end for end in departures if end > now]
        known = next((count for at, count in reversed(counts) if at <= now - lag_s), 0)
        counts.append((now, len(departures)))
        retry_s = retry_after_s(
            slot_s=slot_s,
            busy=known,
            slots=slots,
            remaining_s=DEADLINE_S,
        )
        if len(departures) >= slots + queue or (admit and retry_s is not None):
            result.refused += 1
            continue
        start = max(now, heapq.heappop(free_at))
        work = slot_s * rng.uniform(0.5, 1.5)
        if start > now + DEADLINE_S:
            heapq.heappush(free_at, start)
            continue
        heapq.heappush(free_at, start + work)
        departures.append(start + work)
        result.busy_s += work
        result.in_time += start + work - now <= DEADLINE_S
    return result


class AdmissionSteps:
    """Guards against requests that wait at an owner until their deadline has passed."""

    @staticmethod
    @given("an owner with {slots:d} slots, a slot time of {ms:d} ms and {busy:d} requests")
    def owner(context: Any, slots: int, ms: int, busy: int) -> None:
        context.slots, context.slot_s, context.busy = slots, ms / 1000, busy

    @staticmethod
    @when("a request with {remaining_ms:d} ms left arrives")
    def arrive(context: Any, remaining_ms: int) -> None:
        context.retry_after = retry_after_s(
            slot_s=context.slot_s,
            busy=context.busy,
            slots=context.slots,
            remaining_s=remaining_ms / 1000,
        )

    @staticmethod
    @then("it is admitted")
    def admitted(context: Any) -> None:
        assert context.retry_after is None, context.retry_after

    @staticmethod
    @then("it is refused")
    def refused(context: Any) -> None:
        assert context.retry_after is not None

    @staticmethod
    @then("its caller is told to retry after {ms:d} ms")
    def retry_after(context: Any, ms: int) -> None:
        assert abs(context.retry_after - ms / 1000) < 0.001, context.retry_after


class OverloadSteps:
    """Guards against needless refusals, and against slots that stay free under load."""

    @staticmethod
    @given(
        "an owner with {slots:d} slots, a slot time of {ms:d} ms, a queue of {queue:d} "
        "and arrivals at {factor:g} times its capacity"
    )
    def owner(context: Any, slots: int, ms: int, queue: int, factor: float) -> None:
        context.load = {
            "slots": slots,
            "slot_s": ms / 1000,
            "queue": queue,
            "rate": factor * slots * 1000 / ms,
        }

    @staticmethod
    @when("the load lasts {seconds:g} s and the known counts are {lag:g} s old")
    def simulate(context: Any, seconds: float, lag: float) -> None:
        context.seconds = seconds
        context.with_admission, context.without_admission = (
            simulate_load(**context.load, seconds=seconds, lag_s=lag, admit=admit)
            for admit in (True, False)
        )

    @staticmethod
    @then("with admission control more requests are served before their deadline than without")
    def served_more(context: Any) -> None:
        found = (context.with_admission.in_time, context.without_admission.in_time)
        assert found[0] > found[1], found

    @staticmethod
    @then("the owner's slots are busy for at least {share:g} of the time")
    def slots_busy(context: Any, share: float) -> None:
        possible = context.seconds * context.load["slots"]
        assert context.with_admission.busy_s >= share * possible, context.with_admission

    @staticmethod
    @then("at most {share:g} of the requests are refused")
    def refused_share(context: Any, share: float) -> None:
        result = context.with_admission
        assert result.refused <= share * result.arrived, result


class SharedServiceSteps:
    """Guards against bulky requests that displace urgent ones."""

    @staticmethod
    @given(
        "a service of {upstreams:d} upstreams with {slots:d} slots and {ms:d} ms of work, "
        "{rate:d} requests/s in all"
    )
    def service(context: Any, upstreams: int, slots: int, ms: int, rate: int) -> None:
        assert rate == upstreams * slots * 1000 // ms
        context.shared, context.unyielding = (
            SharedService(upstreams=upstreams, slots=slots, work_s=ms / 1000, bulky_yields=yields)
            for yields in (True, False)
        )

    @staticmethod
    @when("{urgent:d} urgent and {bulky:d} bulky requests/s arrive for {seconds:g} s")
    def simulate(context: Any, urgent: int, bulky: int, seconds: float) -> None:
        context.seconds = seconds
        for shared in (context.shared, context.unyielding):
            shared.simulate(urgent=urgent, bulky=bulky, seconds=seconds)

    @staticmethod
    @then("at least {percent:d}% of the bulky requests are served in time")
    def bulky_served(context: Any, percent: int) -> None:
        share = context.shared.served_share(BULKY_RANK)
        assert share >= percent / 100, share

    @staticmethod
    @then("urgent requests are served in time at least as often as bulky ones")
    def urgent_served_first(context: Any) -> None:
        found = (context.shared.served_share(URGENT_RANK), context.shared.served_share(BULKY_RANK))
        assert found[0] >= found[1], found

    @staticmethod
    @then("more urgent requests are served in time than if bulky ones did not yield")
    def served_more(context: Any) -> None:
        found = (
            context.shared.served_share(URGENT_RANK),
            context.unyielding.served_share(URGENT_RANK),
        )
        assert found[0] > found[1], found

    @staticmethod
    @then("the slots of the service are busy for at least {percent:d}% of the time")
    def slots_busy(context: Any, percent: int) -> None:
        shared = context.shared
        share = shared.busy_s / (shared.upstreams * shared.slots * context.seconds)
        assert share >= percent / 100, share

"""Measures the peak memory of a node under uploads, large responses and configurations.

Run ``PYTHONPATH=src:. python benchmarks/memory.py``. Each case starts a node of its own, real
processes for the node and the store, and prints one JSON object: the peak of the node's resident
memory in MB of 10^6 bytes, the MB of bodies that were in progress at once (offered, and held at the
same time at most if the node reports it), the statuses that callers saw (0: no complete answer) and
the longest time of a request. The last line has the slope: the peaks of the uploads of 2 MB above
the idle node, by least squares against the bytes offered.
"""

from __future__ import annotations

import argparse
import functools
import json
import statistics
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import trio
from features.support.large_bodies import HOST_MEMORY_MB
from features.support.large_bodies import MB
from features.support.large_bodies import running_node

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from features.support.large_bodies import LargeBodies

WORK_S = 1.0
"""Time for which the upstream keeps a request after its whole body, so that bodies are held."""
SETTLE_S = 0.5
CHANGES = 20
CHANGE_INTERVAL_S = 0.1
SLOPE_COUNTS = (1, 4, 8, 12)


@dataclass(frozen=True, slots=True, kw_only=True)
class Case:
    """A load on a node: ``count`` requests at once, with sizes in MB, and configurations."""

    name: str
    routes: int = 0
    uploads: tuple[tuple[int, float], ...] = ()
    answers: tuple[tuple[int, float], ...] = ()
    chunk_bytes: int = 0
    read_mb_per_s: float = 0.0
    changes: int = 0
    rounds: int = 1
    hosts: int = 1

    @property
    def offered_mb(self) -> float:
        """MB of all bodies of one round."""
        return sum(count * size for count, size in (*self.uploads, *self.answers))


ALL_UPLOADS = ((4, 45.0), (20, 2.0), (200, 0.3))
CASES = (
    Case(name="idle"),
    Case(name="idle, 1,640 routes", routes=1_640),
    Case(name="idle, 3,240 routes", routes=3_240),
    Case(name="configurations, 1,640 routes", routes=1_640, changes=CHANGES),
    Case(name="configurations, 3,240 routes", routes=3_240, changes=CHANGES),
    Case(name="configurations, 3,240 routes, 3 hosts", routes=3_240, changes=CHANGES, hosts=3),
    Case(name="1 x 45 MB", uploads=((1, 45.0),)),
    Case(name="1 x 67 MB", uploads=((1, 67.0),)),
    Case(name="4 x 45 MB", uploads=((4, 45.0),)),
    Case(name="4 x 67 MB", uploads=((4, 67.0),)),
    Case(name="20 x 2 MB", uploads=((20, 2.0),)),
    Case(name="20 x 2 MB, chunked", uploads=((20, 2.0),), chunk_bytes=16_384),
    Case(name="200 x 0.3 MB", uploads=((200, 0.3),)),
    Case(name="200 x 0.3 MB, 5 rounds", uploads=((200, 0.3),), rounds=5),
    Case(name="mixed sizes, 5 rounds", uploads=((8, 5.0), (16, 1.5), (40, 0.4)), rounds=5),
    Case(name="answers 20 x 10 MB, slow readers", answers=((20, 10.0),), read_mb_per_s=2.0),
    Case(name="600 x 0.3 MB, 3 rounds", uploads=((600, 0.3),), rounds=3),
    Case(name="1500 x 0.06 MB, 3 rounds", uploads=((1500, 0.06),), rounds=3),
    Case(
        name="all together",
        routes=3_240,
        changes=CHANGES,
        uploads=ALL_UPLOADS,
        answers=((10, 10.0),),
        read_mb_per_s=2.0,
    ),
)


async def measure(case: Case, memory_mb: int) -> dict[str, Any]:
    """Run a case and return its figures."""
    async with running_node(
        routes=case.routes, work_s=WORK_S, memory_mb=memory_mb, hosts=case.hosts
    ) as node:
        async with trio.open_nursery() as nursery:
            if case.changes:
                change = functools.partial(
                    node.change_configuration,
                    times=case.changes,
                    interval_s=CHANGE_INTERVAL_S,
                    routes=case.routes,
                )
                nursery.start_soon(change)
            for _ in range(case.rounds):
                await _round(node, case)
        await trio.sleep(SETTLE_S)
        return {
            "case": case.name,
            "offered_mb": round(case.offered_mb, 1),
            "peak_mb": round(node.memory_mb(), 1),
            "after_mb": round(node.memory_mb("VmRSS"), 1),
            "seen": dict(sorted(node.seen.items())),
            "longest_s": round(max(node.seconds, default=0.0), 2),
        }


async def _round(node: LargeBodies, case: Case) -> None:
    async with trio.open_nursery() as nursery:
        for count, size in case.uploads:
            send: Callable[[], Awaitable[int]] = functools.partial(
                node.request, body_bytes=int(size * MB), chunk_bytes=case.chunk_bytes
            )
            for _ in range(count):
                nursery.start_soon(send)
        for count, size in case.answers:
            ask: Callable[[], Awaitable[int]] = functools.partial(
                node.request, answer_bytes=int(size * MB), read_mb_per_s=case.read_mb_per_s
            )
            for _ in range(count):
                nursery.start_soon(ask)


async def measure_slope(memory_mb: int) -> dict[str, Any]:
    """Return bytes of peak memory per byte of bodies in progress."""
    points = []
    for count in SLOPE_COUNTS:
        result = await measure(Case(name="", uploads=((count, 2.0),)), memory_mb)
        points.append((result["offered_mb"], result["peak_mb"]))
    offered, peaks = zip(*points, strict=True)
    slope, base = statistics.linear_regression(offered, peaks)
    return {"slope": round(slope, 2), "base_mb": round(base, 1), "points": points}


def main() -> None:
    """Print the figures of each case, and the slope."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", default="", help="run the cases whose name has this text")
    parser.add_argument("--memory-mb", type=int, default=HOST_MEMORY_MB)
    args = parser.parse_args()
    for case in CASES:
        if args.only in case.name:
            print(json.dumps(trio.run(measure, case, args.memory_mb)), flush=True)
    if args.only in "slope":
        print(json.dumps(trio.run(measure_slope, args.memory_mb)), flush=True)


if __name__ == "__main__":
    main()

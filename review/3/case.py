"""An endpoint gets a renewal of keys that are being taken from it, and holds them beside the next.

Endpoints leave a few orders unanswered and carry them out late, as `applied_late` does, and the
answer to one renewal is held up on a link that loses packets, as with `lossy`. Meanwhile endpoints
are emptied, one after the other (`scale_in`). Without the disruption they are only emptied.
"""

from __future__ import annotations

import asyncio
import os
import random
import sys
import traceback
from pathlib import Path

from standins.client import Clients
from standins.fleet import Fleet
from standins.fleet import manifest
from standins.record import Record
from standins.upstream import Upstream

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENDPOINTS = 20
LEAVING = 8
LEAVE_EVERY_S = 8.0
REQUESTS_PER_S = 60
SETTLE_S = 4.0
LIMIT_S = 108.0
ANSWER_HELD_UP_S = 0.6
"""A packet that is lost twice: 0.2 s until the first repeat, 0.4 s until the second."""
APPLIED_LATE_S = 8.0
RELEASES_UNANSWERED = 3
HELD_BY_TWO_S = 0.5


class LateUpstream(Upstream):
    """Once it is to leave, leaves a renewal unanswered, and the releases of the keys of the next.

    These are far fewer than the share ``x`` of the orders to all endpoints meanwhile.
    """

    unanswered_grants = 0
    held_up_answers = 0
    held_up: dict | None = None
    orders = 0
    unanswered = 0

    async def leave(self) -> None:
        """Report that this endpoint is draining, while the answer to a renewal is held up."""
        if TROUBLE:
            self.unanswered_grants, self.held_up_answers = 1, 1
            self.orders = self.unanswered = 0
            while self.held_up_answers:
                await asyncio.sleep(0.01)
        self.state = "draining"
        self.report_once()
        self.record.add("draining", endpoint=self.name)

    async def grant(self, order: dict) -> bytes | None:
        self.orders += 1
        if self.unanswered_grants:
            self.unanswered_grants = 0
            self.unanswered += 1
            self.record.add("grant left unanswered", endpoint=self.name, **order)
            # Carried out late, its time counts from its arrival, so it has ended by then.
            await asyncio.sleep(APPLIED_LATE_S)
            return None
        answer = await super().grant(order)
        if self.held_up_answers:
            self.held_up_answers, self.held_up = 0, order
            self.record.add("answer held up", endpoint=self.name, **order)
            await asyncio.sleep(ANSWER_HELD_UP_S)
        return answer

    async def release(self, order: dict) -> bytes | None:
        self.orders += 1
        held_up = self.held_up
        if (
            held_up is None
            or order["from"] > held_up["to"]
            or order["to"] < held_up["from"]
            or self.unanswered > RELEASES_UNANSWERED
        ):
            return await super().release(order)
        self.unanswered += 1
        self.record.add("release left unanswered", endpoint=self.name, **order)
        await asyncio.sleep(APPLIED_LATE_S)
        await super().release(order)
        return None


async def play(record: Record) -> int:
    fleet = Fleet(record=record, nodes=3)
    clients = Clients(record=record)
    try:
        await fleet.start_store()
        fleet.store.write_json("op", "config", manifest())
        upstreams = []
        for index in range(ENDPOINTS):
            upstream = LateUpstream(
                name=f"i-{index:02}",
                service="bookings",
                zone=f"zone-{index % 2 + 1}",
                store=fleet.store,
                record=record,
                work_s=0.1,
            )
            upstreams.append(upstream)
            await upstream.start()
        if not await fleet.start_nodes():
            return 2
        await asyncio.sleep(SETTLE_S)
        async with asyncio.TaskGroup() as group:
            group.create_task(traffic(fleet, clients))
            for upstream in upstreams[:LEAVING]:
                await upstream.leave()
                await asyncio.sleep(LEAVE_EVERY_S)
        for upstream in upstreams[:LEAVING]:
            record.add(
                "orders of a leaving endpoint",
                endpoint=upstream.name,
                orders=upstream.orders,
                unanswered=upstream.unanswered,
            )
    finally:
        await fleet.stop()
    return check(record)


async def traffic(fleet: Fleet, clients: Clients) -> None:
    keys = random.Random(1)
    async with asyncio.TaskGroup() as group:
        for number in range(int(LEAVING * (LEAVE_EVERY_S + 2) * REQUESTS_PER_S)):
            node = fleet.nodes[number % len(fleet.nodes)]
            group.create_task(
                clients.send(
                    node,
                    method="POST",
                    path=f"/deposit/{number}",
                    key=keys.randrange(65_536),
                    body=b"deposit",
                )
            )
            await asyncio.sleep(1 / REQUESTS_PER_S)


def check(record: Record) -> int:
    """Check OWNER: two endpoints hold the same key for over half a second."""
    served = sum(event["status"] == 200 for event in record.of("answered"))
    if served < 100:
        record.add("not played", reason="fewer than 100 requests were served")
        return 2
    # Key ranges that each endpoint holds, as intervals of time.
    intervals: list[list] = []
    open_by: dict[tuple[str, int], list] = {}
    for event in record.events:
        if event["event"] not in ("held", "released"):
            continue
        for key in range(-(-event["from"] // 16) * 16, event["to"] + 1, 16):
            current = open_by.get((event["endpoint"], key))
            if event["event"] == "released":
                if current is not None and current[3] > event["at"]:
                    current[3] = event["at"]
                open_by.pop((event["endpoint"], key), None)
            elif current is not None and current[3] >= event["at"]:
                current[3] = event["until"]
            else:
                current = [key, event["endpoint"], event["at"], event["until"]]
                open_by[event["endpoint"], key] = current
                intervals.append(current)
    by_key: dict[int, list] = {}
    for interval in intervals:
        by_key.setdefault(interval[0], []).append(interval)
    worst: tuple[float, list, list] | None = None
    keys = 0
    for held in by_key.values():
        held.sort(key=lambda item: item[2])
        overlaps = [
            (min(left[3], right[3]) - right[2], left, right)
            for index, left in enumerate(held)
            for right in held[index + 1 :]
            if left[1] != right[1] and min(left[3], right[3]) - right[2] > HELD_BY_TWO_S
        ]
        keys += bool(overlaps)
        for overlap in overlaps:
            worst = max(worst, overlap) if worst else overlap
    record.add("result", served=served, keys_checked=len(by_key), keys_with_two=keys, worst=worst)
    print(f"{served} served; {keys} of {len(by_key)} keys had two holders; worst: {worst}")
    return 1 if keys else 0


def main() -> int:
    record = Record(Path(sys.argv[1]))
    try:
        return asyncio.run(asyncio.wait_for(play(record), LIMIT_S))
    except Exception:
        traceback.print_exc()
        return 2
    finally:
        record.close()


sys.exit(main())

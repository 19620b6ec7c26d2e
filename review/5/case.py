"""A few uploads within the manifest's limit, at once, take more memory than a machine has.

As the platform does it, a process that exceeds the memory of its machine is killed and started
again. Without the disruption, the same uploads come to the same machines one after the other.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import traceback
from pathlib import Path

from standins.client import Clients
from standins.fleet import MEMORY_LIMIT_BYTES
from standins.fleet import Fleet
from standins.fleet import Node
from standins.fleet import manifest
from standins.record import Record
from standins.upstream import Upstream

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
UPLOAD_BYTES = 45_000_000
UPLOADS = 4
ROUNDS = 4
ROUND_S = 6.0
REQUESTS_PER_S = 60
WATCH_S = 0.005
ENDS_THAT_BREAK_THE_RULE = 3
MACHINES_THAT_BREAK_THE_RULE = 2
LOST_THAT_KEEP_THE_RULE = 3
LIMIT_S = 108.0


async def watch_memory(fleet: Fleet, record: Record, peak: dict[str, int]) -> None:
    """Kill a process that exceeds its machine's memory."""
    while True:
        for node in fleet.nodes:
            used = node.memory_bytes()
            peak[node.name] = max(peak.get(node.name, 0), used)
            if used > MEMORY_LIMIT_BYTES:
                record.add("memory exceeded, process killed", node=node.name, bytes=used)
                node.signal(signal.SIGKILL)
        await asyncio.sleep(WATCH_S)


async def play(record: Record) -> int:
    fleet = Fleet(record=record, nodes=3)
    clients = Clients(record=record)
    peak: dict[str, int] = {}
    try:
        await fleet.start_store()
        fleet.store.write_json("op", "config", manifest())
        for index in range(16):
            upstream = Upstream(
                name=f"i-{index}",
                service="bookings" if index < 12 else "roster",
                keyed=index < 12,
                zone=f"zone-{index % 2 + 1}",
                store=fleet.store,
                record=record,
            )
            await upstream.start()
        if not await fleet.start_nodes():
            return 2
        await asyncio.sleep(2.0)
        memory = asyncio.create_task(watch_memory(fleet, record, peak))
        async with asyncio.TaskGroup() as group:
            group.create_task(deposits(fleet, clients))
            for node in fleet.nodes[:MACHINES_THAT_BREAK_THE_RULE]:
                group.create_task(uploads(node, clients))
        await asyncio.sleep(2.0)
        memory.cancel()
        ends = {node.name: node.own_ends for node in fleet.nodes}
    finally:
        await fleet.stop()
    return check(record, ends, peak)


async def deposits(fleet: Fleet, clients: Clients) -> None:
    keys = random.Random(1)
    async with asyncio.TaskGroup() as group:
        for number in range(int((ROUNDS + 1) * ROUND_S * REQUESTS_PER_S)):
            group.create_task(
                clients.send(
                    fleet.nodes[number % len(fleet.nodes)],
                    method="POST",
                    path=f"/deposit/{number}",
                    key=keys.randrange(65_536),
                    body=b"deposit",
                )
            )
            await asyncio.sleep(1 / REQUESTS_PER_S)


async def uploads(node: Node, clients: Clients) -> None:
    body = bytes(UPLOAD_BYTES)
    for number in range(ROUNDS):
        await asyncio.sleep(ROUND_S)
        tasks = []
        for part in range(UPLOADS):
            task = asyncio.create_task(
                clients.send(node, method="POST", path=f"/upload/{number}-{part}", body=body)
            )
            tasks.append(task)
            if not TROUBLE:
                await task
        await asyncio.gather(*tasks)


def check(record: Record, ends: dict[str, int], peak: dict[str, int]) -> int:
    """Check Fault (processes that end, memory counts) and LOST (passed on, then cut off)."""
    answered = record.of("answered")
    served = sum(event["status"] == 200 for event in answered)
    if served < 100:
        record.add("not played", reason="fewer than 100 requests were served")
        return 2
    run = {event["id"] for event in record.of("run")}
    lost = [e["id"] for e in answered if e["status"] is None and e["kept"] and e["id"] in run]
    often = [name for name, count in ends.items() if count >= ENDS_THAT_BREAK_THE_RULE]
    fault = len(often) >= MACHINES_THAT_BREAK_THE_RULE
    record.add("result", served=served, own_ends=ends, fault=fault, lost=lost, peak_bytes=peak)
    print(
        f"{served} served; own ends {ends}; peak {peak}; "
        f"{len(lost)} run and cut off on kept connections"
    )
    return 1 if len(lost) > LOST_THAT_KEEP_THE_RULE else 0


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

"""An entry of another writer ends the process that coordinates the keys, again and again.

The entry names a service that no manifest names, and an integer that needs more than 64 bits.
Without the disruption it is not written.
"""

from __future__ import annotations

import asyncio
import json
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
FOREIGN_ENTRY = json.dumps(
    {
        "service": "printing",
        "address": "127.0.0.1:9",
        "zone": "zone-1",
        "capacity": 4,
        "state": "ready",
        "born": 0x5E0C7A21D94B36F85E0C7A21D94B36F8,
        "sequence": 1,
    }
).encode()
ENDPOINTS = 24
REQUESTS_PER_S = 90
WORK_S = 0.29
BEFORE_S = 6.0
AFTER_S = 20.0
FOREIGN_S = 10.0
HEARTBEAT_S = 0.87
ENDS_THAT_BREAK_THE_RULE = 3
MACHINES_THAT_BREAK_THE_RULE = 2
LOST_THAT_KEEP_THE_RULE = 3

LIMIT_S = 108.0


async def play(record: Record) -> int:
    fleet = Fleet(record=record, nodes=3)
    clients = Clients(record=record)
    try:
        await fleet.start_store()
        fleet.store.write_json("op", "config", manifest())
        for index in range(ENDPOINTS):
            upstream = Upstream(
                name=f"i-{index}",
                service="bookings",
                zone=f"zone-{index % 2 + 1}",
                store=fleet.store,
                record=record,
                work_s=WORK_S,
            )
            await upstream.start()
        if not await fleet.start_nodes():
            return 2
        await asyncio.sleep(2.0)
        keys = random.Random(1)
        async with asyncio.TaskGroup() as group:
            for number in range(int((BEFORE_S + AFTER_S) * REQUESTS_PER_S)):
                if TROUBLE and number == int(BEFORE_S * REQUESTS_PER_S):
                    group.create_task(write_foreign_entry(fleet, record))
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
        await asyncio.sleep(3.0)
        ends = {node.name: node.own_ends for node in fleet.nodes}
        for node in fleet.nodes:
            if node.own_ends:
                record.add("log of the process", node=node.name, text=node.log_tail())
    finally:
        await fleet.stop()
    return check(record, ends)


async def write_foreign_entry(fleet: Fleet, record: Record) -> None:
    """Write the entry at every heartbeat for a while, and remove it then."""
    record.add("entry of another writer", bytes=len(FOREIGN_ENTRY))
    for _ in range(round(FOREIGN_S / HEARTBEAT_S)):
        fleet.store.write("servers", "i-foreign", FOREIGN_ENTRY)
        await asyncio.sleep(HEARTBEAT_S)
    fleet.store.write("servers", "i-foreign", None)
    record.add("entry removed")


def check(record: Record, ends: dict[str, int]) -> int:
    """Check Fault (processes that end by themselves) and LOST (passed on, then cut off)."""
    answered = record.of("answered")
    served = sum(event["status"] == 200 for event in answered)
    if served < 100:
        record.add("not played", reason="fewer than 100 requests were served")
        return 2
    run = {event["id"] for event in record.of("run")}
    lost = [e["id"] for e in answered if e["status"] is None and e["kept"] and e["id"] in run]
    often = [name for name, count in ends.items() if count >= ENDS_THAT_BREAK_THE_RULE]
    fault = len(often) >= MACHINES_THAT_BREAK_THE_RULE
    record.add(
        "result",
        served=served,
        without_an_answer=sum(event["status"] is None for event in answered),
        own_ends=ends,
        fault=fault,
        lost=lost,
    )
    print(f"{served} served; own ends {ends}; {len(lost)} run and cut off on kept connections")
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

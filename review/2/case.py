"""Late second copies of rejections: a request that must run once runs twice, or is called not run.

Endpoints reject part of the requests at random, as `srv_grey` with `shed` does, and part of them
send a second copy of some answers late, where the next answer on the connection is expected, as
`garble` with `extra late` does. Without the disruption they do neither.
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
from standins.http1 import Connection
from standins.http1 import Message
from standins.record import Record
from standins.upstream import Upstream

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SHED = 0.45
COPIED = 0.03
COPYING_SHARE = 0.6
ENDPOINTS = 32
REQUESTS_PER_S = 70
TRAFFIC_S = 80.0
SETTLE_S = 4.0
LIMIT_S = 108.0


class GreyUpstream(Upstream):
    """Rejects requests at random, and copies some answers if ``copies`` is set."""

    copies = False
    random = random.Random(24)

    async def serve_request(self, conn: Connection, message: Message) -> bytes | None:
        # The copy arrives where the answer to this request is expected.
        if conn.pending:
            conn.writer.write(conn.pending)
            self.record.add("late copy sent", endpoint=self.name, **conn.state)
            conn.pending = b""
        if TROUBLE and self.random.random() < SHED:
            answer = self.reject(message, 503)
        else:
            answer = await super().serve_request(conn, message)
        if self.copies and answer and self.random.random() < COPIED:
            conn.pending = answer
            conn.state = {"copy_of": message.fields.get("request-id", "")}
        return answer


async def play(record: Record) -> int:
    fleet = Fleet(record=record, nodes=3)
    clients = Clients(record=record)
    try:
        await fleet.start_store()
        fleet.store.write_json("op", "config", manifest())
        for index in range(ENDPOINTS):
            upstream = GreyUpstream(
                name=f"i-{index}",
                service="bookings",
                zone=f"zone-{index % 2 + 1}",
                store=fleet.store,
                record=record,
            )
            upstream.copies = TROUBLE and index < ENDPOINTS * COPYING_SHARE
            await upstream.start()
        if not await fleet.start_nodes():
            return 2
        await asyncio.sleep(SETTLE_S)
        keys = random.Random(1)
        async with asyncio.TaskGroup() as group:
            for number in range(int(TRAFFIC_S * REQUESTS_PER_S)):
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
    finally:
        await fleet.stop()
    return check(record)


def check(record: Record) -> int:
    """Check TWICE and REFUSED for requests that are not idempotent."""
    runs: dict[str, int] = {}
    for event in record.of("run"):
        runs[event["id"]] = runs.get(event["id"], 0) + 1
    answers = {event["id"]: event["status"] for event in record.of("answered")}
    if sum(status == 200 for status in answers.values()) < 100:
        record.add("not played", reason="fewer than 100 requests were served")
        return 2
    twice = sorted(name for name, count in runs.items() if count > 1)
    refused = sorted(
        name for name, status in answers.items() if status in (408, 421, 429, 503) and name in runs
    )
    record.add("result", requests=len(answers), run=len(runs), twice=twice, refused_but_run=refused)
    print(f"{len(answers)} requests, {len(twice)} run twice, {len(refused)} refused but run")
    return 1 if twice or refused else 0


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

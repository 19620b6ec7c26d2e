"""Stand-in for an endpoint: takes grants and releases of keys, and runs requests.

It behaves like a sound endpoint. Subclasses add what a case is about.
"""

from __future__ import annotations

import asyncio
import json
import time
import uuid

from standins.http1 import Connection
from standins.http1 import Message
from standins.http1 import json_response
from standins.http1 import response
from standins.http1 import serve
from standins.record import Record
from standins.store import Store

HEARTBEAT_S = 0.87
KEYS = 65_536


class Upstream:
    """One start of an endpoint. ``keyed`` endpoints only run requests for keys that they hold."""

    def __init__(
        self,
        *,
        name: str,
        service: str,
        zone: str,
        store: Store,
        record: Record,
        keyed: bool = True,
        slots: int = 2,
        queue: int = 8,
        work_s: float = 0.2,
    ) -> None:
        self.name, self.service, self.zone = name, service, zone
        self.store, self.record, self.keyed = store, record, keyed
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.address = ""
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.fences = [0] * KEYS
        self.lease_ends = [0.0] * KEYS
        self.running: dict[str, tuple[int, asyncio.Event]] = {}
        self.waiting = 0
        self._slots = asyncio.Semaphore(slots)
        self._sequence = 0

    async def start(self) -> None:
        self._server, self.address = await serve(self.handle)
        self._beat = asyncio.create_task(self._report())

    async def _report(self) -> None:
        while True:
            self.report_once()
            await asyncio.sleep(HEARTBEAT_S)

    def report_once(self) -> None:
        self._sequence += 1
        self.store.write_json(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "capacity": self.slots,
                "state": self.state,
                "slowStartS_time": 0,
                "sequence": self._sequence,
                "born": self.born,
            },
        )

    def holds(self, key: int) -> bool:
        return time.monotonic() < self.lease_ends[key]

    async def handle(self, conn: Connection, message: Message) -> bytes | None:
        target = message.fields.get("target-instance")
        if target and target != self.name:
            return response(421, {"Not-Executed": "1", "Instance-Id": self.name})
        if message.target == "/healthz":
            return response(200, {"Instance-Id": self.name})
        if message.target == "/acaciasaddle/grant":
            return await self.grant(json.loads(message.body))
        if message.target == "/acaciasaddle/release":
            return await self.release(json.loads(message.body))
        return await self.serve_request(conn, message)

    # Keys.

    async def grant(self, order: dict) -> bytes | None:
        keys = slice(order["from"], order["to"] + 1)
        count = order["to"] + 1 - order["from"]
        if max(self.fences[keys]) > order["fence"]:
            self.record.add("grant refused", endpoint=self.name, **order)
            return json_response(409, {})
        until = time.monotonic() + order["holdS"]
        self.fences[keys] = [order["fence"]] * count
        self.lease_ends[keys] = [until] * count
        self.record.add("held", endpoint=self.name, until=self.record.at(until), **order)
        return json_response(200, {})

    async def release(self, order: dict) -> bytes | None:
        first, last = order["from"], order["to"]
        for key in range(first, last + 1):
            self.fences[key] = max(self.fences[key], order["fence"])
            self.lease_ends[key] = 0.0
        self.record.add("released", endpoint=self.name, **order)
        ended = [event for key, event in self.running.values() if first <= key <= last]
        for event in ended:
            await event.wait()
        return json_response(200, {}, {"Handover": uuid.uuid4().hex[:16]})

    # Requests.

    def reject(self, message: Message, status: int) -> bytes:
        request_id = message.fields.get("request-id", "")
        self.record.add("rejected", id=request_id, endpoint=self.name, status=status)
        fields = {"Not-Executed": "1", "Instance-Id": self.name}
        if request_id:
            fields["Request-Id"] = request_id
        return response(status, fields)

    async def serve_request(self, conn: Connection, message: Message) -> bytes | None:
        if "request-id" not in message.fields:
            return self.reject(message, 400)
        key = int(message.fields.get("shard-key", "0"))
        if self.keyed and not self.holds(key):
            return self.reject(message, 421)
        if self.waiting >= self.queue:
            return self.reject(message, 503)
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        try:
            if self.keyed and not self.holds(key):
                return self.reject(message, 421)
            return await self.run(conn, message, key)
        finally:
            self._slots.release()

    async def run(self, conn: Connection, message: Message, key: int) -> bytes | None:
        request_id = message.fields["request-id"]
        self.record.add(
            "run",
            id=request_id,
            key=key,
            endpoint=self.name,
            method=message.method,
            bytes=len(message.body),
        )
        run_id, ended = uuid.uuid4().hex, asyncio.Event()
        self.running[run_id] = (key, ended)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            del self.running[run_id]
            ended.set()
        self.record.add("ended", id=request_id, endpoint=self.name)
        body = f"{request_id} done by {self.name}".encode()
        fields = {
            "Request-Id": request_id,
            "Response-Signature": uuid.uuid5(uuid.NAMESPACE_OID, request_id).hex,
        }
        return response(200, fields, body)

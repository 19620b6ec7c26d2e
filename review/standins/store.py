"""Stand-in for the platform's store: rows, conditional transactions and a feed of changes.

It also plays the operator and the writers of entries, which write rows directly.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from standins.http1 import Connection
from standins.http1 import Message
from standins.http1 import json_response
from standins.http1 import serve

ANSWER_S = 0.004
PREFIX = "/acaciasaddle/"


class Store:
    """A sound store. Rows of an empty part only, as the program uses no others."""

    def __init__(self) -> None:
        self.address = ""
        self._rows: dict[tuple[str, str], dict] = {}
        self._history: list[tuple[int, str, dict]] = []
        self._ver = 0
        self._changed = asyncio.Event()
        self._started = time.monotonic()

    async def start(self) -> None:
        self._server, self.address = await serve(self._handle)

    def write(self, table: str, key: str, value: bytes | None) -> int:
        """Write or remove a row, as the operator or an endpoint does, and return its version."""
        self._ver += 1
        self._put(table, key, None if value is None else base64.b64encode(value).decode())
        self._notify()
        return self._ver

    def write_json(self, table: str, key: str, value: object) -> int:
        return self.write(table, key, json.dumps(value).encode())

    def row(self, table: str, key: str) -> dict | None:
        return self._rows.get((table, key))

    def _put(self, table: str, key: str, value: str | None) -> None:
        row = {"table": table, "part": "", "key": key, "ver": self._ver}
        if value is None:
            self._rows.pop((table, key), None)
            row["deleted"] = True
        else:
            row["value"] = value
            self._rows[table, key] = row
        self._history.append((self._ver, table, row))

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, conn: Connection, message: Message) -> bytes | None:
        await asyncio.sleep(ANSWER_S)
        url = urlsplit(message.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        call = url.path.removeprefix(PREFIX)
        if call == "rows-tx" and message.method == "POST":
            return self._transact(json.loads(message.body))
        if call == "rows-get":
            rows = [row for (table, _), row in self._rows.items() if table == query["table"]]
            rows.sort(key=lambda row: row["key"].encode())
            rows = [row for row in rows if row["key"] >= query.get("from", "")]
            limit = min(500, int(query.get("limit", 500)))
            return self._answer(rows=rows[:limit], truncated=len(rows) > limit)
        if call == "rows-feed":
            return await self._feed(query)
        return json_response(404, {})

    def _answer(self, **fields: object) -> bytes:
        now_s = time.monotonic() - self._started
        return json_response(200, {"ver": self._ver, "nowS": now_s, **fields})

    def _transact(self, body: dict) -> bytes:
        for row in body.get("expect", []):
            current = self._rows.get((row["table"], row["key"]))
            if (current["ver"] if current else 0) != row["ver"]:
                return json_response(412, {"ver": self._ver, "rows": [current] if current else []})
        self._ver += 1
        for row in body.get("put", []):
            self._put(row["table"], row["key"], row["value"])
        for row in body.get("remove", []):
            self._put(row["table"], row["key"], None)
        self._notify()
        return self._answer()

    async def _feed(self, query: dict[str, str]) -> bytes:
        after, table = int(query["after"]), query["table"]
        ends = time.monotonic() + min(30_000, float(query.get("waitMs", 0))) / 1000
        while True:
            changed = self._changed
            latest = {
                row["key"]: row for ver, name, row in self._history if name == table and ver > after
            }
            remaining = ends - time.monotonic()
            if latest or remaining <= 0:
                return self._answer(rows=sorted(latest.values(), key=lambda row: row["ver"]))
            try:
                await asyncio.wait_for(changed.wait(), remaining)
            except TimeoutError:
                pass

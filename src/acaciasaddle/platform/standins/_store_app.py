"""Stand-in for the users' store: rows, a change feed, copies, and faults that are set over HTTP."""

from __future__ import annotations

import base64
import json
import time
from bisect import bisect_right
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from typing import Literal

import msgspec
import trio

from acaciasaddle.emulator._asgi import AsgiApp
from acaciasaddle.emulator._asgi import not_found
from acaciasaddle.platform import _wire
from acaciasaddle.platform.standins._messages import configuration_value

if TYPE_CHECKING:
    from acaciasaddle.emulator._asgi import Exchange

ENTRY_EXPIRY_S = 3.0
"""Time without a report after which an upstream's entry is removed: three intervals of 1 s."""
ENTRY_EXPIRY_POLL_S = 0.2
MAX_WAIT_MS = 30_000.0
MAX_ENTRIES = 100
"""Largest number of entries of a transaction."""
COPY_INTERVAL_S = 0.5
COUNTED_S = 10.0
"""The router's calls are counted for this long after each return from a copy."""
MAX_COPIES = 60
"""Copies of the last 30 s."""


class StoreFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults that are switched on.

    While ``refuses`` is not 0, the router's requests and the upstreams' reports that arrive get
    this status. ``delay_s`` delays the router's requests, half before and half after they take
    effect. The next ``lose_answers`` transactions whose conditions hold are applied, and their
    responses are lost. The next ``late`` transactions are applied ``late_s`` seconds later if their
    conditions hold then, and get no response. While the store is away, they wait for its return.
    ``era`` spoils the header with the era.
    """

    refuses: int = 0
    delay_s: float = 0.0
    lose_answers: int = 0
    late: int = 0
    late_s: float = 1.0
    era: Literal["", "missing", "lower", "not a number"] = ""


class Restore(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A control request that restores the copy of ``age_s`` seconds before.

    The store is away for ``away_s`` seconds first. It responds to nothing then, and closes the
    connections. For ``rewrite_s`` after its return, only the router writes; then the operator and
    the upstreams write again what they had written.
    """

    age_s: float
    away_s: float
    rewrite_s: float = 0.4


@dataclass(frozen=True, slots=True, kw_only=True)
class _Copy:
    """The rows by table and key, and the newest version, at a time on trio's clock."""

    at: float
    ver: int
    rows: dict[tuple[str, str], _Row]


@dataclass(frozen=True, slots=True, kw_only=True)
class _Row:
    table: str
    key: str
    value: str
    ver: int
    deleted: bool = False

    def to_json(self) -> dict[str, Any]:
        row: dict[str, Any] = {"table": self.table, "part": "", "key": self.key, "ver": self.ver}
        return {**row, "deleted": True} if self.deleted else {**row, "value": self.value}


class StoreApp(AsgiApp):
    """Serves the router, and control requests and upstreams' reports below ``/standin/``.

    All responses have the era unless ``sends_era`` is false.
    """

    def __init__(self, *, sends_era: bool = True) -> None:
        self._sends_era = sends_era
        self._era = 1
        self._copies: deque[_Copy] = deque(maxlen=MAX_COPIES)
        self._is_away = False
        self._accepts_reports_at = 0.0
        self._unconfirmed: set[str] = set()
        self._configuration = ""
        self._returned_at = 0.0
        self._calls_after_return: list[int] = []
        self._rows: dict[tuple[str, str], _Row] = {}
        self._history: list[_Row] = []
        self._history_start = 0
        self._ver = 0
        self._changed = trio.Event()
        self._reported_at: dict[str, float] = {}
        self._faults = StoreFaults()

    async def expire_entries(self) -> None:
        """Remove the entries of upstreams that stopped reporting, until cancelled."""
        while True:
            await trio.sleep(ENTRY_EXPIRY_POLL_S)
            now = trio.current_time()
            if self._faults.refuses or self._is_away:
                # Upstreams cannot report to the store, so no entry expires.
                self._reported_at = dict.fromkeys(self._reported_at, now)
            for name, at in list(self._reported_at.items()):
                if now - at > ENTRY_EXPIRY_S:
                    self._remove_entry(name)

    async def keep_copies(self) -> None:
        """Copy the rows every ``COPY_INTERVAL_S``, until cancelled."""
        while True:
            if not self._is_away:
                self.keep_copy()
            await trio.sleep(COPY_INTERVAL_S)

    def keep_copy(self) -> None:
        """Copy the rows. The oldest of more than ``MAX_COPIES`` copies is dropped."""
        self._copies.append(_Copy(at=trio.current_time(), ver=self._ver, rows=dict(self._rows)))

    async def handle(self, exchange: Exchange) -> None:
        exchange.common_headers = self._era_header()
        operation = exchange.path.removeprefix(_wire.PATH_PREFIX + "/")
        if exchange.path.startswith("/standin/"):
            await self._handle_control(exchange, exchange.path.removeprefix("/standin/"))
            return
        if self._calls_after_return and trio.current_time() < self._returned_at + COUNTED_S:
            self._calls_after_return[-1] += 1
        era = self._era
        body = await exchange.body()
        await trio.sleep(self._faults.delay_s / 2)
        if self._is_away or self._era != era:
            await exchange.close_without_response()
        elif self._faults.refuses:
            await exchange.respond_json(self._faults.refuses, {})
        elif operation == "rows-tx" and exchange.method == "POST":
            await self._transact(exchange, json.loads(body))
        elif operation == "rows-get":
            rows = [
                row.to_json()
                for (table, _), row in sorted(self._rows.items())
                if table == exchange.query["table"]
            ]
            await self._respond(exchange, {"ver": self._ver, "rows": rows, "truncated": False})
        elif operation == "rows-feed":
            await self._serve_feed(exchange)
        else:
            raise not_found(exchange)

    def _era_header(self) -> dict[str, str]:
        if not self._sends_era or self._faults.era == "missing":
            return {}
        if self._faults.era == "not a number":
            return {_wire.STORE_ERA: "unknown"}
        return {_wire.STORE_ERA: str(self._era - (self._faults.era == "lower"))}

    async def _respond(self, exchange: Exchange, value: Any, status: int = 200) -> None:
        era = self._era
        await trio.sleep(self._faults.delay_s / 2)
        if self._is_away or self._era != era:
            await exchange.close_without_response()
            return
        await exchange.respond_json(status, value)

    async def _serve_feed(self, exchange: Exchange) -> None:
        table, after = exchange.query["table"], int(exchange.query_number("after", 0))
        era = self._era
        with trio.move_on_after(min(exchange.query_number("waitMs", 0.0), MAX_WAIT_MS) / 1000):
            while not (
                self._faults.refuses
                or self._is_away
                or after > self._ver
                or self._changes_after(table, after)
            ):
                await self._changed.wait()
        if self._is_away or self._era != era:
            await exchange.close_without_response()
            return
        if not self._history_start <= after <= self._ver:
            await self._respond(exchange, {}, status=410)
            return
        rows = [row.to_json() for row in self._changes_after(table, after)]
        await self._respond(exchange, {"ver": self._ver, "rows": rows, "truncated": False})

    def _changes_after(self, table: str, after: int) -> list[_Row]:
        start = bisect_right(self._history, after, key=lambda row: row.ver)
        latest = {row.key: row for row in self._history[start:] if row.table == table}
        return sorted(latest.values(), key=lambda row: row.ver)

    async def _transact(self, exchange: Exchange, body: dict[str, Any]) -> None:
        if sum(len(body[name]) for name in ("expect", "put", "remove")) > MAX_ENTRIES:
            await self._respond(exchange, {}, status=413)
            return
        if self._faults.late > 0:
            self._faults.late -= 1
            await trio.sleep(self._faults.late_s)
            await self._wait_for_return()
            self._apply(body)
            await exchange.close_without_response()
            return
        ver = self._apply(body)
        if ver is None:
            await self._respond(exchange, {"rows": []}, status=412)
        elif self._faults.lose_answers > 0:
            self._faults.lose_answers -= 1
            await exchange.close_without_response()
        else:
            await self._respond(exchange, {"ver": ver})

    def _apply(self, body: dict[str, Any]) -> int | None:
        """Apply a transaction and return its version, or ``None`` if a condition fails."""
        for row in body["expect"]:
            current = self._rows.get((row["table"], row["key"]))
            if (current.ver if current else 0) != row["ver"]:
                return None
        self._ver += 1
        for row in body["put"]:
            self._put(row["table"], row["key"], row["value"])
        for row in body["remove"]:
            if (row["table"], row["key"]) in self._rows:
                self._put(row["table"], row["key"], None)
        return self._ver

    def _put(self, table: str, key: str, value: str | None) -> None:
        row = _Row(table=table, key=key, value=value or "", ver=self._ver, deleted=value is None)
        if value is None:
            self._rows.pop((table, key), None)
        else:
            self._rows[table, key] = row
        self._history.append(row)
        self._wake()

    def _wake(self) -> None:
        """Let feeds and whoever waits for the store's return look at the state again."""
        self._changed.set()
        self._changed = trio.Event()

    async def _wait_for_return(self) -> None:
        while self._is_away:
            await self._changed.wait()

    async def _restore(self, restore: Restore) -> float:
        """Restore a copy and let the operator write again what the copy lacks.

        Return the time of the return on the monotonic clock.
        """
        due = trio.current_time() - restore.age_s
        copy = next((copy for copy in reversed(self._copies) if copy.at <= due), self._copies[0])
        self._is_away = True
        self._wake()
        await trio.sleep(restore.away_s)
        self._ver, self._rows = copy.ver, dict(copy.rows)
        self._history = [row for row in self._history if row.ver <= copy.ver]
        self._history_start = min(self._history_start, copy.ver)
        self._copies = deque((kept for kept in self._copies if kept.at <= copy.at), MAX_COPIES)
        now = trio.current_time()
        names = {key for table, key in self._rows if table == _wire.REGISTRY_TABLE}
        # An entry that nobody reports again expires, also one that the copy has brought back.
        self._reported_at = dict.fromkeys(names, now)
        self._unconfirmed = names
        self._accepts_reports_at = now + restore.rewrite_s
        self._era += 1
        self._returned_at = now
        self._calls_after_return.append(0)
        self._is_away = False
        self._wake()
        returned_at = time.monotonic()
        await trio.sleep(restore.rewrite_s)
        row = self._rows.get((_wire.CONFIGURATION_TABLE, _wire.CONFIGURATION_KEY))
        if self._configuration and (row is None or row.value != self._configuration):
            self._write_configuration()
        return returned_at

    def _write_configuration(self) -> None:
        self._ver += 1
        self._put(_wire.CONFIGURATION_TABLE, _wire.CONFIGURATION_KEY, self._configuration)

    # Control requests of the soak and reports of the upstream stand-ins

    async def _handle_control(self, exchange: Exchange, action: str) -> None:
        body = await exchange.body()
        response: dict[str, Any] = {}
        if action == "faults":
            self._faults = msgspec.json.decode(body, type=StoreFaults)
            self._wake()
        elif action == "restore":
            response["returned_at"] = await self._restore(msgspec.json.decode(body, type=Restore))
        elif action == "calls":
            response["calls"] = self._calls_after_return
        elif action == "forget":
            self._history_start, self._history = self._ver, []
        elif action == "configuration":
            await self._wait_for_return()
            # Encoded here: thousands of routes would delay the callers of the soak in its process.
            cfg = configuration_value(**json.loads(body))
            self._configuration = base64.b64encode(msgspec.json.encode(cfg)).decode()
            self._write_configuration()
        elif action.startswith("entry/"):
            await self._handle_report(exchange, action.removeprefix("entry/"), body)
            return
        else:
            raise not_found(exchange)
        await exchange.respond_json(200, {"ver": self._ver, **response})

    async def _handle_report(self, exchange: Exchange, name: str, body: bytes) -> None:
        if not self._is_away:
            await trio.sleep_until(max(self._accepts_reports_at, trio.current_time()))
        if self._is_away:
            await exchange.close_without_response()
            return
        await exchange.respond_json(self._update_entry(name, body), {})

    def _update_entry(self, name: str, body: bytes) -> int:
        """Store the entry that an upstream reports, or remove it if the body is empty.

        Return the status of the response.
        """
        if self._faults.refuses:
            return self._faults.refuses
        if not body:
            self._remove_entry(name)
            return 200
        self._reported_at[name] = trio.current_time()
        value = base64.b64encode(body).decode()
        current = self._rows.get((_wire.REGISTRY_TABLE, name))
        if current is None or current.value != value or name in self._unconfirmed:
            self._unconfirmed.discard(name)
            self._ver += 1
            self._put(_wire.REGISTRY_TABLE, name, value)
        return 200

    def _remove_entry(self, name: str) -> None:
        if self._reported_at.pop(name, None) is not None:
            self._ver += 1
            self._put(_wire.REGISTRY_TABLE, name, None)

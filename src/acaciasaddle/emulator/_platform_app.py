"""Stand-in for the platform: table, objects and host list over HTTP."""

from __future__ import annotations

from dataclasses import asdict
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from typing import ClassVar

import trio
from pydantic import ConfigDict
from pydantic import NonNegativeFloat
from pydantic import NonNegativeInt
from pydantic import TypeAdapter

from acaciasaddle.emulator._asgi import AsgiApp
from acaciasaddle.emulator._asgi import not_found
from acaciasaddle.emulator._store import StoreFaults
from acaciasaddle.emulator._store import StoreState
from acaciasaddle.emulator._store import TableStore
from acaciasaddle.errors import ConditionFailedError
from acaciasaddle.errors import RequestError
from acaciasaddle.model import Row
from acaciasaddle.observe import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from acaciasaddle.emulator._asgi import Exchange

log = get_logger("platform-stand-in")

STRICT = ConfigDict(extra="forbid")
"""Unknown fields are rejected, so that a misspelt fault does not go unnoticed."""


@dataclass(frozen=True, kw_only=True)
class Transaction:
    """Body of ``POST /transactions``."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    conditions: dict[str, NonNegativeInt]
    puts: dict[str, dict[str, Any]]


@dataclass(frozen=True, kw_only=True)
class HostItem:
    """One entry of the host list, as in the bodies of ``GET`` and ``PUT /hosts``."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    id: str
    data_centre: str
    address: str
    state: str


@dataclass(frozen=True, kw_only=True)
class PlatformFaultOrder:
    """Body of ``POST /faults``; faults that are left out stay as they are."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    store: StoreState | None = None
    delay_ms: NonNegativeFloat | None = None
    lose_answers: NonNegativeInt | None = None
    hosts_lag_ms: NonNegativeFloat | None = None


TRANSACTION = TypeAdapter(Transaction)
HOST_ITEMS = TypeAdapter(tuple[HostItem, ...])
FAULT_ORDER = TypeAdapter(PlatformFaultOrder)


@dataclass(frozen=True, slots=True, kw_only=True)
class _HostListVersion:
    visible_at: float
    items: tuple[HostItem, ...]


class LaggingHostList:
    """A host list whose changes become visible ``lag_ms`` after they are made."""

    def __init__(self, *, lag_ms: float = 0.0) -> None:
        self.lag_ms = lag_ms
        self._versions = [_HostListVersion(visible_at=0.0, items=())]

    def put(self, items: tuple[HostItem, ...], *, now: float) -> None:
        """Replace the list. ``now`` is in seconds."""
        # A list does not become visible before an earlier one, even if the lag has been reduced.
        visible_at = max(now + self.lag_ms / 1000, self._versions[-1].visible_at)
        self._versions.append(_HostListVersion(visible_at=visible_at, items=items))

    def get(self, *, now: float) -> tuple[HostItem, ...]:
        """Return the list that is visible at ``now``."""
        while len(self._versions) > 1 and self._versions[1].visible_at <= now:
            del self._versions[0]
        return self._versions[0].items


def row_to_json(row: Row) -> dict[str, Any]:
    """Return the JSON object of a row, as in responses."""
    return {
        "key": row.key,
        "version": row.version,
        "revision": row.revision,
        "value": row.value,
    }


class PlatformApp(AsgiApp):
    """ASGI application of the platform stand-in."""

    def __init__(
        self,
        *,
        store: TableStore | None = None,
        faults: StoreFaults | None = None,
        hosts_lag_ms: float = 0.0,
        now: Callable[[], float] = trio.current_time,
    ) -> None:
        self.store = store if store is not None else TableStore()
        self.faults = faults if faults is not None else StoreFaults()
        self.hosts = LaggingHostList(lag_ms=hosts_lag_ms)
        self._objects: dict[str, bytes] = {}
        self._now = now

    async def handle(self, exchange: Exchange) -> None:
        method, path = exchange.method, exchange.path
        if path == "/faults" and method == "POST":
            await self._set_faults(exchange)
        elif path == "/hosts" and method == "GET":
            items = self.hosts.get(now=self._now())
            await exchange.respond_json(200, [asdict(item) for item in items])
        elif path == "/hosts" and method == "PUT":
            self.hosts.put(HOST_ITEMS.validate_json(await exchange.body()), now=self._now())
            await exchange.respond_json(200, {})
        elif path.startswith(("/rows", "/transactions", "/objects/")):
            await self._store_operation(exchange)
        else:
            raise not_found(exchange)

    async def _set_faults(self, exchange: Exchange) -> None:
        order = FAULT_ORDER.validate_json(await exchange.body())
        if order.store is not None:
            self.faults.store = order.store
        if order.delay_ms is not None:
            self.faults.delay_ms = order.delay_ms
        if order.lose_answers is not None:
            self.faults.lose_answers = order.lose_answers
        if order.hosts_lag_ms is not None:
            self.hosts.lag_ms = order.hosts_lag_ms
        state = {**asdict(self.faults), "hosts_lag_ms": self.hosts.lag_ms}
        log.info("Faults set", **state)
        await exchange.respond_json(200, state)

    async def _store_operation(self, exchange: Exchange) -> None:
        body = await exchange.body()
        await trio.sleep(self.faults.half_delay_s)
        if self.faults.store is StoreState.DOWN:
            await exchange.respond_json(503, {"title": "the store is down", "status": 503})
            return
        method, path = exchange.method, exchange.path
        if path == "/transactions" and method == "POST":
            await self._transact(exchange, body)
        elif path == "/rows" and method == "GET":
            await self._scan(exchange)
        elif path.startswith("/rows/") and method == "GET":
            row = self.store.read(path.removeprefix("/rows/"))
            await trio.sleep(self.faults.half_delay_s)
            if row is None:
                raise not_found(exchange)
            await exchange.respond_json(200, row_to_json(row))
        elif path.startswith("/objects/") and method in ("GET", "PUT"):
            await self._get_or_put_object(exchange, body)
        else:
            raise not_found(exchange)

    async def _transact(self, exchange: Exchange, body: bytes) -> None:
        transaction = TRANSACTION.validate_json(body)
        try:
            rows = self.store.transact(conditions=transaction.conditions, puts=transaction.puts)
        except ValueError as exc:
            raise RequestError(str(exc), status=400, step="table.transact") from None
        except ConditionFailedError as exc:
            failed = [self._failed_row(key) for key in exc.keys]
            await trio.sleep(self.faults.half_delay_s)
            await exchange.respond_json(409, {"failed": failed})
            return
        revision = self.store.revision
        response_lost = self.faults.loses_response()
        await trio.sleep(self.faults.half_delay_s)
        if response_lost:
            log.info("Response lost", revision=revision)
            await exchange.close_without_response()
            return
        versions = {row.key: row.version for row in rows}
        await exchange.respond_json(200, {"revision": revision, "versions": versions})

    def _failed_row(self, key: str) -> dict[str, Any]:
        row = self.store.read(key)
        if row is None:
            row = Row(key=key, version=0, revision=0, value={})
        return row_to_json(row)

    async def _scan(self, exchange: Exchange) -> None:
        since = int(exchange.query_number("since", 0))
        rows = self.store.scan(exchange.query.get("prefix", ""), since=since)
        value = {"revision": self.store.revision, "rows": [row_to_json(row) for row in rows]}
        await trio.sleep(self.faults.half_delay_s)
        await exchange.respond_json(200, value)

    async def _get_or_put_object(self, exchange: Exchange, body: bytes) -> None:
        name = exchange.path.removeprefix("/objects/")
        data = b""
        if exchange.method == "PUT":
            self._objects[name] = body
        elif name in self._objects:
            data = self._objects[name]
        else:
            raise not_found(exchange)
        await trio.sleep(self.faults.half_delay_s)
        await exchange.respond(200, data, headers={"content-type": "application/octet-stream"})

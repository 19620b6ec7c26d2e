"""Client of the platform's store, and the table and feeds that are kept in it."""

from __future__ import annotations

import base64
import json
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import urlencode

import msgspec
import trio

from acaciasaddle.errors import DECODING_ERRORS
from acaciasaddle.errors import ConditionFailedError
from acaciasaddle.errors import ConfigError
from acaciasaddle.errors import HistoryExpiredError
from acaciasaddle.errors import Outcome
from acaciasaddle.errors import PlatformUnavailableError
from acaciasaddle.errors import UpstreamError
from acaciasaddle.errors import WriteOutcomeUnknownError
from acaciasaddle.fleet import ConfigurationChange
from acaciasaddle.fleet import ConfigurationFeed
from acaciasaddle.fleet import Registry
from acaciasaddle.fleet import RegistryChange
from acaciasaddle.http1 import ClientConnection
from acaciasaddle.model import Row
from acaciasaddle.observe import NullMetrics
from acaciasaddle.platform._decode import ConfigurationDecoder
from acaciasaddle.platform._decode import decode_entry
from acaciasaddle.platform._wire import CONFIGURATION_KEY
from acaciasaddle.platform._wire import CONFIGURATION_TABLE
from acaciasaddle.platform._wire import PATH_PREFIX
from acaciasaddle.platform._wire import REGISTRY_TABLE
from acaciasaddle.routing import Configuration
from acaciasaddle.table import Scan
from acaciasaddle.table import Table

if TYPE_CHECKING:
    from collections.abc import Mapping

    from acaciasaddle.http1 import Response
    from acaciasaddle.model._rows import JsonObject
    from acaciasaddle.observe import Metrics

CALL_TIMEOUT_S = 0.9
"""Timeout of one call, in addition to its wait. A store that is 90 times slower than usual answers
in 0.4 s."""
CONNECT_TIMEOUT_S = 0.6
IDLE_LIMIT_S = 5.0
"""A connection that was idle for longer is not reused, since it may have gone silent."""
MAX_ROWS = 500
"""Largest number of rows in one page of a table; a call for changes sets no limit."""


class _StoredRow(msgspec.Struct):
    key: str
    ver: int
    table: str = ""
    value: str = ""
    # True for a row that has been removed, also if it was moved elsewhere.
    deleted: bool = False


class _Rows(msgspec.Struct):
    ver: int
    rows: list[_StoredRow] = []
    # True if there are more rows than fit in one response.
    truncated: bool = False


class _Committed(msgspec.Struct):
    ver: int


@dataclass(frozen=True, slots=True, kw_only=True)
class _DecodedValue:
    """The value of the configuration's row, and its configuration or why it was rejected."""

    value: str
    configuration: Configuration | None = None
    problem: str = ""


_ROWS = msgspec.json.Decoder(_Rows)
_COMMITTED = msgspec.json.Decoder(_Committed)


class StoreClient:
    """HTTP client of the store.

    Reads raise ``PlatformUnavailableError`` or ``HistoryExpiredError``.
    """

    def __init__(self, *, address: str, metrics: Metrics | None = None) -> None:
        self._address = address
        self._metrics = metrics or NullMetrics()
        self._idle: list[ClientConnection] = []
        self.calls = 0

    async def rows(self, table: str) -> _Rows:
        """Return all rows of a table, read in pages; the version is that of the first page.

        Changes that are made between two pages are then part of the next feed.
        """
        rows: list[_StoredRow] = []
        start = ""
        version: int | None = None
        while True:
            query = {"table": table, "part": "", "limit": str(MAX_ROWS)}
            if start:
                query["from"] = start
            page = await self._get("rows-get", query, wait_s=0.0)
            rows += page.rows
            version = page.ver if version is None else version
            if not page.truncated or not page.rows:
                return _Rows(ver=version, rows=rows)
            start = page.rows[-1].key + "\0"

    async def feed(self, table: str, *, after: int, wait_s: float) -> _Rows:
        """Return the rows changed after a version; wait up to ``wait_s`` for the first one.

        The version of a truncated response is that of its last row, from which the next call
        continues.
        """
        query = {"table": table, "after": str(after), "waitMs": str(int(wait_s * 1000))}
        page = await self._get("rows-feed", query, wait_s=wait_s)
        if page.truncated and page.rows:
            return _Rows(ver=page.rows[-1].ver, rows=page.rows)
        return page

    async def transact(self, body: dict[str, Any]) -> int:
        """Apply a transaction and return its version.

        Raises ``ConditionFailedError`` if a row has another version than expected,
        ``PlatformUnavailableError`` if the transaction certainly did not take effect for another
        reason, and ``WriteOutcomeUnknownError`` if it may have.
        """
        step = "store.transact"
        try:
            resp = await self._call(
                "POST", f"{PATH_PREFIX}/rows-tx", json.dumps(body).encode(), wait_s=0.0
            )
        except UpstreamError as exc:
            if exc.outcome is Outcome.NOT_RUN:
                raise self._unavailable(step, exc.message) from exc
            raise WriteOutcomeUnknownError(exc.message, step=step, peer=self._address) from exc
        if resp.status == 412:
            keys = tuple(row["key"] for row in body["expect"])
            raise ConditionFailedError(
                "a row has another version than expected", keys=keys, step=step, peer=self._address
            )
        if resp.status in (429, 503, 403, 400, 413):
            raise self._unavailable(step, f"refused with status {resp.status}")
        try:
            if resp.status == 200:
                return _COMMITTED.decode(resp.content).ver
        except DECODING_ERRORS as exc:
            raise WriteOutcomeUnknownError(str(exc), step=step, peer=self._address) from exc
        raise WriteOutcomeUnknownError(
            f"the store answered with status {resp.status}", step=step, peer=self._address
        )

    async def _get(self, call: str, query: dict[str, str], *, wait_s: float) -> _Rows:
        step = f"store.{call}"
        try:
            target = f"{PATH_PREFIX}/{call}?{urlencode(query)}"
            resp = await self._call("GET", target, b"", wait_s=wait_s)
        except UpstreamError as exc:
            raise self._unavailable(step, exc.message) from exc
        if resp.status == 410:
            raise HistoryExpiredError(
                "the store no longer has the changes since that version",
                step=step,
                peer=self._address,
            )
        if resp.status != 200:
            raise self._unavailable(step, f"answered with status {resp.status}")
        try:
            return _ROWS.decode(resp.content)
        except DECODING_ERRORS as exc:
            raise self._unavailable(step, f"malformed response: {exc}") from exc

    async def _call(self, method: str, target: str, body: bytes, *, wait_s: float) -> Response:
        self.calls += 1
        started = trio.current_time()
        conn: ClientConnection | None = None
        try:
            with trio.fail_after(CALL_TIMEOUT_S + wait_s):
                conn = await self._connection()
                headers = [(b"Host", self._address.encode())]
                if body:
                    headers.append((b"Content-Type", b"application/json"))
                    headers.append((b"Content-Length", str(len(body)).encode()))
                resp = await conn.exchange(method=method, target=target, headers=headers, body=body)
        except trio.TooSlowError as exc:
            self._metrics.count("store.timed_out")
            self._close_idle()
            raise UpstreamError(
                "no response in time",
                outcome=Outcome.UNKNOWN if conn else Outcome.NOT_RUN,
                step="store.call",
                peer=self._address,
            ) from exc
        finally:
            if conn is not None and not conn.reusable:
                conn.abort()
        if conn.reusable:
            self._idle.append(conn)
        self._metrics.count(f"store.status.{resp.status}")
        if wait_s == 0.0:
            self._metrics.timing("store.call_time", (trio.current_time() - started) * 1000)
        return resp

    async def _connection(self) -> ClientConnection:
        while self._idle:
            conn = self._idle.pop()
            if trio.current_time() - conn.idle_since < IDLE_LIMIT_S and conn.is_open_and_idle():
                return conn
            conn.abort()
        return await ClientConnection.connect(address=self._address, timeout_s=CONNECT_TIMEOUT_S)

    def _close_idle(self) -> None:
        while self._idle:
            self._idle.pop().abort()

    def _unavailable(self, step: str, reason: str) -> PlatformUnavailableError:
        return PlatformUnavailableError(
            f"the store is not available: {reason}", step=step, peer=self._address
        )


class PlatformTable(Table):
    """Table of the router's own rows. A key is ``<table>/<key in that table>``.

    A scan covers the whole table that the prefix names.
    """

    def __init__(self, *, store: StoreClient) -> None:
        self._store = store

    async def read(self, key: str) -> Row | None:
        table, _, name = key.partition("/")
        page = await self._store.rows(table)
        return next((_row(table, row) for row in page.rows if row.key == name), None)

    async def scan(self, prefix: str, *, since: int, wait_s: float = 0.0) -> Scan:
        table = prefix.partition("/")[0]
        if since == 0:
            page = await self._store.rows(table)
        else:
            page = await self._store.feed(table, after=since, wait_s=wait_s)
        rows = tuple(_row(table, row) for row in page.rows if not row.deleted)
        return Scan(revision=page.ver, rows=rows)

    async def transact(
        self, *, conditions: Mapping[str, int], puts: Mapping[str, JsonObject]
    ) -> tuple[Row, ...]:
        expect = [{**_row_name(key), "ver": version} for key, version in conditions.items()]
        put = [{**_row_name(key), "value": _encode(value)} for key, value in puts.items()]
        ver = await self._store.transact({"expect": expect, "put": put, "remove": []})
        return tuple(
            Row(key=key, version=ver, revision=ver, value=value) for key, value in puts.items()
        )


class PlatformConfigurations(ConfigurationFeed):
    """Feed of the operators' configuration in the store.

    Of several new configurations in one response, only the newest is decoded. One that was read
    before is not decoded again.
    """

    def __init__(self, *, store: StoreClient) -> None:
        self._store = store
        self._decoder = ConfigurationDecoder()
        self._newest = _DecodedValue(value="")

    async def changes(self, *, since: int, wait_s: float) -> ConfigurationChange:
        if since == 0:
            page = await self._store.rows(CONFIGURATION_TABLE)
        else:
            page = await self._store.feed(CONFIGURATION_TABLE, after=since, wait_s=wait_s)
        rows = [row for row in page.rows if row.key == CONFIGURATION_KEY and row.value]
        if not rows:
            return ConfigurationChange(revision=page.ver, configuration=None)
        value = max(rows, key=lambda row: row.ver).value
        if value != self._newest.value:
            self._newest = await self._decode(value)
        return ConfigurationChange(
            revision=page.ver,
            configuration=self._newest.configuration,
            problem=self._newest.problem,
        )

    async def _decode(self, value: str) -> _DecodedValue:
        # Each of the steps between two checkpoints takes milliseconds for thousands of routes.
        await trio.lowlevel.checkpoint()
        try:
            data = base64.b64decode(value, validate=True)
            cfg = await self._decoder.decode(data)
        except (ConfigError, ValueError) as exc:
            return _DecodedValue(value=value, problem=str(exc))
        return _DecodedValue(value=value, configuration=cfg)


class PlatformRegistry(Registry):
    """Registry of upstreams, read from the entries that they write to the store themselves."""

    def __init__(self, *, store: StoreClient) -> None:
        self._store = store

    async def changes(self, *, since: int) -> RegistryChange:
        if since == 0:
            page = await self._store.rows(REGISTRY_TABLE)
        else:
            page = await self._store.feed(REGISTRY_TABLE, after=since, wait_s=0.0)
        entries: dict[str, Any] = {}
        problems = []
        for row in page.rows:
            entries[row.key] = None
            if row.deleted:
                continue
            try:
                data = base64.b64decode(row.value, validate=True)
                entries[row.key] = decode_entry(row.key, data)
            except (ConfigError, ValueError) as exc:
                problems.append(str(exc))
        return RegistryChange(
            revision=page.ver, complete=since == 0, entries=entries, problems=tuple(problems)
        )


def _row_name(key: str) -> dict[str, str]:
    table, _, name = key.partition("/")
    return {"table": table, "part": "", "key": name}


def _encode(value: JsonObject) -> str:
    """Return a row's value as compressed JSON in Base64.

    A row holds at most 65,536 bytes, and each byte is charged.
    """
    return base64.b64encode(zlib.compress(json.dumps(value).encode())).decode()


def _row(table: str, row: _StoredRow) -> Row:
    try:
        value = json.loads(zlib.decompress(base64.b64decode(row.value)))
    except (zlib.error, *DECODING_ERRORS) as exc:
        raise _undecodable_row(table, row, str(exc)) from exc
    if not isinstance(value, dict):
        raise _undecodable_row(table, row, "the value is not an object")
    return Row(key=f"{table}/{row.key}", version=row.ver, revision=row.ver, value=value)


def _undecodable_row(table: str, row: _StoredRow, reason: str) -> PlatformUnavailableError:
    return PlatformUnavailableError(
        f"row {row.key!r} cannot be decoded: {reason}", step="store.row", peer=table
    )

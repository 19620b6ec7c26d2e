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
from acaciasaddle.errors import PlatformError
from acaciasaddle.errors import PlatformUnavailableError
from acaciasaddle.errors import StoreRestoredError
from acaciasaddle.errors import UpstreamError
from acaciasaddle.errors import WriteOutcomeUnknownError
from acaciasaddle.fleet import ConfigurationChange
from acaciasaddle.fleet import ConfigurationFeed
from acaciasaddle.fleet import Registry
from acaciasaddle.fleet import RegistryChange
from acaciasaddle.http1 import ClientConnection
from acaciasaddle.model import MAX_ERA
from acaciasaddle.model import Row
from acaciasaddle.model import era_of
from acaciasaddle.model import revision_of
from acaciasaddle.model import version_of
from acaciasaddle.observe import NullMetrics
from acaciasaddle.observe import get_logger
from acaciasaddle.platform._decode import ConfigurationDecoder
from acaciasaddle.platform._decode import decode_entry
from acaciasaddle.platform._wire import CONFIGURATION_KEY
from acaciasaddle.platform._wire import CONFIGURATION_TABLE
from acaciasaddle.platform._wire import PATH_PREFIX
from acaciasaddle.platform._wire import REGISTRY_TABLE
from acaciasaddle.platform._wire import STORE_ERA
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
MAX_REMOVED_ROWS = 100
"""Largest number of rows that the store accepts in one transaction."""
MAX_LOGGED_CHARACTERS = 32

log = get_logger("store")


class _StoredRow(msgspec.Struct):
    key: str
    ver: int
    table: str = ""
    value: str = ""
    # True for a row that has been removed, also if it was moved elsewhere.
    deleted: bool = False


class _Rows(msgspec.Struct):
    # Versions as the store sent them; ``StoreClient`` replaces them by revisions.
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

    All versions that it returns or takes are revisions. The store tells its era in a header of all
    its answers, unless it has none; an answer that contradicts the eras seen so far counts as none.
    """

    def __init__(self, *, address: str, metrics: Metrics | None = None) -> None:
        self._address = address
        self._metrics = metrics or NullMetrics()
        self._idle: list[ClientConnection] = []
        self._era = 0
        self._answered = False
        self._has_eras = False
        self._restored = False
        self._copy_revision = 0
        self.calls = 0

    @property
    def era(self) -> int:
        """The newest era in an answer of the store, 0 without an answer or if it has no eras."""
        return self._era

    @property
    def copy_revision(self) -> int:
        """Revision up to which rows of this era may be from the copy; newer ones certainly are not.

        It is the store's revision at the first read of a table in this era, and 0 before that read
        or if this client knows no earlier era.
        """
        return self._copy_revision

    async def rows(self, table: str) -> _Rows:
        """Return all rows of a table, read in pages; the revision is that of the first page.

        Changes that are made between two pages are then part of the next feed.
        """
        rows: list[_StoredRow] = []
        start = ""
        revision: int | None = None
        while True:
            query = {"table": table, "part": "", "limit": str(MAX_ROWS)}
            if start:
                query["from"] = start
            page = await self._get("rows-get", query, wait_s=0.0)
            rows += page.rows
            revision = page.ver if revision is None else revision
            if era_of(page.ver) != era_of(revision):
                raise self._unavailable("store.rows-get", "it was restored between two pages")
            if self._restored and not self._copy_revision:
                self._copy_revision = page.ver
            if not page.truncated or not page.rows:
                return _Rows(ver=revision, rows=rows)
            start = page.rows[-1].key + "\0"

    async def feed(self, table: str, *, after: int, wait_s: float) -> _Rows:
        """Return the rows changed after a revision; wait up to ``wait_s`` for the first one.

        The revision of a truncated response is that of its last row, from which the next call
        continues. Raises ``HistoryExpiredError`` also if the revision is of an earlier era.
        """
        self._check_era_of(after)
        query = {"table": table, "after": str(version_of(after)), "waitMs": str(int(wait_s * 1000))}
        try:
            page = await self._get("rows-feed", query, wait_s=wait_s)
        except HistoryExpiredError:
            self._check_era_of(after)
            raise
        self._check_era_of(after)
        if page.truncated and page.rows:
            return _Rows(ver=page.rows[-1].ver, rows=page.rows)
        return page

    def _check_era_of(self, after: int) -> None:
        if era_of(after) != self._era:
            raise HistoryExpiredError(
                f"the store came back from an older copy: its era is {self._era}, "
                f"the changes were read up to era {era_of(after)}",
                step="store.rows-feed",
                peer=self._address,
            )

    async def transact(self, body: dict[str, Any]) -> int:
        """Apply a transaction and return its revision.

        Raises ``ConditionFailedError`` if a row has another revision than expected,
        ``PlatformUnavailableError`` if the transaction certainly did not take effect for another
        reason, and ``WriteOutcomeUnknownError`` if it may have. Raises ``StoreRestoredError`` if an
        expected revision is of an earlier era or the era rose during the call; the transaction may
        then have changed the rows that it names.
        """
        era = self._era
        expect = body["expect"]
        if any(row["ver"] and era_of(row["ver"]) != era for row in expect):
            raise self._write_overtaken(expect)
        wire = {**body, "expect": [{**row, "ver": version_of(row["ver"])} for row in expect]}
        try:
            revision = await self._transact(wire)
        except PlatformError as exc:
            if self._era != era:
                raise self._write_overtaken(expect) from exc
            raise
        if self._era != era:
            raise self._write_overtaken(expect)
        return revision

    def _write_overtaken(self, expect: list[dict[str, Any]]) -> StoreRestoredError:
        return StoreRestoredError(
            f"the store came back from an older copy: its era is {self._era}",
            keys=tuple(row["key"] for row in expect),
            step="store.transact",
            peer=self._address,
        )

    async def _transact(self, body: dict[str, Any]) -> int:
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
                return self._revision(_COMMITTED.decode(resp.content).ver)
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
            page = _ROWS.decode(resp.content)
            page.ver = self._revision(page.ver)
            for row in page.rows:
                row.ver = self._revision(row.ver)
        except DECODING_ERRORS as exc:
            raise self._unavailable(step, f"malformed response: {exc}") from exc
        return page

    def _revision(self, version: int) -> int:
        """Return the revision of a version in the answer that was received last."""
        if version_of(version) != version:
            raise ValueError(f"{version} is not a version")
        return revision_of(self._era, version)

    def _note_era(self, text: str | None) -> None:
        """Note the era of an answer. Raises ``UpstreamError`` if the answer counts as none."""
        era = _parse_era(text) if text is not None else 0
        if text is None and self._has_eras:
            reason = "missing"
        elif era is None:
            reason = "invalid"
        elif era < self._era:
            reason = "older"
        else:
            if era > self._era and self._answered:
                log.warning("the store came back from an older copy", era=era, before=self._era)
                self._metrics.count("store.restored")
                self._restored = True
                self._copy_revision = 0
            self._era = era
            self._answered = True
            self._has_eras |= text is not None
            return
        log.warning(
            "answer of the store ignored for its era",
            reason=reason,
            answer=(text or "")[:MAX_LOGGED_CHARACTERS],
            era=self._era,
        )
        self._metrics.count(f"store.era.{reason}")
        raise UpstreamError(
            f"the era of the answer is {reason}",
            outcome=Outcome.UNKNOWN,
            step="store.era",
            peer=self._address,
        )

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
            self._metrics.count(f"store.status.{resp.status}")
            try:
                self._note_era(resp.fields.get(STORE_ERA))
            except UpstreamError:
                conn.abort()
                raise
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

    A scan covers the whole table that the prefix names. In eras above 0, rows are named
    ``<key in that table>@<era>``: a write of an earlier era, however late, then changes only rows
    that nobody follows. A first transaction without any call before it uses the names of era 0, and
    raises ``StoreRestoredError`` if the answer tells of a higher era.
    """

    def __init__(self, *, store: StoreClient) -> None:
        self._store = store

    @property
    def era(self) -> int:
        return self._store.era

    async def read(self, key: str) -> Row | None:
        table, _, name = key.partition("/")
        page = await self._store.rows(table)
        name = _name_in_era(name, era_of(page.ver))
        return next((_row(table, row) for row in page.rows if row.key == name), None)

    async def scan(self, prefix: str, *, since: int, wait_s: float = 0.0) -> Scan:
        table = prefix.partition("/")[0]
        if since == 0:
            page = await self._store.rows(table)
        else:
            page = await self._store.feed(table, after=since, wait_s=wait_s)
        current, earlier = _split_by_era(page)
        return Scan(
            revision=page.ver,
            rows=tuple(_row(table, row) for row in current),
            earlier_revision=max((row.ver for row in earlier), default=0),
        )

    async def transact(
        self, *, conditions: Mapping[str, int], puts: Mapping[str, JsonObject]
    ) -> tuple[Row, ...]:
        era = self._store.era
        expect = [{**_row_name(key, era), "ver": ver} for key, ver in conditions.items()]
        put = [{**_row_name(key, era), "value": _encode(value)} for key, value in puts.items()]
        revision = await self._store.transact({"expect": expect, "put": put, "remove": []})
        return tuple(
            Row(key=key, version=revision, revision=revision, value=value)
            for key, value in puts.items()
        )

    async def drop_earlier_rows(self, prefix: str) -> int:
        table = prefix.partition("/")[0]
        page = await self._store.rows(table)
        _, earlier = _split_by_era(page)
        names = [_row_name(f"{table}/{row.key}", 0) for row in earlier[:MAX_REMOVED_ROWS]]
        if names:
            await self._store.transact({"expect": [], "put": [], "remove": names})
        return len(names)


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
        copy_revision = self._store.copy_revision
        restored = {row.key for row in page.rows if 0 < row.ver <= copy_revision}
        return RegistryChange(
            revision=page.ver,
            complete=since == 0,
            entries=entries,
            problems=tuple(problems),
            restored=frozenset(name for name in restored if entries[name] is not None),
        )


def _parse_era(text: str) -> int | None:
    """Return the era in a header, or ``None`` if it is not a whole number up to ``MAX_ERA``."""
    digits = text.lstrip("0") or "0"
    if not text.isascii() or not text.isdigit() or len(digits) > len(str(MAX_ERA)):
        return None
    era = int(digits)
    return era if era <= MAX_ERA else None


def _name_in_era(name: str, era: int) -> str:
    return f"{name}@{era}" if era else name


def _split_by_era(page: _Rows) -> tuple[list[_StoredRow], list[_StoredRow]]:
    """Return the rows of a page's era, under their plain keys, and those of earlier eras.

    Removed rows are left out.
    """
    suffix = _name_in_era("", era_of(page.ver))
    current: list[_StoredRow] = []
    earlier: list[_StoredRow] = []
    for row in page.rows:
        if row.deleted:
            continue
        if not row.key.endswith(suffix):
            earlier.append(row)
            continue
        row.key = row.key.removesuffix(suffix)
        current.append(row)
    return current, earlier


def _row_name(key: str, era: int) -> dict[str, str]:
    table, _, name = key.partition("/")
    return {"table": table, "part": "", "key": _name_in_era(name, era)}


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

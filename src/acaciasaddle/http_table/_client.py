"""HTTP client of the project's own platform, which the emulator serves."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar
from urllib.parse import quote

import httpcore
import trio
from pydantic import TypeAdapter
from pydantic import ValidationError

from acaciasaddle.errors import ConditionFailedError
from acaciasaddle.errors import PlatformUnavailableError
from acaciasaddle.errors import WriteOutcomeUnknownError
from acaciasaddle.model import Row
from acaciasaddle.table._api import HostEntry
from acaciasaddle.table._api import HostList
from acaciasaddle.table._api import ObjectStore
from acaciasaddle.table._api import Scan
from acaciasaddle.table._api import Table

if TYPE_CHECKING:
    from collections.abc import Mapping

    from acaciasaddle.model._rows import JsonObject

DEFAULT_TIMEOUT_S = 2.0
"""Time for one operation, including the wait for a free connection and connecting."""
MAX_CONNECTIONS = 32
"""Limits the operations in progress while the platform is slow. Others wait for a connection."""
MAX_IDLE_CONNECTIONS = 8
IDLE_EXPIRY_S = 30.0

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class _Committed:
    revision: int
    versions: dict[str, int]


@dataclass(frozen=True, slots=True)
class _FailedRow:
    key: str


@dataclass(frozen=True, slots=True)
class _Failed:
    failed: list[_FailedRow | str]


@dataclass(frozen=True, slots=True)
class _HostItem:
    id: str
    data_centre: str
    address: str
    state: str


@dataclass(frozen=True, slots=True)
class _Response:
    status: int
    body: bytes


_ROW: TypeAdapter[Row] = TypeAdapter(Row)
_SCAN: TypeAdapter[Scan] = TypeAdapter(Scan)
_COMMITTED: TypeAdapter[_Committed] = TypeAdapter(_Committed)
_FAILED: TypeAdapter[_Failed] = TypeAdapter(_Failed)
_HOSTS: TypeAdapter[list[_HostItem]] = TypeAdapter(list[_HostItem])


class _RequestProgress:
    """Progress of a request, which decides how its failure is reported.

    ``sent`` is true if the request may have been sent, ``reused`` if its connection was used
    before.
    """

    def __init__(self) -> None:
        self.sent = False
        self.reused = False


class HttpPlatform(Table, ObjectStore, HostList):
    """HTTP client of the platform.

    Keeps HTTP/1.1 connections in a list of idle ones instead of httpcore's pool. This way it knows
    whether a request may have been sent. It also closes all idle connections after a timeout,
    since open connections may have stopped answering while new ones work.
    """

    def __init__(
        self,
        *,
        address: str,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        network: httpcore.AsyncNetworkBackend | None = None,
    ) -> None:
        """``address`` is the platform's ``ip:port``."""
        host, _, port = address.rpartition(":")
        self._address = address
        self._host = host.strip("[]")
        self._origin = httpcore.Origin(b"http", self._host.encode(), int(port))
        self._timeout_s = timeout_s
        self._network = network or httpcore.TrioBackend()
        self._idle: list[httpcore.AsyncHTTP11Connection] = []
        self._limit = trio.CapacityLimiter(MAX_CONNECTIONS)

    async def aclose(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().aclose()

    async def read(self, key: str) -> Row | None:
        response = await self._read("table.read", f"/rows/{quote(key, safe='/')}")
        if response.status == 404:
            return None
        return self._parse(_ROW, response, step="table.read")

    async def scan(self, prefix: str, *, since: int, wait_s: float = 0.0) -> Scan:
        target = f"/rows?prefix={quote(prefix, safe='')}&since={since}"
        response = await self._read("table.scan", target)
        return self._parse(_SCAN, response, step="table.scan")

    async def transact(
        self, *, conditions: Mapping[str, int], puts: Mapping[str, JsonObject]
    ) -> tuple[Row, ...]:
        step = "table.transact"
        body = json.dumps({"conditions": dict(conditions), "puts": dict(puts)}).encode()
        response = await self._write(step, "POST", "/transactions", body, "application/json")
        if response.status == 409:
            try:
                failed = _FAILED.validate_json(response.body).failed
            except ValidationError:
                failed = []
            keys = tuple(row if isinstance(row, str) else row.key for row in failed)
            raise ConditionFailedError(
                f"rows have other versions than expected: {', '.join(keys) or 'keys not reported'}",
                keys=keys,
                step=step,
                peer=self._address,
            )
        try:
            done = _COMMITTED.validate_json(response.body)
            return tuple(
                Row(key=key, version=done.versions[key], revision=done.revision, value=value)
                for key, value in puts.items()
            )
        except (ValidationError, KeyError) as exc:
            raise self._unknown(step, f"malformed response: {_summary(exc)}") from exc

    async def get(self, name: str) -> bytes | None:
        response = await self._read("object.get", f"/objects/{quote(name, safe='/')}")
        return None if response.status == 404 else response.body

    async def put(self, name: str, data: bytes) -> None:
        target = f"/objects/{quote(name, safe='/')}"
        response = await self._write("object.put", "PUT", target, data, "application/octet-stream")
        if response.status == 409:
            raise ConditionFailedError(
                f"object {name!r} was not replaced: answered with status 409",
                keys=(name,),
                step="object.put",
                peer=self._address,
            )

    async def hosts(self) -> tuple[HostEntry, ...]:
        response = await self._read("hosts.list", "/hosts")
        items = self._parse(_HOSTS, response, step="hosts.list")
        return tuple(
            HostEntry(
                host_id=item.id,
                data_centre=item.data_centre,
                address=item.address,
                state=item.state,
            )
            for item in items
        )

    async def _read(self, step: str, target: str) -> _Response:
        """Send a GET request and return its response.

        The status is 200, or 404 for an absent row or object. Any other status or a failure raises
        ``PlatformUnavailableError``.
        """
        progress = _RequestProgress()
        try:
            with trio.fail_after(self._timeout_s):
                try:
                    response = await self._send(progress, "GET", target, b"", "")
                except (httpcore.NetworkError, httpcore.RemoteProtocolError):
                    if not progress.reused:
                        raise
                    # The platform may close a connection just as it is taken from the idle list.
                    # A read may be repeated.
                    await self.aclose()
                    response = await self._send(_RequestProgress(), "GET", target, b"", "")
        except (trio.TooSlowError, httpcore.TimeoutException) as exc:
            await self.aclose()
            raise self._unavailable(step, f"no response within {self._timeout_s:g} s") from exc
        except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
            raise self._unavailable(step, _summary(exc)) from exc
        absent = response.status == 404 and step in ("table.read", "object.get")
        if response.status != 200 and not absent:
            raise self._unavailable(step, f"answered with status {response.status}")
        return response

    async def _write(
        self, step: str, method: str, target: str, body: bytes, media_type: str
    ) -> _Response:
        """Send a write and return its response, whose status is 2xx or 409.

        A failure raises ``PlatformUnavailableError`` if the write certainly did not take effect,
        otherwise ``WriteOutcomeUnknownError``.
        """
        progress = _RequestProgress()
        try:
            with trio.fail_after(self._timeout_s):
                response = await self._send(progress, method, target, body, media_type)
        except (trio.TooSlowError, httpcore.TimeoutException) as exc:
            await self.aclose()
            reason = f"no response within {self._timeout_s:g} s"
            if progress.sent:
                raise self._unknown(step, reason) from exc
            raise self._unavailable(step, reason) from exc
        except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
            if progress.sent:
                raise self._unknown(step, _summary(exc)) from exc
            raise self._unavailable(step, _summary(exc)) from exc
        if 200 <= response.status < 300 or response.status == 409:
            return response
        reason = f"answered with status {response.status}"
        # A 4xx status refuses the request, and 503 says that the store did not accept it. Any other
        # status, such as 500 or 502, may come from a component that failed after the write.
        if 400 <= response.status < 500 or response.status == 503:
            raise self._unavailable(step, reason)
        raise self._unknown(step, reason)

    async def _send(
        self, progress: _RequestProgress, method: str, target: str, body: bytes, media_type: str
    ) -> _Response:
        headers = [("Host", self._address)]
        if method != "GET":
            headers += [("Content-Type", media_type), ("Content-Length", str(len(body)))]
        url = httpcore.URL(
            scheme=b"http", host=self._origin.host, port=self._origin.port, target=target
        )
        req = httpcore.Request(method, url, headers=headers, content=body)
        async with self._limit:
            conn = await self._connection(progress)
            try:
                progress.sent = True
                resp = await conn.handle_async_request(req)
                content = await resp.aread()
                await resp.aclose()
            except BaseException:
                with trio.CancelScope(shield=True):
                    await conn.aclose()
                raise
            if conn.is_idle() and len(self._idle) < MAX_IDLE_CONNECTIONS:
                self._idle.append(conn)
            else:
                await conn.aclose()
        return _Response(status=resp.status, body=content)

    async def _connection(self, progress: _RequestProgress) -> httpcore.AsyncHTTP11Connection:
        while self._idle:
            # Uses the most recently used connection first, so that surplus ones expire.
            conn = self._idle.pop()
            if not conn.has_expired():
                progress.reused = True
                return conn
            await conn.aclose()
        stream = await self._network.connect_tcp(
            self._host, self._origin.port, timeout=self._timeout_s
        )
        return httpcore.AsyncHTTP11Connection(
            origin=self._origin, stream=stream, keepalive_expiry=IDLE_EXPIRY_S
        )

    def _parse(self, adapter: TypeAdapter[T], response: _Response, *, step: str) -> T:
        try:
            return adapter.validate_json(response.body)
        except ValidationError as exc:
            raise self._unavailable(step, f"malformed response: {_summary(exc)}") from exc

    def _unavailable(self, step: str, reason: str) -> PlatformUnavailableError:
        return PlatformUnavailableError(
            f"the platform is not available: {reason}", step=step, peer=self._address
        )

    def _unknown(self, step: str, reason: str) -> WriteOutcomeUnknownError:
        return WriteOutcomeUnknownError(
            f"the write may or may not have taken effect: {reason}", step=step, peer=self._address
        )


def _summary(exc: Exception) -> str:
    if isinstance(exc, ValidationError):
        first: Any = exc.errors(include_url=False)[0]
        path = ".".join(str(part) for part in first["loc"])
        return f"{path}: {first['msg']}" if path else str(first["msg"])
    return str(exc) or type(exc).__name__

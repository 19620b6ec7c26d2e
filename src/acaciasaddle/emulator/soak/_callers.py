"""Callers of a soak: they send requests over persistent connections and record the outcomes."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING
from typing import Any

import httpcore
import trio

from acaciasaddle.platform.standins import DEPOSIT_PREFIX
from acaciasaddle.platform.standins import NOT_RUN_STATUSES
from acaciasaddle.platform.standins import OPEN_PREFIX
from acaciasaddle.platform.standins import READ_PREFIX
from acaciasaddle.platform.standins import caller_headers
from acaciasaddle.platform.standins import is_own_response

if TYPE_CHECKING:
    from collections.abc import Callable

    from acaciasaddle.emulator.soak._records import RecordFile

DEADLINE_S = 2.0
EXTRA_WAIT_S = 4.0
"""Time that a caller waits for a response after its deadline."""
MEAN_PAUSE_S = 0.05
REST_SHARE = 0.8
"""Share of the idle limit for which callers let a connection rest at most."""
LEAVING_MARK = b"server-leaving"
"""Header of an answer of an upstream that leaves, as the hosts pass it on."""
DEPOSIT_SHARE = 0.4
HOT_KEY_COUNT = 40
HOT_SHARE = 0.5
"""Share of the requests for keys below ``HOT_KEY_COUNT``; the others may be for any key."""
KEY_COUNT = 65_536


class Connection:
    """A connection to one host.

    It is opened by the first request, and again after an error, a timeout or a response after which
    it was closed, or if the host has closed it meanwhile. ``sent_at`` is when the last byte of the
    last request was written, on the monotonic clock, or ``None`` if it was not written completely.
    ``kept`` is true if its connection had carried a request before.
    """

    def __init__(self, *, address: str, deadline_s: float = DEADLINE_S) -> None:
        self._deadline_s = deadline_s
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._origin = httpcore.Origin(b"http", host.encode(), self._port)
        self._conn: httpcore.AsyncHTTP11Connection | None = None
        self.sent_at: float | None = None
        self.kept = False

    async def send(
        self, method: str, target: str, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> httpcore.Response | None:
        """Send a request and return the complete response, or ``None`` on an error or timeout."""
        url = httpcore.URL(
            scheme=b"http", host=self._host.encode(), port=self._port, target=target.encode()
        )
        length = [(b"Content-Length", str(len(body)).encode())] if body else []
        extensions = {"trace": self._note_sent}
        req = httpcore.Request(
            method, url, headers=headers + length, content=body, extensions=extensions
        )
        self.sent_at = None
        try:
            with trio.fail_after(self._deadline_s + EXTRA_WAIT_S):
                conn = self._conn
                self.kept = conn is not None and conn.is_available() and not conn.has_expired()
                if conn is None or not self.kept:
                    await self.aclose()
                    conn = self._conn = httpcore.AsyncHTTP11Connection(
                        origin=self._origin,
                        stream=await httpcore.TrioBackend().connect_tcp(self._host, self._port),
                    )
                resp = await conn.handle_async_request(req)
                await resp.aread()
                await resp.aclose()
                return resp
        except (trio.TooSlowError, httpcore.NetworkError, httpcore.ProtocolError, OSError):
            await self.aclose()
            return None

    async def _note_sent(self, event: str, info: dict[str, Any]) -> None:
        if event == "http11.send_request_body.complete":
            self.sent_at = time.monotonic()

    async def aclose(self) -> None:
        """Close the connection, if there is one."""
        conn, self._conn = self._conn, None
        if conn is not None:
            with trio.CancelScope(shield=True):
                await conn.aclose()


async def run_caller(
    *,
    number: int,
    seed: int,
    running_hosts: Callable[[], dict[str, str]],
    records: RecordFile,
    deadline_s: float = DEADLINE_S,
    idle_limit_s: Callable[[], float] | None = None,
    open_share: float = 0.0,
) -> None:
    """Send requests as one caller until cancelled.

    ``running_hosts`` returns the caller addresses of the running hosts by id. With
    ``idle_limit_s``, the idle limit in force, the caller uses one connection to one host and lets
    it rest between the requests. Otherwise it sends to all hosts with short pauses. ``open_share``
    is the share of the requests without a key.
    """
    rng = random.Random(f"{seed}/{number}")
    sent = 0
    conns: dict[str, Connection] = {}
    while True:
        if idle_limit_s is None or not conns:
            await trio.sleep(rng.expovariate(1 / MEAN_PAUSE_S))
        else:
            await trio.sleep(rng.uniform(0.0, REST_SHARE * idle_limit_s()))
        addresses = running_hosts()
        if idle_limit_s is not None and conns:
            addresses = {name: addr for name, addr in addresses.items() if addr in conns}
        if not addresses:
            continue
        host_id = rng.choice(sorted(addresses))
        address = addresses[host_id]
        conn = conns.setdefault(address, Connection(address=address, deadline_s=deadline_s))
        sent += 1
        request_id = f"{number}-{sent}"
        once = rng.random() < DEPOSIT_SHARE
        key: int | None = rng.randrange(HOT_KEY_COUNT if rng.random() < HOT_SHARE else KEY_COUNT)
        if open_share and rng.random() < open_share:
            key = None
        started = time.monotonic()
        resp = await send_request(
            conn, request_id=request_id, key=key, once=once, deadline_s=deadline_s
        )
        records.add(
            "attempt",
            id=request_id,
            once=once,
            key=key,
            host=host_id,
            started=started,
            sent=conn.sent_at,
            kept=conn.kept,
            deadline_s=deadline_s,
            status=resp.status if resp else 0,
            leaving=resp is not None and (LEAVING_MARK, b"1") in resp.headers,
            outcome=classify_outcome(request_id, _body(request_id, once), resp),
        )


async def send_request(
    conn: Connection,
    *,
    request_id: str,
    key: int | None,
    once: bool,
    deadline_s: float = DEADLINE_S,
) -> httpcore.Response | None:
    """Send a deposit if ``once`` is set, otherwise a read; return the response as ``send`` does.

    Without a key it goes to the service without keys.
    """
    target = f"{DEPOSIT_PREFIX if once else READ_PREFIX}{request_id}"
    if key is None:
        target = OPEN_PREFIX + target
    headers = caller_headers(request_id=request_id, key=key, deadline_s=deadline_s)
    return await conn.send("POST" if once else "GET", target, headers, _body(request_id, once))


def _body(request_id: str, once: bool) -> bytes:
    return f"deposit {request_id}".encode() if once else b""


def classify_outcome(request_id: str, body: bytes, resp: httpcore.Response | None) -> str:
    """Return ``completed``, ``foreign``, ``not-run`` or ``unknown``.

    ``foreign`` is a success response that is incomplete, is not signed or belongs to another
    request.
    """
    if resp is None:
        return "unknown"
    if 200 <= resp.status < 300:
        return "completed" if is_own_response(request_id, body, resp) else "foreign"
    return "not-run" if resp.status in NOT_RUN_STATUSES else "unknown"

"""HTTP client for orders to upstreams: grants and releases of keys."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from acaciasaddle.errors import Outcome
from acaciasaddle.errors import UpstreamError
from acaciasaddle.http1 import ClientConnection
from acaciasaddle.keyspace import FencedError
from acaciasaddle.keyspace import KeyOrders
from acaciasaddle.keyspace import ReplacedError
from acaciasaddle.observe import get_logger
from acaciasaddle.platform._dialect import says_leaving
from acaciasaddle.platform._wire import HANDOVER
from acaciasaddle.platform._wire import PATH_PREFIX

if TYPE_CHECKING:
    from collections.abc import Callable

    from acaciasaddle.fleet import UpstreamIncarnation
    from acaciasaddle.http1 import Response
    from acaciasaddle.keyspace import KeyRange
    from acaciasaddle.keyspace import Owner

HTTP_OK = 200
HTTP_CONFLICT = 409
CONNECT_TIMEOUT_S = 0.5
REPLACED_STATUSES = (400, 404, 421)
"""Statuses that show that another upstream answered. The address of an ended upstream may be reused
by one of another service. Some upstreams check which one an order is meant for; others reject an
order about keys as malformed."""

log = get_logger("orders")


@dataclass(frozen=True, slots=True, kw_only=True)
class _IdleConnection:
    """An idle connection, and whether it has carried a release."""

    conn: ClientConnection
    after_release: bool


class PlatformOrders(KeyOrders):
    """Sends orders to upstreams, and keeps at most one idle connection to each address.

    Responses to orders do not say which order they answer, and an upstream may send a second copy
    of one later. Keys must not be granted elsewhere because of such a copy: only the response to a
    release has a handover, and a connection carries at most one release, as its last order but for
    grants. A connection that carried a refusal is not used again, since a copy of the refusal would
    make the next order count as not carried out.
    """

    def __init__(
        self, *, note_leaving: Callable[[UpstreamIncarnation], None] | None = None
    ) -> None:
        """``note_leaving`` is called with an upstream whose answer says that it leaves."""
        self._idle: dict[str, _IdleConnection] = {}
        self._note_leaving = note_leaving

    async def grant(
        self,
        owner: Owner,
        keys: KeyRange,
        *,
        fence: int,
        lease_s: float,
        handover: str,
        timeout_s: float,
    ) -> None:
        body: dict[str, object] = {
            "from": keys.first,
            "to": keys.last,
            "fence": fence,
            # Counted from the arrival of the order, not from its response.
            "holdS": lease_s,
        }
        if handover:
            body["handover"] = handover
        await self._send_order("grant", owner, body, timeout_s)

    async def release(self, owner: Owner, keys: KeyRange, *, fence: int, timeout_s: float) -> str:
        body: dict[str, object] = {"from": keys.first, "to": keys.last, "fence": fence}
        fields = await self._send_order("release", owner, body, timeout_s, is_release=True)
        return fields.get(HANDOVER, "")

    async def responds(self, address: str, *, health_path: str, timeout_s: float) -> bool:
        conn: ClientConnection | None = None
        try:
            with trio.fail_after(timeout_s):
                conn = await ClientConnection.connect(address=address, timeout_s=timeout_s)
                await conn.exchange(
                    method="GET", target=health_path, headers=[(b"Host", address.encode())]
                )
        except (UpstreamError, trio.TooSlowError) as exc:
            log.debug("upstream does not respond", address=address, reason=str(exc))
            return False
        finally:
            if conn is not None:
                conn.abort()
        return True

    def close_connection(self, address: str) -> None:
        idle = self._idle.pop(address, None)
        if idle is not None:
            idle.conn.abort()

    async def _send_order(
        self,
        name: str,
        owner: Owner,
        body: dict[str, object],
        timeout_s: float,
        *,
        is_release: bool = False,
    ) -> dict[str, str]:
        """Send an order and return the headers of its response."""
        address = owner.address
        data = json.dumps(body).encode()
        headers = [
            (b"Host", address.encode()),
            (b"Content-Type", b"application/json"),
            (b"Target-Instance", owner.incarnation.upstream_id.encode("latin-1")),
            (b"Content-Length", str(len(data)).encode()),
        ]
        conn: ClientConnection | None = None
        step = f"orders.{name}"
        try:
            with trio.fail_after(timeout_s):
                conn, after_release = await self._connection(address, is_release=is_release)
                resp = await conn.exchange(
                    method="POST",
                    target=f"{PATH_PREFIX}/{name}",
                    headers=headers,
                    body=data,
                    matches=_may_answer_release if is_release else None,
                )
            conn.reusable = conn.reusable and resp.status == HTTP_OK
        except trio.TooSlowError as exc:
            outcome = Outcome.UNKNOWN if conn else Outcome.NOT_RUN
            raise UpstreamError(
                "no response to the order in time", outcome=outcome, step=step, peer=address
            ) from exc
        finally:
            # The reset discards an order that is still in transit.
            if conn is not None and not conn.reusable:
                conn.abort()
        if conn.reusable:
            self.close_connection(address)
            self._idle[address] = _IdleConnection(
                conn=conn, after_release=after_release or is_release
            )
        self._check_leaving(resp, owner.incarnation)
        if resp.status == HTTP_CONFLICT:
            raise FencedError(
                "the upstream has seen a higher fencing token", step=step, peer=address
            )
        if resp.status in REPLACED_STATUSES:
            raise ReplacedError(
                f"another upstream answered with status {resp.status}", step=step, peer=address
            )
        if resp.status != HTTP_OK:
            raise UpstreamError(
                f"the upstream answered with status {resp.status}",
                outcome=Outcome.UNKNOWN,
                step=step,
                peer=address,
            )
        return resp.fields

    def _check_leaving(self, resp: Response, life: UpstreamIncarnation) -> None:
        if (
            self._note_leaving is not None
            # Other statuses may come from another upstream that has taken the address.
            and resp.status in (HTTP_OK, HTTP_CONFLICT)
            and says_leaving(resp.status, resp.fields, life.upstream_id)
        ):
            self._note_leaving(life)

    async def _connection(self, address: str, *, is_release: bool) -> tuple[ClientConnection, bool]:
        """Return a connection for an order, and whether it has carried a release."""
        idle = self._idle.get(address)
        if idle is not None and not (is_release and idle.after_release):
            del self._idle[address]
            if idle.conn.is_open_and_idle():
                return idle.conn, idle.after_release
            idle.conn.abort()
        conn = await ClientConnection.connect(address=address, timeout_s=CONNECT_TIMEOUT_S)
        return conn, False


def _may_answer_release(resp: Response) -> bool:
    """Return whether a response may be that to a release."""
    return resp.status != HTTP_OK or HANDOVER in resp.fields

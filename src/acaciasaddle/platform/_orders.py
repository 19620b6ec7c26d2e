"""HTTP client for orders to upstreams: grants and releases of keys."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import trio

from acaciasaddle.errors import Outcome
from acaciasaddle.errors import UpstreamError
from acaciasaddle.http1 import ClientConnection
from acaciasaddle.keyspace import FencedError
from acaciasaddle.keyspace import KeyOrders
from acaciasaddle.keyspace import ReplacedError
from acaciasaddle.observe import get_logger
from acaciasaddle.platform._wire import HANDOVER
from acaciasaddle.platform._wire import PATH_PREFIX

if TYPE_CHECKING:
    from acaciasaddle.keyspace import KeyRange
    from acaciasaddle.keyspace import Owner

CONNECT_TIMEOUT_S = 0.5
REPLACED_STATUSES = (400, 404, 421)
"""Statuses that show that another upstream answered. The address of an ended upstream may be reused
by one of another service. Some upstreams check which one an order is meant for; others reject an
order about keys as malformed."""

log = get_logger("orders")


class PlatformOrders(KeyOrders):
    """Sends orders to upstreams, and keeps at most one idle connection to each address."""

    def __init__(self) -> None:
        self._idle: dict[str, ClientConnection] = {}

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
        fields = await self._send_order("release", owner, body, timeout_s, fresh=True)
        return fields.get(HANDOVER, "")

    async def reachable(self, address: str, *, timeout_s: float) -> bool:
        try:
            conn = await ClientConnection.connect(address=address, timeout_s=timeout_s)
        except UpstreamError as exc:
            log.debug("upstream not reachable", address=address, reason=str(exc))
            return False
        conn.abort()
        return True

    def close_connection(self, address: str) -> None:
        conn = self._idle.pop(address, None)
        if conn is not None:
            conn.abort()

    async def _send_order(
        self,
        name: str,
        owner: Owner,
        body: dict[str, object],
        timeout_s: float,
        *,
        fresh: bool = False,
    ) -> dict[str, str]:
        """Send an order and return the headers of its response.

        Responses to orders do not say which order they answer. A ``fresh`` order has a connection
        of its own, on which no second copy of an earlier response can arrive: keys must not be
        granted elsewhere because an earlier order was answered twice.
        """
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
                conn = await self._connection(address, fresh=fresh)
                resp = await conn.exchange(
                    method="POST", target=f"{PATH_PREFIX}/{name}", headers=headers, body=data
                )
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
            previous = self._idle.pop(address, None)
            if previous is not None:
                previous.abort()
            self._idle[address] = conn
        if resp.status == 409:
            raise FencedError(
                "the upstream has seen a higher fencing token", step=step, peer=address
            )
        if resp.status in REPLACED_STATUSES:
            raise ReplacedError(
                f"another upstream answered with status {resp.status}", step=step, peer=address
            )
        if resp.status != 200:
            raise UpstreamError(
                f"the upstream answered with status {resp.status}",
                outcome=Outcome.UNKNOWN,
                step=step,
                peer=address,
            )
        return resp.fields

    async def _connection(self, address: str, *, fresh: bool) -> ClientConnection:
        conn = self._idle.pop(address, None) if not fresh else None
        if conn is not None:
            if conn.is_open_and_idle():
                return conn
            conn.abort()
        return await ClientConnection.connect(address=address, timeout_s=CONNECT_TIMEOUT_S)

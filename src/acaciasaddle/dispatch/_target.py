"""State that the dispatcher keeps for one upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

import httpcore
import trio

from acaciasaddle.dispatch import _headers
from acaciasaddle.dispatch._connections import ConnectionPool
from acaciasaddle.dispatch._exchange import CONNECTION_ERRORS
from acaciasaddle.dispatch._queue import UpstreamQueue
from acaciasaddle.dispatch._replication import Replicator
from acaciasaddle.dispatch._retries import RetryBudget
from acaciasaddle.errors import UpstreamError

if TYPE_CHECKING:
    from acaciasaddle.clock import Clock
    from acaciasaddle.config import Rules
    from acaciasaddle.model import UpstreamId
    from acaciasaddle.observe import Metrics
    from acaciasaddle.ownership import Authority
    from acaciasaddle.ownership import Permit

CANCEL_TIMEOUT_S = 1.0
"""Time limit for cancelling a request, which keeps its slot meanwhile."""


class Target:
    """Queue, connections, retry budget and replication of records of one upstream."""

    def __init__(
        self,
        *,
        upstream: UpstreamId,
        clock: Clock,
        metrics: Metrics,
        rules: Rules,
        authority: Authority,
        backend: httpcore.AsyncNetworkBackend,
    ) -> None:
        self.upstream = upstream
        self.queue = UpstreamQueue(upstream=upstream, clock=clock, metrics=metrics, rules=rules)
        self.connections = ConnectionPool(clock=clock, backend=backend)
        self.retries = RetryBudget()
        self.replicator = Replicator(upstream=upstream, authority=authority)

    async def cancel_request(self, permit: Permit, request_id: str) -> bool:
        """Ask the upstream to cancel a request. Return whether it answered in time."""
        host, _, port = permit.address.rpartition(":")
        request = httpcore.Request(
            method=b"DELETE",
            url=httpcore.URL(
                scheme=b"http",
                host=host.encode("ascii"),
                port=int(port),
                target=f"/requests/{quote(request_id, safe='')}".encode("ascii"),
            ),
            headers=_headers.cancel_headers(permit),
        )
        with trio.move_on_after(CANCEL_TIMEOUT_S):
            try:
                conn = await self.connections.acquire(
                    permit.address,
                    limit=permit.connections,
                    recent_only=True,
                    new_only=False,
                    timeout=CANCEL_TIMEOUT_S,
                )
            except UpstreamError:
                return False
            try:
                response = await conn.http.handle_async_request(request)
                await response.aread()
                await response.aclose()
            except (*CONNECTION_ERRORS, httpcore.LocalProtocolError):
                return False
            finally:
                if conn.http.is_idle():
                    self.connections.release(conn)
                else:
                    await self.connections.discard(conn)
            return True
        return False

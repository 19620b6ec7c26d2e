"""Steps of forward/pool.feature: real connections on loopback."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any

import trio
from behave import given
from behave import then
from behave import when
from features.support.scripted_upstream import RESPONSES
from features.support.scripted_upstream import ScriptedServer

from acaciasaddle.fleet import UpstreamEntry
from acaciasaddle.fleet import UpstreamIncarnation
from acaciasaddle.forward._pool import ConnectionPool

if TYPE_CHECKING:
    from acaciasaddle.http1 import ClientConnection

Action = Callable[[ConnectionPool, UpstreamEntry], Awaitable[None]]


class ConnectionPoolSteps:
    """Guards against reuse of connections idle for too long, and against too many idle ones."""

    @staticmethod
    @given("a connection pool and an upstream")
    def pool(context: Any) -> None:
        context.pool_actions = []
        context.pool_server = ScriptedServer(responses=["+" + RESPONSES["ok"].lstrip("+")])

    @staticmethod
    async def _use(conn: ClientConnection) -> None:
        await conn.exchange(method="GET", target="/", headers=[(b"Host", b"x")])

    @staticmethod
    @when("a connection was used and is idle for {seconds:g} s")
    def use_and_idle(context: Any, seconds: float) -> None:
        async def action(pool: ConnectionPool, upstream: UpstreamEntry) -> None:
            conn = await pool.acquire(upstream, fresh=False)
            await ConnectionPoolSteps._use(conn)
            pool.release(upstream, conn)
            await trio.sleep(seconds)

        context.pool_actions.append(action)

    @staticmethod
    @when("a connection is taken for a request that may {kind}")
    def take(context: Any, kind: str) -> None:
        async def action(pool: ConnectionPool, upstream: UpstreamEntry) -> None:
            await ConnectionPoolSteps._use(await pool.acquire(upstream, fresh=kind == "run once"))

        context.pool_actions.append(action)

    @staticmethod
    @when("{count:d} connections that were open at the same time are released")
    def release_all(context: Any, count: int) -> None:
        async def action(pool: ConnectionPool, upstream: UpstreamEntry) -> None:
            conns = [await pool.acquire(upstream, fresh=False) for _ in range(count)]
            for conn in conns:
                await ConnectionPoolSteps._use(conn)
                pool.release(upstream, conn)

        context.pool_actions.append(action)

    @staticmethod
    def _run(context: Any) -> ConnectionPool:
        async def main() -> ConnectionPool:
            actions: list[Action] = context.pool_actions
            pool = ConnectionPool()
            async with trio.open_nursery() as nursery:
                await nursery.start(context.pool_server.run)
                upstream = UpstreamEntry(
                    life=UpstreamIncarnation(upstream_id="u1", started_ms=1),
                    service="s",
                    address=context.pool_server.address,
                    data_centre="east",
                    slots=2,
                    draining=False,
                    cold_s=0.0,
                )
                with trio.fail_after(5):
                    for action in actions:
                        await action(pool, upstream)
                nursery.cancel_scope.cancel()
            return pool

        return trio.run(main)

    @staticmethod
    @then("the upstream has seen {count:d} connections")
    def connections_seen(context: Any, count: int) -> None:
        ConnectionPoolSteps._run(context)
        assert context.pool_server.connections == count, context.pool_server.connections

    @staticmethod
    @then("{count:d} idle connections are kept")
    def idle_kept(context: Any, count: int) -> None:
        pool = ConnectionPoolSteps._run(context)
        assert pool.idle_connections == count, pool.idle_connections

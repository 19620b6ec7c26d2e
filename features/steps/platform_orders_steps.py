"""Steps of users_platform/orders.feature, on loopback."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING
from typing import Any

import h11
import trio
from behave import given
from behave import then
from behave import when
from features.support.scripted_upstream import RESET
from features.support.scripted_upstream import SILENT
from features.support.scripted_upstream import ScriptedServer

from acaciasaddle.errors import UpstreamError
from acaciasaddle.fleet import UpstreamIncarnation
from acaciasaddle.keyspace import KeyRange
from acaciasaddle.keyspace import Owner
from acaciasaddle.platform import PlatformOrders

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

KEYS = KeyRange(0, 99)
EMPTY_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


def _owner(address: str) -> Owner:
    life = UpstreamIncarnation(upstream_id="u1", started_ms=1)
    return Owner(incarnation=life, address=address)


async def _grant(orders: PlatformOrders, owner: Owner) -> None:
    await orders.grant(owner, KEYS, fence=1, lease_s=3.5, handover="", timeout_s=0.5)


class OrderOutcomeSteps:
    """Guards against an order that may have been carried out but counts as not carried out."""

    @staticmethod
    @given('an upstream that answers orders with "{answer}"')
    def upstream(context: Any, answer: str) -> None:
        response = f"HTTP/1.1 {answer} X\r\nContent-Length: 0\r\n\r\n"
        scripted = answer if answer in (RESET, SILENT) else response
        context.server = ScriptedServer(responses=[scripted])

    @staticmethod
    @given('an upstream that answers orders with "{answer}" and the mark of one that leaves')
    def leaving_upstream(context: Any, answer: str) -> None:
        response = f"HTTP/1.1 {answer} X\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
        context.server = ScriptedServer(responses=[response])

    @staticmethod
    @then("the upstream is {known} to leave")
    def known_to_leave(context: Any, known: str) -> None:
        assert (len(context.leaving) == 1) == (known == "known"), context.leaving

    @staticmethod
    @when("a grant is sent")
    def grant(context: Any) -> None:
        context.leaving = []

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                await nursery.start(context.server.run)
                try:
                    orders = PlatformOrders(note_leaving=context.leaving.append)
                    await _grant(orders, _owner(context.server.address))
                    context.outcome = "carried out"
                except UpstreamError as exc:
                    context.outcome = f"{type(exc).__name__} {exc.outcome.value}"
                nursery.cancel_scope.cancel()

        trio.run(main)

    @staticmethod
    @when("the upstream is probed")
    def probe(context: Any) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                await nursery.start(context.server.run)
                context.responds = await PlatformOrders().responds(
                    context.server.address, health_path="/health", timeout_s=0.3
                )
                nursery.cancel_scope.cancel()

        trio.run(main)

    @staticmethod
    @then('it "{result}"')
    def probed(context: Any, result: str) -> None:
        assert context.responds == (result == "responds"), context.responds

    @staticmethod
    @then('the order ends as "{outcome}"')
    def ends(context: Any, outcome: str) -> None:
        assert context.outcome == outcome, context.outcome


class SecondCopySteps:
    """Guards against a late second copy of a response on a connection that is in use again."""

    @staticmethod
    @given("an upstream that answers a {order} twice, the second time {seconds:g} s later")
    def upstream(context: Any, order: str, seconds: float) -> None:
        context.answered_twice = order
        context.delay_s = seconds
        context.releases = 0
        context.refusal = b""

    @staticmethod
    @given(
        "an upstream that refuses its first grant with {status:d}, and again {seconds:g} s later"
    )
    def refusing_upstream(context: Any, status: int, seconds: float) -> None:
        SecondCopySteps.upstream(context, "grant", seconds)
        context.refusal = EMPTY_RESPONSE.replace(b"200 OK", f"{status} No".encode())

    @staticmethod
    @when("a grant is refused and a {order} is sent")
    def refused_then(context: Any, order: str) -> None:
        async def send(orders: PlatformOrders, owner: Owner) -> None:
            with suppress(UpstreamError):
                await _grant(orders, owner)
                raise AssertionError("the first grant was not refused")
            try:
                if order == "grant":
                    await _grant(orders, owner)
                else:
                    await orders.release(owner, KEYS, fence=2, timeout_s=1.0)
                context.outcome = "carried out"
            except UpstreamError as exc:
                context.outcome = f"{type(exc).__name__} {exc.outcome.value}"

        SecondCopySteps._run(context, send)

    @staticmethod
    @then("the second order is carried out")
    def second_carried_out(context: Any) -> None:
        assert context.outcome == "carried out", context.outcome

    @staticmethod
    async def _serve(context: Any, stream: trio.SocketStream, nursery: trio.Nursery) -> None:
        parser = h11.Connection(h11.SERVER)
        order = ""
        async with stream:
            while True:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    parser.receive_data(await stream.receive_some(65_536))
                elif isinstance(event, h11.Request):
                    order = event.target.decode().rpartition("/")[2]
                elif isinstance(event, h11.ConnectionClosed):
                    return
                elif isinstance(event, h11.EndOfMessage):
                    await SecondCopySteps._answer(context, stream, order, nursery)
                    parser = h11.Connection(h11.SERVER)

    @staticmethod
    async def _answer(
        context: Any, stream: trio.SocketStream, order: str, nursery: trio.Nursery
    ) -> None:
        response = EMPTY_RESPONSE
        if context.refusal:
            response, context.refusal = context.refusal, b""
        elif order == "grant" and context.answered_twice == "grant":
            # The second copy of the first response arrives before this one.
            await trio.sleep(context.delay_s * 2)
        if order == "release":
            context.releases += 1
            if context.releases > 1 or context.answered_twice == "grant":
                # The work in progress on the keys takes longer than the second copy.
                await trio.sleep(context.delay_s * 2)
            handover = f"OK\r\nHandover: h{context.releases}\r\n".encode()
            response = response.replace(b"OK\r\n", handover)
        await stream.send_all(response)
        if order == context.answered_twice:
            nursery.start_soon(SecondCopySteps._send_again, context, stream, response)

    @staticmethod
    async def _send_again(context: Any, stream: trio.SocketStream, response: bytes) -> None:
        await trio.sleep(context.delay_s)
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await stream.send_all(response)

    @staticmethod
    @when("a grant and a release are sent")
    def grant_and_release(context: Any) -> None:
        SecondCopySteps._send_orders(context, releases=1)

    @staticmethod
    @when("a grant, a release and a release are sent")
    def grant_and_two_releases(context: Any) -> None:
        SecondCopySteps._send_orders(context, releases=2)

    @staticmethod
    def _send_orders(context: Any, *, releases: int) -> None:
        async def send(orders: PlatformOrders, owner: Owner) -> None:
            await _grant(orders, owner)
            context.handovers = [
                await orders.release(owner, KEYS, fence=2, timeout_s=1.0) for _ in range(releases)
            ]

        SecondCopySteps._run(context, send)

    @staticmethod
    def _run(context: Any, send: Callable[[PlatformOrders, Owner], Awaitable[None]]) -> None:
        async def main() -> None:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            async with trio.open_nursery() as nursery:

                async def serve(stream: trio.SocketStream) -> None:
                    # The client resets connections that it does not use again.
                    with suppress(trio.BrokenResourceError):
                        await SecondCopySteps._serve(context, stream, nursery)

                nursery.start_soon(trio.serve_listeners, serve, listeners)
                await send(PlatformOrders(), _owner(address))
                nursery.cancel_scope.cancel()

        trio.run(main)

    @staticmethod
    @then('the handovers are "{handovers}"')
    def handovers(context: Any, handovers: str) -> None:
        assert ", ".join(context.handovers) == handovers, context.handovers

"""Steps of connections.feature."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import Any

import trio
from behave import given
from behave import then
from behave import when
from peers_support import REQUEST
from peers_support import Body
from peers_support import Caller
from peers_support import Raw
from peers_support import run_hosts

from acaciasaddle.errors import NotOwnerError
from acaciasaddle.errors import PeerUnreachableError
from acaciasaddle.wire import Done
from acaciasaddle.wire import Hello
from acaciasaddle.wire import RowsSince
from acaciasaddle.wire import decode

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from peers_support import Hosts

    from acaciasaddle.wire import Call
    from acaciasaddle.wire import Reply

CALL = RowsSince(revision=0)


async def done(member: str, call: Call) -> Reply:
    """Answer a call at once."""
    return Done()


async def timed(context: Any, action: Callable[[], Awaitable[Any]]) -> None:
    """Run an action; note its error and the time that it took."""
    start = trio.current_time()
    context.error = None
    try:
        await action()
    except Exception as exc:
        context.error = exc
    context.took = trio.current_time() - start


def failed(context: Any, *, sent: bool) -> None:
    """Check that the action failed because the peer was not reached."""
    assert isinstance(context.error, PeerUnreachableError), context.error
    assert context.error.sent is sent, context.error


class ConnectionSteps:
    """Guards against hosts that take a dead connection for a live one, or the reverse."""

    @staticmethod
    @given('peers "{names}"')
    def peers(context: Any, names: str) -> None:
        context.names = names
        context.partners = {}

    @staticmethod
    @given('the peer "{one}" has the partner "{other}"')
    def partners(context: Any, one: str, other: str) -> None:
        context.partners[one] = frozenset({f"{other}@1"})

    @staticmethod
    def run(context: Any, script: Callable[[Hosts], Awaitable[None]]) -> None:
        """Run a script with the peers of the scenario."""

        async def prepared(hosts: Hosts) -> None:
            for name, hub in hosts.hubs.items():
                hub.on_call(RowsSince, done)
                hub.set_partners(context.partners.get(name, frozenset()))
            context.hosts = hosts
            await script(hosts)

        run_hosts(context.names, prepared)

    # Silence

    @staticmethod
    @when("the peers' open connections go silent for good after 2 s")
    def silent_partner(context: Any) -> None:
        async def script(hosts: Hosts) -> None:
            hub = hosts.hubs["a"]
            await trio.sleep(2)
            context.dials = len(hosts.network.dials)
            hosts.network.silence_open_connections()
            context.oldest = 0.0
            for _ in range(2000):
                await trio.sleep(0.001)
                age = trio.current_time() - hub.vouched_at("b@1")
                context.oldest = max(context.oldest, age)
            context.dials = len(hosts.network.dials) - context.dials

        ConnectionSteps.run(context, script)

    @staticmethod
    @then('the peer "a" was never without a vouched reading for more than {limit:f} s')
    def vouched_again(context: Any, limit: float) -> None:
        assert 0.25 < context.oldest < limit, context.oldest

    @staticmethod
    @then("the peers dialled at most {limit:d} new connections")
    def few_dials(context: Any, limit: int) -> None:
        assert 1 <= context.dials <= limit, context.dials

    @staticmethod
    @when('the peer "a" calls "b" over a connection that has gone silent')
    def silent_call(context: Any) -> None:
        async def script(hosts: Hosts) -> None:
            hub = hosts.hubs["a"]
            await hub.call("b@1", CALL, timeout=1)
            hosts.network.silence_open_connections()
            await timed(context, lambda: hub.call("b@1", CALL, timeout=30))
            context.reply = await hub.call("b@1", CALL, timeout=1)

        ConnectionSteps.run(context, script)

    @staticmethod
    @then("the peers' call fails as sent after {low:f} to {high:f} s")
    @then("the peers' request fails as sent after {low:f} to {high:f} s")
    def fails_in_time(context: Any, low: float, high: float) -> None:
        failed(context, sent=True)
        assert low <= context.took <= high, context.took

    @staticmethod
    @then("the peers' next call succeeds")
    def next_call(context: Any) -> None:
        assert context.reply == Done()

    @staticmethod
    @when('the peers\' direction from "{source}" to "{target}" is cut during a request')
    def cut(context: Any, source: str, target: str) -> None:
        context.cancelled_after = None

        async def script(hosts: Hosts) -> None:
            async def endless(*_: Any) -> None:
                try:
                    await trio.sleep_forever()
                finally:
                    context.cancelled_after = trio.current_time() - context.cut_at

            hosts.hubs["b"].on_work(endless)
            await hosts.hubs["a"].call("b@1", CALL, timeout=1)
            async with trio.open_nursery() as nursery:
                work = hosts.hubs["a"].work
                nursery.start_soon(timed, context, lambda: work("b@1", REQUEST, Body(), Caller()))
                await trio.sleep(0.1)
                hosts.network.cuts.add((f"{source}:1", f"{target}:1"))
                context.cut_at = trio.current_time()
            context.took -= 0.1
            await trio.sleep(4)
            context.vouched = hosts.hubs["a"].vouched_at("b@1")

        ConnectionSteps.run(context, script)

    @staticmethod
    @then('the peer "a" has no vouched reading later than the cut')
    def no_vouching(context: Any) -> None:
        assert context.vouched <= context.cut_at, (context.vouched, context.cut_at)

    @staticmethod
    @then("the peers' handler was cancelled")
    def handler_cancelled(context: Any) -> None:
        assert context.cancelled_after is not None

    @staticmethod
    @then("the peers' handler was cancelled within {limit:f} s")
    def cancelled_within(context: Any, limit: float) -> None:
        assert context.cancelled_after is not None
        assert context.cancelled_after <= limit, context.cancelled_after

    # Dialling

    @staticmethod
    @when('the peer "a" calls a host that refuses and one that does not answer')
    def no_host(context: Any) -> None:
        async def script(hosts: Hosts) -> None:
            hosts.meet("c", "d")
            hosts.network.cuts.add(("d:1", "a:1"))
            hub = hosts.hubs["a"]
            await timed(context, lambda: hub.call("c@1", CALL, timeout=9))
            context.first = context.error
            await timed(context, lambda: hub.call("d@1", CALL, timeout=9))

        ConnectionSteps.run(context, script)

    @staticmethod
    @then("the peers' errors say refused, then not refused, and both not sent")
    def refused(context: Any) -> None:
        failed(context, sent=False)
        assert not context.error.refused
        context.error = context.first
        failed(context, sent=False)
        assert context.error.refused

    @staticmethod
    @then("the peer took 1.0 s to give up the second")
    def gave_up(context: Any) -> None:
        assert abs(context.took - 1.0) < 0.01, context.took

    @staticmethod
    @when('the peer "a" tries 1000 calls in 10 s to a host that refuses')
    def many_refused(context: Any) -> None:
        async def script(hosts: Hosts) -> None:
            hosts.meet("c")
            context.longest = 0.0
            for _ in range(1000):
                await timed(context, lambda: hosts.hubs["a"].call("c@1", CALL, timeout=9))
                failed(context, sent=False)
                context.longest = max(context.longest, context.took)
                await trio.sleep(0.01)

        ConnectionSteps.run(context, script)

    @staticmethod
    @then("the peers dialled between {low:d} and {high:d} times and no call waited")
    def spread(context: Any, low: int, high: int) -> None:
        assert low <= len(context.hosts.network.dials) <= high, len(context.hosts.network.dials)
        assert context.longest < 0.001, context.longest

    @staticmethod
    @when('the peer "a" calls "b@1" at an address where "b@2" listens')
    def next_incarnation(context: Any) -> None:
        async def script(hosts: Hosts) -> None:
            listener, _ = await hosts.network.listen("b:1")
            hosts.meet("b")
            context.frames = []

            async def serve() -> None:
                raw = Raw(stream=await listener.accept())
                await raw.send(Hello(member="b@2", data_centre="north", peer_address=""))
                while (data := await raw.frames.receive()) is not None:
                    context.frames.append(decode(data))

            hosts.nursery.start_soon(serve)
            await timed(context, lambda: hosts.hubs["a"].call("b@1", CALL, timeout=9))
            await trio.sleep(0.01)

        ConnectionSteps.run(context, script)

    @staticmethod
    @then('the peers\' call fails as not sent and "b@2" received only a Hello')
    def only_hello(context: Any) -> None:
        failed(context, sent=False)
        assert [type(message) for message in context.frames] == [Hello], context.frames

    # Use

    @staticmethod
    @when('the peer "a" calls "b" and then nothing for 70 s without digests')
    def idle(context: Any) -> None:
        async def script(hosts: Hosts) -> None:
            hosts.hubs["b"].set_members({})
            await hosts.hubs["a"].call("b@1", CALL, timeout=1)
            start = trio.current_time()
            hosts.hubs["a"]._beat = lambda member: None  # type: ignore[method-assign]
            while hosts.hubs["a"]._connections:
                await trio.sleep(0.05)
            context.took = trio.current_time() - start

        ConnectionSteps.run(context, script)

    @staticmethod
    @then("the peers' connection was closed after {low:d} to {high:d} s")
    def closed_idle(context: Any, low: int, high: int) -> None:
        assert low <= context.took <= high, context.took

    @staticmethod
    @when('the peer "a" makes a call that "b" answers after 20 s')
    def long_call(context: Any) -> None:
        async def script(hosts: Hosts) -> None:
            async def slow(member: str, call: Call) -> Reply:
                await trio.sleep(20)
                return Done()

            hosts.hubs["b"].on_call(RowsSince, slow)
            await timed(context, lambda: hosts.hubs["a"].call("b@1", CALL, timeout=30))

        ConnectionSteps.run(context, script)

    @staticmethod
    @then("the peers' call succeeds on the first connection")
    def first_connection(context: Any) -> None:
        assert context.error is None, context.error
        assert len([x for x in context.hosts.network.dials if x[1] == "a:1"]) == 1

    @staticmethod
    @when("the peers' clock jumps by 5 s")
    def jump(context: Any) -> None:
        async def script(hosts: Hosts) -> None:
            await trio.sleep(1)
            hosts.clock.jump(5)
            await trio.sleep(1)

        ConnectionSteps.run(context, script)

    @staticmethod
    @then("the peers' connection is still the first one")
    def still_first(context: Any) -> None:
        assert len([x for x in context.hosts.network.dials if x[1] == "a:1"]) == 1

    @staticmethod
    @when("the peers run for 10 s with different configuration versions")
    def digests(context: Any) -> None:
        async def script(hosts: Hosts) -> None:
            for number, hub in enumerate(hosts.hubs.values()):
                hub.set_digest(config_version=100 + number, revision=number)
            await trio.sleep(10)
            context.known = {
                name: {digest.member[0]: digest.config_version - 100 for digest in hub.digests()}
                for name, hub in hosts.hubs.items()
            }

        ConnectionSteps.run(context, script)

    @staticmethod
    @then("every peer knows the versions of all others")
    def all_known(context: Any) -> None:
        expected = {name: number for number, name in enumerate(context.names)}
        for name, known in context.known.items():
            assert known == {k: v for k, v in expected.items() if k != name}, (name, known)

    # Malformed frames

    @staticmethod
    @when('200 connections with random bytes, seed 5, reach peer "b" before and after Hello')
    def malformed(context: Any) -> None:
        rng = random.Random(5)

        async def script(hosts: Hosts) -> None:
            connect = hosts.network.connect_from("x:1")
            context.ended = 0
            for number in range(200):
                raw = Raw(stream=await connect("b:1"))
                if number % 2:
                    await raw.hello(f"x@{number}")
                data = rng.randbytes(rng.randrange(1, 60))
                if number % 4 < 2:
                    data = len(data).to_bytes(4, "little") + data
                await raw.stream.send_all(data)
                with trio.move_on_after(2):
                    # A length that is not complete leaves the hub waiting; then it is the end
                    # of the stream that has to end the connection.
                    if await raw.stream.receive_some(1) == b"":
                        context.ended += 1
                        continue
                await raw.stream.aclose()
                context.ended += 1
            await trio.sleep(3)
            context.open = len([x for x in hosts.hubs["b"]._connections if x.member[0] == "x"])
            context.reply = await hosts.hubs["a"].call("b@1", CALL, timeout=1)

        ConnectionSteps.run(context, script)

    @staticmethod
    @then("the peers' calls still succeed")
    def still_served(context: Any) -> None:
        assert context.reply == Done()

    @staticmethod
    @then('the peer "b" has closed the 200 connections')
    def all_closed(context: Any) -> None:
        assert context.ended == 200
        assert context.open == 0

    # Stop

    @staticmethod
    @when('the peer "b" stops during a request of 30 s and "a" sends another')
    def stop(context: Any) -> None:
        async def script(hosts: Hosts) -> None:
            async def slow(req: Any, body: Any, reply: Any) -> None:
                await reply.head(200, ())
                await trio.sleep(30)
                await reply.end()

            hub = hosts.hubs["b"]
            hub.on_work(slow)
            work = hosts.hubs["a"].work
            context.caller = Caller()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(work, "b@1", REQUEST, Body(), context.caller)
                await trio.sleep(0.01)
                hub._state.stopping = True
                await timed(context, lambda: work("b@1", REQUEST, Body(), Caller()))
                context.refusal = context.error
                await timed(context, hub.stop)
            await trio.sleep(0.01)
            context.left = [*hub._connections, *hosts.hubs["a"]._connections]

        ConnectionSteps.run(context, script)

    @staticmethod
    @then("the peers' first request is complete and the stop took 30 to 31 s")
    def complete(context: Any) -> None:
        assert context.caller.complete
        assert 29.9 <= context.took <= 31, context.took

    @staticmethod
    @then("the peers' other request was refused with NotOwnerError")
    def not_owner(context: Any) -> None:
        assert isinstance(context.refusal, NotOwnerError), context.refusal

    @staticmethod
    @then("the peers' connections are all closed")
    def none_left(context: Any) -> None:
        assert not context.left, context.left

"""Steps of peers/connections.feature."""

from __future__ import annotations

import dataclasses
import math
import random
from typing import Any

import trio
from peers_support import CALL
from peers_support import REQUEST
from peers_support import Body
from peers_support import Caller
from peers_support import PeersSteps
from peers_support import ScriptedPeer
from peers_support import done
from peers_support import peers_when

from acaciasaddle import wire
from acaciasaddle.clock import TrioClock
from acaciasaddle.observe import NullMetrics
from acaciasaddle.peers import TcpPeerHub

INVALID_ADDRESSES = {
    "host name": "entry.example:7000",
    "invalid port": "127.0.0.1:99999",
    "empty address": "",
}


class ConnectionSteps(PeersSteps):
    """Guards against dead connections that count as live, and live ones that count as dead."""

    @peers_when("the peers' open connections go silent permanently after 2 s")
    async def silent_partner(self) -> None:
        await trio.sleep(2)
        before = self.dials()
        self.network.silence_open_connections()
        oldest = 0.0
        for _ in range(2000):
            await trio.sleep(0.001)
            oldest = max(oldest, trio.current_time() - self.a.confirmed_at("b@1"))
        self.results["greatest age of the confirmed reading"] = oldest
        self.results["new dials"] = self.dials() - before

    @peers_when('the peer "a" calls "b" over a connection that has gone silent')
    async def silent_call(self) -> None:
        await self.a.call("b@1", CALL, timeout=1)
        self.network.silence_open_connections()
        await self.attempt("silent call", lambda: self.a.call("b@1", CALL, timeout=30))
        await self.attempt("next call", lambda: self.a.call("b@1", CALL, timeout=1))

    @peers_when(
        'the peer "a" sends "b" a request with once {once} over a connection that has gone silent'
    )
    async def silent_once(self, once: str) -> None:
        async def answer(req: Any, body: Any, response: Any) -> None:
            await response.head(200, ())
            await response.end()

        req = dataclasses.replace(REQUEST, once=once == "true")
        self.b.on_work(answer)
        # With digests the last frame would be recent, so the request would be sent without a check.
        self.a._send_heartbeat = self.b._send_heartbeat = lambda member: None
        await self.a.call("b@1", CALL, timeout=1)
        await trio.sleep(10)
        self.network.silence_open_connections()
        for name in ("silent request", "next request"):
            await self.attempt(name, lambda: self.a.work("b@1", req, Body(), Caller()))

    @peers_when('the peers\' traffic from "{source}" to "{target}" is cut during a request')
    async def cut(self, source: str, target: str) -> None:
        async def endless(*_: Any) -> None:
            try:
                await trio.sleep_forever()
            finally:
                after = trio.current_time() - self.cut_at
                self.results["time from cut to cancellation"] = after

        async def request() -> None:
            work = self.a.work
            await self.attempt("request", lambda: work("b@1", REQUEST, Body(), Caller()))
            self.results["time from cut to failure"] = trio.current_time() - self.cut_at

        self.b.on_work(endless)
        await self.a.call("b@1", CALL, timeout=1)
        self.nursery.start_soon(request)
        await trio.sleep(0.1)
        self.network.cuts.add((f"{source}:1", f"{target}:1"))
        self.cut_at = trio.current_time()
        await trio.sleep(4)
        confirmed_at = self.a.confirmed_at("b@1")
        self.results["confirmed reading minus time of the cut"] = confirmed_at - self.cut_at

    @peers_when("the peers connect over TCP on loopback, after calls to invalid addresses")
    async def tcp(self) -> None:
        one, other = [
            TcpPeerHub(
                member=member,
                data_centre="north",
                address="127.0.0.1:0",
                clock=TrioClock(),
                metrics=NullMetrics(),
            )
            for member in ("one@1", "other@1")
        ]
        other.on_call(wire.RowsSince, done)
        # With autojump the clock would skip all timeouts while the test waits for sockets.
        self.clock.autojump_threshold = math.inf
        self.clock.rate = 1.0
        async with trio.open_nursery() as nursery:
            await nursery.start(one.run)
            await nursery.start(other.run)
            for name, address in INVALID_ADDRESSES.items():
                one.set_members({f"{name}@1": address})
                await self.attempt(name, lambda to=name: one.call(f"{to}@1", CALL, timeout=2))
            one.set_members({"other@1": other.address})
            await self.attempt("call", lambda: one.call("other@1", CALL, timeout=2))
            self.results["member at the address"] = (await one.identify(other.address)).member
            await other.stop()
            await self.attempt("call after the stop", lambda: one.call("other@1", CALL, timeout=2))
            nursery.cancel_scope.cancel()

    @peers_when('the peer "a" calls a host that refuses and one that does not answer')
    async def call_unreachable_hosts(self) -> None:
        self.announce_members("c", "d")
        self.network.cuts.add(("d:1", "a:1"))
        for name, member in (("refusing host", "c@1"), ("silent host", "d@1")):
            await self.attempt(name, lambda to=member: self.a.call(to, CALL, timeout=9))

    @peers_when('the peer "a" tries 1000 calls in 10 s to a host that refuses')
    async def call_refusing_host(self) -> None:
        self.announce_members("c")
        longest = 0.0
        for _ in range(1000):
            await self.attempt("call", lambda: self.a.call("c@1", CALL, timeout=9))
            assert self.results["call"].startswith("PeerUnreachableError not sent")
            longest = max(longest, self.results["call time"])
            await trio.sleep(0.01)
        self.results["longest call"] = longest
        self.results["dials"] = self.dials()

    @peers_when('the peer "a" calls "b@1" at an address where "b@2" listens')
    async def next_incarnation(self) -> None:
        listener, _ = await self.network.listen("b:1")
        frames = self.results["frames received by the next incarnation"] = []

        async def serve() -> None:
            scripted = ScriptedPeer(stream=await listener.accept())
            await scripted.send(wire.Hello(member="b@2", data_centre="north", peer_address=""))
            while (data := await scripted.frames.receive()) is not None:
                frames.append(type(wire.decode(data)).__name__)

        self.announce_members("b")
        self.nursery.start_soon(serve)
        await self.attempt("call", lambda: self.a.call("b@1", CALL, timeout=9))
        await trio.sleep(0.01)

    @peers_when('the peer "a" calls "b" and then nothing')
    async def idle(self) -> None:
        self.b.set_members({})
        await self.a.call("b@1", CALL, timeout=1)
        start = trio.current_time()
        # Digests would keep the connection to the only other member in use.
        self.a._send_heartbeat = lambda member: None
        while self.a._connections:
            await trio.sleep(0.05)
        self.results["lifetime of the connection"] = trio.current_time() - start

    @peers_when('the peer "a" makes a call that "b" answers after 20 s')
    async def long_call(self) -> None:
        async def slow(*_: Any) -> wire.Done:
            await trio.sleep(20)
            return wire.Done()

        self.b.on_call(wire.RowsSince, slow)
        await self.attempt("call", lambda: self.a.call("b@1", CALL, timeout=30))
        self.results["dials"] = self.dials()

    @peers_when("the peers' clock jumps by 5 s")
    async def clock_jump(self) -> None:
        self.network.bytes_per_second = 2700
        await trio.sleep(1.045)  # A heartbeat, sent at 1.04 s, is on its way.
        self.clock.jump(5)
        await trio.sleep(1)
        self.results["dials"] = self.dials()

    @peers_when("the peers run for 10 s with different configuration versions")
    async def digests(self) -> None:
        for number, hub in enumerate(self.hubs.values()):
            hub.set_digest(config_version=number, revision=number)
        await trio.sleep(10)
        known = [
            f"{name}{digest.member[0]}{digest.config_version}"
            for name, hub in self.hubs.items()
            for digest in hub.digests()
        ]
        self.results["known versions"] = " ".join(sorted(known))

    @peers_when('200 connections with random bytes, seed 5, reach peer "b" before and after Hello')
    async def malformed(self) -> None:
        rng = random.Random(5)
        connect = self.network.connect_from("x:1")
        ended = 0
        for number in range(200):
            scripted = ScriptedPeer(stream=await connect("b:1"))
            if number % 2:
                await scripted.hello(f"x@{number}")
            data = rng.randbytes(rng.randrange(1, 60))
            if number % 4 < 2:
                data = len(data).to_bytes(4, "little") + data
            await scripted.stream.send_all(data)
            with trio.move_on_after(2):
                ended += await scripted.stream.receive_some(1) == b""
                continue
            # After an incomplete frame the hub waits, so the connection is closed from this side.
            await scripted.stream.aclose()
            ended += 1
        await trio.sleep(3)
        left = [conn for conn in self.b._connections if conn.member.startswith("x")]
        self.results |= {"ended connections": ended, "connections left": len(left)}
        await self.attempt("next call", lambda: self.a.call("b@1", CALL, timeout=1))

    @peers_when('the peer "b" stops during a request of 30 s')
    async def stop(self) -> None:
        async def slow(req: Any, body: Any, response: Any) -> None:
            await response.head(200, ())
            await trio.sleep(30)
            await response.end()

        async def request(name: str) -> None:
            work = self.a.work
            await self.attempt(name, lambda: work("b@1", REQUEST, Body(), Caller()))

        self.b.on_work(slow)
        scripted = await self.connect_scripted("b:1")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(request, "request in progress")
            await trio.sleep(0.5)
            nursery.start_soon(self.attempt, "stop", self.b.stop)
            await trio.sleep(0.1)
            # The scripted peer ignores Leaving, as if its request had crossed with it.
            await scripted.send(wire.OpenWork(stream=1, request=REQUEST))
            refused = await scripted.receive(wire.WorkRefused)
            crossing = "NotOwnerError" if refused.not_owner else refused.reason
            self.results["request that crosses with the stop"] = crossing
            await request("request during the stop")
            await scripted.stream.aclose()
        await trio.sleep(0.01)
        self.results["connections left"] = len(self.a._connections | self.b._connections)

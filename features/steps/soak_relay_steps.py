"""Steps of soak/relay.feature."""

from __future__ import annotations

from typing import Any

import trio
from behave import then
from behave import when

from acaciasaddle.emulator.soak import Relay
from acaciasaddle.emulator.soak import RelayFaults

SILENCE_S = 0.3
FAULTS = {
    "refuses": RelayFaults(refuses=True),
    "stops what goes inward": RelayFaults(stops_inward=True),
    "stops what comes outward": RelayFaults(stops_outward=True),
}


class _Target:
    """Answers three bytes with three others."""

    def __init__(self) -> None:
        self.received = b""

    async def serve(self, stream: trio.SocketStream) -> None:
        try:
            while data := await stream.receive_some(100):
                self.received += data
                await stream.send_all(b"yes")
        except trio.BrokenResourceError:
            return


class RelaySteps:
    """Guards against relays that do something else than their name says."""

    @staticmethod
    async def _seen(relay: Relay, target: _Target, fault: str) -> str:
        try:
            host, _, port = relay.address.rpartition(":")
            stream = await trio.open_tcp_stream(host, int(port))
            if fault.startswith("is reset"):
                await trio.sleep(SILENCE_S / 3)
                relay.reset()
            async with stream:
                await stream.send_all(b"abc")
                with trio.move_on_after(SILENCE_S):
                    return "answered" if await stream.receive_some(3) == b"yes" else "broken"
        except (OSError, trio.BrokenResourceError):
            return "broken"
        return "silent, reached" if target.received else "silent, not reached"

    @staticmethod
    def _play(context: Any, fault: str, *, given_up: bool) -> None:
        target = _Target()

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                address = "127.0.0.1:{1}".format(*listeners[0].socket.getsockname())
                nursery.start_soon(trio.serve_listeners, target.serve, listeners)
                relay = Relay(target="" if fault == "has no target" else address)
                await nursery.start(relay.run)
                relay.set(FAULTS.get(fault, RelayFaults()))
                context.seen = await RelaySteps._seen(relay, target, fault)
                if given_up:
                    relay.set(RelayFaults())
                    await trio.sleep(SILENCE_S)
                nursery.cancel_scope.cancel()

        trio.run(main)
        context.received = target.received

    @staticmethod
    @when("3 bytes are sent through a relay that {fault}")
    def sent(context: Any, fault: str) -> None:
        context.relay_fault = fault.partition(", and given up")[0]
        RelaySteps._play(context, context.relay_fault, given_up=False)

    @staticmethod
    @when("the soak's relay works again")
    def again(context: Any) -> None:
        RelaySteps._play(context, context.relay_fault, given_up=True)

    @staticmethod
    @then('the soak\'s relay shows "{seen}"')
    def shows(context: Any, seen: str) -> None:
        assert context.seen == seen, context.seen

    @staticmethod
    @then("the target has received nothing")
    def nothing(context: Any) -> None:
        assert context.received == b"", context.received

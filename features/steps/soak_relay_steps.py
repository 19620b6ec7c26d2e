"""Steps of soak/relay.feature."""

from __future__ import annotations

from typing import Any

import trio
from behave import then
from behave import when

from acaciasaddle.emulator.soak import Relay
from acaciasaddle.emulator.soak import RelayFaults

RESPONSE_LIMIT_S = 0.3
FAULTS = {
    "refuses connections": RelayFaults(refuses=True),
    "blocks inward bytes": RelayFaults(blocks_inward=True),
    "blocks outward bytes": RelayFaults(blocks_outward=True),
}


class _Target:
    """Responds with three bytes to each chunk that it receives."""

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
    """Guards against faults of a relay without effect, and bytes that are delivered too late."""

    @staticmethod
    async def _exchange(relay: Relay, target: _Target, fault: str) -> str:
        try:
            host, _, port = relay.address.rpartition(":")
            stream = await trio.open_tcp_stream(host, int(port))
            if fault.startswith("resets"):
                await trio.sleep(RESPONSE_LIMIT_S / 3)
                relay.reset()
            async with stream:
                await stream.send_all(b"abc")
                with trio.move_on_after(RESPONSE_LIMIT_S):
                    return "response" if await stream.receive_some(3) == b"yes" else "broken"
        except (OSError, trio.BrokenResourceError):
            return "broken"
        return "silent, received" if target.received else "silent, not received"

    @staticmethod
    def _run(context: Any, fault: str, *, unblock: bool) -> None:
        target = _Target()

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                address = "127.0.0.1:{1}".format(*listeners[0].socket.getsockname())
                nursery.start_soon(trio.serve_listeners, target.serve, listeners)
                relay = Relay(target="" if fault == "has no target" else address)
                await nursery.start(relay.run)
                relay.set_faults(FAULTS.get(fault, RelayFaults()))
                context.result = await RelaySteps._exchange(relay, target, fault)
                if unblock:
                    relay.set_faults(RelayFaults())
                    await trio.sleep(RESPONSE_LIMIT_S)
                nursery.cancel_scope.cancel()

        trio.run(main)
        context.received = target.received

    @staticmethod
    @when("3 bytes are sent through a relay that {fault}")
    def sent(context: Any, fault: str) -> None:
        context.relay_fault = fault.partition(", and the connection is closed")[0]
        RelaySteps._run(context, context.relay_fault, unblock=False)

    @staticmethod
    @when("the soak's relay no longer blocks")
    def unblocked(context: Any) -> None:
        # The relay of the step before has ended, so the bytes are sent again through a new one.
        RelaySteps._run(context, context.relay_fault, unblock=True)

    @staticmethod
    @then('the result through the soak\'s relay is "{result}"')
    def has_result(context: Any, result: str) -> None:
        assert context.result == result, context.result

    @staticmethod
    @then("the target has received nothing")
    def nothing_received(context: Any) -> None:
        assert context.received == b"", context.received

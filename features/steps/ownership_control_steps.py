"""Steps of ownership/control.feature, on loopback."""

from __future__ import annotations

from typing import Any

import httpcore
import trio
from behave import given
from behave import then
from behave import when
from features.support.scripted_upstream import ScriptedServer

from acaciasaddle.ownership._control import UpstreamControl

CLOSING_RESPONSE = (
    '+HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 17\r\n\r\n{"state":"ready"}'
)


class ControlSteps:
    """Guards against errors of a kept connection that end the host."""

    @staticmethod
    @given("an upstream that closes its connection after each response")
    def upstream(context: Any) -> None:
        context.server = ScriptedServer(responses=[CLOSING_RESPONSE])

    @staticmethod
    @when("its health is read three times")
    def read(context: Any) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                await nursery.start(context.server.run)
                control = UpstreamControl(
                    address=context.server.address,
                    backend=httpcore.TrioBackend(),
                    timeout=1.0,
                )
                context.states = [await control.health() for _ in range(3)]
                await control.close()
                nursery.cancel_scope.cancel()

        trio.run(main)

    @staticmethod
    @then('it was "{state}" each time')
    def states(context: Any, state: str) -> None:
        assert context.states == [state] * 3, context.states

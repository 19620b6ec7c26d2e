"""Steps of entry/exchange.feature."""

from __future__ import annotations

from typing import Any

import trio
import trio.testing
from behave import given
from behave import then
from behave import when

from acaciasaddle.entry._exchange import CallerBody
from acaciasaddle.entry._exchange import CallerResponseSink
from acaciasaddle.errors import RequestError

MAX_BYTES = 200_000
STALL_TIMEOUT_S = 5.0


class ScriptedCaller:
    """Caller that sends body messages and disconnects once ``may_disconnect`` is set.

    With ``stalls`` it neither ends the body nor disconnects.
    """

    def __init__(self, *, chunks: int, size: int, stalls: bool = False) -> None:
        self.remaining = chunks
        self.size = size
        self.stalls = stalls
        self.may_disconnect = trio.Event()

    async def receive(self) -> Any:
        if self.remaining:
            self.remaining -= 1
            body = bytes(self.size)
            return {
                "type": "http.request",
                "body": body,
                "more_body": self.remaining > 0 or self.stalls,
            }
        if not self.stalls:
            await self.may_disconnect.wait()
            return {"type": "http.disconnect"}
        await trio.sleep_forever()

    async def send(self, message: Any) -> None:
        await trio.lowlevel.checkpoint()
        if not message.get("more_body", True):
            self.may_disconnect.set()


class ExchangeSteps:
    """Guards against exchanges that never end, and against bodies sent again incompletely.

    A graceful stop would wait for ever for an exchange that never ends.
    """

    @staticmethod
    def serve(context: Any, handler: Any) -> None:
        async def main() -> None:
            caller = ScriptedCaller(**context.caller_options)
            body = CallerBody(
                receive=caller.receive, max_bytes=MAX_BYTES, stall_timeout=STALL_TIMEOUT_S
            )
            response = CallerResponseSink(send=caller.send, request_id="r", body=body)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(body.read_from_asgi, nursery.cancel_scope)
                await handler(caller, body, response)
            context.caller = caller

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    @staticmethod
    async def read_all(body: CallerBody) -> int:
        size = 0
        while chunk := await body.receive():
            size += len(chunk)
        return size

    @staticmethod
    @given("an exchange with a body of {chunks:d} chunks of {size:d} bytes")
    def body(context: Any, chunks: int, size: int) -> None:
        context.caller_options = {"chunks": chunks, "size": size}

    @staticmethod
    @given("an exchange with a body that stalls")
    def stalling(context: Any) -> None:
        context.caller_options = {"chunks": 2, "size": 10, "stalls": True}

    @staticmethod
    @given("an exchange with a body that is too large")
    def too_large(context: Any) -> None:
        context.caller_options = {"chunks": 30, "size": 10_000}

    @staticmethod
    @when("the exchange is answered after {count:d} chunks were read")
    def answered(context: Any, count: int) -> None:
        async def handler(caller: Any, body: CallerBody, response: CallerResponseSink) -> None:
            for _ in range(count):
                await body.receive()
            await response.head(503, ())
            await response.end()

        ExchangeSteps.serve(context, handler)

    @staticmethod
    @when("the exchange's body is read, rewound and read again")
    def read_twice(context: Any) -> None:
        async def handler(caller: Any, body: CallerBody, response: CallerResponseSink) -> None:
            first = await ExchangeSteps.read_all(body)
            second = await ExchangeSteps.read_all(body) if body.rewind() else 0
            context.read_sizes = (first, second)
            caller.may_disconnect.set()

        ExchangeSteps.serve(context, handler)

    @staticmethod
    @when("the exchange's body is read to its end")
    def read_to_end(context: Any) -> None:
        async def handler(caller: Any, body: CallerBody, response: CallerResponseSink) -> None:
            try:
                await ExchangeSteps.read_all(body)
            except RequestError as exc:
                context.status = exc.status

        ExchangeSteps.serve(context, handler)

    @staticmethod
    @when("the exchange's caller disconnects while its request is served")
    def disconnect(context: Any) -> None:
        async def handler(caller: Any, body: CallerBody, response: CallerResponseSink) -> None:
            caller.may_disconnect.set()
            context.finished = False
            await trio.sleep(3600)
            context.finished = True

        ExchangeSteps.serve(context, handler)

    @staticmethod
    @then("the exchange has read all messages of the caller")
    def read_all_messages(context: Any) -> None:
        assert context.caller.remaining == 0, context.caller.remaining

    @staticmethod
    @then("the exchange's body was read as {first:d} and {second:d} bytes")
    def sizes(context: Any, first: int, second: int) -> None:
        assert context.read_sizes == (first, second), context.read_sizes

    @staticmethod
    @then("the exchange fails with status {status:d}")
    def status(context: Any, status: int) -> None:
        assert context.status == status

    @staticmethod
    @then("the exchange is cancelled")
    def cancelled(context: Any) -> None:
        assert not context.finished

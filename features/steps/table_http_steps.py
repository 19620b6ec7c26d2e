"""Steps of table/http.feature: the client against a scripted platform without sockets."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

import h11
import httpcore
import trio
import trio.testing
from behave import given
from behave import then
from behave import when

from acaciasaddle.errors import AcaciasaddleError
from acaciasaddle.errors import ConditionFailedError
from acaciasaddle.http_table import HttpPlatform
from acaciasaddle.model import Row
from acaciasaddle.table import Scan

ROW = {"key": "a", "version": 3, "revision": 8, "value": {"write_id": "w"}}
BODIES: dict[str, Any] = {
    "row": ROW,
    "scan": {"revision": 9, "rows": [ROW, ROW]},
    "versions": {"revision": 12, "versions": {"config/current": 5, "a": 5}},
    "current": {"failed": [{"key": "config/current", "version": 9, "revision": 1, "value": {}}]},
    "hosts": [{"id": "h1", "data_centre": "dc", "address": "127.0.0.1:1", "state": "leaving"}],
    "broken": {"surprise": True},
}


class MemoryStream(httpcore.AsyncNetworkStream):
    """Adapts one end of a memory stream to httpcore."""

    def __init__(self, stream: Any) -> None:
        self._stream = stream

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        try:
            return bytes(await self._stream.receive_some(max_bytes))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise httpcore.ReadError(str(exc)) from exc

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        try:
            await self._stream.send_all(buffer)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise httpcore.WriteError(str(exc)) from exc

    async def aclose(self) -> None:
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        return None


class ScriptedPlatform(httpcore.AsyncNetworkBackend):
    """Answers requests in their order of arrival as the script says. Its last entry repeats."""

    def __init__(self, script: list[str]) -> None:
        self.script = script
        self.connections = 0
        self.received: list[str] = []
        self.nursery: trio.Nursery

    async def connect_tcp(self, *args: Any, **kwargs: Any) -> httpcore.AsyncNetworkStream:
        if self.script[0] == "refuse":
            raise httpcore.ConnectError("connection refused")
        self.connections += 1
        client_end, server_end = trio.testing.memory_stream_pair()
        self.nursery.start_soon(self._serve, server_end)
        return MemoryStream(client_end)

    async def _serve(self, stream: Any) -> None:
        conn = h11.Connection(h11.SERVER)
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                data = await stream.receive_some()
                if not data:
                    return
                conn.receive_data(data)
            elif isinstance(event, h11.Request):
                self.received.append(f"{event.method.decode()} {event.target.decode()}")
            elif isinstance(event, h11.EndOfMessage):
                behaviour = self.script.pop(0) if len(self.script) > 1 else self.script[0]
                if behaviour == "close":
                    await stream.aclose()
                    return
                if behaviour == "silent":
                    await trio.sleep_forever()
                await self._answer(conn, stream, behaviour)
                conn.start_next_cycle()

    async def _answer(self, conn: h11.Connection, stream: Any, behaviour: str) -> None:
        status, _, body = behaviour.partition(" ")
        if behaviour == "stall body":
            await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{")
            await trio.sleep_forever()
        data = b"\x00bytes" if body == "bytes" else json.dumps(BODIES.get(body)).encode()
        if status == "204":
            data = b""
        headers = [("Content-Length", str(len(data)))]
        out = conn.send(h11.Response(status_code=int(status), headers=headers)) or b""
        out += conn.send(h11.Data(data=data)) or b""
        await stream.send_all(out + (conn.send(h11.EndOfMessage()) or b""))


def describe(result: Any) -> str:
    """Return the result of an operation, or its error, as text."""
    if isinstance(result, AcaciasaddleError):
        assert result.peer == "127.0.0.1:1", result
        keys = f" of [{', '.join(result.keys)}]" if isinstance(result, ConditionFailedError) else ""
        return f"{type(result).__name__}{keys} at {result.step}"
    if isinstance(result, Row):
        return f"version {result.version}"
    if isinstance(result, Scan):
        return f"{len(result.rows)} rows at {result.revision}"
    if isinstance(result, bytes):
        return f"{len(result)} bytes"
    if isinstance(result, tuple) and isinstance(result[0], Row):
        return f"{result[0].key} {describe(result[0])} at {result[0].revision}"
    if isinstance(result, tuple):
        return f"{len(result)} {result[0].state}"
    return "nothing" if result is None else str(result)


async def run_at_once(client: HttpPlatform, count: int, kind: str) -> str:
    """Run operations at once; return the number of errors of each type, or ``done`` if none."""
    errors: Counter[str] = Counter()

    async def run_one() -> None:
        try:
            await run_operation(client, "read a" if kind == "reads" else "write a 1")
        except AcaciasaddleError as exc:
            errors[type(exc).__name__] += 1

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(run_one)
    return " ".join(f"{count} {name}" for name, count in sorted(errors.items())) or "done"


async def run_operation(client: HttpPlatform, text: str) -> Any:
    """Run the operation that a text names."""
    match text.split():
        case ["read", key]:
            return await client.read(key)
        case ["scan", prefix, since]:
            return await client.scan(prefix, since=int(since))
        case ["write", key, version]:
            return await client.transact(conditions={key: int(version)}, puts={key: {}})
        case ["get", name]:
            return await client.get(name)
        case ["put", name]:
            return await client.put(name, b"data")
        case ["hosts"]:
            return await client.hosts()
        case [count, kind, "at", "once"]:
            return await run_at_once(client, int(count), kind)
    raise NotImplementedError(text)


class HttpPlatformSteps:
    """Guards against wrong reports about what the platform did."""

    @staticmethod
    @given('a platform answers "{behaviours}"')
    def answers(context: Any, behaviours: str) -> None:
        context.platform = ScriptedPlatform(behaviours.split(", "))

    @staticmethod
    @when('the platform client does "{operations}"')
    def run(context: Any, operations: str) -> None:
        context.client_results = []

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                context.platform.nursery = nursery
                client = HttpPlatform(address="127.0.0.1:1", network=context.platform)
                for operation in operations.split(", "):
                    started = trio.current_time()
                    try:
                        result = await run_operation(client, operation)
                    except AcaciasaddleError as exc:
                        result = exc
                    context.client_results.append(describe(result))
                    assert trio.current_time() - started <= 2.000001, operation
                await client.aclose()
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    @staticmethod
    @then('the platform client gets "{results}"')
    def gets(context: Any, results: str) -> None:
        assert ", ".join(context.client_results) == results, context.client_results

    @staticmethod
    @then('the platform received "{line}"')
    def received(context: Any, line: str) -> None:
        assert line in context.platform.received, context.platform.received

    @staticmethod
    @then("the platform counted {count:d} connections")
    def connections(context: Any, count: int) -> None:
        assert context.platform.connections == count, context.platform.connections

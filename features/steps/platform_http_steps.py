"""Steps of platform/http.feature: the client against a scripted platform without sockets."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import h11
import httpcore
import trio
import trio.testing
from behave import given
from behave import then
from behave import when

from acaciasaddle.platform import HttpPlatform

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

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
    """httpcore's view of one end of a memory stream."""

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
    """Answers the requests in the order of arrival as the script says; the last entry repeats."""

    def __init__(self, script: list[str]) -> None:
        self.script = script
        self.connections = 0
        self.received: list[str] = []
        self.nursery: trio.Nursery

    async def connect_tcp(self, *args: Any, **kwargs: Any) -> httpcore.AsyncNetworkStream:
        if self.script[0] == "refuse":
            raise httpcore.ConnectError("connection refused")
        self.connections += 1
        ours, theirs = trio.testing.memory_stream_pair()
        self.nursery.start_soon(self._serve, theirs)
        return MemoryStream(ours)

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


class HttpPlatformSteps:
    """Guards against a wrong verdict about what the platform did."""

    @staticmethod
    def script(context: Any, *behaviours: str) -> None:
        context.platform = ScriptedPlatform(list(behaviours))

    @staticmethod
    def run(context: Any, *operations: Callable[[HttpPlatform], Awaitable[Any]]) -> None:
        """Run operations one after the other; results and errors go to ``context.results``."""
        context.results = []

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                context.platform.nursery = nursery
                client = HttpPlatform(address="127.0.0.1:1", network=context.platform)
                for operation in operations:
                    started = trio.current_time()
                    try:
                        context.results.append(await operation(client))
                    except Exception as exc:
                        context.results.append(exc)
                    context.took = trio.current_time() - started
                await client.aclose()
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    @staticmethod
    @given('a platform answers "{behaviours}"')
    def answers(context: Any, behaviours: str) -> None:
        HttpPlatformSteps.script(context, *behaviours.split(", "))

    @staticmethod
    @given("a platform that never answers")
    def never(context: Any) -> None:
        HttpPlatformSteps.script(context, "silent")

    @staticmethod
    @given("a platform with 2 idle connections of which one goes silent")
    def idle(context: Any) -> None:
        HttpPlatformSteps.script(context, "200 row", "200 row", "silent", "200 row")
        context.warm_up = 2

    @staticmethod
    @when('the platform client reads "{first}", "{second}" and scans "{prefix}" since {since:d}')
    def read_and_scan(context: Any, first: str, second: str, prefix: str, since: int) -> None:
        HttpPlatformSteps.run(
            context,
            lambda client: client.read(first),
            lambda client: client.read(second),
            lambda client: client.scan(prefix, since=since),
        )

    @staticmethod
    @when('the platform client reads the row "{key}"')
    def read(context: Any, key: str) -> None:
        HttpPlatformSteps.run(context, lambda client: client.read(key))

    @staticmethod
    @when('the platform client repeats {times:d} reads of "{key}"')
    def read_often(context: Any, times: int, key: str) -> None:
        async def warm_up(client: HttpPlatform) -> None:
            async with trio.open_nursery() as nursery:
                for _ in range(getattr(context, "warm_up", 0)):
                    nursery.start_soon(client.read, key)

        HttpPlatformSteps.run(context, warm_up, *[lambda client: client.read(key)] * times)
        context.results.pop(0)

    @staticmethod
    @when('the platform client writes "{key}" at version {version:d}')
    def write(context: Any, key: str, version: int) -> None:
        HttpPlatformSteps.run(
            context, lambda client: client.transact(conditions={key: version}, puts={key: {}})
        )

    @staticmethod
    @when('the platform client reads the row "{key}", then writes "{other}" at version {version:d}')
    def read_and_write(context: Any, key: str, other: str, version: int) -> None:
        HttpPlatformSteps.run(
            context,
            lambda client: client.read(key),
            lambda client: client.transact(conditions={other: version}, puts={other: {}}),
        )

    @staticmethod
    @when("the platform client sends {count:d} writes at once")
    def write_many(context: Any, count: int) -> None:
        errors: list[Exception] = []

        async def one(client: HttpPlatform) -> None:
            try:
                await client.transact(conditions={"a": 1}, puts={"a": {}})
            except Exception as exc:
                errors.append(exc)

        async def many(client: HttpPlatform) -> None:
            async with trio.open_nursery() as nursery:
                for _ in range(count):
                    nursery.start_soon(one, client)

        HttpPlatformSteps.run(context, many)
        context.results = errors

    @staticmethod
    @when('the platform client gets "{first}", gets "{second}", puts "{third}" and lists the hosts')
    def objects(context: Any, first: str, second: str, third: str) -> None:
        HttpPlatformSteps.run(
            context,
            lambda client: client.get(first),
            lambda client: client.get(second),
            lambda client: client.put(third, b"data"),
            lambda client: client.hosts(),
        )

    @staticmethod
    @then(
        "the platform client returns version {version:d}, nothing and "
        "{rows:d} rows at revision {revision:d}"
    )
    def rows(context: Any, version: int, rows: int, revision: int) -> None:
        row, absent, scan = context.results
        assert (row.version, absent) == (version, None), context.results
        assert (len(scan.rows), scan.revision) == (rows, revision), scan

    @staticmethod
    @then('the platform received "{line}"')
    def received(context: Any, line: str) -> None:
        assert line in context.platform.received, context.platform.received

    @staticmethod
    @then("the platform counted {count:d} connection")
    @then("the platform counted {count:d} connections")
    def connections(context: Any, count: int) -> None:
        assert context.platform.connections == count, context.platform.connections

    @staticmethod
    @then("the platform client raises {error:w} at {step} within {seconds:d} s")
    def raises(context: Any, error: str, step: str, seconds: int) -> None:
        exc = context.results[-1]
        assert type(exc).__name__ == error, repr(exc)
        assert exc.step == step, exc
        assert exc.peer == "127.0.0.1:1", exc
        assert context.took <= seconds + 1e-6, context.took
        if error == "ConditionFailedError":
            assert exc.keys == ("config/current",), exc.keys

    @staticmethod
    @then(
        'the platform client returns the row "{key}" with version {version:d} '
        "and revision {revision:d}"
    )
    def row(context: Any, key: str, version: int, revision: int) -> None:
        ((row,),) = context.results
        assert (row.key, row.version, row.revision) == (key, version, revision), row

    @staticmethod
    @then("the platform client returns version {version:d} each time")
    def each_time(context: Any, version: int) -> None:
        assert [row.version for row in context.results] == [version] * 2, context.results

    @staticmethod
    @then("the platform client raises {error:w} and then returns version {version:d}")
    def recovers(context: Any, error: str, version: int) -> None:
        exc, row = context.results
        assert type(exc).__name__ == error, repr(exc)
        assert row.version == version, row

    @staticmethod
    @then("the platform client raises {error:w} {times:d} times and {other:w} once")
    def raises_many(context: Any, error: str, times: int, other: str) -> None:
        names = [type(exc).__name__ for exc in context.results]
        assert (names.count(error), names.count(other)) == (times, 1), names

    @staticmethod
    @then("the platform client returns the object, nothing, success and {count:d} {state:w} host")
    def object_results(context: Any, count: int, state: str) -> None:
        data, absent, success, hosts = context.results
        assert (data, absent, success) == (b"\x00bytes", None, None), context.results
        assert [host.state for host in hosts] == [state] * count, hosts

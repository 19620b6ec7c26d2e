"""Steps of users_platform/store.feature: the client against a scripted store on loopback."""

from __future__ import annotations

import base64
import json
import zlib
from typing import Any

import trio
from behave import given
from behave import then
from behave import when
from features.support.large_key_map import large_key_map
from features.support.scripted_upstream import RESPONSES
from features.support.scripted_upstream import ScriptedServer

from acaciasaddle.errors import PlatformError
from acaciasaddle.platform import PlatformRegistry
from acaciasaddle.platform import PlatformTable
from acaciasaddle.platform import StoreClient


def _response(status: int, body: Any) -> str:
    text = body if isinstance(body, str) else json.dumps(body)
    return f"+HTTP/1.1 {status} X\r\nContent-Length: {len(text)}\r\n\r\n{text}"


def _row(key: str, ver: int) -> dict[str, Any]:
    """Return a row that the router wrote."""
    return _stored(key, ver, zlib.compress(b"{}"))


def _entry(key: str, ver: int, value: Any) -> dict[str, Any]:
    """Return a row that an upstream wrote."""
    return _stored(key, ver, json.dumps(value).encode())


def _stored(key: str, ver: int, value: bytes) -> dict[str, Any]:
    data = base64.b64encode(value).decode()
    return {"table": "t", "part": "", "key": key, "value": data, "ver": ver}


NESTED_LISTS = b"[" * 4000
ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "capacity": 2,
    "state": "ready",
    "sequence": 1,
    "born": 5,
}
STORE_RESPONSES = {
    **RESPONSES,
    "committed": _response(200, {"ver": 12, "nowS": 5.5}),
    "lost race": _response(412, {"rows": [], "ver": 13}),
    "busy": _response(503, ""),
    "throttled": _response(429, ""),
    "bad json": _response(200, "{"),
    "two rows": _response(200, {"rows": [_row("a", 19), _row("b", 20)], "ver": 20, "nowS": 1}),
    "unreadable row": _response(200, {"rows": [_stored("a", 19, b"{}")], "ver": 20, "nowS": 1}),
    "nested row": _response(
        200, {"rows": [_stored("a", 19, zlib.compress(NESTED_LISTS))], "ver": 20, "nowS": 1}
    ),
    "nested body": _response(200, '{"rows":' + NESTED_LISTS.decode()),
    "gone": _response(410, ""),
    "truncated changes": _response(
        200, {"rows": [_row("a", 19), _row("b", 20)], "truncated": True, "ver": 44}
    ),
    "first page": _response(
        200, {"rows": [_row("a", 1), _row("b", 2)], "truncated": True, "ver": 29}
    ),
    "last page": _response(200, {"rows": [_row("c", 3)], "truncated": False, "ver": 30}),
    "entries": _response(
        200,
        {
            "rows": [
                _entry("u1", 1, ENTRY),
                {"table": "t", "part": "", "key": "u2", "ver": 2, "deleted": True},
                _entry("u3", 3, {"service": 1}),
            ],
            "ver": 3,
        },
    ),
    "a nested entry": _response(
        200,
        {
            "rows": [_entry("u1", 1, ENTRY), _stored("u4", 2, b'{"labels":' + NESTED_LISTS)],
            "ver": 2,
        },
    ),
}


class StoreClientSteps:
    """Guards against writes whose outcome is guessed, and against calls that wait forever."""

    @staticmethod
    @given('the store answers "{answers}"')
    def store(context: Any, answers: str) -> None:
        script = [STORE_RESPONSES[answer] for answer in answers.split(", ")]
        context.store = ScriptedServer(responses=script)

    @staticmethod
    def _with_client(context: Any, work: Any) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                await nursery.start(context.store.run)
                try:
                    with trio.fail_after(5):
                        context.outcome = await work(StoreClient(address=context.store.address))
                except PlatformError as exc:
                    context.outcome = type(exc).__name__
                nursery.cancel_scope.cancel()

        trio.run(main)

    @staticmethod
    @when("the store client writes")
    def write(context: Any) -> None:
        async def work(client: StoreClient) -> str:
            table = PlatformTable(store=client)
            rows = await table.transact(conditions={"t/a": 3}, puts={"t/a": {"x": 1}})
            return f"version {rows[0].version}"

        StoreClientSteps._with_client(context, work)

    @staticmethod
    @when("the store client writes owners of {upstreams:d} upstreams with {spans:d} spans")
    def write_owners(context: Any, upstreams: int, spans: int) -> None:
        owners = large_key_map(upstreams=upstreams, spans=spans)

        async def work(client: StoreClient) -> str:
            await PlatformTable(store=client).transact(
                conditions={}, puts={"ownership/s": owners.to_json()}
            )
            return "written"

        StoreClientSteps._with_client(context, work)

    @staticmethod
    @then("the value that the store received has at most {max_bytes:d} bytes")
    def value_size(context: Any, max_bytes: int) -> None:
        assert context.outcome == "written", context.outcome
        body = json.loads(context.store.requests[0][1])
        assert len(base64.b64decode(body["put"][0]["value"])) <= max_bytes

    @staticmethod
    @when("the store client reads changes")
    def read(context: Any) -> None:
        async def work(client: StoreClient) -> str:
            scan = await PlatformTable(store=client).scan("t/", since=18, wait_s=0.05)
            return f"{len(scan.rows)} rows at {scan.revision}"

        StoreClientSteps._with_client(context, work)

    @staticmethod
    @when("the store client reads a table")
    def read_table(context: Any) -> None:
        async def work(client: StoreClient) -> str:
            scan = await PlatformTable(store=client).scan("t/", since=0)
            return f"{len(scan.rows)} rows at {scan.revision}"

        StoreClientSteps._with_client(context, work)

    @staticmethod
    @when("the registry is read")
    def registry(context: Any) -> None:
        async def work(client: StoreClient) -> str:
            change = await PlatformRegistry(store=client).changes(since=0)
            return ", ".join(
                f"{name} {'usable' if entry else 'none'}"
                for name, entry in sorted(change.entries.items())
            )

        StoreClientSteps._with_client(context, work)

    @staticmethod
    @then('the write ends as "{outcome}"')
    @then('the read ends as "{outcome}"')
    @then('the registry has "{outcome}"')
    def ends(context: Any, outcome: str) -> None:
        assert context.outcome == outcome, context.outcome

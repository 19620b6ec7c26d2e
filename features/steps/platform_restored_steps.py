"""Steps of users_platform/restored_store.feature: the client against a store that is restored."""

from __future__ import annotations

import base64
import json
import zlib
from collections import Counter
from typing import Any

import trio
from behave import given
from behave import then
from features.support.scripted_upstream import ScriptedServer

from acaciasaddle.errors import PlatformError
from acaciasaddle.model import era_of
from acaciasaddle.model import revision_of
from acaciasaddle.model import version_of
from acaciasaddle.observe import NullMetrics
from acaciasaddle.platform import PlatformRegistry
from acaciasaddle.platform import PlatformTable
from acaciasaddle.platform import StoreClient

ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "capacity": 2,
    "state": "ready",
    "sequence": 1,
    "born": 5,
}


class _CountingMetrics(NullMetrics):
    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def count(self, name: str, value: int = 1) -> None:
        self.counts[name] += value


def _answer(era: str, status: str, ver: str, rows: str, *, truncated: bool) -> str:
    """Return an answer; ``era`` is ``-`` for none. Values are entries if a key begins with u."""
    stored = []
    for text in rows.split():
        key, _, row_ver = text.rpartition("=")
        value = json.dumps(ENTRY).encode() if key.startswith("u") else zlib.compress(b"{}")
        data = base64.b64encode(value).decode()
        stored.append({"table": "t", "part": "", "key": key, "value": data, "ver": int(row_ver)})
    body = json.dumps({"ver": int(ver), "rows": stored, "truncated": truncated})
    header = "" if era == "-" else f"Store-Era: {era}\r\n"
    return f"+HTTP/1.1 {status} X\r\n{header}Content-Length: {len(body)}\r\n\r\n{body}"


def _revision(text: str) -> int:
    era, _, version = text.partition(":")
    return revision_of(int(era), int(version))


def _show(revision: int) -> str:
    return f"{era_of(revision)}:{version_of(revision)}"


class _Client:
    """Makes the calls that a scenario names, and returns their outcomes as text."""

    def __init__(self, address: str) -> None:
        self.metrics = _CountingMetrics()
        store = StoreClient(address=address, metrics=self.metrics)
        self.table = PlatformTable(store=store)
        self.registry = PlatformRegistry(store=store)

    async def call(self, text: str) -> str:
        name, *args = text.split()
        try:
            with trio.fail_after(5):
                return await getattr(self, name)(*args)
        except PlatformError as exc:
            return type(exc).__name__

    async def scan(self, since: str = "0:0") -> str:
        scan = await self.table.scan("t/", since=_revision(since), wait_s=0.05)
        rows = [f"{row.key.removeprefix('t/')}={_show(row.version)}" for row in scan.rows]
        earlier = [f"earlier {_show(scan.earlier_revision)}"] if scan.earlier_revision else []
        return " ".join([f"at {_show(scan.revision)}", *rows, *earlier])

    feed = scan

    async def write(self, key: str, _: str, expected: str) -> str:
        rows = await self.table.transact(
            conditions={f"t/{key}": _revision(expected)}, puts={f"t/{key}": {"x": 1}}
        )
        return f"{key}={_show(rows[0].version)}"

    async def drop(self) -> str:
        return str(await self.table.drop_earlier_rows("t/"))

    async def entries(self, since: str = "0:0") -> str:
        change = await self.registry.changes(since=_revision(since))
        return " ".join([*sorted(change.entries), "restored", *sorted(change.restored)])


class RestoredStoreSteps:
    """Guards against rows, cursors and conditions of one era that are used in another."""

    @staticmethod
    @given("the store answers in its eras")
    def answers(context: Any) -> None:
        context.store = ScriptedServer(
            responses=[
                _answer(
                    row["era"],
                    row["status"],
                    row["ver"],
                    row["rows"],
                    truncated=row.get("truncated") == "yes",
                )
                for row in context.table
            ]
        )

    @staticmethod
    @then("the calls end as")
    def calls(context: Any) -> None:
        async def main() -> list[str]:
            async with trio.open_nursery() as nursery:
                await nursery.start(context.store.run)
                client = _Client(context.store.address)
                outcomes = [await client.call(row["call"]) for row in context.table]
                context.counts = client.metrics.counts
                nursery.cancel_scope.cancel()
            return outcomes

        outcomes = trio.run(main)
        assert outcomes == [row["outcome"] for row in context.table], outcomes

    @staticmethod
    @then("the store was called {count:d} times")
    def called(context: Any, count: int) -> None:
        assert len(context.store.requests) == count, context.store.requests

    @staticmethod
    @then("no connection was used after an answer that was ignored, of {count:d}")
    def connections(context: Any, count: int) -> None:
        assert context.store.connections == count, context.store.connections

    @staticmethod
    @then('{restores:d} restore and the ignored answers "{reasons}" are counted')
    @then('{restores:d} restores and the ignored answers "{reasons}" are counted')
    @then('{restores:d} restore and the ignored answers "" are counted')
    @then('{restores:d} restores and the ignored answers "" are counted')
    def counted(context: Any, restores: int, reasons: str = "") -> None:
        ignored = {
            name.removeprefix("store.era."): count
            for name, count in context.counts.items()
            if name.startswith("store.era.")
        }
        assert context.counts["store.restored"] == restores, context.counts
        assert ignored == Counter(reasons.split()), context.counts

    @staticmethod
    def _body(context: Any, number: int) -> dict[str, Any]:
        body: dict[str, Any] = json.loads(context.store.requests[number - 1][1])
        return body

    @staticmethod
    @then('the write {number:d} expects "{expect}" and puts "{put}"')
    def written(context: Any, number: int, expect: str, put: str) -> None:
        body = RestoredStoreSteps._body(context, number)
        assert [f"{row['key']}={row['ver']}" for row in body["expect"]] == expect.split(), body
        assert [row["key"] for row in body["put"]] == put.split(), body

    @staticmethod
    @then('the write {number:d} removes "{names}"')
    def removed(context: Any, number: int, names: str) -> None:
        body = RestoredStoreSteps._body(context, number)
        assert body["expect"] == body["put"] == [], body
        assert body["remove"] == [
            {"table": "t", "part": "", "key": name} for name in names.split()
        ], body

    @staticmethod
    @then("the targets of the calls are")
    def targets(context: Any) -> None:
        found = [request.target.decode() for request, _ in context.store.requests]
        assert found == [row["target"] for row in context.table], found

    @staticmethod
    @then("the body of the write {number:d} is '{body}'")
    def body_is(context: Any, number: int, body: str) -> None:
        # The compressed bytes depend on the version of zlib.
        value = base64.b64encode(zlib.compress(json.dumps({"x": 1}).encode())).decode()
        assert context.store.requests[number - 1][1].decode() == body.replace("VALUE", value)

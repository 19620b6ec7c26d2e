"""Steps of soak/standins.feature."""

from __future__ import annotations

import base64
import hashlib
import json
import tempfile
import time
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

import httpcore
import trio
from behave import given
from behave import then
from features.steps.emulator_http_steps import serve

from acaciasaddle.emulator._json_http import request_json
from acaciasaddle.emulator.soak import RecordFile
from acaciasaddle.platform.standins import StoreApp
from acaciasaddle.platform.standins import UpstreamApp
from acaciasaddle.platform.standins import UpstreamSettings
from acaciasaddle.platform.standins import caller_headers
from acaciasaddle.platform.standins import is_own_response

TRANSACT_PATH = "/acaciasaddle/rows-tx"
LATE_S = 0.2
EXPIRY_LIMIT_S = 5.0


async def _write(address: str, key: str, ver: int) -> int:
    row = {"table": "t", "part": "", "key": key}
    value = base64.b64encode(b"value").decode()
    body = {"expect": [{**row, "ver": ver}], "put": [{**row, "value": value}], "remove": []}
    return (await request_json(address, "POST", TRANSACT_PATH, body))[0]


async def _feed(address: str, after: int, wait_ms: int = 0) -> tuple[int, Any]:
    query = urlencode({"table": "t", "after": after, "waitMs": wait_ms})
    return await request_json(address, "GET", f"/acaciasaddle/rows-feed?{query}")


async def _keys(address: str, table: str) -> list[str]:
    query = urlencode({"table": table, "part": ""})
    _, page = await request_json(address, "GET", f"/acaciasaddle/rows-get?{query}")
    return [row["key"] for row in page["rows"]]


class UsersStoreSteps:
    """Guards against a store stand-in that accepts or returns what the real one would not."""

    @staticmethod
    @given("a stand-in for the users' store")
    def store(context: Any) -> None:
        context.build = StoreApp

    @staticmethod
    @then("a write that expects no row succeeds once and fails the second time")
    def conditions(context: Any) -> None:
        async def check(app: Any, address: str) -> None:
            assert [await _write(address, "a", 0), await _write(address, "a", 0)] == [200, 412]

        serve(StoreApp, check)

    @staticmethod
    @then("its feed returns a past change at once, and waits for a later one")
    def feed(context: Any) -> None:
        async def check(app: Any, address: str) -> None:
            await _write(address, "a", 0)
            status, page = await _feed(address, 0)
            assert (status, [row["key"] for row in page["rows"]]) == (200, ["a"])

            async def write_later() -> None:
                await trio.sleep(LATE_S)
                await _write(address, "b", 0)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(write_later)
                _, page = await _feed(address, page["ver"], wait_ms=5_000)
            assert [row["key"] for row in page["rows"]] == ["b"]

        serve(StoreApp, check)

    @staticmethod
    @then("after the history is dropped the feed responds with 410")
    def drops_history(context: Any) -> None:
        async def check(app: Any, address: str) -> None:
            await _write(address, "a", 0)
            await _write(address, "b", 0)
            await request_json(address, "POST", "/standin/forget", None)
            assert [(await _feed(address, after))[0] for after in (1, 2)] == [410, 200]

        serve(StoreApp, check)

    @staticmethod
    @then("a late write takes effect only if its condition still holds")
    def late_writes(context: Any) -> None:
        async def attempt(address: str) -> None:
            try:
                await _write(address, "a", 0)
            except OSError:
                return
            raise AssertionError("a late write got a response")

        async def check(app: Any, address: str) -> None:
            faults = {"late": 2, "late_s": LATE_S}
            await request_json(address, "POST", "/standin/faults", faults)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(attempt, address)
                nursery.start_soon(attempt, address)
            _, page = await _feed(address, 0)
            assert page["ver"] == 1, "not exactly one write took effect"

        serve(StoreApp, check)

    @staticmethod
    @then("entries of upstreams that stop reporting are removed")
    def expiry(context: Any) -> None:
        async def check(app: Any, address: str) -> None:
            await request_json(address, "PUT", "/standin/entry/u1", {"any": "value"})
            assert await _keys(address, "servers") == ["u1"]
            with trio.move_on_after(EXPIRY_LIMIT_S):
                await app.expire_entries()
            assert await _keys(address, "servers") == []

        serve(StoreApp, check)


class UsersUpstreamSteps:
    """Guards against an upstream stand-in that runs requests for keys that it does not own."""

    @staticmethod
    @given("a stand-in for a users' upstream")
    def upstream(context: Any) -> None:
        directory = tempfile.TemporaryDirectory()
        context.add_cleanup(directory.cleanup)
        path = Path(directory.name) / "u1.records"
        settings = UpstreamSettings(
            upstream_id="u1",
            service="s",
            data_centre="east",
            address="127.0.0.1:1",
            store_address="127.0.0.1:1",
        )
        context.build = lambda: UpstreamApp(settings=settings, records=RecordFile(path=path))

    @staticmethod
    async def _grant(address: str, *, fence: int = 5, hold_s: float = 5.0) -> int:
        body = {"from": 0, "to": 99, "fence": fence, "holdS": hold_s}
        return (await request_json(address, "POST", "/acaciasaddle/grant", body))[0]

    @staticmethod
    async def _read(address: str, *, target: str = "u1") -> httpcore.Response:
        host, _, port = address.rpartition(":")
        headers = caller_headers(request_id="r1", key=7, deadline_s=1.0)
        headers.append((b"Target-Instance", target.encode()))
        async with httpcore.AsyncConnectionPool() as pool:
            url = httpcore.URL(
                scheme=b"http", host=host.encode(), port=int(port), target=b"/reads/1"
            )
            return await pool.request("GET", url, headers=headers)

    @staticmethod
    def _serve(context: Any, check: Any) -> None:
        serve(context.build, check)

    @staticmethod
    @then("it refuses requests before a grant")
    def refuses_ungranted(context: Any) -> None:
        async def check(app: Any, address: str) -> None:
            resp = await UsersUpstreamSteps._read(address)
            assert resp.status == 421 and (b"not-executed", b"1") in resp.headers

        UsersUpstreamSteps._serve(context, check)

    @staticmethod
    @then("it runs a request for a granted key and signs the response")
    def runs(context: Any) -> None:
        async def check(app: Any, address: str) -> None:
            await UsersUpstreamSteps._grant(address)
            resp = await UsersUpstreamSteps._read(address)
            assert resp.status == 200 and is_own_response("r1", b"", resp)
            assert not is_own_response("r2", b"", resp)
            assert json.loads(resp.content)["digest"] == hashlib.sha256(b"r1").hexdigest()

        UsersUpstreamSteps._serve(context, check)

    @staticmethod
    @then("it refuses a grant with a lower fencing token")
    def fenced(context: Any) -> None:
        async def check(app: Any, address: str) -> None:
            statuses = [
                await UsersUpstreamSteps._grant(address, fence=fence) for fence in (5, 4, 5)
            ]
            assert statuses == [200, 409, 200]

        UsersUpstreamSteps._serve(context, check)

    @staticmethod
    @then("a release ends its ownership")
    def released(context: Any) -> None:
        async def check(app: Any, address: str) -> None:
            await UsersUpstreamSteps._grant(address)
            body = {"from": 0, "to": 99, "fence": 6}
            await request_json(address, "POST", "/acaciasaddle/release", body)
            assert (await UsersUpstreamSteps._read(address)).status == 421
            assert await UsersUpstreamSteps._grant(address) == 409

        UsersUpstreamSteps._serve(context, check)

    @staticmethod
    @then("a lease of {seconds:g} s expires")
    def expires(context: Any, seconds: float) -> None:
        async def check(app: Any, address: str) -> None:
            await UsersUpstreamSteps._grant(address, hold_s=seconds)
            await trio.sleep(seconds * 1.1)
            assert (await UsersUpstreamSteps._read(address)).status == 421

        UsersUpstreamSteps._serve(context, check)

    @staticmethod
    @then("the lease of a grant that arrived during a pause starts at the beginning of the pause")
    def lease_after_pause(context: Any) -> None:
        async def check(app: Any, address: str) -> None:
            app._last_ran_at = time.monotonic() - 2.0
            await UsersUpstreamSteps._grant(address, hold_s=1.0)
            assert (await UsersUpstreamSteps._read(address)).status == 421

        UsersUpstreamSteps._serve(context, check)

    @staticmethod
    @then("a request for another upstream is refused")
    def refuses_other_target(context: Any) -> None:
        async def check(app: Any, address: str) -> None:
            await UsersUpstreamSteps._grant(address)
            assert (await UsersUpstreamSteps._read(address, target="u2")).status == 421

        UsersUpstreamSteps._serve(context, check)

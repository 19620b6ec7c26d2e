"""Steps of soak/standins.feature."""

from __future__ import annotations

import base64
import hashlib
import json
import tempfile
import time
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING
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

if TYPE_CHECKING:
    from collections.abc import Awaitable

TRANSACT_PATH = "/acaciasaddle/rows-tx"
LATE_S = 0.2
EXPIRY_LIMIT_S = 5.0
REWRITE_S = 2.0


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
    @then("a transaction can remove rows, and has at most {count:d} entries")
    def removes(context: Any, count: int) -> None:
        async def check(app: Any, address: str) -> None:
            for key in ("a", "b"):
                await _write(address, key, 0)
            row = {"table": "t", "part": "", "key": "a"}
            missing = [{**row, "key": str(number)} for number in range(count - 1)]
            statuses = []
            for remove in ([row, row, *missing], [row, *missing]):
                body = {"expect": [], "put": [], "remove": remove}
                statuses.append((await request_json(address, "POST", TRANSACT_PATH, body))[0])
            assert statuses == [413, 200]
            assert await _keys(address, "t") == ["b"]
            _, page = await _feed(address, 2)
            assert [(row["key"], row["deleted"]) for row in page["rows"]] == [("a", True)], page

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


class RestoredStoreSteps:
    """Guards against a restore that leaves a client more than the platform's store would."""

    @staticmethod
    async def _call(address: str, path: str, method: str = "GET", body: Any = None) -> Any:
        host, _, port = address.rpartition(":")
        async with httpcore.AsyncConnectionPool() as pool:
            url = httpcore.URL(
                scheme=b"http", host=host.encode(), port=int(port), target=path.encode()
            )
            resp = await pool.request(method, url, content=json.dumps(body).encode())
        return resp.status, dict(resp.headers).get(b"store-era")

    @staticmethod
    async def _restore(
        address: str, *, away_s: float = 0.05, age_s: float = 0.0, rewrite_s: float = 0.05
    ) -> None:
        body = {"age_s": age_s, "away_s": away_s, "rewrite_s": rewrite_s}
        status, _ = await request_json(address, "POST", "/standin/restore", body)
        assert status == 200

    @staticmethod
    async def _rows(address: str, table: str) -> dict[str, int]:
        query = urlencode({"table": table, "part": ""})
        _, page = await request_json(address, "GET", f"/acaciasaddle/rows-get?{query}")
        return {row["key"]: row["ver"] for row in page["rows"]}

    @staticmethod
    async def _configure(address: str, version: int) -> None:
        body = {"version": version, "extra_routes": 1}
        await request_json(address, "POST", "/standin/configuration", body)

    @staticmethod
    async def _gets_no_response(work: Awaitable[Any]) -> None:
        try:
            result = await work
        except OSError:
            return
        raise AssertionError(f"got a response: {result}")

    @staticmethod
    @then("every answer has the era, and none has it if the store sends no era")
    def in_all_answers(context: Any) -> None:
        async def eras(app: Any, address: str) -> None:
            call = RestoredStoreSteps._call
            body = {"expect": [], "put": [], "remove": []}
            stale = {**body, "expect": [{"table": "t", "part": "", "key": "a", "ver": 7}]}
            answers = [
                await call(address, TRANSACT_PATH, "POST", body),
                await call(address, TRANSACT_PATH, "POST", stale),
                await call(address, "/acaciasaddle/rows-get?table=t&part="),
                await call(address, "/acaciasaddle/rows-feed?table=t&after=9"),
                await call(address, "/acaciasaddle/unknown"),
            ]
            await request_json(address, "POST", "/standin/faults", {"refuses": 503})
            answers.append(await call(address, "/acaciasaddle/rows-get?table=t&part="))
            assert [status for status, _ in answers] == [200, 412, 200, 410, 404, 503], answers
            context.eras = {era for _, era in answers}

        serve(StoreApp, eras)
        assert context.eras == {b"1"}, context.eras
        serve(lambda: StoreApp(sends_era=False), eras)
        assert context.eras == {None}, context.eras

    @staticmethod
    @then("the era can be missing, lower than before, or not a number")
    def spoilt(context: Any) -> None:
        async def check(app: Any, address: str) -> None:
            app.keep_copy()
            await RestoredStoreSteps._restore(address)
            eras = []
            for fault in ("", "missing", "lower", "not a number"):
                await request_json(address, "POST", "/standin/faults", {"era": fault})
                eras.append(
                    await RestoredStoreSteps._call(address, "/acaciasaddle/rows-get?table=t")
                )
            assert eras == [(200, b"2"), (200, None), (200, b"1"), (200, b"unknown")], eras

        serve(StoreApp, check)

    @staticmethod
    @then("after a restore the rows written since the copy are gone, and the era is one higher")
    def rows_gone(context: Any) -> None:
        async def check(app: Any, address: str) -> None:
            await _write(address, "a", 0)
            app.keep_copy()
            await _write(address, "a", 1)
            await _write(address, "b", 0)
            for era in (b"2", b"3"):
                await RestoredStoreSteps._restore(address)
                assert await RestoredStoreSteps._rows(address, "t") == {"a": 1}
                path = "/acaciasaddle/rows-get?table=t"
                assert await RestoredStoreSteps._call(address, path) == (200, era)

        serve(StoreApp, check)

    @staticmethod
    @then("after a restore the versions since the copy are given out again, in the same order")
    def versions_again(context: Any) -> None:
        async def check(app: Any, address: str) -> None:
            await _write(address, "a", 0)
            app.keep_copy()
            await _write(address, "b", 0)
            await _write(address, "c", 0)
            await RestoredStoreSteps._restore(address)
            assert await _write(address, "a", 1) == 200
            assert await _write(address, "c", 0) == 200
            assert await RestoredStoreSteps._rows(address, "t") == {"a": 2, "c": 3}

        serve(StoreApp, check)

    @staticmethod
    @then("after a restore a feed after a version that the store does not have gets 410")
    def unknown_version(context: Any) -> None:
        async def check(app: Any, address: str) -> None:
            await _write(address, "a", 0)
            app.keep_copy()
            await _write(address, "b", 0)
            await RestoredStoreSteps._restore(address)
            started = trio.current_time()
            assert [(await _feed(address, after, 3_000))[0] for after in (2, 3)] == [410, 410]
            assert trio.current_time() < started + 3.0, "the feed waited first"
            assert (await _feed(address, 1))[0] == 200

        serve(StoreApp, check)

    @staticmethod
    @then("after a restore the history up to the copy is still there")
    def history(context: Any) -> None:
        async def check(app: Any, address: str) -> None:
            await _write(address, "a", 0)
            await _write(address, "b", 0)
            app.keep_copy()
            await _write(address, "c", 0)
            await request_json(address, "POST", "/standin/forget", None)
            await RestoredStoreSteps._restore(address)
            assert await _write(address, "d", 0) == 200
            _, page = await _feed(address, 2)
            assert [row["key"] for row in page["rows"]] == ["d"], page
            # The history that was dropped stays so.
            assert (await _feed(address, 1))[0] == 410
            app.keep_copy()
            await _write(address, "e", 0)
            await RestoredStoreSteps._restore(address)
            _, page = await _feed(address, 2)
            assert [row["key"] for row in page["rows"]] == ["d"], page

        serve(StoreApp, check)

    @staticmethod
    @then("while the store is away, calls, waiting feeds and reports of upstreams get no response")
    def away(context: Any) -> None:
        async def check(app: Any, address: str) -> None:
            steps = RestoredStoreSteps
            app.keep_copy()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(steps._gets_no_response, _feed(address, 0, 3_000))
                await trio.sleep(LATE_S)
                nursery.start_soon(partial(steps._restore, address, away_s=2 * LATE_S))
                await trio.sleep(LATE_S)
                await steps._gets_no_response(_write(address, "a", 0))
                await steps._gets_no_response(_feed(address, 0))
                report = request_json(address, "PUT", "/standin/entry/u1", {"any": "value"})
                await steps._gets_no_response(report)
            assert await steps._rows(address, "t") == {}
            assert await steps._rows(address, "servers") == {}

        serve(StoreApp, check)

    @staticmethod
    @then(
        "after a restore the operator's newest configuration is written again, with a new version"
    )
    def configuration_again(context: Any) -> None:
        async def check(app: Any, address: str) -> None:
            steps = RestoredStoreSteps
            await steps._configure(address, 3)
            app.keep_copy()
            await steps._configure(address, 6)
            newest = app._rows["op", "config"].value
            await _write(address, "a", 0)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(partial(steps._restore, address, rewrite_s=REWRITE_S))
                await trio.sleep(REWRITE_S / 4)
                assert await steps._rows(address, "op") == {"config": 1}
                await _write(address, "a", 0)
            assert await steps._rows(address, "op") == {"config": 3}
            assert app._rows["op", "config"].value == newest

        serve(StoreApp, check)

    @staticmethod
    @then("a configuration that the copy has is not written again after a restore")
    def configuration_kept(context: Any) -> None:
        async def check(app: Any, address: str) -> None:
            await RestoredStoreSteps._configure(address, 3)
            app.keep_copy()
            await RestoredStoreSteps._restore(address)
            assert await RestoredStoreSteps._rows(address, "op") == {"config": 1}

        serve(StoreApp, check)

    @staticmethod
    @then("after a restore a running upstream's entry is written again, also if the copy has it")
    def entries_again(context: Any) -> None:
        async def check(app: Any, address: str) -> None:
            steps = RestoredStoreSteps

            async def report() -> None:
                entry = {"state": "ready"}
                status, _ = await request_json(address, "PUT", "/standin/entry/u1", entry)
                assert status == 200

            await report()
            app.keep_copy()
            await report()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(partial(steps._restore, address, rewrite_s=REWRITE_S))
                await trio.sleep(REWRITE_S / 4)
                nursery.start_soon(report)
                await trio.sleep(REWRITE_S / 4)
                assert await steps._rows(address, "servers") == {"u1": 1}, "written too early"
            assert await steps._rows(address, "servers") == {"u1": 2}
            await report()
            assert await steps._rows(address, "servers") == {"u1": 2}, "written twice"

        serve(StoreApp, check)

    @staticmethod
    @then(
        "after a restore an entry that is not reported again expires, and one written since is gone"
    )
    def entries_of_ended(context: Any) -> None:
        async def check(app: Any, address: str) -> None:
            await request_json(address, "PUT", "/standin/entry/u1", {"any": "value"})
            app.keep_copy()
            await request_json(address, "PUT", "/standin/entry/u1", None)
            await request_json(address, "PUT", "/standin/entry/u2", {"any": "value"})
            await RestoredStoreSteps._restore(address)
            assert await _keys(address, "servers") == ["u1"]
            with trio.move_on_after(EXPIRY_LIMIT_S):
                await app.expire_entries()
            assert await _keys(address, "servers") == []

        serve(StoreApp, check)

    @staticmethod
    @then("a late write is applied after a restore if its condition holds then")
    def late_across(context: Any) -> None:
        async def check(app: Any, address: str) -> None:
            steps = RestoredStoreSteps
            await _write(address, "a", 0)
            app.keep_copy()
            await _write(address, "a", 1)
            faults = {"late": 2, "late_s": LATE_S}
            await request_json(address, "POST", "/standin/faults", faults)
            async with trio.open_nursery() as nursery:
                # One expects the copy's version and one the newest, which is given out again.
                nursery.start_soon(steps._gets_no_response, _write(address, "a", 1))
                nursery.start_soon(steps._gets_no_response, _write(address, "b", 2))
                await trio.sleep(LATE_S / 2)
                await steps._restore(address, away_s=2 * LATE_S)
            assert await steps._rows(address, "t") == {"a": 2}

        serve(StoreApp, check)

    @staticmethod
    @then("a write that waits when the store goes away is not applied")
    def waiting_write(context: Any) -> None:
        async def check(app: Any, address: str) -> None:
            steps = RestoredStoreSteps
            app.keep_copy()
            await request_json(address, "POST", "/standin/faults", {"delay_s": 2 * LATE_S})
            async with trio.open_nursery() as nursery:
                nursery.start_soon(steps._gets_no_response, _write(address, "a", 0))
                await trio.sleep(LATE_S / 2)
                await steps._restore(address)
            assert await steps._rows(address, "t") == {}

        serve(StoreApp, check)

    @staticmethod
    @then("it keeps {count:d} copies at most, and restores the newest one that is old enough")
    def bounded(context: Any, count: int) -> None:
        async def check(app: Any, address: str) -> None:
            for _ in range(count + 1):
                app.keep_copy()
            assert len(app._copies) == count
            await _write(address, "a", 0)
            app.keep_copy()
            await trio.sleep(2 * LATE_S)
            await _write(address, "b", 0)
            app.keep_copy()
            await RestoredStoreSteps._restore(address, age_s=LATE_S)
            assert await RestoredStoreSteps._rows(address, "t") == {"a": 1}

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

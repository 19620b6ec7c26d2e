"""Steps of emulator/http.feature and emulator/cli.feature."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import httpcore
import trio
from behave import step
from behave import then
from behave import when
from click.testing import CliRunner

from acaciasaddle.emulator import GrantOrder
from acaciasaddle.emulator import PlatformApp
from acaciasaddle.emulator import UpstreamApp
from acaciasaddle.emulator import UpstreamModel
from acaciasaddle.emulator import UpstreamSettings
from acaciasaddle.emulator import start_server
from acaciasaddle.emulator.cli import main as emulator_main

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

TIMEOUT_S = 20
COMMAND = (sys.executable, "-c", "from acaciasaddle.emulator.cli import main; main()")


def serve(build: Callable[[], Any], use: Callable[[Any, str], Awaitable[None]]) -> None:
    """Serve an application on loopback, and call ``use`` with it and its address."""

    async def main() -> None:
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                app = build()
                address = await start_server(nursery, app, "127.0.0.1:0", graceful_s=0.1)
                await use(app, address)
                nursery.cancel_scope.cancel()

    trio.run(main)


def upstream_app(*, checks_orders: bool = True, connections: int = 130) -> UpstreamApp:
    """Return an upstream that owns ``s/g/1`` in term 1, with a lease that outlasts the test."""
    settings = UpstreamSettings(
        name="u", checks_orders=checks_orders, connections=connections, work_ms=1
    )
    model = UpstreamModel(settings=settings)
    valid_until = model.clock_ms() + 60_000
    model.grant(
        GrantOrder(
            holder="h@1",
            term=1,
            seq=1,
            instance=model.instance,
            valid_until=valid_until,
            units=("s/g/1",),
        )
    )
    return UpstreamApp(model=model)


async def send(pool: httpcore.AsyncConnectionPool, address: str, row: Any) -> tuple[str, str]:
    """Send the request in a table row and return the status and the response body.

    The status is ``lost`` if there is no response, and ``cut`` if its body is incomplete.
    """
    headers = {"Acaciasaddle-Unit": "s/g/1", "Acaciasaddle-Key": "k"}
    for heading in ("term", "timeout"):
        if heading in row.headings and row[heading]:
            headers[f"Acaciasaddle-{heading.title()}"] = row[heading]
    url = httpcore.URL(f"http://{address}{row['path']}")
    try:
        async with pool.stream(
            row["method"], url, headers=headers, content=row["body"].encode()
        ) as resp:
            try:
                body = await resp.aread()
            except httpcore.RemoteProtocolError:
                return "cut", ""
            return str(resp.status), body.decode()
    except httpcore.RemoteProtocolError:
        return "lost", ""


async def check_rows(table: Any, address: str) -> None:
    """Send all requests of a table over one pool and check the status and body of each response."""
    async with httpcore.AsyncConnectionPool() as pool:
        for row in table:
            status, body = await send(pool, address, row)
            assert status == row["status"], (row, status, body)
            assert row["response"] in body, (row, body)


class HttpSteps:
    """Guards against stand-ins that deviate from the documented protocols."""

    @staticmethod
    @then("the platform stand-in on loopback answers these requests")
    def platform(context: Any) -> None:
        serve(PlatformApp, lambda app, address: check_rows(context.table, address))

    @staticmethod
    @then("the upstream stand-in on loopback answers these requests")
    def upstream(context: Any) -> None:
        serve(upstream_app, lambda app, address: check_rows(context.table, address))

    @staticmethod
    @then("the upstream stand-in that does not check orders answers these requests on loopback")
    def upstream_without_checks(context: Any) -> None:
        serve(
            lambda: upstream_app(checks_orders=False),
            lambda app, address: check_rows(context.table, address),
        )

    @staticmethod
    @when("uploads with and without an idempotency key to the upstream stand-in are cut off")
    def cut_off(context: Any) -> None:
        async def use(app: UpstreamApp, address: str) -> None:
            for key_header in ("", "Idempotency-Key: k1\r\n"):
                host, port = address.split(":")
                stream = await trio.open_tcp_stream(host, int(port))
                head = (
                    f"POST /k/1 HTTP/1.1\r\nHost: u\r\n{key_header}Acaciasaddle-Term: 1\r\n"
                    "Acaciasaddle-Unit: s/g/1\r\nContent-Length: 9\r\n\r\n"
                )
                await stream.send_all(head.encode() + b"part")
                await trio.sleep(0.1)
                await stream.aclose()
            await trio.sleep(0.1)
            await app.model.wait_idle()
            context.record = app.model.record()

        serve(upstream_app, use)

    @staticmethod
    @then("the upstream stand-in has recorded only a dropped run of the upload without a key")
    def only_dropped(context: Any) -> None:
        states = [(run.idempotency_key, run.state) for run in context.record.runs]
        assert states == [("", "dropped")], states

    @staticmethod
    @then("the upstream stand-in answers on a new connection but not on a silenced one")
    def silenced(context: Any) -> None:
        async def use(app: UpstreamApp, address: str) -> None:
            url = f"http://{address}/load"
            async with (
                httpcore.AsyncConnectionPool() as old,
                httpcore.AsyncConnectionPool() as new,
            ):
                assert (await old.request("GET", url)).status == 200
                await new.request(
                    "POST", f"http://{address}/faults", content=b'{"silence_connections": true}'
                )
                with trio.move_on_after(0.3) as scope:
                    await old.request("GET", url)
                assert scope.cancelled_caught
                assert (await new.request("GET", url)).status == 200

        serve(upstream_app, use)

    @staticmethod
    @then("the upstream stand-in with {limit:d} connections answers 503 on the fourth")
    def connection_limit(context: Any, limit: int) -> None:
        async def use(app: UpstreamApp, address: str) -> None:
            statuses = []
            pools = [httpcore.AsyncConnectionPool() for _ in range(limit + 1)]
            for pool in pools:
                statuses.append((await pool.request("GET", f"http://{address}/load")).status)
            for pool in pools:
                await pool.aclose()
            assert statuses == [200] * limit + [503], statuses

        serve(lambda: upstream_app(connections=limit), use)


class EmulatorCliSteps:
    """Guards against commands that scripts cannot start or stop."""

    @staticmethod
    @when('the emulator command "{arguments}" is started and stopped by SIGTERM')
    def started(context: Any, arguments: str) -> None:
        if "cli_results" not in context:
            context.cli_results = []
        results = context.cli_results
        with subprocess.Popen(
            (*COMMAND, *arguments.split()), stdout=subprocess.PIPE, text=True
        ) as process:
            line = process.stdout.readline()
            process.send_signal(signal.SIGTERM)
            results.append((line, process.wait(timeout=TIMEOUT_S)))

    @staticmethod
    @then("the emulator commands printed an address and ended with exit code 0")
    def ended(context: Any) -> None:
        assert len(context.cli_results) == 2
        for line, code in context.cli_results:
            host, port = json.loads(line)["ready"].split(":")
            assert host == "127.0.0.1" and int(port) > 0, line
            assert code == 0, code

    @staticmethod
    @then('the emulator\'s subcommands "{names}" show an example in their help')
    def shows_examples(context: Any, names: str) -> None:
        for name in names.split(", "):
            result = CliRunner().invoke(emulator_main, [name, "--help"])
            assert result.exit_code == 0, result.output
            assert f"acaciasaddle-emulator {name} " in result.output, result.output

    @staticmethod
    @step('the emulator\'s load command refuses this workload with "{message}"')
    def refuses(context: Any, message: str) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory, "workload.json5")
            path.write_text(context.text, encoding="utf-8")
            arguments = ["load", str(path), "--target", "127.0.0.1:1"]
            result = CliRunner().invoke(emulator_main, arguments)
        assert result.exit_code == 1, result.output
        assert message in result.output, result.output

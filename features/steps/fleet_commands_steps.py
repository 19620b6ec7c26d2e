"""Steps of fleet/commands.feature and fleet/store.feature."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from itertools import groupby
from typing import TYPE_CHECKING
from typing import Any

from behave import given
from behave import then
from behave import when

from acaciasaddle.emulator._fleet import HostPlan
from support.fleet_session import RULES
from support.fleet_session import WAIT_LIMIT_S
from support.fleet_session import Request

if TYPE_CHECKING:
    from support.fleet_session import FleetSession

PARALLEL_COMMANDS = 6
DRAINED = frozenset(("bookings/bookings-03",))


def write_inputs(session: FleetSession) -> dict[str, str]:
    """Write the input files of commands and return the values of the placeholders in braces."""
    inventory = session.fleet.inventory()
    broken = json.loads(json.dumps(inventory))
    broken["services"][0]["upstreams"][0]["data_centre"] = "nort"
    contents = {
        "active": inventory,
        "drained": session.fleet.inventory(leaving=DRAINED),
        "broken": broken,
        "rules": RULES,
    }
    values = {}
    for name, value in contents.items():
        path = session.directory / f"{name}.json"
        path.write_text(json.dumps(value))
        values[name] = str(path)
    host = session.hosts[0]
    response = Request(method="GET", target="/bookings/k1").send(host.address)
    values["request"] = response.headers["acaciasaddle-request-id"]
    values["settings"] = str(session.directory / f"{host.name}.json")
    values["host"] = f"--host {host.operator_address}"
    return values


def run_command(row: tuple[list[str], str, str]) -> None:
    """Run a command, and check its exit code and that its output contains a text."""
    args, code, expected = row
    done = subprocess.run(
        [sys.executable, "-m", "acaciasaddle", *args],
        capture_output=True,
        text=True,
        timeout=2 * WAIT_LIMIT_S,
        check=False,
    )
    output = done.stdout + done.stderr
    assert done.returncode == int(code), (args, done.returncode, output)
    assert expected in output, (args, output)
    assert "Traceback" not in output, output


class FleetCommandSteps:
    """Guards against wrong exit codes, texts and effects, and hidden dependencies on the store."""

    @staticmethod
    @when("the fleet's operator runs these commands")
    def commands(context: Any) -> None:
        inputs = write_inputs(context.fleet)
        rows = [
            (r["command"].format(**inputs).split(), r["code"], r["output"]) for r in context.table
        ]
        # Each ``apply`` runs alone. The commands between them change no configuration, so they run
        # in parallel.
        for _, group in groupby(rows, key=lambda row: row[0][0] == "apply" and id(row)):
            with ThreadPoolExecutor(PARALLEL_COMMANDS) as pool:
                list(pool.map(run_command, group))

    @staticmethod
    @then('the fleet\'s upstream "{upstream}" is drained and every unit is served')
    def drained(context: Any, upstream: str) -> None:
        session = context.fleet

        def owns_nothing() -> bool:
            rows = {u["upstream"]: u["units"] for u in session.status()["upstreams"]}
            return rows[upstream] == 0

        session.wait(f"{upstream} owns nothing", owns_nothing)
        session.wait_served()
        before = session.run(session.fleet.record, session.fleet.upstreams[upstream])
        session.wait_served()
        after = session.run(session.fleet.record, session.fleet.upstreams[upstream])
        assert len(after.runs) == len(before.runs), "a drained upstream got requests"

    @staticmethod
    @given("the fleet's store loses the response to the next write")
    def lose_response(context: Any) -> None:
        context.version_before = context.fleet.status()["config_version"]
        context.fleet.platform_faults(lose_answers=1)

    @staticmethod
    @then('the fleet\'s change "{change}" is accepted exactly once, in one version')
    def accepted_once(context: Any, change: str) -> None:
        session = context.fleet
        assert session.platform_faults()["lose_answers"] == 0, "no response was lost"
        path = "/rows?prefix=config/history&since=0"
        rows = session.call_api(session.fleet.platform.address, "GET", path)["rows"]
        versions = [r["value"]["version"] for r in rows if r["value"]["change_id"] == change]
        assert versions == [context.version_before + 1], versions
        assert session.status()["config_version"] == context.version_before + 1

    @staticmethod
    @given("the fleet's store is {state}")
    def store(context: Any, state: str) -> None:
        session = context.fleet
        session.platform_faults(store=state)
        session.wait(
            f"each host notices that the store is {state}",
            lambda: all(
                session.call_api(host.operator_address, "GET", "/status")["store"] == state
                for host in session.hosts
            ),
        )

    @staticmethod
    @when('the fleet\'s holder of "{upstream}" is killed')
    def killed(context: Any, upstream: str) -> None:
        session = context.fleet
        name = session.holder(upstream)
        context.without_successor = {
            row["upstream"]
            for row in session.status()["upstreams"]
            if row["successor"].startswith(f"{name}@")
        }
        session.run(session.fleet.kill_host, name)

    @staticmethod
    @then("the fleet serves every unit except those whose holder lost its successor")
    def with_successor_served(context: Any) -> None:
        seconds = context.fleet.wait_served(excluding=context.without_successor)
        print(f"The last of these units was served {seconds:.2f} s after the start of the check.")

    @staticmethod
    @then("the fleet refuses a request for one of those as not run")
    def without_successor_refused(context: Any) -> None:
        session = context.fleet
        keys = session.unit_keys("bookings")
        owned = [
            k for k in keys if session.explain("bookings", k)["owner"] in context.without_successor
        ]
        # Nothing is checked if the killed host was not the successor of any upstream of bookings.
        for key in owned[:1]:
            # This kind has a short deadline; the request is refused only when the deadline passes.
            request = Request(method="GET", target=f"/bookings/{key}/brief")
            response = request.send(session.hosts[0].address)
            seen = (response.status, response.headers["acaciasaddle-outcome"])
            assert seen == (503, "not-run"), response

    @staticmethod
    @then("every unit of the fleet is served by the remaining hosts")
    def all_served(context: Any) -> None:
        context.fleet.wait_served()

    @staticmethod
    @when('the fleet\'s host "{name}" is started with seed addresses only')
    def started(context: Any, name: str) -> None:
        session = context.fleet
        seeds = tuple(
            json.loads((session.directory / f"{host.name}.json").read_text())["peer_address"]
            for host in session.hosts
        )
        plan = HostPlan(host_id=name, data_centre="north")
        session.run(session.fleet.start_host, plan, seeds)

    @staticmethod
    @then('the fleet\'s host "{name}" becomes ready and serves the same units')
    def ready(context: Any, name: str) -> None:
        session = context.fleet
        host = session.fleet.hosts[name]
        started = time.monotonic()
        session.wait(
            f"{name} is ready",
            lambda: session.call_api(host.operator_address, "GET", "/ready").get("ready") is True,
        )
        print(f"{name} was ready {time.monotonic() - started:.2f} s after the start of the check.")
        session.wait_served(excluding=context.without_successor, host=name)

    @staticmethod
    @then("the fleet's configuration is still version {version:d}")
    def unchanged(context: Any, version: int) -> None:
        for host in context.fleet.hosts:
            status = context.fleet.call_api(host.operator_address, "GET", "/status")
            assert status["config_version"] == version, status

"""Steps of fleet/requests.feature, and steps that the features in fleet share."""

from __future__ import annotations

import http.client
import re
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING
from typing import Any

from behave import given
from behave import then
from behave import when

from acaciasaddle.emulator import CallerOutcome
from acaciasaddle.emulator import CallerRecord
from acaciasaddle.emulator import RunState
from support.fleet_session import RELAYED_UPSTREAM
from support.fleet_session import SERVICES
from support.fleet_session import WAIT_LIMIT_S
from support.fleet_session import FleetSession
from support.fleet_session import Request
from support.fleet_session import deposit

if TYPE_CHECKING:
    from acaciasaddle.emulator._fleet import ManagedProcess

FORGED = {
    "Acaciasaddle-Term": "999999",
    "Acaciasaddle-Unit": "bookings/default/15",
    "Acaciasaddle-Key": "another",
    "Acaciasaddle-Request-Id": "forged",
    "Acaciasaddle-Deadline": "1",
    "Acaciasaddle-Timeout": "1",
    "Acaciasaddle-Outcome": "not-run",
    "Acaciasaddle-Replayed": "true",
}
PARALLEL_KEYS = 4
OLD_IDEMPOTENCY_KEY = "0193b4e6-8f0a-7c3e-9d55-6f2f1c1f6a10"
"""A UUIDv7 of December 2024, far older than ``once_window_s``."""

GET = "GET /bookings/raw HTTP/1.1\r\nHost: a\r\n"
POST = "POST /bookings/raw/pay HTTP/1.1\r\nHost: a\r\n"
BAD_INPUTS = {
    "a malformed request line": "GET\r\n\r\n",
    "a header without a colon": f"{GET}nonsense\r\n\r\n",
    "a header of 64 KiB": f"{GET}X-Long: {'x' * 65_536}\r\n\r\n",
    "two different lengths of the body": f"{POST}Content-Length: 1\r\nContent-Length: 2\r\n\r\nx",
    "a length that is not a number": f"{POST}Content-Length: x\r\n\r\nx",
    "a header sent byte by byte": "GET /bookings/raw HTTP/1.1\r\nX-Slow: ",
    "an upload that stalls": "PUT /roster/raw/demo HTTP/1.1\r\nHost: a\r\n"
    f"Content-Length: 400000\r\n\r\n{'x' * 200_000}",
    "a path without a request kind": "GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n",
    "a deposit without an idempotency key": f"{POST}Content-Length: 1\r\n\r\nx",
    "a deposit with an old idempotency key": f"{POST}Idempotency-Key: {OLD_IDEMPOTENCY_KEY}\r\n"
    "Content-Length: 1\r\n\r\nx",
}


def exchange_raw(managed: ManagedProcess, row: Any) -> str:
    """Send the input of a row and return the response's status and outcome, or ``a close``."""
    host, _, port = managed.address.rpartition(":")
    data = BAD_INPUTS[row["input"]]
    with socket.create_connection((host, int(port)), timeout=WAIT_LIMIT_S) as sock:
        try:
            if "byte by byte" in row["input"]:
                ends_at = time.monotonic() + WAIT_LIMIT_S
                sock.settimeout(0.2)
                for byte in data.encode() * 1000:
                    assert time.monotonic() < ends_at, "the connection stays open"
                    sock.sendall(bytes((byte,)))
                    try:
                        return _status_and_outcome(sock.recv(4096))
                    except TimeoutError:
                        continue
            sock.sendall(data.encode())
            return _status_and_outcome(sock.recv(4096))
        except ConnectionError:
            return "a close"


def _status_and_outcome(response: bytes) -> str:
    if not response:
        return "a close"
    outcome = re.search(rb"acaciasaddle-outcome: (.*?)\r", response.lower())
    return response.split()[1].decode() + (f" {outcome[1].decode()}" if outcome else "")


class FleetRequestSteps:
    """Guards against wrong responses to callers over real connections."""

    @staticmethod
    @given("the fleet runs")
    def runs(context: Any) -> None:
        context.fleet = FleetSession.for_feature(context)

    @staticmethod
    @then("each host of the fleet returns the owner's response for one key of each unit")
    def owner_responds(context: Any) -> None:
        session = context.fleet
        unit_keys = [(service, key) for service in SERVICES for key in session.unit_keys(service)]
        with ThreadPoolExecutor(PARALLEL_KEYS) as pool:
            list(pool.map(lambda pair: _wait_owner_responds(session, *pair), unit_keys))

    @staticmethod
    @when('the fleet\'s caller sends a deposit for "{key}" through each host in turn')
    def repeat(context: Any, key: str) -> None:
        request = deposit(key)
        context.responses = [request.send(host.address) for host in context.fleet.hosts]

    @staticmethod
    @then("the fleet's responses are all 200 and equal, and all but the first are replayed")
    def replayed(context: Any) -> None:
        first = context.responses[0]
        for response in context.responses:
            assert (response.status, response.body) == (200, first.body), response
        flags = [response.headers.get("acaciasaddle-replayed") for response in context.responses]
        assert flags == [None, "true", "true", "true"], flags
        assert len(context.fleet.runs("repeat-1")) == 1

    @staticmethod
    @when('the fleet\'s caller gets "{target}" through each host')
    def get_through_hosts(context: Any, target: str) -> None:
        context.responses = []
        for host in context.fleet.hosts:
            try:
                context.responses.append(Request(method="GET", target=target).send(host.address))
            except (http.client.HTTPException, ConnectionError):
                context.responses.append(None)

    @staticmethod
    @then("none of the fleet's responses is complete with a status below 500")
    def not_complete(context: Any) -> None:
        for response in context.responses:
            assert response is None or not response.complete or response.status >= 500, response
        assert context.fleet.runs("cut-1"), "no request got to an upstream"

    @staticmethod
    @when('the fleet\'s caller aborts a {method} to "{path}" after half of its body')
    def aborted(context: Any, method: str, path: str) -> None:
        idempotency_key = deposit("x").headers["Idempotency-Key"]
        head = f"{method} {path} HTTP/1.1\r\nHost: a\r\nIdempotency-Key: {idempotency_key}\r\n"
        data = f"{head}Content-Length: 400000\r\n\r\n{'x' * 200_000}".encode()
        for host in context.fleet.hosts:
            name, _, port = host.address.rpartition(":")
            with socket.create_connection((name, int(port)), timeout=WAIT_LIMIT_S) as sock:
                sock.sendall(data)
                # Give the first half of the body time to reach the upstream.
                time.sleep(0.2)

    @staticmethod
    @then('no run of the fleet\'s key "{key}" is completed')
    def no_completed_run(context: Any, key: str) -> None:
        session = context.fleet
        session.wait(
            "runs have ended",
            lambda: all(run.state is not RunState.RUNNING for run in session.runs(key)),
        )
        states = [run.state for run in session.runs(key)]
        assert RunState.COMPLETED not in states, states

    @staticmethod
    @then("the fleet responds to bad input with one of these")
    def bad_input(context: Any) -> None:
        # Each input is sent through each host: if another host is the holder, some of the errors
        # are detected at the other end of a peer connection.
        hosts = context.fleet.hosts
        with ThreadPoolExecutor(len(context.table.rows) * len(hosts)) as pool:
            found = [
                (row["input"], row["responses"].split(", "), pool.submit(exchange_raw, host, row))
                for row in context.table
                for host in hosts
            ]
        wrong = [(name, f.result()) for name, allowed, f in found if f.result() not in allowed]
        assert not wrong, wrong

    @staticmethod
    @then("the fleet serves a lookup through each host")
    def lookups(context: Any) -> None:
        for host in context.fleet.hosts:
            response = Request(method="GET", target="/bookings/k1").send(host.address)
            assert response.status == 200, (host.name, response)

    @staticmethod
    @when("the fleet's caller forges all headers of the router")
    def forge(context: Any) -> None:
        request = Request(method="GET", target="/bookings/forge-1", headers=FORGED)
        context.response = request.send(context.fleet.hosts[0].address)

    @staticmethod
    @then("the fleet's owner responds to the forged request, which gets a new request id")
    def forged(context: Any) -> None:
        response = context.response
        assert response.status == 200, response
        owner = context.fleet.explain("bookings", "forge-1")
        seen = {name: response.content[name] for name in ("upstream", "key", "unit")}
        expected = {"upstream": owner["owner"], "key": "forge-1", "unit": owner["unit"]}
        assert seen == expected, response.body
        assert response.headers["acaciasaddle-outcome"] == "completed", response.headers
        assert "acaciasaddle-replayed" not in response.headers
        assert response.headers["acaciasaddle-request-id"].startswith("entry-"), response.headers

    @staticmethod
    @when(
        "the fleet's caller sends deposits and lookups to an upstream before and after all open "
        "connections to it become silent"
    )
    def send_around_silence(context: Any) -> None:
        session = context.fleet
        keys = session.unit_keys("bookings")
        key = next(k for k in keys if session.explain("bookings", k)["owner"] == RELAYED_UPSTREAM)
        lookup = Request(method="GET", target=f"/bookings/{key}")
        opened = 0
        context.responses = []
        for after_silence in (False, True):
            if after_silence:
                opened = session.relay.opened
                session.run(_silence, session)
            for host in session.hosts:
                context.responses.append(lookup.send(host.address))
                request = deposit(key)
                response = request.send(host.address)
                session.caller_records.append(
                    CallerRecord(
                        idempotency_key=request.headers["Idempotency-Key"],
                        kind="deposit",
                        outcome=CallerOutcome(response.headers["acaciasaddle-outcome"]),
                        status=response.status,
                    )
                )
        assert session.relay.opened > opened, "no new connection was opened"

    @staticmethod
    @then("each of the fleet's lookups is completed")
    def lookups_completed(context: Any) -> None:
        assert [response.status for response in context.responses] == [200] * 8, context.responses

    @staticmethod
    @then("the fleet's records show no violation")
    def no_violation(context: Any) -> None:
        found = context.fleet.violations()
        assert not found, "\n".join(found[:10])


def _wait_owner_responds(session: FleetSession, service: str, key: str) -> None:
    session.wait(f"the owner of {key} responds", lambda: _owner_responds(session, service, key))


def _owner_responds(session: FleetSession, service: str, key: str) -> bool:
    """Check the response for a key through each host; return false if its unit moved meanwhile."""
    before = session.explain(service, key)
    expected = (before["owner"], key, f"/{service}/{key}")
    seen = {}
    for host in session.hosts:
        response = Request(method="GET", target=f"/{service}/{key}").send(host.address)
        assert response.status == 200, (host.name, key, response)
        seen[host.name] = tuple(response.content[name] for name in ("upstream", "key", "path"))
    if session.explain(service, key)["epoch"] != before["epoch"]:
        return False
    assert set(seen.values()) == {expected}, (expected, seen)
    return True


async def _silence(session: FleetSession) -> None:
    session.relay.silence()

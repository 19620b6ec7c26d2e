"""Steps of fleet/requests.feature, and those that the features of the fleet share."""

from __future__ import annotations

import http.client
import re
import socket
import time
from functools import partial
from typing import Any

from behave import given
from behave import then
from behave import when

from acaciasaddle.emulator import CallerRecord
from acaciasaddle.emulator import RunState
from acaciasaddle.emulator import SeenOutcome
from support.fleet_session import LIMIT_S
from support.fleet_session import RELAYED
from support.fleet_session import SERVICES
from support.fleet_session import FleetSession
from support.fleet_session import Query
from support.fleet_session import deposit

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
OLD_KEY = "0193b4e6-8f0a-7c3e-9d55-6f2f1c1f6a10"

GET = "GET /bookings/raw HTTP/1.1\r\nHost: a\r\n"
POST = "POST /bookings/raw/pay HTTP/1.1\r\nHost: a\r\n"
INPUTS = {
    "a malformed request line": "GET\r\n\r\n",
    "a header without a colon": f"{GET}nonsense\r\n\r\n",
    "a header of 64 KiB": f"{GET}X-Long: {'x' * 65_536}\r\n\r\n",
    "two different lengths of the body": f"{POST}Content-Length: 1\r\nContent-Length: 2\r\n\r\nx",
    "a length that is not a number": f"{POST}Content-Length: x\r\n\r\nx",
    "a path of no kind": "GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n",
    "a deposit without a key": f"{POST}Content-Length: 1\r\n\r\nx",
    "a deposit with an old key": f"{POST}Idempotency-Key: {OLD_KEY}\r\nContent-Length: 1\r\n\r\nx",
}


def exchange_raw(address: str, data: str, *, dribble: bool = False) -> str:
    """Send bytes; return status and outcome of the answer, or ``a close``."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=LIMIT_S) as sock:
        try:
            if dribble:
                until = time.monotonic() + LIMIT_S
                sock.settimeout(0.2)
                for byte in data.encode() * 1000:
                    assert time.monotonic() < until, "the connection stays open"
                    sock.sendall(bytes((byte,)))
                    try:
                        return _outcome(sock.recv(4096))
                    except TimeoutError:
                        continue
            sock.sendall(data.encode())
            return _outcome(sock.recv(4096))
        except ConnectionError:
            return "a close"


def _outcome(answer: bytes) -> str:
    if not answer:
        return "a close"
    outcome = re.search(rb"acaciasaddle-outcome: (.*?)\r", answer.lower())
    return answer.split()[1].decode() + (f" {outcome[1].decode()}" if outcome else "")


class FleetRequestSteps:
    """Guards what callers see over real connections."""

    @staticmethod
    @given("the fleet runs")
    def runs(context: Any) -> None:
        context.fleet = FleetSession.of(context)

    @staticmethod
    @then("the fleet answers a key of every unit alike through each host")
    def alike(context: Any) -> None:
        session = context.fleet
        for service in SERVICES:
            for key in session.unit_keys(service):
                session.wait(
                    f"{key} is answered by its owner", partial(_alike, session, service, key)
                )

    @staticmethod
    @when('the fleet\'s caller sends a deposit for "{key}" through each host in turn')
    def repeat(context: Any, key: str) -> None:
        query = deposit(key)
        context.answers = [query.send(host.address) for host in context.fleet.hosts]

    @staticmethod
    @then("the fleet's answers are all 200 and alike, and all but the first are replayed")
    def replayed(context: Any) -> None:
        first = context.answers[0]
        for answer in context.answers:
            assert (answer.status, answer.body) == (200, first.body), answer
        flags = [answer.headers.get("acaciasaddle-replayed") for answer in context.answers]
        assert flags == [None, "true", "true", "true"], flags
        assert len(context.fleet.runs("repeat-1")) == 1

    @staticmethod
    @when('the fleet\'s caller gets "{target}" through each host')
    def cut(context: Any, target: str) -> None:
        context.answers = []
        for host in context.fleet.hosts:
            try:
                context.answers.append(Query(method="GET", target=target).send(host.address))
            except (http.client.HTTPException, ConnectionError):
                context.answers.append(None)

    @staticmethod
    @then("none of the fleet's answers is whole with status 200")
    def not_whole(context: Any) -> None:
        for answer in context.answers:
            assert answer is None or not answer.whole or answer.status >= 500, answer
        assert context.fleet.runs("cut-1"), "no request got to an upstream"

    @staticmethod
    @when('the fleet\'s caller breaks off a {method} to "{path}" after half of its body')
    def broken_off(context: Any, method: str, path: str) -> None:
        key = deposit("x").headers["Idempotency-Key"]
        head = f"{method} {path} HTTP/1.1\r\nHost: a\r\nIdempotency-Key: {key}\r\n"
        data = f"{head}Content-Length: 400000\r\n\r\n{'x' * 200_000}".encode()
        for host in context.fleet.hosts:
            name, _, port = host.address.rpartition(":")
            with socket.create_connection((name, int(port)), timeout=LIMIT_S) as sock:
                sock.sendall(data)
                # Gives the first half time to get to the upstream.
                time.sleep(0.2)

    @staticmethod
    @then('no run of the fleet\'s key "{key}" is completed')
    def not_run(context: Any, key: str) -> None:
        session = context.fleet
        session.wait(
            "runs have ended",
            lambda: all(run.state is not RunState.RUNNING for run in session.runs(key)),
        )
        states = [run.state for run in session.runs(key)]
        assert RunState.COMPLETED not in states, states

    @staticmethod
    @when("the fleet's caller sends this bad input: {kind}")
    def bad_input(context: Any, kind: str) -> None:
        dribble = kind == "a header that dribbles in"
        data = "GET /bookings/raw HTTP/1.1\r\nX-Slow: " if dribble else INPUTS[kind]
        context.answer = exchange_raw(context.fleet.hosts[0].address, data, dribble=dribble)

    @staticmethod
    @then("the fleet answers with one of: {answers}")
    def refused(context: Any, answers: str) -> None:
        assert context.answer in answers.split(", "), context.answer

    @staticmethod
    @then("the fleet answers a lookup through each host")
    def lookups(context: Any) -> None:
        for host in context.fleet.hosts:
            answer = Query(method="GET", target="/bookings/k1").send(host.address)
            assert answer.status == 200, (host.name, answer)

    @staticmethod
    @when("the fleet's caller forges all headers of the system")
    def forge(context: Any) -> None:
        query = Query(method="GET", target="/bookings/forge-1", headers=FORGED)
        context.answer = query.send(context.fleet.hosts[0].address)

    @staticmethod
    @then("the fleet's forged request is answered by the owner under an identifier of its own")
    def forged(context: Any) -> None:
        answer = context.answer
        assert answer.status == 200, answer
        owner = context.fleet.explain("bookings", "forge-1")
        seen = {name: answer.content[name] for name in ("upstream", "key", "unit")}
        expected = {"upstream": owner["owner"], "key": "forge-1", "unit": owner["unit"]}
        assert seen == expected, answer.body
        assert answer.headers["acaciasaddle-outcome"] == "completed", answer.headers
        assert "acaciasaddle-replayed" not in answer.headers
        assert answer.headers["acaciasaddle-request-id"].startswith("entry-"), answer.headers

    @staticmethod
    @when(
        "the fleet's caller sends deposits and lookups to an upstream before and after all open "
        "connections to it go silent"
    )
    def silent(context: Any) -> None:
        session = context.fleet
        keys = session.unit_keys("bookings")
        key = next(k for k in keys if session.explain("bookings", k)["owner"] == RELAYED)
        lookup = Query(method="GET", target=f"/bookings/{key}")
        opened = 0
        context.answers = []
        for silence in (False, True):
            if silence:
                opened = session.relay.opened
                session.run(_silence, session)
            for host in session.hosts:
                context.answers.append(lookup.send(host.address))
                query = deposit(key)
                answer = query.send(host.address)
                session.callers.append(
                    CallerRecord(
                        idempotency_key=query.headers["Idempotency-Key"],
                        kind="deposit",
                        outcome=SeenOutcome(answer.headers["acaciasaddle-outcome"]),
                        status=answer.status,
                    )
                )
        assert session.relay.opened > opened, "no new connection was opened"

    @staticmethod
    @then("each of the fleet's lookups is answered")
    def answered(context: Any) -> None:
        assert [answer.status for answer in context.answers] == [200] * 8, context.answers

    @staticmethod
    @then("the fleet's records show no violation")
    def sound(context: Any) -> None:
        found = context.fleet.violations()
        assert not found, "\n".join(found[:10])


def _alike(session: FleetSession, service: str, key: str) -> bool:
    """Ask each host for a key; returns false if its unit moved meanwhile."""
    before = session.explain(service, key)
    expected = (before["owner"], key, f"/{service}/{key}")
    seen = {}
    for host in session.hosts:
        answer = Query(method="GET", target=f"/{service}/{key}").send(host.address)
        assert answer.status == 200, (host.name, key, answer)
        seen[host.name] = tuple(answer.content[name] for name in ("upstream", "key", "path"))
    if session.explain(service, key)["epoch"] != before["epoch"]:
        return False
    assert set(seen.values()) == {expected}, (expected, seen)
    return True


async def _silence(session: FleetSession) -> None:
    session.relay.silence()

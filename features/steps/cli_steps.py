"""Steps of cli/*.feature. The commands run against scripted hosts, without sockets."""

from __future__ import annotations

import json
import re
import shlex
from typing import Any

import httpcore
from behave import given
from behave import then
from behave import when
from click.testing import CliRunner

from acaciasaddle import entry
from acaciasaddle.cli import main
from acaciasaddle.cli._common import Environment

EXAMPLE = "--inventory examples/utility/inventory.json --rules examples/utility/rules.json"
_HOSTS = [{"host": "h1", "data_centre": "a", "version": 5, "state": "in force"}]
_HOST_BEHIND = {"host": "h2", "data_centre": "b", "version": 4, "state": "behind"}
_UPSTREAM = {
    "upstream": "bookings/u1",
    "holder": "h1@7",
    "successor": "",
    "term": 3,
    "state": "ready",
    "units": 256,
    "busy": None,
    "queued": 4,
}
RESPONSES: dict[str, tuple[int, Any]] = {
    "accepted": (200, {"version": 5, "accepted": True}),
    "complete": (
        200,
        {"version": 5, "complete": True, "hosts": [*_HOSTS, {**_HOSTS[0], "host": "h2"}]},
    ),
    "partial": (200, {"version": 5, "complete": False, "hosts": [*_HOSTS, _HOST_BEHIND]}),
    "conflict": (409, {"version": 9, "error": "another one"}),
    "invalid": (422, {"problems": ["rules: $.ranks: no rank; expected at least one"]}),
    "503-unknown": (503, {"outcome": "unknown"}),
    "503-not-run": (503, {"outcome": "not-run"}),
    "broken": (200, {"surprise": 1}),
    "400": (400, {}),
    "404": (404, {}),
    "500": (500, {}),
    "status": (
        200,
        {
            "host": "h1",
            "member": "h1@7",
            "data_centre": "a",
            "config_version": 5,
            "ready": True,
            "store": "up",
            "peers": [{"host": "h2"}],
            "upstreams": [_UPSTREAM],
        },
    ),
    "key": (
        200,
        dict.fromkeys(("key", "group", "rule", "successor", "since", "reason"), "x")
        | {"service": "bookings", "unit": "bookings/default/3", "owner": "bookings/u1"}
        | {"holder": "h1@7", "term": 3, "epoch": 1, "in_force": True},
    ),
    "request": (
        200,
        {"steps": [{"at": 0.5, "step": "queue", "detail": "refused"}], "request": "r-1"},
    ),
    "plan": (
        200,
        {
            "version": 4,
            "changes": [
                {
                    "action": "changed",
                    "subject": "rank",
                    "name": "urgent",
                    "fields": [{"field": "target_ms", "before": 10, "after": 20}],
                }
            ],
            "emptied": [],
            "moves": [{"service": "bookings", "group": "default", "units": 256, "share": 0.031}],
            "moved_share": 0.031,
            "warnings": ["about"],
        },
    ),
}


class ScriptedStream(httpcore.NetworkStream):
    """Accepts a request and returns one scripted response.

    ``interrupt`` raises ``KeyboardInterrupt`` instead, and ``silent`` a timeout. Any other name
    that is not in ``RESPONSES``, such as ``lost``, ends the connection without a response.
    """

    def __init__(self, response: str, requests: list[bytes]) -> None:
        self._response = response
        self._requests = requests
        requests.append(b"")

    def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        if self._response == "interrupt":
            raise KeyboardInterrupt
        if self._response == "silent":
            raise httpcore.ReadTimeout("timed out")
        if self._response not in RESPONSES:
            return b""
        status, content = RESPONSES[self._response]
        body = json.dumps(content).encode()
        self._response = "end"
        return b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)

    def write(self, buffer: bytes, timeout: float | None = None) -> None:
        self._requests[-1] += buffer

    def close(self) -> None:
        pass


class ScriptedHosts(httpcore.NetworkBackend):
    """Gives one scripted response for each connection; the last one is repeated.

    ``refuse`` refuses the connection.
    """

    def __init__(self, responses: list[str]) -> None:
        self._responses = responses
        self.requests: list[bytes] = []
        self.ports: list[int] = []
        self.time = 0.0

    def connect_tcp(self, host: str, port: int, **kwargs: Any) -> httpcore.NetworkStream:
        self.ports.append(port)
        response = self._responses.pop(0) if len(self._responses) > 1 else self._responses[0]
        if response == "refuse":
            raise httpcore.ConnectError("connection refused")
        return ScriptedStream(response, self.requests)

    def sleep(self, seconds: float) -> None:
        self.time += seconds

    def changes(self) -> list[dict[str, Any]]:
        """Return the changes that were sent."""
        bodies = [req.partition(b"\r\n\r\n") for req in self.requests]
        return [json.loads(body) for head, _, body in bodies if head.startswith(b"POST /config ")]


class CliSteps:
    """Guards against exit codes and messages that do not match the outcome."""

    @staticmethod
    def expectations(text: str) -> dict[str, Any]:
        pairs = re.findall(r'"(\w+)"=([^,]+)', text)
        return {name: json.loads(value) for name, value in pairs}

    @staticmethod
    @given('a command line whose hosts answer "{answers}"')
    def hosts(context: Any, answers: str) -> None:
        context.hosts = ScriptedHosts(answers.split(", "))

    @staticmethod
    @given('a command line whose entry host fails with "{reason}"')
    def failing_entry_host(context: Any, reason: str) -> None:
        def run_entry_host(settings: Any) -> None:
            context.started = settings.host_id
            raise OSError(98, reason)

        context.hosts = ScriptedHosts(["refuse"])
        original = entry.run_entry_host
        context.add_cleanup(setattr, entry, "run_entry_host", original)
        entry.run_entry_host = run_entry_host

    @staticmethod
    @when('the command line runs "{arguments}"')
    def run(context: Any, arguments: str) -> None:
        hosts = context.hosts
        env = Environment(network=hosts, now=lambda: hosts.time, sleep=hosts.sleep)
        args = shlex.split(arguments.replace("EXAMPLE", EXAMPLE))
        context.result = CliRunner().invoke(main, args, obj=env, prog_name="acaciasaddle")

    @staticmethod
    @then('the command line exits with {code:d} and prints "{text}"')
    def exits(context: Any, code: int, text: str) -> None:
        result = context.result
        assert isinstance(result.exception, SystemExit | None), repr(result.exception)
        assert result.exit_code == code, (result.exit_code, result.output)
        assert " ".join(text.split()) in " ".join(result.output.split()), result.output

    @staticmethod
    @then('the command line prints "{text}"')
    def prints(context: Any, text: str) -> None:
        assert text in context.result.output, context.result.output

    @staticmethod
    @then("the command line prints JSON with {content}")
    def prints_json(context: Any, content: str) -> None:
        printed = json.loads(context.result.stdout)
        expected = CliSteps.expectations(content)
        assert expected.items() <= {k: printed.get(k) for k in expected}.items(), printed

    @staticmethod
    @then("the command line sent the change {count:d} times under one identifier")
    def sent(context: Any, count: int) -> None:
        identifiers = [change["change_id"] for change in context.hosts.changes()]
        assert len(identifiers) == count, identifiers
        assert len(set(identifiers)) <= 1, identifiers

    @staticmethod
    @then('the command line sent "{first}"={rest}')
    def sent_fields(context: Any, first: str, rest: str) -> None:
        (change,) = context.hosts.changes()
        for name, value in CliSteps.expectations(f'"{first}"={rest}').items():
            assert change[name] == value, change

    @staticmethod
    @then('the command line connected to ports "{ports}"')
    def connected(context: Any, ports: str) -> None:
        assert ", ".join(map(str, context.hosts.ports)) == ports, context.hosts.ports

    @staticmethod
    @then('the command line started the entry host "{host_id}"')
    def started(context: Any, host_id: str) -> None:
        assert context.started == host_id, context.started

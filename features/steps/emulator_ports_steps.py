"""Steps of emulator/ports.feature."""

from __future__ import annotations

import subprocess
import sys
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when

from acaciasaddle.emulator import _fleet

RESERVE_PORT_SCRIPT = """
import sys
from unittest import mock
from acaciasaddle.emulator import _fleet
with mock.patch.object(_fleet.random, "randrange", side_effect=[{port}]):
    print(_fleet.reserve_port(), flush=True)
sys.stdin.read()
"""


class PortSteps:
    """Guards against a port that two test runs use at the same time."""

    @staticmethod
    @given("another test run has reserved port {port:d} for a process that has not started yet")
    def reserved(context: Any, port: int) -> None:
        process = subprocess.Popen(
            [sys.executable, "-c", RESERVE_PORT_SCRIPT.format(port=port)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        context.add_cleanup(process.communicate)
        assert process.stdout is not None
        assert int(process.stdout.readline()) == port

    @staticmethod
    @when("a free port is requested and {port:d} is the first candidate")
    def requested(context: Any, port: int) -> None:
        with mock.patch.object(_fleet.random, "randrange", side_effect=[port, port + 1]):
            context.returned_port = _fleet.reserve_port()
        context.first_port = port

    @staticmethod
    @then("another port is returned")
    def differs(context: Any) -> None:
        assert context.returned_port != context.first_port

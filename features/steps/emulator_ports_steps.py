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
from acaciasaddle.emulator import _fleet
print(_fleet.reserve_port(), flush=True)
sys.stdin.read()
"""
CANDIDATES = 50
"""Candidates after the first one. Any test run on the machine may have reserved some of them."""


class PortSteps:
    """Guards against a port that two test runs use at the same time."""

    @staticmethod
    @given("another test run has reserved a port for a process that has not started yet")
    def reserved(context: Any) -> None:
        process = subprocess.Popen(
            [sys.executable, "-c", RESERVE_PORT_SCRIPT],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        context.add_cleanup(process.communicate)
        assert process.stdout is not None
        context.first_port = int(process.stdout.readline())

    @staticmethod
    @when("a free port is requested and that port is the first candidate")
    def requested(context: Any) -> None:
        first = context.first_port
        candidates = [first, *range(first + 1, first + 1 + CANDIDATES)]
        with mock.patch.object(_fleet.random, "randrange", side_effect=candidates):
            context.returned_port = _fleet.reserve_port()

    @staticmethod
    @then("another port is returned")
    def differs(context: Any) -> None:
        assert context.returned_port != context.first_port

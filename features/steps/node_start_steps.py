"""Steps of node/start.feature."""

from __future__ import annotations

import socket
import subprocess
import sys
from typing import TYPE_CHECKING
from typing import Any

import trio
from behave import given
from behave import then
from behave import when

from acaciasaddle.callers import HttpServer
from acaciasaddle.emulator._fleet import reserve_port
from acaciasaddle.errors import AcaciasaddleError
from acaciasaddle.errors import leaf_exceptions
from acaciasaddle.forward import CallerResponse
from acaciasaddle.routing import CallerLimits

if TYPE_CHECKING:
    from acaciasaddle.forward import CallerRequest

LIMIT_S = 5.0
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


SIGHUP_AT_IMPORT = """
import os, runpy, signal, sys

class SignalAtImport:
    def find_spec(self, name, path, target=None):
        if name == "trio":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, SignalAtImport())
sys.argv = ["node", "no-such-file"]
runpy.run_module("acaciasaddle.node", run_name="__main__")
"""


class ProgramStartSteps:
    """Guards against a program that a signal ends before it handles signals."""

    @staticmethod
    @when("a node's program gets SIGHUP while it imports its libraries, and has no settings file")
    def signalled(context: Any) -> None:
        command = [sys.executable, "-c", SIGHUP_AT_IMPORT]
        done = subprocess.run(command, capture_output=True, timeout=60, check=False)
        context.exit_code = done.returncode

    @staticmethod
    @then("it ends with exit code {code:d}")
    def exit_code(context: Any, code: int) -> None:
        assert context.exit_code == code, context.exit_code


class ServerStartSteps:
    """Guards against a server that ends because its port is taken for a moment."""

    @staticmethod
    @given("a port that an outgoing connection has been given")
    def taken_port(context: Any) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        # Outgoing connections of other processes may share a port of the usual range.
        context.taken = socket.create_connection(
            listener.getsockname(), source_address=("127.0.0.1", reserve_port())
        )
        context.address = f"127.0.0.1:{context.taken.getsockname()[1]}"
        context.listener = listener

    @staticmethod
    @when("a server starts on that port, which is free {seconds:g} s later")
    def start(context: Any, seconds: float) -> None:
        async def handle(req: CallerRequest) -> CallerResponse:
            return CallerResponse(status=200, headers=[])

        async def main() -> None:
            server = HttpServer(address=context.address, limits=CallerLimits, handle=handle)
            async with trio.open_nursery() as nursery:
                nursery.cancel_scope.deadline = trio.current_time() + LIMIT_S
                nursery.start_soon(ServerStartSteps._free_later, context, seconds)
                await nursery.start(server.serve)
                host, _, port = context.address.rpartition(":")
                stream = await trio.open_tcp_stream(host, int(port))
                await stream.send_all(REQUEST)
                context.answer = await stream.receive_some(100)
                nursery.cancel_scope.cancel()

        context.answer = b""
        trio.run(main)

    @staticmethod
    async def _free_later(context: Any, seconds: float) -> None:
        await trio.sleep(seconds)
        # Closing the accepted side first leaves no connection in TIME_WAIT at the taken port.
        accepted, _ = context.listener.accept()
        accepted.close()
        context.listener.close()
        context.taken.close()

    @staticmethod
    @then("it serves a request, and did not fail")
    def serves(context: Any) -> None:
        assert context.answer.startswith(b"HTTP/1.1 200"), context.answer

    @staticmethod
    @when("a server starts on an address that is not valid")
    def invalid(context: Any) -> None:
        async def main() -> None:
            server = HttpServer(
                address="999.0.0.1:80", limits=CallerLimits, handle=lambda req: trio.sleep(0)
            )
            async with trio.open_nursery() as nursery:
                await nursery.start(server.serve)

        context.failures = []
        try:
            trio.run(main)
        except BaseExceptionGroup as group:
            context.failures = list(leaf_exceptions(group))

    @staticmethod
    @then('it fails with "{reason}"')
    def fails(context: Any, reason: str) -> None:
        (exc,) = context.failures
        assert isinstance(exc, AcaciasaddleError) and reason in str(exc), repr(exc)

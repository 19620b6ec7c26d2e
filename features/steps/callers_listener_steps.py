"""Steps of callers/listener.feature, on loopback."""

from __future__ import annotations

import socket
import threading
import time
from typing import TYPE_CHECKING
from typing import Any

import trio
from behave import then
from behave import when

from acaciasaddle.callers import HttpServer
from acaciasaddle.callers import Listener
from acaciasaddle.emulator._fleet import reserve_port
from acaciasaddle.forward import CallerResponse
from acaciasaddle.kernel import Kernel
from acaciasaddle.routing import CallerLimits

if TYPE_CHECKING:
    from acaciasaddle.forward import CallerRequest

GRACE_S = 1.6
ACCEPT_S = GRACE_S / 2
"""A listener with a short grace time accepts connections for half of it."""
EARLY_S = 0.02
"""The process becomes busy this long before accepting ends."""
READ_LIMIT_S = 5.0


class ListenerStopSteps:
    """Guards against connections that are closed while they wait to be accepted."""

    @staticmethod
    async def _answer(req: CallerRequest) -> CallerResponse:
        return CallerResponse(status=200, headers=[], body=b"done")

    @staticmethod
    def _call(port: int, busy: threading.Event, received: list[bytes]) -> None:
        busy.wait(READ_LIMIT_S)
        with socket.create_connection(("127.0.0.1", port), timeout=READ_LIMIT_S) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
            try:
                received.append(sock.recv(65_536))
            except OSError as exc:
                received.append(repr(exc).encode())

    @staticmethod
    @when(
        "{count:d} callers connect and send a request while the process is busy for {busy_s:g} s "
        "as accepting ends"
    )
    def busy_at_end(context: Any, count: int, busy_s: float) -> None:
        steps = ListenerStopSteps
        port = reserve_port()
        server = HttpServer(address=f"127.0.0.1:{port}", limits=CallerLimits, handle=steps._answer)
        listener = Listener(servers=(server,), callers=server, grace_s=GRACE_S)
        kernel = Kernel()
        kernel.add(listener)
        busy = threading.Event()
        received: list[bytes] = []
        context.received = received
        callers = [
            threading.Thread(target=steps._call, args=(port, busy, received)) for _ in range(count)
        ]

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                await nursery.start(kernel.run)
                for caller in callers:
                    caller.start()
                stop = listener.announce_stop()
                kernel.shutdown()
                await trio.sleep_until(stop.announced_at + ACCEPT_S - EARLY_S)
                busy.set()
                time.sleep(busy_s)  # blocks the process like large input

        trio.run(main)
        for caller in callers:
            caller.join()

    @staticmethod
    @when(
        "{count:d} callers wait for responses that become ready {early_s:g} s before the stop "
        "ends, and the process is busy from then until {late_s:g} s after its end"
    )
    def busy_at_stop_end(context: Any, count: int, early_s: float, late_s: float) -> None:
        steps = ListenerStopSteps
        port = reserve_port()
        ready_at = 0.0

        async def answer_when_ready(req: CallerRequest) -> CallerResponse:
            await trio.sleep_until(ready_at)
            return await steps._answer(req)

        server = HttpServer(
            address=f"127.0.0.1:{port}", limits=CallerLimits, handle=answer_when_ready
        )
        listener = Listener(servers=(server,), callers=server, grace_s=GRACE_S)
        kernel = Kernel()
        kernel.add(listener)
        start = threading.Event()
        context.received = []
        callers = [
            threading.Thread(target=steps._call, args=(port, start, context.received))
            for _ in range(count)
        ]

        async def main() -> None:
            nonlocal ready_at
            async with trio.open_nursery() as nursery:
                await nursery.start(kernel.run)
                stop = listener.announce_stop()
                ready_at = stop.ends_at - early_s
                for caller in callers:
                    caller.start()
                start.set()
                kernel.shutdown()
                await trio.sleep_until(ready_at - EARLY_S)
                time.sleep(EARLY_S + early_s + late_s)

        trio.run(main)
        for caller in callers:
            caller.join()

    @staticmethod
    @then("each of these callers is answered")
    def all_answered(context: Any) -> None:
        answered = sum(data.startswith(b"HTTP/1.1 200") for data in context.received)
        assert answered == len(context.received) > 0, context.received

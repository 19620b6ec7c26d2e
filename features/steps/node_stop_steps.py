"""Steps of node/stop.feature."""

from __future__ import annotations

import os
import signal
import time
from typing import Any

import trio
from behave import given
from behave import then
from behave import when
from features.steps.node_settings_steps import template_settings
from trio.testing import MockClock

from acaciasaddle.callers import Listener
from acaciasaddle.forward import PlannedStop
from acaciasaddle.node._node import Node

LIMIT_S = 5.0
IDLE_S = 0.25
"""Time in which the node looks for signals before its process is busy."""


class _SignalledKernel:
    """Stands in for the kernel; SIGTERM arrives while it starts the services.

    The signals in ``while_stopping`` arrive while it stops them.
    """

    def __init__(self, *, while_stopping: tuple[int, ...] = ()) -> None:
        self._stop = trio.Event()
        self._while_stopping = while_stopping
        self.stopped = False

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        os.kill(os.getpid(), signal.SIGTERM)
        task_status.started()
        await self._stop.wait()
        for signum in self._while_stopping:
            os.kill(os.getpid(), signum)
        await trio.sleep(0.05)
        self.stopped = True

    def shutdown(self) -> None:
        self._stop.set()


class _BusyKernel(_SignalledKernel):
    """Stands in for the kernel; SIGTERM arrives as the process begins or ends to be busy."""

    def __init__(self, *, busy_s: float, at_end: bool = False) -> None:
        super().__init__()
        self._busy_s = busy_s
        self._at_end = at_end
        self.signalled_at = 0.0

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        task_status.started()
        await trio.sleep(IDLE_S)
        if self._at_end:
            time.sleep(self._busy_s)
        self.signalled_at = trio.current_time()
        os.kill(os.getpid(), signal.SIGTERM)
        if not self._at_end:
            time.sleep(self._busy_s)
        await self._stop.wait()
        self.stopped = True


class NodeStopSteps:
    """Guards against signals that arrive before the node handles them."""

    @staticmethod
    @when("the node gets SIGTERM before its services have started")
    def signalled(context: Any) -> None:
        NodeStopSteps._run(context, _SignalledKernel())

    @staticmethod
    @when("the node gets SIGHUP and SIGTERM again while its services stop")
    def signalled_again(context: Any) -> None:
        NodeStopSteps._run(
            context, _SignalledKernel(while_stopping=(signal.SIGHUP, signal.SIGTERM))
        )

    @staticmethod
    @when("the node gets SIGTERM while its process is busy for {seconds:g} s")
    def signalled_while_busy(context: Any, seconds: float) -> None:
        context.kernel = _BusyKernel(busy_s=seconds)
        NodeStopSteps._run(context, context.kernel)

    @staticmethod
    @when("the node gets SIGTERM right after its process was busy for {seconds:g} s")
    def signalled_after_busy(context: Any, seconds: float) -> None:
        context.kernel = _BusyKernel(busy_s=seconds, at_end=True)
        NodeStopSteps._run(context, context.kernel)

    @staticmethod
    @then("the stop ends at least {seconds:g} s after the signal")
    def leaves_time(context: Any, seconds: float) -> None:
        stop = context.node.listener.announce_stop()
        lasts_s = stop.ends_at - context.kernel.signalled_at
        assert lasts_s >= seconds, lasts_s

    @staticmethod
    @then("the stop ends within the grace time of the signal")
    def ends_in_grace_time(context: Any) -> None:
        stop = context.node.listener.announce_stop()
        lasts_s = stop.ends_at - context.kernel.signalled_at
        assert lasts_s < context.grace_s, lasts_s

    @staticmethod
    def _run(context: Any, kernel: Any) -> None:
        missed = []
        settings = template_settings()
        context.grace_s = settings.bounds.grace_s
        context.node = node = Node(settings=settings)
        node.kernel = kernel

        async def main() -> None:
            with trio.move_on_after(LIMIT_S):
                await node.run()

        numbers = (signal.SIGTERM, signal.SIGHUP)
        before = [signal.signal(number, lambda *_: missed.append(True)) for number in numbers]
        try:
            trio.run(main)
        finally:
            for number, handler in zip(numbers, before, strict=True):
                signal.signal(number, handler)
        context.missed_signals, context.node_stopped = missed, kernel.stopped

    @staticmethod
    @then("the node stops its services")
    def stopped(context: Any) -> None:
        assert not context.missed_signals, "the node did not handle the signal"
        assert context.node_stopped, "the services were not stopped"


class PlannedStopSteps:
    """Guards against requests that a stop breaks off although another host could serve them."""

    @staticmethod
    @given("a host that gets the signal to stop at {at:g} s and breaks off requests at {end:g} s")
    def stop(context: Any, at: float, end: float) -> None:
        context.planned_stop = PlannedStop(announced_at=at, ends_at=end)

    @staticmethod
    @when(
        "a {kind} request that is given up after {wait:g} s and should take {expected:g} s "
        "arrives at {at:g} s"
    )
    def arrives(context: Any, kind: str, wait: float, expected: float, at: float) -> None:
        context.taken = context.planned_stop.allows(
            now=at, request_ends_at=at + wait, expected_s=expected, repeatable=kind == "repeatable"
        )

    @staticmethod
    @then("the request is {outcome}")
    def outcome(context: Any, outcome: str) -> None:
        assert context.taken == (outcome == "taken"), context.taken


class _OpenServer:
    """Stands in for a server whose connection stays open."""

    open_connections = 1
    busy_connections = 0

    def announce_close(self) -> None:
        """Do nothing."""

    def close_idle(self) -> None:
        """Do nothing, since the connection is not idle."""

    async def wait_until_ended(self) -> None:
        """Wait forever, since the connection stays open."""
        await trio.sleep_forever()


class ListenerGraceSteps:
    """Guards against requests accepted so late that the process is killed while they run."""

    @staticmethod
    @given("a listener with {grace:g} s of grace and an open connection")
    def listener(context: Any, grace: float) -> None:
        server: Any = _OpenServer()
        context.listener = Listener(servers=(), callers=server, grace_s=grace)

    @staticmethod
    @when(
        "a stop is announced, another service takes {seconds:g} s to stop, "
        "and then the listener stops"
    )
    def stops(context: Any, seconds: float) -> None:
        async def main() -> float:
            announced = trio.current_time()
            context.listener.announce_stop()
            await trio.sleep(seconds)
            await context.listener.stop()
            return trio.current_time() - announced

        context.stop_duration_s = trio.run(main, clock=MockClock(autojump_threshold=0))

    @staticmethod
    @then("the listener has stopped within {seconds:g} s of the announcement")
    def in_time(context: Any, seconds: float) -> None:
        assert context.stop_duration_s < seconds, context.stop_duration_s

"""Steps of node/stop.feature."""

from __future__ import annotations

import os
import signal
from typing import Any

import trio
from behave import then
from behave import when
from features.steps.node_settings_steps import template_settings

from acaciasaddle.node._node import Node

LIMIT_S = 5.0


class _SignalledKernel:
    """Stands in for the services; SIGTERM arrives while they start."""

    def __init__(self) -> None:
        self._stop = trio.Event()
        self.stopped = False

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        os.kill(os.getpid(), signal.SIGTERM)
        task_status.started()
        await self._stop.wait()
        self.stopped = True

    def shutdown(self) -> None:
        self._stop.set()


class NodeStopSteps:
    """Guards against signals that meet a node without a handler."""

    @staticmethod
    @when("the node gets SIGTERM before its services have started")
    def signalled(context: Any) -> None:
        missed = []
        node = Node(settings=template_settings())
        kernel: Any = _SignalledKernel()
        node.kernel = kernel

        async def main() -> None:
            with trio.move_on_after(LIMIT_S):
                await node.run()

        before = signal.signal(signal.SIGTERM, lambda *_: missed.append(True))
        try:
            trio.run(main)
        finally:
            signal.signal(signal.SIGTERM, before)
        context.node_missed, context.node_stopped = missed, kernel.stopped

    @staticmethod
    @then("the node stops its services")
    def stopped(context: Any) -> None:
        assert not context.node_missed, "the signal met no handler of the node"
        assert context.node_stopped, "the services were not stopped"

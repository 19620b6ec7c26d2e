"""Steps of kernel.feature."""

from __future__ import annotations

from typing import Any

import trio
from behave import given
from behave import then
from behave import when

from acaciasaddle.kernel import Kernel
from acaciasaddle.kernel import Service

STOP_LIMIT_S = 5.0


class RecordingService(Service):
    """Records its start and stop."""

    def __init__(self, *, label: str, events: list[str]) -> None:
        self.name = label  # type: ignore[misc]
        self._events = events
        self.hangs = False

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        if self.hangs:
            await trio.sleep_forever()
        self._events.append(f"start {self.name}")
        task_status.started()
        await trio.sleep_forever()

    async def stop(self) -> None:
        self._events.append(f"stop {self.name}")


class KernelSteps:
    """Guards against services that are stopped while others still use them."""

    @staticmethod
    @given('a kernel with the services "{first}" and "{second}"')
    def build(context: Any, first: str, second: str) -> None:
        context.events = []
        context.kernel = Kernel()
        for label in (first, second):
            context.kernel.add(RecordingService(label=label, events=context.events))

    @staticmethod
    @given('a kernel with the services "{first}" and "{second}", of which "{hanging}" never starts')
    def build_with_hanging(context: Any, first: str, second: str, hanging: str) -> None:
        KernelSteps.build(context, first, second)
        for svc in context.kernel:
            svc.hangs = svc.name == hanging

    @staticmethod
    @when("the kernel runs and is shut down after {seconds:g} s")
    def run_for(context: Any, seconds: float) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(context.kernel.run)
                await trio.sleep(seconds)
                context.kernel.shutdown()
                nursery.cancel_scope.deadline = trio.current_time() + STOP_LIMIT_S

        trio.run(main)

    @staticmethod
    @when("the kernel runs and is shut down")
    def run(context: Any) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                await nursery.start(context.kernel.run)
                context.kernel.shutdown()

        trio.run(main)

    @staticmethod
    @then('the events are "{expected}"')
    def events(context: Any, expected: str) -> None:
        assert ", ".join(context.events) == expected, context.events

"""Measures how long single steps of tasks keep the event loop from running other tasks."""

from __future__ import annotations

import time

import trio


class TaskStepTimes(trio.abc.Instrument):
    """Records the processor time of the longest step of a task between two checkpoints.

    Processor time is what the step takes on a full core, however busy the machine is.
    ``longest_s`` and ``total_s`` are in seconds, ``task`` is the name of the task with the longest
    step.
    """

    def __init__(self) -> None:
        self._started: float | None = None
        self.reset()

    def reset(self) -> None:
        """Forget the steps recorded so far."""
        self.longest_s = self.total_s = 0.0
        self.task = ""

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        self._started = time.thread_time()

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        if self._started is None:
            # The instrument was added during this step.
            return
        took_s = time.thread_time() - self._started
        self.total_s += took_s
        if took_s > self.longest_s:
            self.longest_s, self.task = took_s, task.name

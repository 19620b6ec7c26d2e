"""Groups of tasks that stand still together, as a stopped process does."""

from __future__ import annotations

from contextlib import contextmanager
from contextvars import ContextVar
from typing import TYPE_CHECKING
from typing import Any

from trio._core import _run

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    import trio

_CURRENT: ContextVar[Domain | None] = ContextVar("domain", default=None)


class Domain:
    """The tasks of one simulated process.

    Tasks started inside ``enter`` belong to the domain, and so do their children. While it is
    stopped, its tasks are not run: what they wait for goes on and is seen late.
    """

    def __init__(self) -> None:
        self.stopped = False
        self._waiting: list[trio.lowlevel.Task] = []

    @contextmanager
    def enter(self) -> Iterator[None]:
        """Start tasks of the domain inside."""
        token = _CURRENT.set(self)
        try:
            yield
        finally:
            _CURRENT.reset(token)

    def stop(self) -> None:
        """Run no task of the domain from the next checkpoint of each on."""
        self.stopped = True

    def resume(self) -> None:
        """Run the tasks again."""
        self.stopped = False
        runner = _run.GLOBAL_RUN_CONTEXT.runner
        runner.runq.extend(self._waiting)
        self._waiting.clear()

    def hold(self, task: trio.lowlevel.Task) -> None:
        """Keep a task that is ready to run until the domain resumes."""
        self._waiting.append(task)


@contextmanager
def outside_domains() -> Iterator[None]:
    """Start tasks that belong to no domain, whatever task runs this."""
    token = _CURRENT.set(None)
    try:
        yield
    finally:
        _CURRENT.reset(token)


def is_stopped() -> bool:
    """Whether the running task belongs to a stopped domain."""
    domain = _CURRENT.get()
    return domain is not None and domain.stopped


@contextmanager
def domains_enabled() -> Iterator[None]:
    """Make ``Domain.stop`` effective inside.

    Trio has no way to suspend a task from outside, so its scheduler is wrapped. A task that was
    ready when its domain stopped still runs to its next checkpoint.
    """
    original: Callable[..., None] = _run.Runner.reschedule

    def reschedule(self: Any, task: trio.lowlevel.Task, *args: Any) -> None:
        original(self, task, *args)
        domain = task.context.get(_CURRENT)
        if domain is not None and domain.stopped:
            assert self.runq.pop() is task
            domain.hold(task)

    _run.Runner.reschedule = reschedule  # type: ignore[method-assign,assignment]
    try:
        yield
    finally:
        _run.Runner.reschedule = original  # type: ignore[method-assign]

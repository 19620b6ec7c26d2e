"""Groups of tasks that are suspended together, as SIGSTOP suspends a whole process."""

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

_CURRENT_DOMAIN: ContextVar[Domain | None] = ContextVar("domain", default=None)


class Domain:
    """The tasks of one simulated process.

    Tasks started within ``enter`` belong to the domain, and so do the tasks that they start. While
    the domain is suspended, its tasks run no further than their next checkpoint. What they wait for
    still happens; they see it when they are resumed.
    """

    def __init__(self) -> None:
        self.suspended = False
        self._deferred: list[trio.lowlevel.Task] = []

    @contextmanager
    def enter(self) -> Iterator[None]:
        """Make tasks that are started within the block belong to the domain."""
        token = _CURRENT_DOMAIN.set(self)
        try:
            yield
        finally:
            _CURRENT_DOMAIN.reset(token)

    def suspend(self) -> None:
        """Suspend each task of the domain at its next checkpoint."""
        self.suspended = True

    def resume(self) -> None:
        """Schedule the tasks that became ready while the domain was suspended."""
        self.suspended = False
        runner = _run.GLOBAL_RUN_CONTEXT.runner
        runner.runq.extend(self._deferred)
        self._deferred.clear()

    def defer(self, task: trio.lowlevel.Task) -> None:
        """Keep a task that is ready to run until the domain is resumed."""
        self._deferred.append(task)


@contextmanager
def outside_domains() -> Iterator[None]:
    """Make tasks that are started within the block belong to no domain."""
    token = _CURRENT_DOMAIN.set(None)
    try:
        yield
    finally:
        _CURRENT_DOMAIN.reset(token)


def is_suspended() -> bool:
    """Return whether the running task belongs to a suspended domain."""
    domain = _CURRENT_DOMAIN.get()
    return domain is not None and domain.suspended


@contextmanager
def domains_enabled() -> Iterator[None]:
    """Make ``Domain.suspend`` effective within the block.

    Trio has no way to suspend a task from outside, so its scheduler is patched. A task that was
    ready when its domain was suspended still runs to its next checkpoint.
    """
    original: Callable[..., None] = _run.Runner.reschedule

    def reschedule(self: Any, task: trio.lowlevel.Task, *args: Any) -> None:
        original(self, task, *args)
        domain = task.context.get(_CURRENT_DOMAIN)
        if domain is not None and domain.suspended:
            assert self.runq.pop() is task
            domain.defer(task)

    _run.Runner.reschedule = reschedule  # type: ignore[method-assign,assignment]
    try:
        yield
    finally:
        _run.Runner.reschedule = original  # type: ignore[method-assign]

"""Registration, lookup, start and stop of services."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING
from typing import ClassVar
from typing import TypeVar

import trio

from acaciasaddle.errors import AcaciasaddleError

if TYPE_CHECKING:
    from collections.abc import Iterator

ServiceT = TypeVar("ServiceT", bound="Service")


class Service(ABC):
    """A part of the process with its own name and tasks."""

    name: ClassVar[str]

    @abstractmethod
    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled. Call ``task_status.started()`` when other services may use it."""

    async def stop(self) -> None:  # noqa: B027
        """Finish the work in progress before the service is cancelled."""


class Kernel:
    """Starts services in the order of registration and stops them in reverse."""

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}
        self._stop = trio.Event()
        self._starting = trio.CancelScope()

    def add(self, svc: Service) -> None:
        """Register a service. Raises ``AcaciasaddleError`` if its name is already registered."""
        if svc.name in self._services:
            raise AcaciasaddleError(f"service {svc.name!r} is registered twice", step="kernel.add")
        self._services[svc.name] = svc

    def find(self, cls: type[ServiceT]) -> ServiceT:
        """Return the service registered under the name of ``cls``.

        Raises ``AcaciasaddleError`` if there is none of that class.
        """
        svc = self._services.get(cls.name)
        if not isinstance(svc, cls):
            raise AcaciasaddleError(f"service {cls.name!r} is not registered", step="kernel.find")
        return svc

    def __iter__(self) -> Iterator[Service]:
        return iter(self._services.values())

    def shutdown(self) -> None:
        """Ask ``run`` to stop all services and return. A start in progress is cancelled."""
        self._stop.set()
        self._starting.cancel()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run all services until ``shutdown`` is called, then stop those that have started."""
        started: list[Service] = []
        async with trio.open_nursery() as nursery:
            with self._starting:
                for svc in self:
                    await nursery.start(svc.run)
                    started.append(svc)
            task_status.started()
            await self._stop.wait()
            for svc in reversed(started):
                await svc.stop()
            nursery.cancel_scope.cancel()

"""The process of a routing node."""

from __future__ import annotations

import gc
import signal
import uuid
from typing import TYPE_CHECKING

import trio

from acaciasaddle.callers import HttpServer
from acaciasaddle.callers import Listener
from acaciasaddle.clock import BootClock
from acaciasaddle.fleet import FleetView
from acaciasaddle.forward import BudgetTerms
from acaciasaddle.forward import Forwarder
from acaciasaddle.forward import RepeatBudget
from acaciasaddle.forward import Reply
from acaciasaddle.kernel import Kernel
from acaciasaddle.keyspace import Coordinator
from acaciasaddle.keyspace import LoadBook
from acaciasaddle.links import Links
from acaciasaddle.node._settings import load_node_settings
from acaciasaddle.node._watch import Watcher
from acaciasaddle.observe import configure_logs
from acaciasaddle.observe import get_logger
from acaciasaddle.platform import PlatformConfigurations
from acaciasaddle.platform import PlatformDialect
from acaciasaddle.platform import PlatformOrders
from acaciasaddle.platform import PlatformRegistry
from acaciasaddle.platform import PlatformTable
from acaciasaddle.platform import StoreClient
from acaciasaddle.routing import CallerLimits

if TYPE_CHECKING:
    from acaciasaddle.forward import CallerRequest
    from acaciasaddle.node._settings import NodeSettings

ASSUMED_HOSTS = 16
"""Hosts that share the budget of repeats, until their number is known."""
YOUNG_OBJECTS = 20_000
"""Objects after which the youngest generation is collected; Python's 700 is a single request."""

log = get_logger("node")


class Node:
    """All services of one node, wired together."""

    def __init__(self, *, settings: NodeSettings) -> None:
        self._settings = settings
        clock = BootClock()
        store = StoreClient(address=settings.platform_address)
        table = PlatformTable(store=store)
        self.view = FleetView(clock=clock)
        bounds = settings.bounds
        self.budget = RepeatBudget(
            terms=BudgetTerms(
                ratio=bounds.repeat_ratio,
                window_s=bounds.repeat_window_s,
                slack=bounds.repeat_slack,
            ),
            hosts=ASSUMED_HOSTS,
        )
        self.forwarder = Forwarder(
            view=self.view,
            dialect=PlatformDialect(),
            budget=self.budget,
            data_centre=settings.data_centre,
        )
        self.load = LoadBook()
        self.coordinator = Coordinator(
            member=f"{settings.host_id}@{uuid.uuid4().hex[:12]}",
            address=f"{settings.ip}:{settings.ports[0]}",
            view=self.view,
            table=table,
            orders=PlatformOrders(),
            clock=clock,
            load=self.load,
            max_lease_s=bounds.max_lease_s,
        )
        self.links = Links(
            host_id=settings.host_id,
            address=self.coordinator.address,
            view=self.view,
            coordinator=self.coordinator,
            load=self.load,
            clock=clock,
            take_samples=self.forwarder.take_samples,
            busy=self.forwarder.busy,
        )
        self.coordinator.linked = self.links.linked
        callers = HttpServer(
            address=settings.caller_address, limits=self._limits, handle=self.forwarder.handle
        )
        readiness = HttpServer(
            address=settings.readiness_address, limits=CallerLimits, handle=self._readiness
        )
        self.listener = Listener(
            servers=(callers, readiness), callers=callers, grace_s=bounds.grace_s
        )
        self.kernel = Kernel()
        self.kernel.add(
            Watcher(
                view=self.view,
                configurations=PlatformConfigurations(store=store),
                registry=PlatformRegistry(store=store),
                table=table,
                covered=self.links.covers,
                leading=lambda: self.coordinator.leading,
            )
        )
        self.kernel.add(self.links)
        self.kernel.add(self.listener)
        self.kernel.add(self.coordinator)

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.kernel.run)
            log.info("started", host=self._settings.host_id)
            with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
                async for signum in signals:
                    if signum != signal.SIGHUP:
                        break
                    log.info("settings file changed; addresses stay as they are")
            log.info("stopping", signal=signum)
            self.kernel.shutdown()

    def _limits(self) -> CallerLimits:
        cfg = self.view.configuration
        return cfg.limits if cfg is not None else CallerLimits()

    async def _readiness(self, req: CallerRequest) -> Reply:
        ready = self.view.complete and not self.listener.draining
        return Reply(status=200 if ready else 503, headers=[])


def run_node(settings_path: str) -> None:
    """Run a node with a settings file until it is told to stop. Raises ``ConfigError``."""
    settings = load_node_settings(settings_path)
    configure_logs(level=settings.log_level, json=True, host=settings.host_id)
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS, 20, 100)
    trio.run(Node(settings=settings).run)

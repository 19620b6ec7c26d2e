"""Process of a routing node: its services and how they are connected."""

from __future__ import annotations

import gc
import resource
import signal
import uuid
from functools import partial
from typing import TYPE_CHECKING

import trio

from acaciasaddle.callers import HttpServer
from acaciasaddle.callers import Listener
from acaciasaddle.clock import BootClock
from acaciasaddle.fleet import FleetView
from acaciasaddle.forward import BudgetLimits
from acaciasaddle.forward import CallerResponse
from acaciasaddle.forward import Forwarder
from acaciasaddle.forward import RepeatBudget
from acaciasaddle.kernel import Kernel
from acaciasaddle.keyspace import Coordinator
from acaciasaddle.keyspace import LoadHistory
from acaciasaddle.links import Links
from acaciasaddle.memory import MemoryBound
from acaciasaddle.node._settings import load_node_settings
from acaciasaddle.node._watch import Watcher
from acaciasaddle.observe import LoopMonitor
from acaciasaddle.observe import RegistryMetrics
from acaciasaddle.observe import StatsdMetrics
from acaciasaddle.observe import configure_node_logging
from acaciasaddle.observe import get_logger
from acaciasaddle.platform import PlatformConfigurations
from acaciasaddle.platform import PlatformDialect
from acaciasaddle.platform import PlatformOrders
from acaciasaddle.platform import PlatformRegistry
from acaciasaddle.platform import PlatformTable
from acaciasaddle.platform import StoreClient
from acaciasaddle.routing import CallerLimits

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from acaciasaddle.forward import CallerRequest
    from acaciasaddle.node._settings import NodeSettings

GC_THRESHOLD = 20_000
"""Allocated minus freed objects at which the garbage collector examines the youngest generation.
Python's default of 700 is reached by a single request."""

MAX_SIGNAL_DELAY_SHARE = 0.5
"""Largest share of the grace time by which a stop begins before its signal is seen. After a long
pause the signal may also have just arrived, and requests in progress need time to end."""

log = get_logger("node")


class Node:
    """The services of one node, connected with each other."""

    def __init__(self, *, settings: NodeSettings) -> None:
        self._settings = settings
        clock = self._clock = BootClock()
        statsd = settings.statsd
        self.metrics = RegistryMetrics(
            read_gauges=self._gauges,
            forward=(
                StatsdMetrics(host=statsd.host, port=statsd.port, prefix=statsd.prefix)
                if statsd is not None
                else None
            ),
        )
        store = self._store = StoreClient(address=settings.platform_address, metrics=self.metrics)
        table = PlatformTable(store=store)
        self.view = FleetView(clock=clock)
        bounds = settings.bounds
        self.budget = RepeatBudget(
            limits=BudgetLimits(
                ratio=bounds.repeat_ratio,
                window_s=bounds.repeat_window_s,
                slack=bounds.repeat_slack,
            ),
            hosts=lambda: self.links.hosts,
        )
        self.memory = MemoryBound(
            host_bytes=int(settings.capacity.memory_mb * 1_000_000), metrics=self.metrics
        )
        self.forwarder = Forwarder(
            view=self.view,
            dialect=PlatformDialect(),
            budget=self.budget,
            metrics=self.metrics,
            data_centre=settings.data_centre,
            memory=self.memory,
        )
        self.load = LoadHistory()
        self.coordinator = Coordinator(
            member=f"{settings.host_id}@{uuid.uuid4().hex[:12]}",
            address=f"{settings.ip}:{settings.ports[0]}",
            view=self.view,
            table=table,
            orders=PlatformOrders(note_leaving=partial(self.view.note_leaving, told_by="an order")),
            clock=clock,
            load=self.load,
            max_lease_s=bounds.max_lease_s,
            takeover_delay_s=settings.capacity.takeover_delay_s,
            metrics=self.metrics,
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
        self.forwarder.total_busy = self.links.requests_in_progress
        self.callers = HttpServer(
            address=settings.caller_address,
            limits=self._limits,
            handle=self.forwarder.handle,
            metrics=self.metrics,
            memory=self.memory,
            body_terms=self.forwarder.body_terms,
        )
        servers = [self.callers]
        if settings.metrics_address is not None:
            servers.append(
                HttpServer(
                    address=settings.metrics_address,
                    limits=CallerLimits,
                    handle=self._metrics_page,
                    memory=self.memory,
                )
            )
        readiness = HttpServer(
            address=settings.readiness_address,
            limits=CallerLimits,
            handle=self._readiness,
            memory=self.memory,
        )
        self.listener = Listener(
            servers=(*servers, readiness), callers=self.callers, grace_s=bounds.grace_s
        )
        self._loop_monitor = LoopMonitor(metrics=self.metrics)
        self.kernel = Kernel()
        self.watcher = Watcher(
            view=self.view,
            configurations=PlatformConfigurations(store=store),
            registry=PlatformRegistry(store=store),
            table=table,
            up_to_date=self.links.is_up_to_date,
            configuration_up_to_date=self.links.configuration_is_up_to_date,
            leading=lambda: self.coordinator.leading,
        )
        self.kernel.add(self.watcher)
        self.kernel.add(self.links)
        self.kernel.add(self.listener)
        self.kernel.add(self.coordinator)

    async def run(self) -> None:
        """Run the services until SIGTERM or SIGINT, then stop them."""
        trio.lowlevel.add_instrument(self._loop_monitor)
        # Install the handlers first: without them a signal ends the process at once.
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._handle_signals, signals)
                await self._run_services()
                nursery.cancel_scope.cancel()

    async def _handle_signals(self, signals: AsyncIterator[int]) -> None:
        """Stop on the first SIGTERM or SIGINT; go on until cancelled.

        A signal that nobody takes from the receiver is raised again when it closes, and would then
        end a process that is about to stop in good order.

        The grace time runs from the signal, which a busy process sees late. The stop therefore
        begins at the earliest time at which the signal may have arrived.
        """
        stopping = False
        async for signum in signals:
            if signum == signal.SIGHUP:
                log.info("SIGHUP received; settings are only read at start")
            elif stopping:
                log.info("signal ignored, the host stops already", signal=signum)
            else:
                stopping = True
                log.info("stopping on signal", signal=signum)
                longest_s = self._settings.bounds.grace_s * MAX_SIGNAL_DELAY_SHARE
                delay_s = min(self._loop_monitor.longest_delay_s(), longest_s)
                stop = self.listener.announce_stop(signalled_after=trio.current_time() - delay_s)
                self.forwarder.note_stop(stop)
                self.memory.refuse_waiting()
                self.kernel.shutdown()

    async def _run_services(self) -> None:
        async with trio.open_nursery() as nursery:
            await nursery.start(self.kernel.run)
            log.info("started", host=self._settings.host_id)

    def _limits(self) -> CallerLimits:
        cfg = self.view.configuration
        return cfg.limits if cfg is not None else CallerLimits()

    def _gauges(self) -> dict[str, float]:
        """Return the gauges, which are only computed when the metrics are read."""
        view, now = self.view, self._clock.now()
        gauges = {
            "callers.open_connections": float(self.callers.open_connections),
            "callers.unexpected_errors": float(self.callers.unexpected_errors),
            "watcher.unexpected_errors": float(self.watcher.unexpected_errors),
            "links.hosts": float(self.links.hosts),
            "coordinator.leading": float(self.coordinator.leading),
            "coordinator.role_age_s": self.coordinator.role_age_s,
            "fleet.upstreams": float(len(view.upstreams)),
            "store.calls": float(self._store.calls),
            "forward.connections_opened": float(self.forwarder.connections_opened),
            "memory.used_bytes": float(self.memory.used),
            "memory.bound_bytes": float(self.memory.total),
            "memory.uploads_waiting": float(self.memory.waiting),
            "process.peak_memory_bytes": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            * 1024.0,
        }
        for name, at in (
            ("fleet.configuration_age_s", view.configuration_read_at),
            ("fleet.registry_age_s", view.registry_read_at),
        ):
            if at is not None:
                gauges[name] = now - at
        for service, owners in view.owners.items():
            unowned = sum(gap.size for gap in owners.gaps())
            unowned += sum(span.keys.size for span in owners.spans if span.moving)
            gauges[f"keyspace.unowned.{service}"] = float(unowned)
        if view.configuration is not None:
            for service in view.configuration.services:
                remaining = self.budget.remaining(service, now=trio.current_time())
                gauges[f"forward.repeats_left.{service}"] = remaining
        return gauges

    async def _metrics_page(self, req: CallerRequest) -> CallerResponse:
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        return CallerResponse(status=200, headers=headers, body=self.metrics.render())

    async def _readiness(self, req: CallerRequest) -> CallerResponse:
        ready = self.view.complete and not self.listener.draining
        return CallerResponse(status=200 if ready else 503, headers=[])


def run_node(settings_path: str) -> None:
    """Run a node with a settings file until a signal stops it.

    Raises ``ConfigError`` if the settings cannot be read or are not valid.
    """
    settings = load_node_settings(settings_path)
    configure_node_logging(level=settings.log_level, host=settings.host_id)
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 20, 100)
    trio.run(Node(settings=settings).run)

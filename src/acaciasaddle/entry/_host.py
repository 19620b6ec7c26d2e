"""An entry host: its services and its process."""

from __future__ import annotations

import gc
import signal
import uuid
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import ClassVar

import httpcore
import trio

from acaciasaddle.clock import BootClock
from acaciasaddle.clock import Clock
from acaciasaddle.config import Rules
from acaciasaddle.dispatch import LocalDispatcher
from acaciasaddle.entry._ingress import Ingress
from acaciasaddle.entry._operator import OperatorApp
from acaciasaddle.entry._serve import hypercorn_config
from acaciasaddle.entry._serve import serve_application
from acaciasaddle.errors import leaf_exceptions
from acaciasaddle.http_table import HttpPlatform
from acaciasaddle.kernel import Kernel
from acaciasaddle.kernel import Service
from acaciasaddle.mirror import Mirror
from acaciasaddle.model import HostRow
from acaciasaddle.model import HostState
from acaciasaddle.observe import Metrics
from acaciasaddle.observe import NullMetrics
from acaciasaddle.observe import StatsdMetrics
from acaciasaddle.observe import configure_logging
from acaciasaddle.observe import get_logger
from acaciasaddle.ownership import Authority
from acaciasaddle.ownership import Context
from acaciasaddle.ownership import FirstAssignment
from acaciasaddle.ownership import HostAuthority
from acaciasaddle.ownership import Members
from acaciasaddle.ownership import MirrorRouter
from acaciasaddle.ownership import RendezvousPlacement
from acaciasaddle.peers import Connect
from acaciasaddle.peers import Listen
from acaciasaddle.peers import TcpPeerHub
from acaciasaddle.peers import connect_tcp
from acaciasaddle.peers import listen_tcp
from acaciasaddle.table import Table

if TYPE_CHECKING:
    from acaciasaddle.config import Settings
    from acaciasaddle.entry._serve import Application
    from acaciasaddle.model import OnceRecord
    from acaciasaddle.model import UnitId
    from acaciasaddle.model import UpstreamId
    from acaciasaddle.ownership import Permit

EMPTY_RULES = Rules(ranks=(), kinds=())

GC_THRESHOLD = 20_000
"""Surplus of allocated over freed objects at which the youngest generation is collected. Python's
default of 700 is reached more than once per request."""

log = get_logger("host")


class HttpListener(Service):
    """Serves one ASGI application over HTTP."""

    def __init__(self, *, name: str, app: Application, settings: Settings, address: str) -> None:
        self.name = name  # type: ignore[misc]
        self._app = app
        self._cfg = hypercorn_config(
            address=address,
            max_header_bytes=settings.max_header_bytes,
            header_timeout=settings.header_timeout_s,
        )
        self._stop = trio.Event()
        self._done = trio.Event()
        self.urls: list[str] = []

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as nursery:

            async def serve(*, task_status: trio.TaskStatus[list[str]]) -> None:
                await serve_application(
                    self._app, self._cfg, stop=self._stop, task_status=task_status
                )
                self._done.set()

            self.urls = await nursery.start(serve)
            task_status.started()
            await trio.sleep_forever()

    async def stop(self) -> None:
        self._stop.set()
        await self._done.wait()


class DeferredAuthority(Authority):
    """Forwards to an authority that is created after the dispatcher that uses it."""

    name: ClassVar[str] = "deferred authority"

    def __init__(self) -> None:
        self.target: Authority | None = None

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        task_status.started()
        await trio.sleep_forever()

    def _get_target(self) -> Authority:
        assert self.target is not None
        return self.target

    def permit(self, upstream: UpstreamId, unit: UnitId) -> Permit:
        return self._get_target().permit(upstream, unit)

    async def replicate(self, upstream: UpstreamId, records: tuple[OnceRecord, ...]) -> None:
        await self._get_target().replicate(upstream, records)

    def memory_since(self, upstream: UpstreamId) -> float:
        return self._get_target().memory_since(upstream)

    def note_refused_term(self, upstream: UpstreamId, term: int) -> None:
        self._get_target().note_refused_term(upstream, term)


@dataclass(frozen=True, slots=True, kw_only=True)
class HostDependencies:
    """Dependencies of an entry host on its environment, which tests replace."""

    table: Table
    clock: Clock = field(default_factory=BootClock)
    metrics: Metrics = field(default_factory=NullMetrics)
    backend: httpcore.AsyncNetworkBackend = field(default_factory=httpcore.TrioBackend)
    connect: Connect = connect_tcp
    listen: Listen = listen_tcp


class EntryHost:
    """The services of one entry host, connected to each other.

    Without ``listeners`` no HTTP is served: requests go to ``ingress`` directly.
    """

    def __init__(
        self, *, settings: Settings, dependencies: HostDependencies, listeners: bool = True
    ) -> None:
        self.settings = settings
        self.incarnation = uuid.uuid4().hex[:12]
        self.member = f"{settings.host_id}@{self.incarnation}"
        self.kernel = Kernel()
        clock, metrics = dependencies.clock, dependencies.metrics
        table, backend = dependencies.table, dependencies.backend
        self.hub = TcpPeerHub(
            member=self.member,
            data_centre=settings.data_centre,
            address=settings.peer_address,
            clock=clock,
            metrics=metrics,
            connect=dependencies.connect,
            listen=dependencies.listen,
        )
        self.mirror = Mirror(table=table, hub=self.hub, clock=clock)
        self.members = Members(
            row=self._host_row,
            seeds=settings.seeds,
            mirror=self.mirror,
            hub=self.hub,
            table=table,
            clock=clock,
        )
        deferred_authority = DeferredAuthority()
        self.dispatcher = LocalDispatcher(
            authority=deferred_authority,
            clock=clock,
            metrics=metrics,
            rules=self._rules,
            backend=backend,
        )
        ctx = Context(
            mirror=self.mirror,
            hub=self.hub,
            table=table,
            clock=clock,
            dispatcher=self.dispatcher,
            members=self.members,
            placement=RendezvousPlacement(mirror=self.mirror),
            metrics=metrics,
            backend=backend,
        )
        self.router = MirrorRouter(mirror=self.mirror)
        self.authority = HostAuthority(ctx=ctx, router=self.router)
        deferred_authority.target = self.authority
        self.ingress = Ingress(
            member=self.member,
            settings=settings,
            mirror=self.mirror,
            router=self.router,
            dispatcher=self.dispatcher,
            hub=self.hub,
            clock=clock,
            metrics=metrics,
        )
        self.hub.on_work(self.dispatcher.serve)
        self.operator = OperatorApp(
            ctx=ctx, router=self.router, authority=self.authority, ingress=self.ingress
        )
        self.operator_listener = HttpListener(
            name="operator listener",
            app=self.operator,
            settings=settings,
            address=settings.operator_address,
        )
        self.caller_listener = HttpListener(
            name="caller listener",
            app=self.ingress.handle,
            settings=settings,
            address=settings.caller_address,
        )
        for svc in (
            self.hub,
            self.mirror,
            self.members,
            self.dispatcher,
            self.router,
            FirstAssignment(ctx=ctx),
            self.authority,
            self.ingress,
        ):
            self.kernel.add(svc)
        self._listeners = (self.operator_listener, self.caller_listener) if listeners else ()
        for listener in self._listeners:
            self.kernel.add(listener)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run until ``stop``."""
        await self.kernel.run(task_status=task_status)

    async def stop(self) -> None:
        """Stop gracefully: hand over the upstreams while the requests in progress are finished."""
        log.info("host stopping", member=self.member)
        await self.members.leave()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.authority.stop)
            if self._listeners:
                nursery.start_soon(self.caller_listener.stop)
        await self.dispatcher.wait_idle()
        self.kernel.shutdown()

    def _host_row(self) -> HostRow:
        return HostRow(
            host_id=self.settings.host_id,
            incarnation=self.incarnation,
            data_centre=self.settings.data_centre,
            peer_address=self.hub.address,
            operator_address=self.settings.operator_address,
            state=HostState.LIVE,
        )

    def _rules(self) -> Rules:
        cfg = self.mirror.configuration
        return cfg.rules if cfg else EMPTY_RULES


def _metrics(settings: Settings) -> Metrics:
    if settings.statsd is None:
        return NullMetrics()
    cfg = settings.statsd
    return StatsdMetrics(host=cfg.host, port=cfg.port, prefix=cfg.prefix)


def run_entry_host(settings: Settings) -> None:
    """Run an entry host until SIGTERM or SIGINT. Raises ``OSError`` if it cannot listen."""
    configure_logging(
        level=settings.log.level, json=settings.log.format == "json", host=settings.host_id
    )
    # Modules and schemas live as long as the process, so the collector need not visit them.
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    try:
        trio.run(_run, settings)
    except ExceptionGroup as group:
        failures, _ = group.split(OSError)
        if failures is None:
            raise
        raise next(leaf_exceptions(failures)) from None


async def _run(settings: Settings) -> None:
    host = EntryHost(
        settings=settings,
        dependencies=HostDependencies(
            table=HttpPlatform(address=settings.platform_address), metrics=_metrics(settings)
        ),
    )
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            await nursery.start(host.run)
            log.info(
                "host started",
                member=host.member,
                callers=settings.caller_address,
                peers=host.hub.address,
                operator=settings.operator_address,
            )
            async for _ in signals:
                break
            await host.stop()
    log.info("host stopped", member=host.member)

"""Steps of forward/forwarder.feature: real connections on loopback, scripted upstreams."""

from __future__ import annotations

import gc
import math
import tracemalloc
from collections import Counter
from contextlib import suppress
from dataclasses import replace
from typing import Any

import trio
from behave import given
from behave import then
from behave import when
from features.support.scripted_upstream import LARGE_BYTES
from features.support.scripted_upstream import RESPONSES
from features.support.scripted_upstream import ScriptedServer
from structlog.testing import capture_logs

from acaciasaddle.clock import TrioClock
from acaciasaddle.fleet import FleetView
from acaciasaddle.fleet import RegistryChange
from acaciasaddle.fleet import UpstreamEntry
from acaciasaddle.fleet import UpstreamIncarnation
from acaciasaddle.forward import BudgetLimits
from acaciasaddle.forward import CallerRequest
from acaciasaddle.forward import Forwarder
from acaciasaddle.forward import PlannedStop
from acaciasaddle.forward import RepeatBudget
from acaciasaddle.keyspace import KeyMap
from acaciasaddle.keyspace import KeyRange
from acaciasaddle.keyspace import Owner
from acaciasaddle.keyspace import Span
from acaciasaddle.memory import Hold
from acaciasaddle.memory import MemoryBound
from acaciasaddle.observe import NullMetrics
from acaciasaddle.platform import PlatformDialect
from acaciasaddle.routing import CallerLimits
from acaciasaddle.routing import Configuration
from acaciasaddle.routing import Repeat
from acaciasaddle.routing import Route
from acaciasaddle.routing import Service
from acaciasaddle.routing import Target

TIMEOUT_S = 0.4
UNREACHABLE = "127.0.0.1:9"


def _route(name: str, service: str, repeat: Repeat, *, timeout_s: float = TIMEOUT_S) -> Route:
    return Route(
        name=name,
        host="a.example",
        prefix=f"/{name}/",
        repeat=repeat,
        bulky=False,
        targets=(Target(service=service, weight=1.0),),
        timeout_s=timeout_s,
        objective_s=0.2,
        max_upstreams=2,
        rank=0,
    )


def _service(name: str) -> Service:
    return Service(
        name=name, health_path="/", max_connections=130, keyed=name == "keyed", warmup_s=0.0
    )


CONFIGURATION = Configuration(
    version=1,
    routes=(
        _route("lookup", "open", Repeat.IDEMPOTENT),
        _route("booking", "open", Repeat.ONCE),
        _route("patient-lookup", "open", Repeat.IDEMPOTENT, timeout_s=20.0),
        _route("patient-booking", "open", Repeat.ONCE, timeout_s=20.0),
        _route("keyed", "keyed", Repeat.IDEMPOTENT),
        _route("keyed-booking", "keyed", Repeat.ONCE),
    ),
    services={name: _service(name) for name in ("open", "keyed")},
    limits=CallerLimits(),
)


def _request(
    path: str, number: int, key: int | None = None, *, deadline_ms: int = 500
) -> CallerRequest:
    headers = [
        (b"Host", b"a.example"),
        (b"Request-Id", f"r-{number}".encode()),
        (b"Request-Deadline", str(deadline_ms).encode()),
        (b"Connection", b"keep-alive"),
    ]
    if key is not None:
        headers.append((b"Shard-Key", str(key).encode()))
    return CallerRequest(
        method="GET",
        target=path,
        headers=headers,
        fields={name.decode().lower(): value.decode() for name, value in headers},
        body=b"",
        received_at=trio.current_time(),
    )


class CountingMetrics(NullMetrics):
    """Metrics that keep the counters only."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()

    def count(self, name: str, value: int = 1) -> None:
        self.counters[name] += value


class ForwarderSetUpSteps:
    """Sets up upstreams, owners and the budget."""

    @staticmethod
    @given('upstream "{name}" of the {service} service answers "{answers}"')
    def upstream(context: Any, name: str, service: str, answers: str) -> None:
        script = [RESPONSES[answer] for answer in answers.split(", ")]
        ForwarderSetUpSteps._add(context, name, service, ScriptedServer(responses=script))

    @staticmethod
    @given('an unreachable upstream "{name}" of the {service} service')
    def unreachable(context: Any, name: str, service: str) -> None:
        ForwarderSetUpSteps._add(context, name, service, None)

    @staticmethod
    def _add(context: Any, name: str, service: str, server: ScriptedServer | None) -> None:
        if not hasattr(context, "servers"):
            context.servers = {}
        context.servers[name] = (service, server)

    @staticmethod
    @given("the repeat budget is spent")
    def spend_budget(context: Any) -> None:
        context.slack = 0.0

    @staticmethod
    @given('"{name}" has {count:d} requests of other hosts')
    def busy_elsewhere(context: Any, name: str, count: int) -> None:
        context.total_busy = {name: count}

    @staticmethod
    @given('"{name}" owns all keys')
    def owns(context: Any, name: str) -> None:
        context.owner = (name, None)

    @staticmethod
    @given('all keys move to "{name}" for {seconds:g} s')
    def moving(context: Any, name: str, seconds: float) -> None:
        context.owner = (name, seconds)

    @staticmethod
    @given('all keys move to "{name}", and are known to be granted after {seconds:g} s')
    def granted(context: Any, name: str, seconds: float) -> None:
        context.owner = (name, 1.0)
        context.granted_s = seconds

    @staticmethod
    @given('all keys have been moving to "{name}" for a long time')
    def moving_long(context: Any, name: str) -> None:
        context.owner = (name, 99.0)

    @staticmethod
    @given("other changes of the view arrive all the time")
    def many_changes(context: Any) -> None:
        context.changes_often = True

    @staticmethod
    @given('"{name}" registers anew after each request')
    def registers_anew(context: Any, name: str) -> None:
        context.restarts = name

    @staticmethod
    @given("the host breaks off requests in {seconds:g} s")
    def stops(context: Any, seconds: float) -> None:
        context.stops_in_s = seconds

    @staticmethod
    @given("other responses hold {megabytes:d} MB of the memory of a host with 200 MB")
    def memory_held(context: Any, megabytes: int) -> None:
        context.held_mb = megabytes

    @staticmethod
    @given("no configuration")
    def no_configuration(context: Any) -> None:
        context.servers = {}
        context.unconfigured = True


class ForwarderRequestSteps:
    """Forwards requests. Guards against sends that the route of a request does not allow."""

    @staticmethod
    @when("a lookup is forwarded")
    def lookup(context: Any) -> None:
        ForwarderRequestSteps._forward(context, ["/lookup/1"])

    @staticmethod
    @when("two lookups are forwarded one after the other")
    def two_lookups(context: Any) -> None:
        keyed = any(service == "keyed" for service, _ in context.servers.values())
        path = "/keyed/1" if keyed else "/lookup/1"
        ForwarderRequestSteps._forward(context, [path, path], key=77 if keyed else None)

    @staticmethod
    @when("a booking is forwarded")
    def booking(context: Any) -> None:
        ForwarderRequestSteps._forward(context, ["/booking/1"])

    @staticmethod
    @when("a booking is forwarded and its caller leaves after {seconds:g} s")
    def abandoned_booking(context: Any, seconds: float) -> None:
        context.caller_leaves_after_s = seconds
        ForwarderRequestSteps._forward(context, ["/booking/1"])

    @staticmethod
    @when("a {kind} with {seconds:d} s left is forwarded")
    def patient_request(context: Any, kind: str, seconds: int) -> None:
        context.deadline_ms = seconds * 1000
        ForwarderRequestSteps._forward(context, [f"/patient-{kind}/1"])

    @staticmethod
    @when("a booking with {seconds:d} s left is forwarded without garbage collection")
    def without_collection(context: Any, seconds: int) -> None:
        gc.disable()
        try:
            ForwarderRequestSteps.patient_request(context, "booking", seconds)
        finally:
            gc.enable()

    @staticmethod
    @when("a lookup with key {key:d} is forwarded")
    def keyed_lookup(context: Any, key: int) -> None:
        ForwarderRequestSteps._forward(context, ["/keyed/1"], key=key)

    @staticmethod
    @when("a booking with key {key:d} is forwarded")
    def keyed_booking(context: Any, key: int) -> None:
        ForwarderRequestSteps._forward(context, ["/keyed-booking/1"], key=key)

    @staticmethod
    @when("a request for an unknown path is forwarded")
    def unknown_path(context: Any) -> None:
        ForwarderRequestSteps._forward(context, ["/nothing/1"])

    @staticmethod
    def _forward(context: Any, paths: list[str], *, key: int | None = None) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                view = FleetView(clock=TrioClock())
                if not hasattr(context, "unconfigured"):
                    view.apply_configuration(CONFIGURATION)
                entries = {}
                for name, (service, server) in context.servers.items():
                    if server is not None:
                        await nursery.start(server.run)
                    entries[name] = UpstreamEntry(
                        life=UpstreamIncarnation(upstream_id=name, started_ms=1),
                        service=service,
                        address=server.address if server else UNREACHABLE,
                        data_centre="east",
                        slots=2,
                        draining=False,
                        cold_s=0.0,
                    )
                view.apply_registry(RegistryChange(revision=1, complete=True, entries=entries))
                await ForwarderRequestSteps._set_owner(context, view, entries, nursery)
                limits = BudgetLimits(ratio=0.0, window_s=10.0, slack=getattr(context, "slack", 64))
                memory = MemoryBound()
                held = Hold(
                    bound=memory, kind="response", size=getattr(context, "held_mb", 0) * 1_000_000
                )
                forwarder = Forwarder(
                    view=view,
                    dialect=PlatformDialect(),
                    budget=RepeatBudget(limits=limits, hosts=lambda: 1),
                    data_centre="east",
                    metrics=context.metrics,
                    memory=memory,
                )
                if hasattr(context, "stops_in_s"):
                    now = trio.current_time()
                    forwarder.note_stop(
                        PlannedStop(announced_at=now, ends_at=now + context.stops_in_s)
                    )
                forwarder.total_busy = lambda: getattr(context, "total_busy", {})
                # The choice among equal upstreams is random; give the first ones the lowest cost.
                for index, name in enumerate(sorted(entries)):
                    forwarder._states.of(name).response_s = 0.01 * 10**index
                    forwarder._slot_times.by_upstream[name] = 0.01 * 2**index
                if hasattr(context, "changes_often"):
                    nursery.start_soon(ForwarderRequestSteps._change_often, view)
                tracemalloc.start()
                for number, path in enumerate(paths, start=1):
                    started = trio.current_time()
                    req = _request(
                        path, number, key, deadline_ms=getattr(context, "deadline_ms", 500)
                    )
                    with trio.move_on_after(getattr(context, "caller_leaves_after_s", math.inf)):
                        context.response = await forwarder.handle(req)
                    context.waited = trio.current_time() - started
                    await trio.sleep(0.02)
                    ForwarderRequestSteps._restart(context, view, number + 1)
                held.release()
                context.memory_used = memory.used
                context.peak_bytes = tracemalloc.get_traced_memory()[1]
                tracemalloc.stop()
                await trio.sleep(0.05)
                nursery.cancel_scope.cancel()

        context.metrics = CountingMetrics()
        with capture_logs() as context.log_lines:
            trio.run(main)

    @staticmethod
    async def _change_often(view: FleetView) -> None:
        while True:
            view.changed.set()
            view.changed = trio.Event()
            await trio.sleep(0.005)

    @staticmethod
    def _restart(context: Any, view: FleetView, started_ms: int) -> None:
        name = getattr(context, "restarts", "")
        if name:
            life = UpstreamIncarnation(upstream_id=name, started_ms=started_ms)
            entry = replace(view.upstreams[name], life=life)
            change = RegistryChange(revision=2, complete=False, entries={name: entry})
            view.apply_registry(change)

    @staticmethod
    async def _set_owner(
        context: Any, view: FleetView, entries: dict[str, Any], nursery: trio.Nursery
    ) -> None:
        if not hasattr(context, "owner"):
            return
        name, moving_s = context.owner
        owner = Owner(incarnation=entries[name].life, address=entries[name].address)

        def keys(version: int, moving: bool) -> KeyMap:
            span = Span(keys=KeyRange(0, 65_535), owner=owner, fence=1, moving=moving)
            return KeyMap(spans=(span,), fence=1, version=version)

        view.apply_owners("keyed", keys(1, moving_s is not None))
        if moving_s is None:
            return
        if moving_s > 1:
            # Requests are refused at once if the move has taken longer than OWNER_WAIT_S (0.4 s).
            await trio.sleep(0.5)
            return

        async def finish_move() -> None:
            if hasattr(context, "granted_s"):
                await trio.sleep(context.granted_s)
                view.note_granted("keyed", 1)
                return
            await trio.sleep(moving_s)
            view.apply_owners("keyed", keys(2, False))

        nursery.start_soon(finish_move)


class ForwarderOutcomeSteps:
    """Checks what the caller got and what the upstreams received."""

    @staticmethod
    @then('the caller gets {status:d} "{body}"')
    @then('the caller gets {status:d} ""')
    def response(context: Any, status: int, body: str = "") -> None:
        got = (context.response.status, context.response.body.decode())
        assert got == (status, body), got

    @staticmethod
    @then("the caller gets {status:d} with the large body")
    def large_response(context: Any, status: int) -> None:
        got = (context.response.status, len(context.response.body))
        assert got == (status, LARGE_BYTES), got

    @staticmethod
    @then("no memory of bodies is held")
    def no_memory_held(context: Any) -> None:
        assert context.memory_used == 0, context.memory_used

    @staticmethod
    @then("upstreams got {count:d} requests")
    def arrivals(context: Any, count: int) -> None:
        servers = [server for _, server in context.servers.values() if server]
        found = sum(len(server.requests) for server in servers)
        assert found == count, found

    @staticmethod
    @then("the caller is told when to retry")
    def retry_after(context: Any) -> None:
        values = [
            float(value) for name, value in context.response.headers if name == b"Retry-After"
        ]
        assert len(values) == 1, context.response.headers
        assert 0 < values[0] < 3, values

    @staticmethod
    @then("the caller waited between {low:g} and {high:g} s")
    def waited(context: Any, low: float, high: float) -> None:
        assert low <= context.waited <= high, context.waited

    @staticmethod
    @then('upstream "{name}" saw {count:d} connections')
    def connections(context: Any, name: str, count: int) -> None:
        found = context.servers[name][1].connections
        assert found == count, found

    @staticmethod
    @then('upstream "{name}" got {count:d} requests')
    def upstream_arrivals(context: Any, name: str, count: int) -> None:
        found = len(context.servers[name][1].requests)
        assert found == count, found

    @staticmethod
    @then('the counter "{name}" is {count:d}')
    def counter(context: Any, name: str, count: int) -> None:
        assert context.metrics.counters[name] == count, context.metrics.counters

    @staticmethod
    @then("the caller is told to retry in {low:g} to {high:g} s")
    def retry_in(context: Any, low: float, high: float) -> None:
        values = [float(v) for name, v in context.response.headers if name == b"Retry-After"]
        assert len(values) == 1 and low <= values[0] <= high, context.response.headers

    @staticmethod
    @then("no upstream is known to leave")
    def none_leaving(context: Any) -> None:
        lines = [line for line in context.log_lines if "leaves" in line["event"]]
        assert not lines, lines

    @staticmethod
    @then('upstream "{name}" saw its connection closed')
    def closed(context: Any, name: str) -> None:
        assert context.servers[name][1].broken_connections == 1

    @staticmethod
    @then("the process held at most {megabytes:d} MB more")
    def held(context: Any, megabytes: int) -> None:
        assert context.peak_bytes < megabytes * 1_000_000, context.peak_bytes

    @staticmethod
    def _headers(context: Any) -> dict[str, str]:
        request, _ = context.servers["u1"][1].requests[0]
        return {name.decode(): value.decode() for name, value in request.headers}

    @staticmethod
    @then('the upstream got the header "{header}"')
    def got_header(context: Any, header: str) -> None:
        name, _, value = header.partition(": ")
        assert ForwarderOutcomeSteps._headers(context).get(name) == value

    @staticmethod
    @then("the upstream got a deadline of {low:d} to {high:d} ms")
    def deadline(context: Any, low: int, high: int) -> None:
        found = int(ForwarderOutcomeSteps._headers(context)["request-deadline"])
        assert low <= found <= high, found

    @staticmethod
    @then('the upstream got no "{name}" header')
    def got_no_header(context: Any, name: str) -> None:
        with suppress(KeyError):
            raise AssertionError(ForwarderOutcomeSteps._headers(context)[name])


class ForwarderLogSteps:
    """Guards against a refusal or failure that is not logged and counted exactly once."""

    @staticmethod
    @then('the log and the counters show "{reason}" once')
    def logged_and_counted(context: Any, reason: str) -> None:
        lines = [line for line in context.log_lines if line["event"] == "request"]
        logged = [line for line in lines if line["reason"] == reason]
        assert len(logged) == 1, lines
        assert logged[0]["request"] and logged[0]["step"], logged
        counter = f"forward.refused.{reason.replace(' ', '_')}"
        assert context.metrics.counters[counter] == 1, context.metrics.counters

    @staticmethod
    @then("the log shows that the request was cut off after {count:d} send")
    def cut_off(context: Any, count: int) -> None:
        lines = [line for line in context.log_lines if line["event"] == "request"]
        assert len(lines) == 1, lines
        assert lines[0]["request"] and lines[0]["status"] == 0, lines
        assert lines[0]["outcome"] == "unknown" and lines[0]["sends"] == count, lines
        assert context.metrics.counters["forward.cut_off"] == 1, context.metrics.counters

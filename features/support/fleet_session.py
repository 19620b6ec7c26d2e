"""A fleet of real processes for each feature, and requests of callers to it."""

from __future__ import annotations

import http.client
import json
import shutil
import tempfile
import threading
import time
import uuid
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

import trio

from acaciasaddle.emulator import check_records
from acaciasaddle.emulator import uuid7
from acaciasaddle.emulator._fleet import FleetPlan
from acaciasaddle.emulator._fleet import HostPlan
from acaciasaddle.emulator._fleet import UpstreamPlan
from acaciasaddle.emulator._fleet import running_fleet
from acaciasaddle.emulator._json_http import request_json
from acaciasaddle.model import shard_of
from support.relay import Relay

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Collection

    from acaciasaddle.emulator import CallerRecord
    from acaciasaddle.emulator._fleet import Fleet
    from acaciasaddle.emulator._fleet import ManagedProcess

T = TypeVar("T")

WAIT_LIMIT_S = 40.0
"""Limit of every wait, far above the targets so that no scenario fails on a slow machine."""

SHARDS = 16
SERVICES = {"bookings": 4, "roster": 2}
DATA_CENTRES = ("north", "south")
RELAYED_UPSTREAM = "bookings/bookings-01"

RULES: dict[str, Any] = {
    "ranks": [
        {"name": "urgent", "target_ms": 5000, "share": 0.5},
        {"name": "bulk", "target_ms": 20000, "share": 0.1},
    ],
    "kinds": [
        {"name": "lookup", "service": "bookings", "method": "GET", "path": "/bookings/{key}"},
        {"name": "deposit", "service": "bookings", "method": "POST", "path": "/bookings/{key}/pay"},
        {"name": "repertoire", "service": "roster", "method": "GET", "path": "/roster/{key}"},
        {"name": "brief", "service": "bookings", "method": "GET", "path": "/bookings/{key}/brief"},
        {"name": "recording", "service": "roster", "method": "PUT", "path": "/roster/{key}/demo"},
    ],
}
for kind, options in zip(
    RULES["kinds"],
    (
        {"rank": "urgent"},
        {"rank": "urgent", "once": True, "idempotent": False},
        {"rank": "urgent"},
        {"rank": "urgent", "target_ms": 1000},
        {"rank": "bulk", "bulky": True, "idempotent": False},
    ),
    strict=True,
):
    kind.update(options)


@dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """A response as a caller got it. ``complete`` is false if the body was truncated."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool = True

    @property
    def content(self) -> Any:
        """Body, parsed as JSON."""
        return json.loads(self.body)


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A caller's request."""

    method: str
    target: str
    body: Iterable[bytes] | bytes = b""
    headers: dict[str, str] = field(default_factory=dict)

    def send(self, address: str) -> Response:
        """Send the request on a new connection and return the response.

        Raises ``OSError`` or ``HTTPException`` if no status arrives, and ``TimeoutError`` if the
        body stalls.
        """
        host, _, port = address.rpartition(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=WAIT_LIMIT_S)
        try:
            conn.request(self.method, self.target, body=self.body, headers=self.headers)
            response = conn.getresponse()
            headers = {name.lower(): value for name, value in response.getheaders()}
            try:
                body, complete = response.read(), True
            except (http.client.IncompleteRead, ConnectionError) as exc:
                body, complete = getattr(exc, "partial", b""), False
            return Response(status=response.status, headers=headers, body=body, complete=complete)
        finally:
            conn.close()


def deposit(key: str) -> Request:
    """Return a request of the at-most-once kind ``deposit`` with a new idempotency key."""
    headers = {"Idempotency-Key": str(uuid7()), "X-Client-Id": "couple-1"}
    return Request(
        method="POST", target=f"/bookings/{key}/pay?n={uuid.uuid4()}", body=b"x", headers=headers
    )


class FleetSession:
    """Runs a fleet in a trio event loop with its own thread; steps use it from behave's thread."""

    _sessions: dict[str, FleetSession] = {}  # noqa: RUF012

    def __init__(self) -> None:
        self.directory = Path(tempfile.mkdtemp(prefix="acaciasaddle-fleet-"))
        self.caller_records: list[CallerRecord] = []
        self.fleet: Fleet = None  # type: ignore[assignment]
        self.relay: Relay = None  # type: ignore[assignment]
        self.keys: dict[str, list[str]] = {}
        self._error: BaseException | None = None
        self._started = threading.Event()
        self._thread = threading.Thread(target=trio.run, args=(self._main,), daemon=True)
        self._thread.start()
        assert self._started.wait(2 * WAIT_LIMIT_S), "the fleet does not start"
        if self._error is not None:
            raise self._error
        self.wait("upstreams are spread over the hosts", self._is_spread)

    @classmethod
    def for_feature(cls, context: Any) -> FleetSession:
        """Return the fleet of the feature, which the first call starts."""
        name = context.feature.filename
        if name not in cls._sessions:
            session = cls._sessions[name] = cls()

            def end() -> None:
                del cls._sessions[name]
                session.close(keep_logs=context.feature.status.name == "failed")

            context.add_cleanup(end, layer="feature")
        return cls._sessions[name]

    async def _main(self) -> None:
        self._token = trio.lowlevel.current_trio_token()
        self._stop = trio.Event()
        plan = FleetPlan(
            data_centres=DATA_CENTRES,
            upstreams=tuple(
                UpstreamPlan(
                    service=service,
                    name=f"{service}-{index:02}",
                    data_centre=DATA_CENTRES[index % 2],
                    slots=2,
                    work_ms=5,
                )
                for service, count in SERVICES.items()
                for index in range(count)
            ),
            hosts=tuple(
                HostPlan(host_id=f"entry-{index}", data_centre=DATA_CENTRES[index % 2])
                for index in range(4)
            ),
            rules=RULES,
            shards=SHARDS,
            settings={"header_timeout_s": 2.0, "body_stall_timeout_s": 3.0},
        )
        try:
            async with running_fleet(plan, self.directory) as fleet, trio.open_nursery() as nursery:
                self.fleet = fleet
                self.relay = Relay(target=fleet.upstreams[RELAYED_UPSTREAM].address)
                await nursery.start(self.relay.run)
                fleet.upstreams[RELAYED_UPSTREAM].address = self.relay.address
                await fleet.wait_in_force(await fleet.apply(), limit=WAIT_LIMIT_S)
                await fleet.wait_all_units_served(limit=WAIT_LIMIT_S)
                self._started.set()
                await self._stop.wait()
                nursery.cancel_scope.cancel()
        except BaseException as exc:
            self._error = exc
        finally:
            self._started.set()

    def close(self, *, keep_logs: bool) -> None:
        """Stop all processes, and remove their logs and other files unless ``keep_logs`` is set."""
        trio.from_thread.run_sync(self._stop.set, trio_token=self._token)
        self._thread.join(WAIT_LIMIT_S)
        if keep_logs:
            print(f"The logs of the fleet are in {self.directory}.")
        else:
            shutil.rmtree(self.directory)

    def run(self, func: Callable[..., Awaitable[T]], *args: Any) -> T:
        """Run an asynchronous function in the fleet's event loop and return its result."""
        return trio.from_thread.run(func, *args, trio_token=self._token)

    def call_api(self, address: str, method: str, path: str, body: Any = None) -> Any:
        """Send a request to a stand-in or an operator API and return the response's JSON body."""

        async def send() -> Any:
            return await request_json(address, method, path, body, timeout=WAIT_LIMIT_S)

        return self.run(send)[1]

    def platform_faults(self, **faults: Any) -> Any:
        """Set faults of the platform stand-in and return all of its faults."""
        assert self.fleet.platform is not None
        return self.call_api(self.fleet.platform.address, "POST", "/faults", faults)

    @property
    def hosts(self) -> list[ManagedProcess]:
        """Entry hosts that run."""
        return self.fleet.live_hosts()

    def status(self) -> Any:
        """Return the status that one of the running hosts reports."""
        return self.call_api(self.hosts[0].operator_address, "GET", "/status")

    def holder(self, upstream: str) -> str:
        """Return the identifier of the host that holds an upstream."""
        rows = self.status()["upstreams"]
        return next(u["holder"] for u in rows if u["upstream"] == upstream).partition("@")[0]

    def _is_spread(self) -> bool:
        """Return whether the upstreams are spread evenly over the hosts and all have successors.

        The router moves no upstream between hosts of a data centre if the numbers that they hold
        differ by at most one.
        """
        rows = self.status()["upstreams"]
        counts = Counter(row["holder"].partition("@")[0] for row in rows)
        held_counts: dict[str, list[int]] = {}
        for host in self.fleet.plan.hosts:
            held_counts.setdefault(host.data_centre, []).append(counts[host.host_id])
        even = all(max(held) - min(held) <= 1 for held in held_counts.values())
        return even and all(row["successor"] for row in rows)

    def explain(self, service: str, key: str) -> Any:
        """Return what a host reports about the owner of a key."""
        target = f"/explain?service={service}&key={key}"
        return self.call_api(self.hosts[0].operator_address, "GET", target)

    def unit_keys(self, service: str) -> list[str]:
        """Return one key of each unit of a service."""
        if service not in self.keys:
            found: dict[int, str] = {}
            number = 0
            while len(found) < SHARDS:
                found.setdefault(shard_of(f"k{number}", SHARDS), f"k{number}")
                number += 1
            self.keys[service] = [found[shard] for shard in range(SHARDS)]
        return self.keys[service]

    def key_held_by(self, service: str, host_id: str, *, held: bool = True) -> str:
        """Return a key whose owner is held by a host, or by another one if ``held`` is false."""
        for key in self.unit_keys(service):
            if (self.explain(service, key)["holder"].partition("@")[0] == host_id) is held:
                return key
        raise AssertionError(f"no such key of {service} for {host_id}")

    def wait(self, what: str, condition: Callable[[], bool]) -> float:
        """Wait for a condition and return the seconds that it took."""
        started = time.monotonic()
        while not condition():
            assert (
                time.monotonic() - started < WAIT_LIMIT_S
            ), f"not within {WAIT_LIMIT_S:.0f} s: {what}"
            time.sleep(0.05)
        return time.monotonic() - started

    def wait_served(self, *, excluding: Collection[str] = (), host: str = "") -> float:
        """Wait until a key of each unit is served through a host; return the seconds that it took.

        Units that belong to the upstreams in ``excluding`` are left out.
        """
        started = time.monotonic()
        address = self.fleet.hosts[host].address if host else self.hosts[0].address
        for service in SERVICES:
            for key in self.unit_keys(service):
                if excluding and self.explain(service, key)["owner"] in excluding:
                    continue
                request = Request(method="GET", target=f"/{service}/{key}")
                self.wait(
                    f"{service} {key} is served",
                    lambda request=request: request.send(address).status == 200,
                )
        return time.monotonic() - started

    def violations(self) -> list[str]:
        """Return the violations in the records of upstreams and callers."""
        records = self.run(self.fleet.records)
        shards = {f"{service}/default": SHARDS for service in SERVICES}
        violations = check_records(upstreams=records, callers=self.caller_records, shards=shards)
        return [f"{item.kind.value}: {item.subject}: {item.detail}" for item in violations]

    def runs(self, key: str) -> list[Any]:
        """Return the runs of a key at all upstreams."""
        return [r for rec in self.run(self.fleet.records) for r in rec.runs if r.key == key]

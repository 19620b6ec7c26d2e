"""One fleet of real processes per feature, and callers' requests to it."""

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

from acaciasaddle.emulator import check
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
    from acaciasaddle.emulator._fleet import Member

T = TypeVar("T")

LIMIT_S = 40.0
"""Limit of every wait; far above the targets, so that a slow machine fails no scenario."""

SHARDS = 16
SERVICES = {"bookings": 4, "roster": 2}
PLACES = ("north", "south")
RELAYED = "bookings/bookings-01"

RULES: dict[str, Any] = {
    "ranks": [
        {"name": "urgent", "target_ms": 5000, "share": 0.5},
        {"name": "bulk", "target_ms": 20000, "share": 0.1},
    ],
    "kinds": [
        {"name": "lookup", "service": "bookings", "method": "GET", "path": "/bookings/{key}"},
        {"name": "deposit", "service": "bookings", "method": "POST", "path": "/bookings/{key}/pay"},
        {"name": "repertoire", "service": "roster", "method": "GET", "path": "/roster/{key}"},
        {"name": "recording", "service": "roster", "method": "PUT", "path": "/roster/{key}/demo"},
    ],
}
for kind, more in zip(
    RULES["kinds"],
    (
        {"rank": "urgent"},
        {"rank": "urgent", "once": True, "idempotent": False},
        {"rank": "urgent"},
        {"rank": "bulk", "bulky": True, "idempotent": False},
    ),
    strict=True,
):
    kind.update(more)


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """An answer as a caller got it; ``whole`` is false if it was cut short."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool = True

    @property
    def content(self) -> Any:
        """The body as JSON."""
        return json.loads(self.body)


@dataclass(frozen=True, slots=True, kw_only=True)
class Query:
    """A caller's request."""

    method: str
    target: str
    body: Iterable[bytes] | bytes = b""
    headers: dict[str, str] = field(default_factory=dict)

    def send(self, address: str) -> Reply:
        """Send on a new connection; raises ``OSError`` or ``HTTPException`` without a status."""
        host, _, port = address.rpartition(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=LIMIT_S)
        try:
            conn.request(self.method, self.target, body=self.body, headers=self.headers)
            answer = conn.getresponse()
            headers = {name.lower(): value for name, value in answer.getheaders()}
            try:
                body, whole = answer.read(), True
            except (http.client.IncompleteRead, ConnectionError) as exc:
                body, whole = getattr(exc, "partial", b""), False
            return Reply(status=answer.status, headers=headers, body=body, whole=whole)
        finally:
            conn.close()


def deposit(key: str) -> Query:
    """Return a request that runs at most once."""
    headers = {"Idempotency-Key": str(uuid7()), "X-Client-Id": "couple-1"}
    return Query(
        method="POST", target=f"/bookings/{key}/pay?n={uuid.uuid4()}", body=b"x", headers=headers
    )


class FleetSession:
    """Runs a fleet in a thread with a trio loop; steps use it from behave's thread."""

    _sessions: dict[str, FleetSession] = {}  # noqa: RUF012

    def __init__(self) -> None:
        self.directory = Path(tempfile.mkdtemp(prefix="acaciasaddle-fleet-"))
        self.callers: list[CallerRecord] = []
        self.fleet: Fleet = None  # type: ignore[assignment]
        self.relay: Relay = None  # type: ignore[assignment]
        self.keys: dict[str, list[str]] = {}
        self._error: BaseException | None = None
        self._started = threading.Event()
        self._thread = threading.Thread(target=trio.run, args=(self._main,), daemon=True)
        self._thread.start()
        assert self._started.wait(2 * LIMIT_S), "the fleet does not start"
        if self._error is not None:
            raise self._error
        self.wait("upstreams are spread over the hosts", self._is_spread)

    @classmethod
    def of(cls, context: Any) -> FleetSession:
        """Return the fleet of the feature, started if need be."""
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
            data_centres=PLACES,
            upstreams=tuple(
                UpstreamPlan(
                    service=service,
                    name=f"{service}-{index:02}",
                    data_centre=PLACES[index % 2],
                    slots=2,
                    work_ms=5,
                )
                for service, count in SERVICES.items()
                for index in range(count)
            ),
            hosts=tuple(
                HostPlan(host_id=f"entry-{index}", data_centre=PLACES[index % 2])
                for index in range(4)
            ),
            rules=RULES,
            shards=SHARDS,
        )
        try:
            async with running_fleet(plan, self.directory) as fleet, trio.open_nursery() as nursery:
                self.fleet = fleet
                self.relay = Relay(target=fleet.upstreams[RELAYED].address)
                await nursery.start(self.relay.run)
                fleet.upstreams[RELAYED].address = self.relay.address
                await fleet.wait_in_force(await fleet.apply(), limit=LIMIT_S)
                await fleet.wait_served(limit=LIMIT_S)
                self._started.set()
                await self._stop.wait()
                nursery.cancel_scope.cancel()
        except BaseException as exc:
            self._error = exc
        finally:
            self._started.set()

    def close(self, *, keep_logs: bool) -> None:
        """End all processes."""
        trio.from_thread.run_sync(self._stop.set, trio_token=self._token)
        self._thread.join(LIMIT_S)
        if keep_logs:
            print(f"The logs of the fleet are in {self.directory}.")
        else:
            shutil.rmtree(self.directory)

    def run(self, func: Callable[..., Awaitable[T]], *args: Any) -> T:
        """Run an asynchronous function in the fleet's loop."""
        return trio.from_thread.run(func, *args, trio_token=self._token)

    def json(self, address: str, method: str, path: str, body: Any = None) -> Any:
        """Ask a stand-in or an operator API."""

        async def ask() -> Any:
            return await request_json(address, method, path, body, timeout=LIMIT_S)

        return self.run(ask)[1]

    def platform_faults(self, **faults: Any) -> Any:
        """Switch faults of the platform; returns those that are switched on."""
        assert self.fleet.platform is not None
        return self.json(self.fleet.platform.address, "POST", "/faults", faults)

    @property
    def hosts(self) -> list[Member]:
        """The live entry hosts."""
        return self.fleet.live_hosts()

    def status(self) -> Any:
        """Return the status as one live host sees it."""
        return self.json(self.hosts[0].operator, "GET", "/status")

    def holder(self, upstream: str) -> str:
        """Return the identifier of the host that holds an upstream."""
        rows = self.status()["upstreams"]
        return next(u["holder"] for u in rows if u["upstream"] == upstream).partition("@")[0]

    def _is_spread(self) -> bool:
        """Return whether no upstream is or will soon be handed over to balance the hosts."""
        rows = self.status()["upstreams"]
        counts = Counter(row["holder"].partition("@")[0] for row in rows)
        places: dict[str, list[int]] = {}
        for host in self.fleet.plan.hosts:
            places.setdefault(host.data_centre, []).append(counts[host.host_id])
        even = all(max(held) - min(held) <= 1 for held in places.values())
        return even and all(row["successor"] for row in rows)

    def explain(self, service: str, key: str) -> Any:
        """Return who owns a key."""
        target = f"/explain?service={service}&key={key}"
        return self.json(self.hosts[0].operator, "GET", target)

    def unit_keys(self, service: str) -> list[str]:
        """Return one key of each unit."""
        if service not in self.keys:
            found: dict[int, str] = {}
            number = 0
            while len(found) < SHARDS:
                found.setdefault(shard_of(f"k{number}", SHARDS), f"k{number}")
                number += 1
            self.keys[service] = [found[shard] for shard in range(SHARDS)]
        return self.keys[service]

    def key_held_by(self, service: str, host_id: str, *, held: bool = True) -> str:
        """Return a key whose owner is, or is not, held by a host."""
        for key in self.unit_keys(service):
            if (self.explain(service, key)["holder"].partition("@")[0] == host_id) is held:
                return key
        raise AssertionError(f"no such key of {service} for {host_id}")

    def wait(self, what: str, condition: Callable[[], bool]) -> float:
        """Wait for a condition; returns the seconds."""
        started = time.monotonic()
        while not condition():
            assert time.monotonic() - started < LIMIT_S, f"not in {LIMIT_S:.0f} s: {what}"
            time.sleep(0.05)
        return time.monotonic() - started

    def wait_served(self, *, without: Collection[str] = (), host: str = "") -> float:
        """Wait until a key of each unit is answered through a host; returns the seconds.

        Units of the upstreams ``without`` are left out.
        """
        started = time.monotonic()
        address = self.fleet.hosts[host].address if host else self.hosts[0].address
        for service in SERVICES:
            for key in self.unit_keys(service):
                if without and self.explain(service, key)["owner"] in without:
                    continue
                query = Query(method="GET", target=f"/{service}/{key}")
                self.wait(
                    f"{service} {key} is served",
                    lambda query=query: query.send(address).status == 200,
                )
        return time.monotonic() - started

    def violations(self) -> list[str]:
        """Return what the checker finds in the records of upstreams and callers."""
        records = self.run(self.fleet.records)
        shards = {f"{service}/default": SHARDS for service in SERVICES}
        found = check(upstreams=records, callers=self.callers, shards=shards)
        return [f"{item.rule.value}: {item.subject}: {item.detail}" for item in found]

    def runs(self, key: str) -> list[Any]:
        """Return the runs of a key at all upstreams."""
        return [r for rec in self.run(self.fleet.records) for r in rec.runs if r.key == key]

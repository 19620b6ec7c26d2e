"""Steps of emulator/load.feature."""

from __future__ import annotations

import hashlib
import json
import random
import time
import uuid
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

import trio
from behave import given
from behave import then
from behave import when

from acaciasaddle.emulator import CallerOutcome
from acaciasaddle.emulator import LoadRunner
from acaciasaddle.emulator import UpstreamApp
from acaciasaddle.emulator import UpstreamModel
from acaciasaddle.emulator import UpstreamSettings
from acaciasaddle.emulator import check_records
from acaciasaddle.emulator import parse_workload
from acaciasaddle.emulator import start_server
from acaciasaddle.emulator._asgi import AsgiApp
from acaciasaddle.emulator._workload import HotKey
from acaciasaddle.emulator._workload import KeyDistribution
from acaciasaddle.emulator._workload import KeyPicker

if TYPE_CHECKING:
    from acaciasaddle.emulator._asgi import Exchange

WORKLOAD = """
{{
  duration_s: {duration}, repeats: 1, repeat_delay_s: 0, caller_header: "X-Client-Id",
  kinds: [
    {{name: "lookup", path: "/b/{{key}}", rate: {lookups}, rank: "urgent", target_ms: 5000}},
    // Repeated at most once.
    {{name: "deposit", method: "POST", path: "/b/{{key}}", rate: {deposits}, rank: "urgent",
      target_ms: 5000, once: true, timeout_s: {timeout}, body_bytes: 70000, reply_bytes: 100000}},
  ],
}}
"""


RESPONSE_TIMEOUT_S = 15.0
"""Timeout for hosts that respond; long enough for a busy machine."""

SILENCE_TIMEOUT_S = 3.0
"""Timeout if one host never responds. The other one has to shed the work within it."""


class ClosingApp(AsgiApp):
    """Closes connections without a response."""

    async def handle(self, exchange: Exchange) -> None:
        await exchange.discard_body()
        await exchange.close_without_response()


class SilentApp(AsgiApp):
    """Never responds."""

    async def handle(self, exchange: Exchange) -> None:
        await exchange.wait_disconnected()


class RespondingApp(AsgiApp):
    """Responds with a path and the digest of a body, which may be those of another request.

    With ``cut`` the response ends that many bytes before its announced length.
    """

    def __init__(self, *, path_suffix: str = "", mixes_bodies: bool = False, cut: int = 0) -> None:
        self._path_suffix = path_suffix
        self._mixes_bodies = mixes_bodies
        self._cut = cut

    async def handle(self, exchange: Exchange) -> None:
        body = await exchange.body()
        if self._mixes_bodies and body:
            body += b"0"
        fields = {
            "path": exchange.target + self._path_suffix,
            "body_sha256": hashlib.sha256(body).hexdigest(),
        }
        data = json.dumps(fields).encode()
        await exchange.start_response(200, {"content-length": str(len(data) + self._cut)})
        await exchange.send_body(data, more=self._cut > 0)


FAULTY_HOSTS = {
    "closes connections": ClosingApp,
    "never answers": SilentApp,
    "mixes up paths": partial(RespondingApp, path_suffix="0"),
    "mixes up bodies": partial(RespondingApp, mixes_bodies=True),
    "cuts responses short": partial(RespondingApp, cut=1),
}


def upstream(*, name: str, shed: bool) -> UpstreamApp:
    """Return a target of the load: an upstream that does not check orders and may shed all work."""
    settings = UpstreamSettings(name=name, checks_orders=False, slots=20, queue=100, work_ms=1)
    model = UpstreamModel(settings=settings)
    model.faults.shed = shed
    return UpstreamApp(model=model)


class LoadSteps:
    """Guards against a load tool that reports a better service than callers got."""

    @staticmethod
    @given("a load of {lookups:d} lookups and {deposits:d} deposits per second for {duration:d} s")
    def workload(context: Any, lookups: int, deposits: int, duration: int) -> None:
        context.load = {"lookups": lookups, "deposits": deposits, "duration": duration}
        LoadSteps._parse_workload(context, timeout_s=RESPONSE_TIMEOUT_S)

    @staticmethod
    def _parse_workload(context: Any, *, timeout_s: float) -> None:
        text = WORKLOAD.format(**context.load, timeout=timeout_s)
        context.workload = parse_workload(text, source="test")

    @staticmethod
    def send(context: Any, apps: list[AsgiApp]) -> None:
        async def main() -> None:
            with trio.fail_after(30):
                async with trio.open_nursery() as nursery:
                    addresses = [
                        await start_server(nursery, app, "127.0.0.1:0", graceful_s=0.1)
                        for app in apps
                    ]
                    context.runner = LoadRunner(workload=context.workload, addresses=addresses)
                    await context.runner.run()
                    nursery.cancel_scope.cancel()

        trio.run(main)
        context.records = [app.model.record() for app in apps if isinstance(app, UpstreamApp)]

    @staticmethod
    @when("the load is sent to a working host")
    def send_to_working(context: Any) -> None:
        LoadSteps.send(context, [upstream(name="u1", shed=False)])

    @staticmethod
    @when("the load is sent to a shedding host and a working host")
    def send_to_shedding_and_working(context: Any) -> None:
        LoadSteps.send(context, [upstream(name="u1", shed=True), upstream(name="u2", shed=False)])

    @staticmethod
    @when("the load is sent to a host that sheds and a host that {fault}")
    def send_to_shedding_and_faulty(context: Any, fault: str) -> None:
        if fault == "never answers":
            LoadSteps._parse_workload(context, timeout_s=SILENCE_TIMEOUT_S)
        LoadSteps.send(context, [upstream(name="u1", shed=True), FAULTY_HOSTS[fault]()])

    @staticmethod
    @when("the load is sent to one host that {fault}")
    def send_to_faulty(context: Any, fault: str) -> None:
        LoadSteps.send(context, [FAULTY_HOSTS[fault]()])

    @staticmethod
    def outcomes(context: Any, kind: str) -> dict[str, int]:
        rows = {row.kind: row for row in context.runner.results.rows()}
        assert rows[kind].planned > 10, rows[kind]
        return rows[kind].outcomes

    @staticmethod
    @then('the load\'s lookups are all "{lookup}" and its deposits are all "{deposit}"')
    def lookups_and_deposits(context: Any, lookup: str, deposit: str) -> None:
        LoadSteps.lookups(context, lookup)
        LoadSteps.deposits(context, deposit)
        rows = context.runner.results.rows()
        assert all(row.in_target == 1 and row.p50_ms <= row.p99_ms for row in rows), rows

    @staticmethod
    @then('the load\'s deposits are all "{outcome}"')
    def deposits(context: Any, outcome: str) -> None:
        found = LoadSteps.outcomes(context, "deposit")
        assert list(found) == [outcome], found

    @staticmethod
    @then('the load\'s lookups are all "{outcome}"')
    def lookups(context: Any, outcome: str) -> None:
        found = LoadSteps.outcomes(context, "lookup")
        assert list(found) == [outcome], found
        row = context.runner.results.rows()[0]
        assert (row.in_target > 0) == (outcome == "completed"), row

    @staticmethod
    @then('the load\'s deposits end as "{outcomes}" depending on the host that was tried last')
    def deposits_by_last_host(context: Any, outcomes: str) -> None:
        found = LoadSteps.outcomes(context, "deposit")
        assert ", ".join(sorted(found)) == outcomes, found
        for record in context.runner.records:
            assert {record.outcome, *record.earlier} == {
                CallerOutcome.NOT_RUN,
                CallerOutcome.NO_ANSWER,
            }, record

    @staticmethod
    @then("at least one deposit of the load was refused at first")
    def refused_at_first(context: Any) -> None:
        earlier = [record.earlier for record in context.runner.records]
        assert (CallerOutcome.NOT_RUN,) in earlier, earlier

    @staticmethod
    @then("the checker finds nothing in the records of the load")
    def no_violations(context: Any) -> None:
        violations = check_records(upstreams=context.records, callers=context.runner.records)
        assert violations == (), violations

    @staticmethod
    @then("the load's idempotency keys are UUIDv7 with the present time, each used for one deposit")
    def idempotency_keys(context: Any) -> None:
        keys = [record.idempotency_key for record in context.runner.records]
        assert len(set(keys)) == len(keys)
        for key in map(uuid.UUID, keys):
            assert key.version == 7 and key.variant == uuid.RFC_4122, key
            assert abs((key.int >> 80) / 1000 - time.time()) < 30, key

    @staticmethod
    @then(
        "{count:d} keys of the load with a hot share of {share:f} contain the hot key"
        " {min_count:d} to {max_count:d} times"
    )
    def hot_key_count(
        context: Any, count: int, share: float, min_count: int, max_count: int
    ) -> None:
        keys = KeyDistribution(hot=(HotKey(key="hot", share=share, start_s=1.0),))
        draws = []
        for _ in range(2):
            picker = KeyPicker(keys=keys, rng=random.Random(5))
            draws.append([picker.pick(elapsed_s=1.0) for _ in range(count)])
            assert "hot" not in {picker.pick(elapsed_s=0.5) for _ in range(count)}
        assert draws[0] == draws[1]
        assert min_count <= draws[0].count("hot") <= max_count

    @staticmethod
    @then("the first of the load's zipf keys is drawn most often")
    def first_zipf_key(context: Any) -> None:
        keys = KeyDistribution(count=100, prefix="z", distribution="zipf")
        picker = KeyPicker(keys=keys, rng=random.Random(5))
        drawn = Counter(picker.pick(elapsed_s=0.0) for _ in range(5000))
        assert drawn.most_common(1)[0][0] == "z0", drawn
        assert set(drawn) <= {f"z{number}" for number in range(100)}

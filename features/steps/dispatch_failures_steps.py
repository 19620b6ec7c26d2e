"""Steps of dispatch/failures.feature."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING
from typing import Any

import trio
from behave import given
from behave import then
from behave import when
from dispatch_support import UPSTREAM
from dispatch_support import Body
from dispatch_support import run
from structlog.testing import capture_logs

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from dispatch_support import Harness
    from dispatch_support import RecordedResponse

    from acaciasaddle.model import OnceRecord


class DispatchPlan:
    """Collects the actions of a scenario, runs them on a virtual clock and keeps the results."""

    def __init__(self, context: Any) -> None:
        self.actions: list[Callable[[Harness], Awaitable[None]]] = []
        self.responses: list[RecordedResponse] = []
        self.harness: Harness | None = None
        self.exported: tuple[OnceRecord, ...] = ()
        self.logs: Sequence[Mapping[str, Any]] = []
        self.options: dict[str, Any] = {}
        context.dispatch = self

    @classmethod
    def of(cls, context: Any) -> DispatchPlan:
        """Return the plan of the scenario, a new one if there is none yet."""
        return getattr(context, "dispatch", None) or cls(context)

    def add(self, action: Callable[[Harness], Awaitable[None]]) -> None:
        """Add an action."""
        self.actions.append(action)

    def ensure_run(self) -> Harness:
        """Run the actions unless they have run already, and return the harness."""
        if self.harness is None:
            with capture_logs() as self.logs:
                run(self._run_actions, **self.options)
        assert self.harness is not None
        return self.harness

    async def _run_actions(self, harness: Harness) -> None:
        for action in self.actions:
            await action(harness)
        await trio.sleep(1.0)
        with trio.move_on_after(1.0):
            await harness.dispatcher.wait_idle()
            harness.idle = True
        self.exported = harness.dispatcher.export_records(UPSTREAM, None)
        self.harness = harness


class DispatchUpstreamSteps:
    """Guards against work that runs twice, guessed outcomes and slots that are never freed."""

    @staticmethod
    @given('a dispatch upstream with the script "{action}"')
    @given('a dispatch upstream with the script "{action}" repeated {times:d} times')
    def script(context: Any, action: str, times: int = 1) -> None:
        async def act(harness: Harness) -> None:
            if action.startswith("refuse ") and action != "refuse term":
                harness.upstream.refuse_connections = 1 if action == "refuse connect" else 99
                return
            # Makes the scripted requests use a connection that has carried a response before, as
            # in normal operation.
            await harness.serve(harness.request("lookup"))
            harness.upstream.received.clear()
            harness.upstream.script = action.split(",") * times

        DispatchPlan.of(context).add(act)

    @staticmethod
    @given("a dispatch upstream that answers after {ms:d} ms in two chunks {gap:d} ms apart")
    def service_time(context: Any, ms: int, gap: int) -> None:
        async def act(harness: Harness) -> None:
            harness.upstream.service_time = ms / 1000
            harness.upstream.chunk_delay = gap / 1000

        DispatchPlan.of(context).add(act)

    @staticmethod
    @given("a dispatch upstream that does not check orders")
    def checks_no_orders(context: Any) -> None:
        async def act(harness: Harness) -> None:
            harness.authority.checks_orders = False

        DispatchPlan.of(context).add(act)

    @staticmethod
    @then("the dispatch upstream saw {sends:d} sends")
    def sends(context: Any, sends: int) -> None:
        received = DispatchPlan.of(context).ensure_run().upstream.received
        assert len(received) == sends, received

    @staticmethod
    @then("the dispatch upstream saw {sends:d} sends and {cancels:d} cancellations")
    def sends_and_cancels(context: Any, sends: int, cancels: int) -> None:
        upstream = DispatchPlan.of(context).ensure_run().upstream
        assert (len(upstream.received), len(upstream.cancelled)) == (
            sends,
            cancels,
        ), upstream.received

    @staticmethod
    @then('the dispatch upstream saw the connections "{numbers}"')
    def connections(context: Any, numbers: str) -> None:
        received = DispatchPlan.of(context).ensure_run().upstream.received
        assert ",".join(str(req.connection) for req in received) == numbers, received

    @staticmethod
    @then("the dispatch upstream has {count:d} open connections")
    def open_connections(context: Any, count: int) -> None:
        assert DispatchPlan.of(context).ensure_run().upstream.open == count

    @staticmethod
    @then('the dispatch upstream got the body "{body}", complete "{complete}"')
    @then('the dispatch upstream got the body "", complete "{complete}"')
    def body(context: Any, complete: str, body: str = "") -> None:
        received = DispatchPlan.of(context).ensure_run().upstream.received[-1]
        assert bytes(received.body) == body.encode(), received
        assert received.complete == (complete == "yes"), received

    @staticmethod
    @then("the dispatch upstream got only the caller's end-to-end headers and the dispatcher's own")
    def headers(context: Any) -> None:
        got = DispatchPlan.of(context).ensure_run().upstream.received[-1].headers
        assert got == {
            "host": "example",
            "accept": "x",
            "acaciasaddle-unit": "bookings/default/3",
            "acaciasaddle-key": "k%C3%A9",
            "acaciasaddle-request-id": "r1",
            "acaciasaddle-term": "4",
            "acaciasaddle-deadline": "7000",
        }, got

    @staticmethod
    @then("the dispatch upstream got a timeout of {ms:d} ms and no term")
    def timeout(context: Any, ms: int) -> None:
        got = DispatchPlan.of(context).ensure_run().upstream.received[-1].headers
        assert got["acaciasaddle-timeout"] == str(ms), got
        assert not {"acaciasaddle-term", "acaciasaddle-deadline"} & set(got), got


class DispatchCallerSteps:
    """Guards against responses and refusals that tell a caller a wrong outcome."""

    @staticmethod
    @when('a dispatch request of kind "{kind}" is served')
    @when('{count:d} dispatch requests of kind "{kind}" are served in turn')
    def serve(context: Any, kind: str, count: int = 1) -> None:
        plan = DispatchPlan.of(context)

        async def act(harness: Harness) -> None:
            for _ in range(count):
                plan.responses.append(await harness.serve(harness.request(kind)))

        plan.add(act)

    @staticmethod
    @when('a dispatch upload of "{chunks}" is served')
    @when('a dispatch upload of "{chunks}" with {pause:g} s between chunks is served')
    def upload(context: Any, chunks: str, pause: float = 0.0) -> None:
        plan = DispatchPlan.of(context)
        names = chunks.split(",")
        parts = [None if n == "CUT" else n.encode() for n in names if n != "SHORT"]
        length = sum(len(n) for n in names)

        async def act(harness: Harness) -> None:
            req = harness.request("upload", body_length=length, budget_ms=5000)
            plan.responses.append(await harness.serve(req, Body(*parts, pause=pause)))

        plan.add(act)

    @staticmethod
    @when('a dispatch request of kind "{kind}" is served and its caller leaves {when}')
    def caller_leaves(context: Any, kind: str, when: str) -> None:
        plan = DispatchPlan.of(context)

        async def act(harness: Harness) -> None:
            if when == "while it is queued":
                for _ in range(2):
                    harness.start(harness.request("lookup"))
                await trio.sleep(0.01)
            response = harness.start(harness.request(kind))
            await (response.head_seen.wait() if when == "during the response" else trio.sleep(0.05))
            response.scope.cancel()
            await response.done.wait()
            plan.responses.append(response)

        plan.add(act)

    @staticmethod
    @when('a dispatch request of kind "{kind}" is served and its dispatcher ends after it was sent')
    def dispatcher_ends(context: Any, kind: str) -> None:
        plan = DispatchPlan.of(context)

        async def act(harness: Harness) -> None:
            response = harness.start(harness.request(kind))
            await trio.sleep(0.05)
            await harness.end_dispatcher()
            response.scope.cancel()
            await response.done.wait()
            plan.responses.append(response)

        plan.add(act)

    @staticmethod
    @when("a dispatch request is served whose caller does not read the response")
    def caller_does_not_read(context: Any) -> None:
        plan = DispatchPlan.of(context)

        async def act(harness: Harness) -> None:
            plan.responses.append(harness.start(harness.request("lookup"), accepts_body=False))
            await plan.responses[0].done.wait()

        plan.add(act)

    @staticmethod
    @then('the dispatch log says "{events}"')
    def log(context: Any, events: str) -> None:
        plan = DispatchPlan.of(context)
        plan.options["log_level"] = logging.INFO
        plan.ensure_run()
        lines = [line for line in plan.logs if line.get("request") == "r2"]
        assert ", ".join(line["event"] for line in lines).startswith(events), lines
        for line in lines[:3]:
            assert line["unit"] == "bookings/default/3", line
            assert line["upstream"] == "bookings/u1", line
            assert line["reason"], line

    @staticmethod
    @when("a dispatch request is served whose caller sets reserved and hop-by-hop headers")
    def forged_headers(context: Any) -> None:
        async def act(harness: Harness) -> None:
            headers = (
                ("Host", "example"),
                ("Connection", "close, X-Private"),
                ("X-Private", "1"),
                ("Accept", "x"),
                ("Content-Length", "0"),
                ("Transfer-Encoding", "chunked"),
                ("acaciasaddle-TERM", "99"),
                ("Acaciasaddle-Outcome", "completed"),
            )
            await harness.serve(harness.request("lookup", headers=headers, key="ké"))

        DispatchPlan.of(context).add(act)

    @staticmethod
    @when("{seconds:g} s pass for dispatch")
    def wait(context: Any, seconds: float) -> None:
        async def act(harness: Harness) -> None:
            await trio.sleep(seconds)

        DispatchPlan.of(context).add(act)

    @staticmethod
    @then('the dispatch result is "{result}" after {sends:d} sends')
    def result(context: Any, result: str, sends: int) -> None:
        plan = DispatchPlan.of(context)
        harness = plan.ensure_run()
        assert plan.responses[-1].result == result, plan.responses[-1].result
        assert len(harness.upstream.received) == sends, harness.upstream.received

    @staticmethod
    @then("the dispatch authority was told that term {term:d} was refused")
    def refused_term(context: Any, term: int) -> None:
        assert DispatchPlan.of(context).ensure_run().authority.refused_terms == [term]

    @staticmethod
    @then("the dispatch slots are all free")
    def slots_free(context: Any) -> None:
        assert DispatchPlan.of(context).ensure_run().idle, "a request is queued or has a slot"

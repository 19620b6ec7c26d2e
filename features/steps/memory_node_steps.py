"""Steps of memory/node.feature: a node process, a store and callers on loopback."""

from __future__ import annotations

import signal
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

import trio
from behave import given
from behave import then
from behave import when
from features.support.large_bodies import HOST_NAME
from features.support.large_bodies import MB
from features.support.large_bodies import running_node

if TYPE_CHECKING:
    from features.support.large_bodies import LargeBodies

LIMIT_S = 40.0
CHANGES = 8
CHANGE_INTERVAL_S = 0.1
PIPELINE_INTERVAL_S = 0.03
"""Time in which the upstream accepts the connections for one caller's requests."""


class NodeMemorySteps:
    """Guards against a process that its host ends for its memory."""

    @staticmethod
    @given(
        "a node on a host with {memory:d} MB, with {routes:d} routes and an upstream that takes "
        "{seconds:g} s for an upload"
    )
    def node(context: Any, memory: int, routes: int, seconds: float) -> None:
        context.node_options = {"memory_mb": memory, "routes": routes, "work_s": seconds}

    @staticmethod
    def _run(context: Any, load: Any) -> None:
        """Run a load on the node, and keep what callers and the upstream saw."""

        async def main() -> None:
            with trio.fail_after(LIMIT_S):
                async with running_node(**context.node_options) as node:
                    before = len(node.upstream.bodies)
                    async with trio.open_nursery() as nursery:
                        await load(node, nursery)
                    if not hasattr(context, "stop_s"):
                        context.peak_mb = node.memory_mb()
                    context.seen = node.seen
                    context.bodies = node.upstream.bodies[before:]

        trio.run(main)

    @staticmethod
    def _send_all(node: LargeBodies, nursery: trio.Nursery, count: int, **request: Any) -> None:
        for _ in range(count):
            nursery.start_soon(partial(node.request, **request))

    @staticmethod
    @when(
        "4 uploads of 45 MB, 10 of 2 MB and 60 of 0.3 MB arrive while {count:d} routes are added "
        "and changed"
    )
    def uploads_and_changes(context: Any, count: int) -> None:
        async def load(node: LargeBodies, nursery: trio.Nursery) -> None:
            routes = context.node_options["routes"] + count
            change = partial(node.change_configuration, times=CHANGES, routes=routes)
            nursery.start_soon(partial(change, interval_s=CHANGE_INTERVAL_S))
            for number, size in ((4, 45.0), (10, 2.0), (60, 0.3)):
                NodeMemorySteps._send_all(node, nursery, number, body_bytes=int(size * MB))

        NodeMemorySteps._run(context, load)

    @staticmethod
    @when("{count:d} uploads of {size:g} MB arrive in chunks")
    def chunked(context: Any, count: int, size: float) -> None:
        async def load(node: LargeBodies, nursery: trio.Nursery) -> None:
            request = {"body_bytes": int(size * MB), "chunk_bytes": 50_000}
            NodeMemorySteps._send_all(node, nursery, count, **request)

        NodeMemorySteps._run(context, load)

    @staticmethod
    @when("{count:d} upload of {size:g} MB arrives")
    def upload(context: Any, count: int, size: float) -> None:
        async def load(node: LargeBodies, nursery: trio.Nursery) -> None:
            NodeMemorySteps._send_all(node, nursery, count, body_bytes=int(size * MB))

        NodeMemorySteps._run(context, load)

    @staticmethod
    @when(
        "{count:d} requests get responses of {size:g} MB, which their callers read at "
        "{speed:g} MB/s"
    )
    def slow_readers(context: Any, count: int, size: float, speed: float) -> None:
        async def load(node: LargeBodies, nursery: trio.Nursery) -> None:
            request = {"answer_bytes": int(size * MB), "read_mb_per_s": speed}
            NodeMemorySteps._send_all(node, nursery, count, **request)

        NodeMemorySteps._run(context, load)

    @staticmethod
    @when(
        "uploads of 60 MB with {left:g} s left arrive behind one of 60 MB, and one caller reads "
        "only after sending"
    )
    def late_uploads(context: Any, left: float) -> None:
        context.late_answers, context.small_answers = [], []

        async def send_late(node: LargeBodies, reads_last: bool) -> None:
            status = await node.request(body_bytes=60 * MB, deadline_s=left, reads_last=reads_last)
            context.late_answers.append(status)

        async def load(node: LargeBodies, nursery: trio.Nursery) -> None:
            nursery.start_soon(partial(node.request, body_bytes=60 * MB))
            await trio.sleep(0.2)
            async with trio.open_nursery() as late:
                late.start_soon(send_late, node, False)
                late.start_soon(send_late, node, True)
            for _ in range(5):
                context.small_answers.append(await node.request(body_bytes=50_000))

        NodeMemorySteps._run(context, load)

    @staticmethod
    @when("{count:d} uploads of {size:g} MB arrive and the node gets SIGTERM {seconds:g} s later")
    def stopped(context: Any, count: int, size: float, seconds: float) -> None:
        async def load(node: LargeBodies, nursery: trio.Nursery) -> None:
            NodeMemorySteps._send_all(node, nursery, count, body_bytes=int(size * MB))
            await trio.sleep(seconds)
            signalled = trio.current_time()
            assert await node.deployment.end(HOST_NAME, signal.SIGTERM), "killed"
            context.stop_s = trio.current_time() - signalled

        NodeMemorySteps._run(context, load)

    @staticmethod
    @when(
        "{callers:d} callers each send {count:d} requests on one connection, with responses of "
        "{size:g} MB"
    )
    def pipelined(context: Any, callers: int, count: int, size: float) -> None:
        async def load(node: LargeBodies, nursery: trio.Nursery) -> None:
            pipeline = partial(
                node.pipeline, count=count, answer_bytes=int(size * MB), deadline_s=10.0
            )
            for _ in range(callers):
                nursery.start_soon(pipeline)

        NodeMemorySteps._run(context, load)

    @staticmethod
    @when(
        "{callers:d} callers each send {count:d} requests on one connection, with responses of "
        "{size:g} MB that they do not read for {seconds:g} s"
    )
    def unread(context: Any, callers: int, count: int, size: float, seconds: float) -> None:
        async def load(node: LargeBodies, nursery: trio.Nursery) -> None:
            for _ in range(callers):
                nursery.start_soon(
                    partial(
                        node.pipeline,
                        count=count,
                        answer_bytes=int(size * MB),
                        deadline_s=30.0,
                        read_after_s=seconds,
                    )
                )
                await trio.sleep(PIPELINE_INTERVAL_S)

        NodeMemorySteps._run(context, load)

    @staticmethod
    @then("the node ended within {seconds:g} s of the signal")
    def ended_in_time(context: Any, seconds: float) -> None:
        assert context.stop_s < seconds, context.stop_s

    @staticmethod
    @then("the node's memory stayed below {limit:d} MB")
    def below(context: Any, limit: int) -> None:
        assert context.peak_mb < limit, f"{context.peak_mb:.0f} MB"

    @staticmethod
    @then("each request was answered, and those with 200 were run")
    def answered(context: Any) -> None:
        assert set(context.seen) <= {200, 503}, context.seen
        assert context.seen[200] == len(context.bodies), (context.seen, len(context.bodies))

    @staticmethod
    @then("all uploads of {size:g} MB were run")
    def all_run(context: Any, size: float) -> None:
        assert context.bodies.count(int(size * MB)) == 4, sorted(context.bodies)[-8:]

    @staticmethod
    @then("all of them were answered with 200")
    def all_served(context: Any) -> None:
        assert set(context.seen) == {200}, context.seen

    @staticmethod
    @then('the answers to them are "{answers}"')
    def late(context: Any, answers: str) -> None:
        assert ", ".join(map(str, context.late_answers)) == answers, context.late_answers

    @staticmethod
    @then("small requests were answered meanwhile")
    def small(context: Any) -> None:
        assert set(context.small_answers) == {200}, context.small_answers

    @staticmethod
    @then("only the first upload was run")
    def first_only(context: Any) -> None:
        assert context.bodies.count(60 * MB) == 1, context.bodies

"""Measures how long the event loop is kept while a configuration is taken in.

Run ``PYTHONPATH=src:. python benchmarks/configurations.py``. For each number of routes, prints as
JSON the processor time of each step, then that of the whole way from the store's response to the
switch, with its longest step without a checkpoint: for the first configuration, for one in which 1%
of the routes have changed, and for one in which all have. Times are in milliseconds on a full core,
the median and the maximum of the repetitions. The stand-in for the store is another process.
"""

from __future__ import annotations

import argparse
import base64
import contextlib
import gc
import io
import json
import multiprocessing
import statistics
import time
import zlib
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import trio
from features.support.configurations import configuration_json
from features.support.configurations import feed_response
from features.support.task_steps import TaskStepTimes

from acaciasaddle.clock import TrioClock
from acaciasaddle.fleet import FleetView
from acaciasaddle.links._messages import decode_configuration
from acaciasaddle.links._messages import encode_configuration
from acaciasaddle.platform import PlatformConfigurations
from acaciasaddle.platform import StoreClient
from acaciasaddle.platform._decode import ConfigurationDecoder
from acaciasaddle.platform._store import _ROWS
from acaciasaddle.routing import RouteTable

if TYPE_CHECKING:
    from collections.abc import Callable
    from multiprocessing.connection import Connection

ROUTES = (1_640, 5_000)
CHANGED_SHARES = (0.01, 1.0)
REPETITIONS = 20
GC_THRESHOLD = 20_000
"""That of a node."""


def _time_ms(action: Callable[[], Any], repetitions: int) -> list[float]:
    times = []
    for _ in range(repetitions):
        # Garbage of other steps would be collected, and counted, during this one.
        gc.collect()
        started = time.thread_time()
        action()
        times.append((time.thread_time() - started) * 1000)
    return times


def _summary(times_ms: list[float]) -> dict[str, float]:
    return {"median": round(statistics.median(times_ms), 2), "max": round(max(times_ms), 2)}


def measure_steps(routes: int, repetitions: int) -> dict[str, dict[str, float]]:
    """Return the time of each step for a configuration of which nothing is known."""
    data = configuration_json(version=1, routes=routes)
    value = base64.b64encode(data)
    rows = feed_response(version=1, data=data)
    cfg = trio.run(ConfigurationDecoder().decode, data)
    encoded = encode_configuration(cfg)
    compressed = zlib.compress(encoded, zlib.Z_BEST_SPEED)
    steps: dict[str, Callable[[], Any]] = {
        "rows": lambda: _ROWS.decode(rows),
        "base64": lambda: base64.b64decode(value, validate=True),
        "json": lambda: msgspec.json.decode(data),
        "configuration": lambda: trio.run(ConfigurationDecoder().decode, data),
        "route table": lambda: RouteTable(cfg=cfg),
        "link: encode": lambda: encode_configuration(cfg),
        "link: compress": lambda: zlib.compress(encoded, zlib.Z_BEST_SPEED),
        "link: decompress": lambda: zlib.decompress(compressed),
        "link: decode": lambda: trio.run(partial(decode_configuration, encoded, peer="p")),
    }
    return {name: _summary(_time_ms(action, repetitions)) for name, action in steps.items()}


def _serve(pipe: Connection, routes: int, share: float) -> None:
    """Serve one configuration per request, each with a higher version than the one before."""

    async def serve_stream(stream: trio.SocketStream) -> None:
        version = 0
        while await stream.receive_some(65_536):
            version += 1
            data = configuration_json(version=version, routes=routes, changed_share=share)
            body = feed_response(version=version, data=data)
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            await stream.send_all(head.encode() + body)

    async def main() -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        pipe.send(listeners[0].socket.getsockname()[1])
        await trio.serve_listeners(serve_stream, listeners)

    trio.run(main)


async def _take_in(port: int, repetitions: int) -> list[tuple[float, float, str]]:
    """Return the total time, the longest step and its task for each configuration."""
    times = TaskStepTimes()
    trio.lowlevel.add_instrument(times)
    view = FleetView(clock=TrioClock(wall_offset=0.0))
    store = StoreClient(address=f"127.0.0.1:{port}")
    configurations = PlatformConfigurations(store=store)
    found = []
    for revision in range(1 + repetitions):
        times.reset()
        change = await configurations.changes(since=revision, wait_s=5.0)
        assert change.configuration is not None, change.problem
        view.apply_configuration(change.configuration)
        await trio.lowlevel.checkpoint()
        found.append((times.total_s * 1000, times.longest_s * 1000, times.task))
    return found


def measure_whole(routes: int, share: float, repetitions: int) -> dict[str, Any]:
    """Return the times of the first and of the following configurations."""
    gc.collect()
    ours, theirs = multiprocessing.Pipe()
    server = multiprocessing.Process(target=_serve, args=(theirs, routes, share), daemon=True)
    server.start()
    try:
        # Keeps the log lines out of the output.
        with contextlib.redirect_stdout(io.StringIO()):
            found = trio.run(_take_in, ours.recv(), repetitions)
    finally:
        server.terminate()
        server.join()
    first, *following = found
    return {
        "first": {"total": round(first[0], 2), "longest step": round(first[1], 2)},
        "following": {
            "total": _summary([total for total, _, _ in following]),
            "longest step": _summary([longest for _, longest, _ in following]),
        },
    }


def main() -> None:
    """Print the figures of each number of routes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--repetitions", type=int, default=REPETITIONS)
    args = parser.parse_args()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 20, 100)
    for routes in ROUTES:
        print(json.dumps({"routes": routes, "steps": measure_steps(routes, args.repetitions)}))
        for share in CHANGED_SHARES:
            result = measure_whole(routes, share, args.repetitions)
            print(json.dumps({"routes": routes, "changed": share, **result}))


if __name__ == "__main__":
    main()

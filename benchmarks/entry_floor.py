"""Measures what the HTTP libraries alone cost per request, as a floor for the entry path.

Usage: ``PYTHONPATH=src python benchmarks/entry_floor.py [--seconds 4]``

Prints the processor time per request of hypercorn with an application that answers at once, set
up as in an entry host, and of httpcore's bare connection that calls it.
"""

from __future__ import annotations

import multiprocessing
import time
from typing import TYPE_CHECKING
from typing import Any

import click
import httpcore
import trio
from entry_path import CONNECTIONS
from entry_path import Call
from entry_path import closed_loop
from entry_path import processor_seconds

from acaciasaddle.entry._serve import hypercorn_config
from acaciasaddle.entry._serve import serve_application

if TYPE_CHECKING:
    from multiprocessing.connection import Connection as Pipe

BODY = b"x" * 200
HEAD = b"Host: entry\r\nAccept: application/json\r\nUser-Agent: bench\r\nX-Client-Id: c1\r\n\r\n"


async def answer(scope: Any, receive: Any, send: Any) -> None:
    """Answer as an entry host does: head, data and end."""
    headers = [(b"content-type", b"application/json"), (b"content-length", b"200")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": BODY, "more_body": True})
    await send({"type": "http.response.body", "body": b"", "more_body": False})


def serve(pipe: Pipe) -> None:
    """Run the server and send its address."""

    async def run() -> None:
        cfg = hypercorn_config(address="127.0.0.1:0", max_header_bytes=65_536, header_timeout=5)
        async with trio.open_nursery() as nursery:

            async def start(*, task_status: trio.TaskStatus[list[str]]) -> None:
                await serve_application(answer, cfg, stop=trio.Event(), task_status=task_status)

            urls = await nursery.start(start)
            pipe.send(urls[0].removeprefix("http://"))

    trio.run(run)


async def client(address: str, seconds: float) -> float:
    """Return the processor time of this process per call, in µs."""
    host, _, port = address.rpartition(":")
    origin = httpcore.Origin(b"http", host.encode(), int(port))
    done = 0
    until = trio.current_time() + seconds

    async def work() -> None:
        nonlocal done
        stream = await httpcore.TrioBackend().connect_tcp(host, int(port))
        conn = httpcore.AsyncHTTP11Connection(origin=origin, stream=stream)
        url = httpcore.URL(scheme=b"http", host=host.encode(), port=int(port), target=b"/a")
        headers = [(b"Host", b"entry"), (b"Accept", b"application/json")]
        while trio.current_time() < until:
            request = httpcore.Request(method=b"GET", url=url, headers=headers)
            response = await conn.handle_async_request(request)
            await response.aread()
            await response.aclose()
            done += 1
        await conn.aclose()

    before = time.process_time()
    async with trio.open_nursery() as nursery:
        for _ in range(CONNECTIONS):
            nursery.start_soon(work)
    return (time.process_time() - before) / done * 1e6


async def measure(address: str, pid: int, seconds: float) -> None:
    """Print both figures, in three turns."""
    calls = [Call(address, b"GET /a HTTP/1.1\r\n" + HEAD)]
    for _ in range(3):
        before = processor_seconds(pid)
        done = await closed_loop(calls, seconds, CONNECTIONS)
        server = (processor_seconds(pid) - before) / done * 1e6
        print(f"hypercorn {server:.0f} us, httpcore {await client(address, seconds):.0f} us")


@click.command()
@click.option("--seconds", default=2.0, show_default=True)
def main(seconds: float) -> None:
    """Measure the HTTP libraries."""
    here, there = multiprocessing.Pipe()
    server = multiprocessing.get_context("spawn").Process(target=serve, args=(there,), daemon=True)
    server.start()
    assert server.pid is not None
    try:
        trio.run(measure, here.recv(), server.pid, seconds)
    finally:
        server.terminate()
        server.join()


if __name__ == "__main__":
    main()

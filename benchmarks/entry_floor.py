"""Measures the cost per request of the HTTP libraries alone, a lower bound for the entry path.

Usage: ``PYTHONPATH=src python benchmarks/entry_floor.py [--seconds 2]``

Prints processor time per request: of hypercorn, set up as in an entry host, with an application
that responds at once, and of bare httpcore connections that send requests to it.
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
from entry_path import PreparedRequest
from entry_path import closed_loop
from entry_path import processor_seconds

from acaciasaddle.entry._serve import hypercorn_config
from acaciasaddle.entry._serve import serve_application

if TYPE_CHECKING:
    from multiprocessing.connection import Connection as Pipe

RESPONSE_BODY = b"x" * 200
HEADERS = b"Host: entry\r\nAccept: application/json\r\nUser-Agent: bench\r\nX-Client-Id: c1\r\n\r\n"


async def respond(scope: Any, receive: Any, send: Any) -> None:
    """Respond with the same ASGI messages as an entry host: head, data and end."""
    headers = [(b"content-type", b"application/json"), (b"content-length", b"200")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": RESPONSE_BODY, "more_body": True})
    await send({"type": "http.response.body", "body": b"", "more_body": False})


def serve(pipe: Pipe) -> None:
    """Run the server and send its address through the pipe."""

    async def run() -> None:
        config = hypercorn_config(address="127.0.0.1:0", max_header_bytes=65_536, header_timeout=5)
        async with trio.open_nursery() as nursery:

            async def start(*, task_status: trio.TaskStatus[list[str]]) -> None:
                await serve_application(respond, config, stop=trio.Event(), task_status=task_status)

            urls = await nursery.start(start)
            pipe.send(urls[0].removeprefix("http://"))

    trio.run(run)


async def client_us(address: str, seconds: float) -> float:
    """Send requests with httpcore; return this process's processor time per request in µs."""
    host, _, port = address.rpartition(":")
    origin = httpcore.Origin(b"http", host.encode(), int(port))
    completed = 0
    end_time = trio.current_time() + seconds

    async def send_requests() -> None:
        nonlocal completed
        stream = await httpcore.TrioBackend().connect_tcp(host, int(port))
        connection = httpcore.AsyncHTTP11Connection(origin=origin, stream=stream)
        url = httpcore.URL(scheme=b"http", host=host.encode(), port=int(port), target=b"/a")
        headers = [(b"Host", b"entry"), (b"Accept", b"application/json")]
        while trio.current_time() < end_time:
            request = httpcore.Request(method=b"GET", url=url, headers=headers)
            response = await connection.handle_async_request(request)
            await response.aread()
            await response.aclose()
            completed += 1
        await connection.aclose()

    cpu_before = time.process_time()
    async with trio.open_nursery() as nursery:
        for _ in range(CONNECTIONS):
            nursery.start_soon(send_requests)
    return (time.process_time() - cpu_before) / completed * 1e6


async def measure(address: str, pid: int, seconds: float) -> None:
    """Measure the server and the client three times each, in turn, and print the figures."""
    requests = [PreparedRequest(address, b"GET /a HTTP/1.1\r\n" + HEADERS)]
    for _ in range(3):
        cpu_before = processor_seconds(pid)
        completed = await closed_loop(requests, seconds, CONNECTIONS)
        server_us = (processor_seconds(pid) - cpu_before) / completed * 1e6
        print(f"hypercorn {server_us:.0f} us, httpcore {await client_us(address, seconds):.0f} us")


@click.command()
@click.option("--seconds", default=2.0, show_default=True)
def main(seconds: float) -> None:
    """Measure the HTTP libraries."""
    parent_pipe, child_pipe = multiprocessing.Pipe()
    server = multiprocessing.get_context("spawn").Process(
        target=serve, args=(child_pipe,), daemon=True
    )
    server.start()
    assert server.pid is not None
    try:
        trio.run(measure, parent_pipe.recv(), server.pid, seconds)
    finally:
        server.terminate()
        server.join()


if __name__ == "__main__":
    main()

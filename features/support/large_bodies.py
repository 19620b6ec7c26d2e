"""A node process under uploads and large responses, the load on it, and its peak memory."""

from __future__ import annotations

import contextlib
import tempfile
import time
import uuid
from collections import Counter
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from acaciasaddle.emulator._json_http import request_json
from acaciasaddle.emulator.soak._processes import Deployment
from acaciasaddle.emulator.soak._records import RecordFile
from acaciasaddle.memory import SMALL_BODY_BYTES
from acaciasaddle.platform.standins import FILE_PREFIX
from acaciasaddle.platform.standins import FILE_SERVICE
from acaciasaddle.platform.standins import caller_headers

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HOST_NAME = "host-1"
UPSTREAM_ID = "files-1"
RECEIVE_BYTES = 262_144
REPORT_INTERVAL_S = 0.5
MAX_BODY_BYTES = 64 * 1024 * 1024
"""``maxBodyBytes`` of the grown sites."""
HOST_MEMORY_MB = 200
"""Memory of the hosts of the grown sites."""
MB = 1_000_000
PIECE = bytes(MB)


class FileUpstream:
    """Answers ``FILE_PREFIX`` + N with N bytes after it has read the whole body of the request.

    If that is a large one, it answers ``work_s`` later. ``bodies`` has the sizes of the bodies that
    it read.
    """

    def __init__(self, *, work_s: float = 0.0) -> None:
        self.work_s = work_s
        self.address = ""
        self.bodies: list[int] = []

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        try:
            while await self._answer_request(stream):
                pass
        except trio.BrokenResourceError:
            # The node resets connections that it does not use again.
            pass

    async def _answer_request(self, stream: trio.SocketStream) -> bool:
        received = await _read_head(stream)
        if received is None:
            return False
        first_line, fields, rest = received
        length, size = int(fields.get("content-length", 0)), len(rest)
        while size < length:
            data = await stream.receive_some(RECEIVE_BYTES)
            if not data:
                return False
            size += len(data)
        await trio.sleep(self.work_s if size > SMALL_BODY_BYTES else 0.0)
        self.bodies.append(size)
        answer_bytes = int(first_line.split()[1].removeprefix(FILE_PREFIX))
        head = (
            f"HTTP/1.1 200 OK\r\nContent-Length: {answer_bytes}\r\nResponse-Signature: s.1\r\n"
            f"Request-Id: {fields.get('request-id', '')}\r\n\r\n"
        )
        await stream.send_all(head.encode())
        await _send_body(stream, answer_bytes)
        return True


@dataclass(kw_only=True)
class LargeBodies:
    """One or more nodes, their upstream, and what callers saw: a count of the requests by status.

    Status 0 stands for a connection that ended or stayed silent without a complete response.
    """

    deployment: Deployment
    upstream: FileUpstream
    seen: Counter[int] = field(default_factory=Counter)
    seconds: list[float] = field(default_factory=list)

    def memory_mb(self, name: str = "VmHWM") -> float:
        """Return the peak of the resident memory, or another value, in MB of 10^6 bytes.

        Of several nodes, it is that of the one with the most.
        """
        return max(self._memory_of(host, name) for host in self.deployment.host_addresses)

    def _memory_of(self, host: str, name: str) -> float:
        process = self.deployment.processes[host].process
        assert process is not None
        status = Path(f"/proc/{process.pid}/status").read_text()
        fields = dict(line.split(":", 1) for line in status.splitlines())
        return int(fields[name].split()[0]) * 1024 / MB

    async def request(
        self,
        *,
        body_bytes: int = 0,
        answer_bytes: int = 10,
        chunk_bytes: int = 0,
        read_mb_per_s: float = 0.0,
        reads_last: bool = False,
        deadline_s: float = 30.0,
        limit_s: float = 60.0,
    ) -> int:
        """Send one request on a connection of its own and return the status of its answer.

        The body is sent in chunks of ``chunk_bytes`` if that is given. The answer is read at
        ``read_mb_per_s`` if that is given, and not before the whole body is sent if ``reads_last``
        is set.
        """
        status, started = 0, time.monotonic()
        with trio.move_on_after(limit_s):
            try:
                status = await self._exchange(
                    body_bytes, answer_bytes, chunk_bytes, read_mb_per_s, reads_last, deadline_s
                )
            except* (OSError, trio.BrokenResourceError):
                status = 0
        self.seen[status] += 1
        self.seconds.append(time.monotonic() - started)
        return status

    async def _exchange(
        self,
        body_bytes: int,
        answer_bytes: int,
        chunk_bytes: int,
        read_mb_per_s: float,
        reads_last: bool,
        deadline_s: float,
    ) -> int:
        address, _, port = self.deployment.host_addresses[HOST_NAME].rpartition(":")
        stream = await trio.open_tcp_stream(address, int(port))
        headers = caller_headers(request_id=uuid.uuid4().hex, key=0, deadline_s=deadline_s)[:-1]
        if chunk_bytes:
            headers.append((b"Transfer-Encoding", b"chunked"))
        else:
            headers.append((b"Content-Length", str(body_bytes).encode()))
        head = f"POST {FILE_PREFIX}{answer_bytes} HTTP/1.1\r\n".encode()
        head += b"".join(name + b": " + value + b"\r\n" for name, value in headers)
        async with stream, trio.open_nursery() as nursery:
            if reads_last:
                await self._send(stream, head + b"\r\n", body_bytes, chunk_bytes)
            else:
                nursery.start_soon(self._send, stream, head + b"\r\n", body_bytes, chunk_bytes)
            status = await _read_answer(stream, read_mb_per_s)
            nursery.cancel_scope.cancel()
        return status

    async def _send(
        self, stream: trio.SocketStream, head: bytes, body_bytes: int, chunk_bytes: int
    ) -> None:
        try:
            await stream.send_all(head)
            if chunk_bytes:
                for _ in range(-(-body_bytes // chunk_bytes)):
                    await stream.send_all(b"%x\r\n" % chunk_bytes + PIECE[:chunk_bytes] + b"\r\n")
                await stream.send_all(b"0\r\n\r\n")
            else:
                await _send_body(stream, body_bytes)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            # The node does not read the body of a request that it has refused.
            pass

    async def pipeline(
        self, *, count: int, answer_bytes: int, deadline_s: float, read_after_s: float = 0.0
    ) -> None:
        """Send requests on one connection without waiting, and read their answers.

        If they are read at once, the first one has a large body, so that its answer comes last.
        """
        address, _, port = self.deployment.host_addresses[HOST_NAME].rpartition(":")
        async with await trio.open_tcp_stream(address, int(port)) as stream:
            for number in range(count):
                body_bytes = 0 if number or read_after_s else SMALL_BODY_BYTES + 1
                headers = caller_headers(
                    request_id=uuid.uuid4().hex, key=None, deadline_s=deadline_s
                )
                headers.append((b"Content-Length", str(body_bytes).encode()))
                head = f"POST {FILE_PREFIX}{answer_bytes} HTTP/1.1\r\n".encode()
                head += b"".join(name + b": " + value + b"\r\n" for name, value in headers)
                await stream.send_all(head + b"\r\n" + bytes(body_bytes))
            await trio.sleep(read_after_s)
            unread = b""
            for _ in range(count):
                received = await _read_head(stream, unread)
                if received is None:
                    self.seen[0] += 1
                    return
                first_line, fields, unread = received
                left = int(fields["content-length"])
                while len(unread) < left:
                    left -= len(unread)
                    unread = await stream.receive_some(RECEIVE_BYTES)
                    assert unread, "the answer ends early"
                unread = unread[left:]
                self.seen[int(first_line.split()[1])] += 1

    async def change_configuration(self, *, times: int, interval_s: float, routes: int) -> None:
        """Write configurations with ``routes`` unused routes; in each, all routes have changed."""
        self.deployment.unused_routes = routes
        for _ in range(times):
            self.deployment.route_timeout_s += 0.25
            await self.deployment.change_configuration()
            await trio.sleep(interval_s)


async def _send_body(stream: trio.SocketStream, size: int) -> None:
    for start in range(0, size, len(PIECE)):
        await stream.send_all(memoryview(PIECE)[: size - start])


async def _read_head(
    stream: trio.SocketStream, received: bytes = b""
) -> tuple[str, dict[str, str], bytes] | None:
    """Return the first line, the fields and the bytes behind the head, or ``None`` at the end."""
    while b"\r\n\r\n" not in received:
        data = await stream.receive_some(RECEIVE_BYTES)
        if not data:
            return None
        received += data
    head, _, rest = received.partition(b"\r\n\r\n")
    first_line, *lines = head.decode("latin-1").split("\r\n")
    fields = {name.lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)}
    return first_line, fields, rest


async def _read_answer(stream: trio.SocketStream, read_mb_per_s: float) -> int:
    """Return the status of a complete answer, or 0."""
    received = await _read_head(stream)
    if received is None:
        return 0
    first_line, fields, rest = received
    length, size = int(fields.get("content-length", 0)), len(rest)
    while size < length:
        data = await stream.receive_some(RECEIVE_BYTES)
        if not data:
            return 0
        size += len(data)
        if read_mb_per_s:
            await trio.sleep(len(data) / MB / read_mb_per_s)
    return int(first_line.split()[1])


async def _report(deployment: Deployment, upstream: FileUpstream) -> None:
    """Report the upstream's entry to the store until cancelled."""
    entry = {
        "service": FILE_SERVICE,
        "address": upstream.address,
        "zone": "east",
        "version": "1",
        "capacity": 400,
        "state": "ready",
        "born": time.time_ns() // 1_000_000,
        "sequence": 1,
        "slowStartS_time": 0.0,
    }
    while True:
        # The store ends before this task does.
        with contextlib.suppress(OSError):
            await request_json(
                deployment.store_address, "PUT", f"/standin/entry/{UPSTREAM_ID}", entry, timeout=5
            )
        await trio.sleep(REPORT_INTERVAL_S)


@asynccontextmanager
async def running_node(
    *,
    routes: int = 0,
    work_s: float = 0.0,
    timeout_s: float = 30.0,
    memory_mb: int | None = None,
    hosts: int = 1,
) -> AsyncIterator[LargeBodies]:
    """Start a node with a store and an upstream, and end them on exit.

    ``timeout_s`` is the route's timeout, ``memory_mb`` the host's memory in the node's settings.
    The first of several nodes gets the requests.
    """
    with tempfile.TemporaryDirectory() as name:
        async with trio.open_nursery() as nursery:
            upstream = FileUpstream(work_s=work_s)
            await nursery.start(upstream.run)
            deployment = Deployment(
                directory=Path(name),
                records=RecordFile(path=Path(name) / "records"),
                nursery=nursery,
                unused_routes=routes,
                max_body_bytes=MAX_BODY_BYTES,
                file_timeout_s=timeout_s,
                node_settings={"capacity": {"memory_mb": memory_mb}} if memory_mb else {},
            )
            try:
                names = [f"host-{number}" for number in range(1, hosts + 1)]
                await deployment.start(hosts=names, upstreams=[], open_upstreams=[])
                nursery.start_soon(_report, deployment, upstream)
                node = LargeBodies(deployment=deployment, upstream=upstream)
                with trio.fail_after(10):
                    while await node.request() != 200:
                        await trio.sleep(0.05)
                node.seen.clear()
                node.seconds.clear()
                yield node
            finally:
                await deployment.stop()
            nursery.cancel_scope.cancel()

"""HTTP server on loopback that sends scripted raw responses."""

from __future__ import annotations

import socket
import struct

import h11
import trio

RESET = "reset"
SILENT = "silent"
CLOSE = "close"
ENDLESS = "<endless>"
REPEATED_BYTES = 65_536
LARGE_BYTES = 3_000_000
"""Smallest amount in which the endless part of a response is sent."""


class ScriptedServer:
    """Server that sends the next response of a script for each request, and records the requests.

    The last response is repeated. ``{id}`` in a response is replaced by the request's id. The
    responses ``reset``, ``silent`` and ``close`` reset the connection, send nothing, or close the
    connection. After a response that begins with ``+`` the connection stays open, after one that
    begins with ``!`` it is reset. The part of a
    response after ``ENDLESS`` is sent again and again until the client closes the connection.
    A response that begins with ``+=`` is sent a second time on its connection, before the response
    to the next request there.
    """

    def __init__(self, *, responses: list[str]) -> None:
        self._responses = list(responses)
        self.requests: list[tuple[h11.Request, bytes]] = []
        self.connections = 0
        self.broken_connections = 0
        self.address = ""
        self._copies: dict[trio.SocketStream, str] = {}

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        self._copies[stream] = ""
        try:
            async with stream:
                while await self._serve_one(stream):
                    pass
        except trio.BrokenResourceError:
            self.broken_connections += 1

    async def _serve_one(self, stream: trio.SocketStream) -> bool:
        parser = h11.Connection(h11.SERVER)
        request: h11.Request | None = None
        body = b""
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await stream.receive_some(65_536))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                break
            else:
                return False
        self.requests.append((request, body))
        await stream.send_all(self._copies[stream].encode())
        response = self._responses.pop(0) if len(self._responses) > 1 else self._responses[0]
        if response == SILENT:
            await trio.sleep_forever()
        if response == CLOSE:
            return False
        if response == RESET:
            self._reset_on_close(stream)
            return False
        headers = {name.decode(): value.decode() for name, value in request.headers}
        text = response.lstrip("+!=").replace("{id}", headers.get("request-id", ""))
        self._copies[stream] = text if response.startswith("+=") else ""
        text, _, repeated = text.partition(ENDLESS)
        await stream.send_all(text.replace("\\r\\n", "\r\n").encode())
        while repeated:
            await stream.send_all(repeated.encode() * (REPEATED_BYTES // len(repeated) + 1))
        if response.startswith("!"):
            # Pause, so that the reset does not discard what was sent before.
            await trio.sleep(0.05)
            self._reset_on_close(stream)
        return response.startswith("+")

    @staticmethod
    def _reset_on_close(stream: trio.SocketStream) -> None:
        linger = struct.pack("ii", 1, 0)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def ok(body: str = "done", *, extra: str = "", request_id: str = "{id}") -> str:
    """Return a signed response after which the connection stays open."""
    return (
        f"+HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Signature: s.1\r\n"
        f"{extra}Content-Length: {len(body)}\r\n\r\n{body}"
    )


def not_run(status: int, *, upstream_id: str = "u1", extra: str = "") -> str:
    """Return a response which states that the request was not run."""
    return (
        f"+HTTP/1.1 {status} No\r\nRequest-Id: {{id}}\r\nNot-Executed: 1\r\n"
        f"Instance-Id: {upstream_id}\r\n{extra}Content-Length: 0\r\n\r\n"
    )


LARGE = f"Request-Id: {{id}}\r\nContent-Length: {LARGE_BYTES}\r\n\r\n" + "x" * LARGE_BYTES

RESPONSES = {
    "ok": ok(),
    "ok large": f"+HTTP/1.1 200 OK\r\nResponse-Signature: s.1\r\n{LARGE}",
    "unsigned large": f"+HTTP/1.1 200 OK\r\n{LARGE}",
    "promising large": f"+HTTP/1.1 503 No\r\n{LARGE}",
    "full large": f"+HTTP/1.1 503 No\r\nNot-Executed: 1\r\n{LARGE}",
    "other large first": f"+HTTP/1.1 200 OK\r\nResponse-Signature: s.1\r\n{LARGE}".replace(
        "{id}", "r-0"
    )
    + f"HTTP/1.1 200 OK\r\nResponse-Signature: s.1\r\n{LARGE}",
    "fails large": f"+HTTP/1.1 500 No\r\nResponse-Signature: s.2\r\n{LARGE}",
    "full": not_run(503),
    "full copied": "+=" + not_run(503).lstrip("+"),
    "fails copied": "+=HTTP/1.1 500 No\r\nRequest-Id: {id}\r\nResponse-Signature: s.2\r\n"
    "Content-Length: 0\r\n\r\n",
    "moved": not_run(421),
    "replaced": not_run(421, upstream_id="u9"),
    "fails": "+HTTP/1.1 500 No\r\nRequest-Id: {id}\r\nResponse-Signature: s.2\r\n"
    "Content-Length: 0\r\n\r\n",
    "unsigned": "+HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 4\r\n\r\ndone",
    "signature hidden": ok(extra="Connection: keep-alive, Response-Signature\r\n"),
    "truncated": "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s.3\r\n"
    "Content-Length: 9\r\n\r\ndone",
    "unframed": "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s.4\r\n\r\ndone",
    "chunked cut": "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s.8\r\n"
    "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n",
    "unframed reset": "!HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s.9\r\n"
    "\r\ndo",
    "garbage": "no answer at all\r\n\r\n",
    "stale first": ok("other", request_id="r-0") + ok().lstrip("+"),
    "surplus after": ok() + ok("other").lstrip("+"),
    "two lengths": "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s.5\r\n"
    "Content-Length: 4\r\nContent-Length: 5\r\n\r\ndone",
    "full for 5 s": not_run(503, extra="Retry-After: 5\r\n"),
    "full for 0.1 s": not_run(503, extra="Retry-After: 0.1\r\n"),
    "full for 0.3 s": not_run(503, extra="Retry-After: 0.3\r\n"),
    "bare 503 for 5 s": "+HTTP/1.1 503 No\r\nRequest-Id: {id}\r\nRetry-After: 5\r\n"
    "Content-Length: 0\r\n\r\n",
    "leaving": ok(extra="Server-Leaving: 1\r\n"),
    "other one leaving": not_run(421, upstream_id="u9", extra="Server-Leaving: 1\r\n"),
    "bare 503": "+HTTP/1.1 503 No\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n",
    "bare 429": "+HTTP/1.1 429 No\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n",
    "endless head": f"HTTP/1.1 200 OK\r\nRequest-Id: {{id}}\r\n{ENDLESS}X-More: and more\r\n",
    "endless interim": f"{ENDLESS}HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
    "endless chunks": "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s.6\r\n"
    f"Transfer-Encoding: chunked\r\n\r\n{ENDLESS}1000\r\n{'x' * 4096}\r\n",
    "endless unframed": "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s.7\r\n"
    f"\r\n{ENDLESS}{'x' * 4096}",
    "endless others": ENDLESS + ok("other", request_id="r-0").lstrip("+"),
    "reset": RESET,
    "silent": SILENT,
    "close": CLOSE,
}

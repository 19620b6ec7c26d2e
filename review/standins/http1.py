"""A small HTTP/1.1 layer for the stand-ins, on asyncio streams."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    421: "Misdirected Request",
    500: "Internal Server Error",
    503: "Service Unavailable",
}
MAX_LINE_BYTES = 256 * 1024


@dataclass(slots=True)
class Message:
    """A request or a response. Header names are in lower case."""

    start: list[str]
    fields: dict[str, str]
    body: bytes = b""

    @property
    def method(self) -> str:
        return self.start[0]

    @property
    def target(self) -> str:
        return self.start[1]

    @property
    def status(self) -> int:
        return int(self.start[1])


@dataclass(slots=True)
class Connection:
    """One accepted connection; ``pending`` is written before the next response."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    pending: bytes = b""
    state: dict = field(default_factory=dict)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, or ``None`` if the connection ended before one began."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    message = Message(lines[0].split(" ", 2), fields)
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            message.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
    elif length := int(fields.get("content-length", "0")):
        message.body = await reader.readexactly(length)
    return message


def response(status: int, fields: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def json_response(status: int, value: object, fields: dict[str, str] | None = None) -> bytes:
    """Return the bytes of a response with a JSON body."""
    return response(
        status, {"Content-Type": "application/json", **(fields or {})}, json.dumps(value).encode()
    )


def request(method: str, target: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def serve(
    handle: Callable[[Connection, Message], Awaitable[bytes | None]],
) -> tuple[asyncio.Server, str]:
    """Serve on a free loopback port. ``handle`` returns a response, or ``None`` to close."""

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        conn = Connection(reader, writer)
        try:
            while (message := await read_message(reader)) is not None:
                data = await handle(conn, message)
                if data is None:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(run, "127.0.0.1", 0, limit=MAX_LINE_BYTES, backlog=512)
    port = server.sockets[0].getsockname()[1]
    return server, f"127.0.0.1:{port}"

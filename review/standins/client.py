"""Stand-in for clients that keep their connections open for many requests."""

from __future__ import annotations

import asyncio
import uuid

from standins.fleet import HOST
from standins.fleet import Node
from standins.http1 import read_message
from standins.http1 import request
from standins.record import Record


class Clients:
    """Clients of all nodes. Each request uses an idle connection to its node, or a new one."""

    def __init__(self, *, record: Record) -> None:
        self._record = record
        self._idle: dict[str, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}

    async def send(
        self,
        node: Node,
        *,
        method: str,
        path: str,
        key: int | None = None,
        body: bytes = b"",
        budget_s: float = 2.0,
    ) -> int | None:
        """Send one request, and return the status of its answer or ``None`` if there was none.

        No request is sent again. ``kept`` in the record says whether the connection had carried a
        request before.
        """
        request_id = uuid.uuid4().hex[:16]
        fields = {
            "Host": HOST,
            "Request-Id": request_id,
            "Request-Deadline": str(int(budget_s * 1000)),
        }
        if key is not None:
            fields["Shard-Key"] = str(key)
        writer = None
        status: int | None = None
        reason = ""
        kept = reusable = False
        try:
            async with asyncio.timeout(budget_s + 1.0):
                reader, writer, kept = await self._connection(node)
                self._record.add(
                    "sent",
                    id=request_id,
                    method=method,
                    path=path,
                    key=key,
                    bytes=len(body),
                    node=node.name,
                    kept=kept,
                )
                writer.write(request(method, path, fields, body))
                await writer.drain()
                message = await read_message(reader)
                if message is None:
                    reason = "closed without an answer"
                else:
                    status = message.status
                    reusable = message.fields.get("connection", "").lower() != "close"
                    if status == 200 and "response-signature" not in message.fields:
                        reason = "no receipt"
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            reason = repr(exc)
        if writer is not None:
            if reusable:
                self._idle[node.name].append((reader, writer))
            else:
                writer.close()
        self._record.add(
            "answered", id=request_id, status=status, reason=reason, node=node.name, kept=kept
        )
        return status

    async def _connection(
        self, node: Node
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, bool]:
        idle = self._idle.setdefault(node.name, [])
        while idle:
            reader, writer = idle.pop()
            if not reader.at_eof() and reader.exception() is None:
                return reader, writer, True
            writer.close()
        host, port = node.caller_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        return reader, writer, False

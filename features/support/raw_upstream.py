"""Server on loopback that answers with raw bytes before it has read the body of a request."""

from __future__ import annotations

import contextlib
import enum
import socket
import struct
from dataclasses import dataclass

import trio

RECEIVE_BYTES = 65_536


class Ending(enum.Enum):
    """What follows the bytes of an answer."""

    RESET = "resets the connection"
    END = "ends the connection without reading on"
    END_AND_READ = "ends its side and reads on"
    SILENCE = "sends nothing more"


@dataclass(frozen=True, slots=True, kw_only=True)
class RawAnswer:
    """Raw bytes, the time until the ending in seconds, and the ending."""

    data: bytes
    pause_s: float
    ending: Ending


class RawUpstream:
    """Reads the head of a request, sends the next answer of a list and ends it as told."""

    def __init__(self, *, answers: list[RawAnswer]) -> None:
        self._answers = iter(answers)
        self.address = ""
        self.connections = 0

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        received = b""
        while b"\r\n\r\n" not in received:
            received += await stream.receive_some(RECEIVE_BYTES)
        # The client resets a connection whose request was cut off.
        with contextlib.suppress(trio.BrokenResourceError):
            await self._answer(stream, next(self._answers))
        stream.socket.close()

    async def _answer(self, stream: trio.SocketStream, answer: RawAnswer) -> None:
        await stream.send_all(answer.data)
        await trio.sleep(answer.pause_s)
        if answer.ending is Ending.SILENCE:
            await trio.sleep_forever()
        if answer.ending is Ending.RESET:
            linger = struct.pack("ii", 1, 0)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        if answer.ending is Ending.END_AND_READ:
            await stream.send_eof()
            while await stream.receive_some(RECEIVE_BYTES):
                pass

"""Steps of wire/frames.feature."""

from __future__ import annotations

import random
from typing import Any

import trio
from behave import when
from peers_support import table_rows
from wire_codec_steps import error_of

from acaciasaddle import wire


class PieceStream(trio.abc.Stream):
    """Stream that delivers given pieces and records writes."""

    def __init__(self, pieces: list[bytes]) -> None:
        self._pieces = pieces
        self.writes: list[bytes] = []

    async def send_all(self, data: bytes) -> None:
        self.writes.append(bytes(data))

    async def wait_send_all_might_not_block(self) -> None:
        pass

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        return self._pieces.pop(0) if self._pieces else b""

    async def aclose(self) -> None:
        pass


async def receive_all(stream: trio.abc.Stream) -> list[bytes]:
    """Return all frames of a stream."""
    frames = []
    reader = wire.FrameStream(stream=stream)
    while (frame := await reader.receive()) is not None:
        frames.append(frame)
    return frames


class FramesSteps:
    """Guards against frames that are mixed up, truncated or unbounded in size."""

    @staticmethod
    @when("frames of 0, 1, 5000 and 65541 bytes arrive in pieces of 1 to 699 bytes")
    def in_pieces(context: Any) -> None:
        rng = random.Random(3)
        frames = [rng.randbytes(size) for size in (0, 1, 5000, 65_541)]
        out = PieceStream([])
        trio.run(wire.FrameStream(stream=out).send, frames)
        data = b"".join(out.writes)
        pieces = []
        while data:
            size = rng.randrange(1, 700)
            pieces.append(data[:size])
            data = data[size:]
        unchanged = trio.run(receive_all, PieceStream(pieces)) == frames
        context.results = {"frames unchanged": unchanged, "writes": len(out.writes)}

    @staticmethod
    @when("frames are read from a stream of {content}")
    def read_content(context: Any, content: str) -> None:
        data = {
            "1 MiB and one byte in a frame": b"\x01\x00\x10\x00" + bytes(2**20 + 1),
            "half a length": b"\x05\x00",
            "half a frame": b"\x05\x00\x00\x00abc",
        }[content]
        context.results = {"error": error_of(lambda: trio.run(receive_all, PieceStream([data])))}

    @staticmethod
    @when("frames of a reply of 1100 rows of 4 KB are assembled")
    def assemble(context: Any) -> None:
        reply = wire.RowsPart(rows=table_rows(1100, 4096), revision=9)
        message = wire.ReplyEnvelope(call_id=1, reply=reply)
        frames = wire.split_message(wire.encode(message))
        assembler = wire.PartAssembler()
        *early, last = [assembler.add(wire.decode(frame)) for frame in frames]
        unchanged = not any(early) and wire.decode(last) == message
        largest = max(map(len, frames))
        context.results = {"message unchanged": unchanged, "largest frame": largest}

    @staticmethod
    @when("frames with parts of 64 KiB arrive without a last one")
    def endless_parts(context: Any) -> None:
        assembler = wire.PartAssembler()
        context.results = {"parts accepted": 0}

        def add_parts() -> None:
            while context.results["parts accepted"] < 1000:
                assembler.add(wire.Part(chunk=bytes(65_536), last=False))
                context.results["parts accepted"] += 1

        context.results["error"] = error_of(add_parts)

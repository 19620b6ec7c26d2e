"""Steps of frames.feature."""

from __future__ import annotations

import random
from typing import Any

import trio
from behave import given
from behave import then
from behave import when
from peers_support import table_rows
from trio.testing import memory_stream_one_way_pair

from acaciasaddle import wire
from acaciasaddle.errors import PeerProtocolError


class PieceStream(trio.abc.Stream):
    """Delivers given pieces and records writes."""

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


class FramesSteps:
    """Guards against frames mixed up, cut short or unbounded."""

    @staticmethod
    @given("frames of 0, 1, 5000 and 65541 bytes")
    def frames(context: Any) -> None:
        rng = random.Random(3)
        context.frames = [rng.randbytes(size) for size in (0, 1, 5000, 65_541)]

    @staticmethod
    @when("the frames are sent and arrive in pieces of 1 to 700 bytes")
    def in_pieces(context: Any) -> None:
        async def main() -> None:
            out = PieceStream([])
            await wire.FrameStream(stream=out).send(context.frames)
            context.writes = out.writes
            data = b"".join(out.writes)
            rng = random.Random(4)
            pieces = []
            while data:
                size = rng.randrange(1, 700)
                pieces.append(data[:size])
                data = data[size:]
            stream = wire.FrameStream(stream=PieceStream(pieces))
            context.received = []
            while (frame := await stream.receive()) is not None:
                context.received.append(frame)

        trio.run(main)

    @staticmethod
    @then("the frames received are those sent")
    def same(context: Any) -> None:
        assert context.received == context.frames

    @staticmethod
    @then("the frames were sent in one write")
    def one_write(context: Any) -> None:
        assert len(context.writes) == 1

    @staticmethod
    @when("the frames stream delivers {content}")
    def delivers(context: Any, content: str) -> None:
        data = {
            "a length of 1 MiB and one byte": (wire.MAX_FRAME_BYTES + 1).to_bytes(4, "little"),
            "half a length": b"\x05\x00",
            "half a frame": b"\x05\x00\x00\x00abc",
        }[content]

        async def main() -> None:
            send, receive = memory_stream_one_way_pair()
            await send.send_all(data)
            await send.aclose()
            stream = wire.FrameStream(stream=trio.StapledStream(send, receive))
            try:
                await stream.receive()
            except PeerProtocolError as exc:
                context.error = exc

        context.error = None
        trio.run(main)

    @staticmethod
    @then("the frames stream raises a protocol error")
    def refused(context: Any) -> None:
        assert context.error is not None

    @staticmethod
    @given("a reply of 1100 rows of 4 KB")
    def large(context: Any) -> None:
        reply = wire.RowsPart(rows=table_rows(1100, 4096), revision=9)
        context.message = wire.ReplyEnvelope(call_id=1, reply=reply)

    @staticmethod
    @when("the frames of the message are assembled")
    def assemble(context: Any) -> None:
        context.frames = wire.split(wire.encode(context.message))
        assembler = wire.PartAssembler()
        results = [assembler.add(wire.decode(frame)) for frame in context.frames]
        assert not any(results[:-1])
        context.result = wire.decode(results[-1])

    @staticmethod
    @then("no frame is larger than 70000 bytes and the message is unchanged")
    def parts(context: Any) -> None:
        assert len(context.frames) > 60
        assert max(map(len, context.frames)) <= 70_000
        assert context.result == context.message

    @staticmethod
    @when("parts of 64 KiB without a last one are assembled")
    def endless(context: Any) -> None:
        assembler = wire.PartAssembler()
        context.accepted = 0
        try:
            while context.accepted < 1000:
                assembler.add(wire.Part(chunk=bytes(65_536), last=False))
                context.accepted += 1
        except PeerProtocolError:
            return

    @staticmethod
    @then("the assembler raises a protocol error within 16 MiB")
    def bounded(context: Any) -> None:
        assert context.accepted == 256, context.accepted

"""Frames on a byte stream, and the division of large messages into several frames."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from acaciasaddle.errors import PeerProtocolError
from acaciasaddle.errors import PeerUnreachableError
from acaciasaddle.wire._codec import encode
from acaciasaddle.wire._messages import Part

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_FRAME_BYTES = 1_048_576
PART_BYTES = 65_536
"""Calls, replies and pushed rows whose encoding exceeds this size are sent in parts. The messages
of forwarded requests are sent whole; their body chunks are at most this large."""

MAX_MESSAGE_BYTES = 16_777_216
"""Maximum size of a message that is sent in parts. A mirror of 1,100 rows of 4 KB takes 4.5 MB."""

_PREFIX_BYTES = 4
_RECEIVE_BYTES = 65_536


class FrameStream:
    """Sends and receives frames over a trio stream.

    A frame consists of a 4-byte little-endian length and that many bytes.

    One task may receive and one task may send at a time.
    """

    def __init__(self, *, stream: trio.abc.Stream, peer: str = "") -> None:
        self._stream = stream
        self._buffer = bytearray()
        self._offset = 0
        self.peer = peer
        self.received_bytes = 0
        self.sent_bytes = 0

    async def receive(self) -> bytes | None:
        """Return the next frame, or ``None`` at the end of the stream.

        Raises ``PeerProtocolError`` for a frame that is too large or cut short, and
        ``PeerUnreachableError`` if the connection broke.
        """
        while True:
            frame = self._take_frame()
            if frame is not None:
                return frame
            try:
                data = await self._stream.receive_some(_RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
                raise PeerUnreachableError(
                    f"the connection broke: {exc}", sent=True, step="wire.receive", peer=self.peer
                ) from exc
            if not data:
                if self._offset < len(self._buffer):
                    raise PeerProtocolError(
                        "the connection ended inside a frame", step="wire.receive", peer=self.peer
                    )
                return None
            self.received_bytes += len(data)
            if self._offset:
                del self._buffer[: self._offset]
                self._offset = 0
            self._buffer += data

    def _take_frame(self) -> bytes | None:
        body = self._offset + _PREFIX_BYTES
        if len(self._buffer) < body:
            return None
        size = int.from_bytes(self._buffer[self._offset : body], "little")
        if size > MAX_FRAME_BYTES:
            raise PeerProtocolError(
                f"a frame of {size} bytes exceeds {MAX_FRAME_BYTES}",
                step="wire.receive",
                peer=self.peer,
            )
        if len(self._buffer) < body + size:
            return None
        self._offset = body + size
        return bytes(memoryview(self._buffer)[body : body + size])

    async def send(self, frames: Iterable[bytes]) -> None:
        """Send frames in one write.

        Raises ``PeerProtocolError`` if a frame is too large, and ``PeerUnreachableError`` if the
        connection broke.
        """
        pieces = []
        for frame in frames:
            if len(frame) > MAX_FRAME_BYTES:
                raise PeerProtocolError(
                    f"a frame of {len(frame)} bytes exceeds {MAX_FRAME_BYTES}",
                    step="wire.send",
                    peer=self.peer,
                )
            pieces.append(len(frame).to_bytes(_PREFIX_BYTES, "little"))
            pieces.append(frame)
        data = b"".join(pieces)
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise PeerUnreachableError(
                f"the connection broke: {exc}", sent=True, step="wire.send", peer=self.peer
            ) from exc
        self.sent_bytes += len(data)

    async def aclose(self) -> None:
        """Close the stream without waiting for the other side."""
        await trio.aclose_forcefully(self._stream)


def split_message(data: bytes) -> list[bytes]:
    """Return the frames of an encoded message: the message itself, or encoded parts of it.

    Raises ``PeerProtocolError`` if the message exceeds ``MAX_MESSAGE_BYTES``.
    """
    if len(data) <= PART_BYTES:
        return [data]
    if len(data) > MAX_MESSAGE_BYTES:
        raise PeerProtocolError(
            f"a message of {len(data)} bytes exceeds {MAX_MESSAGE_BYTES}", step="wire.split"
        )
    return [
        encode(Part(chunk=data[at : at + PART_BYTES], last=at + PART_BYTES >= len(data)))
        for at in range(0, len(data), PART_BYTES)
    ]


class PartAssembler:
    """Reassembles messages from their parts, one message at a time."""

    def __init__(self) -> None:
        self._data = bytearray()

    def add(self, part: Part) -> bytes | None:
        """Add a part. Return the encoded message after its last part, otherwise ``None``.

        Raises ``PeerProtocolError`` if the parts together exceed ``MAX_MESSAGE_BYTES``.
        """
        if len(self._data) + len(part.chunk) > MAX_MESSAGE_BYTES:
            raise PeerProtocolError(
                f"a message in parts exceeds {MAX_MESSAGE_BYTES} bytes", step="wire.assemble"
            )
        self._data += part.chunk
        if not part.last:
            return None
        data = bytes(self._data)
        self._data = bytearray()
        return data

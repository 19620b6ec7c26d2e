"""Messages between a host and the coordinator, and their framing.

They are encoded with msgspec, which decodes the platform's JSON as well; the schema library of the
peer protocol would add 3 MB to each of the small hosts.
"""

from __future__ import annotations

import struct
from typing import Any

import msgspec
import trio

from acaciasaddle.errors import PeerProtocolError
from acaciasaddle.errors import PeerUnreachableError
from acaciasaddle.fleet import UpstreamEntry
from acaciasaddle.routing import Configuration

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""A configuration of some thousand routes takes about 1 MB."""
RECEIVE_BYTES = 65_536
_LENGTH = struct.Struct(">I")


class Report(msgspec.Struct, array_like=True, kw_only=True, frozen=True):
    """What a host saw since its last report.

    ``samples`` are the fields of ``LoadSample``: service, key, upstream id and seconds; ``busy`` is
    the number of its requests in progress at each upstream.
    """

    host_id: str
    samples: list[tuple[str, int, str, float]]
    busy: dict[str, int]


class State(msgspec.Struct, array_like=True, kw_only=True, frozen=True):
    """What the coordinator believes. Parts that have not changed are ``None`` or empty.

    Ages are in seconds. ``owners`` maps a service to the version and JSON value of its keys'
    owners.
    """

    role_version: int
    role_age_s: float
    hosts: int
    configuration_age_s: float
    registry_age_s: float
    configuration: Configuration | None
    registry: list[UpstreamEntry] | None
    owners: dict[str, tuple[int, dict[str, Any]]]
    busy: dict[str, int]


_ENCODER = msgspec.msgpack.Encoder()
REPORTS = msgspec.msgpack.Decoder(Report)
STATES = msgspec.msgpack.Decoder(State)


class FrameStream:
    """Sends and receives length-prefixed messages. Errors are ``PeerError``."""

    def __init__(self, *, stream: trio.SocketStream, peer: str) -> None:
        self._stream = stream
        self._peer = peer
        self._buffer = bytearray()

    async def send(self, message: msgspec.Struct) -> None:
        """Send a message."""
        data = _ENCODER.encode(message)
        try:
            await self._stream.send_all(_LENGTH.pack(len(data)) + data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise PeerUnreachableError(
                "connection lost", step="links.send", peer=self._peer
            ) from exc

    async def receive(self, decoder: msgspec.msgpack.Decoder[Any]) -> Any:
        """Receive the next message."""
        (length,) = _LENGTH.unpack(await self._read(_LENGTH.size))
        if length > MAX_FRAME_BYTES:
            raise PeerProtocolError(
                f"a message of {length} bytes", step="links.receive", peer=self._peer
            )
        try:
            return decoder.decode(await self._read(length))
        except msgspec.DecodeError as exc:
            raise PeerProtocolError(str(exc), step="links.receive", peer=self._peer) from exc

    async def _read(self, count: int) -> bytes:
        while len(self._buffer) < count:
            try:
                data = await self._stream.receive_some(RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                raise PeerUnreachableError("connection lost", step="links.receive", peer=self._peer)
            self._buffer += data
        result = bytes(self._buffer[:count])
        del self._buffer[:count]
        return result

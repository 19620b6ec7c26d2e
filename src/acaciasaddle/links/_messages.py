"""Messages between a host and the coordinator, and their framing.

They are encoded with msgspec, which decodes the platform's JSON as well; the schema library of the
peer protocol would add 3 MB to each of the small hosts.
"""

from __future__ import annotations

import struct
import zlib
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
COMPRESSED_BYTES = 4_096
"""Messages from this size on are compressed. The smallest hosts have links of 5 Mbit/s."""
_LENGTH = struct.Struct(">I")
_COMPRESSED = 1 << 31
"""Bit of the length that marks a compressed message."""


class Report(msgspec.Struct, array_like=True, kw_only=True, frozen=True):
    """What a host saw since its last report.

    ``samples`` are the fields of ``LoadSample``: service, key, upstream id and seconds; ``busy`` is
    the number of its requests in progress at each upstream. ``owners`` maps a service to the
    version of its keys' owners that the host knows. ``needs_configuration``: the host could not
    read the newest configuration itself. ``address`` is where the host listens for links.
    """

    host_id: str
    address: str
    samples: list[tuple[str, int, str, float]]
    busy: dict[str, int]
    owners: dict[str, int]
    needs_configuration: bool


class OwnersPart(msgspec.Struct, array_like=True, kw_only=True, frozen=True):
    """Owners of a service's keys: all of them, or the spans changed since version ``base``.

    ``value`` is the JSON value of a ``KeyMap``; ``base`` is 0 if it is complete.
    """

    service: str
    base: int
    version: int
    value: dict[str, Any]


class RegistryPart(msgspec.Struct, array_like=True, kw_only=True, frozen=True):
    """All upstreams, or those changed since the part before."""

    complete: bool
    entries: list[UpstreamEntry]
    removed: list[str]


class State(msgspec.Struct, array_like=True, tag=True, kw_only=True, frozen=True):
    """What the coordinator believes. Parts that have not changed are ``None`` or empty.

    Ages are in seconds. ``member`` is the coordinator as in the row of the role, ``peers`` are the
    addresses of all linked hosts. ``busy`` lists upstreams whose slots are all taken, and all
    upstreams of services without keys. The configuration itself is only sent to a host that asks
    for it: that of a grown deployment takes hundreds of kilobytes, and the platform's link is wider
    than the coordinator's.
    """

    member: str
    role_version: int
    role_age_s: float
    hosts: int
    configuration_age_s: float
    registry_age_s: float
    configuration_version: int
    configuration: Configuration | None
    registry: RegistryPart | None
    owners: list[OwnersPart]
    busy: dict[str, int]
    peers: list[str]


class Redirect(msgspec.Struct, array_like=True, tag=True, kw_only=True, frozen=True):
    """The answer of a host that is not the coordinator, but linked to it.

    ``member`` and ``address`` are those of the coordinator, as in the row of the role, whose
    version was ``role_version`` when it was seen to change ``role_age_s`` seconds ago.
    """

    member: str
    address: str
    role_version: int
    role_age_s: float


_ENCODER = msgspec.msgpack.Encoder()
REPORTS = msgspec.msgpack.Decoder(Report)
ANSWERS = msgspec.msgpack.Decoder(State | Redirect)


class FrameStream:
    """Sends and receives length-prefixed messages. Errors are ``PeerError``."""

    def __init__(self, *, stream: trio.SocketStream, peer: str) -> None:
        self._stream = stream
        self._peer = peer
        self._buffer = bytearray()

    async def send(self, message: msgspec.Struct) -> None:
        """Send a message."""
        data = _ENCODER.encode(message)
        mark = 0
        if len(data) >= COMPRESSED_BYTES:
            data = zlib.compress(data, zlib.Z_BEST_SPEED)
            mark = _COMPRESSED
        try:
            await self._stream.send_all(_LENGTH.pack(len(data) | mark) + data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise PeerUnreachableError(
                "connection lost", step="links.send", peer=self._peer
            ) from exc

    async def receive(self, decoder: msgspec.msgpack.Decoder[Any]) -> Any:
        """Receive the next message."""
        (header,) = _LENGTH.unpack(await self._read(_LENGTH.size))
        length = header & ~_COMPRESSED
        if length > MAX_FRAME_BYTES:
            raise PeerProtocolError(
                f"a message of {length} bytes", step="links.receive", peer=self._peer
            )
        data = await self._read(length)
        try:
            if header & _COMPRESSED:
                data = zlib.decompressobj().decompress(data, MAX_FRAME_BYTES)
            return decoder.decode(data)
        except (msgspec.DecodeError, zlib.error) as exc:
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

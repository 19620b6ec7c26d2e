"""Messages between a host and the coordinator, and their framing.

They are encoded with msgspec, which also decodes the platform's JSON. Cap'n Proto, which the peer
protocol uses, would take another 3 MB on each of the small hosts.
"""

from __future__ import annotations

import struct
import zlib
from typing import Any

import msgspec
import trio

from acaciasaddle.errors import DECODING_ERRORS
from acaciasaddle.errors import PeerProtocolError
from acaciasaddle.errors import PeerUnreachableError
from acaciasaddle.fleet import UpstreamEntry
from acaciasaddle.routing import CallerLimits
from acaciasaddle.routing import Configuration
from acaciasaddle.routing import Route
from acaciasaddle.routing import Service

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""A configuration with a few thousand routes takes about 1 MB."""
RECEIVE_BYTES = 65_536
ROUTES_PER_SLICE = 1_000
"""Other tasks run each time that this many routes have been decoded, which takes about 2 ms."""
MIN_COMPRESSED_BYTES = 4_096
"""Messages of this size or more are compressed: the smallest hosts have links of 5 Mbit/s."""
_LENGTH = struct.Struct(">I")
_COMPRESSED_FLAG = 1 << 31
"""The bit of the length prefix that marks a compressed message."""


_ENCODER = msgspec.msgpack.Encoder()
NO_CONFIGURATION = msgspec.Raw(_ENCODER.encode(None))


class Report(msgspec.Struct, array_like=True, kw_only=True, frozen=True):
    """A host's samples since its last report, and what it knows and needs now.

    ``samples`` has the fields of ``LoadSample``: service, key, upstream id and seconds. ``busy`` is
    the number of the host's requests in progress at each upstream. ``owners`` maps each service to
    the version of its owners that the host knows. ``needs_configuration`` is true if the host asks
    for the configuration. ``address`` is where the host listens for links. ``leaving`` has the id
    and the start of the upstreams whose answers say that they leave. ``configuration_version`` is
    that of the host's configuration, 0 if it has none. ``configuration`` is encoded like that of a
    ``State``, and sent once each time that the coordinator asks for it.
    """

    host_id: str
    address: str
    samples: list[tuple[str, int, str, float]]
    busy: dict[str, int]
    owners: dict[str, int]
    needs_configuration: bool
    leaving: list[tuple[str, int]] = []
    configuration_version: int = 0
    configuration: msgspec.Raw = NO_CONFIGURATION


class OwnersPart(msgspec.Struct, array_like=True, kw_only=True, frozen=True):
    """All owners of a service's keys, or only the spans changed since version ``base``.

    ``value`` is the JSON value of a ``KeyMap``. ``base`` is 0 if the map is complete.
    """

    service: str
    base: int
    version: int
    value: dict[str, Any]


class RegistryPart(msgspec.Struct, array_like=True, kw_only=True, frozen=True):
    """All upstreams, or only those changed since the previous part.

    ``restored`` names those of ``entries`` that may be from the store's older copy.
    """

    complete: bool
    entries: list[UpstreamEntry]
    removed: list[str]
    restored: list[str] = []


class State(msgspec.Struct, array_like=True, tag=True, kw_only=True, frozen=True):
    """What the coordinator knows.

    ``registry``, ``owners`` and ``peers`` are ``None`` or empty if they have not changed.
    ``registry`` is also ``None`` if the coordinator read it too long ago. Ages are in seconds.
    ``member`` is the coordinator as in the row of the role. ``hosts`` is the largest number of
    hosts that were linked at one time, with the coordinator, and ``peers`` are the addresses of the
    coordinator and of all linked hosts. ``busy`` has the number of requests in progress at each
    upstream whose slots are all in use, and at each upstream of a service without keys. The
    configuration, encoded by ``encode_configuration``, is sent only to a host that asks for it, and
    ``NO_CONFIGURATION`` otherwise: in a large deployment it takes hundreds of kilobytes, and the
    platform has more bandwidth than the coordinator. ``registry_revision`` is
    the revision of the registry as the coordinator last read it, 0 if it is not known. ``granted``
    has the service and the fencing token of moves whose keys were granted since the last state.
    ``needs_configuration`` is true if the coordinator asks the host for its newer configuration.
    """

    member: str
    role_version: int
    role_age_s: float
    hosts: int
    configuration_age_s: float
    registry_age_s: float
    configuration_version: int
    configuration: msgspec.Raw
    registry: RegistryPart | None
    owners: list[OwnersPart]
    busy: dict[str, int]
    peers: list[str]
    registry_revision: int = 0
    granted: list[tuple[str, int]] = []
    needs_configuration: bool = False


class Redirect(msgspec.Struct, array_like=True, tag=True, kw_only=True, frozen=True):
    """Sent instead of a ``State`` by a host that is linked to the coordinator but lacks the role.

    ``member`` and ``address`` are the coordinator's, as in the row of the role. The row was last
    seen to change ``role_age_s`` seconds ago, to version ``role_version``.
    """

    member: str
    address: str
    role_version: int
    role_age_s: float


class _EncodedConfiguration(msgspec.Struct, kw_only=True):
    """A ``Configuration`` whose routes are not decoded."""

    version: int
    routes: list[msgspec.Raw]
    services: dict[str, Service]
    limits: CallerLimits


_CONFIGURATION_DECODER = msgspec.msgpack.Decoder(_EncodedConfiguration)
_ROUTE_DECODER = msgspec.msgpack.Decoder(Route)
REPORT_DECODER = msgspec.msgpack.Decoder(Report)
ANSWER_DECODER = msgspec.msgpack.Decoder(State | Redirect)


def encode_configuration(cfg: Configuration) -> msgspec.Raw:
    """Return a configuration as it is sent in a ``State`` or ``Report``."""
    return msgspec.Raw(_ENCODER.encode(cfg))


async def decode_configuration(encoded: msgspec.Raw, *, peer: str) -> Configuration:
    """Return the configuration of a message that has one. Other tasks run between its routes.

    Raises ``PeerProtocolError`` if it cannot be decoded.
    """
    await trio.lowlevel.checkpoint()
    routes: list[Route] = []
    try:
        raw = _CONFIGURATION_DECODER.decode(encoded)
        for route in raw.routes:
            if len(routes) % ROUTES_PER_SLICE == 0:
                await trio.lowlevel.checkpoint()
            routes.append(_ROUTE_DECODER.decode(route))
    except DECODING_ERRORS as exc:
        raise PeerProtocolError(str(exc), step="links.configuration", peer=peer) from exc
    return Configuration(
        version=raw.version, routes=tuple(routes), services=raw.services, limits=raw.limits
    )


class FrameStream:
    """Sends and receives length-prefixed messages. Failures raise ``PeerError``."""

    def __init__(self, *, stream: trio.SocketStream, peer: str) -> None:
        self._stream = stream
        self._peer = peer
        self._buffer = bytearray()

    async def send(self, message: msgspec.Struct) -> None:
        """Send a message."""
        try:
            data = _ENCODER.encode(message)
        except (OverflowError, ValueError) as exc:
            raise PeerProtocolError(
                f"the message cannot be encoded: {exc}", step="links.send", peer=self._peer
            ) from exc
        flag = 0
        if len(data) >= MIN_COMPRESSED_BYTES:
            # Encoding and compressing a configuration take milliseconds each.
            await trio.lowlevel.checkpoint()
            data = zlib.compress(data, zlib.Z_BEST_SPEED)
            flag = _COMPRESSED_FLAG
        try:
            await self._stream.send_all(_LENGTH.pack(len(data) | flag) + data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise PeerUnreachableError(
                "connection lost", step="links.send", peer=self._peer
            ) from exc

    async def receive(self, decoder: msgspec.msgpack.Decoder[Any]) -> Any:
        """Receive the next message."""
        (header,) = _LENGTH.unpack(await self._read(_LENGTH.size))
        length = header & ~_COMPRESSED_FLAG
        if length > MAX_FRAME_BYTES:
            raise PeerProtocolError(
                f"a message of {length} bytes is too long", step="links.receive", peer=self._peer
            )
        data = await self._read(length)
        try:
            if header & _COMPRESSED_FLAG:
                data = zlib.decompressobj().decompress(data, MAX_FRAME_BYTES)
                await trio.lowlevel.checkpoint()
            return decoder.decode(data)
        except (zlib.error, *DECODING_ERRORS) as exc:
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

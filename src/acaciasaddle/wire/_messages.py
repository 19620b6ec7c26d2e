"""Messages between entry hosts."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from acaciasaddle.model import Headers
from acaciasaddle.model import OnceRecord
from acaciasaddle.model import Row
from acaciasaddle.model import UnitId
from acaciasaddle.model import UpstreamId
from acaciasaddle.model import WorkRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class Message:
    """Base of all messages."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Hello(Message):
    """First message of the dialling side, and the answer to it."""

    member: str
    data_centre: str
    peer_address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat(Message):
    """Sent to partners every 80 ms, to others once a second.

    ``clock_us`` is the sender's clock reading in microseconds.
    """

    clock_us: int
    config_version: int
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatAck(Message):
    """Echoes the clock reading of a heartbeat. ``confirmed`` is false after a takeover."""

    echo_us: int
    confirmed: bool = field(metadata={"wire_name": "vouch"})
    config_version: int
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Rows(Message):
    """Rows of the table. With ``revision`` not 0 the mirror is complete up to it."""

    rows: tuple[Row, ...]
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class OpenWork(Message):
    """Begins a request on a new stream."""

    stream: int
    request: WorkRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkHead(Message):
    """Begins the answer."""

    stream: int
    status: int
    headers: Headers


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkData(Message):
    """A part of a body, at most 64 KiB, in either direction."""

    stream: int
    chunk: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkEnd(Message):
    """The body of this direction is complete."""

    stream: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkCredit(Message):
    """Allows the other side to send more bytes on a stream."""

    stream: int
    size: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkReset(Message):
    """Ends a stream early, in either direction."""

    stream: int
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkRefused(Message):
    """The request ended without an answer.

    ``outcome`` is an ``Outcome`` value. ``not_owner`` tells a ``NotOwnerError`` from a
    ``RefusedError``. ``retry_after_ms`` is -1 if a repeat would not help.
    """

    stream: int
    not_owner: bool
    outcome: str
    status: int
    reason: str
    step: str
    peer: str
    retry_after_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Call(Message):
    """Base of calls that expect a reply."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply(Message):
    """Base of replies."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Done(Reply):
    """The call was carried out."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Failed(Reply):
    """The call was not carried out."""

    reason: str
    step: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RowsSince(Call):
    """Asks for all rows whose revision is greater than ``revision``; answered with ``RowsPart``."""

    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RowsPart(Reply):
    """Rows of a peer's mirror that make another complete up to ``revision`` (0: not complete)."""

    rows: tuple[Row, ...]
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class KeepRows(Call):
    """From a holder to its successor: take these rows into the mirror before I act on them."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class KeepRecords(Call):
    """From a holder to its successor: keep records of requests that must run at most once.

    ``complete`` is true if these are all records of the upstream.
    """

    upstream: UpstreamId
    term: int
    records: tuple[OnceRecord, ...]
    complete: bool
    memory_since_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Release(Call):
    """From the holder of the previous owner to the holder of the new one.

    The units are no longer owned by ``previous``. ``epochs`` are the epochs of the assignments
    to the new owner, in the order of ``units``.
    """

    previous: UpstreamId
    upstream: UpstreamId
    units: tuple[UnitId, ...]
    epochs: tuple[int, ...]
    records: tuple[OnceRecord, ...]
    memory_since_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class AskRelease(Call):
    """From the holder of the new owner: send ``Release`` for these units once they are free."""

    previous: UpstreamId
    upstream: UpstreamId
    units: tuple[UnitId, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Handover(Call):
    """From a holder to its successor: I have stopped ordering the upstream; take over."""

    upstream: UpstreamId
    term: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TakenOver(Call):
    """From a successor to the former holder: I have taken over these upstreams; stop."""

    upstreams: tuple[UpstreamId, ...]
    terms: tuple[int, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class AskLoad(Call):
    """Asks a holder for the load of upstreams; answered with ``Loads``."""

    upstreams: tuple[UpstreamId, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Loads(Reply):
    """Slot time in use of the upstreams asked for, in thousandths.

    -1 if the upstream is not held here or its load has not settled after a move.
    """

    busy_permille: tuple[int, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class CallEnvelope(Message):
    """Carries a call on a connection."""

    call_id: int
    call: Call


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplyEnvelope(Message):
    """Carries the reply to a call. With ``more`` it is a ``RowsPart`` whose rows continue."""

    call_id: int
    reply: Reply
    more: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Part(Message):
    """A part of an encoded message that is larger than one part, in order, at most 64 KiB.

    Other messages may come between the parts, so that a large one does not delay heartbeats.
    """

    last: bool
    chunk: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Leaving(Message):
    """The sender stops: begin nothing new on this connection, and close it once it is idle."""

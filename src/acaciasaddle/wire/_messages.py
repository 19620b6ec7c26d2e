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
    """First message in each direction of a connection. The dialling side sends its own first."""

    member: str
    data_centre: str
    peer_address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat(Message):
    """Sent to partners every 80 ms, to a few other peers once a second, and as a probe.

    Partners are the members whose confirmation the sender needs. ``clock_us`` is the reading of the
    sender's clock in microseconds.
    """

    clock_us: int
    config_version: int
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatAck(Message):
    """Answer to a heartbeat. ``echo_us`` is the clock reading of the heartbeat.

    ``confirmed`` is false from the time the sender takes over upstreams of the receiver until the
    receiver has been notified or the takeover is abandoned.
    """

    echo_us: int
    confirmed: bool = field(metadata={"wire_name": "vouch"})
    config_version: int
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Rows(Message):
    """Pushed rows of the table.

    A ``revision`` other than 0 means that they make the receiver's mirror complete up to it.
    """

    rows: tuple[Row, ...]
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class OpenWork(Message):
    """Opens a stream and carries the request that is forwarded on it."""

    stream: int
    request: WorkRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkHead(Message):
    """Status and headers of the response."""

    stream: int
    status: int
    headers: Headers


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkData(Message):
    """A chunk of the request or response body, at most 64 KiB."""

    stream: int
    chunk: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkEnd(Message):
    """End of the body in this direction."""

    stream: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkCredit(Message):
    """Permits the other side to send more bytes on a stream."""

    stream: int
    size: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkReset(Message):
    """Aborts a stream; sent by either side."""

    stream: int
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkRefused(Message):
    """End of a request without a response.

    ``outcome`` is the value of an ``Outcome``. ``not_owner`` distinguishes a ``NotOwnerError`` from
    a ``RefusedError``. ``retry_after_ms`` is -1 if the error gives no time for a retry, which
    is always so for a ``NotOwnerError``.
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
    """Reply to a call that was carried out."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Failed(Reply):
    """Reply to a call that failed or was refused."""

    reason: str
    step: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RowsSince(Call):
    """Requests all rows whose revision is greater than ``revision``; the reply is ``RowsPart``."""

    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RowsPart(Reply):
    """Rows of a peer's mirror, in reply to ``RowsSince``.

    They make the receiver's mirror complete up to ``revision``, unless it is 0.
    """

    rows: tuple[Row, ...]
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class KeepRows(Call):
    """Sent by a holder to its successor, which applies the rows before the holder acts on them.

    It is also sent to a member that is being made successor.
    """

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class KeepRecords(Call):
    """Sent by a holder to its successor, which keeps the records of at-most-once requests.

    It is also sent to a member that is being made successor. ``complete`` is true if these are all
    the records of the upstream. ``memory_since_ms`` is the time in milliseconds since the epoch
    before which records may be missing.

    A former holder also sends it, with ``term`` 0, to the current holder, to hand on the results of
    requests that began before a handover.
    """

    upstream: UpstreamId
    term: int
    records: tuple[OnceRecord, ...]
    complete: bool
    memory_since_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Release(Call):
    """Sent by the holder of the previous owner to the holder of the new one.

    ``previous`` no longer serves the units. ``epochs`` are those of the assignments to the new
    owner, in the order of ``units``. Records from before ``memory_since_ms``, in milliseconds since
    the epoch, may be missing.
    """

    previous: UpstreamId
    upstream: UpstreamId
    units: tuple[UnitId, ...]
    epochs: tuple[int, ...]
    records: tuple[OnceRecord, ...]
    memory_since_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class AskRelease(Call):
    """Sent by the holder of the new owner to request ``Release`` of units once they are free."""

    previous: UpstreamId
    upstream: UpstreamId
    units: tuple[UnitId, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Handover(Call):
    """Sent by a holder to its successor, which takes over.

    The holder has stopped sending orders to the upstream.
    """

    upstream: UpstreamId
    term: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TakenOver(Call):
    """Sent by a successor that has taken over upstreams.

    The former holder gives them up, and the other live hosts route requests to the new holder.
    """

    upstreams: tuple[UpstreamId, ...]
    terms: tuple[int, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class AskLoad(Call):
    """Requests the load of upstreams from their holder; the reply is ``Loads``."""

    upstreams: tuple[UpstreamId, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Loads(Reply):
    """Loads of the requested upstreams, in the order of the request.

    A load is the fraction of the slot time in use, in thousandths. It is -1 if the host does not
    hold the upstream or cannot reach it, or if the load has not settled since the last move.
    """

    busy_permille: tuple[int, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class CallEnvelope(Message):
    """A call. Its reply carries the same ``call_id``."""

    call_id: int
    call: Call


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplyEnvelope(Message):
    """The reply to a call. If ``more`` is true, it is a ``RowsPart`` and further ones follow."""

    call_id: int
    reply: Reply
    more: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Part(Message):
    """A part, of at most 64 KiB, of a larger encoded message. Parts are sent in order.

    Other messages may come between the parts, so that a large message doesn't delay heartbeats.
    """

    last: bool
    chunk: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Leaving(Message):
    """Sent by a host that is stopping, on the connections that it accepted.

    The peer starts no new requests or calls on the connection, and closes it once none of its own
    is in progress there.
    """

"""Encoding of messages with Cap'n Proto.

An encoded message consists of one flag byte and a Cap'n Proto message. Control messages are packed,
which reduces a heartbeat from 72 bytes to between 20 and 25. Messages that carry bodies, rows,
records or parts of other messages are not packed: packing saves nothing there and takes 100 us for
64 KiB.
"""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import capnp

from acaciasaddle.errors import PeerProtocolError
from acaciasaddle.model import OnceRecord
from acaciasaddle.model import OnceState
from acaciasaddle.model import Row
from acaciasaddle.model import UnitId
from acaciasaddle.model import UpstreamId
from acaciasaddle.model import WorkRequest
from acaciasaddle.wire import _messages as messages
from acaciasaddle.wire._messages import CallEnvelope
from acaciasaddle.wire._messages import Message
from acaciasaddle.wire._messages import ReplyEnvelope

if TYPE_CHECKING:
    from acaciasaddle.wire._messages import Call
    from acaciasaddle.wire._messages import Reply

# The schema is loaded explicitly, since the import hook would search all of sys.path for *.capnp
# files.
capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name("peer.capnp")))

_UNPACKED = b"\x00"
_PACKED = b"\x01"

_NESTING_LIMIT = 16
_PACKED_LIMIT_WORDS = 131_072
"""1 MiB after unpacking. The size before unpacking is no bound: zeros shrink a thousandfold."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Field:
    """Wire name and converters of an attribute. Without converters the value is stored as is."""

    name: str
    wire_name: str
    to_wire: Callable[[Any, str, Any], None] | None
    from_wire: Callable[[Any], Any] | None


@dataclasses.dataclass(frozen=True, slots=True)
class _Variant:
    """A data class and its variant in the union of a Cap'n Proto struct.

    ``unpacked`` is true if messages with this variant are encoded without packing.
    """

    cls: type[Any]
    wire_name: str
    fields: tuple[_Field, ...]
    unpacked: bool


def _camel_case(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(part.capitalize() for part in rest)


def _flatten(headers: tuple[tuple[str, str], ...]) -> list[str]:
    return [text for pair in headers for text in pair]


def _unflatten(texts: Any) -> tuple[tuple[str, str], ...]:
    flat = list(texts)
    return tuple(zip(flat[::2], flat[1::2], strict=True))


def _row_to_wire(out: Any, row: Row) -> None:
    out.key = row.key
    out.version = row.version
    out.revision = row.revision
    out.value = json.dumps(row.value, separators=(",", ":"), allow_nan=False).encode()


def _row_from_wire(data: Any) -> Row:
    value = json.loads(data.value)
    if not isinstance(value, dict):
        raise ValueError("the value of a row is not a JSON object")
    return Row(key=data.key, version=data.version, revision=data.revision, value=value)


def _record_to_wire(out: Any, record: OnceRecord) -> None:
    out.unit = str(record.unit)
    out.caller = record.caller
    out.idempotencyKey = record.idempotency_key
    out.state = record.state.value
    out.ageMs = record.age_ms
    out.status = record.status
    out.headers = _flatten(record.headers)
    if record.body is not None:
        out.hasBody = True
        out.body = record.body


def _record_from_wire(data: Any) -> OnceRecord:
    return OnceRecord(
        unit=UnitId.parse(data.unit),
        caller=data.caller,
        idempotency_key=data.idempotencyKey,
        state=OnceState(data.state),
        age_ms=data.ageMs,
        status=data.status,
        headers=_unflatten(data.headers),
        body=data.body if data.hasBody else None,
    )


def _request_from_wire(data: Any) -> WorkRequest:
    return WorkRequest(**_read_fields(data, _REQUEST_FIELDS))


def _call_from_wire(data: Any) -> Any:
    return _read_union(data, _CALLS)


def _reply_from_wire(data: Any) -> Any:
    return _read_union(data, _REPLIES)


def _set_headers(out: Any, name: str, headers: tuple[tuple[str, str], ...]) -> None:
    setattr(out, name, _flatten(headers))


def _set_text(out: Any, name: str, value: object) -> None:
    setattr(out, name, str(value))


def _set_texts(out: Any, name: str, values: tuple[object, ...]) -> None:
    setattr(out, name, [str(value) for value in values])


def _set_ints(out: Any, name: str, values: tuple[int, ...]) -> None:
    setattr(out, name, list(values))


def _set_request(out: Any, name: str, req: WorkRequest) -> None:
    _write_fields(out.init(name), _REQUEST_FIELDS, req)


def _set_union(out: Any, name: str, value: Call | Reply) -> None:
    _write_union(out.init(name), value)


# Structs are filled in place, since assigning a finished struct would copy it.
def _set_rows(out: Any, name: str, rows: tuple[Row, ...]) -> None:
    for item, row in zip(out.init(name, len(rows)), rows, strict=True):
        _row_to_wire(item, row)


def _set_records(out: Any, name: str, records: tuple[OnceRecord, ...]) -> None:
    for item, record in zip(out.init(name, len(records)), records, strict=True):
        _record_to_wire(item, record)


_Converters = tuple[Callable[[Any, str, Any], None] | None, Callable[[Any], Any] | None]

_CONVERTERS: dict[str, _Converters] = {
    "int": (None, None),
    "bool": (None, None),
    "str": (None, None),
    "bytes": (None, None),
    "Headers": (_set_headers, _unflatten),
    "UnitId": (_set_text, UnitId.parse),
    "UpstreamId": (_set_text, UpstreamId.parse),
    "WorkRequest": (_set_request, _request_from_wire),
    "Call": (_set_union, _call_from_wire),
    "Reply": (_set_union, _reply_from_wire),
    "tuple[int, ...]": (_set_ints, tuple),
    "tuple[UnitId, ...]": (_set_texts, lambda texts: tuple(map(UnitId.parse, texts))),
    "tuple[UpstreamId, ...]": (_set_texts, lambda texts: tuple(map(UpstreamId.parse, texts))),
    "tuple[Row, ...]": (_set_rows, lambda rows: tuple(map(_row_from_wire, rows))),
    "tuple[OnceRecord, ...]": (_set_records, lambda recs: tuple(map(_record_from_wire, recs))),
}
"""Converters by annotation of the attribute. Another annotation causes a ``KeyError`` at import."""


def _fields(cls: type[Any]) -> tuple[_Field, ...]:
    """Return the fields of a data class; metadata may give another name on the wire."""
    return tuple(
        _Field(
            field.name,
            field.metadata.get("wire_name", _camel_case(field.name)),
            *_CONVERTERS[str(field.type)],
        )
        for field in dataclasses.fields(cls)
    )


def _variant(cls: type[Any], wire_name: str = "", *, unpacked: bool = False) -> _Variant:
    name = wire_name or cls.__name__[0].lower() + cls.__name__[1:]
    return _Variant(cls, name, _fields(cls), unpacked)


_REQUEST_FIELDS = _fields(WorkRequest)

_CALLS = {
    variant.wire_name: variant
    for variant in (
        _variant(messages.RowsSince),
        _variant(messages.KeepRows, unpacked=True),
        _variant(messages.KeepRecords, unpacked=True),
        _variant(messages.Release, unpacked=True),
        _variant(messages.AskRelease),
        _variant(messages.Handover),
        _variant(messages.TakenOver),
        _variant(messages.AskLoad),
    )
}

_REPLIES = {
    variant.wire_name: variant
    for variant in (
        _variant(messages.Done),
        _variant(messages.Failed),
        _variant(messages.RowsPart, unpacked=True),
        _variant(messages.Loads),
    )
}

_MESSAGES = {
    variant.wire_name: variant
    for variant in (
        _variant(messages.Hello),
        _variant(messages.Heartbeat),
        _variant(messages.HeartbeatAck),
        _variant(messages.Rows, unpacked=True),
        _variant(messages.OpenWork),
        _variant(messages.WorkHead),
        _variant(messages.WorkData, unpacked=True),
        _variant(messages.WorkEnd),
        _variant(messages.WorkCredit),
        _variant(messages.WorkReset),
        _variant(messages.WorkRefused),
        _variant(messages.CallEnvelope, "call"),
        _variant(messages.ReplyEnvelope, "reply"),
        _variant(messages.Part, unpacked=True),
        _variant(messages.Leaving),
    )
}

_VARIANTS = {
    variant.cls: variant
    for variants in (_CALLS, _REPLIES, _MESSAGES)
    for variant in variants.values()
}


def _write_fields(out: Any, fields: tuple[_Field, ...], value: Any) -> None:
    for field in fields:
        item = getattr(value, field.name)
        if field.to_wire is None:
            setattr(out, field.wire_name, item)
        else:
            field.to_wire(out, field.wire_name, item)


def _write_union(out: Any, value: Any) -> None:
    variant = _VARIANTS[type(value)]
    if not variant.fields:
        setattr(out, variant.wire_name, None)
        return
    _write_fields(out.init(variant.wire_name), variant.fields, value)


def _read_fields(data: Any, fields: tuple[_Field, ...]) -> dict[str, Any]:
    values = {}
    for field in fields:
        item = getattr(data, field.wire_name)
        values[field.name] = item if field.from_wire is None else field.from_wire(item)
    return values


def _read_union(data: Any, variants: dict[str, _Variant]) -> Any:
    variant = variants[str(data.which())]
    if not variant.fields:
        return variant.cls()
    return variant.cls(**_read_fields(getattr(data, variant.wire_name), variant.fields))


def _is_unpacked(message: Message) -> bool:
    if isinstance(message, CallEnvelope):
        return _VARIANTS[type(message.call)].unpacked
    if isinstance(message, ReplyEnvelope):
        return _VARIANTS[type(message.reply)].unpacked
    return _VARIANTS[type(message)].unpacked


def encode(message: Message) -> bytes:
    """Return the encoded message. Raises ``PeerProtocolError`` if a value cannot be encoded."""
    try:
        out = _SCHEMA.PeerMessage.new_message()
        _write_union(out, message)
        if _is_unpacked(message):
            return _UNPACKED + bytes(out.to_bytes())
        return _PACKED + bytes(out.to_bytes_packed())
    except Exception as exc:
        # pycapnp raises KjException, or other exceptions for values of a wrong type or range.
        raise PeerProtocolError(
            f"{type(message).__name__} cannot be encoded: {_reason(exc)}", step="wire.encode"
        ) from exc


def decode(data: bytes) -> Message:
    """Return the decoded message. Raises ``PeerProtocolError`` for any malformed data."""
    try:
        flag = data[:1]
        if flag == _PACKED:
            root = _SCHEMA.PeerMessage.from_bytes_packed(
                data[1:], _PACKED_LIMIT_WORDS, _NESTING_LIMIT
            )
            message = _read_union(root, _MESSAGES)
        elif flag == _UNPACKED:
            # Each field is read once. The limit is four times the size of the message plus 8 KiB,
            # which leaves room for lists, since they are counted twice.
            limit = len(data) // 2 + 1024
            with _SCHEMA.PeerMessage.from_bytes(
                data[1:], traversal_limit_in_words=limit, nesting_limit=_NESTING_LIMIT
            ) as root:
                message = _read_union(root, _MESSAGES)
        else:
            raise ValueError("the encoding flag is unknown")
    except Exception as exc:
        # Malformed data raises KjException, ValueError, UnicodeDecodeError or RecursionError,
        # depending on where it is detected. All of them become the same error.
        raise PeerProtocolError(
            f"a message of {len(data)} bytes is malformed: {_reason(exc)}", step="wire.decode"
        ) from exc
    if not isinstance(message, Message):
        raise PeerProtocolError("a message has an unknown type", step="wire.decode")
    return message


def _reason(exc: Exception) -> str:
    lines = str(exc).splitlines()
    return f"{type(exc).__name__}: {lines[0] if lines else ''}"

"""Steps of wire/codec.feature."""

from __future__ import annotations

import dataclasses
import itertools
import math
import random
from typing import TYPE_CHECKING
from typing import Any

import capnp
from behave import when

from acaciasaddle import model
from acaciasaddle import wire
from acaciasaddle.errors import AcaciasaddleError
from acaciasaddle.errors import PeerProtocolError
from acaciasaddle.model import OnceState
from acaciasaddle.model import Row
from acaciasaddle.model import UnitId
from acaciasaddle.model import UpstreamId

if TYPE_CHECKING:
    from collections.abc import Callable

NUMBERS = itertools.count(100)
UNITS = (UnitId("bookings", "default", 17), UnitId.pin("bookings", "default", "key/with/slashes"))
HEADERS = (("set-cookie", "a"), ("set-cookie", ""), ("x", "é"))


def sample_value(annotation: str, filled: bool) -> Any:
    """Return a value for an attribute. Numbers differ, so that swapped fields are detected."""
    simple: dict[str, tuple[Any, Any]] = {
        "int": (next(NUMBERS), 0),
        "str": (f"zoë\0{next(NUMBERS)}", ""),
        "bool": (True, False),
        "bytes": (bytes(range(256)), b""),
        "bytes | None": (b"", None),
        "OnceState": (OnceState.COMPLETED, OnceState.UNKNOWN),
        "Headers": (HEADERS, ()),
        "UnitId": (UNITS[1], UNITS[0]),
        "UpstreamId": (UpstreamId("bookings", "u-07"), UpstreamId("roster", "u-08")),
        "JsonObject": ({"a": [1, None, "ü\0", {}], "b": 2.5}, {}),
        "tuple[int, ...]": ((4, -(2**62)), ()),
        "tuple[UnitId, ...]": (UNITS, ()),
    }
    if annotation in simple:
        return simple[annotation][0 if filled else 1]
    if annotation.startswith("tuple["):
        item = annotation.removeprefix("tuple[").removesuffix(", ...]")
        return (sample_value(item, True), sample_value(item, False)) if filled else ()
    nested = {"Call": wire.TakenOver, "Reply": wire.Done}
    return sample(nested.get(annotation) or getattr(model, annotation), filled)


def sample(cls: type[Any], filled: bool) -> Any:
    """Return an instance with all attributes filled, or with all of them empty."""
    return cls(
        **{field.name: sample_value(field.type, filled) for field in dataclasses.fields(cls)}
    )


def subtypes(base: type[Any]) -> list[type[Any]]:
    """Return the exported subtypes of a base class."""
    types = [getattr(wire, name) for name in sorted(wire.__all__)]
    bases = (wire.Message, wire.Call, wire.Reply)
    return [x for x in types if isinstance(x, type) and issubclass(x, base) and x not in bases]


BOTH = (True, False)
CALLS = [sample(cls, filled) for cls in subtypes(wire.Call) for filled in BOTH]
REPLIES = [sample(cls, filled) for cls in subtypes(wire.Reply) for filled in BOTH]
MESSAGES = set(subtypes(wire.Message)) - set(subtypes(wire.Call)) - set(subtypes(wire.Reply))
SAMPLES = [
    *(sample(cls, filled) for cls in sorted(MESSAGES, key=str) for filled in BOTH),
    *(wire.CallEnvelope(call_id=i, call=call) for i, call in enumerate(CALLS)),
    *(wire.ReplyEnvelope(call_id=i, reply=reply) for i, reply in enumerate(REPLIES)),
]
ENCODED = [wire.encode(message) for message in SAMPLES]


def invalid_message(content: str) -> bytes:
    """Return an encoded message that ``wire.encode`` would not produce."""
    schema = capnp.load(str(wire.__path__[0]) + "/peer.capnp")
    out = schema.PeerMessage.new_message()
    if "row" in content:
        row = out.init("rows").init("rows", 1)[0]
        depth = 100_000
        row.value = b"[1]" if "list" in content else b'{"a":' + b"[" * depth + b"]" * depth + b"}"
    elif "headers" in content:
        out.init("workHead").headers = ["name"]
    elif "record" in content:
        record = out.init("call").init("call").init("keepRecords").init("records", 1)[0]
        record.unit, record.state = "a/b/1", "perhaps"
    return b"\0" + out.to_bytes()


def error_of(action: Callable[[], Any]) -> str:
    """Return type and step of the error that an action raises."""
    try:
        action()
    except AcaciasaddleError as exc:
        return f"{type(exc).__name__} {exc.step}"
    return "none"


def malformed(rng: random.Random, kind: str) -> bytes:
    """Return one input that is malformed, or by chance well-formed."""
    data = bytearray(rng.choice(ENCODED))
    if kind == "random bytes":
        return rng.randbytes(rng.randrange(120))
    if kind == "packed random bytes":
        return b"\1" + rng.randbytes(rng.randrange(120))
    if kind == "truncated samples":
        return bytes(data[: rng.randrange(len(data))])
    for _ in range(rng.randrange(1, 4)):
        data[rng.randrange(len(data))] = rng.randrange(256)
    return bytes(data)


class CodecSteps:
    """Guards against lost fields, and against input that stops the reader task."""

    @staticmethod
    @when("the codec encodes and decodes samples of every message, call and reply type")
    def round_trip(context: Any) -> None:
        assert len(SAMPLES) >= 2 * (len(MESSAGES) + 7 + 3)
        changed = [x for x in SAMPLES if wire.decode(wire.encode(x)) != x]
        context.results = {"samples changed": changed}

    @staticmethod
    @when("the codec decodes {count:d} inputs of {kind} with seed {seed:d}")
    def fuzz(context: Any, count: int, kind: str, seed: int) -> None:
        rng = random.Random(seed)
        context.results = {"other errors": [], "protocol errors": 0}
        for _ in range(count):
            data = malformed(rng, kind)
            try:
                wire.decode(data)
            except PeerProtocolError:
                context.results["protocol errors"] += 1
            except BaseException as exc:
                context.results["other errors"].append((data, exc))

    @staticmethod
    @when("the codec decodes {content}")
    def decode_content(context: Any, content: str) -> None:
        if content == "an empty frame":
            data = b""
        elif "zeros" in content:
            # Meant as one segment of 8 Mi words, then runs of 256 zero words. The tag 0x50 makes it
            # a segment of 128 words that is refused for a pointer outside it; 0x40 would be right.
            data = b"\1" + b"\x50\x80" + b"\x00\xff" * 32_768
        else:
            data = invalid_message(content)
        context.results = {"error": error_of(lambda: wire.decode(data))}

    @staticmethod
    @when("the codec encodes {value}")
    def encode_value(context: Any, value: str) -> None:
        message: wire.Message = wire.WorkHead(stream=1, status=70_000, headers=())
        if "surrogate" in value:
            message = wire.WorkHead(stream=1, status=200, headers=(("a", "\ud800"),))
        elif "NaN" in value:
            row = Row(key="k", version=1, revision=1, value={"a": math.nan})
            message = wire.Rows(rows=(row,), revision=0)
        context.results = {"error": error_of(lambda: wire.encode(message))}

"""Steps of codec.feature."""

from __future__ import annotations

import json
import random
from typing import Any

import capnp
from behave import given
from behave import then
from behave import when
from peers_support import REQUEST
from peers_support import table_rows

from acaciasaddle import wire
from acaciasaddle.errors import PeerProtocolError
from acaciasaddle.model import OnceRecord
from acaciasaddle.model import OnceState
from acaciasaddle.model import Row
from acaciasaddle.model import UnitId
from acaciasaddle.model import UpstreamId

UP = UpstreamId("bookings", "u-07")
UNIT = UnitId("bookings", "default", 17)
RECORD = OnceRecord(unit=UNIT, caller="c", idempotency_key="k", state=OnceState.STARTED)
RECORDS = (
    RECORD,
    OnceRecord(
        unit=UnitId.pin("bookings", "default", "key/with/slashes"),
        caller="zoë",
        idempotency_key="0190c2d8-7a4f-7b1e-9d61-0b3c8f2a1e55",
        state=OnceState.COMPLETED,
        age_ms=12,
        status=200,
        headers=(("a", ""), ("a", "b")),
        body=b"",
    ),
    OnceRecord(
        unit=UNIT, caller="", idempotency_key="", state=OnceState.UNKNOWN, body=b"\0\xff" * 9
    ),
)
ROWS = (*table_rows(2, 10), Row(key="é", version=2**62, revision=0, value={"a": [1, None, "ü\0"]}))
CALLS = (
    wire.RowsSince(revision=-1),
    wire.KeepRows(rows=ROWS),
    wire.KeepRecords(upstream=UP, term=3, records=RECORDS, complete=True, memory_since_ms=-5),
    wire.Release(
        previous=UP,
        upstream=UpstreamId("bookings", "u-08"),
        units=(UNIT, RECORDS[1].unit),
        epochs=(4, 5),
        records=RECORDS,
        memory_since_ms=7,
    ),
    wire.AskRelease(previous=UP, upstream=UP, units=(UNIT,)),
    wire.Handover(upstream=UP, term=9),
    wire.TakenOver(upstreams=(UP, UP), terms=(1, 2)),
)
REPLIES = (
    wire.Done(),
    wire.Failed(reason="no", step="peer.call"),
    wire.RowsPart(rows=ROWS, revision=5),
    wire.RowsPart(rows=(), revision=0),
)
SAMPLES: tuple[wire.Message, ...] = (
    wire.Hello(member="a@1", data_centre="tshwane-north", peer_address="127.0.0.1:7"),
    wire.Heartbeat(clock_us=2**50, config_version=3, revision=4),
    wire.HeartbeatAck(echo_us=1, vouch=True, config_version=3, revision=4),
    wire.Rows(rows=ROWS, revision=8),
    wire.OpenWork(stream=2**40, request=REQUEST),
    wire.WorkHead(stream=1, status=200, headers=(("set-cookie", "a"), ("set-cookie", "b"))),
    wire.WorkData(stream=1, chunk=bytes(range(256)) * 64),
    wire.WorkEnd(stream=1),
    wire.WorkCredit(stream=1, size=65_536),
    wire.WorkReset(stream=1, reason="cancelled"),
    wire.WorkRefused(
        stream=1,
        not_owner=False,
        outcome="unknown",
        status=504,
        reason="r",
        step="s",
        peer="p",
        retry_after_ms=-1,
    ),
    *(wire.CallEnvelope(call_id=i, call=call) for i, call in enumerate(CALLS)),
    *(wire.ReplyEnvelope(call_id=i, reply=reply) for i, reply in enumerate(REPLIES)),
    wire.ReplyEnvelope(call_id=9, reply=REPLIES[2], more=True),
    wire.Part(chunk=b"abc", last=False),
    wire.Leaving(),
)


def exported(base: type[Any]) -> set[type[Any]]:
    """Return the types that the package exports below a base."""
    types = {getattr(wire, name) for name in wire.__all__}
    return {cls for cls in types if isinstance(cls, type) and issubclass(cls, base)} - {base}


def hand_made(content: str) -> bytes:
    """Return an encoded message that the codec's own ``encode`` would not make."""
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


class CodecSteps:
    """Guards against lost fields and against input that stops the reader task."""

    @staticmethod
    @given("the codec's samples of every message, call and reply type")
    def samples(context: Any) -> None:
        types = {type(sample) for sample in (*SAMPLES, *CALLS, *REPLIES)}
        missing = exported(wire.Message) - types - {wire.Call, wire.Reply}
        assert not missing, missing

    @staticmethod
    @when("the codec encodes and decodes each sample")
    def round_trip(context: Any) -> None:
        context.decoded = [wire.decode(wire.encode(sample)) for sample in SAMPLES]

    @staticmethod
    @then("the codec returns each sample unchanged")
    def unchanged(context: Any) -> None:
        for sample, decoded in zip(SAMPLES, context.decoded, strict=True):
            assert sample == decoded, (sample, decoded)

    @staticmethod
    @when("the codec decodes {count:d} inputs of {kind} with seed {seed:d}")
    def fuzz(context: Any, count: int, kind: str, seed: int) -> None:
        rng = random.Random(seed)
        encoded = [wire.encode(sample) for sample in SAMPLES]
        context.refused = 0
        context.others = []
        for _ in range(count):
            if kind == "random bytes":
                data = rng.randbytes(rng.randrange(120))
            elif kind == "packed random bytes":
                data = b"\1" + rng.randbytes(rng.randrange(120))
            elif kind == "truncated samples":
                sample = rng.choice(encoded)
                data = sample[: rng.randrange(len(sample))]
            else:
                changed = bytearray(rng.choice(encoded))
                for _ in range(rng.randrange(1, 4)):
                    changed[rng.randrange(len(changed))] = rng.randrange(256)
                data = bytes(changed)
            try:
                wire.decode(data)
            except PeerProtocolError:
                context.refused += 1
            except BaseException as exc:
                context.others.append((data, exc))

    @staticmethod
    @then("the codec raised only protocol errors")
    def only_protocol_errors(context: Any) -> None:
        assert not context.others, context.others[:3]
        assert context.refused > 0

    @staticmethod
    @when("the codec decodes {content}")
    def decode_content(context: Any, content: str) -> None:
        if content == "an empty frame":
            data = b""
        elif "zeros" in content:
            # One segment of 8 Mi words, then runs of 256 zero words.
            data = b"\1" + b"\x50\x80" + b"\x00\xff" * 32_768
        else:
            data = hand_made(content)
        context.attempt = lambda: wire.decode(data)

    @staticmethod
    @when("the codec encodes {value}")
    def encode_value(context: Any, value: str) -> None:
        message: wire.Message = wire.WorkHead(stream=1, status=70_000, headers=())
        if "surrogate" in value:
            message = wire.WorkHead(stream=1, status=200, headers=(("a", "\ud800"),))
        elif "NaN" in value:
            row = Row(key="k", version=1, revision=1, value={"a": json.loads("NaN")})
            message = wire.Rows(rows=(row,), revision=0)
        context.attempt = lambda: wire.encode(message)

    @staticmethod
    @then("the codec raises a protocol error")
    def protocol_error(context: Any) -> None:
        try:
            context.attempt()
        except PeerProtocolError as exc:
            assert exc.step.startswith("wire."), exc.step
            return
        raise AssertionError("no error was raised")

"""Messages between entry hosts and their encoding."""

from __future__ import annotations

from acaciasaddle.wire._codec import decode
from acaciasaddle.wire._codec import encode
from acaciasaddle.wire._frames import MAX_FRAME_BYTES
from acaciasaddle.wire._frames import MAX_MESSAGE_BYTES
from acaciasaddle.wire._frames import PART_BYTES
from acaciasaddle.wire._frames import FrameStream
from acaciasaddle.wire._frames import PartAssembler
from acaciasaddle.wire._frames import split_message
from acaciasaddle.wire._messages import AskLoad
from acaciasaddle.wire._messages import AskRelease
from acaciasaddle.wire._messages import Call
from acaciasaddle.wire._messages import CallEnvelope
from acaciasaddle.wire._messages import Done
from acaciasaddle.wire._messages import Failed
from acaciasaddle.wire._messages import Handover
from acaciasaddle.wire._messages import Heartbeat
from acaciasaddle.wire._messages import HeartbeatAck
from acaciasaddle.wire._messages import Hello
from acaciasaddle.wire._messages import KeepRecords
from acaciasaddle.wire._messages import KeepRows
from acaciasaddle.wire._messages import Leaving
from acaciasaddle.wire._messages import Loads
from acaciasaddle.wire._messages import Message
from acaciasaddle.wire._messages import OpenWork
from acaciasaddle.wire._messages import Part
from acaciasaddle.wire._messages import Release
from acaciasaddle.wire._messages import Reply
from acaciasaddle.wire._messages import ReplyEnvelope
from acaciasaddle.wire._messages import Rows
from acaciasaddle.wire._messages import RowsPart
from acaciasaddle.wire._messages import RowsSince
from acaciasaddle.wire._messages import TakenOver
from acaciasaddle.wire._messages import WorkCredit
from acaciasaddle.wire._messages import WorkData
from acaciasaddle.wire._messages import WorkEnd
from acaciasaddle.wire._messages import WorkHead
from acaciasaddle.wire._messages import WorkRefused
from acaciasaddle.wire._messages import WorkReset

__all__ = [
    "MAX_FRAME_BYTES",
    "MAX_MESSAGE_BYTES",
    "PART_BYTES",
    "AskLoad",
    "AskRelease",
    "Call",
    "CallEnvelope",
    "Done",
    "Failed",
    "FrameStream",
    "Handover",
    "Heartbeat",
    "HeartbeatAck",
    "Hello",
    "KeepRecords",
    "KeepRows",
    "Leaving",
    "Loads",
    "Message",
    "OpenWork",
    "Part",
    "PartAssembler",
    "Release",
    "Reply",
    "ReplyEnvelope",
    "Rows",
    "RowsPart",
    "RowsSince",
    "TakenOver",
    "WorkCredit",
    "WorkData",
    "WorkEnd",
    "WorkHead",
    "WorkRefused",
    "WorkReset",
    "decode",
    "encode",
    "split_message",
]

"""Messages between entry hosts and their encoding."""

from __future__ import annotations

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
from acaciasaddle.wire._messages import Message
from acaciasaddle.wire._messages import OpenWork
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
    "AskRelease",
    "Call",
    "CallEnvelope",
    "Done",
    "Failed",
    "Handover",
    "Heartbeat",
    "HeartbeatAck",
    "Hello",
    "KeepRecords",
    "KeepRows",
    "Message",
    "OpenWork",
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
]

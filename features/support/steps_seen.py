"""Names of the steps at which a fault can strike, read off what is sent and received."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from acaciasaddle.wire import CallEnvelope
from acaciasaddle.wire import ReplyEnvelope
from acaciasaddle.wire import decode

if TYPE_CHECKING:
    from collections.abc import Iterator

    from features.support.network import Pipe

PREFIX_BYTES = 4
CONTROL = {b"POST /grant": "grant", b"GET /health": "health", b"DELETE /requests": "cancel"}
METHODS = (b"GET ", b"POST ", b"PUT ")


@dataclass(frozen=True, slots=True, kw_only=True)
class StepEvent:
    """Something that a host or an upstream is about to do, or has just received."""

    name: str
    actor: str
    other: str


def _messages(data: bytes) -> Iterator[str]:
    at = 0
    while at + PREFIX_BYTES <= len(data):
        size = int.from_bytes(data[at : at + PREFIX_BYTES], "little")
        message = decode(data[at + PREFIX_BYTES : at + PREFIX_BYTES + size])
        at += PREFIX_BYTES + size
        if isinstance(message, CallEnvelope):
            yield f"call {type(message.call).__name__}"
        elif isinstance(message, ReplyEnvelope):
            yield f"reply {type(message.reply).__name__}"
        else:
            yield type(message).__name__


class StepNames:
    """Names what passes on pipes between hosts, and between hosts and upstreams."""

    def __init__(self, upstreams: frozenset[str]) -> None:
        self._upstreams = upstreams
        self._asked: dict[int, str] = {}

    def sent(self, pipe: Pipe, data: bytes) -> list[StepEvent]:
        """Return the steps of sending ``data``."""
        return self._events(pipe, data, pipe.source, pipe.target, "sends")

    def received(self, pipe: Pipe, data: bytes) -> list[StepEvent]:
        """Return the steps of having received ``data``."""
        return self._events(pipe, data, pipe.target, pipe.source, "receives")

    def _events(
        self, pipe: Pipe, data: bytes, actor: str, other: str, verb: str
    ) -> list[StepEvent]:
        if pipe.target in self._upstreams:
            names = [self._request(pipe, data)]
        elif pipe.source in self._upstreams:
            names = [f"answer to {self._asked.get(id(pipe.reverse), 'work')}"]
            if not data.startswith(b"HTTP/"):
                names = []
        else:
            names = list(_messages(data))
        who = "upstream" if actor in self._upstreams else "host"
        return [
            StepEvent(name=f"{who} {verb} {name}", actor=actor, other=other)
            for name in names
            if name
        ]

    def _request(self, pipe: Pipe, data: bytes) -> str:
        for start, name in CONTROL.items():
            if data.startswith(start):
                self._asked[id(pipe)] = name
                return name
        if data.startswith(METHODS):
            self._asked[id(pipe)] = "work"
            return "work"
        return ""

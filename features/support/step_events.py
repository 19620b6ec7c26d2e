"""Steps at which faults are injected; those of the network are named by their data."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from acaciasaddle.wire import CallEnvelope
from acaciasaddle.wire import ReplyEnvelope
from acaciasaddle.wire import decode

if TYPE_CHECKING:
    from collections.abc import Iterator

    from features.support.network import Pipe

LENGTH_PREFIX_BYTES = 4
CONTROL_REQUESTS = {
    b"POST /grant": "grant",
    b"GET /health": "health",
    b"DELETE /requests": "cancel",
}
WORK_METHODS = (b"GET ", b"POST ", b"PUT ")


@dataclass(frozen=True, slots=True, kw_only=True)
class StepEvent:
    """Something that ``actor``, a host or an upstream, is about to do or has just done.

    ``counterpart`` is the other end: a host, an upstream or the store.
    """

    name: str
    actor: str
    counterpart: str


def _message_names(data: bytes) -> Iterator[str]:
    offset = 0
    while offset + LENGTH_PREFIX_BYTES <= len(data):
        size = int.from_bytes(data[offset : offset + LENGTH_PREFIX_BYTES], "little")
        message = decode(data[offset + LENGTH_PREFIX_BYTES : offset + LENGTH_PREFIX_BYTES + size])
        offset += LENGTH_PREFIX_BYTES + size
        if isinstance(message, CallEnvelope):
            yield f"call {type(message.call).__name__}"
        elif isinstance(message, ReplyEnvelope):
            yield f"reply {type(message.reply).__name__}"
        else:
            yield type(message).__name__


class StepNames:
    """Names the steps on pipes between hosts, and between hosts and upstreams, by their data."""

    def __init__(self, upstreams: frozenset[str]) -> None:
        self._upstreams = upstreams
        self._request_names: dict[int, str] = {}

    def sent(self, pipe: Pipe, data: bytes) -> list[StepEvent]:
        """Return the steps of sending ``data``."""
        return self._step_events(pipe, data, pipe.source, pipe.target, "sends")

    def received(self, pipe: Pipe, data: bytes) -> list[StepEvent]:
        """Return the steps of having received ``data``."""
        return self._step_events(pipe, data, pipe.target, pipe.source, "receives")

    def _step_events(
        self, pipe: Pipe, data: bytes, actor: str, counterpart: str, verb: str
    ) -> list[StepEvent]:
        if pipe.target in self._upstreams:
            names = [self._request_name(pipe, data)]
        elif pipe.source in self._upstreams:
            names = [f"answer to {self._request_names.get(id(pipe.reverse), 'work')}"]
            if not data.startswith(b"HTTP/"):
                names = []
        else:
            names = list(_message_names(data))
        actor_kind = "upstream" if actor in self._upstreams else "host"
        return [
            StepEvent(name=f"{actor_kind} {verb} {name}", actor=actor, counterpart=counterpart)
            for name in names
            if name
        ]

    def _request_name(self, pipe: Pipe, data: bytes) -> str:
        for start, name in CONTROL_REQUESTS.items():
            if data.startswith(start):
                self._request_names[id(pipe)] = name
                return name
        if data.startswith(WORK_METHODS):
            self._request_names[id(pipe)] = "work"
            return "work"
        return ""

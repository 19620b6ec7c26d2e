"""The way of one request, and the changes of belief that decided it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from acaciasaddle.explain._logs import LogLine

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence


FINAL_EVENT = "[forward] request"
MOVE_EVENT = "[coordinator] keys move"
BELIEF_LINES = 6
"""Lines about an upstream or a host's dependencies that are shown before the outcome."""
CLOCK_SKEW_S = 2.0
"""Lines of other hosts count as earlier than the outcome up to this much after it."""
UPSTREAM_EVENTS = ("[fleet]", "[coordinator] upstream", "[forward] send failed")
DEPENDENCY_EVENTS = ("[watch]", "[links]", "[node]", "[coordinator] role")


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestStory:
    """``steps`` are the lines of the request in their order, the last one with its outcome.

    ``move`` is the latest move of its key, ``upstream`` are lines about the upstream that it was
    sent to, and ``dependencies`` those of its host about the store, the coordinator and itself.
    """

    request: str
    steps: tuple[LogLine, ...]
    move: tuple[LogLine, ...]
    upstream: tuple[LogLine, ...]
    dependencies: tuple[LogLine, ...]

    @property
    def outcome(self) -> LogLine | None:
        """The line with the outcome, if the host wrote it."""
        last = self.steps[-1] if self.steps else None
        return last if last is not None and last.event == FINAL_EVENT else None


def explain_from_logs(request: str, lines: Sequence[LogLine]) -> RequestStory:
    """Return what the lines tell of a request. ``steps`` is empty if they do not have it."""
    steps = sorted(
        (line for line in lines if line.fields.get("request") == request),
        key=lambda line: (line.event == FINAL_EVENT, line.at, line.number),
    )
    if not steps:
        return RequestStory(request=request, steps=(), move=(), upstream=(), dependencies=())
    last = steps[-1]
    own = [line for line in lines if line.host == last.host and line.at <= last.at]
    upstream_ids = {line.fields.get("upstream") for line in steps} - {None, ""}
    return RequestStory(
        request=request,
        steps=tuple(steps),
        move=_latest_move(last.fields, lines),
        upstream=_latest(
            lines,
            lambda line: (
                line.event.startswith(UPSTREAM_EVENTS)
                and line.at <= last.at + CLOCK_SKEW_S
                and line.fields.get("upstream") in upstream_ids
                and line.fields.get("request") != request
            ),
        ),
        dependencies=_latest(own, lambda line: line.event.startswith(DEPENDENCY_EVENTS)),
    )


def _latest(lines: Sequence[LogLine], wanted: Callable[[LogLine], bool]) -> tuple[LogLine, ...]:
    found = sorted(filter(wanted, lines), key=lambda line: (line.at, line.number))
    return tuple(found[-BELIEF_LINES:])


def _latest_move(request: Any, lines: Sequence[LogLine]) -> tuple[LogLine, ...]:
    """Return the lines about the latest move of the request's key, by its fencing token.

    The order of moves is that of their tokens, whatever the clocks say.
    """
    key, service = request.get("key"), request.get("service")
    if key is None:
        return ()
    moves = [
        line
        for line in lines
        if line.event == MOVE_EVENT
        and line.fields.get("service") == service
        and line.fields.get("first", 0) <= key <= line.fields.get("last", -1)
        and line.fields.get("version", 0) <= request.get("owners", float("inf"))
    ]
    if not moves:
        return ()
    fence = max(line.fields.get("fence", 0) for line in moves)
    return tuple(
        line
        for line in lines
        if line.fields.get("fence") == fence and line.event.startswith("[coordinator]")
    )

"""The steps of a request, and the logged events that explain its outcome."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from acaciasaddle.explain._logs import LogLine

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence


OUTCOME_EVENT = "[forward] request"
MOVE_EVENT = "[coordinator] keys move"
MAX_CONTEXT_LINES = 6
"""Maximum number of lines about the upstreams, and likewise about the host's dependencies."""
CLOCK_SKEW_S = 2.0
"""Lines about the upstreams are included up to this long after the outcome, as clocks differ."""
UPSTREAM_EVENTS = ("[fleet]", "[coordinator] upstream", "[forward] send failed")
RESTORE_EVENTS = (
    "[store] the store came back from an older copy",
    "[fleet] the store came back from an older copy",
)
RESTORE_EFFECT_S = 15.0
"""After the store came back from an older copy, keys may have no owner until all leases that were
granted before have ended, 12.65 s, and are then granted again."""
DEPENDENCY_EVENTS = (
    "[watch]",
    "[links]",
    "[node]",
    "[store]",
    "[coordinator] role",
    *RESTORE_EVENTS,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestExplanation:
    """The log lines that explain the outcome of a request.

    ``steps`` are the lines of the request by time, with its outcome last. ``move`` has the lines
    about the latest move of its key, ``upstream`` those about the upstreams that it was sent to,
    and ``dependencies`` those of its host about the store, links to other hosts, the coordinator
    role and the host itself. ``restore`` is the line which says that the store came back from an
    older copy shortly before the request failed, if there is one.
    """

    request: str
    steps: tuple[LogLine, ...]
    move: tuple[LogLine, ...]
    upstream: tuple[LogLine, ...]
    dependencies: tuple[LogLine, ...]
    restore: LogLine | None = None

    @property
    def outcome(self) -> LogLine | None:
        """The line with the outcome, or ``None`` if the logs do not have it."""
        last = self.steps[-1] if self.steps else None
        return last if last is not None and last.event == OUTCOME_EVENT else None


def explain_from_logs(request: str, lines: Sequence[LogLine]) -> RequestExplanation:
    """Return the explanation of a request. ``steps`` is empty if no line is about it."""
    steps = sorted(
        (line for line in lines if line.fields.get("request") == request),
        key=lambda line: (line.event == OUTCOME_EVENT, line.at, line.number),
    )
    if not steps:
        return RequestExplanation(request=request, steps=(), move=(), upstream=(), dependencies=())
    last = steps[-1]
    host_lines = [line for line in lines if line.host == last.host and line.at <= last.at]
    upstream_ids = {line.fields.get("upstream") for line in steps} - {None, ""}
    return RequestExplanation(
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
        dependencies=_latest(host_lines, lambda line: line.event.startswith(DEPENDENCY_EVENTS)),
        restore=_latest_restore(last, host_lines),
    )


def _latest_restore(last: LogLine, host_lines: Sequence[LogLine]) -> LogLine | None:
    """Return the first line of the latest restore that may have made the request fail.

    A request without a status has not been answered.
    """
    if last.event == OUTCOME_EVENT and 200 <= last.fields.get("status", 0) < 400:
        return None
    found = [
        line
        for line in host_lines
        if line.event in RESTORE_EVENTS and last.at - line.at <= RESTORE_EFFECT_S
    ]
    newest = max((line.fields.get("era", 0) for line in found), default=0)
    latest = [line for line in found if line.fields.get("era", 0) == newest]
    return min(latest, key=lambda line: (line.at, line.number), default=None)


def _latest(lines: Sequence[LogLine], predicate: Callable[[LogLine], bool]) -> tuple[LogLine, ...]:
    found = sorted(filter(predicate, lines), key=lambda line: (line.at, line.number))
    return tuple(found[-MAX_CONTEXT_LINES:])


def _latest_move(fields: Any, lines: Sequence[LogLine]) -> tuple[LogLine, ...]:
    """Return the lines about the latest move of the request's key.

    Moves are ordered by their fencing tokens, since the clocks of hosts may differ. A move is
    ignored if its ``version`` is higher than ``owners``, the version of the owners that the
    request's host knew. Fencing tokens are unique within a service: lines that name another service
    are left out, but those that name none may be about another one's move.
    """
    key, service = fields.get("key"), fields.get("service")
    if key is None:
        return ()
    moves = [
        line
        for line in lines
        if line.event == MOVE_EVENT
        and line.fields.get("service") == service
        and line.fields.get("first", 0) <= key <= line.fields.get("last", -1)
        and line.fields.get("version", 0) <= fields.get("owners", float("inf"))
    ]
    if not moves:
        return ()
    fence = max(line.fields.get("fence", 0) for line in moves)
    return tuple(
        line
        for line in lines
        if line.fields.get("fence") == fence
        and line.fields.get("service", service) == service
        and line.event.startswith("[coordinator]")
    )

"""Check of a soak for requests that are lost around planned work."""

from __future__ import annotations

import signal
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from acaciasaddle.emulator.soak._callers import EXTRA_WAIT_S
from acaciasaddle.emulator.soak._faults import RELOAD
from acaciasaddle.emulator.soak._records import Record

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Sequence

GRACE_S = 6.0
"""Time between the signal to stop and a kill, as in the node's settings."""
STOP_LIMIT_S = GRACE_S + 1.0
EARLY_S = 3.0
"""A request that was sent within this time of the signal may be broken off in the last sixth of the
grace time, if its upstream is still at work on it."""
LOST_S = 0.2
"""A request that reached no upstream and whose connection closes later than this was read."""
CONFIGURATION_S = 2.0
"""Time in which a change takes effect, of the configuration as of the settings."""
AFTER_CHANGE_S = CONFIGURATION_S + 1.0
TOUCH_S = 3.0
"""Time after an unplanned fault in which requests may still be lost because of it."""
USED_BESIDE_CHANGE = 0.7
"""A request that has used this share of its time may be cut beside a change."""
MAX_RATIO_BESIDE_CHANGE = 3.0
"""Beside changes, a host may cut this many times as many of its requests as at other times."""
MAX_CUT_AT_ANY_TIME = 3
"""Requests on kept connections that hosts may pass on and then cut, at any time."""
OWN_FAILURES = (502, 504)
"""Statuses that only a host answers with; upstreams use none of them."""
PLANNED = ("stop", RELOAD, "change")


@dataclass(slots=True)
class _Evidence:
    """What the records say about hosts by name, and about requests by id."""

    others: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    stops: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    reloads: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    changes: list[tuple[float, float]] = field(default_factory=list)
    faults: list[Record] = field(default_factory=list)
    runs: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    reached: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    ended: dict[str, float] = field(default_factory=dict)
    lives_ended: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    delays: list[tuple[float, float]] = field(default_factory=list)

    @classmethod
    def collect(cls, records: Sequence[Record]) -> _Evidence:
        found = cls()
        for record in records:
            kind, at = record["kind"], record["at"]
            if kind == "signalled":
                signals = found.stops if record["signum"] == signal.SIGTERM else found.others
                signals[record["name"]].append(at)
            elif kind == "dead":
                found.lives_ended[record["upstream"]].append(at)
            elif kind == "reloaded":
                found.reloads[record["name"]].append(at)
            elif kind == "configured":
                found.changes.append((record["started"], at))
            elif kind == "fault" and record["name"] not in PLANNED:
                found.faults.append(record)
            elif kind in ("arrived", "run"):
                found.runs[record["id"]] += kind == "run"
                found.reached[record["id"]].add(record["life"].partition("@")[0])
            elif kind == "ended":
                found.ended[record["id"]] = at
            elif kind == "delayed":
                found.delays.append((at - record["late_s"], at))
        return found

    def is_cut(self, attempt: Record) -> bool:
        """Return whether a host took a request and closed its connection without an answer."""
        if attempt["status"] or attempt["sent"] is None:
            return False
        sent, closed = attempt["sent"], attempt["at"]
        # While the callers' process is late, it sees a connection close later than it did.
        late_s = sum(end - start for start, end in self.delays if sent <= end and start <= closed)
        return attempt["id"] in self.reached or closed - sent - late_s > LOST_S

    def is_replaced(self, attempt: Record) -> bool:
        """Return whether a host answered for an upstream at work on a request with time left."""
        if attempt["status"] not in OWN_FAILURES or attempt["sent"] is None:
            return False
        sent, answered, request_id = attempt["sent"], attempt["at"], attempt["id"]
        is_at_work = self.runs.get(request_id) and self.ended.get(request_id, answered) >= answered
        return bool(is_at_work) and answered - sent < attempt["deadline_s"]

    def is_stopping(self, attempt: Record) -> bool:
        """Return whether the host of a request had got SIGTERM when it closed the connection."""
        stops = self.stops[attempt["host"]]
        return any(at <= attempt["at"] <= at + STOP_LIMIT_S for at in stops)

    def is_beside_change(self, attempt: Record) -> bool:
        return any(start <= attempt["at"] <= end + AFTER_CHANGE_S for start, end in self.changes)

    def is_disturbed(self, attempt: Record) -> bool:
        """Return whether an unplanned fault may have harmed a request."""
        host, sent, closed = attempt["host"], attempt["sent"], attempt["at"]
        if any(sent - TOUCH_S <= at <= closed for at in self.others[host]):
            return True
        upstreams = self.reached.get(attempt["id"], set())
        targets = {host, *upstreams}
        if attempt.get("key", 0) is not None:
            # A disturbance of the store alone excuses nothing for requests without a key.
            targets |= {"store", f"store of {host}"}
        targets |= {f"way to {name}" for name in upstreams}
        return any(
            fault["target"] in targets
            and fault["at"] <= closed
            and sent <= fault["at"] + fault["length_s"] + TOUCH_S
            for fault in self.faults
        )

    def is_upstream_gone(self, attempt: Record) -> bool:
        """Return whether an upstream that a request reached may have broken it off."""
        times = [
            at
            for name in self.reached.get(attempt["id"], ())
            for at in (*self.stops[name], *self.others[name], *self.lives_ended[name])
        ]
        return any(at <= attempt["at"] for at in times if at >= attempt["sent"] - STOP_LIMIT_S)

    def describe(self, attempt: Record, since: float, event: str) -> str:
        return (
            f"{attempt['id']}: sent {attempt['sent'] - since:.2f} s after {event} "
            f"{attempt['host']}, closed at {attempt['at'] - since:.2f} s, "
            f"{self.runs.get(attempt['id'], 0)} runs"
        )


def check_lost(records: Sequence[Record]) -> Iterator[tuple[str, str]]:
    """Yield the rule and the detail of each request that a host lost around planned work.

    Planned work is a stop or a reload of the host, or a change of the configuration. Also yield the
    requests that hosts passed on and cut at any time, if there are more than a few.
    """
    evidence = _Evidence.collect(records)
    attempts = [record for record in records if record["kind"] == "attempt"]
    cuts = [attempt for attempt in attempts if evidence.is_cut(attempt)]
    for attempt in cuts:
        yield from _check_stops(evidence, attempt)
    for attempt in attempts:
        if evidence.is_replaced(attempt) and not evidence.is_upstream_gone(attempt):
            yield from _check_stops(evidence, attempt)
    others = [
        attempt
        for attempt in cuts
        if not evidence.is_stopping(attempt) and not evidence.is_disturbed(attempt)
    ]
    for attempt in others:
        yield from _check_reloads(evidence, attempt)
    yield from _check_changes(evidence, attempts, others)
    yield from _check_any_time(evidence, others)


def _check_stops(evidence: _Evidence, attempt: Record) -> Iterator[tuple[str, str]]:
    """Find a request that was lost because of a planned stop.

    A kill or a pause of the host after the stop excuses it.
    """
    host, sent, closed, request_id = (attempt[key] for key in ("host", "sent", "at", "id"))
    for stopped_at in evidence.stops[host]:
        if not stopped_at <= closed <= stopped_at + STOP_LIMIT_S:
            continue
        if any(stopped_at <= at <= closed for at in evidence.others[host]):
            continue
        at_work = evidence.ended.get(request_id, closed) > stopped_at + GRACE_S * 5 / 6
        if evidence.runs.get(request_id) and sent <= stopped_at + EARLY_S and at_work:
            continue
        yield "lost-at-stop", evidence.describe(attempt, stopped_at, "the signal to")


def _check_reloads(evidence: _Evidence, attempt: Record) -> Iterator[tuple[str, str]]:
    """Find a request that was lost because of a SIGHUP, though it had time left."""
    sent, closed = attempt["sent"], attempt["at"]
    for reloaded_at in evidence.reloads[attempt["host"]]:
        in_time = sent <= reloaded_at + CONFIGURATION_S and reloaded_at <= closed
        if in_time and closed - sent < attempt["deadline_s"]:
            yield "lost-at-reload", evidence.describe(attempt, reloaded_at, "SIGHUP of")
            return


def _check_changes(
    evidence: _Evidence, attempts: Iterable[Record], cuts: Iterable[Record]
) -> Iterator[tuple[str, str]]:
    """Find requests that were lost beside changes by a host that cuts fewer at other times."""
    total: dict[Any, int] = defaultdict(int)
    for attempt in attempts:
        total[attempt["host"], evidence.is_beside_change(attempt)] += 1
    cut: dict[Any, list[Record]] = defaultdict(list)
    for attempt in cuts:
        cut[attempt["host"], evidence.is_beside_change(attempt)].append(attempt)
    for (host, beside), lost in cut.items():
        at_other_times = len(cut.get((host, False), ())) / max(1, total[host, False])
        if not beside or len(lost) / total[host, True] <= (
            MAX_RATIO_BESIDE_CHANGE * at_other_times
        ):
            continue
        for attempt in lost:
            used = (attempt["at"] - attempt["sent"]) / attempt["deadline_s"]
            if used < USED_BESIDE_CHANGE:
                since = max(start for start, _ in evidence.changes if start <= attempt["at"])
                yield "lost-at-change", evidence.describe(attempt, since, "a change known to")


def _check_any_time(evidence: _Evidence, cuts: Iterable[Record]) -> Iterator[tuple[str, str]]:
    """Find requests on kept connections that were passed on and cut, if there are too many."""
    lost = [
        attempt
        for attempt in cuts
        if attempt.get("kept") and attempt["id"] in evidence.reached
        # Later than this the caller itself closes the connection.
        and attempt["at"] - attempt["sent"] < attempt["deadline_s"] + EXTRA_WAIT_S
        and not evidence.is_upstream_gone(attempt)
    ]
    if len(lost) > MAX_CUT_AT_ANY_TIME:
        for attempt in lost:
            yield "lost", evidence.describe(attempt, attempt["started"], "its start at")

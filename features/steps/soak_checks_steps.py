"""Steps of soak/checks.feature."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then

from acaciasaddle.emulator.soak import check_records
from acaciasaddle.emulator.soak import draw_faults
from acaciasaddle.emulator.soak import judged_pauses

Records = list[dict[str, Any]]


def _held(
    at: float, incarnation: str, *, until: float, first: int = 0, last: int = 9
) -> dict[str, Any]:
    return {
        "kind": "held",
        "at": at,
        "life": incarnation,
        "first": first,
        "last": last,
        "until": until,
    }


def _released(at: float, incarnation: str, first: int, last: int) -> dict[str, Any]:
    return {"kind": "released", "at": at, "life": incarnation, "first": first, "last": last}


def _run(at: float) -> dict[str, Any]:
    return {"kind": "run", "at": at, "id": "r", "key": 1, "life": "u1@1"}


def _attempt(outcome: str, *, once: bool = True) -> dict[str, Any]:
    return {
        "kind": "attempt",
        "at": 9.0,
        "id": "r",
        "once": once,
        "host": "h",
        "status": 200,
        "outcome": outcome,
    }


def _stopped(*, sent: float | None, closed: float, runs: bool = True, status: int = 0) -> Records:
    """Return the records of a request to a host that gets SIGTERM at 1 s."""
    attempt = {**_attempt("unknown"), "started": 2.9, "sent": sent, "at": closed, "status": status}
    records = [{"kind": "signalled", "at": 1.0, "name": "h", "signum": 15}, attempt]
    return [*records, _run(sent)] if runs and sent is not None else records


def _after_leaving(*, sent: float, life: str = "u1@1") -> Records:
    """Return the records of a request that is sent after an answer with the mark at 1 s."""
    told = {**_attempt("completed", once=False), "id": "r1", "at": 1.0, "started": 0.9}
    later = {**_attempt("completed", once=False), "id": "r2", "at": sent + 0.1, "started": sent}
    return [
        {"kind": "arrived", "at": 0.95, "id": "r1", "life": "u1@1"},
        {"kind": "run", "at": 0.95, "id": "r1", "key": 1, "life": "u1@1"},
        {**told, "leaving": True},
        {"kind": "arrived", "at": sent + 0.05, "id": "r2", "life": life},
        {"kind": "run", "at": sent + 0.05, "id": "r2", "key": 1, "life": life},
        later,
    ]


def _in_pause(times: list[float], *, given_up_at: float = 9.0, length_s: float = 2.0) -> Records:
    """Return the records of requests that arrive after a request for a pause at 1 s.

    The request that was turned away was given up, or answered, at ``given_up_at``.
    """
    first = {"kind": "arrived", "at": 1.0, "id": "r0", "life": "u1@1"}
    records = [first, {**first, "kind": "turned-away", "pause_s": length_s}]
    records += [
        {"kind": "arrived", "at": at, "id": f"r{number}", "life": "u1@1"}
        for number, at in enumerate(times, start=1)
    ]
    attempts = [
        {**_attempt("not-run"), "id": f"r{number}", "started": 0.9, "at": 9.0, "status": 503}
        for number in range(len(times) + 1)
    ]
    attempts[0]["at"] = given_up_at
    return records + attempts


RECORDS: dict[str, Records] = {
    "a request sent 2.1 s after a leaving answer": _after_leaving(sent=3.1),
    "a request sent 1.9 s after a leaving answer": _after_leaving(sent=2.9),
    "a request sent 2.1 s after it to a later start": _after_leaving(sent=3.1, life="u1@2"),
    "three requests in the rest of a pause": _in_pause([1.6, 2.0, 2.9]),
    "two requests in the rest of a pause": _in_pause([1.6, 2.9]),
    "three requests after a pause that a host which had given up was told of": _in_pause(
        [1.6, 2.0, 2.9], given_up_at=0.9
    ),
    "three requests within 0.5 s of it": _in_pause([1.1, 1.2, 1.4]),
    "three requests in a pause in which their host was stopped": [
        *_in_pause([1.6, 2.0, 2.9]),
        {"kind": "signalled", "at": 2.8, "name": "h", "signum": 15},
    ],
    "three requests in a pause with a fault on the way": [
        {"kind": "fault", "at": 0.5, "target": "way to u1", "length_s": 0.1},
        *_in_pause([1.6, 2.0, 2.9]),
    ],
    "three requests in the rest of a pause of 0.4 s": _in_pause([1.6, 2.0, 2.9], length_s=0.4),
    "a request sent 3.1 s after a stop and cut": _stopped(sent=4.1, closed=6.6),
    "a request sent 2.9 s after a stop and cut": _stopped(sent=3.9, closed=6.6),
    "a running request cut 4 s after a stop": _stopped(sent=3.0, closed=5.0),
    "a running request cut by a kill after a stop": [
        {"kind": "signalled", "at": 4.9, "name": "h", "signum": 9},
        *_stopped(sent=3.0, closed=5.0),
    ],
    "a request answered 4 s after a stop": _stopped(sent=3.0, closed=5.0, status=200),
    "a request without a run, closed after 0.5 s": _stopped(sent=3.0, closed=3.5, runs=False),
    "a request whose connection was refused after 0.5 s": _stopped(sent=None, closed=3.5),
    "a request without a run, closed at once": _stopped(sent=3.0, closed=3.1, runs=False),
    "a grant while another lease runs": [
        _held(1.0, "u1@1", until=5.0),
        _held(4.0, "u2@1", until=8.0, first=9, last=20),
    ],
    "a grant after another lease ended": [
        _held(1.0, "u1@1", until=5.0),
        _held(5.1, "u2@1", until=8.0, first=9, last=20),
    ],
    "a grant after a release of other keys": [
        _held(1.0, "u1@1", until=5.0),
        _released(2.0, "u1@1", 3, 6),
        _held(3.0, "u2@1", until=8.0, first=7, last=7),
    ],
    "a grant after a release": [
        _held(1.0, "u1@1", until=5.0),
        _released(2.0, "u1@1", 3, 6),
        _held(3.0, "u2@1", until=8.0, first=3, last=6),
    ],
    "a grant while a restarted owner's lease runs": [
        _held(1.0, "u1@1", until=5.0),
        {"kind": "dead", "at": 2.0, "upstream": "u1"},
        _held(3.0, "u1@2", until=9.0),
        _held(4.0, "u2@1", until=9.0),
    ],
    "a grant after the owner's process ended": [
        _held(1.0, "u1@1", until=5.0),
        {"kind": "dead", "at": 2.0, "upstream": "u1"},
        _held(3.0, "u2@1", until=9.0),
    ],
    "a deposit that ran twice": [_run(1.0), _run(2.0), _attempt("unknown")],
    "a read that ran twice": [_run(1.0), _run(2.0), _attempt("completed", once=False)],
    "a refused request that ran": [_run(1.0), _attempt("not-run")],
    "a failed request that ran": [_run(1.0), _attempt("unknown")],
    "a request that completed without a run": [_attempt("completed")],
    "a completed request that ran": [_run(1.0), _attempt("completed")],
    "a response to another request": [_run(1.0), _attempt("foreign")],
}


class SoakCheckSteps:
    """Guards against checks that miss a broken promise, or report one that was kept."""

    @staticmethod
    @then('records of {name} give the finding "{rule}"')
    def gives_finding(context: Any, name: str, rule: str) -> None:
        assert [finding.rule for finding in check_records(RECORDS[name])] == [rule]

    @staticmethod
    @then("records of {name} give no finding")
    def gives_none(context: Any, name: str) -> None:
        assert not check_records(RECORDS[name]), check_records(RECORDS[name])

    @staticmethod
    @then("records of {name} have {count:d} judged pauses")
    def judged(context: Any, name: str, count: int) -> None:
        pauses = list(judged_pauses(RECORDS[name]))
        assert len(pauses) == count, pauses


class SoakFaultSteps:
    """Guards against soaks that cannot be repeated, and faults of one target that overlap."""

    @staticmethod
    def _draw(seed: int) -> list[Any]:
        hosts, upstreams = ["h1", "h2"], ["u1", "u2", "u3"]
        return draw_faults(seed=seed, count=20, window_s=12.0, hosts=hosts, upstreams=upstreams)

    @staticmethod
    @given("the soak's faults of seeds {first:d} to {last:d}")
    def drawn(context: Any, first: int, last: int) -> None:
        context.drawn_faults = {seed: SoakFaultSteps._draw(seed) for seed in range(first, last + 1)}

    @staticmethod
    @then("drawing them again gives the same faults, which differ between seeds")
    def reproducible(context: Any) -> None:
        again = {seed: SoakFaultSteps._draw(seed) for seed in context.drawn_faults}
        assert again == context.drawn_faults
        assert len({tuple(faults) for faults in again.values()}) == len(again)

    @staticmethod
    @then("faults of one target do not overlap")
    def no_overlap(context: Any) -> None:
        for faults in context.drawn_faults.values():
            ends: dict[str, float] = {}
            for fault in faults:
                assert fault.at_s >= ends.get(fault.target, 0.0), fault
                ends[fault.target] = fault.at_s + fault.length_s

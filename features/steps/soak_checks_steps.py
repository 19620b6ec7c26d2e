"""Steps of soak/checks.feature."""

from __future__ import annotations

from itertools import islice
from itertools import pairwise
from typing import Any

from behave import given
from behave import then

from acaciasaddle.emulator.soak import RESTORE
from acaciasaddle.emulator.soak import RESTORE_WITH_LATE_WRITES
from acaciasaddle.emulator.soak import check_records
from acaciasaddle.emulator.soak import draw_changes
from acaciasaddle.emulator.soak import draw_faults
from acaciasaddle.emulator.soak import draw_reloads
from acaciasaddle.emulator.soak import draw_restores
from acaciasaddle.emulator.soak import draw_stops
from acaciasaddle.emulator.soak import judged_pauses
from acaciasaddle.emulator.soak import summarize_restores

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
        "deadline_s": 2.0,
        "outcome": outcome,
    }


def _stopped(*, sent: float | None, closed: float, runs: bool = True, status: int = 0) -> Records:
    """Return the records of a request to a host that gets SIGTERM at 1 s."""
    attempt = {**_attempt("unknown"), "started": 2.9, "sent": sent, "at": closed, "status": status}
    records = [{"kind": "signalled", "at": 1.0, "name": "h", "signum": 15}, attempt]
    return [*records, _run(sent)] if runs and sent is not None else records


def _turned_away(records: Records) -> Records:
    """Add that the request of the records reached an upstream, which did not run it."""
    return [*records, {"kind": "arrived", "at": 3.0, "id": "r", "life": "u1@1"}]


def _cut(work: dict[str, Any], *, sent: float, closed: float, runs: bool = False) -> Records:
    """Return the records of planned work at 1 s, and of a request that its host cut."""
    attempt = {**_attempt("unknown"), "started": sent, "sent": sent, "at": closed, "status": 0}
    records = [{"at": 1.0, **work}, attempt]
    return [*records, _run(sent)] if runs else records


def _after_change(*, sent: float, closed: float) -> Records:
    """Return the records of a request that was cut after a change written from 0.5 to 1 s."""
    answered = {**_attempt("completed", once=False), "id": "r2", "at": 20.0, "sent": 19.9}
    run = {**_run(19.95), "id": "r2"}
    return [*_cut(CHANGE, sent=sent, closed=closed), run, answered]


RELOAD = {"kind": "reloaded", "name": "h"}
CHANGE = {"kind": "configured", "started": 0.5, "version": 3}
OTHER_CUT = {
    **_attempt("unknown"),
    "id": "r3",
    "at": 21.0,
    "started": 20.0,
    "sent": 20.0,
    "status": 0,
}


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


def _cut_at_any_time(
    count: int, *, kept: bool = True, key: int | None = 1, lasted_s: float = 0.5
) -> Records:
    """Return the records of requests that reached an upstream and whose connections then ended."""
    records: Records = []
    for number in range(count):
        sent, request_id = 10.0 + number, f"r{number}"
        attempt = {**_attempt("unknown"), "id": request_id, "started": sent, "sent": sent}
        attempt |= {"at": sent + lasted_s, "status": 0, "kept": kept, "key": key}
        records += [{**_run(sent + 0.1), "id": request_id}, attempt]
    return records


STORE_DOWN = {"kind": "fault", "at": 9.0, "target": "store", "name": "slow", "length_s": 4.0}

RECORDS: dict[str, Records] = {
    "a request answered with 502 while it ran, 2 s after a stop": _stopped(
        sent=2.5, closed=3.0, status=502
    ),
    "a request answered with 502 after it ran, 2 s after a stop": [
        *_stopped(sent=2.5, closed=3.0, status=502),
        {"kind": "ended", "at": 2.9, "id": "r", "life": "u1@1"},
    ],
    "a request answered with 504 while it ran, once its time was over": _stopped(
        sent=2.5, closed=4.55, status=504
    ),
    "a request answered with 502 while it ran, after its upstream was killed": [
        {"kind": "signalled", "at": 2.8, "name": "u1", "signum": 9},
        *_stopped(sent=2.5, closed=3.0, status=502),
    ],
    "four requests on kept connections that were passed on and cut": _cut_at_any_time(4),
    "three requests on kept connections that were passed on and cut": _cut_at_any_time(3),
    "four requests on new connections that were passed on and cut": _cut_at_any_time(4, kept=False),
    "four requests that their callers gave up": _cut_at_any_time(4, lasted_s=6.0),
    "four requests without a key that were cut while the store was down": [
        STORE_DOWN,
        *_cut_at_any_time(4, key=None),
    ],
    "four requests with a key that were cut while the store was down": [
        STORE_DOWN,
        *_cut_at_any_time(4),
    ],
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
        {"kind": "fault", "name": "delay", "at": 0.5, "target": "way to u1", "length_s": 0.1},
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
    "a request closed after 0.5 s, seen 0.4 s late": [
        *_stopped(sent=3.0, closed=3.5, runs=False),
        {"kind": "delayed", "at": 3.5, "late_s": 0.4},
    ],
    "a request that was turned away and cut at once": _turned_away(
        _stopped(sent=3.0, closed=3.1, runs=False)
    ),
    "a request sent 1.9 s after SIGHUP and closed after 0.5 s": _cut(RELOAD, sent=2.9, closed=3.4),
    "a request sent 2.1 s after SIGHUP and closed after 0.5 s": _cut(RELOAD, sent=3.1, closed=3.6),
    "a request at work that is cut after SIGHUP": _cut(RELOAD, sent=0.9, closed=1.05, runs=True),
    "a request closed at once after SIGHUP": _cut(RELOAD, sent=0.9, closed=1.05),
    "a request at work that is cut after SIGHUP once its time was over": _cut(
        RELOAD, sent=0.9, closed=2.95, runs=True
    ),
    "a request at work that is cut after SIGHUP and a kill": [
        {"kind": "signalled", "at": 1.04, "name": "h", "signum": 9},
        *_cut(RELOAD, sent=0.9, closed=1.05, runs=True),
    ],
    "a request closed 2.9 s after a change": _after_change(sent=3.5, closed=3.9),
    "a request closed 3.1 s after a change": _after_change(sent=3.7, closed=4.1),
    "a request closed beside a change after seven tenths of its time": _after_change(
        sent=2.0, closed=3.5
    ),
    "a request closed 2.9 s after a change by a host that cuts as many at other times": [
        *_after_change(sent=3.5, closed=3.9),
        OTHER_CUT,
    ],
    "a request closed 2.9 s after a change, 2.9 s after the store was unavailable": [
        {"kind": "fault", "at": 0.1, "target": "store", "name": "unavailable", "length_s": 0.5},
        *_after_change(sent=3.5, closed=3.9),
    ],
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
        rules = [finding.rule for finding in check_records(RECORDS[name])]
        assert set(rules) == {rule}, rules
        # Of the requests that are lost at any time, each gives a finding.
        assert len(rules) == (4 if rule == "lost" else 1), rules

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
    def _draw_work(seed: int) -> tuple[list[Any], list[Any], list[Any]]:
        hosts = ["h1", "h2", "h3"]
        stops = draw_stops(seed=seed, count=10, window_s=12.0, hosts=hosts)
        reloads = draw_reloads(seed=seed, stops=stops, hosts=hosts)
        return stops, reloads, list(islice(draw_changes(seed=seed), 20))

    @staticmethod
    @given("the planned work of seeds {first:d} to {last:d}")
    def work_drawn(context: Any, first: int, last: int) -> None:
        context.work = {seed: SoakFaultSteps._draw_work(seed) for seed in range(first, last + 1)}

    @staticmethod
    @then("drawing it again gives the same work, which differs between seeds")
    def work_reproducible(context: Any) -> None:
        again = {seed: SoakFaultSteps._draw_work(seed) for seed in context.work}
        assert again == context.work
        assert len({repr(work) for work in again.values()}) == len(again)

    @staticmethod
    @then("each stop has a SIGHUP within 1 s, of its own host or another")
    def reloads_near_stops(context: Any) -> None:
        own = others = 0
        for stops, reloads, _ in context.work.values():
            for stop, reload in zip(stops, reloads, strict=True):
                assert abs(stop.at_s - reload.at_s) <= 1.0, (stop, reload)
                own += stop.target == reload.target
                others += stop.target != reload.target
        assert own > 0, "no host gets SIGHUP beside its own stop"
        assert others > 0, "no host gets SIGHUP beside the stop of another"

    @staticmethod
    @then("the idle limit goes up and down from change to change")
    def limits_vary(context: Any) -> None:
        for _, _, changes in context.work.values():
            limits = [limit_s for _, limit_s in changes]
            steps = [after - before for before, after in pairwise(limits)]
            assert min(steps) < 0 < max(steps), limits

    @staticmethod
    def _draw_restores(seed: int) -> list[Any]:
        return draw_restores(seed=seed, count=5, window_s=12.0, upstreams=["u1", "u2"])

    @staticmethod
    @given("the restores of seeds {first:d} to {last:d}")
    def restores_drawn(context: Any, first: int, last: int) -> None:
        seeds = range(first, last + 1)
        context.restores = {seed: SoakFaultSteps._draw_restores(seed) for seed in seeds}

    @staticmethod
    @then("drawing the restores again gives the same ones, which differ between seeds")
    def restores_reproducible(context: Any) -> None:
        again = {seed: SoakFaultSteps._draw_restores(seed) for seed in context.restores}
        assert again == context.restores
        assert len({tuple(faults) for faults in again.values()}) == len(again)

    @staticmethod
    @then("an upstream is started again {first:g} to {last:g} s before each restore")
    def joins(context: Any, first: float, last: float) -> None:
        names = set()
        for faults in context.restores.values():
            for restart, restore in zip(faults[::2], faults[1::2], strict=True):
                names.add(restore.name)
                assert (restore.target, restart.target[0]) == ("store", "u"), (restart, restore)
                # The load has not begun before 0 s.
                lead_s = restore.at_s - restart.at_s - restart.length_s
                assert restart.at_s == 0.0 or first <= lead_s <= last, (restart, restore)
        assert names == {RESTORE, RESTORE_WITH_LATE_WRITES}, names

    @staticmethod
    @then("the keys without an owner, the outcomes and the calls after two restores are counted")
    def summarized(context: Any) -> None:
        restores = [
            {"kind": "restored", "at": 11.4, "left": 10.0, "returned": 11.0, "age_s": 3.0},
            {"kind": "restored", "at": 30.4, "left": 29.0, "returned": 30.0, "age_s": 3.0},
        ]
        leases = [
            _held(5.0, "u1@1", until=12.0, first=0, last=4_095),
            _held(14.5, "u2@1", until=70.0, first=0, last=2_047),
            _held(15.0, "u2@1", until=70.0, first=2_048, last=4_095),
            _held(5.0, "u3@1", until=70.0, first=4_096, last=8_191),
            _released(20.0, "u3@1", 4_096, 6_143),
            _held(20.5, "u2@1", until=70.0, first=4_096, last=6_143),
            _held(5.0, "u4@1", until=70.0, first=8_192, last=65_535),
            {"kind": "dead", "at": 40.0, "upstream": "u4"},
            _held(45.0, "u4@2", until=70.0, first=8_192, last=65_535),
        ]
        attempts = [
            {**_attempt(outcome), "key": key, "started": started, "at": started}
            for outcome, key, started in (
                ("not-run", 1, 10.9),
                ("not-run", 1, 11.0),
                ("completed", 1, 20.9),
                ("completed", None, 20.9),
                ("completed", 1, 21.1),
                ("unknown", 1, 39.0),
                ("completed", 1, 60.0),
            )
        ]
        records = sorted([*restores, *leases, *attempts], key=lambda record: record["at"])
        assert summarize_restores([*leases, *attempts], store_calls=[]) == []
        first, second = summarize_restores(records, store_calls=[7, 8])
        assert first.unowned_s == (0.5, 2.5, 3.0), first
        assert first.outcomes == {"not-run": 1, "completed": 1}, first
        assert (first.away_s, first.age_s, first.store_calls) == (1.0, 3.0, 7), first
        assert second.unowned_s == (5.0,) * 28, second
        assert (second.outcomes, second.store_calls) == ({"unknown": 1}, 8), second

    @staticmethod
    @then("faults of one target do not overlap")
    def no_overlap(context: Any) -> None:
        for faults in context.drawn_faults.values():
            ends: dict[str, float] = {}
            for fault in faults:
                assert fault.at_s >= ends.get(fault.target, 0.0), fault
                ends[fault.target] = fault.at_s + fault.length_s

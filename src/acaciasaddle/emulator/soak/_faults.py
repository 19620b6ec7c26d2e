"""Faults of a soak, drawn from its seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from acaciasaddle.emulator.soak._relay import RelayFaults
from acaciasaddle.platform.standins import StoreFaults

if TYPE_CHECKING:
    from collections.abc import Iterator

PROCESS_FAULTS = ("pause", "kill", "stop")
RESET = "reset"
"""Fault of a relay that resets its open connections once and then passes bytes again."""
RELAY_FAULTS = {
    "refuse": RelayFaults(refuses=True),
    "silence": RelayFaults(blocks_inward=True, blocks_outward=True),
    "cut inward": RelayFaults(blocks_inward=True),
    "cut outward": RelayFaults(blocks_outward=True),
    "delay": RelayFaults(delay_s=0.2),
    RESET: RelayFaults(),
}
FORGET_HISTORY = "forgets"
"""Fault of the store that drops the history of its change feed once."""
STORE_FAULTS = {
    "unavailable": StoreFaults(refuses=503),
    "throttled": StoreFaults(refuses=429),
    "slow": StoreFaults(delay_s=0.4),
    "loses answers": StoreFaults(lose_answers=3),
    "late writes": StoreFaults(late=3),
}
RESTORE = "restored"
"""Fault of the store that is away and comes back from an older copy."""
RESTORE_WITH_LATE_WRITES = "restored with late writes"
"""The same, and writes from before it take effect after it."""
RELOAD = "reload"
"""Fault of a host that gets SIGHUP. It may begin at any time, also while the host stops."""
PAUSE_BETWEEN_CHANGES_S = (0.2, 1.0)
IDLE_LIMITS_S = (2.0, 15.0)
"""Shortest and longest idle limit of the operator's changes."""
FOLLOW_UP_PROBABILITY = 0.3
"""Probability that a second fault of the target begins 0.2 to 1 s after the first has ended."""
MIN_LENGTH_S = 0.2
MAX_LENGTH_S = 4.0
MAX_AWAY_S = 3.0
COPY_AGES_S = (0.5, 8.0)
JOIN_BEFORE_RESTORE_S = (0.5, 3.0)
"""An upstream is started again this long before the store goes away, so copies may lack it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """A fault of one target.

    It begins ``at_s`` after the start of the load, or later if the previous fault of its target has
    not ended by then, and lasts ``length_s``. A process that was killed or stopped is started again
    after that time. ``forgets`` and ``change`` happen once and do not last; ``reset`` happens once
    at the beginning. ``reload`` is a signal, and may overlap with other faults of its target.

    ``target`` is the id of a host or an upstream, ``store``, ``store of HOST`` (the relay between a
    host and the store), ``way to UPSTREAM`` (the relay in front of an upstream), or ``operator``,
    whose only fault is a change of the configuration. ``age_s`` is the age of the copy from which
    the store comes back.
    """

    at_s: float
    length_s: float
    target: str
    name: str
    age_s: float = 0.0


def draw_faults(
    *, seed: int, count: int, window_s: float, hosts: list[str], upstreams: list[str]
) -> list[Fault]:
    """Return ``count`` faults, or one more, sorted by time; those of one target do not overlap.

    A seed always gives the same faults, so the order of the draws must not change.
    """
    rng = random.Random(seed)
    faults: list[Fault] = []
    busy_until: dict[str, float] = {}
    while len(faults) < count:
        target, names = _draw_target(rng, hosts, upstreams)
        at_s = max(rng.uniform(0.0, window_s), busy_until.get(target, 0.0))
        for _ in range(1 + (rng.random() < FOLLOW_UP_PROBABILITY)):
            length_s = rng.uniform(MIN_LENGTH_S, MAX_LENGTH_S)
            name = rng.choice(names)
            faults.append(Fault(at_s=at_s, length_s=length_s, target=target, name=name))
            at_s += length_s + rng.uniform(MIN_LENGTH_S, 1.0)
            busy_until[target] = at_s
    return sorted(faults, key=lambda fault: (fault.at_s, fault.target))


def draw_stops(*, seed: int, count: int, window_s: float, hosts: list[str]) -> list[Fault]:
    """Return ``count`` planned stops of hosts within the window, of one or two hosts at a time."""
    rng = random.Random(f"stops/{seed}")
    stops: list[Fault] = []
    while len(stops) < count:
        at_s = rng.uniform(0.0, window_s)
        for host in rng.sample(hosts, min(rng.randint(1, 2), len(hosts))):
            length_s = rng.uniform(MIN_LENGTH_S, 1.0)
            stops.append(Fault(at_s=at_s, length_s=length_s, target=host, name="stop"))
    return sorted(stops[:count], key=lambda fault: (fault.at_s, fault.target))


def draw_reloads(*, seed: int, stops: list[Fault], hosts: list[str]) -> list[Fault]:
    """Return a SIGHUP of some host within 1 s of each of the stops."""
    rng = random.Random(f"reloads/{seed}")
    return [
        Fault(
            at_s=max(0.0, stop.at_s + rng.uniform(-1.0, 1.0)),
            length_s=0.0,
            target=rng.choice((stop.target, rng.choice(hosts))),
            name=RELOAD,
        )
        for stop in stops
    ]


def draw_restores(*, seed: int, count: int, window_s: float, upstreams: list[str]) -> list[Fault]:
    """Return ``count`` restores of the store, each with a restart of an upstream before it."""
    rng = random.Random(f"restores/{seed}")
    faults: list[Fault] = []
    for _ in range(count):
        at_s = rng.uniform(0.0, window_s)
        ended_s = rng.uniform(MIN_LENGTH_S, MAX_LENGTH_S)
        restart = Fault(
            at_s=max(0.0, at_s - ended_s - rng.uniform(*JOIN_BEFORE_RESTORE_S)),
            length_s=ended_s,
            target=rng.choice(upstreams),
            name=rng.choice(("kill", "stop")),
        )
        restore = Fault(
            at_s=at_s,
            length_s=rng.uniform(MIN_LENGTH_S, MAX_AWAY_S),
            target="store",
            name=rng.choice((RESTORE, RESTORE_WITH_LATE_WRITES)),
            age_s=rng.uniform(*COPY_AGES_S),
        )
        faults += [restart, restore]
    return faults


def draw_changes(*, seed: int) -> Iterator[tuple[float, float]]:
    """Yield the operator's changes, as the pause before each and its idle limit, in seconds."""
    rng = random.Random(f"changes/{seed}")
    while True:
        yield rng.uniform(*PAUSE_BETWEEN_CHANGES_S), round(rng.uniform(*IDLE_LIMITS_S), 1)


def _draw_target(
    rng: random.Random, hosts: list[str], upstreams: list[str]
) -> tuple[str, tuple[str, ...]]:
    kind = rng.choice(("host", "upstream", "store", "store of", "way", "operator"))
    if kind == "host":
        return rng.choice(hosts), PROCESS_FAULTS
    if kind == "upstream":
        return rng.choice(upstreams), PROCESS_FAULTS
    if kind == "store":
        return "store", (*STORE_FAULTS, FORGET_HISTORY)
    if kind == "store of":
        return f"store of {rng.choice(hosts)}", tuple(RELAY_FAULTS)
    if kind == "way":
        return f"way to {rng.choice(upstreams)}", tuple(RELAY_FAULTS)
    return "operator", ("change",)

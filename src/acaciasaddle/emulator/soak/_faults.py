"""Faults of a soak, drawn from its seed."""

from __future__ import annotations

import random
from dataclasses import dataclass

from acaciasaddle.emulator.soak._relay import RelayFaults
from acaciasaddle.platform.standins import StoreFaults

PROCESS_FAULTS = ("pause", "kill", "stop")
RESET = "reset"
"""Fault of a relay that resets its connections once and then works."""
RELAY_FAULTS = {
    "refuse": RelayFaults(refuses=True),
    "silence": RelayFaults(stops_inward=True, stops_outward=True),
    "cut inward": RelayFaults(stops_inward=True),
    "cut outward": RelayFaults(stops_outward=True),
    "delay": RelayFaults(delay_s=0.2),
    RESET: RelayFaults(),
}
FORGETS = "forgets"
"""Fault of the store that drops its history at once."""
STORE_FAULTS = {
    "unavailable": StoreFaults(refuses=503),
    "throttled": StoreFaults(refuses=429),
    "slow": StoreFaults(delay_s=0.4),
    "loses answers": StoreFaults(lose_answers=3),
    "late writes": StoreFaults(late=3),
}
SERIES_CHANCE = 0.3
"""Chance that a fault is followed by another one of the same target soon after its end."""
MIN_LENGTH_S = 0.2
MAX_LENGTH_S = 4.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """A fault of one target, from ``at_s`` after the start for ``length_s``.

    ``target`` is a host, an upstream, ``store``, ``store of HOST`` (the host's way to it), ``way to
    UPSTREAM``, or ``operator``, whose fault is a change of the configuration.
    """

    at_s: float
    length_s: float
    target: str
    name: str


def draw_faults(
    *, seed: int, count: int, within_s: float, hosts: list[str], upstreams: list[str]
) -> list[Fault]:
    """Return faults by time, the same for a seed; those of one target do not overlap."""
    rng = random.Random(seed)
    faults: list[Fault] = []
    busy_until: dict[str, float] = {}
    while len(faults) < count:
        target, names = _target(rng, hosts, upstreams)
        at_s = max(rng.uniform(0.0, within_s), busy_until.get(target, 0.0))
        for _ in range(1 + (rng.random() < SERIES_CHANCE)):
            length_s = rng.uniform(MIN_LENGTH_S, MAX_LENGTH_S)
            name = rng.choice(names)
            faults.append(Fault(at_s=at_s, length_s=length_s, target=target, name=name))
            at_s += length_s + rng.uniform(MIN_LENGTH_S, 1.0)
            busy_until[target] = at_s
    return sorted(faults, key=lambda fault: (fault.at_s, fault.target))


def _target(
    rng: random.Random, hosts: list[str], upstreams: list[str]
) -> tuple[str, tuple[str, ...]]:
    kind = rng.choice(("host", "upstream", "store", "store of", "way", "operator"))
    if kind == "host":
        return rng.choice(hosts), PROCESS_FAULTS
    if kind == "upstream":
        return rng.choice(upstreams), PROCESS_FAULTS
    if kind == "store":
        return "store", (*STORE_FAULTS, FORGETS)
    if kind == "store of":
        return f"store of {rng.choice(hosts)}", tuple(RELAY_FAULTS)
    if kind == "way":
        return f"way to {rng.choice(upstreams)}", tuple(RELAY_FAULTS)
    return "operator", ("change",)

"""Fleet plans of the two present deployments, the Utility and Indus Floe, and their workloads."""

from __future__ import annotations

from typing import Any

from acaciasaddle.emulator._fleet import FleetPlan
from acaciasaddle.emulator._fleet import HostPlan
from acaciasaddle.emulator._fleet import UpstreamPlan
from acaciasaddle.emulator._workload import KeyDistribution
from acaciasaddle.emulator._workload import LoadKind
from acaciasaddle.emulator._workload import Workload

RANKS = [
    {"name": "urgent", "target_ms": 1000, "share": 0.6},
    {"name": "normal", "target_ms": 2000, "share": 0.25},
    {"name": "bulk", "target_ms": 20000, "share": 0.1},
]


def _kind(name: str, service: str, method: str, path: str, rank: str, **fields: Any) -> Any:
    return {
        "name": name,
        "service": service,
        "method": method,
        "path": f"/{service}/{{key}}{path}",
        "rank": rank,
        **fields,
    }


ONCE = {"once": True, "idempotent": False}

UTILITY_RULES: dict[str, Any] = {
    "ranks": RANKS,
    "kinds": [
        _kind("availability", "bookings", "GET", "", "normal"),
        _kind("deposit", "bookings", "POST", "/deposit", "urgent", weight=10, **ONCE),
        _kind("signing", "bookings", "POST", "/signing", "urgent", weight=10, **ONCE),
        _kind("repertoire", "roster", "GET", "", "normal"),
        _kind("recording", "roster", "PUT", "/recording", "bulk", bulky=True),
    ],
}

INDUS_FLOE_RULES: dict[str, Any] = {
    "ranks": RANKS,
    "kinds": [
        _kind("slots", "convoy-desk", "GET", "", "normal"),
        _kind("booking", "convoy-desk", "POST", "/booking", "urgent", weight=10, **ONCE),
        _kind("cancellation", "convoy-desk", "POST", "/cancellation", "urgent", weight=10, **ONCE),
        _kind("survey", "survey-hub", "PUT", "/survey", "bulk", bulky=True),
    ],
}

UTILITY_DATA_CENTRES = ("tshwane-north", "tshwane-east", "centurion", "soshanguve")
INDUS_FLOE_DATA_CENTRES = ("karachi-a", "gwadar-b", "qasim-c")


def _upstream_plans(
    service: str, count: int, data_centres: tuple[str, ...], slots: int
) -> tuple[UpstreamPlan, ...]:
    return tuple(
        UpstreamPlan(
            service=service,
            name=f"{service}-{index:02}",
            data_centre=data_centres[index % len(data_centres)],
            slots=slots,
            work_ms=5,
        )
        for index in range(count)
    )


def _host_plans(count: int, data_centres: tuple[str, ...]) -> tuple[HostPlan, ...]:
    return tuple(
        HostPlan(host_id=f"entry-{index:02}", data_centre=data_centres[index % len(data_centres)])
        for index in range(count)
    )


def utility_plan() -> FleetPlan:
    """Return the plan of the Utility.

    It has 30 upstreams of ``bookings`` and 8 of ``roster`` with 2 slots each, and 12 entry hosts.
    """
    return FleetPlan(
        data_centres=UTILITY_DATA_CENTRES,
        upstreams=(
            *_upstream_plans("bookings", 30, UTILITY_DATA_CENTRES, 2),
            *_upstream_plans("roster", 8, UTILITY_DATA_CENTRES, 2),
        ),
        hosts=_host_plans(12, UTILITY_DATA_CENTRES),
        rules=UTILITY_RULES,
    )


def indus_floe_plan() -> FleetPlan:
    """Return the plan of Indus Floe.

    It has 30 upstreams of ``convoy-desk`` and 6 of ``survey-hub`` with 6 slots each, and 11 entry
    hosts.
    """
    return FleetPlan(
        data_centres=INDUS_FLOE_DATA_CENTRES,
        upstreams=(
            *_upstream_plans("convoy-desk", 30, INDUS_FLOE_DATA_CENTRES, 6),
            *_upstream_plans("survey-hub", 6, INDUS_FLOE_DATA_CENTRES, 6),
        ),
        hosts=_host_plans(11, INDUS_FLOE_DATA_CENTRES),
        rules=INDUS_FLOE_RULES,
    )


def workload_for(rules: dict[str, Any], *, duration_s: float, rate: float, seed: int) -> Workload:
    """Return a workload with every kind of the rules; ``rate`` is the total in requests/s."""
    targets = {rank["name"]: rank["target_ms"] for rank in rules["ranks"]}
    shares = {
        kind["name"]: 0.02 if kind.get("bulky") else 0.1 if kind.get("once") else 0.35
        for kind in rules["kinds"]
    }
    total = sum(shares.values())
    kinds = tuple(
        LoadKind(
            name=kind["name"],
            method=kind["method"],
            path=kind["path"],
            rate=rate * shares[kind["name"]] / total,
            rank=kind["rank"],
            target_ms=targets[kind["rank"]],
            once=kind.get("once", False),
            weight=kind.get("weight", 1.0),
            body_bytes=2_000_000 if kind.get("bulky") else 300 if kind.get("once") else 0,
            timeout_s=30 if kind.get("bulky") else 8,
        )
        for kind in rules["kinds"]
    )
    return Workload(
        kinds=kinds,
        duration_s=duration_s,
        seed=seed,
        keys=KeyDistribution(count=20_000, distribution="zipf", zipf_exponent=0.7),
        repeats=3,
    )

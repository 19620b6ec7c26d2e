"""Steps of routing/match.feature."""

from __future__ import annotations

from collections import Counter
from typing import Any

from behave import given
from behave import then
from behave import when

from acaciasaddle.routing import CallerLimits
from acaciasaddle.routing import Configuration
from acaciasaddle.routing import Repeat
from acaciasaddle.routing import Route
from acaciasaddle.routing import RouteTable
from acaciasaddle.routing import Target
from acaciasaddle.routing import TrafficSplitter


def make_route(name: str, host: str, prefix: str, targets: tuple[Target, ...] = ()) -> Route:
    """Return an idempotent route."""
    return Route(
        name=name,
        host=host,
        prefix=prefix,
        repeat=Repeat.IDEMPOTENT,
        bulky=False,
        targets=targets,
        timeout_s=1.0,
        objective_s=0.5,
        max_upstreams=2,
        rank=0,
    )


class RouteMatchSteps:
    """Guards against requests that get the wrong route, or one although none matches."""

    @staticmethod
    @given('routes "{routes}"')
    def routes(context: Any, routes: str) -> None:
        parsed = [item.split() for item in routes.split(", ")]
        cfg = Configuration(
            version=1,
            routes=tuple(make_route(f"{host} {prefix}", host, prefix) for host, prefix in parsed),
            services={},
            limits=CallerLimits(),
        )
        context.route_table = RouteTable(cfg=cfg)

    @staticmethod
    @when('a request for "{host}" "{target}" is matched')
    def match(context: Any, host: str, target: str) -> None:
        context.route = context.route_table.match(host, target)

    @staticmethod
    @then('the route is "{name}"')
    def result(context: Any, name: str) -> None:
        found = context.route.name if context.route else "none"
        assert found == name, found


class TrafficSplitSteps:
    """Guards against shares that are right only over many requests."""

    @staticmethod
    @given('a route split "{parts}"')
    def split(context: Any, parts: str) -> None:
        targets = tuple(
            Target(service=name, weight=float(weight))
            for name, weight in (part.split() for part in parts.split(", "))
        )
        context.split_route = make_route("split", "a", "/", targets)

    @staticmethod
    @when("{count:d} requests are split")
    def run(context: Any, count: int) -> None:
        splitter = TrafficSplitter()
        context.split = Counter(splitter.choose(context.split_route) for _ in range(count))

    @staticmethod
    @then('the split is "{expected}"')
    def check(context: Any, expected: str) -> None:
        found = ", ".join(f"{name} {count}" for name, count in sorted(context.split.items()))
        assert found == expected, found

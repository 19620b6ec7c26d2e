"""Selection of the route and the service for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from acaciasaddle.routing._types import Configuration
    from acaciasaddle.routing._types import Route


class RouteTable:
    """Routes by host name and path prefix."""

    def __init__(self, *, cfg: Configuration) -> None:
        by_host: dict[str, dict[str, Route]] = {}
        for route in cfg.routes:
            by_host.setdefault(route.host.lower(), {})[route.prefix] = route
        self._by_host = by_host

    def match(self, host: str, target: str) -> Route | None:
        """Return the host's route with the longest prefix that the path begins with, or ``None``.

        ``host`` is the host that the request names and may include a port, ``target`` may include a
        query. Only prefixes that end with ``/`` match.
        """
        routes = self._by_host.get(host.partition(":")[0].lower())
        if routes is None:
            return None
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class TrafficSplitter:
    """Distributes the requests of each route among its targets in proportion to their weights.

    Each request adds to every target's credit its share of the weights. The target with the highest
    credit is chosen and its credit is reduced by 1, so that the shares hold for few requests too.
    Targets whose weights are all 0 get equal shares.
    """

    def __init__(self) -> None:
        self._credit: dict[str, dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.targets) == 1:
            return route.targets[0].service
        credit = self._credit.get(route.name, {})
        weights = {target.service: max(0.0, target.weight) for target in route.targets}
        if not any(weights.values()):
            weights = dict.fromkeys(weights, 1.0)
        total = sum(weights.values())
        credit = {
            service: credit.get(service, 0.0) + weight / total
            for service, weight in weights.items()
        }
        chosen = max(credit, key=lambda service: credit[service])
        credit[chosen] -= 1.0
        self._credit[route.name] = credit
        return chosen

"""The table of routes of one configuration."""

from __future__ import annotations

import random

from brambleusher.wire.configuration import Configuration, Limits, Route, Service


class RouteTable:
    """Finds a request's route by host and longest prefix."""

    def __init__(self, configuration: Configuration) -> None:
        self.revision = configuration.revision
        self.limits: Limits = configuration.limits
        self.services: dict[str, Service] = {service.name: service for service in configuration.services}
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host.lower(), {})[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """The route of a request: its longest prefix that begins the path, cut at slashes."""
        host = host.lower()
        routes = self._hosts.get(host)
        if routes is None:
            routes = self._hosts.get(host.rpartition(":")[0]) if ":" in host else None
        if routes is None:
            return None
        path = path.partition("?")[0]
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None


def pick_service(route: Route, rng: random.Random) -> str:
    """One of the route's services, by their shares."""
    if route.service is not None:
        return route.service
    shares = route.shares
    return rng.choices([share.service for share in shares], [share.gain for share in shares])[0]

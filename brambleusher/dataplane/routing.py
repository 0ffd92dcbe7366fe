"""Routing: the route table of one configuration and the choice of a service."""

from __future__ import annotations

import random

from brambleusher.wire.configuration import Configuration, Limits, Route, Service


class RouteTable:
    """Finds the route of a request by its host and the longest path prefix."""

    def __init__(self, configuration: Configuration) -> None:
        self.revision = configuration.revision
        self.limits: Limits = configuration.limits
        self.services: dict[str, Service] = {service.name: service for service in configuration.services}
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host.lower(), {})[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix that ends at a slash; None if none matches.

        The host is looked up unchanged first, then without its port.
        """
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
    """Return one of the route's services, drawn at random by weight."""
    if route.service is not None:
        return route.service
    weighted = route.weighted_services
    return rng.choices([each.service for each in weighted], [each.weight for each in weighted])[0]

"""Builders of routes, instance list entries and instance tables for tests of the data plane."""

from __future__ import annotations

import random
from typing import Any

from brambleusher.dataplane.instance_entry import InstanceEntry
from brambleusher.dataplane.instance_table import InstanceTable
from brambleusher.dataplane.placement import PlacementRequest
from brambleusher.dataplane.routing import RouteTable
from brambleusher.wire.configuration import Configuration, Route, Service

ZONES = {"n1": "north", "n2": "north", "s1": "south"}


def route(**given: Any) -> Route:
    return Route(**{"host": "h", "path_prefix": "/", "deadline_ms": 1000, "service": "llm", **given})


def table(*routes: Route) -> RouteTable:
    return RouteTable(Configuration(revision=1, routes=routes, services=(Service(name="llm"),)))


def entry(name: str, zone: str = "n1", state: str = "ready", **given: Any) -> dict[str, Any]:
    return {
        "id": name,
        "service": "llm",
        "address": "10.0.0.1:80",
        "zone": zone,
        "capacity": 8,
        "state": state,
        "warmup_ms": 0,
        **given,
    }


def listed(*entries: dict[str, Any]) -> list[InstanceEntry]:
    return [InstanceEntry.from_json(each) for each in entries]


def instances(*entries: dict[str, Any]) -> InstanceTable:
    made = InstanceTable(ZONES, random.Random(1))
    made.services = {"llm": Service(name="llm", warmup_s=3.0, cold_per_s=10.0)}
    made.update(listed(*entries), 0.0, 0.0)
    return made


def usable(known: InstanceTable, now: float = 0.0, **given: Any) -> set[str]:
    return {instance.id for instance in known.usable(route(**given), "llm", now)}


def placement_request(key: str = "", tokens: int = 0, **given: Any) -> PlacementRequest:
    return PlacementRequest(route(**given), "llm", key, tokens)

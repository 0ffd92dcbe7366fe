"""Tests of routing: the longest prefix wins, and services are drawn by weight."""

from __future__ import annotations

import random

import pytest

from brambleusher.dataplane.routing import pick_service
from tests.dataplane.dataplane_builders import route, table


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("h", "/a/b/c", "ab"),
        ("H", "/a/b/c?x=/a/", "ab"),
        ("h:8080", "/a/x", "a"),
        ("h", "/a", "all"),
        ("h", "/ab/c", "all"),
        ("h", "/?q=/a/b/", "all"),
        ("other", "/a/b/", None),
    ],
)
def test_the_longest_prefix_wins(host: str, path: str, name: str | None) -> None:
    routes = table(
        route(name="all"), route(name="a", path_prefix="/a/"), route(name="ab", path_prefix="/a/b/")
    )
    found = routes.find(host, path)
    assert (found.name if found else None) == name


def test_no_route_below_the_prefixes_of_a_host() -> None:
    assert table(route(path_prefix="/a/")).find("h", "/b/") is None


def test_services_are_drawn_by_their_shares() -> None:
    split = route(service=None, split=({"service": "a", "gain": 90}, {"service": "b", "gain": 10}))
    rng = random.Random(2)
    drawn = [pick_service(split, rng) for _ in range(2000)]
    assert 1700 < drawn.count("a") < 1900

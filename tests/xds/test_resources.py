"""Tests of the resources that proxies get."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.listener.v3 import listener_pb2
from envoy.config.route.v3 import route_components_pb2, route_pb2
from hypothesis import given, settings
from hypothesis import strategies as st

from brambleusher.lab.control.xds_rules import rule_violations
from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.locality_weights import EndpointWeight, group_by_locality
from brambleusher.xds.resources import ENDPOINTS, AssignmentBuilder, build_static_resources
from brambleusher.xds.snapshot import CDS, LDS, RDS
from brambleusher.xds.status import MESSAGE_TYPES
from tests.xds.control_builders import control_config, core_with, endpoint


def test_resources_are_what_the_published_protos_say(tmp_path: Path) -> None:
    config = control_config(tmp_path)
    drafts = build_static_resources(config, config.groups[0])
    clusters = {draft.name: cluster_pb2.Cluster.FromString(draft.body) for draft in drafts[CDS]}
    assert clusters["look"].eds_cluster_config.service_name == ENDPOINTS
    assert clusters["look"].common_lb_config.healthy_panic_threshold.value == 0
    web, api_ = (listener_pb2.Listener.FromString(draft.body) for draft in drafts[LDS])
    assert web.address.socket_address.port_value == 10000 and api_.HasField("api_listener")
    table = route_pb2.RouteConfiguration.FromString(drafts[RDS][0].body)
    found = [(route.match.prefix, route.route.cluster) for route in table.virtual_hosts[0].routes]
    assert found == [("/look", "look"), ("/move", "move"), ("/l", "look")]
    by_class = {route.route.cluster: route.route for route in table.virtual_hosts[0].routes}
    assert by_class["look"].retry_policy.num_retries.value == 2
    assert not by_class["move"].HasField("retry_policy")  # requests that are not idempotent get no retries
    assert by_class["move"].timeout.seconds == 5


@pytest.mark.parametrize("classes", [("look", "move"), ("look",)])
def test_a_wide_prefix_does_not_take_what_must_not_run_twice_into_its_retries(
    tmp_path: Path, classes: tuple[str, ...]
) -> None:
    """Guards against retries for "move", which is not idempotent, by way of the route for the prefix "/".

    The class "move" has no route if the group may not subscribe to it or the file does not configure it.
    """
    plans: list[dict[str, Any]] = [{"name": "look", "prefixes": ["/"], "retries": 2}, {"name": "move"}]
    config = control_config(
        tmp_path,
        classes=[each for each in plans if each["name"] in classes],
        subscribers=[{"identity": "*", "zone": "z", "may": ["web", "look"]}],
    )
    (draft,) = build_static_resources(config, config.groups[0])[RDS]
    table = route_pb2.RouteConfiguration.FromString(draft.body).virtual_hosts[0].routes
    found = [(route.match.prefix, route.route.retry_policy.num_retries.value) for route in table]
    assert found == [("/move", 0), ("/", 2)]


def test_resources_keep_the_rules_that_the_protos_carry(tmp_path: Path) -> None:
    core = core_with(
        tmp_path, endpoint("n1"), endpoint("n2", api.HostState.DRAINING), endpoint("n3", zone="y")
    )
    for name, locality_level in (("a", "zones"), ("b", "nodes")):
        snapshot = core.snapshot("z", locality_level, core.config.groups[0], 0)
        for kind, message in MESSAGE_TYPES.items():
            for resource in snapshot.kinds[kind].values():
                assert not list(rule_violations(message.FromString(resource.body))), name
    bad = cluster_pb2.Cluster()
    bad.connect_timeout.seconds = 0
    bad.outlier_detection.max_ejection_percent.value = 101
    bad.load_assignment.endpoints.add().load_balancing_weight.value = 0
    found = " | ".join(rule_violations(bad))
    for part in ("Cluster.name is", "connect_timeout", "max_ejection_percent", "load_balancing_weight"):
        assert part in found
    assert list(rule_violations(route_components_pb2.RouteMatch())) == [
        "RouteMatch.path_specifier has none of its fields"
    ]


def test_endpoints_in_both_forms() -> None:
    shares = [
        EndpointWeight("n1", "z", 100, False),
        EndpointWeight("n2", "z", 0, False),
        EndpointWeight("n3", "z", 0, True),
        EndpointWeight("n4", "y", 50, False),
    ]
    addresses = {f"n{at}": ("10.0.0.1", at) for at in range(1, 5)}
    parts = group_by_locality(shares, (("z",), ("y",)))
    made = endpoint_pb2.ClusterLoadAssignment.FromString(
        AssignmentBuilder("zones", 60_000).build(parts, addresses).body
    )
    parts_ = made.endpoints
    assert [(part.locality.zone, part.priority, part.load_balancing_weight.value) for part in parts_] == [
        ("z", 0, 100), ("y", 1, 50),
    ]  # fmt: skip
    assert [each.health_status for each in made.endpoints[0].lb_endpoints] == [0, 2, 3]
    assert made.policy.endpoint_stale_after.seconds == 60
    made = endpoint_pb2.ClusterLoadAssignment.FromString(
        AssignmentBuilder("nodes", 60_000).build(parts, addresses).body
    )
    parts_ = made.endpoints
    assert [(part.locality.sub_zone, part.priority, part.load_balancing_weight.value) for part in parts_] == [
        ("n1", 0, 100), ("n4", 1, 50),
    ]  # fmt: skip


@settings(deadline=None)
@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 3), st.booleans()), max_size=12),
    st.lists(st.lists(st.sampled_from("abc"), max_size=2), max_size=3),
)
def test_priorities_have_no_gap_and_lose_no_node(
    nodes: list[tuple[str, int, bool]], order: list[list[str]]
) -> None:
    shares = [
        EndpointWeight(f"n{at}", zone, 0 if drain else weight, drain)
        for at, (zone, weight, drain) in enumerate(nodes)
    ]
    made = group_by_locality(shares, order)
    assert sorted(share.host for tier in made for share in tier.endpoints) == sorted(
        share.host for share in shares
    )
    used = {tier.priority for tier in made}
    assert used == set(range(len(used)))
    assert len({tier.zone for tier in made}) == len(made)

"""Listeners, routes, clusters and endpoints as Envoy and gRPC take them.

The first three follow from the configuration and are built with the published protos.  Endpoints
are put together from cached bytes, since every change of a weight or a state makes them anew.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace

from envoy.config.cluster.v3 import circuit_breaker_pb2, cluster_pb2, outlier_detection_pb2
from envoy.config.core.v3 import address_pb2, config_source_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.listener.v3 import api_listener_pb2, listener_components_pb2, listener_pb2
from envoy.config.route.v3 import route_components_pb2, route_pb2
from envoy.extensions.filters.http.router.v3 import router_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import http_connection_manager_pb2 as hcm_pb2
from envoy.extensions.retry.host.previous_hosts.v3 import previous_hosts_pb2
from envoy.type.v3 import percent_pb2
from google.protobuf import any_pb2, duration_pb2, wrappers_pb2
from google.protobuf.message import Message

from brambleusher.loadbalancing.api import Idempotency
from brambleusher.loadbalancing.locality_weights import LocalityWeights
from brambleusher.xds.config import ClassPlan, ControlConfig, Group, ListenerPlan
from brambleusher.xds.snapshot import CDS, LDS, RDS, Draft, sized, varint

ROUTES, ENDPOINTS = "routes", "execute-nodes"
RETRY_ON = "connect-failure,refused-stream,unavailable,retriable-status-codes"
RETRY_STATUSES = (503, 504)
# What a node's own load report carries, in ORCA's words.
UTILISATION, THROUGHPUT, LATENCY_MS = "cpu_utilization", "rps_fractional", "latency_ms"
REPORTED = (UTILISATION, THROUGHPUT, f"named_metrics.{THROUGHPUT}", f"named_metrics.{LATENCY_MS}")
_UNHEALTHY, _DRAINING = 2, 3  # envoy.config.core.v3.HealthStatus

Addresses = Mapping[str, tuple[str, int]]


def _any(message: Message) -> any_pb2.Any:
    packed = any_pb2.Any()
    packed.Pack(message, deterministic=True)
    return packed


def _ms(value: int) -> duration_pb2.Duration:
    return duration_pb2.Duration(seconds=value // 1000, nanos=value % 1000 * 1_000_000)


def _whole(value: int) -> wrappers_pb2.UInt32Value:
    return wrappers_pb2.UInt32Value(value=value)


def _ads() -> config_source_pb2.ConfigSource:
    return config_source_pb2.ConfigSource(
        ads=config_source_pb2.AggregatedConfigSource(), resource_api_version=config_source_pb2.V3
    )


def _bytes(message: Message) -> bytes:
    return bytes(message.SerializeToString(deterministic=True))


def listener(plan: ListenerPlan) -> listener_pb2.Listener:
    """One listener: HTTP on an address, or gRPC's API listener."""
    manager = hcm_pb2.HttpConnectionManager(
        stat_prefix=plan.name,
        rds=hcm_pb2.Rds(config_source=_ads(), route_config_name=ROUTES),
        http_filters=[
            hcm_pb2.HttpFilter(name="envoy.filters.http.router", typed_config=_any(router_pb2.Router()))
        ],
    )
    if plan.address is None:
        return listener_pb2.Listener(
            name=plan.name, api_listener=api_listener_pb2.ApiListener(api_listener=_any(manager))
        )
    host, port = plan.address
    chain = listener_components_pb2.FilterChain(
        filters=[
            listener_components_pb2.Filter(
                name="envoy.filters.network.http_connection_manager", typed_config=_any(manager)
            )
        ]
    )
    return listener_pb2.Listener(name=plan.name, address=_address(host, port), filter_chains=[chain])


def _address(host: str, port: int) -> address_pb2.Address:
    return address_pb2.Address(
        socket_address=address_pb2.SocketAddress(address=host.strip("[]"), port_value=port)
    )


def _route(plan: ClassPlan, prefix: str) -> route_components_pb2.Route:
    deadline = _ms(plan.timeout_ms)
    action = route_components_pb2.RouteAction(
        cluster=plan.name,
        timeout=deadline,
        max_stream_duration=route_components_pb2.RouteAction.MaxStreamDuration(
            max_stream_duration=deadline, grpc_timeout_header_max=deadline
        ),
    )
    if plan.retries:
        action.retry_policy.CopyFrom(
            route_components_pb2.RetryPolicy(
                retry_on=RETRY_ON,
                num_retries=_whole(plan.retries),
                retriable_status_codes=RETRY_STATUSES,
                host_selection_retry_max_attempts=5,
                retry_host_predicate=[
                    route_components_pb2.RetryPolicy.RetryHostPredicate(
                        name="envoy.retry_host_predicates.previous_hosts",
                        typed_config=_any(previous_hosts_pb2.PreviousHostsPredicate()),
                    )
                ],
            )
        )
    return route_components_pb2.Route(
        name=plan.name, match=route_components_pb2.RouteMatch(prefix=prefix), route=action
    )


def routes(plans: Iterable[ClassPlan], never: Iterable[str] = ()) -> route_pb2.RouteConfiguration:
    """The route table: a class by its path's beginning, the longest first.

    `never`: beginnings of paths that have no route here and must not be sent twice.
    """
    pairs = [(prefix, plan) for plan in plans for prefix in plan.prefixes]
    named = list(pairs)
    for path in sorted(set(never)):
        over = [pair for pair in named if path.startswith(pair[0]) and path != pair[0]]
        if over:  # guards against the retries of a class whose prefix is wide enough to take them along
            pairs.append((path, replace(max(over, key=lambda pair: len(pair[0]))[1], retries=0)))
    pairs.sort(key=lambda pair: (-len(pair[0]), pair[0]))
    host = route_components_pb2.VirtualHost(
        name=ROUTES, domains=["*"], routes=[_route(plan, prefix) for prefix, plan in pairs]
    )
    return route_pb2.RouteConfiguration(name=ROUTES, virtual_hosts=[host])


def cluster(plan: ClassPlan, config: ControlConfig) -> cluster_pb2.Cluster:
    """One class's cluster; all of them have the same endpoints."""
    outlier = config.outlier
    limits = circuit_breaker_pb2.CircuitBreakers.Thresholds(
        max_connections=_whole(plan.connections),
        max_pending_requests=_whole(plan.pending),
        max_requests=_whole(plan.requests),
        max_retries=_whole(max(plan.retries, 1) * 3),
    )
    common = cluster_pb2.Cluster.CommonLbConfig(
        # Guards against a proxy that sends to nodes that drain because too few others are left.
        healthy_panic_threshold=percent_pb2.Percent(value=0),
        locality_weighted_lb_config=cluster_pb2.Cluster.CommonLbConfig.LocalityWeightedLbConfig(),
    )
    return cluster_pb2.Cluster(
        name=plan.name,
        type=cluster_pb2.Cluster.EDS,
        eds_cluster_config=cluster_pb2.Cluster.EdsClusterConfig(eds_config=_ads(), service_name=ENDPOINTS),
        connect_timeout=_ms(config.connect_timeout_ms),
        lb_policy=cluster_pb2.Cluster.ROUND_ROBIN,
        circuit_breakers=circuit_breaker_pb2.CircuitBreakers(thresholds=[limits]),
        outlier_detection=outlier_detection_pb2.OutlierDetection(
            consecutive_5xx=_whole(outlier.consecutive),
            consecutive_gateway_failure=_whole(outlier.consecutive),
            interval=_ms(outlier.interval_ms),
            base_ejection_time=_ms(outlier.ejection_ms),
            max_ejection_percent=_whole(outlier.most_percent),
            # gRPC ejects by success rate or failure percentage alone; both stay at their defaults off.
            enforcing_success_rate=_whole(0),
            enforcing_failure_percentage=_whole(0),
        ),
        common_lb_config=common,
        lrs_server=config_source_pb2.ConfigSource(
            self=config_source_pb2.SelfConfigSource(), resource_api_version=config_source_pb2.V3
        ),
        lrs_report_endpoint_metrics=REPORTED,
    )


def _never_twice(config: ControlConfig, plans: Sequence[ClassPlan]) -> list[str]:
    """Prefixes of classes that are not among `plans` and must not be sent twice."""
    given = {plan.name for plan in config.classes}
    usual = [
        f"/{cls.name}"
        for cls in config.settings.classes
        if cls.idempotency is not Idempotency.SAFE and cls.name not in given
    ]
    hidden = [plan for plan in config.classes if plan not in plans and not plan.retries]
    return usual + [prefix for plan in hidden for prefix in plan.prefixes]


def static_resources(config: ControlConfig, group: Group) -> dict[str, list[Draft]]:
    """Listeners, routes and clusters that a group may have."""
    plans = [plan for plan in config.classes if group.sees(plan.name)]
    listeners = [plan for plan in config.listeners if group.sees(plan.name)]
    named = frozenset(plan.name for plan in plans)
    return {
        CDS: [Draft(plan.name, _bytes(cluster(plan, config)), frozenset({ENDPOINTS})) for plan in plans],
        LDS: [Draft(plan.name, _bytes(listener(plan)), frozenset({ROUTES})) for plan in listeners],
        RDS: [Draft(ROUTES, _bytes(routes(plans, _never_twice(config, plans))), named)]
        if plans and listeners
        else [],
    }


class AssignmentBuilder:
    """Builds the endpoints of one zone of subscribers in one form.

    `zones`: a locality for each zone, with weights on the endpoints.  `nodes`: a locality for each
    node, for clients (gRPC's) that weigh and report by locality alone.
    """

    def __init__(self, form: str, stale_after_ms: int) -> None:
        self._form = form
        self._cache: dict[tuple[str, int, int, int], bytes] = {}
        policy = endpoint_pb2.ClusterLoadAssignment.Policy()
        if stale_after_ms and form == "zones":
            policy.endpoint_stale_after.CopyFrom(_ms(stale_after_ms))
        self._tail = sized(4, _bytes(policy)) if policy.ByteSize() else b""

    def draft(self, tiers: Sequence[LocalityWeights], addresses: Addresses) -> Draft:
        """The assignment as it stands."""
        fresh: dict[tuple[str, int, int, int], bytes] = {}
        parts = [sized(1, ENDPOINTS.encode())]
        for tier in tiers:
            if self._form == "zones":
                parts.append(sized(2, self._zone(tier, addresses, fresh)))
            else:
                parts += self._nodes(tier, addresses, fresh)
        self._cache = fresh  # what was not used any more is forgotten
        return Draft(ENDPOINTS, b"".join([*parts, self._tail]))

    def _zone(
        self, tier: LocalityWeights, addresses: Addresses, fresh: dict[tuple[str, int, int, int], bytes]
    ) -> bytes:
        parts = [sized(1, sized(2, tier.zone.encode()) if tier.zone else b"")]
        for share in tier.endpoints:
            health = _DRAINING if share.is_draining else 0 if share.weight else _UNHEALTHY
            parts.append(self._endpoint(addresses[share.host], health, share.weight or 1, fresh))
        if tier.weight:
            parts.append(sized(3, b"\x08" + varint(tier.weight)))
        if tier.priority:
            parts.append(b"\x28" + varint(tier.priority))
        return b"".join(parts)

    def _nodes(
        self, tier: LocalityWeights, addresses: Addresses, fresh: dict[tuple[str, int, int, int], bytes]
    ) -> list[bytes]:
        end = b"\x28" + varint(tier.priority) if tier.priority else b""
        zone = sized(2, tier.zone.encode())
        return [
            sized(
                2,
                sized(1, zone + sized(3, share.host.encode()))
                + self._endpoint(addresses[share.host], 0, 1, fresh)
                + sized(3, b"\x08" + varint(share.weight))
                + end,
            )
            for share in tier.endpoints
            if share.weight
        ]

    def _endpoint(
        self,
        address: tuple[str, int],
        health: int,
        weight: int,
        fresh: dict[tuple[str, int, int, int], bytes],
    ) -> bytes:
        key = (*address, health, weight)
        made = self._cache.get(key)
        if made is None:
            made = sized(1, sized(1, _bytes(_address(*address))))
            if health:
                made += b"\x10" + varint(health)
            made = sized(2, made + sized(4, b"\x08" + varint(weight)))
        fresh[key] = made
        return made

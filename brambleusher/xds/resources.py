"""Build listeners, routes, clusters and endpoint assignments for Envoy and gRPC.

Listeners, routes and clusters depend only on the configuration and are built with the published protobuf
classes.  Assignments are joined from cached bytes, since every change of a weight or a state needs a new
assignment.
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
from brambleusher.xds.config import ClassConfig, ControlConfig, ListenerConfig, SubscriberGroup
from brambleusher.xds.snapshot import CDS, LDS, RDS, UnversionedResource, length_delimited, varint

ROUTES, ENDPOINTS = "routes", "execute-nodes"
RETRY_ON = "connect-failure,refused-stream,unavailable,retriable-status-codes"
RETRY_STATUSES = (503, 504)
# Names of the metrics in a host's load report, as defined by ORCA (Open Request Cost Aggregation).
UTILISATION, THROUGHPUT, LATENCY_MS = "cpu_utilization", "rps_fractional", "latency_ms"
REPORTED_METRICS = (UTILISATION, THROUGHPUT, f"named_metrics.{THROUGHPUT}", f"named_metrics.{LATENCY_MS}")
_UNHEALTHY, _DRAINING = 2, 3  # values of the enum envoy.config.core.v3.HealthStatus
HOST_SELECTION_ATTEMPTS = 5  # a retry picks a host up to this many times to find one without an attempt
ACTIVE_RETRIES_PER_RETRY = 3  # concurrent retries of one proxy to a cluster, per retry allowed for a request
MS_PER_S, NS_PER_MS = 1000, 1_000_000
# Encoded tags of protobuf varint fields.
_VALUE_TAG = b"\x08"  # tag of the field UInt32Value.value
_HEALTH_STATUS_TAG = b"\x10"  # tag of the field LbEndpoint.health_status
_PRIORITY_TAG = b"\x28"  # tag of the field LocalityLbEndpoints.priority

Addresses = Mapping[str, tuple[str, int]]


def _any(message: Message) -> any_pb2.Any:
    packed = any_pb2.Any()
    packed.Pack(message, deterministic=True)
    return packed


def _ms(value: int) -> duration_pb2.Duration:
    return duration_pb2.Duration(seconds=value // MS_PER_S, nanos=value % MS_PER_S * NS_PER_MS)


def _uint32(value: int) -> wrappers_pb2.UInt32Value:
    return wrappers_pb2.UInt32Value(value=value)


def _ads() -> config_source_pb2.ConfigSource:
    return config_source_pb2.ConfigSource(
        ads=config_source_pb2.AggregatedConfigSource(), resource_api_version=config_source_pb2.V3
    )


def _bytes(message: Message) -> bytes:
    return bytes(message.SerializeToString(deterministic=True))


def build_listener(listener_config: ListenerConfig) -> listener_pb2.Listener:
    """Build a listener: an HTTP listener if one is configured, else an API listener for gRPC."""
    manager = hcm_pb2.HttpConnectionManager(
        stat_prefix=listener_config.name,
        rds=hcm_pb2.Rds(config_source=_ads(), route_config_name=ROUTES),
        http_filters=[
            hcm_pb2.HttpFilter(name="envoy.filters.http.router", typed_config=_any(router_pb2.Router()))
        ],
    )
    if listener_config.address is None:
        return listener_pb2.Listener(
            name=listener_config.name, api_listener=api_listener_pb2.ApiListener(api_listener=_any(manager))
        )
    host, port = listener_config.address
    chain = listener_components_pb2.FilterChain(
        filters=[
            listener_components_pb2.Filter(
                name="envoy.filters.network.http_connection_manager", typed_config=_any(manager)
            )
        ]
    )
    return listener_pb2.Listener(
        name=listener_config.name, address=_address(host, port), filter_chains=[chain]
    )


def _address(host: str, port: int) -> address_pb2.Address:
    return address_pb2.Address(
        socket_address=address_pb2.SocketAddress(address=host.strip("[]"), port_value=port)
    )


def _build_route(class_config: ClassConfig, prefix: str) -> route_components_pb2.Route:
    deadline = _ms(class_config.timeout_ms)
    action = route_components_pb2.RouteAction(
        cluster=class_config.name,
        timeout=deadline,
        max_stream_duration=route_components_pb2.RouteAction.MaxStreamDuration(
            max_stream_duration=deadline, grpc_timeout_header_max=deadline
        ),
    )
    if class_config.retries:
        action.retry_policy.CopyFrom(
            route_components_pb2.RetryPolicy(
                retry_on=RETRY_ON,
                num_retries=_uint32(class_config.retries),
                retriable_status_codes=RETRY_STATUSES,
                host_selection_retry_max_attempts=HOST_SELECTION_ATTEMPTS,
                retry_host_predicate=[
                    route_components_pb2.RetryPolicy.RetryHostPredicate(
                        name="envoy.retry_host_predicates.previous_hosts",
                        typed_config=_any(previous_hosts_pb2.PreviousHostsPredicate()),
                    )
                ],
            )
        )
    return route_components_pb2.Route(
        name=class_config.name, match=route_components_pb2.RouteMatch(prefix=prefix), route=action
    )


def build_route_configuration(
    class_configs: Iterable[ClassConfig], non_repeatable: Iterable[str] = ()
) -> route_pb2.RouteConfiguration:
    """Build the route configuration: a route per path prefix of a class, the longest prefix first.

    Args:
        class_configs: The classes that get routes.
        non_repeatable: Prefixes of other classes, whose requests must not be sent twice.
    """
    pairs = [(prefix, class_config) for class_config in class_configs for prefix in class_config.prefixes]
    explicit = list(pairs)
    for path in sorted(set(non_repeatable)):
        covering = [pair for pair in explicit if path.startswith(pair[0]) and path != pair[0]]
        if covering:  # without its own route the path would get the retries of the class that covers it
            _, nearest = max(covering, key=lambda pair: len(pair[0]))
            pairs.append((path, replace(nearest, retries=0)))
    pairs.sort(key=lambda pair: (-len(pair[0]), pair[0]))
    host = route_components_pb2.VirtualHost(
        name=ROUTES,
        domains=["*"],
        routes=[_build_route(class_config, prefix) for prefix, class_config in pairs],
    )
    return route_pb2.RouteConfiguration(name=ROUTES, virtual_hosts=[host])


def build_cluster(class_config: ClassConfig, config: ControlConfig) -> cluster_pb2.Cluster:
    """Build the cluster for a class; all clusters have the same endpoints."""
    outlier = config.outlier
    limits = circuit_breaker_pb2.CircuitBreakers.Thresholds(
        max_connections=_uint32(class_config.connections),
        max_pending_requests=_uint32(class_config.pending),
        max_requests=_uint32(class_config.requests),
        max_retries=_uint32(max(class_config.retries, 1) * ACTIVE_RETRIES_PER_RETRY),
    )
    common = cluster_pb2.Cluster.CommonLbConfig(
        # With a panic threshold above 0 a proxy sends to draining endpoints when too few others are left.
        healthy_panic_threshold=percent_pb2.Percent(value=0),
        locality_weighted_lb_config=cluster_pb2.Cluster.CommonLbConfig.LocalityWeightedLbConfig(),
    )
    return cluster_pb2.Cluster(
        name=class_config.name,
        type=cluster_pb2.Cluster.EDS,
        eds_cluster_config=cluster_pb2.Cluster.EdsClusterConfig(eds_config=_ads(), service_name=ENDPOINTS),
        connect_timeout=_ms(config.connect_timeout_ms),
        lb_policy=cluster_pb2.Cluster.ROUND_ROBIN,
        circuit_breakers=circuit_breaker_pb2.CircuitBreakers(thresholds=[limits]),
        outlier_detection=outlier_detection_pb2.OutlierDetection(
            consecutive_5xx=_uint32(outlier.consecutive_errors),
            consecutive_gateway_failure=_uint32(outlier.consecutive_errors),
            interval=_ms(outlier.interval_ms),
            base_ejection_time=_ms(outlier.ejection_ms),
            max_ejection_percent=_uint32(outlier.max_ejected_percent),
            # gRPC ejects only by success rate or failure percentage, and both are off by default.
            enforcing_success_rate=_uint32(0),
            enforcing_failure_percentage=_uint32(0),
        ),
        common_lb_config=common,
        lrs_server=config_source_pb2.ConfigSource(
            self=config_source_pb2.SelfConfigSource(), resource_api_version=config_source_pb2.V3
        ),
        lrs_report_endpoint_metrics=REPORTED_METRICS,
    )


def _non_repeatable_prefixes(config: ControlConfig, class_configs: Sequence[ClassConfig]) -> list[str]:
    """Return the prefixes of classes outside `class_configs` whose requests must not be sent twice."""
    configured = {class_config.name for class_config in config.classes}
    default_prefixes = [
        f"/{cls.name}"
        for cls in config.settings.classes
        if cls.idempotency is not Idempotency.SAFE and cls.name not in configured
    ]
    excluded = [
        class_config
        for class_config in config.classes
        if class_config not in class_configs and not class_config.retries
    ]
    return default_prefixes + [prefix for class_config in excluded for prefix in class_config.prefixes]


def build_static_resources(
    config: ControlConfig, group: SubscriberGroup
) -> dict[str, list[UnversionedResource]]:
    """Build the listeners, routes and clusters that a group may subscribe to, by kind."""
    class_configs = [
        class_config for class_config in config.classes if group.may_subscribe_to(class_config.name)
    ]
    listeners = [each for each in config.listeners if group.may_subscribe_to(each.name)]
    cluster_names = frozenset(class_config.name for class_config in class_configs)
    return {
        CDS: [
            UnversionedResource(
                class_config.name, _bytes(build_cluster(class_config, config)), frozenset({ENDPOINTS})
            )
            for class_config in class_configs
        ],
        LDS: [
            UnversionedResource(each.name, _bytes(build_listener(each)), frozenset({ROUTES}))
            for each in listeners
        ],
        RDS: [
            UnversionedResource(
                ROUTES,
                _bytes(
                    build_route_configuration(class_configs, _non_repeatable_prefixes(config, class_configs))
                ),
                cluster_names,
            )
        ]
        if class_configs and listeners
        else [],
    }


class AssignmentBuilder:
    """Builds the endpoint assignment for the subscribers of one zone with the same locality level.

    The level "zones" has one locality for each zone, with weights on the endpoints.  The level "nodes" has
    one locality for each node, for gRPC clients, which support weights and load reports only by locality.
    """

    def __init__(self, locality_level: str, stale_after_ms: int) -> None:
        self._locality_level = locality_level
        self._cache: dict[tuple[str, int, int, int], bytes] = {}
        policy = endpoint_pb2.ClusterLoadAssignment.Policy()
        if stale_after_ms and locality_level == "zones":
            policy.endpoint_stale_after.CopyFrom(_ms(stale_after_ms))
        self._tail = length_delimited(4, _bytes(policy)) if policy.ByteSize() else b""

    def build(self, tiers: Sequence[LocalityWeights], addresses: Addresses) -> UnversionedResource:
        """Build the assignment for the given weights and states."""
        new_cache: dict[tuple[str, int, int, int], bytes] = {}
        parts = [length_delimited(1, ENDPOINTS.encode())]
        for tier in tiers:
            if self._locality_level == "zones":
                parts.append(length_delimited(2, self._zone(tier, addresses, new_cache)))
            else:
                parts += self._nodes(tier, addresses, new_cache)
        self._cache = new_cache  # cached entries that this assignment did not use are dropped
        return UnversionedResource(ENDPOINTS, b"".join([*parts, self._tail]))

    def _zone(
        self, tier: LocalityWeights, addresses: Addresses, new_cache: dict[tuple[str, int, int, int], bytes]
    ) -> bytes:
        parts = [length_delimited(1, length_delimited(2, tier.zone.encode()) if tier.zone else b"")]
        for host_weight in tier.endpoints:
            health = _DRAINING if host_weight.is_draining else 0 if host_weight.weight else _UNHEALTHY
            parts.append(
                self._endpoint(addresses[host_weight.host], health, host_weight.weight or 1, new_cache)
            )
        if tier.weight:
            parts.append(length_delimited(3, _VALUE_TAG + varint(tier.weight)))
        if tier.priority:
            parts.append(_PRIORITY_TAG + varint(tier.priority))
        return b"".join(parts)

    def _nodes(
        self, tier: LocalityWeights, addresses: Addresses, new_cache: dict[tuple[str, int, int, int], bytes]
    ) -> list[bytes]:
        encoded_priority = _PRIORITY_TAG + varint(tier.priority) if tier.priority else b""
        zone = length_delimited(2, tier.zone.encode())
        return [
            length_delimited(
                2,
                length_delimited(1, zone + length_delimited(3, host_weight.host.encode()))
                + self._endpoint(addresses[host_weight.host], 0, 1, new_cache)
                + length_delimited(3, _VALUE_TAG + varint(host_weight.weight))
                + encoded_priority,
            )
            for host_weight in tier.endpoints
            if host_weight.weight
        ]

    def _endpoint(
        self,
        address: tuple[str, int],
        health: int,
        weight: int,
        new_cache: dict[tuple[str, int, int, int], bytes],
    ) -> bytes:
        key = (*address, health, weight)
        encoded = self._cache.get(key)
        if encoded is None:
            encoded = length_delimited(1, length_delimited(1, _bytes(_address(*address))))
            if health:
                encoded += _HEALTH_STATUS_TAG + varint(health)
            encoded = length_delimited(2, encoded + length_delimited(4, _VALUE_TAG + varint(weight)))
        new_cache[key] = encoded
        return encoded

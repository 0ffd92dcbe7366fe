"""Stand-ins for proxies that subscribe over xDS, for both variants of the protocol, without I/O.

The stand-ins implement the client side of the published protocol in Envoy's order (clusters, endpoints,
listeners, routes).  They share no code with the service and decode the published protobuf messages.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.core.v3 import base_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.listener.v3 import listener_pb2
from envoy.config.route.v3 import route_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import http_connection_manager_pb2 as hcm_pb2
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import any_pb2
from google.rpc import status_pb2

PREFIX = "type.googleapis.com/"
CLUSTER = PREFIX + cluster_pb2.Cluster.DESCRIPTOR.full_name
ASSIGNMENT = PREFIX + endpoint_pb2.ClusterLoadAssignment.DESCRIPTOR.full_name
LISTENER = PREFIX + listener_pb2.Listener.DESCRIPTOR.full_name
ROUTES = PREFIX + route_pb2.RouteConfiguration.DESCRIPTOR.full_name
_MESSAGE_TYPES: dict[str, Any] = {
    CLUSTER: cluster_pb2.Cluster, ASSIGNMENT: endpoint_pb2.ClusterLoadAssignment,
    LISTENER: listener_pb2.Listener, ROUTES: route_pb2.RouteConfiguration,
}  # fmt: skip
STREAM_METHODS = {
    False: "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources",
    True: "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources",
}


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A node as described in an assignment that a proxy received."""

    address: str
    usable: bool
    draining: bool
    weight: int
    priority: int
    zone: str
    node: str


def endpoints_of(assignment: Any) -> Iterator[Endpoint]:
    """Yield the nodes of an assignment.

    Where each node has a locality of its own (a sub-zone), the locality's weight is the node's weight.
    """
    for group in assignment.endpoints:
        for each in group.lb_endpoints:
            address = each.endpoint.address.socket_address
            has_own_locality = bool(group.locality.sub_zone)
            weight = (
                group.load_balancing_weight.value if has_own_locality else each.load_balancing_weight.value
            )
            yield Endpoint(
                f"{address.address}:{address.port_value}", each.health_status in (0, 1),
                each.health_status == 3, weight, group.priority, group.locality.zone, group.locality.sub_zone,
            )  # fmt: skip


def routes_of(listener: Any) -> str | None:
    """Return the name of the route table that a listener refers to."""
    manager = hcm_pb2.HttpConnectionManager()
    packed = listener.api_listener.api_listener
    if not listener.HasField("api_listener"):
        packed = listener.filter_chains[0].filters[0].typed_config
    return manager.rds.route_config_name if packed.Unpack(manager) else None


@dataclass(slots=True)
class _Subscription:
    """Subscription to one resource type: the requested names, and the resources received."""

    names: list[str]  # requested names; empty for all resources
    version: str = ""
    nonce: str = ""
    resources: dict[str, Any] = field(default_factory=dict)
    versions: dict[str, str] = field(default_factory=dict)


class ProxyStandIn:
    """A proxy that turns the bytes of responses into the bytes of requests, over any number of connections.

    `verdict` is called with a response's type and resources, and returns a reason to reject the response
    or None to accept it.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        incremental: bool,
        agent: str = "stand-in",
        verdict: Callable[[str, list[Any]], str | None] = lambda kind, resources: None,
    ) -> None:
        self.incremental, self.verdict = incremental, verdict
        self.node = base_pb2.Node(id=name, user_agent_name=agent, locality=base_pb2.Locality(zone=zone))
        self.kinds: dict[str, _Subscription] = {}
        self.responses = 0

    # --- requests -------------------------------------------------------------------------------

    def connect(self, forget: bool = False) -> list[bytes]:
        """Return the first requests of a new stream; `forget` discards all state, as a restart does."""
        if forget:
            self.kinds.clear()
        self.kinds.setdefault(CLUSTER, _Subscription([]))
        for subscription in self.kinds.values():
            subscription.nonce = ""
        return [self._request(kind, first=True) for kind in _MESSAGE_TYPES if kind in self.kinds]

    def _request(
        self, kind: str, first: bool = False, error: str | None = None, subscribe: list[str] | None = None,
        unsubscribe: list[str] | None = None,
    ) -> bytes:  # fmt: skip
        subscription = self.kinds[kind]
        message: Any
        if self.incremental:
            message = discovery_pb2.DeltaDiscoveryRequest(type_url=kind, response_nonce=subscription.nonce)
            if first:
                message.resource_names_subscribe.extend(subscription.names)
                message.initial_resource_versions.update(subscription.versions)
            message.resource_names_subscribe.extend(subscribe or [])
            message.resource_names_unsubscribe.extend(unsubscribe or [])
        else:
            message = discovery_pb2.DiscoveryRequest(
                type_url=kind,
                response_nonce=subscription.nonce,
                version_info=subscription.version,
                resource_names=subscription.names,
            )
        if first:
            message.node.CopyFrom(self.node)
        if error is not None:
            message.error_detail.CopyFrom(status_pb2.Status(code=3, message=error))
        return bytes(message.SerializeToString())

    def acknowledge(self, kind: str, nonce: str) -> bytes:
        """Return the request that accepts a response by its nonce, without decoding the response."""
        self.kinds[kind].nonce = nonce
        return self._request(kind)

    # --- responses ------------------------------------------------------------------------------

    def receive(self, data: bytes) -> list[bytes]:
        """Process a response and return the resulting requests, the acknowledgement first."""
        self.responses += 1
        message: Any
        if self.incremental:
            message = discovery_pb2.DeltaDiscoveryResponse.FromString(data)
            packed = [(each.name, each.version, each.resource) for each in message.resources]
        else:
            message = discovery_pb2.DiscoveryResponse.FromString(data)
            packed = [("", message.version_info, each) for each in message.resources]
        kind = message.type_url
        subscription = self.kinds[kind]
        subscription.nonce = message.nonce
        resources = [self._unpack(kind, each) for _, _, each in packed]
        reason = self.verdict(kind, resources)
        if reason is not None:
            return [self._request(kind, error=reason)]
        if not self.incremental:
            subscription.version = message.version_info
        if not self.incremental and kind in (CLUSTER, LISTENER):
            subscription.resources, subscription.versions = {}, {}
        for (_, version, _), resource in zip(packed, resources, strict=True):
            name = resource.cluster_name if kind == ASSIGNMENT else resource.name
            subscription.resources[name], subscription.versions[name] = resource, version
        for name in getattr(message, "removed_resources", ()):
            subscription.resources.pop(name, None)
            subscription.versions.pop(name, None)
        return [self._request(kind), *self._follow_up(kind)]

    @staticmethod
    def _unpack(kind: str, packed: any_pb2.Any) -> Any:
        assert packed.type_url == kind, "a resource of another type than the response says"
        return _MESSAGE_TYPES[kind].FromString(packed.value)

    def _follow_up(self, kind: str) -> list[bytes]:
        """Return the requests for resources that a response of one type refers to."""
        if kind == CLUSTER:
            clusters = self.kinds[CLUSTER].resources.values()
            names = sorted({each.eds_cluster_config.service_name or each.name for each in clusters})
            return self._subscribe(ASSIGNMENT, names)
        if kind == ASSIGNMENT and LISTENER not in self.kinds:
            self.kinds[LISTENER] = _Subscription([])
            return [self._request(LISTENER, first=True)]
        if kind == LISTENER:
            found = {routes_of(each) for each in self.kinds[LISTENER].resources.values()}
            return self._subscribe(ROUTES, sorted(name for name in found if name))
        return []

    def _subscribe(self, kind: str, names: list[str]) -> list[bytes]:
        subscription = self.kinds.get(kind)
        if subscription is None:
            if not names:
                return []
            self.kinds[kind] = _Subscription(names)
            return [self._request(kind, first=True)]
        if names == subscription.names:
            return []
        subscribe = [name for name in names if name not in subscription.names]
        unsubscribe = [name for name in subscription.names if name not in names]
        subscription.names = names
        for name in unsubscribe:
            subscription.resources.pop(name, None)
            subscription.versions.pop(name, None)
        return [self._request(kind, subscribe=subscribe, unsubscribe=unsubscribe)]

    # --- received state -------------------------------------------------------------------------

    def endpoints(self) -> list[Endpoint]:
        """Return all nodes of the received assignments."""
        subscription = self.kinds.get(ASSIGNMENT)
        return (
            []
            if subscription is None
            else [e for each in subscription.resources.values() for e in endpoints_of(each)]
        )

    def is_complete(self) -> bool:
        """Return whether the proxy has routes, and the cluster and assignment of each route."""
        if ROUTES not in self.kinds or not self.kinds[ROUTES].resources:
            return False
        clusters = self.kinds[CLUSTER].resources
        for table in self.kinds[ROUTES].resources.values():
            for host in table.virtual_hosts:
                for route in host.routes:
                    cluster = clusters.get(route.route.cluster)
                    if cluster is None:
                        return False
                    if cluster.eds_cluster_config.service_name not in self.kinds[ASSIGNMENT].resources:
                        return False
        return True

    def usable(self) -> dict[str, int]:
        """Return the addresses and weights of the usable nodes with the best priority."""
        nodes = [each for each in self.endpoints() if each.usable and each.weight]
        best = min((each.priority for each in nodes), default=0)
        return {each.address: each.weight for each in nodes if each.priority == best}

"""Decode discovery requests and load reports, and encode the settings for load reports.

Every value from a subscriber's message is limited in size here or where it is used.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from envoy.config.endpoint.v3 import load_report_pb2
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf.message import DecodeError

from brambleusher.xds.errors import ProtocolError
from brambleusher.xds.resources import LATENCY_MS, THROUGHPUT, UTILISATION
from brambleusher.xds.subscriber import Request

ADS = "envoy.service.discovery.v3.AggregatedDiscoveryService"
LRS = "envoy.service.load_stats.v3.LoadReportingService"
MAX_COUNT = 1_000_000_000  # a request count in a load report is capped at this value
MAX_NODE_CHARS = 256
MAX_AGENT_CHARS = 100
_METRICS = {
    UTILISATION: UTILISATION, f"named_metrics.{UTILISATION}": UTILISATION,
    THROUGHPUT: THROUGHPUT, f"named_metrics.{THROUGHPUT}": THROUGHPUT,
    LATENCY_MS: LATENCY_MS, f"named_metrics.{LATENCY_MS}": LATENCY_MS,
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """The id, zone and user agent that a subscriber sends in its first request."""

    id: str = ""
    zone: str = ""
    agent: str = ""


@dataclass(frozen=True, slots=True)
class LoadSample:
    """The requests to one host since the last load report, and the host's metrics as (count, total)."""

    cluster: str
    host: str  # the host's name if the locality contains it, else empty
    address: tuple[str, int]
    successes: int
    errors: int
    metrics: dict[str, tuple[int, float]]


def _node_identity(node: object) -> NodeIdentity:
    return NodeIdentity(
        str(getattr(node, "id", ""))[:MAX_NODE_CHARS],
        str(getattr(getattr(node, "locality", None), "zone", ""))[:MAX_NODE_CHARS],
        str(getattr(node, "user_agent_name", ""))[:MAX_AGENT_CHARS],
    )


def _error(message: discovery_pb2.DiscoveryRequest | discovery_pb2.DeltaDiscoveryRequest) -> str | None:
    return (message.error_detail.message or "no reason given") if message.HasField("error_detail") else None


def decode_request(data: bytes, incremental: bool) -> tuple[Request, NodeIdentity]:
    """Decode a discovery request of either variant, and the node that it names.

    Raises:
        ProtocolError: The data can't be decoded as a discovery request.
    """
    try:
        if incremental:
            delta = discovery_pb2.DeltaDiscoveryRequest.FromString(data)
            request = Request(
                delta.type_url, delta.response_nonce, _error(delta),
                subscribe=tuple(delta.resource_names_subscribe),
                unsubscribe=tuple(delta.resource_names_unsubscribe),
                initial_versions=dict(delta.initial_resource_versions),
            )  # fmt: skip
            return request, _node_identity(delta.node)
        state = discovery_pb2.DiscoveryRequest.FromString(data)
    except DecodeError:
        raise ProtocolError("a message that can't be read") from None
    request = Request(
        state.type_url, state.response_nonce, _error(state),
        version=state.version_info, names=tuple(state.resource_names),
    )  # fmt: skip
    return request, _node_identity(state.node)


def _accepted_metrics(pairs: Iterable[tuple[str, int, float]]) -> dict[str, tuple[int, float]]:
    accepted = {}
    for name, count, total in pairs:
        known = _METRICS.get(name)
        if known is not None and 0 < count <= MAX_COUNT and math.isfinite(total) and total >= 0:
            accepted[known] = (count, total)
    return accepted


def _named_metrics(stats: Iterable[load_report_pb2.EndpointLoadMetricStats]) -> list[tuple[str, int, float]]:
    return [
        (metric.metric_name, metric.num_requests_finished_with_metric, metric.total_metric_value)
        for metric in stats
    ]


def _count(value: int) -> int:
    return min(int(value), MAX_COUNT)


def decode_load_report(data: bytes) -> tuple[list[LoadSample], NodeIdentity]:
    """Decode a load report into one sample for each host and cluster, and the node that sent the report.

    Raises:
        ProtocolError: The data can't be decoded as a load report.
    """
    try:
        message = lrs_pb2.LoadStatsRequest.FromString(data)
    except DecodeError:
        raise ProtocolError("a load report that can't be read") from None
    samples = []
    for cluster in message.cluster_stats:
        for locality in cluster.upstream_locality_stats:
            samples += [
                _endpoint_sample(cluster.cluster_name, endpoint)
                for endpoint in locality.upstream_endpoint_stats
            ]
            if locality.locality.sub_zone and not locality.upstream_endpoint_stats:
                samples.append(_locality_sample(cluster.cluster_name, locality))
    return samples, _node_identity(message.node)


def _endpoint_sample(cluster: str, stats: load_report_pb2.UpstreamEndpointStats) -> LoadSample:
    address = stats.address.socket_address
    return LoadSample(
        cluster, "", (address.address, address.port_value),
        _count(stats.total_successful_requests), _count(stats.total_error_requests),
        _accepted_metrics(_named_metrics(stats.load_metric_stats)),
    )  # fmt: skip


def _locality_sample(cluster: str, stats: load_report_pb2.UpstreamLocalityStats) -> LoadSample:
    """Decode the statistics of a client that reports by locality, where each locality is one host."""
    cpu = stats.cpu_utilization
    metrics = [(UTILISATION, cpu.num_requests_finished_with_metric, cpu.total_metric_value)]
    return LoadSample(
        cluster, stats.locality.sub_zone, ("", 0),
        _count(stats.total_successful_requests), _count(stats.total_error_requests),
        _accepted_metrics([*metrics, *_named_metrics(stats.load_metric_stats)]),
    )  # fmt: skip


def encode_load_report_settings(interval_ms: int) -> bytes:
    """Encode the response that asks for reports on all clusters by endpoint, at the given interval."""
    response = lrs_pb2.LoadStatsResponse(send_all_clusters=True, report_endpoint_granularity=True)
    response.load_reporting_interval.FromMilliseconds(interval_ms)
    return bytes(response.SerializeToString())

"""Requests and load reports from bytes, and the few small messages that go back.

Everything that a subscriber may put into a message is bounded here or by its reader.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from envoy.config.endpoint.v3 import load_report_pb2
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf.message import DecodeError

from brambleusher.xds.faults import ProtocolError
from brambleusher.xds.resources import LATENCY_MS, THROUGHPUT, UTILISATION
from brambleusher.xds.subscriber import Request

ADS = "envoy.service.discovery.v3.AggregatedDiscoveryService"
LRS = "envoy.service.load_stats.v3.LoadReportingService"
MAX_COUNT = 1_000_000_000
_METRICS = {
    UTILISATION: UTILISATION, f"named_metrics.{UTILISATION}": UTILISATION,
    THROUGHPUT: THROUGHPUT, f"named_metrics.{THROUGHPUT}": THROUGHPUT,
    LATENCY_MS: LATENCY_MS, f"named_metrics.{LATENCY_MS}": LATENCY_MS,
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class Who:
    """What a subscriber says of itself in its first request."""

    id: str = ""
    zone: str = ""
    agent: str = ""


@dataclass(frozen=True, slots=True)
class Sum:
    """Attempts at one node since the last report, and its own figures as (count, total) by name."""

    cluster: str
    node: str  # the node's id where the locality names it, else empty
    address: tuple[str, int]
    served: int
    failed: int
    figures: dict[str, tuple[int, float]]


def _who(node: object) -> Who:
    return Who(
        str(getattr(node, "id", ""))[:256],
        str(getattr(getattr(node, "locality", None), "zone", ""))[:256],
        str(getattr(node, "user_agent_name", ""))[:100],
    )


def _error(message: discovery_pb2.DiscoveryRequest | discovery_pb2.DeltaDiscoveryRequest) -> str | None:
    return (message.error_detail.message or "no reason given") if message.HasField("error_detail") else None


def decode_request(data: bytes, incremental: bool) -> tuple[Request, Who]:
    """A request of either variant and the node it names; raises `ProtocolError`."""
    try:
        if incremental:
            delta = discovery_pb2.DeltaDiscoveryRequest.FromString(data)
            request = Request(
                delta.type_url, delta.response_nonce, _error(delta),
                subscribe=tuple(delta.resource_names_subscribe),
                unsubscribe=tuple(delta.resource_names_unsubscribe),
                held=dict(delta.initial_resource_versions),
            )  # fmt: skip
            return request, _who(delta.node)
        state = discovery_pb2.DiscoveryRequest.FromString(data)
    except DecodeError:
        raise ProtocolError("a message that can't be read") from None
    request = Request(
        state.type_url, state.response_nonce, _error(state),
        version=state.version_info, names=tuple(state.resource_names),
    )  # fmt: skip
    return request, _who(state.node)


def _figures(pairs: Iterable[tuple[str, int, float]]) -> dict[str, tuple[int, float]]:
    out = {}
    for name, count, total in pairs:
        known = _METRICS.get(name)
        if known is not None and 0 < count <= MAX_COUNT and math.isfinite(total) and total >= 0:
            out[known] = (count, total)
    return out


def _named(stats: Iterable[load_report_pb2.EndpointLoadMetricStats]) -> list[tuple[str, int, float]]:
    return [(s.metric_name, s.num_requests_finished_with_metric, s.total_metric_value) for s in stats]


def _count(value: int) -> int:
    return min(int(value), MAX_COUNT)


def decode_loads(data: bytes) -> tuple[list[Sum], Who]:
    """A load report's sums by node, and who sends it; raises `ProtocolError`."""
    try:
        message = lrs_pb2.LoadStatsRequest.FromString(data)
    except DecodeError:
        raise ProtocolError("a load report that can't be read") from None
    sums = []
    for cluster in message.cluster_stats:
        for part in cluster.upstream_locality_stats:
            for each in part.upstream_endpoint_stats:
                where = each.address.socket_address
                sums.append(
                    Sum(
                        cluster.cluster_name, "", (where.address, where.port_value),
                        _count(each.total_successful_requests), _count(each.total_error_requests),
                        _figures(_named(each.load_metric_stats)),
                    )
                )  # fmt: skip
            if part.locality.sub_zone and not part.upstream_endpoint_stats:
                own = part.cpu_utilization
                figures = [(UTILISATION, own.num_requests_finished_with_metric, own.total_metric_value)]
                sums.append(
                    Sum(
                        cluster.cluster_name, part.locality.sub_zone, ("", 0),
                        _count(part.total_successful_requests), _count(part.total_error_requests),
                        _figures([*figures, *_named(part.load_metric_stats)]),
                    )
                )  # fmt: skip
    return sums, _who(message.node)


def ask_for_loads(every_ms: int) -> bytes:
    """The answer to a load report's first message: report on everything, by node, so often."""
    answer = lrs_pb2.LoadStatsResponse(send_all_clusters=True, report_endpoint_granularity=True)
    answer.load_reporting_interval.FromMilliseconds(every_ms)
    return bytes(answer.SerializeToString())

"""Serve the status of an instance as JSON and HTML, and compare a subscriber's resources with the newest."""

from __future__ import annotations

import asyncio
import contextlib
import difflib
import html
import json
import logging
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import TypedDict
from urllib.parse import unquote

from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.config.listener.v3 import listener_pb2
from envoy.config.route.v3 import route_pb2
from google.protobuf.json_format import MessageToDict
from google.protobuf.message import Message

from brambleusher.loadbalancing.view_consistency import ViewPosition
from brambleusher.net.http import MessageReader
from brambleusher.xds.core import Core, Stream, Zone
from brambleusher.xds.snapshot import CDS, EDS, KIND_ABBREVIATIONS, LDS, RDS, SEND_ORDER, Resource
from brambleusher.xds.subscriber import WILDCARD

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 16
REQUEST_TIMEOUT_S = 5.0
READ_BYTES = 4096
MAX_DIFF_LINES = 2000
MAX_LISTED_NAMES, MAX_LISTED_HOSTS = 20, 100  # longer lists are cut off in the status
NS_PER_MS = 1e6
_HEALTH = {health_check_pb2.UNHEALTHY: "left out", health_check_pb2.DRAINING: "draining"}
_PAGE_COLUMNS = ("subscriber", "zone", "variant", "acknowledged", "lag ms", "rejected")

MESSAGE_TYPES: dict[str, type[Message]] = {
    CDS: cluster_pb2.Cluster, EDS: endpoint_pb2.ClusterLoadAssignment,
    LDS: listener_pb2.Listener, RDS: route_pb2.RouteConfiguration,
}  # fmt: skip


class RejectionStatus(TypedDict):
    """A resource version that a subscriber rejected, as shown in the status."""

    version: str
    reason: str


class KindStatus(TypedDict):
    """A subscription to one kind of resource, as shown in the status."""

    wants: list[str]
    sent: str
    acknowledged: str
    waiting: int
    rejected: dict[str, RejectionStatus]


class SubscriberStatus(TypedDict):
    """A subscriber and its stream, as shown in the status."""

    stream: int
    subscriber: str
    node: str
    zone: str
    endpoints: str
    agent: str
    variant: str
    responses: int
    lag_ms: float | None
    kinds: dict[str, KindStatus]


class ResourceDifference(TypedDict):
    """The difference between a subscriber's resource and the newest; `changes` is empty if there is none."""

    kind: str
    name: str
    has: str | None
    newest: str | None
    changes: list[str]
    more: int


def describe_assignment(body: bytes) -> dict[str, str]:
    """Return a text for each endpoint of an assignment, with its state, weight, zone and priority.

    The texts are keyed by the endpoint's address.
    """
    assignment = endpoint_pb2.ClusterLoadAssignment.FromString(body)
    return {
        _address_of(endpoint): _describe(endpoint, locality)
        for locality in assignment.endpoints
        for endpoint in locality.lb_endpoints
    }


def _address_of(endpoint: endpoint_components_pb2.LbEndpoint) -> str:
    address = endpoint.endpoint.address.socket_address
    return f"{address.address}:{address.port_value}"


def _describe(
    endpoint: endpoint_components_pb2.LbEndpoint, locality: endpoint_components_pb2.LocalityLbEndpoints
) -> str:
    is_locality_of_one = bool(locality.locality.sub_zone)
    weighted = locality if is_locality_of_one else endpoint
    state = _HEALTH.get(endpoint.health_status, "in use")
    weight = weighted.load_balancing_weight.value
    return f"{state} weight={weight} zone={locality.locality.zone} priority={locality.priority}"


def resource_lines(kind: str, body: bytes | None) -> list[str]:
    """Return a resource as lines of text for a diff; an empty list if there is no resource."""
    if body is None:
        return []
    if kind == EDS:
        return [f"{address} {state}" for address, state in sorted(describe_assignment(body).items())]
    message = MESSAGE_TYPES[kind].FromString(body)
    return json.dumps(MessageToDict(message), indent=1, sort_keys=True).splitlines()


def compare_resource(
    kind: str, name: str, acknowledged: Resource | None, newest: Resource | None
) -> ResourceDifference:
    """Compare a subscriber's resource with the newest resource of the same name."""
    is_same = acknowledged is not None and newest is not None and acknowledged.digest == newest.digest
    before = resource_lines(kind, acknowledged.body if acknowledged else None)
    after = resource_lines(kind, newest.body if newest else None)
    diff = [] if is_same else difflib.unified_diff(before, after, lineterm="", n=0)
    changes = [line for line in diff if not line.startswith(("---", "+++", "@@"))]
    return {
        "kind": KIND_ABBREVIATIONS[kind],
        "name": name,
        "has": acknowledged.version if acknowledged else None,
        "newest": newest.version if newest else None,
        "changes": changes[:MAX_DIFF_LINES],
        "more": max(0, len(changes) - MAX_DIFF_LINES),
    }


def _subscriber_status(stream: Stream) -> SubscriberStatus:
    subscriber = stream.subscriber
    kinds: dict[str, KindStatus] = {}
    for kind in SEND_ORDER:
        names = subscriber.subscribed_names(kind)
        if names is None:
            continue
        sent, acknowledged, unacknowledged = subscriber.versions(kind)
        kinds[KIND_ABBREVIATIONS[kind]] = {
            "wants": names[:MAX_LISTED_NAMES],
            "sent": sent,
            "acknowledged": acknowledged,
            "waiting": unacknowledged,
            "rejected": {
                name: {"version": rejection.version, "reason": rejection.reason}
                for name, rejection in subscriber.rejected(kind).items()
            },
        }
    return {
        "stream": stream.id,
        "subscriber": stream.identity,
        "node": stream.node.id,
        "zone": stream.zone,
        "endpoints": stream.locality_level,
        "agent": stream.node.agent,
        "variant": "incremental" if subscriber.incremental else "whole state",
        "responses": stream.responses,
        "lag_ms": None if stream.lag_ns is None else round(stream.lag_ns / NS_PER_MS, 1),
        "kinds": kinds,
    }


def _zone_status(zone: Zone) -> dict[str, object]:
    weights = [weight for tier in zone.tiers for weight in tier.endpoints]
    left_out = [weight.host for weight in weights if not weight.weight and not weight.is_draining]
    draining = [weight.host for weight in weights if weight.is_draining]
    return {
        "reports": zone.load_reports.accepted,
        "reports_of_unknown_nodes": zone.load_reports.unknown,
        "in_use": sum(weight.weight > 0 for weight in weights),
        "left_out": left_out[:MAX_LISTED_HOSTS],
        "draining": draining[:MAX_LISTED_HOSTS],
    }


def _page_row(subscriber: SubscriberStatus) -> str:
    kinds = subscriber["kinds"].items()
    rejected = "; ".join(
        f"{kind} {name}: {rejection['reason']}"
        for kind, state in kinds
        for name, rejection in state["rejected"].items()
    )
    acknowledged = ", ".join(f"{kind} {state['acknowledged']}" for kind, state in kinds)
    cells = (
        subscriber["subscriber"], subscriber["zone"], subscriber["variant"],
        acknowledged, subscriber["lag_ms"], rejected,
    )  # fmt: skip
    return "".join(f"<td>{html.escape(str('' if cell is None else cell))}</td>" for cell in cells)


def _page_position(position: ViewPosition | None) -> str:
    """Return a position in the fixed text form of the status page, independent of the class name."""
    return "None" if position is None else f"Place(epoch={position.epoch}, version={position.version})"


class StatusServer:
    """Answers HTTP requests for the status of one instance."""

    def __init__(
        self, core: Core, now_ns: Callable[[], int], extra_fields: Callable[[], Mapping[str, object]]
    ) -> None:
        """Serve the status of `core`; `extra_fields` returns status fields from outside the core."""
        self._core, self._now_ns, self._extra_fields = core, now_ns, extra_fields

    def status(self) -> dict[str, object]:
        """Return the content of `/status.json`, whose keys are a public interface."""
        core, now_ns = self._core, self._now_ns()
        reason = core.withheld_reason(now_ns)
        consistency = core.view_consistency
        return {
            "instance": core.config.name,
            "handing_out": reason is None,
            "withheld_because": None if reason is None else reason.value,
            "place": consistency.position,
            "floor": consistency.floor,
            "written": consistency.written,
            "discovery": {
                "in_touch": consistency.is_discovery_connected(now_ns),
                "version": core.discovered.version,
                "told": core.discovered.reported_version,
                "behind": core.discovered.is_behind,
            },
            "nodes": len(core.endpoints),
            "zones": {zone.name: _zone_status(zone) for zone in core.zones.values()},
            "rejections": core.nacks,
            **self._extra_fields(),
            "subscribers": self._subscribers(),
        }

    def _subscribers(self) -> list[SubscriberStatus]:
        return [
            _subscriber_status(stream) for stream in self._core.streams.values() if stream.group is not None
        ]

    def diff(self, name: str) -> list[ResourceDifference] | None:
        """Compare all resources of a subscriber with the newest resources.

        Args:
            name: The subscriber's identity, node id or stream number.

        Returns:
            The differences, or None if there is no subscriber with that name.
        """
        core = self._core
        streams = [
            stream
            for stream in core.streams.values()
            if stream.group is not None and name in (stream.identity, stream.node.id, str(stream.id))
        ]
        if not streams:
            return None
        if not core.endpoints:
            return []
        stream = streams[-1]
        assert stream.group is not None
        newest = core.snapshot(stream.zone, stream.locality_level, stream.group, self._now_ns())
        differences = []
        for kind in SEND_ORDER:
            subscribed = stream.subscriber.subscribed_names(kind)
            if subscribed is None:
                continue
            acknowledged = stream.subscriber.acknowledged(kind)
            names = set(acknowledged) | {
                resource_name
                for resource_name in newest.names(kind)
                if WILDCARD in subscribed or resource_name in subscribed
            }
            differences += [
                compare_resource(
                    kind, resource_name, acknowledged.get(resource_name), newest.get(kind, resource_name)
                )
                for resource_name in sorted(names)
            ]
        return differences

    def page(self) -> str:
        """Return the status as an HTML page."""
        core = self._core
        reason = core.withheld_reason(self._now_ns())
        state = "handing out" if reason is None else f"withheld: {reason.value}"
        rows = [f"<tr>{_page_row(subscriber)}</tr>" for subscriber in self._subscribers()]
        heads = "".join(f"<th>{name}</th>" for name in _PAGE_COLUMNS)
        title = html.escape(f"{core.config.name}: {state}")
        counts = f"{len(core.endpoints)} nodes, {len(rows)} subscribers"
        return (
            f"<!doctype html><meta charset=utf-8><meta http-equiv=refresh content=2><title>{title}</title>"
            f"<h1>{title}</h1><p>place {_page_position(core.view_consistency.position)}, {counts}</p>"
            f"<table border=1><tr>{heads}</tr>{''.join(rows)}</table>"
        )

    # --- HTTP -------------------------------------------------------------------------------------

    async def serve(self, address: tuple[str, int]) -> asyncio.Server:
        """Listen for HTTP requests."""
        connections = asyncio.Semaphore(MAX_CONNECTIONS)

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                if connections.locked():
                    return
                async with connections:
                    await asyncio.wait_for(self._respond(reader, writer), REQUEST_TIMEOUT_S)
            except (TimeoutError, OSError, ValueError):
                return
            except Exception:
                log.exception("status request failed")
            finally:
                writer.close()
                with contextlib.suppress(OSError):
                    await writer.wait_closed()

        return await asyncio.start_server(handle, *address)

    async def _respond(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        requests = MessageReader.requests()
        while (request := requests.take()) is None:
            data = await reader.read(READ_BYTES)
            if not data:
                return
            requests.feed(data)
        status, media_type, body = self._response_to(request.start[1].partition("?")[0])
        head = f"HTTP/1.1 {status.value} {status.phrase}\r\n"
        head += f"Content-Type: {media_type}\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()

    def _response_to(self, path: str) -> tuple[HTTPStatus, str, bytes]:
        if path == "/status.json":
            return HTTPStatus.OK, "application/json", json.dumps(self.status()).encode()
        if path == "/":
            return HTTPStatus.OK, "text/html; charset=utf-8", self.page().encode()
        if path.startswith("/diff/"):
            differences = self.diff(unquote(path.removeprefix("/diff/")))
            if differences is not None:
                return HTTPStatus.OK, "application/json", json.dumps(differences).encode()
        return HTTPStatus.NOT_FOUND, "text/plain", b"not here\n"

"""What the service looks like from outside: JSON, a page, and one subscriber's view against the newest."""

from __future__ import annotations

import asyncio
import contextlib
import difflib
import html
import json
import logging
from collections.abc import Callable
from typing import Any

from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.listener.v3 import listener_pb2
from envoy.config.route.v3 import route_pb2
from google.protobuf.json_format import MessageToDict
from google.protobuf.message import Message

from brambleusher.net.http import MessageReader
from brambleusher.xds.core import Core, Stream
from brambleusher.xds.snapshot import CDS, EDS, LDS, ORDER, RDS, SHORT, Resource

log = logging.getLogger(__name__)

MAX_VIEWERS, PATIENCE_SECONDS, MAX_LINES = 16, 5.0, 2000
MESSAGES: dict[str, type[Message]] = {
    CDS: cluster_pb2.Cluster, EDS: endpoint_pb2.ClusterLoadAssignment,
    LDS: listener_pb2.Listener, RDS: route_pb2.RouteConfiguration,
}  # fmt: skip


def nodes_of(body: bytes) -> dict[str, str]:
    """An assignment's nodes, each with what it says of them, in words."""
    made = endpoint_pb2.ClusterLoadAssignment.FromString(body)
    out = {}
    for part in made.endpoints:
        for each in part.lb_endpoints:
            where = each.endpoint.address.socket_address
            state = {2: "left out", 3: "draining"}.get(each.health_status, "in use")
            weight = (
                part.load_balancing_weight.value
                if part.locality.sub_zone
                else each.load_balancing_weight.value
            )
            place = f"zone={part.locality.zone} priority={part.priority}"
            out[f"{where.address}:{where.port_value}"] = f"{state} weight={weight} {place}"
    return out


def lines_of(kind: str, body: bytes | None) -> list[str]:
    """A resource as lines that can be compared; none where there is no resource."""
    if body is None:
        return []
    if kind == EDS:
        return [f"{node} {what}" for node, what in sorted(nodes_of(body).items())]
    message = MESSAGES[kind].FromString(body)
    return json.dumps(MessageToDict(message), indent=1, sort_keys=True).splitlines()


def difference(kind: str, name: str, has: Resource | None, newest: Resource | None) -> dict[str, Any]:
    """What a subscriber has of one resource against the newest; the same: no `changes`."""
    same = has is not None and newest is not None and has.digest == newest.digest
    before = lines_of(kind, has.body if has else None)
    after = lines_of(kind, newest.body if newest else None)
    changes = (
        []
        if same
        else [
            line
            for line in difflib.unified_diff(before, after, lineterm="", n=0)
            if not line.startswith(("---", "+++", "@@"))
        ]
    )
    return {
        "kind": SHORT[kind],
        "name": name,
        "has": has.version if has else None,
        "newest": newest.version if newest else None,
        "changes": changes[:MAX_LINES],
        "more": max(0, len(changes) - MAX_LINES),
    }


class Status:
    """Everything there is to see of one instance."""

    def __init__(self, core: Core, now: Callable[[], int], also: Callable[[], dict[str, Any]]) -> None:
        self._core, self._now, self._also = core, now, also

    def subscriber(self, stream: Stream) -> dict[str, Any]:
        """One subscriber."""
        held, kinds = stream.subscriber, {}
        for kind in ORDER:
            names = held.subscribed_names(kind)
            if names is None:
                continue
            sent, acked, waiting = held.versions(kind)
            kinds[SHORT[kind]] = {
                "wants": names[:20],
                "sent": sent,
                "acknowledged": acked,
                "waiting": waiting,
                "rejected": {
                    name: {"version": each.version, "reason": each.reason}
                    for name, each in held.rejected(kind).items()
                },
            }
        return {
            "stream": stream.id,
            "subscriber": stream.identity,
            "node": stream.node.id,
            "zone": stream.zone,
            "endpoints": stream.form,
            "agent": stream.node.agent,
            "variant": "incremental" if held.incremental else "whole state",
            "responses": stream.responses,
            "lag_ms": None if stream.lag_ns is None else round(stream.lag_ns / 1e6, 1),
            "kinds": kinds,
        }

    def everything(self) -> dict[str, Any]:
        """The whole of `/status.json`."""
        core, now = self._core, self._now()
        why = core.withheld_reason(now)
        consistency = core.view_consistency
        return {
            "instance": core.config.name,
            "handing_out": why is None,
            "withheld_because": None if why is None else why.value,
            "place": consistency.position,
            "floor": consistency.floor,
            "written": consistency.written,
            "discovery": {
                "in_touch": consistency.is_discovery_connected(now),
                "version": core.discovered.version,
                "told": core.discovered.reported_version,
                "behind": core.discovered.is_behind,
            },
            "nodes": len(core.endpoints),
            "zones": {
                zone.name: {
                    "reports": zone.load_reports.accepted,
                    "reports_of_unknown_nodes": zone.load_reports.unknown,
                    "in_use": sum(share.weight > 0 for tier in zone.tiers for share in tier.endpoints),
                    "left_out": [
                        share.host
                        for tier in zone.tiers
                        for share in tier.endpoints
                        if not share.weight and not share.is_draining
                    ][:100],
                    "draining": [
                        share.host for tier in zone.tiers for share in tier.endpoints if share.is_draining
                    ][:100],
                }
                for zone in core.zones.values()
            },
            "rejections": core.nacks,
            **self._also(),
            "subscribers": [
                self.subscriber(stream) for stream in core.streams.values() if stream.group is not None
            ],
        }

    def diff(self, name: str) -> list[dict[str, Any]] | None:
        """One subscriber, by its name, node or stream: what it has against the newest; None: not there."""
        core = self._core
        found = [
            stream
            for stream in core.streams.values()
            if stream.group is not None and name in (stream.identity, stream.node.id, str(stream.id))
        ]
        if not found or not core.endpoints:
            return None if not found else []
        stream = found[-1]
        assert stream.group is not None
        newest = core.snapshot(stream.zone, stream.form, stream.group, self._now())
        out = []
        for kind in ORDER:
            wants = stream.subscriber.subscribed_names(kind)
            if wants is None:
                continue
            holds = stream.subscriber.acknowledged(kind)
            names = set(holds) | {each for each in newest.names(kind) if "*" in wants or each in wants}
            out += [difference(kind, each, holds.get(each), newest.get(kind, each)) for each in sorted(names)]
        return out

    def page(self) -> str:
        """The page: the same in a table."""
        held = self.everything()
        rows = []
        for each in held["subscribers"]:
            bad = "; ".join(
                f"{kind} {name}: {why['reason']}"
                for kind, state in each["kinds"].items()
                for name, why in state["rejected"].items()
            )
            acked = ", ".join(f"{kind} {state['acknowledged']}" for kind, state in each["kinds"].items())
            cells = (each["subscriber"], each["zone"], each["variant"], acked, each["lag_ms"], bad)
            rows.append(
                "".join(f"<td>{html.escape(str('' if cell is None else cell))}</td>" for cell in cells)
            )
        state = "handing out" if held["handing_out"] else f"withheld: {held['withheld_because']}"
        heads = "".join(
            f"<th>{name}</th>"
            for name in ("subscriber", "zone", "variant", "acknowledged", "lag ms", "rejected")
        )
        title = html.escape(f"{held['instance']}: {state}")
        body = "".join(f"<tr>{row}</tr>" for row in rows)
        return (
            f"<!doctype html><meta charset=utf-8><meta http-equiv=refresh content=2><title>{title}</title>"
            f"<h1>{title}</h1><p>place {held['place']}, {held['nodes']} nodes, {len(rows)} subscribers</p>"
            f"<table border=1><tr>{heads}</tr>{body}</table>"
        )

    # --- over HTTP --------------------------------------------------------------------------------

    async def serve(self, address: tuple[str, int]) -> asyncio.Server:
        """Listen for viewers."""
        viewers = asyncio.Semaphore(MAX_VIEWERS)

        async def visit(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                if viewers.locked():
                    return
                async with viewers:
                    await asyncio.wait_for(self._answer(reader, writer), PATIENCE_SECONDS)
            except (TimeoutError, OSError, ValueError):
                return
            except Exception:
                log.exception("status failed")
            finally:
                writer.close()
                with contextlib.suppress(OSError):
                    await writer.wait_closed()

        return await asyncio.start_server(visit, *address)

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        requests = MessageReader.requests()
        while (request := requests.take()) is None:
            data = await reader.read(4096)
            if not data:
                return
            requests.feed(data)
        path = request.start[1].partition("?")[0]
        status, kind, body = "404 Not Found", "text/plain", b"not here\n"
        if path == "/status.json":
            status, kind, body = "200 OK", "application/json", json.dumps(self.everything()).encode()
        elif path == "/":
            status, kind, body = "200 OK", "text/html; charset=utf-8", self.page().encode()
        elif path.startswith("/diff/"):
            from urllib.parse import unquote

            found = self.diff(unquote(path.removeprefix("/diff/")))
            if found is not None:
                status, kind, body = "200 OK", "application/json", json.dumps(found).encode()
        head = f"HTTP/1.1 {status}\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n"
        head += "Connection: close\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()

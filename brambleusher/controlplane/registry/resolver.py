"""Tells clients where to send requests: gateways that are ready, near ones first."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from http import HTTPStatus

from brambleusher.membership.views import Peer, PeerState
from brambleusher.runtime.http_server import HttpRequest, HttpResponse, json_response

PATH = "/api/resolution"
ADDRESSES_MAX = 64  # in one response
NEAR_ENOUGH = 2  # gateways of the client's zone, else of its region, that make farther ones needless
TTL_S = 2.0  # for which clients may keep a response


def nearest_group(gateways: Sequence[Peer], zone: str, region: str) -> list[Peer]:
    """Return the ready gateways of the nearest group that is large enough: zone, region or all."""
    ready = [peer for peer in gateways if peer.state is PeerState.READY]
    in_zone = [peer for peer in ready if peer.zone == zone]
    if len(in_zone) >= NEAR_ENOUGH:
        return in_zone
    in_region = [peer for peer in ready if peer.region == region]
    return in_region if len(in_region) >= NEAR_ENOUGH else ready


def choose_gateways(gateways: Sequence[Peer], zone: str, region: str, rng: random.Random) -> list[str]:
    """Return addresses for a client of a zone, shuffled; empty where no gateway is known to be ready."""
    near = nearest_group(gateways, zone, region)
    return [peer.address for peer in rng.sample(near, min(ADDRESSES_MAX, len(near)))]


def respond(
    request: HttpRequest, find_gateways: Callable[[str, str], list[str]], ttl_max_s: float
) -> HttpResponse:
    """Return the response to one request.

    Without a gateway it is a failure, so that the client asks another registry.

    Args:
        request: Names the client's zone and region.
        find_gateways: Returns addresses of gateways for a zone and a region.
        ttl_max_s: The longest time in seconds for which clients may keep a response.
    """
    if request.path != PATH or request.method != "GET":
        reason = f"{request.method} {request.path} is no call of the registry"
        return json_response(HTTPStatus.NOT_FOUND, {"error": reason})
    addresses = find_gateways(request.query.get("zone", ""), request.query.get("region", ""))
    if not addresses:
        return json_response(HTTPStatus.SERVICE_UNAVAILABLE, {"error": "no gateway is known to be ready"})
    return json_response(HTTPStatus.OK, {"addresses": addresses, "ttl_s": min(TTL_S, ttl_max_s)})

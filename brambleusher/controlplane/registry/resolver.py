"""Resolves the service for clients: returns addresses of ready gateways, preferably near the client."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from http import HTTPStatus

from brambleusher.membership.views import Peer, PeerState
from brambleusher.runtime.http_server import HttpRequest, HttpResponse, json_response

PATH = "/api/resolution"
ADDRESSES_MAX = 64  # maximum number of addresses in one response
# With at least this many ready gateways in the client's zone (or else region), farther gateways are not
# returned.
NEARBY_GATEWAYS_MIN = 2
TTL_S = 2.0  # how long clients may cache a response


def nearest_group(gateways: Sequence[Peer], zone: str, region: str) -> list[Peer]:
    """Return the ready gateways in the client's zone or region if there are enough, else all ready ones."""
    ready = [peer for peer in gateways if peer.state is PeerState.READY]
    in_zone = [peer for peer in ready if peer.zone == zone]
    if len(in_zone) >= NEARBY_GATEWAYS_MIN:
        return in_zone
    in_region = [peer for peer in ready if peer.region == region]
    return in_region if len(in_region) >= NEARBY_GATEWAYS_MIN else ready


def choose_gateways(gateways: Sequence[Peer], zone: str, region: str, rng: random.Random) -> list[str]:
    """Return shuffled gateway addresses for a client, or an empty list if no gateway is known to be ready."""
    near = nearest_group(gateways, zone, region)
    return [peer.address for peer in rng.sample(near, min(ADDRESSES_MAX, len(near)))]


def respond(
    request: HttpRequest, find_gateways: Callable[[str, str], list[str]], ttl_max_s: float
) -> HttpResponse:
    """Return the response to one request.

    If no gateway is ready, the response is an error, so that the client asks another registry.

    Args:
        request: The client's request, whose query has the client's zone and region.
        find_gateways: Returns the addresses of gateways for a zone and a region.
        ttl_max_s: The maximum time for which clients may cache a response, in seconds.
    """
    if request.path != PATH or request.method != "GET":
        reason = f"{request.method} {request.path} is no call of the registry"
        return json_response(HTTPStatus.NOT_FOUND, {"error": reason})
    addresses = find_gateways(request.query.get("zone", ""), request.query.get("region", ""))
    if not addresses:
        return json_response(HTTPStatus.SERVICE_UNAVAILABLE, {"error": "no gateway is known to be ready"})
    return json_response(HTTPStatus.OK, {"addresses": addresses, "ttl_s": min(TTL_S, ttl_max_s)})

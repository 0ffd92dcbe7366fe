"""Answers clients that ask where to go: gateways that are ready, near ones first."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from brambleusher.membership.views import Peer, PeerState
from brambleusher.runtime.http_server import HttpRequest, HttpResponse, json_response

PATH = "/api/resolution"
ADDRESSES_MAX = 64
NEAR_ENOUGH = 2  # gateways of the own zone, then region, that make further ones needless
TTL_S = 2.0


def nearest(gateways: Sequence[Peer], zone: str, region: str) -> list[Peer]:
    """The nearest group that is large enough: the zone's, the region's, else all."""
    ready = [peer for peer in gateways if peer.state is PeerState.READY]
    in_zone = [peer for peer in ready if peer.zone == zone]
    if len(in_zone) >= NEAR_ENOUGH:
        return in_zone
    in_region = [peer for peer in ready if peer.region == region]
    return in_region if len(in_region) >= NEAR_ENOUGH else ready


def choose_gateways(gateways: Sequence[Peer], zone: str, region: str, rng: random.Random) -> list[str]:
    """Addresses for a client of a zone, in no order; empty where no gateway is known to be ready."""
    near = nearest(gateways, zone, region)
    return [peer.address for peer in rng.sample(near, min(ADDRESSES_MAX, len(near)))]


def respond(request: HttpRequest, find: Callable[[str, str], list[str]], ttl_max_s: float) -> HttpResponse:
    """The answer to one question, with what `find` gives for a zone and region.

    Without a gateway it is a failure, so that the client asks elsewhere.
    """
    if request.path != PATH or request.method != "GET":
        return json_response(404, {"error": f"{request.method} {request.path} is no call of the registry"})
    addresses = find(request.query.get("zone", ""), request.query.get("region", ""))
    if not addresses:
        return json_response(503, {"error": "no gateway is known to be ready"})
    return json_response(200, {"addresses": addresses, "ttl_s": min(TTL_S, ttl_max_s)})

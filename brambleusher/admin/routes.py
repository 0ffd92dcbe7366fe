"""The calls that operators can make: one table, and how a call is found in it.  No sockets here."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

from brambleusher.net.http import HttpError


class AdminCall(Enum):
    """What can be asked for."""

    READY = "ready"
    COUNTERS = "counters"
    OFFLINE = "offline"
    ONLINE = "online"
    OUT_OF_SERVICE = "out-of-service"
    IN_SERVICE = "in-service"


@dataclass(frozen=True, slots=True)
class AdminRoute:
    """A method and a path that make a call; what comes back is `AdminServer.respond`'s, call by call."""

    method: str
    path: tuple[str, ...]
    call: AdminCall


ENDPOINT_ID = "ID"  # stands for the id of an endpoint
ROUTES = (
    AdminRoute("GET", ("control", "ready"), AdminCall.READY),
    AdminRoute("GET", ("control", "counters"), AdminCall.COUNTERS),
    AdminRoute("POST", ("control", "registry-nodes", ENDPOINT_ID, "offline"), AdminCall.OFFLINE),
    AdminRoute("POST", ("control", "registry-nodes", ENDPOINT_ID, "online"), AdminCall.ONLINE),
    AdminRoute("POST", ("control", "out-of-service"), AdminCall.OUT_OF_SERVICE),
    AdminRoute("POST", ("control", "in-service"), AdminCall.IN_SERVICE),
)

_PERCENT_ESCAPE = re.compile(rb"%([0-9A-Fa-f]{2})")
_BROKEN_ESCAPE = re.compile(rb"%(?![0-9A-Fa-f]{2})")


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """One call, and the endpoint it is about where it is about one."""

    call: AdminCall
    endpoint: str = ""


def find_route(method: str, target: str) -> AdminRequest:
    """Find the call that is meant.

    Raises:
        HttpError: no call has the path (404), or it has another method (405).
    """
    parts = tuple(target.partition("?")[0].removeprefix("/").split("/"))
    matching = [route for route in ROUTES if _has_path(route, parts)]
    for route in matching:
        if route.method == method:
            is_about_endpoint = ENDPOINT_ID in route.path
            endpoint = _unquote(parts[route.path.index(ENDPOINT_ID)]) if is_about_endpoint else ""
            return AdminRequest(route.call, endpoint)
    if matching:
        raise HttpError(405, f"this call is made with {matching[0].method}")
    raise HttpError(404, "no such call")


def _has_path(route: AdminRoute, parts: tuple[str, ...]) -> bool:
    if len(route.path) != len(parts):
        return False
    return all(want in (ENDPOINT_ID, part) for want, part in zip(route.path, parts, strict=True))


def _unquote(text: str) -> str:
    """Decode a part of a path; raises `HttpError` where it makes no text."""
    raw = text.encode("latin-1")
    if _BROKEN_ESCAPE.search(raw):
        raise HttpError(400, "a percent sign is not followed by two hexadecimal digits")
    try:
        return _PERCENT_ESCAPE.sub(lambda found: bytes([int(found[1], 16)]), raw).decode()
    except UnicodeDecodeError:
        raise HttpError(400, "the path is not UTF-8") from None

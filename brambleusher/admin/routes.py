"""The route table of the admin endpoint and the lookup of routes in it; this module does no I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

from brambleusher.net.http import HttpError


class AdminOperation(Enum):
    """An operation of the admin endpoint."""

    READY = "ready"
    COUNTERS = "counters"
    OFFLINE = "offline"
    ONLINE = "online"
    OUT_OF_SERVICE = "out-of-service"
    IN_SERVICE = "in-service"


@dataclass(frozen=True, slots=True)
class AdminRoute:
    """The method and path of an operation; `AdminServer.respond` runs the operation."""

    method: str
    path: tuple[str, ...]
    operation: AdminOperation


ENDPOINT_ID = "ID"  # path segment that stands for any endpoint id
ROUTES = (
    AdminRoute("GET", ("control", "ready"), AdminOperation.READY),
    AdminRoute("GET", ("control", "counters"), AdminOperation.COUNTERS),
    AdminRoute("POST", ("control", "registry-nodes", ENDPOINT_ID, "offline"), AdminOperation.OFFLINE),
    AdminRoute("POST", ("control", "registry-nodes", ENDPOINT_ID, "online"), AdminOperation.ONLINE),
    AdminRoute("POST", ("control", "out-of-service"), AdminOperation.OUT_OF_SERVICE),
    AdminRoute("POST", ("control", "in-service"), AdminOperation.IN_SERVICE),
)

_PERCENT_ESCAPE = re.compile(rb"%([0-9A-Fa-f]{2})")
_BROKEN_ESCAPE = re.compile(rb"%(?![0-9A-Fa-f]{2})")


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """A requested operation, and the endpoint that the operation applies to, empty if to none."""

    operation: AdminOperation
    endpoint: str = ""


def find_route(method: str, target: str) -> AdminRequest:
    """Find the operation for a method and a request target.

    Raises:
        HttpError: No route has the path (404), or only with another method (405).
    """
    segments = tuple(target.partition("?")[0].removeprefix("/").split("/"))
    matching = [route for route in ROUTES if _has_path(route, segments)]
    for route in matching:
        if route.method == method:
            is_about_endpoint = ENDPOINT_ID in route.path
            endpoint = _unquote(segments[route.path.index(ENDPOINT_ID)]) if is_about_endpoint else ""
            return AdminRequest(route.operation, endpoint)
    if matching:
        raise HttpError(405, f"this call is made with {matching[0].method}")
    raise HttpError(404, "no such call")


def _has_path(route: AdminRoute, segments: tuple[str, ...]) -> bool:
    if len(route.path) != len(segments):
        return False
    return all(
        expected in (ENDPOINT_ID, segment) for expected, segment in zip(route.path, segments, strict=True)
    )


def _unquote(text: str) -> str:
    """Percent-decode a path segment; raises `HttpError` if it is malformed or not UTF-8."""
    raw = text.encode("latin-1")
    if _BROKEN_ESCAPE.search(raw):
        raise HttpError(400, "a percent sign is not followed by two hexadecimal digits")
    try:
        return _PERCENT_ESCAPE.sub(lambda found: bytes([int(found[1], 16)]), raw).decode()
    except UnicodeDecodeError:
        raise HttpError(400, "the path is not UTF-8") from None

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


ID = "ID"  # stands for the id of an endpoint
# Method and path; what is done and what comes back is `server.AdminServer.answer`'s, call by call.
TABLE: tuple[tuple[str, tuple[str, ...], AdminCall], ...] = (
    ("GET", ("control", "ready"), AdminCall.READY),
    ("GET", ("control", "counters"), AdminCall.COUNTERS),
    ("POST", ("control", "registry-nodes", ID, "offline"), AdminCall.OFFLINE),
    ("POST", ("control", "registry-nodes", ID, "online"), AdminCall.ONLINE),
    ("POST", ("control", "out-of-service"), AdminCall.OUT_OF_SERVICE),
    ("POST", ("control", "in-service"), AdminCall.IN_SERVICE),
)

_ESCAPE = re.compile(rb"%([0-9A-Fa-f]{2})")
_BROKEN = re.compile(rb"%(?![0-9A-Fa-f]{2})")


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """One call, and the node it is about where it is about one."""

    call: AdminCall
    node: str = ""


def decode(text: str) -> str:
    """A part of a path without its percent signs; raises `HttpError` where it makes no text."""
    raw = text.encode("latin-1")
    if _BROKEN.search(raw):
        raise HttpError(400, "a percent sign is not followed by two hexadecimal digits")
    try:
        return _ESCAPE.sub(lambda found: bytes([int(found[1], 16)]), raw).decode()
    except UnicodeDecodeError:
        raise HttpError(400, "the path is not UTF-8") from None


def find(method: str, target: str) -> AdminRequest:
    """The call that is meant; raises `HttpError`: 404 for a path of none, 405 for another method."""
    parts = target.partition("?")[0].removeprefix("/").split("/")
    allowed = []
    for wanted, path, call in TABLE:
        if len(path) != len(parts) or any(a not in (ID, b) for a, b in zip(path, parts, strict=True)):
            continue
        if wanted == method:
            node = decode(parts[path.index(ID)]) if ID in path else ""
            return AdminRequest(call, node)
        allowed.append(wanted)
    if allowed:
        raise HttpError(405, f"this call is made with {allowed[0]}")
    raise HttpError(404, "no such call")

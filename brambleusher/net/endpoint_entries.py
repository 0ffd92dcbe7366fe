"""The endpoint list's entries: what discovery says of an endpoint, checked and decoded."""

from __future__ import annotations

import math
import sys
from dataclasses import dataclass
from typing import Any

from brambleusher.loadbalancing.api import HostEntry, HostState
from brambleusher.runtime.streams import parse_address

_STATES = {
    "Ready": HostState.READY,
    "Terminating": HostState.DRAINING,
    "Gone": HostState.REMOVED,
}
MAX_SERVERS = 25_000


class EndpointListError(ValueError):
    """A endpoint list that makes no sense."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint as listed: what the module is told, and where it listens."""

    entry: HostEntry
    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """A whole list, or the entries that changed."""

    version: int
    full: bool
    endpoints: tuple[Endpoint, ...]


def state_word(state: HostState) -> str:
    """A state in discovery's words."""
    return next(word for word, meant in _STATES.items() if meant is state)


def state_of(word: str) -> HostState:
    """The state that one of discovery's words means; raises `KeyError` where it means none."""
    return _STATES[word]


def _whole(raw: dict[str, Any], key: str, default: int) -> int:
    value = raw.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise EndpointListError(f"{key} is not a whole number")
    return value


def decode_endpoint(raw: Any) -> Endpoint:
    """One entry; raises `EndpointListError` where it makes no sense."""
    if not isinstance(raw, dict):
        raise EndpointListError("an entry is not an object")
    name, address, state = raw.get("id"), raw.get("addr"), _STATES.get(str(raw.get("state")))
    if not isinstance(name, str) or not name:
        raise EndpointListError("an entry has no id")
    if state is None:
        raise EndpointListError(f"the state of {name} is unknown")
    weight = raw.get("weight", 1.0)
    if isinstance(weight, bool) or not isinstance(weight, int | float) or not 0 <= weight < math.inf:
        raise EndpointListError(f"the weight of {name} is not a number")
    try:
        where = parse_address(address) if isinstance(address, str) else None
    except ValueError:
        where = None
    if where is None:
        if state is not HostState.REMOVED:
            raise EndpointListError(f"the addr of {name} is not host:port")
        where = ("", 0)
    entry = HostEntry(
        host=name,
        # The few words that thousands of entries share are kept once.
        zone=sys.intern(str(raw.get("zone", ""))),
        kind=sys.intern(str(raw.get("kind", ""))),
        cell=_whole(raw, "cell", 0),
        state=state,
        weight=float(weight),
        started_ns=_whole(raw, "started_ms", 0) * 1_000_000,
    )
    return Endpoint(entry, where)


def decode_version(raw: dict[str, Any]) -> int:
    """The version of a list; raises `EndpointListError` where it is no number."""
    return _whole(raw, "version", 0)


def decode_update(raw: Any) -> EndpointListUpdate:
    """One object from discovery, checked whole before any of it is used."""
    if not isinstance(raw, dict):
        raise EndpointListError("the list is not an object")
    servers = raw.get("servers")
    if not isinstance(servers, list) or len(servers) > MAX_SERVERS:
        raise EndpointListError("servers is missing or not a list")
    return EndpointListUpdate(
        decode_version(raw), raw.get("full") is True, tuple(decode_endpoint(entry) for entry in servers)
    )

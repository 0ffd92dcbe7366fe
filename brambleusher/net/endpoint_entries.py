"""Entries of the endpoint list: what discovery says of an endpoint, checked and decoded."""

from __future__ import annotations

import math
import sys
from collections.abc import Mapping
from dataclasses import dataclass

from brambleusher.loadbalancing.api import HostEntry, HostState
from brambleusher.runtime.streams import parse_address

_STATES = {
    "Ready": HostState.READY,
    "Terminating": HostState.DRAINING,
    "Gone": HostState.REMOVED,
}
MAX_SERVERS = 25_000
_NS_PER_MS = 1_000_000


class EndpointListError(ValueError):
    """An endpoint list that makes no sense."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint as listed: what the balancer is told, and where it listens."""

    entry: HostEntry
    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """A whole list, or the entries that changed."""

    version: int
    full: bool
    endpoints: tuple[Endpoint, ...]


def state_word(state: HostState) -> str:
    """Return discovery's word for a state."""
    return next(word for word, meant in _STATES.items() if meant is state)


def state_of(word: str) -> HostState:
    """Return the state that one of discovery's words means; raises `KeyError` where it means none."""
    return _STATES[word]


def decode_update(raw: object) -> EndpointListUpdate:
    """Decode one object from discovery, checked completely before any of it is used.

    Raises:
        EndpointListError: it makes no sense.
    """
    if not isinstance(raw, dict):
        raise EndpointListError("the list is not an object")
    servers = raw.get("servers")
    if not isinstance(servers, list) or len(servers) > MAX_SERVERS:
        raise EndpointListError("servers is missing or not a list")
    endpoints = tuple(decode_endpoint(entry) for entry in servers)
    return EndpointListUpdate(decode_version(raw), raw.get("full") is True, endpoints)


def decode_version(raw: Mapping[str, object]) -> int:
    """Decode the version of a list; raises `EndpointListError` where it is no number."""
    return _decode_count(raw, "version", 0)


def decode_endpoint(raw: object) -> Endpoint:
    """Decode one entry; raises `EndpointListError` where it makes no sense."""
    if not isinstance(raw, dict):
        raise EndpointListError("an entry is not an object")
    name, state = raw.get("id"), _STATES.get(str(raw.get("state")))
    if not isinstance(name, str) or not name:
        raise EndpointListError("an entry has no id")
    if state is None:
        raise EndpointListError(f"the state of {name} is unknown")
    weight = raw.get("weight", 1.0)
    if isinstance(weight, bool) or not isinstance(weight, int | float) or not 0 <= weight < math.inf:
        raise EndpointListError(f"the weight of {name} is not a number")
    address = _decode_address(name, raw.get("addr"), state)
    entry = HostEntry(
        host=name,
        # The few words that thousands of entries share are kept once.
        zone=sys.intern(str(raw.get("zone", ""))),
        kind=sys.intern(str(raw.get("kind", ""))),
        cell=_decode_count(raw, "cell", 0),
        state=state,
        weight=float(weight),
        started_ns=_decode_count(raw, "started_ms", 0) * _NS_PER_MS,
    )
    return Endpoint(entry, address)


def _decode_address(name: str, text: object, state: HostState) -> tuple[str, int]:
    try:
        if isinstance(text, str):
            return parse_address(text)
    except ValueError:
        pass
    if state is not HostState.REMOVED:
        raise EndpointListError(f"the addr of {name} is not host:port")
    return "", 0


def _decode_count(raw: Mapping[str, object], key: str, default: int) -> int:
    value = raw.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise EndpointListError(f"{key} is not a whole number")
    return value

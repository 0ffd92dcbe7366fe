"""Validates and decodes the entries of the endpoint list that service discovery sends."""

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
    """Raised when an endpoint list is invalid."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An entry of the endpoint list with the balancer's settings and the endpoint's address."""

    entry: HostEntry
    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """A complete endpoint list, or the entries that changed since the previous version."""

    version: int
    full: bool
    endpoints: tuple[Endpoint, ...]


def state_name(state: HostState) -> str:
    """Return the name of a state in the endpoint list."""
    return next(state_key for state_key, meant in _STATES.items() if meant is state)


def state_of(state_key: str) -> HostState:
    """Return the state with a name in the endpoint list; raise `KeyError` for an unknown name."""
    return _STATES[state_key]


def decode_update(raw: object) -> EndpointListUpdate:
    """Validate and decode one endpoint list object from discovery.

    The object is validated completely before any part of it is used.

    Raises:
        EndpointListError: The object is invalid.
    """
    if not isinstance(raw, dict):
        raise EndpointListError("the list is not an object")
    servers = raw.get("servers")
    if not isinstance(servers, list) or len(servers) > MAX_SERVERS:
        raise EndpointListError("servers is missing or not a list")
    endpoints = tuple(decode_endpoint(entry) for entry in servers)
    return EndpointListUpdate(decode_version(raw), raw.get("full") is True, endpoints)


def decode_version(raw: Mapping[str, object]) -> int:
    """Decode the version of a list; raise `EndpointListError` if it is not a number."""
    return _decode_count(raw, "version", 0)


def decode_endpoint(raw: object) -> Endpoint:
    """Decode one entry of the endpoint list; raise `EndpointListError` if it is invalid."""
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
        # Thousands of entries share a few strings, which are interned to save memory.
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

"""A `Balancer`'s whole state as plain JSON values, and a `Balancer` that goes on from them.

For records that begin in mid-service: the same events after the same state lead to the same
actions, in another process as well.  Hosts and requests refer to each other, so both are kept in
tables and referred to by place.  Nothing here is executed from what is read.
"""

from __future__ import annotations

import math
import random
import struct
from base64 import b64decode, b64encode
from collections import deque
from collections.abc import Callable
from typing import Any

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.balancer import Balancer, Turn
from brambleusher.loadbalancing.hosts import NOTHING, Host, Request
from brambleusher.loadbalancing.idle_timeout import Trust
from brambleusher.loadbalancing.json_values import StateError
from brambleusher.loadbalancing.retry_budget import Retries
from brambleusher.loadbalancing.settings_codec import restore_rules, save_rules
from brambleusher.loadbalancing.zone_aware_balancer import balancer_for
from brambleusher.loadbalancing.zone_routing import Node, State, Zone, Zones

# Made anew from the settings, or of no meaning between two events.
_DERIVED = frozenset(
    "settings _rng _classes _by_worth _unit_ns _tick_ns _quota _handlers _out _ranks".split()  # noqa: SIM905
)
# Plain objects by name, and how to make an empty one that is filled with what was kept.
_KEPT: dict[str, Callable[[], Any]] = {
    "zones": lambda: Zones(None, "", 0, 0), "zone": lambda: Zone(""), "node": Node, "trust": Trust,
}  # fmt: skip
_KEPT_AS = {Zones: "zones", Zone: "zone", Node: "node", Trust: "trust"}
_WORDS = struct.Struct(">624I")  # the random generator's


class _Saver:
    """Walks from the balancer to all hosts and requests that it reaches."""

    def __init__(self) -> None:
        self.hosts: list[Host] = []
        self.requests: list[Request] = []
        self._places: dict[int, int] = {}

    def _place(self, item: Any, table: list[Any]) -> int:
        place = self._places.get(id(item))
        if place is None:
            place = self._places[id(item)] = len(table)
            table.append(item)
        return place

    def value(self, value: Any) -> Any:
        kind = type(value)
        if kind is float:  # most are
            return value if math.isfinite(value) else {"f": str(value)}
        if value is None or kind is str or kind is int or kind is bool:
            return value
        if kind is Host:
            return {"h": self._place(value, self.hosts)}
        if kind is Request:
            return {"r": self._place(value, self.requests)}
        if kind is list:
            return [self.value(item) for item in value]
        if kind is tuple:
            return {"t": [self.value(item) for item in value]}
        if kind is dict:
            return {"d": [[self.value(key), self.value(item)] for key, item in value.items()]}
        if value is NOTHING:
            return {"none": 0}
        if kind is deque:
            return {"q": [self.value(item) for item in value], "most": value.maxlen}
        if kind is Turn:
            return {"turn": {name: self.value(item) for name, item in vars(value).items() if name != "_rng"}}
        if kind is Retries:
            return {"retries": {name: self.value(item) for name, item in vars(value).items()}}
        if kind in _KEPT_AS:
            return {_KEPT_AS[kind]: {name: self.value(item) for name, item in vars(value).items()}}
        if kind is api.ZoneRules:
            return {"rules": save_rules(value)}
        if kind is State:
            return {"state": value.value}
        raise StateError(f"a {kind.__name__} can't be kept")

    def rows(self) -> tuple[list[list[Any]], list[list[Any]]]:
        """Of hosts and of requests; each row may lead to more of either."""
        hosts: list[list[Any]] = []
        requests: list[list[Any]] = []
        while len(hosts) < len(self.hosts) or len(requests) < len(self.requests):
            items, rows = (self.hosts, hosts) if len(hosts) < len(self.hosts) else (self.requests, requests)
            item = items[len(rows)]
            rows.append([self.value(getattr(item, name)) for name in _names(item)])
        return hosts, requests


def _names(item: Host | Request) -> list[str]:
    return list(Host.__slots__) if isinstance(item, Host) else list(vars(item))


def save(balancer: Balancer) -> dict[str, Any]:
    """All that decides what the balancer does next; take it between two events."""
    saver = _Saver()
    own = {name: saver.value(value) for name, value in vars(balancer).items() if name not in _DERIVED}
    hosts, requests = saver.rows()
    version, words, gauss = balancer._rng.getstate()
    return {
        "own": own,
        "host_names": _names(saver.hosts[0]) if hosts else [], "hosts": hosts,
        "request_names": _names(saver.requests[0]) if requests else [], "requests": requests,
        "random": [version, b64encode(_WORDS.pack(*words[:-1])).decode(), words[-1], gauss],
    }  # fmt: skip


class _Loader:
    """Turns values back; a reference is a place in a table of empty records that are filled later."""

    def __init__(self, rng: random.Random, hosts: int, requests: int) -> None:
        self._rng = rng
        self.hosts = [Host.__new__(Host) for _ in range(hosts)]
        self.requests = [Request.__new__(Request) for _ in range(requests)]

    def value(self, value: Any) -> Any:
        if isinstance(value, list):
            return [self.value(item) for item in value]
        if not isinstance(value, dict):
            return value
        (key, held), *more = value.items()
        if key == "f":
            return float(held)
        if key == "h":
            return self.hosts[held]
        if key == "r":
            return self.requests[held]
        if key == "t":
            return tuple(self.value(item) for item in held)
        if key == "d":
            return {self.value(name): self.value(item) for name, item in held}
        if key == "none":
            return NOTHING
        if key == "q":
            return deque((self.value(item) for item in held), maxlen=dict(more)["most"])
        if key == "turn":
            return _fill(Turn(self._rng), {name: self.value(item) for name, item in held.items()}, {"_rng"})
        if key == "retries":
            return _fill(Retries(0), {name: self.value(item) for name, item in held.items()})
        if key in _KEPT:
            return _fill(_KEPT[key](), {name: self.value(item) for name, item in held.items()})
        if key == "rules":
            return restore_rules(held)
        if key == "state":
            return State(held)
        raise StateError(f"a value of kind {key} is unknown")


def _fill(item: Any, values: dict[str, Any], beside: frozenset[str] | set[str] = frozenset()) -> Any:
    """Give an object its attributes: exactly those it has, so that a state of other code is noticed."""
    if set(values) != set(vars(item)) - beside:
        raise StateError(f"the state of a {type(item).__name__} is not this version's")
    vars(item).update(values)
    return item


def restore(settings: api.Settings, seed: int, state: Any) -> Balancer:
    """A balancer that goes on where `save` was called."""
    balancer = balancer_for(settings, seed)
    try:
        version, words, at, gauss = state["random"]
        balancer._rng.setstate((version, (*_WORDS.unpack(b64decode(words, validate=True)), at), gauss))
        loader = _Loader(balancer._rng, len(state["hosts"]), len(state["requests"]))
        entry = api.HostEntry("", "", "", 0, api.HostState.READY)
        for made, sample, names, rows in (
            (loader.hosts, Host(entry, False, 0), state["host_names"], state["hosts"]),
            (loader.requests, Request("", 0, 0, 0), state["request_names"], state["requests"]),
        ):
            if made and names != _names(sample):
                raise StateError(f"the state of a {type(sample).__name__} is not this version's")
            for item, row in zip(made, rows, strict=True):
                for name, value in zip(names, row, strict=True):
                    setattr(item, name, loader.value(value))
        own = {name: loader.value(value) for name, value in state["own"].items()}
        _fill(balancer, own, _DERIVED)
        balancer._ranks.sort(balancer._hosts.values())
    except StateError:
        raise
    except Exception as error:
        # Whatever a state that was made up or cut leads to, the caller hears of it in one way.
        raise StateError(f"the state can't be read: {type(error).__name__}: {error}") from None
    return balancer


def hosts_held(balancer: Balancer) -> set[str]:
    """The hosts of the list that it goes by."""
    return set(balancer._hosts)


def hosts_reached(balancer: Balancer) -> set[str]:
    """The hosts that attempts may still come back from."""
    return {host.name for request in balancer._requests.values() for host, _, _ in request.attempts}


def hosts_avoided(balancer: Balancer, now: int) -> int:
    """How many hosts of its list get no attempt now: draining, shut for a while, or left without weight."""
    used = {host.name for host in balancer._turn.ring}
    return sum(
        not host.ready or host.shut_ns > now or (host.name in used and host.weight <= 0)
        for host in balancer._hosts.values()
    )

"""Saves the complete state of a `Balancer` as plain JSON values and restores a `Balancer` from them.

Captures that begin while a balancer is running need this: the same events after the same state must lead to
the same actions, also in another process. Hosts and requests refer to each other, so both are stored in
tables and referred to by index. `state_tables` defines the stored key of each attribute. Restoring never
executes anything from the stored state.
"""

from __future__ import annotations

import math
import random
import struct
from base64 import b64decode, b64encode
from collections import deque
from collections.abc import Callable, Mapping
from enum import Enum
from operator import attrgetter
from typing import Any, cast

from brambleusher.loadbalancing import api, state_tables
from brambleusher.loadbalancing.balancer import Balancer
from brambleusher.loadbalancing.balancer_factory import balancer_for
from brambleusher.loadbalancing.hosts import NO_ATTEMPTS, Attempt, Host, Request
from brambleusher.loadbalancing.idle_timeout import IdleTimeout
from brambleusher.loadbalancing.json_values import MALFORMED, StateError
from brambleusher.loadbalancing.retry_budget import RetryBudget
from brambleusher.loadbalancing.settings_codec import restore_rules, save_rules
from brambleusher.loadbalancing.state_tables import FieldTable
from brambleusher.loadbalancing.stored_records import StoredForm, StoredRecord
from brambleusher.loadbalancing.token_round_robin import TokenRoundRobin

JsonObject = dict[str, Any]
Row = list[Any]

_RANDOM_WORDS = struct.Struct(">624I")  # the state of the Mersenne Twister
# Single keys of the objects that encode values without a JSON equivalent.
_FLOAT, _TUPLE, _DICT, _EMPTY_MAPPING = "f", "t", "d", "none"
_DEQUE, _DEQUE_LENGTH = "q", "most"
_HOST, _REQUEST, _ZONE_STATE, _ZONE_RULES = "h", "r", "state", "rules"


_RECORDS: Mapping[str, StoredRecord] = {
    "turn": StoredRecord(TokenRoundRobin, state_tables.TOKEN_ROUND_ROBIN, TokenRoundRobin),
    "retries": StoredRecord(RetryBudget, state_tables.RETRY_BUDGET, lambda _: RetryBudget(0)),
    "trust": StoredRecord(IdleTimeout, state_tables.IDLE_TIMEOUT, lambda _: IdleTimeout()),
}
_PLAIN = StoredForm(state_tables.BALANCER, _RECORDS)


def stored_form(balancer: Balancer) -> StoredForm:
    """Return how a balancer is stored; the zone modules are imported only for a zone-aware balancer."""
    if not balancer.accepts_zone_rules:
        return _PLAIN
    from brambleusher.loadbalancing.zone_state import ZoneState
    from brambleusher.loadbalancing.zone_stored_records import ZONE_RECORDS

    return StoredForm(state_tables.ZONE_AWARE_BALANCER, {**_RECORDS, **ZONE_RECORDS}, ZoneState)


class _Saver:
    """Encodes values reachable from the balancer, collecting hosts and requests on the way."""

    def __init__(self, form: StoredForm) -> None:
        self._form = form
        self._hosts: list[Host] = []
        self._requests: list[Request] = []
        self._index_of: dict[int, int] = {}  # index by object identity

    def value(self, value: object) -> object:
        """Return a value as JSON; hosts and requests are numbered in the order in which they are found."""
        kind = type(value)
        if kind is float:  # the most frequent type
            number = cast(float, value)
            return number if math.isfinite(number) else {_FLOAT: str(number)}
        if value is None or kind is str or kind is int or kind is bool:
            return value
        if kind is Host:
            return {_HOST: self._index(value, self._hosts)}
        if kind is Request:
            return {_REQUEST: self._index(value, self._requests)}
        return self._container(value)

    def _index(self, item: object, table: list[Any]) -> int:
        index = self._index_of.get(id(item))
        if index is None:
            index = self._index_of[id(item)] = len(table)
            table.append(item)
        return index

    def _container(self, value: object) -> object:
        if type(value) is list:
            return [self.value(item) for item in value]
        if isinstance(value, tuple):  # includes named tuples
            return {_TUPLE: [self.value(item) for item in value]}
        if type(value) is dict:
            return {_DICT: [[self.value(key), self.value(item)] for key, item in value.items()]}
        if value is NO_ATTEMPTS:
            return {_EMPTY_MAPPING: 0}
        if isinstance(value, deque):
            return {_DEQUE: [self.value(item) for item in value], _DEQUE_LENGTH: value.maxlen}
        key = self._form.key_of(type(value))
        if key is not None:
            return {key: self.record(value, self._form.records[key].fields)}
        if isinstance(value, api.ZoneRules):
            return {_ZONE_RULES: save_rules(value)}
        if isinstance(value, Enum) and type(value) is self._form.state_enum:
            return {_ZONE_STATE: value.value}
        raise StateError(f"cannot encode a value of type {type(value).__name__}: {value!r:.100}")

    def record(self, item: object, fields: FieldTable) -> JsonObject:
        """Return the stored fields of an object under their keys."""
        return {key: self.value(attrgetter(path)(item)) for path, key in fields.items()}

    def rows(self) -> tuple[list[Row], list[Row]]:
        """Return the rows of hosts and of requests; encoding a row may add further hosts and requests."""
        hosts: list[Row] = []
        requests: list[Row] = []
        while True:
            if len(hosts) < len(self._hosts):
                hosts.append(self._row(self._hosts[len(hosts)], state_tables.HOST))
            elif len(requests) < len(self._requests):
                requests.append(self._row(self._requests[len(requests)], state_tables.REQUEST))
            else:
                return hosts, requests

    def _row(self, item: object, fields: FieldTable) -> Row:
        return [self.value(getattr(item, name)) for name in fields]


def save(balancer: Balancer) -> JsonObject:
    """Return the complete state of a balancer; must be called between two events."""
    form = stored_form(balancer)
    saver = _Saver(form)
    own = saver.record(balancer, form.fields)
    hosts, requests = saver.rows()
    version, words, gauss = balancer.rng.getstate()
    return {
        "own": own,
        "host_names": list(state_tables.HOST.values()) if hosts else [],
        "hosts": hosts,
        "request_names": list(state_tables.REQUEST.values()) if requests else [],
        "requests": requests,
        "random": [version, b64encode(_RANDOM_WORDS.pack(*words[:-1])).decode(), words[-1], gauss],
    }


class _Loader:
    """Decodes values; a reference is an index into a table of empty records, which are filled later."""

    def __init__(self, form: StoredForm, rng: random.Random, hosts: int, requests: int) -> None:
        self._form = form
        self._rng = rng
        self.hosts = [Host.__new__(Host) for _ in range(hosts)]
        self.requests = [Request.__new__(Request) for _ in range(requests)]

    def value(self, value: object) -> object:
        """Return the value that the JSON value encodes."""
        if isinstance(value, list):
            return [self.value(item) for item in value]
        if not isinstance(value, dict):
            return value
        (key, content), *more = value.items()
        if key in self._form.records:
            record = self._form.records[key]
            item = record.make_empty(self._rng)
            self.fill(item, record.fields, content)
            return item
        if key == _DEQUE:
            return deque((self.value(item) for item in content), maxlen=dict(more)[_DEQUE_LENGTH])
        read = self._readers().get(key)
        if read is None:
            raise StateError(f"an encoded value of kind {key} is unknown")
        return read(content)

    def _readers(self) -> dict[str, Callable[[Any], object]]:
        readers: dict[str, Callable[[Any], object]] = {
            _FLOAT: float,
            _HOST: self.hosts.__getitem__,
            _REQUEST: self.requests.__getitem__,
            _TUPLE: lambda content: tuple(self.value(item) for item in content),
            _DICT: lambda content: {self.value(key): self.value(item) for key, item in content},
            _EMPTY_MAPPING: lambda _: NO_ATTEMPTS,
            _ZONE_RULES: restore_rules,
        }
        if self._form.state_enum is not None:
            readers[_ZONE_STATE] = self._form.state_enum
        return readers

    def fill(self, item: object, fields: FieldTable, stored: JsonObject) -> None:
        """Set all fields of an object; other keys than those of its table indicate another version."""
        if set(stored) != set(fields.values()):
            raise StateError(f"the stored fields of a {type(item).__name__} are those of another version")
        for path, key in fields.items():
            owner_path, _, name = path.rpartition(".")
            owner = attrgetter(owner_path)(item) if owner_path else item
            self._set(owner, name, stored[key])

    def _set(self, owner: object, name: str, stored: object) -> None:
        """Set an attribute; a record is filled in place, since other objects may refer to it."""
        record = self._form.records.get(self._form.key_of(type(getattr(owner, name))) or "")
        if record is None:
            setattr(owner, name, self.value(stored))
            return
        ((key, content),) = cast(JsonObject, stored).items()
        if self._form.records.get(key) is not record:
            raise StateError(f"the stored {name} is not a {record.kind.__name__}")
        self.fill(getattr(owner, name), record.fields, content)

    def fill_rows(self, items: list[Any], fields: FieldTable, names: list[str], rows: list[Row]) -> None:
        """Set the attributes of hosts or requests from rows whose columns are `names`."""
        if items and names != list(fields.values()):
            raise StateError(f"the stored fields of a {type(items[0]).__name__} are those of another version")
        for item, row in zip(items, rows, strict=True):
            for attribute, value in zip(fields, row, strict=True):
                setattr(item, attribute, self.value(value))


def restore(settings: api.Settings, seed: int, state: object) -> Balancer:
    """Return a balancer restored from the output of `save`.

    Raises:
        StateError: The state is of another version, truncated or forged.
    """
    balancer = balancer_for(settings, seed)
    try:
        _continue_from(balancer, cast(JsonObject, state))
    except StateError:
        raise
    except (*MALFORMED, struct.error) as error:
        # Errors of all kinds that a malformed state can cause are reported as one type.
        raise StateError(f"cannot decode the state: {type(error).__name__}: {error}") from None
    return balancer


def _continue_from(balancer: Balancer, state: JsonObject) -> None:
    version, words, position, gauss = state["random"]
    unpacked = _RANDOM_WORDS.unpack(b64decode(words, validate=True))
    balancer.rng.setstate((version, (*unpacked, position), gauss))
    form = stored_form(balancer)
    loader = _Loader(form, balancer.rng, len(state["hosts"]), len(state["requests"]))
    loader.fill_rows(loader.hosts, state_tables.HOST, state["host_names"], state["hosts"])
    loader.fill_rows(loader.requests, state_tables.REQUEST, state["request_names"], state["requests"])
    for request in loader.requests:
        request.attempts = [Attempt(*attempt) for attempt in request.attempts]
    loader.fill(balancer, form.fields, state["own"])
    balancer.host_table.ranking.rebuild(balancer.host_table.hosts.values())


def known_hosts(balancer: Balancer) -> set[str]:
    """Return the names of the hosts in the balancer's endpoint list."""
    return set(balancer.host_table.hosts)


def attempted_hosts(balancer: Balancer) -> set[str]:
    """Return the names of all hosts with an attempt of an unfinished request."""
    requests = balancer.attempts.requests.values()
    return {attempt.host.name for request in requests for attempt in request.attempts}


def count_avoided_hosts(balancer: Balancer, now: int) -> int:
    """Return the number of hosts that get no attempts now: draining, ejected or without weight."""
    return balancer.host_table.count_avoided(now)

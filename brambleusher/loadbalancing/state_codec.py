"""A `Balancer`'s whole state as plain JSON values, and a `Balancer` that continues from them.

Captures that begin in mid-service need it: the same events after the same state lead to the same actions, in
another process as well.  Hosts and requests refer to each other, so both are stored in tables and referred to
by index.  Which attribute is stored under which key is in `state_tables`.  Nothing that is read is executed.
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
# The only keys of the objects that stand for what JSON does not have.
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
    """Return how a balancer is stored; with rules on zones, the modules of zones are loaded already."""
    if not balancer.accepts_zone_rules:
        return _PLAIN
    from brambleusher.loadbalancing.zone_state import ZoneState
    from brambleusher.loadbalancing.zone_stored_records import ZONE_RECORDS

    return StoredForm(state_tables.ZONE_AWARE_BALANCER, {**_RECORDS, **ZONE_RECORDS}, ZoneState)


class _Saver:
    """Walks from the balancer to all hosts and requests that it reaches."""

    def __init__(self, form: StoredForm) -> None:
        self._form = form
        self._hosts: list[Host] = []
        self._requests: list[Request] = []
        self._index_of: dict[int, int] = {}  # by identity

    def value(self, value: object) -> object:
        """Return a value as JSON; hosts and requests are numbered as they are met."""
        kind = type(value)
        if kind is float:  # most are
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
        if isinstance(value, tuple):  # named ones too
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
        raise StateError(f"a {type(value).__name__} can't be saved: {value!r:.100}")

    def record(self, item: object, fields: FieldTable) -> JsonObject:
        """Return the stored fields of an object under their keys."""
        return {key: self.value(attrgetter(path)(item)) for path, key in fields.items()}

    def rows(self) -> tuple[list[Row], list[Row]]:
        """Return the rows of hosts and of requests; each row may lead to more of either."""
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
    """Return all that decides what the balancer does next; call it between two events."""
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
    """Turns values back; a reference is an index into a table of empty records that are filled later."""

    def __init__(self, form: StoredForm, rng: random.Random, hosts: int, requests: int) -> None:
        self._form = form
        self._rng = rng
        self.hosts = [Host.__new__(Host) for _ in range(hosts)]
        self.requests = [Request.__new__(Request) for _ in range(requests)]

    def value(self, value: object) -> object:
        """Return the value that the saver was given."""
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
            raise StateError(f"a value of kind {key} is unknown")
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
        """Give an object its fields: exactly those of its table, so that another version is noticed."""
        if set(stored) != set(fields.values()):
            raise StateError(f"the state of a {type(item).__name__} is not this version's")
        for path, key in fields.items():
            owner_path, _, name = path.rpartition(".")
            owner = attrgetter(owner_path)(item) if owner_path else item
            self._set(owner, name, stored[key])

    def _set(self, owner: object, name: str, stored: object) -> None:
        """Set an attribute; a record is filled in place, since others may refer to it."""
        record = self._form.records.get(self._form.key_of(type(getattr(owner, name))) or "")
        if record is None:
            setattr(owner, name, self.value(stored))
            return
        ((key, content),) = cast(JsonObject, stored).items()
        if self._form.records.get(key) is not record:
            raise StateError(f"the stored {name} is not a {record.kind.__name__}")
        self.fill(getattr(owner, name), record.fields, content)

    def fill_rows(self, items: list[Any], fields: FieldTable, names: list[str], rows: list[Row]) -> None:
        """Give hosts, or requests, what their rows have under `names`."""
        if items and names != list(fields.values()):
            raise StateError(f"the state of a {type(items[0]).__name__} is not this version's")
        for item, row in zip(items, rows, strict=True):
            for attribute, value in zip(fields, row, strict=True):
                setattr(item, attribute, self.value(value))


def restore(settings: api.Settings, seed: int, state: object) -> Balancer:
    """Return a balancer that continues where `save` was called.

    Raises:
        StateError: The state is not this version's, or was cut or made up.
    """
    balancer = balancer_for(settings, seed)
    try:
        _continue_from(balancer, cast(JsonObject, state))
    except StateError:
        raise
    except (*MALFORMED, struct.error) as error:
        # Whatever a malformed state leads to, the caller gets one kind of error.
        raise StateError(f"the state can't be read: {type(error).__name__}: {error}") from None
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
    """Return the hosts of the list that it goes by."""
    return set(balancer.host_table.hosts)


def attempted_hosts(balancer: Balancer) -> set[str]:
    """Return the hosts that attempts may still come back from."""
    requests = balancer.attempts.requests.values()
    return {attempt.host.name for request in requests for attempt in request.attempts}


def count_avoided_hosts(balancer: Balancer, now: int) -> int:
    """Return how many hosts get no attempt now: draining, ejected, or left without weight."""
    return balancer.host_table.count_avoided(now)

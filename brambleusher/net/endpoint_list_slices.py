"""Parses and applies a long endpoint list in small steps, urgent changes first.

Parsing a list of 20,000 endpoints and applying it in one step takes a quarter of a second, in which no
request is served. Parsing is therefore a generator and applying a series of short calls, and the caller
yields to other tasks in between. This module neither blocks nor reads a clock.
"""

from __future__ import annotations

import re
from collections.abc import Generator

import orjson

from brambleusher.loadbalancing.api import HostEntry, HostState
from brambleusher.net.endpoint_entries import (
    MAX_SERVERS,
    Endpoint,
    EndpointListError,
    EndpointListUpdate,
    decode_endpoint,
    decode_update,
    decode_version,
)

STEP_BYTES = 16 * 1024  # bytes of text parsed in one step, about 100 endpoints and 0.33 ms
STEP_ENDPOINTS = 512  # endpoints compared with the current list in one step, which also takes about 0.33 ms
SINGLE_STEP_BYTES = 2 * STEP_BYTES  # a text of at most this many bytes is parsed in one step
MAX_SPLIT_ATTEMPTS = 8  # possible ends of an entry that are tried in one step
NEW_DIVISOR = 4  # one in this many endpoints of a slice is a new endpoint while urgent changes wait
_SERVERS = re.compile(rb'"servers"\s*:\s*\[')

Steps = Generator[None, None, EndpointListUpdate]


def decode_steps(text: bytes) -> Steps:
    """Decode a text as `decode_update` does, but in steps; the generator returns the update.

    The array of endpoints is split where an entry seems to end, and the part before the split is parsed by
    itself. If that part is a valid array, the split was between two entries and not inside an entry, since
    JSON is parsed from left to right. A text without a valid split is parsed in one step.

    Raises:
        ValueError: The text is not a valid endpoint list.
    """
    found = _SERVERS.search(text) if len(text) > SINGLE_STEP_BYTES else None
    if found is None or text.count(b'"servers"') != 1:
        return decode_update(orjson.loads(text))
    head = orjson.loads(text[: found.end()] + b"]}")  # fails if the array is nested inside another value
    position, endpoints = found.end(), []
    while len(text) - position > STEP_BYTES:
        entries, position = _decode_entries(text, position)
        if entries is None:
            break
        endpoints += [decode_endpoint(entry) for entry in entries]
        if len(endpoints) > MAX_SERVERS:
            break
        yield
    tail = orjson.loads(b'{"servers":[' + text[position:])
    entries = tail["servers"]
    if not isinstance(entries, list) or len(endpoints) + len(entries) > MAX_SERVERS:
        raise EndpointListError("servers is missing or too long")
    if endpoints and not entries:  # a trailing comma at the end of the array
        raise EndpointListError("servers is not a list")
    decoded = {**head, **tail}
    endpoints += [decode_endpoint(entry) for entry in entries]
    return EndpointListUpdate(decode_version(decoded), decoded.get("full") is True, tuple(endpoints))


def _decode_entries(text: bytes, position: int) -> tuple[list[object] | None, int]:
    """Decode the entries of about one step.

    Returns:
        The entries, or None if no valid split is found, and the position of the next entry.
    """
    split_at = position + STEP_BYTES
    for _ in range(MAX_SPLIT_ATTEMPTS):
        split_at = text.find(b"},", split_at) + 1
        if split_at == 0:
            break
        try:
            return orjson.loads(b"[" + text[position:split_at] + b"]"), split_at + 1
        except ValueError:
            continue
    return None, position


class EndpointListSlices:
    """Tracks which entries of the endpoint list are applied and which still wait.

    A change is urgent if it takes away an endpoint that was applied as ready: the endpoint drains, is
    removed or was replaced by another process. While urgent changes wait, part of each slice is still
    reserved for new endpoints, as a list that replaces every endpoint would otherwise leave none usable for
    a while.
    """

    def __init__(self, small: int, slice_size: int) -> None:
        """Create an empty list; updates of more than `small` endpoints use slices of `slice_size`."""
        self._small, self._slice_size = small, slice_size
        self.applied: dict[str, Endpoint] = {}
        self._urgent: dict[str, Endpoint] = {}
        self._new: dict[str, Endpoint] = {}
        self._is_adding = False

    @property
    def waiting(self) -> int:
        """The number of endpoint changes that still wait to be applied."""
        return len(self._urgent) + len(self._new)

    def is_small(self, update: EndpointListUpdate) -> bool:
        """Return whether an update may be applied in one step and then passed to `record_applied`."""
        applied = len(self.applied) if update.full else 0
        return not self.waiting and max(applied, len(update.endpoints)) <= self._small

    def record_applied(self, update: EndpointListUpdate) -> None:
        """Record an update that was applied in one step."""
        if update.full:
            self.applied.clear()
        for endpoint in update.endpoints:
            self._record(endpoint)

    def add(self, update: EndpointListUpdate) -> Generator[None, None, None]:
        """Queue an update to be applied in slices; runs in steps and may overtake parts of earlier updates.

        Urgent changes may be applied between two steps; all other changes wait until the last step.
        """
        self._is_adding = True
        try:
            yield from self._add(update)
        finally:
            self._is_adding = False

    def _add(self, update: EndpointListUpdate) -> Generator[None, None, None]:
        named = set()
        for count, endpoint in enumerate(update.endpoints, 1):
            self._put(endpoint)
            named.add(endpoint.entry.host)
            if count % STEP_ENDPOINTS == 0:
                yield
        if not update.full:
            return
        for count, name in enumerate([*self._new, *self.applied], 1):
            if name not in named:
                self._remove(name)
            if count % STEP_ENDPOINTS == 0:
                yield

    def next(self) -> tuple[Endpoint, ...]:
        """Take the next slice and record it as applied; it is empty if nothing can be applied now."""
        if self._is_adding and not self._urgent:
            return ()
        new_limit = self._slice_size // NEW_DIVISOR if self._urgent else self._slice_size
        new_count = min(len(self._new), new_limit)
        taken = [*_first(self._urgent, self._slice_size - new_count), *_first(self._new, new_count)]
        for endpoint in taken:
            self._forget(endpoint.entry.host)
            self._record(endpoint)
        return tuple(taken)

    def _put(self, endpoint: Endpoint) -> None:
        entry, name = endpoint.entry, endpoint.entry.host
        self._forget(name)
        before = self.applied.get(name)
        if endpoint == before:
            return
        if before is None:
            if entry.state is not HostState.REMOVED:
                self._new[name] = endpoint
            return
        is_same_process = (before.address, before.entry.started_ns) == (endpoint.address, entry.started_ns)
        if entry.state is HostState.READY and is_same_process:
            self._new[name] = endpoint
        else:
            self._urgent[name] = endpoint

    def _remove(self, name: str) -> None:
        """Queue the removal of an endpoint that is missing from a full list."""
        self._forget(name)
        if name in self.applied:
            before = self.applied[name].entry
            entry = HostEntry(name, before.zone, before.kind, before.cell, HostState.REMOVED)
            self._urgent[name] = Endpoint(entry, ("", 0))

    def _forget(self, name: str) -> None:
        self._urgent.pop(name, None)
        self._new.pop(name, None)

    def _record(self, endpoint: Endpoint) -> None:
        if endpoint.entry.state is HostState.REMOVED:
            self.applied.pop(endpoint.entry.host, None)
        else:
            self.applied[endpoint.entry.host] = endpoint


def _first(endpoints: dict[str, Endpoint], count: int) -> list[Endpoint]:
    return [endpoint for endpoint, _ in zip(endpoints.values(), range(count), strict=False)]

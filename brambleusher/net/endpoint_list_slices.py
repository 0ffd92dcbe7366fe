"""An endpoint list in steps: read a piece at a time, applied a slice at a time, what is urgent first.

Reading a list of 20,000 endpoints and applying it in one go takes a quarter of a second, in which no request
is served.  Both are therefore generators or calls that do a little; whoever drives them lets others run
between.  Nothing here waits or knows a clock.
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

STEP_BYTES = 16 * 1024  # of text read in one step: about 100 endpoints, a third of a millisecond
STEP_ENDPOINTS = 512  # compared with those held in one step: as long
SINGLE_STEP_BYTES = 2 * STEP_BYTES  # a text up to here is read in one step
MAX_CUT_ATTEMPTS = 8  # ends of an entry that are looked at in one step
NEW_DIVISOR = 4  # of a slice, one in so many are endpoints that only came, while urgent ones wait
_SERVERS = re.compile(rb'"servers"\s*:\s*\[')

Steps = Generator[None, None, EndpointListUpdate]


def decode_steps(text: bytes) -> Steps:
    """Do the work of `decode_update` on a text in steps; the result is the generator's value.

    The array of endpoints is cut where an entry seems to end.  What lies before the cut is read by itself:
    if that is an array, the cut was between two entries and within nothing, since JSON is read from left to
    right.  A text in which no cut can be found is read in one step.

    Raises:
        ValueError: the text is no list.
    """
    found = _SERVERS.search(text) if len(text) > SINGLE_STEP_BYTES else None
    if found is None or text.count(b'"servers"') != 1:
        return decode_update(orjson.loads(text))
    head = orjson.loads(text[: found.end()] + b"]}")  # fails where the array is within something else
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
    if endpoints and not entries:  # a comma that nothing follows
        raise EndpointListError("servers is not a list")
    whole = {**head, **tail}
    endpoints += [decode_endpoint(entry) for entry in entries]
    return EndpointListUpdate(decode_version(whole), whole.get("full") is True, tuple(endpoints))


def _decode_entries(text: bytes, position: int) -> tuple[list[object] | None, int]:
    """Decode about a step of entries; None where no cut is found.

    Returns:
        The entries, and the position of the next one.
    """
    cut = position + STEP_BYTES
    for _ in range(MAX_CUT_ATTEMPTS):
        cut = text.find(b"},", cut) + 1
        if cut == 0:
            break
        try:
            return orjson.loads(b"[" + text[position:cut] + b"]"), cut + 1
        except ValueError:
            continue
    return None, position


class EndpointListSlices:
    """What has been applied of the list, and what is still to be applied.

    Urgent is what takes an endpoint away that was applied as ready: it drains, is removed, or another process
    took its place.  While such wait, a part of each slice is for endpoints that are new: a list in which
    nothing stays would otherwise leave none for a while.
    """

    def __init__(self, small: int, slice_size: int) -> None:
        """Up to `small` endpoints are applied at once, of more at most `slice_size` in a slice."""
        self._small, self._slice_size = small, slice_size
        self.applied: dict[str, Endpoint] = {}
        self._urgent: dict[str, Endpoint] = {}
        self._new: dict[str, Endpoint] = {}
        self._is_adding = False

    @property
    def waiting(self) -> int:
        """Endpoints that are still to be applied."""
        return len(self._urgent) + len(self._new)

    def is_small(self, update: EndpointListUpdate) -> bool:
        """Whether an update may be applied at once; it is to be passed to `mark_applied` then."""
        applied = len(self.applied) if update.full else 0
        return not self.waiting and max(applied, len(update.endpoints)) <= self._small

    def mark_applied(self, update: EndpointListUpdate) -> None:
        """Record an update that was applied at once."""
        if update.full:
            self.applied.clear()
        for endpoint in update.endpoints:
            self._record(endpoint)

    def add(self, update: EndpointListUpdate) -> Generator[None, None, None]:
        """Have an update applied in slices; it may overtake parts of earlier ones.  In steps as well.

        What is urgent may be applied between two steps; the rest waits for the last one.
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
        """Take the next slice, which counts as applied; empty where nothing is to be applied now."""
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
        """Handle an endpoint that a full list does not name."""
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

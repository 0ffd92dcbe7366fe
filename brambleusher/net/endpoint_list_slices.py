"""A endpoint list in steps: read a piece at a time, told a slice at a time, and what is urgent first.

Reading a list of 20,000 endpoints and telling it in one go takes a quarter of a second, in which no request
is served.  Both are therefore generators or calls that do a little; whoever drives them lets others run
between.  Nothing here waits or knows a clock.
"""

from __future__ import annotations

import re
from collections.abc import Generator
from typing import Any

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
WHOLE_BYTES = 2 * STEP_BYTES  # a text up to here is read in one go
TRIES = 8  # ends of an entry that are looked at in one step
REST_PART = 4  # of a slice, one in so many are endpoints that only came, while urgent ones wait
_SERVERS = re.compile(rb'"servers"\s*:\s*\[')

Steps = Generator[None, None, EndpointListUpdate]


def decode_steps(text: bytes) -> Steps:
    """`decode_update` of a text, in steps; the result is the generator's value.

    The array of endpoints is cut where an entry seems to end.  What lies before the cut is read by itself:
    if that is an array, the cut was between two entries and within nothing, since JSON is read from left to
    right.  A text in which no cut can be found is read whole.  Raises `ValueError` as that does.
    """
    found = _SERVERS.search(text) if len(text) > WHOLE_BYTES else None
    if found is None or text.count(b'"servers"') != 1:
        return decode_update(orjson.loads(text))
    head = orjson.loads(text[: found.end()] + b"]}")  # fails where the array is within something else
    at, endpoints = found.end(), []
    while len(text) - at > STEP_BYTES:
        part, at = _piece(text, at)
        if part is None:
            break
        endpoints += [decode_endpoint(entry) for entry in part]
        if len(endpoints) > MAX_SERVERS:
            break
        yield
    rest = orjson.loads(b'{"servers":[' + text[at:])
    entries = rest["servers"]
    if not isinstance(entries, list) or len(endpoints) + len(entries) > MAX_SERVERS:
        raise EndpointListError("servers is missing or too long")
    if endpoints and not entries:  # guards against a comma that nothing follows
        raise EndpointListError("servers is not a list")
    whole = {**head, **rest}
    endpoints += [decode_endpoint(entry) for entry in entries]
    return EndpointListUpdate(decode_version(whole), whole.get("full") is True, tuple(endpoints))


def _piece(text: bytes, at: int) -> tuple[list[Any] | None, int]:
    """About a step of entries from `at` on, and where the next one begins; None where no cut is found."""
    cut = at + STEP_BYTES
    for _ in range(TRIES):
        cut = text.find(b"},", cut) + 1
        if cut == 0:
            break
        try:
            return orjson.loads(b"[" + text[at:cut] + b"]"), cut + 1
        except ValueError:
            continue
    return None, at


class EndpointListSlices:
    """What has been told of the list, and what is still to be told.

    Urgent is what takes a endpoint away that was told as ready: it drains, is gone, or another process took
    its place.  While such wait, a part of each slice is for endpoints that are new: a list in which nothing
    stays would otherwise leave none for a while.
    """

    def __init__(self, small: int, most: int) -> None:
        """Up to `small` endpoints are told as they come, of more at most `most` in a slice."""
        self._small, self._most = small, most
        self.held: dict[str, Endpoint] = {}  # as told
        self._urgent: dict[str, Endpoint] = {}
        self._rest: dict[str, Endpoint] = {}
        self._taking = False

    @property
    def waiting(self) -> int:
        """Machines that are still to be told."""
        return len(self._urgent) + len(self._rest)

    def is_small(self, update: EndpointListUpdate) -> bool:
        """Whether an update may be told as it is; it is to be passed to `told` then."""
        held = len(self.held) if update.full else 0
        return not self.waiting and max(held, len(update.endpoints)) <= self._small

    def told(self, update: EndpointListUpdate) -> None:
        """An update is told as it is."""
        if update.full:
            self.held.clear()
        for endpoint in update.endpoints:
            self._hold(endpoint)

    def take(self, update: EndpointListUpdate) -> Generator[None, None, None]:
        """Have an update told in slices; it may overtake parts of earlier ones.  In steps as well.

        What is urgent may be told between two steps; the rest waits for the last one.
        """
        self._taking = True
        try:
            yield from self._take(update)
        finally:
            self._taking = False

    def _take(self, update: EndpointListUpdate) -> Generator[None, None, None]:
        named = set()
        for at, endpoint in enumerate(update.endpoints):
            self._put(endpoint)
            named.add(endpoint.entry.host)
            if at % STEP_ENDPOINTS == STEP_ENDPOINTS - 1:
                yield
        if not update.full:
            return
        for at, name in enumerate([*self._rest, *self.held]):
            if name not in named:
                self._drop(name)
                if name in self.held:
                    was = self.held[name].entry
                    entry = HostEntry(name, was.zone, was.kind, was.cell, HostState.REMOVED)
                    self._urgent[name] = Endpoint(entry, ("", 0))
            if at % STEP_ENDPOINTS == STEP_ENDPOINTS - 1:
                yield

    def next(self) -> tuple[Endpoint, ...]:
        """The next slice, which counts as told; empty where nothing is to be told now."""
        if self._taking and not self._urgent:
            return ()
        share = min(len(self._rest), self._most // REST_PART if self._urgent else self._most)
        some = [*self._first(self._urgent, self._most - share), *self._first(self._rest, share)]
        for endpoint in some:
            self._drop(endpoint.entry.host)
            self._hold(endpoint)
        return tuple(some)

    @staticmethod
    def _first(endpoints: dict[str, Endpoint], count: int) -> list[Endpoint]:
        return [endpoint for endpoint, _ in zip(endpoints.values(), range(count), strict=False)]

    def _put(self, endpoint: Endpoint) -> None:
        entry, name = endpoint.entry, endpoint.entry.host
        self._drop(name)
        was = self.held.get(name)
        if endpoint == was:
            return
        if was is None:
            if entry.state is not HostState.REMOVED:
                self._rest[name] = endpoint
        elif entry.state is HostState.READY and (was.address, was.entry.started_ns) == (
            endpoint.address, entry.started_ns,
        ):  # fmt: skip
            self._rest[name] = endpoint
        else:
            self._urgent[name] = endpoint

    def _drop(self, name: str) -> None:
        self._urgent.pop(name, None)
        self._rest.pop(name, None)

    def _hold(self, endpoint: Endpoint) -> None:
        if endpoint.entry.state is HostState.REMOVED:
            self.held.pop(endpoint.entry.host, None)
        else:
            self.held[endpoint.entry.host] = endpoint

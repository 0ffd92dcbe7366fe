"""Endpoint lists that a sidecar received, and when, read by a parser written for the checker alone."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

READY, DRAINING, GONE = "Ready", "Terminating", "Gone"


@dataclass(frozen=True, slots=True)
class Entry:
    """One node's entry in an endpoint list."""

    name: str
    address: tuple[str, int]
    state: str
    started_ms: int


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """A full endpoint list, or the entries that changed since the last one."""

    version: int
    full: bool
    entries: tuple[Entry, ...]


def _read_count(raw: dict[str, Any], key: str) -> int:
    value = raw.get(key, 0)
    if type(value) is not int or value < 0:
        raise ValueError(key)
    return value


def parse_address(text: Any) -> tuple[str, int]:
    """Parse an address written as `host:port`; raises `ValueError` if it is invalid."""
    if not isinstance(text, str):
        raise ValueError("addr")
    host, colon, port = text.rpartition(":")
    if not host or not colon or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ValueError("addr")
    return host, int(port)


def _parse_entry(raw: Any) -> Entry:
    if not isinstance(raw, dict):
        raise ValueError("entry")
    name, state = raw.get("id"), raw.get("state")
    weight = raw.get("weight", 1.0)
    if not isinstance(name, str) or not name or state not in (READY, DRAINING, GONE):
        raise ValueError("entry")
    if isinstance(weight, bool) or not isinstance(weight, int | float) or not 0 <= weight < float("inf"):
        raise ValueError("weight")
    _read_count(raw, "cell")
    started = _read_count(raw, "started_ms")
    try:
        address = parse_address(raw.get("addr"))
    except ValueError:
        if state != GONE:
            raise
        address = ("", 0)
    return Entry(name, address, state, started)


def parse_entries(raw: Any) -> tuple[Entry, ...]:
    """Parse list entries in discovery's format; raises `ValueError` if any entry is invalid."""
    if not isinstance(raw, list):
        raise ValueError("servers")
    return tuple(_parse_entry(each) for each in raw)


def parse_update(line: bytes | dict[str, Any]) -> ListUpdate | None:
    """Parse a line of a discovery watch; None for an invalid line, which carries no information."""
    try:
        raw = json.loads(line) if isinstance(line, bytes) else line
        if not isinstance(raw, dict):
            return None
        return ListUpdate(
            _read_count(raw, "version"), raw.get("full") is True, parse_entries(raw.get("servers"))
        )
    except (ValueError, RecursionError):
        return None


class KnownNode:
    """The state of one node according to the lists received so far."""

    __slots__ = ("address", "moved_ns", "restarted_ns", "since_ns", "started_ms", "state")

    def __init__(self, entry: Entry, now: int) -> None:
        self.address, self.state, self.started_ms = entry.address, entry.state, entry.started_ms
        self.since_ns = now  # time of the list that brought the current state
        self.restarted_ns = self.moved_ns = now  # times of the lists that brought the start and the address


class Roster:
    """All nodes according to the lists received so far; a node that is gone stays with the state `GONE`."""

    __slots__ = ("nodes",)

    def __init__(self) -> None:
        self.nodes: dict[str, KnownNode] = {}

    def apply(self, now: int, update: ListUpdate) -> list[str]:
        """Apply a list and return descriptions of the changes."""
        changed = []
        for entry in update.entries:
            known = self.nodes.get(entry.name)
            if known is None:
                self.nodes[entry.name] = KnownNode(entry, now)
                changed.append(f"{entry.name} {entry.state}")
                continue
            if known.state != entry.state:
                known.state, known.since_ns = entry.state, now
                changed.append(f"{entry.name} {entry.state}")
            if entry.state != GONE:
                if known.started_ms != entry.started_ms:
                    known.started_ms, known.restarted_ns = entry.started_ms, now
                    changed.append(f"{entry.name} started")
                if known.address != entry.address:
                    known.address, known.moved_ns = entry.address, now
                    changed.append(f"{entry.name} moved")
        if update.full:
            named = {entry.name for entry in update.entries}
            for name, known in self.nodes.items():
                if name not in named and known.state != GONE:
                    known.state, known.since_ns = GONE, now
                    changed.append(f"{name} {GONE}")
        return changed

    def stopped_since(self, name: str, started_ms: int, address: tuple[str, int]) -> int | None:
        """Return the time since which the lists forbid new requests to a process; None while they allow them.

        Returns -1 if no list ever named the address. A process whose id no list has named is taken for the
        node that the lists have at its address.
        """
        known = self.nodes.get(name)
        if known is None:
            return self.no_ready_node_since(address)
        if known.started_ms > started_ms:
            return known.restarted_ns
        if known.state != READY:
            return known.since_ns
        return known.moved_ns if known.address != address else None

    def no_ready_node_since(self, address: tuple[str, int]) -> int | None:
        """Return the time since which no ready node is listed at an address.

        Returns None while a ready node is listed there, and -1 if no list ever named the address.
        """
        there = [known for known in self.nodes.values() if known.address == address]
        if any(known.state == READY for known in there):
            return None
        return max((known.since_ns for known in there), default=-1)

    def knows_start(self, name: str, started_ms: int) -> bool:
        """Tell whether a list has named this start of a node, or a later one."""
        known = self.nodes.get(name)
        return known is not None and known.started_ms >= started_ms

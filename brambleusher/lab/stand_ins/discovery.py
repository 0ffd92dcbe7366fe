"""A stand-in discovery service with lists, watches and versions, and a log of all updates it has sent."""

from __future__ import annotations

import random
import zlib
from collections.abc import Callable, Iterable, MutableSequence
from dataclasses import dataclass
from typing import Literal
from urllib.parse import parse_qs, urlsplit

import msgspec
import orjson

from brambleusher.lab.stand_ins.server import ActiveFaults, Connection, Server
from brambleusher.lab.stand_ins.settings import DiscoverySettings
from brambleusher.net.http import Message, MessageReader, write_response
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError

READ_SECONDS = 10.0
WRITE_SECONDS = 10.0
CATCH_UP_SECONDS = 0.5  # time between an outdated list and the current one, in seconds
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"

GarbageHow = Literal["noise", "half-line", "not-a-list", "bad-entry", "bad-chunk", "older"]


class Entry(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A node's entry in the list."""

    id: str
    addr: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: Literal["Ready", "Terminating", "Gone"] = "Ready"
    weight: float = 1.0
    started_ms: int = 0


# --- faults -------------------------------------------------------------------------------------


@dataclass(eq=False, slots=True)
class Down:
    """Requests are refused, reset, or answered with 503; only with 503 do open watches continue."""

    how: Literal["refuse", "reset", "503"] = "refuse"


@dataclass(eq=False, slots=True)
class SlowRequests:
    """Requests take `factor` times as long."""

    factor: float


@dataclass(eq=False, slots=True)
class Unresponsive:
    """Watches stay open but send nothing, not even heartbeats; requests get no response meanwhile."""


@dataclass(eq=False, slots=True)
class Garbage:
    """Each watch receives invalid data once: when the fault begins, or when a later watch opens."""

    how: GarbageHow


@dataclass(eq=False, slots=True)
class DelayedUpdates:
    """A fraction of the subscribers, selected by a hash of the IP address, receives changes `by_s` later."""

    fraction: float
    by_s: float


# --- the log ------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class SentUpdate:
    """A list or a change sent to one subscriber; `at_ns` is the time at which its last byte was written."""

    at_ns: int
    peer: str
    connection: int
    version: int
    full: bool
    entries: tuple[Entry, ...]
    sound: bool = True  # False for invalid data and for an older version sent out of order


@dataclass(eq=False, slots=True)
class _Watch:
    connection: Connection
    version: int | None
    due: bool = False  # whether an update is to be sent
    sent_garbage: Garbage | None = None  # fault whose invalid data was already sent
    due_garbage: Garbage | None = None  # fault whose invalid data is to be sent


class Discovery(Server):
    """A discovery service with its own version numbers."""

    def __init__(
        self,
        scheduler: Scheduler,
        settings: DiscoverySettings,
        name: str = "discovery",
        seed: int = 0,
        *,
        entries: Iterable[Entry] = (),
        version: int = 1,
        sent_updates: MutableSequence[SentUpdate] | None = None,
        seen: Callable[[str, Entry], Entry] | None = None,
    ) -> None:
        """Initialize the service; `seen` translates an entry for the subscriber at a given IP address."""
        super().__init__(scheduler, name)
        self.settings, self.rng = settings, random.Random(f"{seed}/{name}")
        self.version = version
        self._entries: dict[str, tuple[int, Entry]] = {entry.id: (version, entry) for entry in entries}
        self._oldest = version  # oldest version from which changes are available
        self._previous: tuple[int, list[Entry]] | None = None  # previous version and its list
        self.sent_updates: MutableSequence[SentUpdate] = [] if sent_updates is None else sent_updates
        self.active_faults = ActiveFaults()
        self._watches: dict[int, _Watch] = {}
        self._free_at = 0.0  # time at which all accepted requests will have been answered
        self.request_count = self.failed_count = 0
        self._seen = seen

    # --- the list -------------------------------------------------------------------------------

    @property
    def entries(self) -> list[Entry]:
        """Current list of nodes."""
        return [entry for _, entry in self._entries.values() if entry.state != "Gone"]

    def put(self, *entries: Entry) -> None:
        """Change entries in one new version; watches are notified within `spread_s`."""
        self._previous = self.version, self.entries
        self.version += 1
        for entry in entries:
            self._entries.pop(entry.id, None)  # moves the entry to the end, in order of versions
            self._entries[entry.id] = self.version, entry
        oldest = self.version - self.settings.history
        if oldest > self._oldest:
            self._oldest = oldest
            for name, (version, entry) in list(self._entries.items()):
                if entry.state == "Gone" and version <= oldest:
                    del self._entries[name]
        for watch in self._watches.values():
            self._notify_later(watch, self.settings.spread_s * self.rng.random() + self._extra_delay(watch))

    def _extra_delay(self, watch: _Watch) -> float:
        fraction = zlib.crc32(watch.connection.peer.encode()) % 1000 / 1000
        return max(
            (each.by_s for each in self.active_faults.all(DelayedUpdates) if fraction < each.fraction),
            default=0.0,
        )

    def put_later(self, seconds: float, *entries: Entry) -> None:
        """Change entries after some seconds."""
        self.scheduler.call_at(self.scheduler.now() + seconds, lambda: self.put(*entries))

    def changes(self, since: int | None) -> tuple[bool, list[Entry]]:
        """Return the entries for a subscriber with a given version, and whether they are the whole list."""
        if since is None or not self._oldest <= since <= self.version:
            return True, self.entries
        return False, [entry for version, entry in self._entries.values() if version > since]

    # --- injected faults ------------------------------------------------------------------------

    def begin(self, fault: object) -> None:
        """Activate a fault."""
        self.active_faults.begin(fault)
        if isinstance(fault, Down):
            if fault.how == "refuse":
                self.unlisten()
            if fault.how != "503":
                self.drop(reset=True)
        if isinstance(fault, Garbage):
            for watch in self._watches.values():
                watch.due_garbage = fault
                self._notify_later(watch, 0.0)

    def end(self, fault: object) -> None:
        """Deactivate a fault."""
        self.active_faults.end(fault)
        refusing = any(each.how == "refuse" for each in self.active_faults.all(Down))
        if isinstance(fault, Down) and not refusing and not self.listening and self.address is not None:
            self.listen(self.address)
        if isinstance(fault, Unresponsive) and not self.active_faults.all(Unresponsive):
            for connection in self.connections.values():
                connection.event.set()

    def retire(self, seconds: float) -> None:
        """Stop accepting connections, and close the open ones after some seconds, as when replaced."""
        self.unlisten()
        self.scheduler.call_at(self.scheduler.now() + seconds, lambda: self.drop(reset=False))

    # --- one connection -------------------------------------------------------------------------

    def serve(self, connection: Connection) -> None:
        """Serve requests until the connection ends or a request opens a watch."""
        reader = MessageReader.requests()
        while (request := self._read(connection, reader)) is not None:
            url = urlsplit(request.start[1])
            if request.start[0] != "GET" or url.path != "/v1/endpoints":
                self._write(connection, write_response(404, [], b"not here\n"))
                continue
            if not self._wait_for_turn(connection):
                return
            query = parse_qs(url.query)
            if query.get("follow") == ["1"]:
                since = query.get("since", [""])[0]
                self._watch(connection, int(since) if since.isascii() and since.isdigit() else None)
                return
            version, entries = self.version, tuple(self.entries)
            body = self._text(connection, version, True, entries)
            self._write(connection, write_response(200, [("Content-Type", "application/json")], body))
            self._log(connection, version, True, entries)

    def _read(self, connection: Connection, reader: MessageReader) -> Message | None:
        deadline = self.scheduler.now() + READ_SECONDS
        while (request := reader.take()) is None:
            data = connection.stream.receive(deadline)
            if not data:
                return None
            reader.feed(data)
        return request

    def _wait_for_turn(self, connection: Connection) -> bool:
        """Wait until the request is served in turn; return False if it fails."""
        settings, scheduler = self.settings, self.scheduler
        self.request_count += 1
        down = self.active_faults.last(Down)
        now = scheduler.now()
        factor = max((each.factor for each in self.active_faults.all(SlowRequests)), default=1.0)
        takes = (settings.call_s + settings.line_s * len(self._entries)) * factor
        ready = max(self._free_at, now) + takes
        fails = "" if down is None else down.how
        if down is None:
            if ready - now > settings.timeout_s:
                fails = settings.fails_by
            else:
                self._free_at = ready
            scheduler.sleep(min(ready - now, settings.timeout_s))
        while self.active_faults.all(Unresponsive):  # requests are answered once the fault ends
            scheduler.park(event=connection.event)
        if not fails:
            return True
        self.failed_count += 1
        if fails == "503":
            self._write(connection, write_response(503, [], b"not now\n", keep_alive=False))
        else:
            self.reset(connection)
        return False

    # --- a watch --------------------------------------------------------------------------------

    def _watch(self, connection: Connection, since: int | None) -> None:
        watch = self._watches[connection.number] = _Watch(connection, since, due=True)
        scheduler, first = self.scheduler, True
        watch.due_garbage = self.active_faults.last(Garbage)
        connection.stream.send(HEAD, scheduler.now() + WRITE_SECONDS)
        try:
            while True:
                if not self.active_faults.all(Unresponsive):
                    if watch.due_garbage is not None and watch.due_garbage is not watch.sent_garbage:
                        watch.sent_garbage, watch.due_garbage = watch.due_garbage, None
                        if not self._send_garbage(watch, watch.sent_garbage.how):
                            return
                    elif watch.due:
                        self._send_update(watch, first)
                        first = False
                    else:
                        self._write(connection, b"1\r\n\n\r\n")
                if self._has_disconnected(watch):
                    return
        finally:
            self._watches.pop(connection.number, None)

    def _has_disconnected(self, watch: _Watch) -> bool:
        """Wait for an update or the next heartbeat; return True if the subscriber has disconnected."""
        deadline = self.scheduler.now() + self.settings.beat_s
        try:
            return watch.connection.stream.receive(deadline, watch.connection.event) == b""
        except TaskTimeoutError:
            return False

    def _notify_later(self, watch: _Watch, seconds: float) -> None:
        def notify() -> None:
            watch.due = True
            watch.connection.event.set()

        if seconds > 0:
            self.scheduler.call_at(self.scheduler.now() + seconds, notify)
        else:
            notify()

    def _send_update(self, watch: _Watch, first: bool) -> None:
        watch.due = False
        full, entries = self.changes(watch.version)
        if not entries and not full and not first:  # already sent with an earlier change
            return
        version, sent_entries = self.version, tuple(entries)
        watch.version = version
        self._write(
            watch.connection, _chunk(self._text(watch.connection, version, full, sent_entries) + b"\n")
        )
        self._log(watch.connection, version, full, sent_entries)

    def _send_garbage(self, watch: _Watch, how: GarbageHow) -> bool:
        """Send invalid data; return False if it ends the watch."""
        connection, entries = watch.connection, tuple(self.entries)
        if how == "older":
            if self._previous is None:
                return True
            # Simulates a replica that lags behind and catches up later.
            version, previous = self._previous
            self._write(connection, _chunk(self._text(connection, version, True, previous) + b"\n"))
            self._log(connection, version, True, tuple(previous), sound=False)
            watch.version, watch.due = version, False
            self._notify_later(watch, CATCH_UP_SECONDS)
            return True
        valid = self._text(connection, self.version, True, entries)
        if how == "half-line":
            self._write(connection, _chunk(valid[: len(valid) // 2]))
            return False  # the watch ends in the middle of a line
        if how == "bad-chunk":
            self._write(connection, b"zz\r\n" + valid + b"\r\n")
            return False
        if how == "noise":
            line = bytes(self.rng.choices(range(32, 127), k=80))
        elif how == "not-a-list":
            line = orjson.dumps({"version": self.version, "full": True, "servers": {"a": 1}})
        else:
            raw = orjson.loads(valid)
            raw["servers"].append({"id": "s-bad", "addr": "nowhere", "state": "Ready"})
            line = orjson.dumps(raw)
        self._write(connection, _chunk(line + b"\n"))
        return True

    def _text(self, connection: Connection, version: int, full: bool, entries: Iterable[Entry]) -> bytes:
        seen = self._seen
        if seen is not None:
            entries = [seen(connection.peer, entry) for entry in entries]
        return _text(version, full, entries)

    def _write(self, connection: Connection, data: bytes) -> None:
        connection.stream.send(data, self.scheduler.now() + WRITE_SECONDS)

    def _log(
        self, connection: Connection, version: int, full: bool, entries: tuple[Entry, ...], sound: bool = True
    ) -> None:
        now = self.scheduler.system.monotonic_ns()
        self.sent_updates.append(
            SentUpdate(now, connection.peer, connection.number, version, full, entries, sound)
        )


def _text(version: int, full: bool, entries: Iterable[Entry]) -> bytes:
    raw = {"version": version, "full": full, "servers": [msgspec.to_builtins(entry) for entry in entries]}
    return orjson.dumps(raw)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)

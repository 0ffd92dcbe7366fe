"""Captures: what the module was told and what it decided, kept in a bounded ring and, if asked, in files.

The module learns and draws random numbers, so its decisions can be rerun only from its state at the
oldest record that is left.  The ring is therefore made of segments: each begins with a header that
holds the endpoint list and the module's state as they stood before its first record, and only whole
segments are dropped.  The header in front of the oldest segment is the ring's.
"""

from __future__ import annotations

import logging
import os
import re
from collections import deque
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import orjson

from brambleusher.decisions.observers import Decision, DecisionRecorder
from brambleusher.features.output_queue import ITEM_BYTES, OutputQueue
from brambleusher.features.records import (
    VERSION,
    encode_action,
    encode_entry,
    encode_event,
    encode_record,
    recorded_server,
)
from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.settings_codec import save_settings
from brambleusher.net.endpoint_list import EndpointListUpdate
from brambleusher.operator_settings.configuration import CaptureSettings
from brambleusher.runtime.sinks import append_atomically
from brambleusher.runtime.system import Item

log = logging.getLogger(__name__)

SEGMENTS = 4  # in a ring, where headers are small; each more is one more header to make and to hold
NODE_BYTES = 250  # of a header, for each node at the least
HEAD_MOST = 0.75  # of the ring; past that nothing is kept
SEAL_NS = 5_000_000_000  # where there are files, a segment goes to them after so long at the latest
AGAIN_NS = 10_000_000_000  # after a header that did not fit the ring, or a fault


class Segment:
    """A header, and the records that follow it."""

    __slots__ = ("due", "head", "lines", "opened_ns", "size")

    def __init__(self, head: bytes, now_ns: int, due: int) -> None:
        self.head, self.opened_ns = head, now_ns
        self.lines: list[bytes] = []
        self.size = len(head) + ITEM_BYTES
        self.due = self.size + due  # at this size it is sealed

    def join(self) -> None:
        """No more records come."""
        self.lines = [b"".join(self.lines)] if self.lines else []
        self.size = len(self.head) + sum(map(len, self.lines)) + 2 * ITEM_BYTES


class Capture(DecisionRecorder):
    """The ring, as the decisions fill it."""

    def __init__(
        self,
        settings: CaptureSettings,
        served: api.Settings,
        seed: int,
        known: EndpointListUpdate,
        dumps: OutputQueue,
        files: OutputQueue | None,
    ) -> None:
        self._limit = settings.ring_kb * 1024
        self._dumps, self._files = dumps, files
        self._start = {"ev": "start", "v": VERSION, "seed": f"{seed:016x}"}
        self._settings = orjson.Fragment(orjson.dumps(save_settings(served)))
        self._state: Callable[[], dict[str, Any]] = dict
        self._addresses: dict[str, str] = {}
        self._servers: dict[str, dict[str, Any]] = {}
        self._version = self._told = 0
        self.update_endpoints(known)
        self._fold(api.ListKind.FULL, [endpoint.entry for endpoint in known.endpoints])
        self._count = 0  # of records so far: the number of the next one
        self._sealed: deque[Segment] = deque()
        self._sealed_size = 0
        self._open: Segment | None = Segment(head := self._head(None), 0, self._due(len(head)))
        self._again_ns = 0

    def start(self, state: Callable[[], dict[str, Any]], is_imported: bool = False) -> None:
        """From here on `state` tells the module's; one that was inherited stands in the first header."""
        self._state = state
        if is_imported:
            head = self._head(state())
            self._open = Segment(head, 0, self._due(len(head)))

    def update_endpoints(self, update: EndpointListUpdate) -> None:
        """Record the list that the balancer gets next, with what only this side knows of it."""
        self._told = update.version
        for endpoint in update.endpoints:
            host, port = endpoint.address
            self._addresses[endpoint.entry.host] = f"{host}:{port}" if host else ""

    def record(self, decision: Decision) -> None:
        """One event and what the module decided."""
        try:
            self._record(decision)
        except Exception:
            # Guards against a fault here harming a request.  What is kept so far has a hole from now on.
            log.exception("capture failed")
            self._open, self._again_ns = None, decision.now_ns + AGAIN_NS

    def dump(self) -> None:
        """Send the ring to standard error."""
        if not self._dumps.idle:
            log.warning("capture dump already running")
            return
        segments = [*self._sealed, *([self._open] if self._open is not None else [])]
        if not segments:
            log.warning("capture header exceeds the ring", extra={"fields": {"limit": self._limit}})
            return
        self._dumps.put([segments[0].head, *(line for segment in segments for line in segment.lines)])

    def close(self) -> None:
        """Send what is left to the files."""
        if self._open is not None:
            self._seal(self._open)
            self._open = None

    # --- the ring -------------------------------------------------------------------------------

    def _record(self, decision: Decision) -> None:
        event, now_ns, call = decision.event, decision.now_ns, decision.request
        name, told = encode_event(event)
        if isinstance(event, api.HostListUpdated):
            told["version"] = self._told
            # Exact beside discovery's form: the module counts in nanoseconds.
            told["servers"] = [
                {**encode_entry(entry, self._addresses.get(entry.host, "")), "started_ns": entry.started_ns}
                for entry in event.entries
            ]
        if self._open is not None:
            request = event if isinstance(event, api.RequestArrived) else None
            record: dict[str, Any] = {
                "n": self._count, "t_ms": now_ns // 1_000_000, "t_ns": now_ns, "ev": name,
                "id": getattr(event, "request", None),
                "class": request.request_class if request else call and call.request_class,
                "tenant": request.tenant if request else call and call.tenant,
                "server": recorded_server(event, decision.actions), "in": told,
                "out": [encode_action(each) for each in decision.actions],
            }  # fmt: skip
            if decision.error is not None:
                record["raised"] = type(decision.error).__name__
            line = encode_record(record)
            self._open.lines.append(line)
            self._open.size += len(line) + ITEM_BYTES
        self._count += 1
        if isinstance(event, api.HostListUpdated):
            self._fold(event.kind, event.entries)
        if self._open is not None:
            self._rotate(self._open, now_ns)
        elif now_ns >= self._again_ns:
            self._sealed.clear()  # records are missing between them and what follows
            self._sealed_size = 0
            self._begin(now_ns)

    def _rotate(self, segment: Segment, now_ns: int) -> None:
        if not segment.opened_ns:
            segment.opened_ns = now_ns
        while self._sealed and self._sealed_size + segment.size > self._limit:
            self._sealed_size -= self._sealed.popleft().size
        old = self._files is not None and now_ns - segment.opened_ns >= SEAL_NS
        if segment.size >= segment.due or old:
            self._seal(segment)
            self._begin(now_ns)

    def _due(self, head: int) -> int:
        """How large a segment's records grow: twice its header, but so that two segments have room."""
        least = self._limit // SEGMENTS
        due = min(max(least, 2 * head), self._limit // 2 - head)
        return due if due >= least else self._limit - head  # one alone: better than hardly any records

    def _seal(self, segment: Segment) -> None:
        segment.join()
        self._sealed.append(segment)
        self._sealed_size += segment.size
        if self._files is not None and segment.lines:
            self._files.put([segment.head + segment.lines[0]])

    def _begin(self, now_ns: int) -> None:
        """Open a segment at the state of this moment, and drop the oldest ones that it leaves no room for."""
        size = len(self._servers) * NODE_BYTES
        if size <= self._limit * HEAD_MOST:  # guards against making one of megabytes that can't fit
            head = self._head(self._state())
            size = len(head)
            self._open = Segment(head, now_ns, self._due(size))
        if size > self._limit * HEAD_MOST:
            # Guards against a ring of hardly anything but headers, and against making them again and again.
            log.warning("capture header exceeds the ring", extra={"fields": {"bytes": size}})
            self._open, self._again_ns = None, now_ns + AGAIN_NS
        taken = 0 if self._open is None else self._open.size
        while self._sealed and self._sealed_size + taken > self._limit:
            self._sealed_size -= self._sealed.popleft().size

    def _head(self, state: dict[str, Any] | None) -> bytes:
        servers = {"version": self._version, "servers": list(self._servers.values())}
        head = {**self._start, "list": servers, "settings": self._settings, "n": self._count}
        if state is not None:
            head["state"] = state
        return orjson.dumps(head) + b"\n"

    def _fold(self, kind: api.ListKind, entries: Sequence[api.HostEntry]) -> None:
        """Keep the list as the module holds it."""
        if kind is api.ListKind.FAILED:
            return
        if kind is not api.ListKind.DELTA:
            self._servers.clear()
            self._addresses = {entry.host: self._addresses.get(entry.host, "") for entry in entries}
        for entry in entries:
            if entry.state is api.HostState.REMOVED:
                self._servers.pop(entry.host, None)
                self._addresses.pop(entry.host, None)
            else:
                self._servers[entry.host] = encode_entry(entry, self._addresses.get(entry.host, ""))
        self._version = self._told


class DirSink:
    """Capture files in a directory: numbered on from those that are there, the oldest removed.

    An item is a segment.  One that follows the last goes on in its file, without its header, until the
    file is full; after a gap or a failure a new file begins.
    """

    def __init__(self, folder: str, name: str, files: int, file_bytes: int) -> None:
        self._folder, self._files, self._bytes = Path(folder), files, file_bytes
        # Several sidecars may share the directory; each looks after its own files.
        self._stem = "capture-" + re.sub(r"[^A-Za-z0-9_.]", "_", name)
        self._pattern = re.compile(re.escape(self._stem) + r"-(\d{8,})\.jsonl\Z")
        self._path: Path | None = None
        self._size = self._next = 0
        self._failing = False

    def write(self, items: list[Item]) -> int:
        """Write segments; says how many lines were lost."""
        lost = 0
        for item in items:
            try:
                self._write(item)
                self._failing = False
            except OSError as error:
                lost += item.count(b"\n")
                self._path = None
                self._report_failure(error)
        return lost

    def _report_failure(self, error: OSError) -> None:
        """Log once for each series of failures."""
        if not self._failing:
            self._failing = True
            log.error("capture write failed", extra={"fields": {"dir": self._folder, "error": error}})

    def close(self) -> None:
        """Nothing is held between writes."""

    def _write(self, item: Item) -> None:
        at = item.index(b"\n") + 1
        found = re.compile(rb'\{"n":(\d+),').match(item, at)
        first = int(found[1]) if found else -1
        records = item[at:]
        follows = first == self._next and self._size + len(records) <= self._bytes
        if self._path is not None and follows and self._append(self._path, records, 0):
            self._size += len(records)
        else:
            self._path, self._size = self._new(), len(item)
            try:
                self._append(self._path, item, os.O_CREAT | os.O_EXCL)
            except OSError:
                # Guards against a full disk on which each try would leave an empty file and cost an old one.
                self._path.unlink(missing_ok=True)
                raise
        self._next = first + records.count(b"\n")

    def _append(self, path: Path, data: bytes, flags: int) -> bool:
        """Append; false where the file has gone, which must not come back without its header."""
        try:
            fd = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC | os.O_NONBLOCK | flags, 0o600)
        except FileNotFoundError:
            if flags:
                raise
            return False
        try:
            append_atomically(fd, data)
        finally:
            os.close(fd)
        return True

    def _new(self) -> Path:
        self._folder.mkdir(parents=True, exist_ok=True)
        there = sorted(
            (int(found[1]), path)
            for path in self._folder.iterdir()
            if (found := self._pattern.match(path.name))
        )
        for _, path in there[: max(0, len(there) - self._files + 1)]:
            path.unlink(missing_ok=True)
        number = there[-1][0] + 1 if there else 1
        return self._folder / f"{self._stem}-{number:08d}.jsonl"

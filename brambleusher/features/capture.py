"""Captures: the balancer's events and actions, kept in a bounded ring buffer and optionally in files.

The balancer keeps state and draws random numbers, so its decisions can be rerun only from its state before
the oldest remaining record.  The ring therefore consists of segments.  Each segment begins with a header,
which contains the endpoint list and the balancer's state before the segment's first record, and only whole
segments are dropped.  A dump begins with the header of the oldest segment.
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

# The number of segments in a ring with small headers; more segments need more memory and time for headers.
SEGMENTS_PER_RING = 4
MIN_NODE_BYTES = 250  # the least size of one node in a header, in bytes
MAX_HEADER_FRACTION = 0.75  # largest part of the ring for one header; capture pauses if more is needed
MAX_SEGMENT_AGE_NS = 5_000_000_000  # with files, a segment is written after at most this many nanoseconds
PAUSE_NS = 10_000_000_000  # capture pauses this many nanoseconds if a header is too large or recording fails


class Segment:
    """A part of the ring: a header, and the encoded records that follow it."""

    __slots__ = ("seal_size", "header", "lines", "opened_ns", "size")

    def __init__(self, header: bytes, now_ns: int, record_capacity: int) -> None:
        self.header, self.opened_ns = header, now_ns
        self.lines: list[bytes] = []
        self.size = len(header) + ITEM_BYTES
        self.seal_size = self.size + record_capacity  # the size in bytes at which the segment is sealed

    def join_records(self) -> None:
        """Join the records into one bytes object, which saves memory; no record may be added afterwards."""
        self.lines = [b"".join(self.lines)] if self.lines else []
        self.size = len(self.header) + sum(map(len, self.lines)) + 2 * ITEM_BYTES


class Capture(DecisionRecorder):
    """Records the balancer's decisions in the ring, and writes the ring to its outputs."""

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
        self._version = self._next_version = 0
        self.update_endpoints(known)
        self._apply_host_list(api.ListKind.FULL, [endpoint.entry for endpoint in known.endpoints])
        self._count = 0  # the number of records so far, which is also the number of the next record
        self._sealed: deque[Segment] = deque()
        self._sealed_size = 0
        self._open: Segment | None = Segment(
            header := self._encode_header(None), 0, self._record_capacity(len(header))
        )
        self._resume_ns = 0

    def start(self, state: Callable[[], dict[str, Any]], is_imported: bool = False) -> None:
        """Set the function that returns the balancer's state.

        If the balancer imported its state from an earlier process, the first header contains that state.
        """
        self._state = state
        if is_imported:
            header = self._encode_header(state())
            self._open = Segment(header, 0, self._record_capacity(len(header)))

    def update_endpoints(self, update: EndpointListUpdate) -> None:
        """Keep the version and addresses of the list passed to the balancer next, which its event lacks."""
        self._next_version = update.version
        for endpoint in update.endpoints:
            host, port = endpoint.address
            self._addresses[endpoint.entry.host] = f"{host}:{port}" if host else ""

    def record(self, decision: Decision) -> None:
        """Record one event and the balancer's actions; a failure here is logged and never raised."""
        try:
            self._record(decision)
        except Exception:
            # A fault in the capture must not affect a request.  The records kept so far now have a gap.
            log.exception("capture failed")
            self._open, self._resume_ns = None, decision.now_ns + PAUSE_NS

    def dump(self) -> None:
        """Write the content of the ring to standard error."""
        if not self._dumps.is_drained:
            log.warning("capture dump already running")
            return
        segments = [*self._sealed, *([self._open] if self._open is not None else [])]
        if not segments:
            log.warning("capture header exceeds the ring", extra={"fields": {"limit": self._limit}})
            return
        self._dumps.put([segments[0].header, *(line for segment in segments for line in segment.lines)])

    def close(self) -> None:
        """Write the records that are not in the files yet."""
        if self._open is not None:
            self._seal(self._open)
            self._open = None

    # --- the ring -------------------------------------------------------------------------------

    def _record(self, decision: Decision) -> None:
        event, now_ns, request = decision.event, decision.now_ns, decision.request
        name, fields = encode_event(event)
        if isinstance(event, api.HostListUpdated):
            fields["version"] = self._next_version
            # The discovery format has only milliseconds, but the balancer uses the start time in nanoseconds.
            fields["servers"] = [
                {**encode_entry(entry, self._addresses.get(entry.host, "")), "started_ns": entry.started_ns}
                for entry in event.entries
            ]
        if self._open is not None:
            arrival = event if isinstance(event, api.RequestArrived) else None
            record: dict[str, Any] = {
                "n": self._count, "t_ms": now_ns // 1_000_000, "t_ns": now_ns, "ev": name,
                "id": getattr(event, "request", None),
                "class": arrival.request_class if arrival else request and request.request_class,
                "tenant": arrival.tenant if arrival else request and request.tenant,
                "server": recorded_server(event, decision.actions), "in": fields,
                "out": [encode_action(action) for action in decision.actions],
            }  # fmt: skip
            if decision.error is not None:
                record["raised"] = type(decision.error).__name__
            line = encode_record(record)
            self._open.lines.append(line)
            self._open.size += len(line) + ITEM_BYTES
        self._count += 1
        if isinstance(event, api.HostListUpdated):
            self._apply_host_list(event.kind, event.entries)
        if self._open is not None:
            self._rotate(self._open, now_ns)
        elif now_ns >= self._resume_ns:
            self._sealed.clear()  # records are missing between the sealed segments and the next one
            self._sealed_size = 0
            self._begin_segment(now_ns)

    def _rotate(self, segment: Segment, now_ns: int) -> None:
        if not segment.opened_ns:
            segment.opened_ns = now_ns
        while self._sealed and self._sealed_size + segment.size > self._limit:
            self._sealed_size -= self._sealed.popleft().size
        is_old = self._files is not None and now_ns - segment.opened_ns >= MAX_SEGMENT_AGE_NS
        if segment.size >= segment.seal_size or is_old:
            self._seal(segment)
            self._begin_segment(now_ns)

    def _record_capacity(self, header_size: int) -> int:
        """Return how many bytes of records a segment may have, given the size of its header in bytes.

        The limit is twice the header's size, but small enough for two segments to fit in the ring.
        """
        minimum = self._limit // SEGMENTS_PER_RING
        capacity = min(max(minimum, 2 * header_size), self._limit // 2 - header_size)
        # Below the minimum, a single segment that fills the ring leaves room for more records.
        return capacity if capacity >= minimum else self._limit - header_size

    def _seal(self, segment: Segment) -> None:
        segment.join_records()
        self._sealed.append(segment)
        self._sealed_size += segment.size
        if self._files is not None and segment.lines:
            self._files.put([segment.header + segment.lines[0]])

    def _begin_segment(self, now_ns: int) -> None:
        """Open a segment with the current state, and drop the oldest segments that no longer fit."""
        size = len(self._servers) * MIN_NODE_BYTES
        if size <= self._limit * MAX_HEADER_FRACTION:  # avoids encoding a header of megabytes that can't fit
            header = self._encode_header(self._state())
            size = len(header)
            self._open = Segment(header, now_ns, self._record_capacity(size))
        if size > self._limit * MAX_HEADER_FRACTION:
            # Pausing avoids a ring that holds hardly anything but headers, and encoding them repeatedly.
            log.warning("capture header exceeds the ring", extra={"fields": {"bytes": size}})
            self._open, self._resume_ns = None, now_ns + PAUSE_NS
        open_size = 0 if self._open is None else self._open.size
        while self._sealed and self._sealed_size + open_size > self._limit:
            self._sealed_size -= self._sealed.popleft().size

    def _encode_header(self, state: dict[str, Any] | None) -> bytes:
        servers = {"version": self._version, "servers": list(self._servers.values())}
        header = {**self._start, "list": servers, "settings": self._settings, "n": self._count}
        if state is not None:
            header["state"] = state
        return orjson.dumps(header) + b"\n"

    def _apply_host_list(self, kind: api.ListKind, entries: Sequence[api.HostEntry]) -> None:
        """Apply an update to the copy of the balancer's endpoint list, which the next header contains."""
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
        self._version = self._next_version


class CaptureDirectorySink:
    """Writes segments to numbered capture files in a directory, and removes the oldest files.

    Numbers continue after those of existing files.  A segment that directly follows the previous one is
    appended to the same file without its header until the file is full; after a gap or a failure a new
    file begins.
    """

    def __init__(self, folder: str, name: str, files: int, file_bytes: int) -> None:
        self._folder, self._files, self._bytes = Path(folder), files, file_bytes
        # Several sidecars may share the directory; each removes only files with its own name.
        self._stem = "capture-" + re.sub(r"[^A-Za-z0-9_.]", "_", name)
        self._pattern = re.compile(re.escape(self._stem) + r"-(\d{8,})\.jsonl\Z")
        self._path: Path | None = None
        self._size = self._next_record = 0
        self._is_failing = False

    def write(self, items: list[Item]) -> int:
        """Write segments, and return how many lines could not be written."""
        unwritten_lines = 0
        for item in items:
            try:
                self._write(item)
                self._is_failing = False
            except OSError as error:
                unwritten_lines += item.count(b"\n")
                self._path = None
                self._report_failure(error)
        return unwritten_lines

    def _report_failure(self, error: OSError) -> None:
        """Log only the first of several consecutive failures."""
        if not self._is_failing:
            self._is_failing = True
            log.error("capture write failed", extra={"fields": {"dir": self._folder, "error": error}})

    def close(self) -> None:
        """Do nothing, since no file is kept open between writes."""

    def _write(self, item: Item) -> None:
        header_end = item.index(b"\n") + 1
        match = re.compile(rb'\{"n":(\d+),').match(item, header_end)
        first_record = int(match[1]) if match else -1
        records = item[header_end:]
        can_append = first_record == self._next_record and self._size + len(records) <= self._bytes
        if self._path is not None and can_append and self._append(self._path, records, 0):
            self._size += len(records)
        else:
            self._path, self._size = self._new_path(), len(item)
            try:
                self._append(self._path, item, os.O_CREAT | os.O_EXCL)
            except OSError:
                # On a full disk each attempt would otherwise leave an empty file and remove an old one.
                self._path.unlink(missing_ok=True)
                raise
        self._next_record = first_record + records.count(b"\n")

    def _append(self, path: Path, data: bytes, flags: int) -> bool:
        """Append data to a file, and return whether the file exists.

        A deleted file is not created again, because it would have no header.
        """
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

    def _new_path(self) -> Path:
        """Return the path for the next file, and remove the oldest files beyond the limit."""
        self._folder.mkdir(parents=True, exist_ok=True)
        existing = sorted(
            (int(match[1]), path)
            for path in self._folder.iterdir()
            if (match := self._pattern.match(path.name))
        )
        for _, path in existing[: max(0, len(existing) - self._files + 1)]:
            path.unlink(missing_ok=True)
        number = existing[-1][0] + 1 if existing else 1
        return self._folder / f"{self._stem}-{number:08d}.jsonl"

"""Rerun the decisions in a capture without sockets or a clock, and print those that differ."""

from __future__ import annotations

import json
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, BinaryIO, TextIO

import orjson

from brambleusher.features.records import (
    VERSION,
    decode_event,
    encode_action,
    has_valid_checksum,
    recorded_server,
)
from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.balancer_factory import balancer_for
from brambleusher.loadbalancing.json_values import StateError
from brambleusher.loadbalancing.settings_codec import restore_settings
from brambleusher.loadbalancing.state_codec import attempted_hosts, known_hosts, restore

SAME, DIFFERENT, REJECTED = 0, 1, 2


class CaptureError(ValueError):
    """A file is not a capture, or this version can't rerun it."""


@dataclass
class ReplaySummary:
    """The numbers of records, differences and other lines found so far."""

    records: int = 0
    differing: int = 0
    other: int = 0  # lines that are not records, such as log lines


class Rerun:
    """Reruns the decisions that follow one header."""

    def __init__(self, header: dict[str, Any]) -> None:
        version = header.get("v")
        if type(version) is not int or version != VERSION:
            raise CaptureError(f"the header's v is {json.dumps(version)}; only {VERSION} can be read")
        listed = header.get("list")
        if not isinstance(listed, dict) or not isinstance(listed.get("servers"), list):
            raise CaptureError("the header has no list")
        if "settings" not in header:
            raise CaptureError("the header has no settings")
        try:
            seed = int(header.get("seed", ""), 16)
            self._listed = {server["id"] for server in listed["servers"]}
        except (TypeError, ValueError, KeyError):
            raise CaptureError("the header's seed or list can't be read") from None
        try:
            settings, state = restore_settings(header["settings"]), header.get("state")
            self._balancer = balancer_for(settings, seed) if state is None else restore(settings, seed, state)
        except StateError as error:
            raise CaptureError(str(error)) from None
        if state is not None and self._listed != known_hosts(self._balancer):
            raise CaptureError("the header's list does not match its state")
        # An attempt may end on a server that is no longer in the list.
        self._ever_listed = self._listed | attempted_hosts(self._balancer)
        next_record = header.get("n", 0)
        self.next_number = next_record if isinstance(next_record, int) else 0

    def check(self, record: dict[str, Any]) -> list[str]:
        """Rerun one record, and return descriptions of the differences."""
        differences = [] if has_valid_checksum(record) else ["the record was changed: its checksum is wrong"]
        try:
            event, now = decode_event(record), record["t_ns"]
            recorded_actions, server = record["out"], record["server"]
        except Exception as error:
            return [*differences, f"the record can't be read: {type(error).__name__}: {error}"]
        raised, actions = None, []
        try:
            actions = self._balancer.start(now) if event is None else self._balancer.handle(event, now)
        except Exception as error:
            raised = type(error).__name__
        if isinstance(event, api.HostListUpdated):
            self._update_listed(event)
        if raised != record.get("raised"):
            differences.append(f"recorded failure {record.get('raised')}, rerun failure {raised}")
        rerun_actions = [encode_action(action) for action in actions]
        if rerun_actions != recorded_actions:
            differences.append(f"recorded {_text(recorded_actions)}, rerun {_text(rerun_actions)}")
        if recorded_server(event, actions) != server:
            differences.append(
                f"recorded server {_text(server)}, rerun server {_text(recorded_server(event, actions))}"
            )
        return differences + self._unknown_servers(event, server, recorded_actions)

    def _update_listed(self, event: api.HostListUpdated) -> None:
        if event.kind is api.ListKind.FAILED:
            return
        if event.kind is not api.ListKind.DELTA:
            self._listed.clear()
        for entry in event.entries:
            if entry.state is api.HostState.REMOVED:
                self._listed.discard(entry.host)
            else:
                self._listed.add(entry.host)
        self._ever_listed |= self._listed

    def _unknown_servers(
        self, event: api.Event | None, server: str | None, recorded_actions: Sequence[object]
    ) -> list[str]:
        """Return a message for each recorded server that is missing from the endpoint list.

        The server of a new attempt must be listed now; that of an ended attempt must have been listed once.
        """
        sent = {
            action[2] for action in recorded_actions if isinstance(action, list) and action[:1] == ["send"]
        }
        ended = {event.host} if isinstance(event, api.AttemptEnded) else set()
        if server is not None and server not in ended:
            sent.add(server)
        unknown = [name for name in sent if name not in self._listed]
        unknown += [name for name in ended if name not in self._ever_listed]
        return [f"the server {_text(name)} is unknown" for name in unknown]


def _text(value: object) -> str:
    return orjson.dumps(value).decode()


def _lines(file: BinaryIO) -> Iterator[tuple[bytes, bool]]:
    """Yield each line of a file, and whether it is the last line."""
    previous: bytes | None = None
    for line in file:
        if previous is not None:
            yield previous, False
        previous = line
    if previous is not None:
        yield previous, True


class _Replay:
    """Processes the lines of a capture, and counts and prints the differences."""

    def __init__(self, out: TextIO) -> None:
        self._out = out
        self._current: Rerun | None = None
        self.summary = ReplaySummary()

    def process(self, number: int, line: bytes, is_last: bool) -> None:
        """Process one line; raises `CaptureError` if the records that follow can't be rerun."""
        if not line.startswith(b"{"):  # the sidecar writes its log and metrics to the same stream as a dump
            self.summary.other += 1
            return
        try:
            record = orjson.loads(line)
        except ValueError:
            self._report_unreadable(number, is_last)
            return
        if record.get("ev") == "start":
            self._current = Rerun(record)
        else:
            self._check(number, record)

    def finish(self) -> ReplaySummary:
        """Return the summary; raises `CaptureError` if there was no header."""
        if self._current is None:
            raise CaptureError("there is no header")
        return self.summary

    def _report_unreadable(self, number: int, is_last: bool) -> None:
        if is_last:
            print(f"line {number}: the last line is cut off and was skipped", file=self._out)
        elif self._current is not None:
            self._report_difference(f"line {number}", "can't be read")

    def _check(self, number: int, record: dict[str, Any]) -> None:
        current = self._current
        if current is None:
            raise CaptureError("records come before any header")
        self.summary.records += 1
        location = f"line {number}, record {_text(record.get('n'))}"
        if record.get("n") != current.next_number:
            self._report_difference(location, f"record {current.next_number} was expected here")
        current.next_number = record["n"] + 1 if isinstance(record.get("n"), int) else current.next_number + 1
        event_fields = " ".join(
            f"{key}={_text(record.get(key))}" for key in ("t_ms", "ev", "id", "class", "tenant")
        )
        if differences := current.check(record):
            self._report_difference(f"{location} {event_fields}", "; ".join(differences))

    def _report_difference(self, location: str, description: str) -> None:
        self.summary.differing += 1
        print(f"{location}: {description}", file=self._out)


def rerun(file: BinaryIO, out: TextIO) -> ReplaySummary:
    """Rerun a capture, or a sidecar's log that contains dumps, and print each difference when it is found.

    Raises:
        CaptureError: The file has no header, or a header that this version can't use.
    """
    current_replay = _Replay(out)
    for number, (line, is_last) in enumerate(_lines(file), 1):
        current_replay.process(number, line, is_last)
    return current_replay.finish()


def replay(path: str, out: TextIO, errors: TextIO) -> int:
    """Rerun the capture in a file.

    Returns:
        The exit status: 0 if no decision differs, 1 if some do, 2 if the file can't be rerun.
    """
    try:
        with Path(path).open("rb") as file:
            summary = rerun(file, out)
    except (OSError, CaptureError) as error:
        reason = error.strerror if isinstance(error, OSError) else error
        print(f"brambleusher: {path} is refused: {reason}", file=errors)
        return REJECTED
    print(f"{summary.records} records, {summary.differing} differ", file=out)
    return DIFFERENT if summary.differing else SAME

"""Reruns the decisions of a capture, and prints those that differ.  No sockets, no clock."""

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

SAME, DIFFERENT, REFUSED = 0, 1, 2


class CaptureError(ValueError):
    """A file that is no capture, or not one that can be rerun here."""


@dataclass
class ReplaySummary:
    """What was found so far."""

    records: int = 0
    differing: int = 0
    other: int = 0  # lines that are no records


class Rerun:
    """The decisions from one header on."""

    def __init__(self, head: dict[str, Any]) -> None:
        version = head.get("v")
        if type(version) is not int or version != VERSION:
            raise CaptureError(f"the header's v is {json.dumps(version)}; only {VERSION} can be read")
        listed = head.get("list")
        if not isinstance(listed, dict) or not isinstance(listed.get("servers"), list):
            raise CaptureError("the header has no list")
        if "settings" not in head:
            raise CaptureError("the header has no settings")
        try:
            seed = int(head.get("seed", ""), 16)
            self._listed = {server["id"] for server in listed["servers"]}
        except (TypeError, ValueError, KeyError):
            raise CaptureError("the header's seed or list can't be read") from None
        try:
            settings, state = restore_settings(head["settings"]), head.get("state")
            self._balancer = balancer_for(settings, seed) if state is None else restore(settings, seed, state)
        except StateError as error:
            raise CaptureError(str(error)) from None
        if state is not None and self._listed != known_hosts(self._balancer):
            raise CaptureError("the header's list is not the one its state was taken with")
        # An attempt may end on a server that has left the list.
        self._ever = self._listed | attempted_hosts(self._balancer)
        next_one = head.get("n", 0)
        self.next = next_one if isinstance(next_one, int) else 0

    def check(self, record: dict[str, Any]) -> list[str]:
        """Find what differs in one record."""
        found = [] if has_valid_checksum(record) else ["the record was changed: its checksum does not fit"]
        try:
            event, now = decode_event(record), record["t_ns"]
            told, server = record["out"], record["server"]
        except Exception as error:
            return [*found, f"the record can't be read: {type(error).__name__}: {error}"]
        raised, actions = None, []
        try:
            actions = self._balancer.start(now) if event is None else self._balancer.handle(event, now)
        except Exception as error:
            raised = type(error).__name__
        if isinstance(event, api.HostListUpdated):
            self._follow(event)
        if raised != record.get("raised"):
            found.append(f"recorded failure {record.get('raised')}, rerun failure {raised}")
        again = [encode_action(action) for action in actions]
        if again != told:
            found.append(f"recorded {_text(told)}, rerun {_text(again)}")
        if recorded_server(event, actions) != server:
            found.append(
                f"recorded server {_text(server)}, rerun server {_text(recorded_server(event, actions))}"
            )
        return found + self._unknown(event, server, told)

    def _follow(self, event: api.HostListUpdated) -> None:
        if event.kind is api.ListKind.FAILED:
            return
        if event.kind is not api.ListKind.DELTA:
            self._listed.clear()
        for entry in event.entries:
            if entry.state is api.HostState.REMOVED:
                self._listed.discard(entry.host)
            else:
                self._listed.add(entry.host)
        self._ever |= self._listed

    def _unknown(self, event: api.Event | None, server: str | None, told: Sequence[object]) -> list[str]:
        """Find servers that the record names and the list does not."""
        sent = {action[2] for action in told if isinstance(action, list) and action[:1] == ["send"]}
        ended = {event.host} if isinstance(event, api.AttemptEnded) else set()
        if server is not None and server not in ended:
            sent.add(server)
        unknown = [name for name in sent if name not in self._listed]
        unknown += [name for name in ended if name not in self._ever]
        return [f"the server {_text(name)} is unknown" for name in unknown]


def _text(value: object) -> str:
    return orjson.dumps(value).decode()


def _lines(file: BinaryIO) -> Iterator[tuple[bytes, bool]]:
    """Each line, and whether it is the last."""
    before: bytes | None = None
    for line in file:
        if before is not None:
            yield before, False
        before = line
    if before is not None:
        yield before, True


class _Replay:
    """One pass over a capture."""

    def __init__(self, out: TextIO) -> None:
        self._out = out
        self._current: Rerun | None = None
        self.summary = ReplaySummary()

    def process(self, number: int, line: bytes, is_last: bool) -> None:
        """Process a line; raises `CaptureError` where nothing can be rerun from it."""
        if not line.startswith(b"{"):  # the sidecar's log and its metrics go the same way as a dump
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
        """Return what was found; raises `CaptureError` where there was no header."""
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
        where = f"line {number}, record {_text(record.get('n'))}"
        if record.get("n") != current.next:
            self._report_difference(where, f"record {current.next} should stand here")
        current.next = record["n"] + 1 if isinstance(record.get("n"), int) else current.next + 1
        words = " ".join(f"{key}={_text(record.get(key))}" for key in ("t_ms", "ev", "id", "class", "tenant"))
        if differences := current.check(record):
            self._report_difference(f"{where} {words}", "; ".join(differences))

    def _report_difference(self, where: str, what: str) -> None:
        self.summary.differing += 1
        print(f"{where}: {what}", file=self._out)


def rerun(file: BinaryIO, out: TextIO) -> ReplaySummary:
    """Rerun a capture, or the log of a sidecar with dumps in it; prints as it goes.

    Raises:
        CaptureError: it has no header, or one that can't be rerun here.
    """
    pass_over = _Replay(out)
    for number, (line, is_last) in enumerate(_lines(file), 1):
        pass_over.process(number, line, is_last)
    return pass_over.finish()


def replay(path: str, out: TextIO, errors: TextIO) -> int:
    """Rerun the capture in a file: 0 if no decision differs, 1 if some do, 2 if the file is refused."""
    try:
        with Path(path).open("rb") as file:
            summary = rerun(file, out)
    except (OSError, CaptureError) as error:
        reason = error.strerror if isinstance(error, OSError) else error
        print(f"brambleusher: {path} is refused: {reason}", file=errors)
        return REFUSED
    print(f"{summary.records} records, {summary.differing} differ", file=out)
    return DIFFERENT if summary.differing else SAME

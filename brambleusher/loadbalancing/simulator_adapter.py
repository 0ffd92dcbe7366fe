"""Simulator adapter: translates between the simulator's lines and the balancer's events and actions.

It makes no decisions. Run it with ``python -m brambleusher.loadbalancing.simulator_adapter``: it reads
batches from standard input, writes replies to standard output and exits at the end of the input.
"""

from __future__ import annotations

import gc
import math
import sys
from collections.abc import Callable, Iterator
from typing import TextIO

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.balancer import Balancer
from brambleusher.loadbalancing.settings import parse_settings

MAX_QUOTED_CHARS = 200  # maximum length of a quoted line in an error message
GC_THRESHOLDS = (100_000, 50, 50)  # records are acyclic and short-lived, so infrequent collections suffice

Fields = dict[str, str]

_HOST_STATES = {
    "Running": api.HostState.READY,
    "Stopping": api.HostState.DRAINING,
    "Deleted": api.HostState.REMOVED,
}
_LIST_KINDS = {
    "SAVED": api.ListKind.SAVED,
    "FULL": api.ListKind.FULL,
    "INCREMENTAL": api.ListKind.DELTA,
    "FAILED": api.ListKind.FAILED,
}
_ATTEMPT_STATUSES = {status.value: status for status in api.AttemptStatus}
_IGNORED_EVENTS = frozenset({"peer_data"})  # events without data that the balancer uses
_NO_TENANT = (None, "0")


class SimulatorLineError(ValueError):
    """An invalid line; the message quotes it."""


# --- lines ----------------------------------------------------------------------------------


def _finite(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0 else None


def parse_report(text: str | None, fields: tuple[str, ...]) -> api.LoadReport | None:
    """Return a load report; invalid values become None."""
    if not text:
        return None
    values = dict(zip(fields, text.split(","), strict=False))
    utilisation, throughput = values.get("utilization"), values.get("throughput")
    return api.LoadReport(
        None if utilisation is None else _finite(utilisation),
        None if throughput is None else _finite(throughput),
    )


def _fields(line: str) -> Fields:
    return dict([field.split("=", 1) for field in line.split("\t")[1:]])


def _entry(line: str) -> api.HostEntry:
    fields = _fields(line)
    return api.HostEntry(
        host=fields["host"],
        zone=fields.get("site", ""),
        kind=fields.get("sku", ""),
        cell=int(fields.get("block", 0)),
        state=_HOST_STATES[fields["state"]],
        weight=float(fields.get("nominal", 1)),
        started_ns=int(fields.get("last_start_ns", 0)),
    )


def format_action(instance_id: str, action: api.Action) -> str:
    """Return the output line of an action for one instance."""
    match action:
        case api.StartAttempt(request, host, timeout_ns):
            line = f"relay\twho={instance_id}\top_id={request}\thost={host}"
            return f"{line}\tgive_up_after_ns={timeout_ns}" if timeout_ns else line
        case api.SetTimer(at_ns, token):
            return f"wake_me\twho={instance_id}\ttime_ns={at_ns}\tkey_back={token}"
        case api.RejectRequest(request, retry_after_ns):
            return f"not_now\twho={instance_id}\top_id={request}\tstay_away_ns={retry_after_ns}"
        case api.FailRequest(request):
            return f"give_up\twho={instance_id}\top_id={request}"
        case api.CancelAttempt(request, attempt):
            return f"abort_attempt\twho={instance_id}\top_id={request}\tcopy={attempt}"
        case api.CloseIdleConnections(host):
            return f"let_go\twho={instance_id}\thost={host}"
        case api.CheckHealth(host):
            return f"health_check\twho={instance_id}\thost={host}"
        case api.SubscribeToEndpoints():
            return f"observe\twho={instance_id}\ton=1"
        case api.WriteLog(text):
            return f"debug\twho={instance_id}\twords={text}"


# --- the adapter ----------------------------------------------------------------------------


class Adapter:
    """Runs one independent `Balancer` per instance named by the simulator."""

    def __init__(self, write_warning: Callable[[str], None]) -> None:
        """Initialize without instances; `write_warning` gets one message per unknown event name."""
        self._write_warning = write_warning
        self._instances: dict[str, Balancer] = {}
        self._report_fields: dict[str, tuple[str, ...]] = {}  # names of report fields by instance
        self._lists: dict[int, list[api.HostEntry]] = {}
        self._warned_events: set[str] = set()
        self._readers: dict[str, Callable[[str, Fields], api.Event]] = {
            "outcome": self._attempt_ended,
            "demand": self._request_arrived,
            "bell": lambda _, fields: api.TimerFired(int(fields["key_back"])),
            "lapsed": lambda _, fields: api.ClientDisconnected(fields["op_id"]),
            "backends_changed": self._list_updated,
            "checked": self._health_check_ended,
            "opened": self._stream_started,
        }

    # --- events ---------------------------------------------------------------------------------

    def _attempt_ended(self, instance_id: str, fields: Fields) -> api.Event:
        return api.AttemptEnded(
            fields["op_id"],
            int(fields["copy"]),
            fields["host"],
            _ATTEMPT_STATUSES[fields["status"]],
            int(fields.get("duration_ns", 0)),
            fields.get("last") == "1",
            parse_report(fields.get("telemetry"), self._report_fields[instance_id]),
        )

    def _request_arrived(self, _instance_id: str, fields: Fields) -> api.Event:
        hint, tenant = fields.get("expected_ns"), fields.get("party")
        return api.RequestArrived(
            fields["op_id"],
            fields["service"],
            None if tenant in _NO_TENANT else tenant,
            int(fields["remaining_ns"]),
            None if hint is None else int(hint),
            fields.get("is_retry") == "1",
        )

    def _list_updated(self, _instance_id: str, fields: Fields) -> api.Event:
        kind = _LIST_KINDS[fields["scope"]]
        has_failed = kind is api.ListKind.FAILED
        return api.HostListUpdated(kind, [] if has_failed else self._lists[int(fields["list"])])

    def _health_check_ended(self, instance_id: str, fields: Fields) -> api.Event:
        return api.HealthCheckEnded(
            fields["host"],
            fields.get("status") == "ok",
            int(fields.get("duration_ns", 0)),
            parse_report(fields.get("telemetry"), self._report_fields[instance_id]),
        )

    def _stream_started(self, _instance_id: str, fields: Fields) -> api.Event:
        return api.StreamStarted(
            fields["op_id"], int(fields.get("copy", 0)), fields["host"], int(fields.get("duration_ns", 0))
        )

    def _event(self, name: str, instance_id: str, fields: Fields) -> api.Event | None:
        reader = self._readers.get(name)
        if reader is not None:
            return reader(instance_id, fields)
        if name not in _IGNORED_EVENTS and name not in self._warned_events:
            self._warned_events.add(name)
            self._write_warning(f"unknown event {name!r} is skipped")
        return None

    # --- lines ----------------------------------------------------------------------------------

    def _handle_line(self, line: str, lines: Iterator[str], now: int) -> list[str]:
        """Return the replies to one line; an endpoint list consumes further lines from `lines`."""
        name = line.split("\t", 1)[0]
        if name == "register":
            self._register_list(_fields(line), lines)
            return []
        if name == "init":
            return self._start_instance(line, now)
        fields = _fields(line)
        instance_id = fields["who"]
        if name == "halt":
            self._instances.pop(instance_id, None)
            return []
        if instance_id not in self._instances:
            raise SimulatorLineError(f"instance {instance_id} is unknown")
        event = self._event(name, instance_id, fields)
        if event is None:
            return []
        return [
            format_action(instance_id, action) for action in self._instances[instance_id].handle(event, now)
        ]

    def _register_list(self, fields: Fields, lines: Iterator[str]) -> None:
        count = int(fields["elements"])
        self._lists[int(fields["list"])] = [_entry(next(lines).rstrip("\r\n")) for _ in range(count)]

    def _start_instance(self, line: str, now: int) -> list[str]:
        header, found, setup = line.partition("\tsetup=")
        if not found:
            raise SimulatorLineError("init without setup")
        fields = _fields(header)
        instance_id = fields["who"]
        settings = parse_settings(setup)
        self._report_fields[instance_id] = settings.report_fields
        balancer = self._instances[instance_id] = Balancer(settings, int(fields.get("salt", 0)))
        return [format_action(instance_id, action) for action in balancer.start(now)]

    def run(self, source: TextIO, sink: TextIO) -> None:
        """Process batches until the input ends.

        Raises:
            SimulatorLineError: A line, or the settings in it, are invalid.
        """
        lines = iter(source)
        for raw in lines:
            line = raw.rstrip("\r\n")
            if line:
                replies = self._handle_batch(line, lines)
                sink.write("\n".join([*replies, "ready\n"]))
                sink.flush()

    def _handle_batch(self, first: str, lines: Iterator[str]) -> list[str]:
        line = first
        replies: list[str] = []
        try:
            if line.split("\t", 1)[0] != "batch":
                raise SimulatorLineError("a batch was expected")
            now = int(_fields(line)["clock_ns"])
            for raw in lines:
                line = raw.rstrip("\r\n")
                if line == "end":
                    return replies
                if line:
                    replies += self._handle_line(line, lines, now)
            raise SimulatorLineError("the input ended inside a batch")
        except (KeyError, ValueError, StopIteration) as error:
            reason = f"missing or unknown {error}" if isinstance(error, KeyError) else str(error)
            raise SimulatorLineError(f"line {line[:MAX_QUOTED_CHARS]!r}: {reason}") from error


def main() -> int:
    """Process standard input; return a non-zero exit status if a line is invalid."""
    gc.set_threshold(*GC_THRESHOLDS)
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    adapter = Adapter(lambda text: print(f"wirehost: {text}", file=sys.stderr))
    try:
        adapter.run(sys.stdin, sys.stdout)
    except SimulatorLineError as error:
        print(f"wirehost: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

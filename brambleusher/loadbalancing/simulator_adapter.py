"""Adapter between the simulator's wire and the decision module.

Turns wire lines into events and actions into lines; it decides nothing.  Run it with
``python -m brambleusher.loadbalancing.simulator_adapter``: it reads batches on standard input,
writes replies on standard output and exits when the input ends.
"""

from __future__ import annotations

import gc
import math
import sys
from collections.abc import Callable, Iterator
from typing import TextIO

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.balancer import Balancer
from brambleusher.loadbalancing.settings import WireError, parse_settings

__all__ = ["Adapter", "WireError", "format_action", "main", "parse_report", "parse_settings"]

_STATES = {
    "Running": api.HostState.READY,
    "Stopping": api.HostState.DRAINING,
    "Deleted": api.HostState.REMOVED,
}
_KINDS = {
    "SAVED": api.ListKind.SAVED,
    "FULL": api.ListKind.FULL,
    "INCREMENTAL": api.ListKind.DELTA,
    "FAILED": api.ListKind.FAILED,
}
_STATUSES = {status.value: status for status in api.AttemptStatus}
# Events that carry nothing the module uses.
_IGNORED = frozenset({"peer_data"})


# --- lines ----------------------------------------------------------------------------------


def _finite(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0 else None


def parse_report(text: str | None, fields: tuple[str, ...]) -> api.LoadReport | None:
    """A load report; values that make no sense are left out, never guessed."""
    if not text:
        return None
    values = dict(zip(fields, text.split(","), strict=False))
    utilisation, throughput = values.get("utilization"), values.get("throughput")
    return api.LoadReport(
        None if utilisation is None else _finite(utilisation),
        None if throughput is None else _finite(throughput),
    )


def _parts(line: str) -> dict[str, str]:
    return dict([part.split("=", 1) for part in line.split("\t")[1:]])


def _entry(line: str) -> api.HostEntry:
    parts = _parts(line)
    return api.HostEntry(
        host=parts["host"],
        zone=parts.get("site", ""),
        kind=parts.get("sku", ""),
        cell=int(parts.get("block", 0)),
        state=_STATES[parts["state"]],
        weight=float(parts.get("nominal", 1)),
        started_ns=int(parts.get("last_start_ns", 0)),
    )


def format_action(who: str, action: api.Action) -> str:
    """One action as its wire line."""
    kind = type(action)
    if kind is api.StartAttempt:
        line = f"relay\twho={who}\top_id={action.request}\thost={action.host}"  # type: ignore[union-attr]
        timeout = action.timeout_ns  # type: ignore[union-attr]
        return f"{line}\tgive_up_after_ns={timeout}" if timeout else line
    if isinstance(action, api.SetTimer):
        return f"wake_me\twho={who}\ttime_ns={action.at_ns}\tkey_back={action.token}"
    if isinstance(action, api.RejectRequest):
        return f"not_now\twho={who}\top_id={action.request}\tstay_away_ns={action.retry_after_ns}"
    if isinstance(action, api.FailRequest):
        return f"give_up\twho={who}\top_id={action.request}"
    if isinstance(action, api.CancelAttempt):
        return f"abort_attempt\twho={who}\top_id={action.request}\tcopy={action.attempt}"
    if isinstance(action, api.CloseIdleConnections):
        return f"let_go\twho={who}\thost={action.host}"
    if isinstance(action, api.CheckHealth):
        return f"health_check\twho={who}\thost={action.host}"
    if isinstance(action, api.SubscribeToEndpoints):
        return f"observe\twho={who}\ton=1"
    assert isinstance(action, api.WriteLog)
    return f"debug\twho={who}\twords={action.text}"


# --- the adapter ----------------------------------------------------------------------------


class Adapter:
    """Hosts one `Balancer` per instance named on the wire; the instances share nothing."""

    def __init__(self, note: Callable[[str], None]) -> None:
        self._note = note
        self._instances: dict[str, Balancer] = {}
        self._fields: dict[str, tuple[str, ...]] = {}
        self._lists: dict[int, list[api.HostEntry]] = {}
        self._noted: set[str] = set()

    def _event(self, name: str, who: str, parts: dict[str, str]) -> api.Event | None:
        if name == "outcome":
            return api.AttemptEnded(
                parts["op_id"],
                int(parts["copy"]),
                parts["host"],
                _STATUSES[parts["status"]],
                int(parts.get("duration_ns", 0)),
                parts.get("last") == "1",
                parse_report(parts.get("telemetry"), self._fields[who]),
            )
        if name == "demand":
            hint, tenant = parts.get("expected_ns"), parts.get("party")
            return api.RequestArrived(
                parts["op_id"],
                parts["service"],
                None if tenant in (None, "0") else tenant,
                int(parts["remaining_ns"]),
                None if hint is None else int(hint),
                parts.get("is_retry") == "1",
            )
        if name == "bell":
            return api.TimerFired(int(parts["key_back"]))
        if name == "lapsed":
            return api.ClientDisconnected(parts["op_id"])
        if name == "backends_changed":
            kind = _KINDS[parts["scope"]]
            failed = kind is api.ListKind.FAILED
            return api.HostListUpdated(kind, [] if failed else self._lists[int(parts["list"])])
        if name == "checked":
            return api.HealthCheckEnded(
                parts["host"],
                parts.get("status") == "ok",
                int(parts.get("duration_ns", 0)),
                parse_report(parts.get("telemetry"), self._fields[who]),
            )
        if name == "opened":
            return api.StreamStarted(
                parts["op_id"], int(parts.get("copy", 0)), parts["host"], int(parts.get("duration_ns", 0))
            )
        if name not in _IGNORED and name not in self._noted:
            self._noted.add(name)
            self._note(f"unknown event {name!r} is skipped")
        return None

    def _line(self, line: str, lines: Iterator[str], now: int, out: list[str]) -> None:
        name = line.split("\t", 1)[0]
        if name == "register":
            parts = _parts(line)
            count = int(parts["elements"])
            self._lists[int(parts["list"])] = [_entry(next(lines).rstrip("\r\n")) for _ in range(count)]
            return
        if name == "init":
            head, found, setup = line.partition("\tsetup=")
            if not found:
                raise WireError("init without setup")
            parts = _parts(head)
            who = parts["who"]
            settings = parse_settings(setup)
            self._fields[who] = settings.report_fields
            balancer = self._instances[who] = Balancer(settings, int(parts.get("salt", 0)))
            actions = balancer.start(now)
        else:
            parts = _parts(line)
            who = parts["who"]
            if name == "halt":
                self._instances.pop(who, None)
                return
            if who not in self._instances:
                raise WireError(f"instance {who} is unknown")
            event = self._event(name, who, parts)
            if event is None:
                return
            actions = self._instances[who].handle(event, now)
        for action in actions:
            out.append(format_action(who, action))

    def run(self, source: TextIO, sink: TextIO) -> None:
        """Answer batch after batch until the input ends."""
        lines = iter(source)
        for line in lines:
            line = line.rstrip("\r\n")
            if not line:
                continue
            out: list[str] = []
            try:
                if line.split("\t", 1)[0] != "batch":
                    raise WireError("a batch was expected")
                now = int(_parts(line)["clock_ns"])
                for raw in lines:
                    line = raw.rstrip("\r\n")
                    if line == "end":
                        break
                    if line:
                        self._line(line, lines, now, out)
                else:
                    raise WireError("the input ended inside a batch")
            except (KeyError, ValueError, StopIteration) as error:
                what = f"missing or unknown {error}" if isinstance(error, KeyError) else str(error)
                raise WireError(f"line {line[:200]!r}: {what}") from error
            out.append("ready\n")
            sink.write("\n".join(out))
            sink.flush()


def main() -> int:
    """Serve standard input; non-zero if a line could not be used."""
    # Records are acyclic and short-lived: reference counts free them, rare collections suffice.
    gc.set_threshold(100_000, 50, 50)
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    adapter = Adapter(lambda text: print(f"wirehost: {text}", file=sys.stderr))
    try:
        adapter.run(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"wirehost: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

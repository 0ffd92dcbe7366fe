"""What a capture is made of: events and actions of the decisions as JSON values, and back."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Sequence
from typing import Any, cast

import orjson

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.json_values import plain, unplain
from brambleusher.loadbalancing.settings_codec import restore_rules, save_rules
from brambleusher.net.endpoint_list import state_of, state_word

VERSION = 1
# An action's name and its fields in order; they are texts and whole numbers.
_ACTIONS: dict[type, Callable[[Any], list[Any]]] = {
    api.StartAttempt: lambda act: ["send", act.request, act.host, act.timeout_ns],
    api.RejectRequest: lambda act: ["refuse", act.request, act.retry_after_ns],
    api.FailRequest: lambda act: ["fail", act.request],
    api.CancelAttempt: lambda act: ["cancel", act.request, act.attempt],
    api.CloseIdleConnections: lambda act: ["let_go", act.host],
    api.CheckHealth: lambda act: ["probe", act.host],
    api.SetTimer: lambda act: ["timer", act.at_ns, act.token],
    api.SubscribeToEndpoints: lambda act: ["subscribe"],
    api.WriteLog: lambda act: ["log", act.text],
}
BEGIN = "begin"  # the balancer's start, which is no event


class RecordError(ValueError):
    """A record that can't be read."""


def server_entry(entry: api.HostEntry, address: str) -> dict[str, Any]:
    """An entry of the endpoint list in discovery's form."""
    return {
        "id": entry.host, "addr": address, "zone": entry.zone, "kind": entry.kind, "cell": entry.cell,
        "state": state_word(entry.state), "weight": plain(entry.weight),
        "started_ms": entry.started_ns // 1_000_000,
    }  # fmt: skip


def _attempt(event: api.AttemptEnded) -> dict[str, Any]:
    report = event.report
    return {
        "attempt": event.attempt, "server": event.host, "status": event.status.value,
        "latency_ns": event.latency_ns, "closed": event.request_ended,
        "report": report and [plain(report.utilisation), plain(report.throughput)],
    }  # fmt: skip


# An event's name, and what the module was told with it beside the request's id, class and tenant.
_EVENTS: dict[type, tuple[str, Callable[[Any], dict[str, Any]]]] = {
    api.RequestArrived: (
        "request",
        lambda event: {
            "left_ns": event.left_ns, "work_hint_ns": event.work_hint_ns, "is_retry": event.is_retry,
        },
    ),
    api.AttemptEnded: ("attempt", _attempt),
    api.StreamStarted: (
        "stream",
        lambda event: {"attempt": event.attempt, "server": event.host, "latency_ns": event.latency_ns},
    ),
    api.ClientDisconnected: ("gone", lambda event: {}),
    api.TimerFired: ("timer", lambda event: {"token": event.token}),
    api.HostListUpdated: ("list", lambda event: {"kind": event.kind.value}),
    api.ZoneRulesChanged: ("rules", lambda event: {"zones": save_rules(event.rules)}),
    api.RequestBodyProgressed: (
        "body",
        lambda event: {"attempt": event.attempt, "whole": event.is_complete, "left_ns": event.left_ns},
    ),
    api.ProcessShareChanged: ("part", lambda event: {"part": event.share}),
    type(None): (BEGIN, lambda event: {}),
}  # fmt: skip


def event_of(event: api.Event | None) -> tuple[str, dict[str, Any]]:
    """An event's name and what came with it."""
    name, told = _EVENTS[type(event)]
    return name, told(event)


def _load_report(values: Sequence[object] | None) -> api.LoadReport | None:
    return api.LoadReport(*(cast(float | None, unplain(value)) for value in values)) if values else None


def event_from(record: dict[str, Any]) -> api.Event | None:
    """The event of a record, as the module was told it."""
    name, told = record["ev"], record["in"]
    if name == BEGIN:
        return None
    if name == "request":
        return api.RequestArrived(
            record["id"], record["class"], record["tenant"],
            told["left_ns"], told["work_hint_ns"], told["is_retry"],
        )  # fmt: skip
    if name == "attempt":
        return api.AttemptEnded(
            record["id"], told["attempt"], told["server"], api.AttemptStatus(told["status"]),
            told["latency_ns"], told["closed"], _load_report(told["report"]),
        )  # fmt: skip
    if name == "stream":
        return api.StreamStarted(record["id"], told["attempt"], told["server"], told["latency_ns"])
    if name == "gone":
        return api.ClientDisconnected(record["id"])
    if name == "timer":
        return api.TimerFired(told["token"])
    if name == "list":
        return api.HostListUpdated(api.ListKind(told["kind"]), [entry_from(raw) for raw in told["servers"]])
    if name == "rules":
        return api.ZoneRulesChanged(restore_rules(told["zones"]))
    if name == "body":
        return api.RequestBodyProgressed(record["id"], told["attempt"], told["whole"], told["left_ns"])
    if name == "part":
        return api.ProcessShareChanged(told["part"])
    raise RecordError(f"the event {name} is unknown")


def entry_from(raw: dict[str, Any]) -> api.HostEntry:
    """The entry of the endpoint list that the module was told."""
    return api.HostEntry(
        raw["id"], raw["zone"], raw["kind"], raw["cell"], state_of(raw["state"]),
        cast(float, unplain(raw["weight"])), raw["started_ns"],
    )  # fmt: skip


def action_of(action: api.Action) -> list[Any]:
    """An action as a list."""
    return _ACTIONS[type(action)](action)


def chosen(event: api.Event | None, actions: Sequence[api.Action]) -> str | None:
    """The server a record is about: the one sent to, else the one whose attempt has ended."""
    for action in actions:
        if isinstance(action, api.StartAttempt):
            return action.host
    return event.host if isinstance(event, api.AttemptEnded) else None


def seal(record: dict[str, Any]) -> bytes:
    """A record as a line, with a checksum that shows a change which leads to no other decision."""
    text = orjson.dumps(record)
    return b'%s,"crc":%d}\n' % (text[:-1], zlib.crc32(text))


def sound(record: dict[str, Any]) -> bool:
    """Whether a record's checksum, which is taken out of it, fits."""
    told = record.pop("crc", None)
    return type(told) is int and told == zlib.crc32(orjson.dumps(record))

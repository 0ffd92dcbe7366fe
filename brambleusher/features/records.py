"""Encode the balancer's events and actions as the JSON records of a capture, and decode them.

The names and keys are a stored format that existing captures use, so they must not change.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Mapping, Sequence
from typing import Any, cast

import orjson

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.json_values import decode_plain, encode_plain
from brambleusher.loadbalancing.settings_codec import restore_rules, save_rules
from brambleusher.net.endpoint_list import state_name, state_of

VERSION = 1
BEGIN = "begin"  # event name in the record of the balancer's start, which has no event
NS_PER_MS = 1_000_000

JsonObject = dict[str, Any]


class RecordError(ValueError):
    """A record that can't be decoded."""


# --- entries --------------------------------------------------------------------------------


def encode_entry(entry: api.HostEntry, address: str) -> JsonObject:
    """Return an endpoint list entry as a JSON object in the format of the discovery service."""
    return {
        "id": entry.host,
        "addr": address,
        "zone": entry.zone,
        "kind": entry.kind,
        "cell": entry.cell,
        "state": state_name(entry.state),
        "weight": encode_plain(entry.weight),
        "started_ms": entry.started_ns // NS_PER_MS,
    }


def decode_entry(raw: Mapping[str, Any]) -> api.HostEntry:
    """Return the endpoint list entry that the balancer received, from its JSON object."""
    return api.HostEntry(
        raw["id"],
        raw["zone"],
        raw["kind"],
        raw["cell"],
        state_of(raw["state"]),
        cast(float, decode_plain(raw["weight"])),
        raw["started_ns"],
    )


# --- events ---------------------------------------------------------------------------------


def _encode_request(event: api.RequestArrived) -> JsonObject:
    return {"left_ns": event.left_ns, "work_hint_ns": event.work_hint_ns, "is_retry": event.is_retry}


def _decode_request(record: JsonObject, fields: JsonObject) -> api.Event:
    return api.RequestArrived(
        record["id"],
        record["class"],
        record["tenant"],
        fields["left_ns"],
        fields["work_hint_ns"],
        fields["is_retry"],
    )


def _encode_attempt(event: api.AttemptEnded) -> JsonObject:
    report = event.report
    return {
        "attempt": event.attempt,
        "server": event.host,
        "status": event.status.value,
        "latency_ns": event.latency_ns,
        "closed": event.request_ended,
        "report": report and [encode_plain(report.utilisation), encode_plain(report.throughput)],
    }


def _decode_attempt(record: JsonObject, fields: JsonObject) -> api.Event:
    return api.AttemptEnded(
        record["id"],
        fields["attempt"],
        fields["server"],
        api.AttemptStatus(fields["status"]),
        fields["latency_ns"],
        fields["closed"],
        _decode_report(fields["report"]),
    )


def _decode_report(values: Sequence[object] | None) -> api.LoadReport | None:
    return api.LoadReport(*(cast(float | None, decode_plain(value)) for value in values)) if values else None


def _encode_stream(event: api.StreamStarted) -> JsonObject:
    return {"attempt": event.attempt, "server": event.host, "latency_ns": event.latency_ns}


def _decode_stream(record: JsonObject, fields: JsonObject) -> api.Event:
    return api.StreamStarted(record["id"], fields["attempt"], fields["server"], fields["latency_ns"])


def _encode_body(event: api.RequestBodyProgressed) -> JsonObject:
    return {"attempt": event.attempt, "whole": event.is_complete, "left_ns": event.left_ns}


def _decode_body(record: JsonObject, fields: JsonObject) -> api.Event:
    return api.RequestBodyProgressed(record["id"], fields["attempt"], fields["whole"], fields["left_ns"])


def _decode_list(_record: JsonObject, fields: JsonObject) -> api.Event:
    return api.HostListUpdated(api.ListKind(fields["kind"]), [decode_entry(raw) for raw in fields["servers"]])


def _no_fields(_event: object) -> JsonObject:
    return {}


# By event type: the recorded name, and the encoder for the fields other than request id, class and tenant.
_ENCODERS: dict[type, tuple[str, Callable[[Any], JsonObject]]] = {
    api.RequestArrived: ("request", _encode_request),
    api.AttemptEnded: ("attempt", _encode_attempt),
    api.StreamStarted: ("stream", _encode_stream),
    api.ClientDisconnected: ("gone", _no_fields),
    api.TimerFired: ("timer", lambda event: {"token": event.token}),
    api.HostListUpdated: ("list", lambda event: {"kind": event.kind.value}),
    api.ZoneRulesChanged: ("rules", lambda event: {"zones": save_rules(event.rules)}),
    api.RequestBodyProgressed: ("body", _encode_body),
    api.ProcessShareChanged: ("part", lambda event: {"part": event.share}),
    type(None): (BEGIN, _no_fields),
}
_DECODERS: dict[str, Callable[[JsonObject, JsonObject], api.Event | None]] = {
    BEGIN: lambda _record, _fields: None,
    "request": _decode_request,
    "attempt": _decode_attempt,
    "stream": _decode_stream,
    "gone": lambda record, _: api.ClientDisconnected(record["id"]),
    "timer": lambda _, fields: api.TimerFired(fields["token"]),
    "list": _decode_list,
    "rules": lambda _, fields: api.ZoneRulesChanged(restore_rules(fields["zones"])),
    "body": _decode_body,
    "part": lambda _, fields: api.ProcessShareChanged(fields["part"]),
}


def encode_event(event: api.Event | None) -> tuple[str, JsonObject]:
    """Return the recorded name of an event, and its fields."""
    name, encode = _ENCODERS[type(event)]
    return name, encode(event)


def decode_event(record: JsonObject) -> api.Event | None:
    """Return the event that the balancer received, from its record; None for the balancer's start.

    Raises:
        RecordError: The event's name is unknown.
    """
    name, fields = record["ev"], record["in"]
    decode = _DECODERS.get(name)
    if decode is None:
        raise RecordError(f"the event {name} is unknown")
    return decode(record, fields)


# --- actions --------------------------------------------------------------------------------

# By action type: the encoder to a list of the action's name and its fields, which are strings and integers.
_ACTIONS: dict[type, Callable[[Any], list[Any]]] = {
    api.StartAttempt: lambda action: ["send", action.request, action.host, action.timeout_ns],
    api.RejectRequest: lambda action: ["refuse", action.request, action.retry_after_ns],
    api.FailRequest: lambda action: ["fail", action.request],
    api.CancelAttempt: lambda action: ["cancel", action.request, action.attempt],
    api.CloseIdleConnections: lambda action: ["let_go", action.host],
    api.CheckHealth: lambda action: ["probe", action.host],
    api.SetTimer: lambda action: ["timer", action.at_ns, action.token],
    api.SubscribeToEndpoints: lambda _: ["subscribe"],
    api.WriteLog: lambda action: ["log", action.text],
}


def encode_action(action: api.Action) -> list[Any]:
    """Return an action as a list of its name and its fields."""
    return _ACTIONS[type(action)](action)


# --- records --------------------------------------------------------------------------------


def recorded_server(event: api.Event | None, actions: Sequence[api.Action]) -> str | None:
    """Return the server of the attempt that a record starts, or else of the attempt that it ends."""
    for action in actions:
        if isinstance(action, api.StartAttempt):
            return action.host
    return event.host if isinstance(event, api.AttemptEnded) else None


def encode_record(record: JsonObject) -> bytes:
    """Return a record as a line of JSON with a checksum.

    The checksum reveals changes to the record that do not change the rerun decisions.
    """
    text = orjson.dumps(record)
    return b'%s,"crc":%d}\n' % (text[:-1], zlib.crc32(text))


def has_valid_checksum(record: JsonObject) -> bool:
    """Remove the checksum from a record, and return whether the checksum is valid."""
    checksum = record.pop("crc", None)
    return type(checksum) is int and checksum == zlib.crc32(orjson.dumps(record))

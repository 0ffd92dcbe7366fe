"""Parses and validates the settings object for the simulator adapter and the sidecar.

The keys are documented for operators; they stay unchanged even if the attributes are renamed.
"""

from __future__ import annotations

import json
import math
from collections.abc import Mapping, Sequence

from brambleusher.loadbalancing import api

JsonObject = Mapping[str, object]

DEFAULT_POLL_DEADLINE_NS = 10e9
DEFAULT_TICK_NS = 1e6
DEFAULT_CONNECT_TIMEOUT_NS = 250e6

_IDEMPOTENCY = {
    "read_like": api.Idempotency.SAFE,
    "idempotency_key": api.Idempotency.KEYED,
    "non_idempotent": api.Idempotency.UNSAFE,
}


class SettingsError(ValueError):
    """A setting is missing or invalid; the message names its key."""


def parse_settings(raw: object) -> api.Settings:
    """Return the settings from a decoded object or from JSON text; unknown keys are ignored.

    Raises:
        SettingsError: A setting is missing or invalid.
    """
    if isinstance(raw, str):
        try:
            raw = json.loads(raw)
        except ValueError as error:
            raise SettingsError(f"setup is not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise SettingsError("setup is not an object")
    classes = raw.get("classes")
    if not isinstance(classes, list) or not classes:
        raise SettingsError("setting classes is missing or empty")
    zone = raw.get("zone")
    if not isinstance(zone, str):
        raise SettingsError("setting zone is missing")
    return _settings_of(raw, zone, classes)


def _settings_of(raw: JsonObject, zone: str, classes: list[object]) -> api.Settings:
    limits, fees = _section(raw, "limits"), _section(raw, "fees")
    safety, telemetry = _section(raw, "safety"), _section(raw, "telemetry")
    projects, report_fields = _projects(raw), _report_fields(telemetry)
    return api.Settings(
        zone=zone,
        classes=tuple(_request_class(item) for item in classes),
        fleet_size=int(_number(raw, "fleet_size", "", 1)),
        tenants=tuple(_tenant(item) for item in projects),
        subscribes_to_endpoints=raw.get("membership_mode") == "subscribe",
        endpoint_poll_deadline_ns=_integer(safety, "must_ask_in_ns", "safety.", DEFAULT_POLL_DEADLINE_NS),
        tick_ns=_integer(raw, "tick_ns", "", DEFAULT_TICK_NS),
        max_attempts=_integer(limits, "max_attempts", "limits.", 1),
        hedging_enabled=bool(limits.get("second_copies", False)),
        can_cancel_attempts=bool(limits.get("cancel", False)),
        can_check_health=bool(limits.get("probing", False)),
        max_retry_after_ns=_max_retry_after_ns(limits),
        connect_timeout_ns=_integer(limits, "connect_timeout_ns", "limits.", DEFAULT_CONNECT_TIMEOUT_NS),
        cross_zone_price=_default(fees, "cross_zone", "fees.", 0.0),
        connection_price=_connection_price(fees),
        late_price=_default(fees, "late_fail", "fees.", 0.0),
        waste_price=_default(fees, "waste", "fees.", 0.0),
        over_quota_value=_default(raw, "over_share_worth", "", 1.0),
        is_value_by_work=raw.get("worth_by") == "work",
        worst_class_weight=_default(_section(raw, "score_parts"), "worst_class", "score_parts.", 0.0),
        drain_grace_ns=int(_number(safety, "drain_grace_ns", "safety.")),
        drain_release_ns=_integer(safety, "drain_release_ns", "safety.", 0),
        connection_idle_timeout_ns=_integer(limits, "conn_idle_ns", "limits.", 0),
        warm_up_ns=int(_number(safety, "cold_ns", "safety.")),
        initial_capacity=_number(safety, "start_capacity", "safety."),
        overload_multiple=_number(safety, "fall_multiple", "safety."),
        overload_window_ns=int(_number(safety, "fall_ns", "safety.", 1)),
        report_fields=report_fields,
        weight_source=str(raw.get("weights") or "silent"),
    )


def _number(section: JsonObject, key: str, path: str, minimum: float = 0.0) -> float:
    """Return a required number of at least `minimum`."""
    value = section.get(key)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise SettingsError(f"setting {path}{key} is missing or not a number")
    if value < minimum:
        raise SettingsError(f"setting {path}{key} is {value}, which is below {minimum:g}")
    return value


def _default(section: JsonObject, key: str, path: str, default: float) -> float:
    return default if section.get(key) is None else _number(section, key, path)


def _integer(section: JsonObject, key: str, path: str, default: float) -> int:
    return int(_default(section, key, path, default))


def _section(raw: JsonObject, key: str) -> JsonObject:
    """Return a nested object of the settings; an absent one counts as empty."""
    value = raw.get(key)
    if value is not None and not isinstance(value, dict):
        raise SettingsError(f"setting {key} is not an object")
    return value or {}


def _projects(raw: JsonObject) -> Sequence[JsonObject]:
    projects = raw.get("projects") or ()
    if not isinstance(projects, Sequence) or not all(isinstance(item, dict) for item in projects):
        raise SettingsError("setting projects[] is not an object")
    return projects


def _report_fields(telemetry: JsonObject) -> tuple[str, ...]:
    names = telemetry.get("names") or ()
    if not isinstance(names, (list, tuple)):
        raise SettingsError("setting telemetry.names is not a list")
    return tuple(str(name) for name in names)


def _max_retry_after_ns(limits: JsonObject) -> int:
    return _integer(limits, "max_retry_after_ns", "limits.", 0) if limits.get("retry_after") else 0


def _connection_price(fees: JsonObject) -> float:
    """Return the price of a new connection including its handshake."""
    return _default(fees, "connection", "fees.", 0.0) + _default(fees, "handshake", "fees.", 0.0)


def _tenant(raw: JsonObject) -> api.Tenant:
    return api.Tenant(
        name=str(raw.get("name")),
        quota_share=_default(raw, "portion", "projects[].", 0.0),
        quota_per_s=_default(raw, "quota_rps", "projects[].", 0.0),
    )


def _request_class(raw: object) -> api.RequestClass:
    if not isinstance(raw, dict):
        raise SettingsError("setting classes[] is not an object")
    name = raw.get("name")
    if not isinstance(name, str):
        raise SettingsError("setting classes[].name is missing")
    path = f"classes[{name}]."
    idempotency = _IDEMPOTENCY.get(str(raw.get("effect", "")))
    if idempotency is None:
        raise SettingsError(f"setting {path}effect is missing or unknown")
    try:
        scope = api.DeduplicationScope(raw.get("group") or "all")
    except ValueError:
        raise SettingsError(f"setting {path}group is unknown") from None
    return api.RequestClass(
        name=name,
        latency_target_ns=int(_number(raw, "promise_ns", path, 1)),
        deadline_ns=int(_number(raw, "give_up_ns", path, 1)),
        value=_number(raw, "worth", path),
        late_value=_default(raw, "late_worth", path, 0.0),
        idempotency=idempotency,
        deduplication_scope=scope,
        deduplication_window_ns=int(_default(raw, "window_ns", path, 0)),
        is_streaming=bool(raw.get("stream", False)),
    )

"""The start-up object, checked and turned into `Settings`: one reader for the adapter and the sidecar."""

from __future__ import annotations

import json
import math
from typing import Any

from brambleusher.loadbalancing import api

_EFFECTS = {
    "read_like": api.Idempotency.SAFE,
    "idempotency_key": api.Idempotency.KEYED,
    "non_idempotent": api.Idempotency.UNSAFE,
}


class WireError(ValueError):
    """A line, or a setting, that cannot be used."""


def _number(where: dict[str, Any], key: str, path: str, low: float = 0.0) -> float:
    """A required number of at least `low`, or one plain message naming the key."""
    value = where.get(key)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise WireError(f"setting {path}{key} is missing or not a number")
    if value < low:
        raise WireError(f"setting {path}{key} is {value}, which is below {low:g}")
    return value


def _default(where: dict[str, Any], key: str, path: str, default: float) -> float:
    return default if where.get(key) is None else _number(where, key, path)


def _section(raw: dict[str, Any], key: str) -> dict[str, Any]:
    """An object within the settings; absent ones count as empty."""
    value = raw.get(key)
    if value is not None and not isinstance(value, dict):
        raise WireError(f"setting {key} is not an object")
    return value or {}


def _request_class(raw: Any) -> api.RequestClass:
    if not isinstance(raw, dict):
        raise WireError("setting classes[] is not an object")
    name = raw.get("name")
    if not isinstance(name, str):
        raise WireError("setting classes[].name is missing")
    path = f"classes[{name}]."
    effect = _EFFECTS.get(str(raw.get("effect", "")))
    if effect is None:
        raise WireError(f"setting {path}effect is missing or unknown")
    try:
        group = api.DeduplicationScope(raw.get("group") or "all")
    except ValueError:
        raise WireError(f"setting {path}group is unknown") from None
    return api.RequestClass(
        name=name,
        latency_target_ns=int(_number(raw, "promise_ns", path, 1)),
        deadline_ns=int(_number(raw, "give_up_ns", path, 1)),
        value=_number(raw, "worth", path),
        late_value=_default(raw, "late_worth", path, 0.0),
        idempotency=effect,
        deduplication_scope=group,
        deduplication_window_ns=int(_default(raw, "window_ns", path, 0)),
        is_streaming=bool(raw.get("stream", False)),
    )


def parse_settings(raw: object) -> api.Settings:
    """Settings from the start-up object, decoded or still JSON text; unknown keys are skipped."""
    if isinstance(raw, str):
        try:
            raw = json.loads(raw)
        except ValueError as error:
            raise WireError(f"setup is not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise WireError("setup is not an object")
    classes = raw.get("classes")
    if not isinstance(classes, list) or not classes:
        raise WireError("setting classes is missing or empty")
    zone = raw.get("zone")
    if not isinstance(zone, str):
        raise WireError("setting zone is missing")
    limits, fees = _section(raw, "limits"), _section(raw, "fees")
    safety, telemetry = _section(raw, "safety"), _section(raw, "telemetry")
    projects, names = raw.get("projects") or (), telemetry.get("names") or ()
    if not all(isinstance(item, dict) for item in projects):
        raise WireError("setting projects[] is not an object")
    if not isinstance(names, (list, tuple)):
        raise WireError("setting telemetry.names is not a list")
    return api.Settings(
        zone=zone,
        classes=tuple(_request_class(item) for item in classes),
        fleet_size=int(_number(raw, "fleet_size", "", 1)),
        tenants=tuple(
            api.Tenant(
                str(item.get("name")),
                _default(item, "portion", "projects[].", 0.0),
                _default(item, "quota_rps", "projects[].", 0.0),
            )
            for item in projects
        ),
        subscribes_to_endpoints=raw.get("membership_mode") == "subscribe",
        endpoint_poll_deadline_ns=int(_default(safety, "must_ask_in_ns", "safety.", 10e9)),
        tick_ns=int(_default(raw, "tick_ns", "", 1e6)),
        max_attempts=int(_default(limits, "max_attempts", "limits.", 1)),
        hedging_enabled=bool(limits.get("second_copies", False)),
        can_cancel_attempts=bool(limits.get("cancel", False)),
        can_check_health=bool(limits.get("probing", False)),
        max_retry_after_ns=(
            int(_default(limits, "max_retry_after_ns", "limits.", 0)) if limits.get("retry_after") else 0
        ),
        connect_timeout_ns=int(_default(limits, "connect_timeout_ns", "limits.", 250e6)),
        cross_zone_price=_default(fees, "cross_zone", "fees.", 0.0),
        connection_price=_default(fees, "connection", "fees.", 0.0)
        + _default(fees, "handshake", "fees.", 0.0),
        late_price=_default(fees, "late_fail", "fees.", 0.0),
        waste_price=_default(fees, "waste", "fees.", 0.0),
        over_quota_value=_default(raw, "over_share_worth", "", 1.0),
        is_value_by_work=raw.get("worth_by") == "work",
        worst_class_weight=_default(_section(raw, "score_parts"), "worst_class", "score_parts.", 0.0),
        drain_grace_ns=int(_number(safety, "drain_grace_ns", "safety.")),
        drain_release_ns=int(_default(safety, "drain_release_ns", "safety.", 0)),
        connection_idle_timeout_ns=int(_default(limits, "conn_idle_ns", "limits.", 0)),
        warm_up_ns=int(_number(safety, "cold_ns", "safety.")),
        initial_capacity=_number(safety, "start_capacity", "safety."),
        overload_multiple=_number(safety, "fall_multiple", "safety."),
        overload_window_ns=int(_number(safety, "fall_ns", "safety.", 1)),
        report_fields=tuple(str(name) for name in names),
        weight_source=str(raw.get("weights") or "silent"),
    )

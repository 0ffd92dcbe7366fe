"""Encodes balancer settings as JSON values and decodes them, for captures and transferred states.

The keys are a stored format that must not change; the tables below map them to attributes, which may be
renamed.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.json_values import MALFORMED, StateError, decode_plain, encode_plain

# Each table maps stored keys to attributes, in the order in which they are written.
ZONE_RULES_KEYS: Final = {
    "neighbours": "neighbours",
    "spill": "spill_rate",
    "strain": "max_utilisation",
    "panic": "panic_threshold",
    "half_life_ns": "flap_penalty_half_life_ns",
    "hold_most_ns": "max_flap_suppression_ns",
    "trust": "flap_exempt",
    "evacuate": "evacuated",
}
REQUEST_CLASS_KEYS: Final = {
    "name": "name",
    "aim_ns": "latency_target_ns",
    "deadline_ns": "deadline_ns",
    "worth": "value",
    "late_worth": "late_value",
    "effect": "idempotency",
    "group": "deduplication_scope",
    "window_ns": "deduplication_window_ns",
    "stream": "is_streaming",
}
TENANT_KEYS: Final = {
    "name": "name",
    "share": "quota_share",
    "quota_per_s": "quota_per_s",
}
SETTINGS_KEYS: Final = {
    "zone": "zone",
    "classes": "classes",
    "fleet_size": "fleet_size",
    "tenants": "tenants",
    "subscribe": "subscribes_to_endpoints",
    "ask_within_ns": "endpoint_poll_deadline_ns",
    "tick_ns": "tick_ns",
    "max_attempts": "max_attempts",
    "second_copies": "hedging_enabled",
    "can_cancel": "can_cancel_attempts",
    "can_probe": "can_check_health",
    "max_retry_after_ns": "max_retry_after_ns",
    "connect_timeout_ns": "connect_timeout_ns",
    "cross_zone_price": "cross_zone_price",
    "connection_price": "connection_price",
    "late_price": "late_price",
    "waste_price": "waste_price",
    "over_share_worth": "over_quota_value",
    "worth_by_work": "is_value_by_work",
    "worst_class_part": "worst_class_weight",
    "drain_grace_ns": "drain_grace_ns",
    "drain_release_ns": "drain_release_ns",
    "conn_idle_ns": "connection_idle_timeout_ns",
    "cold_ns": "warm_up_ns",
    "start_capacity": "initial_capacity",
    "fall_multiple": "overload_multiple",
    "fall_ns": "overload_window_ns",
    "report_fields": "report_fields",
    "weights": "weight_source",
    "zones": "zone_rules",
}

_SECTIONS: Final = frozenset({"classes", "tenants", "zones"})  # keys whose values are nested records


def save_rules(rules: api.ZoneRules | None) -> dict[str, Any] | None:
    """Return zone rules as JSON values."""
    return None if rules is None else _encode_fields(rules, ZONE_RULES_KEYS)


def restore_rules(raw: object) -> api.ZoneRules | None:
    """Return the zone rules from the output of `save_rules`.

    Raises:
        StateError: The rules have another version's fields, or cannot be read.
    """
    if raw is None:
        return None
    if not isinstance(raw, Mapping):
        raise StateError(f"the zone rules must be an object, not a {type(raw).__name__}")
    try:
        if set(raw) != set(ZONE_RULES_KEYS):
            raise StateError("the fields of the zone rules (key zones) are those of another version")
        values: dict[str, Any] = {ZONE_RULES_KEYS[key]: decode_plain(value) for key, value in raw.items()}
        return api.ZoneRules(**values)
    except StateError:
        raise
    except MALFORMED as error:
        raise StateError(f"cannot decode the zone rules: {type(error).__name__}: {error}") from None


def save_settings(settings: api.Settings) -> dict[str, Any]:
    """Return the settings as JSON values."""
    sections: dict[str, object] = {
        "classes": [_save_request_class(item) for item in settings.classes],
        "tenants": [_encode_fields(item, TENANT_KEYS) for item in settings.tenants],
        "zones": save_rules(settings.zone_rules),
        "report_fields": list(settings.report_fields),
    }
    return {
        key: sections[key] if key in sections else encode_plain(getattr(settings, attribute))
        for key, attribute in SETTINGS_KEYS.items()
    }


def restore_settings(raw: object) -> api.Settings:
    """Return the settings from the output of `save_settings`.

    Raises:
        StateError: The settings have another version's fields, or cannot be read.
    """
    if not isinstance(raw, Mapping):
        raise StateError(f"the settings must be an object, not a {type(raw).__name__}")
    try:
        values: dict[str, Any] = {
            key: decode_plain(value) for key, value in raw.items() if key not in _SECTIONS
        }
        values["classes"] = tuple(_request_class(item) for item in raw["classes"])
        values["tenants"] = tuple(_tenant(item) for item in raw["tenants"])
        values["zones"] = restore_rules(raw["zones"])
        values["report_fields"] = tuple(values["report_fields"])
        if set(values) != set(SETTINGS_KEYS):
            raise StateError("the fields of the settings are those of another version")
        return api.Settings(**{SETTINGS_KEYS[key]: value for key, value in values.items()})
    except StateError:
        raise
    except MALFORMED as error:
        raise StateError(f"cannot decode the settings: {type(error).__name__}: {error}") from None


def _encode_fields(item: object, keys: Mapping[str, str]) -> dict[str, Any]:
    return {key: encode_plain(getattr(item, attribute)) for key, attribute in keys.items()}


def _save_request_class(item: api.RequestClass) -> dict[str, Any]:
    enum_values = {"effect": item.idempotency.value, "group": item.deduplication_scope.value}
    return {
        key: enum_values[key] if key in enum_values else encode_plain(getattr(item, attribute))
        for key, attribute in REQUEST_CLASS_KEYS.items()
    }


def _request_class(raw: Mapping[str, Any]) -> api.RequestClass:
    enum_values = {"effect": api.Idempotency(raw["effect"]), "group": api.DeduplicationScope(raw["group"])}
    return api.RequestClass(
        **{REQUEST_CLASS_KEYS[key]: enum_values.get(key, value) for key, value in raw.items()}
    )


def _tenant(raw: Mapping[str, Any]) -> api.Tenant:
    return api.Tenant(**{TENANT_KEYS[key]: value for key, value in raw.items()})

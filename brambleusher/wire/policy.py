"""The policy file of a gateway (TOML): one checked key for each mechanism that decides; all are optional.

Keys exist so that each mechanism can be switched off by itself and measured.  In service all stay on.
"""

from __future__ import annotations

import tomllib
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from brambleusher.wire.errors import InvalidPolicyError


def _switch(meaning: str) -> bool:
    """A key that is true unless the file says otherwise; pydantic replaces it by the key's value."""
    field: bool = Field(default=True, description=meaning)
    return field


class Policy(BaseModel):
    """Which mechanisms act at a gateway."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)

    own_region_first: bool = _switch("instances of the gateway's own region are used first")
    subset: bool = _switch("a gateway uses as few instances as the load allows, always the same")
    prefix_keepers: bool = _switch("a large shared prefix has one instance that keeps it")
    spare_weights: bool = _switch("weights go by spare capacity, else all begin alike")
    latency_index: bool = _switch("weights are cut by latency over aim")
    health: bool = _switch("weights are scaled by the share of attempts that were served")
    silence: bool = _switch("one that is silent for most of an aim is passed over")
    room_above_share: bool = _switch("one with more attempts than its share is passed over")
    fleet_figures: bool = _switch("what other gateways saw of instances counts too")
    reported_load: bool = _switch("the load that instances tell is believed, if it is fresh")
    cold_budget: bool = _switch("sends to an instance that warms up are bounded")
    retry_budget: bool = _switch("sends past the first of a request are bounded")
    rest_after_failure: bool = _switch("an instance that takes no connection rests")
    zone_rests: bool = _switch("a zone in which connections time out is tried last")
    resume: bool = _switch("a resumable stream that broke off goes on at another instance")
    idle_trust: bool = _switch("one lost idle connection speaks against the others")


def read(path: str) -> Policy:
    """The policy in a file; raises `InvalidPolicyError` that names file and key."""
    try:
        return Policy.model_validate(tomllib.loads(Path(path).read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidPolicyError(path, "file", str(error)) from error
    except tomllib.TOMLDecodeError as error:
        raise InvalidPolicyError(path, "file", f"no TOML: {error}") from error
    except ValidationError as error:
        first = error.errors()[0]
        key = ".".join(str(part) for part in first["loc"]) or "file"
        raise InvalidPolicyError(path, key, first["msg"]) from error


def described() -> list[tuple[str, str, str]]:
    """Each key with its default, as TOML has it, and its meaning."""
    return [
        (name, str(field.default).lower(), field.description or "")
        for name, field in Policy.model_fields.items()
    ]

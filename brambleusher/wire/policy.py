"""The policy file of a gateway (TOML): one optional boolean key for each load balancing mechanism.

Each mechanism can be switched off individually in order to measure its effect; in production all are on.
Aliases are the keys of the file; fields are named by the terms of the code.
"""

from __future__ import annotations

import tomllib
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from brambleusher.wire.errors import InvalidPolicyError


class Policy(BaseModel):
    """The mechanisms that are enabled at a gateway."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)

    prefers_own_region: bool = Field(
        default=True,
        alias="own_region_first",
        description="instances of the gateway's own region are used first",
    )
    uses_subset: bool = Field(
        default=True,
        alias="subset",
        description="a gateway uses as few instances as the load allows, always the same",
    )
    has_prefix_affinity: bool = Field(
        default=True,
        alias="prefix_keepers",
        description="a large shared prefix has one instance that caches it",
    )
    weighs_by_spare_capacity: bool = Field(
        default=True,
        alias="spare_weights",
        description="weights are proportional to spare capacity; otherwise all weights start equal",
    )
    weighs_by_latency: bool = Field(
        default=True,
        alias="latency_index",
        description="weights are reduced when latency exceeds its target",
    )
    weighs_by_health: bool = Field(
        default=True,
        alias="health",
        description="weights are scaled by the fraction of attempts that were served",
    )
    skips_unresponsive: bool = Field(
        default=True,
        alias="silence",
        description="an instance without a response for most of a latency target is skipped",
    )
    limits_to_quota_share: bool = Field(
        default=True,
        alias="room_above_share",
        description="an instance with more attempts than its quota share is skipped",
    )
    uses_fleet_metrics: bool = Field(
        default=True,
        alias="fleet_figures",
        description="metrics of instances measured by other gateways are used as well",
    )
    uses_reported_load: bool = Field(
        default=True,
        alias="reported_load",
        description="the load that instances report is used, if it is recent",
    )
    limits_warm_up: bool = Field(
        default=True,
        alias="cold_budget",
        description="the number of attempts at an instance that is warming up is limited",
    )
    limits_retries: bool = Field(
        default=True,
        alias="retry_budget",
        description="the number of retries is limited",
    )
    backs_off_after_failure: bool = Field(
        default=True,
        alias="rest_after_failure",
        description="an instance that does not accept connections is not used during a backoff",
    )
    backs_off_from_zones: bool = Field(
        default=True,
        alias="zone_rests",
        description="a zone in which connections time out is tried last",
    )
    resumes_streams: bool = Field(
        default=True,
        alias="resume",
        description="an interrupted resumable stream is resumed at another instance",
    )
    learns_idle_timeout: bool = Field(
        default=True,
        alias="idle_trust",
        description="a lost idle connection shortens the time for which other idle connections are kept",
    )


def read(path: str) -> Policy:
    """Read the policy in a file.

    Raises:
        InvalidPolicyError: The file cannot be read or is invalid; the error names the file and the key.
    """
    try:
        return Policy.model_validate(tomllib.loads(Path(path).read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidPolicyError(path, "file", str(error)) from error
    except tomllib.TOMLDecodeError as error:
        raise InvalidPolicyError(path, "file", f"invalid TOML: {error}") from error
    except ValidationError as error:
        first = error.errors()[0]
        key = ".".join(str(step) for step in first["loc"]) or "file"
        raise InvalidPolicyError(path, key, first["msg"]) from error


def key_names() -> list[str]:
    """Return the keys of the policy file."""
    return [field.alias or name for name, field in Policy.model_fields.items()]


def disabled_keys(policy: Policy) -> list[str]:
    """Return the keys of the mechanisms that a policy switches off."""
    values = policy.model_dump(by_alias=True)
    return [key for key in key_names() if not values[key]]


def key_descriptions() -> list[tuple[str, str, str]]:
    """Return the name, the default in TOML syntax and the description of each key."""
    return [
        (key, str(field.default).lower(), field.description or "")
        for key, field in zip(key_names(), Policy.model_fields.values(), strict=True)
    ]

"""A patch of the operator's configuration: items to add, to replace or to remove by name; pure.

The merge works on the configuration as it was sent, so that keys which this version does not know stay in it.
"""

from __future__ import annotations

import json
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from brambleusher.wire import configuration
from brambleusher.wire.errors import InvalidConfigurationError

SECTIONS = ("routes", "services")


class _Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Upserts(_Strict):
    """Items to add, or to replace by `name`, by section."""

    routes: tuple[dict[str, Any], ...] = ()
    services: tuple[dict[str, Any], ...] = ()


class Removals(_Strict):
    """Names of items to remove, by section."""

    routes: tuple[str, ...] = ()
    services: tuple[str, ...] = ()


class Patch(_Strict):
    """A change of named items that makes a configuration of a new revision."""

    revision: int = Field(ge=1)
    upsert: Upserts = Upserts()
    remove: Removals = Removals()


def read(body: bytes) -> Patch:
    """A patch from the bytes sent; raises `InvalidConfigurationError` that names what is wrong."""
    try:
        patch = Patch.model_validate(configuration.load(body))
    except ValidationError as error:
        raise configuration.invalid(error) from error
    for section in SECTIONS:
        _check_names(section, patch)
    return patch


def _check_names(section: str, patch: Patch) -> None:
    named: set[str] = set()
    for at, item in enumerate(getattr(patch.upsert, section)):
        name = item.get("name")
        if not isinstance(name, str) or not name:
            raise InvalidConfigurationError(f"upsert.{section}.{at}.name", "it is missing or no text")
        if name in named:
            raise InvalidConfigurationError(f"upsert.{section}.{at}.name", f"{name} stands twice")
        named.add(name)
    for at, name in enumerate(getattr(patch.remove, section)):
        if name in named:
            raise InvalidConfigurationError(f"remove.{section}.{at}", f"{name} stands twice in the patch")
        named.add(name)


def merge(body: bytes, patch: Patch) -> bytes:
    """The whole configuration that a patch makes of another; raises `InvalidConfigurationError`."""
    merged = json.loads(body)
    for section in SECTIONS:
        upserts = getattr(patch.upsert, section)
        merged[section] = _merge_items(
            section, merged.get(section, []), upserts, getattr(patch.remove, section)
        )
    merged["revision"] = patch.revision
    result = json.dumps(merged, ensure_ascii=False, separators=(",", ":")).encode()
    configuration.read(result)
    return result


def _merge_items(
    section: str, items: list[dict[str, Any]], upserts: tuple[dict[str, Any], ...], removals: tuple[str, ...]
) -> list[dict[str, Any]]:
    """Items that stay keep their order, a replaced one its place; new ones follow."""
    held = {item.get("name", "") for item in items}
    for at, name in enumerate(removals):
        if name not in held:
            raise InvalidConfigurationError(f"remove.{section}.{at}", f"there is no {name}")
    replacing = {item["name"]: item for item in upserts}
    kept = [
        replacing.get(item.get("name", ""), item) for item in items if item.get("name", "") not in removals
    ]
    return kept + [item for item in upserts if item["name"] not in held]

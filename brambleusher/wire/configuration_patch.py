"""Patches of the operator's configuration: items to add, to replace or to remove by name; no I/O.

Patches are merged into the configuration's JSON as the operator sent it, so that keys that are unknown to
this version are preserved.
"""

from __future__ import annotations

from collections.abc import Collection

from pydantic import BaseModel, ConfigDict, Field

from brambleusher.wire import configuration
from brambleusher.wire.errors import InvalidConfigurationError

SECTIONS = ("routes", "services")

Item = dict[str, object]  # a route or a service as the operator sent it


class _Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Upserts(_Strict):
    """Items to add or to replace, by section; an item replaces the existing item with the same `name`."""

    routes: tuple[Item, ...] = ()
    services: tuple[Item, ...] = ()

    def in_section(self, section: str) -> tuple[Item, ...]:
        """Return the items of a section."""
        return self.routes if section == "routes" else self.services


class Removals(_Strict):
    """Names of items to remove, by section."""

    routes: tuple[str, ...] = ()
    services: tuple[str, ...] = ()

    def in_section(self, section: str) -> tuple[str, ...]:
        """Return the names of a section."""
        return self.routes if section == "routes" else self.services


class Patch(_Strict):
    """A change of named items that results in a configuration of a new revision."""

    revision: int = Field(ge=1)
    upsert: Upserts = Upserts()
    remove: Removals = Removals()


def read(body: bytes) -> Patch:
    """Parse and validate a patch that an operator sent.

    Raises:
        InvalidConfigurationError: The patch is invalid; the error names the key concerned.
    """
    configuration.load(body)
    patch = configuration.parse_as(Patch, body)
    for section in SECTIONS:
        _check_names(section, patch)
    return patch


def _check_names(section: str, patch: Patch) -> None:
    """Check that each item has a name, and that no name occurs twice."""
    names: set[str] = set()
    for position, item in enumerate(patch.upsert.in_section(section)):
        name = item.get("name")
        if not isinstance(name, str) or not name:
            raise InvalidConfigurationError(f"upsert.{section}.{position}.name", "it is missing or no text")
        if name in names:
            raise InvalidConfigurationError(f"upsert.{section}.{position}.name", f"{name} stands twice")
        names.add(name)
    for position, name in enumerate(patch.remove.in_section(section)):
        if name in names:
            raise InvalidConfigurationError(
                f"remove.{section}.{position}", f"{name} stands twice in the patch"
            )
        names.add(name)


def merge(body: bytes, patch: Patch) -> bytes:
    """Return the complete configuration after applying a patch to the configuration in `body`.

    Raises:
        InvalidConfigurationError: An item to remove does not exist, or the resulting configuration is
            invalid.
    """
    merged = configuration.load_stored(body)
    for section in SECTIONS:
        items = merged.get(section, [])
        merged[section] = _merge_items(
            section, items, patch.upsert.in_section(section), patch.remove.in_section(section)
        )
    merged["revision"] = patch.revision
    result = configuration.encode(merged)
    configuration.read(result)
    return result


def _merge_items(
    section: str, items: list[Item], upserts: Collection[Item], removals: Collection[str]
) -> list[Item]:
    """Return the merged items of a section: the remaining items in their order, then the new items.

    A replaced item keeps its place.
    """
    present = {item.get("name", "") for item in items}
    for position, name in enumerate(removals):
        if name not in present:
            raise InvalidConfigurationError(f"remove.{section}.{position}", f"there is no {name}")
    replacements = {item["name"]: item for item in upserts}
    remaining = [
        replacements.get(item.get("name", ""), item) for item in items if item.get("name", "") not in removals
    ]
    return remaining + [item for item in upserts if item["name"] not in present]

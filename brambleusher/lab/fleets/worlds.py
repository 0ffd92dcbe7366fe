"""World files: YAML files that list the differences from the default fleet, and their parsing."""

from __future__ import annotations

import random
import re
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
import yaml

from brambleusher.lab.faults.kinds import AnyFault, check_faults
from brambleusher.lab.fleets.figures import (
    ClassSpec,
    NetworkSpec,
    NodeSpec,
    RuleSpec,
    SidecarSpec,
    TenantSpec,
    WorldSpec,
)
from brambleusher.lab.stand_ins.settings import (
    Count,
    DiscoverySettings,
    NodeSettings,
    Positive,
    Seconds,
    Settings,
    UnitFraction,
)
from brambleusher.load.request import TOKEN

TENANT = re.compile(r"[\x21-\x7e]([\x20-\x7e]*[\x21-\x7e])?\Z")
TenantWeight = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class WorldError(ValueError):
    """A world file is invalid; the message names the key."""


class Kind(NodeSettings, frozen=True):
    """The nodes of one kind, with their number and common settings."""

    count: Count = 1
    spares: Count = 0  # additional nodes that don't run at the start; a fault may start them


class Class(Settings, frozen=True):
    """A request class; `share` and `work_s` apply only where the requests are drawn at random."""

    share: UnitFraction = 0.3
    work_s: Positive = 0.05
    spread: Seconds = 0.5
    aim_s: Positive = 0.5
    deadline_s: Positive = 1.5
    worth: Positive = 1.0
    late_worth: UnitFraction = 0.3
    unsafe: bool = False


def _default_kinds() -> dict[str, Kind]:
    return {
        "std-2core": Kind(count=8, cores=2, speed=1.0),
        "small-1core": Kind(count=6, cores=1, speed=0.75),
    }


def _default_classes() -> dict[str, Class]:
    return {
        "listing-lookup": Class(share=0.6, work_s=0.027, aim_s=0.5, deadline_s=1.5, worth=1.0),
        "price-check": Class(share=0.3, work_s=0.051, aim_s=0.75, deadline_s=2.0, worth=5.0),
        "transfer-record": Class(share=0.1, work_s=0.1, aim_s=1.0, deadline_s=4.0, worth=2.0, unsafe=True),
    }


def _default_tenants() -> dict[str, float]:
    return {"peach-seats": 0.5, "midtown-tickets": 0.3, "river-resale": 0.15, "box-office": 0.05}


class WorldFile(Settings, frozen=True):
    """The contents of a world file; by default a fleet of 14 nodes in four zones and three sidecars."""

    seed: int = 1
    zones: tuple[str, ...] = ("atl-north", "atl-south", "macon", "augusta")
    sidecars: Annotated[int, msgspec.Meta(ge=1, le=200)] = 3
    sockets: Annotated[int, msgspec.Meta(ge=64)] = 512  # descriptor limit of each sidecar
    memory_mb: Annotated[int, msgspec.Meta(ge=32)] = 96
    known: Literal["fresh", "old", "none"] = "fresh"
    kinds: dict[str, Kind] = msgspec.field(default_factory=_default_kinds)
    classes: dict[str, Class] = msgspec.field(default_factory=_default_classes)
    # Relative weight of each tenant, by the tenant's name.
    tenants: dict[str, TenantWeight] = msgspec.field(default_factory=_default_tenants)
    usage: Positive = 0.8  # fraction of their quotas that the tenants use at `requests_per_s`
    requests_per_s: Positive = 400.0
    discovery: DiscoverySettings = DiscoverySettings()
    notice_s: Seconds = 0.5
    silent_notice_s: Seconds = 1.5
    network: NetworkSpec = NetworkSpec()
    rules: RuleSpec = RuleSpec()
    faults: tuple[AnyFault, ...] = ()

    def world_spec(self, length_s: float = 60.0) -> WorldSpec:
        """Return the world definition for a run of a given length; raises `WorldError`."""
        if not self.zones or not self.classes or not any(kind.count for kind in self.kinds.values()):
            raise WorldError("zones, kinds and classes must not be empty")
        for name in self.classes:
            if not TOKEN.match(name):
                raise WorldError(f"classes: {name!r} can't stand in a path")
        for name in self.tenants:
            if not TENANT.match(name):
                raise WorldError(f"tenants: {name!r} can't stand in a header")
        rng = random.Random(f"{self.seed}/ids")
        nodes: list[NodeSpec] = []
        for name, kind in self.kinds.items():
            settings = NodeSettings(**{key: getattr(kind, key) for key in NodeSettings.__struct_fields__})
            for number in range(kind.count + kind.spares):
                at = len(nodes)
                nodes.append(
                    NodeSpec(
                        id=f"s-{rng.getrandbits(32):08x}", zone=self.zones[at % len(self.zones)], kind=name,
                        cell=at // 3, weight=kind.cores * kind.speed, settings=settings,
                        spare=number >= kind.count,
                    )
                )  # fmt: skip
        total = sum(self.tenants.values())
        if self.tenants and not total > 0:
            raise WorldError("tenants have no share")
        world = WorldSpec(
            length_s=length_s,
            faults_s=max([0.001, *(fault.at_s + fault.for_s for fault in self.faults)]),
            zones=self.zones,
            sidecars=tuple(
                SidecarSpec(
                    name=f"n{number}", zone=self.zones[number % len(self.zones)], sockets=self.sockets,
                    memory_mb=self.memory_mb, known=self.known, capture=False,
                )
                for number in range(self.sidecars)
            ),
            nodes=tuple(nodes),
            classes=tuple(
                ClassSpec(name=name, **msgspec.structs.asdict(each)) for name, each in self.classes.items()
            ),
            tenants=tuple(
                TenantSpec(name=name, share=share / total, usage=self.usage)
                for name, share in self.tenants.items()
            ),
            requests_per_s=self.requests_per_s, discovery=self.discovery, notice_s=self.notice_s,
            silent_notice_s=self.silent_notice_s, network=self.network, rules=self.rules,
        )  # fmt: skip
        try:
            check_faults(self.faults, world)
        except ValueError as error:
            raise WorldError(str(error)) from None
        return world

    @property
    def methods(self) -> dict[str, str]:
        """HTTP method of each request class."""
        return {name: "POST" if each.unsafe else "GET" for name, each in self.classes.items()}


def parse_world(raw: Any, over: Mapping[str, Any] | None = None) -> WorldFile:
    """Build a world from plain values, with the values in `over` merged key by key; raises `WorldError`."""
    plain: Any = {} if raw is None else raw
    if not isinstance(plain, Mapping):
        raise WorldError("a world is a mapping")
    if over:
        # Fills in the defaults first, so that `over` can change a single key of a mapping left out in `raw`.
        plain = merge_mappings({**msgspec.to_builtins(WorldFile()), **plain}, over)
    try:
        return msgspec.convert(plain, WorldFile, strict=True)
    except msgspec.ValidationError as error:
        raise WorldError(str(error)) from None


def merge_mappings(below: Any, above: Any) -> Any:
    """Merge mappings key by key, with the value of `above` where both have one; replace all other values."""
    if isinstance(below, Mapping) and isinstance(above, Mapping):
        keys = {**below, **above}
        return {
            key: merge_mappings(below[key], above[key]) if key in below and key in above else keys[key]
            for key in keys
        }
    return above


def read_world(path: str | Path | None) -> WorldFile:
    """Read a world file, or return the default world without a path; raises `WorldError`."""
    if path is None:
        return WorldFile()
    try:
        raw = yaml.safe_load(Path(path).read_bytes())
    except OSError as error:
        raise WorldError(f"{path}: {error.strerror}") from None
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        raise WorldError(f"{path}: not YAML: {' '.join(str(error).split())}") from None
    try:
        world = parse_world(raw)
        world.world_spec()
        return world
    except WorldError as error:
        raise WorldError(f"{path}: {error}") from None

"""The one place where the control service's file is read, checked and given defaults."""

from __future__ import annotations

import fnmatch
import ipaddress
import json
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from brambleusher.loadbalancing.api import Idempotency, Settings
from brambleusher.loadbalancing.settings import SettingsError, parse_settings
from brambleusher.operator_settings.section import OperatorFileError, Section
from brambleusher.operator_settings.yaml_codec import MAX_FILE_BYTES, decode_yaml
from brambleusher.runtime.streams import parse_address
from brambleusher.xds.faults import ControlError
from brambleusher.xds.versions import MIN_SECRET_BYTES

MAX_ITEMS = 256
HOUR_MS = 3_600_000
Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Where certificate, key and the subscribers' authority are; all of them PEM."""

    certificate: str
    key: str
    client_ca: str


@dataclass(frozen=True, slots=True)
class Group:
    """Subscribers alike: who they are, the zone whose view they get, and what they may subscribe to."""

    identity: str  # a pattern for the name in the certificate; in plain text for the node's id
    zone: str | None = None  # None: the zone that the subscriber says it is in
    may: tuple[str, ...] = ("*",)  # patterns for names of resources
    form: str | None = None  # how endpoints are grouped; None: by what the subscriber is

    def is_for(self, identity: str) -> bool:
        """Whether a subscriber of that name belongs to it."""
        return fnmatch.fnmatchcase(identity, self.identity)

    def sees(self, name: str) -> bool:
        """Whether its subscribers may have the resource of that name."""
        return any(fnmatch.fnmatchcase(name, pattern) for pattern in self.may)


@dataclass(frozen=True, slots=True)
class Bounds:
    """What one stream, and all together, may ask for."""

    streams: int = 2000
    streams_per_identity: int = 2000
    message_kb: int = 256
    names: int = 1000
    name_bytes: int = 512
    requests_per_s: int = 100
    stall_ms: int = 30_000  # a response that can't be handed over for so long ends its stream


@dataclass(frozen=True, slots=True)
class ClassPlan:
    """A class of requests: the paths that make it, and what one proxy may have out."""

    name: str
    prefixes: tuple[str, ...]
    timeout_ms: int
    retries: int
    connections: int = 1024
    pending: int = 1024
    requests: int = 1024


@dataclass(frozen=True, slots=True)
class Outlier:
    """When a proxy leaves a node out by itself, between two words from here."""

    consecutive: int = 5
    interval_ms: int = 10_000
    ejection_ms: int = 30_000
    most_percent: int = 10


@dataclass(frozen=True, slots=True)
class ListenerPlan:
    """A listener: with an address one for HTTP, without one gRPC's API listener."""

    name: str
    address: Address | None


@dataclass(frozen=True, slots=True)
class Spread:
    """How weights go out."""

    priorities: dict[str, tuple[tuple[str, ...], ...]] | None = None  # by zone; None: all in one
    weights_every_ms: int = 2000
    change_percent: int = 10


@dataclass(frozen=True, slots=True)
class Peer:
    """Another instance."""

    name: str
    address: Address


@dataclass(frozen=True, slots=True)
class ControlConfig:
    """All of the file."""

    name: str
    listen: Address
    discovery: Address
    epoch: int
    secret: bytes
    store: str
    new_store_ms: int
    settings: Settings
    zones: tuple[str, ...]
    groups: tuple[Group, ...]
    listeners: tuple[ListenerPlan, ...]
    classes: tuple[ClassPlan, ...]
    tls: TlsFiles | None = None
    spread: Spread = Spread()
    bounds: Bounds = Bounds()
    outlier: Outlier = Outlier()
    connect_timeout_ms: int = 250
    stale_after_ms: int = 600_000
    silence_ms: int = 3500
    reports_ms: int = 1000
    peers: tuple[Peer, ...] = ()
    status: Address | None = None

    def group_of(self, identity: str) -> Group | None:
        """The first group that a subscriber belongs to."""
        return next((group for group in self.groups if group.is_for(identity)), None)


def is_loopback(host: str) -> bool:
    """Whether an address can be reached from this machine alone."""
    try:
        return ipaddress.ip_address(host.removeprefix("[").removesuffix("]")).is_loopback
    except ValueError:
        return host == "localhost"


def _needed(section: Section, key: str) -> str:
    value = section.text(key)
    if value is None:
        raise ControlError(f"{section.name(key)} is missing")
    return value


def _address(section: Section, key: str, value: str | None = None) -> Address:
    value = value if value is not None else _needed(section, key)
    try:
        return parse_address(value)
    except ValueError as error:
        raise ControlError(f"{section.name(key)}: {error}") from None


def _list(section: Section, key: str, required: bool = False) -> list[tuple[Any, str]]:
    """The items of a list, each with its path."""
    raw = section.take(key)
    if raw is None and not required:
        return []
    if not isinstance(raw, list) or len(raw) > MAX_ITEMS or (required and not raw):
        raise ControlError(f"{section.name(key)} is not a list of 1 to {MAX_ITEMS} items")
    return [(item, f"{section.name(key)}[{at}]") for at, item in enumerate(raw)]


def _texts(section: Section, key: str, default: tuple[str, ...]) -> tuple[str, ...]:
    if not section.has(key):
        return default
    out = []
    for item, path in _list(section, key, required=True):
        if not isinstance(item, str) or not item:
            raise ControlError(f"{path} is not a text")
        out.append(item)
    return tuple(out)


def _once(names: list[str], what: str) -> None:
    for name in names:
        if names.count(name) > 1:
            raise ControlError(f"{what} {name} is given twice")


def _file(path: Path, what: str) -> bytes:
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise ControlError(f"{what}: {path} can't be read: {error.strerror}") from None
    if len(data) > MAX_FILE_BYTES:
        raise ControlError(f"{what}: {path} has more than {MAX_FILE_BYTES} bytes")
    return data


def _settings(section: Section, base: Path) -> Settings:
    inline, path = section.take("settings"), section.text("settings_file")
    if (inline is None) == (path is None):
        raise ControlError("not exactly one of settings and settings_file is given")
    raw = inline
    if path is not None:
        try:
            raw = json.loads(_file(base / path, "settings_file"))
        except ValueError as error:
            raise ControlError(f"settings_file: {path} is not JSON: {error}") from None
        if isinstance(raw, dict) and isinstance(raw.get("settings"), dict):
            raw = raw["settings"]  # a sidecar's configuration does as well
    try:
        return parse_settings(raw)
    except SettingsError as error:
        raise ControlError(f"settings: {error}") from None


def _class(raw: Any, path: str, settings: Settings) -> ClassPlan:
    section = Section(raw, path)
    name = _needed(section, "name")
    known = next((cls for cls in settings.classes if cls.name == name), None)
    if known is None:
        raise ControlError(f"{path}.name: the settings have no class {name}")
    usual = ClassPlan(name, (f"/{name}",), max(1, known.deadline_ns // 1_000_000), 0)
    safe = known.idempotency is Idempotency.SAFE
    most = max(0, settings.max_attempts - 1)
    retries = section.integer("retries", min(1, most) if safe else 0, 0, 10)
    if retries and not safe:
        raise ControlError(f"{path}.retries: a request of class {name} must not be sent twice")
    if retries > most:
        raise ControlError(f"{path}.retries: the settings allow {most}")
    plan = ClassPlan(
        name,
        _texts(section, "prefixes", usual.prefixes),
        section.integer("timeout_ms", usual.timeout_ms, 1, HOUR_MS),
        retries,
        section.integer("connections", usual.connections, 1, 1_000_000),
        section.integer("pending", usual.pending, 1, 1_000_000),
        section.integer("requests", usual.requests, 1, 1_000_000),
    )
    section.reject_unknown_keys()
    for prefix in plan.prefixes:
        if not prefix.startswith("/"):
            raise ControlError(f"{path}.prefixes: {prefix} does not begin with /")
    return plan


def _group(raw: Any, path: str, zones: tuple[str, ...]) -> Group:
    section = Section(raw, path)
    group = Group(
        _needed(section, "identity"),
        section.text("zone"),
        _texts(section, "may", ("*",)),
        section.choice("endpoints", ("zones", "nodes")) if section.has("endpoints") else None,
    )
    section.reject_unknown_keys()
    if group.zone is not None and group.zone not in zones:
        raise ControlError(f"{path}.zone: {group.zone} is not among zones")
    return group


def _listener(raw: Any, path: str) -> ListenerPlan:
    section = Section(raw, path)
    name, address = _needed(section, "name"), section.text("address")
    plan = ListenerPlan(name, None if address is None else _address(section, "address", address))
    section.reject_unknown_keys()
    return plan


def _spread(raw: Any, zones: tuple[str, ...]) -> Spread:
    section, usual = Section(raw, "spread"), Spread()
    priorities: dict[str, tuple[tuple[str, ...], ...]] | None = None
    way = section.take("priorities", "none")
    if way == "zones":
        priorities = {zone: ((zone,),) for zone in zones}
    elif isinstance(way, dict):
        priorities = {}
        for zone, order in way.items():
            if zone not in zones:
                raise ControlError(f"spread.priorities: {zone} is not among zones")
            if not isinstance(order, list) or not all(
                isinstance(tier, list) and all(isinstance(each, str) for each in tier) for tier in order
            ):
                raise ControlError(f"spread.priorities.{zone} is not a list of lists of zones")
            priorities[zone] = tuple(tuple(tier) for tier in order)
    elif way != "none":
        raise ControlError("spread.priorities is not none, zones or a mapping from zone to lists of zones")
    spread = Spread(
        priorities,
        section.integer("weights_every_ms", usual.weights_every_ms, 100, HOUR_MS),
        section.integer("change_percent", usual.change_percent, 0, 100),
    )
    section.reject_unknown_keys()
    return spread


def _bounds(raw: Any) -> Bounds:
    section, usual = Section(raw, "bounds"), Bounds()
    bounds = Bounds(
        section.integer("streams", usual.streams, 1, 100_000),
        section.integer("streams_per_identity", usual.streams_per_identity, 1, 100_000),
        section.integer("message_kb", usual.message_kb, 1, 16_384),
        section.integer("names", usual.names, 1, 100_000),
        section.integer("name_bytes", usual.name_bytes, 16, 4096),
        section.integer("requests_per_s", usual.requests_per_s, 1, 100_000),
        section.integer("stall_ms", usual.stall_ms, 100, HOUR_MS),
    )
    section.reject_unknown_keys()
    return bounds


def _outlier(raw: Any) -> Outlier:
    section, usual = Section(raw, "outlier"), Outlier()
    outlier = Outlier(
        section.integer("consecutive", usual.consecutive, 1, 1000),
        section.integer("interval_ms", usual.interval_ms, 10, HOUR_MS),
        section.integer("ejection_ms", usual.ejection_ms, 10, HOUR_MS),
        section.integer("most_percent", usual.most_percent, 0, 100),
    )
    section.reject_unknown_keys()
    return outlier


def _tls(raw: Any, base: Path) -> TlsFiles:
    section = Section(raw, "tls")
    files = TlsFiles(*(str(base / _needed(section, key)) for key in ("certificate", "key", "client_ca")))
    section.reject_unknown_keys()
    return files


def _peer(raw: Any, path: str) -> Peer:
    section = Section(raw, path)
    peer = Peer(_needed(section, "name"), _address(section, "address"))
    section.reject_unknown_keys()
    return peer


def parse_control(text: bytes, base: Path) -> ControlConfig:
    """The file's content, checked; names of files in it are relative to `base`."""
    try:
        return _parse(text, base)
    except OperatorFileError as error:
        raise ControlError(str(error)) from None


def _parse(text: bytes, base: Path) -> ControlConfig:
    if len(text) > MAX_FILE_BYTES:
        raise ControlError(f"the file has more than {MAX_FILE_BYTES} bytes")
    section = Section(decode_yaml(text), "")
    settings = _settings(section, base)
    zones = _texts(section, "zones", (settings.zone,))
    _once(list(zones), "the zone")
    listen = _address(section, "listen")
    secret = _file(base / _needed(section, "secret_file"), "secret_file").strip()
    if len(secret) < MIN_SECRET_BYTES:
        raise ControlError(f"secret_file has less than {MIN_SECRET_BYTES} bytes")
    store = Section(section.take("store"), "store")
    config = ControlConfig(
        name=_needed(section, "name"),
        listen=listen,
        discovery=_address(section, "discovery"),
        epoch=section.integer("epoch", 1, 1, 10**9),
        secret=secret,
        store=str(base / _needed(store, "file")),
        new_store_ms=store.integer("new_ms", 2000, 0, HOUR_MS),
        settings=settings,
        zones=zones,
        groups=tuple(_group(raw, path, zones) for raw, path in _list(section, "subscribers", required=True)),
        listeners=tuple(_listener(raw, path) for raw, path in _list(section, "listeners", required=True)),
        classes=tuple(_class(raw, path, settings) for raw, path in _list(section, "classes", required=True)),
        tls=_tls(section.take("tls"), base) if section.has("tls") else None,
        spread=_spread(section.take("spread"), zones),
        bounds=_bounds(section.take("bounds")),
        outlier=_outlier(section.take("outlier")),
        connect_timeout_ms=section.integer(
            "connect_timeout_ms", max(1, settings.connect_timeout_ns // 1_000_000), 1, 60_000
        ),
        stale_after_ms=section.integer("stale_after_ms", 600_000, 0, 24 * HOUR_MS),
        silence_ms=section.integer("silence_ms", 3500, 100, HOUR_MS),
        reports_ms=section.integer("reports_ms", 1000, 100, HOUR_MS),
        peers=tuple(_peer(raw, path) for raw, path in _list(section, "peers")),
        status=_address(section, "status") if section.has("status") else None,
    )
    store.reject_unknown_keys()
    section.reject_unknown_keys()
    _once([each.name for each in config.classes], "the class")
    _once([prefix for each in config.classes for prefix in each.prefixes], "the prefix")
    _once([each.name for each in config.listeners], "the listener")
    _once([each.name for each in config.peers], "the peer")
    if config.tls is None and not is_loopback(config.listen[0]):
        raise ControlError("listen: without tls only a loopback address is served")
    if config.status is not None and not is_loopback(config.status[0]):
        raise ControlError("status: only a loopback address is served")
    if config.tls is None and not all(is_loopback(peer.address[0]) for peer in config.peers):
        raise ControlError("peers: without tls only loopback addresses are spoken to")
    return config


def load_control(path: str) -> ControlConfig:
    """The file at `path`; raises `ControlError` with a message that names the key."""
    where = Path(path)
    return parse_control(_file(where, "the file"), where.parent)


def reload_control(old: ControlConfig, path: str) -> tuple[ControlConfig, list[str]]:
    """The running configuration with what may change taken from the file, and what differs but may not."""
    new = load_control(path)
    fixed = (
        "name",
        "listen",
        "discovery",
        "epoch",
        "secret",
        "store",
        "settings",
        "zones",
        "tls",
        "peers",
        "status",
        "silence_ms",
        "new_store_ms",
    )
    differs = [key for key in fixed if getattr(old, key) != getattr(new, key)]
    return replace(new, **{key: getattr(old, key) for key in fixed}), differs

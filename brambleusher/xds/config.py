"""Read and validate the control service's configuration file, and fill in defaults.

The keys of the file are a public interface.
"""

from __future__ import annotations

import fnmatch
import ipaddress
import json
from dataclasses import dataclass, replace
from pathlib import Path

from brambleusher.loadbalancing.api import Idempotency, RequestClass, Settings
from brambleusher.loadbalancing.settings import SettingsError, parse_settings
from brambleusher.operator_settings.section import OperatorFileError, Section
from brambleusher.operator_settings.yaml_codec import MAX_FILE_BYTES, decode_yaml
from brambleusher.runtime.streams import parse_address
from brambleusher.xds.errors import ControlError
from brambleusher.xds.versions import MIN_SECRET_BYTES

MAX_ITEMS = 256  # limit for the items of each list in the configuration file
MAX_RETRIES = 10
MAX_CONCURRENCY = 1_000_000  # upper bound for the configured connections or requests of one proxy
MAX_STREAMS = 100_000
MAX_EPOCH = 10**9
HOUR_MS = 3_600_000
NS_PER_MS = 1_000_000

Address = tuple[str, int]
Priorities = dict[str, tuple[tuple[str, ...], ...]]  # subscriber's zone -> one tuple of zones per priority

# Configuration keys that take effect only at a restart, not at a reload.
_FIXED_KEYS = (
    "name", "listen", "discovery", "epoch", "secret", "store", "settings", "zones", "tls", "peers", "status",
    "silence_ms", "new_store_ms",
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Paths of the PEM files with the certificate, its key and the CA that signed clients' certificates."""

    certificate: str
    key: str
    client_ca: str


@dataclass(frozen=True, slots=True)
class SubscriberGroup:
    """Subscribers with the same rights: the zone whose view they get, and what they may subscribe to."""

    identity: str  # a pattern for the name in the certificate or, without TLS, for the node's id
    zone: str | None = None  # the zone whose view the group gets; None: the zone in the first request
    resource_patterns: tuple[str, ...] = ("*",)  # patterns for the names of allowed resources
    locality_level: str | None = None  # "zones" or "nodes"; None: chosen by the kind of client

    def matches(self, identity: str) -> bool:
        """Return whether a subscriber with that identity belongs to the group."""
        return fnmatch.fnmatchcase(identity, self.identity)

    def may_subscribe_to(self, name: str) -> bool:
        """Return whether the group's subscribers may subscribe to the resource with that name."""
        return any(fnmatch.fnmatchcase(name, pattern) for pattern in self.resource_patterns)


@dataclass(frozen=True, slots=True)
class StreamLimits:
    """Limits for each stream, and for the number of streams."""

    streams: int = 2000
    streams_per_identity: int = 2000
    message_kb: int = 256
    names: int = 1000
    name_bytes: int = 512
    requests_per_s: int = 100
    stall_ms: int = 30_000  # a stream without progress for longer than this is ended


@dataclass(frozen=True, slots=True)
class ClassConfig:
    """A class of requests: its path prefixes, timeout and retries, and the limits for one proxy."""

    name: str
    prefixes: tuple[str, ...]
    timeout_ms: int
    retries: int
    connections: int = 1024
    pending: int = 1024
    requests: int = 1024


@dataclass(frozen=True, slots=True)
class OutlierDetectionConfig:
    """Settings for a proxy's own outlier detection, which ejects failing endpoints between updates."""

    consecutive_errors: int = 5
    interval_ms: int = 10_000
    ejection_ms: int = 30_000
    max_ejected_percent: int = 10


@dataclass(frozen=True, slots=True)
class ListenerConfig:
    """A listener: an HTTP listener if it has an address, else an API listener for gRPC clients."""

    name: str
    address: Address | None


@dataclass(frozen=True, slots=True)
class WeightPublication:
    """How endpoints are assigned to priorities, and when a changed weight is published."""

    priorities: Priorities | None = None  # None: all endpoints have the same priority
    weights_every_ms: int = 2000
    change_percent: int = 10


@dataclass(frozen=True, slots=True)
class PeerConfig:
    """Another instance of the control service in the same installation."""

    name: str
    address: Address


@dataclass(frozen=True, slots=True)
class ControlConfig:
    """The validated content of the configuration file."""

    name: str
    listen: Address
    discovery: Address
    epoch: int
    secret: bytes
    store: str
    new_store_ms: int
    settings: Settings
    zones: tuple[str, ...]
    groups: tuple[SubscriberGroup, ...]
    listeners: tuple[ListenerConfig, ...]
    classes: tuple[ClassConfig, ...]
    tls: TlsFiles | None = None
    spread: WeightPublication = WeightPublication()
    bounds: StreamLimits = StreamLimits()
    outlier: OutlierDetectionConfig = OutlierDetectionConfig()
    connect_timeout_ms: int = 250
    stale_after_ms: int = 600_000
    silence_ms: int = 3500
    reports_ms: int = 1000
    peers: tuple[PeerConfig, ...] = ()
    status: Address | None = None

    def group_of(self, identity: str) -> SubscriberGroup | None:
        """Return the first group that a subscriber belongs to, or None if no group matches."""
        return next((group for group in self.groups if group.matches(identity)), None)


def is_loopback(host: str) -> bool:
    """Return whether an address can be reached only from this machine."""
    try:
        return ipaddress.ip_address(host.removeprefix("[").removesuffix("]")).is_loopback
    except ValueError:
        return host == "localhost"


def _required_text(section: Section, key: str) -> str:
    value = section.text(key)
    if value is None:
        raise ControlError(f"{section.name(key)} is missing")
    return value


def _address(section: Section, key: str, value: str | None = None) -> Address:
    value = value if value is not None else _required_text(section, key)
    try:
        return parse_address(value)
    except ValueError as error:
        raise ControlError(f"{section.name(key)}: {error}") from None


def _list(section: Section, key: str, required: bool = False) -> list[tuple[object, str]]:
    """Return the items of a list, each with its path in the file for error messages."""
    raw = section.take(key)
    if raw is None and not required:
        return []
    if not isinstance(raw, list) or len(raw) > MAX_ITEMS or (required and not raw):
        raise ControlError(f"{section.name(key)} is not a list of 1 to {MAX_ITEMS} items")
    return [(item, f"{section.name(key)}[{index}]") for index, item in enumerate(raw)]


def _texts(section: Section, key: str, default: tuple[str, ...]) -> tuple[str, ...]:
    if not section.has(key):
        return default
    texts = []
    for item, path in _list(section, key, required=True):
        if not isinstance(item, str) or not item:
            raise ControlError(f"{path} is not a non-empty string")
        texts.append(item)
    return tuple(texts)


def _reject_duplicates(names: list[str], label: str) -> None:
    for name in names:
        if names.count(name) > 1:
            raise ControlError(f"{label} {name} is given twice")


def _read_file(path: Path, label: str) -> bytes:
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise ControlError(f"{label}: {path} can't be read: {error.strerror}") from None
    if len(data) > MAX_FILE_BYTES:
        raise ControlError(f"{label}: {path} has more than {MAX_FILE_BYTES} bytes")
    return data


def _settings(section: Section, base: Path) -> Settings:
    inline, path = section.take("settings"), section.text("settings_file")
    if (inline is None) == (path is None):
        raise ControlError("not exactly one of settings and settings_file is given")
    raw = inline
    if path is not None:
        try:
            raw = json.loads(_read_file(base / path, "settings_file"))
        except ValueError as error:
            raise ControlError(f"settings_file: {path} is not JSON: {error}") from None
        if isinstance(raw, dict) and isinstance(raw.get("settings"), dict):
            raw = raw["settings"]  # the file may also be a sidecar's configuration, which nests the settings
    try:
        return parse_settings(raw)
    except SettingsError as error:
        raise ControlError(f"settings: {error}") from None


def _class(raw: object, path: str, settings: Settings) -> ClassConfig:
    section = Section(raw, path)
    name = _required_text(section, "name")
    request_class = next((cls for cls in settings.classes if cls.name == name), None)
    if request_class is None:
        raise ControlError(f"{path}.name: the settings have no class {name}")
    default = ClassConfig(name, (f"/{name}",), max(1, request_class.deadline_ns // NS_PER_MS), 0)
    retries = _retries(section, path, request_class, settings)
    class_config = ClassConfig(
        name,
        _texts(section, "prefixes", default.prefixes),
        section.integer("timeout_ms", default.timeout_ms, 1, HOUR_MS),
        retries,
        section.integer("connections", default.connections, 1, MAX_CONCURRENCY),
        section.integer("pending", default.pending, 1, MAX_CONCURRENCY),
        section.integer("requests", default.requests, 1, MAX_CONCURRENCY),
    )
    section.reject_unknown_keys()
    for prefix in class_config.prefixes:
        if not prefix.startswith("/"):
            raise ControlError(f"{path}.prefixes: {prefix} does not begin with /")
    return class_config


def _retries(section: Section, path: str, request_class: RequestClass, settings: Settings) -> int:
    is_safe = request_class.idempotency is Idempotency.SAFE
    allowed = max(0, settings.max_attempts - 1)
    retries = section.integer("retries", min(1, allowed) if is_safe else 0, 0, MAX_RETRIES)
    if retries and not is_safe:
        raise ControlError(f"{path}.retries: a request of class {request_class.name} must not be sent twice")
    if retries > allowed:
        raise ControlError(f"{path}.retries: the settings allow {allowed}")
    return retries


def _group(raw: object, path: str, zones: tuple[str, ...]) -> SubscriberGroup:
    section = Section(raw, path)
    group = SubscriberGroup(
        _required_text(section, "identity"),
        section.text("zone"),
        _texts(section, "may", ("*",)),
        section.choice("endpoints", ("zones", "nodes")) if section.has("endpoints") else None,
    )
    section.reject_unknown_keys()
    if group.zone is not None and group.zone not in zones:
        raise ControlError(f"{path}.zone: {group.zone} is not among zones")
    return group


def _listener(raw: object, path: str) -> ListenerConfig:
    section = Section(raw, path)
    name, address = _required_text(section, "name"), section.text("address")
    listener_config = ListenerConfig(name, None if address is None else _address(section, "address", address))
    section.reject_unknown_keys()
    return listener_config


def _spread(raw: object, zones: tuple[str, ...]) -> WeightPublication:
    section, default = Section(raw, "spread"), WeightPublication()
    spread = WeightPublication(
        _priorities(section.take("priorities", "none"), zones),
        section.integer("weights_every_ms", default.weights_every_ms, 100, HOUR_MS),
        section.integer("change_percent", default.change_percent, 0, 100),
    )
    section.reject_unknown_keys()
    return spread


def _priorities(raw: object, zones: tuple[str, ...]) -> Priorities | None:
    if raw == "none":
        return None
    if raw == "zones":
        return {zone: ((zone,),) for zone in zones}
    if not isinstance(raw, dict):
        raise ControlError("spread.priorities is not none, zones or a mapping from zone to lists of zones")
    priorities: Priorities = {}
    for zone, tiers in raw.items():
        if zone not in zones:
            raise ControlError(f"spread.priorities: {zone} is not among zones")
        if not isinstance(tiers, list) or not all(_is_list_of_texts(tier) for tier in tiers):
            raise ControlError(f"spread.priorities.{zone} is not a list of lists of zones")
        priorities[zone] = tuple(tuple(tier) for tier in tiers)
    return priorities


def _is_list_of_texts(raw: object) -> bool:
    return isinstance(raw, list) and all(isinstance(item, str) for item in raw)


def _bounds(raw: object) -> StreamLimits:
    section, default = Section(raw, "bounds"), StreamLimits()
    bounds = StreamLimits(
        section.integer("streams", default.streams, 1, MAX_STREAMS),
        section.integer("streams_per_identity", default.streams_per_identity, 1, MAX_STREAMS),
        section.integer("message_kb", default.message_kb, 1, 16_384),
        section.integer("names", default.names, 1, 100_000),
        section.integer("name_bytes", default.name_bytes, 16, 4096),
        section.integer("requests_per_s", default.requests_per_s, 1, 100_000),
        section.integer("stall_ms", default.stall_ms, 100, HOUR_MS),
    )
    section.reject_unknown_keys()
    return bounds


def _outlier(raw: object) -> OutlierDetectionConfig:
    section, default = Section(raw, "outlier"), OutlierDetectionConfig()
    outlier = OutlierDetectionConfig(
        section.integer("consecutive", default.consecutive_errors, 1, 1000),
        section.integer("interval_ms", default.interval_ms, 10, HOUR_MS),
        section.integer("ejection_ms", default.ejection_ms, 10, HOUR_MS),
        section.integer("most_percent", default.max_ejected_percent, 0, 100),
    )
    section.reject_unknown_keys()
    return outlier


def _tls(raw: object, base: Path) -> TlsFiles:
    section = Section(raw, "tls")
    files = TlsFiles(
        *(str(base / _required_text(section, key)) for key in ("certificate", "key", "client_ca"))
    )
    section.reject_unknown_keys()
    return files


def _peer(raw: object, path: str) -> PeerConfig:
    section = Section(raw, path)
    peer = PeerConfig(_required_text(section, "name"), _address(section, "address"))
    section.reject_unknown_keys()
    return peer


def parse_control_config(text: bytes, base: Path) -> ControlConfig:
    """Parse and validate the content of the configuration file.

    Args:
        text: The file's content in YAML.
        base: The directory that relative paths in the file are resolved against.

    Raises:
        ControlError: The content is not valid; the message names the key.
    """
    try:
        config = _parse(text, base)
    except OperatorFileError as error:
        raise ControlError(str(error)) from None
    _check_names(config)
    _check_addresses(config)
    return config


def _parse(text: bytes, base: Path) -> ControlConfig:
    if len(text) > MAX_FILE_BYTES:
        raise ControlError(f"the file has more than {MAX_FILE_BYTES} bytes")
    section = Section(decode_yaml(text), "")
    settings = _settings(section, base)
    zones = _texts(section, "zones", (settings.zone,))
    _reject_duplicates(list(zones), "the zone")
    listen = _address(section, "listen")
    secret = _secret(section, base)
    store = Section(section.take("store"), "store")
    config = ControlConfig(
        name=_required_text(section, "name"),
        listen=listen,
        discovery=_address(section, "discovery"),
        epoch=section.integer("epoch", 1, 1, MAX_EPOCH),
        secret=secret,
        store=str(base / _required_text(store, "file")),
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
        connect_timeout_ms=_connect_timeout_ms(section, settings),
        stale_after_ms=section.integer("stale_after_ms", 600_000, 0, 24 * HOUR_MS),
        silence_ms=section.integer("silence_ms", 3500, 100, HOUR_MS),
        reports_ms=section.integer("reports_ms", 1000, 100, HOUR_MS),
        peers=tuple(_peer(raw, path) for raw, path in _list(section, "peers")),
        status=_address(section, "status") if section.has("status") else None,
    )
    store.reject_unknown_keys()
    section.reject_unknown_keys()
    return config


def _secret(section: Section, base: Path) -> bytes:
    secret = _read_file(base / _required_text(section, "secret_file"), "secret_file").strip()
    if len(secret) < MIN_SECRET_BYTES:
        raise ControlError(f"secret_file has less than {MIN_SECRET_BYTES} bytes")
    return secret


def _connect_timeout_ms(section: Section, settings: Settings) -> int:
    default = max(1, settings.connect_timeout_ns // NS_PER_MS)
    return section.integer("connect_timeout_ms", default, 1, 60_000)


def _check_names(config: ControlConfig) -> None:
    _reject_duplicates([class_config.name for class_config in config.classes], "the class")
    _reject_duplicates(
        [prefix for class_config in config.classes for prefix in class_config.prefixes], "the prefix"
    )
    _reject_duplicates([listener.name for listener in config.listeners], "the listener")
    _reject_duplicates([peer.name for peer in config.peers], "the peer")


def _check_addresses(config: ControlConfig) -> None:
    if config.tls is None and not is_loopback(config.listen[0]):
        raise ControlError("listen: without tls only a loopback address is allowed")
    if config.status is not None and not is_loopback(config.status[0]):
        raise ControlError("status: only a loopback address is allowed")
    if config.tls is None and not all(is_loopback(peer.address[0]) for peer in config.peers):
        raise ControlError("peers: without tls only loopback addresses are allowed")


def load_control_config(path: str) -> ControlConfig:
    """Read and validate the configuration file at `path`.

    Raises:
        ControlError: The file can't be read or is not valid; the message names the key.
    """
    file = Path(path)
    return parse_control_config(_read_file(file, "the file"), file.parent)


def reload_control_config(current: ControlConfig, path: str) -> tuple[ControlConfig, list[str]]:
    """Read the configuration file again for a running instance.

    Returns:
        The new configuration, in which keys that need a restart keep their current values, and a list of
        those keys whose value in the file differs.

    Raises:
        ControlError: The file can't be read or is not valid; the message names the key.
    """
    new = load_control_config(path)
    differing = [key for key in _FIXED_KEYS if getattr(current, key) != getattr(new, key)]
    return replace(new, **{key: getattr(current, key) for key in _FIXED_KEYS}), differing

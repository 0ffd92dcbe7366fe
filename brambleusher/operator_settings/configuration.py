"""The one place where the operator file is read, checked and given defaults.

A section that is named is on, with its defaults where it says no more; what is not named is off.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from brambleusher.loadbalancing.api import Tier, ZoneRules
from brambleusher.net.header_forwarding import PROTECTED
from brambleusher.net.http import HOP_BY_HOP, is_token, is_value
from brambleusher.operator_settings.section import OperatorFileError, Section
from brambleusher.runtime.streams import parse_address

if TYPE_CHECKING:
    from brambleusher.fronts.mysql.settings import MysqlSettings

MAX_FILE_BYTES = 256 * 1024
MAX_RULES, MAX_VALUE = 256, 4096
MAX_ZONES = 64
# What the sidecar words anew on each connection.
FRAMING = HOP_BY_HOP | {"content-length", "host", "expect"}
DIRECTIONS = ("in", "out")
ACTIONS = ("add", "drop", "rename")


@dataclass(frozen=True, slots=True)
class RewriteRule:
    """One rewrite: `name` is added with `value`, dropped, or renamed to `value`."""

    direction: str
    action: str
    name: str
    value: str = ""
    path_prefix: str | None = None
    request_class: str | None = None


@dataclass(frozen=True, slots=True)
class MetricsTarget:
    """Where lines go: standard error, a file's path, or an address for datagrams."""

    kind: str = "stderr"
    path: str = ""
    address: tuple[str, int] = ("", 0)


@dataclass(frozen=True, slots=True)
class MetricsSettings:
    """Figures for a collector."""

    format: str = "statsd"
    target: MetricsTarget = MetricsTarget()
    flush_ms: int = 1000
    buffer_kb: int = 64


@dataclass(frozen=True, slots=True)
class StatusSettings:
    """The status page; it has no usual port."""

    port: int
    refresh_ms: int = 1000


@dataclass(frozen=True, slots=True)
class CaptureSettings:
    """What the module was told and decided: in memory and, with `dir`, in files."""

    ring_kb: int = 768
    dir: str | None = None
    files: int = 4


@dataclass(frozen=True, slots=True)
class OperatorFile:
    """The features' settings; None for one that is off."""

    rewrites: tuple[RewriteRule, ...] | None = None
    figures: MetricsSettings | None = None
    status: StatusSettings | None = None
    capture: CaptureSettings | None = None
    zones: ZoneRules | None = None
    mysql: MysqlSettings | None = None


def _header(value: Any, path: str) -> str:
    """The name of a header that rules may touch."""
    if not isinstance(value, str) or not is_token(value):
        raise OperatorFileError(f"{path} is not the name of a header")
    if value.lower() in PROTECTED:
        raise OperatorFileError(f"{path}: {value} is protected")
    if value.lower() in FRAMING:
        raise OperatorFileError(f"{path}: {value} belongs to the connection")
    return value


def _pair(value: Any, path: str) -> tuple[Any, Any]:
    if not isinstance(value, dict) or len(value) != 1:
        raise OperatorFileError(f"{path} is not one pair of name: value")
    return next(iter(value.items()))


def _rule(raw: Any, path: str) -> RewriteRule:
    section = Section(raw, path)
    if not section.has("match"):
        raise OperatorFileError(f"{path}.match is missing")
    match = Section(section.take("match"), f"{path}.match")
    prefix, request_class = match.text("path_prefix"), match.text("class")
    match.reject_unknown_keys()
    if prefix is not None and not prefix.startswith("/"):
        raise OperatorFileError(f"{path}.match.path_prefix does not begin with /")
    direction = section.choice("direction", DIRECTIONS)
    named = [action for action in ACTIONS if section.has(action)]
    if len(named) != 1:
        raise OperatorFileError(f"{path} has not exactly one of {', '.join(ACTIONS)}")
    action = named[0]
    given, where = section.take(action), f"{path}.{action}"
    section.reject_unknown_keys()
    if action == "drop":
        return RewriteRule(direction, action, _header(given, where), "", prefix, request_class)
    name, value = _pair(given, where)
    name = _header(name, where)
    if action == "rename":
        return RewriteRule(direction, action, name, _header(value, where), prefix, request_class)
    if not isinstance(value, str) or not is_value(value) or len(value) > MAX_VALUE:
        # Guards against a line break that would smuggle in a header of its own, or a request.
        raise OperatorFileError(f"{where}.{name} is not a text that fits in a header (numbers need quotes)")
    return RewriteRule(direction, action, name, value.strip(" \t"), prefix, request_class)


def _rules(raw: Any) -> tuple[RewriteRule, ...]:
    if raw is None:
        return ()
    if not isinstance(raw, list) or len(raw) > MAX_RULES:
        raise OperatorFileError(f"rewrites is not a list of at most {MAX_RULES} rules")
    return tuple(_rule(rule, f"rewrites[{at}]") for at, rule in enumerate(raw))


def _target(text: str | None, path: str) -> MetricsTarget:
    if text in (None, "stderr"):
        return MetricsTarget()
    kind, _, rest = str(text).partition(":")
    if kind == "file" and rest and "\0" not in rest:
        return MetricsTarget("file", path=rest)
    if kind == "udp":
        try:
            host, port = parse_address(rest)
        except ValueError as error:
            raise OperatorFileError(f"{path}: {error}") from None
        if port:
            return MetricsTarget("udp", address=(host.removeprefix("[").removesuffix("]"), port))
    raise OperatorFileError(f"{path} is not stderr, file: with a path or udp: with host:port")


def _figures(raw: Any) -> MetricsSettings:
    section, usual = Section(raw, "figures"), MetricsSettings()
    settings = MetricsSettings(
        format=section.choice("format", ("statsd", "influx"), usual.format),
        target=_target(section.text("target"), "figures.target"),
        flush_ms=section.integer("flush_ms", usual.flush_ms, 10, 3_600_000),
        buffer_kb=section.integer("buffer_kb", usual.buffer_kb, 4, 65_536),
    )
    section.reject_unknown_keys()
    return settings


def _status(raw: Any) -> StatusSettings | None:
    section, usual = Section(raw, "status"), StatusSettings(0)
    on = section.has("port")
    settings = StatusSettings(
        port=section.integer("port", usual.port, 0, 65_535),
        refresh_ms=section.integer("refresh_ms", usual.refresh_ms, 10, 3_600_000),
    )
    section.reject_unknown_keys()
    return settings if on else None


def _capture(raw: Any) -> CaptureSettings:
    section, usual = Section(raw, "capture"), CaptureSettings()
    settings = CaptureSettings(
        ring_kb=section.integer("ring_kb", usual.ring_kb, 32, 1_048_576),
        dir=section.text("dir"),
        files=section.integer("files", usual.files, 1, 1000),
    )
    section.reject_unknown_keys()
    if settings.dir is not None and "\0" in settings.dir:
        raise OperatorFileError("capture.dir is not the name of a directory")
    return settings


def _tier(raw: Any, path: str) -> Tier:
    """Zones that are as near: one's name, a list of names, or names with weights."""
    if isinstance(raw, str) and raw:
        return ((raw, 1.0),)
    if isinstance(raw, list) and raw:
        for at, name in enumerate(raw):
            if not isinstance(name, str) or not name:
                raise OperatorFileError(f"{path}[{at}] is not the name of a zone")
        return tuple((name, 1.0) for name in raw)
    if isinstance(raw, dict) and raw:
        weights = []
        for name, weight in raw.items():
            if isinstance(weight, bool) or not isinstance(weight, int | float) or not 0 < weight <= 1000:
                raise OperatorFileError(f"{path}.{name} is not a weight over 0 and up to 1000")
            weights.append((name, float(weight)))
        return tuple(weights)
    raise OperatorFileError(f"{path} is not a zone, a list of zones, or zones with weights")


def _tiers(raw: dict[str, Any], zone: str, path: str) -> tuple[Tier, ...]:
    """The tiers after a zone: a list of them, one by weight, or another zone and then as that one has it."""
    way, tiers = [zone], list[Tier]()
    while isinstance(then := raw.get(way[-1]), str):
        if then in way:
            raise OperatorFileError(f"{path}.{zone} goes in a circle: {' to '.join([*way, then])}")
        tiers.append(_tier(then, f"{path}.{way[-1]}"))
        way.append(then)
    if (rest := raw.get(way[-1])) is None:
        if way[-1] in raw:
            raise OperatorFileError(f"{path}.{way[-1]} names no zone")
        return tuple(tiers)
    listed = rest if isinstance(rest, list) else [rest]
    if not 0 < len(listed) <= MAX_ZONES:
        raise OperatorFileError(f"{path}.{way[-1]} is not a list of 1 to {MAX_ZONES} tiers")
    own = [_tier(tier, f"{path}.{way[-1]}[{place}]") for place, tier in enumerate(listed)]
    if len(way) > 1:  # what the last one has may lead back: zones on the way have their place already
        own = [tuple(each for each in tier if each[0] not in way) for tier in own]
        return (*tiers, *(tier for tier in own if tier))
    names = [name for tier in own for name, _ in tier]
    for name in names:
        if name == zone:
            raise OperatorFileError(f"{path}.{zone} goes in a circle: {zone} to {zone}")
        if names.count(name) > 1:
            raise OperatorFileError(f"{path}.{zone} names {name} twice")
    return tuple(own)


def _neighbours(raw: Any) -> tuple[tuple[str, tuple[Tier, ...]], ...]:
    path = "zones.neighbours"
    if raw is None:
        return ()
    if not isinstance(raw, dict) or len(raw) > MAX_ZONES:
        raise OperatorFileError(f"{path} is not a mapping of at most {MAX_ZONES} zones")
    return tuple((zone, _tiers(raw, zone, path)) for zone in raw)


def _zones(raw: Any) -> ZoneRules:
    section, usual = Section(raw, "zones"), ZoneRules()
    rules = ZoneRules(
        neighbours=_neighbours(section.take("neighbours")),
        spill_rate=section.number("spill", usual.spill_rate, 0.01, 10.0),
        max_utilisation=section.number("strain", usual.max_utilisation, 0.1, 1.0),
        panic_threshold=section.number("panic", usual.panic_threshold, 0.0, 1.0),
        flap_penalty_half_life_ns=int(
            section.number("half_life_s", usual.flap_penalty_half_life_ns / 1e9, 1.0, 3600.0) * 1e9
        ),
        max_flap_hold_ns=int(
            section.number("hold_most_s", usual.max_flap_hold_ns / 1e9, 0.0, 86_400.0) * 1e9
        ),
        flap_exempt=section.name_list("trust", MAX_ZONES),
        evacuated=section.name_list("evacuate", MAX_ZONES),
    )
    section.reject_unknown_keys()
    return rules


def _mysql(raw: Any) -> MysqlSettings:
    from brambleusher.fronts.mysql.settings import parse_mysql  # here: a sidecar without it loads none of it

    return parse_mysql(raw)


def decode_yaml(text: bytes) -> Any:
    """YAML by the safe loader, with texts for keys and none of them twice."""
    import yaml  # here, so that a sidecar without an operator file doesn't pay for it

    class Loader(yaml.SafeLoader):
        """The safe loader, less its way of letting the later of two keys win."""

    def mapping(loader: Loader, node: yaml.MappingNode) -> dict[str, Any]:
        out: dict[str, Any] = {}
        for key_node, value_node in node.value:
            key, line = loader.construct_object(key_node, deep=True), key_node.start_mark.line + 1
            if not isinstance(key, str):
                raise OperatorFileError(f"the key {key!r} in line {line} is not a text")
            if key in out:
                raise OperatorFileError(f"{key} in line {line} is given twice")
            out[key] = loader.construct_object(value_node, deep=True)
        return out

    Loader.add_constructor("tag:yaml.org,2002:map", mapping)
    try:
        return yaml.load(text, Loader)  # a subclass of the safe loader
    except OperatorFileError:
        raise
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise OperatorFileError(f"not YAML: {' '.join(str(error).split())}") from None


def parse_operator_file(text: bytes) -> OperatorFile:
    """The settings in an operator file; an empty one switches nothing on."""
    if len(text) > MAX_FILE_BYTES:
        raise OperatorFileError(f"the file has more than {MAX_FILE_BYTES} bytes")
    section = Section(decode_yaml(text), "")
    settings = OperatorFile(
        rewrites=_rules(section.take("rewrites")) if section.has("rewrites") else None,
        status=_status(section.take("status")),
        capture=_capture(section.take("capture")) if section.has("capture") else None,
        zones=_zones(section.take("zones")) if section.has("zones") else None,
        figures=_figures(section.take("figures")) if section.has("figures") else None,
        mysql=_mysql(section.take("mysql")) if section.has("mysql") else None,
    )
    section.reject_unknown_keys()
    return settings


def load_operator_file(path: str | None) -> OperatorFile:
    """The file named on the command line; without one all features are off."""
    if path is None:
        return OperatorFile()
    try:
        with Path(path).open("rb") as file:
            text = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise OperatorFileError(f"{path} can't be read: {error.strerror}") from None
    return parse_operator_file(text)

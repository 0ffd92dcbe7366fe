"""The operator file: its settings, their parsing, validation and defaults.

A feature is enabled if its section is present, with defaults for missing keys, and disabled otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from brambleusher.loadbalancing.api import ZoneRules
from brambleusher.operator_settings.rewrite_rules import RewriteRule, parse_rewrite_rules
from brambleusher.operator_settings.section import OperatorFileError, Section
from brambleusher.operator_settings.yaml_codec import MAX_FILE_BYTES, decode_yaml
from brambleusher.operator_settings.zone_rules import parse_zone_rules
from brambleusher.runtime.streams import parse_address

if TYPE_CHECKING:
    from brambleusher.fronts.mysql.settings import MysqlSettings

MAX_PORT = 65_535
MS_PER_HOUR = 3_600_000


@dataclass(frozen=True, slots=True)
class MetricsTarget:
    """Destination of metrics by `kind`: standard error, a file, or the address of a UDP receiver."""

    kind: str = "stderr"
    path: str = ""
    address: tuple[str, int] = ("", 0)


@dataclass(frozen=True, slots=True)
class MetricsSettings:
    """Format, target and flush interval of exported metrics."""

    format: str = "statsd"
    target: MetricsTarget = MetricsTarget()
    flush_ms: int = 1000
    buffer_kb: int = 64


@dataclass(frozen=True, slots=True)
class StatusSettings:
    """Settings of the status page; the port has no default."""

    port: int
    refresh_ms: int = 1000


@dataclass(frozen=True, slots=True)
class CaptureSettings:
    """Settings for captures of events and decisions: in memory and, if `dir` is set, in files."""

    ring_kb: int = 768
    dir: str | None = None
    files: int = 4


@dataclass(frozen=True, slots=True)
class OperatorFile:
    """Settings of all features; None for a disabled feature."""

    rewrites: tuple[RewriteRule, ...] | None = None
    metrics: MetricsSettings | None = None
    status: StatusSettings | None = None
    capture: CaptureSettings | None = None
    zones: ZoneRules | None = None
    mysql: MysqlSettings | None = None


def _parse_target(text: str | None, path: str) -> MetricsTarget:
    if text in (None, "stderr"):
        return MetricsTarget()
    kind, _, remainder = str(text).partition(":")
    if kind == "file" and remainder and "\0" not in remainder:
        return MetricsTarget("file", path=remainder)
    if kind == "udp":
        try:
            host, port = parse_address(remainder)
        except ValueError as error:
            raise OperatorFileError(f"{path}: {error}") from None
        if port:
            return MetricsTarget("udp", address=(host.removeprefix("[").removesuffix("]"), port))
    raise OperatorFileError(f"{path} is not stderr, file: with a path or udp: with host:port")


def _parse_metrics(raw: object) -> MetricsSettings:
    section, defaults = Section(raw, "figures"), MetricsSettings()
    settings = MetricsSettings(
        format=section.choice("format", ("statsd", "influx"), defaults.format),
        target=_parse_target(section.text("target"), "figures.target"),
        flush_ms=section.integer("flush_ms", defaults.flush_ms, 10, MS_PER_HOUR),
        buffer_kb=section.integer("buffer_kb", defaults.buffer_kb, 4, 65_536),
    )
    section.reject_unknown_keys()
    return settings


def _parse_status(raw: object) -> StatusSettings | None:
    section, defaults = Section(raw, "status"), StatusSettings(0)
    is_on = section.has("port")
    settings = StatusSettings(
        port=section.integer("port", defaults.port, 0, MAX_PORT),
        refresh_ms=section.integer("refresh_ms", defaults.refresh_ms, 10, MS_PER_HOUR),
    )
    section.reject_unknown_keys()
    return settings if is_on else None


def _parse_capture(raw: object) -> CaptureSettings:
    section, defaults = Section(raw, "capture"), CaptureSettings()
    settings = CaptureSettings(
        ring_kb=section.integer("ring_kb", defaults.ring_kb, 32, 1_048_576),
        dir=section.text("dir"),
        files=section.integer("files", defaults.files, 1, 1000),
    )
    section.reject_unknown_keys()
    if settings.dir is not None and "\0" in settings.dir:
        raise OperatorFileError("capture.dir is not the name of a directory")
    return settings


def _parse_mysql(raw: object) -> MysqlSettings:
    from brambleusher.fronts.mysql.settings import parse_mysql  # imported only where the feature is enabled

    return parse_mysql(raw)


def parse_operator_file(text: bytes) -> OperatorFile:
    """Parse an operator file; an empty one enables no feature.

    Raises:
        OperatorFileError: The file is invalid; the message names the key.
    """
    if len(text) > MAX_FILE_BYTES:
        raise OperatorFileError(f"the file has more than {MAX_FILE_BYTES} bytes")
    section = Section(decode_yaml(text), "")
    settings = OperatorFile(
        rewrites=parse_rewrite_rules(section.take("rewrites")) if section.has("rewrites") else None,
        status=_parse_status(section.take("status")),
        capture=_parse_capture(section.take("capture")) if section.has("capture") else None,
        zones=parse_zone_rules(section.take("zones")) if section.has("zones") else None,
        metrics=_parse_metrics(section.take("figures")) if section.has("figures") else None,
        mysql=_parse_mysql(section.take("mysql")) if section.has("mysql") else None,
    )
    section.reject_unknown_keys()
    return settings


def load_operator_file(path: str | None) -> OperatorFile:
    """Load the operator file at `path`; if it is None all features are disabled.

    Raises:
        OperatorFileError: The file can't be read or is invalid.
    """
    if path is None:
        return OperatorFile()
    try:
        with Path(path).open("rb") as file:
            text = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise OperatorFileError(f"{path} can't be read: {error.strerror}") from None
    return parse_operator_file(text)

"""Convert rows to requests, with a mapping file or by the headers of the platform."""

from __future__ import annotations

import re
from collections.abc import Callable
from datetime import tzinfo
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

import msgspec
import yaml

from brambleusher.load.json_lines import FieldNames, lookup_field
from brambleusher.load.request import (
    BODILESS,
    MAX_BODY,
    TARGET,
    TOKEN,
    VALUE,
    Fields,
    RejectedRow,
    Request,
    Row,
)
from brambleusher.load.times import find_time_zone

MAX_HEAD = 64 * 1024
MAX_CACHED_NAMES = 1000  # limit of the cache of valid header names
_STATUS = re.compile(r"(\d)xx\Z|(\d{3})(?:-(\d{3}))?\Z")
_NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{1,9})?\Z", re.A)
_DIGITS = re.compile(r"[0-9]{1,12}\Z", re.A)
Scalar = str | int | float | bool


class MappingError(ValueError):
    """A mapping is invalid; the message names the key."""


class TimeSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Zone and unit of times for which the source states neither."""

    zone: str | None = None
    unit: str = "s"


class ValueSource(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Origin of a value: `header`, `query`, `path` or `field`, or only a `default`."""

    header: str | None = None
    query: str | None = None
    path: str | None = None  # regular expression on the path; the value is its first group or the whole match
    field: str | None = None  # a JSON field or a LogFormat directive such as %v
    pattern: str | None = None  # regular expression on the value; selects its first group or the whole match
    values: dict[str, Scalar] | None = None  # translation table; a value without entry counts as missing
    scale: float = 1.0  # factor for a numeric value
    default: Scalar | None = None


class RetrySource(ValueSource, forbid_unknown_fields=True, frozen=True):
    """Origin of the retry flag, which is set by any value or only by the values in `equals`."""

    equals: list[Scalar] | None = None


class SendOverrides(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Method and path that replace those of the requests that match a rule."""

    method: str | None = None
    path: str | None = None


class ClassRule(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A rule that assigns a class to matching rows or rejects them; all given conditions must hold."""

    name: str | None = msgspec.field(default=None, name="class")
    leave_out: str | None = None  # reason for the rejection of matching rows
    method: str | list[str] | None = None
    path: str | None = None
    query: dict[str, str] = {}
    headers: dict[str, str] = {}
    status: Scalar | list[Scalar] | None = None
    send: SendOverrides = SendOverrides()


class Mapping(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Content of a mapping file."""

    version: int = 1
    time: TimeSettings = TimeSettings()
    fields: FieldNames = FieldNames()
    classes: list[ClassRule] | None = None
    tenant: ValueSource | None = None
    hint_us: ValueSource | None = None
    timeout_ms: ValueSource | None = None
    key: ValueSource | None = None
    retry: RetrySource | None = None
    size: ValueSource | None = None
    tenants: list[str] | None = None
    only: list[str] | None = None  # accepted classes; rows of other classes are rejected


def read_mapping(path: str | Path) -> Mapping:
    """Read and validate a mapping file; raises `MappingError`."""
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise MappingError(f"{path}: {error.strerror}") from None
    try:
        return parse_mapping(text)
    except MappingError as error:
        raise MappingError(f"{path}: {error}") from None


def parse_mapping(text: bytes) -> Mapping:
    """Parse and validate a mapping in YAML; raises `MappingError`."""
    try:
        raw = yaml.safe_load(text)
    except (yaml.YAMLError, UnicodeDecodeError, ValueError, RecursionError) as error:
        position = getattr(error, "problem_mark", None)
        where = f"line {position.line + 1}, column {position.column + 1}: " if position else ""
        raise MappingError(f"{where}not YAML: {getattr(error, 'problem', None) or error}") from None
    try:
        mapping = msgspec.convert({} if raw is None else raw, Mapping)
    except (msgspec.ValidationError, RecursionError) as error:
        raise MappingError(str(error)) from None
    RowConverter(mapping)  # validates the constraints that the types do not express
    return mapping


class RowConverter:
    """Converts rows to requests according to a mapping."""

    def __init__(self, mapping: Mapping | None = None) -> None:
        """Compile the mapping; raises `MappingError`."""
        self.mapping = mapping = mapping or Mapping()
        if mapping.version != 1:
            raise MappingError(f"version is {mapping.version}; only 1 can be read")
        if mapping.time.unit not in ("s", "ms", "us", "ns"):
            raise MappingError("time.unit must be s, ms, us or ns")
        try:
            self.zone: tzinfo | None = (
                None if mapping.time.zone is None else find_time_zone(mapping.time.zone)
            )
        except ValueError as error:
            raise MappingError(f"time.zone: {error}") from None
        if mapping.classes is not None and not mapping.classes:
            raise MappingError("classes is empty")
        self._rules = [_CompiledRule(rule, f"classes[{at}]") for at, rule in enumerate(mapping.classes or [])]
        self._tenant = _value_extractor(mapping.tenant, "tenant", ValueSource(header="Tenant"))
        self._hint = _value_extractor(mapping.hint_us, "hint_us", ValueSource(header="Work-Hint"))
        self._timeout = _value_extractor(
            mapping.timeout_ms, "timeout_ms", ValueSource(header="Request-Timeout-Ms")
        )
        self._key = _value_extractor(mapping.key, "key", ValueSource(header="Request-Id"))
        retry = mapping.retry or RetrySource(header="Client-Retry", equals=["1"])
        self._retry = _value_extractor(retry, "retry", retry)
        self._retry_values = None if retry.equals is None else {_text(each) for each in retry.equals}
        self._size = _value_extractor(mapping.size, "size", ValueSource(header="Content-Length"))
        self._valid_names: set[str] = set()  # cache of valid header names
        self._stated_size = mapping.size is not None
        self._tenants = None if mapping.tenants is None else frozenset(mapping.tenants)
        self._only = None if mapping.only is None else frozenset(mapping.only)

    def request(self, row: Row) -> Request:
        """Convert a row to a request; raises `RejectedRow`."""
        if not TOKEN.match(row.method):
            raise RejectedRow("bad-method", row.method[:40])
        if not TARGET.match(row.target):
            raise RejectedRow("bad-target", row.target[:80])
        if row.status == 101:
            raise RejectedRow("upgraded")
        method, target = row.method, row.target
        path, _, query = target.partition("?")
        if self._rules:
            name, send = self._match_rule(row, path, query)
            method = send.method or method
            if send.path is not None:
                target = f"{send.path}?{query}" if query else send.path
        else:
            name = _platform_class(row, path)
        if self._only is not None and name not in self._only:
            raise RejectedRow("other-class", name[:40])
        tenant = self._tenant(row, path, query)
        if self._tenants is not None and tenant not in self._tenants:
            raise RejectedRow("bad-tenant", str(tenant)[:40])
        if tenant is not None and not VALUE.match(tenant):
            raise RejectedRow("bad-tenant", tenant[:40])
        retry_value = self._retry(row, path, query)
        self._check_headers(row.fields)
        body, size = row.body, self._body_size(row, method, path, query)
        return Request(
            row.at_ns, name, method, target, tenant, _number(self._hint(row, path, query), "bad-hint"),
            _millis(self._timeout(row, path, query)), self._key(row, path, query),
            retry_value is not None and (self._retry_values is None or retry_value in self._retry_values),
            row.fields, body, size, row.origin, row.status, row.took_ns,
        )  # fmt: skip

    def _check_headers(self, fields: Fields) -> None:
        """Check that the headers can be sent; raises `RejectedRow`."""
        valid_names = self._valid_names
        for name, _ in fields:
            if name not in valid_names:
                # Pseudo-headers of HTTP/2 begin with a colon; they are recorded but never sent.
                if not TOKEN.match(name.removeprefix(":")):
                    raise RejectedRow("bad-header", name[:40])
                if len(valid_names) < MAX_CACHED_NAMES:
                    valid_names.add(name)
        values = "".join([value for _, value in fields])
        if not VALUE.match(values):
            bad = next(name for name, value in fields if not VALUE.match(value))
            raise RejectedRow("bad-header", bad[:40])
        head = len(values) + sum([len(name) for name, _ in fields])
        if head > MAX_HEAD:
            raise RejectedRow("bad-header", f"{head} bytes of headers")

    def _match_rule(self, row: Row, path: str, query: str) -> tuple[str, SendOverrides]:
        for rule in self._rules:
            if rule.matches(row, path, query):
                if rule.leave_out is not None:
                    raise RejectedRow("by-mapping", rule.leave_out)
                return rule.name, rule.send
        raise RejectedRow("no-class", f"{row.method} {path[:60]}")

    def _body_size(self, row: Row, method: str, path: str, query: str) -> int:
        if row.body is not None:
            size = len(row.body)
        else:
            size = -1 if row.size is None else row.size
            if size < 0 or self._stated_size:
                text = self._size(row, path, query)
                if text is not None:
                    if not _DIGITS.match(text):
                        raise RejectedRow("bad-size", text[:40])
                    size = int(text)
            if size < 0:
                if method not in BODILESS:
                    raise RejectedRow("no-size", f"{method} {path[:60]}")
                size = 0
        if size > MAX_BODY:
            raise RejectedRow("body-too-large", f"{size} bytes")
        return size


class _CompiledRule:
    """A rule with compiled patterns."""

    def __init__(self, rule: ClassRule, where: str) -> None:
        if (rule.name is None) == (rule.leave_out is None):
            raise MappingError(f"{where} has neither or both of class and leave_out")
        if rule.name is not None and not TOKEN.match(rule.name):
            raise MappingError(f"{where}.class: {rule.name!r} can't be used in a path")
        self.name, self.leave_out, self.send = rule.name or "", rule.leave_out, rule.send
        if rule.send.method is not None and not TOKEN.match(rule.send.method):
            raise MappingError(f"{where}.send.method: {rule.send.method!r} is no method")
        if rule.send.path is not None and (not TARGET.match(rule.send.path) or "?" in rule.send.path):
            raise MappingError(f"{where}.send.path: {rule.send.path!r} is no path")
        methods = [rule.method] if isinstance(rule.method, str) else rule.method
        self._methods = None if methods is None else {each.upper() for each in methods}
        self._path = None if rule.path is None else _pattern(rule.path, f"{where}.path")
        self._query = [(name, _pattern(text, f"{where}.query.{name}")) for name, text in rule.query.items()]
        self._headers = [
            (name.lower(), _pattern(text, f"{where}.headers.{name}")) for name, text in rule.headers.items()
        ]
        statuses = (
            rule.status if isinstance(rule.status, list) else [] if rule.status is None else [rule.status]
        )
        self._status_ranges = [_status_ranges(each, f"{where}.status") for each in statuses]

    def matches(self, row: Row, path: str, query: str) -> bool:
        """Return whether a row meets all conditions of the rule."""
        if self._methods is not None and row.method.upper() not in self._methods:
            return False
        if self._path is not None and not self._path.search(path):
            return False
        if self._status_ranges and not any(
            row.status is not None and low <= row.status <= high for low, high in self._status_ranges
        ):
            return False
        for name, pattern in self._headers:
            value = row.headers.get(name)
            if value is None or not pattern.search(value):
                return False
        if self._query:
            parameters = parse_qs(query, keep_blank_values=True)
            for name, pattern in self._query:
                if not any(pattern.search(value) for value in parameters.get(name, ())):
                    return False
        return True


def _value_extractor(
    take: ValueSource | None, where: str, fallback: ValueSource
) -> Callable[[Row, str, str], str | None]:
    """Return a function that extracts a value from a row as text, or None if the value is missing."""
    take = take or fallback
    origins = [name for name in ("header", "query", "path", "field") if getattr(take, name) is not None]
    if len(origins) > 1 or (not origins and take.default is None):
        raise MappingError(f"{where} must have one of header, query, path, field, or a default")
    default = None if take.default is None else _text(take.default)
    values = None if take.values is None else {key: _text(value) for key, value in take.values.items()}
    pattern = None if take.pattern is None else _pattern(take.pattern, f"{where}.pattern")
    if not take.scale > 0:
        raise MappingError(f"{where}.scale is not above 0")
    scale = take.scale
    fetch = _raw_value_getter(take, where)
    if values is None and pattern is None and scale == 1 and default is None:
        return fetch

    def extract(row: Row, path: str, query: str) -> str | None:
        value = fetch(row, path, query)
        if value is not None and pattern is not None:
            match = pattern.search(value)
            value = None if match is None else _matched_text(match)
        if value is not None and values is not None:
            value = values.get(value)
        if value is None:
            return default
        return _scaled(value, scale) if scale != 1 else value

    return extract


def _raw_value_getter(take: ValueSource, where: str) -> Callable[[Row, str, str], str | None]:
    if take.header is not None:
        name = take.header.lower()
        return lambda row, path, query: row.headers.get(name)
    if take.query is not None:
        parameter = take.query

        def from_query(row: Row, path: str, query: str) -> str | None:
            values = parse_qs(query, keep_blank_values=True).get(parameter)
            return values[0] if values else None

        return from_query
    if take.path is not None:
        pattern = _pattern(take.path, f"{where}.path")

        def from_path(row: Row, path: str, query: str) -> str | None:
            match = pattern.search(path)
            return None if match is None else _matched_text(match)

        return from_path
    if take.field is not None:
        field = take.field

        def from_field(row: Row, path: str, query: str) -> str | None:
            value = (
                row.extra_values.get(field)
                if field.startswith("%")
                else lookup_field(row.extra_values, field)
            )
            return None if value is None or isinstance(value, dict | list) else _text(value)

        return from_field
    return lambda row, path, query: None


def _matched_text(match: re.Match[str]) -> str | None:
    return match[1] if match.re.groups else match[0]


def _pattern(text: str, where: str) -> re.Pattern[str]:
    try:
        return re.compile(text)
    except re.error as error:
        raise MappingError(f"{where}: {text!r} is no regular expression: {error}") from None


def _status_ranges(value: Scalar, where: str) -> tuple[int, int]:
    match = _STATUS.match(str(value))
    if match is None:
        raise MappingError(f"{where}: {value!r} is no status, such as 404, 2xx or 200-299")
    if match[1]:
        return int(match[1]) * 100, int(match[1]) * 100 + 99
    return int(match[2]), int(match[3] or match[2])


def _text(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def _scaled(text: str, scale: float) -> str:
    """Multiply a numeric text by a scale; returns other text unchanged, for a later check to reject."""
    if not _NUMBER.match(text):
        return text
    value = float(text) * scale
    return str(int(value)) if value == int(value) else format(value, ".9f").rstrip("0").rstrip(".")


def _number(text: str | None, reason: str) -> int | float | None:
    if text is None:
        return None
    if not _NUMBER.match(text):
        raise RejectedRow(reason, text[:40])
    return float(text) if "." in text else int(text)


def _millis(text: str | None) -> int | None:
    if text is None:
        return None
    if not _DIGITS.match(text) or not int(text):
        raise RejectedRow("bad-timeout", text[:40])
    return int(text)


def _platform_class(row: Row, path: str) -> str:
    """Return the class from the first path segment, which must agree with the Request-Class header."""
    path_class = path[1:].split("/", 1)[0]
    header_class = row.headers.get("request-class")
    if path_class == "ready" and row.method == "GET" and header_class is None:
        raise RejectedRow("ready")
    if not path_class or not TOKEN.match(path_class):
        raise RejectedRow("no-class", path[:60])
    if header_class is not None and header_class != path_class:
        raise RejectedRow("class-differs", f"{header_class[:40]} and {path_class[:40]}")
    return path_class

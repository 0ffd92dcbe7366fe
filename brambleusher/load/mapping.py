"""What a row means: class, tenant, hint and the rest, by a mapping file or by the platform's headers."""

from __future__ import annotations

import re
from collections.abc import Callable
from datetime import tzinfo
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

import msgspec
import yaml

from brambleusher.load.json_lines import Names, found
from brambleusher.load.request import (
    BODILESS,
    MAX_BODY,
    TARGET,
    TOKEN,
    VALUE,
    Fields,
    LeftOut,
    Request,
    Row,
)
from brambleusher.load.times import zone_of

MAX_HEAD = 64 * 1024
KNOWN = 1000  # names of headers that are remembered
_STATUS = re.compile(r"(\d)xx\Z|(\d{3})(?:-(\d{3}))?\Z")
_NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{1,9})?\Z", re.A)
_DIGITS = re.compile(r"[0-9]{1,12}\Z", re.A)
Scalar = str | int | float | bool


class MappingError(ValueError):
    """A mapping that can't be used; the message names the key."""


class Times(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How times are meant where the source leaves it open."""

    zone: str | None = None
    unit: str = "s"


class Take(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Where a value comes from: exactly one of the first four.  None of them: `default` alone."""

    header: str | None = None
    query: str | None = None
    path: str | None = None  # a regular expression; its first group, or all of it
    field: str | None = None  # a JSON field, or a directive of the LogFormat such as %v
    pattern: str | None = None  # a regular expression on the value; its first group, or all of it
    values: dict[str, Scalar] | None = (
        None  # the value by what it stands for; one not there counts as missing
    )
    scale: float = 1.0  # of a number
    default: Scalar | None = None


class Retry(Take, forbid_unknown_fields=True, frozen=True):
    """Where a retry is marked: any value, or one of these."""

    equals: list[Scalar] | None = None


class Send(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How requests of a rule are to be sent."""

    method: str | None = None
    path: str | None = None


class Rule(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A class, or what is left out, by what must hold of a row; all that is given must."""

    name: str | None = msgspec.field(default=None, name="class")
    leave_out: str | None = None  # why
    method: str | list[str] | None = None
    path: str | None = None
    query: dict[str, str] = {}
    headers: dict[str, str] = {}
    status: Scalar | list[Scalar] | None = None
    send: Send = Send()


class Mapping(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A mapping file."""

    version: int = 1
    time: Times = Times()
    fields: Names = Names()
    classes: list[Rule] | None = None
    tenant: Take | None = None
    hint_us: Take | None = None
    timeout_ms: Take | None = None
    key: Take | None = None
    retry: Retry | None = None
    size: Take | None = None
    tenants: list[str] | None = None
    only: list[str] | None = None  # classes; others are left out


def read_mapping(path: str | Path) -> Mapping:
    """A mapping file; raises `MappingError`."""
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise MappingError(f"{path}: {error.strerror}") from None
    try:
        return parse_mapping(text)
    except MappingError as error:
        raise MappingError(f"{path}: {error}") from None


def parse_mapping(text: bytes) -> Mapping:
    """A mapping in YAML; raises `MappingError`."""
    try:
        raw = yaml.safe_load(text)
    except (yaml.YAMLError, UnicodeDecodeError, ValueError, RecursionError) as error:
        mark = getattr(error, "problem_mark", None)
        where = f"line {mark.line + 1}, column {mark.column + 1}: " if mark else ""
        raise MappingError(f"{where}not YAML: {getattr(error, 'problem', None) or error}") from None
    try:
        mapping = msgspec.convert({} if raw is None else raw, Mapping)
    except (msgspec.ValidationError, RecursionError) as error:
        raise MappingError(str(error)) from None
    Reader(mapping)  # checks what the types don't
    return mapping


class Reader:
    """Rows to requests, as one mapping says."""

    def __init__(self, mapping: Mapping | None = None) -> None:
        """Raises `MappingError`."""
        self.mapping = mapping = mapping or Mapping()
        if mapping.version != 1:
            raise MappingError(f"version is {mapping.version}; only 1 can be read")
        if mapping.time.unit not in ("s", "ms", "us", "ns"):
            raise MappingError("time.unit is none of s, ms, us, ns")
        try:
            self.zone: tzinfo | None = None if mapping.time.zone is None else zone_of(mapping.time.zone)
        except ValueError as error:
            raise MappingError(f"time.zone: {error}") from None
        if mapping.classes is not None and not mapping.classes:
            raise MappingError("classes is empty")
        self._rules = [_Rule(rule, f"classes[{at}]") for at, rule in enumerate(mapping.classes or [])]
        self._tenant = _taker(mapping.tenant, "tenant", Take(header="Tenant"))
        self._hint = _taker(mapping.hint_us, "hint_us", Take(header="Work-Hint"))
        self._timeout = _taker(mapping.timeout_ms, "timeout_ms", Take(header="Request-Timeout-Ms"))
        self._key = _taker(mapping.key, "key", Take(header="Request-Id"))
        retry = mapping.retry or Retry(header="Client-Retry", equals=["1"])
        self._retry = _taker(retry, "retry", retry)
        self._marks = None if retry.equals is None else {_text(each) for each in retry.equals}
        self._size = _taker(mapping.size, "size", Take(header="Content-Length"))
        self._names: set[str] = set()  # of headers, that can be sent
        self._stated_size = mapping.size is not None
        self._tenants = None if mapping.tenants is None else frozenset(mapping.tenants)
        self._only = None if mapping.only is None else frozenset(mapping.only)

    def request(self, row: Row) -> Request:
        """One row as a request; raises `LeftOut`."""
        if not TOKEN.match(row.method):
            raise LeftOut("bad-method", row.method[:40])
        if not TARGET.match(row.target):
            raise LeftOut("bad-target", row.target[:80])
        if row.status == 101:
            raise LeftOut("upgraded")
        method, target = row.method, row.target
        path, _, query = target.partition("?")
        if self._rules:
            name, send = self._ruled(row, path, query)
            method = send.method or method
            if send.path is not None:
                target = f"{send.path}?{query}" if query else send.path
        else:
            name = _platform_class(row, path)
        if self._only is not None and name not in self._only:
            raise LeftOut("other-class", name[:40])
        tenant = self._tenant(row, path, query)
        if self._tenants is not None and tenant not in self._tenants:
            raise LeftOut("bad-tenant", str(tenant)[:40])
        if tenant is not None and not VALUE.match(tenant):
            raise LeftOut("bad-tenant", tenant[:40])
        mark = self._retry(row, path, query)
        self._check(row.fields)
        body, size = row.body, self._sized(row, method, path, query)
        return Request(
            row.at_ns, name, method, target, tenant, _number(self._hint(row, path, query), "bad-hint"),
            _millis(self._timeout(row, path, query)), self._key(row, path, query),
            mark is not None and (self._marks is None or mark in self._marks),
            row.fields, body, size, row.origin, row.status, row.took_ns,
        )  # fmt: skip

    def _check(self, fields: Fields) -> None:
        """That headers can be sent."""
        names = self._names
        for name, _ in fields:
            if name not in names:
                # A name that begins with a colon is HTTP/2's; it is kept and never sent.
                if not TOKEN.match(name.removeprefix(":")):
                    raise LeftOut("bad-header", name[:40])
                if len(names) < KNOWN:
                    names.add(name)
        values = "".join([value for _, value in fields])
        if not VALUE.match(values):
            bad = next(name for name, value in fields if not VALUE.match(value))
            raise LeftOut("bad-header", bad[:40])
        head = len(values) + sum([len(name) for name, _ in fields])
        if head > MAX_HEAD:
            raise LeftOut("bad-header", f"{head} bytes of headers")

    def _ruled(self, row: Row, path: str, query: str) -> tuple[str, Send]:
        for rule in self._rules:
            if rule.fits(row, path, query):
                if rule.leave_out is not None:
                    raise LeftOut("by-mapping", rule.leave_out)
                return rule.name, rule.send
        raise LeftOut("no-class", f"{row.method} {path[:60]}")

    def _sized(self, row: Row, method: str, path: str, query: str) -> int:
        if row.body is not None:
            size = len(row.body)
        else:
            size = -1 if row.size is None else row.size
            if size < 0 or self._stated_size:
                text = self._size(row, path, query)
                if text is not None:
                    if not _DIGITS.match(text):
                        raise LeftOut("bad-size", text[:40])
                    size = int(text)
            if size < 0:
                if method not in BODILESS:
                    raise LeftOut("no-size", f"{method} {path[:60]}")
                size = 0
        if size > MAX_BODY:
            raise LeftOut("body-too-large", f"{size} bytes")
        return size


class _Rule:
    """A rule, ready to be asked."""

    def __init__(self, rule: Rule, where: str) -> None:
        if (rule.name is None) == (rule.leave_out is None):
            raise MappingError(f"{where} has neither or both of class and leave_out")
        if rule.name is not None and not TOKEN.match(rule.name):
            raise MappingError(f"{where}.class: {rule.name!r} can't stand in a path")
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
        self._statuses = [_statuses(each, f"{where}.status") for each in statuses]

    def fits(self, row: Row, path: str, query: str) -> bool:
        """Whether all that the rule asks for holds."""
        if self._methods is not None and row.method.upper() not in self._methods:
            return False
        if self._path is not None and not self._path.search(path):
            return False
        if self._statuses and not any(
            row.status is not None and low <= row.status <= high for low, high in self._statuses
        ):
            return False
        for name, pattern in self._headers:
            value = row.headers.get(name)
            if value is None or not pattern.search(value):
                return False
        if self._query:
            asked = parse_qs(query, keep_blank_values=True)
            for name, pattern in self._query:
                if not any(pattern.search(value) for value in asked.get(name, ())):
                    return False
        return True


def _taker(take: Take | None, where: str, usual: Take) -> Callable[[Row, str, str], str | None]:
    """A function that takes a value from a row as text; None where it is missing."""
    take = take or usual
    given = [name for name in ("header", "query", "path", "field") if getattr(take, name) is not None]
    if len(given) > 1 or (not given and take.default is None):
        raise MappingError(f"{where} must have one of header, query, path, field, or a default")
    default = None if take.default is None else _text(take.default)
    values = None if take.values is None else {key: _text(value) for key, value in take.values.items()}
    pattern = None if take.pattern is None else _pattern(take.pattern, f"{where}.pattern")
    if not take.scale > 0:
        raise MappingError(f"{where}.scale is not above 0")
    scale = take.scale
    fetch = _fetcher(take, where)
    if values is None and pattern is None and scale == 1 and default is None:
        return fetch

    def taken(row: Row, path: str, query: str) -> str | None:
        value = fetch(row, path, query)
        if value is not None and pattern is not None:
            hit = pattern.search(value)
            value = None if hit is None else _group(hit)
        if value is not None and values is not None:
            value = values.get(value)
        if value is None:
            return default
        return _scaled(value, scale) if scale != 1 else value

    return taken


def _fetcher(take: Take, where: str) -> Callable[[Row, str, str], str | None]:
    if take.header is not None:
        name = take.header.lower()
        return lambda row, path, query: row.headers.get(name)
    if take.query is not None:
        word = take.query

        def asked(row: Row, path: str, query: str) -> str | None:
            values = parse_qs(query, keep_blank_values=True).get(word)
            return values[0] if values else None

        return asked
    if take.path is not None:
        pattern = _pattern(take.path, f"{where}.path")

        def on_path(row: Row, path: str, query: str) -> str | None:
            hit = pattern.search(path)
            return None if hit is None else _group(hit)

        return on_path
    if take.field is not None:
        field = take.field

        def named(row: Row, path: str, query: str) -> str | None:
            value = row.named.get(field) if field.startswith("%") else found(row.named, field)
            return None if value is None or isinstance(value, dict | list) else _text(value)

        return named
    return lambda row, path, query: None


def _group(hit: re.Match[str]) -> str | None:
    return hit[1] if hit.re.groups else hit[0]


def _pattern(text: str, where: str) -> re.Pattern[str]:
    try:
        return re.compile(text)
    except re.error as error:
        raise MappingError(f"{where}: {text!r} is no regular expression: {error}") from None


def _statuses(value: Scalar, where: str) -> tuple[int, int]:
    hit = _STATUS.match(str(value))
    if hit is None:
        raise MappingError(f"{where}: {value!r} is no status, such as 404, 2xx or 200-299")
    if hit[1]:
        return int(hit[1]) * 100, int(hit[1]) * 100 + 99
    return int(hit[2]), int(hit[3] or hit[2])


def _text(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def _scaled(text: str, scale: float) -> str:
    """A number times a scale; what is no number stays as it is, to be found out later."""
    if not _NUMBER.match(text):
        return text
    value = float(text) * scale
    return str(int(value)) if value == int(value) else format(value, ".9f").rstrip("0").rstrip(".")


def _number(text: str | None, reason: str) -> int | float | None:
    if text is None:
        return None
    if not _NUMBER.match(text):
        raise LeftOut(reason, text[:40])
    return float(text) if "." in text else int(text)


def _millis(text: str | None) -> int | None:
    if text is None:
        return None
    if not _DIGITS.match(text) or not int(text):
        raise LeftOut("bad-timeout", text[:40])
    return int(text)


def _platform_class(row: Row, path: str) -> str:
    """The class as the platform's requests name it: in the path's first part, and in a header."""
    named = path[1:].split("/", 1)[0]
    stated = row.headers.get("request-class")
    if named == "ready" and row.method == "GET" and stated is None:
        raise LeftOut("ready")
    if not named or not TOKEN.match(named):
        raise LeftOut("no-class", path[:60])
    if stated is not None and stated != named:
        raise LeftOut("class-differs", f"{stated[:40]} and {named[:40]}")
    return named

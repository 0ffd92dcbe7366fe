"""Section `rewrites` of the operator file: rewrite rules for request and response headers."""

from __future__ import annotations

from dataclasses import dataclass

from brambleusher.net.header_forwarding import PROTECTED
from brambleusher.net.http import HOP_BY_HOP, is_token, is_value
from brambleusher.operator_settings.section import OperatorFileError, Section

MAX_RULES, MAX_VALUE_CHARS = 256, 4096
# Headers that the sidecar sets itself for each connection.
FRAMING = HOP_BY_HOP | {"content-length", "host", "expect"}
DIRECTIONS = ("in", "out")
ACTIONS = ("add", "drop", "rename")


@dataclass(frozen=True, slots=True)
class RewriteRule:
    """A rule that adds a header `name` with `value`, drops it, or renames it to `value`."""

    direction: str
    action: str
    name: str
    value: str = ""
    path_prefix: str | None = None
    request_class: str | None = None


def _parse_header_name(value: object, path: str) -> str:
    """Return a header name after checking that rules may change the header."""
    if not isinstance(value, str) or not is_token(value):
        raise OperatorFileError(f"{path} is not the name of a header")
    if value.lower() in PROTECTED:
        raise OperatorFileError(f"{path}: {value} is protected")
    if value.lower() in FRAMING:
        raise OperatorFileError(f"{path}: {value} belongs to the connection")
    return value


def _parse_pair(value: object, path: str) -> tuple[object, object]:
    if not isinstance(value, dict) or len(value) != 1:
        raise OperatorFileError(f"{path} is not one pair of name: value")
    return next(iter(value.items()))


def _parse_rule(raw: object, path: str) -> RewriteRule:
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
        return RewriteRule(direction, action, _parse_header_name(given, where), "", prefix, request_class)
    name, value = _parse_pair(given, where)
    name = _parse_header_name(name, where)
    if action == "rename":
        return RewriteRule(direction, action, name, _parse_header_name(value, where), prefix, request_class)
    if not isinstance(value, str) or not is_value(value) or len(value) > MAX_VALUE_CHARS:
        # A line break in the value could inject a header or a whole request.
        raise OperatorFileError(f"{where}.{name} is not a text that fits in a header (numbers need quotes)")
    return RewriteRule(direction, action, name, value.strip(" \t"), prefix, request_class)


def parse_rewrite_rules(raw: object) -> tuple[RewriteRule, ...]:
    """Parse the section `rewrites`.

    Raises:
        OperatorFileError: A rule is invalid; the message gives its position.
    """
    if raw is None:
        return ()
    if not isinstance(raw, list) or len(raw) > MAX_RULES:
        raise OperatorFileError(f"rewrites is not a list of at most {MAX_RULES} rules")
    return tuple(_parse_rule(rule, f"rewrites[{index}]") for index, rule in enumerate(raw))

"""Rewrite the header fields forwarded to endpoints and clients by the operator's rules, without I/O.

Hop-by-hop fields are removed first, then the rules are applied in file order, and the sidecar's own
`Forwarded` field is added last.  A rule can therefore drop received `Forwarded` fields, but not the
sidecar's own.
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Iterable
from dataclasses import replace

from brambleusher.net.header_forwarding import end_to_end
from brambleusher.net.http import HeaderField, Message
from brambleusher.operator_settings.rewrite_rules import RewriteRule

# Matches a list with balanced quotes; in any other list, an appended value could become part of a quote.
_QUOTES_CLOSED = re.compile(r'(?:[^"]|"(?:[^"\\]|\\.)*")*\Z')


def forwarded_for(client: str) -> str:
    """Return a `for=` parameter (RFC 7239) for an address; IPv6 addresses get brackets and quotes."""
    address = ipaddress.ip_address(client.partition("%")[0])
    is_ipv4 = isinstance(address, ipaddress.IPv4Address)
    return f"for={address}" if is_ipv4 else f'for="[{address}]"'


def append_forwarded(fields: list[HeaderField], client: str) -> list[HeaderField]:
    """Merge all `Forwarded` fields into one, and append the client's address to it."""
    received = [value for name, value in fields if name.lower() == "forwarded"]
    chain = [value for value in received if value and _QUOTES_CLOSED.match(value)]
    others = [field for field in fields if field[0].lower() != "forwarded"]
    return [*others, ("Forwarded", ", ".join([*chain, forwarded_for(client)]))]


def apply_rule(rule: RewriteRule, fields: list[HeaderField]) -> list[HeaderField]:
    """Apply one rule to header fields; names are compared case-insensitively."""
    name = rule.name.lower()
    if rule.action == "add":
        return [*fields, (rule.name, rule.value)]
    if rule.action == "drop":
        return [field for field in fields if field[0].lower() != name]
    if all(field[0].lower() != name for field in fields):
        return fields
    # A renamed field replaces existing fields with the new name.
    return [
        (rule.value, value) if field_name.lower() == name else (field_name, value)
        for field_name, value in fields
        if field_name.lower() == name or field_name.lower() != rule.value.lower()
    ]


class RuleRewriter:
    """Applies the header rewrite rules of one sidecar."""

    def __init__(self, rules: Iterable[RewriteRule]) -> None:
        self._rules: dict[str, list[RewriteRule]] = {"in": [], "out": []}
        for rule in rules:
            self._rules[rule.direction].append(rule)

    @property
    def classes(self) -> set[str]:
        """The request classes that the rules are limited to."""
        names = [rule.request_class for rules in self._rules.values() for rule in rules]
        return {name for name in names if name is not None}

    def rewrite_request(self, request: Message, path: str, request_class: str, client: str) -> Message:
        """Return a request with the header fields that are forwarded to the endpoint."""
        fields = self._apply("in", end_to_end(request), path, request_class)
        return replace(request, forwarded_fields=append_forwarded(fields, client))

    def rewrite_response(self, fields: list[HeaderField], path: str, request_class: str) -> list[HeaderField]:
        """Return the header fields of a response as they are forwarded to the client."""
        return self._apply("out", fields, path, request_class)

    def _apply(
        self, direction: str, fields: list[HeaderField], path: str, request_class: str
    ) -> list[HeaderField]:
        for rule in self._rules[direction]:
            if rule.request_class not in (None, request_class):
                continue
            if rule.path_prefix is None or path.startswith(rule.path_prefix):
                fields = apply_rule(rule, fields)
        return fields

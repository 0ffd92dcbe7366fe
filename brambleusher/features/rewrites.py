"""Header rewrites: fields forwarded to endpoints and to clients, changed by the operator's rules.

No sockets here.  Hop-by-hop fields go first, then the rules act in file order, and `Forwarded` is
written last, so that a rule can drop what came of it but not what this sidecar says.
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Iterable
from dataclasses import replace

from brambleusher.net.header_forwarding import end_to_end
from brambleusher.net.http import HeaderField, Message
from brambleusher.operator_settings.rewrite_rules import RewriteRule

# A list whose quotes are balanced; in any other, what is appended could land inside a quote.
_QUOTES_CLOSED = re.compile(r'(?:[^"]|"(?:[^"\\]|\\.)*")*\Z')


def forwarded_for(client: str) -> str:
    """Write a `for=` parameter (RFC 7239): IPv6 in brackets and quotes."""
    address = ipaddress.ip_address(client.partition("%")[0])
    is_ipv4 = isinstance(address, ipaddress.IPv4Address)
    return f"for={address}" if is_ipv4 else f'for="[{address}]"'


def forward(fields: list[HeaderField], client: str) -> list[HeaderField]:
    """Add the client's address to what `Forwarded` already has."""
    came = [value for name, value in fields if name.lower() == "forwarded"]
    chain = [value for value in came if value and _QUOTES_CLOSED.match(value)]
    kept = [field for field in fields if field[0].lower() != "forwarded"]
    return [*kept, ("Forwarded", ", ".join([*chain, forwarded_for(client)]))]


def apply(rule: RewriteRule, fields: list[HeaderField]) -> list[HeaderField]:
    """Apply one rule; names compare without regard to case."""
    name = rule.name.lower()
    if rule.action == "add":
        return [*fields, (rule.name, rule.value)]
    if rule.action == "drop":
        return [field for field in fields if field[0].lower() != name]
    if all(field[0].lower() != name for field in fields):
        return fields
    # Renamed onto a header that is there, it replaces that one.
    return [
        (rule.value, value) if given.lower() == name else (given, value)
        for given, value in fields
        if given.lower() == name or given.lower() != rule.value.lower()
    ]


class Rewrites:
    """The rules of one sidecar."""

    def __init__(self, rules: Iterable[RewriteRule]) -> None:
        self._rules: dict[str, list[RewriteRule]] = {"in": [], "out": []}
        for rule in rules:
            self._rules[rule.direction].append(rule)

    @property
    def classes(self) -> set[str]:
        """The classes that rules name."""
        every = [rule.request_class for rules in self._rules.values() for rule in rules]
        return {name for name in every if name is not None}

    def rewrite_request(self, request: Message, path: str, request_class: str, client: str) -> Message:
        """Rewrite a request as the endpoint is to get it."""
        fields = self._apply("in", end_to_end(request), path, request_class)
        return replace(request, forwarded_fields=forward(fields, client))

    def rewrite_response(self, fields: list[HeaderField], path: str, request_class: str) -> list[HeaderField]:
        """Rewrite the fields of a response as the client is to get them."""
        return self._apply("out", fields, path, request_class)

    def _apply(
        self, direction: str, fields: list[HeaderField], path: str, request_class: str
    ) -> list[HeaderField]:
        for rule in self._rules[direction]:
            if rule.request_class not in (None, request_class):
                continue
            if rule.path_prefix is None or path.startswith(rule.path_prefix):
                fields = apply(rule, fields)
        return fields

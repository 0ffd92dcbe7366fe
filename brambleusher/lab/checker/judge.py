"""Validation of client requests by the checker's own implementation of the protocol."""

from __future__ import annotations

from brambleusher.lab.checker.messages import Message
from brambleusher.lab.checker.rules import SAFE, Rules

READY = "it asks whether clients may come"  # reason for a readiness probe, which is no application request


def request_class(message: Message) -> str:
    """Return the first segment of a request's path, which names its class."""
    parts = message.start.split(" ")
    return parts[1].partition("?")[0].lstrip("/").partition("/")[0] if len(parts) > 1 else ""


def find_request_fault(message: Message, rules: Rules) -> str | None:
    """Return why a complete request can't be served; None for a valid request."""
    parts = message.start.split(" ")
    if len(parts) != 3 or parts[2] not in ("HTTP/1.1", "HTTP/1.0") or not parts[1].startswith("/"):
        return "its first line can't be read"
    if parts[0] == "GET" and parts[1].partition("?")[0] == "/ready":
        return READY
    cls = request_class(message)
    if cls not in rules.effects:
        return "its class does not exist"
    if message.get("request-class") != cls:
        return "its class is not its path's"
    if parts[0] != ("GET" if rules.effects[cls] == SAFE else "POST"):
        return "its method is not its class's"
    name = message.get("request-id") or ""
    if not 0 < len(name) <= 128 or not all("!" <= letter <= "~" for letter in name):
        return "its id can't be read"
    wait = message.get("request-timeout-ms") or ""
    if not (wait.isascii() and wait.isdigit()) or len(wait) > 9 or int(wait) == 0:
        return "its deadline is no number"
    if rules.tenants and message.get("tenant") not in rules.tenants:
        return "its tenant does not exist"
    hint = message.get("work-hint")
    if hint is not None and not hint.replace(".", "", 1).isdigit():
        return "its hint is no number"
    if len(message.body) > rules.max_body:
        return "its body is too large"
    return None

"""Render the status page as HTML and JSON; texts from outside are escaped."""

from __future__ import annotations

import html
from collections.abc import Iterable, Mapping, Sequence
from typing import NotRequired, TypedDict

import orjson

_STYLE = (
    "body{font-family:sans-serif}table{border-collapse:collapse}td,th{border:1px solid;padding:.2em .5em}"
)


class ServerError(TypedDict):
    """One failed attempt on a server; `t_ms` is the time since the sidecar's start, in milliseconds."""

    t_ms: int
    error: str


class ServerStatus(TypedDict):
    """The status of one server, as shown on the page."""

    id: str
    addr: str
    state: str
    errors: list[ServerError]


class ZonesStatus(TypedDict):
    """The status of the zones, shown only if there are zone rules."""

    zones: list[dict[str, object]]
    panic: object
    beyond: object  # the fraction of the demand that exceeds the limits of all zones


class StatusSnapshot(TypedDict):
    """The content of the status page, except for the servers."""

    zones: NotRequired[ZonesStatus]
    version: str
    uptime_s: int
    inflight: dict[str, int]  # the number of requests in flight, by request class
    answers_per_minute: dict[str, int]  # the number of responses in the last minute, by request class


def render_server(server: ServerStatus) -> tuple[bytes, bytes]:
    """Render a server as an HTML table row and as JSON."""
    errors = ", ".join(f"{error['error']} at {error['t_ms']} ms" for error in server["errors"])
    row = _row([server["id"], server["addr"], server["state"], errors])
    return row.encode() + b"\n", orjson.dumps(server)


def render_page(snapshot: StatusSnapshot, server_rows: Iterable[bytes]) -> list[bytes]:
    """Render a snapshot and the given server rows as HTML, and return the page as chunks."""
    before = [
        f'<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8"><title>brambleusher</title>'
        f"<style>{_STYLE}</style></head><body>",
        f"<h1>brambleusher {html.escape(snapshot['version'])}</h1><p>up for {snapshot['uptime_s']} s</p>",
        "<h2>Servers</h2><table>", _row(["id", "addr", "state", "last errors"], "th"),
    ]  # fmt: skip
    after = [
        "</table><h2>Requests</h2><table>", _row(["class", "inflight", "answers per minute"], "th"),
        *_class_rows(snapshot), "</table>", *_zone_lines(snapshot.get("zones")), "</body></html>\n",
    ]  # fmt: skip
    return ["\n".join(before).encode() + b"\n", *server_rows, "\n".join(after).encode()]


def _class_rows(snapshot: StatusSnapshot) -> list[str]:
    answers = snapshot["answers_per_minute"]
    return [_row([name, inflight, answers[name]]) for name, inflight in snapshot["inflight"].items()]


def _zone_lines(status: ZonesStatus | None) -> list[str]:
    if status is None:
        return []
    zones: Sequence[Mapping[str, object]] = status["zones"]
    names = list(zones[0]) if zones else []
    return [
        f"<h2>Zones</h2><p>panic: {status['panic']}, fits nowhere: {status['beyond']}</p><table>",
        _row(names, "th"), *(_row(list(zone.values())) for zone in zones), "</table>",
    ]  # fmt: skip


def _row(cells: Sequence[object], tag: str = "td") -> str:
    return "<tr>" + "".join(f"<{tag}>{html.escape(str(cell))}</{tag}>" for cell in cells) + "</tr>"

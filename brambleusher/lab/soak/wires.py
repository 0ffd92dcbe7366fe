"""The protocols between the clients of a soak and the two programs, gateways and sidecars."""

from __future__ import annotations

from typing import Protocol

import h11

from brambleusher.lab.soak.records import RequestKind, RequestRecord

HOST = "soak.example"
DEADLINE_S = 4.0  # the deadline of every request
MS_PER_S = 1000
BODY = b"x" * 200
READ_CLASS, NOTICE_CLASS = "read", "notice"


def revision_path(revision: int) -> str:
    """Return the path prefix of the route that exists from a revision on."""
    return f"/revision-{revision}/"


class Wire(Protocol):
    """The protocol between clients and one of the programs."""

    kinds: tuple[RequestKind, ...]

    def head(self, record: RequestRecord) -> h11.Request:
        """Return the head of a request."""

    def body(self, record: RequestRecord) -> bytes:
        """Return the body of a request."""

    def answered_attempt(self, record: RequestRecord, headers: dict[bytes, bytes]) -> str:
        """Return the id of the request to which a response belongs."""


class GatewayWire:
    """The protocol between clients and a gateway."""

    kinds: tuple[RequestKind, ...] = tuple(RequestKind)

    def head(self, record: RequestRecord) -> h11.Request:
        """Return the head of a request."""
        fields = [
            ("Host", HOST),
            ("X-Attempt-Id", record.attempt),
            ("X-Kind", record.kind.value),
            ("X-Deadline-Remaining", str(int(DEADLINE_S * MS_PER_S))),
            ("Content-Length", str(len(BODY))),
        ]
        path = revision_path(record.route_revision) if record.route_revision else f"/{record.kind.value}/"
        return h11.Request(method="POST", target=f"{path}x", headers=fields)

    def body(self, _record: RequestRecord) -> bytes:
        """Return the body of a request."""
        return BODY

    def answered_attempt(self, _record: RequestRecord, headers: dict[bytes, bytes]) -> str:
        """Return the request id that a response names, or "" if it names none."""
        return headers.get(b"x-attempt-id", b"").decode()


class SidecarWire:
    """The protocol between clients and a sidecar; responses carry the request id only in their bodies."""

    kinds: tuple[RequestKind, ...] = (RequestKind.READ, RequestKind.NOTICE, RequestKind.PIECES)

    def head(self, record: RequestRecord) -> h11.Request:
        """Return the head of a request."""
        request_class = NOTICE_CLASS if record.kind.runs_once else READ_CLASS
        fields = [
            ("Host", HOST),
            ("Request-Id", record.attempt),
            ("Request-Class", request_class),
            ("Request-Timeout-Ms", str(int(DEADLINE_S * MS_PER_S))),
        ]
        if record.kind.runs_once:
            fields.append(("Content-Length", str(len(BODY))))
        method = "POST" if record.kind.runs_once else "GET"
        return h11.Request(method=method, target=f"/{request_class}?{record.kind.value}", headers=fields)

    def body(self, record: RequestRecord) -> bytes:
        """Return the body of a request."""
        return BODY if record.kind.runs_once else b""

    def answered_attempt(self, record: RequestRecord, _headers: dict[bytes, bytes]) -> str:
        """Return the id of the request itself, since only the body identifies the request."""
        return record.attempt

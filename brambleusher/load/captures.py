"""The sidecar's own captures: the requests that its decision module was told of.

A capture has what the module needed: class, tenant, hint, retry, and the time left.  It has no path's
rest, no headers and no body.  The form is the one that docs/features.md describes, version 1.
"""

from __future__ import annotations

from typing import Any

import msgspec

from brambleusher.load.request import LeftOut, Row

VERSION = 1


class CaptureError(ValueError):
    """A header that can't be used."""


class Captures:
    """Records to rows; the header before them says which classes are safe to repeat."""

    def __init__(self) -> None:
        self._decode = msgspec.json.Decoder().decode
        self._safe: dict[str, bool] | None = None

    def row(self, number: int, line: bytes) -> Row | None:
        """One line; None for one that is no request.  Raises `LeftOut`, `CaptureError`."""
        if not line.startswith(b"{"):  # the sidecar's log and its figures go the same way as a dump
            return None
        try:
            record: Any = self._decode(line)
        except (msgspec.DecodeError, RecursionError, ValueError) as error:
            raise LeftOut("unreadable", str(error)) from None
        kind = record.get("ev")
        if kind == "start":
            self._begin(record)
            return None
        if kind != "request":
            return None
        if self._safe is None:
            raise CaptureError("records come before any header")
        told, name = record.get("in"), record.get("class")
        if not isinstance(told, dict) or not isinstance(name, str):
            raise LeftOut("unreadable", "a request without its class or what was told of it")
        if name not in self._safe:
            raise LeftOut("no-class", f"the header does not have {name[:40]}")
        at_ns, left_ns, hint_ns = record.get("t_ns"), told.get("left_ns"), told.get("work_hint_ns")
        if type(at_ns) is not int or at_ns < 0:
            raise LeftOut("no-time")
        if type(left_ns) is not int or left_ns <= 0:
            raise LeftOut("bad-timeout")
        fields = [
            ("Request-Id", str(record.get("id"))), ("Request-Class", name),
            ("Request-Timeout-Ms", str(-(-left_ns // 1_000_000))),
        ]  # fmt: skip
        if isinstance(record.get("tenant"), str):
            fields.append(("Tenant", record["tenant"]))
        if type(hint_ns) is int:
            micros, rest = divmod(hint_ns, 1000)
            fields.append(("Work-Hint", f"{micros}.{rest:03d}" if rest else str(micros)))
        if told.get("is_retry") is True:
            fields.append(("Client-Retry", "1"))
        headers = {field.lower(): value for field, value in fields}
        method = "GET" if self._safe[name] else "POST"
        return Row(number, at_ns, False, method, f"/{name}", headers, tuple(fields), named=record)

    def _begin(self, record: dict[str, Any]) -> None:
        if record.get("v") != VERSION:
            raise CaptureError(f"the header's v is {str(record.get('v'))[:20]}; only {VERSION} can be read")
        try:
            self._safe = {each["name"]: each["effect"] == "safe" for each in record["settings"]["classes"]}
        except (KeyError, TypeError):
            raise CaptureError("the header has no settings with classes") from None

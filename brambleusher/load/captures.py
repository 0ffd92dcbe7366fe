"""Read the sidecar's captures, which record the requests passed to its decision module.

A capture records the inputs of the module: class, tenant, work hint, retry flag and remaining time.  It
records no path below the class, no headers and no body.  docs/features.md describes version 1 of the format.
"""

from __future__ import annotations

from typing import Any

import msgspec

from brambleusher.load.request import RejectedRow, Row

VERSION = 1


class CaptureError(ValueError):
    """The header of a capture is missing or invalid."""


class Captures:
    """Converts records to rows; the preceding header says which classes are safe to repeat."""

    def __init__(self) -> None:
        self._decode = msgspec.json.Decoder().decode
        self._safe_classes: dict[str, bool] | None = None

    def row(self, number: int, line: bytes) -> Row | None:
        """Convert a line to a row, or to None if it is no request; raises `RejectedRow`, `CaptureError`."""
        if not line.startswith(b"{"):  # log lines and metrics share the output stream of a capture
            return None
        try:
            record: Any = self._decode(line)
        except (msgspec.DecodeError, RecursionError, ValueError) as error:
            raise RejectedRow("unreadable", str(error)) from None
        kind = record.get("ev")
        if kind == "start":
            self._begin(record)
            return None
        if kind != "request":
            return None
        if self._safe_classes is None:
            raise CaptureError("records come before any header")
        inputs, name = record.get("in"), record.get("class")
        if not isinstance(inputs, dict) or not isinstance(name, str):
            raise RejectedRow("unreadable", "a request record without 'class' or 'in'")
        if name not in self._safe_classes:
            raise RejectedRow("no-class", f"the header does not define class {name[:40]}")
        at_ns, remaining_ns, hint_ns = record.get("t_ns"), inputs.get("left_ns"), inputs.get("work_hint_ns")
        if type(at_ns) is not int or at_ns < 0:
            raise RejectedRow("no-time")
        if type(remaining_ns) is not int or remaining_ns <= 0:
            raise RejectedRow("bad-timeout")
        fields = [
            ("Request-Id", str(record.get("id"))), ("Request-Class", name),
            ("Request-Timeout-Ms", str(-(-remaining_ns // 1_000_000))),
        ]  # fmt: skip
        if isinstance(record.get("tenant"), str):
            fields.append(("Tenant", record["tenant"]))
        if type(hint_ns) is int:
            micros, nanos = divmod(hint_ns, 1000)
            fields.append(("Work-Hint", f"{micros}.{nanos:03d}" if nanos else str(micros)))
        if inputs.get("is_retry") is True:
            fields.append(("Client-Retry", "1"))
        headers = {field.lower(): value for field, value in fields}
        method = "GET" if self._safe_classes[name] else "POST"
        return Row(number, at_ns, False, method, f"/{name}", headers, tuple(fields), extra_values=record)

    def _begin(self, record: dict[str, Any]) -> None:
        if record.get("v") != VERSION:
            raise CaptureError(f"the header's v is {str(record.get('v'))[:20]}; only {VERSION} can be read")
        try:
            self._safe_classes = {
                each["name"]: each["effect"] == "safe" for each in record["settings"]["classes"]
            }
        except (KeyError, TypeError):
            raise CaptureError("the header has no settings with classes") from None

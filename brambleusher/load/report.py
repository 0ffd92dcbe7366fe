"""Count the rows of the sources, the rejected rows by reason, and notes on accepted rows."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from brambleusher.load.request import REASONS

MAX_LISTED_POSITIONS = 5  # number of positions listed per reason


@dataclass
class RejectionCount:
    """Rows rejected for one reason."""

    count: int = 0
    first: list[str] = field(default_factory=list)


@dataclass
class Report:
    """Counts of a build."""

    rows: int = 0
    requests: int = 0
    left_out: dict[str, RejectionCount] = field(default_factory=dict)
    notes: dict[str, int] = field(default_factory=dict)

    def reject(self, reason: str, position: str, detail: str = "") -> None:
        """Count a rejected row."""
        assert reason in REASONS, reason
        left = self.left_out.setdefault(reason, RejectionCount())
        left.count += 1
        if len(left.first) < MAX_LISTED_POSITIONS:
            left.first.append(f"{position}: {detail}" if detail else position)

    def note(self, name: str, count: int = 1) -> None:
        """Count a note on an accepted row."""
        self.notes[name] = self.notes.get(name, 0) + count

    def plain(self) -> dict[str, Any]:
        """Return the report as JSON values."""
        return {
            "rows": self.rows,
            "requests": self.requests,
            "left_out": {
                name: {"count": left.count, "first": left.first}
                for name, left in sorted(self.left_out.items())
            },
            "notes": dict(sorted(self.notes.items())),
        }


NOTES: dict[str, str] = {
    "whole-seconds": "times in whole seconds",
    "reordered": "reordered within the window",
    "window-full": "times the window was full and released its earliest row",
    "leap-second": "in a leap second, treated as the first instant of the next minute",
    "redirect": "answered by a redirect; the request is kept",
    "body-not-known": "with a body of which only the size is known",
}


def format_report(plain: dict[str, Any]) -> list[str]:
    """Format a report as lines of text."""
    lines = [f"{plain.get('rows', 0):,} rows, {plain.get('requests', 0):,} requests"]
    for name, left in plain.get("left_out", {}).items():
        lines.append(f"left out, {name}: {left['count']:,} ({REASONS.get(name, 'an older reason')})")
        lines += [f"    {position}" for position in left["first"]]
    for name, count in plain.get("notes", {}).items():
        lines.append(f"noted, {name}: {count:,} ({NOTES.get(name, 'an older note')})")
    return lines

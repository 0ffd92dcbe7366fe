"""What became of the rows of the sources: how many, what was left out and why, what was noted."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from brambleusher.load.request import REASONS

FIRST = 5  # places named for each reason


@dataclass
class Left:
    """Rows left out for one reason."""

    count: int = 0
    first: list[str] = field(default_factory=list)


@dataclass
class Report:
    """The tally of a build."""

    rows: int = 0
    requests: int = 0
    left_out: dict[str, Left] = field(default_factory=dict)
    notes: dict[str, int] = field(default_factory=dict)

    def leave(self, reason: str, place: str, detail: str = "") -> None:
        """One row more that is left out."""
        assert reason in REASONS, reason
        left = self.left_out.setdefault(reason, Left())
        left.count += 1
        if len(left.first) < FIRST:
            left.first.append(f"{place}: {detail}" if detail else place)

    def note(self, what: str, count: int = 1) -> None:
        """Something that leaves the row in."""
        self.notes[what] = self.notes.get(what, 0) + count

    def plain(self) -> dict[str, Any]:
        """As JSON values."""
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
    "reordered": "put in order within the window",
    "window-full": "times the window held all it may, and let its earliest go",
    "leap-second": "in a leap second, counted as the first instant of the next minute",
    "redirect": "answered by a redirect; each request was sent, and stays",
    "body-not-known": "with a body of which only the size is known",
}


def texts(plain: dict[str, Any]) -> list[str]:
    """A report as lines."""
    lines = [f"{plain.get('rows', 0):,} rows, {plain.get('requests', 0):,} requests"]
    for name, left in plain.get("left_out", {}).items():
        lines.append(f"left out, {name}: {left['count']:,} ({REASONS.get(name, 'an older reason')})")
        lines += [f"    {place}" for place in left["first"]]
    for name, count in plain.get("notes", {}).items():
        lines.append(f"noted, {name}: {count:,} ({NOTES.get(name, 'an older note')})")
    return lines

"""Sources to a demand file: read, mapped, put in order, spread, written; memory is bounded throughout."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from brambleusher.load.demand import DemandWriter
from brambleusher.load.opening import Progress
from brambleusher.load.ordering import Timed, Window, merged, spread
from brambleusher.load.report import Report
from brambleusher.load.sources import How, form_of, requests
from brambleusher.load.times import SECOND

MOST_HELD = 40_000  # requests in all windows


@dataclass(frozen=True)
class Plan:
    """A build."""

    sources: Sequence[Path]
    how: How = field(default_factory=How)
    window_ns: int = 5 * SECOND
    spread: str = "none"
    seed: int = 1
    processes: int = 1

    def made(self, forms: Sequence[str]) -> dict[str, Any]:
        """What the demand file says of itself."""
        return {
            "by": "build",
            "sources": [
                {"name": path.name, "form": form} for path, form in zip(self.sources, forms, strict=True)
            ],
            "mapping": msgspec.to_builtins(self.how.mapping),
            "log_format": self.how.log_format,
            "window_s": self.window_ns / SECOND,
            "spread": self.spread,
            "seed": self.seed,
        }


def build(plan: Plan, out: Path, progress: Progress | None = None) -> Report:
    """Write the demand file; raises `SourceError`, and then leaves no file."""
    report = Report()
    forms = [plan.how.form or form_of(path) for path in plan.sources]
    most = max(1000, MOST_HELD // max(1, len(plan.sources)))
    streams = [
        _ordered(_stream(plan, path, form, report, progress), Window(plan.window_ns, most), report)
        for path, form in zip(plan.sources, forms, strict=True)
    ]
    with DemandWriter(out, plan.made(forms)) as writer:
        for request in spread(merged(streams), plan.spread, plan.seed):
            writer.add(request)
            report.requests += 1
        writer.close(report.plain())
    return report


def _stream(plan: Plan, path: Path, form: str, report: Report, progress: Progress | None) -> Iterator[Timed]:
    if plan.processes > 1 and form in ("access", "json"):
        from brambleusher.load.parallel import requests as shared_out

        return shared_out(path, form, plan.how, report, plan.processes, progress)
    return requests(path, form, plan.how, report, progress)


def _ordered(stream: Iterator[Timed], window: Window, report: Report) -> Iterator[Timed]:
    for timed in stream:
        yield from window.add(timed)
        if window.late:
            for late in window.late:
                report.leave("out-of-order", late.place)
            window.late.clear()
    yield from window.end()
    if window.reordered:
        report.note("reordered", window.reordered)
    if window.full:
        report.note("window-full", window.full)

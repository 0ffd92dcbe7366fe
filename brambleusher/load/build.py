"""Build a demand file: read, map and sort the rows of sources, and spread their times, in bounded memory."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from brambleusher.load.demand import DemandWriter
from brambleusher.load.opening import Progress
from brambleusher.load.ordering import Timed, Window, merge, spread
from brambleusher.load.report import Report
from brambleusher.load.sources import ReadOptions, detect_format, requests
from brambleusher.load.times import SECOND

MAX_WINDOW_ROWS = 40_000  # limit over the windows of all sources, to bound memory
MIN_WINDOW_ROWS = 1000  # lower limit for the window of one source


@dataclass(frozen=True)
class Plan:
    """Sources and options of a build."""

    sources: Sequence[Path]
    options: ReadOptions = field(default_factory=ReadOptions)
    window_ns: int = 5 * SECOND
    spread: str = "none"
    seed: int = 1
    processes: int = 1

    def provenance(self, forms: Sequence[str]) -> dict[str, object]:
        """Describe the build, for the header of the demand file."""
        return {
            "by": "build",
            "sources": [
                {"name": path.name, "form": form} for path, form in zip(self.sources, forms, strict=True)
            ],
            "mapping": msgspec.to_builtins(self.options.mapping),
            "log_format": self.options.log_format,
            "window_s": self.window_ns / SECOND,
            "spread": self.spread,
            "seed": self.seed,
        }


def build(plan: Plan, out: Path, progress: Progress | None = None) -> Report:
    """Write the demand file.

    Raises:
        SourceError: a source is invalid; no file is written then.
    """
    report = Report()
    forms = [plan.options.form or detect_format(path) for path in plan.sources]
    max_rows = max(MIN_WINDOW_ROWS, MAX_WINDOW_ROWS // max(1, len(plan.sources)))
    streams = [
        _sort(_read(plan, path, form, report, progress), Window(plan.window_ns, max_rows), report)
        for path, form in zip(plan.sources, forms, strict=True)
    ]
    with DemandWriter(out, plan.provenance(forms)) as writer:
        for request in spread(merge(streams), plan.spread, plan.seed):
            writer.add(request)
            report.requests += 1
        writer.close(report.plain())
    return report


def _read(plan: Plan, path: Path, form: str, report: Report, progress: Progress | None) -> Iterator[Timed]:
    """Read the requests of a source, with several processes if requested and supported by the format."""
    if plan.processes > 1 and form in ("access", "json"):
        from brambleusher.load.parallel import requests as parallel_requests

        return parallel_requests(path, form, plan.options, report, plan.processes, progress)
    return requests(path, form, plan.options, report, progress)


def _sort(stream: Iterator[Timed], window: Window, report: Report) -> Iterator[Timed]:
    """Sort the requests of a source, and report those that were rejected or reordered."""
    for timed in stream:
        yield from window.add(timed)
        if window.late:
            for late in window.late:
                report.reject("out-of-order", late.position)
            window.late.clear()
    yield from window.end()
    if window.reordered:
        report.note("reordered", window.reordered)
    if window.overflowed:
        report.note("window-full", window.overflowed)

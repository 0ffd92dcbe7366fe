"""Summarize a demand file (rate, mix, bursts, tenants) as JSON values, as a table or as a plot."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from itertools import pairwise
from statistics import median
from typing import Any

from brambleusher.load.request import Request
from brambleusher.load.times import SECOND, to_text

MAX_BINS = 4096
# Limits of the classes with bins, and of the classes or tenants with a count.
MAX_BINNED_CLASSES, MAX_COUNTED_NAMES = 100, 10_000
OTHERS = "(others)"
MIN_BURST_RATIO = 2.5  # minimum ratio of a window to the median window that counts as a burst
BLOCKS = " ▁▂▃▄▅▆▇█"


def _bounded(counts: Mapping[str, object], name: str, limit: int = MAX_COUNTED_NAMES) -> str:
    """Return `name`, or `OTHERS` if there are too many names; a mapping may yield any number of tenants."""
    return name if name in counts or len(counts) < limit else OTHERS


class Bins:
    """Counts by class over time; bins are one second wide at first and double when there are too many."""

    def __init__(self, start_ns: int) -> None:
        self.start_ns, self.width_ns = start_ns, SECOND
        self.counts: dict[str, list[int]] = {}

    def add(self, request: Request) -> None:
        """Count a request, which must not be earlier than the start."""
        at = (request.at_ns - self.start_ns) // self.width_ns
        while at >= MAX_BINS:
            self.width_ns *= 2
            self.counts = {name: _halved(row) for name, row in self.counts.items()}
            at //= 2
        row = self.counts.setdefault(_bounded(self.counts, request.request_class, MAX_BINNED_CLASSES), [])
        if len(row) <= at:
            row.extend([0] * (at + 1 - len(row)))
        row[at] += 1

    def totals(self) -> list[int]:
        """Return the counts by bin summed over all classes."""
        length = max(map(len, self.counts.values()), default=0)
        out = [0] * length
        for row in self.counts.values():
            for at, count in enumerate(row):
                out[at] += count
        return out


def _halved(row: list[int]) -> list[int]:
    return [row[at] + (row[at + 1] if at + 1 < len(row) else 0) for at in range(0, len(row), 2)]


class Summary:
    """Statistics of a stream of requests."""

    def __init__(self, requests: Iterable[Request] = ()) -> None:
        self.requests = self.hinted = self.retries = self.body_bytes = self.largest_body = 0
        self.by_class: Counter[str] = Counter()
        self.by_tenant: Counter[str] = Counter()
        self.by_status: Counter[str] = Counter()
        self.first_ns = self.last_ns = 0
        self.bins: Bins | None = None
        for request in requests:
            self.add(request)

    def add(self, request: Request) -> None:
        """Count a request; requests must be added in order."""
        if self.bins is None:
            self.first_ns = request.at_ns
            self.bins = Bins(request.at_ns)
        self.last_ns = request.at_ns
        self.bins.add(request)
        self.requests += 1
        self.by_class[_bounded(self.by_class, request.request_class)] += 1
        self.by_tenant[_bounded(self.by_tenant, request.tenant or "")] += 1
        if request.status is not None:
            self.by_status[f"{request.status // 100}xx"] += 1
        self.hinted += request.hint_us is not None
        self.retries += request.retry
        self.body_bytes += request.size
        self.largest_body = max(self.largest_body, request.size)

    @property
    def span_s(self) -> float:
        """Time from the first to the last request, in seconds."""
        return (self.last_ns - self.first_ns) / SECOND

    def windows(self, seconds: int = 10) -> list[int]:
        """Return request counts in windows of `seconds`, or of the bin width if that is larger."""
        if self.bins is None:
            return []
        totals, width = self.bins.totals(), max(1, seconds * SECOND // self.bins.width_ns)
        return [sum(totals[at : at + width]) for at in range(0, len(totals), width)]

    @property
    def window_s(self) -> float:
        """Width of the windows in seconds."""
        width = self.bins.width_ns / SECOND if self.bins is not None else 1.0
        return max(10.0, width)

    def bursts(self) -> list[dict[str, float]]:
        """Return spans of windows with at least `MIN_BURST_RATIO` times the requests of the median window."""
        windows = self.windows()
        if len(windows) < 4:
            return []
        typical = median(windows)
        if not typical:
            return []
        high = [False, *(count >= MIN_BURST_RATIO * typical for count in windows), False]
        edges = [at for at, (before, now) in enumerate(pairwise(high)) if before != now]
        return [
            {
                "start_s": start * self.window_s,
                "seconds": (end - start) * self.window_s,
                "peak_rate": max(windows[start:end]) / self.window_s,
                "times": max(windows[start:end]) / typical,
            }
            for start, end in zip(edges[::2], edges[1::2], strict=True)
        ]

    def plain(self, report: dict[str, Any] | None = None) -> dict[str, Any]:
        """Return the summary as JSON values; `report` is the build report of the demand file."""
        totals = self.bins.totals() if self.bins is not None else []
        width_s = self.bins.width_ns / SECOND if self.bins is not None else 1.0
        left = (report or {}).get("left_out", {})
        return {
            "requests": self.requests,
            "left_out": {name: each["count"] for name, each in left.items()},
            "by_class": dict(sorted(self.by_class.items())),
            "by_tenant": dict(sorted(self.by_tenant.items())),
            "by_status": dict(sorted(self.by_status.items())),
            "span_s": self.span_s,
            "first": to_text(self.first_ns) if self.requests else None,
            "last": to_text(self.last_ns) if self.requests else None,
            "rate": self.requests / self.span_s if self.span_s else None,
            "peak_rate": max(totals, default=0) / width_s,
            "bursts": self.bursts(),
            "hinted": self.hinted,
            "retries": self.retries,
            "body_bytes": self.body_bytes,
            "largest_body": self.largest_body,
        }

    def texts(self) -> list[str]:
        """Format the summary as lines of text."""
        if not self.requests:
            return ["no requests"]
        plain = self.plain()
        rate = f", {plain['rate']:,.1f} a second" if plain["rate"] else ""
        lines = [
            f"{self.requests:,} requests in {self.span_s:,.1f} s{rate}, "
            f"at most {plain['peak_rate']:,.0f} a second",
            f"{plain['first']} to {plain['last']}",
            f"{self.hinted:,} with a hint, {self.retries:,} retries, bodies of {self.body_bytes:,} bytes",
        ]
        for title, counts in (
            ("class", self.by_class),
            ("tenant", self.by_tenant),
            ("answer", self.by_status),
        ):
            if counts:
                lines += ["", f"{title:<28}{'requests':>12}{'share':>9}"]
                for name, count in counts.most_common(20):
                    lines.append(f"{name or '(none)':<28.28}{count:>12,}{count / self.requests:>9.1%}")
                if len(counts) > 20:
                    lines.append(f"and {len(counts) - 20} more")
        lines += ["", f"requests in windows of {self.window_s:g} s, from 0 to {max(self.windows()):,}"]
        lines += sparkline_rows(self.windows())
        for burst in plain["bursts"]:
            lines.append(
                f"burst at {burst['start_s']:g} s for {burst['seconds']:g} s: "
                f"{burst['peak_rate']:,.0f} a second, "
                f"{burst['times']:.1f} times the median window"
            )
        return lines


def sparkline_rows(values: list[int], width: int = 100) -> list[str]:
    """Draw values as rows of block characters scaled to the maximum."""
    maximum = max(values, default=0) or 1
    text = "".join(BLOCKS[-(-value * (len(BLOCKS) - 1) // maximum)] for value in values)
    return [text[at : at + width] for at in range(0, len(text), width)]


def plot(summary: Summary, path: str, title: str) -> None:
    """Plot requests per second by class over time; the file name extension selects the image format."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=(10, 4), layout="constrained")
    axes = figure.subplots()
    if summary.bins is not None:
        width_s = summary.bins.width_ns / SECOND
        length = len(summary.bins.totals())
        names = sorted(summary.bins.counts)
        rows = [
            [count / width_s for count in summary.bins.counts[name]]
            + [0.0] * (length - len(summary.bins.counts[name]))
            for name in names
        ]
        axes.stackplot([at * width_s for at in range(length)], rows, labels=names, step="post")
        axes.legend(loc="upper right")
    axes.set(title=title, xlabel="seconds from the first request", ylabel="requests a second")
    figure.savefig(path)

"""Collect the results of a replay as counts, HDR histograms and windows, and merge those of processes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

import msgspec
from hdrh.histogram import HdrHistogram

from brambleusher.load.request import Request
from brambleusher.load.times import SECOND

# Outcomes of a request; `unsent` requests were dropped at the player's limit of open requests.
ENDS = ("served", "refused", "failed", "broken", "timed out", "unreachable", "unsent")
# A replay counts as late if the 99th percentile of the player's lateness exceeds this, in nanoseconds.
MAX_P99_LATENESS_NS = 5_000_000
MAX_CLASSES = 100  # limit of classes with a histogram of their own
OTHERS = "(others)"  # name under which further classes are counted together
MAX_RECORDED_US = 3_600_000_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Outcome(NamedTuple):
    """Outcome of one request, with times in nanoseconds since the start of the replay."""

    number: int
    request: Request
    due_ns: int
    begun_ns: int  # start of sending; the delay after `due_ns` is the lateness of the player
    ended_ns: int  # arrival of the last response byte, or time of giving up
    end: str
    status: int  # HTTP status; 0 without a response


def histogram() -> HdrHistogram:
    """Return a histogram for microseconds up to one hour, with three significant digits."""
    return HdrHistogram(1, MAX_RECORDED_US, 3)


def summarize_histogram(hist: HdrHistogram) -> dict[str, float]:
    """Return count, percentiles, maximum and mean of a histogram of microseconds, in milliseconds."""
    if not hist.total_count:
        return {"count": 0}
    percentiles = {f"p{each:g}": hist.get_value_at_percentile(each) / 1000 for each in PERCENTILES}
    return {
        "count": hist.total_count, **percentiles, "max": hist.get_max_value() / 1000,
        "mean": hist.get_mean_value() / 1000,
    }  # fmt: skip


@dataclass
class Results:
    """Results of one process or of all processes; windows are in demand time."""

    window_ns: int = 10 * SECOND
    speed: float = 1.0
    ends: dict[str, dict[str, int]] = field(default_factory=dict)  # counts by class and outcome
    statuses: dict[str, int] = field(default_factory=dict)
    latency: dict[str, HdrHistogram] = field(default_factory=dict)  # histograms of served requests by class
    lateness: HdrHistogram = field(default_factory=histogram)
    # By window and class: the number of requests, then their counts in the order of `ENDS`.
    windows: dict[int, dict[str, list[int]]] = field(default_factory=dict)
    connects: int = 0
    start_ns: int = 0  # start of the replay on the monotonic clock, in nanoseconds

    def add(self, outcome: Outcome) -> None:
        """Record a finished request."""
        name, end = outcome.request.request_class, outcome.end
        if name not in self.ends and len(self.ends) >= MAX_CLASSES:
            name = OTHERS
        ends = self.ends.setdefault(name, {})
        ends[end] = ends.get(end, 0) + 1
        if outcome.status:
            status = str(outcome.status)
            self.statuses[status] = self.statuses.get(status, 0) + 1
        self.lateness.record_value(min(MAX_RECORDED_US, max(0, outcome.begun_ns - outcome.due_ns) // 1000))
        if end == "served":
            hist = self.latency.get(name)
            if hist is None:
                hist = self.latency[name] = histogram()
            hist.record_value(min(MAX_RECORDED_US, max(1, (outcome.ended_ns - outcome.due_ns) // 1000)))
        at = int(outcome.due_ns * self.speed) // self.window_ns
        row = self.windows.setdefault(at, {}).setdefault(name, [0] * (len(ENDS) + 1))
        row[0] += 1
        row[1 + ENDS.index(end)] += 1

    def merge(self, other: Results) -> None:
        """Merge the results of another process."""
        for name, ends in other.ends.items():
            own_ends = self.ends.setdefault(name, {})
            for end, count in ends.items():
                own_ends[end] = own_ends.get(end, 0) + count
        for status, count in other.statuses.items():
            self.statuses[status] = self.statuses.get(status, 0) + count
        for name, hist in other.latency.items():
            if name in self.latency:
                self.latency[name].add(hist)
            else:
                self.latency[name] = hist
        self.lateness.add(other.lateness)
        for at, classes in other.windows.items():
            window = self.windows.setdefault(at, {})
            for name, row in classes.items():
                counts = window.setdefault(name, [0] * len(row))
                window[name] = [a + b for a, b in zip(counts, row, strict=True)]
        self.connects += other.connects
        self.start_ns = self.start_ns or other.start_ns

    def encode(self) -> bytes:
        """Encode the results for transfer to another process."""
        return msgspec.msgpack.encode(
            {
                "window_ns": self.window_ns, "speed": self.speed, "ends": self.ends,
                "statuses": self.statuses,
                "latency": {name: hist.encode() for name, hist in self.latency.items()},
                "lateness": self.lateness.encode(), "windows": self.windows, "connects": self.connects,
                "start_ns": self.start_ns,
            }
        )  # fmt: skip

    @classmethod
    def decode(cls, data: bytes) -> Results:
        """Decode the output of `encode`."""
        raw = msgspec.msgpack.decode(data, strict=False)
        return cls(
            raw["window_ns"], raw["speed"], raw["ends"], raw["statuses"],
            {name: HdrHistogram.decode(hist) for name, hist in raw["latency"].items()},
            HdrHistogram.decode(raw["lateness"]), raw["windows"], raw["connects"],
            raw["start_ns"],
        )  # fmt: skip

    @property
    def sent(self) -> int:
        """Number of finished requests."""
        return sum(sum(ends.values()) for ends in self.ends.values())

    @property
    def late(self) -> bool:
        """Whether the player was late, so that latencies partly measure the player itself."""
        return bool(self.lateness.get_value_at_percentile(99.0) * 1000 > MAX_P99_LATENESS_NS)

    def total(self, end: str) -> int:
        """Return the number of requests with an outcome."""
        return sum(ends.get(end, 0) for ends in self.ends.values())

    def plain(self) -> dict[str, Any]:
        """Return the results as JSON values, with times in milliseconds."""
        everything = histogram()
        for hist in self.latency.values():
            everything.add(hist)
        return {
            "requests": self.sent,
            "ends": {end: self.total(end) for end in ENDS if self.total(end)},
            "by_class": {name: dict(sorted(ends.items())) for name, ends in sorted(self.ends.items())},
            "statuses": dict(sorted(self.statuses.items())),
            "latency_ms": {
                "all": summarize_histogram(everything),
                **{name: summarize_histogram(hist) for name, hist in sorted(self.latency.items())},
            },
            "lateness_ms": summarize_histogram(self.lateness),
            "was_late": self.late,
            "connects": self.connects,
            "window_s": self.window_ns / SECOND,
            "windows": [
                {
                    "start_s": at * self.window_ns / SECOND,
                    "classes": {name: row[0] for name, row in rows.items()},
                }
                for at, rows in sorted(self.windows.items())
            ],
        }

    def texts(self) -> list[str]:
        """Format the results as lines of text."""
        plain = self.plain()
        lines = [
            f"{plain['requests']:,} requests: "
            + ", ".join(
                f"{count:,} {end} ({count / plain['requests']:.2%})" for end, count in plain["ends"].items()
            )
        ]
        lines += ["", f"{'latency in ms, from the due time':<38}{'count':>9}" + "".join(
            f"{title:>10}" for title in ("p50", "p90", "p99", "p99.9", "max")
        )]  # fmt: skip
        for name, row in plain["latency_ms"].items():
            if row["count"]:
                lines.append(
                    f"{name:<38.38}{row['count']:>9,}"
                    + "".join(f"{row[each]:>10.1f}" for each in ("p50", "p90", "p99", "p99.9", "max"))
                )
        late = plain["lateness_ms"]
        if late["count"]:
            lines.append("")
            lines.append(
                f"own lateness: p50 {late['p50']:.2f} ms, p99 {late['p99']:.2f} ms, max {late['max']:.1f} ms"
            )
        if plain["was_late"]:
            lines.append("THE GENERATOR WAS LATE: its 99th percentile exceeds 5 ms, which latencies include")
        return lines

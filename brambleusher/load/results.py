"""What came of a play: counts, HDR histograms, windows; from several processes, one result."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

import msgspec
from hdrh.histogram import HdrHistogram

from brambleusher.load.request import Request
from brambleusher.load.times import SECOND

# What a request may come to.  `unsent`: the player had too many open itself, and says so.
ENDS = ("served", "refused", "failed", "broken", "timed out", "unreachable", "unsent")
LATE_NS = 5_000_000  # of the player's own lateness, at its 99th percentile: above it, it was late
MOST_CLASSES = 100  # each has a histogram
OTHERS = "(others)"  # classes beyond that, together
MOST_US = 3_600_000_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Outcome(NamedTuple):
    """One request and what came of it.  Times are nanoseconds after the start."""

    number: int
    request: Request
    due_ns: int
    begun_ns: int  # the player got to it: what this is after `due_ns` is its own lateness
    ended_ns: int  # the answer's last byte, or when it was given up
    end: str
    status: int  # 0: none


def histogram() -> HdrHistogram:
    """One for microseconds up to an hour, with three digits."""
    return HdrHistogram(1, MOST_US, 3)


def shown(hist: HdrHistogram) -> dict[str, float]:
    """A histogram of microseconds in milliseconds."""
    if not hist.total_count:
        return {"count": 0}
    figures = {f"p{each:g}": hist.get_value_at_percentile(each) / 1000 for each in PERCENTILES}
    return {
        "count": hist.total_count, **figures, "max": hist.get_max_value() / 1000,
        "mean": hist.get_mean_value() / 1000,
    }  # fmt: skip


@dataclass
class Results:
    """The tally of one process, or of all.  Windows are of the demand's own time."""

    window_ns: int = 10 * SECOND
    speed: float = 1.0
    ends: dict[str, dict[str, int]] = field(default_factory=dict)  # by class
    statuses: dict[str, int] = field(default_factory=dict)
    latency: dict[str, HdrHistogram] = field(default_factory=dict)  # by class, of what was served
    lateness: HdrHistogram = field(default_factory=histogram)
    windows: dict[int, dict[str, list[int]]] = field(default_factory=dict)  # class: sent, then by end
    connects: int = 0
    start_ns: int = 0  # when the play began, on the system's monotonic clock

    def add(self, outcome: Outcome) -> None:
        """One request that is over."""
        name, end = outcome.request.request_class, outcome.end
        if name not in self.ends and len(self.ends) >= MOST_CLASSES:
            name = OTHERS
        ends = self.ends.setdefault(name, {})
        ends[end] = ends.get(end, 0) + 1
        if outcome.status:
            status = str(outcome.status)
            self.statuses[status] = self.statuses.get(status, 0) + 1
        self.lateness.record_value(min(MOST_US, max(0, outcome.begun_ns - outcome.due_ns) // 1000))
        if end == "served":
            hist = self.latency.get(name)
            if hist is None:
                hist = self.latency[name] = histogram()
            hist.record_value(min(MOST_US, max(1, (outcome.ended_ns - outcome.due_ns) // 1000)))
        at = int(outcome.due_ns * self.speed) // self.window_ns
        row = self.windows.setdefault(at, {}).setdefault(name, [0] * (len(ENDS) + 1))
        row[0] += 1
        row[1 + ENDS.index(end)] += 1

    def merge(self, other: Results) -> None:
        """Take in another process's."""
        for name, ends in other.ends.items():
            mine = self.ends.setdefault(name, {})
            for end, count in ends.items():
                mine[end] = mine.get(end, 0) + count
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
                had = window.setdefault(name, [0] * len(row))
                window[name] = [a + b for a, b in zip(had, row, strict=True)]
        self.connects += other.connects
        self.start_ns = self.start_ns or other.start_ns

    def encode(self) -> bytes:
        """For the way to another process."""
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
        """What `encode` made."""
        raw = msgspec.msgpack.decode(data, strict=False)
        return cls(
            raw["window_ns"], raw["speed"], raw["ends"], raw["statuses"],
            {name: HdrHistogram.decode(hist) for name, hist in raw["latency"].items()},
            HdrHistogram.decode(raw["lateness"]), raw["windows"], raw["connects"],
            raw["start_ns"],
        )  # fmt: skip

    @property
    def sent(self) -> int:
        """Requests that are over."""
        return sum(sum(ends.values()) for ends in self.ends.values())

    @property
    def late(self) -> bool:
        """Whether the player itself was late: then latencies are in part its own."""
        return bool(self.lateness.get_value_at_percentile(99.0) * 1000 > LATE_NS)

    def total(self, end: str) -> int:
        """How many ended so."""
        return sum(ends.get(end, 0) for ends in self.ends.values())

    def plain(self) -> dict[str, Any]:
        """As JSON values; times in milliseconds."""
        everything = histogram()
        for hist in self.latency.values():
            everything.add(hist)
        return {
            "requests": self.sent,
            "ends": {end: self.total(end) for end in ENDS if self.total(end)},
            "by_class": {name: dict(sorted(ends.items())) for name, ends in sorted(self.ends.items())},
            "statuses": dict(sorted(self.statuses.items())),
            "latency_ms": {
                "all": shown(everything),
                **{name: shown(hist) for name, hist in sorted(self.latency.items())},
            },
            "lateness_ms": shown(self.lateness),
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
        """As lines for a reader."""
        plain = self.plain()
        lines = [
            f"{plain['requests']:,} requests: "
            + ", ".join(
                f"{count:,} {end} ({count / plain['requests']:.2%})" for end, count in plain["ends"].items()
            )
        ]
        lines += ["", f"{'latency in ms, from when it was due':<38}{'count':>9}" + "".join(
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
                f"own lateness: p50 {late['p50']:.2f} ms, p99 {late['p99']:.2f} ms, most {late['max']:.1f} ms"
            )
        if plain["was_late"]:
            lines.append(
                "THE GENERATOR WAS LATE: its 99th percentile is over 5 ms, and latencies are in part its own"
            )
        return lines

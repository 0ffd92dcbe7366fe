"""Report counters, a gauge and a timer by class and tenant to a collector, as statsd or influx lines.

Lines wait in a queue (`features/output_queue.py`) until the next flush; a full queue drops its oldest lines.
"""

from __future__ import annotations

import re
from collections import Counter

from brambleusher.decisions.clock import Clock
from brambleusher.decisions.observers import DecisionObserver
from brambleusher.decisions.requests import AttemptOutcome, ClientRequest
from brambleusher.features.output_queue import OutputQueue
from brambleusher.loadbalancing import api
from brambleusher.observability.counters import Counters
from brambleusher.operator_settings.configuration import MetricsSettings
from brambleusher.runtime.scheduler import Scheduler

PREFIX = "brambleusher."
DROPPED_LINES = "figures_dropped"
# Characters with a special meaning are replaced in statsd lines and tags; influx can escape them with a
# backslash, except for control characters and the backslash itself.
_STATSD_SPECIAL = re.compile(r"[\s\x00-\x1f\x7f|,#:@\\]")
_INFLUX_UNFIT = re.compile(r"[\x00-\x1f\x7f\\]")
_INFLUX_SPECIAL = re.compile(r"([,= ])")

Tags = tuple[str, str]  # request class and tenant


class StatsdFormat:
    """The statsd line format with the tags of DogStatsD: `name:value|kind|#tag:value,…`."""

    def tags(self, tags: Tags) -> str:
        """Return the part of a line that contains class and tenant."""
        values = (_STATSD_SPECIAL.sub("_", tag) for tag in tags)
        return "|#class:{},tenant:{}".format(*values)

    def line(self, name: str, kind: str, value: int, tags: str, at_ns: int) -> bytes:
        """Return the line for one value."""
        return f"{PREFIX}{name}:{value}|{kind}{tags}\n".encode()


class InfluxFormat:
    """The InfluxDB line protocol: `name,tag=value,… value=1i time`."""

    def __init__(self) -> None:
        self._last_ns = 0

    def tags(self, tags: Tags) -> str:
        """Return the part of a line that contains class and tenant."""
        values = (_INFLUX_SPECIAL.sub(r"\\\1", _INFLUX_UNFIT.sub("_", tag)) for tag in tags)
        return ",class={},tenant={}".format(*values)

    def line(self, name: str, kind: str, value: int, tags: str, at_ns: int) -> bytes:
        """Return the line for one value, with a time later than that of any line before.

        InfluxDB keeps only the last of several points with the same time and tags.
        """
        self._last_ns = max(at_ns, self._last_ns + 1)
        return f"{PREFIX}{name}{tags} value={value}i {self._last_ns}\n".encode()


class MetricsReporter(DecisionObserver):
    """Counts requests and measures attempts, and writes the metrics at regular intervals."""

    def __init__(
        self,
        settings: MetricsSettings,
        served: api.Settings,
        clock: Clock,
        counters: Counters,
        output_queue: OutputQueue,
    ) -> None:
        self._clock, self._counters, self._output_queue = clock, counters, output_queue
        self._flush_seconds = settings.flush_ms / 1000
        self._format: StatsdFormat | InfluxFormat = (
            StatsdFormat() if settings.format == "statsd" else InfluxFormat()
        )
        self._latency_targets_ns = {cls.name: cls.latency_target_ns for cls in served.classes}
        self._tenants = {tenant.name for tenant in served.tenants}
        self._tags: dict[Tags, str] = {}
        self._inflight: dict[Tags, int] = {}
        self._counts: Counter[tuple[str, Tags]] = Counter()

    def start(self, scheduler: Scheduler) -> None:
        """Start to flush the metrics at regular intervals."""

        def flush_and_reschedule() -> None:
            scheduler.call_at(scheduler.now() + self._flush_seconds, flush_and_reschedule)
            self.flush()

        scheduler.call_at(scheduler.now() + self._flush_seconds, flush_and_reschedule)

    # --- observed events ------------------------------------------------------------------------

    def request_accepted(self, request: ClientRequest) -> None:
        """Count a request that was accepted."""
        tags = self._tags_of(request)
        self._counts["requests", tags] += 1
        self._inflight[tags] = self._inflight.get(tags, 0) + 1

    def attempt_finished(self, request: ClientRequest, _endpoint: str, outcome: AttemptOutcome) -> None:
        """Record the latency of an attempt, unless the attempt was never started."""
        if outcome.status is not api.AttemptStatus.NOT_STARTED:
            ms = round(outcome.latency_ns / 1e6)
            self._put("attempt_ms", "ms", ms, self._tags_of(request))

    def request_finished(self, request: ClientRequest, kind: str | None, took_ns: int) -> None:
        """Count a request that has ended."""
        tags = self._tags_of(request)
        self._inflight[tags] -= 1
        if kind is None:
            self._counts["requests_gone", tags] += 1
            return
        self._counts["answers", tags] += 1
        self._counts[f"answers_{kind}", tags] += 1
        if kind == "served" and took_ns > self._latency_targets_ns[request.request_class]:
            self._counts["answers_late", tags] += 1

    # --- output ---------------------------------------------------------------------------------

    def flush(self) -> None:
        """Add lines for the counts since the last flush, and wake the writer for all queued lines."""
        for (name, tags), count in self._counts.items():
            self._put(name, "c", count, tags)
        self._counts.clear()
        for tags, inflight in self._inflight.items():
            self._put("inflight", "g", inflight, tags)
        self.count_lost_lines()
        self._output_queue.flush()

    def count_lost_lines(self) -> None:
        """Count the lines lost since the last call, and report them to the collector in the next flush."""
        if lost_lines := self._output_queue.take_lost_count():
            self._counters.add(DROPPED_LINES, lost_lines)
            self._output_queue.put_without_wake(
                self._format.line(DROPPED_LINES, "c", lost_lines, "", self._clock.now_ns())
            )

    def _put(self, name: str, kind: str, value: int, tags: Tags) -> None:
        formatted_tags = self._tags.get(tags)
        if formatted_tags is None:
            formatted_tags = self._tags[tags] = self._format.tags(tags)
        self._output_queue.put_without_wake(
            self._format.line(name, kind, value, formatted_tags, self._clock.now_ns())
        )

    def _tags_of(self, request: ClientRequest) -> Tags:
        # Tenants that are not configured share one tag, so that clients can't create any number of tags.
        is_known = request.tenant in self._tenants
        tenant = request.tenant if is_known and request.tenant else "other" if request.tenant else "none"
        return request.request_class, tenant

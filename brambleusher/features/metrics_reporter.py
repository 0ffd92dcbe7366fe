"""Metrics for a collector: counters, a gauge and a timer by class and tenant, as statsd or influx lines.

Lines wait in a queue (`features/output_queue.py`) until the next flush; a full one drops the oldest.
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
DROPPED = "figures_dropped"
# Characters with a meaning of their own, in statsd and its tags; influx has a backslash for its own.
_STATSD_SPECIAL = re.compile(r"[\s\x00-\x1f\x7f|,#:@\\]")
_INFLUX_UNFIT = re.compile(r"[\x00-\x1f\x7f\\]")
_INFLUX_SPECIAL = re.compile(r"([,= ])")

Tags = tuple[str, str]  # class and tenant


class StatsdFormat:
    """Lines as DogStatsD extends them: `name:value|kind|#tag:value,…`."""

    def tags(self, tags: Tags) -> str:
        """Write the part of a line that names class and tenant."""
        words = (_STATSD_SPECIAL.sub("_", word) for word in tags)
        return "|#class:{},tenant:{}".format(*words)

    def line(self, name: str, kind: str, value: int, tags: str, at_ns: int) -> bytes:
        """One line."""
        return f"{PREFIX}{name}:{value}|{kind}{tags}\n".encode()


class InfluxFormat:
    """Line protocol: `name,tag=value,… value=1i time`."""

    def __init__(self) -> None:
        self._last_ns = 0

    def tags(self, tags: Tags) -> str:
        """Write the part of a line that names class and tenant."""
        words = (_INFLUX_SPECIAL.sub(r"\\\1", _INFLUX_UNFIT.sub("_", word)) for word in tags)
        return ",class={},tenant={}".format(*words)

    def line(self, name: str, kind: str, value: int, tags: str, at_ns: int) -> bytes:
        """One line; times always differ, since of two points with one time and tags the later replaces."""
        self._last_ns = max(at_ns, self._last_ns + 1)
        return f"{PREFIX}{name}{tags} value={value}i {self._last_ns}\n".encode()


class MetricsReporter(DecisionObserver):
    """Counts and times what passes."""

    def __init__(
        self,
        settings: MetricsSettings,
        served: api.Settings,
        clock: Clock,
        counters: Counters,
        lane: OutputQueue,
    ) -> None:
        self._clock, self._counters, self._lane = clock, counters, lane
        self._flush_seconds = settings.flush_ms / 1000
        self._format: StatsdFormat | InfluxFormat = (
            StatsdFormat() if settings.format == "statsd" else InfluxFormat()
        )
        self._aims = {cls.name: cls.latency_target_ns for cls in served.classes}
        self._tenants = {tenant.name for tenant in served.tenants}
        self._tags: dict[Tags, str] = {}
        self._inflight: dict[Tags, int] = {}
        self._counts: Counter[tuple[str, Tags]] = Counter()

    def start(self, scheduler: Scheduler) -> None:
        """Flush from now on."""

        def again() -> None:
            scheduler.call_at(scheduler.now() + self._flush_seconds, again)
            self.flush()

        scheduler.call_at(scheduler.now() + self._flush_seconds, again)

    # --- what passes ----------------------------------------------------------------------------

    def request_accepted(self, request: ClientRequest) -> None:
        """Count a request that was accepted."""
        tags = self._tags_of(request)
        self._counts["requests", tags] += 1
        self._inflight[tags] = self._inflight.get(tags, 0) + 1

    def attempt_finished(self, request: ClientRequest, _endpoint: str, outcome: AttemptOutcome) -> None:
        """Record the time of an attempt; one that was never started has none."""
        if outcome.status is not api.AttemptStatus.NOT_STARTED:
            ms = round(outcome.latency_ns / 1e6)
            self._put("attempt_ms", "ms", ms, self._tags_of(request))

    def request_finished(self, request: ClientRequest, kind: str | None, took_ns: int) -> None:
        """Count a request that is over."""
        tags = self._tags_of(request)
        self._inflight[tags] -= 1
        if kind is None:
            self._counts["requests_gone", tags] += 1
            return
        self._counts["answers", tags] += 1
        self._counts[f"answers_{kind}", tags] += 1
        if kind == "served" and took_ns > self._aims[request.request_class]:
            self._counts["answers_late", tags] += 1

    # --- lines ----------------------------------------------------------------------------------

    def flush(self) -> None:
        """Word the counts since the last time, and have all lines written."""
        for (name, tags), count in self._counts.items():
            self._put(name, "c", count, tags)
        self._counts.clear()
        for tags, inflight in self._inflight.items():
            self._put("inflight", "g", inflight, tags)
        self.count_lost()
        self._lane.flush()

    def count_lost(self) -> None:
        """Lines lost since the last time go to the counters, and to the collector in the next flush."""
        if lost := self._lane.lost():
            self._counters.add(DROPPED, lost)
            self._lane.hold(self._format.line(DROPPED, "c", lost, "", self._clock.now_ns()))

    def _put(self, name: str, kind: str, value: int, tags: Tags) -> None:
        words = self._tags.get(tags)
        if words is None:
            words = self._tags[tags] = self._format.tags(tags)
        self._lane.hold(self._format.line(name, kind, value, words, self._clock.now_ns()))

    def _tags_of(self, request: ClientRequest) -> Tags:
        # Guards against a tag for each text that clients think up.
        known = request.tenant in self._tenants
        tenant = request.tenant if known and request.tenant else "other" if request.tenant else "none"
        return request.request_class, tenant

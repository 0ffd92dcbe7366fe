"""This proxy's own traffic: requests, attempts in flight, answers and what they take."""

from __future__ import annotations

import math

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.windows import HEALTH_WINDOW, LATENCY_WINDOW, NS_PER_S, Decay

QUEUEING_FRACTION = 1 / 8  # of the target may pass in queues under overload: a crowd forms before lateness


class TrafficStatistics:
    """Counts that fade; times in ns, rates by the unit of the windows (see `windows`)."""

    def __init__(self, settings: api.Settings, unit_ns: int) -> None:
        class_count = len(settings.classes)
        self._unit_ns = unit_ns
        self.requests = 0.0  # within the health window
        self.recent_requests = 0.0  # within one target
        self.in_flight = 0  # attempts, without those written off
        self.peak_in_flight = 0.0
        self.mean_in_flight = 0.0  # as arrivals see it
        self.last_arrival_ns = 0
        self.served = 0.0  # within the capacity window
        self.observed_s = 1e-9  # of the capacity window; short after a start, and so unbiased
        # By class, within the capacity window.
        self.answer_counts = [0.0] * class_count
        self.latency_totals_ns = [0.0] * class_count
        # By class, the mean where hosts are not busy.
        self.unloaded_latency_ns = [each.latency_target_ns * QUEUEING_FRACTION for each in settings.classes]

    @property
    def requests_per_s(self) -> float:
        """Requests a second, lately."""
        return self.requests / HEALTH_WINDOW / self._unit_ns * NS_PER_S

    def record_arrival(self, now: int) -> None:
        """Count a request."""
        self.requests += 1
        self.recent_requests += 1
        gap = max(now - self.last_arrival_ns, 0) / self._unit_ns
        self.last_arrival_ns = now
        self.mean_in_flight += (self.in_flight - self.mean_in_flight) * -math.expm1(-gap / LATENCY_WINDOW)

    def record_answer(self, class_index: int, latency_ns: int) -> None:
        """Count the latency of an answer."""
        self.answer_counts[class_index] += 1
        self.latency_totals_ns[class_index] += latency_ns

    def mean_latency_ns(self, class_index: int) -> float:
        """Return what answers of a class usually take; 0 before there are any."""
        return self.latency_totals_ns[class_index] / max(self.answer_counts[class_index], 1.0)

    def decay(self, decay: Decay) -> None:
        """Forget a part of everything."""
        self.requests *= decay.health
        self.recent_requests *= math.exp(-decay.gap)
        self.peak_in_flight = max(float(self.in_flight), self.peak_in_flight * decay.capacity)
        self.served *= decay.capacity
        self.observed_s = self.observed_s * decay.capacity + decay.gap * self._unit_ns / NS_PER_S
        self.answer_counts = [count * decay.capacity for count in self.answer_counts]
        self.latency_totals_ns = [total * decay.capacity for total in self.latency_totals_ns]

    def update_unloaded_latencies(self) -> None:
        """Take the present means for what answers take where hosts are not busy."""
        for class_index, count in enumerate(self.answer_counts):
            if count >= 1:
                self.unloaded_latency_ns[class_index] = self.latency_totals_ns[class_index] / count

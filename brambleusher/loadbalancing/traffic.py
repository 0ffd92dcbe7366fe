"""Statistics of this proxy's own traffic: requests, attempts in flight, answers and latencies."""

from __future__ import annotations

import math

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.windows import HEALTH_WINDOW, LATENCY_WINDOW, NS_PER_S, Decay

# Fraction of the target allowed for queueing under overload, so that overload is detected before answers are
# late.
QUEUEING_FRACTION = 1 / 8


class TrafficStatistics:
    """Decaying counts; the windows in `windows` are multiples of the shortest latency target."""

    def __init__(self, settings: api.Settings, shortest_target_ns: int) -> None:
        class_count = len(settings.classes)
        self._shortest_target_ns = shortest_target_ns
        self.requests = 0.0  # decaying count over the health window
        self.recent_requests = 0.0  # decaying count over one latency target
        self.in_flight = 0  # attempts in flight, without those written off
        self.peak_in_flight = 0.0
        self.mean_in_flight = 0.0  # mean number of attempts in flight seen by arriving requests
        self.last_arrival_ns = 0
        self.served = 0.0  # decaying count over the capacity window
        # Observed seconds within the capacity window; short after a start, so rates are unbiased.
        self.observed_s = 1e-9
        # Decaying counts of answers and sums of their latencies over the capacity window, by class.
        self.answer_counts = [0.0] * class_count
        self.latency_totals_ns = [0.0] * class_count
        # Mean latency by class while hosts are not busy.
        self.unloaded_latency_ns = [each.latency_target_ns * QUEUEING_FRACTION for each in settings.classes]

    @property
    def requests_per_s(self) -> float:
        """Recent rate of requests per second."""
        return self.requests / HEALTH_WINDOW / self._shortest_target_ns * NS_PER_S

    def record_arrival(self, now: int) -> None:
        """Record the arrival of a request."""
        self.requests += 1
        self.recent_requests += 1
        elapsed = max(now - self.last_arrival_ns, 0) / self._shortest_target_ns
        self.last_arrival_ns = now
        self.mean_in_flight += (self.in_flight - self.mean_in_flight) * -math.expm1(-elapsed / LATENCY_WINDOW)

    def record_answer(self, class_index: int, latency_ns: int) -> None:
        """Record the latency of an answer."""
        self.answer_counts[class_index] += 1
        self.latency_totals_ns[class_index] += latency_ns

    def mean_latency_ns(self, class_index: int) -> float:
        """Return the mean latency of a class in nanoseconds; 0 if there are no answers."""
        return self.latency_totals_ns[class_index] / max(self.answer_counts[class_index], 1.0)

    def decay(self, decay: Decay) -> None:
        """Decay all statistics."""
        self.requests *= decay.health
        self.recent_requests *= math.exp(-decay.elapsed)
        self.peak_in_flight = max(float(self.in_flight), self.peak_in_flight * decay.capacity)
        self.served *= decay.capacity
        self.observed_s = (
            self.observed_s * decay.capacity + decay.elapsed * self._shortest_target_ns / NS_PER_S
        )
        self.answer_counts = [count * decay.capacity for count in self.answer_counts]
        self.latency_totals_ns = [total * decay.capacity for total in self.latency_totals_ns]

    def update_unloaded_latencies(self) -> None:
        """Set the unloaded latencies to the current means; called while hosts are not busy."""
        for class_index, count in enumerate(self.answer_counts):
            if count >= 1:
                self.unloaded_latency_ns[class_index] = self.latency_totals_ns[class_index] / count

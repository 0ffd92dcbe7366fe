"""Outlier detection: updates the health of hosts from attempt outcomes and finds lost attempts.

Source: z/OS Workload Manager Sysplex Routing Services: health is the served fraction of recent attempts, with
rejections, errors, timeouts and failed connections counted as failures. Unlike there, a host that rejects
attempts or connections is ejected for a while, and a rejection does not reduce health.
"""

from __future__ import annotations

from collections.abc import Sequence

from brambleusher.loadbalancing.admission_control import AdmissionControl
from brambleusher.loadbalancing.api import AttemptStatus
from brambleusher.loadbalancing.hosts import AttemptKey, Host
from brambleusher.loadbalancing.performance_index import MAX_RATIO, MISSED_RATIO
from brambleusher.loadbalancing.traffic import TrafficStatistics
from brambleusher.loadbalancing.windows import Decay

# An overtaken attempt older than this multiple of the mean latency, of its class and of its host, is lost.
WRITE_OFF_FACTOR = 2.5
MIN_HOST_ANSWERS = 0.1  # lower bound of the count of answers; below it a host's mean latency is noise


class OutlierDetector:
    """Updates the health of hosts and counts recent connect failures and timeouts."""

    def __init__(
        self,
        shortest_target_ns: int,
        goals_ns: Sequence[float],
        traffic: TrafficStatistics,
        admission: AdmissionControl,
    ) -> None:
        self._shortest_target_ns = shortest_target_ns
        self._goals_ns = goals_ns
        self._traffic = traffic
        self._admission = admission
        self.connect_failures = 0.0
        self.timeouts = 0.0

    def decay(self, decay: Decay) -> None:
        """Decay the counts."""
        self.connect_failures *= decay.health
        self.timeouts *= decay.health

    def record_outcome(
        self, host: Host, class_index: int, status: AttemptStatus, latency_ns: int, now: int
    ) -> None:
        """Record the outcome of an attempt, also if its request has ended before."""
        if status is AttemptStatus.OK:
            host.served += 1
            self._traffic.served += 1
            self.record_ratio(host, class_index, latency_ns / self._goals_ns[class_index])
            self._traffic.record_answer(class_index, latency_ns)
        elif status is AttemptStatus.TIMEOUT:
            # If the client left before the goal, it is only known that the answer took longer.
            goal_ns = self._goals_ns[class_index]
            host.failed += latency_ns >= goal_ns
            self.record_ratio(host, class_index, latency_ns / goal_ns)
        elif status is AttemptStatus.OVERLOADED:
            self._record_rejection(host, now)
        elif status not in (AttemptStatus.CANCELLED, AttemptStatus.NOT_STARTED):
            host.failed += 1
            self.record_ratio(host, class_index, MISSED_RATIO)
            if status is AttemptStatus.CONNECT_FAILED:
                # The host is down, unreachable or out of connections, which takes a while to recover. A host
                # that fails quickly has few attempts in flight and would get many turns. One attempt per
                # latency target is enough to find out when it works again.
                host.ejected_until_ns = now + self._shortest_target_ns
                self.connect_failures += 1

    def record_ratio(self, host: Host, class_index: int, ratio: float) -> None:
        """Add the ratio of a latency to its goal to the host's index and to the fleet's count."""
        host.latency_counts[class_index] += 1
        host.latency_ratio_totals[class_index] += min(ratio, MAX_RATIO)
        self._admission.outcomes += 1

    def _record_rejection(self, host: Host, now: int) -> None:
        """Eject a rejecting host for up to one latency target.

        A rejection causes no wait but shows a lack of capacity, so admission control counts it. Health does
        not count it: a full host is healthy, and sending it less would only fill the next one.
        """
        host.rejected += 1
        host.ejected_until_ns = now + int(self._shortest_target_ns * (1 - host.acceptance))
        self._admission.record_rejection()

    def overtaken_attempts(self, host: Host, now: int) -> list[AttemptKey]:
        """Return a host's attempts that later ones have overtaken and that are older than usual answers.

        Such attempts are lost, probably on a connection that was dropped silently, since a queue answers in
        order.
        """
        overtaken = []
        overtaken_ns = host.newest_answered_ns[0]
        for key, (request, sent_ns) in host.in_flight.items():
            if sent_ns >= overtaken_ns:
                break
            class_index = request.class_index
            ratio_sum = host.latency_ratio_totals[class_index]
            count = max(host.latency_counts[class_index], MIN_HOST_ANSWERS)
            host_mean_ns = ratio_sum / count * self._goals_ns[class_index]
            mean_ns = max(self._traffic.mean_latency_ns(class_index), host_mean_ns)
            if now - sent_ns > WRITE_OFF_FACTOR * mean_ns:
                overtaken.append(key)
        return overtaken


def record_answered(host: Host, sent_ns: int) -> None:
    """Keep the send time of an answered attempt if it is among the latest ones."""
    if sent_ns > host.newest_answered_ns[0]:
        host.newest_answered_ns[0] = sent_ns
        host.newest_answered_ns.sort()

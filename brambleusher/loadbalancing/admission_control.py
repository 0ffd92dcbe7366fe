"""Admission control: limits the proxy's own attempts in flight and chooses which requests to admit.

By Little's law the waiting time is the number of requests in flight divided by the rate at which they are
served. A limit on the number in flight takes effect on the next request, whereas a rejected fraction takes
effect only after the existing queue has drained; that is why a limit is used, also by small proxies. Above a
fraction of the limit, slots go to the requests with the highest value per unit of work.
`docs/design/limits.md` explains why the limit can't get stuck.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from brambleusher.loadbalancing import api
from brambleusher.loadbalancing.fleet_capacity import FleetCapacity
from brambleusher.loadbalancing.host_table import HostTable
from brambleusher.loadbalancing.hosts import RESERVE, Host
from brambleusher.loadbalancing.performance_index import GOAL_PER_TARGET, PI_GOAL
from brambleusher.loadbalancing.tenant_quotas import TenantQuotas
from brambleusher.loadbalancing.token_round_robin import WEIGHT_TOTAL
from brambleusher.loadbalancing.traffic import QUEUEING_FRACTION, TrafficStatistics
from brambleusher.loadbalancing.windows import (
    BEST_RATE_WINDOW,
    CAPACITY_WINDOW,
    HEALTH_WINDOW,
    LATENCY_WINDOW,
    NS_PER_S,
    Decay,
)

# Recent attempt outcomes that admission aims to rely on, as far as the slow window holds them.
MIN_OUTCOMES = 16.0
# Fraction of the limit; slots above it are granted by value, the last ones to the best requests.
ADMIT_ALL_FRACTION = 0.7
# Fraction of the slots above `ADMIT_ALL_FRACTION` that requests beyond a quota may use.
OVER_QUOTA_FRACTION = 0.3
# Subtracted from the value of a request beyond its tenant's quota: it ranks last and gets spare slots only.
OVER_QUOTA_PENALTY = 1e9
# Upper bound of the usual latency, as a fraction of the latency target: under overload the first answers
# arrive before the load reports and would otherwise be taken for usual ones.
USUAL_LATENCY_FRACTION = 0.35
EXHAUSTED_FRACTION = 0.01  # fraction of requests that may have all their attempts rejected by hosts
BUSY_UTILISATION = 0.5  # a report of lower utilisation says little about the rate at full utilisation
# Performance indexes below this are treated alike: much earlier answers carry no more information.
MIN_PERFORMANCE_INDEX = 0.1
MAX_INCREASE, MAX_DECREASE = 1.0, -0.5  # largest relative change of the limit within one latency target
MAX_HEADROOM = 2.0  # largest multiple of the due attempts in flight while hosts are busy and answers early
IDLE_HEADROOM = 2.0  # multiple of the due, or of the current, attempts in flight while hosts are not busy
# Divides the due attempts in flight where hosts are healthy but overloaded: they still work on abandoned
# requests.
CROWDED_FLOOR_DIVISOR = 3
# Lower bound of this proxy's share of the fleet's traffic, as a fraction of an even share.
MIN_FLEET_FRACTION = 0.1
VALUE_JITTER = 0.01  # random relative change of a value that breaks ties between equal requests
REMEMBERED_DENSITIES = 128
MIN_OFFERED = 1e-9  # stands for zero offered load and can be a divisor
MIN_ANSWERS = 1e-9  # stands for zero answers and can be a divisor
# Standard deviations by which the mean number in flight may lag behind the current number.
CHANCE_DEVIATIONS = 2


class _LatencyBudget(NamedTuple):
    """The latency to keep to, averaged over the request classes by their recent answers."""

    budget_ns: float
    target_ns: float
    is_known: bool  # whether there were recent answers


class AdmissionControl:
    """Keeps the limit on attempts in flight and decides which requests are valuable enough to be admitted."""

    def __init__(
        self,
        settings: api.Settings,
        shortest_target_ns: int,
        rng: random.Random,
        traffic: TrafficStatistics,
        capacity: FleetCapacity,
        host_table: HostTable,
    ) -> None:
        self._settings = settings
        self._shortest_target_ns = shortest_target_ns
        self._rng = rng
        self._traffic = traffic
        self._capacity = capacity
        self._host_table = host_table
        # Weight of the current number in flight against its mean: where there are many proxies, each relies
        # on the mean.
        self._current_weight = 1 / math.sqrt(settings.fleet_size)
        self.quotas = TenantQuotas(settings)
        self.limit = math.inf  # maximum number of attempts in flight
        self.offered_load = (
            MIN_OFFERED  # attempts in flight that would be needed to serve all arriving requests
        )
        self.is_late = False  # whether answers are later than the goal
        # Whether answers are late and, in addition, hosts are busy or reject attempts.
        self.is_overloaded = False
        # Decaying counts: attempts that ended, rejections by hosts among them, and rejections over a long
        # time.
        self.outcomes = 0.0
        self.rejections = 0.0
        self.rejections_long = 0.0
        self.best_rate = 0.0  # highest rate that a host reached, in requests per second
        self.fleet_fraction = 1.0 / settings.fleet_size  # this proxy's fraction of the fleet's throughput
        # Values per unit of work of recent requests, in order of arrival and sorted.
        self.densities: deque[float] = deque(maxlen=REMEMBERED_DENSITIES)
        self.sorted_densities: list[float] = []
        self.logged_ns = 0

    # --- evidence --------------------------------------------------------------------------------

    def record_rejection(self) -> None:
        """Count an attempt that a host rejected for overload."""
        self.outcomes += 1
        self.rejections += 1
        self.rejections_long += 1

    def decay(self, decay: Decay) -> None:
        """Decay the counts, more slowly if samples are few: two rejections are no sign of overload."""
        window = MIN_OUTCOMES * HEALTH_WINDOW / max(self._traffic.requests, 1.0)
        window = min(max(LATENCY_WINDOW, window), CAPACITY_WINDOW)
        retained = math.exp(-decay.elapsed / window)
        self.outcomes *= retained
        self.rejections *= retained
        # Whether hosts reject attempts at all is a property of the deployment, so the long count decays
        # slowly.
        self.rejections_long *= math.exp(-decay.elapsed / BEST_RATE_WINDOW)

    def update_fleet_fraction(self, throughput: float) -> None:
        """Update this proxy's fraction of the fleet's throughput."""
        if throughput > 0 and self._traffic.served > 0 and not self._capacity.uses_sizes:
            own_throughput = self._traffic.served / self._traffic.observed_s
            min_fraction = MIN_FLEET_FRACTION / self._settings.fleet_size
            self.fleet_fraction = min(1.0, max(own_throughput / throughput, min_fraction))

    def effective_fleet_fraction(self) -> float:
        """Return this proxy's fraction of the fleet, at least an even share.

        Without that bound a proxy whose traffic was limited once would keep a low limit for ever.
        """
        return max(self.fleet_fraction, 1 / self._settings.fleet_size)

    # --- the limit -------------------------------------------------------------------------------

    def update_limit(self, elapsed: float, now: int) -> api.WriteLog | None:
        """Set the limit after `elapsed` latency targets have passed; return a log line if overload began."""
        hosts = self._host_table.in_use
        weighted_index = sum(host.weight * host.performance_index for host in hosts) / WEIGHT_TOTAL
        self.is_late = weighted_index > PI_GOAL
        index = max(weighted_index, self._rejection_index())
        was_overloaded = self.is_overloaded
        is_busy = self._capacity.mean_utilisation > 1 - RESERVE
        self.is_overloaded = self.is_late and (is_busy or self.rejections > 1)
        budget = self._latency_budget()
        due = self._due_in_flight(hosts, elapsed, budget)
        goal = PI_GOAL
        if budget.is_known:
            goal = budget.budget_ns / max(budget.target_ns * GOAL_PER_TARGET, 1.0)
        self._move_limit(
            hosts, elapsed, due, goal / max(index, MIN_PERFORMANCE_INDEX), is_busy or self.is_overloaded
        )
        self._update_offered(budget)
        self.sorted_densities = sorted(self.densities)
        if not self.is_overloaded or was_overloaded:
            return None
        if now - self.logged_ns <= BEST_RATE_WINDOW * self._shortest_target_ns:
            return None
        self.logged_ns = now
        return api.WriteLog(f"overload: fleet index {index:.2f}, at most {self.limit:.0f} out")

    def _rejection_index(self) -> float:
        """Return the contribution of rejections by hosts to the performance index.

        Hosts that reject attempts protect themselves, so rejections count at most as much as answers that
        just meet the goal.
        """
        tolerated_fraction: float = EXHAUSTED_FRACTION ** (1 / self._settings.max_attempts)
        rejection_index = self.rejections / (self.outcomes + 1) / tolerated_fraction
        return min(rejection_index, PI_GOAL)

    def _latency_budget(self) -> _LatencyBudget:
        """Return the time within which the attempts in flight should be served."""
        traffic = self._traffic
        counts = traffic.answer_counts
        total = sum(counts) + MIN_ANSWERS
        target_sum_ns = sum(
            n * each.latency_target_ns for n, each in zip(counts, self._settings.classes, strict=True)
        )
        target_ns = target_sum_ns / total
        if total < 1:
            return _LatencyBudget(float(self._shortest_target_ns), target_ns, is_known=False)
        unloaded_sum_ns = sum(
            n * unloaded_ns for n, unloaded_ns in zip(counts, traffic.unloaded_latency_ns, strict=True)
        )
        unloaded_ns = unloaded_sum_ns / total
        budget_ns = min(unloaded_ns, target_ns * USUAL_LATENCY_FRACTION) + target_ns * QUEUEING_FRACTION
        return _LatencyBudget(budget_ns, target_ns, is_known=True)

    def _due_in_flight(self, hosts: Sequence[Host], elapsed: float, budget: _LatencyBudget) -> float:
        """Return the attempts in flight that this proxy's fraction of the fleet serves in the latency budget.

        The limit stays near this number. Overloaded hosts serve less than before until their queues have
        drained. Therefore the result scales with the rate that hosts reach now and, in addition, with the
        ratio of this rate to their best rate. The best rate rises slowly, since the maximum of a few noisy
        measurements is no reliable estimate.
        """
        rates = [
            host.throughput / max(host.utilisation, BUSY_UTILISATION)
            for host in hosts
            if host.reported_ns >= 0
        ]
        rate = sum(rates) / len(rates) if rates else self._capacity.mean_capacity
        decayed_best_rate = self.best_rate * math.exp(-elapsed / BEST_RATE_WINDOW) or max(rate, 1e-9)
        self.best_rate = decayed_best_rate + max(rate - decayed_best_rate, 0.0) * min(
            elapsed / HEALTH_WINDOW, 1.0
        )
        acceptance = sum(host.acceptance for host in hosts) / max(len(hosts), 1)
        rate *= min(rate / self.best_rate, 1.0) * self._capacity.rate_per_size
        fraction = self.effective_fleet_fraction()
        return fraction * rate * acceptance * self._host_table.ready_count * budget.budget_ns / NS_PER_S

    def _move_limit(
        self, hosts: Sequence[Host], elapsed: float, due: float, goal_over_index: float, is_crowded: bool
    ) -> None:
        """Move the limit towards the goal, within bounds around the due number of attempts in flight."""
        in_flight = self._traffic.in_flight
        relative_change = min(max(goal_over_index - 1, MAX_DECREASE), MAX_INCREASE)
        lower_bound = due
        if is_crowded:
            # Where hosts serve few attempts successfully they still work on abandoned ones, so the lower
            # bound is reduced until those are done.
            health = sum(host.health for host in hosts) / max(len(hosts), 1)
            lower_bound = due * (health / CROWDED_FLOOR_DIVISOR)
        # One attempt per host, counted over all proxies, overloads no host. A limit below that would be kept
        # low by the few attempts it admits, some of which are never answered, although hosts are idle.
        lower_bound = max(lower_bound, self.effective_fleet_fraction() * self._host_table.ready_count)
        if is_crowded:
            # Hosts that are busy but answer early are not overloaded yet: the limit may exceed the due number
            # by the ratio of the goal to the index.
            upper_bound = due * min(max(goal_over_index, 1.0), MAX_HEADROOM)
        else:
            upper_bound = max(due * IDLE_HEADROOM, IDLE_HEADROOM * in_flight, len(hosts))
        self.limit = max(
            min(self.limit * (1 + relative_change * min(elapsed, 1.0)), upper_bound), lower_bound
        )
        if not in_flight and self.outcomes < 1:
            # Without this exception the first burst at a proxy that has been idle would meet the limit of an
            # idle proxy, which is about one attempt per host in use. No recent answer supports a limit yet.
            self.limit = math.inf

    def _update_offered(self, budget: _LatencyBudget) -> None:
        traffic = self._traffic
        recent = traffic.recent_requests
        arrivals_in_target = min(traffic.requests / HEALTH_WINDOW, recent + math.sqrt(recent) + 1)
        self.offered_load = max(arrivals_in_target * budget.budget_ns / self._shortest_target_ns, MIN_OFFERED)

    # --- requests --------------------------------------------------------------------------------

    def value_density(self, event: api.RequestArrived, class_index: int, waited_ns: float, now: int) -> float:
        """Return the value of a request per unit of work, with a penalty if its tenant's quota is used up."""
        settings = self._settings
        request_class = settings.classes[class_index]
        value = request_class.value
        # The client has waited longer than the target in earlier requests.
        if waited_ns >= request_class.latency_target_ns:
            value *= request_class.late_value
        is_over_quota = bool(settings.tenants) and self.quotas.is_over_quota(
            event.tenant, self.effective_fleet_fraction(), now
        )
        if not settings.is_value_by_work:
            value /= max(self._traffic.unloaded_latency_ns[class_index], 1.0) / NS_PER_S
        value *= 1 + VALUE_JITTER * self._rng.random()
        return value - OVER_QUOTA_PENALTY if is_over_quota else value

    def admits(self, density: float) -> bool:
        """Return whether to admit a request.

        The more slots are occupied, the higher the request's value must rank among those of recent requests.
        """
        if math.isinf(self.limit):
            return True
        occupied = self._occupied_fraction()
        if occupied <= 0 or not self.sorted_densities or density < 0:
            return occupied <= OVER_QUOTA_FRACTION or density >= 0
        if occupied >= 1:
            return False
        return density >= self.sorted_densities[int(occupied * len(self.sorted_densities))]

    def _occupied_fraction(self) -> float:
        """Return the occupied fraction of the slots that are granted by value.

        The number in flight at each of many proxies fluctuates, and over the fleet the fluctuations even out.
        Proxies of a large fleet therefore use the mean number in flight as seen by arrivals, unless the
        current number is far above the mean. One standard deviation is added to the slots: otherwise a limit
        of one would reject half of all requests.
        """
        limit = self.limit
        traffic = self._traffic
        deviation = math.sqrt(max(limit, 1.0))
        current_weight = self._current_weight
        seen_in_flight = traffic.mean_in_flight + current_weight * (
            traffic.in_flight - traffic.mean_in_flight
        )
        seen_in_flight = max(
            seen_in_flight, traffic.in_flight - CHANCE_DEVIATIONS * (1 - current_weight) * deviation
        )
        admit_all = limit * ADMIT_ALL_FRACTION
        occupied = (seen_in_flight - admit_all) / (
            limit * (1 - ADMIT_ALL_FRACTION) + deviation * current_weight
        )
        # A limit below one slot can't be compared with a count of attempts. The rejected fraction is then the
        # fraction of the offered load that exceeds the limit, unless hosts reject attempts themselves. With
        # nothing in flight a request is admitted, since nothing would be learned otherwise.
        uses_offered_load = self.is_late or self.rejections_long < 1
        if uses_offered_load and (traffic.in_flight or limit < 1):
            occupied = max(occupied, 1 - limit / self.offered_load)
        return occupied

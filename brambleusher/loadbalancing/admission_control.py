"""Admission control: how many own attempts may be in flight, and which requests are worth a slot.

Little's law: the wait is what is in flight over the rate served.  A limit on what is in flight acts on the
next request, where a fraction to reject acts a queue's length late: that is for small proxies.  Above a part
of the limit slots go by value for each unit of work.  `docs/design/limits.md` says why the limit can't be
stuck.
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

MIN_OUTCOMES = 16.0  # admission rests on so many answers, as far as they come within the slow window
ADMIT_ALL_FRACTION = 0.7  # of the limit; above, slots go by value, the last to the best
OVER_QUOTA_FRACTION = 0.3  # of the slots above, for what is beyond a tenant's quota
OVER_QUOTA_PENALTY = 1e9  # off the value of what is beyond a quota: it comes last, and to spare slots alone
# Of the target, at most: a crowd's first answers come before its reports, and pass for usual ones.
USUAL_LATENCY_FRACTION = 0.35
EXHAUSTED_FRACTION = 0.01  # of requests may find every attempt used up on hosts that reject
BUSY_UTILISATION = 0.5  # a report of less use says little of the rate at full use
MIN_INDEX = 0.1  # answers that are much earlier than the goal say no more
MAX_INCREASE, MAX_DECREASE = 1.0, -0.5  # of the limit in one latency target
MAX_HEADROOM = 2.0  # times what is due, while hosts are busy and answers early
IDLE_HEADROOM = 2.0  # times what is due or in flight, while hosts are not busy
CROWDED_FLOOR_DIVISOR = 3  # of what is due, where hosts are healthy: they work on what was given up
MIN_FLEET_FRACTION = 0.1  # of an even share
VALUE_JITTER = 0.01  # of a value: breaks ties between equal requests
REMEMBERED_DENSITIES = 128
MIN_OFFERED = 1e-9  # stands for nothing, and can be divided by
MIN_ANSWERS = 1e-9  # likewise
CHANCE_DEVIATIONS = 2  # of what is in flight, that the mean may be left behind by


class _LatencyBudget(NamedTuple):
    """The latency to be held, of the classes as they are answered lately."""

    budget_ns: float
    target_ns: float
    is_known: bool  # answers came lately


class AdmissionControl:
    """The limit on attempts in flight, and the value that a request needs to be admitted."""

    def __init__(
        self,
        settings: api.Settings,
        unit_ns: int,
        rng: random.Random,
        traffic: TrafficStatistics,
        capacity: FleetCapacity,
        host_table: HostTable,
    ) -> None:
        self._settings = settings
        self._unit_ns = unit_ns
        self._rng = rng
        self._traffic = traffic
        self._capacity = capacity
        self._host_table = host_table
        # Of what is in flight at the moment, beside the mean: of many proxies each goes by the mean.
        self._moment_weight = 1 / math.sqrt(settings.fleet_size)
        self.quotas = TenantQuotas(settings)
        self.limit = math.inf  # attempts in flight
        self.offered = MIN_OFFERED  # attempts in flight that would serve all that comes
        self.is_late = False  # answers are later than the goal
        self.is_overloaded = False  # and hosts are busy, or reject
        # What ended lately, and rejections by hosts among it; rejections over a long time.
        self.outcomes = 0.0
        self.rejections = 0.0
        self.rejections_long = 0.0
        self.best_rate = 0.0  # requests a second that a host reached
        self.fleet_fraction = 1.0 / settings.fleet_size  # of what the fleet serves, that this proxy does
        # Values by work of requests lately: as they came, and sorted.
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
        """Forget a part; few samples are kept for longer: two rejections in a row are no overload."""
        window = MIN_OUTCOMES * HEALTH_WINDOW / max(self._traffic.requests, 1.0)
        window = min(max(LATENCY_WINDOW, window), CAPACITY_WINDOW)
        retained = math.exp(-decay.gap / window)
        self.outcomes *= retained
        self.rejections *= retained
        # Whether hosts reject is a property of the deployment.
        self.rejections_long *= math.exp(-decay.gap / BEST_RATE_WINDOW)

    def update_fleet_fraction(self, throughput: float) -> None:
        """Relate what this proxy serves to the fleet's throughput."""
        if throughput > 0 and self._traffic.served > 0 and not self._capacity.uses_sizes:
            own = self._traffic.served / self._traffic.observed_s
            least = MIN_FLEET_FRACTION / self._settings.fleet_size
            self.fleet_fraction = min(1.0, max(own / throughput, least))

    def effective_fleet_fraction(self) -> float:
        """Return the fraction to go by: by its own only, a proxy that was cut down would stay so."""
        return max(self.fleet_fraction, 1 / self._settings.fleet_size)

    # --- the limit -------------------------------------------------------------------------------

    def update_limit(self, gap: float, now: int) -> api.WriteLog | None:
        """Set the limit after `gap` latency targets; return a log line where overload begins."""
        hosts = self._host_table.in_use
        weighted_index = sum(host.weight * host.performance_index for host in hosts) / WEIGHT_TOTAL
        self.is_late = weighted_index > PI_GOAL
        index = max(weighted_index, self._rejection_index())
        was_overloaded = self.is_overloaded
        is_busy = self._capacity.mean_utilisation > 1 - RESERVE
        self.is_overloaded = self.is_late and (is_busy or self.rejections > 1)
        budget = self._latency_budget()
        due = self._due_in_flight(hosts, gap, budget)
        goal = PI_GOAL
        if budget.is_known:
            goal = budget.budget_ns / max(budget.target_ns * GOAL_PER_TARGET, 1.0)
        self._steer(hosts, gap, due, goal / max(index, MIN_INDEX), is_busy or self.is_overloaded)
        self._update_offered(budget)
        self.sorted_densities = sorted(self.densities)
        if not self.is_overloaded or was_overloaded:
            return None
        if now - self.logged_ns <= BEST_RATE_WINDOW * self._unit_ns:
            return None
        self.logged_ns = now
        return api.WriteLog(f"overload: fleet index {index:.2f}, at most {self.limit:.0f} out")

    def _rejection_index(self) -> float:
        """Return what rejections by hosts count for in the index.

        Hosts that reject guard themselves: rejections hold the limit down to the goal's, no more.
        """
        tolerated: float = EXHAUSTED_FRACTION ** (1 / self._settings.max_attempts)
        rejected = self.rejections / (self.outcomes + 1) / tolerated
        return min(rejected, PI_GOAL)

    def _latency_budget(self) -> _LatencyBudget:
        """Return the time in which what is in flight is to be served."""
        traffic = self._traffic
        counts = traffic.answer_counts
        total = sum(counts) + MIN_ANSWERS
        target_sum_ns = sum(
            n * each.latency_target_ns for n, each in zip(counts, self._settings.classes, strict=True)
        )
        target_ns = target_sum_ns / total
        if total < 1:
            return _LatencyBudget(float(self._unit_ns), target_ns, is_known=False)
        usual_sum_ns = sum(
            n * usual_ns for n, usual_ns in zip(counts, traffic.unloaded_latency_ns, strict=True)
        )
        usual_ns = usual_sum_ns / total
        budget_ns = min(usual_ns, target_ns * USUAL_LATENCY_FRACTION) + target_ns * QUEUEING_FRACTION
        return _LatencyBudget(budget_ns, target_ns, is_known=True)

    def _due_in_flight(self, hosts: Sequence[Host], gap: float, budget: _LatencyBudget) -> float:
        """Return what this proxy's part of the fleet serves in the latency budget: the limit stays near it.

        Hosts that are crowded serve less than they did, and go on so until the crowd has left: the part
        falls with the rate they reach now and once more with what that is of their best (followed upwards
        slowly: of a few noisy figures the highest is no measure).
        """
        rates = [
            host.throughput / max(host.utilisation, BUSY_UTILISATION)
            for host in hosts
            if host.reported_ns >= 0
        ]
        rate = sum(rates) / len(rates) if rates else self._capacity.mean_capacity
        best = self.best_rate * math.exp(-gap / BEST_RATE_WINDOW) or max(rate, 1e-9)
        self.best_rate = best + max(rate - best, 0.0) * min(gap / HEALTH_WINDOW, 1.0)
        acceptance = sum(host.acceptance for host in hosts) / max(len(hosts), 1)
        rate *= min(rate / self.best_rate, 1.0) * self._capacity.rate_per_size
        fraction = self.effective_fleet_fraction()
        return fraction * rate * acceptance * self._host_table.ready_count * budget.budget_ns / NS_PER_S

    def _steer(
        self, hosts: Sequence[Host], gap: float, due: float, goal_over_index: float, is_crowded: bool
    ) -> None:
        """Move the limit towards the goal, between bounds around what is due."""
        in_flight = self._traffic.in_flight
        change = min(max(goal_over_index - 1, MAX_DECREASE), MAX_INCREASE)
        lower = due
        if is_crowded:
            # Where little is served at all, hosts still work on what was given up: wait for them.
            health = sum(host.health for host in hosts) / max(len(hosts), 1)
            lower = due * (health / CROWDED_FLOOR_DIVISOR)
        # But an attempt a host, of all proxies together, crowds nobody: a limit below that is held down by
        # the little it lets through, and by the few of it that are never answered, while hosts are idle.
        lower = max(lower, self.effective_fleet_fraction() * self._host_table.ready_count)
        if is_crowded:
            # Busy hosts whose answers are far from late are no crowd yet: the limit has as much headroom as
            # the goal.
            upper = due * min(max(goal_over_index, 1.0), MAX_HEADROOM)
        else:
            upper = max(due * IDLE_HEADROOM, IDLE_HEADROOM * in_flight, len(hosts))
        self.limit = max(min(self.limit * (1 + change * min(gap, 1.0)), upper), lower)
        if not in_flight and self.outcomes < 1:
            # Guards against the first burst of a proxy that has been idle meeting the limit of an idle one: a
            # few attempts, as many as the hosts in use.  No answer speaks for a limit yet.
            self.limit = math.inf

    def _update_offered(self, budget: _LatencyBudget) -> None:
        traffic = self._traffic
        recent = traffic.recent_requests
        arrivals_in_target = min(traffic.requests / HEALTH_WINDOW, recent + math.sqrt(recent) + 1)
        self.offered = max(arrivals_in_target * budget.budget_ns / self._unit_ns, MIN_OFFERED)

    # --- requests --------------------------------------------------------------------------------

    def value_density(self, event: api.RequestArrived, class_index: int, waited_ns: float, now: int) -> float:
        """Return the value of a request by its work; beyond a tenant's quota little is left."""
        settings = self._settings
        request_class = settings.classes[class_index]
        value = request_class.value
        if waited_ns >= request_class.latency_target_ns:  # its client has waited before
            value *= request_class.late_value
        is_over_quota = bool(settings.tenants) and self.quotas.is_over_quota(
            event.tenant, self.effective_fleet_fraction(), now
        )
        if not settings.is_value_by_work:
            value /= max(self._traffic.unloaded_latency_ns[class_index], 1.0) / NS_PER_S
        value *= 1 + VALUE_JITTER * self._rng.random()
        return value - OVER_QUOTA_PENALTY if is_over_quota else value

    def admits(self, density: float) -> bool:
        """Return whether to admit: the fuller, the higher a request must rank among late arrivals."""
        if math.isinf(self.limit):
            return True
        occupied = self._occupied_above()
        if occupied <= 0 or not self.sorted_densities or density < 0:
            return occupied <= OVER_QUOTA_FRACTION or density >= 0
        if occupied >= 1:
            return False
        return density >= self.sorted_densities[int(occupied * len(self.sorted_densities))]

    def _occupied_above(self) -> float:
        """Return what part of the slots is taken that go by value.

        Of many proxies each has more in flight at one moment and less at the next, and over the fleet that
        evens out: they go by the mean of what is in flight, as their arrivals see it, unless that is left far
        behind.  A deviation by chance is added: a limit of one would reject half of all.
        """
        limit = self.limit
        traffic = self._traffic
        chance = math.sqrt(max(limit, 1.0))
        moment_weight = self._moment_weight
        seen = traffic.mean_in_flight + moment_weight * (traffic.in_flight - traffic.mean_in_flight)
        seen = max(seen, traffic.in_flight - CHANCE_DEVIATIONS * (1 - moment_weight) * chance)
        admit_all = limit * ADMIT_ALL_FRACTION
        occupied = (seen - admit_all) / (limit * (1 - ADMIT_ALL_FRACTION) + chance * moment_weight)
        # Where less than a slot is due the count is no guide: the part of what comes that has none is, unless
        # hosts reject.  With nothing in flight nothing would be learnt.
        has_guide = self.is_late or self.rejections_long < 1
        if has_guide and (traffic.in_flight or limit < 1):
            occupied = max(occupied, 1 - limit / self.offered)
        return occupied

"""The admission limit recovers from any state: property test over random states of all balancers."""

from __future__ import annotations

import random

import pytest

from benchmarks.overload import RATE, SECOND, Demand, World
from brambleusher.loadbalancing import Balancer

# Seconds until the states are randomised, until service recovers, and until the end.
AT, WITHIN, AFTER = 3.0, 2.0, 3.0
LOAD = 0.5


def scramble(balancer: Balancer, rng: random.Random) -> None:
    """Randomise the state that determines the limit, within its possible values."""
    admission, traffic, budget = balancer.admission, balancer.traffic, balancer.retry_policy.budget
    admission.limit = 10 ** rng.uniform(-2, 3)
    admission.fleet_fraction = rng.uniform(0.1 / balancer.settings.fleet_size, 1.0)
    admission.best_rate *= 10 ** rng.uniform(-1, 2)
    traffic.served *= rng.random()
    admission.rejections, admission.rejections_long = rng.uniform(0, 200), rng.uniform(0, 200)
    admission.outcomes += rng.uniform(0, 200)
    balancer.outliers.timeouts, balancer.outliers.connect_failures = rng.uniform(0, 50), rng.uniform(0, 5)
    admission.is_overloaded, admission.is_late = rng.random() < 0.5, rng.random() < 0.5
    traffic.requests *= rng.uniform(0.1, 10)
    budget.tokens, budget.unserved_credit = rng.uniform(0, 5), rng.uniform(0, 100)
    for index, request_class in enumerate(balancer.settings.classes):
        traffic.unloaded_latency_ns[index] = request_class.latency_target_ns * rng.uniform(0.001, 1.0)
        traffic.answer_counts[index] = rng.uniform(0, 200)
        answered_ns = traffic.answer_counts[index] * request_class.deadline_ns
        traffic.latency_totals_ns[index] = answered_ns * rng.random()
    for host in balancer.host_table.hosts.values():
        host.utilisation, host.throughput = rng.random(), rng.uniform(0, 100)
        host.utilisation_sum, host.throughput_sum = rng.uniform(0, 50), rng.uniform(0, 2000)
        host.failed, host.served, host.rejected = (rng.uniform(0, 100) for _ in range(3))
        host.latency_counts = [rng.uniform(0, 100) for _ in host.latency_counts]
        host.latency_ratio_totals = [n * rng.uniform(0, 4) for n in host.latency_counts]


class Scrambled(World):
    """Randomises the states of all balancers at one point in time."""

    def prepared(self) -> None:
        rng = random.Random(self.seed)

        def all_of_them() -> None:
            for balancer in self.balancers:
                scramble(balancer, rng)

        self._at(AT, all_of_them)


@pytest.mark.parametrize("seed", range(16))
def test_service_is_whole_within_two_seconds_of_any_state(seed: int) -> None:
    rate = LOAD * RATE
    world = Scrambled("ours", seed)
    world.run(Demand(AT + WITHIN + AFTER, lambda at: rate, rate))
    before = [asked.in_time for asked in world.asked if 1.0 <= asked.at < AT - 0.5]
    after = [asked.in_time for asked in world.asked if asked.at >= AT + WITHIN]
    assert sum(after) / len(after) > 0.93 * sum(before) / len(before), f"seed {seed}"
    for balancer in world.balancers:
        assert balancer.admission.limit > 2.0
    assert world.now < AT + WITHIN + AFTER + 2.1 and SECOND == 10**9

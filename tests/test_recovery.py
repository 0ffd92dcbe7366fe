"""The limit comes back, from whatever state: a property over random states of all balancers at once."""

from __future__ import annotations

import random

import pytest

from benchmarks.overload import RATE, SECOND, Demand, World
from brambleusher.loadbalancing import Balancer

AT, WITHIN, AFTER = 3.0, 2.0, 3.0  # seconds: the states are drawn, service is whole, the run ends
LOAD = 0.5


def scramble(balancer: Balancer, rng: random.Random) -> None:
    """Draw what the limit goes by, within what it can come to be."""
    balancer._limit = 10 ** rng.uniform(-2, 3)
    balancer._my_share = rng.uniform(0.1 / balancer.settings.fleet_size, 1.0)
    balancer._best_rate *= 10 ** rng.uniform(-1, 2)
    balancer._served_rate *= rng.random()
    balancer._full_sum, balancer._turned = rng.uniform(0, 200), rng.uniform(0, 200)
    balancer._index_n += rng.uniform(0, 200)
    balancer._silent, balancer._unlinked = rng.uniform(0, 50), rng.uniform(0, 5)
    balancer._tight, balancer._late = rng.random() < 0.5, rng.random() < 0.5
    balancer._rate *= rng.uniform(0.1, 10)
    balancer._retries.tokens, balancer._retries.unserved_credit = rng.uniform(0, 5), rng.uniform(0, 100)
    for cls, told in enumerate(balancer.settings.classes):
        balancer._quiet_ns[cls] = told.latency_target_ns * rng.uniform(0.001, 1.0)
        balancer._lat_n[cls] = rng.uniform(0, 200)
        balancer._lat_sum[cls] = balancer._lat_n[cls] * told.deadline_ns * rng.random()
    for host in balancer._hosts.values():
        host.util, host.throughput = rng.random(), rng.uniform(0, 100)
        host.sum_util, host.sum_qps = rng.uniform(0, 50), rng.uniform(0, 2000)
        host.failed, host.served, host.turned = (rng.uniform(0, 100) for _ in range(3))
        host.late_n = [rng.uniform(0, 100) for _ in host.late_n]
        host.late_sum = [n * rng.uniform(0, 4) for n in host.late_n]


class Scrambled(World):
    """Draws the states of its balancers at a moment."""

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
        assert balancer._limit > 2.0
    assert world.now < AT + WITHIN + AFTER + 2.1 and SECOND == 10**9

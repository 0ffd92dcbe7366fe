"""Capacity estimates from listed sizes, for hosts that report utilisation but not throughput."""

from __future__ import annotations

import random
from collections import Counter, deque

import pytest

from brambleusher.loadbalancing import Balancer, api, capacity_estimates, slow_start
from brambleusher.loadbalancing.settings import parse_settings
from tests.loadbalancing.test_simulator_adapter import SETUP

SECOND, STEP = 10**9, 5_000_000
FLEET, ANSWER_NS = 20, 200_000_000


class Served:
    """One proxy and hosts of the given sizes with the utilisations in `use`."""

    def __init__(self, nominal: dict[str, float], use: dict[str, float], **settings: object) -> None:
        told: dict[str, object] = {"report_fields": ("utilization",), "weight_source": "nominal"} | settings
        self.balancer = Balancer(
            api.Settings(
                zone="a", fleet_size=FLEET, is_value_by_work=True, warm_up_ns=10 * SECOND,
                initial_capacity=0.3, overload_multiple=4.0,
                classes=(api.RequestClass("r", SECOND, 2 * SECOND, 1.0),),
                **told,  # type: ignore[arg-type]
            ),
            7,
        )  # fmt: skip
        self.use, self.now, self.tick, self.refused = use, 100 * SECOND, 0, 0
        self.out: deque[tuple[int, str, str]] = deque()
        self.sent: Counter[str] = Counter()
        self.balancer.start(self.now)
        ready = api.HostState.READY
        self.act(
            api.HostListUpdated(
                api.ListKind.SAVED, [api.HostEntry(h, "a", "k", 0, ready, s) for h, s in nominal.items()]
            )
        )

    def act(self, event: api.Event) -> None:
        for action in self.balancer.handle(event, self.now):
            if isinstance(action, api.StartAttempt):
                self.out.append((self.now + ANSWER_NS, action.request, action.host))
                self.sent[action.host] += 1
            elif isinstance(action, api.SetTimer):
                self.tick = action.at_ns
            self.refused += isinstance(action, api.RejectRequest)

    def run(self, asked_a_second: float, seconds: int) -> None:
        rng = random.Random(3)
        for _ in range(seconds * SECOND // STEP):
            self.now += STEP
            while self.out and self.out[0][0] <= self.now:
                _, request, host = self.out.popleft()
                report = api.LoadReport(self.use[host], None)
                self.act(api.AttemptEnded(request, 0, host, api.AttemptStatus.OK, ANSWER_NS, True, report))
            if self.now >= self.tick:
                self.act(api.TimerFired(0))
            if rng.random() < asked_a_second * STEP / SECOND:
                self.act(api.RequestArrived(f"{self.now}", "r", None, 2 * SECOND))


def test_weights_follow_the_spare_part_of_a_size() -> None:
    """Hosts that report only utilisation used to get equal traffic, whatever their size and load."""
    seen = Served({"large": 4.0, "busy": 4.0, "small": 1.0}, {"large": 0.5, "busy": 0.75, "small": 0.5})
    seen.run(60.0, 20)
    parts = {host.name: host.weight / 64 for host in seen.balancer.round_robin.ring}
    assert parts == pytest.approx({"large": 2 / 3.5, "busy": 1 / 3.5, "small": 0.5 / 3.5}, abs=0.02)
    assert seen.sent["large"] > 1.3 * seen.sent["busy"] > 1.3 * 1.3 * seen.sent["small"]


@pytest.mark.parametrize("weights", ["live", "silent"])
def test_what_the_list_does_not_have_as_sizes_is_none(weights: str) -> None:
    seen = Served({"a": 4.0, "b": 1.0}, {"a": 0.5, "b": 0.5}, weight_source=weights)
    seen.run(60.0, 10)
    assert seen.sent["a"] / seen.sent.total() == pytest.approx(0.5, abs=0.05)


@pytest.mark.parametrize("asked", [10.0, 80.0])
def test_admission_knows_requests_a_second_from_own_traffic_and_use(asked: float) -> None:
    """The due number in flight is that at full utilisation: arrival rate / utilisation * service time."""
    use = {f"h{at}": 0.9 for at in range(8)}
    seen = Served(dict.fromkeys(use, 2.0), use)
    seen.run(asked, 20)
    assert seen.balancer.capacity.rate_per_size * 8 * 2.0 * 0.9 / FLEET == pytest.approx(asked, rel=0.2)
    assert seen.balancer.admission.limit > asked * ANSWER_NS / SECOND  # above the mean number in flight
    assert seen.refused < 0.03 * seen.sent.total()


def test_sizes_say_nothing_of_how_warm_a_host_is() -> None:
    """With sizes as capacities, a cold host would count as warm after its first reports."""
    seen = Served({"a": 2.0, "b": 2.0}, {"a": 0.9, "b": 0.9})
    seen.run(40.0, 5)
    host = seen.balancer.host_table.hosts["a"]
    host.started_ns = seen.now
    assert slow_start.reported_fraction(host, 2.0) == pytest.approx(1.0)
    assert seen.balancer.slow_start.warm_fraction(host, seen.now) == pytest.approx(0.3)


def test_where_throughput_is_reported_sizes_are_not_asked() -> None:
    told: dict[str, object] = {"telemetry": {"names": ["throughput", "utilization"]}, "weights": "rough"}
    assert not capacity_estimates.uses_sizes(parse_settings(SETUP | told))
    told["telemetry"] = {"names": ["recent_ms", "utilization"]}
    assert capacity_estimates.uses_sizes(parse_settings(SETUP | told))
    assert parse_settings(SETUP | told).weight_source == "rough"

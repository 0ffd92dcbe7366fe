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


class ProxySimulation:
    """One proxy and hosts of the given sizes with the utilisations in `utilisation_by_host`."""

    def __init__(
        self, nominal: dict[str, float], utilisation_by_host: dict[str, float], **settings: object
    ) -> None:
        all_settings: dict[str, object] = {
            "report_fields": ("utilization",),
            "weight_source": "nominal",
        } | settings
        self.balancer = Balancer(
            api.Settings(
                zone="a", fleet_size=FLEET, is_value_by_work=True, warm_up_ns=10 * SECOND,
                initial_capacity=0.3, overload_multiple=4.0,
                classes=(api.RequestClass("r", SECOND, 2 * SECOND, 1.0),),
                **all_settings,  # type: ignore[arg-type]
            ),
            7,
        )  # fmt: skip
        self.utilisation_by_host, self.now, self.tick, self.rejected = utilisation_by_host, 100 * SECOND, 0, 0
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
            self.rejected += isinstance(action, api.RejectRequest)

    def run(self, requests_per_s: float, seconds: int) -> None:
        rng = random.Random(3)
        for _ in range(seconds * SECOND // STEP):
            self.now += STEP
            while self.out and self.out[0][0] <= self.now:
                _, request, host = self.out.popleft()
                report = api.LoadReport(self.utilisation_by_host[host], None)
                self.act(api.AttemptEnded(request, 0, host, api.AttemptStatus.OK, ANSWER_NS, True, report))
            if self.now >= self.tick:
                self.act(api.TimerFired(0))
            if rng.random() < requests_per_s * STEP / SECOND:
                self.act(api.RequestArrived(f"{self.now}", "r", None, 2 * SECOND))


def test_weights_follow_the_spare_part_of_a_size() -> None:
    """Hosts that report only utilisation used to get equal traffic, whatever their size and load."""
    simulation = ProxySimulation(
        {"large": 4.0, "busy": 4.0, "small": 1.0}, {"large": 0.5, "busy": 0.75, "small": 0.5}
    )
    simulation.run(60.0, 20)
    parts = {host.name: host.weight / 64 for host in simulation.balancer.round_robin.ring}
    assert parts == pytest.approx({"large": 2 / 3.5, "busy": 1 / 3.5, "small": 0.5 / 3.5}, abs=0.02)
    assert simulation.sent["large"] > 1.3 * simulation.sent["busy"] > 1.3 * 1.3 * simulation.sent["small"]


@pytest.mark.parametrize("weights", ["live", "silent"])
def test_what_the_list_does_not_have_as_sizes_is_none(weights: str) -> None:
    simulation = ProxySimulation({"a": 4.0, "b": 1.0}, {"a": 0.5, "b": 0.5}, weight_source=weights)
    simulation.run(60.0, 10)
    assert simulation.sent["a"] / simulation.sent.total() == pytest.approx(0.5, abs=0.05)


@pytest.mark.parametrize("asked", [10.0, 80.0])
def test_admission_knows_requests_a_second_from_own_traffic_and_use(asked: float) -> None:
    """The due number in flight is that at full utilisation: arrival rate / utilisation * service time."""
    utilisation_by_host = {f"h{at}": 0.9 for at in range(8)}
    simulation = ProxySimulation(dict.fromkeys(utilisation_by_host, 2.0), utilisation_by_host)
    simulation.run(asked, 20)
    assert simulation.balancer.capacity.rate_per_size * 8 * 2.0 * 0.9 / FLEET == pytest.approx(asked, rel=0.2)
    assert simulation.balancer.admission.limit > asked * ANSWER_NS / SECOND  # above the mean number in flight
    assert simulation.rejected < 0.03 * simulation.sent.total()


def test_sizes_say_nothing_of_how_warm_a_host_is() -> None:
    """With sizes as capacities, a cold host would count as warm after its first reports."""
    simulation = ProxySimulation({"a": 2.0, "b": 2.0}, {"a": 0.9, "b": 0.9})
    simulation.run(40.0, 5)
    host = simulation.balancer.host_table.hosts["a"]
    host.started_ns = simulation.now
    assert slow_start.reported_fraction(host, 2.0) == pytest.approx(1.0)
    assert simulation.balancer.slow_start.warm_fraction(host, simulation.now) == pytest.approx(0.3)


def test_where_throughput_is_reported_sizes_are_not_asked() -> None:
    all_settings: dict[str, object] = {
        "telemetry": {"names": ["throughput", "utilization"]},
        "weights": "rough",
    }
    assert not capacity_estimates.uses_sizes(parse_settings(SETUP | all_settings))
    all_settings["telemetry"] = {"names": ["recent_ms", "utilization"]}
    assert capacity_estimates.uses_sizes(parse_settings(SETUP | all_settings))
    assert parse_settings(SETUP | all_settings).weight_source == "rough"

"""Tests of the totals over a fleet: behaviour harmless in one sidecar that exceeds a limit in all of them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from brambleusher.lab.checker import Rules
from brambleusher.lab.checker.sums import FleetLimits, FleetTotals, NodeLimits
from brambleusher.lab.fleets.scenario import Scenario, read_scenario, write_scenario
from brambleusher.lab.virtual.explore import play
from brambleusher.lab.virtual.mass import DAYS, draw_mass
from brambleusher.lab.virtual.network import Connection, End
from brambleusher.loadbalancing import Balancer, slow_start
from brambleusher.loadbalancing.host_table import HostTable
from brambleusher.net.endpoint_list import EndpointList
from brambleusher.net.upstream_connections import UpstreamConnections

SECOND = 10**9
NODE = NodeLimits("node 0", 3, 0.001)
LIMITS = FleetLimits((NODE,), calls=2.0, rules=Rules({}))


def connection_to(number: int, to: str = "node 0") -> Connection:
    return Connection(number, End(f"n{number}", "10.0.0.1", 40000), End(to, "10.1.0.1", 9000), 0)


def test_places_are_counted_while_they_are_held_and_failures_by_who_met_them() -> None:
    sums = FleetTotals(0, LIMITS)
    for number in range(4):
        sums.opened(1, connection_to(number))
        sums.established(2, connection_to(number))
        sums.established(2, connection_to(number))
    assert sums.exceeded_limits() == [
        "held: 1.33 of at most 1 at 0 s: connections at a node, of those it can hold"
    ]
    for number in range(4):
        sums.sent(SECOND, connection_to(number), "client", b"GET")
    sums.sent(SECOND, connection_to(0), "server", b"200")
    for number in range(4):
        sums.closed(SECOND + 1, connection_to(number), "client")
        sums.ended(SECOND + 2, connection_to(number), "client", "reset")
    assert sums.copies.values[1] == 3  # the first connection already had its answer
    sums.opened(2 * SECOND, connection_to(9))
    sums.established(2 * SECOND, connection_to(9))
    assert sums.held.values[2] == pytest.approx(1 / 3)
    assert sums.opens.values == [pytest.approx(0.004), 0.0, pytest.approx(0.001)]


def test_calls_are_counted_by_the_second() -> None:
    sums = FleetTotals(0, LIMITS)
    for number in range(6):
        sums.opened(number * SECOND // 2, connection_to(number, "discovery"))
    assert not sums.calls.is_exceeded
    sums.opened(2 * SECOND, connection_to(7, "discovery 2"))
    assert sums.calls.highest == 3
    assert sums.exceeded_limits()
    assert sums.total_calls == 7


def small_day(day: str, seed: int = 1, length_s: float = 5.0) -> Scenario:
    return draw_mass(seed, day, 24, 16, length_s)


@pytest.fixture(scope="module")
def unmodified() -> dict[str, FleetTotals]:
    """Play three days with the unchanged program and return their totals by day."""
    found = {}
    for day in ("mass-calm", "mass-join", "mass-roll"):
        result = play(small_day(day), sums=True)
        assert result.sums is not None
        assert result.rules == []
        found[day] = result.sums
    return found


def test_days_are_the_same_for_the_same_seed_and_can_be_kept_in_a_file() -> None:
    for day in DAYS:
        scenario = small_day(day)
        assert scenario == small_day(day)
        assert read_scenario(write_scenario(scenario)) == scenario
    with pytest.raises(ValueError, match="mass-calm"):
        draw_mass(1, "mass-none")


def test_days_pass_no_limit(unmodified: dict[str, FleetTotals]) -> None:
    for sums in unmodified.values():
        assert sums.exceeded_limits() == []
        assert sums.opens.highest > 0 < sums.held.highest
        assert len(sums.table()) > 5
    assert unmodified["mass-join"].cold.highest > 0


def call_discovery_at_once(patch: pytest.MonkeyPatch) -> None:
    old = Balancer.start

    def start(self: Balancer, now: int) -> Any:
        actions = old(self, now)
        self.subscription.due_ns = now
        return actions

    patch.setattr(Balancer, "start", start)


def ignore_other_proxies(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(slow_start, "proxies_per_host", lambda *_: 1.0)


def use_every_node(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(HostTable, "subset_size", lambda self: 10_000)


def close_after_use(patch: pytest.MonkeyPatch) -> None:
    old = UpstreamConnections.release
    patch.setattr(
        UpstreamConnections, "release", lambda self, node, stream, keep: old(self, node, stream, False)
    )


@pytest.mark.parametrize(
    ("mutation", "day", "curve", "times"),
    [
        (call_discovery_at_once, "mass-calm", "calls", 1.5),
        (ignore_other_proxies, "mass-join", "cold", 1.2),
        (use_every_node, "mass-calm", "all_held", 1.3),
        (close_after_use, "mass-calm", "opens", 2.0),
    ],
)
def test_what_is_harmless_in_one_sidecar_shows_in_a_sum(
    mutation: Callable[[pytest.MonkeyPatch], None],
    day: str,
    curve: str,
    times: float,
    unmodified: dict[str, FleetTotals],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    mutation(monkeypatch)
    sums = play(small_day(day), sums=True).sums
    assert sums is not None
    assert getattr(sums, curve).highest > times * getattr(unmodified[day], curve).highest


def test_a_fleet_that_is_told_of_another_discovery_does_not_call_it_in_one_moment(
    unmodified: dict[str, FleetTotals], monkeypatch: pytest.MonkeyPatch
) -> None:
    old = EndpointList.switch_discovery
    monkeypatch.setattr(EndpointList, "switch_discovery", lambda self, feed, within_s: old(self, feed, 0.0))
    at_once = play(small_day("mass-roll"), sums=True).sums
    assert at_once is not None
    spread, calls = unmodified["mass-roll"].calls.values, at_once.calls.values
    moved = max(range(len(calls)), key=lambda second: calls[second] - spread[second])
    assert calls[moved] > 1.5 * spread[moved] > 0
    assert unmodified["mass-roll"].total_calls <= at_once.total_calls  # spreading adds no call

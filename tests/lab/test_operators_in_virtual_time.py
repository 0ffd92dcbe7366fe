"""Tests of operators' calls in virtual time, and of the time limit on a run."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from brambleusher.cli.explore import bounded
from brambleusher.lab.fleets.fleet import SECOND, Fleet
from brambleusher.lab.fleets.scenario import draw_scenario
from brambleusher.lab.virtual.explore import ENDLESS, play
from brambleusher.loadbalancing import Balancer
from brambleusher.sidecar.app import FRESH_LIST_TIMEOUT_S
from tests.lab.test_fault_plans import FROM_S, fault_of, scenario_with


def test_a_sidecar_that_discovery_turns_away_is_ready_with_the_list_it_had() -> None:
    """Guards against sidecars that start together and each wait for the whole timeout of a fresh list."""
    scenario = scenario_with(fault_of("sidecars-released", {"down_s": 0.0}))
    sidecars = tuple(msgspec.structs.replace(each, known="current") for each in scenario.world.sidecars)
    world = msgspec.structs.replace(scenario.world, sidecars=sidecars)
    with (fleet := Fleet(msgspec.structs.replace(scenario, world=world))).world as run:
        fleet.start()
        run.run(fleet.begins_ns + int((FROM_S + 0.01) * SECOND))
        begun, there = run.now_ns, fleet.sidecars
        assert run.run(
            begun + 5 * SECOND, lambda: all(each.sidecar and each.sidecar.is_ready() for each in there)
        )
        assert run.now_ns - begun < 0.8 * FRESH_LIST_TIMEOUT_S * SECOND
        assert not any(each.sidecar and each.sidecar.endpoint_list.has_discovery_answered for each in there)


def test_what_was_not_said_by_the_end_is_never_said() -> None:
    """Guards against a sidecar that stays out of service for good after a fault that ends before its call."""
    fault = msgspec.structs.replace(fault_of("sidecar-out-of-service", {}), for_s=0.1)
    with (fleet := Fleet(scenario_with(fault))).world as run:
        fleet.start()
        run.run(fleet.begins_ns + int((FROM_S + 2) * SECOND))
        assert fleet.operators is not None
        assert {call.target for call in fleet.operators.records} == {"/ready"}


@pytest.mark.parametrize("where", ["the program", "the lab"])
def test_a_run_without_end_is_ended_and_named(where: str, monkeypatch: pytest.MonkeyPatch) -> None:
    def without_end(*_: Any) -> None:
        while True:
            pass

    if where == "the program":
        monkeypatch.setattr(Balancer, "_update_admission_limit", without_end)
    else:
        monkeypatch.setattr(Fleet, "_check_calm", without_end)
    with bounded(0.5):
        result = play(draw_scenario(1))
    ended = [breach for breach in result.breaches if breach.rule == ENDLESS]
    assert ended and any("without_end" in text for _, text in ended[0].trail)


def test_a_run_that_ends_is_left_alone() -> None:
    with bounded():
        assert ENDLESS not in play(draw_scenario(1)).rules

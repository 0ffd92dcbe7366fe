"""Tests of the policy file: keys, defaults, errors, and that each key switches its mechanism off."""

from __future__ import annotations

import random
import tomllib
from pathlib import Path

import pytest

from brambleusher import system_main
from brambleusher.dataplane.instance_table import InstanceTable
from brambleusher.dataplane.placement import Placement
from brambleusher.loadbalancing.instance_metrics import LOAD_WINDOW_S, MAX_LOAD, TICK_S
from brambleusher.loadbalancing.instance_weights import UNRESPONSIVE_RATIO, InstanceWeights, Mechanisms
from brambleusher.wire import instance_load, policy
from brambleusher.wire.configuration import Service
from brambleusher.wire.errors import InvalidPolicyError
from brambleusher.wire.instance_load import InstanceLoad
from brambleusher.wire.policy import Policy
from tests.dataplane.dataplane_builders import ZONES, entry, listed, placement_request
from tests.loadbalancing.test_instance_weights import LATENCY_TARGET_S, send, ticks


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("own_region = true", "own_region"),
        ("health = 1", "health"),
        ('resume = "no"', "resume"),
        ("x", "file"),
    ],
)
def test_a_wrong_key_is_named(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], text: str, key: str
) -> None:
    path = tmp_path / "policy.toml"
    path.write_text(text)
    with pytest.raises(InvalidPolicyError) as raised:
        policy.read(str(path))
    assert raised.value.key == key
    assert system_main.main(["check-policy", str(path)]) == 1
    assert key in capsys.readouterr().err


def test_all_keys_are_listed_and_the_list_is_a_policy_file(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert system_main.main(["policy"]) == 0
    listed = capsys.readouterr().out
    assert set(tomllib.loads(listed)) == set(policy.key_names())
    path = tmp_path / "policy.toml"
    path.write_text(listed)
    assert policy.read(str(path)) == Policy()


def test_a_missing_file_is_an_invalid_policy(tmp_path: Path) -> None:
    with pytest.raises(InvalidPolicyError):
        policy.read(str(tmp_path / "none.toml"))


def instance_table(active: Policy, *entries: dict[str, object]) -> InstanceTable:
    made = InstanceTable(ZONES, random.Random(1), active)
    made.services = {"llm": Service(name="llm", warmup_s=3.0, cold_per_s=10.0)}
    made.update(listed(*entries), 0.0, 0.0)
    return made


def chosen(active: Policy, key: str = "", tokens: int = 0) -> set[str]:
    instances = instance_table(active, entry("a"), entry("b", "n2"), entry("c", "s1"))
    placement = Placement(instances, "north", active)
    found = [placement.choose(placement_request(key, tokens), (), 0.0) for _ in range(12)]
    return {instance.id for instance in found if instance}


def test_own_region_and_prefix_affinity_can_be_switched_off() -> None:
    assert chosen(Policy()) == {"a", "b"}
    assert chosen(Policy(own_region_first=False)) == {"a", "b", "c"}
    assert len(chosen(Policy(), "k", 5000)) == 1
    assert len(chosen(Policy(prefix_keepers=False), "k", 5000)) == 2


def test_warm_up_budget_and_backoff_can_be_switched_off() -> None:
    for active, most in ((Policy(), 1), (Policy(cold_budget=False), 5)):
        instances = instance_table(active, entry("a"))
        instances.gateway_count = 1.0
        instances.update(listed(entry("a"), entry("b")), 1.0, 1.0)
        warming = next(instance for instance in instances.for_service("llm") if instance.id == "b")
        assert sum(instances.admit(warming, 1.0) for _ in range(5)) == most
        warming.record_connect_failure(1.0)
        usable = {instance.id for instance in instances.usable(placement_request().route, "llm", 1.0)}
        assert ("b" in usable) is not active.backs_off_after_failure
    without_backoff = instance_table(Policy(rest_after_failure=False), entry("a"))
    without_backoff.for_service("llm")[0].record_connect_failure(1.0)
    assert without_backoff.usable(placement_request().route, "llm", 1.0)


def weights_with(**off: bool) -> InstanceWeights:
    weights = InstanceWeights(random.Random(1), Mechanisms(**off))
    weights.set_instances({"a": 64.0, "b": 64.0})
    weights.recompute(0.0, 1.0)
    return weights


def test_health_and_latency_can_be_switched_off() -> None:
    for off, differs in (({}, True), ({"health": False}, False)):
        weights = weights_with(**off, latency_index=False, spare=False)
        for at in range(8):
            send(weights, "a", at / 100, succeeds=False)
            send(weights, "b", at / 100)
        ticks(weights, 0.0, 2)
        current = weights.weights()
        assert (current["a"] < current["b"]) is differs
    for off, differs in (({}, True), ({"latency_index": False}, False)):
        weights = weights_with(**off, spare=False)
        for at in range(8):
            send(weights, "a", at / 100, latency=LATENCY_TARGET_S * 1.3)
            send(weights, "b", at / 100)
        ticks(weights, 0.0, 1)
        current = weights.weights()
        assert (current["a"] < current["b"]) is differs


def test_skipping_unresponsive_instances_can_be_switched_off() -> None:
    for off, expected in (({}, {"b"}), ({"unresponsive": False}, {"a", "b"})):
        weights = weights_with(**off, slot_limit=False)
        weights.start_attempt("a", 0, LATENCY_TARGET_S, 0.0)
        now = LATENCY_TARGET_S * (UNRESPONSIVE_RATIO + 0.1)
        assert {weights.choose(["a", "b"], now) for _ in range(2)} == expected


# --- load reported by instances --------------------------------------------------------------------


@pytest.mark.parametrize(
    ("value", "load"),
    [
        (b"3,1,96", InstanceLoad(3, 1, 96)),
        (b" 3 , 1 , 96 ", InstanceLoad(3, 1, 96)),
        (b"0,0,1", InstanceLoad(0, 0, 1)),
        *(
            (bad, None)
            for bad in (b"", b"3,1", b"3,1,96,2", b"a,1,96", b"-1,0,96", b"1.5,0,9", b"1,1,0", b"9" * 40)
        ),
    ],
)
def test_a_reported_load_is_parsed_or_ignored(value: bytes, load: InstanceLoad | None) -> None:
    assert instance_load.read(value) == load


def test_the_instance_with_higher_load_gets_less_weight_at_once() -> None:
    weights = weights_with()
    weights.record_load("a", 48, 0, 64)
    weights.record_load("b", 0, 0, 64)
    ticks(weights, 0.0, 1)
    current = weights.weights()
    assert current["a"] == pytest.approx(current["b"] / 4, rel=0.1)


def test_without_the_mechanism_and_without_reports_nothing_changes() -> None:
    weights = weights_with(reported_load=False)
    weights.record_load("a", 64, 10, 64)
    ticks(weights, 0.0, 1)
    assert weights.weights() == {"a": 32.0, "b": 32.0}


def test_reports_of_other_gateways_count_and_a_report_fades() -> None:
    weights = weights_with()
    weights.import_totals(5, {"a": [0, 0, 0, 0, 0, 0, 4.0, 5.0], "b": [0, 0, 0, 0, 0, 0, 0.0, 5.0]}, 0.0)
    ticks(weights, 0.0, 1)
    assert weights.weights()["a"] < weights.weights()["b"] / 3
    alone = weights_with()
    alone.record_load("a", 60, 0, 64)
    steps = int(3 * LOAD_WINDOW_S / TICK_S)
    ticks(alone, 0.0, steps)
    assert alone.weights() == {"a": 32.0, "b": 32.0}


def test_sums_of_an_older_controller_have_no_reports() -> None:
    weights = weights_with()
    weights.import_totals(2, {"a": [3.0, 0.0, 1.0, 3.0, 0.3, 1.0]}, 0.0)
    ticks(weights, 0.0, 1)
    assert set(weights.weights()) == {"a", "b"}


def test_the_effect_of_one_false_load_report_is_bounded() -> None:
    """A false claim to be idle attracts no more than an idle instance would; excessive loads are capped."""
    weights = weights_with()
    weights.record_load("a", 0, 0, 1)
    weights.record_load("b", 32, 0, 64)
    ticks(weights, 0.0, 1)
    current = weights.weights()
    assert current["a"] <= 2.1 * current["b"]
    weights.record_load("a", 10**6, 10**6, 1)
    assert weights.export_totals()["a"][6] <= MAX_LOAD

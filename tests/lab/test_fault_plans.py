"""Drawn worlds and fault plans depend on the seed alone, survive YAML, and each fault kind takes effect."""

from __future__ import annotations

import hashlib
import logging
import os
import re
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from brambleusher.lab.faults import kinds as faults
from brambleusher.lab.faults.kinds import KINDS, MIN_KINDS, PROFILES, AnyFault, Fault, draw_faults
from brambleusher.lab.fleets.figures import MIN_REQUESTS, Sampler, draw_world
from brambleusher.lab.fleets.fleet import SECOND, Fleet
from brambleusher.lab.fleets.scenario import (
    Scenario,
    ScenarioError,
    draw_scenario,
    read_scenario,
    write_scenario,
)
from brambleusher.lab.stand_ins import discovery as at_discovery
from brambleusher.lab.stand_ins import node as at_node
from brambleusher.lab.virtual.world import Machine, Tap

SEEDS = range(40)


@pytest.fixture(autouse=True)
def quiet() -> Any:
    """Suppress the log lines of sidecars under faults, which these tests don't check."""
    logger = logging.getLogger("brambleusher")
    before = logger.level
    logger.setLevel(logging.CRITICAL)
    yield
    logger.setLevel(before)


# --- draws ----------------------------------------------------------------------------------------


def test_every_draw_holds_what_a_run_needs() -> None:
    seen: set[str] = set()
    for seed in SEEDS:
        scenario = draw_scenario(seed)
        world = scenario.world
        assert sum(ask.at_s > world.faults_s for ask in scenario.asks) >= MIN_REQUESTS
        assert world.length_s >= 5
        assert len({fault.kind for fault in scenario.faults}) >= MIN_KINDS
        assert all(0 < fault.at_s <= fault.end_s <= world.faults_s + 1e-3 for fault in scenario.faults)
        assert all(0 <= ask.at_s <= world.length_s for ask in scenario.asks)
        assert len({ask.id for ask in scenario.asks}) == len(scenario.asks)
        assert {node.kind for node in world.nodes if not node.spare} == {"std-2core", "small-1core"}
        assert 0 < sum(ask.work_s for ask in scenario.asks) / world.length_s < world.capacity
        seen.update(fault.kind for fault in scenario.faults)
    assert len(seen) > 30


def test_several_faults_run_at_once() -> None:
    def at_once(plan: tuple[AnyFault, ...]) -> int:
        return max(sum(other.at_s <= fault.at_s < other.end_s for other in plan) for fault in plan)

    most = [at_once(draw_scenario(seed).faults) for seed in SEEDS]
    assert sum(most) / len(most) > 2 and max(most) >= 4


@pytest.mark.parametrize("profile", PROFILES)
def test_profiles_draw_from_their_kinds(profile: str) -> None:
    assert set(PROFILES[profile]) <= set(KINDS)
    drawn = {fault.kind for seed in SEEDS for fault in draw_faults(seed, draw_world(seed), profile)}
    assert drawn <= set(PROFILES[profile]) and len(drawn) >= min(5, len(set(PROFILES[profile])))


def test_an_unknown_profile_is_named() -> None:
    with pytest.raises(ValueError, match=r"unknown profile 'nodez'; known profiles: default, nodes"):
        draw_scenario(1, "nodez")


def digest() -> str:
    texts = [write_scenario(draw_scenario(seed, "default")) for seed in range(3)]
    return hashlib.sha256("".join(texts).encode()).hexdigest()


def test_a_seed_draws_the_same_in_every_process() -> None:
    code = "from tests.lab.test_fault_plans import digest; print(digest())"
    found = {
        subprocess.run(
            [sys.executable, "-c", code],
            env={**os.environ, "PYTHONHASHSEED": seed},
            capture_output=True,
            text=True,
            check=True,
        ).stdout.strip()
        for seed in ("0", "4242")
    }
    assert found == {digest()}


def test_one_part_does_not_shift_the_others() -> None:
    plain, other = draw_scenario(5), draw_scenario(5, "network")
    assert plain.world == other.world and plain.asks == other.asks and plain.faults != other.faults


# --- files ----------------------------------------------------------------------------------------


def whole(seed: int = 3) -> Scenario:
    """Return a scenario with a fault of every kind."""
    scenario = draw_scenario(seed)
    draw = Sampler(seed, "all")
    every = tuple(faults._draw_fault(of, draw, scenario.world) for of in KINDS.values())
    return msgspec.structs.replace(scenario, faults=every, asks=scenario.asks[:5])


def test_files_hold_everything() -> None:
    scenario = whole()
    text = write_scenario(scenario)
    assert read_scenario(text) == scenario
    assert write_scenario(read_scenario(text)) == text


@pytest.mark.parametrize(
    ("old", "new", "said"),
    [
        ("kind: node-slow", "kind: node-slwo", "node-slwo"),
        ("factor: ", "faktor: ", "faktor"),
        ("kind: node-slow, factor: [0-9.]+", "kind: node-slow, factor: 0.5", "faults[0].factor"),
        ("kind: node-slow, factor: [0-9.]+", "kind: node-slow, factor: fast", "faults[0].factor"),
        ("kind: node-slow, factor: [0-9.]+", "kind: node-slow", "missing required field `factor`"),
        ("at_s: [0-9.]+", "at_s: -1", "at_s"),
        ("target: s-[0-9a-f]+", "target: s-nobody", "node-slow is aimed at 's-nobody': unknown node"),
        ("length_s: ", "lenght_s: ", "lenght_s"),
        ("sidecar: 0", "sidecar: 9", "asks["),
        ("format: 1", "format: 2", "format"),
        ("seed: 3", "seed: x", "seed"),
        ("faults:", "faults: [", "not YAML"),
    ],
)
def test_files_that_are_wrong_are_refused_by_name(old: str, new: str, said: str) -> None:
    text, count = re.subn(old, new, write_scenario(whole()), count=1)
    assert count == 1
    with pytest.raises(ScenarioError) as error:
        read_scenario(text)
    assert said in str(error.value) and "\n" not in str(error.value)


# --- every kind at work ---------------------------------------------------------------------------

FROM_S, FOR_S = 0.5, 2.0
See = Callable[[Fleet, Any], bool]


def scenario_with(*plan: AnyFault) -> Scenario:
    drawn = draw_scenario(3)
    world = msgspec.structs.replace(
        drawn.world, notice_s=0.1, silent_notice_s=0.2, faults_s=FROM_S + FOR_S, length_s=6.0
    )
    nodes = tuple(
        msgspec.structs.replace(node, settings=msgspec.structs.replace(node.settings, cold_s=20.0))
        for node in world.nodes
    )
    world = msgspec.structs.replace(world, nodes=nodes)
    return msgspec.structs.replace(drawn, world=world, faults=plan)


BASE = scenario_with()
NODE, SIDECAR = BASE.world.nodes[0], BASE.world.sidecars[0]


def node_instance(fleet: Fleet) -> Any:
    return fleet.node_instance(NODE.id)


def state(fleet: Fleet, name: str = NODE.id) -> str:
    """Return the node's state as discovery currently lists it."""
    entry = fleet.discovery.list.get(name)
    return "Gone" if entry is None else entry.state


def active_fault(fleet: Fleet, kind: type[Any]) -> Any:
    return node_instance(fleet).active_faults.last(kind)


def service(fleet: Fleet) -> Any:
    return fleet.discovery.service


def dead(process: Any) -> bool:
    return bool(process.dead)


def cold(node: Any) -> bool:
    return bool(node.machine.is_cold)


def linked(fleet: Fleet, to_node: bool) -> bool:
    node, sidecar = node_instance(fleet).machine, fleet.sidecars[0].machine
    pair = (sidecar, node) if to_node else (node, sidecar)
    return not fleet.world.network.link(*pair).down


def extra(fleet: Fleet) -> int:
    machines = fleet.world.machines
    return fleet.world.network.link(
        machines[node_instance(fleet).machine.name], machines[fleet.sidecars[0].machine.name]
    ).extra_ns


def sidecar(fleet: Fleet) -> Any:
    return fleet.sidecars[0]


def ends(fleet: Fleet) -> bool:
    """Return whether the sidecar is shutting down (it still serves open requests) or has exited."""
    return not sidecar(fleet).up or sidecar(fleet).sidecar.lifecycle.is_shutting_down


def down(fleet: Fleet, name: str) -> bool:
    """Return whether the link from a machine to the first sidecar is partitioned."""
    machines = fleet.world.machines
    return fleet.world.network.link(machines[name], machines[SIDECAR.name]).down


def bans(fleet: Fleet) -> dict[str, Any]:
    return dict(sidecar(fleet).sidecar.bans.bans)


# For each kind: its parameters, and a condition that holds during the fault but not before or after it.
CASES: dict[str, tuple[dict[str, Any], See]] = {
    "node-slow": ({"factor": 4.0}, lambda fleet, _: node_instance(fleet).node.machine._slow == 4.0),
    "node-hung": ({}, lambda fleet, _: node_instance(fleet).node.machine._hung),
    "node-stalled": ({}, lambda fleet, _: node_instance(fleet).process.stalled_until > fleet.world.now_ns),
    "node-crashed": ({}, lambda fleet, _: not node_instance(fleet).up and state(fleet) == "Gone"),
    "node-restarted": (
        {"drain_s": 0.5}, lambda fleet, _: not node_instance(fleet).up and state(fleet) == "Gone",
    ),
    "node-vanished": (
        {}, lambda fleet, _: node_instance(fleet).machine.has_vanished and state(fleet) == "Gone",
    ),
    "fleet-shrinks": (
        {"part": 0.5, "drain_s": 0.3},
        lambda fleet, _: sum(not each.up for each in fleet.node_instances if not each.spec.spare) >= 1,
    ),
    "neighbour": (
        {"share": 0.5, "on_s": 9.0, "off_s": 0.1},
        lambda fleet, _: node_instance(fleet).node.machine._neighbour_share == 0.5,
    ),
    "drain-told-late": (
        {"late_s": 0.7, "drain_s": 0.3},
        lambda fleet, _: not node_instance(fleet).up and state(fleet) == "Gone",
    ),
    "drain-taken-back": ({}, lambda fleet, _: node_instance(fleet).up and state(fleet) == "Terminating"),
    "drain-flaps": ({"every_s": 0.15}, lambda fleet, _: bool(fleet.discovery.version > 8)),
    "resets": (
        {"where": "in", "part": 1.0}, lambda fleet, _: active_fault(fleet, at_node.Resets) is not None,
    ),
    "answers-spoilt": (
        {"how": "noise", "part": 1.0},
        lambda fleet, _: active_fault(fleet, at_node.MalformedResponses) is not None,
    ),
    "turning-away": (
        {"part": 1.0}, lambda fleet, _: active_fault(fleet, at_node.RejectsRequests) is not None,
    ),
    "reports-late": ({"by_s": 1.0}, lambda fleet, _: active_fault(fleet, at_node.DelayedReports) is not None),
    "reports-wrong": (
        {"how": "noise"}, lambda fleet, _: active_fault(fleet, at_node.InvalidReports) is not None,
    ),
    "close-crossing": (
        {"within_s": 0.1, "part": 1.0},
        lambda fleet, _: active_fault(fleet, at_node.EarlyClose) is not None,
    ),
    "discovery-down": ({"how": "refuse"}, lambda fleet, _: not service(fleet).listening),
    "discovery-slow": (
        {"factor": 9.0},
        lambda fleet, _: service(fleet).active_faults.last(at_discovery.SlowRequests) is not None,
    ),
    "discovery-silent": (
        {}, lambda fleet, _: service(fleet).active_faults.last(at_discovery.Unresponsive) is not None,
    ),
    "discovery-garbage": (
        {"how": "noise"},
        lambda fleet, _: service(fleet).active_faults.last(at_discovery.Garbage) is not None,
    ),
    "discovery-restarted": ({}, lambda fleet, _: dead(fleet.discovery.process)),
    "bad-clients": ({"what": "silent", "count": 30}, lambda fleet, _: fleet.bad[0].open == 30),
    "sidecar-terminated": ({}, lambda fleet, _: ends(fleet)),
    "sidecar-killed": ({}, lambda fleet, _: not sidecar(fleet).up),
    "wall-clock-set": (
        {"by_s": -60.0}, lambda fleet, _: sidecar(fleet).machine.wall_offset_ns == -60 * SECOND,
    ),
    "descriptors-used-up": (
        {"left": 2}, lambda fleet, _: sidecar(fleet).process.limit < SIDECAR.sockets,
    ),
    "bad-configuration": ({"how": "half"}, lambda fleet, _: not sidecar(fleet).file.endswith(b"}}")),
    "link-cut": (
        {"way": "to-node"}, lambda fleet, _: not linked(fleet, True) and linked(fleet, False),
    ),
    "link-slow": ({"by_s": 0.1}, lambda fleet, _: extra(fleet) == SECOND // 10),
    "connects-swallowed": ({}, lambda fleet, _: node_instance(fleet).machine.drops_connects),
    "connects-refused": ({}, lambda fleet, _: bool(fleet.world.network.refusing)),
    "zone-lost": (
        {},
        lambda fleet, _: node_instance(fleet).machine.has_vanished
        and not fleet.node_instances[1].machine.has_vanished,
    ),
    "zone-cut": ({}, lambda fleet, _: not linked(fleet, True) and not linked(fleet, False)),
    "zone-flaps": ({"every_s": 1.3, "how": "cut"}, lambda fleet, _: not linked(fleet, True)),
    "zone-unreachable": (
        {"way": "from-nodes", "sidecar": SIDECAR.name},
        lambda fleet, _: linked(fleet, True) and not linked(fleet, False),
    ),
    "zone-grey": (
        {"every": 3, "factor": 5.0, "resets": 0.1},
        lambda fleet, _: active_fault(fleet, at_node.SlowEveryNth) is not None,
    ),
    "zone-drained": (
        {"gap_s": 0.1, "drain_s": 0.3},
        lambda fleet, _: not node_instance(fleet).up and state(fleet) == "Gone",
    ),
    "zone-rules-read": ({"what": "bad"}, lambda fleet, _: sidecar(fleet).operator.endswith(b"}}}")),
    "sidecar-paused": ({}, lambda fleet, _: sidecar(fleet).process.stalled_until > fleet.world.now_ns),
    "sidecar-unreachable": (
        {"way": "to-sidecar"},
        lambda fleet, _: down(fleet, fleet.client_machine.name),
    ),
    "discovery-unreachable": (
        {}, lambda fleet, _: down(fleet, fleet.discovery.machine.name),
    ),
    "lists-differ": (
        {"part": 1.0, "by_s": 0.2},
        lambda fleet, _: service(fleet).active_faults.last(at_discovery.DelayedUpdates) is not None,
    ),
    "link-jitter": ({"by_s": 0.1}, lambda fleet, _: extra(fleet) > 0),
    "node-banned": (
        {"restart": True},
        lambda fleet, _: any(name == NODE.id and ban.is_active for name, ban in bans(fleet).items()),
    ),
    "sidecar-out-of-service": ({}, lambda fleet, _: not sidecar(fleet).sidecar.client_draining.is_ready),
    "sidecars-released": (
        {"down_s": 0.1},
        lambda fleet, _: (
            sidecar(fleet).starts == 2
            and not sidecar(fleet).sidecar.endpoint_list.has_discovery_answered
        ),
    ),
}  # fmt: skip
# Kinds whose effects outlast the fault, or are visible only over a longer time.
STAYING: dict[str, tuple[dict[str, Any], See]] = {
    "node-replaced": ({}, lambda fleet, _: node_instance(fleet).id != NODE.id and state(fleet) == "Gone"),
    "fleet-renewed": (
        {"part": 1.0},
        lambda fleet, _: all(
            each.previous_ids and cold(each.node) for each in fleet.node_instances if each.up
        ),
    ),
    "fleet-grows": (
        {}, lambda fleet, _: all(each.up and cold(each.node) for each in fleet.node_instances[-1:])
    ),
    "discovery-moved": (
        {"version": 1}, lambda fleet, _: fleet.discovery.address[0] == "10.2.0.2" and bool(
            service(fleet).connections
        ),
    ),
    "list-churns": ({"every_s": 0.1}, lambda fleet, _: fleet.discovery.version > 10),
    "sidecar-starved": (
        {"part": 0.1},
        lambda fleet, _: sidecar(fleet).starts == 2 and bool(sidecar(fleet).process.stalled_until),
    ),
    "sidecar-stalled": ({"stall_s": 0.005}, lambda fleet, _: sidecar(fleet).process.stalled_until > 0),
    "connections-reset": ({"every_s": 0.1, "part": 1.0}, lambda fleet, tap: tap.resets > 0),
    "connections-silent": ({"part": 1.0}, lambda fleet, tap: fleet.world.now_ns > 0),
}  # fmt: skip


class Resets(Tap):
    """Counts the connections to nodes whose sidecar end was reset."""

    def __init__(self) -> None:
        self.resets = 0

    def ended(self, now: int, conn: Any, side: str, how: str) -> None:
        self.resets += how == "reset" and side == "client" and conn.server.machine.startswith("node")

    def process(self, now: int, machine: Machine, what: str) -> None:
        """Ignore process events."""


def fault_of(kind: str, given: dict[str, Any]) -> AnyFault:
    of: type[Fault] = KINDS[kind]
    target = {"node": NODE.id, "sidecar": SIDECAR.name, "zone": NODE.zone, "none": ""}[of.targets]
    made: Any = of(at_s=FROM_S, for_s=FOR_S, target=target, **given)
    return made  # type: ignore[no-any-return]


VIRTUAL = {kind: of for kind, of in KINDS.items() if of.worlds == "both"}


def test_what_virtual_time_lacks_is_refused_by_name() -> None:
    with pytest.raises(ValueError, match="link-throttled is supported for real processes only"):
        Fleet(scenario_with(fault_of("link-throttled", {})))


def test_every_kind_is_here() -> None:
    assert set(CASES) | set(STAYING) == set(VIRTUAL) and not set(CASES) & set(STAYING)


@pytest.mark.parametrize("kind", VIRTUAL)
def test_kinds_begin_and_end(kind: str) -> None:
    given, seen = {**CASES, **STAYING}[kind]
    tap = Resets()
    with (fleet := Fleet(scenario_with(fault_of(kind, given)))).world as world:
        world.taps.append(tap)
        fleet.start()
        world.run(fleet.begins_ns + int((FROM_S - 0.05) * SECOND))
        if kind in CASES:
            assert not seen(fleet, tap)
        world.run(fleet.begins_ns + int((FROM_S + 0.6 * FOR_S) * SECOND))
        assert seen(fleet, tap) or kind == "drain-flaps"
        world.run(fleet.begins_ns + int((FROM_S + FOR_S + 1.5) * SECOND))
        if kind in CASES and kind != "drain-flaps":
            assert not seen(fleet, tap)
        assert not fleet.running
        assert all(each.up for each in fleet.node_instances if not each.spec.spare)
        assert all(each.up for each in fleet.sidecars)
        assert {entry.state for entry in fleet.discovery.list.values()} == {"Ready"}
        assert len(fleet.discovery.list) >= sum(not each.spec.spare for each in fleet.node_instances)


@pytest.mark.parametrize("kind", [kind for kind, of in VIRTUAL.items() if of.targets != "none"])
def test_no_target_means_all(kind: str) -> None:
    given, _ = {**CASES, **STAYING}[kind]
    fault = msgspec.structs.replace(fault_of(kind, given), target="")
    with (fleet := Fleet(scenario_with(fault))).world as world:
        fleet.start()
        world.run(fleet.begins_ns + int((FROM_S + FOR_S + 1.5) * SECOND))
        assert not fleet.running and all(each.up for each in fleet.sidecars)
        assert all(each.up for each in fleet.node_instances if not each.spec.spare)


def test_two_faults_that_use_up_descriptors_end_in_the_limit_there_was() -> None:
    one = fault_of("descriptors-used-up", {"left": 3})
    two = msgspec.structs.replace(one, at_s=FROM_S + 0.5, for_s=1.0)
    with (fleet := Fleet(scenario_with(one, two))).world as world:
        fleet.start()
        limits = []
        for at in (0.7, 1.2, 2.2, 3.0):
            world.run(fleet.begins_ns + int(at * SECOND))
            limits.append(sidecar(fleet).process.limit)
        assert limits[1] <= limits[0] == limits[2] < limits[3] == SIDECAR.sockets


def test_a_node_that_is_down_for_two_faults_starts_when_both_have_ended() -> None:
    one = fault_of("node-crashed", {})
    two = msgspec.structs.replace(fault_of("node-vanished", {}), at_s=1.0, for_s=2.5)
    with (fleet := Fleet(scenario_with(one, two))).world as world:
        fleet.start()
        up = []
        for at in (0.4, 0.8, 2.7, 3.6):
            world.run(fleet.begins_ns + int(at * SECOND))
            up.append(node_instance(fleet).up)
        assert up == [True, False, False, True]


def test_the_operators_page_has_every_kind() -> None:
    rows = {}
    for line in Path("docs/operate/scenarios.md").read_text().splitlines():
        cells = [cell.strip() for cell in line.split("|")]
        if len(cells) > 4 and cells[1].startswith("`"):
            rows[cells[1].strip("`")] = cells[2], re.findall(r"`(\w+)`", cells[3])
    told = {
        kind: (
            "" if of.targets == "none" else of.targets,
            [name for name in of.__struct_fields__ if name not in Fault.__struct_fields__],
        )
        for kind, of in KINDS.items()
    }
    assert rows == told


# --- whole runs -----------------------------------------------------------------------------------


def story(seed: int, profile: str = "default") -> str:
    """Return a digest of all records of a run."""
    with (fleet := Fleet(draw_scenario(seed, profile))).world:
        ends = fleet.play()
        left = [text for end in ends for text in end.leaks()]
        still = fleet.end()
        assert not still and all(each.process and each.process.ended == 0 for each in fleet.sidecars)
        lines = [repr(each) for each in (*fleet.executions, *fleet.asked, *fleet.bad_connections)]
        lines += [repr(each) for each in fleet.discovery.sent_updates] + left
    return hashlib.sha256("\n".join(lines).encode()).hexdigest()


def test_a_run_is_the_same_again() -> None:
    assert story(7) == story(7) != story(8)


@pytest.mark.parametrize("profile", PROFILES)
def test_runs_of_each_profile_end_in_order(profile: str) -> None:
    for seed in (1, 2):
        story(seed, profile)

"""The five fault tolerance requirements of the control plane, tested in the complete system.

Randomized runs come last: sequences of faults, and operators that race and repeat requests.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from brambleusher.controlplane.configuration.commands import (
    PutConfiguration,
    SetEvacuation,
    Verdict,
)
from brambleusher.controlplane.replica import Replica
from brambleusher.runtime.scheduler import Scheduler
from brambleusher.runtime.streams import Stream
from tests.system.control_plane_faults import SHORT_SEGMENT_BYTES, play, short_segments
from tests.system.memory_disk import MemoryDisk
from tests.system.virtual_deployment import VirtualDeployment, configuration, route

CORES = ("c1", "c2", "c3")
SYNC_S = 4.0


@pytest.fixture
def deployment() -> Iterator[VirtualDeployment]:
    deployment = VirtualDeployment(gateways=1)
    yield deployment
    deployment.close()


def leader_of(deployment: VirtualDeployment) -> str:
    deployment.wait(lambda: deployment.leader() is not None)
    leader = deployment.leader()
    assert leader is not None
    return leader


def follower_of(deployment: VirtualDeployment) -> str:
    return next(name for name in CORES if name != leader_of(deployment))


def replica_of(deployment: VirtualDeployment, name: str) -> Replica:
    return deployment.controllers[name].replica


def put_until_accepted(deployment: VirtualDeployment, core: str, base: int, body: bytes) -> None:
    deployment.wait(lambda: deployment.put(core, base, body).status == 200)


def read_until_answered(deployment: VirtualDeployment, core: str) -> None:
    deployment.wait(lambda: deployment.control(core, "GET", "/api/config").status == 200)


def wait_until_ended(deployment: VirtualDeployment, name: str) -> None:
    deployment.wait(lambda: deployment.process(name).dead)


# --- requirement 1: a controller that is partitioned for about 20 seconds ------------------------


@pytest.mark.parametrize("leads", [True, False])
def test_a_partitioned_controller_neither_acknowledges_nor_rejects_nor_reads_stale_state(
    deployment: VirtualDeployment, leads: bool
) -> None:
    deployment.served()
    partitioned = leader_of(deployment) if leads else follower_of(deployment)
    others = [name for name in CORES if name != partitioned]
    for name in (*others, "g1"):
        deployment.world.network.partition(partitioned, name)
    accepted = 1
    begun = deployment.now
    while deployment.now < begun + 20.0:
        put_until_accepted(
            deployment, others[accepted % 2], accepted, configuration(accepted + 1, route(f"/n{accepted}/"))
        )
        accepted += 1
        # A partitioned controller cannot tell whether a base revision is current, so it rejects none as
        # outdated.
        assert deployment.put(partitioned, 1, configuration(2, route("/alone/"))).status == 503
        assert (
            deployment.put(partitioned, accepted, configuration(accepted + 1, route("/alone/"))).status == 503
        )
        assert deployment.control(partitioned, "GET", "/api/config").status == 503
        assert deployment.control(partitioned, "POST", "/api/evacuations/n1").status == 503
    for name in (*others, "g1"):
        deployment.world.network.heal(partitioned, name)
    joined = deployment.now
    statuses = set()
    while 200 not in statuses:
        read = deployment.control(partitioned, "GET", "/api/config")
        assert read.status in (200, 503)
        assert read.status == 503 or read.body == configuration(accepted, route(f"/n{accepted - 1}/"))
        statuses.add(read.status)
    assert deployment.now - joined < 3.0
    assert replica_of(deployment, leader_of(deployment)).state.evacuated_zones == []


def test_a_controller_frozen_for_twenty_seconds_reads_no_stale_state_afterwards(
    deployment: VirtualDeployment,
) -> None:
    """Requests that arrived meanwhile are pending, and the controller still considers itself the leader."""
    deployment.served()
    frozen = leader_of(deployment)
    address = (deployment.world.machines[frozen].ip, 8166)
    deployment.process(frozen).stall(20 * 10**9)
    deployment.sleep(0.1)
    read = deployment.start_call(address, "GET", "/api/config", timeout_s=40.0)
    change = deployment.start_call(
        address, "PUT", "/api/config", headers={"If-Match": "1"}, body=configuration(2), timeout_s=40.0
    )
    other = next(name for name in CORES if name != frozen)
    put_until_accepted(deployment, other, 1, configuration(3, route("/n/")))
    deployment.sleep(21.0)
    deployment.wait(lambda: bool(read.error) and bool(change.error))
    assert (read.status, read.body) == (200, configuration(3, route("/n/"))) or read.status == 503
    assert change.status in (412, 503)
    assert deployment.control(other, "GET", "/api/config").body == configuration(3, route("/n/"))


def test_a_starting_gateway_takes_no_stale_state_from_a_partitioned_controller(
    deployment: VirtualDeployment,
) -> None:
    """The gateway reaches all controllers; the one that is partitioned has an old configuration."""
    deployment.served()
    partitioned = follower_of(deployment)
    others = [name for name in CORES if name != partitioned]
    for name in others:
        deployment.world.network.partition(partitioned, name)
    put_until_accepted(deployment, others[0], 1, configuration(2, route("/n/")))
    deployment.sleep(1.0)
    for number in range(2, 8):
        name = f"g{number}"
        deployment.add_gateway(name, f"10.2.0.{number}", deployment.zones[number % 3])
        seen = set()
        for _ in range(100):
            deployment.sleep(0.03)
            gateway = deployment.gateways.get(name)
            table = gateway.routes if gateway is not None else None
            seen.add(0 if table is None else table.revision)
        assert seen - {0} == {2}


def test_a_gateway_starts_without_a_majority(deployment: VirtualDeployment) -> None:
    deployment.served()
    for name in (leader_of(deployment), follower_of(deployment)):
        deployment.power_off(name)
    deployment.sleep(2.0)
    deployment.add_gateway("g2", "10.2.0.2", "n1")
    deployment.wait(lambda: "g2" in deployment.gateways and deployment.gateways["g2"].is_ready, 6.0)


# --- requirement 2: one content per revision; repeated change requests ---------------------------


def test_a_revision_has_one_content_at_every_controller_after_every_loss(
    deployment: VirtualDeployment,
) -> None:
    deployment.served()
    bodies = [configuration(5, route("/x/")), configuration(5, route("/y/"))]
    assert sorted(deployment.put("c2", 1, body).status for body in bodies) == [200, 412]
    accepted, rejected = bodies
    later = configuration(6, route("/z/"))
    assert deployment.put("c3", 5, later).status == 200

    def all_say_the_same() -> None:
        for core in CORES:
            read_until_answered(deployment, core)
            assert deployment.put(core, 1, accepted).status == 200
            assert deployment.put(core, 1, rejected).status == 412
            assert deployment.control(core, "GET", "/api/config").body == later

    all_say_the_same()
    deployment.power_off(leader := leader_of(deployment), nothing_unsynced=True)
    deployment.sleep(2.0)
    deployment.power_on(leader)
    deployment.sleep(SYNC_S)
    all_say_the_same()
    lost = follower_of(deployment)
    deployment.power_off(lost)
    deployment.disks[lost] = MemoryDisk()
    deployment.power_on(lost)
    deployment.sleep(SYNC_S)
    all_say_the_same()


def test_a_change_request_whose_response_was_lost_is_acknowledged_by_the_next_leader(
    deployment: VirtualDeployment,
) -> None:
    deployment.served()
    leader = leader_of(deployment)
    body = configuration(2, route("/n/"))
    address = (deployment.world.machines[leader].ip, 8166)
    deployment.start_call(address, "PUT", "/api/config", headers={"If-Match": "1"}, body=body)
    deployment.wait(lambda: replica_of(deployment, leader).state.revision == 2)
    deployment.power_off(leader, nothing_unsynced=True)
    for core in (name for name in CORES if name != leader):
        put_until_accepted(deployment, core, 1, body)
        assert deployment.put(core, 2, configuration(2, route("/other/"))).status == 400


# --- requirements 2 and 5: delayed copies of change requests -------------------------------------


def test_a_delayed_copy_of_a_change_request_does_not_act_after_a_later_one(
    deployment: VirtualDeployment,
) -> None:
    deployment.served()
    leader = leader_of(deployment)
    replica = replica_of(deployment, leader)
    index = replica.read_applied_index(deployment.now, deployment.now).unwrap()
    copy = SetEvacuation("n1", True, index).as_json()
    assert deployment.control("c1", "POST", "/api/evacuations/n1").status == 200
    assert deployment.control("c2", "DELETE", "/api/evacuations/n1").status == 200
    message = {"kind": "forward", "number": 1, "command": copy}
    replica.handle(message, deployment.controllers[follower_of(deployment)].settings.peer_address)
    deployment.sleep(0.5)
    assert replica.state.evacuated_zones == []
    assert deployment.control("c3", "POST", "/api/evacuations/n1").status == 200
    assert replica.state.evacuated_zones == ["n1"]


def test_an_evacuation_whose_client_disconnected_is_not_proposed(deployment: VirtualDeployment) -> None:
    """A partition delays an operator's request until the operator has retried at another controller."""
    deployment.served()
    partitioned, other = follower_of(deployment), leader_of(deployment)
    deployment.world.network.partition("caller", partitioned)
    address = (deployment.world.machines[partitioned].ip, 8166)
    call = deployment.start_call(address, "POST", "/api/evacuations/n1", timeout_s=1.0)
    deployment.wait(lambda: bool(call.error))
    assert deployment.control(other, "POST", "/api/evacuations/n1").status == 200
    assert deployment.control(other, "DELETE", "/api/evacuations/n1").status == 200
    deployment.world.network.heal("caller", partitioned)
    deployment.sleep(3.0)
    assert replica_of(deployment, other).state.evacuated_zones == []


def test_an_order_that_a_link_held_up_does_not_act_after_a_later_one(deployment: VirtualDeployment) -> None:
    """Guards against an old order that arrives before the end of its connection, once the link heals."""
    deployment.served()
    assert deployment.control("c1", "POST", "/api/evacuations/n1").status == 200
    address = (deployment.world.machines["c1"].ip, 8166)
    order = b"DELETE /api/evacuations/n1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
    begun: list[float] = []

    def send(scheduler: Scheduler) -> None:
        stream = Stream.connect(scheduler, address, scheduler.now() + 1.0)
        begun.append(deployment.now)
        deployment.world.network.partition("caller", "c1")
        stream.send(order, scheduler.now() + 1.0)
        # The sender has closed its end; that follows the held bytes only once they are acknowledged.
        stream.receive(scheduler.now() + 8.0)
        stream.close()

    deployment.caller.serve(lambda scheduler: scheduler.spawn(send, scheduler), "send")
    deployment.wait(lambda: bool(begun))
    deployment.sleep(1.0)
    assert deployment.control("c2", "DELETE", "/api/evacuations/n1").status == 200
    assert deployment.control("c3", "POST", "/api/evacuations/n1").status == 200
    deployment.sleep(begun[0] + 3.0 - deployment.now)
    deployment.world.network.heal("caller", "c1")
    deployment.sleep(4.0)
    assert [replica_of(deployment, name).state.evacuated_zones for name in CORES] == [["n1"]] * 3


# --- requirement 3: a second loss right after a repair or a replacement --------------------------


@pytest.mark.parametrize("after_s", [0.02, 0.1, 0.5, 1.0, 1.5, 2.0])
@pytest.mark.parametrize("leads", [True, False])
@pytest.mark.parametrize("lost_leads", [True, False])
def test_a_disk_is_lost_right_after_a_planned_replacement(
    deployment: VirtualDeployment, leads: bool, lost_leads: bool, after_s: float
) -> None:
    deployment.served()
    deployment.add_core("c4", "10.1.0.4")
    deployment.sleep(SYNC_S + 1.0)
    draining = leader_of(deployment) if leads else follower_of(deployment)
    deployment.process(draining).signal(15)
    deployment.sleep(after_s)
    others = [name for name in CORES if name != draining]
    leading = [name for name in others if name == deployment.leader()]
    lost = next(iter(leading), others[0]) if lost_leads else others[-1]
    deployment.power_off(lost)
    deployment.disks[lost] = MemoryDisk()
    deployment.wait(lambda: deployment.process(draining).dead)
    deployment.power_off(draining)
    deployment.power_on(lost)
    back = deployment.now
    put_until_accepted(deployment, "c4", 1, configuration(2, route("/n/")))
    assert deployment.now - back < 6.0
    assert deployment.control("c4", "GET", "/api/config").body == configuration(2, route("/n/"))


@pytest.mark.parametrize("leads", [True, False])
def test_a_disk_is_lost_two_seconds_after_a_sudden_loss_of_a_controller(
    deployment: VirtualDeployment, leads: bool
) -> None:
    """The vote of a lost controller moves after one second; a second loss before that costs the majority."""
    deployment.served()
    deployment.add_core("c4", "10.1.0.4")
    deployment.sleep(SYNC_S + 1.0)
    removed = leader_of(deployment) if leads else follower_of(deployment)
    deployment.power_off(removed)
    deployment.sleep(2.5)
    lost = next(name for name in CORES if name != removed)
    deployment.power_off(lost)
    deployment.disks[lost] = MemoryDisk()
    deployment.power_on(lost)
    put_until_accepted(deployment, "c4", 1, configuration(2, route("/n/")))


@pytest.mark.parametrize("seed", range(1, 9))
def test_a_disk_is_lost_between_the_two_changes_of_a_replacement(seed: int) -> None:
    """The leader's disk is lost while both the successor and the draining controller have votes."""
    deployment = VirtualDeployment(seed=seed, gateways=1)
    deployment.served()
    deployment.add_core("c4", "10.1.0.4")
    deployment.sleep(SYNC_S + 1.0)
    lost, draining = leader_of(deployment), follower_of(deployment)
    deployment.process(draining).signal(15)
    while len(replica_of(deployment, lost).voters()) != 4:
        deployment.sleep(0.0002)
    deployment.sleep(0.0005 * (seed % 4))
    deployment.power_off(lost)
    deployment.disks[lost] = MemoryDisk()
    wait_until_ended(deployment, draining)
    deployment.power_off(draining)
    for name in ("c4", next(name for name in CORES if name not in (lost, draining))):
        deployment.power_off(name)
        deployment.power_on(name)
    deployment.sleep(0.5)
    deployment.power_on(lost)
    put_until_accepted(deployment, "c4", 1, configuration(2, route("/n/")))
    deployment.close()


@pytest.mark.parametrize("after_s", [0.10, 0.14, 0.18, 0.22, 0.42, 0.46, 0.50])
@pytest.mark.parametrize("seed", [1, 3])
def test_a_controller_that_just_ended_gets_no_vote_for_the_balance_of_zones(
    seed: int, after_s: float
) -> None:
    """The successor is in another zone, and the next leader had recent contact with the ended controller."""
    deployment = VirtualDeployment(seed=seed, gateways=1)
    deployment.served()
    deployment.add_core("c4", "10.1.0.4")  # c4 is in the zone of c1
    deployment.sleep(SYNC_S + 1.0)
    deployment.process("c2").signal(15)
    deployment.sleep(after_s)
    deployment.power_off("c1")
    deployment.disks["c1"] = MemoryDisk()
    wait_until_ended(deployment, "c2")
    deployment.power_off("c2")
    deployment.sleep(0.5)
    deployment.power_on("c1")
    put_until_accepted(deployment, "c4", 1, configuration(2, route("/n/")))
    deployment.close()


def test_a_draining_controller_without_a_successor_ends_soon(deployment: VirtualDeployment) -> None:
    deployment.served()
    draining = follower_of(deployment)
    deployment.process(draining).signal(15)
    deployment.sleep(1.5)
    assert deployment.process(draining).dead


def test_all_controllers_are_replaced_one_by_one_with_disks_lost_in_between(
    deployment: VirtualDeployment,
) -> None:
    deployment.served()
    names = list(CORES)
    for number in range(4, 10):
        deployment.seeds = [f"{deployment.world.machines[name].ip}:8166" for name in names]
        deployment.add_core(f"c{number}", f"10.1.0.{number}")
        deployment.sleep(SYNC_S)
        draining = names.pop(0)
        names.append(f"c{number}")
        deployment.process(draining).signal(15)
        wait_until_ended(deployment, draining)
        deployment.power_off(draining)
        lost = names[number % 3]
        deployment.power_off(lost)
        deployment.disks[lost] = MemoryDisk()
        deployment.power_on(lost)
        put_until_accepted(deployment, names[0], number - 3, configuration(number - 2))
        deployment.sleep(SYNC_S)
    for name in names:
        assert deployment.control(name, "GET", "/api/config").body == configuration(7)


# --- requirement 4: hundreds of changes ----------------------------------------------------------


def test_controllers_that_missed_hundreds_of_changes_catch_up_and_can_lead(
    deployment: VirtualDeployment,
) -> None:
    """One controller was powered off, one lost its disk and one kept running; each must be able to lead."""
    with short_segments(SHORT_SEGMENT_BYTES):
        deployment.served()
        powered_off = follower_of(deployment)
        deployment.power_off(powered_off)
        remaining = [name for name in CORES if name != powered_off]
        for revision in range(2, 302):
            if deployment.put(remaining[revision % 2], revision - 1, configuration(revision)).status != 200:
                put_until_accepted(deployment, remaining[0], revision - 1, configuration(revision))
        assert any(name.startswith("snapshot") for name in deployment.disks[remaining[0]].names())
        deployment.power_on(powered_off)
        deployment.wait(lambda: replica_of(deployment, powered_off).state.revision == 301, 3.0)
        deployment.sleep(SYNC_S)
        deployment.power_off(remaining[0])
        deployment.disks[remaining[0]] = MemoryDisk()
        deployment.power_on(remaining[0])
        deployment.wait(lambda: replica_of(deployment, remaining[0]).state.revision == 301, 3.0)
        deployment.sleep(SYNC_S)
        for stopped in CORES:
            deployment.power_off(stopped, nothing_unsynced=True)
            leader = leader_of(deployment)
            assert leader != stopped
            assert replica_of(deployment, leader).state.revision == 301
            assert deployment.control(leader, "GET", "/api/config").body == configuration(301)
            deployment.power_on(stopped)
            deployment.sleep(SYNC_S)
        assert (
            deployment.put(leader_of(deployment), 199, configuration(200)).status == 200
        )  # a repeated request that was accepted before


# --- requirement 5: replies to the wrong caller --------------------------------------------------


def test_a_forwarded_reply_counts_only_from_the_replica_that_was_asked(deployment: VirtualDeployment) -> None:
    deployment.served()
    follower = follower_of(deployment)
    replica = replica_of(deployment, follower)
    leader_address = deployment.controllers[leader_of(deployment)].settings.peer_address
    pending = replica._forwarding.expect_reply(77, leader_address)
    answer: dict[str, Any] = {"kind": "forwarded", "number": 77, "answer": "accepted"}
    replica.handle(answer, "10.1.0.99:7720")
    replica.handle({**answer, "number": 78}, leader_address)
    replica.handle({**answer, "number": "77"}, leader_address)
    assert pending.result is None
    assert not pending.event.is_set
    replica.handle(answer, leader_address)
    assert pending.result == "accepted"


def test_a_discarded_proposal_does_not_remove_a_later_one_at_its_index(deployment: VirtualDeployment) -> None:
    """The entry of a proposal was overwritten, and another caller's proposal has its index."""
    deployment.served()
    replica = replica_of(deployment, leader_of(deployment))
    index = replica.consensus.log.last_index + 1
    earlier = replica._proposals.add(index, term=0)
    command = PutConfiguration.from_body(1, 2, configuration(2))
    answers: list[Verdict | None] = []
    scheduler = deployment.controllers[leader_of(deployment)].scheduler
    scheduler.call_soon(
        lambda: scheduler.spawn(lambda: answers.append(replica._propose(command, scheduler.now() + 1.0)))
    )
    deployment.wait(lambda: bool(answers))
    assert answers == [Verdict.ACCEPTED]
    assert earlier.event.is_set
    assert earlier.result is None
    later = replica._proposals.add(index + 5, term=1)
    replica._proposals.discard(index + 5, earlier)
    assert replica._proposals.proposal_at(index + 5) is later
    replica._proposals.resolve_applied(index + 5, 1, Verdict.ACCEPTED)
    assert later.result is Verdict.ACCEPTED


# --- randomized runs -----------------------------------------------------------------------------


@pytest.mark.parametrize("block", range(6))
def test_random_days_of_faults_with_racing_operators(block: int) -> None:
    for seed in range(block * 6, block * 6 + 6):
        play(seed)


@pytest.mark.parametrize("block", range(3))
def test_random_days_of_six_controllers_that_tolerate_two_losses(block: int) -> None:
    for seed in range(block * 4, block * 4 + 4):
        play(seed, cores=6, tolerated=2)


THREE_REGIONS = {"n1": "north", "n2": "north", "s1": "south", "s2": "south", "w1": "west", "w2": "west"}


@pytest.mark.parametrize("block", range(2))
def test_random_days_of_six_controllers_in_three_regions(block: int) -> None:
    for seed in range(1000 + block * 4, 1000 + block * 4 + 4):
        play(seed, cores=6, tolerated=2, zones=THREE_REGIONS)

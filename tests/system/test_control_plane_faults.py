"""The operators' five points about the control side, each brought about in the whole system.

Days drawn from seeds come last: one loss after the other, and operators that race and repeat.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from brambleusher.controlplane.configuration.commands import (
    PutConfiguration,
    SetEvacuation,
    Verdict,
    command_from_json,
)
from brambleusher.controlplane.configuration.state_machine import SharedState
from brambleusher.controlplane.replica import Replica
from tests.system.control_plane_faults import SHORT_SEGMENT, play, short_segments
from tests.system.memory_disk import MemoryDisk
from tests.system.whole import Whole, configuration, route

CORES = ("c1", "c2", "c3")
SYNC_S = 4.0


@pytest.fixture
def whole() -> Iterator[Whole]:
    made = Whole(gateways=1)
    yield made
    made.close()


def leader_of(whole: Whole) -> str:
    whole.wait(lambda: whole.leader() is not None)
    leader = whole.leader()
    assert leader is not None
    return leader


def follower_of(whole: Whole) -> str:
    return next(name for name in CORES if name != leader_of(whole))


def replica_of(whole: Whole, name: str) -> Replica:
    return whole.controllers[name].replica


def put_until_taken(whole: Whole, core: str, base: int, body: bytes) -> None:
    whole.wait(lambda: whole.put(core, base, body).status == 200)


def read_until_answered(whole: Whole, core: str) -> None:
    whole.wait(lambda: whole.control(core, "GET", "/api/config").status == 200)


def ended(whole: Whole, name: str) -> None:
    whole.wait(lambda: whole.process(name).dead)


# --- 1: a control machine that is cut off for some twenty seconds --------------------------------


@pytest.mark.parametrize("leads", [True, False])
def test_a_partitioned_controller_neither_acknowledges_nor_rejects_nor_reads_stale_state(
    whole: Whole, leads: bool
) -> None:
    whole.served()
    alone = leader_of(whole) if leads else follower_of(whole)
    rest = [name for name in CORES if name != alone]
    for name in (*rest, "g1"):
        whole.world.network.cut(alone, name)
    taken = 1
    begun = whole.now
    while whole.now < begun + 20.0:
        put_until_taken(whole, rest[taken % 2], taken, configuration(taken + 1, route(f"/n{taken}/")))
        taken += 1
        # On top of what it knows and of what is new, old and invalid numbers: it can't tell which is which.
        assert whole.put(alone, 1, configuration(2, route("/alone/"))).status == 503
        assert whole.put(alone, taken, configuration(taken + 1, route("/alone/"))).status == 503
        assert whole.control(alone, "GET", "/api/config").status == 503
        assert whole.control(alone, "POST", "/api/evacuations/n1").status == 503
    for name in (*rest, "g1"):
        whole.world.network.mend(alone, name)
    joined = whole.now
    statuses = set()
    while 200 not in statuses:
        read = whole.control(alone, "GET", "/api/config")
        assert read.status in (200, 503)
        assert read.status == 503 or read.body == configuration(taken, route(f"/n{taken - 1}/"))
        statuses.add(read.status)
    assert whole.now - joined < 3.0
    assert replica_of(whole, leader_of(whole)).state.evacuated_zones == []


def test_a_controller_frozen_for_twenty_seconds_reads_no_stale_state_afterwards(whole: Whole) -> None:
    """Calls that came meanwhile wait for it, and it still believes to lead."""
    whole.served()
    stood = leader_of(whole)
    address = (whole.world.machines[stood].ip, 8166)
    whole.process(stood).stall(20 * 10**9)
    whole.sleep(0.1)
    read = whole.start_call(address, "GET", "/api/config", timeout_s=40.0)
    change = whole.start_call(
        address, "PUT", "/api/config", headers={"If-Match": "1"}, body=configuration(2), timeout_s=40.0
    )
    other = next(name for name in CORES if name != stood)
    put_until_taken(whole, other, 1, configuration(3, route("/n/")))
    whole.sleep(21.0)
    whole.wait(lambda: bool(read.error) and bool(change.error))
    assert (read.status, read.body) == (200, configuration(3, route("/n/"))) or read.status == 503
    assert change.status in (412, 503)
    assert whole.control(other, "GET", "/api/config").body == configuration(3, route("/n/"))


def test_a_starting_gateway_takes_no_stale_state_from_a_partitioned_controller(whole: Whole) -> None:
    """It reaches all three; the one that is cut off from the others knows an old configuration."""
    whole.served()
    alone = follower_of(whole)
    rest = [name for name in CORES if name != alone]
    for name in rest:
        whole.world.network.cut(alone, name)
    put_until_taken(whole, rest[0], 1, configuration(2, route("/n/")))
    whole.sleep(1.0)
    for number in range(2, 8):
        name = f"g{number}"
        whole.add_gateway(name, f"10.2.0.{number}", whole.zones[number % 3])
        seen = set()
        for _ in range(100):
            whole.sleep(0.03)
            gateway = whole.gateways.get(name)
            table = gateway.routes if gateway is not None else None
            seen.add(0 if table is None else table.revision)
        assert seen - {0} == {2}


def test_a_gateway_starts_without_a_majority(whole: Whole) -> None:
    whole.served()
    for name in (leader_of(whole), follower_of(whole)):
        whole.power_off(name)
    whole.sleep(2.0)
    whole.add_gateway("g2", "10.2.0.2", "n1")
    whole.wait(lambda: "g2" in whole.gateways and whole.gateways["g2"].is_ready, 6.0)


# --- 2: one number, one content; the same order again --------------------------------------------


def test_a_revision_has_one_content_at_every_controller_after_every_loss(whole: Whole) -> None:
    whole.served()
    bodies = [configuration(5, route("/x/")), configuration(5, route("/y/"))]
    assert sorted(whole.put("c2", 1, body).status for body in bodies) == [200, 412]
    won, refused = bodies
    later = configuration(6, route("/z/"))
    assert whole.put("c3", 5, later).status == 200

    def all_say_the_same() -> None:
        for core in CORES:
            read_until_answered(whole, core)
            assert whole.put(core, 1, won).status == 200
            assert whole.put(core, 1, refused).status == 412
            assert whole.control(core, "GET", "/api/config").body == later

    all_say_the_same()
    whole.power_off(leader := leader_of(whole), nothing_unsynced=True)
    whole.sleep(2.0)
    whole.power_on(leader)
    whole.sleep(SYNC_S)
    all_say_the_same()
    lost = follower_of(whole)
    whole.power_off(lost)
    whole.disks[lost] = MemoryDisk()
    whole.power_on(lost)
    whole.sleep(SYNC_S)
    all_say_the_same()


def test_a_change_request_whose_response_was_lost_is_acknowledged_by_the_next_leader(whole: Whole) -> None:
    whole.served()
    leader = leader_of(whole)
    body = configuration(2, route("/n/"))
    address = (whole.world.machines[leader].ip, 8166)
    whole.start_call(address, "PUT", "/api/config", headers={"If-Match": "1"}, body=body)
    whole.wait(lambda: replica_of(whole, leader).state.revision == 2)
    whole.power_off(leader, nothing_unsynced=True)
    for core in (name for name in CORES if name != leader):
        put_until_taken(whole, core, 1, body)
        assert whole.put(core, 2, configuration(2, route("/other/"))).status == 400


# --- 2, 5: an old copy of an order ---------------------------------------------------------------


def test_a_delayed_copy_of_a_change_request_does_not_act_after_a_later_one(whole: Whole) -> None:
    whole.served()
    leader = leader_of(whole)
    replica = replica_of(whole, leader)
    copy = SetEvacuation("n1", True, replica.applied_index).as_json()
    assert whole.control("c1", "POST", "/api/evacuations/n1").status == 200
    assert whole.control("c2", "DELETE", "/api/evacuations/n1").status == 200
    message = {"kind": "forward", "number": 1, "command": copy}
    replica.handle(message, whole.controllers[follower_of(whole)].settings.peer_address)
    whole.sleep(0.5)
    assert replica.state.evacuated_zones == []
    assert whole.control("c3", "POST", "/api/evacuations/n1").status == 200
    assert replica.state.evacuated_zones == ["n1"]


def test_without_its_applied_index_a_delayed_copy_would_act() -> None:
    state = SharedState()
    assert state.apply(5, SetEvacuation("n1", True, 4)) is Verdict.ACCEPTED
    assert state.apply(6, SetEvacuation("n1", True, 4)) is Verdict.REPEATED
    assert state.apply(7, SetEvacuation("n1", False, 6)) is Verdict.ACCEPTED
    assert state.apply(8, SetEvacuation("n1", True, 4)) is Verdict.OUTDATED
    assert state.apply(8, SetEvacuation("n2", True, 4)) is Verdict.ACCEPTED
    again = SharedState.from_json(state.as_json())
    assert again.apply(9, SetEvacuation("n1", True, 6)) is Verdict.OUTDATED
    assert again.apply(9, SetEvacuation("n1", True)) is Verdict.ACCEPTED


def test_state_and_commands_of_the_version_before_are_read() -> None:
    written = {"index": 3, "revision": 2, "packed": "", "digests": [], "evacuated": ["n1"]}
    assert SharedState.from_json(written).evacuated_zones == ["n1"]
    assert command_from_json({"op": "evacuate", "zone": "n1", "evacuated": False}) == SetEvacuation(
        "n1", False
    )
    command = SetEvacuation("n1", True, 7)
    assert command_from_json(command.as_json()) == command


def test_an_evacuation_whose_client_disconnected_is_not_proposed(whole: Whole) -> None:
    """A cut holds the operator's call back until it has turned to another controller and gone on."""
    whole.served()
    held, other = follower_of(whole), leader_of(whole)
    whole.world.network.cut("caller", held)
    address = (whole.world.machines[held].ip, 8166)
    call = whole.start_call(address, "POST", "/api/evacuations/n1", timeout_s=1.0)
    whole.wait(lambda: bool(call.error))
    assert whole.control(other, "POST", "/api/evacuations/n1").status == 200
    assert whole.control(other, "DELETE", "/api/evacuations/n1").status == 200
    whole.world.network.mend("caller", held)
    whole.sleep(3.0)
    assert replica_of(whole, other).state.evacuated_zones == []


# --- 3: a second loss right after a repair or a replacement --------------------------------------


@pytest.mark.parametrize("after_s", [0.02, 0.1, 0.5, 1.0, 1.5, 2.0])
@pytest.mark.parametrize("leads", [True, False])
@pytest.mark.parametrize("lost_leads", [True, False])
def test_a_disk_is_lost_right_after_a_planned_replacement(
    whole: Whole, leads: bool, lost_leads: bool, after_s: float
) -> None:
    whole.served()
    whole.add_core("c4", "10.1.0.4")
    whole.sleep(SYNC_S + 1.0)
    leaving = leader_of(whole) if leads else follower_of(whole)
    whole.process(leaving).signal(15)
    whole.sleep(after_s)
    rest = [name for name in CORES if name != leaving]
    leading = [name for name in rest if name == whole.leader()]
    lost = next(iter(leading), rest[0]) if lost_leads else rest[-1]
    whole.power_off(lost)
    whole.disks[lost] = MemoryDisk()
    whole.wait(lambda: whole.process(leaving).dead)
    whole.power_off(leaving)
    whole.power_on(lost)
    back = whole.now
    put_until_taken(whole, "c4", 1, configuration(2, route("/n/")))
    assert whole.now - back < 6.0
    assert whole.control("c4", "GET", "/api/config").body == configuration(2, route("/n/"))


@pytest.mark.parametrize("leads", [True, False])
def test_a_disk_is_lost_two_seconds_after_a_sudden_loss_of_a_controller(whole: Whole, leads: bool) -> None:
    """Its vote is given away after a second of silence; sooner there is no majority: see the design note."""
    whole.served()
    whole.add_core("c4", "10.1.0.4")
    whole.sleep(SYNC_S + 1.0)
    gone = leader_of(whole) if leads else follower_of(whole)
    whole.power_off(gone)
    whole.sleep(2.5)
    lost = next(name for name in CORES if name != gone)
    whole.power_off(lost)
    whole.disks[lost] = MemoryDisk()
    whole.power_on(lost)
    put_until_taken(whole, "c4", 1, configuration(2, route("/n/")))


@pytest.mark.parametrize("seed", range(1, 9))
def test_a_disk_is_lost_between_the_two_changes_of_a_replacement(seed: int) -> None:
    """The successor has its vote, the one that leaves has its own still, and the leader's disk is gone."""
    whole = Whole(seed=seed, gateways=1)
    whole.served()
    whole.add_core("c4", "10.1.0.4")
    whole.sleep(SYNC_S + 1.0)
    lost, leaving = leader_of(whole), follower_of(whole)
    whole.process(leaving).signal(15)
    while len(replica_of(whole, lost).voters()) != 4:
        whole.sleep(0.0002)
    whole.sleep(0.0005 * (seed % 4))
    whole.power_off(lost)
    whole.disks[lost] = MemoryDisk()
    ended(whole, leaving)
    whole.power_off(leaving)
    for name in ("c4", next(name for name in CORES if name not in (lost, leaving))):
        whole.power_off(name)
        whole.power_on(name)
    whole.sleep(0.5)
    whole.power_on(lost)
    put_until_taken(whole, "c4", 1, configuration(2, route("/n/")))
    whole.close()


@pytest.mark.parametrize("after_s", [0.10, 0.14, 0.18, 0.22, 0.42, 0.46, 0.50])
@pytest.mark.parametrize("seed", [1, 3])
def test_a_controller_that_just_ended_gets_no_vote_for_the_balance_of_zones(
    seed: int, after_s: float
) -> None:
    """Its successor stands in another zone, and whoever leads next heard it a moment ago."""
    whole = Whole(seed=seed, gateways=1)
    whole.served()
    whole.add_core("c4", "10.1.0.4")  # in the zone of c1
    whole.sleep(SYNC_S + 1.0)
    whole.process("c2").signal(15)
    whole.sleep(after_s)
    whole.power_off("c1")
    whole.disks["c1"] = MemoryDisk()
    ended(whole, "c2")
    whole.power_off("c2")
    whole.sleep(0.5)
    whole.power_on("c1")
    put_until_taken(whole, "c4", 1, configuration(2, route("/n/")))
    whole.close()


def test_a_draining_controller_without_a_successor_ends_soon(whole: Whole) -> None:
    whole.served()
    leaving = follower_of(whole)
    whole.process(leaving).signal(15)
    whole.sleep(1.5)
    assert whole.process(leaving).dead


def test_all_controllers_are_replaced_one_by_one_with_disks_lost_in_between(whole: Whole) -> None:
    whole.served()
    names = list(CORES)
    for number in range(4, 10):
        whole.seeds = [f"{whole.world.machines[name].ip}:8166" for name in names]
        whole.add_core(f"c{number}", f"10.1.0.{number}")
        whole.sleep(SYNC_S)
        leaving = names.pop(0)
        names.append(f"c{number}")
        whole.process(leaving).signal(15)
        ended(whole, leaving)
        whole.power_off(leaving)
        lost = names[number % 3]
        whole.power_off(lost)
        whole.disks[lost] = MemoryDisk()
        whole.power_on(lost)
        put_until_taken(whole, names[0], number - 3, configuration(number - 2))
        whole.sleep(SYNC_S)
    for name in names:
        assert whole.control(name, "GET", "/api/config").body == configuration(7)


# --- 4: hundreds of changes ----------------------------------------------------------------------


def test_controllers_that_missed_hundreds_of_changes_catch_up_and_can_lead(
    whole: Whole,
) -> None:
    """One was without power, one lost its disk, one stayed: each of them then leads."""
    with short_segments(SHORT_SEGMENT):
        whole.served()
        dark = follower_of(whole)
        whole.power_off(dark)
        kept = [name for name in CORES if name != dark]
        for revision in range(2, 302):
            if whole.put(kept[revision % 2], revision - 1, configuration(revision)).status != 200:
                put_until_taken(whole, kept[0], revision - 1, configuration(revision))
        assert any(name.startswith("snapshot") for name in whole.disks[kept[0]].names())
        whole.power_on(dark)
        whole.wait(lambda: replica_of(whole, dark).state.revision == 301, 3.0)
        whole.sleep(SYNC_S)
        whole.power_off(kept[0])
        whole.disks[kept[0]] = MemoryDisk()
        whole.power_on(kept[0])
        whole.wait(lambda: replica_of(whole, kept[0]).state.revision == 301, 3.0)
        whole.sleep(SYNC_S)
        for stopped in CORES:
            whole.power_off(stopped, nothing_unsynced=True)
            leader = leader_of(whole)
            assert leader != stopped
            assert replica_of(whole, leader).state.revision == 301
            assert whole.control(leader, "GET", "/api/config").body == configuration(301)
            whole.power_on(stopped)
            whole.sleep(SYNC_S)
        assert whole.put(leader_of(whole), 199, configuration(200)).status == 200  # taken long ago


# --- 5: answers to the wrong caller --------------------------------------------------------------


def test_a_forwarded_reply_counts_only_from_the_replica_that_was_asked(whole: Whole) -> None:
    whole.served()
    asking = follower_of(whole)
    replica = replica_of(whole, asking)
    asked = whole.controllers[leader_of(whole)].settings.peer_address
    pending = replica._forwarding.expect_reply(77, asked)
    answer: dict[str, Any] = {"kind": "forwarded", "number": 77, "answer": "accepted"}
    replica.handle(answer, "10.1.0.99:7720")
    replica.handle({**answer, "number": 78}, asked)
    replica.handle({**answer, "number": "77"}, asked)
    assert pending.result is None
    assert not pending.event.is_set
    replica.handle(answer, asked)
    assert pending.result == "accepted"


def test_a_discarded_proposal_does_not_remove_a_later_one_at_its_index(whole: Whole) -> None:
    """An entry of an earlier term is gone, and another caller's has its index."""
    whole.served()
    replica = replica_of(whole, leader_of(whole))
    index = replica.consensus.log.last_index + 1
    earlier = replica._proposals.add(index, term=0)
    command = PutConfiguration.from_body(1, 2, configuration(2))
    answers: list[Verdict | None] = []
    scheduler = whole.controllers[leader_of(whole)].scheduler
    scheduler.call_soon(
        lambda: scheduler.spawn(lambda: answers.append(replica._propose(command, scheduler.now() + 1.0)))
    )
    whole.wait(lambda: bool(answers))
    assert answers == [Verdict.ACCEPTED]
    assert earlier.event.is_set
    assert earlier.result is None
    later = replica._proposals.add(index + 5, term=1)
    replica._proposals.discard(index + 5, earlier)
    assert replica._proposals.at(index + 5) is later
    replica._proposals.applied(index + 5, 1, Verdict.ACCEPTED)
    assert later.result is Verdict.ACCEPTED


# --- days drawn from seeds -----------------------------------------------------------------------


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

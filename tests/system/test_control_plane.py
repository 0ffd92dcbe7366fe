"""The control plane as a whole, in virtual time: orders, leaders, losses, long polls, the registry."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from brambleusher.gateway.app import Gateway
from brambleusher.membership.line_connection import LineClient
from tests.system.whole import DIRECTORY, Whole, configuration, route


@pytest.fixture
def whole() -> Iterator[Whole]:
    made = Whole()
    yield made
    made.close()


def others(whole: Whole) -> list[str]:
    return [name for name in whole.controllers if name != whole.leader()]


def in_force(whole: Whole, revision: int) -> bool:
    tables = [gateway.routes for gateway in whole.gateways.values()]
    return all(table is not None and table.revision == revision for table in tables)


def test_a_configuration_is_acknowledged_and_published_to_all_gateways(whole: Whole) -> None:
    whole.add_server("a")
    body = configuration(3)
    reply = whole.put("c2", 0, body)
    assert (reply.status, reply.json()) == (200, {"revision": 3})
    acknowledged = whole.now
    whole.wait(lambda: in_force(whole, 3))
    assert whole.now - acknowledged < 1.0
    for core in ("c1", "c2", "c3"):
        read = whole.control(core, "GET", "/api/config")
        assert (read.status, read.body) == (200, body)


def test_a_repeated_change_request_is_acknowledged_by_any_controller_even_after_others(whole: Whole) -> None:
    first, second = configuration(3), configuration(7, route("/t/"))
    assert whole.put("c1", 0, first).status == 200
    for core in ("c1", "c2", "c3"):
        assert whole.put(core, 0, first).status == 200
    assert whole.put("c1", 3, second).status == 200
    assert whole.put("c2", 0, first).status == 200
    assert whole.control("c3", "GET", "/api/config").body == second


def test_two_changes_on_one_version_have_one_winner(whole: Whole) -> None:
    whole.served()
    bodies = [configuration(5, route("/x/")), configuration(5, route("/y/"))]
    replies = [
        whole.start_call(
            (whole.world.machines[core].ip, 8166),
            "PUT",
            "/api/config",
            headers={"If-Match": "1"},
            body=body,
        )
        for core, body in zip(("c2", "c3"), bodies, strict=True)
    ]
    whole.wait(lambda: all(reply.error for reply in replies))
    assert sorted(reply.status for reply in replies) == [200, 412]
    winner = bodies[[reply.status for reply in replies].index(200)]
    assert whole.control("c1", "GET", "/api/config").body == winner


INVALID = [
    (b"{", "body"),
    (b'{"revision": 9', "body"),
    (configuration(9, route(service="unknown")), "routes.0"),
    (configuration(9, route(), route()), "routes.1"),
    (configuration(9, route(service=None, split=[{"service": "llm", "gain": 0}])), "routes.0"),
    (configuration(9, route(deadline_ms=0)), "routes.0.deadline_ms"),
    (configuration(9, route(service=None)), "routes.0"),
    (configuration(1, route("/other/")), "revision"),
    (b'{"revision":9,"revision":10,"routes":[],"services":[]}', "body"),
    (b"[]", "body"),
    (b"\xff\xfe", "body"),
]


@pytest.mark.parametrize(("body", "key"), INVALID, ids=[str(at) for at in range(len(INVALID))])
def test_an_invalid_configuration_is_rejected_with_the_reason(whole: Whole, body: bytes, key: str) -> None:
    whole.served()
    reply = whole.put("c2", 1, body)
    assert reply.status == 400
    assert key in reply.json()["error"]
    assert whole.control("c1", "GET", "/api/config").body == configuration(1)


def test_a_change_of_an_outdated_revision_is_rejected(whole: Whole) -> None:
    whole.served()
    assert whole.put("c1", 0, configuration(4, route("/n/"))).status == 412
    assert whole.put("c1", 3, configuration(4, route("/n/"))).status == 412


def test_unknown_requests_are_rejected(whole: Whole) -> None:
    whole.served()
    assert whole.control("c1", "GET", "/else").status == 404
    assert whole.control("c1", "POST", "/api/evacuations/nowhere").status == 404
    reply = whole.control("c1", "PUT", "/api/config", headers={"If-Match": "x"}, body=configuration(2))
    assert reply.status == 400
    assert "If-Match" in reply.json()["error"]


def test_an_evacuation_reaches_all_gateways_and_can_be_ended(whole: Whole) -> None:
    whole.add_server("a", zone="n1")
    whole.add_server("b", zone="n2")
    whole.served()
    whole.sleep(6)
    assert whole.control("c3", "POST", "/api/evacuations/n1").status == 200
    whole.sleep(1.0)
    for number in range(6):
        assert whole.request("g1", attempt=f"e{number}").status == 200
    assert {whole.arrivals(f"e{number}")[0].instance for number in range(6)} == {"b"}
    assert whole.control("c1", "POST", "/api/evacuations/n1").status == 200
    assert whole.control("c1", "DELETE", "/api/evacuations/n1").status == 200
    whole.sleep(6.0)
    for number in range(6):
        assert whole.request("g1", attempt=f"f{number}").status == 200
    assert {whole.arrivals(f"f{number}")[0].instance for number in range(6)} == {"a", "b"}


def test_a_change_survives_a_power_loss_of_the_leader_right_after_its_acknowledgement(whole: Whole) -> None:
    whole.served()
    leader = whole.leader()
    assert leader is not None
    assert whole.put(leader, 1, configuration(2, route("/n/"))).status == 200
    whole.power_off(leader, nothing_unsynced=True)
    whole.wait(lambda: in_force(whole, 2), 6.0)
    core = others(whole)[0] if others(whole)[0] != leader else others(whole)[1]
    whole.wait(lambda: whole.control(core, "GET", "/api/config").status == 200)
    assert whole.put(core, 2, configuration(3)).status == 200
    whole.power_on(leader)
    whole.sleep(3)
    assert whole.control(leader, "GET", "/api/config").body == configuration(3)


@pytest.mark.parametrize("unsynced", [True, False])
def test_acknowledged_changes_survive_a_power_loss_of_all(whole: Whole, unsynced: bool) -> None:
    whole.served()
    assert whole.control("c1", "POST", "/api/evacuations/n2").status == 200
    assert whole.put("c2", 1, configuration(2, route("/n/"))).status == 200
    for name in ("c1", "c2", "c3", "g1", "g2"):
        whole.power_off(name, nothing_unsynced=unsynced)
    whole.sleep(1.0)
    for name in ("c1", "c2", "c3", "g1", "g2"):
        whole.power_on(name)
    back = whole.now
    whole.wait(lambda: whole.leader() is not None and in_force(whole, 2))
    assert whole.now - back < 2.0
    assert whole.control("c3", "GET", "/api/config").body == configuration(2, route("/n/"))
    assert all(gateway.instances.evacuated_zones == {"n2"} for gateway in whole.gateways.values())


@pytest.mark.parametrize("lost", ["c1", "c2", "c3"])
def test_acknowledged_changes_survive_a_lost_disk_and_a_power_loss_of_the_others(
    whole: Whole, lost: str
) -> None:
    whole.served()
    assert whole.put("c2", 1, configuration(2, route("/n/"))).status == 200
    for name in ("c1", "c2", "c3"):
        whole.power_off(name, nothing_unsynced=True)
    whole.disks[lost].__init__()  # type: ignore[misc]
    whole.sleep(0.5)
    for name in ("c1", "c2", "c3"):
        whole.power_on(name)
    whole.wait(lambda: whole.control("c1", "GET", "/api/config").status == 200)
    assert whole.control("c1", "GET", "/api/config").body == configuration(2, route("/n/"))

    def again_a_voter() -> bool:
        leader = whole.leader()
        if leader is None:
            return False
        voters = whole.controllers[leader].replica.consensus.voters
        own = whole.controllers[lost].replica.identity.id
        return own in {member.id for member in voters}

    whole.wait(again_a_voter, 4.0)
    rest = next(name for name in ("c1", "c2", "c3") if name != lost)
    whole.power_off(rest)
    whole.wait(lambda: whole.put(lost, 2, configuration(3)).status == 200)


def test_a_lost_controller_is_replaced_at_another_address(whole: Whole) -> None:
    whole.served()
    gone = others(whole)[0]
    whole.power_off(gone)
    whole.add_core("c4", "10.1.0.4")

    def replaced() -> bool:
        leader = whole.leader()
        if leader is None:
            return False
        return "10.1.0.4:7720" in {
            each.address for each in whole.controllers[leader].replica.consensus.voters
        }

    whole.wait(replaced)
    second = next(name for name in ("c1", "c2", "c3") if name not in (gone, whole.leader()))
    whole.power_off(second)
    whole.wait(lambda: whole.put("c4", 1, configuration(2)).status == 200)


def test_sigterm_transfers_leadership_at_once(whole: Whole) -> None:
    whole.served()
    leader = whole.leader()
    assert leader is not None
    whole.process(leader).signal(15)
    begun = whole.now
    whole.wait(lambda: whole.leader() not in (None, leader))
    assert whole.now - begun < 0.3
    whole.wait(lambda: whole.process(leader).dead)
    assert whole.process(leader).ended == 0


def test_a_partitioned_leader_acknowledges_nothing(whole: Whole) -> None:
    whole.served()
    leader = whole.leader()
    assert leader is not None
    for name in others(whole):
        whole.world.network.cut(leader, name)
    reply = whole.put(leader, 1, configuration(2))
    assert reply.status == 503
    assert reply.seconds < 1.0
    assert whole.control(leader, "GET", "/api/config").status == 503
    rest = next(name for name in ("c1", "c2", "c3") if name != leader)
    whole.wait(lambda: whole.put(rest, 1, configuration(3, route("/n/"))).status == 200)
    whole.wait(lambda: in_force(whole, 3), 4.0)


def test_a_full_disk_of_one_controller_delays_nothing(whole: Whole) -> None:
    whole.served()
    leader = whole.leader()
    assert leader is not None
    whole.disks[leader].full = True
    assert whole.put(leader, 1, configuration(2)).status == 200
    whole.disks[leader].full = False
    whole.sleep(1)
    for name in ("c1", "c2", "c3"):
        whole.power_off(name, nothing_unsynced=True)
    for name in ("c1", "c2", "c3"):
        whole.power_on(name)
    whole.wait(lambda: whole.control("c1", "GET", "/api/config").status == 200)
    assert whole.control("c1", "GET", "/api/config").body == configuration(2)


def test_the_registry_names_ready_gateways_near_ones_first() -> None:
    whole = Whole(gateways=6)
    whole.add_server("a")
    ask = ((whole.world.machines["c2"].ip, DIRECTORY), "GET", "/api/resolution?name=h&region=south&zone=s1")
    assert whole.call(*ask).status == 503
    whole.served()
    whole.sleep(3)
    reply = whole.call(*ask)
    assert sorted(reply.json()["addresses"]) == ["10.2.0.3:8161", "10.2.0.6:8161"]
    whole.process("g3").signal(15)
    whole.sleep(1.0)
    addresses = whole.call(*ask).json()["addresses"]
    assert "10.2.0.3:8161" not in addresses
    assert "10.2.0.6:8161" in addresses
    whole.power_off("g6")
    whole.sleep(4.0)
    assert set(whole.call(*ask).json()["addresses"]) == {f"10.2.0.{at}:8161" for at in (1, 2, 4, 5)}
    whole.close()


def test_a_gateway_fails_over_from_a_frozen_controller(whole: Whole) -> None:
    whole.served()
    whole.process("c1").stall(8 * 10**9)
    whole.wait(lambda: whole.put("c2", 1, configuration(2, route("/n/"))).status == 200)
    acknowledged = whole.now
    whole.wait(lambda: in_force(whole, 2))
    assert whole.now - acknowledged < 2.0


def test_no_published_version_goes_back(whole: Whole) -> None:
    whole.served()
    seen: dict[str, int] = dict.fromkeys(whole.gateways, 0)
    revision = 1
    for turn in range(6):
        leader = whole.leader()
        if leader is not None:
            whole.process(leader).stall(2 * 10**9) if turn % 2 else whole.process(leader).signal(9)
        for _ in range(60):
            whole.sleep(0.1)
            for name, gateway in whole.gateways.items():
                table = gateway.routes
                assert table is not None
                assert table.revision >= seen[name]
                seen[name] = table.revision
        for name in ("c1", "c2", "c3"):
            if whole.process(name).dead:
                whole.start_core(name)
        core = f"c{turn % 3 + 1}"
        whole.sleep(1.5)
        if whole.put(core, revision, configuration(revision + 1)).status == 200:
            revision += 1
    assert revision > 3


def test_an_invalid_message_is_dropped_and_the_replica_continues(whole: Whole) -> None:
    whole.served()
    for junk in (b"{}\n", b"nonsense\n", b'{"kind":"append","from":"x"}\n', b'{"kind":"watch"}\n', b"[1]\n"):
        reply = whole.call(("10.1.0.1", 7720), "POST", "/x", body=junk)
        assert not reply.whole
    assert whole.put("c1", 1, configuration(2)).status == 200


def test_all_controllers_together_read_the_platform_about_three_times_a_second(whole: Whole) -> None:
    whole.served()
    before = whole.platform_calls
    whole.sleep(10)
    assert 20 <= whole.platform_calls - before <= 36


def test_an_instance_list_read_by_one_controller_reaches_all(whole: Whole) -> None:
    whole.served()
    whole.sleep(3)
    for name in ("c2", "c3"):
        whole.world.network.cut(name, "platform")
    whole.add_server("new")
    whole.sleep(1.6)
    for controller in whole.controllers.values():
        assert [entry["id"] for entry in controller.instances.instances] == ["new"]


def test_an_unreadable_instance_list_changes_nothing(whole: Whole) -> None:
    whole.add_server("a")
    whole.served()
    whole.sleep(2)
    whole.platform_down = True
    whole.sleep(5)
    assert whole.request("g1").status == 200


def test_an_idle_replica_ticks_rarely(whole: Whole) -> None:
    """Guards against a task that wakes itself: some ten heartbeats a second, and what they bring."""
    whole.served()
    whole.sleep(1)
    steps = dict.fromkeys(whole.controllers, 0)
    for name, controller in whole.controllers.items():
        tick = controller.replica.consensus.tick

        def counted(now: float, name: str = name, tick: object = tick) -> None:
            steps[name] += 1
            tick(now)  # type: ignore[operator]

        controller.replica.consensus.tick = counted  # type: ignore[method-assign]
    whole.sleep(2)
    assert all(1 <= count <= 60 for count in steps.values()), steps


def test_a_large_configuration_is_sent_once_to_each_gateway(whole: Whole) -> None:
    """Two controllers are followed; large news comes from one of them."""
    whole.served()
    whole.sleep(2)
    sent = dict.fromkeys(whole.controllers, 0)
    for name, controller in whole.controllers.items():
        publisher = controller._publisher
        assert publisher is not None
        respond = publisher._respond

        def counted(*given: Any, name: str = name, respond: Any = respond) -> Any:
            response = respond(*given)
            sent[name] += "packed" in response.as_json()
            return response

        publisher._respond = counted  # type: ignore[method-assign, assignment]
    body = configuration(2, *(route(f"/r{number}/") for number in range(600)))
    assert whole.put("c1", 1, body).status == 200
    whole.wait(lambda: in_force(whole, 2), 2.0)
    whole.sleep(2)
    assert sum(sent.values()) == len(whole.gateways)
    assert whole.control("c2", "GET", "/api/config").body == body


def test_updates_come_from_the_second_controller_while_the_first_is_unresponsive(whole: Whole) -> None:
    whole.served()
    whole.sleep(2)
    held = whole.gateways["g1"].controllers._acquired
    first = next(name for name in whole.controllers if f"{whole.world.machines[name].ip}:7720" == held[0])
    whole.process(first).stall(6 * 10**9)
    core = next(name for name in whole.controllers if name != first)
    whole.wait(lambda: whole.put(core, 1, configuration(2, route("/n/"))).status == 200)
    acknowledged = whole.now
    whole.wait(lambda: in_force(whole, 2))
    assert whole.now - acknowledged < 1.5


def test_six_controllers_have_five_voters_and_tolerate_the_loss_of_two() -> None:
    whole = Whole(cores=6, tolerated=2)

    def voters() -> set[str]:
        leader = whole.leader()
        known = whole.controllers[leader].replica.consensus.voters if leader is not None else []
        return {member.address for member in known}

    whole.served()
    whole.wait(lambda: len(voters()) == 5)
    whole.sleep(3.0)
    leader = whole.leader()
    assert leader is not None
    others_with_a_vote = [
        name
        for name in whole.controllers
        if name != leader and f"{whole.world.machines[name].ip}:7720" in voters()
    ]
    assert whole.put("c6", 1, configuration(2)).status == 200
    for name in (leader, others_with_a_vote[0]):
        whole.power_off(name, nothing_unsynced=True)
    rest = others_with_a_vote[1]
    whole.wait(lambda: whole.put(rest, 2, configuration(3, route("/n/"))).status == 200)
    whole.wait(lambda: in_force(whole, 3))
    assert whole.control(rest, "GET", "/api/config").body == configuration(3, route("/n/"))
    whole.close()


def test_votes_are_spread_over_zones_and_move_back_when_a_zone_returns() -> None:
    """Two of six controllers stand in each zone: no zone may come to hold three of five votes."""
    whole = Whole(cores=6, tolerated=2)

    def votes_by_zone() -> list[int]:
        leader = whole.leader()
        known = whole.controllers[leader].replica.consensus.log.members if leader is not None else ()
        zones = {f"{whole.world.machines[name].ip}:7720": zone_of(name) for name in whole.controllers}
        held = [zones[member.address] for member in known if member.is_voter]
        return sorted(held.count(zone) for zone in whole.zones)

    def zone_of(name: str) -> str:
        return whole.controllers[name].settings.zone

    whole.served()
    whole.wait(lambda: votes_by_zone() == [1, 2, 2])
    dark = [name for name in whole.controllers if zone_of(name) == "n2"]
    for name in dark:
        whole.power_off(name)
    whole.sleep(6.0)
    for name in dark:
        whole.power_on(name)
    whole.wait(lambda: votes_by_zone() == [1, 2, 2])
    assert whole.put("c1", 1, configuration(2)).status == 200
    whole.close()


def test_gateways_move_to_controllers_of_their_own_zone() -> None:
    """Seeds are known first, wherever they are: what gateways ask all the time should not cross regions."""
    whole = Whole(cores=6, gateways=6, tolerated=2)
    whole.served()

    def held_near(gateway: Gateway) -> bool:
        zone = gateway.settings.zone
        near = {
            f"{whole.world.machines[name].ip}:7720"
            for name, controller in whole.controllers.items()
            if controller.settings.zone == zone
        }
        return set(gateway.controllers._acquired.values()) == near

    whole.wait(lambda: all(held_near(gateway) for gateway in whole.gateways.values()), seconds=6.0)
    whole.close()


def test_an_unchanged_instance_list_is_sent_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """It seemed to grow old at gateways, which had it sent by their second controller every two seconds."""
    whole = Whole(gateways=2)
    whole.add_server("a")
    whole.served()
    whole.sleep(5.0)
    sent: list[str] = []
    call = LineClient.call

    def counted(self: LineClient, message: dict[str, Any], timeout_s: float) -> dict[str, Any]:
        answer = call(self, message, timeout_s)
        if "instances" in answer:
            sent.append(str(answer["source"]))
        return answer

    monkeypatch.setattr(LineClient, "call", counted)
    whole.sleep(10.0)
    assert not sent
    whole.servers["a"].state = "draining"
    whole.sleep(3.0)
    assert 2 <= len(sent) <= 6
    for gateway in whole.gateways.values():
        routes = gateway.routes
        found = routes.find("h", "/s/") if routes is not None else None
        assert found is not None
        assert not gateway.instances.usable(found, "llm", whole.now)
    whole.close()

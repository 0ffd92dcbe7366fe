"""The complete control plane in virtual time: change requests, failovers, long polls and the registry."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from brambleusher.controlplane.configuration.commands import PutConfiguration
from brambleusher.gateway.app import Gateway
from brambleusher.membership.line_connection import LineClient
from tests.system.virtual_deployment import DIRECTORY, VirtualDeployment, configuration, route


@pytest.fixture
def deployment() -> Iterator[VirtualDeployment]:
    deployment = VirtualDeployment()
    yield deployment
    deployment.close()


def others(deployment: VirtualDeployment) -> list[str]:
    return [name for name in deployment.controllers if name != deployment.leader()]


def in_force(deployment: VirtualDeployment, revision: int) -> bool:
    tables = [gateway.routes for gateway in deployment.gateways.values()]
    return all(table is not None and table.revision == revision for table in tables)


def test_a_configuration_is_acknowledged_and_published_to_all_gateways(deployment: VirtualDeployment) -> None:
    deployment.add_instance("a")
    body = configuration(3)
    reply = deployment.put("c2", 0, body)
    assert (reply.status, reply.json()) == (200, {"revision": 3})
    acknowledged = deployment.now
    deployment.wait(lambda: in_force(deployment, 3))
    assert deployment.now - acknowledged < 1.0
    for core in ("c1", "c2", "c3"):
        read = deployment.control(core, "GET", "/api/config")
        assert (read.status, read.body) == (200, body)


def test_a_repeated_change_request_is_acknowledged_by_any_controller_even_after_others(
    deployment: VirtualDeployment,
) -> None:
    first, second = configuration(3), configuration(7, route("/t/"))
    assert deployment.put("c1", 0, first).status == 200
    for core in ("c1", "c2", "c3"):
        assert deployment.put(core, 0, first).status == 200
    assert deployment.put("c1", 3, second).status == 200
    assert deployment.put("c2", 0, first).status == 200
    assert deployment.control("c3", "GET", "/api/config").body == second


def test_two_changes_on_one_version_have_one_winner(deployment: VirtualDeployment) -> None:
    deployment.served()
    bodies = [configuration(5, route("/x/")), configuration(5, route("/y/"))]
    winner = bodies[deployment.race_changes("PUT", 1, bodies)]
    assert deployment.control("c1", "GET", "/api/config").body == winner


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
def test_an_invalid_configuration_is_rejected_with_the_reason(
    deployment: VirtualDeployment, body: bytes, key: str
) -> None:
    deployment.served()
    reply = deployment.put("c2", 1, body)
    assert reply.status == 400
    assert key in reply.json()["error"]
    assert deployment.control("c1", "GET", "/api/config").body == configuration(1)


def test_a_change_of_an_outdated_revision_is_rejected(deployment: VirtualDeployment) -> None:
    deployment.served()
    assert deployment.put("c1", 0, configuration(4, route("/n/"))).status == 412
    assert deployment.put("c1", 3, configuration(4, route("/n/"))).status == 412


def test_unknown_requests_are_rejected(deployment: VirtualDeployment) -> None:
    deployment.served()
    assert deployment.control("c1", "GET", "/else").status == 404
    assert deployment.control("c1", "POST", "/api/evacuations/nowhere").status == 404
    reply = deployment.control("c1", "PUT", "/api/config", headers={"If-Match": "x"}, body=configuration(2))
    assert reply.status == 400
    assert "If-Match" in reply.json()["error"]


def test_an_evacuation_reaches_all_gateways_and_can_be_ended(deployment: VirtualDeployment) -> None:
    deployment.add_instance("a", zone="n1")
    deployment.add_instance("b", zone="n2")
    deployment.served()
    deployment.sleep(6)
    assert deployment.control("c3", "POST", "/api/evacuations/n1").status == 200
    deployment.sleep(1.0)
    for number in range(6):
        assert deployment.request("g1", attempt=f"e{number}").status == 200
    assert {deployment.arrivals(f"e{number}")[0].instance for number in range(6)} == {"b"}
    assert deployment.control("c1", "POST", "/api/evacuations/n1").status == 200
    assert deployment.control("c1", "DELETE", "/api/evacuations/n1").status == 200
    deployment.sleep(6.0)
    for number in range(6):
        assert deployment.request("g1", attempt=f"f{number}").status == 200
    assert {deployment.arrivals(f"f{number}")[0].instance for number in range(6)} == {"a", "b"}


def test_a_change_survives_a_power_loss_of_the_leader_right_after_its_acknowledgement(
    deployment: VirtualDeployment,
) -> None:
    deployment.served()
    leader = deployment.leader()
    assert leader is not None
    assert deployment.put(leader, 1, configuration(2, route("/n/"))).status == 200
    deployment.power_off(leader, nothing_unsynced=True)
    deployment.wait(lambda: in_force(deployment, 2), 6.0)
    core = others(deployment)[0] if others(deployment)[0] != leader else others(deployment)[1]
    deployment.wait(lambda: deployment.control(core, "GET", "/api/config").status == 200)
    assert deployment.put(core, 2, configuration(3)).status == 200
    deployment.power_on(leader)
    deployment.sleep(3)
    assert deployment.control(leader, "GET", "/api/config").body == configuration(3)


@pytest.mark.parametrize("unsynced", [True, False])
def test_acknowledged_changes_survive_a_power_loss_of_all(
    deployment: VirtualDeployment, unsynced: bool
) -> None:
    deployment.served()
    assert deployment.control("c1", "POST", "/api/evacuations/n2").status == 200
    assert deployment.put("c2", 1, configuration(2, route("/n/"))).status == 200
    for name in ("c1", "c2", "c3", "g1", "g2"):
        deployment.power_off(name, nothing_unsynced=unsynced)
    deployment.sleep(1.0)
    for name in ("c1", "c2", "c3", "g1", "g2"):
        deployment.power_on(name)
    back = deployment.now
    # A process that has not started yet refuses connections.
    deployment.wait(lambda: deployment.control("c3", "GET", "/api/config").status == 200)
    deployment.wait(lambda: deployment.leader() is not None and in_force(deployment, 2))
    assert deployment.now - back < 2.0
    assert deployment.control("c3", "GET", "/api/config").body == configuration(2, route("/n/"))
    assert all(gateway.instances.evacuated_zones == {"n2"} for gateway in deployment.gateways.values())


@pytest.mark.parametrize("lost", ["c1", "c2", "c3"])
def test_acknowledged_changes_survive_a_lost_disk_and_a_power_loss_of_the_others(
    deployment: VirtualDeployment, lost: str
) -> None:
    deployment.served()
    assert deployment.put("c2", 1, configuration(2, route("/n/"))).status == 200
    for name in ("c1", "c2", "c3"):
        deployment.power_off(name, nothing_unsynced=True)
    deployment.disks[lost].__init__()  # type: ignore[misc]
    deployment.sleep(0.5)
    for name in ("c1", "c2", "c3"):
        deployment.power_on(name)
    deployment.wait(lambda: deployment.control("c1", "GET", "/api/config").status == 200)
    assert deployment.control("c1", "GET", "/api/config").body == configuration(2, route("/n/"))

    def again_a_voter() -> bool:
        leader = deployment.leader()
        if leader is None:
            return False
        voters = deployment.controllers[leader].replica.consensus.voters
        own = deployment.controllers[lost].replica.identity.id
        return own in {member.id for member in voters}

    deployment.wait(again_a_voter, 4.0)
    remaining = next(name for name in ("c1", "c2", "c3") if name != lost)
    deployment.power_off(remaining)
    deployment.wait(lambda: deployment.put(lost, 2, configuration(3)).status == 200)


def test_a_lost_controller_is_replaced_at_another_address(deployment: VirtualDeployment) -> None:
    deployment.served()
    removed = others(deployment)[0]
    deployment.power_off(removed)
    deployment.add_core("c4", "10.1.0.4")

    def replaced() -> bool:
        leader = deployment.leader()
        if leader is None:
            return False
        return "10.1.0.4:7720" in {
            each.address for each in deployment.controllers[leader].replica.consensus.voters
        }

    deployment.wait(replaced)
    second = next(name for name in ("c1", "c2", "c3") if name not in (removed, deployment.leader()))
    deployment.power_off(second)
    deployment.wait(lambda: deployment.put("c4", 1, configuration(2)).status == 200)


def test_sigterm_transfers_leadership_at_once(deployment: VirtualDeployment) -> None:
    deployment.served()
    leader = deployment.leader()
    assert leader is not None
    deployment.process(leader).signal(15)
    begun = deployment.now
    deployment.wait(lambda: deployment.leader() not in (None, leader))
    assert deployment.now - begun < 0.3
    deployment.wait(lambda: deployment.process(leader).dead)
    assert deployment.process(leader).ended == 0


def test_a_partitioned_leader_acknowledges_nothing(deployment: VirtualDeployment) -> None:
    deployment.served()
    leader = deployment.leader()
    assert leader is not None
    for name in others(deployment):
        deployment.world.network.partition(leader, name)
    reply = deployment.put(leader, 1, configuration(2))
    assert reply.status == 503
    assert reply.seconds < 1.0
    assert deployment.control(leader, "GET", "/api/config").status == 503
    remaining = next(name for name in ("c1", "c2", "c3") if name != leader)
    deployment.wait(lambda: deployment.put(remaining, 1, configuration(3, route("/n/"))).status == 200)
    deployment.wait(lambda: in_force(deployment, 3), 4.0)


def test_a_full_disk_of_one_controller_delays_nothing(deployment: VirtualDeployment) -> None:
    deployment.served()
    leader = deployment.leader()
    assert leader is not None
    deployment.disks[leader].full = True
    assert deployment.put(leader, 1, configuration(2)).status == 200
    deployment.disks[leader].full = False
    deployment.sleep(1)
    for name in ("c1", "c2", "c3"):
        deployment.power_off(name, nothing_unsynced=True)
    for name in ("c1", "c2", "c3"):
        deployment.power_on(name)
    deployment.wait(lambda: deployment.control("c1", "GET", "/api/config").status == 200)
    assert deployment.control("c1", "GET", "/api/config").body == configuration(2)


def test_the_registry_names_ready_gateways_near_ones_first() -> None:
    deployment = VirtualDeployment(gateways=6)
    deployment.add_instance("a")
    ask = (
        (deployment.world.machines["c2"].ip, DIRECTORY),
        "GET",
        "/api/resolution?name=h&region=south&zone=s1",
    )
    assert deployment.call(*ask).status == 503
    deployment.served()
    deployment.sleep(3)
    reply = deployment.call(*ask)
    assert sorted(reply.json()["addresses"]) == ["10.2.0.3:8161", "10.2.0.6:8161"]
    deployment.process("g3").signal(15)
    deployment.sleep(1.0)
    addresses = deployment.call(*ask).json()["addresses"]
    assert "10.2.0.3:8161" not in addresses
    assert "10.2.0.6:8161" in addresses
    deployment.power_off("g6")
    deployment.sleep(4.0)
    assert set(deployment.call(*ask).json()["addresses"]) == {f"10.2.0.{at}:8161" for at in (1, 2, 4, 5)}
    deployment.close()


def test_a_gateway_fails_over_from_a_frozen_controller(deployment: VirtualDeployment) -> None:
    deployment.served()
    deployment.process("c1").stall(8 * 10**9)
    deployment.wait(lambda: deployment.put("c2", 1, configuration(2, route("/n/"))).status == 200)
    acknowledged = deployment.now
    deployment.wait(lambda: in_force(deployment, 2))
    assert deployment.now - acknowledged < 2.0


def test_no_published_version_goes_back(deployment: VirtualDeployment) -> None:
    deployment.served()
    seen: dict[str, int] = dict.fromkeys(deployment.gateways, 0)
    revision = 1
    for turn in range(6):
        leader = deployment.leader()
        if leader is not None:
            deployment.process(leader).stall(2 * 10**9) if turn % 2 else deployment.process(leader).signal(9)
        for _ in range(60):
            deployment.sleep(0.1)
            for name, gateway in deployment.gateways.items():
                table = gateway.routes
                assert table is not None
                assert table.revision >= seen[name]
                seen[name] = table.revision
        for name in ("c1", "c2", "c3"):
            if deployment.process(name).dead:
                deployment.start_core(name)
        core = f"c{turn % 3 + 1}"
        deployment.sleep(1.5)
        if deployment.put(core, revision, configuration(revision + 1)).status == 200:
            revision += 1
    assert revision > 3


def test_an_invalid_message_is_dropped_and_the_replica_continues(deployment: VirtualDeployment) -> None:
    deployment.served()
    for junk in (b"{}\n", b"nonsense\n", b'{"kind":"append","from":"x"}\n', b'{"kind":"watch"}\n', b"[1]\n"):
        reply = deployment.call(("10.1.0.1", 7720), "POST", "/x", body=junk)
        assert not reply.is_complete
    assert deployment.put("c1", 1, configuration(2)).status == 200


def test_all_controllers_together_read_the_platform_about_three_times_a_second(
    deployment: VirtualDeployment,
) -> None:
    deployment.served()
    before = deployment.platform_calls
    deployment.sleep(10)
    assert 20 <= deployment.platform_calls - before <= 36


def test_an_instance_list_read_by_one_controller_reaches_all(deployment: VirtualDeployment) -> None:
    deployment.served()
    deployment.sleep(3)
    for name in ("c2", "c3"):
        deployment.world.network.partition(name, "platform")
    deployment.add_instance("new")
    deployment.sleep(1.6)
    for controller in deployment.controllers.values():
        assert [entry["id"] for entry in controller.instances.instances] == ["new"]


def test_an_unreadable_instance_list_changes_nothing(deployment: VirtualDeployment) -> None:
    deployment.add_instance("a")
    deployment.served()
    deployment.sleep(2)
    deployment.platform_down = True
    deployment.sleep(5)
    assert deployment.request("g1").status == 200


def test_an_idle_replica_ticks_rarely(deployment: VirtualDeployment) -> None:
    """Guards against a task that wakes itself: about ten heartbeats and replies per second are expected."""
    deployment.served()
    deployment.sleep(1)
    steps = dict.fromkeys(deployment.controllers, 0)
    for name, controller in deployment.controllers.items():
        tick = controller.replica.consensus.tick

        def counted(now: float, name: str = name, tick: object = tick) -> None:
            steps[name] += 1
            tick(now)  # type: ignore[operator]

        controller.replica.consensus.tick = counted  # type: ignore[method-assign]
    deployment.sleep(2)
    assert all(1 <= count <= 60 for count in steps.values()), steps


def test_a_large_configuration_is_sent_once_to_each_gateway(deployment: VirtualDeployment) -> None:
    """Each gateway polls two controllers, but gets a large update from only one of them."""
    deployment.served()
    deployment.sleep(2)
    sent = dict.fromkeys(deployment.controllers, 0)
    for name, controller in deployment.controllers.items():
        publisher = controller._publisher
        assert publisher is not None
        respond = publisher._respond

        def counted(*given: Any, name: str = name, respond: Any = respond) -> Any:
            response = respond(*given)
            sent[name] += "packed" in response.as_json()
            return response

        publisher._respond = counted  # type: ignore[method-assign, assignment]
    body = configuration(2, *(route(f"/r{number}/") for number in range(600)))
    assert deployment.put("c1", 1, body).status == 200
    deployment.wait(lambda: in_force(deployment, 2), 2.0)
    deployment.sleep(2)
    assert sum(sent.values()) == len(deployment.gateways)
    assert deployment.control("c2", "GET", "/api/config").body == body


def test_updates_come_from_the_second_controller_while_the_first_is_unresponsive(
    deployment: VirtualDeployment,
) -> None:
    deployment.served()
    deployment.sleep(2)
    held = deployment.gateways["g1"].controllers._acquired
    first = next(
        name for name in deployment.controllers if f"{deployment.world.machines[name].ip}:7720" == held[0]
    )
    deployment.process(first).stall(6 * 10**9)
    core = next(name for name in deployment.controllers if name != first)
    deployment.wait(lambda: deployment.put(core, 1, configuration(2, route("/n/"))).status == 200)
    acknowledged = deployment.now
    deployment.wait(lambda: in_force(deployment, 2))
    assert deployment.now - acknowledged < 1.5


def test_six_controllers_have_five_voters_and_tolerate_the_loss_of_two() -> None:
    deployment = VirtualDeployment(cores=6, tolerated=2)

    def voters() -> set[str]:
        leader = deployment.leader()
        known = deployment.controllers[leader].replica.consensus.voters if leader is not None else []
        return {member.address for member in known}

    deployment.served()
    deployment.wait(lambda: len(voters()) == 5)
    deployment.sleep(3.0)
    leader = deployment.leader()
    assert leader is not None
    others_with_a_vote = [
        name
        for name in deployment.controllers
        if name != leader and f"{deployment.world.machines[name].ip}:7720" in voters()
    ]
    assert deployment.put("c6", 1, configuration(2)).status == 200
    for name in (leader, others_with_a_vote[0]):
        deployment.power_off(name, nothing_unsynced=True)
    remaining = others_with_a_vote[1]
    deployment.wait(lambda: deployment.put(remaining, 2, configuration(3, route("/n/"))).status == 200)
    deployment.wait(lambda: in_force(deployment, 3))
    assert deployment.control(remaining, "GET", "/api/config").body == configuration(3, route("/n/"))
    deployment.close()


def test_votes_are_spread_over_zones_and_move_back_when_a_zone_returns() -> None:
    """Each zone has two of the six controllers, and no zone may get three of the five votes."""
    deployment = VirtualDeployment(cores=6, tolerated=2)

    def votes_by_zone() -> list[int]:
        leader = deployment.leader()
        known = deployment.controllers[leader].replica.consensus.log.members if leader is not None else ()
        zones = {
            f"{deployment.world.machines[name].ip}:7720": zone_of(name) for name in deployment.controllers
        }
        held = [zones[member.address] for member in known if member.is_voter]
        return sorted(held.count(zone) for zone in deployment.zones)

    def zone_of(name: str) -> str:
        return deployment.controllers[name].settings.zone

    deployment.served()
    deployment.wait(lambda: votes_by_zone() == [1, 2, 2])
    powered_off = [name for name in deployment.controllers if zone_of(name) == "n2"]
    for name in powered_off:
        deployment.power_off(name)
    deployment.sleep(6.0)
    for name in powered_off:
        deployment.power_on(name)
    deployment.wait(lambda: votes_by_zone() == [1, 2, 2])
    assert deployment.put("c1", 1, configuration(2)).status == 200
    deployment.close()


def test_gateways_move_to_controllers_of_their_own_zone() -> None:
    """At first only the seeds are known, in any region; frequent long polls should not cross regions."""
    deployment = VirtualDeployment(cores=6, gateways=6, tolerated=2)
    deployment.served()

    def polls_own_zone(gateway: Gateway) -> bool:
        zone = gateway.settings.zone
        near = {
            f"{deployment.world.machines[name].ip}:7720"
            for name, controller in deployment.controllers.items()
            if controller.settings.zone == zone
        }
        return set(gateway.controllers._acquired.values()) == near

    deployment.wait(
        lambda: all(polls_own_zone(gateway) for gateway in deployment.gateways.values()), seconds=6.0
    )
    deployment.close()


def test_an_unchanged_instance_list_is_sent_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against gateways that consider an unchanged list stale, and request it every two seconds."""
    deployment = VirtualDeployment(gateways=2)
    deployment.add_instance("a")
    deployment.served()
    deployment.sleep(5.0)
    sent: list[str] = []
    send_request = LineClient.send_request

    def counted(self: LineClient, message: dict[str, Any], timeout_s: float) -> dict[str, Any]:
        answer = send_request(self, message, timeout_s)
        if "instances" in answer:
            sent.append(str(answer["source"]))
        return answer

    monkeypatch.setattr(LineClient, "send_request", counted)
    deployment.sleep(10.0)
    assert not sent
    deployment.stub_instances["a"].state = "draining"
    deployment.sleep(3.0)
    assert 2 <= len(sent) <= 6
    for gateway in deployment.gateways.values():
        routes = gateway.routes
        found = routes.find("h", "/s/") if routes is not None else None
        assert found is not None
        assert not gateway.instances.usable(found, "llm", deployment.now)
    deployment.close()


def test_a_stored_configuration_of_an_earlier_version_is_in_force(deployment: VirtualDeployment) -> None:
    """Earlier versions accepted texts with a byte order mark, which were never in force at a gateway."""
    deployment.served()
    body = b"\xef\xbb\xbf" + configuration(2, route("/n/"))
    replica = deployment.controllers["c1"].replica
    submitted: list[Any] = []

    def submit() -> None:
        command = PutConfiguration.from_body(1, 2, body)
        submitted.append(replica.submit(command, deployment.controllers["c1"].scheduler.now() + 1.0))

    deployment.controllers["c1"].scheduler.spawn(submit, name="submit")
    deployment.wait(lambda: bool(submitted), seconds=3.0)
    assert deployment.control("c2", "POST", "/api/evacuations/n1").status == 200
    deployment.sleep(1.0)
    for gateway in deployment.gateways.values():
        assert gateway.routes is not None
        assert gateway.routes.find("h", "/n/x") is not None
        assert gateway.instances.evacuated_zones == {"n1"}
    deployment.add_gateway("g9", "10.2.0.9", "n1")
    deployment.wait(lambda: "g9" in deployment.gateways and deployment.gateways["g9"].is_ready, seconds=8.0)


@pytest.mark.parametrize("method", ["PUT", "PATCH"])
def test_a_change_with_a_lone_surrogate_gets_an_answer(deployment: VirtualDeployment, method: str) -> None:
    """Guards against an error in a request that closes its connection without an answer."""
    deployment.served()
    body = b'{"revision": 2, "upsert": {"routes": [{"name": "\\ud83d"}]}}'
    reply = deployment.control("c1", method, "/api/config", headers={"If-Match": "1"}, body=body)
    assert (reply.status, reply.is_complete) == (400, True)
    assert "line 1 column 55" in reply.json()["error"]

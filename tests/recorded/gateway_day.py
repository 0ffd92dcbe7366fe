"""Failure scenarios of instances, with the responses and the status of a gateway in each of them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tests.recorded.system_day import reply_as_json
from tests.system.virtual_deployment import FRONT, READY, Reply, VirtualDeployment, configuration, route

FailureScenario = Callable[[VirtualDeployment], list[Reply]]


def shed(deployment: VirtualDeployment) -> list[Reply]:
    """All instances reject requests."""
    for instance in deployment.stub_instances.values():
        instance.rejects_requests = True
    return [deployment.request("g1", attempt=f"a{n}") for n in range(3)]


def rejected_often(deployment: VirtualDeployment) -> list[Reply]:
    """Retries of rejected requests exhaust the retry budget."""
    for instance in deployment.stub_instances.values():
        instance.rejects_requests = True
    waiting = [deployment.start_request("g1", attempt=f"a{n}") for n in range(90)]
    deployment.sleep(5.0)
    return waiting[-4:]


def silent(deployment: VirtualDeployment) -> list[Reply]:
    """Instances accept requests but never respond."""
    for instance in deployment.stub_instances.values():
        instance.is_unresponsive = True
    short = {"X-Deadline-Remaining": "700"}
    return [
        deployment.request("g1", target, f"a{n}", headers=short)
        for n, target in enumerate(("/s/x", "/d/x", "/w/x"))
    ]


def failing(deployment: VirtualDeployment) -> list[Reply]:
    """Instances respond with status 500."""
    for instance in deployment.stub_instances.values():
        instance.status = 500
    return [deployment.request("g1", target, f"a{n}") for n, target in enumerate(("/s/x", "/d/x", "/w/x"))]


def cut(deployment: VirtualDeployment) -> list[Reply]:
    """Responses break off after two events."""
    for instance in deployment.stub_instances.values():
        instance.resets_after_events = 2
    targets = ("/s/x", "/o/x", "/d/x", "/w/x")
    return [deployment.request("g1", target, f"a{n}") for n, target in enumerate(targets)]


def gone(deployment: VirtualDeployment) -> list[Reply]:
    """Connections to the listed addresses are refused, as the instances are killed."""
    for instance in deployment.stub_instances.values():
        instance.machine.processes[0].kill()
    return [deployment.request("g1", target, f"a{n}") for n, target in enumerate(("/s/x", "/d/x", "/w/x"))]


def dark(deployment: VirtualDeployment) -> list[Reply]:
    """The machines of all instances lose power."""
    for instance in deployment.stub_instances.values():
        instance.machine.vanish()
    return [deployment.request("g1", target, f"a{n}") for n, target in enumerate(("/s/x", "/d/x", "/w/x"))]


def crowded(deployment: VirtualDeployment) -> list[Reply]:
    """Several requests arrive at once for a service with one connection per instance."""
    waiting = [deployment.start_request("g1", "/n/x", f"a{n}") for n in range(5)]
    deployment.sleep(3.0)
    return waiting


def no_requests(deployment: VirtualDeployment) -> list[Reply]:
    """Requests are too large, have no route or lack an attempt id."""
    address = (deployment.world.machines["g1"].ip, FRONT)
    return [
        deployment.call(address, "POST", "/s/x", headers={"X-Long": "x" * 40000}),
        deployment.call(address, "POST", "/s/x", body=b"x" * 5_000_000),
        deployment.call(address, "GET", "/nowhere"),
        deployment.call(address, "GET", "/s/x", headers={"Host": "other"}),
        deployment.request("g1", "/s/x", "", headers={"X-Attempt-Id": ""}),
    ]


def warming(deployment: VirtualDeployment) -> list[Reply]:
    """All instances report that they are warming up."""
    for instance in deployment.stub_instances.values():
        instance.warmup_ms = 3000
    deployment.sleep(2.0)
    waiting = [deployment.start_request("g1", attempt=f"a{n}") for n in range(30)]
    deployment.sleep(1.0)
    return waiting


FAILURE_SCENARIOS: tuple[FailureScenario, ...] = (
    shed, rejected_often, silent, failing, cut, gone, dark, crowded, no_requests, warming,
)  # fmt: skip


def play(scenario: FailureScenario) -> dict[str, Any]:
    """Run one failure scenario; return the responses and the gateway's status afterwards."""
    deployment = VirtualDeployment(seed=9, cores=3, gateways=1)
    try:
        for name, service, zone in (
            ("i1", "llm", "n1"),
            ("i2", "llm", "n2"),
            ("d1", "desk", "n1"),
            ("n1", "narrow", "n1"),
        ):
            deployment.add_instance(name, service, zone)
        routes = [
            route(),
            route("/o/", resumable=False, affine=False),
            route("/d/", kind="idempotent", service="desk"),
            route("/w/", kind="mutating", service="desk"),
            route("/n/", kind="idempotent", service="narrow", tries=1),
        ]
        services = [
            {"name": "llm", "warmup_s": 3.0, "cold_per_s": 2.0},
            {"name": "desk"},
            {"name": "narrow", "conn_limit": 1},
        ]
        deployment.served(configuration(1, *routes, services=services))
        deployment.sleep(4.0)
        replies = [reply_as_json(reply) for reply in scenario(deployment)]
        address = (deployment.world.machines["g1"].ip, READY)
        return {"replies": replies, "status": reply_as_json(deployment.call(address, "GET", "/api/status"))}
    finally:
        deployment.close()

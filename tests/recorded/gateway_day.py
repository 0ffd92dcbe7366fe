"""What a gateway answers where instances fail in each way, and how it counts that."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tests.recorded.system_day import told
from tests.system.virtual_deployment import FRONT, READY, Reply, VirtualDeployment, configuration, route

Trouble = Callable[[VirtualDeployment], list[Reply]]


def shed(deployment: VirtualDeployment) -> list[Reply]:
    """Both instances reject."""
    for instance in deployment.stub_instances.values():
        instance.rejects_requests = True
    return [deployment.request("g1", attempt=f"a{n}") for n in range(3)]


def rejected_often(deployment: VirtualDeployment) -> list[Reply]:
    """Retries of rejections use the budget up."""
    for instance in deployment.stub_instances.values():
        instance.rejects_requests = True
    waiting = [deployment.start_request("g1", attempt=f"a{n}") for n in range(90)]
    deployment.sleep(5.0)
    return waiting[-4:]


def silent(deployment: VirtualDeployment) -> list[Reply]:
    """Instances take requests and answer nothing."""
    for instance in deployment.stub_instances.values():
        instance.is_unresponsive = True
    short = {"X-Deadline-Remaining": "700"}
    return [
        deployment.request("g1", target, f"a{n}", headers=short)
        for n, target in enumerate(("/s/x", "/d/x", "/w/x"))
    ]


def failing(deployment: VirtualDeployment) -> list[Reply]:
    """Instances answer with a failure."""
    for instance in deployment.stub_instances.values():
        instance.status = 500
    return [deployment.request("g1", target, f"a{n}") for n, target in enumerate(("/s/x", "/d/x", "/w/x"))]


def cut(deployment: VirtualDeployment) -> list[Reply]:
    """Answers break off."""
    for instance in deployment.stub_instances.values():
        instance.resets_after_events = 2
    targets = ("/s/x", "/o/x", "/d/x", "/w/x")
    return [deployment.request("g1", target, f"a{n}") for n, target in enumerate(targets)]


def gone(deployment: VirtualDeployment) -> list[Reply]:
    """Nobody listens at the addresses of the list."""
    for instance in deployment.stub_instances.values():
        instance.machine.processes[0].kill()
    return [deployment.request("g1", target, f"a{n}") for n, target in enumerate(("/s/x", "/d/x", "/w/x"))]


def dark(deployment: VirtualDeployment) -> list[Reply]:
    """Machines have no power."""
    for instance in deployment.stub_instances.values():
        instance.machine.vanish()
    return [deployment.request("g1", target, f"a{n}") for n, target in enumerate(("/s/x", "/d/x", "/w/x"))]


def crowded(deployment: VirtualDeployment) -> list[Reply]:
    """One connection an instance, and many requests at once."""
    waiting = [deployment.start_request("g1", "/n/x", f"a{n}") for n in range(5)]
    deployment.sleep(3.0)
    return waiting


def no_requests(deployment: VirtualDeployment) -> list[Reply]:
    """What is no request, or too large, or has no route."""
    address = (deployment.world.machines["g1"].ip, FRONT)
    return [
        deployment.call(address, "POST", "/s/x", headers={"X-Long": "x" * 40000}),
        deployment.call(address, "POST", "/s/x", body=b"x" * 5_000_000),
        deployment.call(address, "GET", "/nowhere"),
        deployment.call(address, "GET", "/s/x", headers={"Host": "other"}),
        deployment.request("g1", "/s/x", "", headers={"X-Attempt-Id": ""}),
    ]


def warming(deployment: VirtualDeployment) -> list[Reply]:
    """All instances say that they warm up."""
    for instance in deployment.stub_instances.values():
        instance.warmup_ms = 3000
    deployment.sleep(2.0)
    waiting = [deployment.start_request("g1", attempt=f"a{n}") for n in range(30)]
    deployment.sleep(1.0)
    return waiting


TROUBLES: tuple[Trouble, ...] = (
    shed, rejected_often, silent, failing, cut, gone, dark, crowded, no_requests, warming,
)  # fmt: skip


def play(trouble: Trouble) -> dict[str, Any]:
    """What was answered under one trouble, and the gateway's status after it."""
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
        replies = [told(reply) for reply in trouble(deployment)]
        address = (deployment.world.machines["g1"].ip, READY)
        return {"replies": replies, "status": told(deployment.call(address, "GET", "/api/status"))}
    finally:
        deployment.close()

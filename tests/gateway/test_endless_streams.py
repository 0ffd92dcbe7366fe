"""Tests that an instance whose streams never end loses its weight, whoever ends them at the deadline."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.system.virtual_deployment import VirtualDeployment, configuration, route

WARM_S = 6.0  # time after which instances are warm
DEADLINE_S = 1.0
FAILURES = 'brambleusher_gateway_response_failures_total{reason="deadline"}'


@pytest.fixture
def deployment() -> Iterator[VirtualDeployment]:
    made = VirtualDeployment(gateways=1)
    made.add_instance("endless", zone="n1")
    made.add_instance("sound", zone="n1")
    made.served(configuration(1, route("/o/", resumable=False, affine=False, tries=1)))
    made.sleep(WARM_S)
    made.stub_instances["endless"].events = 10**6
    yield made
    made.close()


def weight(deployment: VirtualDeployment, name: str) -> float:
    weights = deployment.gateways["g1"].instances.weights["llm"].weights()
    return weights[name]


# Guards against a faulty instance that keeps its share since its clients leave as the deadline passes.
@pytest.mark.parametrize("patience_s", [DEADLINE_S - 0.005, DEADLINE_S + 1.0])
def test_an_instance_whose_streams_never_end_loses_its_weight(
    deployment: VirtualDeployment, patience_s: float
) -> None:
    headers = {"X-Deadline-Remaining": str(int(DEADLINE_S * 1000))}
    for number in range(20):
        deployment.start_request(
            "g1", "/o/x", attempt=f"r{number}", timeout_s=patience_s, headers=dict(headers)
        )
        deployment.sleep(0.25)
    assert weight(deployment, "endless") < weight(deployment, "sound") / 2
    assert deployment.metrics("g1")[FAILURES] >= 3


def test_an_instance_is_not_blamed_for_clients_that_leave_early(deployment: VirtualDeployment) -> None:
    for number in range(20):
        deployment.start_request("g1", "/o/x", attempt=f"r{number}", timeout_s=DEADLINE_S / 2)
        deployment.sleep(0.25)
    assert FAILURES not in deployment.metrics("g1")

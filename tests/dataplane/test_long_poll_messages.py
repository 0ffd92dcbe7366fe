"""Tests of the long-poll messages of a gateway: their wire format, and malformed messages."""

from __future__ import annotations

from typing import Any

import pytest

from brambleusher.dataplane.instance_entry import InstanceEntry
from brambleusher.dataplane.long_poll_messages import NO_LIST, ListVersion, LongPollRequest, LongPollResponse
from brambleusher.membership.controllers import Locality
from brambleusher.membership.views import Peer, PeerState
from brambleusher.wire import lines
from brambleusher.wire.errors import InvalidMessageError
from tests.dataplane.dataplane_builders import entry
from tests.system.virtual_deployment import VirtualDeployment, configuration

GATEWAY = Peer("g1", "gateway", "10.0.0.1:80", "n1", "north", PeerState.READY, 7)
ME = (
    b'"me":{"name":"g1","role":"gateway","address":"10.0.0.1:80","zone":"n1","region":"north",'
    b'"state":"ready","incarnation":7}'
)


@pytest.mark.parametrize(
    ("request_", "line"),
    [
        (
            LongPollRequest(GATEWAY, 3, ListVersion("c1", 5)),
            b'{"kind":"watch",' + ME + b',"index":3,"source":"c1","version":5}\n',
        ),
        (
            LongPollRequest(GATEWAY, -1, NO_LIST, is_brief=True),
            b'{"kind":"watch",' + ME + b',"index":-1,"source":"","version":-1,"brief":true}\n',
        ),
        (
            LongPollRequest(GATEWAY, 3, NO_LIST, is_brief=False, load_report={"i": [1.0]}),
            b'{"kind":"watch",'
            + ME
            + b',"index":3,"source":"","version":-1,"brief":false,"figures":{"i":[1.0]}}\n',
        ),
    ],
)
def test_the_form_of_a_request_on_the_wire(request_: LongPollRequest, line: bytes) -> None:
    assert lines.encode(request_.as_json()) == line


def response_json(**given: Any) -> dict[str, Any]:
    return {
        "index": 4,
        "contact": True,
        "gateways": 2,
        "rank": 1,
        "controllers": [["10.1.0.1:7720", "n1", "north"]],
        "source": "c1",
        "version": 5,
        **given,
    }


def test_a_brief_response_has_no_content() -> None:
    response = LongPollResponse.from_json(response_json(age_ms=1500))
    assert response.state is None
    assert response.instances() is None
    assert response.fleet_load() is None
    assert response.list_age_s == 1.5
    assert response.list_version == ListVersion("c1", 5)
    assert response.controllers == (("10.1.0.1:7720", Locality("n1", "north")),)


def test_a_full_response_has_state_list_and_load() -> None:
    data = response_json(
        packed="p", evacuated=["n1"], age_ms=0, instances=[entry("a")], reporters=3, figures={"a": [1.0, 0.0]}
    )
    response = LongPollResponse.from_json(data)
    assert response.state is not None
    assert response.state.packed_configuration == "p"
    assert response.state.evacuated_zones == {"n1"}
    assert response.instances() == [InstanceEntry("a", "llm", "10.0.0.1:80", "n1", 8.0, 0.0, True)]
    load = response.fleet_load()
    assert load is not None
    assert (load.reporters, load.totals) == (3, {"a": [1.0, 0.0]})


@pytest.mark.parametrize(
    "wrong",
    [
        {"index": None},
        {"gateways": "two"},
        {"rank": []},
        {"version": None},
        {"age_ms": "old"},
        {"packed": 3, "evacuated": []},
        {"packed": "p"},
        {"controllers": [["a", "b"]]},
    ],
)
def test_a_response_that_can_not_be_read_is_invalid(wrong: dict[str, Any]) -> None:
    with pytest.raises(InvalidMessageError):
        LongPollResponse.from_json(response_json(**wrong))


@pytest.mark.parametrize(
    "wrong", [{"id": 3}, {"service": None}, {"address": 80}, {"capacity": [1]}, {"warmup_ms": "x"}]
)
def test_an_entry_that_can_not_be_read_is_found_only_with_the_list(wrong: dict[str, Any]) -> None:
    response = LongPollResponse.from_json(response_json(age_ms=0, instances=[{**entry("a"), **wrong}]))
    with pytest.raises(InvalidMessageError):
        response.instances()


def test_a_list_that_can_not_be_read_delays_no_configuration() -> None:
    deployment = VirtualDeployment(gateways=1)
    server = deployment.add_instance("a")
    server.entry = lambda: {"id": "a"}  # type: ignore[method-assign]
    assert deployment.put("c1", 0, configuration(1)).status == 200
    gateway = deployment.gateways["g1"]
    deployment.wait(lambda: gateway.routes is not None and gateway.routes.revision == 1)
    deployment.close()

"""Connections to instances that forget them unseen: what may run once goes over them only if that is safe."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from brambleusher.dataplane import upstream_client
from brambleusher.dataplane.placement import CONTACT_FRESH_S
from brambleusher.dataplane.upstream_client import UNPROVEN_IDLE_S
from tests.system.whole import Server, Whole, configuration, route

WARM_S = 6.0  # after which the list is known and instances on it are warm
ONCE = route("/d/", kind="mutating", service="desk", resumable=False, affine=False)


@pytest.fixture
def whole() -> Iterator[Whole]:
    whole = Whole(gateways=1, in_force=("pool",))
    whole.add_server("d1", "desk")
    whole.served(configuration(1, ONCE))
    whole.sleep(WARM_S)
    yield whole
    whole.close()


def desk(whole: Whole) -> Server:
    return whole.servers["d1"]


def ask(whole: Whole, attempt: str, rest_s: float = 0.0) -> int:
    whole.sleep(rest_s)
    status = whole.request("g1", "/d/x", attempt=attempt, body=b"x" * 3000).status
    assert len(whole.arrivals(attempt)) == 1
    assert whole.arrivals(attempt)[0].body == b"x" * 3000
    return status


def test_a_connection_that_is_there_is_used_again_after_a_rest(whole: Whole) -> None:
    assert ask(whole, "a") == 200
    assert ask(whole, "b", rest_s=4 * UNPROVEN_IDLE_S) == 200
    assert ask(whole, "c", rest_s=4 * UNPROVEN_IDLE_S) == 200
    assert desk(whole).connections == 1


def test_a_connection_that_was_forgotten_costs_no_request(whole: Whole) -> None:
    """Without the proof the request would be lost: nobody could say whether it had run."""
    assert ask(whole, "a") == 200
    desk(whole).forgets_after_s = 0.1
    assert ask(whole, "b", rest_s=0.2) == 200
    assert desk(whole).connections == 2


def test_after_one_was_forgotten_others_that_rested_as_long_are_not_tried(whole: Whole) -> None:
    desk(whole).forgets_after_s = 0.6
    for attempt in ("a", "b"):
        whole.start_request("g1", "/d/x", attempt=attempt)
    whole.sleep(0.3)
    gateway = whole.gateways["g1"]
    pool = gateway.connection_pool
    before_s = pool.trusted_idle_s
    whole.sleep(0.5)
    gateway.instances.for_service("desk")[0].last_contact_s = whole.now
    assert ask(whole, "c") == 200
    assert pool.trusted_idle_s < before_s


def test_an_instance_that_was_not_heard_of_lately_is_connected_anew(whole: Whole) -> None:
    """It may have gone dark: a request over a kept connection would be lost then, a new connection is not."""
    assert ask(whole, "a") == 200
    assert ask(whole, "b", rest_s=CONTACT_FRESH_S * 1.5) == 200
    assert desk(whole).connections == 2


def test_where_connections_are_not_forgotten_nothing_is_held_back() -> None:
    whole = Whole(gateways=1)
    whole.add_server("d1", "desk")
    whole.served(configuration(1, ONCE))
    whole.sleep(WARM_S)
    assert ask(whole, "a") == 200
    assert ask(whole, "b", rest_s=CONTACT_FRESH_S * 2) == 200
    assert desk(whole).connections == 1
    whole.close()


def test_without_the_proof_the_request_would_be_lost(whole: Whole, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream_client, "UNPROVEN_IDLE_S", 60.0)
    assert ask(whole, "a") == 200
    desk(whole).forgets_after_s = 0.1
    whole.sleep(0.2)
    assert whole.request("g1", "/d/x", attempt="b").status == 502

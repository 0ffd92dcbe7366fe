"""Client draining: which connections may stay open while a sidecar is out of service."""

from __future__ import annotations

import pytest

from brambleusher.loadbalancing.client_draining import DRAIN_GRACE_S, FIRST_REQUEST_GRACE_S, ClientDraining

DRAINING_SINCE_S = 10.0


@pytest.fixture
def draining() -> ClientDraining:
    draining = ClientDraining()
    draining.start(DRAINING_SINCE_S)
    return draining


def test_in_service_all_may_stay() -> None:
    in_service = ClientDraining()
    assert in_service.accepts_clients and in_service.may_stay_idle(5.0, 0.0, True)


@pytest.mark.parametrize(
    ("now", "since", "asked", "may_stay"),
    [
        (10.5, 9.0, True, True),  # its next request is served, and the response closes the connection
        (DRAINING_SINCE_S + DRAIN_GRACE_S, 9.0, True, False),
        (DRAINING_SINCE_S + DRAIN_GRACE_S, 9.0, False, False),
        (10.5, 10.4, False, True),  # new, since the upstream load balancer has not checked readiness yet
        (10.4 + FIRST_REQUEST_GRACE_S, 10.4, False, False),
        (13.0, 12.9, False, True),
    ],
)
def test_who_may_stay_while_draining(
    draining: ClientDraining, now: float, since: float, asked: bool, may_stay: bool
) -> None:
    assert not draining.accepts_clients
    assert draining.may_stay_idle(now, since, asked) == may_stay


def test_the_first_call_counts(draining: ClientDraining) -> None:
    draining.start(11.0)
    assert not draining.accepts_clients
    assert not draining.may_stay_idle(DRAINING_SINCE_S + DRAIN_GRACE_S, 9.0, True)


def test_back_in_service_all_may_stay(draining: ClientDraining) -> None:
    draining.resume()
    assert draining.accepts_clients and draining.may_stay_idle(20.0, 0.0, True)

"""Tests of the request context: how often a route allows a request to run, and the remaining time."""

from __future__ import annotations

from typing import Any

import pytest

from brambleusher.dataplane.client_request import ClientRequest
from brambleusher.dataplane.request_context import RequestContext
from brambleusher.dataplane.retry_budget import RetryBudget
from tests.dataplane.dataplane_builders import placement_request, route


class ConnectedClient:
    """A client that never disconnects."""

    def raise_if_left(self) -> None:
        return

    def suspend(self) -> None:
        return

    def resume(self) -> None:
        return


def context(**given: Any) -> RequestContext:
    request = ClientRequest(b"POST", b"/", [], b"", 0.0)
    budget = RetryBudget(0.2, 56, 10, 8, 0.0)
    return RequestContext(
        request, route(**given), placement_request(**given), budget, b"a", 1.0, b"", ConnectedClient()
    )


@pytest.mark.parametrize(
    ("given", "runs"),
    [
        ({"kind": "mutating", "tries": 3}, 0),
        ({"kind": "idempotent", "tries": 3}, 3),
        ({"kind": "idempotent", "tries": 0}, 1),
        ({"kind": "streaming", "tries": 2}, 0),
        ({"kind": "streaming", "tries": 2, "resumable": True}, 2),
    ],
)
def test_a_request_may_run_again_as_often_as_its_route_allows(given: dict[str, Any], runs: int) -> None:
    made = context(**given)
    assert not made.may_have_run
    while made.may_run_again:
        made.possible_runs += 1
    assert made.possible_runs == runs


def test_the_remaining_time_ends_at_the_deadline() -> None:
    assert context().remaining_s(0.25) == 0.75
    assert context().remaining_s(2.0) == -1.0

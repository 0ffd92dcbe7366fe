"""Mutation tests: the randomized runs must detect each fault injected into the control plane."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from result import Ok

from brambleusher.controller.app import Controller
from brambleusher.controlplane.configuration.admin_api import AdminApi
from brambleusher.controlplane.configuration.commands import (
    PutConfiguration,
    SetEvacuation,
    Verdict,
)
from brambleusher.controlplane.configuration.replicated_state import ReadResult
from brambleusher.controlplane.configuration.state_machine import SharedState
from brambleusher.controlplane.replica import Replica
from brambleusher.runtime.http_server import HttpRequest, HttpResponse
from tests.controlplane.consensus.cluster import SafetyViolationError
from tests.system.control_plane_faults import play

Patch = pytest.MonkeyPatch


def reads_are_not_confirmed(patch: Patch) -> None:
    """Inject a fault: a controller answers reads with its own state, without confirmation by a majority."""

    def read(self: Replica, deadline: float) -> ReadResult:
        return Ok(self.state)

    patch.setattr(Replica, "read", read)


def orders_are_refused_by_what_is_held(patch: Patch) -> None:
    """Inject a fault: a controller rejects changes by its own revision, without asking the leader."""
    submit = Replica.submit

    def refuse(self: Replica, command: Any, deadline: float) -> Any:
        if isinstance(command, PutConfiguration) and command.base_revision != self.state.revision:
            return Ok(Verdict.STALE)
        return submit(self, command, deadline)

    patch.setattr(Replica, "submit", refuse)


def repeats_are_refused(patch: Patch) -> None:
    """Inject a fault: accepted change requests are not remembered."""
    put = SharedState._put_configuration

    def forget(self: SharedState, index: int, command: PutConfiguration) -> Verdict:
        self.accepted_digests = []
        return put(self, index, command)

    patch.setattr(SharedState, "_put_configuration", forget)


def numbers_are_taken_twice(patch: Patch) -> None:
    """Inject a fault: the base revision of a change is not checked."""

    def put(self: SharedState, index: int, command: PutConfiguration) -> Verdict:
        if command.digest in self.accepted_digests:
            return Verdict.REPEATED
        self.index, self.revision, self.packed = index, command.revision, command.packed
        self.accepted_digests = [*self.accepted_digests, command.digest]
        return Verdict.ACCEPTED

    patch.setattr(SharedState, "_put_configuration", put)


def old_evacuations_act(patch: Patch) -> None:
    """Inject a former fault: commands have no applied index, and disconnected clients are not detected."""
    evacuate = AdminApi._set_evacuation

    def act(self: AdminApi, request: HttpRequest, zone: str) -> HttpResponse:
        fresh = HttpRequest(request.method, request.path, request.query, request.headers, request.body)
        return evacuate(self, fresh, zone)

    def submit(command: SetEvacuation) -> dict[str, Any]:
        return {"op": "evacuate", "zone": command.zone, "evacuated": command.is_evacuated}

    patch.setattr(AdminApi, "_set_evacuation", act)
    patch.setattr(SetEvacuation, "as_json", submit)


def votes_stay_with_those_that_leave(patch: Patch) -> None:
    """Inject a former fault: a controller that shuts down hands over its leadership but not its vote."""

    def begin_graceful_shutdown(self: Replica) -> None:
        self.consensus.transfer_leadership()
        self._process_output()

    patch.setattr(Replica, "begin_graceful_shutdown", begin_graceful_shutdown)
    patch.setattr(Controller, "_successors", lambda self: [])


FAULTS: list[Callable[[Patch], None]] = [
    reads_are_not_confirmed,
    orders_are_refused_by_what_is_held,
    repeats_are_refused,
    numbers_are_taken_twice,
    old_evacuations_act,
    votes_stay_with_those_that_leave,
]


# For faults that few seeds detect, the search begins shortly before such a seed, so that the test is fast.
FIRST_DAY: dict[Callable[[Patch], None], int] = {votes_stay_with_those_that_leave: 60}
DAYS = 160


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_days_of_faults_find_it(fault: Callable[[Patch], None], monkeypatch: Patch) -> None:
    fault(monkeypatch)
    with pytest.raises((SafetyViolationError, AssertionError)):
        first = FIRST_DAY.get(fault, 0)
        for seed in range(first, first + DAYS):
            play(seed)

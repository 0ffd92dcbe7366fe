"""Mutations of configuration changes and reads."""

from __future__ import annotations

import itertools
from http import HTTPStatus
from typing import Any

from brambleusher.controlplane.configuration.admin_api import AdminApi
from brambleusher.controlplane.configuration.commands import PutConfiguration, Verdict
from brambleusher.controlplane.configuration.state_machine import SharedState
from brambleusher.lab.faults.breakages import Patches
from brambleusher.lab.soak.mutations.registry import mutation


@mutation(
    "race-unnoticed", "controller", "a change on an old revision is accepted", "conflict", "change-lost"
)
def _race_unnoticed(patches: Patches) -> None:
    def put(self: SharedState, index: int, command: PutConfiguration) -> Verdict:
        self.index, self.revision, self.packed = index, command.revision, command.packed
        return Verdict.ACCEPTED

    patches.set(SharedState, "_put_configuration", put)


@mutation("stale-read", "controller", "a controller answers from its own state without asking", "change-lost")
def _stale_read(patches: Patches) -> None:
    first: list[Any] = []

    def get(self: AdminApi) -> Any:
        answer = original(self)
        if answer.status == HTTPStatus.OK and not first:
            first.append(answer)
        return first[0] if first else answer

    original = patches.set(AdminApi, "_get_configuration", get)


@mutation(
    "acknowledged-early", "controller", "a change is acknowledged that was not committed", "change-lost"
)
def _acknowledged_early(patches: Patches) -> None:
    calls = itertools.count(1)

    def put(self: AdminApi, request: Any) -> Any:
        answer = original(self, request)
        if next(calls) % 3 == 0 and answer.status != HTTPStatus.OK:
            answer = type(answer)(HTTPStatus.OK, b"{}")
        return answer

    original = patches.set(AdminApi, "_put_configuration", put)

"""Tests of the peer directory: consensus group members and controllers in the partial view."""

from __future__ import annotations

import random
from collections.abc import Iterator

import pytest

from brambleusher.controller.peer_directory import PeerDirectory
from brambleusher.membership.views import PartialView, Peer, PeerState
from tests.system.virtual_deployment import VirtualDeployment


@pytest.fixture
def deployment() -> Iterator[VirtualDeployment]:
    made = VirtualDeployment(cores=1, gateways=0)
    yield made
    made.close()


def peer(name: str, role: str, zone: str) -> Peer:
    return Peer(name, role, f"{name}:1", zone, "north", PeerState.READY, 1)


def test_members_and_recent_contacts_are_controllers_and_gateways_are_not(
    deployment: VirtualDeployment,
) -> None:
    scheduler = deployment.controllers["c1"].scheduler
    view = PartialView(random.Random(1))
    for each in (
        peer("gossip", "controller", "n2"),
        peer("own", "controller", "n1"),
        peer("g", "gateway", "n1"),
    ):
        view.record_contact(each, scheduler.now())
    directory = PeerDirectory(scheduler, view, "own:1", lambda: ["member:1", "own:1", ""])
    assert directory.addresses() == ["gossip:1", "member:1"]
    assert directory.zones() == {"gossip:1": "n2", "own:1": "n1"}
    assert directory.as_json() == [
        ("gossip:1", "n2", "north"),
        ("member:1", "", ""),
        ("own:1", "n1", "north"),
    ]

"""Join requests, shutdown notices, and the proof that a disk is lost."""

from __future__ import annotations

from dataclasses import replace

from brambleusher.controlplane.consensus.membership_requests import DISK_LOSS_PROOF_S, MembershipRequests
from tests.controlplane.consensus.cluster import member

BOOTSTRAP_MEMBERS = tuple(member(name) for name in "abc")


def test_an_old_request_to_join_does_not_replace_the_process_that_is_there_now() -> None:
    """A delayed join request of a replaced process arrives after the newer process became a member."""
    newer = replace(member("b2"), address="at-b")
    old = replace(member("b", voter=False), address="at-b")
    members = (member("a"), newer, member("c"))
    requests = MembershipRequests("a")
    for step in range(12):
        now = step * 0.1
        requests.record_contact("b2", now)
        requests.record_join(old, now)
        assert requests.wiped_members(members, now) == set()
        assert requests.admissible_candidates(members, now) == []


def test_a_repeated_request_from_the_address_of_a_silent_member_proves_that_its_disk_is_lost() -> None:
    members = BOOTSTRAP_MEMBERS
    empty = replace(member("b2", voter=False), address="at-b")
    requests = MembershipRequests("a")
    requests.record_join(empty, 1.0)
    requests.record_contact("b", 1.1)  # the last message of the member was still in transit
    requests.record_join(empty, 1.3)
    assert requests.admissible_candidates(members, 1.3) == []
    requests.record_join(empty, 1.1 + DISK_LOSS_PROOF_S + 0.1)
    assert requests.admissible_candidates(members, 1.7) == [empty]
    assert requests.wiped_members(members, 1.7) == {"b"}
    assert requests.wiped_members(members, 9.0) == set()  # the request has expired


def test_requests_expire() -> None:
    requests = MembershipRequests("a")
    requests.record_join(member("z", voter=False), 0.0)
    requests.record_shutdown("b", 0.0)
    assert requests.members_shutting_down() == {"b"}
    requests.expire(BOOTSTRAP_MEMBERS, 10.0)
    assert requests.members_shutting_down() == set()
    assert requests.admissible_candidates(BOOTSTRAP_MEMBERS, 10.0) == []

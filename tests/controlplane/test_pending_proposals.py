"""Results of pending proposals, and the wire format of forwarded requests and their replies."""

from __future__ import annotations

from typing import Any

import pytest

from brambleusher.controlplane.configuration.commands import PutConfiguration, SetEvacuation, Verdict
from brambleusher.controlplane.forwarding import ForwardedRequest, reply_to_json
from brambleusher.controlplane.pending_proposals import PENDING_MAX, PendingProposals
from brambleusher.wire.errors import InvalidMessageError


def test_a_proposal_gets_the_verdict_of_its_own_entry() -> None:
    proposals = PendingProposals()
    pending = proposals.add(index=7, term=2)
    proposals.resolve_applied(6, 2, Verdict.STALE)
    assert not pending.event.is_set
    proposals.resolve_applied(7, 2, Verdict.ACCEPTED)
    assert pending.event.is_set
    assert pending.result is Verdict.ACCEPTED
    assert proposals.proposal_at(7) is None


def test_a_proposal_gets_no_verdict_of_an_entry_of_another_term() -> None:
    proposals = PendingProposals()
    pending = proposals.add(index=7, term=2)
    proposals.resolve_applied(7, 3, Verdict.ACCEPTED)
    assert pending.event.is_set
    assert pending.result is None


def test_a_later_proposal_at_the_same_index_supersedes_the_earlier_one() -> None:
    proposals = PendingProposals()
    earlier = proposals.add(index=7, term=2)
    later = proposals.add(index=7, term=4)
    assert earlier.event.is_set
    assert earlier.result is None
    proposals.discard(7, earlier)
    assert proposals.proposal_at(7) is later
    proposals.discard(7, later)
    assert proposals.proposal_at(7) is None


def test_pending_proposals_are_bounded() -> None:
    proposals = PendingProposals()
    for index in range(PENDING_MAX):
        assert not proposals.is_full
        proposals.add(index, 1)
    assert proposals.is_full


@pytest.mark.parametrize(
    ("request_", "wire"),
    [
        (ForwardedRequest(5, None), {"kind": "forward", "number": 5, "read": True}),
        (
            ForwardedRequest(6, SetEvacuation("n1", True, 3)),
            {
                "kind": "forward",
                "number": 6,
                "command": {"op": "evacuate", "zone": "n1", "evacuated": True, "seen": 3},
            },
        ),
        (
            ForwardedRequest(7, PutConfiguration(1, 2, "d", "p")),
            {
                "kind": "forward",
                "number": 7,
                "command": {"op": "put", "base": 1, "revision": 2, "digest": "d", "packed": "p"},
            },
        ),
    ],
)
def test_a_forwarded_request_has_its_form_on_the_wire(
    request_: ForwardedRequest, wire: dict[str, Any]
) -> None:
    assert request_.as_json() == wire
    assert list(request_.as_json()) == list(wire)
    assert ForwardedRequest.from_json(wire) == request_


def test_a_reply_has_its_form_on_the_wire() -> None:
    reply = reply_to_json(5, "accepted")
    assert list(reply.items()) == [("kind", "forwarded"), ("number", 5), ("answer", "accepted")]


@pytest.mark.parametrize(
    "data",
    [
        {"kind": "forward", "number": "5", "read": True},
        {"kind": "forward", "number": 5, "command": None},
        {"kind": "forward", "number": 5, "command": {"op": "unknown"}},
        {"kind": "forward", "number": 5, "command": {"op": "put", "base": 1}},
        {"kind": "forward", "number": 5, "command": {"op": "evacuate", "zone": "n1", "evacuated": 1}},
    ],
)
def test_a_malformed_forwarded_request_is_rejected(data: dict[str, Any]) -> None:
    with pytest.raises(InvalidMessageError):
        ForwardedRequest.from_json(data)

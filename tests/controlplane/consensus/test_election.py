"""Elections as sequences of events: the messages and records that a replica outputs for each event."""

from __future__ import annotations

import random

import pytest

from brambleusher.controlplane.consensus.outputs import HardState, Outgoing, Role
from brambleusher.controlplane.consensus.raft import Consensus
from brambleusher.controlplane.consensus.replicated_log import Log
from brambleusher.controlplane.consensus.timing import ELECTION_MAX_S, ELECTION_MIN_S, FIRST_ELECTION_MAX_S
from brambleusher.wire import consensus_messages as wire
from brambleusher.wire.consensus_messages import Entry, EntryKind
from tests.controlplane.consensus.cluster import member

TERM = 3


@pytest.fixture
def replica() -> Consensus:
    """Replica a of a group of three, in term 3, with one entry of term 2."""
    log = Log(0, 0, tuple(member(name) for name in "abc"))
    log.append(Entry(1, 2, EntryKind.COMMAND, "x"))
    return Consensus(member("a", voter=False), log, TERM, "", 0.0, random.Random(1))


def messages_of(outgoing: list[Outgoing]) -> list[wire.Message]:
    return [out.message for out in outgoing]


def vote_request(
    term: int, last_index: int = 1, last_term: int = 2, *, pre: bool = False
) -> wire.VoteRequest:
    return wire.VoteRequest(term, "b", last_index, last_term, pre, False)


def test_a_replica_without_a_leader_asks_in_a_pre_vote_and_records_nothing(replica: Consensus) -> None:
    replica.tick(FIRST_ELECTION_MAX_S)
    output = replica.take_output()
    assert replica.state.role is Role.PRE_CANDIDATE
    assert messages_of(output.messages) == [wire.VoteRequest(TERM + 1, "a", 1, 2, True, False)] * 2
    assert output.records == []


def test_a_won_pre_vote_starts_an_election_whose_requests_wait_for_the_own_vote(replica: Consensus) -> None:
    replica.tick(FIRST_ELECTION_MAX_S)
    replica.take_output()
    replica.handle_message(wire.VoteReply(TERM, "b", TERM + 1, True, True), FIRST_ELECTION_MAX_S)
    output = replica.take_output()
    assert output.records == [HardState(TERM + 1, "a")]
    assert [(out.message, out.after_record) for out in output.messages] == [
        (wire.VoteRequest(TERM + 1, "a", 1, 2, False, False), 1)
    ] * 2


def test_a_candidate_becomes_leader_with_another_vote_once_its_own_is_synced(replica: Consensus) -> None:
    replica.tick(FIRST_ELECTION_MAX_S)
    replica.handle_message(wire.VoteReply(TERM, "b", TERM + 1, True, True), FIRST_ELECTION_MAX_S)
    replica.handle_message(wire.VoteReply(TERM + 1, "b", TERM + 1, False, True), FIRST_ELECTION_MAX_S)
    assert replica.state.role is Role.CANDIDATE
    replica.handle_records_synced(1)
    assert replica.is_leader
    assert replica.log.entries[-1] == Entry(2, TERM + 1, EntryKind.NONE, None)


def test_votes_of_an_earlier_election_do_not_count(replica: Consensus) -> None:
    replica.tick(FIRST_ELECTION_MAX_S)
    replica.handle_message(wire.VoteReply(TERM, "b", TERM, True, True), FIRST_ELECTION_MAX_S)
    assert replica.state.role is Role.PRE_CANDIDATE


def test_a_vote_is_recorded_before_its_reply_leaves_and_given_once_a_term(replica: Consensus) -> None:
    replica.handle_message(vote_request(TERM + 1), 0.0)
    output = replica.take_output()
    assert output.records == [HardState(TERM + 1, ""), HardState(TERM + 1, "b")]
    assert [(out.message, out.after_record) for out in output.messages] == [
        (wire.VoteReply(TERM + 1, "a", TERM + 1, False, True), 2)
    ]
    replica.handle_message(wire.VoteRequest(TERM + 1, "c", 1, 2, False, False), 0.0)
    assert messages_of(replica.take_output().messages) == [
        wire.VoteReply(TERM + 1, "a", TERM + 1, False, False)
    ]


@pytest.mark.parametrize(
    ("last_index", "last_term", "granted"),
    [(1, 2, True), (0, 3, True), (9, 1, False), (0, 2, False)],
)
def test_only_a_candidate_whose_log_is_up_to_date_gets_a_vote(
    replica: Consensus, last_index: int, last_term: int, granted: bool
) -> None:
    for pre in (True, False):
        replica.handle_message(vote_request(TERM + 1, last_index, last_term, pre=pre), 0.0)
        (reply,) = messages_of(replica.take_output().messages)
        assert isinstance(reply, wire.VoteReply)
        assert reply.granted is granted


def test_no_vote_while_a_leader_is_live_but_for_a_transfer(replica: Consensus) -> None:
    replica.handle_message(wire.AppendEntries(TERM, "c", 1, 2, [], 0, 1), 1.0)
    replica.take_output()
    replica.handle_message(vote_request(TERM + 1), 1.0 + ELECTION_MIN_S / 2)
    assert messages_of(replica.take_output().messages) == [wire.VoteReply(TERM, "a", TERM + 1, False, False)]
    replica.handle_message(wire.VoteRequest(TERM + 1, "b", 1, 2, False, True), 1.0 + ELECTION_MIN_S / 2)
    assert messages_of(replica.take_output().messages) == [
        wire.VoteReply(TERM + 1, "a", TERM + 1, False, True)
    ]


def test_heartbeats_of_a_leader_put_off_the_election(replica: Consensus) -> None:
    replica.handle_message(wire.AppendEntries(TERM, "c", 1, 2, [], 0, 1), 1.0)
    assert 1.0 + ELECTION_MIN_S <= replica.next_tick_at() <= 1.0 + ELECTION_MAX_S
    replica.tick(1.0 + ELECTION_MIN_S / 2)
    assert replica.state.role is Role.FOLLOWER

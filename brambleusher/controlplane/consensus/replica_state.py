"""Agreement of the replicas of one shard: Raft as a state machine without I/O.

Messages, ticks and finished syncs go in; messages, records for the disk and committed entries come out.
Times are seconds of a clock that only advances.  What must be durable before a message may leave carries
the number of the record that it waits for.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from brambleusher.controlplane.consensus.durability import Durability
from brambleusher.controlplane.consensus.membership_change import Group, next_members
from brambleusher.controlplane.consensus.membership_requests import MembershipRequests
from brambleusher.controlplane.consensus.outputs import (
    SNAPSHOT_EVERY_S,
    HardState,
    Outgoing,
    Output,
    Record,
    Restore,
    Role,
    Truncate,
)
from brambleusher.controlplane.consensus.quorum import agreed_value, has_quorum
from brambleusher.controlplane.consensus.reads import PendingReads
from brambleusher.controlplane.consensus.replicated_log import Log
from brambleusher.controlplane.consensus.replication import Progress, Replication
from brambleusher.wire import consensus_messages as wire
from brambleusher.wire.consensus_messages import Entry, Member

HEARTBEAT_S = 0.12  # three of them fit into the shortest election timeout, with a round trip between regions
ELECTION_MIN_S, ELECTION_MAX_S = 0.7, 1.2
FIRST_ELECTION_S = (
    0.35  # at most, after a start: a leader that is there shows itself sooner, or votes are denied
)
TRANSFER_S = 1.0  # for a planned successor to show up, then proposals are taken again
JOIN_QUIET_S = 1.5  # without a leader for so long, a replica asks whether it still is a member
SETTLED_S = 3.0  # of leading, before votes move for the sake of zones alone
UNSYNCED_MAX = (
    256  # own entries that a leader's disk has not taken: then it hands over; at twice that it stops
)
UNLIKELY_WAITS_S = 0.6  # longer than others a replica without a vote, or about to end, waits before it stands


class Consensus:
    """One replica of one shard."""

    def __init__(
        self,
        identity: Member,
        log: Log,
        term: int,
        vote: str,
        now: float,
        rng: random.Random,
        required_voters: int = 3,
    ) -> None:
        self.identity, self.log = identity, log
        self.term, self.vote = term, vote
        self.commit_index = log.base_index
        self.role = Role.FOLLOWER if self._is_voter() else Role.LEARNER
        self.leader_id = ""
        self.required_voters = required_voters
        self.output = Output()
        self._rng = rng
        self._now = now
        self._durability = Durability(log.last_index)
        self._votes: set[str] = set()
        self._own_vote_record = 0  # number of the record of this replica's vote for itself
        self._replication = Replication()
        self._heartbeat_sequence = 0
        self._heard_at = now
        self._majority_at = self._led_since = now
        self._requests = MembershipRequests(identity.id)
        self.zone_by_address: Callable[[], Mapping[str, str]] = (
            dict  # zone by address, of replicas that told it since
        )
        self.region_by_zone: Mapping[str, str] = {}  # region by zone
        self.is_shutting_down = False  # whether this process is about to end
        self._transfer_until = 0.0
        self._successor = ""
        self._reads = PendingReads()
        self._heartbeat_at = now
        self._election_at = now + rng.uniform(0.05, FIRST_ELECTION_S)

    # --- what callers ask ------------------------------------------------------------------------

    @property
    def voters(self) -> list[Member]:
        """Members whose votes count."""
        return [member for member in self.log.members if member.is_voter]

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader, as far as it knows."""
        return self.role is Role.LEADER

    def leader_member(self) -> Member | None:
        """The leader as far as it is known."""
        return self._member(self.leader_id)

    def has_quorum_contact(self, now: float) -> bool:
        """Whether this replica heard of a majority lately: as a leader itself, else from a leader."""
        heard = self._majority_at if self.is_leader else self._heard_at
        return bool(self.leader_id) and now - heard < ELECTION_MIN_S

    def seconds_since_leader_contact(self, now: float) -> float:
        """Seconds since a leader was heard from."""
        return now - self._heard_at

    def should_request_membership(self, now: float) -> bool:
        """Whether to ask others for membership: not known as a member, or perhaps none any more."""
        if self.is_leader:
            return False
        return (
            self._member(self.identity.id) is None or self.seconds_since_leader_contact(now) >= JOIN_QUIET_S
        )

    def accepts_proposals(self) -> bool:
        """Whether a proposal made here now would be appended."""
        full = self.log.last_index - self._durability.synced_index > UNSYNCED_MAX * 2
        return self.is_leader and self._now >= self._transfer_until and not full

    def has_vote(self) -> bool:
        """Whether this replica may be needed for a quorum: its vote is not known to be taken away."""
        return self._is_voter() or self.log.members_index > self.commit_index

    def status(self) -> dict[str, Any]:
        """The state as one JSON object."""
        return {
            "id": self.identity.id,
            "role": self.role.value,
            "term": self.term,
            "leader": self.leader_id,
            "commit": self.commit_index,
            "last_index": self.log.last_index,
            "synced_index": self._durability.synced_index,
            "members": [member.as_json() for member in self.log.members],
        }

    # --- events ----------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Time has passed."""
        self._now = now
        self._requests.expire(self.log.members, now)
        if self.role is Role.LEADER:
            self._lead()
        elif now >= self._election_at:
            self._election_at = now + self._timeout()
            if self.voters:
                self._stand(pre=True)

    def next_tick_at(self) -> float:
        """When `tick` has something to do next."""
        return self._heartbeat_at if self.role is Role.LEADER else self._election_at

    def propose(self, command: Any) -> tuple[int, int] | None:
        """Append a command; its index and term, or None where this replica does not take any."""
        if not self.accepts_proposals():
            return None
        entry = self._append_own("command", command)
        self._replicate()
        return entry.index, entry.term

    def read(self, done: Callable[[bool], None]) -> None:
        """Call `done(True)` once a majority still follows and all committed before is applied here."""
        if not self.is_leader or self.log.term_at(self.commit_index) != self.term:
            done(False)
            return
        self._heartbeat_sequence += 1
        self._reads.add(self._heartbeat_sequence, done)
        self._replicate(heartbeat=True)
        self._finish_reads()

    def handle_records_synced(self, record: int) -> None:
        """Records up to this number are on the disk."""
        self._durability.record_sync(record, self.log.last_index)
        if self.is_leader:
            self._advance_commit()
        elif self.role is Role.CANDIDATE and record >= self._own_vote_record:
            # One that lost it with its power could win the same term twice, where no other vote is needed.
            self._votes.add(self.identity.id)
            self._count_votes()

    def transfer_leadership(self) -> bool:
        """Ask the voter that is furthest to take over; False where there is none or this is no leader."""
        if not self.is_leader:
            return False
        near = self._replication.responsive_within(ELECTION_MIN_S, self._now)
        leaving = self._requests.leaving_members()
        ready = [
            (self._replication.progress[member.id].match_index, member)
            for member in self.voters
            if member.id in near and member.id not in leaving
        ]
        if not ready:
            return False
        matched, successor = max(ready, key=lambda pair: pair[0])
        self._transfer_until, self._successor = self._now + TRANSFER_S, successor.id
        if matched == self.log.last_index:
            self._send(successor, wire.TransferLeadership(self.term, self.identity.id))
        return True

    def handle_snapshot_stored(self, index: int) -> None:
        """A snapshot up to an index is on the disk."""
        self.log.compact(index)

    def handle_message(self, message: wire.Message, now: float) -> None:
        """A message of another replica."""
        self._now = now
        if isinstance(message, wire.JoinRequest):
            self._requests.record_join(message.member, now)
            return
        if message.sender == self.identity.id:
            return
        self._requests.record_contact(message.sender, now)
        if isinstance(message, wire.LeaveRequest):
            self._requests.record_leave(message.sender, now)
            if self.is_leader:
                self._change_members()
            return
        if isinstance(message, wire.VoteRequest):
            self._vote_asked(message)
            return
        if message.term > self.term and not (isinstance(message, wire.VoteReply) and message.is_pre_vote):
            self._follow(message.term, "")
        if isinstance(message, wire.VoteReply):
            self._voted(message)
        elif isinstance(message, wire.AppendEntriesReply):
            self._appended(message)
        elif message.term < self.term:
            self._send_to(
                message.sender,
                wire.AppendEntriesReply(self.term, self.identity.id, False, self.log.last_index, 0),
            )
        elif isinstance(message, wire.AppendEntries):
            self._append(message)
        elif isinstance(message, wire.InstallSnapshot):
            self._install(message)
        elif isinstance(message, wire.TransferLeadership) and self._is_voter() and not self.is_shutting_down:
            self._stand(pre=False, transfer=True)

    def _lost(self) -> set[str]:
        """Members whose disks are proven to be lost, while that may count: see `quorum`.

        Not while a change of members is under way, since a quorum of the earlier members might not be met.
        """
        if self.log.members_index > self.commit_index:
            return set()
        return self._requests.lost_disks(self.log.members, self._now)

    # --- elections -------------------------------------------------------------------------------

    def _timeout(self) -> float:
        """Until it stands: one without a vote may have to, where the voters lack what it holds, but last."""
        longer = UNLIKELY_WAITS_S if self.is_shutting_down or not self._is_voter() else 0.0
        return self._rng.uniform(ELECTION_MIN_S, ELECTION_MAX_S) + longer

    def _is_voter(self) -> bool:
        own = self._member(self.identity.id)
        return own is not None and own.is_voter

    def _member(self, identity: str) -> Member | None:
        return next((member for member in self.log.members if member.id == identity), None)

    def _quorum(self, agreeing: set[str]) -> bool:
        return has_quorum(self.voters, agreeing, self._lost())

    def _become(self, role: Role) -> None:
        """The one place where the role changes."""
        if self.role is Role.LEADER and role is not Role.LEADER:
            self._reads.fail()
            self._replication, self._transfer_until = Replication(), 0.0
        self.role = role

    def _follow(self, term: int, leader: str) -> None:
        if term > self.term:
            self.term, self.vote = term, ""
            self._record(HardState(self.term, self.vote))
        self._become(Role.FOLLOWER if self._is_voter() else Role.LEARNER)
        self.leader_id = leader

    def _stand(self, pre: bool, transfer: bool = False) -> None:
        self.leader_id = ""
        after = 0
        if pre:
            self._become(Role.PRE_CANDIDATE)
            self._votes = {self.identity.id}
        else:
            self._become(Role.CANDIDATE)
            self.term, self.vote = self.term + 1, self.identity.id
            after = self._own_vote_record = self._record(HardState(self.term, self.vote))
            self._votes = set()  # the own vote counts once it is synced, see `handle_records_synced`
        self._election_at = self._now + self._timeout()
        asked = self.term + 1 if pre else self.term
        request = wire.VoteRequest(
            asked, self.identity.id, self.log.last_index, self.log.last_term, pre, transfer
        )
        for member in self.voters:
            if member.id != self.identity.id:
                self._send(member, request, after)
        self._count_votes()

    def _vote_asked(self, request: wire.VoteRequest) -> None:
        heard = self.is_leader or (bool(self.leader_id) and self._now - self._heard_at < ELECTION_MIN_S)
        if heard and not request.is_transfer:
            # A member that was cut off, or is none any more, must not unseat a leader that is well.
            self._reply_vote(request, False)
            return
        newer = (request.last_term, request.last_index) >= (self.log.last_term, self.log.last_index)
        if request.is_pre_vote:
            self._reply_vote(request, newer and request.term > self.term)
            return
        if request.term > self.term:
            self._follow(request.term, "")
        # Whose votes count is for the candidate to say: this replica may not know yet that it got one.
        granted = newer and request.term == self.term and self.vote in ("", request.sender)
        if granted and not self.vote:
            self.vote = request.sender
            self._record(HardState(self.term, self.vote))
        if granted:
            self._election_at = self._now + self._timeout()
        self._reply_vote(request, granted)

    def _reply_vote(self, request: wire.VoteRequest, granted: bool) -> None:
        reply = wire.VoteReply(self.term, self.identity.id, request.term, request.is_pre_vote, granted)
        self._send_to(request.sender, reply, 0 if request.is_pre_vote else self._durability.last_record)

    def _voted(self, reply: wire.VoteReply) -> None:
        if reply.term > self.term:
            self._follow(reply.term, "")
            return
        if not reply.granted:
            return
        waited_for = self.term + 1 if reply.is_pre_vote else self.term
        role = Role.PRE_CANDIDATE if reply.is_pre_vote else Role.CANDIDATE
        if self.role is role and reply.requested_term == waited_for:
            self._votes.add(reply.sender)
            self._count_votes()

    def _count_votes(self) -> None:
        if not self._quorum(self._votes):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._stand(pre=False)
        elif self.role is Role.CANDIDATE:
            self._win()

    def _win(self) -> None:
        self._become(Role.LEADER)
        self.leader_id = self.identity.id
        self._led_since = self._majority_at = self._heartbeat_at = self._now
        self._replication = Replication()
        self._follow_members()
        self._append_own("none", None)
        self._replicate()

    # --- the leader ------------------------------------------------------------------------------

    def _follow_members(self) -> None:
        self._replication.track_members(
            self.log.members, self.identity.id, self.log.last_index + 1, self._now
        )

    def _lead(self) -> None:
        if self._now < self._heartbeat_at:
            return
        live = self._replication.responsive_within(ELECTION_MAX_S, self._now) | {self.identity.id}
        if not self._quorum(live):
            self._follow(self.term, "")
            self._election_at = self._now + self._timeout()
            return
        behind = self.log.last_index - self._durability.synced_index > UNSYNCED_MAX
        if (behind or not self._is_voter()) and self.accepts_proposals():
            self.transfer_leadership()
        self._majority_at = max(self._majority_at, self._last_quorum_contact())
        self._heartbeat_at = self._now + HEARTBEAT_S
        self._change_members()
        self._heartbeat_sequence += 1
        self._replicate(heartbeat=True)

    def _last_quorum_contact(self) -> float:
        """When a quorum had been heard from last, this replica included."""
        times = {identity: known.last_contact_s for identity, known in self._replication.progress.items()}
        return agreed_value(self.voters, {**times, self.identity.id: self._now}, self._lost())

    def _change_members(self) -> None:
        if self.log.members_index > self.commit_index or self.log.term_at(self.commit_index) != self.term:
            return  # one change at a time, and none before this term has committed something
        near = self._replication.responsive_within(ELECTION_MIN_S, self._now)
        group = Group(
            self._members_with_zones(),
            self.identity.id,
            self.required_voters,
            self._replication.seconds_since_contact(self._now),
            self._replication.caught_up(self.commit_index, near),
            self._requests.leaving_members(),
            self._is_stable(near),
            self.region_by_zone,
        )
        changed = next_members(group, self._requests.admissible(self.log.members, self._now))
        if changed is not None:
            self._append_own("members", [member.as_json() for member in changed])
            self._replicate()

    def _is_stable(self, near: set[str]) -> bool:
        """Whether this replica has led for a while and all voters are there."""
        others = {member.id for member in self.voters} - {self.identity.id}
        return others <= near and self._now - self._led_since >= SETTLED_S

    def _members_with_zones(self) -> tuple[Member, ...]:
        zones = self.zone_by_address()
        return tuple(
            each if each.zone else replace(each, zone=zones.get(each.address, ""))
            for each in self.log.members
        )

    def _append_own(self, kind: str, data: Any) -> Entry:
        entry = Entry(self.log.last_index + 1, self.term, kind, data)
        self._append_entry(entry)
        if kind == "members":
            self._follow_members()
        self._advance_commit()
        return entry

    def _append_entry(self, entry: Entry) -> None:
        self.log.append(entry)
        self._durability.record_append(self._record(entry), entry.index)

    def _replicate(self, heartbeat: bool = False) -> None:
        for member in self.log.members:
            known = self._replication.progress.get(member.id)
            if known is not None and (heartbeat or known.next_index <= self.log.last_index):
                self._send_entries(member, known)

    def _send_entries(self, member: Member, known: Progress) -> None:
        previous = known.next_index - 1
        term = self.log.term_at(previous)
        if term is None:
            self._send_snapshot(member, known)
            return
        entries = self._replication.next_entries(self.log, known)
        self._send(
            member,
            wire.AppendEntries(
                self.term,
                self.identity.id,
                previous,
                term,
                entries,
                self.commit_index,
                self._heartbeat_sequence,
            ),
        )

    def _send_snapshot(self, member: Member, known: Progress) -> None:
        if self._now - known.snapshot_sent_s < SNAPSHOT_EVERY_S:
            beat = wire.AppendEntries(self.term, self.identity.id, 0, 0, [], 0, self._heartbeat_sequence)
            self._send(member, beat)
            return
        known.snapshot_sent_s = self._now
        # The driver fills in what is applied when the message leaves: see `fill_snapshot`.
        self._send(
            member,
            wire.InstallSnapshot(self.term, self.identity.id, 0, 0, [], None, self._heartbeat_sequence),
        )

    def make_snapshot(self, applied: int, state: Any) -> Restore:
        """A state that holds just what is committed up to the index `applied`, with what belongs to it."""
        term = self.log.term_at(applied)
        if term is None or applied > self.commit_index:
            raise AssertionError(
                f"{applied} is no index of a state: {self.log.base_index}..{self.commit_index}"
            )
        return Restore(applied, term, self.log.members_at(applied), state)

    def fill_snapshot(self, message: wire.InstallSnapshot, applied: int, state: Any) -> wire.InstallSnapshot:
        """The message with a state that holds just what is committed up to the index `applied`."""
        made = self.make_snapshot(applied, state)
        members = list(made.members)
        return replace(message, index=made.index, index_term=made.term, members=members, state=state)

    def _appended(self, reply: wire.AppendEntriesReply) -> None:
        if not self.is_leader or reply.term != self.term:
            return
        known = self._replication.record_reply(reply, self._now)
        if known is None:
            return
        if reply.accepted:
            self._advance_commit()
            self._hand_over(reply.sender, known)
        self._finish_reads()
        member = self._member(reply.sender)
        if member is not None and known.next_index <= self.log.last_index:
            self._send_entries(member, known)

    def _hand_over(self, identity: str, known: Progress) -> None:
        """The planned successor holds everything now: let it stand."""
        if identity == self._successor and self._now < self._transfer_until:
            member = self._member(identity)
            if member is not None and known.match_index == self.log.last_index:
                self._send(member, wire.TransferLeadership(self.term, self.identity.id))

    def _advance_commit(self) -> None:
        matched = {identity: known.match_index for identity, known in self._replication.progress.items()}
        matched[self.identity.id] = self._durability.synced_index
        agreed = int(agreed_value(self.voters, matched, self._lost()))
        if agreed <= self.commit_index or self.log.term_at(agreed) != self.term:
            return
        members_agreed = self.commit_index < self.log.members_index <= agreed
        self._commit_to(agreed)
        self._replicate(heartbeat=True)  # followers announce it too, and should not wait for a beat
        if members_agreed:
            self._change_members()

    def _finish_reads(self) -> None:
        if not self._reads:
            return
        rounds = {
            identity: known.heartbeat_sequence for identity, known in self._replication.progress.items()
        }
        agreed = agreed_value(
            self.voters, {**rounds, self.identity.id: self._heartbeat_sequence}, self._lost()
        )
        self._reads.confirm(agreed)

    # --- the follower ----------------------------------------------------------------------------

    def _heard_leader(self, leader: str) -> None:
        self._follow(self.term, leader)
        self._heard_at = self._now
        self._election_at = self._now + self._timeout()

    def _append(self, message: wire.AppendEntries) -> None:
        self._heard_leader(message.sender)
        if self.log.term_at(message.previous_index) != message.previous_term:
            if message.previous_index < self.log.base_index:
                self._append_past_base(message)
                return
            hint = min(self.log.last_index, max(message.previous_index - 1, self.log.base_index))
            self._reply_append(False, hint, message.heartbeat_sequence)
            return
        self._take_entries(message.entries)
        last = message.previous_index + len(message.entries)
        self._reply_append(True, last, message.heartbeat_sequence)
        self._commit_to(min(message.leader_commit, last))

    def _append_past_base(self, message: wire.AppendEntries) -> None:
        """Entries that begin before the own snapshot: what the snapshot holds is agreed on already."""
        last = message.previous_index + len(message.entries)
        if last < self.log.base_index:
            self._reply_append(True, last, message.heartbeat_sequence)
            return
        self._take_entries([entry for entry in message.entries if entry.index > self.log.base_index])
        self._reply_append(True, last, message.heartbeat_sequence)
        self._commit_to(min(message.leader_commit, last))

    def _take_entries(self, entries: list[Entry]) -> None:
        for entry in entries:
            held = self.log.term_at(entry.index)
            if held == entry.term:
                continue
            if held is not None:
                self.log.truncate(entry.index)
                self._record(Truncate(entry.index))
                self._durability.record_truncation(entry.index)
            self._append_entry(entry)
        if entries:
            self._become(Role.FOLLOWER if self._is_voter() else Role.LEARNER)

    def _install(self, message: wire.InstallSnapshot) -> None:
        self._heard_leader(message.sender)
        if self.log.term_at(message.index) == message.index_term:
            # The log goes on behind it, and what follows may be confirmed already: it stays.
            self._commit_to(message.index)
        elif message.index > self.commit_index:
            self._restore(message)
        self._become(Role.FOLLOWER if self._is_voter() else Role.LEARNER)
        self._reply_append(True, min(message.index, self.log.last_index), message.heartbeat_sequence)

    def _restore(self, message: wire.InstallSnapshot) -> None:
        """Begin anew from a snapshot that the log does not reach, or contradicts."""
        members = tuple(message.members)
        self.log = Log(message.index, message.index_term, members)
        restore = Restore(message.index, message.index_term, members, message.state)
        self._durability.record_snapshot(self._record(restore), message.index)
        self.commit_index = message.index
        self.output.restored.append(restore)

    def _reply_append(self, accepted: bool, matched: int, number: int) -> None:
        reply = wire.AppendEntriesReply(self.term, self.identity.id, accepted, matched, number)
        # A heartbeat of what is synced already is answered at once, however slow the disk is.
        waits = accepted and (matched > self._durability.synced_index)
        self._send_to(self.leader_id, reply, self._durability.last_record if waits else 0)

    # --- shared ----------------------------------------------------------------------------------

    def _commit_to(self, index: int) -> None:
        index = min(index, self.log.last_index)
        if index <= self.commit_index:
            return
        begin = self.commit_index - self.log.base_index
        self.output.committed += self.log.entries[begin : index - self.log.base_index]
        self.commit_index = index

    def _record(self, record: Record) -> int:
        self.output.records.append(record)
        return self._durability.allocate_record()

    def _send(self, to: Member, message: wire.Message, after: int = 0) -> None:
        self.output.messages.append(Outgoing(to, message, after))

    def _send_to(self, identity: str, message: wire.Message, after: int = 0) -> None:
        member = self._member(identity)
        if member is None:
            member = Member(identity, "", "", "", False)  # the driver knows who sent it
        self._send(member, message, after)

    def take_output(self) -> Output:
        """What came out since the last call; the driver stores, sends and applies it."""
        output, self.output = self.output, Output()
        return output

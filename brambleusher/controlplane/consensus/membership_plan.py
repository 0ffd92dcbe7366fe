"""Which single change of its members a replica group makes next; pure.

A voter that shuts down, is unresponsive or is one too many in its zone is replaced in two changes: first
another member gets a vote, then the one that is too many loses its own.  In between the group has an even
number of voters, of which a lost disk takes nothing away (see `quorum`).
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field, replace

from brambleusher.controlplane.consensus.quorum import votes_needed
from brambleusher.wire.consensus_messages import Member

UNRESPONSIVE_VOTER_S = 1.0  # a voter this long without a reply gives its vote to a learner that is there
UNRESPONSIVE_LEARNER_S = 60.0  # a learner this long without a reply is no member any more
MEMBERS_MAX = 16
CROWDED_BY = 2  # votes that a zone or region must have more than another before one moves there


@dataclass(frozen=True, slots=True)
class Group:
    """What a leader knows of its group; votes are spread over regions, and within these over zones.

    Attributes:
        members: All members, voters and learners.
        leader: The identity of the leader, which always keeps its vote.
        required_voters: How many votes the group should have.
        seconds_since_contact: The time since each other member replied, by identity.
        caught_up: Identities of those that have everything.
        shutting_down: Identities of those that are about to end.
        is_stable: Whether all voters are there, and have been for a while.
        region_by_zone: The region of each zone, where regions are configured.
    """

    members: Sequence[Member]
    leader: str
    required_voters: int
    seconds_since_contact: Mapping[str, float] = field(default_factory=dict)
    caught_up: Collection[str] = ()
    shutting_down: Collection[str] = ()
    is_stable: bool = False
    region_by_zone: Mapping[str, str] = field(default_factory=dict)

    @property
    def voters(self) -> list[Member]:
        """Members whose votes count."""
        return [member for member in self.members if member.is_voter]

    def is_unresponsive(self, member: Member) -> bool:
        """Return whether a member has not replied for too long."""
        if member.id == self.leader:
            return False
        return self.seconds_since_contact.get(member.id, 0.0) > UNRESPONSIVE_VOTER_S

    def should_lose_vote(self, member: Member) -> bool:
        """Return whether a member should not keep a vote that another can have."""
        if member.id == self.leader:
            return False
        return member.id in self.shutting_down or self.is_unresponsive(member)

    @property
    def has_known_zones(self) -> bool:
        """Whether every voter's zone is known: bootstrap members announce theirs only after the start."""
        return all(member.zone for member in self.voters)

    def votes_in_zone(self, zone: str) -> int:
        """Return the votes in a zone that are to stay."""
        return sum(member.zone == zone and not self.should_lose_vote(member) for member in self.voters)

    def votes_nearby(self, zone: str) -> tuple[int, int]:
        """Return the votes in a zone's region and in the zone itself that are to stay."""
        region = self.region_by_zone.get(zone, "")
        zones = {zone} if not region else {name for name, its in self.region_by_zone.items() if its == region}
        return sum(self.votes_in_zone(name) for name in zones), self.votes_in_zone(zone)

    def with_vote(self, identity: str, is_voter: bool) -> tuple[Member, ...]:
        """Return the members with one vote changed."""
        return tuple(
            replace(each, is_voter=is_voter) if each.id == identity else each for each in self.members
        )


def next_members(group: Group, joining: Sequence[Member]) -> tuple[Member, ...] | None:
    """Return the members after the next change, at most one vote apart; None where nothing is to change."""
    return (
        _replace_wiped_member(group, joining)
        or _demote_voter(group)
        or _promote_learner(group)
        or _admit_newcomer(group, joining)
        or _remove_unresponsive_learner(group)
    )


def _replace_wiped_member(group: Group, joining: Sequence[Member]) -> tuple[Member, ...] | None:
    """Replace a member at whose address a newcomer is: its disk is gone, and it can never vote again."""
    known = {member.id for member in group.members}
    for newcomer in joining:
        wiped = next((member for member in group.members if member.address == newcomer.address), None)
        if newcomer.id not in known and wiped is not None:
            others = [member for member in group.members if member.id != wiped.id]
            has_voters = any(member.is_voter for member in others)
            return (*others, replace(newcomer, is_voter=False)) if has_voters else None
    return None


def _admit_newcomer(group: Group, joining: Sequence[Member]) -> tuple[Member, ...] | None:
    """Add a newcomer as a learner."""
    known = {member.id for member in group.members}
    for newcomer in joining:
        if newcomer.id not in known and len(group.members) < MEMBERS_MAX:
            return (*group.members, replace(newcomer, is_voter=False))
    return None


def _promote_learner(group: Group) -> tuple[Member, ...] | None:
    """Give a vote to a learner that has everything, where there are the fewest votes."""
    learners = [
        member
        for member in group.members
        if not member.is_voter and member.id in group.caught_up and member.id not in group.shutting_down
    ]
    if not learners:
        return None
    chosen = min(learners, key=lambda member: (group.votes_nearby(member.zone), member.id))
    is_voter_missing = len(group.voters) < group.required_voters
    if not is_voter_missing and not (_may_exceed(group) and _improves(group, chosen)):
        return None
    return group.with_vote(chosen.id, is_voter=True)


def _may_exceed(group: Group) -> bool:
    """Return whether the group is complete and one more vote can be agreed on by those that are there."""
    voters = group.voters
    if len(voters) != group.required_voters:
        return False
    live = sum(not group.is_unresponsive(member) for member in voters)
    return live + 1 >= votes_needed(len(voters) + 1, 0)


def _improves(group: Group, learner: Member) -> bool:
    """Return whether a vote for this learner in place of another's leaves the group better off."""
    if any(group.should_lose_vote(member) for member in group.voters):
        return True
    if not group.is_stable or not group.has_known_zones or not learner.zone:
        return False  # a vote for the sake of zones alone must not meet a fault that is not detected yet
    return any(
        _is_more_crowded(group, member.zone, learner.zone)
        for member in group.voters
        if member.id != group.leader
    )


def _is_more_crowded(group: Group, zone: str, other: str) -> bool:
    """Return whether a vote is better off in the other zone; never so both ways, or moves would not end."""
    in_region, in_zone = group.votes_nearby(zone)
    in_other_region, in_other = group.votes_nearby(other)
    if in_region >= in_other_region + CROWDED_BY:
        return True
    is_same_region = group.region_by_zone.get(zone) == group.region_by_zone.get(other)
    is_near = is_same_region or in_region == in_other_region + 1
    return is_near and in_zone >= in_other + CROWDED_BY


def _demote_voter(group: Group) -> tuple[Member, ...] | None:
    """Take a vote too many from one that shuts down or is unresponsive, else from the fullest zone."""
    voters = group.voters
    others = [member for member in voters if member.id != group.leader]
    if len(voters) <= group.required_voters or not others:
        return None
    demoted = max(
        others,
        key=lambda member: (
            group.is_unresponsive(member),
            member.id in group.shutting_down,
            group.votes_nearby(member.zone),
            member.id,
        ),
    )
    live = sum(not group.is_unresponsive(member) for member in voters if member is not demoted)
    if live < votes_needed(len(voters) - 1, 0):
        return None
    return group.with_vote(demoted.id, is_voter=False)


def _remove_unresponsive_learner(group: Group) -> tuple[Member, ...] | None:
    """Remove the longest unresponsive learner, if for too long; sooner where the group is full."""
    limit_s = UNRESPONSIVE_LEARNER_S if len(group.members) < MEMBERS_MAX else UNRESPONSIVE_VOTER_S
    unresponsive_s = {
        each.id: group.seconds_since_contact.get(each.id, 0.0) for each in group.members if not each.is_voter
    }
    removed = max(unresponsive_s, key=lambda identity: (unresponsive_s[identity], identity), default="")
    if not removed or unresponsive_s[removed] <= limit_s:
        return None
    return tuple(member for member in group.members if member.id != removed)

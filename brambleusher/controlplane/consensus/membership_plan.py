"""Decides on the next single membership change of a replica group; no I/O.

A voter that shuts down, is unresponsive or is surplus in its zone is replaced in two changes: first another
member is promoted to voter, then the surplus voter is demoted. In between the group has an even number of
voters, which tolerates the loss of one disk without losing committed entries (see `quorum`).
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field, replace

from brambleusher.controlplane.consensus.quorum import votes_needed
from brambleusher.wire.consensus_messages import Member

# A voter that has not replied for this time is replaced by a responsive learner.
UNRESPONSIVE_VOTER_S = 1.0
UNRESPONSIVE_LEARNER_S = 60.0  # a learner that has not replied for this time is removed from the group
MEMBERS_MAX = 16
# How many more voters than another a zone or region must have before a voter is moved to the other.
VOTE_IMBALANCE_MIN = 2


@dataclass(frozen=True, slots=True)
class Group:
    """A leader's view of its group; voters are spread over regions, and within regions over zones.

    Attributes:
        members: All members, voters and learners.
        leader: The identity of the leader, which always stays a voter.
        required_voters: How many voters the group should have.
        seconds_since_contact: The seconds since the last reply of each other member, by identity.
        caught_up: Identities of the members that have every committed entry.
        shutting_down: Identities of the members that are shutting down.
        is_stable: Whether all voters are responsive, and this leader has led for long enough to move voters.
        region_by_zone: The region of each zone; empty if no regions are configured.
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
        """The members that are voters."""
        return [member for member in self.members if member.is_voter]

    def is_unresponsive(self, member: Member) -> bool:
        """Return whether a member has not replied for too long."""
        if member.id == self.leader:
            return False
        return self.seconds_since_contact.get(member.id, 0.0) > UNRESPONSIVE_VOTER_S

    def should_lose_vote(self, member: Member) -> bool:
        """Return whether a member should be demoted if another member can be promoted in its place."""
        if member.id == self.leader:
            return False
        return member.id in self.shutting_down or self.is_unresponsive(member)

    @property
    def has_known_zones(self) -> bool:
        """Whether the zones of all voters are known; bootstrap members announce theirs only after startup."""
        return all(member.zone for member in self.voters)

    def votes_in_zone(self, zone: str) -> int:
        """Return the number of voters in a zone that should stay voters."""
        return sum(member.zone == zone and not self.should_lose_vote(member) for member in self.voters)

    def votes_in_region_and_zone(self, zone: str) -> tuple[int, int]:
        """Return the numbers of voters that should stay voters in a zone's region, and in the zone itself."""
        region = self.region_by_zone.get(zone, "")
        zones = (
            {zone}
            if not region
            else {name for name, zone_region in self.region_by_zone.items() if zone_region == region}
        )
        return sum(self.votes_in_zone(name) for name in zones), self.votes_in_zone(zone)

    def with_vote(self, identity: str, is_voter: bool) -> tuple[Member, ...]:
        """Return the members after one member is promoted or demoted."""
        return tuple(
            replace(each, is_voter=is_voter) if each.id == identity else each for each in self.members
        )


def next_members(group: Group, joining: Sequence[Member]) -> tuple[Member, ...] | None:
    """Return the members after the next change, which affects at most one vote, or None if none is needed."""
    return (
        _replace_wiped_member(group, joining)
        or _demote_voter(group)
        or _promote_learner(group)
        or _admit_newcomer(group, joining)
        or _remove_unresponsive_learner(group)
    )


def _replace_wiped_member(group: Group, joining: Sequence[Member]) -> tuple[Member, ...] | None:
    """Replace a member whose disk is lost by the new replica at its address, since it cannot vote again."""
    known = {member.id for member in group.members}
    for newcomer in joining:
        wiped = next((member for member in group.members if member.address == newcomer.address), None)
        if newcomer.id not in known and wiped is not None:
            others = [member for member in group.members if member.id != wiped.id]
            has_voters = any(member.is_voter for member in others)
            return (*others, replace(newcomer, is_voter=False)) if has_voters else None
    return None


def _admit_newcomer(group: Group, joining: Sequence[Member]) -> tuple[Member, ...] | None:
    """Add a joining replica as a learner."""
    known = {member.id for member in group.members}
    for newcomer in joining:
        if newcomer.id not in known and len(group.members) < MEMBERS_MAX:
            return (*group.members, replace(newcomer, is_voter=False))
    return None


def _promote_learner(group: Group) -> tuple[Member, ...] | None:
    """Promote a caught-up learner to voter, in the region and zone with the fewest voters."""
    learners = [
        member
        for member in group.members
        if not member.is_voter and member.id in group.caught_up and member.id not in group.shutting_down
    ]
    if not learners:
        return None
    chosen = min(learners, key=lambda member: (group.votes_in_region_and_zone(member.zone), member.id))
    is_voter_missing = len(group.voters) < group.required_voters
    if not is_voter_missing and not (_may_exceed(group) and _improves(group, chosen)):
        return None
    return group.with_vote(chosen.id, is_voter=True)


def _may_exceed(group: Group) -> bool:
    """Return whether no voter is missing, and the responsive voters can commit the addition of another."""
    voters = group.voters
    if len(voters) != group.required_voters:
        return False
    live = sum(not group.is_unresponsive(member) for member in voters)
    return live + 1 >= votes_needed(len(voters) + 1, 0)


def _improves(group: Group, learner: Member) -> bool:
    """Return whether replacing some voter by this learner improves the group."""
    if any(group.should_lose_vote(member) for member in group.voters):
        return True
    if not group.is_stable or not group.has_known_zones or not learner.zone:
        # Voters are not moved between zones while a fault may be undetected.
        return False
    return any(
        _is_more_crowded(group, member.zone, learner.zone)
        for member in group.voters
        if member.id != group.leader
    )


def _is_more_crowded(group: Group, zone: str, other: str) -> bool:
    """Return whether a voter should move to the other zone.

    The result is never true in both directions, since voters would then move back and forth forever.
    """
    in_region, in_zone = group.votes_in_region_and_zone(zone)
    in_other_region, in_other = group.votes_in_region_and_zone(other)
    if in_region >= in_other_region + VOTE_IMBALANCE_MIN:
        return True
    is_same_region = group.region_by_zone.get(zone) == group.region_by_zone.get(other)
    is_near = is_same_region or in_region == in_other_region + 1
    return is_near and in_zone >= in_other + VOTE_IMBALANCE_MIN


def _demote_voter(group: Group) -> tuple[Member, ...] | None:
    """Demote a surplus voter: preferably one that is unresponsive or shuts down, else in the fullest zone."""
    voters = group.voters
    others = [member for member in voters if member.id != group.leader]
    if len(voters) <= group.required_voters or not others:
        return None
    demoted = max(
        others,
        key=lambda member: (
            group.is_unresponsive(member),
            member.id in group.shutting_down,
            group.votes_in_region_and_zone(member.zone),
            member.id,
        ),
    )
    live = sum(not group.is_unresponsive(member) for member in voters if member is not demoted)
    if live < votes_needed(len(voters) - 1, 0):
        return None
    return group.with_vote(demoted.id, is_voter=False)


def _remove_unresponsive_learner(group: Group) -> tuple[Member, ...] | None:
    """Remove the learner that has been unresponsive the longest; a full group waits a shorter time."""
    limit_s = UNRESPONSIVE_LEARNER_S if len(group.members) < MEMBERS_MAX else UNRESPONSIVE_VOTER_S
    unresponsive_s = {
        each.id: group.seconds_since_contact.get(each.id, 0.0) for each in group.members if not each.is_voter
    }
    removed = max(unresponsive_s, key=lambda identity: (unresponsive_s[identity], identity), default="")
    if not removed or unresponsive_s[removed] <= limit_s:
        return None
    return tuple(member for member in group.members if member.id != removed)

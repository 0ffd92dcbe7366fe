"""Which single change of its members a replica group makes next; pure.

A voter that leaves, is lost or is one too many in its zone is replaced in two changes: first another member
gets a vote, then the one that is too many loses its own.  In between the group has an even number of voters,
of which a lost disk takes nothing away (see `quorum`).
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field, replace

from brambleusher.controlplane.consensus.quorum import votes_needed
from brambleusher.wire.consensus_messages import Member

LOST_VOTER_S = 1.0  # a voter this long without an answer gives its vote to a learner that is there
LOST_LEARNER_S = 60.0  # a learner this long without an answer is no member any more
MEMBERS_MAX = 16


@dataclass(frozen=True, slots=True)
class Group:
    """What a leader knows of its group.

    `seconds_since_contact` has the time since each other member answered, `caught_up` those that hold
    everything, `leaving` those that are about to end.  `is_stable`: all voters are there, and have been for
    a while.
    Votes are spread over regions, and within these over zones.
    """

    members: Sequence[Member]
    leader: str
    required_voters: int
    seconds_since_contact: Mapping[str, float] = field(default_factory=dict)
    caught_up: Collection[str] = ()
    leaving: Collection[str] = ()
    is_stable: bool = False
    regions: Mapping[str, str] = field(default_factory=dict)  # region by zone

    @property
    def voters(self) -> list[Member]:
        """Members whose votes count."""
        return [member for member in self.members if member.is_voter]

    def is_unresponsive(self, member: Member) -> bool:
        """Whether a member has said nothing for too long."""
        return member.id != self.leader and self.seconds_since_contact.get(member.id, 0.0) > LOST_VOTER_S

    def should_lose_vote(self, member: Member) -> bool:
        """Whether a member should not keep a vote that another can have."""
        return member.id != self.leader and (member.id in self.leaving or self.is_unresponsive(member))

    @property
    def has_known_zones(self) -> bool:
        """Whether every voter's zone is known: founders do not tell theirs, until somebody heard of it."""
        return all(member.zone for member in self.voters)

    def zone_load(self, zone: str) -> int:
        """Votes in a zone that are to stay."""
        return sum(member.zone == zone and not self.should_lose_vote(member) for member in self.voters)

    def load(self, zone: str) -> tuple[int, int]:
        """Votes in a zone's region and in the zone itself that are to stay."""
        region = self.regions.get(zone, "")
        zones = {zone} if not region else {name for name, its in self.regions.items() if its == region}
        return sum(self.zone_load(name) for name in zones), self.zone_load(zone)

    def with_vote(self, identity: str, voter: bool) -> tuple[Member, ...]:
        """The members with one vote changed."""
        return tuple(replace(each, is_voter=voter) if each.id == identity else each for each in self.members)


def next_members(group: Group, joining: Sequence[Member]) -> tuple[Member, ...] | None:
    """The members after the next change, at most one vote apart; None where nothing is to change."""
    return (
        _lost_disk(group, joining)
        or _demotion(group)
        or _promotion(group)
        or _newcomer(group, joining)
        or _forgotten(group)
    )


def _lost_disk(group: Group, joining: Sequence[Member]) -> tuple[Member, ...] | None:
    """A newcomer at the address of a member: that member's disk is gone, and it can never vote again."""
    known = {member.id for member in group.members}
    for newcomer in joining:
        old = next((member for member in group.members if member.address == newcomer.address), None)
        if newcomer.id not in known and old is not None:
            rest = [member for member in group.members if member.id != old.id]
            return (*rest, replace(newcomer, is_voter=False)) if any(m.is_voter for m in rest) else None
    return None


def _newcomer(group: Group, joining: Sequence[Member]) -> tuple[Member, ...] | None:
    known = {member.id for member in group.members}
    for newcomer in joining:
        if newcomer.id not in known and len(group.members) < MEMBERS_MAX:
            return (*group.members, replace(newcomer, is_voter=False))
    return None


def _promotion(group: Group) -> tuple[Member, ...] | None:
    """A learner that holds everything becomes a voter, where there are the fewest votes."""
    learners = [
        member
        for member in group.members
        if not member.is_voter and member.id in group.caught_up and member.id not in group.leaving
    ]
    if not learners:
        return None
    chosen = min(learners, key=lambda member: (group.load(member.zone), member.id))
    missing = len(group.voters) < group.required_voters
    if not missing and not (_may_exceed(group) and _improves(group, chosen)):
        return None
    return group.with_vote(chosen.id, True)


def _may_exceed(group: Group) -> bool:
    """Whether the group is complete and one more vote can be agreed on by those that are there."""
    voters = group.voters
    if len(voters) != group.required_voters:
        return False
    live = sum(not group.is_unresponsive(member) for member in voters)
    return live + 1 >= votes_needed(len(voters) + 1, 0)


def _improves(group: Group, learner: Member) -> bool:
    """Whether a vote for this learner in place of another's leaves the group better off."""
    if any(group.should_lose_vote(member) for member in group.voters):
        return True
    if not group.is_stable or not group.has_known_zones or not learner.zone:
        return False  # a vote for the sake of zones alone must not meet a loss that is not noticed yet
    return any(
        _more_crowded(group, member.zone, learner.zone)
        for member in group.voters
        if member.id != group.leader
    )


def _more_crowded(group: Group, zone: str, other: str) -> bool:
    """Whether a vote is better off in the other zone; never so both ways, or votes would move for ever."""
    in_region, in_zone = group.load(zone)
    in_other_region, in_other = group.load(other)
    if in_region >= in_other_region + 2:
        return True
    near = group.regions.get(zone) == group.regions.get(other) or in_region == in_other_region + 1
    return near and in_zone >= in_other + 2


def _demotion(group: Group) -> tuple[Member, ...] | None:
    """With a vote too many: one that leaves or is lost loses it, else one of the fullest region and zone."""
    voters = group.voters
    others = [member for member in voters if member.id != group.leader]
    if len(voters) <= group.required_voters or not others:
        return None
    gone = max(
        others,
        key=lambda member: (
            group.is_unresponsive(member),
            member.id in group.leaving,
            group.load(member.zone),
            member.id,
        ),
    )
    live = sum(not group.is_unresponsive(member) for member in voters if member is not gone)
    if live < votes_needed(len(voters) - 1, 0):
        return None
    return group.with_vote(gone.id, False)


def _forgotten(group: Group) -> tuple[Member, ...] | None:
    """The learner that has been silent longest, if for too long; sooner where there is no room for others."""
    after_s = LOST_LEARNER_S if len(group.members) < MEMBERS_MAX else LOST_VOTER_S
    silent = {
        each.id: group.seconds_since_contact.get(each.id, 0.0) for each in group.members if not each.is_voter
    }
    gone = max(silent, key=lambda identity: (silent[identity], identity), default="")
    if not gone or silent[gone] <= after_s:
        return None
    return tuple(member for member in group.members if member.id != gone)

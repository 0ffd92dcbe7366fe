"""Which single change of its members a replica group makes next; pure."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import replace

from brambleusher.wire.consensus_messages import Member

LOST_VOTER_S = 2.0  # a voter this long without an answer gives its vote to a learner that is there
LOST_LEARNER_S = 60.0  # a learner this long without an answer is no member any more
MEMBERS_MAX = 16


def next_members(
    members: Sequence[Member],
    joining: Sequence[Member],
    quiet: Mapping[str, float],
    caught_up: set[str],
    leader: str,
    voters_wanted: int,
) -> tuple[Member, ...] | None:
    """The members after the next change, at most one vote apart; None where nothing is to change.

    `quiet` has the seconds since each other member answered, `caught_up` those that hold everything.
    """
    return (
        _lost_disk(members, joining)
        or _newcomer(members, joining)
        or _promotion(members, caught_up, voters_wanted)
        or _demotion(members, quiet, caught_up, leader, voters_wanted)
        or _forgotten(members, quiet)
    )


def _lost_disk(members: Sequence[Member], joining: Sequence[Member]) -> tuple[Member, ...] | None:
    """A newcomer at the address of a member: that member's disk is gone, and it can never vote again."""
    known = {member.id for member in members}
    for newcomer in joining:
        old = next((member for member in members if member.address == newcomer.address), None)
        if newcomer.id not in known and old is not None:
            rest = [member for member in members if member.id != old.id]
            return (*rest, replace(newcomer, voter=False)) if any(m.voter for m in rest) else None
    return None


def _newcomer(members: Sequence[Member], joining: Sequence[Member]) -> tuple[Member, ...] | None:
    known = {member.id for member in members}
    for newcomer in joining:
        if newcomer.id not in known and len(members) < MEMBERS_MAX:
            return (*members, replace(newcomer, voter=False))
    return None


def _voters(members: Sequence[Member]) -> list[Member]:
    return [member for member in members if member.voter]


def _zone_load(members: Sequence[Member], zone: str) -> int:
    return sum(member.zone == zone for member in _voters(members))


def _promotion(members: Sequence[Member], caught_up: set[str], wanted: int) -> tuple[Member, ...] | None:
    """A learner that holds everything becomes a voter, from the zone with the fewest voters."""
    learners = [member for member in members if not member.voter and member.id in caught_up]
    if len(_voters(members)) >= wanted or not learners:
        return None
    chosen = min(learners, key=lambda member: (_zone_load(members, member.zone), member.id))
    return tuple(replace(member, voter=True) if member is chosen else member for member in members)


def _demotion(
    members: Sequence[Member],
    quiet: Mapping[str, float],
    caught_up: set[str],
    leader: str,
    wanted: int,
) -> tuple[Member, ...] | None:
    """A voter that is lost makes room for a learner, while the others keep a majority without it."""
    voters = _voters(members)
    lost = [member for member in voters if quiet.get(member.id, 0.0) > LOST_VOTER_S and member.id != leader]
    learners = [member for member in members if not member.voter and member.id in caught_up]
    live = len(voters) - len(lost)
    if not lost or not learners or len(voters) < wanted or live * 2 <= len(voters) - 1:
        return None
    gone = max(lost, key=lambda member: (quiet[member.id], member.id))
    return tuple(replace(member, voter=False) if member is gone else member for member in members)


def _forgotten(members: Sequence[Member], quiet: Mapping[str, float]) -> tuple[Member, ...] | None:
    gone = [m for m in members if not m.voter and quiet.get(m.id, 0.0) > LOST_LEARNER_S]
    return tuple(member for member in members if member is not gone[0]) if gone else None

"""How many voters have to agree, and what so many agree on; pure.

A wiped voter is one whose disk is proven to be lost: a process with an empty disk answers at its address, so
that the voter's identity never votes or confirms anything again.  It counts for nothing.

Any quorum meets every set of voters that may have committed an entry and are not all wiped: election safety
and leader completeness rest on that.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence

from brambleusher.wire.consensus_messages import Member

NOTHING_REACHED = -1.0


def votes_needed(voters: int, wiped: int) -> int:
    """Return how many voters make a quorum, of `voters` in all.

    What was committed is on more than half.  Of an even number one wiped voter therefore leaves it on at
    least half of all: with four voters and one of them wiped, any two of the other three meet any such set.
    """
    return (voters + 1) // 2 if wiped else voters // 2 + 1


def has_quorum(voters: Sequence[Member], agreeing: Collection[str], wiped: Collection[str]) -> bool:
    """Return whether those that agree are enough."""
    wiped_voters = [member for member in voters if member.id in wiped]
    counted = sum(member.id in agreeing and member.id not in wiped for member in voters)
    return counted >= votes_needed(len(voters), len(wiped_voters))


def agreed_value(voters: Sequence[Member], values: Mapping[str, float], wiped: Collection[str]) -> float:
    """Return the highest value that a quorum has reached.

    Args:
        voters: Members whose votes count.
        values: What each has reached, by identity; voters without a value have reached nothing.
        wiped: Identities of voters whose disks are lost.
    """
    reached = [
        NOTHING_REACHED if member.id in wiped else values.get(member.id, NOTHING_REACHED) for member in voters
    ]
    if not reached:
        return NOTHING_REACHED
    needed = votes_needed(len(voters), sum(member.id in wiped for member in voters))
    return sorted(reached, reverse=True)[needed - 1]

"""Quorum sizes, and the values that a quorum agrees on; no I/O.

A wiped voter is a voter whose disk is proven to be lost: a process with an empty disk answers at its address,
so the wiped voter's identity never votes or confirms anything again. Wiped voters do not count towards a
quorum.

Any quorum intersects every set of voters that may have committed an entry and are not all wiped. Election
safety and leader completeness depend on that.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence

from brambleusher.wire.consensus_messages import Member

NOTHING_REACHED = -1.0


def votes_needed(voters: int, wiped: int) -> int:
    """Return how many voters make a quorum in a group of `voters` voters, of which `wiped` are wiped.

    A committed entry is on more than half of the voters. With an even number of voters, it is therefore still
    on at least half of them after one is wiped: with four voters of which one is wiped, any two of the other
    three include a voter that has the entry.
    """
    return (voters + 1) // 2 if wiped else voters // 2 + 1


def has_quorum(voters: Sequence[Member], agreeing: Collection[str], wiped: Collection[str]) -> bool:
    """Return whether the agreeing voters form a quorum."""
    wiped_voters = [member for member in voters if member.id in wiped]
    counted = sum(member.id in agreeing and member.id not in wiped for member in voters)
    return counted >= votes_needed(len(voters), len(wiped_voters))


def agreed_value(voters: Sequence[Member], values: Mapping[str, float], wiped: Collection[str]) -> float:
    """Return the highest value that a quorum has reached.

    Args:
        voters: Members whose votes count.
        values: The value that each voter has reached, by identity; voters without one have reached nothing.
        wiped: Identities of voters whose disks are lost.
    """
    reached = [
        NOTHING_REACHED if member.id in wiped else values.get(member.id, NOTHING_REACHED) for member in voters
    ]
    if not reached:
        return NOTHING_REACHED
    needed = votes_needed(len(voters), sum(member.id in wiped for member in voters))
    return sorted(reached, reverse=True)[needed - 1]

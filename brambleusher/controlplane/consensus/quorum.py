"""How many voters have to agree, and what so many agree on; pure.

`lost` are voters whose disks are proven to be lost: a process with an empty disk answers at their address,
so that their old identity never votes or confirms anything again.  They count for nothing.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence

from brambleusher.wire.consensus_messages import Member


def votes_needed(voters: int, lost: int) -> int:
    """Voters that make a quorum, of `voters` in all.

    What was committed is on more than half.  Of an even number one lost voter therefore leaves it on at
    least half of all: with four voters and one lost, any two of the other three meet any such set.
    """
    return (voters + 1) // 2 if lost else voters // 2 + 1


def has_quorum(voters: Sequence[Member], agreeing: Collection[str], lost: Collection[str]) -> bool:
    """Whether those who agree are enough."""
    known_lost = [member for member in voters if member.id in lost]
    counted = sum(member.id in agreeing and member.id not in lost for member in voters)
    return counted >= votes_needed(len(voters), len(known_lost))


def agreed_value(voters: Sequence[Member], values: Mapping[str, float], lost: Collection[str]) -> float:
    """The highest value that a quorum has reached; voters without a value have reached nothing (-1)."""
    reached = [-1.0 if member.id in lost else values.get(member.id, -1.0) for member in voters]
    if not reached:
        return -1.0
    needed = votes_needed(len(voters), sum(member.id in lost for member in voters))
    return sorted(reached, reverse=True)[needed - 1]

"""Changes of the members of a replica group: one at a time, by the leader.

Source: Ongaro's dissertation, chapter 4 (single-server changes).
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace

from brambleusher.controlplane.consensus.leader_state import LeaderState
from brambleusher.controlplane.consensus.membership_plan import Group, next_members
from brambleusher.controlplane.consensus.replica_state import ReplicaState
from brambleusher.controlplane.consensus.timing import ELECTION_MIN_S, STABLE_S
from brambleusher.wire.consensus_messages import Member


class MembershipChange:
    """Decides on the next change of members.

    Args:
        state: The replica's state.
        required_voters: How many votes the group should have.
        zone_by_address: Gives the zones of replicas that have announced theirs, by address.
        region_by_zone: The region of each zone, where regions are configured.
    """

    def __init__(
        self,
        state: ReplicaState,
        required_voters: int,
        zone_by_address: Callable[[], Mapping[str, str]],
        region_by_zone: Mapping[str, str],
    ) -> None:
        self._state = state
        self._required_voters = required_voters
        self._zone_by_address = zone_by_address
        self._region_by_zone = region_by_zone

    def next_members(self, leading: LeaderState) -> tuple[Member, ...] | None:
        """Return the members after the next change; None where nothing may or need change now."""
        state = self._state
        if state.has_uncommitted_members or state.log.term_at(state.commit_index) != state.term:
            return None  # one change at a time, and none before this term has committed something
        near = leading.progress.responsive_within(ELECTION_MIN_S, state.now)
        group = Group(
            self._members_with_zones(),
            state.identity.id,
            self._required_voters,
            leading.progress.seconds_since_contact(state.now),
            leading.progress.caught_up(state.commit_index, near),
            state.membership_requests.members_shutting_down(),
            self._is_stable(leading, near),
            self._region_by_zone,
        )
        return next_members(group, state.membership_requests.admissible(state.log.members, state.now))

    def _is_stable(self, leading: LeaderState, near: set[str]) -> bool:
        """Return whether this replica has led for a while and all voters are there."""
        others = {member.id for member in self._state.other_voters()}
        return others <= near and self._state.now - leading.since_s >= STABLE_S

    def _members_with_zones(self) -> tuple[Member, ...]:
        zones = self._zone_by_address()
        return tuple(
            each if each.zone else replace(each, zone=zones.get(each.address, ""))
            for each in self._state.log.members
        )

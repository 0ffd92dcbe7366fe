"""Membership changes of a replica group, made by the leader one at a time.

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
    """Decides on the next membership change.

    Args:
        state: The replica's state.
        required_voters: How many voters the group should have.
        zone_by_address: Returns the known zones of replicas by their addresses.
        region_by_zone: The region of each zone; empty if no regions are configured.
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

    def next_members(self, leader_state: LeaderState) -> tuple[Member, ...] | None:
        """Return the members after the next change, or None if no change is needed or allowed now."""
        state = self._state
        if state.has_uncommitted_members or state.log.term_at(state.commit_index) != state.term:
            # Only one change may be in progress, and none before an entry of this term is committed.
            return None
        responsive = leader_state.progress.responsive_within(ELECTION_MIN_S, state.now)
        group = Group(
            self._members_with_zones(),
            state.identity.id,
            self._required_voters,
            leader_state.progress.seconds_since_contact(state.now),
            leader_state.progress.caught_up(state.commit_index, responsive),
            state.membership_requests.members_shutting_down(),
            self._is_stable(leader_state, responsive),
            self._region_by_zone,
        )
        return next_members(
            group, state.membership_requests.admissible_candidates(state.log.members, state.now)
        )

    def _is_stable(self, leader_state: LeaderState, responsive: set[str]) -> bool:
        """Return whether this replica has led for at least `STABLE_S` and all voters are responsive."""
        others = {member.id for member in self._state.other_voters()}
        return others <= responsive and self._state.now - leader_state.since_s >= STABLE_S

    def _members_with_zones(self) -> tuple[Member, ...]:
        zones = self._zone_by_address()
        return tuple(
            member if member.zone else replace(member, zone=zones.get(member.address, ""))
            for member in self._state.log.members
        )

"""Recent join requests and shutdown notices that this replica received; no I/O.

All times are in seconds of the local clock.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from brambleusher.wire.consensus_messages import Member

JOIN_REQUEST_EXPIRY_S = 3.0  # a join request that is not repeated within this time is dropped
# When another process repeats join requests from the address of an unresponsive member for this time, that
# member's disk counts as lost.
DISK_LOSS_PROOF_S = 0.4
SHUTDOWN_NOTICE_EXPIRY_S = 1.0  # a shutdown notice that is not repeated within this time is dropped


@dataclass(frozen=True, slots=True)
class JoinCandidate:
    """A process that requests to become a member, with the times of its first and last requests."""

    member: Member
    first_at: float
    last_at: float


class MembershipRequests:
    """Join requests, shutdown notices and the time of the last message of other replicas."""

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._join_candidates: dict[str, JoinCandidate] = {}
        self._shutting_down_at: dict[str, float] = {}
        self._last_contact_s: dict[str, float] = {}

    def record_join(self, newcomer: Member, now: float) -> None:
        """Record a join request, and drop those of earlier processes at the same address.

        An earlier process at that address with another identity has lost its disk and no longer exists.
        """
        for identity, candidate in list(self._join_candidates.items()):
            if candidate.member.address == newcomer.address and identity != newcomer.id:
                del self._join_candidates[identity]
        known = self._join_candidates.get(newcomer.id)
        first_at = now if known is None or self._is_expired(known, now) else known.first_at
        self._join_candidates[newcomer.id] = JoinCandidate(newcomer, first_at, now)

    def record_shutdown(self, identity: str, now: float) -> None:
        """Record a member's shutdown notice."""
        self._shutting_down_at[identity] = now

    def record_contact(self, identity: str, now: float) -> None:
        """Record that a replica sent a message of any kind."""
        self._last_contact_s[identity] = now

    def expire(self, members: Sequence[Member], now: float) -> None:
        """Drop requests and notices that were not repeated in time, and the contact times of non-members."""
        for identity, candidate in list(self._join_candidates.items()):
            if self._is_expired(candidate, now):
                del self._join_candidates[identity]
        for identity, at in list(self._shutting_down_at.items()):
            if now - at > SHUTDOWN_NOTICE_EXPIRY_S:
                del self._shutting_down_at[identity]
        known = {member.id for member in members}
        self._last_contact_s = {
            identity: at for identity, at in self._last_contact_s.items() if identity in known
        }

    def members_shutting_down(self) -> set[str]:
        """Return the identities of members whose shutdown notices have not expired."""
        return set(self._shutting_down_at)

    def wiped_members(self, members: Sequence[Member], now: float) -> set[str]:
        """Return the identities of members whose disks are proven to be lost."""
        replaced = [
            self._replaced_by(candidate, members, now) for candidate in self._join_candidates.values()
        ]
        return {member.id for member in replaced if member is not None}

    def admissible_candidates(self, members: Sequence[Member], now: float) -> list[Member]:
        """Return the processes that may join now: at unused addresses, or in place of a wiped member."""
        occupied = {member.address for member in members}
        return [
            candidate.member
            for candidate in self._join_candidates.values()
            if candidate.member.address not in occupied
            or self._replaced_by(candidate, members, now) is not None
        ]

    @staticmethod
    def _is_expired(candidate: JoinCandidate, now: float) -> bool:
        return now - candidate.last_at > JOIN_REQUEST_EXPIRY_S

    def _replaced_by(self, candidate: JoinCandidate, members: Sequence[Member], now: float) -> Member | None:
        """Return the member that lost its disk, as proven by a join request from its address, or None.

        A single request is not sufficient proof, since it may be a delayed request of a process that ran
        before the member. The request has to be repeated at least `DISK_LOSS_PROOF_S` after the member's last
        message.
        """
        newcomer = candidate.member
        if self._is_expired(candidate, now):
            return None
        for member in members:
            if member.address == newcomer.address and member.id not in (newcomer.id, self._own_id):
                last_contact_s = self._last_contact_s.get(member.id, candidate.first_at)
                unresponsive_since_s = max(candidate.first_at, last_contact_s)
                is_proven = candidate.last_at - unresponsive_since_s >= DISK_LOSS_PROOF_S
                return member if is_proven else None
        return None
